"""Slow start: warming servers are neither overloaded nor starved."""

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
    start = stage.now
    cold_server = ServerDescription("10.0.0.6:80", zone="east", started_at=start)
    stage.servers([cold_server], UpdateKind.DELTA)
    while stage.now < start + 10 * S:
        requests = [stage.request() for _ in range(burst)]
        stage.wait(every_us)
        for request in requests:
            if stage.sends(request):
                stage.end(request)
    sent_times = [
        sent_at for sent_at, send in stage.sends() if send.server == "10.0.0.6:80" and sent_at >= start
    ]
    for end in sent_times:
        warmth = 0.2 + 0.8 * max(end - 2 * S - start, 0) / (10 * S)
        in_window = sum(1 for sent_at in sent_times if end - 2 * S < sent_at <= end)
        assert in_window <= max(1.0, 3 * warmth * warm_per_s * 2)
    assert sent_times or burst == 1  # with single requests the fastest known server receives all of them


def test_what_warm_servers_serve_is_counted_by_cost_not_by_number() -> None:
    rates = []
    for served_us in (100_000, 20_000):  # overload rejects the heavy requests, so light ones are served
        stage = Stage()
        stage.servers(names(4))
        for _ in range(60):
            stage.wait(20 * MS)
            stage.end(stage.request(cost_us=served_us))
            stage.request(remaining_us=0, cost_us=200_000 - served_us)  # too late to be sent
        rates.append(stage.balancer.slow_start._mean_warm_rate_per_us())
    assert 0.0 < rates[1] < 0.5 * rates[0]


def test_a_warm_server_is_not_held_back() -> None:
    stage = Stage()
    stage.servers(names(2))
    for _ in range(50):
        stage.request()
    assert len({send.server for _, send in stage.sends()}) == 2


def test_a_fleet_that_restarts_completely_is_not_starved_while_it_warms_up() -> None:
    # Guards against buckets that fill more slowly than cold servers can serve.  That rejected a third of the
    # requests when a release restarted the whole fleet.
    stage = Stage(settings())
    stage.servers(names(8))
    stage.serve(200, every_us=20 * MS)
    stage.wait(S)
    successors = [ServerDescription(f"10.0.1.{index}:80", "east", started_at=stage.now) for index in range(8)]
    stage.servers(successors)
    for half, sent_ratio_min in ((0, 0.3), (1, 0.65)):  # warmth goes from 0.2 to 1
        before, requested = len(stage.sends()), 250
        stage.serve(requested, every_us=20 * MS)
        sent = len(stage.sends()) - before
        assert sent >= sent_ratio_min * requested, f"{sent} of {requested} in half {half}"
