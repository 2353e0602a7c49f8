"""Checks of attempts' latency against two thresholds, and the decaying share of checks that failed.

Failure guarded against: a late answer describes the time at which its request was sent.  At the onset of overload
none comes yet, and after it late ones keep coming for seconds.  So an attempt counts as slow as soon as it has been in
flight for the threshold, answered or not.  No I/O; times in microseconds.
"""

from __future__ import annotations

SHARE_STEP_MIN = 0.03  # the share covers about the last thirty checks
SHARE_STEP_MAX = 0.16  # where checks are rare: a single one is chance to a large part


class LatencyCheck:
    """Whether one attempt is answered within the acceptable latency, and within the one that shows overload."""

    __slots__ = ("overload_at", "pending", "slow_at", "slow_counted")

    def __init__(self, slow_at: int, overload_at: int) -> None:
        self.slow_at = slow_at
        self.overload_at = max(slow_at, overload_at)
        self.slow_counted = False  # whether the result against the first threshold is counted
        self.pending = True  # until the second result is counted, or will never be


class DecayingShare:
    """The share of checks that failed, 0 to 1, weighted by the time since the check before."""

    __slots__ = ("_memory_us", "count", "share", "updated_at")

    def __init__(self, memory_us: float) -> None:
        """`memory_us`: a check that comes this long after the one before would replace the share, but for the bound."""
        self._memory_us = memory_us
        self.updated_at = 0
        self.count = 0  # checks so far
        self.share = 0.0

    def add(self, now: int, failed: float) -> None:
        """Add a check: 1.0 failed, 0.0 passed."""
        step = min((now - self.updated_at) / self._memory_us, SHARE_STEP_MAX)
        self.updated_at = now
        self.count += 1
        self.share += max(SHARE_STEP_MIN, step) * (failed - self.share)
