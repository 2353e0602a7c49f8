"""Each failure scenario in virtual time, by several seeds: the promise of `topazbank.cluster`, judged from outside."""

from __future__ import annotations

import random

import pytest

from testbed.cluster.scenarios import SCENARIOS
from testbed.cluster.virtual_time import VirtualCluster
from topazbank.cluster.settings import ProtocolSettings
from topazbank.core.bounds import tier_messages_a_second


@pytest.mark.parametrize("members", [5, 12])
@pytest.mark.parametrize("name", SCENARIOS)
def test_no_false_gone_and_equal_views_in_each_scene(name: str, members: int) -> None:
    for seed in range(3):
        script = SCENARIOS[name](members, random.Random(seed), 1.0)
        found = VirtualCluster(members, seed).play(script)
        assert not found.faults, f"seed {seed}: {found.faults[:3]}"


@pytest.mark.parametrize("members", [3, 8, 24])
def test_a_death_is_known_to_all_by_the_time_that_the_rules_state(members: int) -> None:
    known: list[float] = []
    for seed in range(10):
        found = VirtualCluster(members, seed).play(SCENARIOS["killed"](members, random.Random(seed), 1.0))
        assert len(found.known_s) == members - 1, f"seed {seed}: not all knew"
        known += found.known_s
    aim = ProtocolSettings().known_within_us(members) / 1e6
    if members > 3:  # of three, one suspect is a third of the tier, and is waited for twice as long
        assert sorted(known)[int(0.99 * len(known)) - 1] <= aim
    assert aim <= 4.0 and max(known) <= 4.0


def test_one_seed_replays_all() -> None:
    script = SCENARIOS["very_lossy"](6, random.Random(4), 0.5)
    one, other = VirtualCluster(6, 4), VirtualCluster(6, 4)
    assert one.play(script).suspected == other.play(script).suspected
    assert one.noted == other.noted and one.sent == other.sent


@pytest.mark.parametrize("members", [8, 100, 400])
def test_messages_a_member_and_second_do_not_grow_with_the_tier(members: int) -> None:
    rig = VirtualCluster(members, 1, measured=True, settled=True)
    rig.run(1.0)
    rig.sent.clear()
    rig.run(4.0)
    assert rig.sent["messages"] / members / 3.0 <= tier_messages_a_second(ProtocolSettings())
    assert rig.sent["longest"] <= ProtocolSettings().datagram


def test_under_loss_no_member_sends_more_than_the_bound_for_trouble() -> None:
    rig = VirtualCluster(24, 1, measured=True)
    rig.run(3.0)
    rig.faults.loss = 0.4
    rig.sent_by.clear()
    rig.run(13.0)
    assert max(rig.sent_by.values()) / 10.0 <= tier_messages_a_second(ProtocolSettings(), trouble=True)
    assert rig.sent["longest"] <= ProtocolSettings().datagram
