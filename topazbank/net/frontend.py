"""The application's side: its connections, its requests and the readiness that it asks for."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import socket
from collections.abc import Callable
from dataclasses import dataclass

import h11

from topazbank.net.upstream import Address, Headers, end_to_end, is_quiet

log = logging.getLogger(__name__)

BODY_MOST = 64 * 1024
_READY_PATH = b"/health/ready"
_API_PATH = b"/api"
_BACKLOG = 512
_ACCEPT_PAUSE_S = 0.05  # after a failed accept, descriptors lacking: no spinning
_LINGER_S = 1.0  # how long an ended connection is read on, so that its answer arrives
_REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed"}


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
    ready: Callable[[], bool]


def parse_call(head: h11.Request, body: bytes, answer: Callable[[int, Headers, bytes], None]) -> Call:
    """Read a request of the application; raise BadRequest where a header is missing or makes no sense."""
    given = {name: value.decode("latin-1").strip() for name, value in head.headers}
    for name in (b"x-call-id", b"x-call-class", b"x-budget"):
        if not given.get(name):
            raise BadRequest(400, f"{name.decode()} is missing")
    return Call(
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


def _is_keyed(head: h11.Request) -> bool:
    return any(name == b"idempotency-key" and value.strip() for name, value in head.headers)


def _number(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0.0 <= value <= 1e9:
        raise BadRequest(400, f"{name}: a number is needed")
    return value


def _key(target: bytes) -> int | None:
    """The last part of the path as a number, whatever it is made of."""
    last = target.partition(b"?")[0].removeprefix(_API_PATH).rpartition(b"/")[2]
    if not last:
        return None
    try:
        return int(last, 16)
    except ValueError:
        return int.from_bytes(last, "big")


class ClientConnection(asyncio.Protocol):
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
        self._lingering = False  # what still comes is dropped: its framing is lost
        self.used = False  # whether it has carried a request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        self._frontend.connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._frontend.lost(self)
        self._client_gone()

    def eof_received(self) -> bool:
        return False  # a client that closes has gone away

    def data_received(self, data: bytes) -> None:
        if self._lingering:
            return
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as bad:
            self._reject(BadRequest(400, str(bad)))
            return
        if self._call is None and not self._stuck:
            self._read()
        elif len(self._h11.trailing_data[0]) > BODY_MOST and self._transport is not None:
            self._transport.pause_reading()  # it sends ahead; what is held is bounded

    def pause_writing(self) -> None:
        self._stuck = True

    def resume_writing(self) -> None:
        self._stuck = False
        if self._call is None:
            self._next_request()

    def is_idle(self) -> bool:
        """Whether it may be closed: no request is held, begun or waiting unread."""
        held = self._call is not None or self._head is not None or self._stuck or self._h11.trailing_data[0]
        return not held and is_quiet(self._sock)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

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
            if self._transport is not None:
                self._reject(BadRequest(500, "internal error"))

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
        length = next((v for n, v in head.headers if n == b"content-length"), b"0")
        if int(length) > BODY_MOST:
            raise BadRequest(413, "the body is too large")
        if self._h11.they_are_waiting_for_100_continue and self._transport is not None:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._h11.send(go_on) or b"")

    def _whole(self) -> None:
        """A request has come whole."""
        head, body = self._head, bytes(self._body)
        assert head is not None
        self.used = True
        path = head.target.partition(b"?")[0]
        if path == _READY_PATH:
            self._answer(200 if self._frontend.hooks.ready() else 503, [], b"")
        elif path != _API_PATH and not path.startswith(_API_PATH + b"/"):
            raise BadRequest(404, "no such path")
        else:
            call = parse_call(head, body, self._answer)
            if call.service_class in self._frontend.keyed and not _is_keyed(head):
                raise BadRequest(400, "idempotency-key is missing")  # servers could not drop its repeats
            self._call = call
            self._frontend.hooks.taken(call)

    def _reject(self, bad: BadRequest) -> None:
        log.info("request rejected: %s", bad)
        if self._h11.our_state is h11.SEND_RESPONSE or self._h11.our_state is h11.IDLE:
            self._answer(bad.status, [(b"Content-Type", b"text/plain")], f"{bad}\n".encode())
        elif self._call is None:
            self.close()

    def _answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write an answer whole, at once; its connection goes on if framing allows."""
        self._call = None
        if self._transport is None or self._transport.is_closing():
            return
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        whole = self._h11.their_state is h11.DONE
        if self._frontend.draining or not whole:
            headers.append((b"Connection", b"close"))
        reason = _REASONS.get(status, b"")
        events = [h11.Response(status_code=status, headers=headers, reason=reason), h11.EndOfMessage()]
        if body:
            events.insert(1, h11.Data(data=body))
        self._head, self._body = None, bytearray()
        self._transport.write(b"".join(self._h11.send(each) or b"" for each in events))
        if not whole:
            self._linger()
        elif self._h11.our_state is not h11.DONE:
            self.close()
        elif not self._stuck:
            asyncio.get_running_loop().call_soon(self._next_request)

    def _linger(self) -> None:
        """End our side and drop what still comes: closing on unread bytes would reset the answer away."""
        if self._transport is not None:
            self._lingering = True
            self._transport.write_eof()
            asyncio.get_running_loop().call_later(_LINGER_S, self.close)

    def _next_request(self) -> None:
        """Turn to what came behind the answered request."""
        if self._transport is None or self._transport.is_closing() or self._call is not None or self._stuck:
            return
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self._frontend.rested(self)
            self._transport.resume_reading()
            self._read()

    def _client_gone(self) -> None:
        call, self._call = self._call, None
        if call is not None:
            self._frontend.hooks.gone(call)


class Frontend:
    """Listens for the application, within a bound on its connections."""

    def __init__(
        self, address: Address, most: int, hooks: Hooks, keyed: frozenset[str] = frozenset()
    ) -> None:
        self.hooks = hooks
        self.keyed = keyed  # classes whose requests carry a key
        self.draining = False
        self.connections: dict[ClientConnection, None] = {}  # the longest at rest first
        self._most = most
        self._accepting = False
        self._starting: set[asyncio.Task[None]] = set()
        self._sock = socket.create_server(address, backlog=_BACKLOG)
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()[:2]

    def start(self) -> None:
        self._accept_again()

    def _accept_again(self) -> None:
        if not self._accepting and self._sock.fileno() >= 0:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._sock, self._accept)

    def _pause(self) -> None:
        """Leave new connections to the kernel's queue for now."""
        self._accepting = False
        asyncio.get_running_loop().remove_reader(self._sock)

    def _accept(self) -> None:
        """Take the connections that wait."""
        for _ in range(_BACKLOG):
            if len(self.connections) + len(self._starting) >= self._most and not self._make_room():
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
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = asyncio.get_running_loop().create_task(self._begin(sock))
            self._starting.add(task)
            task.add_done_callback(self._starting.discard)

    async def _begin(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(lambda: ClientConnection(self, sock), sock)

    def _make_room(self) -> bool:
        """Close a connection at rest, one that has carried a request first: a new one is opened for one."""
        at_rest = [each for each in self.connections if each.is_idle()]
        chosen = next((each for each in at_rest if each.used), at_rest[0] if at_rest else None)
        if chosen is not None:
            chosen.close()
            del self.connections[chosen]
        return chosen is not None

    def rested(self, connection: ClientConnection) -> None:
        """A connection has begun to rest, or to wait for its next request."""
        if self.connections.pop(connection, self) is None:
            self.connections[connection] = None

    def lost(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)

    def drain(self) -> None:
        """Close what is at rest while new connections are still taken: a request that crosses comes again."""
        self.draining = True
        self.close_idle(used=True)

    def close_idle(self, used: bool) -> None:
        """Close what is at rest; with `used`, not what was just opened for a request still on its way."""
        for connection in list(self.connections):
            if connection.is_idle() and (connection.used or not used):
                connection.close()

    def stop(self) -> None:
        """Take what waits, then listen no more."""
        if self._sock.fileno() >= 0:
            self._accept()
            if self._accepting:
                self._pause()
            self._sock.close()

    def is_empty(self) -> bool:
        return not self.connections and not self._starting
