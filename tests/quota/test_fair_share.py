"""How a whole is divided, where a part goes next, and what the slices of keepers add up to."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from topazbank.quota.fair_share import divide, step
from topazbank.quota.rules import STOCK, THOUSANDTHS, Quota, total

wants = st.dictionaries(st.integers(0, 50), st.integers(0, 10_000), max_size=12)


@given(st.integers(0, 20_000), wants, st.dictionaries(st.integers(0, 50), st.integers(1, 9)))
def test_parts_are_within_the_whole_and_the_wants_and_nothing_that_is_wanted_stays_over(
    whole: int, wanted: dict[int, int], weights: dict[int, int]
) -> None:
    parts = divide(whole, wanted, weights)
    assert set(parts) == set(wanted)
    assert all(0 <= parts[key] <= wanted[key] for key in wanted)
    assert sum(parts.values()) == min(whole, sum(wanted.values()))


@given(st.integers(0, 20_000), wants)
def test_who_gets_less_than_it_wants_has_no_less_than_anybody_else(
    whole: int, wanted: dict[int, int]
) -> None:
    parts = divide(whole, wanted)
    short = [parts[key] for key in wanted if parts[key] < wanted[key]]
    assert not short or min(short) >= max(parts.values()) - 1


def test_one_that_asks_for_everything_gets_its_fair_part() -> None:
    assert divide(100, {"greedy": 10**9, "a": 20, "b": 40}) == {"greedy": 40, "a": 20, "b": 40}
    assert divide(90, {"greedy": 10**9, "a": 50, "b": 40}) == {"greedy": 30, "a": 30, "b": 30}


def test_a_whole_smaller_than_the_number_that_ask_is_divided_all_the_same() -> None:
    assert sorted(divide(3, dict.fromkeys(range(10), 1)).values()) == [0] * 7 + [1] * 3


@given(st.integers(0, 10_000), st.integers(0, 10_000), st.integers(0, 10_000))
def test_a_step_is_quick_up_slow_down_within_room_and_noise_moves_nothing(
    has: int, target: int, room: int
) -> None:
    after = step(has, target, room)
    assert 0 <= after <= room
    if room >= max(has, target):
        assert min(has, target) <= after <= max(has, target)
        assert after >= has // 2 or after == target
        if abs(target - has) * 16 < has:
            assert after == has


@given(st.integers(0, 10_000), st.integers(0, 500), st.integers(1, 20), st.integers(1, 16))
def test_floors_and_slices_add_up_to_the_whole(whole: int, burst: int, members: int, keepers: int) -> None:
    names = tuple(str(each) for each in range(keepers))
    budget = Quota(
        "b",
        whole=whole,
        burst=members + burst,
        floor=whole * THOUSANDTHS // members,
        members=members,
        keepers=names,
    )
    budget.check()
    parts = total(budget.slice_of(each) for each in names)
    assert parts.amount + members * budget.floor == whole * THOUSANDTHS
    assert parts.burst + members == budget.burst
    assert not budget.slice_of("stranger")


def test_of_a_stock_the_giver_counts_until_the_far_end_has_ended_what_is_out() -> None:
    budget = Quota("b", STOCK, 10, members=2, keepers=("k",), longest_us=7_000_000)
    assert budget.counted_us(5_000_000) == 5_000_000 + 50_000 + 1 + 7_000_000
    assert budget.quiet_us == budget.counted_us(5_000_000)
