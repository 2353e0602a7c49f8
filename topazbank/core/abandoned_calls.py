"""The ids of calls whose clients left while a server may have run them; no I/O, times in seconds.

If such a call came again and was passed on, it would run twice.  Their number is bounded, and the oldest are forgotten
first.
"""

from __future__ import annotations

from typing import Final

from topazbank.core.memory_budget import MemoryAccount, MemoryBudget

REMEMBERED_S: Final = 60.0
CALLS_MAX: Final = 2048
_CALL_BYTES: Final = 200  # of an id of usual length, with its entry


class AbandonedCalls:
    """The abandoned calls of this process."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._forget_at: dict[str, float] = {}  # by id, in order of time
        self._memory = MemoryAccount(budget)

    def add(self, call_id: str, now: float) -> None:
        """Remember a call from now on."""
        self._forget_at.pop(call_id, None)
        self._forget_at[call_id] = now + REMEMBERED_S
        if len(self._forget_at) > CALLS_MAX:
            self._forget_first()
        self._memory.set(_CALL_BYTES * len(self._forget_at))

    def contains(self, call_id: str, now: float) -> bool:
        """Whether this call was abandoned a short time ago."""
        while self._forget_at and next(iter(self._forget_at.values())) <= now:
            self._forget_first()
        self._memory.set(_CALL_BYTES * len(self._forget_at))
        return call_id in self._forget_at

    def _forget_first(self) -> None:
        del self._forget_at[next(iter(self._forget_at))]
