"""A ZooKeeper ensemble of a few members in one process: a leader, a quorum, sessions, watches, and faults on demand.

What each client may rely on holds through all faults: its requests are answered in their order, it is told of a
change by a watch before it can read the change, its reads never go back, and a transaction is either at all members
that are in touch with the leader or at none.
"""

from __future__ import annotations

import asyncio
import copy
import itertools
import logging
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from testbed.wire import place
from testbed.zookeeper import jute
from testbed.zookeeper.tree import Asker, Draft, Event, Tree, Txn

if TYPE_CHECKING:
    from testbed.zookeeper.server import Connection, MemberServer

log = logging.getLogger(__name__)

TICK_S = 0.05  # how often sessions are looked at
NOTICE_S = 0.2  # a member that is cut off answers reads for so long before it notices (syncLimit)
_LOG_MOST = 100_000  # transactions kept; a member further behind is given the whole tree


class Lost(Exception):
    """A request that can't be carried now: its connection ends, and nobody knows whether it was done."""


@dataclass(slots=True, eq=False)
class Session:
    """A client's session, as the leader keeps it."""

    ident: int
    password: bytes
    timeout_s: float
    heard: float  # on the ensemble's clock
    connection: Connection | None = None
    read_only: bool = False


@dataclass(eq=False)
class Member:
    """One member: its copy of the tree and its clients' watches."""

    number: int
    tree: Tree = field(default_factory=Tree)
    up: bool = True
    cut: bool = False  # from the other members
    noticed: bool = False  # that it is cut off: it serves nobody any more
    read_only: bool = False  # it goes on for clients that asked for that
    lag_s: float = 0.0  # before it applies what the leader committed
    connections: set[Connection] = field(default_factory=set)
    data_watches: dict[str, set[Connection]] = field(default_factory=dict)
    child_watches: dict[str, set[Connection]] = field(default_factory=dict)
    server: MemberServer | None = None
    _due: list[Txn] = field(default_factory=list)
    _waiting: list[tuple[int, asyncio.Future[None]]] = field(default_factory=list)

    def deliver(self, txn: Txn) -> None:
        """Hear of a committed transaction; it is applied after those before it."""
        if self.lag_s > 0.0 or self._due:
            self._due.append(txn)
            asyncio.get_running_loop().call_later(self.lag_s, self._apply_due, txn.zxid)
        else:
            self.apply(txn)

    def _apply_due(self, zxid: int) -> None:
        while self._due and self._due[0].zxid <= zxid:
            self.apply(self._due.pop(0))

    def apply(self, txn: Txn) -> None:
        if txn.zxid <= self.tree.zxid:
            return
        for event in self.tree.apply(txn):
            self._fire(event)
        for zxid, waiting in [each for each in self._waiting if each[0] <= txn.zxid]:
            self._waiting.remove((zxid, waiting))
            if not waiting.done():
                waiting.set_result(None)
        if txn.closes:
            for connection in [each for each in self.connections if each.session_id == txn.closes]:
                connection.ends_after_answers()

    def _fire(self, event: Event) -> None:
        watches = [self.child_watches] if event.kind == jute.CHILDREN else [self.data_watches]
        if event.kind == jute.DELETED:
            watches.append(self.child_watches)
        told: dict[Connection, None] = {}
        for table in watches:
            told.update(dict.fromkeys(table.pop(event.path, ())))
        for connection in told:
            connection.tell(event)

    async def has_applied(self, zxid: int) -> None:
        if self.tree.zxid < zxid:
            waiting: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting.append((zxid, waiting))
            await waiting

    def forget(self, connection: Connection) -> None:
        self.connections.discard(connection)
        for table in (self.data_watches, self.child_watches):
            for path in [path for path, each in table.items() if connection in each]:
                table[path].discard(connection)
                if not table[path]:
                    del table[path]

    def drop_clients(self) -> None:
        for connection in list(self.connections):
            connection.drop()
        for _, waiting in self._waiting:
            waiting.cancel()
        self._waiting = []


class Ensemble:
    """The members and what they agree on; faults are its methods."""

    def __init__(self, members: int = 3, seed: int = 1, election_s: float = 0.1) -> None:
        self.members = [Member(number) for number in range(members)]
        self.leader: Member | None = self.members[-1]
        self.epoch = 1
        self.election_s = election_s
        self.disk_s = 0.0
        self.sessions: dict[int, Session] = {}
        self.requests: Counter[int] = Counter()  # by operation
        self.expired: list[int] = []
        self.refused_zxid = 0  # connections refused because their client had seen more
        self._log: deque[Txn] = deque(maxlen=_LOG_MOST)
        self._random = random.Random(seed)
        self._idents = itertools.count(1)
        self._counter = 0
        self._rate, self._rate_from, self._rate_base = 1.0, 0.0, 0.0
        self._task: asyncio.Task[None] | None = None

    # -- Life ------------------------------------------------------------------------------------------

    async def start(self, host: str = "127.0.0.1", ports: list[int] | None = None) -> None:
        from testbed.zookeeper.server import MemberServer

        for number, member in enumerate(self.members):
            member.server = MemberServer(self, member)
            await member.server.start(host, ports[number] if ports else 0)
        self._task = asyncio.get_running_loop().create_task(self._expire_sessions())

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
        for member in self.members:
            member.drop_clients()
            if member.server is not None:
                member.server.stop()

    @property
    def hosts(self) -> str:
        """As clients want them: host:port, with commas between."""
        return ",".join(map(place, self.addresses))

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        return tuple(each.server.address for each in self.members if each.server is not None)

    def clock(self) -> float:
        """Seconds by which sessions are kept; it may run fast."""
        return self._rate_base + (asyncio.get_running_loop().time() - self._rate_from) * self._rate

    # -- Quorum ----------------------------------------------------------------------------------------

    def _in_touch(self) -> list[Member]:
        return [each for each in self.members if each.up and not each.cut]

    def has_quorum(self) -> bool:
        return 2 * len(self._in_touch()) > len(self.members)

    def serves(self, member: Member) -> bool:
        """Whether a member takes clients now."""
        if not member.up:
            return False
        return not member.noticed or member.read_only

    def may_write(self, member: Member) -> bool:
        return member in self._in_touch() and self.leader is not None and self.has_quorum()

    # -- Writes ----------------------------------------------------------------------------------------

    async def submit(
        self, member: Member, asker: Asker, build: Callable[[Draft], None], closes: int = 0
    ) -> Draft:
        """Have a change checked, committed and applied at the member that asked; raise Refused or Lost."""
        if not self.may_write(member):
            raise Lost
        if self.disk_s > 0.0:
            await asyncio.sleep(self.disk_s)
            if not self.may_write(member):
                raise Lost
        if asker.session not in self.sessions:
            raise Lost  # it expired while the change was under way
        draft = self._draft(asker)
        build(draft)
        txn = self._commit(draft, closes)
        await member.has_applied(txn.zxid)
        return draft

    def _draft(self, asker: Asker) -> Draft:
        assert self.leader is not None
        time_ms = int(asyncio.get_running_loop().time() * 1000)
        return Draft(self.leader.tree, (self.epoch << 32) + self._counter + 1, time_ms, asker)

    def _commit(self, draft: Draft, closes: int = 0) -> Txn:
        self._counter += 1
        txn = draft.txn(closes)
        self._log.append(txn)
        if closes:
            self.sessions.pop(closes, None)
        assert self.leader is not None
        self.leader.apply(txn)  # the leader's own copy is what the next draft is checked against
        for member in self._in_touch():
            if member is not self.leader:
                member.deliver(txn)
        return txn

    def _catch_up(self, member: Member) -> None:
        """Give a member what was committed without it, one transaction after the other."""
        if self._log and len(self._log) >= _LOG_MOST and member.tree.zxid < self._log[0].zxid:
            assert self.leader is not None
            member.tree = copy.deepcopy(self.leader.tree)
            member.drop_clients()  # their watches would miss what lies between
            return
        for txn in [each for each in self._log if each.zxid > member.tree.zxid]:
            member.deliver(txn)

    # -- Sessions --------------------------------------------------------------------------------------

    async def open_session(self, member: Member, timeout_s: float) -> Session:
        if not self.may_write(member):
            raise Lost
        if self.disk_s > 0.0:
            await asyncio.sleep(self.disk_s)
        ident = (1 << 56) | (next(self._idents) << 8) | member.number
        session = Session(ident, self._random.randbytes(16), timeout_s, self.clock())
        self.sessions[ident] = session
        return session

    def touch(self, member: Member, session: Session) -> None:
        """A client was heard from; only a member in touch with the leader can tell it so."""
        if self.may_write(member):
            session.heard = self.clock()

    async def _expire_sessions(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if self.leader is None or not self.has_quorum():
                continue
            now = self.clock()
            for session in [each for each in self.sessions.values() if each.heard + each.timeout_s < now]:
                self.expire(session.ident)

    def expire(self, ident: int) -> None:
        """End a session as the leader does when nothing was heard of it: its ephemeral nodes go."""
        if ident in self.sessions and self.leader is not None:
            self.expired.append(ident)
            self._commit(self._draft(Asker(ident, frozenset())), closes=ident)

    def expire_all(self) -> None:
        for ident in list(self.sessions):
            self.expire(ident)

    # -- Faults ----------------------------------------------------------------------------------------

    def cut(self, number: int) -> None:
        """Cut a member off from the others; its clients learn of that when it notices."""
        member = self.members[number]
        member.cut = True
        asyncio.get_running_loop().call_later(NOTICE_S, self._notice, member)
        if member is self.leader or not self.has_quorum():
            self._lose_leader()

    def heal(self, number: int) -> None:
        member = self.members[number]
        member.cut = False
        self._rejoin(member)

    def crash(self, number: int) -> None:
        """A member's process dies; its disk keeps what it applied."""
        member = self.members[number]
        self._down(member)
        if member is self.leader or not self.has_quorum():
            self._lose_leader()

    @staticmethod
    def _down(member: Member) -> None:
        member.up = False
        member.noticed = True  # once it is up again it serves nobody before it has found the leader
        member.drop_clients()

    def restart(self, number: int) -> None:
        member = self.members[number]
        member.up = True
        self._rejoin(member)

    def lose_leader(self, down_s: float | None = None) -> None:
        """The leader is deposed; all members drop their clients until another is elected."""
        self._lose_leader(down_s)

    def outage(self) -> None:
        for member in self.members:
            self._down(member)
        self.leader = None

    def restore(self) -> None:
        for member in self.members:
            member.up = True
            member.cut = False
        for member in self.members:
            self._rejoin(member)  # one that was away gets what was committed without it

    def run_clock(self, rate: float) -> None:
        """Let the sessions' clock run faster, or as it should (1)."""
        now = self.clock()
        self._rate, self._rate_base, self._rate_from = rate, now, asyncio.get_running_loop().time()

    def connection_of(self, ident: int) -> Connection | None:
        session = self.sessions.get(ident)
        return session.connection if session is not None else None

    # -- Elections -------------------------------------------------------------------------------------

    def _notice(self, member: Member) -> None:
        if member.cut or (self.leader is None and member.up):
            member.noticed = True
            if not member.read_only:
                member.drop_clients()

    def _lose_leader(self, down_s: float | None = None) -> None:
        self.leader = None
        for member in self.members:
            if member.up and not member.cut:
                self._notice(member)
        self._elect_later(self.election_s if down_s is None else down_s)

    def _elect_later(self, after_s: float) -> None:
        asyncio.get_running_loop().call_later(after_s, self._elect)

    def _elect(self) -> None:
        if self.leader is not None or not self.has_quorum():
            return
        in_touch = self._in_touch()
        for member in in_touch:
            member.lag_s, lag = 0.0, member.lag_s
            member._apply_due(1 << 63)
            member.lag_s = lag
        self.leader = max(in_touch, key=lambda each: (each.tree.zxid, each.number))
        self.epoch, self._counter = self.epoch + 1, 0
        for member in in_touch:
            member.noticed = False
            if member is not self.leader:
                self._catch_up(member)
        for session in self.sessions.values():
            session.heard = self.clock()  # a new leader counts from its beginning

    def _rejoin(self, member: Member) -> None:
        if not self.has_quorum():
            return
        if self.leader is None:
            self._elect_later(self.election_s)
            return
        member.noticed = False
        self._catch_up(member)

    def snapshot(self) -> Tree:
        """A copy of what is committed."""
        return copy.deepcopy(self.leader.tree if self.leader is not None else self.members[0].tree)
