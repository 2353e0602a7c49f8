"""Health checks that settle ties between servers."""

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


def learn(stage: Stage, loads: list[float], took: Callable[[float], float], sizes: dict[str, float]) -> None:
    """A request at each load, a unit of size, answered after what it takes there, milliseconds."""
    for load in loads:
        request = stage.request()
        answer_health_checks(stage, {name: load * size for name, size in sizes.items()})
        if stage.sends(request):
            stage.wait(int(took(load) * MS))
            stage.end(request)


ALIKE = dict.fromkeys(names(4), 1.0)


def test_of_tied_servers_the_least_loaded_by_its_health_check_is_chosen() -> None:
    stage = Stage(settings(**CHECKED))
    stage.servers(names(4))
    for idle in names(4):
        request = stage.request()
        assert stage.sends(request) == []
        answer_health_checks(stage, {each: 0.0 if each == idle else 5.0 for each in names(4)})
        assert stage.target(request) == idle
        stage.end(request)


def test_own_requests_in_flight_rank_before_what_health_checks_say() -> None:
    stage = Stage(settings(**CHECKED))
    stage.servers(names(2))
    first = stage.request()
    answer_health_checks(stage, {})
    second = stage.request()
    answer_health_checks(stage, {each: 0.0 if each == stage.target(first) else 9.0 for each in names(2)})
    assert stage.target(second) != stage.target(first)


def test_a_server_that_does_not_answer_its_health_check_is_passed_over() -> None:
    stage = Stage(settings(**CHECKED))
    stage.servers(names(4))
    for _ in range(10):
        request = stage.request()
        answer_health_checks(stage, dict.fromkeys(names(4), 7.0), silent="10.0.0.1:80")
        stage.wait(50 * MS)
        assert stage.target(request) != "10.0.0.1:80"
        stage.end(request)


def test_where_no_health_check_is_answered_the_request_is_sent_all_the_same() -> None:
    stage = Stage(settings(**CHECKED))
    stage.servers(names(4))
    request = stage.request()
    stage.wait(50 * MS)
    assert len(stage.sends(request)) == 1


def test_nothing_is_checked_where_a_health_check_is_dear_or_responses_carry_the_load() -> None:
    for changes in (
        {"prices": {"health_check": 0.05}},
        {"report": {"source": "responses", "columns": ["inflight"]}},
        {"limits": {"health_checks": False}},
    ):
        stage = Stage(settings(**{**CHECKED, **changes}))
        stage.servers(names(4))
        assert len(stage.sends(stage.request())) == 1
        assert stage.said(CheckHealth) == []


def test_loaded_servers_everywhere_mean_shedding_and_relief_ends_it_at_once() -> None:
    stage = Stage(settings(**CHECKED))
    stage.servers(names(4))
    learn(stage, [0.0, 10.0] * 20, lambda held: 40 + 40 * held, ALIKE)
    refused = stage.request("amend")
    answer_health_checks(stage, dict.fromkeys(names(4), 30.0))
    assert stage.sends(refused) == [] and stage.said(Reject)[-1].request == refused
    eased = stage.request("amend")
    answer_health_checks(stage, dict.fromkeys(names(4), 1.0))
    assert len(stage.sends(eased)) == 1


def test_idle_servers_are_sent_to_whatever_late_responses_foretell() -> None:
    # Guards a sidecar whose first answers came late in a stall of its own: refusing nearly all that came, it took
    # seconds to learn that its servers were idle.
    stage = Stage(settings(**CHECKED))
    stage.servers(names(4))
    learn(stage, [0.0, 6.0] * 5, lambda _: 550, ALIKE)
    late = len(stage.sends())
    learn(stage, [0.0] * 20, lambda _: 20, ALIKE)
    assert len(stage.sends()) == late + 20


def test_a_large_server_with_more_in_flight_is_not_taken_for_overloaded() -> None:
    # Guards against fleets of widely different machines: what fills a small one is nothing to a large one.
    sizes = dict(zip(names(4), (8.0, 1.0, 1.0, 1.0), strict=True))
    stage = Stage(settings(**CHECKED))
    stage.servers([ServerDescription(name, "east", nominal_capacity=size) for name, size in sizes.items()])
    learn(stage, [0.0, 10.0] * 20, lambda load: 40 + 100 * load, sizes)
    crowded = {name: 14.0 if name == names(1)[0] else 15.0 for name in names(4)}
    request = stage.request("amend")
    answer_health_checks(stage, crowded)
    assert stage.target(request) == names(1)[0]
    refused = stage.request("amend")
    answer_health_checks(stage, dict.fromkeys(names(4), 80.0))
    assert stage.sends(refused) == []


def test_where_crossings_are_dear_the_own_zone_is_selected_first_until_it_is_loaded() -> None:
    stage = Stage(settings(**CHECKED, prices={"cross_zone": 0.1}))
    stage.servers(two_zones())
    near = set(names(3))
    for _ in range(20):
        for held in (0.0, 3.0):
            request = stage.request()
            answer_health_checks(stage, dict.fromkeys(names(6), held))
            answer_health_checks(stage, dict.fromkeys(names(6), held))
            stage.wait(int((40 + 40 * held) * MS))
            assert held or stage.target(request) in near
            stage.end(request)
    before = len(stage.log)
    request = stage.request()
    assert {each.server for _, each in stage.log[before:] if isinstance(each, CheckHealth)} == near
    answer_health_checks(stage, dict.fromkeys(near, 8.0))
    answer_health_checks(stage, dict.fromkeys(near, 8.0))
    assert stage.target(request) not in near
