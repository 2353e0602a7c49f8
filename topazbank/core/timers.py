"""A timer heap that multiplexes many timers onto one timer of the event loop.

Every request needs a few timers, and nearly all of them are cancelled. Each is a tuple on a heap, and the event loop
holds a single timer for the earliest one.
"""

from __future__ import annotations

import asyncio
import heapq
import logging
import math
from collections.abc import Callable
from typing import Any, Final

log = logging.getLogger(__name__)

# The heap is compacted once cancelled timers exceed this number and half of the heap.
_COMPACTION_CANCELLED_MIN: Final = 256


class Timer:
    """A scheduled callback, like asyncio.TimerHandle."""

    __slots__ = ("_argument", "_callback", "_timers", "_when")

    def __init__(self, timers: Timers, when: float, callback: Callable[[Any], object], argument: Any) -> None:
        self._timers = timers
        self._when = when
        self._callback: Callable[[Any], object] | None = callback
        self._argument = argument

    def when(self) -> float:
        """When the timer is due, in seconds on the event loop's clock."""
        return self._when

    def cancelled(self) -> bool:
        """Whether the timer was cancelled or has fired."""
        return self._callback is None

    def cancel(self) -> None:
        """Cancel the callback; no effect if the timer was cancelled or has fired."""
        if self._callback is not None:
            self._callback = self._argument = None
            self._timers.timer_cancelled()

    def fire(self) -> None:
        """Run the callback, unless the timer was cancelled or has fired."""
        callback, argument = self._callback, self._argument
        self._callback = self._argument = None
        if callback is not None:
            callback(argument)


class Timers:
    """The timers of one event loop; it may be created before the loop runs, but is used only while it runs."""

    def __init__(self) -> None:
        # Entries are due time, creation number and timer. Cancelled timers stay until they are due or compacted.
        self._heap: list[tuple[float, int, Timer]] = []
        self._created_count = 0
        self._cancelled_count = 0  # the cancelled timers on the heap
        self._loop_timer_at = math.inf
        self._loop_timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """The number of timers on the heap, including cancelled ones."""
        return len(self._heap)

    def call_at(self, when: float, callback: Callable[[Any], object], argument: Any = None) -> Timer:
        """Call `callback(argument)` at `when`, in seconds on the running loop's clock."""
        timer = Timer(self, when, callback, argument)
        self._created_count += 1
        heapq.heappush(self._heap, (when, self._created_count, timer))
        if when < self._loop_timer_at:
            self._set_loop_timer(when)
        return timer

    def call_after(self, seconds: float, callback: Callable[[Any], object], argument: Any = None) -> Timer:
        """Call `callback(argument)` after a delay."""
        return self.call_at(asyncio.get_running_loop().time() + seconds, callback, argument)

    def timer_cancelled(self) -> None:
        """Record that a timer was cancelled, which the timer reports; it is removed from the heap later."""
        self._cancelled_count += 1
        if self._cancelled_count > _COMPACTION_CANCELLED_MIN and 2 * self._cancelled_count > len(self._heap):
            self._heap = [entry for entry in self._heap if not entry[2].cancelled()]
            heapq.heapify(self._heap)
            self._cancelled_count = 0

    def _set_loop_timer(self, when: float) -> None:
        if self._loop_timer is not None:
            self._loop_timer.cancel()
        self._loop_timer_at = when
        self._loop_timer = asyncio.get_running_loop().call_at(when, self._fire)

    def _fire(self) -> None:
        """Run all callbacks that are due; an exception in one does not stop the others."""
        self._loop_timer, self._loop_timer_at = None, math.inf
        now = asyncio.get_running_loop().time()
        while self._heap and (self._heap[0][0] <= now or self._heap[0][2].cancelled()):
            timer = heapq.heappop(self._heap)[2]
            if timer.cancelled():
                self._cancelled_count -= 1
                continue
            try:
                timer.fire()
            except Exception:
                log.exception("timer callback failed")
        if self._heap and self._heap[0][0] < self._loop_timer_at:
            self._set_loop_timer(self._heap[0][0])
