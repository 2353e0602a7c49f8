"""The deadlines of one balancer: many pending ones, and one timer at a time for the earliest."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import Enum, auto, unique

from topazbank.balancing.actions import SetTimer
from topazbank.balancing.context import DecisionContext

NO_ATTEMPT = -1  # the attempt of a deadline that is of no single attempt
_TIMER_TOKEN = "agenda"


@unique
class DeadlineKind(Enum):
    """What falls due; it says what the key of a deadline is."""

    REQUEST = auto()  # key: the request, which has to have its final answer
    ATTEMPT_OVERDUE = auto()  # key: the request; it and the attempt name what takes too long
    HEALTH_CHECKS = auto()  # key: the request that waits for them
    KEY_PAUSE = auto()  # key: that of requests which run in order; its pause ends
    IDLE_CONNECTIONS = auto()  # key: the number of the server to which they are closed
    POLL = auto()  # no key: the endpoint list is polled
    HEARTBEAT = auto()  # no key: an event at a known time tells whether this process stalled


_Entry = tuple[int, int, DeadlineKind, int, int]  # due, order of scheduling, kind, key, attempt


class Agenda:
    """A heap of deadlines.  Deadlines are not cancelled: stale ones are dropped when they come up."""

    def __init__(self, context: DecisionContext) -> None:
        """`is_stale` has to be set before the first event."""
        self._context = context
        self._entries: list[_Entry] = []
        self._scheduled = 0
        self._timer_due: int | None = None  # clock time of the timer that is set
        self.is_stale: Callable[[int, DeadlineKind, int, int], bool] = _never_stale

    def schedule(self, due: int, kind: DeadlineKind, key: int, attempt: int = NO_ATTEMPT) -> None:
        """Note a deadline at clock time `due`."""
        self._scheduled += 1
        heapq.heappush(self._entries, (due, self._scheduled, kind, key, attempt))

    def timer_fired(self) -> None:
        """Note that a timer came."""
        if self._timer_due is not None and self._context.now >= self._timer_due:
            self._timer_due = None

    def pop_due(self) -> tuple[DeadlineKind, int, int] | None:
        """Take the earliest deadline that has passed and still holds: its kind, key and attempt."""
        while self._entries and self._entries[0][0] <= self._context.now:
            due, _, kind, key, attempt = heapq.heappop(self._entries)
            if not self.is_stale(due, kind, key, attempt):
                return kind, key, attempt
        return None

    def arm_timer(self) -> None:
        """Set a timer for the earliest deadline, unless one that comes as early is set."""
        entries = self._entries
        while entries and self.is_stale(entries[0][0], entries[0][2], entries[0][3], entries[0][4]):
            heapq.heappop(entries)
        if not entries:
            return
        due = entries[0][0]
        if self._timer_due is None or due < self._timer_due:
            self._timer_due = due
            self._context.actions.append(SetTimer(max(due - self._context.now, 0), _TIMER_TOKEN))


def _never_stale(due: int, kind: DeadlineKind, key: int, attempt: int) -> bool:
    return False
