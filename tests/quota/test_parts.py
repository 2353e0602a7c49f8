"""Leases, keepers, holders and purses by themselves: times by the microsecond, no sockets."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as with_settings
from hypothesis import strategies as st

from topazbank.quota.lease import Ask, Given, Lease
from topazbank.quota.lease_client import ASKED_AT_ONCE, Holder, Word
from topazbank.quota.lease_server import ANSWERS_MOST, HOLDERS_MOST, Keeper
from topazbank.quota.rules import NOTHING, STOCK, THOUSANDTHS, Part, Quota
from topazbank.quota.token_bucket import RatePurse, StockPurse
from topazbank.quota.wire import BadWord, Envelope, Kind, decode, encode, mark_of

S = 1_000_000
BUDGET = Quota("b", whole=100, burst=50, floor=500, members=10, keepers=("k",), lease_us=5 * S)
SLICE = BUDGET.slice_of("k")


def keeper(now: int = 0) -> Keeper:
    return Keeper(BUDGET, SLICE, now, [])


# -- Leases ------------------------------------------------------------------------------------------


def test_a_lease_runs_from_when_it_was_asked_for() -> None:
    lease = Lease()
    ask = lease.ask(10, 5)
    assert lease.take(3 * S, Given(ask.number, Part(5), 5 * S))
    assert lease.holding(5 * S + 9) == Part(5) and lease.holding(5 * S + 10) == NOTHING


def test_answers_that_are_late_doubled_or_of_a_former_life_change_nothing() -> None:
    lease = Lease()
    first, second = lease.ask(0, 5), lease.ask(S, 5)
    assert lease.take(S, Given(second.number, Part(3), 5 * S))
    assert not lease.take(S, Given(first.number, Part(9), 5 * S)), "earlier than what is held"
    assert not lease.take(S, Given(second.number, Part(9), 5 * S)), "doubled"
    assert not lease.take(S, Given(77, Part(9), 5 * S)), "to a question of another life"
    third = lease.ask(2 * S, 5)
    assert not lease.take(8 * S, Given(third.number, Part(9), 5 * S)), "too old to be of use"
    assert lease.holding(5 * S) == Part(3)


def test_after_giving_back_no_answer_to_an_earlier_question_counts() -> None:
    lease = Lease()
    asks = [lease.ask(0, 5), lease.ask(1, 5)]
    assert lease.take(2, Given(asks[0].number, Part(4), 5 * S))
    lease.give_back(3)
    assert lease.holding(3) == NOTHING
    assert not lease.take(4, Given(asks[1].number, Part(4), 5 * S))


# -- Keepers -----------------------------------------------------------------------------------------


def test_a_smaller_answer_frees_nothing_until_the_holder_says_that_it_holds_it() -> None:
    made = keeper()
    whole = SLICE.amount
    given = made.ask(0, (1, 1), Ask(1, 0, NOTHING, whole))
    assert given is not None and given.part.amount == whole
    made.ask(S, (2, 1), Ask(1, 0, NOTHING, whole))
    lower = made.ask(2 * S, (1, 1), Ask(2, 1, given.part, whole))
    assert lower is not None and lower.part.amount == whole // 2
    nothing = made.ask(2 * S, (2, 1), Ask(2, 0, NOTHING, whole))
    assert nothing is not None and nothing.part == NOTHING
    made.ask(3 * S, (1, 1), Ask(3, 2, lower.part, whole))
    got = made.ask(3 * S, (2, 1), Ask(3, 0, NOTHING, whole))
    assert got is not None and got.part.amount == whole - lower.part.amount
    made.check()


def test_a_part_goes_to_others_once_its_lease_is_over_by_any_clock() -> None:
    made = keeper()
    made.ask(0, (1, 1), Ask(1, 0, NOTHING, SLICE.amount))
    over = BUDGET.counted_us(BUDGET.lease_us)
    early = made.ask(over - 1, (2, 1), Ask(1, 0, NOTHING, SLICE.amount))
    late = made.ask(over + S, (2, 1), Ask(2, 0, NOTHING, SLICE.amount))
    assert early is not None and early.part == NOTHING
    assert late is not None and late.part.amount == SLICE.amount


def test_a_return_frees_at_once_and_a_late_one_does_not_touch_what_came_after() -> None:
    made = keeper()
    made.ask(0, (1, 1), Ask(1, 0, NOTHING, 9000))
    assert made.give_back(1, (1, 1), Ask(2, 2, NOTHING, 0))
    assert made.counted == NOTHING
    made.ask(2, (1, 1), Ask(3, 2, NOTHING, 9000))
    assert not made.give_back(3, (1, 1), Ask(2, 2, NOTHING, 0)), "the same word again"
    assert made.counted.amount == 9000


def test_a_keeper_without_memory_renews_what_is_claimed_and_gives_nothing_new_for_a_lease() -> None:
    made = Keeper(BUDGET, SLICE, 0, None)
    kept = made.ask(1, (1, 1), Ask(9, 8, Part(30_000, 5), 60_000))
    fresh = made.ask(1, (2, 1), Ask(1, 0, NOTHING, 60_000))
    assert kept is not None and kept.part == Part(30_000, 5)
    assert fresh is not None and fresh.part == NOTHING
    after = made.ask(BUDGET.quiet_us, (2, 1), Ask(2, 0, NOTHING, 60_000))
    assert after is not None and after.part.amount == 60_000
    made.check()


def test_claims_beyond_the_slice_are_not_believed() -> None:
    made = Keeper(BUDGET, SLICE, 0, None)
    for who in range(5):
        made.ask(1, (who, 1), Ask(9, 8, Part(SLICE.amount // 2, SLICE.burst), SLICE.amount))
    made.check()


def test_the_tables_of_a_keeper_are_bounded() -> None:
    made = keeper()
    for number in range(1, 3 * ANSWERS_MOST):
        made.ask(number, (1, 1), Ask(number, 0, NOTHING, 10 + number))
    assert len(made.holders[1, 1].answers) <= ANSWERS_MOST
    for who in range(HOLDERS_MOST + 50):
        made.ask(100, (who, 7), Ask(1, 0, NOTHING, 0))
    assert len(made.holders) == HOLDERS_MOST
    made.ask(100 * S, (1, 1), Ask(99, 0, NOTHING, 0))
    assert len(made.holders) == 1, "the quiet ones are forgotten"


@with_settings(deadline=None)
@given(st.integers(0, 1 << 30))
def test_any_words_leave_the_books_balanced(seed: int) -> None:
    chance = random.Random(seed)
    made = Keeper(BUDGET, SLICE, 0, None if chance.random() < 0.5 else [])
    now = 0
    for _ in range(60):
        now += chance.choice((0, 1, S // 3, 2 * S))
        who = chance.randrange(4), chance.randrange(2)
        holds = Part(chance.randrange(2 * SLICE.amount), chance.randrange(2 * SLICE.burst))
        ask = Ask(chance.randrange(40), chance.randrange(40), holds, chance.randrange(2 * SLICE.amount))
        if chance.random() < 0.2:
            made.give_back(now, who, ask)
        else:
            made.ask(now, who, ask)
        made.check()


# -- Purses ------------------------------------------------------------------------------------------


def test_a_purse_starts_empty_saves_up_one_unit_by_its_floor_and_never_more() -> None:
    purse = RatePurse(0, 500, 0)
    assert not purse.spend(2 * S - 1) and purse.spend(2 * S)
    assert purse.spend(3600 * S) and not purse.spend(3600 * S)


def test_who_stood_still_beyond_its_lease_spends_what_it_had_saved_by_its_end_and_no_burst_of_it() -> None:
    purse = RatePurse(0, 0, 0)
    purse.hold(0, [(5 * S, Part(10 * THOUSANDTHS, 20))])
    spent = sum(purse.spend(9 * S) for _ in range(50))
    assert spent == 1, "the burst ended with the part; one unit is everybody's own"


@given(st.integers(0, 1 << 30))
def test_in_any_span_no_more_is_spent_than_the_rates_and_what_was_saved_up(seed: int) -> None:
    chance = random.Random(seed)
    purse = RatePurse(0, 300, 0)
    now, filled, depth_most, spent = 0, 0.0, 1.0, 0
    until, part = 0, NOTHING
    for _ in range(80):
        before, now = now, now + chance.randrange(S)
        filled += 0.3 * (now - before) / S + part.amount / THOUSANDTHS * max(min(now, until) - before, 0) / S
        if chance.random() < 0.2:
            part, until = Part(chance.randrange(20_000), chance.randrange(5)), now + chance.randrange(3 * S)
            purse.hold(now, [(until, part)])
            depth_most = max(depth_most, 1.0 + part.burst)
        spent += sum(purse.spend(now) for _ in range(chance.randrange(8)))
        assert spent <= filled + 1e-6
    assert purse.spent == spent


def test_a_clock_that_runs_ahead_by_the_whole_drift_fills_no_faster_than_the_true_rate() -> None:
    purse = RatePurse(0, 1000, 10_000)
    assert sum(purse.spend(second * S * 101 // 100) for second in range(1, 1001)) <= 1000


def test_of_a_stock_what_is_out_when_a_part_ends_leaves_no_room_for_more() -> None:
    purse = StockPurse(1)
    purse.hold(0, [(5 * S, Part(3))])
    assert [purse.spend(S) for _ in range(5)] == [True] * 4 + [False]
    assert not purse.spend(6 * S) and purse.out == 4
    for _ in range(4):
        purse.release()
    assert purse.spend(6 * S) and not purse.spend(6 * S)


# -- Holders -----------------------------------------------------------------------------------------


def answered(made: Holder, made_keeper: Keeper, now: int) -> list[Word]:
    words = made.tick(now)
    for each in words:
        given = made_keeper.ask(now, (1, 1), each.ask)
        assert given is not None
        made.take(now, each.keeper, given)
    return words


def test_a_process_that_needs_no_more_than_its_floor_sends_nothing() -> None:
    made = Holder(BUDGET, "a", 0)
    for second in range(1, 60):
        made.purse.spend(second * 4 * S)
        assert not made.tick(second * 4 * S)


def test_demand_is_met_within_a_renewal_and_what_it_was_a_while_ago_fades() -> None:
    made, kept = Holder(BUDGET, "a", 0), keeper()
    now = 0
    for _ in range(300):  # 50 a second for 3 s
        now += S // 50
        made.purse.spend(now)
        answered(made, kept, now)
    assert made.holding(now) >= 50 * THOUSANDTHS
    for _ in range(30):
        now += S
        answered(made, kept, now)
    kept.expire(now + BUDGET.quiet_us)
    assert made.holding(now) == BUDGET.floor and kept.counted == NOTHING


def test_a_holder_asks_few_of_many_keepers_and_few_holders_move_when_one_goes() -> None:
    names = tuple(f"k{number}" for number in range(12))
    before = {n: set(Holder(replace(BUDGET, keepers=names), f"h{n}", 0).leases) for n in range(200)}
    after = {n: set(Holder(replace(BUDGET, keepers=names[1:]), f"h{n}", 0).leases) for n in range(200)}
    assert all(len(each) == ASKED_AT_ONCE for each in before.values())
    moved = [n for n in before if before[n] != after[n]]
    assert all(names[0] in before[n] for n in moved)


def test_a_silent_keeper_is_asked_and_not_counted_on() -> None:
    two = replace(BUDGET, keepers=("k", "dead"))
    made, kept = Holder(two, "a", 0), Keeper(two, two.slice_of("k"), 0, [])
    now = 0
    for _ in range(3000):
        now += S // 100
        made.purse.spend(now)
        for each in made.tick(now):
            given = kept.ask(now, (1, 1), each.ask) if each.keeper == "k" else None
            if given is not None:
                made.take(now, each.keeper, given)
    assert kept.counted.amount == two.slice_of("k").amount, "all that the living one has"


# -- Words -------------------------------------------------------------------------------------------

asks = st.builds(
    Ask, st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1),
    st.builds(Part, st.integers(0, 2**62), st.integers(0, 2**32 - 1)), st.integers(0, 2**62),
)  # fmt: skip
givens = st.builds(
    Given, st.integers(0, 2**32 - 1), st.builds(Part, st.integers(0, 2**62), st.integers(0, 2**32 - 1)),
    st.integers(0, 600_000).map(lambda ms: ms * 1000),
)  # fmt: skip
idents = st.integers(0, 2**48 - 1)
words = st.builds(
    Envelope, st.sampled_from([Kind.ASK, Kind.BACK]), idents, idents, st.integers(0, 2**32 - 1), asks
) | st.builds(Envelope, st.just(Kind.GIVEN), idents, idents, st.integers(0, 2**32 - 1), st.none(), givens)


@given(words, st.binary(max_size=64), st.data())
def test_a_word_crosses_whole_and_what_is_cut_changed_or_of_another_key_is_refused(
    word: Envelope, key: bytes, data: st.DataObject
) -> None:
    whole = encode(word, key)
    assert decode(whole, key) == word and len(whole) <= 256
    at = data.draw(st.integers(0, len(whole) - 1))
    for bad in (whole[:at], whole[:at] + bytes([whole[at] ^ 0x15]) + whole[at + 1 :]):
        with pytest.raises(BadWord):
            decode(bad, key)
    with pytest.raises(BadWord):
        decode(whole, b"another" + key[:50])


def test_a_budget_of_another_kind_is_another() -> None:
    assert mark_of(BUDGET) != mark_of(replace(BUDGET, kind=STOCK))
