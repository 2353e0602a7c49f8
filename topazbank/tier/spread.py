"""How news spreads: it rides on probes and answers, each a bounded number of times, the least told first; no I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from topazbank.tier.member import Record

Key = tuple[int, bool]  # a member's ident, and whether this is that somebody has heard it


class Spread:
    """What is to be told; one entry a member and kind, so the members' own bound is its bound.

    An entry goes behind the others of its rank once it is told, so who is next has been told least.  Urgent is what a
    wrong verdict hangs on: suspicions, refutations, who is gone, who was heard.
    """

    __slots__ = ("_left", "_urgent", "_usual")

    def __init__(self) -> None:
        self._left: dict[Key, int] = {}  # how often each is still told
        self._urgent: deque[Key] = deque()
        self._usual: deque[Key] = deque()

    def put(self, key: Key, times: int, urgent: bool) -> None:
        """Tell it from now on, so many times; news on the same member takes the former's place."""
        known = key in self._left
        self._left[key] = times
        if urgent:
            self._urgent.appendleft(key)  # an older place of it, if any, is skipped by its count
        elif not known:
            self._usual.appendleft(key)

    def drop(self, key: Key) -> None:
        self._left.pop(key, None)

    def take(self, most: int, record: Callable[[Key], Record | None]) -> list[Record]:
        """Up to so many records to tell now; `record` makes one, or None where there is nothing to say any more."""
        taken: list[Record] = []
        seen: set[Key] = set()
        for queue in (self._urgent, self._usual):
            self._from(queue, most, record, taken, seen)
        return taken

    def _from(
        self,
        queue: deque[Key],
        most: int,
        record: Callable[[Key], Record | None],
        taken: list[Record],
        seen: set[Key],
    ) -> None:
        for _ in range(len(queue)):
            if len(taken) >= most:
                return
            key = queue.popleft()
            left = self._left.get(key, 0)
            made = record(key) if left > 0 and key not in seen else None
            if left > 0 and key in seen:
                continue  # its second place in the queue
            if made is None:
                self._left.pop(key, None)
                continue
            seen.add(key)
            taken.append(made)
            if left > 1:
                self._left[key] = left - 1
                queue.append(key)
            else:
                del self._left[key]

    def __len__(self) -> int:
        return len(self._left)
