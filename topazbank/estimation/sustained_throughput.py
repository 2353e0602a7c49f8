"""The highest throughput that the fleet has sustained of late, relative to its capacity.

Failure guarded against: a belief in overload that sustains itself.  A sidecar that rejects nearly all requests gets
nearly no answers that could show that the overload is over.  What the fleet has sustained for the capacity that it had
is therefore admitted at any time, scaled to the capacity that is left.  No I/O; times in microseconds.
"""

from __future__ import annotations

import math

from topazbank.estimation.decaying_sum import DecayingRate

PEAK_DECAY_OBJECTIVES = 16.0  # the peak decays e-fold in this many of the longest latency objective
ADMITTED_RATIO = 0.6  # of the sustained throughput


class SustainedThroughput:
    """The decaying peak of this sidecar's timely throughput per unit of server capacity."""

    __slots__ = ("_peak", "_peak_decay_us", "_timely", "_updated_at")

    def __init__(self, longest_objective_us: int) -> None:
        # Latency objectives of timely responses, per time: requests in flight if each took its whole objective.
        self._timely = DecayingRate(longest_objective_us)
        self._peak_decay_us = PEAK_DECAY_OBJECTIVES * longest_objective_us
        self._peak = 0.0
        self._updated_at = 0

    def note_timely_response(self, now: int, latency_objective_us: int) -> None:
        """Count a response that came within its latency objective."""
        self._timely.add(now, latency_objective_us)

    def admissible_load(self, now: int, capacity: float) -> float:
        """Return the load to admit whatever late answers show: requests in flight if each took its whole objective.

        `capacity`: of the servers that are available now, in any unit that stays the same between calls.
        """
        self._peak *= math.exp((self._updated_at - now) / self._peak_decay_us) if self._updated_at else 1.0
        self._updated_at = now
        if capacity > 0.0:
            self._peak = max(self._peak, self._timely.per_us(now) / capacity)
        return ADMITTED_RATIO * self._peak * capacity
