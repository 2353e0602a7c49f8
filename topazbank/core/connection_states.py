"""States of a client's connection, for every protocol, and the one table of their time limits; no I/O.

Promise: a client that stops in the middle of a request gets an error or a close within STALL_ANSWER_S of its last
byte, whatever the state of its connection; one that goes on at the slowest pace the platform allows (a head in 2 s, a
body at 64 kB a second) is never ended.  Assumes that limits are checked every SWEEP_INTERVAL_S, and that the process is
delayed by at most 0.15 s between a check and its effect.  All times are seconds of the event loop's clock.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Final

STALL_ANSWER_S: Final = 3.0  # from a stalled client's last byte to its error or close; set by the platform
SWEEP_INTERVAL_S: Final = 0.1  # between two checks of all connections' limits
# Since a client's last byte.  The rest of STALL_ANSWER_S is for the sweep, a scheduling delay and the network; a much
# lower limit would end bodies that come in pieces a second apart.
STALL_LIMIT_S: Final = 2.5
# For a complete head, from its first byte.  The platform allows 2 s; the rest is for bytes that are read late.
HEAD_LIMIT_S: Final = 2.75
# Of a body, after its first STALL_LIMIT_S: half of the pace that the platform allows.
BODY_BYTES_PER_S_MIN: Final = 32_000.0
REQUEST_LIMIT_S: Final = 600.0  # for a complete request: 32 MB at 64 kB a second, with a margin


class ConnectionState(Enum):
    """What a client's connection is doing; each state but AWAITING_ANSWER has a limit."""

    NEW = auto()  # no byte has come
    READING_HEAD = auto()  # part of a request's head has come
    READING_BODY = auto()  # a request's head is complete, its body is coming
    AWAITING_ANSWER = auto()  # a request is in progress; its own deadline bounds it
    AWAITING_ANSWER_PARTIAL = auto()  # the same, with an incomplete or malformed request behind it
    STREAMING_ANSWER = auto()  # its client has not read all of a streamed answer yet
    IDLE = auto()  # it has carried requests, and nothing is coming
    IDLE_PERSISTENT = auto()  # the same, of a protocol whose clients keep their connections
    CLOSING = auto()  # its last answer is written, and not read yet


# Since the state began.
STATE_LIMITS_S: Final = {
    ConnectionState.NEW: 5.0,  # a client may take 2 s for a head
    ConnectionState.STREAMING_ANSWER: 60.0,  # at 64 kB a second the kernel asks for more only every so often
    ConnectionState.IDLE: 2.0,
    ConnectionState.IDLE_PERSISTENT: 60.0,
    ConnectionState.CLOSING: 5.0,
}
# These are limited by their `PartialRequest`.
PARTIAL_STATES: Final = (
    ConnectionState.READING_HEAD,
    ConnectionState.READING_BODY,
    ConnectionState.AWAITING_ANSWER_PARTIAL,
)


class PartialRequest:
    """The progress of a request that has not come completely: the one owner of the time its client may take.

    Its clock stands still while this process does not read from the connection.
    """

    def __init__(self, now: float, has_head: bool = True) -> None:
        """`has_head`: whether the protocol has heads, which have a limit of their own."""
        self._started_at = now
        self._body_started_at: float | None = None if has_head else now
        self._last_progress_at = now
        self._body_bytes = 0
        self._paused_at: float | None = None

    @property
    def last_progress_at(self) -> float:
        """When its client's last byte came, or this process resumed reading if that was later."""
        return self._last_progress_at

    @property
    def is_paused(self) -> bool:
        """Whether its clock stands still."""
        return self._paused_at is not None

    def received(self, now: float, count: int) -> None:
        """Note that `count` bytes have come."""
        self._last_progress_at = now
        if self._body_started_at is not None:
            self._body_bytes += count

    def head_completed(self, now: float) -> None:
        """Note that the head is complete; bytes from now on are the body's."""
        if self._body_started_at is None:
            self._body_started_at = now

    def pause(self, now: float) -> None:
        """Stop its clock: this process does not read, so it cannot tell what the client sends."""
        if self._paused_at is None:
            self._paused_at = now

    def resume(self, now: float) -> None:
        """Start its clock again, as reading goes on."""
        if self._paused_at is None:
            return
        pause_s = now - self._paused_at
        self._started_at += pause_s
        if self._body_started_at is not None:
            self._body_started_at += pause_s
        self._last_progress_at, self._paused_at = now, None

    def deadline(self) -> float:
        """When its client must have sent all of it, as far as is known now."""
        stalled_at = self._last_progress_at + STALL_LIMIT_S
        if self._body_started_at is None:
            return min(stalled_at, self._started_at + HEAD_LIMIT_S)
        too_slow_at = self._body_started_at + STALL_LIMIT_S + self._body_bytes / BODY_BYTES_PER_S_MIN
        return min(stalled_at, too_slow_at, self._started_at + REQUEST_LIMIT_S)

    def is_overdue(self, now: float) -> bool:
        """Whether its client has passed a limit."""
        return self._paused_at is None and now >= self.deadline()

    def answer_is_late(self, now: float) -> bool:
        """Whether its client has stalled for longer than STALL_ANSWER_S: the module's promise is broken."""
        return self._paused_at is None and now > self._last_progress_at + STALL_ANSWER_S
