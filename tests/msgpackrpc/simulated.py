"""A sidecar on simulated sockets in virtual time: failures run in milliseconds, and one seed repeats each.

Clients and servers speak MessagePack-RPC by bytes.  Invariants are checked by the servers' logs of what was executed
and by the answers that clients received.
"""

from __future__ import annotations

import asyncio
import heapq
import socket
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgpack
from helpers import KEYED, SAFE, UNSAFE, settings

from testbed.wire import pack
from topazbank.balancing.actions import CancelAttempt
from topazbank.balancing.events import Outcome, ServerDescription, ServerState
from topazbank.balancing.settings import Settings
from topazbank.core.clock import Clock
from topazbank.core.components import Components, SidecarConfig
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList, ProtocolDefaults, SourceStatus
from topazbank.core.endpoints import MSGPACK_RPC
from topazbank.core.listener import Listener
from topazbank.core.net import Address
from topazbank.core.sidecar import Sidecar
from topazbank.core.upstream_client import ConnectionLimit, UpstreamClient
from topazbank.http.server import HttpConnection
from topazbank.msgpackrpc.client import ConnectionSharing, RpcUpstreamClient
from topazbank.msgpackrpc.connection import RpcUpstreamConnection
from topazbank.msgpackrpc.server import RpcConnection

ATTEMPTS_MAX = 3
TIMEOUT_S = 1.5
_UNLIMITED_BYTES = 10**9
REJECTED = [503, "full", {"rejected": True}]


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances to the next timer as soon as nothing else is ready."""

    def __init__(self) -> None:
        self._now_s = 1000.0
        super().__init__()

    def time(self) -> float:
        return self._now_s

    def _run_once(self) -> None:
        timers = self._scheduled  # type: ignore[attr-defined]
        while timers and timers[0].cancelled():  # the base class would wait for it in real time
            heapq.heappop(timers)._scheduled = False
            self._timer_cancelled_count -= 1  # type: ignore[attr-defined]
        if not self._ready and timers:  # type: ignore[attr-defined]
            self._now_s = max(self._now_s, timers[0].when())
        super()._run_once()  # type: ignore[misc]


class SimulatedTransport(asyncio.Transport):
    """The sidecar's end of a connection, with a kernel that accepts a limited number of bytes."""

    def __init__(self, protocol: Any, capacity: int = _UNLIMITED_BYTES) -> None:
        super().__init__()
        self.protocol = protocol
        self.capacity = capacity  # bytes that the kernel accepts
        self.buffered = b""  # written, and not accepted by the kernel
        self.unread = b""  # sent by the peer, and not read by the sidecar
        self.reading = True
        self.closing = False
        self.half_closed = False  # whether the sidecar has closed its sending side

    def delivered(self, data: bytes) -> None:
        """The peer has received bytes."""
        raise NotImplementedError

    def write_begins(self) -> None:
        """The sidecar begins to write something."""

    def write(self, data: Any) -> None:
        if not self.closing:
            self.write_begins()
            self.buffered += bytes(data)
            self._flush()
            if self.buffered:
                self.protocol.pause_writing()

    def _flush(self) -> None:
        accepted, self.buffered = self.buffered[: self.capacity], self.buffered[self.capacity :]
        self.capacity -= len(accepted)
        if accepted:
            self.delivered(accepted)

    def add_capacity(self, count: int) -> None:
        """Let the kernel accept `count` more bytes."""
        self.capacity += count
        was_full = bool(self.buffered)
        self._flush()
        if was_full and not self.buffered and not self.closing:
            self.protocol.resume_writing()

    def receive(self, data: bytes, pieces: int) -> None:
        """The peer sends bytes, and the sidecar reads them in so many pieces."""
        self.unread += data
        size = max(len(self.unread) // pieces, 1)
        while self.unread and self.reading and not self.closing:
            piece, self.unread = self.unread[:size], self.unread[size:]
            self.protocol.data_received(piece)

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        if not self.reading:
            self.reading = True
            asyncio.get_running_loop().call_soon(self.receive, b"", 1)

    def is_reading(self) -> bool:
        return self.reading

    def get_write_buffer_size(self) -> int:
        return len(self.buffered)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def is_closing(self) -> bool:
        return self.closing

    def write_eof(self) -> None:
        self.half_closed = True

    def abort(self) -> None:
        if not self.closing:
            self.closing = True
            self.buffered = b""
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    close = abort


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that a server has and has not answered."""

    transport: ServerTransport
    msgid: int
    ident: str
    kind: str


class ServerTransport(SimulatedTransport):
    """A connection to a simulated server."""

    def __init__(self, protocol: RpcUpstreamConnection, server: SimulatedServer, capacity: int) -> None:
        super().__init__(protocol, capacity)
        self.server = server
        self.garbled = False  # whether an incomplete response was sent on it
        self.unpacker = msgpack.Unpacker(raw=False)

    def write_begins(self) -> None:
        self.server.world.check(not self.server.drained, "something new was sent to a draining server")

    def delivered(self, data: bytes) -> None:
        self.unpacker.feed(data)
        for message in self.unpacker:
            self.server.accept(PendingRequest(self, message[1], message[3][0]["id"], message[2]))


@dataclass(eq=False)
class SimulatedServer:
    """A server behind the sidecar; `executed` is its log."""

    name: str
    world: Simulation
    up: bool = True
    drained: bool = False
    capacity: int = _UNLIMITED_BYTES  # of the kernel, for new connections
    pending: list[PendingRequest] = field(default_factory=list)
    transports: list[ServerTransport] = field(default_factory=list)
    executed: list[str] = field(default_factory=list)

    def accept(self, request: PendingRequest) -> None:
        """A complete request has come."""
        world = self.world
        world.attempts[request.ident] += 1
        world.check(world.attempts[request.ident] <= ATTEMPTS_MAX, "more attempts than allowed")
        world.check(request.ident not in world.over, "sent for a request that is over")
        others = [each for server in world.servers for each in server.pending if each.ident == request.ident]
        world.check(not any(not each.transport.closing for each in others), "two attempts at once")
        self.pending.append(request)

    def reply(self, index: int, how: str, pieces: int) -> None:
        """Answer one of the pending requests."""
        if not self.pending:
            return
        request = self.pending.pop(index % len(self.pending))
        if how == "rejected":
            if not request.transport.garbled:
                request.transport.receive(pack([1, request.msgid, REJECTED, None]), pieces)
            return
        self.executed.append(request.ident)
        answers = {
            "served": pack([1, request.msgid, None, {"body": request.ident.encode()}]),
            "error": pack([1, request.msgid, [500, "no", {}], None]),
            "malformed": b"\xc1",
            "wrong type": pack([1, request.msgid, None, 7]),
            "twice": pack([1, request.msgid, None, request.ident.encode()]) * 2,
            "incomplete": pack([1, request.msgid, None, {"body": request.ident.encode()}])[:-3],
            "silent": b"",
        }
        if not request.transport.garbled:
            request.transport.receive(answers[how], pieces)
        # What came behind an incomplete response would be read as its end: no reader could tell.
        request.transport.garbled = request.transport.garbled or how == "incomplete"

    def cut(self, index: int) -> None:
        """Break one of its connections; requests pending on it may still be executed."""
        open_ = [each for each in self.transports if not each.closing]
        if open_:
            open_[index % len(open_)].abort()

    def finish(self) -> None:
        """Execute whatever is pending: what was never answered may have been executed."""
        self.executed += [each.ident for each in self.pending]
        self.pending = []


class SimulatedClient(SimulatedTransport):
    """A client's connection: it records each response and checks that it belongs to its call."""

    def __init__(self, world: Simulation, capacity: int = _UNLIMITED_BYTES) -> None:
        self.connection = RpcConnection(world.sidecar.listener.table, world.silent_socket)
        super().__init__(self.connection, capacity)
        self.world = world
        self.unpacker = msgpack.Unpacker(raw=False)
        self.calls: dict[int, str] = {}  # ident by message id
        self.errors: dict[int, Any] = {}  # by message id, of answered calls; None: served

    def delivered(self, data: bytes) -> None:
        self.unpacker.feed(data)
        for kind, msgid, error, result in self.unpacker:
            ident = self.calls[msgid]
            self.world.check(kind == 1 and msgid not in self.errors, "a second final answer")
            self.world.check(error is not None or result["body"] == ident.encode(), "another call's answer")
            self.errors[msgid] = error
            self.world.over.add(ident)

    def call(self, kind: str, pieces: int) -> None:
        """Send a call of a class, in so many pieces."""
        msgid = len(self.calls)
        ident = f"{kind}-{self.world.next_ident()}"
        self.calls[msgid] = ident
        envelope: dict[str, Any] = {"id": ident, "budget": TIMEOUT_S, "path": "/api/7f"}
        if kind == "amend":
            envelope["idempotency_key"] = ident
        self.receive(pack([0, msgid, kind, [envelope, b"" if kind == "look" else b"body"]]), pieces)

    def disconnect(self) -> None:
        """Close the connection."""
        self.world.over.update(ident for msgid, ident in self.calls.items() if msgid not in self.errors)
        self.closing = True
        self.connection.connection_lost(None)


class _SimulatedUpstreamClient(RpcUpstreamClient):
    """Connects to simulated servers."""

    world: Simulation

    async def _connect(self, connection: RpcUpstreamConnection) -> None:
        server = next(each for each in self.world.servers if each.name == connection.endpoint.name)
        try:
            await asyncio.sleep(0.001)
        except asyncio.CancelledError:
            connection.release_slot()
            raise
        if not server.up:
            connection.connect_task = None
            connection.end(Outcome.CONNECT_FAILED)
            connection.release_slot()
            return
        connection.sock = self.world.silent_socket
        transport = ServerTransport(connection, server, server.capacity)
        server.transports.append(transport)
        connection.connection_made(transport)


class _NoSource:
    def watch(self, wanted: bool) -> None: ...

    def fetch(self) -> None: ...

    def move(self, address: Address) -> None: ...

    def stop(self) -> None: ...

    def status(self) -> tuple[SourceStatus, ...]:
        return ()

    def source_of(self, name: str) -> str:
        return "simulated"


class Simulation:
    """One sidecar with its servers and clients."""

    def __init__(self, server_count: int, sharing: ConnectionSharing) -> None:
        self.violations: list[str] = []
        self.over: set[str] = set()  # requests that have their answer, or whose client has disconnected
        self.attempts: Counter[str] = Counter()
        self._idents = 0
        self.silent_socket, self._other = socket.socketpair()  # stands in for every socket
        self.silent_socket.setblocking(False)
        self.servers = [SimulatedServer(f"n-{number}", self) for number in range(server_count)]
        self.clients: list[SimulatedClient] = []
        loop = asyncio.get_running_loop()

        def upstream_clients(
            settings: Settings, connection_limit: ConnectionLimit
        ) -> dict[str, UpstreamClient]:
            upstream_client = _SimulatedUpstreamClient(0.25, 15.0, connection_limit, (), sharing)
            upstream_client.world = self
            return {MSGPACK_RPC: upstream_client}

        classes = [SAFE, UNSAFE, KEYED]
        limits = {"max_attempts": ATTEMPTS_MAX, "hedging": False, "cancellation": True}
        lines = [
            DiscoveredServer(ServerDescription(each.name, "east", "m", 1), ("127.0.0.1", 9))
            for each in self.servers
        ]
        config = SidecarConfig(
            ("127.0.0.1", 0),
            ("127.0.0.1", 9),
            7,
            256,
            settings(classes=classes, limits=limits),
            EndpointList(1, True, lines),
        )
        wiring = Components(
            HttpConnection,
            RpcConnection,
            upstream_clients,
            lambda *_: _NoSource(),
            protocol_defaults=ProtocolDefaults(MSGPACK_RPC),
        )
        self.sidecar = Sidecar(config, wiring, Clock(lambda: int(loop.time() * 1e9)))
        self.sidecar.endpoint_watcher.start(poll_immediately=False)
        self._listener: Listener = self.sidecar.listener

    def check(self, holds: bool, violation: str) -> None:
        """Record a violation unless an invariant holds."""
        if not holds:
            self.violations.append(violation)

    def next_ident(self) -> int:
        """A number that is unique in this simulation."""
        self._idents += 1
        return self._idents

    def client(self, index: int) -> SimulatedClient:
        """One of the connected clients; a new one beyond them."""
        connected = [each for each in self.clients if not each.closing and not each.half_closed]
        if index < len(connected):
            return connected[index]
        client = SimulatedClient(self)
        client.connection.connection_made(client)
        self.clients.append(client)
        return client

    def cancel_attempt(self, index: int) -> None:
        """Cancel an attempt of a request in progress, as the balancer does when a server is silent."""
        lives = [live for live in self.sidecar._requests.live.values() if live.attempts and not live.answered]
        lives = [live for live in lives if live.call.request_class.name != "pay"]
        if lives:
            live = lives[index % len(lives)]
            self.sidecar._balancer.retries.budget = 5.0  # so that it is retried
            self.sidecar._requests._cancel(CancelAttempt(live.number, next(iter(live.attempts))))

    def drain(self, server: SimulatedServer) -> None:
        """List a server as draining."""
        server.drained = True
        description = ServerDescription(server.name, "east", "m", 1, ServerState.DRAINING)
        self.sidecar.endpoint_watcher.receive(
            EndpointList(2, False, [DiscoveredServer(description, ("127.0.0.1", 9))])
        )

    async def settle(self) -> None:
        """Wait for as long as anything may take, and check the invariants."""
        await asyncio.sleep(0.01)
        for server in self.servers:
            for transport in list(server.transports):
                transport.add_capacity(_UNLIMITED_BYTES)  # whatever is still queued is written now
        await asyncio.sleep(TIMEOUT_S + 0.5)
        for each in self.clients:
            if not each.closing:
                unanswered = set(each.calls) - set(each.errors)
                self.check(not unanswered, f"no answer in time: {[each.calls[one] for one in unanswered]}")
        for server in self.servers:
            server.finish()
        executed = Counter(ident for server in self.servers for ident in server.executed)
        twice = [ident for ident, count in executed.items() if count > 1 and ident.startswith("pay")]
        self.check(not twice, f"executed twice: {twice}")
        self.check(not self.sidecar._requests.live, "a request is left after its end")

    def close(self) -> None:
        """Close all sockets."""
        self._listener._sock.close()
        self.silent_socket.close()
        self._other.close()
