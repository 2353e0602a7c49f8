"""A member's clients: the wire protocol of a connection, from its handshake to its end."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Any

from testbed.wire import Listening
from testbed.zookeeper import jute
from testbed.zookeeper.ensemble import Ensemble, Lost, Member, Session
from testbed.zookeeper.jute import Malformed, Reading, Writing
from testbed.zookeeper.tree import Asker, Draft, Event, Refused, check_path, digest

_LEAST_S, _MOST_S = 0.1, 60.0  # session time-outs that are agreed to
ANYONE = ("world", "anyone")


class Connection:
    """One client's connection; what goes out keeps its order, also while it is held."""

    def __init__(self, ensemble: Ensemble, member: Member, writer: asyncio.StreamWriter) -> None:
        self._ensemble = ensemble
        self._member = member
        self._writer = writer
        self.session: Session | None = None
        self.session_id = 0
        self.identities: set[tuple[str, str]] = {ANYONE}
        self.flowing = asyncio.Event()  # cleared: cut off from its client, both ways
        self.flowing.set()
        self.watches_held = False
        self._held: list[bytes] | None = None  # what waits behind a held watch; None: nothing is held
        self._ending = False

    # -- Out -------------------------------------------------------------------------------------------

    def send(self, data: bytes) -> None:
        if self._held is not None:
            self._held.append(data)
        elif not self._writer.is_closing():
            self._writer.write(data)

    def tell(self, event: Event) -> None:
        """A watch fires; if watches are held, so is all that comes behind it."""
        if self.watches_held and self._held is None:
            self._held = []
        self.send(jute.watch_event(event.kind, event.path))

    def hold_watches(self) -> None:
        self.watches_held = True

    def release(self) -> None:
        """Let out what is held, in its order."""
        self.watches_held = False
        held, self._held = self._held or [], None
        if self.flowing.is_set():
            for data in held:
                self.send(data)
        else:
            self._held = held

    def stall(self) -> None:
        """Cut it off from its client, both ways; the connection stays open and silent."""
        self.flowing.clear()
        if self._held is None:
            self._held = []

    def resume(self) -> None:
        self.flowing.set()
        self.release()

    def drop(self) -> None:
        self._member.forget(self)
        self.flowing.set()  # so that its reading ends
        if not self._writer.is_closing():
            self._writer.close()

    def ends_after_answers(self) -> None:
        """Its session has ended: so does the connection, behind what is answered in this turn."""
        self._ending = True
        asyncio.get_running_loop().call_soon(self.drop)

    # -- In --------------------------------------------------------------------------------------------

    async def serve(self, reader: asyncio.StreamReader) -> None:
        if not await self._handshake(await self._record(reader)):
            return
        while True:
            record = await self._record(reader)
            await self.flowing.wait()
            if not self._ensemble.serves(self._member) or self.session_id not in self._ensemble.sessions:
                return
            try:
                if not await self._request(record):
                    return
            except Lost:
                return

    async def _record(self, reader: asyncio.StreamReader) -> Reading:
        size = struct.unpack("!i", await reader.readexactly(4))[0]
        if not 0 <= size <= jute.MESSAGE_MOST:
            raise Malformed("a record is too long")
        return Reading(await reader.readexactly(size))

    async def _handshake(self, given: Reading) -> bool:
        ensemble, member = self._ensemble, self._member
        given.i32()  # protocol version
        seen, timeout_ms, ident, password = given.i64(), given.i32(), given.i64(), given.buffer()
        read_only = not given.is_done() and given.flag()
        if not ensemble.serves(member):
            return False
        if seen > member.tree.zxid:
            ensemble.refused_zxid += 1  # it would go back in time here; another member is ahead enough
            return False
        if member.noticed and not read_only:
            return False
        if ident:
            known = ensemble.sessions.get(ident)
            if known is None or known.password != password:
                self.send(self._connected(0, 0, bytes(16), False))
                return False
            if known.connection is not None:
                known.connection.drop()  # it has moved here
        else:
            timeout_s = min(max(timeout_ms / 1000, _LEAST_S), _MOST_S)
            if member.noticed:
                known = Session(
                    1 << 62 | id(self) & 0xFFFFFF, bytes(16), timeout_s, ensemble.clock(), read_only=True
                )
                ensemble.sessions[known.ident] = known
            else:
                known = await ensemble.open_session(member, timeout_s)
        self.session, self.session_id, known.connection = known, known.ident, self
        ensemble.touch(member, known)
        member.connections.add(self)
        self.send(self._connected(int(known.timeout_s * 1000), known.ident, known.password, member.noticed))
        return True

    @staticmethod
    def _connected(timeout_ms: int, ident: int, password: bytes, read_only: bool) -> bytes:
        record = Writing().i32(0, timeout_ms).i64(ident).buffer(password).flag(read_only)
        return jute.framed(record.done())

    async def _request(self, given: Reading) -> bool:
        """Answer one request; say whether the connection goes on."""
        xid, operation = given.i32(), given.i32()
        self._ensemble.requests[operation] += 1
        assert self.session is not None
        self._ensemble.touch(self._member, self.session)
        if operation == jute.CLOSE:
            await self._change(lambda draft: None, closes=self.session_id)
            self._answer(xid, jute.OK)
            return False
        try:
            body = await self._OPERATIONS[operation](self, given)
        except Refused as refused:
            self._answer(xid, refused.code)
            return refused.code != jute.AUTH_FAILED
        except KeyError:
            self._answer(xid, jute.UNIMPLEMENTED)
            return True
        self._answer(xid, jute.OK, body)
        return True

    def _answer(self, xid: int, error: int, body: bytes = b"") -> None:
        self.send(jute.reply(xid, self._member.tree.zxid, error, body))

    # -- Reads -----------------------------------------------------------------------------------------

    def _watch(self, table: dict[str, set[Connection]], path: str) -> None:
        table.setdefault(path, set()).add(self)

    async def _ping(self, given: Reading) -> bytes:
        return b""

    async def _exists(self, given: Reading) -> bytes:
        path, watch = check_path(given.text()), given.flag()
        if watch:
            self._watch(self._member.data_watches, path)
        return self._member.tree.stat(path).write()

    async def _get_data(self, given: Reading) -> bytes:
        path, watch = check_path(given.text()), given.flag()
        tree = self._member.tree
        tree.allow(path, jute.READ, self.identities)
        if watch:
            self._watch(self._member.data_watches, path)
        return Writing().buffer(tree.node(path).data).raw(tree.stat(path).write()).done()

    async def _get_acl(self, given: Reading) -> bytes:
        path = check_path(given.text())
        tree = self._member.tree
        return Writing().acls(tree.node(path).acl).raw(tree.stat(path).write()).done()

    async def _get_children(self, given: Reading, with_stat: bool = False) -> bytes:
        path, watch = check_path(given.text()), given.flag()
        tree = self._member.tree
        tree.allow(path, jute.READ, self.identities)
        if watch:
            self._watch(self._member.child_watches, path)
        writing = Writing().texts(sorted(tree.node(path).children))
        return (writing.raw(tree.stat(path).write()) if with_stat else writing).done()

    async def _get_children2(self, given: Reading) -> bytes:
        return await self._get_children(given, with_stat=True)

    async def _sync(self, given: Reading) -> bytes:
        """Wait until this member has all that the leader has committed."""
        path = given.text()
        if not self._ensemble.may_write(self._member):
            raise Lost
        assert self._ensemble.leader is not None
        await self._member.has_applied(self._ensemble.leader.tree.zxid)
        return Writing().text(path).done()

    async def _set_watches(self, given: Reading) -> bytes:
        """Set anew what a client watched before it came here; what has happened since fires at once."""
        seen, tree, member = given.i64(), self._member.tree, self._member
        for path in given.texts():  # data
            node = tree.nodes.get(path)
            if node is None:
                self.tell(Event(jute.DELETED, path))
            elif node.stat.mzxid > seen:
                self.tell(Event(jute.CHANGED, path))
            else:
                self._watch(member.data_watches, path)
        for path in given.texts():  # that did not exist
            if path in tree.nodes:
                self.tell(Event(jute.CREATED, path))
            else:
                self._watch(member.data_watches, path)
        for path in given.texts():  # children
            node = tree.nodes.get(path)
            if node is None:
                self.tell(Event(jute.DELETED, path))
            elif node.stat.pzxid > seen:
                self.tell(Event(jute.CHILDREN, path))
            else:
                self._watch(member.child_watches, path)
        return b""

    async def _auth(self, given: Reading) -> bytes:
        given.i32()
        scheme, secret = given.text(), given.buffer() or b""
        if scheme != "digest" or b":" not in secret:
            raise Refused(jute.AUTH_FAILED)
        self.identities.add(("digest", digest(secret.decode())))
        return b""

    # -- Writes ----------------------------------------------------------------------------------------

    async def _change(self, build: Callable[[Draft], None], closes: int = 0) -> Draft:
        asker = Asker(self.session_id, frozenset(self.identities))
        return await self._ensemble.submit(self._member, asker, build, closes)

    def _reader_of(self, operation: int, given: Reading) -> Callable[[Draft], None]:
        """Read a change from its record."""
        path = given.text()
        if operation in (jute.CREATE, jute.CREATE2):
            data, acl, flags = given.buffer() or b"", given.acls(), given.i32()
            return lambda draft: draft.create(path, data, acl, flags)
        if operation == jute.SET_DATA:
            data, version = given.buffer() or b"", given.i32()
            return lambda draft: draft.set_data(path, data, version)
        if operation == jute.SET_ACL:
            acl, version = given.acls(), given.i32()
            return lambda draft: draft.set_acl(path, acl, version)
        version = given.i32()
        if operation == jute.DELETE:
            return lambda draft: draft.delete(path, version)
        return lambda draft: draft.check(path, version)

    async def _create(self, given: Reading) -> bytes:
        draft = await self._change(self._reader_of(jute.CREATE, given))
        return Writing().text(draft.results[0][1]).done()

    async def _create2(self, given: Reading) -> bytes:
        draft = await self._change(self._reader_of(jute.CREATE2, given))
        path = draft.results[0][1]
        return Writing().text(path).raw(self._member.tree.stat(path).write()).done()

    async def _delete(self, given: Reading) -> bytes:
        await self._change(self._reader_of(jute.DELETE, given))
        return b""

    async def _set_data(self, given: Reading) -> bytes:
        draft = await self._change(self._reader_of(jute.SET_DATA, given))
        return self._member.tree.stat(draft.results[0][1]).write()

    async def _set_acl(self, given: Reading) -> bytes:
        draft = await self._change(self._reader_of(jute.SET_ACL, given))
        return self._member.tree.stat(draft.results[0][1]).write()

    async def _multi(self, given: Reading) -> bytes:
        """All of its operations or none; a refusal tells which one it was."""
        builds: list[tuple[int, Callable[[Draft], None]]] = []
        while True:
            operation, done, _ = given.i32(), given.flag(), given.i32()
            if done:
                break
            builds.append((operation, self._reader_of(operation, given)))
        failed = [-1]

        def build(draft: Draft) -> None:
            for index, (_, each) in enumerate(builds):
                failed[0] = index
                each(draft)

        writing = Writing()
        try:
            draft = await self._change(build)
        except Refused as refused:
            for index in range(len(builds)):
                code = refused.code if index == failed[0] else jute.OK if index < failed[0] else -2
                writing.i32(jute.ERROR).flag(False).i32(code).i32(code)
        else:
            for (operation, _), (_, path) in zip(builds, draft.results, strict=True):
                writing.i32(operation).flag(False).i32(jute.OK)
                if operation in (jute.CREATE, jute.CREATE2):
                    writing.text(path)
                if operation in (jute.SET_DATA, jute.CREATE2):
                    writing.raw(self._member.tree.stat(path).write())
        return writing.i32(jute.ERROR).flag(True).i32(-1).done()

    _OPERATIONS: dict[int, Callable[[Connection, Reading], Any]] = {  # noqa: RUF012
        jute.PING: _ping,
        jute.EXISTS: _exists,
        jute.GET_DATA: _get_data,
        jute.GET_ACL: _get_acl,
        jute.GET_CHILDREN: _get_children,
        jute.GET_CHILDREN2: _get_children2,
        jute.SYNC: _sync,
        jute.SET_WATCHES: _set_watches,
        jute.AUTH: _auth,
        jute.CREATE: _create,
        jute.CREATE2: _create2,
        jute.DELETE: _delete,
        jute.SET_DATA: _set_data,
        jute.SET_ACL: _set_acl,
        jute.MULTI: _multi,
    }


class MemberServer(Listening):
    """Where one member listens for clients."""

    def __init__(self, ensemble: Ensemble, member: Member) -> None:
        self._ensemble = ensemble
        self._member = member

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(self._ensemble, self._member, writer)
        try:
            await connection.serve(reader)
        except (asyncio.IncompleteReadError, ConnectionError, Malformed, asyncio.CancelledError):
            pass
        finally:
            self._member.forget(connection)
            session = connection.session
            if session is not None and session.connection is connection:
                session.connection = None
            writer.close()
