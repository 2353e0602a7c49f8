"""Black-box test of the guarantees of `topazbank.cluster`, by failure scenarios in virtual time with several seeds."""

from __future__ import annotations

import random

import pytest

from testbed.cluster.scenarios import SCENARIOS
from testbed.cluster.virtual_time import VirtualCluster
from topazbank.cluster.settings import ProtocolSettings
from topazbank.core.bounds import membership_datagrams_per_s


@pytest.mark.parametrize("members", [5, 12])
@pytest.mark.parametrize("name", SCENARIOS)
def test_no_live_member_is_declared_dead_and_views_converge_in_each_scenario(name: str, members: int) -> None:
    for seed in range(3):
        scenario = SCENARIOS[name](members, random.Random(seed), 1.0)
        outcome = VirtualCluster(members, seed).run_scenario(scenario)
        assert not outcome.violations, f"seed {seed}: {outcome.violations[:3]}"


@pytest.mark.parametrize("members", [3, 8, 24])
def test_all_members_know_of_a_death_within_the_time_derived_from_the_settings(members: int) -> None:
    detection_s: list[float] = []
    for seed in range(10):
        scenario = SCENARIOS["killed"](members, random.Random(seed), 1.0)
        outcome = VirtualCluster(members, seed).run_scenario(scenario)
        assert len(outcome.detection_s) == members - 1, (
            f"seed {seed}: {len(outcome.detection_s)} members detected the death, expected {members - 1}"
        )
        detection_s += outcome.detection_s
    detection_target_s = ProtocolSettings().detection_p99_us(members) / 1e6
    if members > 3:  # one suspect of three is a mass suspicion, which doubles the timeout
        assert sorted(detection_s)[int(0.99 * len(detection_s)) - 1] <= detection_target_s
    assert detection_target_s <= 4.0 and max(detection_s) <= 4.0


def test_the_same_seed_replays_the_same_run() -> None:
    scenario = SCENARIOS["very_lossy"](6, random.Random(4), 0.5)
    first, second = VirtualCluster(6, 4), VirtualCluster(6, 4)
    assert first.run_scenario(scenario).suspicions == second.run_scenario(scenario).suspicions
    assert first.changes == second.changes and first.sent == second.sent


@pytest.mark.parametrize("members", [8, 100, 400])
def test_message_rate_per_member_does_not_grow_with_the_cluster(members: int) -> None:
    cluster = VirtualCluster(members, 1, measure_bytes=True, settled=True)
    cluster.run(1.0)
    cluster.sent.clear()
    cluster.run(4.0)
    assert cluster.sent["messages"] / members / 3.0 <= membership_datagrams_per_s(ProtocolSettings())
    assert cluster.sent["longest"] <= ProtocolSettings().datagram_bytes


def test_under_loss_no_member_exceeds_the_fault_message_rate() -> None:
    cluster = VirtualCluster(24, 1, measure_bytes=True)
    cluster.run(3.0)
    cluster.faults.loss = 0.4
    cluster.sent_by.clear()
    cluster.run(13.0)
    bound = membership_datagrams_per_s(ProtocolSettings(), fault=True)
    assert max(cluster.sent_by.values()) / 10.0 <= bound
    assert cluster.sent["longest"] <= ProtocolSettings().datagram_bytes
