"""Endpoint list updates: draining and removed servers receive no requests."""

from __future__ import annotations

from helpers import Stage, names

from topazbank.balancing.events import (
    AttemptEnded,
    Outcome,
    ServerState,
    UpdateKind,
)


def test_a_draining_or_removed_server_receives_no_requests_after_the_update() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.drain("10.0.0.1:80")
    stage.servers([*names(3)[1:], "10.0.0.9:80"])
    for _ in range(100):
        stage.request()
    targets = {attempt.server for _, attempt in stage.sends()}
    assert targets == {"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"}


def test_an_update_that_lists_a_removed_server_again_makes_it_ready() -> None:
    stage = Stage()
    stage.servers(["10.0.0.1:80"])
    stage.drain("10.0.0.1:80", ServerState.REMOVED)
    assert stage.sends(stage.request()) == []
    stage.servers(["10.0.0.1:80"], UpdateKind.DELTA)
    assert len(stage.sends(stage.request())) == 1


def test_no_attempt_is_sent_to_a_draining_or_removed_server() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.balancer.lifecycle.requests[stage.request()]
    server = next(
        candidate
        for candidate in stage.balancer.servers.by_name.values()
        if candidate is not request.attempts[0].server
    )
    for state in (ServerState.DRAINING, ServerState.REMOVED):
        stage.drain(server.name, state)
        assert not stage.balancer.sender.send(request, server)
    stage.servers([server.name], UpdateKind.DELTA)
    assert stage.balancer.sender.send(request, stage.balancer.servers.by_name[server.name])


def test_a_removed_server_is_dropped_once_no_attempt_to_it_is_in_flight() -> None:
    # Guards against memory growth where servers are replaced all day, and against removed servers that count towards
    # the share of servers that may be ejected.
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay")
    removed = stage.balancer.lifecycle.requests[request].attempts[0].server
    stage.balancer.ejection._eject(removed, "test")
    others = [name for name in names(3) if name != removed.name]
    stage.servers(others)
    assert set(stage.balancer.servers.by_name) == set(names(3)) and not stage.balancer.ejected
    stage.play(AttemptEnded(request, 0, removed.name, Outcome.CONNECTION_LOST, 1, False))
    stage.servers(others)
    assert (
        set(stage.balancer.servers.by_name)
        == set(others)
        == {server.name for server in stage.balancer.servers.by_number.values()}
    )
    assert stage.balancer.load.in_objective == 0
