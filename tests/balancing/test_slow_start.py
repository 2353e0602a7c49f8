"""Slow start: warming servers are not overloaded, and not starved."""

from __future__ import annotations

import pytest
from helpers import MS, S, Stage, names, settings

from topazbank.balancing.events import (
    ServerDescription,
    UpdateKind,
)


@pytest.mark.parametrize(("every_us", "burst"), [(10 * MS, 1), (200 * MS, 20), (500 * MS, 1)])
def test_a_warming_server_gets_no_more_than_its_share(every_us: int, burst: int) -> None:
    stage = Stage()
    stage.servers(names(6))
    stage.serve(300, every_us=10 * MS)
    warm_per_s = 100 / 6
    began = stage.now
    cold = ServerDescription("10.0.0.6:80", zone="east", started_at=began)
    stage.servers([cold], UpdateKind.DELTA)
    while stage.now < began + 10 * S:
        requests = [stage.request() for _ in range(burst)]
        stage.wait(every_us)
        for each in requests:
            if stage.sends(each):
                stage.end(each)
    times = [at for at, each in stage.sends() if each.server == "10.0.0.6:80" and at >= began]
    for end in times:
        warmth = 0.2 + 0.8 * max(end - 2 * S - began, 0) / (10 * S)
        inside = sum(1 for at in times if end - 2 * S < at <= end)
        assert inside <= max(1.0, 3 * warmth * warm_per_s * 2)
    assert times or burst == 1  # singly, the quickest known server takes all


def test_what_warm_servers_serve_is_counted_by_cost_not_by_number() -> None:
    rates = []
    for served_us in (100_000, 20_000):  # overload refuses the heavy ones, and the rest is light
        stage = Stage()
        stage.servers(names(4))
        for _ in range(60):
            stage.wait(20 * MS)
            stage.end(stage.request(cost_us=served_us))
            stage.request(remaining_us=0, cost_us=200_000 - served_us)  # too late to be sent
        rates.append(stage.balancer.slow_start._bearable_by_mean())
    assert 0.0 < rates[1] < 0.5 * rates[0]


def test_a_warm_server_is_not_held_back() -> None:
    stage = Stage()
    stage.servers(names(2))
    for _ in range(50):
        stage.request()
    assert len({each.server for _, each in stage.sends()}) == 2


def test_a_fleet_that_restarts_completely_is_not_starved_while_it_warms_up() -> None:
    # Guards against cold budgets below what cold servers bear: a release of the whole fleet refused a third.
    stage = Stage(settings())
    stage.servers(names(8))
    stage.serve(200, every_us=20 * MS)
    stage.wait(S)
    successors = [ServerDescription(f"10.0.1.{each}:80", "east", started_at=stage.now) for each in range(8)]
    stage.servers(successors)
    for half, least in ((0, 0.3), (1, 0.65)):  # warmth goes from 0.2 to 1
        before, asked = len(stage.sends()), 250
        stage.serve(asked, every_us=20 * MS)
        sent = len(stage.sends()) - before
        assert sent >= least * asked, f"{sent} of {asked} in half {half}"
