"""Complete requests of a connection that wait behind the one in progress, each with its own time; no I/O.

Answers are sent in the order of the requests.  The one in progress may therefore not take longer than the earliest
time among those behind it.  Times are seconds on the event loop's clock.  Lists hold the requests, since most
connections have none and an empty deque takes 600 bytes.
"""

from __future__ import annotations

import math
from typing import Final, NamedTuple

from topazbank.http.request_reader import ReceivedRequest
from topazbank.http.request_reading import timeout_s

# After its time an answer is worth nothing, but is still expected; a request before it may use a part of that.
_LATE_S_MAX: Final = 0.25


class WaitingRequest(NamedTuple):
    """A request that waits for its turn."""

    request: ReceivedRequest
    arrived_at: float  # its last byte


class _AnswerTime(NamedTuple):
    """When a waiting request has to be answered."""

    number: int  # of the request, in the order of arrival
    answer_by: float


class RequestsAhead:
    """The waiting requests of one connection, in their order."""

    def __init__(self) -> None:
        self._waiting: list[WaitingRequest] = []
        self._taken = 0  # requests that have been removed
        self._unread = 0  # the last ones of those that wait, whose times have not been read
        # The times of requests that have to be answered before all that arrived after them, earliest first.
        self._answer_times: list[_AnswerTime] = []
        self.held_bytes = 0  # the memory that they take

    def __len__(self) -> int:
        """The number of waiting requests."""
        return len(self._waiting)

    def append(self, request: ReceivedRequest, arrived_at: float) -> None:
        """Add a request that has been received."""
        self._waiting.append(WaitingRequest(request, arrived_at))
        self._unread += 1
        self.held_bytes += request.held_bytes()

    def take_first(self) -> WaitingRequest:
        """Remove and return the request whose turn it is."""
        waiting = self._waiting.pop(0)
        self._unread = min(self._unread, len(self._waiting))
        if self._answer_times and self._answer_times[0].number == self._taken:
            del self._answer_times[0]
        self._taken += 1
        self.held_bytes -= waiting.request.held_bytes()
        return waiting

    def release_all(self) -> None:
        """Drop all requests."""
        while self._waiting:
            self.take_first().request.release()

    def is_late(self, now: float) -> bool:
        """Whether an answer is late already, so that no request before it may begin."""
        return now >= self._earliest_answer_by() + _LATE_S_MAX

    def end_first_at(self, begun_at: float) -> float:
        """When the request in progress, which began at `begun_at`, has to end for those behind it."""
        earliest = self._earliest_answer_by()
        return earliest if begun_at < earliest else earliest + _LATE_S_MAX

    def _earliest_answer_by(self) -> float:
        """The earliest time among the waiting requests; infinite if none states one."""
        while self._unread:
            self._read_time(len(self._waiting) - self._unread)
            self._unread -= 1
        return self._answer_times[0].answer_by if self._answer_times else math.inf

    def _read_time(self, index: int) -> None:
        """Read the time of a waiting request; earlier requests with a later time no longer matter."""
        waiting = self._waiting[index]
        answer_by = waiting.arrived_at + timeout_s(waiting.request.head)
        while self._answer_times and self._answer_times[-1].answer_by >= answer_by:
            self._answer_times.pop()
        if answer_by < math.inf:
            self._answer_times.append(_AnswerTime(self._taken + index, answer_by))
