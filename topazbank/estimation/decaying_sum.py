"""Exponentially decaying sums: a linear fit over recent observations and a rate over a sliding window.

No I/O.  Times are in microseconds.  Memory is constant, whatever the number of observations.
"""

from __future__ import annotations

import math

FIT_DECAY_RATIO = 0.03  # weight lost with each observation: the fit covers about the last thirty
FIT_SAMPLES_MIN = 5.0  # decayed count below which the fit gives no value


class DecayingLinearFit:
    """A least-squares line through exponentially decaying observations (x, y)."""

    __slots__ = ("_n", "_x", "_xx", "_xy", "_y")

    def __init__(self) -> None:
        self._n = self._x = self._y = self._xx = self._xy = 0.0

    def add(self, x: float, y: float) -> None:
        """Add one observation; earlier ones lose `FIT_DECAY_RATIO` of their weight."""
        keep = 1.0 - FIT_DECAY_RATIO
        self._n = keep * self._n + 1.0
        self._x = keep * self._x + x
        self._y = keep * self._y + y
        self._xx = keep * self._xx + x * x
        self._xy = keep * self._xy + x * y

    def throughput(self, time: float) -> float | None:
        """Return completions per unit of time by Little's law: mean x (in flight) over mean y (in units of `time`).

        None: too few observations, or no positive y.
        """
        return self._x / (self._y * time) if self._n >= FIT_SAMPLES_MIN and self._y > 0.0 else None

    def predict(self, x: float) -> float | None:
        """Return the y expected at x, which never falls as x grows; None: too few observations."""
        if self._n < FIT_SAMPLES_MIN:
            return None
        mean_x, mean_y = self._x / self._n, self._y / self._n
        variance = self._xx / self._n - mean_x * mean_x
        slope = max(self._xy / self._n - mean_x * mean_y, 0.0) / (variance + 1.0)
        return mean_y + slope * (x - mean_x)


class DecayingRate:
    """An amount per microsecond over a sliding window: a sum that decays e-fold in each window."""

    __slots__ = ("_sum", "_updated_at", "_window_us")

    def __init__(self, window_us: float) -> None:
        self._window_us = window_us
        self._sum = 0.0
        self._updated_at = 0

    def set_window_us(self, window_us: float) -> None:
        """Average over another window from now on; the rate at this moment stays the same."""
        self._sum *= window_us / self._window_us
        self._window_us = window_us

    def add(self, now: int, amount: float) -> None:
        """Add an amount at time `now`."""
        self._decay(now)
        self._sum += amount

    def per_us(self, now: int) -> float:
        """Return the amount per microsecond as of `now`."""
        self._decay(now)
        return self._sum / self._window_us

    def _decay(self, now: int) -> None:
        if now > self._updated_at:
            self._sum *= math.exp((self._updated_at - now) / self._window_us)
            self._updated_at = now
