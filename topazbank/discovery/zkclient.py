"""A ZooKeeper client session on the asyncio event loop.

The session survives the loss of a member, and its watches are restored at the next one.  A reply that is older than an
accepted one is rejected, so reads never go back in time.  docs/design/discovery.md compares this with the threaded
client kazoo.
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

_BACKOFF_S = 0.05  # upper bound of the jittered delay after all members have failed; doubles each time
_BACKOFF_MAX_S = 3.0
_NAMES_PER_TURN = 500  # child names decoded per event loop iteration
_PENDING_REQUESTS_MAX = 20_000  # allows one read per znode of a registration view
_XID_MAX = 2**31 - 1
_NEW_SESSION_ID = 0
_NEW_SESSION_PASSWORD = bytes(16)


@unique
class SessionState(Enum):
    """Session states; a suspended session may still be alive at the ensemble."""

    CONNECTING = auto()  # not established yet, or being replaced after an expiry
    CONNECTED = auto()  # connected to a member that is part of a quorum
    SUSPENDED = auto()  # no member connected; the ensemble may have expired the session
    EXPIRED = auto()  # ended by the quorum, its ephemeral znodes deleted
    CLOSED = auto()


class ZooKeeperError(Exception):
    """The server rejected a request; `code` is that of KeeperException."""

    def __init__(self, code: int) -> None:
        super().__init__(ErrorCode(code).name if code in set(ErrorCode) else f"error {code}")
        self.code = code


class ConnectionLossError(Exception):
    """No member is connected, or the connection was lost before the reply; the request may have been executed."""


@dataclass(frozen=True, slots=True)
class EnsembleConfig:
    """Ensemble members and session parameters."""

    members: tuple[Address, ...]
    timeout_s: float = 6.0  # session timeout
    chroot: str = ""  # prefix for all paths
    secret: str = field(default="", repr=False)  # user:password for digest authentication; never logged


@dataclass(slots=True)
class _PendingRequest:
    """A request that awaits its reply."""

    xid: int
    reply: asyncio.Future[RecordReader]


class Session:
    """A session that outlives its connections and is replaced by a new one after an expiry.

    `on_state_change` is called with each new state and `on_watch_event` with each watch event.  A watch is removed
    after its event.  Requests raise ConnectionLossError and ZooKeeperError.
    """

    def __init__(
        self,
        ensemble: EnsembleConfig,
        on_state_change: Callable[[SessionState], None],
        on_watch_event: Callable[[WatchEvent, str], None],
        seed: int | None = None,
    ) -> None:
        """`seed` initializes the random generator for the order of members and the backoff jitter."""
        self.state = SessionState.CONNECTING
        self.session_id = _NEW_SESSION_ID
        self.zxid = 0  # newest transaction id received; older replies are rejected
        self.connections = 0  # completed handshakes
        self.stale_replies = 0  # replies rejected as older than `zxid`
        self._ensemble = ensemble
        self._on_state_change = on_state_change
        self._on_watch_event = on_watch_event
        self._random = random.Random(seed)
        self._password = _NEW_SESSION_PASSWORD
        self._timeout_s = ensemble.timeout_s  # negotiated in the handshake
        self._xids = itertools.count(1)
        self._connection: MemberConnection | None = None
        self._pending: deque[_PendingRequest] = deque()  # in the order sent; bounded by _PENDING_REQUESTS_MAX
        self._watches = WatchRegistry()
        self._task: asyncio.Task[None] | None = None

    # -- Lifecycle -------------------------------------------------------------------------------------

    def start(self) -> None:
        """Connect, and reconnect as needed until `close` or `stop`."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Close the session at the ensemble, which deletes its ephemeral znodes immediately."""
        if self.state is SessionState.CONNECTED and self._connection is not None:
            self._cancel_task()  # prevents treating the closed connection as lost
            try:
                async with asyncio.timeout(self._timeout_s / 3):
                    await self._send(OpCode.CLOSE)
            except (ConnectionLossError, ZooKeeperError, TimeoutError):
                pass  # the ensemble expires the session
        self.stop()

    def stop(self) -> None:
        """Disconnect without closing the session, which stays alive at the ensemble until it expires."""
        self._cancel_task()
        self._set_state(SessionState.CLOSED)
        self._drop_connection(self._connection)

    def _cancel_task(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _set_state(self, state: SessionState) -> None:
        if state is not self.state:
            self.state = state
            self._on_state_change(state)

    async def _run(self) -> None:
        """Connect to the members in random order, with exponential backoff while all of them fail."""
        backoff_s = _BACKOFF_S
        while True:
            members = list(self._ensemble.members)
            self._random.shuffle(members)
            for member in members:
                if await self._use_member(member):
                    backoff_s = _BACKOFF_S
            # Full jitter spreads the reconnections of sidecars that lost the same member.
            await asyncio.sleep(backoff_s * self._random.random())
            backoff_s = min(2 * backoff_s, _BACKOFF_MAX_S)

    async def _use_member(self, member: Address) -> bool:
        """Use one member until its connection ends; return whether the session was established there."""
        connection = MemberConnection(self)
        connect_timeout_s = self._timeout_s / max(len(self._ensemble.members), 2)
        try:
            async with asyncio.timeout(connect_timeout_s):
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
        """Ping every third of the session timeout; disconnect after two thirds of it without received data."""
        loop = asyncio.get_running_loop()
        while not connection.lost.done():
            await asyncio.wait([connection.lost], timeout=self._timeout_s / 3)
            if connection.last_received_at + self._timeout_s * 2 / 3 < loop.time():
                log.warning("zookeeper: ping timeout; disconnecting from the member")
                break
            if not connection.lost.done() and connection.transport is not None:
                connection.write(zkwire.encode_request(zkwire.PING_XID, OpCode.PING))
        self._drop_connection(connection)

    def _drop_connection(self, connection: MemberConnection | None) -> None:
        """Close a connection and fail its pending requests, which may or may not have been executed."""
        if connection is None or self._connection is not connection:
            return
        connection.abort()
        self._connection = None
        pending, self._pending = self._pending, deque()
        if self.state is SessionState.CONNECTED:
            self._set_state(SessionState.SUSPENDED)
        for request in pending:
            if not request.reply.done():
                request.reply.set_exception(ConnectionLossError())
                request.reply.exception()  # marks the exception as retrieved, as the awaiting task may be cancelled

    # -- Records received ------------------------------------------------------------------------------

    def handshake_received(self, connection: MemberConnection, record: RecordReader) -> None:
        """Handle the handshake response: the session is accepted, or has expired."""
        response = record.read_connect_response()
        if response.timeout_ms <= 0:
            self._session_expired(connection)
            return
        self.session_id, self._password = response.session_id, response.password
        self._timeout_s = response.timeout_ms / 1000
        self._connection = connection
        self.connections += 1
        self._restore_session(connection)
        self._set_state(SessionState.CONNECTED)
        if not connection.established.done():
            connection.established.set_result(None)

    def _session_expired(self, connection: MemberConnection) -> None:
        log.warning("zookeeper: session expired")
        self.session_id, self._password = _NEW_SESSION_ID, _NEW_SESSION_PASSWORD
        self._watches.clear()
        connection.abort()
        self._set_state(SessionState.EXPIRED)
        self._set_state(SessionState.CONNECTING)

    def _restore_session(self, connection: MemberConnection) -> None:
        """Authenticate and restore the watches; the server reports changes since `zxid` immediately."""
        if self._ensemble.secret:
            body = zkwire.encode_auth(self._ensemble.secret)
            connection.write(zkwire.encode_request(zkwire.AUTH_XID, OpCode.AUTH, body))
        for body in self._watches.encode_set_watches(self.zxid):
            connection.write(zkwire.encode_request(zkwire.SET_WATCHES_XID, OpCode.SET_WATCHES, body))

    def reply_received(self, connection: MemberConnection, record: RecordReader) -> None:
        """Handle a reply, ping response or watch event; raise MalformedRecordError for an out-of-order reply."""
        if connection is not self._connection:
            return
        header = record.read_header()
        if header.xid == zkwire.WATCH_XID:
            event_type, _, path = record.read_int(), record.read_int(), record.read_string()
            self._watch_event_received(event_type, path)
            return
        if 0 < header.zxid < self.zxid:
            # Accepting this reply would move reads back to an older state; another member is up to date.
            self.stale_replies += 1
            log.warning("zookeeper: reply zxid is behind the last zxid received; trying another member")
            self._drop_connection(connection)
            return
        self.zxid = max(self.zxid, header.zxid)
        if header.xid == zkwire.AUTH_XID and header.error:
            log.error("zookeeper: authentication rejected")
        if header.xid in (zkwire.PING_XID, zkwire.AUTH_XID, zkwire.SET_WATCHES_XID):
            return
        self._resolve_request(header, record)

    def _resolve_request(self, header: zkwire.ReplyHeader, record: RecordReader) -> None:
        if not self._pending or self._pending[0].xid != header.xid:
            raise MalformedRecordError("out-of-order reply")
        reply = self._pending.popleft().reply
        if reply.done():
            return
        if header.error:
            reply.set_exception(ZooKeeperError(header.error))
            reply.exception()  # marks the exception as retrieved, as the awaiting task may be cancelled
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
        """Write a request; raise ConnectionLossError if no member is connected or too many requests are pending."""
        reply: asyncio.Future[RecordReader] = asyncio.get_running_loop().create_future()
        connection = self._connection
        if connection is None or not connection.is_usable() or len(self._pending) >= _PENDING_REQUESTS_MAX:
            raise ConnectionLossError
        xid = next(self._xids) % _XID_MAX + 1
        self._pending.append(_PendingRequest(xid, reply))
        connection.write(zkwire.encode_request(xid, op, body))
        return reply

    async def sync(self, path: str = "/") -> None:
        """Wait until this member has every committed transaction; this fails for a member without a quorum."""
        await self._send(OpCode.SYNC, zkwire.encode_string(self._full_path(path)))

    async def get_children(self, path: str, watch: bool = False) -> tuple[list[str], Stat]:
        """Return the names of a znode's children, and its metadata."""
        full_path = self._full_path(path)
        if watch:
            # Registered before the reply, as the same TCP segment may carry the reply and the watch event.
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
        """Decode a list of names in chunks, yielding to the event loop between them."""
        names: list[str] = []
        count = record.read_int()
        while len(names) < count:
            names += record.read_strings(min(count - len(names), _NAMES_PER_TURN))
            if len(names) < count:
                await asyncio.sleep(0)
        return names

    async def get(self, path: str, watch: bool = False) -> tuple[bytes, Stat]:
        """Return a znode's data and metadata."""
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
        """Return a znode's metadata, or None if it does not exist."""
        body = zkwire.encode_string(self._full_path(path)) + zkwire.encode_bool(False)
        try:
            return (await self._send(OpCode.EXISTS, body)).read_stat()
        except ZooKeeperError as error:
            if error.code == ErrorCode.NO_NODE:
                return None
            raise

    async def create(self, path: str, data: bytes, acl: tuple[Acl, ...], flags: int = 0) -> str:
        """Create a znode and return its path; the server appends the number of a sequential znode."""
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
        """Create a znode and its ancestors if they do not exist yet."""
        ancestor = ""
        for part in (self._ensemble.chroot + path).strip("/").split("/"):
            ancestor += "/" + part
            try:
                await self._send(OpCode.CREATE, zkwire.encode_create(ancestor, b"", acl, 0))
            except ZooKeeperError as error:
                if error.code != ErrorCode.NODE_EXISTS:
                    raise
