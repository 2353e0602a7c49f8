"""Exponentially decaying sums: a linear fit over recent observations, and a rate over a sliding window.

No I/O.  Durations are in microseconds.  Memory use does not depend on the number of observations.
"""

from __future__ import annotations

import math

FIT_DECAY_RATIO = 0.03  # weight lost with each new observation: the fit covers about the last 30
FIT_SAMPLES_MIN = 5.0  # minimum decayed number of observations for a result


class DecayingLinearFit:
    """A least-squares line through observations (x, y) with exponentially decaying weights."""

    __slots__ = ("_count", "_sum_x", "_sum_xx", "_sum_xy", "_sum_y")

    def __init__(self) -> None:
        self._count = self._sum_x = self._sum_y = self._sum_xx = self._sum_xy = 0.0

    def add(self, x: float, y: float) -> None:
        """Add an observation and reduce the weight of earlier ones by `FIT_DECAY_RATIO`."""
        retained_ratio = 1.0 - FIT_DECAY_RATIO
        self._count = retained_ratio * self._count + 1.0
        self._sum_x = retained_ratio * self._sum_x + x
        self._sum_y = retained_ratio * self._sum_y + y
        self._sum_xx = retained_ratio * self._sum_xx + x * x
        self._sum_xy = retained_ratio * self._sum_xy + x * y

    def throughput(self, y_unit_us: float) -> float | None:
        """Return completions per microsecond by Little's law: mean x (requests in flight) divided by mean y (latency).

        `y_unit_us`: the unit of y, in microseconds.  Returns None if there are too few observations or no positive y.
        """
        return (
            self._sum_x / (self._sum_y * y_unit_us)
            if self._count >= FIT_SAMPLES_MIN and self._sum_y > 0.0
            else None
        )

    def predict(self, x: float) -> float | None:
        """Return the expected y at x, or None if there are too few observations.  It never decreases as x grows."""
        if self._count < FIT_SAMPLES_MIN:
            return None
        mean_x, mean_y = self._sum_x / self._count, self._sum_y / self._count
        variance = self._sum_xx / self._count - mean_x * mean_x
        slope = max(self._sum_xy / self._count - mean_x * mean_y, 0.0) / (variance + 1.0)
        return mean_y + slope * (x - mean_x)


class DecayingRate:
    """An amount per microsecond over a sliding window: a sum that decays by a factor of e per window."""

    __slots__ = ("_sum", "_updated_at", "_window_us")

    def __init__(self, window_us: float) -> None:
        self._window_us = window_us
        self._sum = 0.0
        self._updated_at = 0

    def set_window_us(self, window_us: float) -> None:
        """Change the length of the window without changing the current rate."""
        self._sum *= window_us / self._window_us
        self._window_us = window_us

    def add(self, now: int, amount: float) -> None:
        """Add an amount at `now`."""
        self._decay(now)
        self._sum += amount

    def per_us(self, now: int) -> float:
        """Return the amount per microsecond at `now`."""
        self._decay(now)
        return self._sum / self._window_us

    def _decay(self, now: int) -> None:
        if now > self._updated_at:
            self._sum *= math.exp((self._updated_at - now) / self._window_us)
            self._updated_at = now
