"""Stalls of this process are not taken for faults of servers."""

from __future__ import annotations

from helpers import CHECKED, MS, S, Stage, answer_health_checks, names, settings, two_zones

from topazbank.balancing.actions import (
    LogMessage,
)
from topazbank.balancing.events import (
    Outcome,
)


def stalled(stage: Stage, span_us: int) -> None:
    """Time passes unseen; then the timers that fell due meanwhile fire at once."""
    stage.now += span_us
    stage.wait(0)


def test_a_stall_of_this_process_is_not_taken_for_slow_or_silent_servers() -> None:
    stage = Stage(settings())
    stage.servers(names(4))
    stage.serve(200)
    paces = {each.name: each.latency_ratio for each in stage.balancer.servers.ready}
    requests = [stage.request() for _ in range(8)]
    stalled(stage, 900 * MS)
    for each in requests:
        stage.end(each)
    stage.wait(100 * MS)
    assert {each.name: each.latency_ratio for each in stage.balancer.servers.ready} == paces
    assert [each for each in stage.said(LogMessage) if "ejected" in each.text] == []


def test_a_stall_is_noticed_among_many_events_and_excuses_all_that_it_delayed() -> None:
    stage = Stage(settings())
    stage.servers(names(4))
    stage.serve(200)
    paces = {each.name: each.latency_ratio for each in stage.balancer.servers.ready}
    held = [stage.request() for _ in range(16)]
    for _ in held:  # a long queue of events: each comes soon after the one before, and no timer between
        stage.now += 40 * MS
        stage.request()
    for each in held:
        stage.now += 5 * MS
        stage.end(each, Outcome.CONNECT_FAILED)
    assert {each.name: each.latency_ratio for each in stage.balancer.servers.ready} == paces
    assert [each for each in stage.said(LogMessage) if "ejected" in each.text] == []


def test_servers_that_are_slow_while_this_process_does_not_stall_are_noticed() -> None:
    stage = Stage(settings())
    stage.servers(names(4))
    stage.serve(200)
    paces = {each.name: each.latency_ratio for each in stage.balancer.servers.ready}
    requests = [stage.request() for _ in range(8)]
    stage.wait(900 * MS)
    for each in requests:
        stage.end(each)
    assert all(each.latency_ratio > paces[each.name] for each in stage.balancer.servers.ready)


def test_after_a_stall_all_zones_are_selected_from_without_health_checks() -> None:
    stage = Stage(settings(**CHECKED, prices={"cross_zone": 0.1}))
    stage.servers(two_zones())
    first = stage.request()
    answer_health_checks(stage, {})
    stage.now += 1 * S
    burst = [stage.request() for _ in range(6)]  # found at once on return
    assert all(len(stage.sends(each)) == 1 for each in (first, *burst))
    assert {stage.target(each) for each in burst} & set(names(6)[3:])


def test_a_request_that_spent_its_objective_in_a_stall_is_shed_where_a_late_answer_is_worthless() -> None:
    for worth, sent in ((0.0, 0), (0.5, 1)):
        stage = Stage(
            settings(
                classes=[
                    {"name": "look", "deadline_us": 2 * S, "latency_objective_us": 500 * MS}
                    | {"late_value_ratio": worth}
                ]
            )
        )
        stage.servers(names(4))
        stage.request("look", 1 * S)
        stage.now += 900 * MS
        stale, fresh = stage.request("look", 200 * MS), stage.request("look", 900 * MS)
        assert len(stage.sends(stale)) == sent and len(stage.sends(fresh)) == 1
