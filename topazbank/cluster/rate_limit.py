"""A limit on events per second, in fixed one-second windows; no I/O."""

from __future__ import annotations


class RateLimit:
    """Counts events in the current one-second window."""

    __slots__ = ("_count", "_limit", "_second")

    def __init__(self, limit: int) -> None:
        """Create a limit of `limit` events per second."""
        self._limit = limit
        self._second = 0
        self._count = 0

    def allows(self, now_us: int) -> bool:
        """Count an event; return whether it is within the limit of the current second."""
        second = now_us // 1_000_000
        if second != self._second:
            self._second, self._count = second, 0
        self._count += 1
        return self._count <= self._limit
