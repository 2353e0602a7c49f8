"""The queue of membership updates to gossip: each is sent a bounded number of times, least sent first; no I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from topazbank.cluster.member import MemberRecord


class GossipKey(NamedTuple):
    """Identifies an update by its member and kind."""

    ident: int
    is_last_heard: bool  # the update carries the time the member was last heard, not its state


class GossipQueue:
    """Updates to piggyback on protocol messages, one entry per key.

    Urgent updates (suspicions, refutations, deaths, last-heard evidence) have a queue of their own and are sent first,
    as a delay of these can cause a wrong verdict.  A sent entry moves to the end of its queue, so the first entry is
    the least sent.
    """

    __slots__ = ("_normal", "_urgent")

    def __init__(self) -> None:
        self._urgent: OrderedDict[GossipKey, int] = OrderedDict()  # remaining transmissions
        self._normal: OrderedDict[GossipKey, int] = OrderedDict()

    def put(self, key: GossipKey, transmissions: int, urgent: bool) -> None:
        """Queue an update; it replaces the previous one with this key."""
        if urgent:
            self._normal.pop(key, None)
        queue = self._urgent if urgent or key in self._urgent else self._normal
        is_new = key not in queue
        queue[key] = transmissions
        if urgent or is_new:
            queue.move_to_end(key, last=False)

    def take(
        self, limit: int, current_record: Callable[[GossipKey], MemberRecord | None]
    ) -> list[MemberRecord]:
        """Return up to `limit` records to send now, and count the transmission.

        `current_record` returns the current record of a key, or None if the update is obsolete.
        """
        records: list[MemberRecord] = []
        for queue in (self._urgent, self._normal):
            for _ in range(len(queue)):  # sent entries return to the end; visit each only once
                if len(records) >= limit:
                    return records
                key, transmissions = queue.popitem(last=False)
                record = current_record(key)
                if record is None:
                    continue
                records.append(record)
                if transmissions > 1:
                    queue[key] = transmissions - 1
        return records

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._urgent) + len(self._normal)
