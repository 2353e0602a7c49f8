"""Checks of attempts' latency against two thresholds, and the decaying share of failed checks.

A late response reflects the load at the time when its request was sent.  At the onset of overload there are no late
responses yet, and after an overload late responses still arrive for seconds.  An attempt therefore counts as slow as
soon as it has been in flight for the threshold, with or without a response.  No I/O; times in microseconds.
"""

from __future__ import annotations

SHARE_STEP_MIN = 0.03  # the share covers about the last 30 checks
SHARE_STEP_MAX = 0.16  # limits the influence of a single check, which is noisy, where checks are rare


class LatencyCheck:
    """Checks of one attempt: against the acceptable latency, and against the latency that indicates overload."""

    __slots__ = ("overload_at", "pending", "slow_at", "slow_counted")

    def __init__(self, slow_at: int, overload_at: int) -> None:
        self.slow_at = slow_at
        self.overload_at = max(slow_at, overload_at)
        self.slow_counted = False  # whether the result for `slow_at` has been counted
        # False once the result for `overload_at` has been counted, or the attempt has ended without one.
        self.pending = True

    def given_up(self, now: int) -> None:
        """End the check of an attempt given up without a response, unless it was in flight for both thresholds."""
        if now < self.overload_at:
            self.pending = False


class DecayingShare:
    """The share of failed checks, 0 to 1; each check is weighted by the time since the previous one."""

    __slots__ = ("_memory_us", "count", "share", "updated_at")

    def __init__(self, memory_us: float) -> None:
        """`memory_us`: time between checks that would give a check full weight if `SHARE_STEP_MAX` did not apply."""
        self._memory_us = memory_us
        self.updated_at = 0
        self.count = 0  # number of checks so far
        self.share = 0.0

    def add(self, now: int, failed: float) -> None:
        """Add the result of a check; `failed`: 1.0 if it failed, 0.0 if it passed."""
        step = min((now - self.updated_at) / self._memory_us, SHARE_STEP_MAX)
        self.updated_at = now
        self.count += 1
        self.share += max(SHARE_STEP_MIN, step) * (failed - self.share)
