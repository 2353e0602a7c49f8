"""The application's side: its connections, its requests and the readiness that it asks for."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

import h11

from topazbank.interface import Repeat, Settings
from topazbank.net.upstream import Address, Headers, Reader, end_to_end, has_ended, is_quiet, message

log = logging.getLogger(__name__)

BODY_MOST = 64 * 1024
_READY_PATH = b"/health/ready"
_API_PATH = b"/api"
_BACKLOG = 512
_ACCEPTED_AT_ONCE = 64  # connections, before others are looked at again
_ACCEPT_PAUSE_S = 0.05  # after a failed accept, descriptors lacking: no spinning
_SWEEP_S = 0.1  # how often connections are looked at for their limits
_YOUNG_S = 0.1  # a connection this new may have its request on the way: others make room first
_TRIED_FOR_ROOM = 4  # connections that are looked at for one that can make room
_LAG_MOST_S = 0.04  # a sweep later than this tells of more work than the CPU can do
_LEAST_BUSY = 32  # connections that may carry requests, however late all is
_BUSY_LESS = 0.8  # at each late sweep they may be this part of what they were
_BUSY_MORE = 1.1  # and at each other one this many times as many
_DROPPED_MOST = (
    128 * BODY_MOST
)  # read and dropped of what comes after a rejection, so that its answer arrives
_IDENT_MOST = 256  # characters
_OVER_DEADLINE = 1.1  # a budget may exceed its class's deadline by rounding, no more
_REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed"}
_SINGLE = frozenset(  # headers that mean one thing: given twice, they may mean another to a server
    (
        b"x-call-id",
        b"x-call-class",
        b"x-caller",
        b"x-budget",
        b"x-again",
        b"x-call-cost",
        b"idempotency-key",
    )
)
_FRAMING = (b"content-length", b"transfer-encoding")
_NUMBER = re.compile(r"[0-9]{1,10}(\.[0-9]{1,9})?", re.ASCII)


class BadRequest(Exception):
    """What can't be taken; the status tells why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True, eq=False)
class Call:
    """A request as the application sent it; it is answered once."""

    method: bytes
    target: bytes
    headers: Headers  # those that go on
    body: bytes
    ident: str
    service_class: str
    tenant: str | None
    key: int | None
    budget_us: int
    cost_us: int | None
    again: bool
    answer: Callable[[int, Headers, bytes], None]


@dataclass(slots=True)
class Hooks:
    """What the frontend asks of the driver."""

    taken: Callable[[Call], None]
    gone: Callable[[Call], None]
    is_out: Callable[[str], bool]  # whether a request with this id is unanswered, or an attempt of it out
    ready: Callable[[], bool]


class Phase(Enum):
    """What a connection of the application is about; each phase but OPEN has a limit."""

    WAITING = auto()  # it is new, or a request has begun to come
    OPEN = auto()  # a request is held; the driver answers it in its time
    BEHIND = auto()  # the same, and half a request waits behind it
    RESTING = auto()  # it has carried requests, and nothing comes
    LEAVING = auto()  # its last answer is still being taken


_LIMITS_S = {Phase.WAITING: 2.0, Phase.BEHIND: 2.0, Phase.RESTING: 2.0, Phase.LEAVING: 1.0}


def parse_call(
    head: h11.Request, body: bytes, settings: Settings, answer: Callable[[int, Headers, bytes], None]
) -> Call:
    """Read a request of the application; raise BadRequest where it makes no sense or breaks the settings."""
    given: dict[bytes, str] = {}
    for name, value in head.headers:
        if name in _SINGLE and name in given:
            raise BadRequest(400, f"{name.decode()} stands twice")
        given[name] = value.decode("latin-1").strip()
    for name in (b"x-call-id", b"x-call-class", b"x-budget"):
        if not given.get(name):
            raise BadRequest(400, f"{name.decode()} is missing")
    if len(given[b"x-call-id"]) > _IDENT_MOST:
        raise BadRequest(400, "x-call-id is too long")
    call = Call(
        method=head.method,
        target=head.target,
        headers=end_to_end(head.headers, b"content-length", b"x-budget", b"expect"),
        body=body,
        ident=given[b"x-call-id"],
        service_class=given[b"x-call-class"],
        tenant=given.get(b"x-caller") or None,
        key=_key(head.target),
        budget_us=int(_number(given[b"x-budget"], "x-budget") * 1e6),
        cost_us=int(_number(given[b"x-call-cost"], "x-call-cost")) if given.get(b"x-call-cost") else None,
        again=given.get(b"x-again") == "1",
        answer=answer,
    )
    _check_class(call, bool(given.get(b"idempotency-key")), settings)
    _check_tenant(call, settings)
    return call


def _check_class(call: Call, keyed: bool, settings: Settings) -> None:
    """What a class says of its requests: how they come, and how long they may take."""
    kind = next((each for each in settings.classes if each.name == call.service_class), None)
    if kind is None:
        raise BadRequest(400, "x-call-class is not known")
    if call.method != (b"GET" if kind.repeat is Repeat.SAFE else b"POST"):
        raise BadRequest(405, "not the method of the class")
    if kind.repeat is Repeat.SAFE and call.body:
        raise BadRequest(400, "a body belongs to no request that is safe to repeat")
    if kind.repeat is Repeat.KEYED and not keyed:
        raise BadRequest(400, "idempotency-key is missing")  # servers could not drop its repeats
    if call.budget_us > _OVER_DEADLINE * kind.deadline_us:
        raise BadRequest(400, "x-budget is longer than the deadline of the class")


def _check_tenant(call: Call, settings: Settings) -> None:
    """Where the settings name tenants only these may ask; else nothing is made of the name."""
    if not settings.tenants:
        call.tenant = None
    elif call.tenant is not None and all(each.name != call.tenant for each in settings.tenants):
        raise BadRequest(400, "x-caller is not known")


def _number(text: str, name: str) -> float:
    if not _NUMBER.fullmatch(text):
        raise BadRequest(400, f"{name}: a number is needed")
    return float(text)


def _key(target: bytes) -> int | None:
    """The last part of the path as a number, whatever it is made of."""
    last = target.partition(b"?")[0].removeprefix(_API_PATH).rpartition(b"/")[2]
    if not last:
        return None
    try:
        return int(last, 16)
    except ValueError:
        return int.from_bytes(last, "big")


class ClientConnection(Reader):
    """One connection of the application; it carries one request at a time."""

    def __init__(self, frontend: Frontend, sock: socket.socket) -> None:
        self._frontend = frontend
        self._sock = sock
        self._h11 = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._call: Call | None = None
        self._stuck = False  # the last answer is not all written yet
        self._dropped: int | None = (
            None  # bytes that came after its end, which are not read; None: it goes on
        )
        self.phase = Phase.WAITING

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        self._frontend.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._frontend.lost(self)
        self._client_gone()

    def eof_received(self) -> bool:
        return False  # a client that closes has gone away

    def data_received(self, data: bytes) -> None:
        if self._dropped is not None:
            self._drop(len(data))
            return
        if self._call is None and has_ended(self._sock):
            # Its client has left while the request waited here.  Guards a busy sidecar against work for those
            # that gave up: done for all, it would keep the next ones waiting until they give up too.
            self.abort()
            return
        self._h11.receive_data(data)
        if self._call is not None:
            self._look_ahead()
        elif not self._stuck:
            self._read()
        elif len(self._h11.trailing_data[0]) > BODY_MOST and self._transport is not None:
            self._transport.pause_reading()

    def pause_writing(self) -> None:
        self._stuck = True

    def resume_writing(self) -> None:
        self._stuck = False
        if self._call is None and self._dropped is None:
            self._next_request()

    def is_quiet(self) -> bool:
        """Whether nothing has come that is not read yet."""
        return is_quiet(self._sock)

    def is_idle(self) -> bool:
        """Whether it may be closed: no request is held, begun or waiting unread."""
        begun = self._head is not None or self._h11.trailing_data[0]
        return self.phase in (Phase.WAITING, Phase.RESTING) and not begun and self.is_quiet()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def time_up(self) -> None:
        """Its phase has lasted for as long as it may."""
        if self.phase in (Phase.BEHIND, Phase.LEAVING):
            self.abort()
        elif self.is_idle():
            self.close()
        elif self.phase is Phase.WAITING and self.is_quiet():
            self._reject(BadRequest(408, "the request took too long to come"))

    def _look_ahead(self) -> None:
        """See what came behind the request that is held: what can't be read ends the connection at once."""
        behind = self._h11.trailing_data[0]
        ahead = h11.Connection(h11.SERVER)
        ahead.receive_data(behind)
        try:
            whole = ahead.next_event() is not h11.NEED_DATA
        except h11.RemoteProtocolError as bad:
            log.info("connection ended: %s", bad)
            self.abort()
            return
        self._frontend.move(self, Phase.OPEN if whole else Phase.BEHIND)
        if len(behind) > BODY_MOST and self._transport is not None:
            self._transport.pause_reading()  # it sends ahead; what is held is bounded

    def _read(self) -> None:
        """Take what has come, up to the end of one request."""
        try:
            while self._next_event():
                pass
        except BadRequest as bad:
            self._reject(bad)
        except h11.RemoteProtocolError as bad:
            self._reject(BadRequest(400, str(bad)))
        except Exception:
            log.exception("a request could not be handled")  # a defect: its request fails, no other
            if self._head is None:
                self.abort()  # it was answered already
            else:
                self._reject(BadRequest(500, "internal error"))
        if self.phase is Phase.RESTING and (self._head is not None or self._h11.trailing_data[0]):
            self._frontend.move(self, Phase.WAITING)

    def _next_event(self) -> bool:
        event = self._h11.next_event()
        if isinstance(event, h11.Request):
            self._head = event
            self._begin(event)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > BODY_MOST:
                raise BadRequest(413, "the body is too large")
        elif isinstance(event, h11.EndOfMessage):
            self._whole()
            return False
        return isinstance(event, h11.Request | h11.Data)

    def _begin(self, head: h11.Request) -> None:
        framing = {name: value for name, value in head.headers if name in _FRAMING}
        if b"transfer-encoding" in framing and (len(framing) > 1 or head.http_version != b"1.1"):
            raise BadRequest(400, "two ways to tell the body's end")  # one may hide a request in the other
        if int(framing.get(b"content-length", b"0")) > BODY_MOST:
            raise BadRequest(413, "the body is too large")
        if self._h11.they_are_waiting_for_100_continue and self._transport is not None:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._h11.send(go_on) or b"")

    def _whole(self) -> None:
        """A request has come whole."""
        head, body = self._head, bytes(self._body)
        assert head is not None
        path = head.target.partition(b"?")[0]
        if path == _READY_PATH:
            self._answer(200 if self._frontend.hooks.ready() else 503, [], b"")
        elif path != _API_PATH and not path.startswith(_API_PATH + b"/"):
            raise BadRequest(404, "no such path")
        else:
            call = parse_call(head, body, self._frontend.settings, self._answer)
            if self._frontend.hooks.is_out(call.ident):
                raise BadRequest(409, "x-call-id is that of another request, which is still out")
            self._call = call
            self._frontend.move(self, Phase.OPEN)
            self._frontend.hooks.taken(call)

    def _reject(self, bad: BadRequest) -> None:
        """Turn the request away and end the connection: nothing more is expected of this client."""
        log.info("request rejected: %s", bad)
        self._client_gone()
        self._answer(bad.status, [(b"Content-Type", b"text/plain")], f"{bad}\n".encode(), ends=True)

    def _answer(self, status: int, headers: Headers, body: bytes, ends: bool = False) -> None:
        """Write an answer whole, at once; its connection goes on if framing allows."""
        self._call = None
        if self._transport is None or self._transport.is_closing():
            return
        ends = ends or self._frontend.draining or self._h11.their_state is not h11.DONE
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        if ends:
            headers.append((b"Connection", b"close"))
        if self._head is not None and self._head.method == b"HEAD":
            body = b""
        first = b"HTTP/1.1 %d %b" % (status, _REASONS.get(status, b""))
        self._head, self._body = None, bytearray()
        self._transport.write(message(first, headers, body))
        if ends:
            self._linger()
            return
        behind = self._h11.trailing_data[0]
        self._h11 = h11.Connection(h11.SERVER)  # each reads one request; it never hears of answers
        if behind:
            self._h11.receive_data(behind)
        self._frontend.move(self, Phase.LEAVING if self._stuck else Phase.RESTING)
        if not self._stuck and (behind or not self._transport.is_reading()):
            asyncio.get_running_loop().call_soon(self._next_request)

    def _linger(self) -> None:
        """End our side and drop what still comes: closing on unread bytes would reset the answer away."""
        if self._transport is not None and not self._transport.is_closing():
            self._dropped = 0
            self._frontend.move(self, Phase.LEAVING)
            self._transport.write_eof()

    def _drop(self, count: int) -> None:
        self._dropped = (self._dropped or 0) + count
        if self._dropped > _DROPPED_MOST and self._transport is not None:
            self._transport.pause_reading()

    def _next_request(self) -> None:
        """Turn to what came behind the answered request."""
        if self._transport is None or self._transport.is_closing() or self._call is not None or self._stuck:
            return
        self._frontend.move(self, Phase.RESTING)
        self._transport.resume_reading()
        self._read()

    def _client_gone(self) -> None:
        call, self._call = self._call, None
        if call is not None:
            self._frontend.hooks.gone(call)


class Frontend:
    """Listens for the application, within a bound on its connections."""

    def __init__(self, address: Address, most: int, hooks: Hooks, settings: Settings) -> None:
        self.hooks = hooks
        self.settings = settings
        self.draining = False
        self._most = most
        self._most_at_rest = max(most // 3, 1)  # clients may keep for good what they will not use again
        # The connections of each phase and since when they are in it, the longest first; `_most` in all.
        self._phases: dict[Phase, dict[ClientConnection, float]] = {phase: {} for phase in Phase}
        self._most_busy = float(most)  # connections that may carry requests: fewer while all is late
        self._sweep_due = 0.0
        self._accepting = False
        self._starting: set[asyncio.Task[None]] = set()
        self._sock = socket.create_server(address, backlog=_BACKLOG)
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()[:2]

    @property
    def connections(self) -> list[ClientConnection]:
        return [each for phase in self._phases.values() for each in phase]

    def start(self) -> None:
        self._accept_again()
        self._sweep_later()

    def _accept_again(self) -> None:
        if not self._accepting and self._sock.fileno() >= 0:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._sock, self._accept)

    def _pause(self) -> None:
        """Leave new connections to the kernel's queue for now."""
        self._accepting = False
        asyncio.get_running_loop().remove_reader(self._sock)

    def _accept(self, at_once: int = _ACCEPTED_AT_ONCE) -> None:
        """Take the connections that wait."""
        for _ in range(at_once):
            if self._count() >= self._most and not self._make_room():
                self._pause()
                asyncio.get_running_loop().call_later(_ACCEPT_PAUSE_S, self._accept_again)
                return
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as fault:
                log.error("accept: %s", fault)
                self._pause()
                asyncio.get_running_loop().call_later(_ACCEPT_PAUSE_S, self._accept_again)
                return
            if has_ended(sock) or self._is_swamped():  # ended: it waited for longer than its client did
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = asyncio.get_running_loop().create_task(self._begin(sock))
            self._starting.add(task)
            task.add_done_callback(self._starting.discard)

    async def _begin(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(lambda: ClientConnection(self, sock), sock)

    def _count(self) -> int:
        return sum(map(len, self._phases.values())) + len(self._starting)

    def _make_room(self) -> bool:
        """End a connection that holds no request.

        First those that were told their last, then those that say nothing, then the longest at rest.  What is
        new is spared while there are others: it was opened for a request that may be on its way.
        """
        grown = asyncio.get_running_loop().time() - _YOUNG_S
        chosen = (
            next(iter(self._phases[Phase.LEAVING]), None)
            or self._quiet(Phase.WAITING, grown)
            or self._quiet(Phase.RESTING)
            or self._quiet(Phase.WAITING)
        )
        if chosen is None:
            return False
        self.lost(chosen)
        chosen.abort()
        return True

    def _quiet(self, phase: Phase, before: float = float("inf")) -> ClientConnection | None:
        """The longest in a phase, and since before this time, that has sent nothing which is still unread."""
        for _, (connection, since) in zip(range(_TRIED_FOR_ROOM), self._phases[phase].items(), strict=False):
            if since < before and connection.is_quiet():
                return connection
        return None

    def _sweep(self) -> None:
        """End what has passed the limit of its phase."""
        loop = asyncio.get_running_loop()
        for phase, limit in _LIMITS_S.items():
            for connection, since in list(self._phases[phase].items()):
                if since + limit > loop.time():
                    break  # those behind it came later
                connection.time_up()
        late = loop.time() > self._sweep_due + _LAG_MOST_S
        self._most_busy *= _BUSY_LESS if late else _BUSY_MORE
        self._most_busy = max(_LEAST_BUSY, min(self._most_busy, self._most))
        self._sweep_later()

    def _sweep_later(self) -> None:
        self._sweep_due = asyncio.get_running_loop().time() + _SWEEP_S
        asyncio.get_running_loop().call_at(self._sweep_due, self._sweep)

    def _is_swamped(self) -> bool:
        """Whether the CPU falls behind with the connections that carry requests.

        Guards against answers that all come late: those served are served in time, and new connections end at
        once, for a twentieth of what refusing a request costs.  Harm: a short pause of the machine under many
        connections ends some too.
        """
        at_rest = len(self._phases[Phase.RESTING]) + len(self._phases[Phase.LEAVING])
        return self._count() - at_rest >= self._most_busy

    def opened(self, connection: ClientConnection) -> None:
        self._phases[connection.phase][connection] = asyncio.get_running_loop().time()

    def move(self, connection: ClientConnection, phase: Phase) -> None:
        """Note a connection's phase; one that it is in already goes on."""
        if connection.phase is not phase and self._phases[connection.phase].pop(connection, None) is not None:
            connection.phase = phase
            self.opened(connection)
            if phase is Phase.RESTING and len(self._phases[phase]) > self._most_at_rest:
                oldest = self._quiet(phase)
                if oldest is not None and oldest.is_idle():
                    self.lost(oldest)
                    oldest.close()

    def lost(self, connection: ClientConnection) -> None:
        self._phases[connection.phase].pop(connection, None)

    def drain(self) -> None:
        """Close what is at rest while new connections are still taken: a request that crosses comes again."""
        self.draining = True
        self.close_idle(used=True)

    def close_idle(self, used: bool) -> None:
        """Close what is at rest; with `used`, not what was just opened for a request still on its way."""
        for connection in self.connections:
            if connection.is_idle() and (connection.phase is Phase.RESTING or not used):
                connection.close()

    def stop(self) -> None:
        """Take what waits, then listen no more."""
        if self._sock.fileno() >= 0:
            self._accept(_BACKLOG)
            if self._accepting:
                self._pause()
            self._sock.close()

    def is_empty(self) -> bool:
        return not self._count()
