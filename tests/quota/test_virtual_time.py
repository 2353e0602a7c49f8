"""Simulates fleets in virtual time under random faults, with clocks that drift up to the bound: the limit holds."""

from __future__ import annotations

from dataclasses import replace

import pytest

from testbed.quota.virtual_time import Fleet, run_with_faults
from topazbank.quota.lease_server import LeaseServer
from topazbank.quota.rules import Allocation, Quota

QUOTA = Quota("b", limit=40, burst=24, floor=500, members=6, lease_servers=("0", "1"), lease_us=2_000_000)
MEMBERS = 6
HIGH_DEMAND = 100.0  # units per second


def test_no_fleet_under_faults_ever_uses_or_holds_more_than_the_limit() -> None:
    results = [run_with_faults(seed) for seed in range(60)]
    assert not [violation for result in results for violation in result.violations]
    assert max(result.held_ratio_max for result in results) > 0.8, "the quotas were hardly used"
    assert sum(result.acquired for result in results) > 5_000


def test_one_seed_gives_one_result() -> None:
    assert run_with_faults(4) == run_with_faults(4)


def test_a_lease_server_that_grants_more_than_its_slice_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def whole_slice(server: LeaseServer, client: object) -> Allocation:
        return Allocation(server.slice.amount, server.slice.burst)

    monkeypatch.setattr(LeaseServer, "_available_to", whole_slice)
    fleet = Fleet(QUOTA, MEMBERS, lambda now, member: HIGH_DEMAND, 1)
    assert any("held of" in violation for violation in fleet.run_until(10.0).violations)


def test_an_allocation_no_longer_used_moves_to_another_member_within_two_renewals() -> None:
    def demand(now: float, member: int) -> float:
        busy_member = 3 if now < 10.0 else 4
        return HIGH_DEMAND if member == busy_member else 0.0

    fleet = Fleet(QUOTA, MEMBERS, demand, 1)
    first, second = (fleet.processes[member].client.limiter for member in (3, 4))
    fleet.run_until(9.0)
    assert first.acquired > 37.0 * 6 and second.acquired == 0
    fleet.run_until(14.0)
    before = second.acquired
    fleet.run_until(18.0)
    assert second.acquired - before > 0.85 * 37.5 * 4


@pytest.mark.parametrize(("is_released", "until"), [(False, 11.5), (True, 9.5)])
def test_a_killed_members_allocation_is_free_after_its_lease_and_one_that_releases_frees_it_at_once(
    is_released: bool, until: float
) -> None:
    """Two members share the limit; one ends at 8 s, killed with or without a release, and the other demands all."""
    quota = replace(QUOTA, lease_servers=("0",))
    fleet = Fleet(quota, MEMBERS, lambda now, member: HIGH_DEMAND if member in (3, 4) else 0.0, 1)
    fleet.run_until(8.0)
    if is_released:
        fleet.release(3)
    fleet.kill(3)
    fleet.run_until(until)
    server, other = fleet.processes[0].server, fleet.processes[4]
    assert server is not None
    allocated = other.client.allocated_amount(other.clock_us(fleet.now)) - quota.floor
    assert allocated >= 0.9 * server.slice.amount
