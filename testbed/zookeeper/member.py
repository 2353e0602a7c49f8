"""One ensemble member: its copy of the tree, its client connections and their watches."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from testbed.zookeeper import jute
from testbed.zookeeper.tree import Transaction, Tree, WatchEvent

if TYPE_CHECKING:
    from testbed.zookeeper.connection import Connection, MemberServer

WatchTable = dict[str, "set[Connection]"]  # by path


@dataclass(slots=True)
class _Waiter:
    """A pending wait until this member has applied a transaction."""

    zxid: int
    applied: asyncio.Future[None]


@dataclass(eq=False)
class Member:
    """State of one ensemble member."""

    number: int
    tree: Tree = field(default_factory=Tree)
    running: bool = True
    partitioned: bool = False  # from the other members
    leaderless: bool = False  # has no known leader and serves no clients, unless `read_only`
    read_only: bool = False  # without a leader it still serves clients that accept read-only sessions
    apply_delay_s: float = 0.0  # after the leader's commit
    connections: set[Connection] = field(default_factory=set)
    data_watches: WatchTable = field(default_factory=dict)
    child_watches: WatchTable = field(default_factory=dict)
    server: MemberServer | None = None
    _delayed: list[Transaction] = field(default_factory=list)
    _waiters: list[_Waiter] = field(default_factory=list)

    def is_connected(self) -> bool:
        """Return whether the member can exchange messages with the others."""
        return self.running and not self.partitioned

    # -- Transactions ----------------------------------------------------------------------------------

    def transaction_committed(self, transaction: Transaction) -> None:
        """Apply a committed transaction in order, after the member's delay."""
        if self.apply_delay_s > 0.0 or self._delayed:
            self._delayed.append(transaction)
            loop = asyncio.get_running_loop()
            loop.call_later(self.apply_delay_s, self._apply_delayed, transaction.zxid)
        else:
            self.apply(transaction)

    def apply_all_delayed(self) -> None:
        """Apply all delayed transactions immediately."""
        while self._delayed:
            self.apply(self._delayed.pop(0))

    def _apply_delayed(self, zxid: int) -> None:
        while self._delayed and self._delayed[0].zxid <= zxid:
            self.apply(self._delayed.pop(0))

    def apply(self, transaction: Transaction) -> None:
        """Apply a transaction, trigger its watches, and close connections of the session it closes."""
        if transaction.zxid <= self.tree.zxid:
            return
        for event in self.tree.apply(transaction):
            self._report(event)
        for waiter in [waiter for waiter in self._waiters if waiter.zxid <= transaction.zxid]:
            self._waiters.remove(waiter)
            if not waiter.applied.done():
                waiter.applied.set_result(None)
        if transaction.closed_session:
            for connection in list(self.connections):
                if connection.session_id == transaction.closed_session:
                    connection.drop_after_replies()

    async def wait_applied(self, zxid: int) -> None:
        """Wait until this member has applied a transaction."""
        if self.tree.zxid < zxid:
            applied: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.append(_Waiter(zxid, applied))
            await applied

    def _report(self, event: WatchEvent) -> None:
        """Send an event to the connections that watch its path; a watch triggers once."""
        is_children_event = event.event_type == jute.CHILDREN_CHANGED
        tables = [self.child_watches if is_children_event else self.data_watches]
        if event.event_type == jute.DELETED:
            tables.append(self.child_watches)
        watching: dict[Connection, None] = {}  # an ordered set
        for table in tables:
            watching.update(dict.fromkeys(table.pop(event.path, ())))
        for connection in watching:
            connection.send_watch_event(event)

    # -- Connections -----------------------------------------------------------------------------------

    def connection_ended(self, connection: Connection) -> None:
        """Remove a connection and its watches."""
        self.connections.discard(connection)
        for table in (self.data_watches, self.child_watches):
            for path in [path for path, watching in table.items() if connection in watching]:
                table[path].discard(connection)
                if not table[path]:
                    del table[path]

    def drop_clients(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            connection.drop()
        for waiter in self._waiters:
            waiter.applied.cancel()
        self._waiters = []
