"""Responses that servers have begun, and that are kept until they are complete.

There may be no memory for all of them.  Then those that began first are read to their end, whatever else is held: some
always complete and free their memory, where all would wait for each other otherwise.  The others wait.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Final

from topazbank.core.memory_budget import MemoryBudget, MemoryShare

_ALWAYS_READ_MAX: Final = 8  # responses that are read on without room
_RETRY_S: Final = 0.05  # until there may be room for others


class PartialResponses:
    """The partial responses of all connections to servers, in the order in which they began."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self._begun: dict[object, None] = {}
        self._waiting: dict[object, Callable[[], None]] = {}  # a part of these, with what reads them on
        self._timer: asyncio.TimerHandle | None = None

    def may_read(self, response: object, read_on: Callable[[], None]) -> bool:
        """Whether to read more of a response now; if not, `read_on` is called once this may have changed."""
        self._begun.setdefault(response)
        if self._may_read(response):
            self._waiting.pop(response, None)
            return True
        self._waiting[response] = read_on
        self._wake_after(_RETRY_S)
        return False

    def ended(self, response: object) -> None:
        """Forget a response; no effect if it has not begun."""
        if response not in self._begun:
            return
        del self._begun[response]
        self._waiting.pop(response, None)
        if self._waiting:
            self._wake_after(0.0)

    def _may_read(self, response: object) -> bool:
        if self.budget.has_room(0, MemoryShare.UNREAD_ANSWER):
            return True
        return response in itertools.islice(self._begun, _ALWAYS_READ_MAX)

    def _wake_after(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            if self._timer.when() <= loop.time() + delay_s:
                return
            self._timer.cancel()
        self._timer = loop.call_later(delay_s, self._wake)

    def _wake(self) -> None:
        self._timer = None
        for response, read_on in list(self._waiting.items()):
            if self._may_read(response):
                self._waiting.pop(response, None)
                read_on()
        if self._waiting:
            self._wake_after(_RETRY_S)
