"""The states of a client connection, for every protocol, and their time limits; no I/O.

Guarantee: a client that stops sending in the middle of a request receives an error, or its connection is closed, within
STALL_ANSWER_S of its last byte.  A client that sends at the lowest rate the platform allows (a head in 2 s, a body at
64 kB/s) is never timed out.  This assumes that limits are checked every SWEEP_INTERVAL_S, and that scheduling delays
the effect of a check by at most 0.15 s.  All times are seconds of the event loop's clock.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Final

STALL_ANSWER_S: Final = 3.0  # from a stalled client's last byte to its error or close; a platform requirement
SWEEP_INTERVAL_S: Final = 0.1  # interval between checks of all connections' limits
# Maximum time since a client's last byte.  The remainder of STALL_ANSWER_S covers the sweep interval, a scheduling
# delay and the network.  A much lower limit would time out bodies sent in pieces a second apart.
STALL_LIMIT_S: Final = 2.5
# Maximum time from the first byte of a head to its last.  The platform allows 2 s; the margin covers delayed reads.
HEAD_LIMIT_S: Final = 2.75
# Minimum rate of a body after its first STALL_LIMIT_S: half of the lowest rate that the platform allows.
BODY_BYTES_PER_S_MIN: Final = 32_000.0
_PACE_KNOWN_AFTER_S: Final = 0.5  # from the start of a body
_USUAL_BODY_BYTES_PER_S: Final = 1_000_000.0
REQUEST_LIMIT_S: Final = 600.0  # maximum time for a complete request: 32 MB at 64 kB/s, with a margin


class ConnectionState(Enum):
    """The state of a client connection; each state except AWAITING_ANSWER has a time limit."""

    NEW = auto()  # no bytes received yet
    READING_HEAD = auto()  # part of a request's head received
    READING_BODY = auto()  # a request's head is complete, its body is not
    AWAITING_ANSWER = auto()  # a request is in progress, limited by its own deadline
    AWAITING_ANSWER_PARTIAL = auto()  # the same, followed by an incomplete or malformed request
    STREAMING_ANSWER = auto()  # part of an answer waits in this process until the client reads
    IDLE = auto()  # requests were served, and no further bytes received
    IDLE_PERSISTENT = auto()  # the same, for a protocol with persistent connections
    CLOSING = auto()  # the last response is written but not read yet


# Maximum time in each state.
STATE_LIMITS_S: Final = {
    ConnectionState.NEW: 5.0,  # a client may take 2 s for a head
    ConnectionState.IDLE: 2.0,
    ConnectionState.IDLE_PERSISTENT: 60.0,
    ConnectionState.CLOSING: 5.0,
}
IDLE_STATES: Final = (ConnectionState.IDLE, ConnectionState.IDLE_PERSISTENT)
# States whose limit is the deadline of their `PartialRequest`.
PARTIAL_STATES: Final = (
    ConnectionState.READING_HEAD,
    ConnectionState.READING_BODY,
    ConnectionState.AWAITING_ANSWER_PARTIAL,
)
# States whose limit is the pace at which the client reads (`answer_progress`).
UNREAD_STATES: Final = (ConnectionState.STREAMING_ANSWER,)


class PartialRequest:
    """The progress of an incompletely received request; decides how long its client may take.

    Its clock is paused while this process does not read from the connection.
    """

    def __init__(self, now: float, has_head: bool = True) -> None:
        """`has_head`: whether requests of this protocol have a head, which has its own time limit."""
        self._started_at = now
        self._body_started_at: float | None = None if has_head else now
        self._last_progress_at = now
        self._body_bytes = 0
        self._paused_at: float | None = None

    @property
    def last_progress_at(self) -> float:
        """When the client's last byte was received, or when reading resumed, if that was later."""
        return self._last_progress_at

    @property
    def is_paused(self) -> bool:
        """Whether its clock is paused."""
        return self._paused_at is not None

    def received(self, now: float, count: int) -> None:
        """Record that `count` bytes were received."""
        self._last_progress_at = now
        if self._body_started_at is not None:
            self._body_bytes += count

    def head_completed(self, now: float) -> None:
        """Record that the head is complete; further bytes belong to the body."""
        if self._body_started_at is None:
            self._body_started_at = now

    def pause(self, now: float) -> None:
        """Pause its clock: this process has stopped reading, so the client's progress is unknown."""
        if self._paused_at is None:
            self._paused_at = now

    def resume(self, now: float) -> None:
        """Resume its clock when reading resumes."""
        if self._paused_at is None:
            return
        pause_s = now - self._paused_at
        self._started_at += pause_s
        if self._body_started_at is not None:
            self._body_started_at += pause_s
        self._last_progress_at, self._paused_at = now, None

    def deadline(self) -> float:
        """The time at which its client exceeds a limit if it sends nothing more."""
        stalled_at = self._last_progress_at + STALL_LIMIT_S
        if self._body_started_at is None:
            return min(stalled_at, self._started_at + HEAD_LIMIT_S)
        too_slow_at = self._body_started_at + STALL_LIMIT_S + self._body_bytes / BODY_BYTES_PER_S_MIN
        return min(stalled_at, too_slow_at, self._started_at + REQUEST_LIMIT_S)

    def remaining_body_s(self, now: float, remaining_bytes: int) -> float:
        """The time that the rest of the body takes at its client's pace, or at a usual one until that is known."""
        if self._body_started_at is None or now < self._body_started_at + _PACE_KNOWN_AFTER_S:
            return remaining_bytes / _USUAL_BODY_BYTES_PER_S
        bytes_per_s = self._body_bytes / (now - self._body_started_at)
        return remaining_bytes / max(bytes_per_s, 1.0)

    def is_overdue(self, now: float) -> bool:
        """Whether its client has exceeded a limit."""
        return self._paused_at is None and now >= self.deadline()

    def answer_is_late(self, now: float) -> bool:
        """Whether its client has stalled for longer than STALL_ANSWER_S, which violates the module's guarantee."""
        return self._paused_at is None and now > self._last_progress_at + STALL_ANSWER_S
