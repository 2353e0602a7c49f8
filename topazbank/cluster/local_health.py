"""How well this process itself is doing (Lifeguard's local health): who is late itself doubts others later; no I/O."""

from __future__ import annotations

from topazbank.cluster.settings import HEALTH_MOST


class Health:
    """A count of own troubles, 0 to HEALTH_MOST; time-outs are as many times longer and one."""

    __slots__ = ("_on", "score")

    def __init__(self, on: bool) -> None:
        self._on = on
        self.score = 0

    def worse(self, by: int = 1) -> None:
        """A sign of own trouble: a late tick, a late answer, a probe that even helpers were silent on, a suspicion."""
        if self._on:
            self.score = min(self.score + by, HEALTH_MOST)

    def better(self) -> None:
        """A probe was answered in time."""
        self.score = max(self.score - 1, 0)

    def stretch(self, span_us: int) -> int:
        """A time-out as long as this process's state asks for."""
        return span_us * (1 + self.score)
