"""Lifeguard's local health multiplier: a process that is slow itself waits longer for others; no I/O."""

from __future__ import annotations

LOCAL_HEALTH_MAX = 8  # multiplies probe timeouts by up to nine


class LocalHealth:
    """A score of this process's own delays and failures, from 0 (healthy) to LOCAL_HEALTH_MAX."""

    __slots__ = ("_enabled", "score")

    def __init__(self, enabled: bool) -> None:
        self._enabled = enabled
        self.score = 0

    def degrade(self, by: int = 1) -> None:
        """Count a sign of local trouble: a late tick or ack, a probe without any nack, a suspicion of this member."""
        if self._enabled:
            self.score = min(self.score + by, LOCAL_HEALTH_MAX)

    def improve(self) -> None:
        """Count a probe answered in time."""
        self.score = max(self.score - 1, 0)

    def scale_timeout(self, timeout_us: int) -> int:
        """Return a probe timeout in microseconds, extended by the score."""
        return timeout_us * (1 + self.score)

    @property
    def suspicion_factor(self) -> float:
        """The factor by which suspicion timeouts are multiplied, 1 to 2."""
        return 1.0 + self.score / LOCAL_HEALTH_MAX
