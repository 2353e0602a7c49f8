"""Recognises messages that are older than what their sender has already sent; no I/O.

The failure: a delayed or repeated datagram of a process that has ended, or of an older state, counts as a sign of life.
The guard: each sender numbers its messages within its generation, and only a higher number counts.
"""

from __future__ import annotations

from topazbank.cluster.wire import Message


class ReplayGuard:
    """The generation and sequence number of each sender's latest message."""

    __slots__ = ("_latest",)

    def __init__(self) -> None:
        self._latest: dict[int, tuple[int, int]] = {}

    def is_replay(self, message: Message) -> bool:
        """Whether the sender's latest message is as new as this one, or newer."""
        return (message.generation, message.sequence) <= self._latest.get(message.sender, (0, -1))

    def accept(self, message: Message) -> None:
        """Take this message as its sender's latest."""
        self._latest[message.sender] = (message.generation, message.sequence)

    def forget(self, ident: int) -> None:
        """Drop what is known of a member."""
        self._latest.pop(ident, None)
