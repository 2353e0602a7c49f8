"""A client's connection to a member: handshake, ordered sending, and connection faults."""

from __future__ import annotations

import asyncio
import struct

from testbed.wire import TcpServer
from testbed.zookeeper import jute
from testbed.zookeeper.ensemble import Ensemble, Session, UnavailableError
from testbed.zookeeper.jute import MalformedRecordError, RecordReader, RecordWriter
from testbed.zookeeper.member import Member
from testbed.zookeeper.request_handlers import HANDLERS, commit
from testbed.zookeeper.transactions import TransactionBuilder
from testbed.zookeeper.tree import Identity, RequestError, WatchEvent

_SESSION_TIMEOUT_MIN_S, _SESSION_TIMEOUT_MAX_S = 0.1, 60.0
_ANYONE = ("world", "anyone")
_PASSWORD_BYTES = 16


class Connection:
    """A client connection; frames keep their order even while a fault delays them."""

    def __init__(self, ensemble: Ensemble, member: Member, writer: asyncio.StreamWriter) -> None:
        self.ensemble = ensemble
        self.member = member
        self.session: Session | None = None
        self.session_id = 0
        self.identities: set[Identity] = {_ANYONE}
        self._writer = writer
        self._flowing = asyncio.Event()  # cleared while stalled in both directions
        self._flowing.set()
        self._watches_held = False
        self._delayed: list[bytes] | None = None  # frames delayed by a fault; None: no delay

    # -- Sending ---------------------------------------------------------------------------------------

    def send(self, frame: bytes) -> None:
        """Send a frame, or queue it behind frames that are already delayed."""
        if self._delayed is not None:
            self._delayed.append(frame)
        elif not self._writer.is_closing():
            self._writer.write(frame)

    def send_watch_event(self, event: WatchEvent) -> None:
        """Send a watch event; while watches are held, delay the event and all later frames."""
        if self._watches_held and self._delayed is None:
            self._delayed = []
        self.send(jute.encode_watch_event(event.event_type, event.path))

    def drop(self) -> None:
        """Close the connection."""
        self.member.connection_ended(self)
        self._flowing.set()  # so that `serve` ends
        if not self._writer.is_closing():
            self._writer.close()

    def drop_after_replies(self) -> None:
        """Close the connection after the replies of the current event loop iteration."""
        asyncio.get_running_loop().call_soon(self.drop)

    # -- Faults ----------------------------------------------------------------------------------------

    def hold_watches(self) -> None:
        """Delay watch events, and all frames after the first one, until `release`."""
        self._watches_held = True

    def release(self) -> None:
        """Send delayed frames in order; they stay delayed while the connection is stalled."""
        self._watches_held = False
        delayed, self._delayed = self._delayed or [], None
        if self._flowing.is_set():
            for frame in delayed:
                self.send(frame)
        else:
            self._delayed = delayed

    def stall(self) -> None:
        """Block both directions; the connection stays open."""
        self._flowing.clear()
        if self._delayed is None:
            self._delayed = []

    def resume(self) -> None:
        """End a stall."""
        self._flowing.set()
        self.release()

    # -- Receiving -------------------------------------------------------------------------------------

    async def serve(self, reader: asyncio.StreamReader) -> None:
        """Answer requests until the connection closes."""
        if not await self._handshake(await self._read_record(reader)):
            return
        while True:
            record = await self._read_record(reader)
            await self._flowing.wait()
            if not self.ensemble.serves(self.member) or self.session_id not in self.ensemble.sessions:
                return
            try:
                if not await self._answer(record):
                    return
            except UnavailableError:
                return

    async def _read_record(self, reader: asyncio.StreamReader) -> RecordReader:
        size = struct.unpack("!i", await reader.readexactly(4))[0]
        if not 0 <= size <= jute.REQUEST_BYTES_MAX:
            raise MalformedRecordError("invalid record length")
        return RecordReader(await reader.readexactly(size))

    async def _handshake(self, request: RecordReader) -> bool:
        """Open or resume a session; return whether the connection stays open."""
        ensemble, member = self.ensemble, self.member
        request.read_int()  # protocol version
        last_zxid, timeout_ms = request.read_long(), request.read_int()
        session_id, password = request.read_long(), request.read_buffer()
        accepts_read_only = not request.is_at_end() and request.read_bool()
        if not ensemble.serves(member):
            return False
        if last_zxid > member.tree.zxid:
            ensemble.rejected_handshakes += 1
            return False
        if member.leaderless and not accepts_read_only:
            return False
        if session_id:
            session = self._resumed(session_id, password)
            if session is None:
                self._send_connect_response(0, 0, bytes(_PASSWORD_BYTES), False)
                return False
        else:
            session = await self._new_session(timeout_ms / 1000)
        self.session, self.session_id, session.connection = session, session.session_id, self
        ensemble.heartbeat(member, session)
        member.connections.add(self)
        self._send_connect_response(
            int(session.timeout_s * 1000), session.session_id, session.password, member.leaderless
        )
        return True

    def _resumed(self, session_id: int, password: bytes | None) -> Session | None:
        """Return the session to resume on this connection; None if it has expired or the password is wrong."""
        session = self.ensemble.sessions.get(session_id)
        if session is None or session.password != password:
            return None
        if session.connection is not None:
            session.connection.drop()
        return session

    async def _new_session(self, timeout_s: float) -> Session:
        timeout_s = min(max(timeout_s, _SESSION_TIMEOUT_MIN_S), _SESSION_TIMEOUT_MAX_S)
        if not self.member.leaderless:
            return await self.ensemble.open_session(self.member, timeout_s)
        session_id = 1 << 62 | id(self) & 0xFFFFFF  # local to this member
        now = self.ensemble.clock()
        session = Session(session_id, bytes(_PASSWORD_BYTES), timeout_s, now, read_only=True)
        self.ensemble.sessions[session_id] = session
        return session

    def _send_connect_response(
        self, timeout_ms: int, session_id: int, password: bytes, read_only: bool
    ) -> None:
        record = RecordWriter().write_int(0, timeout_ms).write_long(session_id)
        record.write_buffer(password).write_bool(read_only)
        self.send(jute.encode_frame(record.finish()))

    async def _answer(self, request: RecordReader) -> bool:
        """Answer one request; return whether the connection stays open."""
        xid, operation = request.read_int(), request.read_int()
        self.ensemble.requests[operation] += 1
        assert self.session is not None
        self.ensemble.heartbeat(self.member, self.session)
        if operation == jute.CLOSE:
            await commit(self, _no_change, closed_session=self.session_id)
            self._send_reply(xid, jute.OK)
            return False
        handler = HANDLERS.get(operation)
        if handler is None:
            self._send_reply(xid, jute.UNIMPLEMENTED)
            return True
        try:
            body = await handler(self, request)
        except RequestError as error:
            self._send_reply(xid, error.code)
            return error.code != jute.AUTH_FAILED
        self._send_reply(xid, jute.OK, body)
        return True

    def _send_reply(self, xid: int, error: int, body: bytes = b"") -> None:
        self.send(jute.encode_reply(xid, self.member.tree.zxid, error, body))


def _no_change(builder: TransactionBuilder) -> None:
    """Add no operations, for the transaction that closes a session."""


class MemberServer(TcpServer):
    """Accepts client connections for one member."""

    def __init__(self, ensemble: Ensemble, member: Member) -> None:
        self._ensemble = ensemble
        self._member = member

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(self._ensemble, self._member, writer)
        try:
            await connection.serve(reader)
        except (asyncio.IncompleteReadError, ConnectionError, MalformedRecordError, asyncio.CancelledError):
            pass
        finally:
            self._member.connection_ended(connection)
            session = connection.session
            if session is not None and session.connection is connection:
                session.connection = None
            writer.close()
