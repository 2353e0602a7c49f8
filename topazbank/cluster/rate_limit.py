"""A limit on events in each second of a clock; no I/O."""

from __future__ import annotations


class RateLimit:
    """Counts events within the current second."""

    __slots__ = ("_count", "_limit", "_second")

    def __init__(self, limit: int) -> None:
        """`limit`: events a second."""
        self._limit = limit
        self._second = 0
        self._count = 0

    def allows(self, now_us: int) -> bool:
        """Count an event; return whether it is within the limit."""
        second = now_us // 1_000_000
        if second != self._second:
            self._second, self._count = second, 0
        self._count += 1
        return self._count <= self._limit
