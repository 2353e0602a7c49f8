"""Simulation of a sidecar on in-memory sockets in virtual time.

Failures run in milliseconds and are reproducible from a seed.  Clients and servers exchange MessagePack-RPC byte
streams.  Invariants are checked against the servers' execution logs and the answers that clients received.
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
    """An event loop whose time advances to the next timer when no callback is ready."""

    def __init__(self) -> None:
        self._now_s = 1000.0
        super().__init__()

    def time(self) -> float:
        return self._now_s

    def _run_once(self) -> None:
        timers = self._scheduled  # type: ignore[attr-defined]
        # The base class would wait for cancelled timers in real time.
        while timers and timers[0].cancelled():
            heapq.heappop(timers)._scheduled = False
            self._timer_cancelled_count -= 1  # type: ignore[attr-defined]
        if not self._ready and timers:  # type: ignore[attr-defined]
            self._now_s = max(self._now_s, timers[0].when())
        super()._run_once()  # type: ignore[misc]


class SimulatedTransport(asyncio.Transport):
    """The sidecar's end of a connection, with a simulated kernel buffer of limited capacity."""

    def __init__(self, protocol: Any, capacity: int = _UNLIMITED_BYTES) -> None:
        super().__init__()
        self.protocol = protocol
        self.capacity = capacity  # bytes that the kernel will still accept
        self.buffered = b""  # written by the sidecar, not yet accepted by the kernel
        self.unread = b""  # sent by the peer, not yet read by the sidecar
        self.reading = True
        self.closing = False
        self.half_closed = False  # whether the sidecar has closed its sending side

    def delivered(self, data: bytes) -> None:
        """Handle bytes received by the peer."""
        raise NotImplementedError

    def write_begins(self) -> None:
        """Called before each write by the sidecar."""

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

    def receive(self, data: bytes, piece_count: int) -> None:
        """Send bytes from the peer, which the sidecar reads in `piece_count` pieces."""
        self.unread += data
        size = max(len(self.unread) // piece_count, 1)
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
    """A request that a server has received and not yet answered."""

    transport: ServerTransport
    msgid: int
    request_id: str
    kind: str


class ServerTransport(SimulatedTransport):
    """A connection to a simulated server."""

    def __init__(self, protocol: RpcUpstreamConnection, server: SimulatedServer, capacity: int) -> None:
        super().__init__(protocol, capacity)
        self.server = server
        self.corrupted = False  # whether an incomplete response was sent on this connection
        self.unpacker = msgpack.Unpacker(raw=False)

    def write_begins(self) -> None:
        self.server.simulation.check(not self.server.drained, "new data written to a draining server")

    def delivered(self, data: bytes) -> None:
        self.unpacker.feed(data)
        for message in self.unpacker:
            self.server.accept(PendingRequest(self, message[1], message[3][0]["id"], message[2]))


@dataclass(eq=False)
class SimulatedServer:
    """A server behind the sidecar; `executed` is its execution log."""

    name: str
    simulation: Simulation
    up: bool = True
    drained: bool = False
    capacity: int = _UNLIMITED_BYTES  # kernel capacity in bytes for new connections
    pending: list[PendingRequest] = field(default_factory=list)
    transports: list[ServerTransport] = field(default_factory=list)
    executed: list[str] = field(default_factory=list)

    def accept(self, request: PendingRequest) -> None:
        """Record a complete request."""
        simulation = self.simulation
        simulation.attempts[request.request_id] += 1
        simulation.check(
            simulation.attempts[request.request_id] <= ATTEMPTS_MAX, "more attempts than allowed"
        )
        simulation.check(
            request.request_id not in simulation.completed_requests, "attempt sent for a completed request"
        )
        same_request = [
            pending
            for server in simulation.servers
            for pending in server.pending
            if pending.request_id == request.request_id
        ]
        simulation.check(
            not any(not pending.transport.closing for pending in same_request),
            "concurrent attempts of one request",
        )
        self.pending.append(request)

    def reply(self, index: int, reply_kind: str, piece_count: int) -> None:
        """Answer one of the pending requests."""
        if not self.pending:
            return
        request = self.pending.pop(index % len(self.pending))
        if reply_kind == "rejected":
            if not request.transport.corrupted:
                request.transport.receive(pack([1, request.msgid, REJECTED, None]), piece_count)
            return
        self.executed.append(request.request_id)
        answers = {
            "served": pack([1, request.msgid, None, {"body": request.request_id.encode()}]),
            "error": pack([1, request.msgid, [500, "no", {}], None]),
            "malformed": b"\xc1",
            "wrong type": pack([1, request.msgid, None, 7]),
            "twice": pack([1, request.msgid, None, request.request_id.encode()]) * 2,
            "incomplete": pack([1, request.msgid, None, {"body": request.request_id.encode()}])[:-3],
            "silent": b"",
        }
        if not request.transport.corrupted:
            request.transport.receive(answers[reply_kind], piece_count)
        # Bytes sent after an incomplete response would be parsed as its remainder, so nothing more is sent.
        request.transport.corrupted = request.transport.corrupted or reply_kind == "incomplete"

    def break_connection(self, index: int) -> None:
        """Break an open connection; requests pending on the connection may still be executed."""
        open_transports = [transport for transport in self.transports if not transport.closing]
        if open_transports:
            open_transports[index % len(open_transports)].abort()

    def finish(self) -> None:
        """Execute all pending requests: an unanswered request may have been executed."""
        self.executed += [request.request_id for request in self.pending]
        self.pending = []


class SimulatedClient(SimulatedTransport):
    """A client connection that records each response and checks that the response belongs to its call."""

    def __init__(self, simulation: Simulation, capacity: int = _UNLIMITED_BYTES) -> None:
        self.connection = RpcConnection(simulation.sidecar.listener.table, simulation.silent_socket)
        super().__init__(self.connection, capacity)
        self.simulation = simulation
        self.unpacker = msgpack.Unpacker(raw=False)
        self.calls: dict[int, str] = {}  # request id by message id
        self.errors: dict[int, Any] = {}  # by message id of each answered call; None on success

    def delivered(self, data: bytes) -> None:
        self.unpacker.feed(data)
        for message_type, msgid, error, result in self.unpacker:
            request_id = self.calls[msgid]
            self.simulation.check(
                message_type == 1 and msgid not in self.errors, "second final answer for a call"
            )
            self.simulation.check(
                error is not None or result["body"] == request_id.encode(), "answer belongs to another call"
            )
            self.errors[msgid] = error
            self.simulation.completed_requests.add(request_id)

    def call(self, kind: str, piece_count: int) -> None:
        """Send a call of class `kind`, split into `piece_count` pieces."""
        msgid = len(self.calls)
        request_id = f"{kind}-{self.simulation.next_request_id()}"
        self.calls[msgid] = request_id
        envelope: dict[str, Any] = {"id": request_id, "budget": TIMEOUT_S, "path": "/api/7f"}
        if kind == "amend":
            envelope["idempotency_key"] = request_id
        self.receive(pack([0, msgid, kind, [envelope, b"" if kind == "look" else b"body"]]), piece_count)

    def disconnect(self) -> None:
        """Close the connection."""
        self.simulation.completed_requests.update(
            request_id for msgid, request_id in self.calls.items() if msgid not in self.errors
        )
        self.closing = True
        self.connection.connection_lost(None)


class _SimulatedUpstreamClient(RpcUpstreamClient):
    """Connects to simulated servers."""

    simulation: Simulation

    async def _connect(self, connection: RpcUpstreamConnection) -> None:
        server = next(server for server in self.simulation.servers if server.name == connection.endpoint.name)
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
        connection.sock = self.simulation.silent_socket
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
        self.completed_requests: set[str] = set()  # answered, or the client has disconnected
        self.attempts: Counter[str] = Counter()
        self._last_request_number = 0
        self.silent_socket, self._peer_socket = socket.socketpair()  # stands in for every socket
        self.silent_socket.setblocking(False)
        self.servers = [SimulatedServer(f"n-{number}", self) for number in range(server_count)]
        self.clients: list[SimulatedClient] = []
        loop = asyncio.get_running_loop()

        def upstream_clients(
            settings: Settings, connection_limit: ConnectionLimit
        ) -> dict[str, UpstreamClient]:
            upstream_client = _SimulatedUpstreamClient(0.25, 15.0, connection_limit, (), sharing)
            upstream_client.simulation = self
            return {MSGPACK_RPC: upstream_client}

        classes = [SAFE, UNSAFE, KEYED]
        limits = {"max_attempts": ATTEMPTS_MAX, "hedging": False, "cancellation": True}
        lines = [
            DiscoveredServer(ServerDescription(server.name, "east", "m", 1), ("127.0.0.1", 9))
            for server in self.servers
        ]
        config = SidecarConfig(
            ("127.0.0.1", 0),
            ("127.0.0.1", 9),
            7,
            256,
            settings(classes=classes, limits=limits),
            EndpointList(1, True, lines),
        )
        components = Components(
            HttpConnection,
            RpcConnection,
            upstream_clients,
            lambda *_: _NoSource(),
            protocol_defaults=ProtocolDefaults(MSGPACK_RPC),
        )
        self.sidecar = Sidecar(config, components, Clock(lambda: int(loop.time() * 1e9)))
        self.sidecar.endpoint_watcher.start(poll_immediately=False)
        self._listener: Listener = self.sidecar.listener

    def check(self, condition: bool, violation: str) -> None:
        """Record a violation unless an invariant holds."""
        if not condition:
            self.violations.append(violation)

    def next_request_id(self) -> int:
        """Return a number that is unique in this simulation."""
        self._last_request_number += 1
        return self._last_request_number

    def client(self, index: int) -> SimulatedClient:
        """Return the connected client at `index`, or connect a new client if there is none."""
        connected = [client for client in self.clients if not client.closing and not client.half_closed]
        if index < len(connected):
            return connected[index]
        client = SimulatedClient(self)
        client.connection.connection_made(client)
        self.clients.append(client)
        return client

    def cancel_attempt(self, index: int) -> None:
        """Cancel an attempt of a request in progress, as the balancer does when a server does not respond."""
        cancellable_requests = [
            request
            for request in self.sidecar._requests.live.values()
            if request.attempts and not request.answered
        ]
        cancellable_requests = [
            request for request in cancellable_requests if request.call.request_class.name != "pay"
        ]
        if cancellable_requests:
            request = cancellable_requests[index % len(cancellable_requests)]
            self.sidecar._balancer.retries.budget = 5.0  # enough for the attempt to be retried
            self.sidecar._requests._cancel(CancelAttempt(request.number, next(iter(request.attempts))))

    def drain(self, server: SimulatedServer) -> None:
        """Publish an endpoint list in which the server is draining."""
        server.drained = True
        description = ServerDescription(server.name, "east", "m", 1, ServerState.DRAINING)
        self.sidecar.endpoint_watcher.receive(
            EndpointList(2, False, [DiscoveredServer(description, ("127.0.0.1", 9))])
        )

    async def settle(self) -> None:
        """Wait until every request must have completed, and check the invariants."""
        await asyncio.sleep(0.01)
        for server in self.servers:
            for transport in list(server.transports):
                transport.add_capacity(_UNLIMITED_BYTES)  # flushes all queued writes
        await asyncio.sleep(TIMEOUT_S + 0.5)
        for client in self.clients:
            if not client.closing:
                unanswered = set(client.calls) - set(client.errors)
                self.check(
                    not unanswered, f"no answer in time: {[client.calls[msgid] for msgid in unanswered]}"
                )
        for server in self.servers:
            server.finish()
        executed = Counter(request_id for server in self.servers for request_id in server.executed)
        twice = [
            request_id for request_id, count in executed.items() if count > 1 and request_id.startswith("pay")
        ]
        self.check(not twice, f"executed twice: {twice}")
        self.check(not self.sidecar._requests.live, "request remains in the table after completion")

    def close(self) -> None:
        """Close all sockets."""
        self._listener._sock.close()
        self.silent_socket.close()
        self._peer_socket.close()
