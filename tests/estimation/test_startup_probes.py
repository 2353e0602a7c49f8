"""Tests of the load estimate from health checks at process start, and of the rejections that follow from it."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import MS, S, Stage, names, settings

from topazbank.balancing.actions import CheckHealth, Reject
from topazbank.balancing.events import HealthCheckEnded, Outcome, ServerDescription, UpdateKind
from topazbank.estimation.fleet_size import FleetSize
from topazbank.estimation.startup_probes import PROBES_MAX, StartupProbes, expected_latency_us

IDLE = {"inflight": 0.0, "queue": 0.0, "latency_ms": 60.0}
# Four requests are in service, so queueing takes four service times.
FULL = {"inflight": 20.0, "queue": 16.0, "latency_ms": 100.0}
EXPENSIVE_CHECKS = {
    "limits": {"health_checks": True},
    "report": {"source": "health_checks", "columns": ["inflight", "queue", "latency_ms"]},
    "prices": {"health_check": 0.08},
    "fleet_size": 40,
}


def start_sidecar(reports: dict[int, dict[str, float] | None], servers: int = 60, **changes: Any) -> Stage:
    """Start a sidecar from its cached list; the nth health check returns the nth report, or fails (None)."""
    stage = Stage(settings(**{**EXPENSIVE_CHECKS, **changes}))
    stage.servers([ServerDescription(name, "east") for name in names(servers)], UpdateKind.CACHED)
    for number, check in enumerate(stage.said(CheckHealth)):
        report = reports.get(number)
        stage.wait(MS)
        outcome = Outcome.CONNECT_FAILED if report is None else Outcome.DELIVERED
        stage.play(HealthCheckEnded(check.server, outcome, MS, report))
    return stage


def count_rejected(stage: Stage, count: int = 30) -> int:
    """Send `count` requests, one per millisecond, and return the number of rejected requests."""
    for _ in range(count):
        stage.wait(MS)
        stage.request("look")
    return len(stage.said(Reject))


def test_a_sidecar_that_starts_with_idle_servers_admits_all_requests() -> None:
    assert count_rejected(start_sidecar(dict.fromkeys(range(PROBES_MAX), IDLE))) == 0


def test_a_sidecar_that_restarts_with_full_servers_rejects_before_any_response_is_late() -> None:
    stage = start_sidecar(dict.fromkeys(range(PROBES_MAX), FULL))
    assert count_rejected(stage) > 3
    assert len(stage.sends()) > 3  # admits its share of the fleet's requests in flight


def test_one_full_server_out_of_six_is_not_a_full_fleet() -> None:
    assert count_rejected(start_sidecar({0: FULL, 1: IDLE, 2: IDLE, 3: IDLE, 4: IDLE, 5: IDLE})) == 0


def test_health_checks_that_all_fail_indicate_no_load() -> None:
    assert count_rejected(start_sidecar({})) == 0


def test_health_checks_are_sent_only_at_process_start() -> None:
    stage = start_sidecar(dict.fromkeys(range(PROBES_MAX), IDLE))
    for _ in range(5):
        stage.servers([ServerDescription(name, "east") for name in names(60)])
        count_rejected(stage)
        stage.wait(2 * S)
    assert len(stage.said(CheckHealth)) == PROBES_MAX


@pytest.mark.parametrize(
    "changes",
    [
        {"limits": {"health_checks": False}},
        {"fleet_size": 1},
        {"report": {"source": "health_checks", "columns": ["inflight"]}},
        {"report": {"source": "responses", "columns": ["inflight", "queue", "latency_ms"]}},
    ],
)
def test_no_health_check_is_sent_where_health_checks_cannot_indicate_load(changes: dict[str, Any]) -> None:
    assert start_sidecar({}, **changes).said(CheckHealth) == []


def test_the_fair_share_counts_the_servers_that_are_up() -> None:
    probes = StartupProbes(settings(**EXPENSIVE_CHECKS), FleetSize(settings(**EXPENSIVE_CHECKS).fleet_size))
    probes.start(0, 60)
    for report in (FULL, FULL, FULL, None, None, None):
        probes.add_result(report, 0.4)
    assert probes.fair_share(100 * MS, 60) == pytest.approx(20.0 * 30 / 40)


def test_the_estimate_expires_after_process_start() -> None:
    probes = StartupProbes(settings(**EXPENSIVE_CHECKS), FleetSize(settings(**EXPENSIVE_CHECKS).fleet_size))
    probes.start(0, 60)
    for _ in range(3):
        probes.add_result(FULL, 0.4)
    assert probes.fair_share(3 * S, 60) is None


@pytest.mark.parametrize(
    ("report", "expected"),
    [
        (IDLE, 60_000.0),
        (FULL, 500_000.0),
        ({"inflight": 3.0}, None),
        # An inconsistent report with more requests queued than in flight.
        ({"inflight": 3.0, "queue": 9.0, "latency_ms": 10.0}, 100_000.0),
        ({"inflight": -1.0, "queue": 0.0, "latency_ms": 10.0}, None),
    ],
)
def test_expected_latency_is_queueing_and_service(report: dict[str, float], expected: float | None) -> None:
    assert expected_latency_us(report) == expected


def test_two_full_servers_out_of_two_are_a_full_fleet() -> None:
    assert count_rejected(start_sidecar({0: FULL, 1: FULL}, servers=2)) > 3
