"""Calls of one connection that are read but not handed over yet, with their own deadlines; no I/O.

They wait for other calls of their connection, or for its client to read its answers.  Reading them on time tells when
they arrived, and whether their client has left.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from topazbank.core.call import Call

WAITING_MAX = 1024  # calls; not Final, so that tests can lower it
WAITING_BYTES_MAX: Final = 1024 * 1024
_CALL_BYTES: Final = 1000  # of a call without its body


class WaitingCall(NamedTuple):
    """A call that waits; its deadline is in seconds on the event loop's clock."""

    msgid: int
    call: Call
    deadline: float


class WaitingCalls:
    """The waiting calls of one connection, in their order of arrival."""

    def __init__(self) -> None:
        self._calls: dict[int, WaitingCall] = {}  # by message id
        self.held_bytes = 0

    def __len__(self) -> int:
        """The number of waiting calls."""
        return len(self._calls)

    def __contains__(self, msgid: int) -> bool:
        """Whether a call with this message id waits."""
        return msgid in self._calls

    def is_full(self) -> bool:
        """Whether no further calls may wait."""
        return len(self._calls) >= WAITING_MAX or self.held_bytes >= WAITING_BYTES_MAX

    def add(self, waiting: WaitingCall) -> None:
        """Append a call."""
        self._calls[waiting.msgid] = waiting
        self.held_bytes += held_bytes(waiting.call)

    def take_first(self) -> WaitingCall:
        """Remove and return the call that has waited longest."""
        return self._remove(next(iter(self._calls)))

    def take_expired(self, now: float) -> list[WaitingCall]:
        """Remove and return the calls whose deadlines have passed."""
        expired = [msgid for msgid, waiting in self._calls.items() if waiting.deadline <= now]
        return [self._remove(msgid) for msgid in expired]

    def take_all(self) -> list[WaitingCall]:
        """Remove and return all calls."""
        return [self._remove(msgid) for msgid in list(self._calls)]

    def next_deadline(self) -> float | None:
        """The earliest deadline; None if no call waits."""
        return min((waiting.deadline for waiting in self._calls.values()), default=None)

    def _remove(self, msgid: int) -> WaitingCall:
        waiting = self._calls.pop(msgid)
        self.held_bytes -= held_bytes(waiting.call)
        return waiting


def held_bytes(call: Call) -> int:
    """Return the memory that a call takes, in bytes."""
    return _CALL_BYTES + len(call.target) + len(call.body)
