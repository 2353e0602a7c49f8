"""What a sidecar learns by a few probes when it begins, and what the decision module makes of it."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import MS, S, Stage, names, settings

from topazbank.balancing.actions import CheckHealth, Reject
from topazbank.balancing.events import HealthCheckEnded, Outcome, ServerDescription, UpdateKind
from topazbank.estimation.fleet_size import FleetSize
from topazbank.estimation.startup_probes import PROBES_MAX, StartupProbes, expected_latency_us

IDLE = {"inflight": 0.0, "queue": 0.0, "latency_ms": 60.0}
FULL = {"inflight": 20.0, "queue": 16.0, "latency_ms": 100.0}  # four in work: five times as long as the work
DEAR = {
    "limits": {"health_checks": True},
    "report": {"source": "health_checks", "columns": ["inflight", "queue", "latency_ms"]},
    "prices": {"health_check": 0.08},
    "fleet_size": 40,
}


def begin(reports: dict[int, dict[str, float] | None], servers: int = 60, **changes: Any) -> Stage:
    """A sidecar that begins with its last list; the nth probe ends with the nth report, None: it fails."""
    stage = Stage(settings(**{**DEAR, **changes}))
    stage.servers([ServerDescription(each, "east") for each in names(servers)], UpdateKind.CACHED)
    for number, probe in enumerate(stage.said(CheckHealth)):
        report = reports.get(number)
        stage.wait(MS)
        outcome = Outcome.CONNECT_FAILED if report is None else Outcome.DELIVERED
        stage.play(HealthCheckEnded(probe.server, outcome, MS, report))
    return stage


def refused(stage: Stage, count: int = 30) -> int:
    """How many of so many requests at once are turned away."""
    for _ in range(count):
        stage.wait(MS)
        stage.request("look")
    return len(stage.said(Reject))


def test_a_sidecar_that_begins_before_idle_servers_lets_all_in() -> None:
    assert refused(begin(dict.fromkeys(range(PROBES_MAX), IDLE))) == 0


def test_a_sidecar_that_returns_to_full_servers_does_not_let_all_in_until_answers_are_late() -> None:
    stage = begin(dict.fromkeys(range(PROBES_MAX), FULL))
    assert refused(stage) > 3
    assert len(stage.sends()) > 3  # but its share of what the fleet holds


def test_a_single_full_server_is_no_full_fleet() -> None:
    assert refused(begin({0: FULL, 1: IDLE, 2: IDLE, 3: IDLE, 4: IDLE, 5: IDLE})) == 0


def test_probes_that_all_fail_say_nothing_of_load() -> None:
    assert refused(begin({})) == 0


def test_no_more_than_a_few_probes_are_sent_whatever_comes_after() -> None:
    stage = begin(dict.fromkeys(range(PROBES_MAX), IDLE))
    for _ in range(5):
        stage.servers([ServerDescription(each, "east") for each in names(60)])
        refused(stage)
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
def test_nothing_is_asked_where_nothing_may_be_learnt(changes: dict[str, Any]) -> None:
    assert begin({}, **changes).said(CheckHealth) == []


def test_the_share_is_of_the_servers_that_are_there() -> None:
    soundings = StartupProbes(settings(**DEAR), FleetSize(settings(**DEAR).fleet_size))
    soundings.start(0, 60)
    for report in (FULL, FULL, FULL, None, None, None):
        soundings.add_result(report, 0.4)
    assert soundings.fair_share(100 * MS, 60) == pytest.approx(20.0 * 30 / 40)


def test_what_is_heard_long_after_the_start_is_the_windows_business() -> None:
    soundings = StartupProbes(settings(**DEAR), FleetSize(settings(**DEAR).fleet_size))
    soundings.start(0, 60)
    for _ in range(3):
        soundings.add_result(FULL, 0.4)
    assert soundings.fair_share(3 * S, 60) is None


@pytest.mark.parametrize(
    ("report", "expected"),
    [
        (IDLE, 60_000.0),
        (FULL, 500_000.0),
        ({"inflight": 3.0}, None),
        ({"inflight": 3.0, "queue": 9.0, "latency_ms": 10.0}, 100_000.0),  # junk, but no division by zero
        ({"inflight": -1.0, "queue": 0.0, "latency_ms": 10.0}, None),
    ],
)
def test_a_wait_is_worked_off_by_what_is_in_work(report: dict[str, float], expected: float | None) -> None:
    assert expected_latency_us(report) == expected


def test_two_servers_that_are_both_full_are_a_full_fleet() -> None:
    assert refused(begin({0: FULL, 1: FULL}, servers=2)) > 3
