"""A ZooKeeper ensemble in one process: a leader, a quorum, sessions, watches, and faults on demand.

Guarantees to each client under all faults: requests are answered in order, a watch reports a change before a read can
return it, and reads never go back to an older state.  A transaction is applied by all members connected to the leader
or by none.
"""

from __future__ import annotations

import asyncio
import copy
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from testbed.wire import format_address
from testbed.zookeeper.member import Member
from testbed.zookeeper.transactions import Requester, TransactionBuilder
from testbed.zookeeper.tree import Transaction, Tree

if TYPE_CHECKING:
    from testbed.zookeeper.connection import Connection

EXPIRY_CHECK_S = 0.05
PARTITION_DETECTION_S = 0.2  # a partitioned member still answers reads for this long (syncLimit)
_LOG_LENGTH_MAX = 100_000  # transactions; a member further behind receives a copy of the tree
_ZXID_EPOCH_BITS = 32  # bits below the epoch, which hold a counter


class UnavailableError(Exception):
    """A request that can't be executed now; its connection closes, so the client can't know if it was executed."""


@dataclass(slots=True, eq=False)
class Session:
    """The leader's record of a client session."""

    session_id: int
    password: bytes
    timeout_s: float
    last_heartbeat_at: float  # on the ensemble's clock
    connection: Connection | None = None
    read_only: bool = False


class Ensemble:
    """The members and their shared state, with methods that inject faults."""

    def __init__(self, members: int = 3, seed: int = 1, election_s: float = 0.1) -> None:
        """`seed`: for session passwords; `election_s`: time from the loss of a leader to the next election."""
        self.members = [Member(number) for number in range(members)]
        self.leader: Member | None = self.members[-1]
        self.epoch = 1
        self.election_s = election_s
        self.commit_delay_s = 0.0  # delay of each write, like a slow disk
        self.sessions: dict[int, Session] = {}
        self.requests: Counter[int] = Counter()  # by operation
        self.expired: list[int] = []  # session ids
        self.rejected_handshakes = 0  # the client had already read a newer state than the member's
        self._log: deque[Transaction] = deque(maxlen=_LOG_LENGTH_MAX)
        self._random = random.Random(seed)
        self._session_numbers = itertools.count(1)
        self._counter = 0  # transactions in this epoch
        self._clock_rate, self._clock_since, self._clock_base = 1.0, 0.0, 0.0
        self._task: asyncio.Task[None] | None = None

    # -- Lifecycle -------------------------------------------------------------------------------------

    async def start(self, host: str = "127.0.0.1", ports: list[int] | None = None) -> None:
        """Listen on the given ports, in member order, or on free ports."""
        from testbed.zookeeper.connection import MemberServer

        for number, member in enumerate(self.members):
            member.server = MemberServer(self, member)
            await member.server.start(host, ports[number] if ports else 0)
        self._task = asyncio.get_running_loop().create_task(self._expire_sessions())

    def stop(self) -> None:
        """Close all connections and stop listening."""
        if self._task is not None:
            self._task.cancel()
        for member in self.members:
            member.drop_clients()
            if member.server is not None:
                member.server.stop()

    @property
    def hosts(self) -> str:
        """The connect string for clients: comma-separated host:port pairs."""
        return ",".join(map(format_address, self.addresses))

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """The members' listening addresses."""
        return tuple(member.server.address for member in self.members if member.server is not None)

    def clock(self) -> float:
        """Return the time of the session timeout clock, s; the clock can run at another rate."""
        elapsed_s = asyncio.get_running_loop().time() - self._clock_since
        return self._clock_base + elapsed_s * self._clock_rate

    # -- Quorum ----------------------------------------------------------------------------------------

    def _connected_members(self) -> list[Member]:
        return [member for member in self.members if member.is_connected()]

    def has_quorum(self) -> bool:
        """Return whether a majority of members is connected."""
        return 2 * len(self._connected_members()) > len(self.members)

    def serves(self, member: Member) -> bool:
        """Return whether a member currently answers clients."""
        if not member.running:
            return False
        return not member.leaderless or member.read_only

    def may_write(self, member: Member) -> bool:
        """Return whether a member can currently get a change committed."""
        return member.is_connected() and self.leader is not None and self.has_quorum()

    # -- Writes ----------------------------------------------------------------------------------------

    async def submit(
        self,
        member: Member,
        requester: Requester,
        build: Callable[[TransactionBuilder], None],
        closed_session: int = 0,
    ) -> TransactionBuilder:
        """Check and commit a change, and wait until the member has applied it.

        Raise RequestError if the change is refused, UnavailableError if it can't be committed.
        """
        if not self.may_write(member):
            raise UnavailableError
        if self.commit_delay_s > 0.0:
            await asyncio.sleep(self.commit_delay_s)
            if not self.may_write(member):
                raise UnavailableError
        if requester.session_id not in self.sessions:
            raise UnavailableError  # expired in the meantime
        builder = self._new_transaction(requester)
        build(builder)
        transaction = self._commit(builder, closed_session)
        await member.wait_applied(transaction.zxid)
        return builder

    def _new_transaction(self, requester: Requester) -> TransactionBuilder:
        assert self.leader is not None
        time_ms = int(asyncio.get_running_loop().time() * 1000)
        zxid = (self.epoch << _ZXID_EPOCH_BITS) + self._counter + 1
        return TransactionBuilder(self.leader.tree, zxid, time_ms, requester)

    def _commit(self, builder: TransactionBuilder, closed_session: int = 0) -> Transaction:
        self._counter += 1
        transaction = builder.finish(closed_session)
        self._log.append(transaction)
        if closed_session:
            self.sessions.pop(closed_session, None)
        assert self.leader is not None
        self.leader.apply(transaction)  # without delay: the next change is checked against the leader's tree
        for member in self._connected_members():
            if member is not self.leader:
                member.transaction_committed(transaction)
        return transaction

    def _catch_up(self, member: Member) -> None:
        """Send a member the transactions that it missed."""
        if self._log and len(self._log) >= _LOG_LENGTH_MAX and member.tree.zxid < self._log[0].zxid:
            assert self.leader is not None
            member.tree = copy.deepcopy(self.leader.tree)
            member.drop_clients()  # their watches would miss the skipped changes
            return
        for transaction in [entry for entry in self._log if entry.zxid > member.tree.zxid]:
            member.transaction_committed(transaction)

    # -- Sessions --------------------------------------------------------------------------------------

    async def open_session(self, member: Member, timeout_s: float) -> Session:
        """Open a session; raise UnavailableError without a quorum."""
        if not self.may_write(member):
            raise UnavailableError
        if self.commit_delay_s > 0.0:
            await asyncio.sleep(self.commit_delay_s)
        session_id = (1 << 56) | (next(self._session_numbers) << 8) | member.number
        session = Session(session_id, self._random.randbytes(16), timeout_s, self.clock())
        self.sessions[session_id] = session
        return session

    def heartbeat(self, member: Member, session: Session) -> None:
        """Record client activity; only a member connected to the leader can report it."""
        if self.may_write(member):
            session.last_heartbeat_at = self.clock()

    async def _expire_sessions(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            if self.leader is None or not self.has_quorum():
                continue
            now = self.clock()
            for session in list(self.sessions.values()):
                if session.last_heartbeat_at + session.timeout_s < now:
                    self.expire(session.session_id)

    def expire(self, session_id: int) -> None:
        """Expire a session as the leader does after its timeout; its ephemeral znodes are deleted."""
        if session_id in self.sessions and self.leader is not None:
            self.expired.append(session_id)
            self._commit(self._new_transaction(Requester(session_id, frozenset())), session_id)

    def expire_all(self) -> None:
        """Expire all sessions."""
        for session_id in list(self.sessions):
            self.expire(session_id)

    def connection_of(self, session_id: int) -> Connection | None:
        """Return a session's current connection."""
        session = self.sessions.get(session_id)
        return session.connection if session is not None else None

    # -- Faults ----------------------------------------------------------------------------------------

    def cut(self, number: int) -> None:
        """Partition a member from the others; it drops its clients once it has detected the partition."""
        member = self.members[number]
        member.partitioned = True
        loop = asyncio.get_running_loop()
        loop.call_later(PARTITION_DETECTION_S, self._detect_lost_leader, member)
        if member is self.leader or not self.has_quorum():
            self.lose_leader()

    def heal(self, number: int) -> None:
        """End a member's partition."""
        member = self.members[number]
        member.partitioned = False
        self._rejoin(member)

    def crash(self, number: int) -> None:
        """Crash a member's process; transactions that it has applied persist on its disk."""
        member = self.members[number]
        self._stop_member(member)
        if member is self.leader or not self.has_quorum():
            self.lose_leader()

    @staticmethod
    def _stop_member(member: Member) -> None:
        member.running = False
        member.leaderless = True  # until it rejoins after a restart
        member.drop_clients()

    def restart(self, number: int) -> None:
        """Restart a member's process."""
        member = self.members[number]
        member.running = True
        self._rejoin(member)

    def lose_leader(self, election_s: float | None = None) -> None:
        """Remove the leader: all members drop their clients until another is elected."""
        self.leader = None
        for member in self._connected_members():
            self._detect_lost_leader(member)
        self._schedule_election(self.election_s if election_s is None else election_s)

    def outage(self) -> None:
        """Stop all members."""
        for member in self.members:
            self._stop_member(member)
        self.leader = None

    def restore(self) -> None:
        """Restart all members and heal all partitions."""
        for member in self.members:
            member.running = True
            member.partitioned = False
        for member in self.members:
            self._rejoin(member)

    def run_clock(self, rate: float) -> None:
        """Set the rate of the session timeout clock; 1 is real time."""
        now = self.clock()
        self._clock_rate, self._clock_base = rate, now
        self._clock_since = asyncio.get_running_loop().time()

    # -- Elections -------------------------------------------------------------------------------------

    def _detect_lost_leader(self, member: Member) -> None:
        if member.partitioned or (self.leader is None and member.running):
            member.leaderless = True
            if not member.read_only:
                member.drop_clients()

    def _schedule_election(self, after_s: float) -> None:
        asyncio.get_running_loop().call_later(after_s, self._elect)

    def _elect(self) -> None:
        if self.leader is not None or not self.has_quorum():
            return
        connected = self._connected_members()
        for member in connected:
            member.apply_all_delayed()
        self.leader = max(connected, key=lambda member: (member.tree.zxid, member.number))
        self.epoch, self._counter = self.epoch + 1, 0
        for member in connected:
            member.leaderless = False
            if member is not self.leader:
                self._catch_up(member)
        for session in self.sessions.values():
            session.last_heartbeat_at = self.clock()  # a new leader restarts all session timeouts

    def _rejoin(self, member: Member) -> None:
        """Connect a member to the leader; without a leader, schedule an election."""
        if not self.has_quorum():
            return
        if self.leader is None:
            self._schedule_election(self.election_s)
            return
        member.leaderless = False
        self._catch_up(member)

    def snapshot(self) -> Tree:
        """Return a copy of the committed tree."""
        member = self.leader if self.leader is not None else self.members[0]
        return copy.deepcopy(member.tree)
