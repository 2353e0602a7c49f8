"""Division of a capacity, steps of an amount towards its target, and the sum of the lease servers' slices."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from topazbank.quota.fair_share import divide, next_amount
from topazbank.quota.rules import MILLIUNITS_PER_UNIT, Quota, QuotaKind, total_allocation

demand_maps = st.dictionaries(st.integers(0, 50), st.integers(0, 10_000), max_size=12)


@given(st.integers(0, 20_000), demand_maps, st.dictionaries(st.integers(0, 50), st.integers(1, 9)))
def test_shares_use_all_capacity_that_the_demands_need_and_no_more(
    capacity: int, demands: dict[int, int], weights: dict[int, int]
) -> None:
    shares = divide(capacity, demands, weights)
    assert set(shares) == set(demands)
    assert all(0 <= shares[key] <= demands[key] for key in demands)
    assert sum(shares.values()) == min(capacity, sum(demands.values()))


@given(st.integers(0, 20_000), demand_maps)
def test_client_with_unmet_demand_gets_at_least_as_much_as_any_other(
    capacity: int, demands: dict[int, int]
) -> None:
    shares = divide(capacity, demands)
    unmet = [shares[key] for key in demands if shares[key] < demands[key]]
    assert not unmet or min(unmet) >= max(shares.values()) - 1


def test_client_with_unlimited_demand_gets_only_its_fair_share() -> None:
    assert divide(100, {"greedy": 10**9, "a": 20, "b": 40}) == {"greedy": 40, "a": 20, "b": 40}
    assert divide(90, {"greedy": 10**9, "a": 50, "b": 40}) == {"greedy": 30, "a": 30, "b": 30}


def test_capacity_smaller_than_the_number_of_clients_is_fully_divided() -> None:
    assert sorted(divide(3, dict.fromkeys(range(10), 1)).values()) == [0] * 7 + [1] * 3


@given(st.integers(0, 10_000), st.integers(0, 10_000), st.integers(0, 10_000))
def test_amount_rises_in_one_step_falls_by_half_at_most_and_ignores_noise(
    current: int, target: int, available: int
) -> None:
    after = next_amount(current, target, available)
    assert 0 <= after <= available
    if available >= max(current, target):
        assert min(current, target) <= after <= max(current, target)
        assert after >= current // 2 or after == target
        if abs(target - current) * 16 < current:
            assert after == current


@given(st.integers(0, 10_000), st.integers(0, 500), st.integers(1, 20), st.integers(1, 16))
def test_floors_and_slices_add_up_to_the_limit(limit: int, burst: int, members: int, servers: int) -> None:
    names = tuple(str(number) for number in range(servers))
    quota = Quota(
        "b",
        limit=limit,
        burst=members + burst,
        floor=limit * MILLIUNITS_PER_UNIT // members,
        members=members,
        lease_servers=names,
    )
    quota.validate()
    slices = total_allocation(quota.slice_of(name) for name in names)
    assert slices.amount + members * quota.floor == limit * MILLIUNITS_PER_UNIT
    assert slices.burst + members == quota.burst
    assert not quota.slice_of("not a lease server")


def test_concurrency_lease_is_counted_until_all_units_in_use_have_ended() -> None:
    quota = Quota(
        "b",
        QuotaKind.CONCURRENCY,
        limit=10,
        members=2,
        lease_servers=("k",),
        unit_lifetime_max_us=7_000_000,
    )
    assert quota.server_lease_us(5_000_000) == 5_000_000 + 50_000 + 1 + 7_000_000
    assert quota.grace_period_us == quota.server_lease_us(5_000_000)
