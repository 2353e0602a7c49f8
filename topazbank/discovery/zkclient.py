"""A ZooKeeper session on the event loop: members tried in turn, watches set anew, reads that never go back.

docs/design/discovery.md weighs this against kazoo in its threads.
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
from topazbank.discovery.zkwire import Acl, BadRecord, Code, Happened, Op, Record, Splitter, Stat

log = logging.getLogger(__name__)

_BACKOFF_S = 0.05  # after all members were tried once; doubled each time, with jitter
_BACKOFF_MOST_S = 3.0
_NAMES_A_STEP = 500  # names of a list that are decoded in one turn of the loop
_OUT_MOST = 20_000  # requests out at any time; the roster reads each node once
_XID_MOST = 2**31 - 1


@unique
class State(Enum):
    """A session's states, told apart: suspended is not lost."""

    CONNECTING = auto()  # it has never been up, or is made anew after the last one expired
    LIVE = auto()  # a member that is in touch with a quorum has it
    SUSPENDED = auto()  # no member has it in touch; it may live on, and nobody can say
    EXPIRED = auto()  # a live quorum has ended it: its ephemeral nodes are gone
    CLOSED = auto()


class ZkError(Exception):
    """A request that a server refused, with KeeperException's code."""

    def __init__(self, code: int) -> None:
        super().__init__(Code(code).name if code in set(Code) else f"error {code}")
        self.code = code


class Disconnected(Exception):
    """The connection ended while a request was out: nobody knows whether it was done."""


@dataclass(frozen=True, slots=True)
class Ensemble:
    """Where the members are and how a session shall be."""

    members: tuple[Address, ...]
    timeout_s: float = 6.0
    chroot: str = ""  # all paths are below it
    secret: str = field(default="", repr=False)  # digest authentication, user:password; never logged


@dataclass(slots=True)
class _Out:
    """A request that is out."""

    xid: int
    answer: asyncio.Future[Record]


class _Link(asyncio.Protocol):
    """One connection to one member."""

    def __init__(self, session: Session) -> None:
        self._session = session
        self._splitter = Splitter()
        self.greeted = False
        self.transport: asyncio.Transport | None = None
        self.lost: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.heard_at = asyncio.get_running_loop().time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.heard_at = asyncio.get_running_loop().time()
        try:
            for record in self._splitter.feed(data):
                if not self.greeted:
                    self.greeted = True
                    self._session.greeted(self, Record(record))
                else:
                    self._session.heard(self, Record(record))
        except BadRecord as bad:
            log.warning("a member of the ensemble makes no sense: %s", bad)
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        for each in (self.lost, self.ready):
            if not each.done():
                each.set_result(None)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Session:
    """One session, kept over any number of connections, and made anew once it has expired.

    `changed` hears each new state; `watched` hears what a watch tells, and the watch is gone then.
    """

    def __init__(
        self,
        ensemble: Ensemble,
        changed: Callable[[State], None],
        watched: Callable[[Happened, str], None],
        seed: int | None = None,
    ) -> None:
        self.state = State.CONNECTING
        self.ident = 0
        self.zxid = 0  # the newest seen: no answer from before it is taken
        self.connections = 0  # how often a member was reached
        self.older = 0  # answers refused since they were from before what was seen
        self._ensemble = ensemble
        self._changed = changed
        self._watched = watched
        self._random = random.Random(seed)
        self._password = bytes(16)
        self._timeout_s = ensemble.timeout_s
        self._xids = itertools.count(1)
        self._link: _Link | None = None
        self._out: deque[_Out] = deque()  # in the order they were sent; _OUT_MOST
        self._data: set[str] = set()  # paths watched, to be set anew at another member; one a node read
        self._children: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    # -- Life ------------------------------------------------------------------------------------------

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """End the session: its ephemeral nodes go at once."""
        if self.state is State.LIVE and self._link is not None:
            self._end_task()  # the connection's end is no news now
            try:
                async with asyncio.timeout(self._timeout_s / 3):
                    await self._ask(Op.CLOSE)
            except (Disconnected, ZkError, TimeoutError):
                pass  # it expires by itself
        self.stop()

    def stop(self) -> None:
        """End without a word: the session lives on until it expires."""
        self._end_task()
        self._enter(State.CLOSED)
        self._drop(self._link)

    def _end_task(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _enter(self, state: State) -> None:
        if state is not self.state:
            self.state = state
            self._changed(state)

    async def _run(self) -> None:
        """Try the members in random order, again and again, more slowly while none has the session."""
        backoff = _BACKOFF_S
        while True:
            members = list(self._ensemble.members)
            self._random.shuffle(members)
            for member in members:
                if await self._serve(member):
                    backoff = _BACKOFF_S
            # Jitter over the whole span: sidecars that lost one member together don't come together.
            await asyncio.sleep(backoff * self._random.random())
            backoff = min(2 * backoff, _BACKOFF_MOST_S)

    async def _serve(self, member: Address) -> bool:
        """Keep the session at one member for as long as that lasts; say whether it was up there."""
        loop = asyncio.get_running_loop()
        link = _Link(self)
        limit_s = self._timeout_s / max(len(self._ensemble.members), 2)
        try:
            async with asyncio.timeout(limit_s):
                await loop.create_connection(lambda: link, *member)
                assert link.transport is not None
                timeout_ms = int(self._ensemble.timeout_s * 1000)
                link.transport.write(
                    zkwire.connect_request(self.zxid, timeout_ms, self.ident, self._password)
                )
                await link.ready
        except (OSError, TimeoutError):
            link.abort()
            return False
        except asyncio.CancelledError:
            link.abort()
            raise
        if self._link is not link:
            link.abort()
            return False
        await self._keep(link)
        return True

    async def _keep(self, link: _Link) -> None:
        """Ping in time, and give the member up that falls silent for two thirds of the time-out."""
        loop = asyncio.get_running_loop()
        while not link.lost.done():
            await asyncio.wait([link.lost], timeout=self._timeout_s / 3)
            if link.heard_at + self._timeout_s * 2 / 3 < loop.time():
                log.warning("the ensemble's member fell silent")
                break
            if not link.lost.done() and link.transport is not None:
                link.transport.write(zkwire.request(zkwire.PING_XID, Op.PING))
        self._drop(link)

    def _drop(self, link: _Link | None) -> None:
        """A connection is over: what was out on it may have been done or not."""
        if link is None or self._link is not link:
            return
        link.abort()
        self._link = None
        out, self._out = self._out, deque()
        if self.state is State.LIVE:
            self._enter(State.SUSPENDED)
        for each in out:
            if not each.answer.done():
                each.answer.set_exception(Disconnected())
                each.answer.exception()  # whoever asked may have gone

    # -- What comes ------------------------------------------------------------------------------------

    def greeted(self, link: _Link, record: Record) -> None:
        """The handshake's answer."""
        timeout_ms, ident, password = record.connected()
        if timeout_ms <= 0:
            log.warning("the session with the ensemble has expired")
            self.ident, self._password = 0, bytes(16)
            self._data.clear()
            self._children.clear()
            link.abort()
            self._enter(State.EXPIRED)
            self._enter(State.CONNECTING)
            return
        self.ident, self._password, self._timeout_s = ident, password, timeout_ms / 1000
        self._link = link
        self.connections += 1
        self._resume(link)
        self._enter(State.LIVE)
        if not link.ready.done():
            link.ready.set_result(None)

    def _resume(self, link: _Link) -> None:
        """Authenticate, and set watches anew with what was seen: what happened meanwhile fires at once."""
        assert link.transport is not None
        if self._ensemble.secret:
            link.transport.write(zkwire.request(zkwire.AUTH_XID, Op.AUTH, zkwire.auth(self._ensemble.secret)))
        data, children = sorted(self._data), sorted(self._children)
        while data or children:
            some, size = [], 0
            while data and size < zkwire.WATCHES_MOST:
                some.append(data.pop())
                size += len(some[-1]) + 4
            body = zkwire.set_watches(self.zxid, some, [], children)
            children = []
            link.transport.write(zkwire.request(zkwire.SET_WATCHES_XID, Op.SET_WATCHES, body))

    def heard(self, link: _Link, record: Record) -> None:
        if link is not self._link:
            return
        xid, zxid, error = record.header()
        if xid == zkwire.WATCH_XID:
            kind, _, path = record.number(), record.number(), record.text()
            self._fired(kind, path)
            return
        if zxid > 0 and zxid < self.zxid:
            # It would take this client back in time; another member is ahead enough.
            self.older += 1
            log.warning("a member of the ensemble is behind what was seen: another is taken")
            self._drop(link)
            return
        self.zxid = max(self.zxid, zxid)
        if xid == zkwire.AUTH_XID and error:
            log.error("the ensemble does not take our authentication")
        if xid in (zkwire.PING_XID, zkwire.AUTH_XID, zkwire.SET_WATCHES_XID):
            return
        if not self._out or self._out[0].xid != xid:
            raise BadRecord("an answer out of turn")
        answer = self._out.popleft().answer
        if answer.done():
            return
        if error:
            answer.set_exception(ZkError(error))
            answer.exception()
        else:
            answer.set_result(record)

    def _fired(self, kind: int, path: str) -> None:
        if kind not in set(Happened):
            return
        happened = Happened(kind)
        if happened is not Happened.CHILDREN:
            self._data.discard(path)
        if happened in (Happened.CHILDREN, Happened.DELETED):
            self._children.discard(path)
        self._watched(happened, path.removeprefix(self._ensemble.chroot) or "/")

    # -- What is asked ---------------------------------------------------------------------------------

    def _path(self, path: str) -> str:
        whole = self._ensemble.chroot + path
        return whole.rstrip("/") or "/"

    def _ask(self, op: Op, body: bytes = b"") -> asyncio.Future[Record]:
        """Send a request now; raise Disconnected where no member has the session."""
        answer: asyncio.Future[Record] = asyncio.get_running_loop().create_future()
        link = self._link
        if (
            link is None
            or link.transport is None
            or link.transport.is_closing()
            or len(self._out) >= _OUT_MOST
        ):
            raise Disconnected
        xid = next(self._xids) % _XID_MOST + 1
        self._out.append(_Out(xid, answer))
        link.transport.write(zkwire.request(xid, op, body))
        return answer

    async def sync(self, path: str = "/") -> None:
        """Wait until this member has all that was committed: proof that it is in touch with a quorum."""
        await self._ask(Op.SYNC, zkwire.text(self._path(path)))

    async def children(self, path: str, watch: bool = False) -> tuple[list[str], Stat]:
        whole = self._path(path)
        if watch:
            self._children.add(
                whole
            )  # before the answer: the watch is set when the server answers, not when we read
        try:
            record = await self._ask(Op.GET_CHILDREN2, zkwire.text(whole) + zkwire.flag(watch))
        except ZkError:
            self._children.discard(whole)
            raise
        names: list[str] = []
        count = record.number()
        while len(names) < count:
            names += record.texts(min(count - len(names), _NAMES_A_STEP))
            if len(names) < count:
                await asyncio.sleep(0)  # requests go on between: a list may hold thousands
        return names, record.stat()

    async def get(self, path: str, watch: bool = False) -> tuple[bytes, Stat]:
        whole = self._path(path)
        if watch:
            self._data.add(whole)
        try:
            record = await self._ask(Op.GET_DATA, zkwire.text(whole) + zkwire.flag(watch))
        except ZkError:
            self._data.discard(whole)
            raise
        return record.buffer(), record.stat()

    async def exists(self, path: str) -> Stat | None:
        try:
            return (await self._ask(Op.EXISTS, zkwire.text(self._path(path)) + zkwire.flag(False))).stat()
        except ZkError as error:
            if error.code == Code.NO_NODE:
                return None
            raise

    async def create(self, path: str, data: bytes, acl: tuple[Acl, ...], flags: int = 0) -> str:
        record = await self._ask(Op.CREATE, zkwire.create(self._path(path), data, acl, flags))
        return record.text().removeprefix(self._ensemble.chroot)

    async def set(self, path: str, data: bytes, version: int = zkwire.ANY_VERSION) -> Stat:
        return (await self._ask(Op.SET_DATA, zkwire.set_data(self._path(path), data, version))).stat()

    async def delete(self, path: str, version: int = zkwire.ANY_VERSION) -> None:
        await self._ask(Op.DELETE, zkwire.with_version(self._path(path), version))

    async def make_path(self, path: str, acl: tuple[Acl, ...]) -> None:
        """Create a path and what it lies under, where they are not there yet."""
        made = ""
        for part in (self._ensemble.chroot + path).strip("/").split("/"):
            made += "/" + part
            try:
                await self._ask(Op.CREATE, zkwire.create(made, b"", acl, 0))
            except ZkError as error:
                if error.code != Code.NODE_EXISTS:
                    raise
