"""The pending deadlines of one balancer, with a single timer for the earliest one."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import Enum, auto, unique

from topazbank.balancing.actions import SetTimer
from topazbank.balancing.context import DecisionContext

NO_ATTEMPT = -1  # attempt index of a deadline that does not belong to one attempt
_TIMER_TOKEN = "agenda"


@unique
class DeadlineKind(Enum):
    """What a deadline is for.  The kind determines the meaning of the deadline's key."""

    REQUEST = auto()  # key: request number; its final answer is due
    ATTEMPT_OVERDUE = auto()  # key: request number; the given attempt takes too long
    HEALTH_CHECKS = auto()  # key: number of the request that waits for health checks
    KEY_PAUSE = auto()  # key: ordering key whose pause ends
    IDLE_CONNECTIONS = auto()  # key: number of the server whose idle connections are closed
    POLL = auto()  # no key; the endpoint list is polled
    HEARTBEAT = auto()  # no key; its delay shows whether this process stalled


_Entry = tuple[int, int, DeadlineKind, int, int]  # due time, sequence number, kind, key, attempt index


class Agenda:
    """A heap of deadlines.  Deadlines are not cancelled; stale ones are dropped when they reach the top."""

    def __init__(self, context: DecisionContext) -> None:
        """The owner must set `is_stale` before the first event."""
        self._context = context
        self._entries: list[_Entry] = []
        self._last_sequence = 0
        self._timer_due: int | None = None  # clock time of the armed timer
        self.is_stale: Callable[[int, DeadlineKind, int, int], bool] = _never_stale

    def schedule(self, due: int, kind: DeadlineKind, key: int, attempt: int = NO_ATTEMPT) -> None:
        """Add a deadline at clock time `due`."""
        self._last_sequence += 1
        heapq.heappush(self._entries, (due, self._last_sequence, kind, key, attempt))

    def timer_fired(self) -> None:
        """Forget the armed timer if it is due."""
        if self._timer_due is not None and self._context.now >= self._timer_due:
            self._timer_due = None

    def pop_due(self) -> tuple[DeadlineKind, int, int] | None:
        """Remove the earliest due deadline that is not stale; return its kind, key and attempt."""
        while self._entries and self._entries[0][0] <= self._context.now:
            due, _, kind, key, attempt = heapq.heappop(self._entries)
            if not self.is_stale(due, kind, key, attempt):
                return kind, key, attempt
        return None

    def arm_timer(self) -> None:
        """Set a timer for the earliest deadline, unless the armed timer is at least as early."""
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
