"""Tests of the load that is admitted regardless of late responses."""

from __future__ import annotations

import pytest

from topazbank.estimation.sustained_throughput import ADMITTED_RATIO, SustainedThroughput

MS = 1_000
S = 1_000_000
OBJECTIVE = 1 * S


def _serve(sustained: SustainedThroughput, now: int, seconds: float, interval: int) -> int:
    """Count timely responses at an interval; return the end time."""
    for _ in range(int(seconds * S / interval)):
        now += interval
        sustained.note_timely_response(now, OBJECTIVE)
        sustained.admissible_load(now, 10.0)
    return now


def test_sustained_load_is_admitted_while_no_response_is_timely() -> None:
    # The estimate indicates overload.  Requests whose responses would indicate the end of the overload are rejected.
    sustained = SustainedThroughput(OBJECTIVE)
    # At 20 per second, 20 requests are in flight if each takes its whole objective.
    now = _serve(sustained, 0, 5, 50 * MS)
    assert sustained.admissible_load(now + 2 * S, 10.0) == pytest.approx(20 * ADMITTED_RATIO, rel=0.2)


def test_admitted_load_is_proportional_to_the_remaining_capacity() -> None:
    sustained = SustainedThroughput(OBJECTIVE)
    now = _serve(sustained, 0, 5, 50 * MS)
    full = sustained.admissible_load(now + 1 * S, 10.0)
    assert sustained.admissible_load(now + 1 * S, 4.0) == pytest.approx(0.4 * full, rel=0.01)
    assert sustained.admissible_load(now + 1 * S, 0.0) == 0.0


def test_load_that_was_sustained_long_ago_is_no_longer_admitted() -> None:
    sustained = SustainedThroughput(OBJECTIVE)
    now = _serve(sustained, 0, 5, 50 * MS)
    before = sustained.admissible_load(now, 10.0)
    assert sustained.admissible_load(now + 60 * S, 10.0) < 0.05 * before
