"""Many timers on one of the event loop's.

Every request needs a few, and nearly all are cancelled.  These are a tuple on a heap each; the loop is asked for
one timer, for the earliest.
"""

from __future__ import annotations

import asyncio
import heapq
import logging
import math
from collections.abc import Callable
from typing import Any

log = logging.getLogger(__name__)

_CANCELLED_LEAST = (
    256  # cancelled ones that may wait on the heap at any rate; beyond it no more than half may be
)


class Timer:
    """One call to be made; as asyncio.TimerHandle as far as it is used here."""

    __slots__ = ("_argument", "_callback", "_timers", "_when")

    def __init__(self, timers: Timers, when: float, callback: Callable[[Any], object], argument: Any) -> None:
        self._timers = timers
        self._when = when
        self._callback: Callable[[Any], object] | None = callback
        self._argument = argument

    def when(self) -> float:
        """On the event loop's clock."""
        return self._when

    def cancelled(self) -> bool:
        """Whether it will make no call, or has made it."""
        return self._callback is None

    def cancel(self) -> None:
        if self._callback is not None:
            self._callback = self._argument = None
            self._timers.one_cancelled()

    def fire(self) -> None:
        callback, argument = self._callback, self._argument
        self._callback = self._argument = None
        if callback is not None:
            callback(argument)


class Timers:
    """The timers of one event loop; made before it runs, used while it does."""

    def __init__(self) -> None:
        # The live ones and at most as many cancelled ones, or _CANCELLED_LEAST; by time, then as they were made.
        self._heap: list[tuple[float, int, Timer]] = []
        self._made = 0
        self._cancelled = 0  # of those on the heap
        self._due = math.inf  # when the loop's own timer falls due
        self._armed: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """How many are kept, cancelled ones too."""
        return len(self._heap)

    def call_at(self, when: float, callback: Callable[[Any], object], argument: Any = None) -> Timer:
        """Call `callback(argument)` at this time of the running loop's clock."""
        timer = Timer(self, when, callback, argument)
        self._made += 1
        heapq.heappush(self._heap, (when, self._made, timer))
        if when < self._due:
            self._arm(when)
        return timer

    def call_after(self, seconds: float, callback: Callable[[Any], object], argument: Any = None) -> Timer:
        return self.call_at(asyncio.get_running_loop().time() + seconds, callback, argument)

    def _arm(self, when: float) -> None:
        if self._armed is not None:
            self._armed.cancel()
        self._due = when
        self._armed = asyncio.get_running_loop().call_at(when, self._fire)

    def one_cancelled(self) -> None:
        """A timer tells that it was cancelled; it is dropped later."""
        self._cancelled += 1
        if self._cancelled > _CANCELLED_LEAST and 2 * self._cancelled > len(self._heap):
            self._heap = [each for each in self._heap if not each[2].cancelled()]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def _fire(self) -> None:
        """Make all calls that are due; one that fails keeps no other from being made."""
        self._armed, self._due = None, math.inf
        now = asyncio.get_running_loop().time()
        while self._heap and (self._heap[0][0] <= now or self._heap[0][2].cancelled()):
            timer = heapq.heappop(self._heap)[2]
            if timer.cancelled():
                self._cancelled -= 1
                continue
            try:
                timer.fire()
            except Exception:
                log.exception("a timer's call failed")
        if self._heap and self._heap[0][0] < self._due:
            self._arm(self._heap[0][0])
