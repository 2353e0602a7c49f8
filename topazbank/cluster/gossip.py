"""How news spreads: it rides on probes and answers, each a bounded number of times, the least told first; no I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from topazbank.cluster.member import MemberRecord

Key = tuple[int, bool]  # a member's ident, and whether this is that somebody has heard it


class Spread:
    """What is to be told; one entry a member and kind, so the members' own bound is its bound.

    An entry goes behind the others of its rank once it is told, so who is next has been told least.  Urgent is what a
    wrong verdict hangs on: suspicions, refutations, who is gone, who was heard.
    """

    __slots__ = ("_urgent", "_usual")

    def __init__(self) -> None:
        self._urgent: OrderedDict[Key, int] = OrderedDict()  # how often each is still told, the next first
        self._usual: OrderedDict[Key, int] = OrderedDict()

    def put(self, key: Key, times: int, urgent: bool) -> None:
        """Tell it from now on, so many times; news on the same member takes the former's place."""
        if urgent:
            self._usual.pop(key, None)
        queue = self._urgent if urgent or key in self._urgent else self._usual
        is_new = key not in queue
        queue[key] = times
        if urgent or is_new:
            queue.move_to_end(key, last=False)

    def take(self, most: int, record: Callable[[Key], MemberRecord | None]) -> list[MemberRecord]:
        """Up to so many records to tell now; `record` makes one, or None where there is nothing to say any more."""
        taken: list[MemberRecord] = []
        for queue in (self._urgent, self._usual):
            for _ in range(len(queue)):  # each once, also where it goes to the end
                if len(taken) >= most:
                    return taken
                key, left = queue.popitem(last=False)
                made = record(key)
                if made is None:
                    continue
                taken.append(made)
                if left > 1:
                    queue[key] = left - 1
        return taken

    def __len__(self) -> int:
        return len(self._urgent) + len(self._usual)
