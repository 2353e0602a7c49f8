"""A ZooKeeper ensemble in one process: a leader, a quorum, sessions, watches, and faults on demand.

Promise to each client, through all faults: its requests are answered in their order, a watch reports a change before a
read can return it, its reads never return an older state than a former one, and a transaction is applied by all members
connected to the leader or by none.
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
PARTITION_DETECTION_S = 0.2  # for so long a partitioned member goes on answering reads (syncLimit)
_LOG_LENGTH_MAX = 100_000  # transactions; a member that is further behind gets a copy of the tree
_ZXID_EPOCH_BITS = 32  # below the epoch: a counter


class UnavailableError(Exception):
    """A request that can't be executed now: its connection ends, and its client can't know whether it was."""


@dataclass(slots=True, eq=False)
class Session:
    """A client's session, as the leader knows it."""

    session_id: int
    password: bytes
    timeout_s: float
    last_heartbeat_at: float  # on the ensemble's clock
    connection: Connection | None = None
    read_only: bool = False


class Ensemble:
    """The members and what they agree on; faults are its methods."""

    def __init__(self, members: int = 3, seed: int = 1, election_s: float = 0.1) -> None:
        """`seed`: of passwords; `election_s`: from the loss of a leader to the next."""
        self.members = [Member(number) for number in range(members)]
        self.leader: Member | None = self.members[-1]
        self.epoch = 1
        self.election_s = election_s
        self.commit_delay_s = 0.0  # of each write, as by a slow disk
        self.sessions: dict[int, Session] = {}
        self.requests: Counter[int] = Counter()  # by operation
        self.expired: list[int] = []  # session ids
        self.rejected_handshakes = 0  # of clients that have read a newer state than the member has
        self._log: deque[Transaction] = deque(maxlen=_LOG_LENGTH_MAX)
        self._random = random.Random(seed)
        self._session_numbers = itertools.count(1)
        self._counter = 0  # of transactions in this epoch
        self._clock_rate, self._clock_since, self._clock_base = 1.0, 0.0, 0.0
        self._task: asyncio.Task[None] | None = None

    # -- Lifecycle -------------------------------------------------------------------------------------

    async def start(self, host: str = "127.0.0.1", ports: list[int] | None = None) -> None:
        """Listen on the ports, in the members' order, or on free ones."""
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
        """As clients are configured: host:port, with commas between."""
        return ",".join(map(format_address, self.addresses))

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """Where the members listen."""
        return tuple(member.server.address for member in self.members if member.server is not None)

    def clock(self) -> float:
        """The clock of session timeouts, s; it can run fast."""
        elapsed_s = asyncio.get_running_loop().time() - self._clock_since
        return self._clock_base + elapsed_s * self._clock_rate

    # -- Quorum ----------------------------------------------------------------------------------------

    def _connected_members(self) -> list[Member]:
        return [member for member in self.members if member.is_connected()]

    def has_quorum(self) -> bool:
        """Whether a majority of members is connected."""
        return 2 * len(self._connected_members()) > len(self.members)

    def serves(self, member: Member) -> bool:
        """Whether a member answers clients now."""
        if not member.running:
            return False
        return not member.leaderless or member.read_only

    def may_write(self, member: Member) -> bool:
        """Whether a member can have a change committed now."""
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

        Raise RequestError for a change that is refused, UnavailableError for one that can't be committed.
        """
        if not self.may_write(member):
            raise UnavailableError
        if self.commit_delay_s > 0.0:
            await asyncio.sleep(self.commit_delay_s)
            if not self.may_write(member):
                raise UnavailableError
        if requester.session_id not in self.sessions:
            raise UnavailableError  # it expired meanwhile
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
        self.leader.apply(transaction)  # at once: the next change is checked against the leader's tree
        for member in self._connected_members():
            if member is not self.leader:
                member.transaction_committed(transaction)
        return transaction

    def _catch_up(self, member: Member) -> None:
        """Give a member the transactions that were committed without it."""
        if self._log and len(self._log) >= _LOG_LENGTH_MAX and member.tree.zxid < self._log[0].zxid:
            assert self.leader is not None
            member.tree = copy.deepcopy(self.leader.tree)
            member.drop_clients()  # their watches would miss the changes between
            return
        for transaction in [entry for entry in self._log if entry.zxid > member.tree.zxid]:
            member.transaction_committed(transaction)

    # -- Sessions --------------------------------------------------------------------------------------

    async def open_session(self, member: Member, timeout_s: float) -> Session:
        """A new session; raise UnavailableError without a quorum."""
        if not self.may_write(member):
            raise UnavailableError
        if self.commit_delay_s > 0.0:
            await asyncio.sleep(self.commit_delay_s)
        session_id = (1 << 56) | (next(self._session_numbers) << 8) | member.number
        session = Session(session_id, self._random.randbytes(16), timeout_s, self.clock())
        self.sessions[session_id] = session
        return session

    def heartbeat(self, member: Member, session: Session) -> None:
        """A client has sent something; only a member connected to the leader can report that."""
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
        """End a session as the leader does after its timeout: its ephemeral znodes are deleted."""
        if session_id in self.sessions and self.leader is not None:
            self.expired.append(session_id)
            self._commit(self._new_transaction(Requester(session_id, frozenset())), session_id)

    def expire_all(self) -> None:
        """End all sessions."""
        for session_id in list(self.sessions):
            self.expire(session_id)

    def connection_of(self, session_id: int) -> Connection | None:
        """The connection that a session has now."""
        session = self.sessions.get(session_id)
        return session.connection if session is not None else None

    # -- Faults ----------------------------------------------------------------------------------------

    def cut(self, number: int) -> None:
        """Partition a member from the others; its clients lose their connections once it has detected that."""
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
        """Stop a member's process; what it has applied is on its disk."""
        member = self.members[number]
        self._stop_member(member)
        if member is self.leader or not self.has_quorum():
            self.lose_leader()

    @staticmethod
    def _stop_member(member: Member) -> None:
        member.running = False
        member.leaderless = True  # until it has rejoined after a restart
        member.drop_clients()

    def restart(self, number: int) -> None:
        """Start a member's process again."""
        member = self.members[number]
        member.running = True
        self._rejoin(member)

    def lose_leader(self, election_s: float | None = None) -> None:
        """Depose the leader: all members drop their clients until another is elected."""
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
        """Start all members again, without partitions."""
        for member in self.members:
            member.running = True
            member.partitioned = False
        for member in self.members:
            self._rejoin(member)

    def run_clock(self, rate: float) -> None:
        """Let the clock of session timeouts run at another rate; 1: as it should."""
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
            session.last_heartbeat_at = self.clock()  # a new leader counts timeouts from its election

    def _rejoin(self, member: Member) -> None:
        """Connect a member to the leader, or elect one."""
        if not self.has_quorum():
            return
        if self.leader is None:
            self._schedule_election(self.election_s)
            return
        member.leaderless = False
        self._catch_up(member)

    def snapshot(self) -> Tree:
        """A copy of the committed tree."""
        member = self.leader if self.leader is not None else self.members[0]
        return copy.deepcopy(member.tree)
