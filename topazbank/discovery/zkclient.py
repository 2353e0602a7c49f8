"""A ZooKeeper session on the event loop.

Promise: the session survives the loss of a member, its watches are set again at the next one, and no reply is accepted
that is older than one accepted before.  docs/design/discovery.md compares this with kazoo and its threads.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto, unique

from topazbank.core.net import Address
from topazbank.discovery import zkwire
from topazbank.discovery.zkconnection import MemberConnection
from topazbank.discovery.zkwatches import WatchRegistry
from topazbank.discovery.zkwire import (
    Acl,
    ErrorCode,
    MalformedRecordError,
    OpCode,
    RecordReader,
    Stat,
    WatchEvent,
)

log = logging.getLogger(__name__)

_BACKOFF_S = 0.05  # after all members were tried once; doubled each time, with jitter
_BACKOFF_MAX_S = 3.0
_NAMES_PER_TURN = 500  # names of a list that are decoded in one turn of the event loop
_PENDING_REQUESTS_MAX = 20_000  # the registration view reads each znode once
_XID_MAX = 2**31 - 1
_NEW_SESSION_ID = 0
_NEW_SESSION_PASSWORD = bytes(16)


@unique
class SessionState(Enum):
    """A session's states; a suspended one may still be alive at the ensemble."""

    CONNECTING = auto()  # not established yet, or to be established again after an expiry
    CONNECTED = auto()  # a member that is part of a quorum serves it
    SUSPENDED = auto()  # no member is connected; whether the session is alive is unknown
    EXPIRED = auto()  # the quorum has ended it and deleted its ephemeral znodes
    CLOSED = auto()


class ZooKeeperError(Exception):
    """A request that a server refused, with KeeperException's code."""

    def __init__(self, code: int) -> None:
        super().__init__(ErrorCode(code).name if code in set(ErrorCode) else f"error {code}")
        self.code = code


class ConnectionLossError(Exception):
    """No member is connected, or the connection ended before the reply: the request may have been executed."""


@dataclass(frozen=True, slots=True)
class EnsembleConfig:
    """The ensemble's members and the session's parameters."""

    members: tuple[Address, ...]
    timeout_s: float = 6.0  # of the session
    chroot: str = ""  # prefix of all paths
    secret: str = field(default="", repr=False)  # digest authentication, user:password; never logged


@dataclass(slots=True)
class _PendingRequest:
    """A request without a reply yet."""

    xid: int
    reply: asyncio.Future[RecordReader]


class Session:
    """One session over any number of connections, established again after an expiry.

    `on_state_change` is called with each new state, `on_watch_event` with what a watch reports, after which the watch
    does not exist any more.  Requests raise ConnectionLossError and ZooKeeperError.
    """

    def __init__(
        self,
        ensemble: EnsembleConfig,
        on_state_change: Callable[[SessionState], None],
        on_watch_event: Callable[[WatchEvent, str], None],
        seed: int | None = None,
    ) -> None:
        """`seed`: of the order of members and of the jitter."""
        self.state = SessionState.CONNECTING
        self.session_id = _NEW_SESSION_ID
        self.zxid = 0  # the newest transaction of any reply: an older reply is refused
        self.connections = 0  # completed handshakes
        self.stale_replies = 0  # refused as older than `zxid`
        self._ensemble = ensemble
        self._on_state_change = on_state_change
        self._on_watch_event = on_watch_event
        self._random = random.Random(seed)
        self._password = _NEW_SESSION_PASSWORD
        self._timeout_s = ensemble.timeout_s  # as negotiated
        self._xids = itertools.count(1)
        self._connection: MemberConnection | None = None
        self._pending: deque[_PendingRequest] = deque()  # as sent; bounded by _PENDING_REQUESTS_MAX
        self._watches = WatchRegistry()
        self._task: asyncio.Task[None] | None = None

    # -- Lifecycle -------------------------------------------------------------------------------------

    def start(self) -> None:
        """Connect, and stay connected until `close` or `stop`."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """End the session at the ensemble, which deletes its ephemeral znodes at once."""
        if self.state is SessionState.CONNECTED and self._connection is not None:
            self._cancel_task()  # so that the end of the connection is not taken for a loss
            try:
                async with asyncio.timeout(self._timeout_s / 3):
                    await self._send(OpCode.CLOSE)
            except (ConnectionLossError, ZooKeeperError, TimeoutError):
                pass  # the session expires by itself
        self.stop()

    def stop(self) -> None:
        """End without a request: the session lives on at the ensemble until it expires."""
        self._cancel_task()
        self._enter(SessionState.CLOSED)
        self._drop(self._connection)

    def _cancel_task(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _enter(self, state: SessionState) -> None:
        if state is not self.state:
            self.state = state
            self._on_state_change(state)

    async def _run(self) -> None:
        """Try the members in random order, with a backoff while none accepts the session."""
        backoff_s = _BACKOFF_S
        while True:
            members = list(self._ensemble.members)
            self._random.shuffle(members)
            for member in members:
                if await self._serve_at(member):
                    backoff_s = _BACKOFF_S
            # Full jitter: sidecars that lost the same member at once do not reconnect at once.
            await asyncio.sleep(backoff_s * self._random.random())
            backoff_s = min(2 * backoff_s, _BACKOFF_MAX_S)

    async def _serve_at(self, member: Address) -> bool:
        """Hold the session at one member until the connection ends; return whether it was established there."""
        connection = MemberConnection(self)
        limit_s = self._timeout_s / max(len(self._ensemble.members), 2)
        try:
            async with asyncio.timeout(limit_s):
                await self._establish(connection, member)
        except (OSError, TimeoutError):
            connection.abort()
            return False
        except asyncio.CancelledError:
            connection.abort()
            raise
        if self._connection is not connection:
            connection.abort()
            return False
        await self._ping_until_lost(connection)
        return True

    async def _establish(self, connection: MemberConnection, member: Address) -> None:
        await asyncio.get_running_loop().create_connection(lambda: connection, *member)
        timeout_ms = int(self._ensemble.timeout_s * 1000)
        connection.write(
            zkwire.encode_connect_request(self.zxid, timeout_ms, self.session_id, self._password)
        )
        await connection.established

    async def _ping_until_lost(self, connection: MemberConnection) -> None:
        """Ping every third of the session timeout; drop a member that is silent for two thirds of it."""
        loop = asyncio.get_running_loop()
        while not connection.lost.done():
            await asyncio.wait([connection.lost], timeout=self._timeout_s / 3)
            if connection.last_received_at + self._timeout_s * 2 / 3 < loop.time():
                log.warning("zookeeper: the member does not answer pings")
                break
            if not connection.lost.done() and connection.transport is not None:
                connection.write(zkwire.encode_request(zkwire.PING_XID, OpCode.PING))
        self._drop(connection)

    def _drop(self, connection: MemberConnection | None) -> None:
        """End a connection; its pending requests may have been executed or not."""
        if connection is None or self._connection is not connection:
            return
        connection.abort()
        self._connection = None
        pending, self._pending = self._pending, deque()
        if self.state is SessionState.CONNECTED:
            self._enter(SessionState.SUSPENDED)
        for request in pending:
            if not request.reply.done():
                request.reply.set_exception(ConnectionLossError())
                request.reply.exception()  # marks it as retrieved: its waiter may be cancelled

    # -- Records received ------------------------------------------------------------------------------

    def handshake_received(self, connection: MemberConnection, record: RecordReader) -> None:
        """The member accepts the session or says that it has expired."""
        response = record.read_connect_response()
        if response.timeout_ms <= 0:
            self._session_expired(connection)
            return
        self.session_id, self._password = response.session_id, response.password
        self._timeout_s = response.timeout_ms / 1000
        self._connection = connection
        self.connections += 1
        self._resume(connection)
        self._enter(SessionState.CONNECTED)
        if not connection.established.done():
            connection.established.set_result(None)

    def _session_expired(self, connection: MemberConnection) -> None:
        log.warning("zookeeper: the session has expired")
        self.session_id, self._password = _NEW_SESSION_ID, _NEW_SESSION_PASSWORD
        self._watches.clear()
        connection.abort()
        self._enter(SessionState.EXPIRED)
        self._enter(SessionState.CONNECTING)

    def _resume(self, connection: MemberConnection) -> None:
        """Authenticate and set the watches again; changes since `zxid` are reported at once."""
        if self._ensemble.secret:
            body = zkwire.encode_auth(self._ensemble.secret)
            connection.write(zkwire.encode_request(zkwire.AUTH_XID, OpCode.AUTH, body))
        for body in self._watches.encode_set_watches(self.zxid):
            connection.write(zkwire.encode_request(zkwire.SET_WATCHES_XID, OpCode.SET_WATCHES, body))

    def reply_received(self, connection: MemberConnection, record: RecordReader) -> None:
        """A reply, a ping's answer or a watch event; raise MalformedRecordError for a reply out of order."""
        if connection is not self._connection:
            return
        header = record.read_header()
        if header.xid == zkwire.WATCH_XID:
            event_type, _, path = record.read_int(), record.read_int(), record.read_string()
            self._watch_event_received(event_type, path)
            return
        if 0 < header.zxid < self.zxid:
            # Accepted, it would show an older state than one shown before; another member is up to date.
            self.stale_replies += 1
            log.warning("zookeeper: a member is behind the state already read: another member is tried")
            self._drop(connection)
            return
        self.zxid = max(self.zxid, header.zxid)
        if header.xid == zkwire.AUTH_XID and header.error:
            log.error("zookeeper: the ensemble rejects the authentication")
        if header.xid in (zkwire.PING_XID, zkwire.AUTH_XID, zkwire.SET_WATCHES_XID):
            return
        self._resolve(header, record)

    def _resolve(self, header: zkwire.ReplyHeader, record: RecordReader) -> None:
        if not self._pending or self._pending[0].xid != header.xid:
            raise MalformedRecordError("a reply out of order")
        reply = self._pending.popleft().reply
        if reply.done():
            return
        if header.error:
            reply.set_exception(ZooKeeperError(header.error))
            reply.exception()  # marks it as retrieved: its waiter may be cancelled
        else:
            reply.set_result(record)

    def _watch_event_received(self, event_type: int, path: str) -> None:
        if event_type not in set(WatchEvent):
            return
        event = WatchEvent(event_type)
        self._watches.event_received(event, path)
        self._on_watch_event(event, path.removeprefix(self._ensemble.chroot) or "/")

    # -- Requests --------------------------------------------------------------------------------------

    def _full_path(self, path: str) -> str:
        return (self._ensemble.chroot + path).rstrip("/") or "/"

    def _send(self, op: OpCode, body: bytes = b"") -> asyncio.Future[RecordReader]:
        """Write a request now; raise ConnectionLossError where no member is connected or too many are pending."""
        reply: asyncio.Future[RecordReader] = asyncio.get_running_loop().create_future()
        connection = self._connection
        if connection is None or not connection.is_usable() or len(self._pending) >= _PENDING_REQUESTS_MAX:
            raise ConnectionLossError
        xid = next(self._xids) % _XID_MAX + 1
        self._pending.append(_PendingRequest(xid, reply))
        connection.write(zkwire.encode_request(xid, op, body))
        return reply

    async def sync(self, path: str = "/") -> None:
        """Wait until this member has every committed transaction, which only a member of a quorum can."""
        await self._send(OpCode.SYNC, zkwire.encode_string(self._full_path(path)))

    async def get_children(self, path: str, watch: bool = False) -> tuple[list[str], Stat]:
        """The names of a znode's children, and its metadata."""
        full_path = self._full_path(path)
        if watch:
            # Before the reply is read: the server may report the watch in the same segment.
            self._watches.add_children(full_path)
        body = zkwire.encode_string(full_path) + zkwire.encode_bool(watch)
        try:
            record = await self._send(OpCode.GET_CHILDREN2, body)
        except ZooKeeperError:
            self._watches.discard_children(full_path)
            raise
        return await self._read_names(record), record.read_stat()

    @staticmethod
    async def _read_names(record: RecordReader) -> list[str]:
        """Decode a list of names, with a turn for other work between parts of it."""
        names: list[str] = []
        count = record.read_int()
        while len(names) < count:
            names += record.read_strings(min(count - len(names), _NAMES_PER_TURN))
            if len(names) < count:
                await asyncio.sleep(0)
        return names

    async def get(self, path: str, watch: bool = False) -> tuple[bytes, Stat]:
        """A znode's data and metadata."""
        full_path = self._full_path(path)
        if watch:
            self._watches.add_data(full_path)
        body = zkwire.encode_string(full_path) + zkwire.encode_bool(watch)
        try:
            record = await self._send(OpCode.GET_DATA, body)
        except ZooKeeperError:
            self._watches.discard_data(full_path)
            raise
        return record.read_buffer(), record.read_stat()

    async def exists(self, path: str) -> Stat | None:
        """A znode's metadata, or None where it does not exist."""
        body = zkwire.encode_string(self._full_path(path)) + zkwire.encode_bool(False)
        try:
            return (await self._send(OpCode.EXISTS, body)).read_stat()
        except ZooKeeperError as error:
            if error.code == ErrorCode.NO_NODE:
                return None
            raise

    async def create(self, path: str, data: bytes, acl: tuple[Acl, ...], flags: int = 0) -> str:
        """Create a znode and return its path, which a sequential one gets from the server."""
        body = zkwire.encode_create(self._full_path(path), data, acl, flags)
        record = await self._send(OpCode.CREATE, body)
        return record.read_string().removeprefix(self._ensemble.chroot)

    async def set(self, path: str, data: bytes, version: int = zkwire.ANY_VERSION) -> Stat:
        """Replace a znode's data."""
        body = zkwire.encode_set_data(self._full_path(path), data, version)
        return (await self._send(OpCode.SET_DATA, body)).read_stat()

    async def delete(self, path: str, version: int = zkwire.ANY_VERSION) -> None:
        """Delete a znode."""
        await self._send(OpCode.DELETE, zkwire.encode_path_with_version(self._full_path(path), version))

    async def ensure_path(self, path: str, acl: tuple[Acl, ...]) -> None:
        """Create a znode and its ancestors, where they do not exist yet."""
        ancestor = ""
        for part in (self._ensemble.chroot + path).strip("/").split("/"):
            ancestor += "/" + part
            try:
                await self._send(OpCode.CREATE, zkwire.encode_create(ancestor, b"", acl, 0))
            except ZooKeeperError as error:
                if error.code != ErrorCode.NODE_EXISTS:
                    raise
