"""The adaptive concurrency limit, and what it sheds."""

from __future__ import annotations

import pytest
from helpers import MS, SAFE, S, Stage, names, settings

from topazbank.balancing.actions import (
    CancelAttempt,
    Reject,
)
from topazbank.balancing.events import (
    Outcome,
)


def _overload(stage: Stage, spans: int) -> None:
    """Servers that answer ever later as more is in flight, asked for far more than they can do."""
    stage.servers(names(4))
    out: list[int] = []
    for tick in range(spans):
        stage.wait(10 * MS)
        for name in ("look", "pay"):
            request = stage.request(name)
            if stage.sends(request):
                out.append(request)
        if tick % 2 and out:  # one answer for four requests, oldest first
            request = out.pop(0)
            if (
                request in stage.balancer.lifecycle.requests
                and not stage.balancer.lifecycle.requests[request].answered
            ):
                stage.end(request, attempt=0)


def test_a_surge_is_shed_early_and_low_priorities_more() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.serve(200)
    _overload(stage, 600)
    asked = {each.request for each in stage.said(Reject)}
    looks = sum(1 for each in asked if each % 2)  # asked for in turn, so half of them would be even-handed
    assert len(asked) > 300 and looks > 0.5 * len(asked)
    unsent = [each.request for each in stage.said(Reject) if not stage.sends(each.request)]
    assert len(unsent) > 0.5 * len(stage.said(Reject))


def test_the_limit_admits_all_again_once_the_load_falls() -> None:
    stage = Stage()
    stage.serve(1)
    _overload(stage, 400)
    stage.wait(10 * S)
    for request in list(stage.balancer.lifecycle.requests.values()):
        for attempt in request.attempts:
            if attempt.pending:
                stage.end(request.number, Outcome.CANCELLED, attempt.index, answered=True)
    stage.wait(11 * S)  # what was given up on counts for as long again
    stage.serve(600)  # a small window takes some aims to grow; a chance refusal meanwhile is no fault
    refused = len(stage.said(Reject))
    stage.serve(300)
    assert len(stage.said(Reject)) == refused


def test_a_limit_that_abandoned_attempts_fill_admits_some_all_the_same() -> None:
    # Guards against a balancer whose whole window is taken by ghosts: it refused all for seconds, and heard nothing.
    stage = Stage()
    stage.servers(names(8))
    stage.serve(100, every_us=50 * MS, taking_us=40 * MS)
    out = []
    for _ in range(30):
        stage.wait(5 * MS)
        out.append(stage.request("pay"))
    stage.wait(1800 * MS)
    for each in out:
        stage.end(each, Outcome.CANCELLED, answered=True)
    stage.balancer.limit.limit = 4.0  # less than what it has given up on
    since = stage.now
    for _ in range(20):
        stage.wait(20 * MS)
        stage.request("pay")
    assert any(at >= since for at, _ in stage.sends())


def test_attempts_past_their_objective_no_longer_count_as_load() -> None:
    # Guards against a few attempts stuck at slow servers that fill a small window while the fleet stands idle.
    stage = Stage()
    stage.servers(names(8))
    out = [stage.request("pay") for _ in range(6)]
    assert stage.balancer.load.in_objective == 6
    stage.wait(520 * MS)  # the aim is 500
    assert stage.balancer.load.in_objective == 0
    assert sum(each.load(stage.now) for each in stage.balancer.servers.by_name.values()) == 6
    for each in out:
        stage.end(each)
    assert stage.balancer.load.in_objective == 0


def test_an_idle_fleet_sheds_nothing() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.serve(800)
    assert stage.said(Reject) == [] and stage.said(CancelAttempt) == []


def test_two_at_once_are_no_overload_for_a_small_balancer() -> None:
    stage = Stage()
    stage.servers(names(8))
    stage.balancer.limit.limit = 1.0
    stage.balancer.limit._sized_at = stage.now
    for _ in range(10):
        pair = (stage.request(), stage.request())
        stage.wait(50 * MS)
        for request in pair:
            stage.end(request)
        stage.wait(900 * MS)
    assert not stage.said(Reject)


def _late_with_reports(cores: float) -> int:
    stage = Stage()
    stage.servers(names(8))
    refused = 0
    for _ in range(300):
        stage.wait(60 * MS)
        request = stage.request()
        if stage.sends(request):
            stage.wait(550 * MS)
            stage.end(request, attempt=0, report={"util": cores})
        else:
            refused += 1
    return refused


def test_late_responses_from_servers_with_idle_cpus_are_not_taken_for_overload() -> None:
    assert _late_with_reports(0.4) < 5  # the first comes with no report yet
    assert _late_with_reports(1.0) > 30


def test_cpu_reports_do_not_hold_the_limit_open_where_many_requests_are_in_flight() -> None:
    stage = Stage()
    stage.servers(names(8))
    out: list[tuple[int, int]] = []
    for _ in range(600):
        stage.wait(10 * MS)
        request = stage.request()
        if stage.sends(request):
            out.append((stage.now, request))
        while out and stage.now - out[0][0] >= (550 if out[0][1] % 8 == 0 else 300) * MS:  # one in eight late
            stage.end(out.pop(0)[1], attempt=0, report={"util": 0.5})
    assert len(stage.said(Reject)) > 50


def test_a_silent_server_counts_as_busy_whatever_its_last_report_said() -> None:
    stage = Stage()
    stage.servers(names(8))
    for _ in range(20):
        stage.wait(50 * MS)
        request = stage.request()
        stage.wait(50 * MS)
        stage.end(request, attempt=0, report={"util": 0.3})
    for _ in range(400):
        stage.wait(20 * MS)
        stage.request("pay")  # none of these is ever answered
    assert len(stage.said(Reject)) > 100


def test_late_responses_shed_nothing_while_servers_report_idle_cpus() -> None:
    # Guards against own lag, silent connections and a few slow servers, all of which look like overload.
    stage = Stage(settings())
    stage.servers(names(4))
    held: list[int] = []
    for count in range(800):
        stage.wait(20 * MS)
        held.append(stage.request())
        if len(held) > min(3 + count // 10, 30):  # in the end 600 ms each, at an aim of 500
            stage.end(held.pop(0), report={"util": 0.2})
    assert stage.balancer.load.mean > 20.0
    assert stage.said(Reject) == []


def test_busy_cpus_alone_limit_nothing_once_responses_tell() -> None:
    # Guards fleets that serve all in time at full cores: priced connections or not, nothing is refused there.
    stage = Stage(settings(classes=[SAFE], prices={"handshake": 0.05}))
    stage.servers(names(4))
    out: list[tuple[int, int]] = []
    for step in range(600):
        stage.wait(10 * MS)
        request = stage.request()
        if stage.sends(request):
            out.append((stage.now + 120 * MS, request))
        while out and out[0][0] <= stage.now:
            stage.end(out.pop(0)[1], report={"util": 0.5 if step < 200 else 1.0})
    late = [at for at, each in stage.log if isinstance(each, Reject) and at > stage.now - 4 * S]
    assert not late


@pytest.mark.parametrize(("handshake", "most"), [(0.05, 40), (0.0, None)])
def test_where_connections_cost_busy_cpus_limit_requests_before_any_response_is_late(
    handshake: float, most: int | None
) -> None:
    # Long aims tell of a jam after seconds, and by then all that waits has opened connections of its own.
    aims = {"latency_objective_us": 5 * S, "deadline_us": 20 * S}
    stage = Stage(settings(classes=[SAFE | aims], prices={"handshake": handshake}))
    stage.servers(names(4))
    held: list[int] = []
    for step in range(300):
        stage.wait(10 * MS)
        request = stage.request(remaining_us=20 * S)
        if stage.sends(request):
            held.append(request)
        if step % 6 == 5 and held:  # what comes is six times what is served
            stage.end(held.pop(0), report={"util": 1.0})
    assert len(held) <= most if most is not None else len(held) > 200


def test_a_new_balancer_does_not_size_its_limit_by_its_first_responses() -> None:
    # Guards against refusals after each restart: all connections are new, and the rates not full yet.
    stage = Stage()
    stage.servers(names(8))
    stage.serve(60, every_us=10 * MS, taking_us=250 * MS)
    assert stage.balancer.limit.limit == float("inf")


def test_a_new_balancer_in_an_overloaded_fleet_sizes_its_limit_before_anything_is_late() -> None:
    # Guards against a restarted balancer that lets all in until late answers prove what silence told long before.
    stage = Stage()
    stage.servers(names(8))
    began = stage.now
    while stage.balancer.limit.limit == float("inf") and stage.now < began + 2 * S:
        stage.wait(10 * MS)
        stage.request()
    assert stage.now - began < 500 * MS
