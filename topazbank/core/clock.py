"""The clock that decisions run on: microseconds of Unix time that never jump."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """Monotonic microseconds, anchored once to Unix time so that they compare with discovery's `since_ms`."""

    def __init__(self, monotonic_ns: Callable[[], int] = time.monotonic_ns) -> None:
        """`monotonic_ns` reads the clock that the event loop runs on, nanoseconds."""
        self._monotonic_ns = monotonic_ns
        self._offset_us = time.time_ns() // 1000 - monotonic_ns() // 1000

    @property
    def offset_us(self) -> int:
        """How far it is ahead of the monotonic clock, microseconds."""
        return self._offset_us

    def now(self) -> int:
        """The time now, microseconds."""
        return self._monotonic_ns() // 1000 + self._offset_us

    def to_loop_time(self, at_us: int) -> float:
        """A time of this clock on the event loop's clock, seconds."""
        return (at_us - self._offset_us) / 1e6
