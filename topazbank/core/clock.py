"""The balancer's clock: Unix time in microseconds that never jumps."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """A monotonic clock, anchored once to Unix time so that it is comparable with discovery's `since_ms`."""

    def __init__(self, monotonic_ns: Callable[[], int] = time.monotonic_ns) -> None:
        """`monotonic_ns` reads the event loop's clock, in nanoseconds."""
        self._monotonic_ns = monotonic_ns
        self._offset_us = time.time_ns() // 1000 - monotonic_ns() // 1000

    @property
    def offset_us(self) -> int:
        """The offset of this clock from the monotonic clock, in microseconds."""
        return self._offset_us

    def now(self) -> int:
        """The current time, in microseconds."""
        return self._monotonic_ns() // 1000 + self._offset_us

    def to_loop_time(self, at_us: int) -> float:
        """Convert a time of this clock to the event loop's clock, in seconds."""
        return (at_us - self._offset_us) / 1e6
