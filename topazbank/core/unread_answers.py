"""Client connections with answers that wait in this process, because their clients do not read as fast as they ask.

Guarantees: a client that reads at the allowed rate is never ended, however many bytes wait for it.  One that reads
nothing is ended in time.  All answers that wait stay within the memory budget, apart from one for each connection.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from topazbank.core.answer_progress import AnswerProgress
from topazbank.core.memory_budget import MemoryAccount, MemoryBudget, MemoryShare

if TYPE_CHECKING:
    from topazbank.core.client_connection import ClientConnection

_SMALL_ANSWER_BYTES: Final = 4 * 1024
_COUNT_INTERVAL_S: Final = 0.01  # minimum time between two counts of all unread bytes


class UnreadAnswers:
    """Owns the progress of each connection with unread answers, and their total size."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._account = MemoryAccount(budget)  # as last counted, plus what was reserved since
        self._progress: dict[ClientConnection, AnswerProgress] = {}
        self._counted: dict[ClientConnection, int] = {}  # the part of the account of each of them
        self._observed_at = 0.0
        self._counted_at = 0.0

    def __len__(self) -> int:
        """The number of connections with unread answers."""
        return len(self._progress)

    def add(self, connection: ClientConnection) -> None:
        """Follow a connection; no effect if it is followed already."""
        if connection not in self._progress:
            self._progress[connection] = AnswerProgress()
            self._set_counted(connection, connection.unread_bytes())

    def remove(self, connection: ClientConnection) -> None:
        """Stop following a connection; no effect if it isn't followed."""
        if self._progress.pop(connection, None) is not None:
            self._set_counted(connection, 0)
            del self._counted[connection]

    def reserve(self, connection: ClientConnection, count: int) -> bool:
        """Return whether there is room for an answer of `count` bytes, and reserve it if the answer will wait."""
        waits = connection in self._progress
        is_small = count <= _SMALL_ANSWER_BYTES
        share = MemoryShare.ANSWER if is_small and not waits else MemoryShare.UNREAD_ANSWER
        now = asyncio.get_running_loop().time()
        if not self._budget.has_room(count, share) and now >= self._counted_at + _COUNT_INTERVAL_S:
            self._count_bytes(now)
        if not self._budget.has_room(count, share):
            return False
        if waits:
            self._set_counted(connection, self._counted[connection] + count)
        return True

    def observe(self, now: float) -> list[ClientConnection]:
        """Record the progress of all connections; return those whose clients have stalled."""
        elapsed_s, self._observed_at = now - self._observed_at, now
        for connection in [each for each in self._progress if not each.has_unread_answers()]:
            self.remove(connection)
        self._count_bytes(now)
        stalled = []
        for connection, progress in self._progress.items():
            progress.observe(elapsed_s, connection.acknowledged_bytes())
            if progress.is_stalled():
                stalled.append(connection)
        return stalled

    def waited_s(self, connection: ClientConnection) -> float:
        """The time without sufficient progress of a connection, in seconds; 0 if it isn't followed."""
        progress = self._progress.get(connection)
        return 0.0 if progress is None else progress.waited_s

    def _count_bytes(self, now: float) -> None:
        for connection in self._progress:
            self._set_counted(connection, connection.unread_bytes())
        self._counted_at = now

    def _set_counted(self, connection: ClientConnection, count: int) -> None:
        change = count - self._counted.get(connection, 0)
        self._counted[connection] = count
        self._account.set(self._account.held_bytes + change)
