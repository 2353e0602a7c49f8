"""The retry policy: which requests may be retried, where, until when and how often."""

from __future__ import annotations

import pytest
from helpers import MS, START, S, Stage, names, settings

from topazbank.balancing.actions import (
    CancelAttempt,
    Fail,
    Reject,
)
from topazbank.balancing.events import (
    Outcome,
    ServerDescription,
    UpdateKind,
)


def test_retries_after_failures_stay_within_a_budget() -> None:
    stage = Stage()
    stage.servers(names(40))
    for _ in range(400):
        stage.wait(MS)
        request = stage.request()
        while stage.balancer.lifecycle.requests.get(request) is not None:
            stage.end(request, Outcome.CONNECTION_LOST)
    assert len(stage.sends()) <= 400 * 1.25 + 10


@pytest.mark.parametrize(
    "outcome", [Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.TIMED_OUT, Outcome.CANCELLED]
)
def test_a_non_idempotent_request_that_may_have_run_fails_and_is_not_retried(outcome: Outcome) -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    stage.wait(10 * MS)
    stage.end(request, outcome)
    assert len(stage.sends(request)) == 1
    assert [failure.request for failure in stage.said(Fail)] == [request]
    assert stage.said(Reject) == []


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.UNSENT])
def test_a_non_idempotent_request_that_never_ran_is_retried_on_another_server(outcome: Outcome) -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    stage.wait(10 * MS)
    stage.end(request, outcome)
    targets = [attempt.server for _, attempt in stage.sends(request)]
    assert len(targets) == 2 and targets[0] != targets[1]


def servers_in_two_cells() -> list[ServerDescription]:
    return [ServerDescription(name, zone="east", cell=index % 2) for index, name in enumerate(names(8))]


def test_a_request_with_an_idempotency_key_that_may_have_run_stays_in_its_cell() -> None:
    for seed in range(20):
        stage = Stage(seed=seed)
        stage.servers(servers_in_two_cells())
        cell_of = {server.name: server.cell for server in servers_in_two_cells()}
        request = stage.request("amend")
        for _ in range(3):
            stage.wait(10 * MS)
            stage.end(request, Outcome.CONNECTION_LOST)
        targets = [attempt.server for _, attempt in stage.sends(request)]
        assert len(targets) > 1
        assert len({cell_of[target] for target in targets}) == 1


def test_a_request_with_an_idempotency_key_stays_in_the_cell_its_first_server_had_at_sending_time() -> None:
    # Guards against a server that restarts in another cell: the first attempt may have run in the former cell.
    stage = Stage()
    stage.servers([ServerDescription("a", zone="east", cell=0)])
    request = stage.request("amend")
    stage.servers(
        [
            ServerDescription("a", zone="east", cell=1, started_at=stage.now),
            ServerDescription("b", zone="east", cell=1),
            ServerDescription("c", zone="east", cell=0),
        ],
        UpdateKind.DELTA,
    )
    stage.wait(10 * MS)
    stage.end(request, Outcome.CONNECTION_LOST)
    assert [attempt.server for _, attempt in stage.sends(request)] == ["a", "c"]


def test_a_retry_with_an_idempotency_key_has_a_write_deadline() -> None:
    stage = Stage()
    stage.servers(servers_in_two_cells())
    request = stage.request("amend", remaining_us=4 * S)
    stage.wait(100 * MS)
    stage.end(request, Outcome.CONNECTION_LOST)
    (_, first), (_, second) = stage.sends(request)
    assert first.write_by >= first.give_up_at
    assert START + 1 * S < second.write_by < START + 2 * S


def test_a_request_with_an_idempotency_key_is_not_retried_once_servers_forget_the_key() -> None:
    stage = Stage()
    stage.servers(servers_in_two_cells())
    request = stage.request("amend", remaining_us=4 * S)
    stage.wait(2 * S)
    stage.end(request, Outcome.CONNECTION_LOST)
    assert len(stage.sends(request)) == 1
    assert [failure.request for failure in stage.said(Fail)] == [request]


def test_a_request_at_a_silent_server_is_cancelled_and_then_retried_where_hedging_is_off() -> None:
    stage = Stage(settings(limits={"hedging": False}))
    stage.servers(names(6))
    stage.serve(100)
    request = stage.request("look")
    hung = stage.target(request)
    for _ in range(60):
        stage.wait(10 * MS)
        other = stage.request("look")
        if stage.target(other) != hung:
            stage.end(other)
    assert [cancellation.request for cancellation in stage.said(CancelAttempt)][:1] == [request]
    assert len(stage.sends(request)) == 1
    stage.end(request, Outcome.CANCELLED, answered=False)
    assert len(stage.sends(request)) == 2


def test_the_sender_sends_a_hedged_request_only_if_hedging_is_on() -> None:
    for allowed in (False, True):
        stage = Stage(settings(limits={"hedging": allowed}))
        stage.servers(names(3))
        request = stage.balancer.lifecycle.requests[stage.request()]
        server = next(
            server
            for server in stage.balancer.servers.by_name.values()
            if server is not request.attempts[0].server
        )
        assert stage.balancer.sender.send(request, server) is allowed


def test_a_non_idempotent_request_fails_after_a_rejection_where_rejected_requests_may_have_run() -> None:
    stage = Stage(settings(rules={"rejects_after_start": True}))
    stage.servers(names(5))
    request = stage.request("pay")
    stage.wait(10 * MS)
    stage.end(request, Outcome.REJECTED)
    assert len(stage.sends(request)) == 1
    assert [failure.request for failure in stage.said(Fail)] == [request]
    assert stage.said(Reject) == []


def test_a_keyed_request_stays_in_its_cell_and_window_where_rejected_requests_may_have_run() -> None:
    for seed in range(20):
        stage = Stage(settings(rules={"rejects_after_start": True}), seed=seed)
        stage.servers(servers_in_two_cells())
        cell_of = {server.name: server.cell for server in servers_in_two_cells()}
        request = stage.request("amend", remaining_us=4 * S)
        for _ in range(2):
            stage.wait(10 * MS)
            stage.end(request, Outcome.REJECTED)
        targets = [attempt.server for _, attempt in stage.sends(request)]
        assert len(targets) == 3 and len({cell_of[target] for target in targets}) == 1
        stage.wait(2 * S)
        stage.end(request, Outcome.REJECTED)
        assert len(stage.sends(request)) == 3
        assert [failure.request for failure in stage.said(Fail)] == [request]
