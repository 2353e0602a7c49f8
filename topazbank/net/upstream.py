"""Connections to servers: pools, attempts and probes; what happened to one becomes its `Outcome`.

Every byte and connection is under this file's control: nothing is resent silently, and it is known whether
a request's last byte was written.  Only then may the server have begun it.
"""

from __future__ import annotations

import asyncio
import json
import logging
import re
import select
import socket
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from functools import partial

import h11

from topazbank.interface import Outcome, ServerState

log = logging.getLogger(__name__)

Address = tuple[str, int]
Headers = list[tuple[bytes, bytes]]

_NOWHERE: Address = ("127.0.0.1", 0)  # of a server that takes nothing new anyway
BODY_MOST = 64 * 1024  # of an attempt's answer, as the protocol has it
_REST_PART = 0.12  # of the dial limit: so long a connection rests after an answer before it is used again
_HINTS_MOST = 8  # 1xx answers ahead of the one that counts
_IDLE_MARGIN = 0.1  # an idle connection is closed this part of its time before the server would
_FRAMING = (b"content-length", b"transfer-encoding")
_BODILESS = (204, 304)  # statuses whose answers hold no body, whatever their head says
_PROBE_DIALS = 4.0  # a probe may take this many dial time limits
_HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
)


def end_to_end(headers: Iterable[tuple[bytes, bytes]], *dropped: bytes) -> Headers:
    """What may be passed on: no header that belongs to one connection, nor those named."""
    return [(n, v) for n, v in headers if n not in _HOP_BY_HOP and n not in dropped]


def parse_address(text: str) -> Address:
    """Read host:port; raise ValueError on anything else."""
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"an address host:port is needed, not {text!r:.60}")
    return host.strip("[]"), int(port)


def message(first: bytes, headers: Headers, body: bytes = b"") -> bytes:
    """The bytes of a request or an answer.

    h11 only reads here: at hundreds of requests a second its checks of what goes out take a good part of the
    CPU.  All parts are our own or were read by it, so none can hide the end of a line.
    """
    return b"\r\n".join([first, *[b"%b: %b" % each for each in headers], b"", body])


def is_quiet(sock: socket.socket) -> bool:
    """Whether a connection holds nothing unread: no byte, no end, no error."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def is_up(sock: socket.socket) -> bool:
    """Whether a dialled connection has come up."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def has_ended(sock: socket.socket) -> bool:
    """Whether the other side has closed a connection, though what it sent before may be unread."""
    look = select.poll()
    look.register(sock, select.POLLRDHUP)
    return bool(look.poll(0))


@dataclass(slots=True)
class Response:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> str | None:
        return next((v.decode("latin-1") for n, v in self.headers if n == name), None)


_READ = memoryview(
    bytearray(64 * 1024)
)  # what any connection reads goes through here, and is copied out at once


class Reader(asyncio.BufferedProtocol):
    """Reads through one buffer: by default each read takes 256 KiB anew, which scatters the heap."""

    def get_buffer(self, sizehint: int) -> memoryview:
        return _READ

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(_READ[:nbytes]))

    def data_received(self, data: bytes) -> None:
        raise NotImplementedError


_ASKED = (h11.Request(method="GET", target="/", headers=[("Host", "-")]), h11.EndOfMessage())


def _answer_reader() -> h11.Connection:
    """What reads one answer; it need not know the request, as none here is a HEAD or a CONNECT."""
    reader = h11.Connection(h11.CLIENT)
    for event in _ASKED:
        reader.send(event)
    return reader


class Connection(Reader):
    """One connection to a server; it carries one request at a time."""

    def __init__(self, sock: socket.socket, body_most: int, stall_s: float | None = None) -> None:
        self.sock = sock
        self.reusable = True
        self.spoilt = False  # whether it has answered with what is no answer
        self._body_most = body_most
        self._stall_s = stall_s  # what an answer that has begun may take; None: bounded elsewhere
        self._stall: asyncio.TimerHandle | None = None
        self._hints = 0  # 1xx answers to the request that is out
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._ended: Callable[[Response | None], None] | None = None
        self._written = False
        self._head: h11.Response | None = None
        self._body = bytearray()
        self.on_lost: Callable[[], None] = lambda: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # so that an emptied buffer is told of

    @property
    def written(self) -> bool:
        """Whether the request's last byte has gone to the kernel."""
        return self._written

    def is_idle(self) -> bool:
        """Whether it may carry another request: guards against EOF or bytes that nobody has read yet."""
        open_ = self._transport is not None and not self._transport.is_closing()
        return open_ and self.reusable and self._ended is None and is_quiet(self.sock)

    def request(self, data: bytes, ended: Callable[[Response | None], None]) -> None:
        """Write a request; `ended` is called once, with the whole answer or with None if it broke."""
        assert self._transport is not None
        self._ended, self._written, self._hints = ended, False, 0
        self._h11 = _answer_reader()
        self._transport.write(data)
        # A failed write closes the transport and empties its buffer, with nothing of it sent.
        self._written = not self._transport.is_closing() and not self._transport.get_write_buffer_size()

    def resume_writing(self) -> None:
        self._written = self._ended is not None

    def data_received(self, data: bytes) -> None:
        if self._ended is None:
            self.abort()  # stray bytes: what they answer is anyone's guess
            return
        self._feed(data)

        if self._stall is None and self._stall_s is not None and self._has_begun():
            self._stall = asyncio.get_running_loop().call_later(self._stall_s, self._spoil, "it stalled")

    def eof_received(self) -> bool:
        if self._ended is not None:
            self._feed(b"")
        return False

    def _has_begun(self) -> bool:
        """Whether a part of the answer is here, and not all of it."""
        return self._ended is not None and (self._head is not None or bool(self._h11.trailing_data[0]))

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            while self._next_event():
                pass
        except h11.RemoteProtocolError as broken:
            if data:
                self._spoil(str(broken))
            else:
                self._finish(None)  # cut short by the end of the connection

    def _spoil(self, why: str) -> None:
        """Give up on an answer that is none: the request ran, and the connection is of no further use."""
        log.debug("answer spoilt: %s", why)
        self.spoilt = True
        self._finish(None)

    def _next_event(self) -> bool:
        event = self._h11.next_event()
        if isinstance(event, h11.InformationalResponse):
            self._hints += 1
            if self._hints > _HINTS_MOST:
                self._spoil("no end of 1xx answers")
                return False
        elif isinstance(event, h11.Response):
            self._head = event
            length = next((v for n, v in event.headers if n == b"content-length"), b"0")
            if int(length) > self._body_most:
                self._spoil("too long by its own account")
                return False
            return not self._is_all_here()
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._body_most:
                self._spoil("too long")
                return False
        elif isinstance(event, h11.EndOfMessage):
            done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
            self._finish(self._response(), done and not self._h11.trailing_data[0])
            return False
        return not isinstance(event, h11.ConnectionClosed | type(h11.NEED_DATA))

    def _is_all_here(self) -> bool:
        """Finish at once with a body that came with its head, as most do: that spares h11 two events."""
        assert self._head is not None
        framing = {name: value for name, value in self._head.headers if name in _FRAMING}
        rest = self._h11.trailing_data[0]
        if list(framing) != [b"content-length"] or int(framing[b"content-length"]) != len(rest):
            return False
        if self._head.status_code in _BODILESS:
            return False
        self._body += rest
        self._finish(self._response(), self._h11.our_state is h11.DONE)
        return True

    def _response(self) -> Response | None:
        head = self._head
        if head is None:
            return None
        response = Response(head.status_code, list(head.headers), bytes(self._body))
        framed = response.header(b"content-length") or response.header(b"transfer-encoding")
        # An answer that ends with its connection can't be told from one cut short.
        return response if framed is not None or head.status_code in _BODILESS else None

    def _finish(self, response: Response | None, reusable: bool = False) -> None:
        ended, self._ended = self._ended, None
        self._head, self._body = None, bytearray()
        self._end_stall()
        if response is None or not reusable or not self._written:
            self.abort()
        if ended is not None:
            ended(response)

    def connection_lost(self, exc: Exception | None) -> None:
        self.reusable = False
        self._end_stall()
        ended, self._ended = self._ended, None
        if ended is not None:
            ended(None)
        self.on_lost()

    def _end_stall(self) -> None:
        if self._stall is not None:
            self._stall.cancel()
            self._stall = None

    def abort(self) -> None:
        """Close at once; what is not written yet never will be."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()


def new_socket(address: Address) -> socket.socket:
    return socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)


async def connect(
    address: Address, body_most: int, stall_s: float | None = None, sock: socket.socket | None = None
) -> Connection:
    """Dial; raise OSError where no connection comes up."""
    loop = asyncio.get_running_loop()
    sock = sock or new_socket(address)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await loop.sock_connect(sock, address)
        _, connection = await loop.create_connection(partial(Connection, sock, body_most, stall_s), sock=sock)
    except BaseException:
        sock.close()
        raise
    return connection


@dataclass(slots=True, eq=False)
class Endpoint:
    """Where a server listens now, and the connections to it that carry nothing."""

    name: str
    address: Address
    started_at: int | None
    state: ServerState
    generation: int = 0  # of its process: older connections are not used again
    # The longest at rest first, each with the timer that closes it; bounded with all connections.
    idle: list[tuple[Connection, asyncio.TimerHandle]] = field(default_factory=list)
    dialling: set[Exchange] = field(default_factory=set)


Order = Callable[[float], bytes]  # makes a request when it is written, since it tells the time left
Ended = Callable[[Outcome, Response | None], None]


class Exchange:
    """One attempt or probe, from the dial to its one outcome."""

    def __init__(self, endpoint: Endpoint, order: Order, until: float, ended: Ended) -> None:
        self.endpoint = endpoint
        self.generation = endpoint.generation
        self.order = order
        self.until = until  # on the event loop's clock
        self.ended: Ended | None = ended
        self.connection: Connection | None = None
        self.dial: asyncio.Task[bool] | None = None
        self.timers: list[asyncio.TimerHandle] = []

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Tell the outcome, once; what comes later is nobody's."""
        ended, self.ended = self.ended, None
        if ended is None:
            return
        for timer in self.timers:
            timer.cancel()
        self.endpoint.dialling.discard(self)
        if outcome in (Outcome.EXPIRED, Outcome.CANCELLED, Outcome.DIAL_FAILED, Outcome.UNSENT):
            if self.connection is not None:
                self.connection.abort()  # this is how an attempt is given up
            if self.dial is not None:
                self.dial.cancel()
        ended(outcome, response)


def judge(response: Response | None, written: bool, spoilt: bool) -> Outcome:
    """What an ended exchange proves: it never ran only if that is certain."""
    if response is None and not written:
        return Outcome.DIAL_FAILED
    if response is None:
        return Outcome.ERROR if spoilt else Outcome.DROPPED  # who answers with noise is still there
    if response.status == 200:
        return Outcome.DELIVERED
    if response.status in (503, 504) and response.header(b"x-rejected") == "1":
        return Outcome.FULL
    return Outcome.ERROR


class Upstream:
    """All connections to servers, within a bound on their number."""

    def __init__(self, dial_limit_s: float, idle_s: float, most: int) -> None:
        self._dial_limit = dial_limit_s
        self._idle_s = idle_s * (1.0 - _IDLE_MARGIN)
        self._rest_s = _REST_PART * dial_limit_s
        self._most = most
        self._open = 0  # connections, and dials under way
        self._endpoints: dict[str, Endpoint] = {}  # of the servers that the list holds now

    def update(self, name: str, address: Address | None, started_at: int | None, state: ServerState) -> None:
        """Note what the list says of a server; a new process or place makes its old connections useless."""
        known = self._endpoints.get(name)
        if known is None:
            if state is not ServerState.GONE:
                self._endpoints[name] = Endpoint(name, address or _NOWHERE, started_at, state)
            return
        address = address or known.address
        if (known.address, known.started_at) != (address, started_at):
            known.address, known.started_at = address, started_at
            known.generation += 1
            self.close_idle(name)
        known.state = state
        if state is not ServerState.READY:
            self._withdraw(known)
        if state is ServerState.GONE:
            del self._endpoints[name]  # what is still out there holds it until it ends

    def retain(self, names: Collection[str]) -> None:
        """Drop all servers but these."""
        for name in [each for each in self._endpoints if each not in names]:
            self.update(name, None, None, ServerState.GONE)

    def displace(self) -> list[str]:
        """Drop the servers whose address is that of one that started later: its process listens there now."""
        latest: dict[Address, Endpoint] = {}
        former = []
        for each in self._endpoints.values():
            other = latest.setdefault(each.address, each)
            older, newer = sorted((other, each), key=lambda endpoint: endpoint.started_at or 0)
            if each.address != _NOWHERE and (older.started_at or 0) < (newer.started_at or 0):
                former.append(older.name)
            latest[each.address] = newer
        for name in former:
            self.update(name, None, None, ServerState.GONE)
        return former

    def _withdraw(self, endpoint: Endpoint) -> None:
        """End what was not written to a server that takes nothing new: a slow dial may outlast the grace."""
        self.close_idle(endpoint.name)
        for exchange in list(endpoint.dialling):
            exchange.end(Outcome.DIAL_FAILED)

    def send(self, name: str, order: Order, until: float, ended: Ended) -> Exchange:
        """Start an attempt; `ended` hears its outcome exactly once, maybe before this returns."""
        endpoint = self._endpoints[name]
        loop = asyncio.get_running_loop()
        exchange = Exchange(endpoint, order, until, ended)
        if until <= loop.time():
            exchange.end(Outcome.UNSENT)
            return exchange
        exchange.timers.append(loop.call_at(until, self._time_up, exchange))
        connection = self._take_idle(endpoint, self._rest_s)
        if connection is None and self._open >= self._most:
            connection = self._take_idle(endpoint, 0.0)  # no room for another
        if connection is not None:
            self._write(exchange, connection)
        elif self._make_room():
            self._open += 1
            endpoint.dialling.add(exchange)
            exchange.dial = loop.create_task(self._dial(exchange))
            exchange.dial.add_done_callback(self._dialled)
        else:
            log.warning("no connection to spare for %s", name)
            exchange.end(Outcome.DIAL_FAILED)
        return exchange

    def probe(self, name: str, target: str, ended: Ended) -> Exchange:
        """Ask a server how it is."""
        data = message(b"GET %b HTTP/1.1" % target.encode(), [(b"Host", name.encode())])
        until = asyncio.get_running_loop().time() + _PROBE_DIALS * self._dial_limit
        return self.send(name, lambda _: data, until, ended)

    def cancel(self, exchange: Exchange) -> None:
        exchange.end(Outcome.CANCELLED)

    def unsend(self, exchange: Exchange) -> None:
        """End an attempt that is not all written yet, so that it never will be."""
        if exchange.connection is None or not exchange.connection.written:
            exchange.end(Outcome.UNSENT)

    def close_idle(self, name: str) -> None:
        endpoint = self._endpoints.get(name)
        while endpoint is not None and endpoint.idle:
            connection, timer = endpoint.idle.pop()
            timer.cancel()
            connection.abort()

    @staticmethod
    def _time_up(exchange: Exchange) -> None:
        connection = exchange.connection
        exchange.end(
            Outcome.EXPIRED if connection is not None and connection.written else Outcome.DIAL_FAILED
        )

    @staticmethod
    def _dial_time_up(exchange: Exchange, sock: socket.socket) -> None:
        """End a dial, unless its connection is up and only this program has not come to look.

        Guards a busy sidecar against taking its own lag for dead servers.  The attempt's end bounds it still.
        """
        if exchange.connection is None and not is_up(sock):
            exchange.end(Outcome.DIAL_FAILED)

    def _take_idle(self, endpoint: Endpoint, rest_s: float) -> Connection | None:
        """The last used of those that have rested.

        What a server does to a connection after its answer, an end or more bytes, is under way for as long as
        the network takes; what is written meanwhile may have run and would be lost, or get another's answer.
        """
        closed_by = asyncio.get_running_loop().time() + self._idle_s - rest_s
        for index in reversed(range(len(endpoint.idle))):
            connection, timer = endpoint.idle[index]
            if timer.when() > closed_by:
                continue
            del endpoint.idle[index]
            timer.cancel()
            if connection.is_idle():
                return connection
            connection.abort()
        return None

    def _make_room(self) -> bool:
        """Whether one more connection may be opened, perhaps for an idle one elsewhere."""
        if self._open < self._most:
            return True
        idle = [each for each in self._endpoints.values() if each.idle]
        if not idle:
            return False
        fullest = max(idle, key=lambda each: len(each.idle))
        connection, timer = fullest.idle.pop(0)
        timer.cancel()
        connection.abort()
        return True

    async def _dial(self, exchange: Exchange) -> bool:
        """Dial and write; say whether there is a connection now."""
        endpoint = exchange.endpoint
        try:
            sock = new_socket(endpoint.address)
            loop = asyncio.get_running_loop()
            exchange.timers.append(loop.call_later(self._dial_limit, self._dial_time_up, exchange, sock))
            connection = await connect(endpoint.address, BODY_MOST, self._dial_limit, sock)
        except OSError as fault:
            log.debug("no connection to %s: %r", endpoint.name, fault)
            exchange.end(Outcome.DIAL_FAILED)
            return False
        connection.on_lost = self._lost
        if exchange.ended is None:
            connection.abort()
        else:
            self._write(exchange, connection)
        return True

    def _dialled(self, dial: asyncio.Task[bool]) -> None:
        if dial.cancelled() or not dial.result():
            self._lost()

    def _lost(self) -> None:
        self._open -= 1

    def _write(self, exchange: Exchange, connection: Connection) -> None:
        exchange.connection = connection
        exchange.endpoint.dialling.discard(exchange)
        left = exchange.until - asyncio.get_running_loop().time()
        connection.request(exchange.order(max(left, 0.0)), partial(self._answered, exchange, connection))

    def _answered(self, exchange: Exchange, connection: Connection, response: Response | None) -> None:
        self._put_back(exchange, connection)
        exchange.end(judge(response, connection.written, connection.spoilt), response)

    def _put_back(self, exchange: Exchange, connection: Connection) -> None:
        """Keep a connection for the next request, for less long than the server keeps it."""
        endpoint = exchange.endpoint
        if not connection.reusable:
            return
        if exchange.generation != endpoint.generation or endpoint.state is not ServerState.READY:
            connection.abort()
            return
        timer = asyncio.get_running_loop().call_later(self._idle_s, self._idle_over, endpoint, connection)
        endpoint.idle.append((connection, timer))

    @staticmethod
    def _idle_over(endpoint: Endpoint, connection: Connection) -> None:
        endpoint.idle = [each for each in endpoint.idle if each[0] is not connection]
        connection.abort()

    async def close(self) -> None:
        """Close what is idle and wait for dials to end."""
        dials = [each.dial for e in self._endpoints.values() for each in e.dialling if each.dial is not None]
        for endpoint in list(self._endpoints.values()):
            self._withdraw(endpoint)
        await asyncio.gather(*dials, return_exceptions=True)


_FIGURE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,18})?", re.ASCII)  # a count or a share: wilder ones are junk

# -- Load reports -------------------------------------------------------------------------------------


def parse_report(text: str | None, columns: Collection[str]) -> dict[str, float] | None:
    """Read a load report's text form; what is junk or not named by the settings is passed over."""
    if text is None or not columns:
        return None
    kind, _, rest = text.strip().partition(" ")
    if kind.upper() != "TEXT":
        log.debug("load report skipped: %.80r", text)
        return None
    report = {}
    for part in rest.split(","):
        name, _, value = part.partition("=")
        if not _FIGURE.fullmatch(value.strip()):
            log.debug("load figure skipped: %.80r", part)
        elif name.strip() in columns:
            report[name.strip()] = float(value)
    return report or None


def parse_probe(body: bytes, columns: Collection[str]) -> dict[str, float] | None:
    """Read the report that a probe's body holds, in either of its forms."""
    text = body.decode("utf-8", "replace").strip()
    if not text.startswith("{"):
        return parse_report(text, columns)
    try:
        given = json.loads(text)
    except (ValueError, RecursionError):
        log.debug("load report skipped: %.80r", text)
        return None
    return parse_report("TEXT " + ",".join(f"{name}={value}" for name, value in given.items()), columns)
