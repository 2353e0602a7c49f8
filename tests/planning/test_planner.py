"""Planner: plans computed from summary reports; no I/O."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from helpers import START

from topazbank.cluster.member import Generations, ProcessGeneration
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

SERVERS = {f"n-{number}": PlannedServer(f"n-{number}", (0.5, 1.0, 2.0)[number % 3]) for number in range(6)}
SUMMARY = SummaryReport(
    "f", "life", 1, US_PER_S // 10, -1, "", -1, None, {"look": RequestCounts(1, 1, 0)}, {}
)


def leading(epoch: int = 1, servers: dict[str, PlannedServer] | None = None) -> Planner:
    planner = Planner("p")
    planner.update_servers(START, SERVERS if servers is None else servers)
    planner.start_leading(epoch)
    return planner


def usage(**values: float) -> ServerUsage:
    return ServerUsage(**values)  # type: ignore[arg-type]


def test_a_new_planner_is_up_to_date_after_one_round_of_summaries() -> None:
    usages = {
        f"n-{number}": usage(
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
        old.handle_summary(START + number * US_PER_S // 10, replace(SUMMARY, number=number, servers=usages))
    new.update_servers(START, SERVERS)
    new.start_leading(2)
    at = START + 3 * US_PER_S
    fresh = {name: replace(server, reported_at_us=at) for name, server in usages.items()}
    last = replace(SUMMARY, number=31, servers=fresh)
    plans = [planner.handle_summary(at, last) for planner in (old, new)]
    weights = [{name: share.weight for name, share in plan.shares.items() if share} for plan in plans if plan]
    assert len(weights) == 2
    assert {max(by_server, key=by_server.__getitem__) for by_server in weights} == {"n-2"}


def test_a_loaded_server_gets_less_weight_and_an_idle_fast_server_the_most() -> None:
    planner = leading()
    usages = {
        name: usage(
            answered=2,
            response_time_us=200_000,
            reported_in_flight=2.0,
            reported_at_us=START,
            concurrency=2.0,
        )
        for name in SERVERS
    }
    usages["n-2"] = usage(
        answered=2, response_time_us=100_000, reported_in_flight=0.0, reported_at_us=START, concurrency=2.0
    )
    usages["n-5"] = usage(
        answered=2, response_time_us=100_000, reported_in_flight=30.0, reported_at_us=START, concurrency=2.0
    )
    plan = planner.handle_summary(
        START, replace(SUMMARY, request_classes={"look": RequestCounts(50, 50, 0)}, servers=usages)
    )
    plan = planner.handle_summary(
        START + US_PER_S // 5,
        replace(SUMMARY, number=2, request_classes={"look": RequestCounts(50, 50, 0)}, servers=usages),
    )
    assert plan is not None
    shares = {name: share for name, share in plan.shares.items() if share is not None}
    assert max(shares, key=lambda name: shares[name].weight) == "n-2"
    assert (
        shares["n-5"].relative_wait > 3 * shares["n-2"].relative_wait
        and shares["n-5"].weight < shares["n-2"].weight / 3
    )


def test_a_standby_gives_no_plan_and_a_deposed_leader_stops() -> None:
    planner = leading(epoch=3)
    standby = Planner("q")
    standby.update_servers(START, SERVERS)
    assert standby.handle_summary(START, SUMMARY) is None and standby.epoch is None
    assert planner.handle_summary(START, SUMMARY) is not None
    assert planner.handle_summary(START, replace(SUMMARY, number=2, epoch=4, planner="q")) is None
    assert planner.epoch is None and planner.highest_epoch == 4


def test_later_plans_hold_only_the_changes() -> None:
    planner = leading()
    first = planner.handle_summary(START, SUMMARY)
    assert first is not None and first.base_sequence is None and set(first.shares) == set(SERVERS)
    summary = replace(SUMMARY, number=2, epoch=1, planner="p", sequence=first.sequence)
    second = planner.handle_summary(START + 1000, summary)
    assert second is not None and second.base_sequence == first.sequence and not second.shares
    planner.update_servers(START + 2000, {name: server for name, server in SERVERS.items() if name != "n-3"})
    third = planner.handle_summary(START + 2000, replace(summary, number=3, sequence=second.sequence))
    assert third is not None and third.shares["n-3"] is None
    # The forwarder still follows the first plan: a response was lost.
    complete = planner.handle_summary(START + 3000, replace(summary, number=4, sequence=first.sequence))
    assert complete is not None and complete.base_sequence is None and "n-3" not in complete.shares


def test_a_restarted_planner_continues_after_the_followed_sequence() -> None:
    plan = leading(epoch=1).handle_summary(START, replace(SUMMARY, epoch=1, planner="p", sequence=40))
    assert plan is not None and plan.base_sequence is None and plan.sequence == 41


def test_a_server_ejected_by_most_forwarders_gets_no_weight() -> None:
    planner = leading()
    for number in range(4):
        usages = {"n-2": usage(ejected=number < 3)}
        planner.handle_summary(START, replace(SUMMARY, forwarder=f"f-{number}", servers=usages))
    planner._update_weights(START + US_PER_S)
    plan = planner.handle_summary(START + US_PER_S, replace(SUMMARY, forwarder="f-9"))
    assert plan is not None and plan.shares["n-2"] is not None and plan.shares["n-2"].weight == 0.0


def test_a_starting_server_gets_little_weight_and_its_slow_start_ratio_falls_while_it_is_overloaded() -> None:
    starting = {**SERVERS, "n-1": PlannedServer("n-1", 1.0, warm_at_us=START + 20 * US_PER_S)}
    planner = leading(servers=starting)
    idle = planner.handle_summary(
        START + US_PER_S, replace(SUMMARY, request_classes={"look": RequestCounts(20, 20, 0)})
    )
    assert idle is not None and idle.shares["n-1"] is not None and idle.shares["n-4"] is not None
    assert (
        idle.shares["n-1"].slow_start_ratio == 1.0 and idle.shares["n-1"].weight < idle.shares["n-4"].weight
    )
    usages = {
        "n-1": usage(reported_in_flight=8.0, reported_at_us=START + US_PER_S, concurrency=2.0),
        "n-4": usage(reported_in_flight=8.0, reported_at_us=START + US_PER_S, concurrency=2.0),
    }
    loaded = planner.handle_summary(START + 2 * US_PER_S, replace(SUMMARY, number=2, servers=usages))
    assert loaded is not None and loaded.shares["n-1"] is not None and loaded.shares["n-4"] is not None
    assert loaded.shares["n-1"].slow_start_ratio == 0.25 and loaded.shares["n-4"].slow_start_ratio == 1.0


def test_too_many_summaries_are_shed_and_the_period_grows(monkeypatch: pytest.MonkeyPatch) -> None:
    # In proportion, 500 forwarders exceed this limit as 5,000 forwarders exceed that of one core.
    monkeypatch.setattr(forwarder_table, "SUMMARIES_PER_SECOND_MAX", 200.0)
    planner = leading()
    answered = 0
    for number in range(500):
        answered += (
            planner.handle_summary(START + number * 200, replace(SUMMARY, forwarder=f"f-{number}"))
            is not None
        )
    assert planner.summaries_shed > 300 and answered + planner.summaries_shed == 500
    chance, order = random.Random(1), list(range(500))
    for second in range(1, 9):  # the period grows with the known forwarders until none is shed
        chance.shuffle(order)  # a forwarder without a response retries after a random time
        for position, number in enumerate(order):
            summary = replace(SUMMARY, forwarder=f"f-{number}", number=second)
            planner.handle_summary(START + second * US_PER_S + position * 2000, summary)
    assert planner.summary_period_us() > 2.5 * US_PER_S and len(planner._forwarders) > 450
    plan = planner.handle_summary(START + 10 * US_PER_S, replace(SUMMARY, forwarder="f-1", number=19))
    # With a long period the plan's data are old, so it limits confidence.
    assert plan is not None and plan.lease_us == LEASE_US_MAX and plan.confidence_max < 0.1


def test_forwarders_are_bounded_and_expire_without_summaries(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(forwarder_table, "FORWARDERS_MAX", 3)
    planner = leading()
    for number in range(5):
        planner.handle_summary(START, replace(SUMMARY, forwarder=f"f-{number}"))
    assert set(planner._forwarders.forwarders) == {"f-0", "f-1", "f-2"} and planner.summaries_shed == 2
    assert (
        planner.handle_summary(
            START + forwarder_table.FORGET_AFTER_US + US_PER_S, replace(SUMMARY, forwarder="f-4")
        )
        is not None
    )
    assert set(planner._forwarders.forwarders) == {"f-4"}


def test_subsets_are_bounded_and_balanced_and_change_little() -> None:
    many = {f"n-{number}": PlannedServer(f"n-{number}") for number in range(300)}
    planner = leading(servers=many)
    names = [f"f-{number}" for number in range(300)]
    subsets = {name: set(planner._subset(name)) for name in names}
    assert {len(servers) for servers in subsets.values()} == {subset.SUBSET_SIZE}
    counts = [sum(server in servers for servers in subsets.values()) for server in many]
    assert min(counts) > 5 and max(counts) < 3 * subset.SUBSET_SIZE
    del many["n-7"]
    planner.update_servers(START, many)
    changed = sum(len(subsets[name] - set(planner._subset(name))) for name in names)
    assert changed == counts[7]  # only the subsets that contained it


def test_a_summary_is_bounded_and_holds_the_most_used_servers() -> None:
    collector = SummaryCollector()
    for number in range(200):
        for _ in range(number % 7):
            collector.attempt_sent(f"n-{number}")
    collector.attempt_ended(START, "n-6", True, 90_000, {"inflight": 2.0, "queue": 3.0, "util": 1.0})
    summary = collector.collect(START, "f", "life", FollowedPlan(1, "p", 2), frozenset({"n-6", "n-0"}))
    assert len(summary.servers) == SERVERS_MAX
    entry = summary.servers["n-6"]
    assert (entry.reported_in_flight, entry.concurrency, entry.answered, entry.in_flight, entry.ejected) == (
        5.0,
        2.0,
        1,
        5,
        True,
    )
    after = collector.collect(START + US_PER_S, "f", "life", FollowedPlan(1, "p", 2), frozenset())
    assert after.number == 2 and after.servers["n-6"].in_flight == 5 and after.servers["n-6"].sent == 0


def test_a_sketch_gives_quantiles_within_a_quarter_and_can_be_merged() -> None:
    one, other = QuantileSketch(), QuantileSketch()
    for number in range(1, 1001):
        (one if number % 2 else other).add(number * 1000.0)
    one.merge(other)
    for ratio in (0.1, 0.5, 0.99):
        assert one.quantile(ratio) == pytest.approx(ratio * 1e6, rel=0.25)
    assert QuantileSketch().quantile(0.5) is None


def _two_forwarders() -> Planner:
    """A planner with two equally loaded forwarders of one cluster: `f` with ident 1 and `g` with ident 2."""
    planner = leading()
    for number in range(1, 40):
        at = START + number * US_PER_S // 10
        for name, ident in (("f", 1), ("g", 2)):
            summary = replace(
                SUMMARY, forwarder=name, number=number, request_classes={"look": RequestCounts(9, 9, 0)}
            )
            planner.handle_summary(
                at, replace(summary, generations=Generations(ProcessGeneration(ident, 70)))
            )
    return planner


def test_a_forwarder_whose_end_the_cluster_confirms_is_removed_after_its_lease() -> None:
    planner = _two_forwarders()
    last = START + 39 * US_PER_S // 10
    report_of_end = replace(
        SUMMARY,
        number=40,
        request_classes={"look": RequestCounts(9, 9, 0)},
        generations=Generations(ProcessGeneration(1, 70), (ProcessGeneration(2, 70),)),
    )
    planner.handle_summary(last + US_PER_S // 10, report_of_end)
    assert planner.status(last)["forwarders"] == 2, "the lease of its last plan may not have expired"
    planner.handle_summary(last + US_PER_S, replace(report_of_end, number=41))
    assert planner.status(last)["forwarders"] == 1
    later = replace(SUMMARY, forwarder="g", number=40, generations=Generations(ProcessGeneration(2, 70)))
    assert planner.handle_summary(last + 2 * US_PER_S, later) is not None
    planner.handle_summary(last + 2 * US_PER_S + 1, replace(report_of_end, number=42))
    assert planner.status(last)["forwarders"] == 2, "its summary is newer than the report of its end"


def test_the_end_of_an_earlier_generation_removes_no_forwarder() -> None:
    planner = _two_forwarders()
    report_of_end = replace(
        SUMMARY, number=40, generations=Generations(ProcessGeneration(1, 70), (ProcessGeneration(2, 69),))
    )
    planner.handle_summary(START + 6 * US_PER_S, report_of_end)
    assert planner.status(START)["forwarders"] == 2


def test_a_forwarder_without_summaries_expires_even_below_the_bound() -> None:
    planner = _two_forwarders()
    planner.handle_summary(START + 60 * US_PER_S, replace(SUMMARY, number=40))
    assert planner.status(START)["forwarders"] == 1
