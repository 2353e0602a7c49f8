"""What a planner makes of summaries; no I/O."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from helpers import START

from topazbank.cluster.member import Generations
from topazbank.planning import forwarder_table, subset
from topazbank.planning.plan import LEASE_US_MAX, US_PER_S
from topazbank.planning.planner import Planner
from topazbank.planning.server_model import PlannedServer
from topazbank.planning.summary import (
    SERVERS_MAX,
    FollowedPlan,
    QuantileSketch,
    RequestCounts,
    ServerUsage,
    SummaryCollector,
    SummaryReport,
)

NODES = {f"n-{number}": PlannedServer(f"n-{number}", (0.5, 1.0, 2.0)[number % 3]) for number in range(6)}
SUMMARY = SummaryReport(
    "f", "life", 1, US_PER_S // 10, -1, "", -1, None, {"look": RequestCounts(1, 1, 0)}, {}
)


def leading(epoch: int = 1, members: dict[str, PlannedServer] | None = None) -> Planner:
    made = Planner("p")
    made.update_servers(START, NODES if members is None else members)
    made.start_leading(epoch)
    return made


def use(**given: float) -> ServerUsage:
    return ServerUsage(**given)  # type: ignore[arg-type]


def test_one_round_of_summaries_is_all_that_a_planner_needs() -> None:
    held = {
        f"n-{number}": use(
            answered=5,
            response_time_us=500_000,
            reported_in_flight=number,
            reported_at_us=START,
            concurrency=2.0,
        )
        for number in range(6)
    }
    old, new = leading(), Planner("q")
    for number in range(1, 30):
        old.handle_summary(START + number * US_PER_S // 10, replace(SUMMARY, number=number, servers=held))
    new.update_servers(START, NODES)
    new.start_leading(2)
    at = START + 3 * US_PER_S
    fresh = {name: replace(each, reported_at_us=at) for name, each in held.items()}
    last = replace(SUMMARY, number=31, servers=fresh)
    plans = [each.handle_summary(at, last) for each in (old, new)]
    odds = [{n: share.weight for n, share in plan.shares.items() if share} for plan in plans if plan]
    assert len(odds) == 2
    assert {max(each, key=each.__getitem__) for each in odds} == {"n-2"}


def test_a_node_that_holds_much_gets_less_and_an_idle_quick_one_most() -> None:
    made = leading()
    nodes = {
        name: use(
            answered=2,
            response_time_us=200_000,
            reported_in_flight=2.0,
            reported_at_us=START,
            concurrency=2.0,
        )
        for name in NODES
    }
    nodes["n-2"] = use(
        answered=2, response_time_us=100_000, reported_in_flight=0.0, reported_at_us=START, concurrency=2.0
    )
    nodes["n-5"] = use(
        answered=2, response_time_us=100_000, reported_in_flight=30.0, reported_at_us=START, concurrency=2.0
    )
    plan = made.handle_summary(
        START, replace(SUMMARY, request_classes={"look": RequestCounts(50, 50, 0)}, servers=nodes)
    )
    plan = made.handle_summary(
        START + US_PER_S // 5,
        replace(SUMMARY, number=2, request_classes={"look": RequestCounts(50, 50, 0)}, servers=nodes),
    )
    assert plan is not None
    shares = {name: share for name, share in plan.shares.items() if share is not None}
    assert max(shares, key=lambda name: shares[name].weight) == "n-2"
    assert (
        shares["n-5"].relative_wait > 3 * shares["n-2"].relative_wait
        and shares["n-5"].weight < shares["n-2"].weight / 3
    )


def test_a_standby_hears_and_says_nothing_and_a_deposed_leader_stops() -> None:
    made = leading(epoch=3)
    standby = Planner("q")
    standby.update_servers(START, NODES)
    assert standby.handle_summary(START, SUMMARY) is None and standby.epoch is None
    assert made.handle_summary(START, SUMMARY) is not None
    assert made.handle_summary(START, replace(SUMMARY, number=2, epoch=4, planner="q")) is None
    assert made.epoch is None and made.highest_epoch == 4


def test_after_the_first_a_plan_tells_what_changed() -> None:
    made = leading()
    first = made.handle_summary(START, SUMMARY)
    assert first is not None and first.base_sequence is None and set(first.shares) == set(NODES)
    told = replace(SUMMARY, number=2, epoch=1, planner="p", sequence=first.sequence)
    second = made.handle_summary(START + 1000, told)
    assert second is not None and second.base_sequence == first.sequence and not second.shares
    made.update_servers(START + 2000, {name: each for name, each in NODES.items() if name != "n-3"})
    third = made.handle_summary(START + 2000, replace(told, number=3, sequence=second.sequence))
    assert third is not None and third.shares["n-3"] is None
    lost = made.handle_summary(
        START + 3000, replace(told, number=4, sequence=first.sequence)
    )  # an answer was lost
    assert lost is not None and lost.base_sequence is None and "n-3" not in lost.shares


def test_a_planner_that_starts_again_under_its_epoch_goes_beyond_what_is_followed() -> None:
    plan = leading(epoch=1).handle_summary(START, replace(SUMMARY, epoch=1, planner="p", sequence=40))
    assert plan is not None and plan.base_sequence is None and plan.sequence == 41


def test_a_node_that_most_forwarders_left_is_not_drawn() -> None:
    made = leading()
    for number in range(4):
        nodes = {"n-2": use(ejected=number < 3)}
        made.handle_summary(START, replace(SUMMARY, forwarder=f"f-{number}", servers=nodes))
    made._update_weights(START + US_PER_S)
    plan = made.handle_summary(START + US_PER_S, replace(SUMMARY, forwarder="f-9"))
    assert plan is not None and plan.shares["n-2"] is not None and plan.shares["n-2"].weight == 0.0


def test_a_cold_node_is_dealt_little_and_budgets_shrink_while_it_holds_too_much() -> None:
    cold = {**NODES, "n-1": PlannedServer("n-1", 1.0, warm_at_us=START + 20 * US_PER_S)}
    made = leading(members=cold)
    idle = made.handle_summary(
        START + US_PER_S, replace(SUMMARY, request_classes={"look": RequestCounts(20, 20, 0)})
    )
    assert idle is not None and idle.shares["n-1"] is not None and idle.shares["n-4"] is not None
    assert (
        idle.shares["n-1"].slow_start_ratio == 1.0 and idle.shares["n-1"].weight < idle.shares["n-4"].weight
    )
    held = {
        "n-1": use(reported_in_flight=8.0, reported_at_us=START + US_PER_S, concurrency=2.0),
        "n-4": use(reported_in_flight=8.0, reported_at_us=START + US_PER_S, concurrency=2.0),
    }
    full = made.handle_summary(START + 2 * US_PER_S, replace(SUMMARY, number=2, servers=held))
    assert full is not None and full.shares["n-1"] is not None and full.shares["n-4"] is not None
    assert full.shares["n-1"].slow_start_ratio == 0.25 and full.shares["n-4"].slow_start_ratio == 1.0


def test_too_many_summaries_are_shed_and_all_are_asked_less_often(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        forwarder_table, "SUMMARIES_PER_SECOND_MAX", 200.0
    )  # as 5,000 forwarders are to a core
    made = leading()
    answered = 0
    for number in range(500):
        answered += (
            made.handle_summary(START + number * 200, replace(SUMMARY, forwarder=f"f-{number}")) is not None
        )
    assert made.summaries_shed > 300 and answered + made.summaries_shed == 500
    chance, order = random.Random(1), list(range(500))
    for second in range(1, 9):  # in time all are known, and the period lengthens to what can be taken
        chance.shuffle(order)  # those that had no answer wait for a time of their own
        for place, number in enumerate(order):
            told = replace(SUMMARY, forwarder=f"f-{number}", number=second)
            made.handle_summary(START + second * US_PER_S + place * 2000, told)
    assert made.summary_period_us() > 2.5 * US_PER_S and len(made._forwarders) > 450
    plan = made.handle_summary(START + 10 * US_PER_S, replace(SUMMARY, forwarder="f-1", number=19))
    assert (
        plan is not None and plan.lease_us == LEASE_US_MAX and plan.confidence_max < 0.1
    )  # it knows late, and says so


def test_forwarders_that_are_gone_are_forgotten_and_there_is_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(forwarder_table, "FORWARDERS_MAX", 3)
    made = leading()
    for number in range(5):
        made.handle_summary(START, replace(SUMMARY, forwarder=f"f-{number}"))
    assert set(made._forwarders.forwarders) == {"f-0", "f-1", "f-2"} and made.summaries_shed == 2
    assert (
        made.handle_summary(
            START + forwarder_table.FORGET_AFTER_US + US_PER_S, replace(SUMMARY, forwarder="f-4")
        )
        is not None
    )
    assert set(made._forwarders.forwarders) == {"f-4"}


def test_subsets_are_bounded_and_even_and_move_little() -> None:
    many = {f"n-{number}": PlannedServer(f"n-{number}") for number in range(300)}
    made = leading(members=many)
    names = [f"f-{number}" for number in range(300)]
    subsets = {name: set(made._subset(name)) for name in names}
    assert {len(each) for each in subsets.values()} == {subset.SUBSET_SIZE}
    counts = [sum(node in each for each in subsets.values()) for node in many]
    assert min(counts) > 5 and max(counts) < 3 * subset.SUBSET_SIZE
    del many["n-7"]
    made.update_servers(START, many)
    changed = sum(len(subsets[name] - set(made._subset(name))) for name in names)
    assert changed == counts[7]  # those that had it, and no others


def test_a_summary_is_bounded_and_keeps_what_is_used_most() -> None:
    collector = SummaryCollector()
    for number in range(200):
        for _ in range(number % 7):
            collector.attempt_sent(f"n-{number}")
    collector.attempt_ended(START, "n-6", True, 90_000, {"inflight": 2.0, "queue": 3.0, "util": 1.0})
    summary = collector.collect(START, "f", "life", FollowedPlan(1, "p", 2), frozenset({"n-6", "n-0"}))
    assert len(summary.servers) == SERVERS_MAX
    node = summary.servers["n-6"]
    assert (node.reported_in_flight, node.concurrency, node.answered, node.in_flight, node.ejected) == (
        5.0,
        2.0,
        1,
        5,
        True,
    )
    after = collector.collect(START + US_PER_S, "f", "life", FollowedPlan(1, "p", 2), frozenset())
    assert after.number == 2 and after.servers["n-6"].in_flight == 5 and after.servers["n-6"].sent == 0


def test_a_sketch_gives_quantiles_within_a_quarter_and_adds_up() -> None:
    one, other = QuantileSketch(), QuantileSketch()
    for number in range(1, 1001):
        (one if number % 2 else other).add(number * 1000.0)
    one.merge(other)
    for part in (0.1, 0.5, 0.99):
        assert one.quantile(part) == pytest.approx(part * 1e6, rel=0.25)
    assert QuantileSketch().quantile(0.5) is None


def _two_forwarders() -> Planner:
    """A planner that two forwarders of one tier tell: `f` of ident 1 and `g` of ident 2, with as much to do each."""
    made = leading()
    for number in range(1, 40):
        at = START + number * US_PER_S // 10
        for name, ident in (("f", 1), ("g", 2)):
            told = replace(
                SUMMARY, forwarder=name, number=number, request_classes={"look": RequestCounts(9, 9, 0)}
            )
            made.handle_summary(at, replace(told, generations=Generations((ident, 70))))
    return made


def test_the_part_of_a_forwarder_that_the_tier_knows_to_be_gone_is_the_others_once_its_plan_has_lapsed() -> (
    None
):
    made = _two_forwarders()
    last = START + 39 * US_PER_S // 10
    gone = replace(
        SUMMARY,
        number=40,
        request_classes={"look": RequestCounts(9, 9, 0)},
        generations=Generations((1, 70), ((2, 70),)),
    )
    made.handle_summary(last + US_PER_S // 10, gone)
    assert made.status(last)["forwarders"] == 2, "its plan may hold yet"
    made.handle_summary(last + US_PER_S, replace(gone, number=41))
    assert made.status(last)["forwarders"] == 1
    back = replace(SUMMARY, forwarder="g", number=40, generations=Generations((2, 70)))
    assert made.handle_summary(last + 2 * US_PER_S, back) is not None
    made.handle_summary(last + 2 * US_PER_S + 1, replace(gone, number=42))
    assert made.status(last)["forwarders"] == 2, "its own word is newer than what the tier says"


def test_the_death_of_a_former_life_drops_nobody() -> None:
    made = _two_forwarders()
    gone = replace(SUMMARY, number=40, generations=Generations((1, 70), ((2, 69),)))
    made.handle_summary(START + 6 * US_PER_S, gone)
    assert made.status(START)["forwarders"] == 2


def test_who_says_nothing_for_long_is_forgotten_also_while_there_is_room() -> None:
    made = _two_forwarders()
    made.handle_summary(START + 60 * US_PER_S, replace(SUMMARY, number=40))
    assert made.status(START)["forwarders"] == 1
