"""The trace of decisions, and its analysis for a fleet."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

import pytest
from helpers import MS, START, S, names
from helpers import settings as new_settings

from benchmarks.fleet_account import FleetAccount, trace_lines
from topazbank import Balancer
from topazbank.balancing.actions import SendAttempt
from topazbank.balancing.events import (
    AttemptEnded,
    EndpointsUpdated,
    Event,
    Outcome,
    RequestArrived,
    RequestCancelled,
    ServerDescription,
    UpdateKind,
)
from topazbank.core.trace import FIELDS, LINE_PREFIX, Trace


class RecordedTrace:
    """A balancer whose trace is collected in a list of lines."""

    def __init__(self, lines_per_second: int = 1000) -> None:
        self.now = START
        self.text: list[str] = []
        settings = new_settings()
        self.balancer = Balancer(settings, 3)
        self.trace = Trace(self.balancer, lines_per_second, self.text.append)
        self.trace.record_start(
            self.now,
            [
                (request_class.name, request_class.priority_weight, request_class.latency_objective_us)
                for request_class in settings.classes
            ],
            40,
        )
        self.play(
            EndpointsUpdated(UpdateKind.SNAPSHOT, [ServerDescription(name, "east") for name in names(4)], 1)
        )

    def play(self, event: Event) -> list[SendAttempt]:
        actions = self.balancer.handle(self.now, event)
        self.trace.record(self.now, event, actions)
        return [action for action in actions if isinstance(action, SendAttempt)]

    def call(self, request: int, latency_us: int, outcome: Outcome = Outcome.DELIVERED) -> None:
        (send,) = self.play(RequestArrived(request, "pay", "acme", None, 2 * S))
        self.now += latency_us
        answered = outcome is Outcome.DELIVERED
        self.play(AttemptEnded(request, 0, send.server, outcome, latency_us, answered))


def analyze(recorded: RecordedTrace, folder: Path) -> FleetAccount:
    (folder / "n0.log").write_text("".join(recorded.text), encoding="utf-8")
    account = FleetAccount(1.0)
    account.read(folder / "n0.log")
    return account


def test_late_and_failed_requests_count_as_lost_and_others_do_not(tmp_path: Path) -> None:
    recorded = RecordedTrace()
    recorded.call(1, 100 * MS)
    recorded.call(2, 900 * MS)  # the latency objective is 500 ms
    recorded.call(3, 10 * MS, Outcome.CONNECTION_LOST)  # the server may have executed it, so no retry
    recorded.play(RequestArrived(4, "pay", "acme", None, 2 * S))
    recorded.play(RequestCancelled(4))
    account = analyze(recorded, tmp_path)
    offered, in_time = account.by_class["pay"]
    assert (offered, in_time) == (40.0, 10.0)
    causes = sum((slot.causes for slot in account.intervals.values()), start=Counter[str]())
    assert causes == {"late": 1, "failed after dropped": 1, "client left, attempt out": 1}
    assert sum(slot.offered - slot.in_time for slot in account.intervals.values()) == 30.0


def test_a_client_retry_adds_no_demand_but_its_response_counts(tmp_path: Path) -> None:
    recorded = RecordedTrace()
    recorded.call(1, 900 * MS)
    (send,) = recorded.play(RequestArrived(2, "pay", "acme", None, 2 * S, client_retry=True))
    recorded.play(AttemptEnded(2, 0, send.server, Outcome.DELIVERED, 10 * MS, True))
    assert analyze(recorded, tmp_path).by_class["pay"] == [10.0, 10.0]


def test_requests_of_a_killed_sidecar_are_distinct_from_those_of_its_successor(tmp_path: Path) -> None:
    recorded = RecordedTrace()
    recorded.play(RequestArrived(1, "pay", "acme", None, 2 * S))
    successor = RecordedTrace()
    recorded.text += ['@["arrived",5', *("\n", *successor.text)]  # a line truncated by the kill
    account = analyze(recorded, tmp_path)
    assert account.starts == 2
    assert sum(slot.causes["sidecar ended"] for slot in account.intervals.values()) == 1


def test_lines_over_the_limit_per_second_are_counted_but_not_written(tmp_path: Path) -> None:
    recorded = RecordedTrace(lines_per_second=10)
    for request in range(1, 30):
        recorded.call(request, 1)
    lines_in_first_second = len(recorded.text)
    recorded.now += 2 * S
    recorded.call(100, 1)
    assert lines_in_first_second == 10
    account = analyze(recorded, tmp_path)
    assert account.dropped > 40


def test_every_line_has_the_documented_fields_and_no_key() -> None:
    recorded = RecordedTrace()
    recorded.play(RequestArrived(1, "amend", "acme", 987654321, 2 * S))
    recorded.call(2, 10 * MS)
    for line in recorded.text:
        kind, _, *fields = json.loads(line.removeprefix(LINE_PREFIX))
        assert len(fields) == len(FIELDS[kind])
        assert "987654321" not in line


def test_other_lines_of_a_log_are_skipped(tmp_path: Path) -> None:
    log = tmp_path / "n0.log"
    log.write_text('12.5 @["gone",7,1]\nejected s-1: silent\n@[broken\n', encoding="utf-8")
    assert list(trace_lines(log)) == [["gone", 7, 1]]


@pytest.mark.parametrize("lines_per_second", [-1, 1_000_000, True, "all"])
def test_an_invalid_line_limit_is_reported(lines_per_second: object) -> None:
    from topazbank.operator_config import operator_config_from

    with pytest.raises(ValueError, match=r"trace.lines_per_second: expected an integer from 0 to 100000"):
        operator_config_from({"trace": {"lines_per_second": lines_per_second}})
