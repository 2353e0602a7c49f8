"""The highest throughput that the fleet has recently sustained, relative to its capacity.

This guards against an estimate of overload that sustains itself: a sidecar that rejects nearly all requests receives
too few responses to detect the end of the overload.  A part of the sustained throughput is therefore always admitted,
scaled from the capacity of that time to the current capacity.  No I/O; times in microseconds.
"""

from __future__ import annotations

import math

from topazbank.estimation.decaying_sum import DecayingRate

PEAK_DECAY_OBJECTIVES = 16.0  # time constant of the peak's decay, in longest latency objectives
ADMITTED_RATIO = 0.6  # part of the sustained throughput that is always admitted


class SustainedThroughput:
    """The decaying peak of this sidecar's timely throughput per unit of server capacity."""

    __slots__ = ("_peak", "_peak_decay_us", "_timely_load", "_updated_at")

    def __init__(self, longest_objective_us: int) -> None:
        # Rate of the summed latency objectives of timely responses.  It equals the requests in flight if each request
        # took its whole objective.
        self._timely_load = DecayingRate(longest_objective_us)
        self._peak_decay_us = PEAK_DECAY_OBJECTIVES * longest_objective_us
        self._peak = 0.0
        self._updated_at = 0

    def note_timely_response(self, now: int, latency_objective_us: int) -> None:
        """Count a response received within its latency objective."""
        self._timely_load.add(now, latency_objective_us)

    def admissible_load(self, now: int, capacity: float) -> float:
        """Return the load to admit regardless of late responses.

        Its unit is requests in flight if each request took its whole objective.  `capacity`: the capacity of the
        servers that are available now, in any unit that is the same for all calls.
        """
        self._peak *= math.exp((self._updated_at - now) / self._peak_decay_us) if self._updated_at else 1.0
        self._updated_at = now
        if capacity > 0.0:
            self._peak = max(self._peak, self._timely_load.per_us(now) / capacity)
        return ADMITTED_RATIO * self._peak * capacity
