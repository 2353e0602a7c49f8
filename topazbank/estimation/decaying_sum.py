"""Sums that fade: what was seen lately counts more than what was seen long ago."""

from __future__ import annotations

import math

FIT_STEP = 0.03  # a line is fitted over the last thirty observations or so
FIT_LEAST = 5.0  # fewer say nothing


class Fit:
    """A straight line through fading observations."""

    __slots__ = ("_n", "_x", "_xx", "_xy", "_y")

    def __init__(self) -> None:
        self._n = self._x = self._y = self._xx = self._xy = 0.0

    def add(self, x: float, y: float) -> None:
        keep = 1.0 - FIT_STEP
        self._n = keep * self._n + 1.0
        self._x = keep * self._x + x
        self._y = keep * self._y + y
        self._xx = keep * self._xx + x * x
        self._xy = keep * self._xy + x * y

    def rate(self, time: float) -> float | None:
        """What is held over the time it takes (Little's law)."""
        return self._x / (self._y * time) if self._n >= FIT_LEAST and self._y > 0.0 else None

    def at(self, x: float) -> float | None:
        """The value expected at x; it never falls as x grows."""
        if self._n < FIT_LEAST:
            return None
        mean_x, mean_y = self._x / self._n, self._y / self._n
        spread = self._xx / self._n - mean_x * mean_x
        slope = max(self._xy / self._n - mean_x * mean_y, 0.0) / (spread + 1.0)
        return mean_y + slope * (x - mean_x)


class Rate:
    """A rate over a sliding span of time: an exponentially fading count."""

    __slots__ = ("_at", "_count", "_span_us")

    def __init__(self, span_us: float) -> None:
        self._span_us = span_us
        self._count = 0.0
        self._at = 0

    def over(self, span_us: float) -> None:
        """Average over another span from now on."""
        self._count *= span_us / self._span_us
        self._span_us = span_us

    def add(self, now: int, amount: float) -> None:
        self._fade(now)
        self._count += amount

    def per_us(self, now: int) -> float:
        self._fade(now)
        return self._count / self._span_us

    def _fade(self, now: int) -> None:
        if now > self._at:
            self._count *= math.exp((self._at - now) / self._span_us)
            self._at = now
