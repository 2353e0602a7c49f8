"""Idle connections are closed where holding them costs more than opening new ones."""

from __future__ import annotations

from helpers import CHECKED, MS, S, Stage, answer_health_checks, names, settings

from topazbank.balancing.actions import (
    CloseIdleConnections,
)


def test_an_idle_connection_is_closed_once_holding_it_cost_as_much_as_opening_one() -> None:
    stage = Stage(settings(fleet_size=100, prices={"connection": 0.08, "handshake": 0.08}))
    stage.servers(names(4))
    stage.serve(100)  # 50 a second here: 1250 a server from all, a hundredth of the price each
    stage.wait(1 * S)
    closed = {each.server for each in stage.said(CloseIdleConnections)}
    assert closed == {each.server for _, each in stage.sends()}


def test_a_connection_in_use_is_not_closed_and_none_is_where_connections_cost_nothing() -> None:
    for prices, every_us in (
        ({"connection": 0.08, "handshake": 0.08}, 2 * MS),
        ({"handshake": 0.08}, 90 * MS),
    ):
        stage = Stage(settings(fleet_size=2, prices=prices))
        stage.servers(names(2))
        stage.serve(300, every_us=every_us)
        assert stage.said(CloseIdleConnections) == []


def test_of_equal_servers_the_one_with_an_idle_connection_is_chosen() -> None:
    stage = Stage(settings(**CHECKED, prices={"handshake": 0.08}))
    stage.servers(names(4))
    targets = set()
    for _ in range(12):
        request = stage.request()
        answer_health_checks(stage, dict.fromkeys(names(4), 1.0))
        targets.add(stage.target(request))
        stage.wait(30 * MS)
        stage.end(request)
    assert len(targets) == 1
