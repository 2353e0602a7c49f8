"""Stalls of this process are not attributed to servers."""

from __future__ import annotations

from helpers import CHECKED, MS, S, Stage, answer_health_checks, names, settings, two_zones

from topazbank.balancing.actions import (
    LogMessage,
)
from topazbank.balancing.events import (
    Outcome,
)


def stall(stage: Stage, duration_us: int) -> None:
    """Advance the clock without events, then fire all timers that became due."""
    stage.now += duration_us
    stage.wait(0)


def test_a_stall_of_this_process_is_not_attributed_to_slow_or_silent_servers() -> None:
    stage = Stage(settings())
    stage.servers(names(4))
    stage.serve(200)
    latency_ratios = {server.name: server.latency_ratio for server in stage.balancer.servers.ready}
    requests = [stage.request() for _ in range(8)]
    stall(stage, 900 * MS)
    for request in requests:
        stage.end(request)
    stage.wait(100 * MS)
    assert {server.name: server.latency_ratio for server in stage.balancer.servers.ready} == latency_ratios
    assert [message for message in stage.said(LogMessage) if "ejected" in message.text] == []


def test_a_stall_is_detected_among_many_events_and_excuses_all_delayed_attempts() -> None:
    stage = Stage(settings())
    stage.servers(names(4))
    stage.serve(200)
    latency_ratios = {server.name: server.latency_ratio for server in stage.balancer.servers.ready}
    delayed = [stage.request() for _ in range(16)]
    for _ in delayed:  # a long queue of events in quick succession, without a timer in between
        stage.now += 40 * MS
        stage.request()
    for request in delayed:
        stage.now += 5 * MS
        stage.end(request, Outcome.CONNECT_FAILED)
    assert {server.name: server.latency_ratio for server in stage.balancer.servers.ready} == latency_ratios
    assert [message for message in stage.said(LogMessage) if "ejected" in message.text] == []


def test_slow_servers_are_detected_while_this_process_does_not_stall() -> None:
    stage = Stage(settings())
    stage.servers(names(4))
    stage.serve(200)
    latency_ratios = {server.name: server.latency_ratio for server in stage.balancer.servers.ready}
    requests = [stage.request() for _ in range(8)]
    stage.wait(900 * MS)
    for request in requests:
        stage.end(request)
    assert all(server.latency_ratio > latency_ratios[server.name] for server in stage.balancer.servers.ready)


def test_after_a_stall_servers_of_all_zones_are_selected_without_health_checks() -> None:
    stage = Stage(settings(**CHECKED, prices={"cross_zone": 0.1}))
    stage.servers(two_zones())
    first = stage.request()
    answer_health_checks(stage, {})
    stage.now += 1 * S
    burst = [stage.request() for _ in range(6)]  # all received right after the stall
    assert all(len(stage.sends(request)) == 1 for request in (first, *burst))
    assert {stage.target(request) for request in burst} & set(names(6)[3:])


def test_a_request_delayed_past_its_objective_by_a_stall_is_shed_if_a_late_answer_has_no_value() -> None:
    for late_value_ratio, sent in ((0.0, 0), (0.5, 1)):
        stage = Stage(
            settings(
                classes=[
                    {"name": "look", "deadline_us": 2 * S, "latency_objective_us": 500 * MS}
                    | {"late_value_ratio": late_value_ratio}
                ]
            )
        )
        stage.servers(names(4))
        stage.request("look", 1 * S)
        stage.now += 900 * MS
        stale, fresh = stage.request("look", 200 * MS), stage.request("look", 900 * MS)
        assert len(stage.sends(stale)) == sent and len(stage.sends(fresh)) == 1
