"""Outlier ejection: which servers are ejected, and how they are readmitted."""

from __future__ import annotations

from helpers import MS, S, Stage, names, settings

from topazbank.balancing.actions import (
    CheckHealth,
    LogMessage,
)
from topazbank.balancing.events import (
    AttemptEnded,
    HealthCheckEnded,
    Outcome,
    ResponseStarted,
    ServerDescription,
    UpdateKind,
)


def _with_one_hung(stage: Stage, rounds: int) -> tuple[str, list[int]]:
    """Good traffic, except that one server answers nothing from some moment on."""
    stage.servers(names(6))
    stage.serve(120)
    first = stage.request()
    hung = stage.target(first)
    stuck = [first]
    for _ in range(rounds):
        stage.wait(10 * MS)
        request = stage.request()
        if stage.target(request) == hung:
            stuck.append(request)
        else:
            stage.wait(30 * MS)
            stage.end(request)
    return hung, stuck


def test_a_silent_server_is_ejected_while_others_respond_and_its_idempotent_requests_are_hedged() -> None:
    stage = Stage()
    hung, stuck = _with_one_hung(stage, 20)
    assert any(each.text.startswith(f"ejected {hung}") for each in stage.said(LogMessage))
    copies = [each.server for _, each in stage.sends(stuck[0])]
    assert len(copies) > 1 and hung not in copies[1:]


def test_a_server_whose_large_responses_are_in_flight_is_not_taken_for_silent() -> None:
    # Guards servers against requests that only take long to be passed on: their answers have begun.
    stage = Stage()
    stage.servers(names(6))
    stage.serve(120)
    burst = [stage.request() for _ in range(24)]
    giving = stage.target(burst[0])  # the first one there is slow
    for request in burst[1:]:
        stage.wait(2 * MS)
        if stage.target(request) == giving:
            stage.play(ResponseStarted(request, 0, giving, 30 * MS))  # it has no end yet
        else:
            stage.end(request)
    for _ in range(20):
        stage.wait(20 * MS)
        request = stage.request()
        if stage.target(request) != giving:
            stage.wait(10 * MS)
            stage.end(request)
    assert not any("silent" in each.text for each in stage.said(LogMessage))


def test_an_ejected_server_is_readmitted_by_one_probation_attempt_at_a_time() -> None:
    stage = Stage()
    hung, stuck = _with_one_hung(stage, 20)
    before = len([1 for _, each in stage.sends() if each.server == hung])
    for request in stuck:
        stage.end(request, Outcome.TIMED_OUT, attempt=0, answered=False)
    for _ in range(60):
        stage.wait(60 * MS)
        request = stage.request()
        if stage.target(request) != hung:
            stage.end(request)
    trials = len([1 for _, each in stage.sends() if each.server == hung]) - before
    assert trials == 1
    trial = next(each.request for _, each in reversed(stage.sends()) if each.server == hung)
    stage.end(trial, attempt=0)
    assert stage.said(LogMessage)[-1].text == f"readmitted {hung}"


def test_servers_that_are_all_silent_are_not_all_ejected() -> None:
    stage = Stage()
    stage.servers(names(6))
    stage.serve(120)
    for _ in range(200):
        stage.request("pay")
        stage.wait(15 * MS)
    ejected = [each for each in stage.balancer.servers.by_name.values() if each.ejected_until is not None]
    assert len(ejected) <= 2


def test_a_timeout_of_a_server_that_answers_others_is_not_counted_as_its_failure() -> None:
    stage = Stage()
    stage.servers(names(1))
    for _ in range(6):
        stage.serve(60)
        old = stage.request("pay", remaining_us=S)
        stage.wait(900 * MS)
        new = stage.request("pay")
        stage.wait(50 * MS)
        stage.end(new)
        stage.wait(30 * MS)
        stage.end(old, Outcome.TIMED_OUT, answered=False)
    assert not any("ejected" in each.text for each in stage.said(LogMessage))


def test_a_restarted_process_is_readmitted_as_a_warming_server() -> None:
    stage = Stage()
    hung, _ = _with_one_hung(stage, 20)
    stage.servers([ServerDescription(hung, "east", started_at=stage.now)], UpdateKind.DELTA)
    server = stage.balancer.servers.by_name[hung]
    assert server.ejected_until is None and stage.balancer.slow_start.is_warming(server)


def test_failed_connections_begin_a_slow_start_and_broken_ones_do_not() -> None:
    # Guards against a network that breaks connections by chance: in a while every server would be cold.
    for outcome, cold in ((Outcome.CONNECTION_LOST, False), (Outcome.CONNECT_FAILED, True)):
        stage = Stage()
        stage.servers(names(1))
        server = stage.balancer.servers.by_name[names(1)[0]]
        for _ in range(3):
            request = stage.request("pay")
            stage.play(AttemptEnded(request, 0, server.name, outcome, 1, False))
        assert server.failures_in_row == 3 and stage.balancer.slow_start.is_warming(server) is cold


KEYED = {
    "name": "reserve",
    "deadline_us": 3 * S,
    "latency_objective_us": 600 * MS,
    "priority_weight": 8,
    "idempotency": "keyed",
    "idempotency_scope": "cell",
    "idempotency_window_us": 6 * S,
}


UNSAFE = {
    "name": "invoice",
    "deadline_us": 3 * S,
    "latency_objective_us": 1200 * MS,
    "priority_weight": 5,
    "idempotency": "non_idempotent",
}


def lose(stage: Stage, lost: set[str], rounds: int) -> dict[str, int]:
    """Serve requests; those to the lost servers can't connect.  Gives the dials that failed, for each of them."""
    dials: dict[str, int] = {}
    for _ in range(rounds):
        stage.wait(40 * MS)
        request, ended = stage.request("pay"), 0
        while len(stage.sends(request)) > ended:
            ended = len(stage.sends(request))
            target = stage.target(request)
            stage.wait(50 * MS)
            if target in lost:
                dials[target] = dials.get(target, 0) + 1
                stage.end(request, Outcome.CONNECT_FAILED, answered=False)
            else:
                stage.end(request)
    return dials


def ejected(stage: Stage) -> list[str]:
    return [
        each.text.split()[1].rstrip(":") for each in stage.said(LogMessage) if each.text.startswith("ejected")
    ]


def test_in_a_lost_zone_one_failed_connection_a_server_is_enough_once_the_loss_is_noticed() -> None:
    stage = Stage()
    stage.servers(names(20))
    stage.serve(200, name="pay")
    lost = {
        each.name for each in stage.balancer.servers.ready[:10]
    }  # in the order in which they are drawn from
    dials: dict[str, int] = {}
    while not ejected(stage):
        for name, count in lose(stage, lost, 1).items():
            dials[name] = dials.get(name, 0) + count
    untouched = lost - dials.keys()
    for name, count in lose(stage, lost, 40).items():
        dials[name] = dials.get(name, 0) + count
    found = [name for name in untouched if name in dials]
    assert len(found) >= 2
    assert [dials[name] for name in found] == [1] * len(found)
    assert set(found) <= set(ejected(stage))


def test_one_failed_connection_alone_ejects_no_server() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.serve(60, name="pay")
    stage.wait(40 * MS)
    request = stage.request("pay")
    stage.wait(250 * MS)
    stage.end(request, Outcome.CONNECT_FAILED, answered=False)
    assert not stage.said(LogMessage)


def test_an_overloaded_server_that_answers_others_is_not_ejected_for_a_refused_connection() -> None:
    """Another server is out of reach just now; this one answers on the connections that it has."""
    stage = Stage()
    stage.servers(names(6))
    stage.serve(120, name="pay")
    lose(stage, {names(1)[0]}, 60)
    stage.wait(2 * S)
    before = len(stage.said(LogMessage))
    lose(stage, {names(1)[0]}, 0)
    stage.balancer.ejection._unreachable_at = stage.now
    first, second = stage.request("pay"), stage.request("pay")
    full = stage.target(first)
    while stage.target(second) != full:
        second = stage.request("pay")
    stage.wait(5 * MS)
    stage.end(first)
    stage.end(second, Outcome.CONNECT_FAILED, answered=False)
    assert len(stage.said(LogMessage)) == before


def test_an_unreachable_server_is_tested_by_a_health_check_where_no_request_may_be_risked() -> None:
    stage = Stage(
        settings(classes=[KEYED, UNSAFE], limits={"health_checks": True}, prices={"health_check": 0.08})
    )
    stage.servers(names(8))
    stage.serve(100, name="invoice")
    server = stage.balancer.servers.ready[0]
    lost, server.connect_failures_in_row = server.name, 1
    stage.balancer._context.now = stage.now
    stage.balancer.ejection._eject(server, "dial_failed")
    stage.balancer.slow_start.begin(server, stage.now)
    assert server.ejected_until is not None
    for _ in range(120):
        stage.wait(50 * MS)
        request = stage.request("invoice")
        assert stage.target(request) != lost or server.ejected_until is None
        stage.wait(40 * MS)
        stage.end(request)
        if stage.said(CheckHealth):
            break
    (probe,) = stage.said(CheckHealth)
    assert probe.server == lost
    stage.play(HealthCheckEnded(lost, Outcome.CONNECT_FAILED, 250 * MS))
    assert server.ejected_until > stage.now  # longer out, and tried again later
    for _ in range(400):
        stage.wait(50 * MS)
        request = stage.request("invoice")
        stage.wait(40 * MS)
        stage.end(request)
        if len(stage.said(CheckHealth)) > 1:
            break
    stage.play(HealthCheckEnded(lost, Outcome.DELIVERED, MS, {}))
    assert server.ejected_until is None
    assert stage.balancer.slow_start.is_warming(server)  # it may be another process by now


def test_a_server_that_often_fails_between_responses_is_ejected_after_two_errors_or_so() -> None:
    stage = Stage()
    stage.servers(names(6))
    stage.serve(200, name="pay")
    bad = stage.balancer.servers.ready[0].name
    met = errors = 0
    for _ in range(30):
        stage.wait(40 * MS)
        burst = [stage.request("pay") for _ in range(6)]  # as many as there are servers
        stage.wait(30 * MS)
        for request in burst:
            met += stage.target(request) == bad
            if stage.target(request) == bad and met % 3:
                errors += 1
                stage.end(request, Outcome.ERROR, answered=False)
            else:
                stage.end(request)
    assert errors == 2
    assert ejected(stage) == [bad]


def test_rare_errors_among_many_responses_eject_no_server() -> None:
    stage = Stage()
    stage.servers(names(4))
    for number in range(400):
        stage.wait(40 * MS)
        request = stage.request("pay")
        stage.wait(30 * MS)
        stage.end(request, Outcome.ERROR if number % 40 == 39 else Outcome.DELIVERED, answered=False)
    assert ejected(stage) == []


def test_a_request_with_an_idempotency_key_tests_an_ejected_server_where_no_class_is_idempotent() -> None:
    stage = Stage(settings(classes=[KEYED, UNSAFE]))
    stage.servers(names(6))
    stage.serve(100, name="invoice")
    server = stage.balancer.servers.ready[0]
    server.error_score = 2.0
    stage.balancer._context.now = stage.now
    stage.balancer.ejection._eject(server, "error")
    stage.wait(5 * S)
    unsafe = stage.request("invoice")
    assert stage.target(unsafe) != server.name
    trial = stage.request("reserve", key=1)
    assert stage.target(trial) == server.name
    again = stage.request("reserve", key=2)
    assert stage.target(again) != server.name  # one at a time
    stage.wait(20 * MS)
    stage.end(trial)
    assert server.ejected_until is None
