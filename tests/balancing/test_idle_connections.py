"""Idle connections are closed where holding them costs more than opening new ones."""

from __future__ import annotations

from helpers import CHECKED, MS, S, Stage, answer_health_checks, names, settings

from topazbank.balancing.actions import (
    CloseIdleConnections,
)


def test_an_idle_connection_is_closed_once_holding_it_costs_as_much_as_opening_one() -> None:
    stage = Stage(settings(fleet_size=100, prices={"connection": 0.08, "handshake": 0.08}))
    stage.servers(names(4))
    # 50 requests/s here are 1250/s per server from all sidecars, each costing 1% of the connection price.
    stage.serve(100)
    stage.wait(1 * S)
    closed = {action.server for action in stage.said(CloseIdleConnections)}
    assert closed == {send.server for _, send in stage.sends()}


def test_a_connection_in_use_or_without_a_price_is_not_closed() -> None:
    for prices, every_us in (
        ({"connection": 0.08, "handshake": 0.08}, 2 * MS),
        ({"handshake": 0.08}, 90 * MS),
    ):
        stage = Stage(settings(fleet_size=2, prices=prices))
        stage.servers(names(2))
        stage.serve(300, every_us=every_us)
        assert stage.said(CloseIdleConnections) == []


def test_a_server_with_an_idle_connection_is_chosen_among_equally_loaded_servers() -> None:
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
