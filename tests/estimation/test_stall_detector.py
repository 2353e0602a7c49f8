"""Tests of the detection of this process's stalls, as distinct from slow servers."""

from __future__ import annotations

from topazbank.estimation.stall_detector import StallDetector

MS = 1_000
INTERVAL = 50 * MS  # a tenth of the latency objective


def _detector(now: int) -> StallDetector:
    """Return a detector whose next heartbeat is due after one interval."""
    detector = StallDetector(10 * INTERVAL, MS)
    assert detector.heartbeat_interval_us == INTERVAL
    detector.heartbeat_due_at = now + INTERVAL
    return detector


def test_a_heartbeat_that_is_late_by_more_than_an_interval_is_a_stall() -> None:
    # The process gets no CPU for a second.  Responses that arrive meanwhile are read only after it.
    detector = _detector(0)
    resumed_at = 20 * INTERVAL
    detector.observe(resumed_at, by_timer=False)
    assert detector.just_resumed and detector.catching_up
    assert detector.stalled_total_us == 19 * INTERVAL
    detector.observe(resumed_at, by_timer=False)
    assert detector.just_resumed
    detector.observe(resumed_at + 20 * INTERVAL, by_timer=False)
    assert not detector.just_resumed and detector.catching_up
    detector.observe(resumed_at + 20 * INTERVAL + 1, by_timer=False)
    assert not detector.catching_up


def test_a_heartbeat_that_is_late_by_exactly_one_interval_is_no_stall() -> None:
    detector = _detector(0)
    detector.observe(2 * INTERVAL, by_timer=True)
    assert not detector.catching_up and detector.stalled_total_us == 0
    assert detector.heartbeat_due_at == 0


def test_only_a_timer_completes_a_heartbeat_that_is_on_time() -> None:
    # Under load, timers fire after other events.  If another event completed the heartbeat, a stall that follows would
    # remain undetected.
    detector = _detector(0)
    detector.observe(INTERVAL + 1, by_timer=False)
    assert detector.heartbeat_due_at == INTERVAL
    detector.observe(3 * INTERVAL, by_timer=False)
    assert detector.catching_up


def test_without_a_heartbeat_due_a_long_pause_between_events_is_no_stall() -> None:
    detector = StallDetector(10 * INTERVAL, MS)
    detector.observe(10**9, by_timer=False)
    assert not detector.catching_up and detector.stalled_total_us == 0
