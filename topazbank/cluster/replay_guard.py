"""Detects replayed and reordered messages; no I/O.

Without it, a delayed or duplicated datagram from an ended process or with an outdated state would count as evidence
that its sender is alive.  Each sender numbers its messages within its generation; only higher numbers are accepted.
"""

from __future__ import annotations

from topazbank.cluster.wire import Message


class ReplayGuard:
    """The generation and sequence number of each sender's latest message."""

    __slots__ = ("_latest",)

    def __init__(self) -> None:
        self._latest: dict[int, tuple[int, int]] = {}

    def is_replay(self, message: Message) -> bool:
        """Whether a message at least as new was already accepted from this sender."""
        return (message.generation, message.sequence) <= self._latest.get(message.sender, (0, -1))

    def accept(self, message: Message) -> None:
        """Record this message as the latest of its sender."""
        self._latest[message.sender] = (message.generation, message.sequence)

    def forget(self, ident: int) -> None:
        """Remove the entry of a member."""
        self._latest.pop(ident, None)
