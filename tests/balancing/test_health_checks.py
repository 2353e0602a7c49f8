"""Health checks that break ties between candidate servers."""

from __future__ import annotations

from collections.abc import Callable

from helpers import CHECKED, MS, Stage, answer_health_checks, names, settings, two_zones

from topazbank.balancing.actions import (
    CheckHealth,
    Reject,
)
from topazbank.balancing.events import (
    ServerDescription,
)


def serve_at_loads(
    stage: Stage, loads: list[float], response_ms: Callable[[float], float], capacities: dict[str, float]
) -> None:
    """Serve one request at each load; `loads` are requests in flight per unit of server capacity."""
    for load in loads:
        request = stage.request()
        answer_health_checks(stage, {name: load * capacity for name, capacity in capacities.items()})
        if stage.sends(request):
            stage.wait(int(response_ms(load) * MS))
            stage.end(request)


EQUAL_CAPACITIES = dict.fromkeys(names(4), 1.0)


def test_the_tied_server_with_the_lowest_reported_load_is_selected() -> None:
    stage = Stage(settings(**CHECKED))
    stage.servers(names(4))
    for idle in names(4):
        request = stage.request()
        assert stage.sends(request) == []
        answer_health_checks(stage, {name: 0.0 if name == idle else 5.0 for name in names(4)})
        assert stage.target(request) == idle
        stage.end(request)


def test_local_requests_in_flight_rank_before_health_check_reports() -> None:
    stage = Stage(settings(**CHECKED))
    stage.servers(names(2))
    first = stage.request()
    answer_health_checks(stage, {})
    second = stage.request()
    answer_health_checks(stage, {name: 0.0 if name == stage.target(first) else 9.0 for name in names(2)})
    assert stage.target(second) != stage.target(first)


def test_a_server_that_does_not_answer_its_health_check_is_skipped() -> None:
    stage = Stage(settings(**CHECKED))
    stage.servers(names(4))
    for _ in range(10):
        request = stage.request()
        answer_health_checks(stage, dict.fromkeys(names(4), 7.0), silent="10.0.0.1:80")
        stage.wait(50 * MS)
        assert stage.target(request) != "10.0.0.1:80"
        stage.end(request)


def test_a_request_is_sent_even_if_no_health_check_is_answered() -> None:
    stage = Stage(settings(**CHECKED))
    stage.servers(names(4))
    request = stage.request()
    stage.wait(50 * MS)
    assert len(stage.sends(request)) == 1


def test_no_health_check_is_sent_if_checks_are_expensive_or_off_or_responses_report_the_load() -> None:
    for changes in (
        {"prices": {"health_check": 0.05}},
        {"report": {"source": "responses", "columns": ["inflight"]}},
        {"limits": {"health_checks": False}},
    ):
        stage = Stage(settings(**{**CHECKED, **changes}))
        stage.servers(names(4))
        assert len(stage.sends(stage.request())) == 1
        assert stage.said(CheckHealth) == []


def test_requests_are_shed_while_all_servers_are_loaded_and_admitted_once_load_drops() -> None:
    stage = Stage(settings(**CHECKED))
    stage.servers(names(4))
    serve_at_loads(stage, [0.0, 10.0] * 20, lambda load: 40 + 40 * load, EQUAL_CAPACITIES)
    rejected = stage.request("amend")
    answer_health_checks(stage, dict.fromkeys(names(4), 30.0))
    assert stage.sends(rejected) == [] and stage.said(Reject)[-1].request == rejected
    admitted = stage.request("amend")
    answer_health_checks(stage, dict.fromkeys(names(4), 1.0))
    assert len(stage.sends(admitted)) == 1


def test_idle_servers_receive_requests_even_after_late_responses() -> None:
    # Guards against a sidecar whose first responses were late because of its own stall: it rejected nearly all
    # requests, and took seconds to learn that its servers were idle.
    stage = Stage(settings(**CHECKED))
    stage.servers(names(4))
    serve_at_loads(stage, [0.0, 6.0] * 5, lambda _: 550, EQUAL_CAPACITIES)
    sends_before = len(stage.sends())
    serve_at_loads(stage, [0.0] * 20, lambda _: 20, EQUAL_CAPACITIES)
    assert len(stage.sends()) == sends_before + 20


def test_a_large_server_with_more_requests_in_flight_is_not_considered_overloaded() -> None:
    # In a fleet of widely different machines, a load that fills a small server leaves a large one nearly idle.
    capacities = dict(zip(names(4), (8.0, 1.0, 1.0, 1.0), strict=True))
    stage = Stage(settings(**CHECKED))
    stage.servers(
        [ServerDescription(name, "east", nominal_capacity=capacity) for name, capacity in capacities.items()]
    )
    serve_at_loads(stage, [0.0, 10.0] * 20, lambda load: 40 + 100 * load, capacities)
    in_flight = {name: 14.0 if name == names(1)[0] else 15.0 for name in names(4)}
    request = stage.request("amend")
    answer_health_checks(stage, in_flight)
    assert stage.target(request) == names(1)[0]
    rejected = stage.request("amend")
    answer_health_checks(stage, dict.fromkeys(names(4), 80.0))
    assert stage.sends(rejected) == []


def test_the_local_zone_is_preferred_until_it_is_loaded_if_zone_crossings_are_expensive() -> None:
    stage = Stage(settings(**CHECKED, prices={"cross_zone": 0.1}))
    stage.servers(two_zones())
    local = set(names(3))
    for _ in range(20):
        for load in (0.0, 3.0):
            request = stage.request()
            answer_health_checks(stage, dict.fromkeys(names(6), load))
            answer_health_checks(stage, dict.fromkeys(names(6), load))
            stage.wait(int((40 + 40 * load) * MS))
            assert load or stage.target(request) in local
            stage.end(request)
    actions_before = len(stage.log)
    request = stage.request()
    assert {
        action.server for _, action in stage.log[actions_before:] if isinstance(action, CheckHealth)
    } == local
    answer_health_checks(stage, dict.fromkeys(local, 8.0))
    answer_health_checks(stage, dict.fromkeys(local, 8.0))
    assert stage.target(request) not in local
