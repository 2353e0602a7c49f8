"""What a planner makes of summaries; no I/O."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from helpers import START

from topazbank.cluster.member import Generations, ProcessGeneration
from topazbank.planning import planner as planning
from topazbank.planning.plan import LEASE_MOST, S
from topazbank.planning.planner import Member, Planner
from topazbank.planning.summary import NODES_MOST, Collector, NodeUse, Sketch, Summary

NODES = {f"n-{number}": Member(f"n-{number}", (0.5, 1.0, 2.0)[number % 3]) for number in range(6)}
SUMMARY = Summary("f", "life", 1, S // 10, -1, "", -1, None, {"look": (1, 1, 0)}, {})


def leading(epoch: int = 1, members: dict[str, Member] | None = None) -> Planner:
    made = Planner("p")
    made.members(START, NODES if members is None else members)
    made.lead(epoch)
    return made


def use(**given: float) -> NodeUse:
    return NodeUse(**given)  # type: ignore[arg-type]


def test_one_round_of_summaries_is_all_that_a_planner_needs() -> None:
    held = {
        f"n-{number}": use(answered=5, time_us=500_000, held=number, held_at=START, slots=2.0)
        for number in range(6)
    }
    old, new = leading(), Planner("q")
    for number in range(1, 30):
        old.heard(START + number * S // 10, replace(SUMMARY, number=number, nodes=held))
    new.members(START, NODES)
    new.lead(2)
    at = START + 3 * S
    fresh = {name: replace(each, held_at=at) for name, each in held.items()}
    last = replace(SUMMARY, number=31, nodes=fresh)
    plans = [each.heard(at, last) for each in (old, new)]
    odds = [{n: share.odds for n, share in plan.shares.items() if share} for plan in plans if plan]
    assert len(odds) == 2
    assert {max(each, key=each.__getitem__) for each in odds} == {"n-2"}


def test_a_node_that_holds_much_gets_less_and_an_idle_quick_one_most() -> None:
    made = leading()
    nodes = {name: use(answered=2, time_us=200_000, held=2.0, held_at=START, slots=2.0) for name in NODES}
    nodes["n-2"] = use(answered=2, time_us=100_000, held=0.0, held_at=START, slots=2.0)
    nodes["n-5"] = use(answered=2, time_us=100_000, held=30.0, held_at=START, slots=2.0)
    plan = made.heard(START, replace(SUMMARY, classes={"look": (50, 50, 0)}, nodes=nodes))
    plan = made.heard(START + S // 5, replace(SUMMARY, number=2, classes={"look": (50, 50, 0)}, nodes=nodes))
    assert plan is not None
    shares = {name: share for name, share in plan.shares.items() if share is not None}
    assert max(shares, key=lambda name: shares[name].odds) == "n-2"
    assert shares["n-5"].wait > 3 * shares["n-2"].wait and shares["n-5"].odds < shares["n-2"].odds / 3


def test_a_standby_hears_and_says_nothing_and_a_deposed_leader_stops() -> None:
    made = leading(epoch=3)
    standby = Planner("q")
    standby.members(START, NODES)
    assert standby.heard(START, SUMMARY) is None and standby.epoch is None
    assert made.heard(START, SUMMARY) is not None
    assert made.heard(START, replace(SUMMARY, number=2, epoch=4, planner="q")) is None
    assert made.epoch is None and made.highest == 4


def test_after_the_first_a_plan_tells_what_changed() -> None:
    made = leading()
    first = made.heard(START, SUMMARY)
    assert first is not None and first.base is None and set(first.shares) == set(NODES)
    told = replace(SUMMARY, number=2, epoch=1, planner="p", sequence=first.sequence)
    second = made.heard(START + 1000, told)
    assert second is not None and second.base == first.sequence and not second.shares
    made.members(START + 2000, {name: each for name, each in NODES.items() if name != "n-3"})
    third = made.heard(START + 2000, replace(told, number=3, sequence=second.sequence))
    assert third is not None and third.shares["n-3"] is None
    lost = made.heard(START + 3000, replace(told, number=4, sequence=first.sequence))  # an answer was lost
    assert lost is not None and lost.base is None and "n-3" not in lost.shares


def test_a_planner_that_starts_again_under_its_epoch_goes_beyond_what_is_followed() -> None:
    plan = leading(epoch=1).heard(START, replace(SUMMARY, epoch=1, planner="p", sequence=40))
    assert plan is not None and plan.base is None and plan.sequence == 41


def test_a_node_that_most_forwarders_left_is_not_drawn() -> None:
    made = leading()
    for number in range(4):
        nodes = {"n-2": use(ejected=number < 3)}
        made.heard(START, replace(SUMMARY, forwarder=f"f-{number}", nodes=nodes))
    made._weigh(START + S)
    plan = made.heard(START + S, replace(SUMMARY, forwarder="f-9"))
    assert plan is not None and plan.shares["n-2"] is not None and plan.shares["n-2"].odds == 0.0


def test_a_cold_node_is_dealt_little_and_budgets_shrink_while_it_holds_too_much() -> None:
    cold = {**NODES, "n-1": Member("n-1", 1.0, cold_until=START + 20 * S)}
    made = leading(members=cold)
    idle = made.heard(START + S, replace(SUMMARY, classes={"look": (20, 20, 0)}))
    assert idle is not None and idle.shares["n-1"] is not None and idle.shares["n-4"] is not None
    assert idle.shares["n-1"].cold == 1.0 and idle.shares["n-1"].odds < idle.shares["n-4"].odds
    held = {
        "n-1": use(held=8.0, held_at=START + S, slots=2.0),
        "n-4": use(held=8.0, held_at=START + S, slots=2.0),
    }
    full = made.heard(START + 2 * S, replace(SUMMARY, number=2, nodes=held))
    assert full is not None and full.shares["n-1"] is not None and full.shares["n-4"] is not None
    assert full.shares["n-1"].cold == 0.25 and full.shares["n-4"].cold == 1.0


def test_too_many_summaries_are_shed_and_all_are_asked_less_often(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(planning, "SUMMARIES_A_SECOND", 200.0)  # as 5,000 forwarders are to a core
    made = leading()
    answered = 0
    for number in range(500):
        answered += made.heard(START + number * 200, replace(SUMMARY, forwarder=f"f-{number}")) is not None
    assert made.shed > 300 and answered + made.shed == 500
    chance, order = random.Random(1), list(range(500))
    for second in range(1, 9):  # in time all are known, and the period lengthens to what can be taken
        chance.shuffle(order)  # those that had no answer wait for a time of their own
        for place, number in enumerate(order):
            told = replace(SUMMARY, forwarder=f"f-{number}", number=second)
            made.heard(START + second * S + place * 2000, told)
    assert made.period() > 2.5 * S and len(made._forwarders) > 450
    plan = made.heard(START + 10 * S, replace(SUMMARY, forwarder="f-1", number=19))
    assert plan is not None and plan.lease == LEASE_MOST and plan.part < 0.1  # it knows late, and says so


def test_forwarders_that_are_gone_are_forgotten_and_there_is_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(planning, "FORWARDERS_MOST", 3)
    made = leading()
    for number in range(5):
        made.heard(START, replace(SUMMARY, forwarder=f"f-{number}"))
    assert set(made._forwarders) == {"f-0", "f-1", "f-2"} and made.shed == 2
    assert made.heard(START + planning.FORGOTTEN + S, replace(SUMMARY, forwarder="f-4")) is not None
    assert set(made._forwarders) == {"f-4"}


def test_subsets_are_bounded_and_even_and_move_little() -> None:
    many = {f"n-{number}": Member(f"n-{number}") for number in range(300)}
    made = leading(members=many)
    names = [f"f-{number}" for number in range(300)]
    subsets = {name: set(made._subset(name)) for name in names}
    assert {len(each) for each in subsets.values()} == {planning.SUBSET}
    counts = [sum(node in each for each in subsets.values()) for node in many]
    assert min(counts) > 5 and max(counts) < 3 * planning.SUBSET
    del many["n-7"]
    made.members(START, many)
    changed = sum(len(subsets[name] - set(made._subset(name))) for name in names)
    assert changed == counts[7]  # those that had it, and no others


def test_a_summary_is_bounded_and_keeps_what_is_used_most() -> None:
    collector = Collector()
    for number in range(200):
        for _ in range(number % 7):
            collector.sent(f"n-{number}")
    collector.ended(START, "n-6", True, 90_000, {"inflight": 2.0, "queue": 3.0, "util": 1.0})
    summary = collector.take(START, "f", "life", (1, "p", 2), frozenset({"n-6", "n-0"}))
    assert len(summary.nodes) == NODES_MOST
    node = summary.nodes["n-6"]
    assert (node.held, node.slots, node.answered, node.in_flight, node.ejected) == (5.0, 2.0, 1, 5, True)
    after = collector.take(START + S, "f", "life", (1, "p", 2), frozenset())
    assert after.number == 2 and after.nodes["n-6"].in_flight == 5 and after.nodes["n-6"].sent == 0


def test_a_sketch_gives_quantiles_within_a_quarter_and_adds_up() -> None:
    one, other = Sketch(), Sketch()
    for number in range(1, 1001):
        (one if number % 2 else other).add(number * 1000.0)
    one.merge(other)
    for part in (0.1, 0.5, 0.99):
        assert one.quantile(part) == pytest.approx(part * 1e6, rel=0.25)
    assert Sketch().quantile(0.5) is None


def _two_forwarders() -> Planner:
    """A planner that two forwarders of one tier tell: `f` of ident 1 and `g` of ident 2, with as much to do each."""
    made = leading()
    for number in range(1, 40):
        at = START + number * S // 10
        for name, ident in (("f", 1), ("g", 2)):
            told = replace(SUMMARY, forwarder=name, number=number, classes={"look": (9, 9, 0)})
            made.heard(at, replace(told, lives=Generations(ProcessGeneration(ident, 70))))
    return made


def test_the_part_of_a_forwarder_that_the_tier_knows_to_be_gone_is_the_others_once_its_plan_has_lapsed() -> (
    None
):
    made = _two_forwarders()
    last = START + 39 * S // 10
    gone = replace(
        SUMMARY,
        number=40,
        classes={"look": (9, 9, 0)},
        lives=Generations(ProcessGeneration(1, 70), (ProcessGeneration(2, 70),)),
    )
    made.heard(last + S // 10, gone)
    assert made.status(last)["forwarders"] == 2, "its plan may hold yet"
    made.heard(last + S, replace(gone, number=41))
    assert made.status(last)["forwarders"] == 1
    back = replace(SUMMARY, forwarder="g", number=40, lives=Generations(ProcessGeneration(2, 70)))
    assert made.heard(last + 2 * S, back) is not None
    made.heard(last + 2 * S + 1, replace(gone, number=42))
    assert made.status(last)["forwarders"] == 2, "its own word is newer than what the tier says"


def test_the_death_of_a_former_life_drops_nobody() -> None:
    made = _two_forwarders()
    gone = replace(
        SUMMARY, number=40, lives=Generations(ProcessGeneration(1, 70), (ProcessGeneration(2, 69),))
    )
    made.heard(START + 6 * S, gone)
    assert made.status(START)["forwarders"] == 2


def test_who_says_nothing_for_long_is_forgotten_also_while_there_is_room() -> None:
    made = _two_forwarders()
    made.heard(START + 60 * S, replace(SUMMARY, number=40))
    assert made.status(START)["forwarders"] == 1
