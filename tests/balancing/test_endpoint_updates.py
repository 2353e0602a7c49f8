"""Updates of the endpoint list: draining and removed servers get nothing."""

from __future__ import annotations

from helpers import Stage, names

from topazbank.balancing.events import (
    AttemptEnded,
    Outcome,
    ServerState,
    UpdateKind,
)


def test_a_draining_or_removed_server_gets_nothing_from_the_moment_of_the_update() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.drain("10.0.0.1:80")
    stage.servers([*names(3)[1:], "10.0.0.9:80"])
    for _ in range(100):
        stage.request()
    targets = {each.server for _, each in stage.sends()}
    assert targets == {"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"}


def test_a_snapshot_that_brings_a_server_back_makes_it_ready_again() -> None:
    stage = Stage()
    stage.servers(["10.0.0.1:80"])
    stage.drain("10.0.0.1:80", ServerState.REMOVED)
    assert stage.sends(stage.request()) == []
    stage.servers(["10.0.0.1:80"], UpdateKind.DELTA)
    assert len(stage.sends(stage.request())) == 1


def test_no_attempt_leaves_for_a_draining_or_removed_server() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.balancer.lifecycle.requests[stage.request()]
    server = next(
        each for each in stage.balancer.servers.by_name.values() if each is not request.attempts[0].server
    )
    for state in (ServerState.DRAINING, ServerState.REMOVED):
        stage.drain(server.name, state)
        assert not stage.balancer.sender.send(request, server)
    stage.servers([server.name], UpdateKind.DELTA)
    assert stage.balancer.sender.send(request, stage.balancer.servers.by_name[server.name])


def test_a_removed_server_is_forgotten_once_nothing_is_in_flight_to_it() -> None:
    # Guards memory where servers are replaced all day, and the share of the list that may be ejected.
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay")
    taken = stage.balancer.lifecycle.requests[request].attempts[0].server
    stage.balancer.ejection._eject(taken, "test")
    others = [each for each in names(3) if each != taken.name]
    stage.servers(others)
    assert set(stage.balancer.servers.by_name) == set(names(3)) and not stage.balancer.ejected
    stage.play(AttemptEnded(request, 0, taken.name, Outcome.CONNECTION_LOST, 1, False))
    stage.servers(others)
    assert (
        set(stage.balancer.servers.by_name)
        == set(others)
        == {s.name for s in stage.balancer.servers.by_number.values()}
    )
    assert stage.balancer.load.in_objective == 0
