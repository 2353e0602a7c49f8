"""Many timers on one timer of the event loop.

Every request needs a few, and nearly all are cancelled.  Each is a tuple on a heap here; the event loop has one timer,
for the earliest.
"""

from __future__ import annotations

import asyncio
import heapq
import logging
import math
from collections.abc import Callable
from typing import Any, Final

log = logging.getLogger(__name__)

_CANCELLED_MIN: Final = 256  # cancelled timers that may stay on the heap anyway; of more, half the heap


class Timer:
    """One call to be made, like asyncio.TimerHandle."""

    __slots__ = ("_argument", "_callback", "_timers", "_when")

    def __init__(self, timers: Timers, when: float, callback: Callable[[Any], object], argument: Any) -> None:
        self._timers = timers
        self._when = when
        self._callback: Callable[[Any], object] | None = callback
        self._argument = argument

    def when(self) -> float:
        """When it is due, seconds on the event loop's clock."""
        return self._when

    def cancelled(self) -> bool:
        """Whether it will make no call, or has made it."""
        return self._callback is None

    def cancel(self) -> None:
        """Make no call."""
        if self._callback is not None:
            self._callback = self._argument = None
            self._timers.timer_cancelled()

    def fire(self) -> None:
        """Make the call, unless it was cancelled or made before."""
        callback, argument = self._callback, self._argument
        self._callback = self._argument = None
        if callback is not None:
            callback(argument)


class Timers:
    """The timers of one event loop; may be made before it runs, used while it does."""

    def __init__(self) -> None:
        # Time, order of creation, timer: the live ones, and as many cancelled ones or _CANCELLED_MIN.
        self._heap: list[tuple[float, int, Timer]] = []
        self._created = 0
        self._cancelled = 0  # of those on the heap
        self._loop_timer_at = math.inf
        self._loop_timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """How many are on the heap, cancelled ones too."""
        return len(self._heap)

    def call_at(self, when: float, callback: Callable[[Any], object], argument: Any = None) -> Timer:
        """Call `callback(argument)` at a time of the running loop's clock, seconds."""
        timer = Timer(self, when, callback, argument)
        self._created += 1
        heapq.heappush(self._heap, (when, self._created, timer))
        if when < self._loop_timer_at:
            self._set_loop_timer(when)
        return timer

    def call_after(self, seconds: float, callback: Callable[[Any], object], argument: Any = None) -> Timer:
        """Call `callback(argument)` after a time."""
        return self.call_at(asyncio.get_running_loop().time() + seconds, callback, argument)

    def timer_cancelled(self) -> None:
        """Note that a timer was cancelled (called by it); it is dropped later."""
        self._cancelled += 1
        if self._cancelled > _CANCELLED_MIN and 2 * self._cancelled > len(self._heap):
            self._heap = [entry for entry in self._heap if not entry[2].cancelled()]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def _set_loop_timer(self, when: float) -> None:
        if self._loop_timer is not None:
            self._loop_timer.cancel()
        self._loop_timer_at = when
        self._loop_timer = asyncio.get_running_loop().call_at(when, self._fire)

    def _fire(self) -> None:
        """Make all calls that are due; one that fails keeps no other from being made."""
        self._loop_timer, self._loop_timer_at = None, math.inf
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
        if self._heap and self._heap[0][0] < self._loop_timer_at:
            self._set_loop_timer(self._heap[0][0])
