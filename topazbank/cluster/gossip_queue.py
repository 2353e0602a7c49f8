"""The queue of membership updates to send: each a bounded number of times, the least sent first; no I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from topazbank.cluster.member import MemberRecord


class GossipKey(NamedTuple):
    """What an update is about."""

    ident: int
    is_last_heard: bool  # the update says when the member was last heard, in place of its state


class GossipQueue:
    """Updates that ride on the protocol's messages; one entry for each key.

    Two queues: urgent updates (suspicions, refutations, deaths, last-heard evidence), on which a wrong verdict depends,
    are sent before the others.  A sent entry goes to the end of its queue, so the next one is the least sent.
    """

    __slots__ = ("_normal", "_urgent")

    def __init__(self) -> None:
        self._urgent: OrderedDict[GossipKey, int] = OrderedDict()  # transmissions left
        self._normal: OrderedDict[GossipKey, int] = OrderedDict()

    def put(self, key: GossipKey, transmissions: int, urgent: bool) -> None:
        """Queue an update in place of an older one with this key."""
        if urgent:
            self._normal.pop(key, None)
        queue = self._urgent if urgent or key in self._urgent else self._normal
        is_new = key not in queue
        queue[key] = transmissions
        if urgent or is_new:
            queue.move_to_end(key, last=False)

    def take(self, limit: int, current: Callable[[GossipKey], MemberRecord | None]) -> list[MemberRecord]:
        """Return up to `limit` records to send now.

        `current` returns a key's record as it stands now, or None where the update is obsolete.
        """
        taken: list[MemberRecord] = []
        for queue in (self._urgent, self._normal):
            for _ in range(len(queue)):  # each entry once, though sent ones return to the end
                if len(taken) >= limit:
                    return taken
                key, transmissions = queue.popitem(last=False)
                record = current(key)
                if record is None:
                    continue
                taken.append(record)
                if transmissions > 1:
                    queue[key] = transmissions - 1
        return taken

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._urgent) + len(self._normal)
