"""States of a client's connection, for every protocol, and the one table of their time limits; no I/O.

Promise: a client that stops in the middle of a request gets an error or a close within OWED_S of its last byte,
whatever state its connection is in; one that goes on at the slowest pace the platform allows (a head in 2 s, a body at
64 kB a second) is never ended.  Assumes that limits are looked at every SWEEP_S, and that the process is held up for
0.15 s at most between a look and its effect.  All times are seconds of the event loop's clock.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Final

OWED_S: Final = 3.0  # to whoever stops in the middle of a request; the platform's term
SWEEP_S: Final = 0.1  # how often connections are looked at for their limits
# Since a client's last byte.  The rest of OWED_S is a sweep, a hold-up and the word's way; much less would end bodies
# that come in pieces a second apart.
STOPPED_S: Final = 2.5
# What a head may take in all, from its first byte.  The platform allows 2 s; the rest is for bytes that are read late.
HEAD_S: Final = 2.75
BODY_BYTES_PER_S: Final = (
    32_000.0  # the least pace of a body, behind STOPPED_S: half of what the platform allows
)
BODY_S: Final = 600.0  # what a request may take in all: 32 MB at 64 kB a second, and some more


class ConnectionState(Enum):
    """What a client's connection is about; each state but HOLDING has a limit."""

    NEW = auto()  # nothing has come on it
    READING_HEAD = auto()  # a request has begun to come, and its head is not here yet
    READING_BODY = auto()  # a request's head is here, and its body comes
    HOLDING = auto()  # a request is held; the driver answers it in its time
    HOLDING_PARTIAL = auto()  # the same, and behind it waits half a request, or what can't become one
    SENDING = auto()  # its client takes a large answer, and has not taken what is here
    IDLE = auto()  # it has carried requests, and nothing comes
    IDLE_KEPT = auto()  # the same, of a protocol whose clients hold on to their connections
    CLOSING = auto()  # its last answer is still being taken


# Since the state began.
LIMITS_S: Final = {
    ConnectionState.NEW: 5.0,  # a client may take 2 s for a head
    ConnectionState.SENDING: 60.0,  # at 64 kB a second the kernel asks for more only every so often
    ConnectionState.IDLE: 2.0,
    ConnectionState.IDLE_KEPT: 60.0,
    ConnectionState.CLOSING: 5.0,
}
# Of these the limit is their partial request's.
PARTIAL_STATES: Final = (
    ConnectionState.READING_HEAD,
    ConnectionState.READING_BODY,
    ConnectionState.HOLDING_PARTIAL,
)


class PartialRequest:
    """How a request that is not here yet comes along: the one owner of the time that its client may take.

    The time stands still while this process itself reads no further.
    """

    def __init__(self, now: float, has_head: bool = True) -> None:
        """`has_head`: whether its protocol has heads, which have a limit of their own."""
        self._began_at = now
        self._body_at: float | None = None if has_head else now  # when its head was here
        self._progress_at = now
        self._received = 0  # bytes of its body
        self._paused_at: float | None = None

    @property
    def silent_since(self) -> float:
        """When its client was last heard, or this process last began to read again."""
        return self._progress_at

    @property
    def is_paused(self) -> bool:
        return self._paused_at is not None

    def progressed(self, now: float, count: int) -> None:
        """So many bytes have come."""
        self._progress_at = now
        if self._body_at is not None:
            self._received += count

    def head_came(self, now: float) -> None:
        """All that came up to now was the head's; what comes is the body's."""
        if self._body_at is None:
            self._body_at = now

    def pause(self, now: float) -> None:
        """This process reads no further for now: what its client does can't be told."""
        if self._paused_at is None:
            self._paused_at = now

    def resume(self, now: float) -> None:
        if self._paused_at is None:
            return
        span = now - self._paused_at
        self._began_at += span
        self._body_at = None if self._body_at is None else self._body_at + span
        self._progress_at, self._paused_at = now, None

    def due_at(self) -> float:
        """By when its client has to have sent all of it, or has to be told off."""
        stopped = self._progress_at + STOPPED_S
        if self._body_at is None:
            return min(stopped, self._began_at + HEAD_S)
        paced = self._body_at + STOPPED_S + self._received / BODY_BYTES_PER_S
        return min(stopped, paced, self._began_at + BODY_S)

    def is_overdue(self, now: float) -> bool:
        return self._paused_at is None and now >= self.due_at()

    def is_unheard(self, now: float) -> bool:
        """Whether its client has stopped for longer than it may go without a word: a broken promise."""
        return self._paused_at is None and now > self._progress_at + OWED_S
