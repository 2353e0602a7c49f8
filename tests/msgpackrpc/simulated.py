"""A sidecar on played sockets and played time: whole failures run in milliseconds, and one seed replays each.

Clients and nodes speak MessagePack-RPC by bytes; a node logs what ran, and the rules are judged by that log and by
what each client got.
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
from topazbank.msgpackrpc.client import RpcNodeConnection, RpcUpstreamClient, Sharing
from topazbank.msgpackrpc.server import RpcConnection

ATTEMPTS_MOST = 3
BUDGET_S = 1.5
_NO_END = 10**9
REJECTED = [503, "full", {"rejected": True}]


class PlayedLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer as soon as nothing else is left to do."""

    def __init__(self) -> None:
        self._at = 1000.0
        super().__init__()

    def time(self) -> float:
        return self._at

    def _run_once(self) -> None:
        timers = self._scheduled  # type: ignore[attr-defined]
        while timers and timers[0].cancelled():  # else the wait for the next one would be a real one
            heapq.heappop(timers)._scheduled = False
            self._timer_cancelled_count -= 1  # type: ignore[attr-defined]
        if not self._ready and timers:  # type: ignore[attr-defined]
            self._at = max(self._at, timers[0].when())
        super()._run_once()  # type: ignore[misc]


class Wire(asyncio.Transport):
    """One played connection: the sidecar's end, with a kernel that takes what it has room for."""

    def __init__(self, protocol: Any, room: int = _NO_END) -> None:
        super().__init__()
        self.protocol = protocol
        self.room = room
        self.held = b""
        self.pending_in = b""  # what the other side has said and the sidecar has not read
        self.reading = True
        self.closing = False
        self.ended = False  # whether the sidecar has ended its sending

    def took(self, data: bytes) -> None:
        """The other side has these bytes now."""
        raise NotImplementedError

    def begins(self) -> None:
        """The sidecar begins to write something."""

    def write(self, data: Any) -> None:
        if not self.closing:
            self.begins()
            self.held += bytes(data)
            self._move()
            if self.held:
                self._tell("pause_writing")

    def _move(self) -> None:
        moved, self.held = self.held[: self.room], self.held[self.room :]
        self.room -= len(moved)
        if moved:
            self.took(moved)

    def give_room(self, room: int) -> None:
        self.room += room
        had = bool(self.held)
        self._move()
        if had and not self.held and not self.closing:
            self._tell("resume_writing")

    def _tell(self, what: str) -> None:
        getattr(self.protocol, what)()

    def say(self, data: bytes, pieces: int) -> None:
        """The other side says something, and the sidecar reads it in so many pieces."""
        self.pending_in += data
        size = max(len(self.pending_in) // pieces, 1)
        while self.pending_in and self.reading and not self.closing:
            piece, self.pending_in = self.pending_in[:size], self.pending_in[size:]
            self.protocol.data_received(piece)

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        if not self.reading:
            self.reading = True
            asyncio.get_running_loop().call_soon(self.say, b"", 1)

    def is_reading(self) -> bool:
        return self.reading

    def get_write_buffer_size(self) -> int:
        return len(self.held)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def is_closing(self) -> bool:
        return self.closing

    def write_eof(self) -> None:
        self.ended = True

    def abort(self) -> None:
        if not self.closing:
            self.closing = True
            self.held = b""
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    close = abort


@dataclass(slots=True, eq=False)
class Held:
    """A request that a node has and has not answered."""

    wire: NodeWire
    msgid: int
    ident: str
    kind: str


class NodeWire(Wire):
    def __init__(self, protocol: RpcNodeConnection, node: Node, room: int) -> None:
        super().__init__(protocol, room)
        self.node = node
        self.garbled = False
        self.unpacker = msgpack.Unpacker(raw=False)

    def begins(self) -> None:
        self.node.world.check(not self.node.drained, "something new went to a node that was told to drain")

    def took(self, data: bytes) -> None:
        self.unpacker.feed(data)
        for message in self.unpacker:
            self.node.takes(Held(self, message[1], message[3][0]["id"], message[2]))


@dataclass(eq=False)
class Node:
    """A played node; `ran` is its log."""

    name: str
    world: Played
    up: bool = True
    drained: bool = False
    room: int = _NO_END  # of the kernel, for new connections
    held: list[Held] = field(default_factory=list)
    wires: list[NodeWire] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)

    def takes(self, held: Held) -> None:
        world = self.world
        world.arrived[held.ident] += 1
        world.check(world.arrived[held.ident] <= ATTEMPTS_MOST, "more attempts than allowed")
        world.check(held.ident not in world.over, "sent for a request that is over")
        out = [each for node in world.nodes for each in node.held if each.ident == held.ident]
        world.check(not any(not each.wire.closing for each in out), "two attempts at once")
        self.held.append(held)

    def reply(self, index: int, how: str, pieces: int) -> None:
        """Answer one of those held."""
        if not self.held:
            return
        held = self.held.pop(index % len(self.held))
        if how == "rejected":
            if not held.wire.garbled:
                held.wire.say(pack([1, held.msgid, REJECTED, None]), pieces)
            return
        self.ran.append(held.ident)
        answers = {
            "served": pack([1, held.msgid, None, {"body": held.ident.encode()}]),
            "error": pack([1, held.msgid, [500, "no", {}], None]),
            "spoilt": b"\xc1",
            "wrong": pack([1, held.msgid, None, 7]),
            "twice": pack([1, held.msgid, None, held.ident.encode()]) * 2,
            "half": pack([1, held.msgid, None, {"body": held.ident.encode()}])[:-3],
            "silent": b"",
        }
        if not held.wire.garbled:
            held.wire.say(answers[how], pieces)
        # What came behind half a response would be read as its end: no reader could tell.
        held.wire.garbled = held.wire.garbled or how == "half"

    def cut(self, index: int) -> None:
        """Break one of its connections; what it holds of it may run on."""
        open_ = [each for each in self.wires if not each.closing]
        if open_:
            open_[index % len(open_)].abort()

    def finish(self) -> None:
        """Whatever was held and never answered may have run."""
        self.ran += [each.ident for each in self.held]
        self.held = []


class ClientWire(Wire):
    """A client's connection: it notes each response and checks that it is its call's own."""

    def __init__(self, world: Played, room: int = _NO_END) -> None:
        self.connection = RpcConnection(world.sidecar.listener.table, world.quiet)
        super().__init__(self.connection, room)
        self.world = world
        self.unpacker = msgpack.Unpacker(raw=False)
        self.calls: dict[int, str] = {}  # ident by message id
        self.got: dict[int, Any] = {}

    def took(self, data: bytes) -> None:
        self.unpacker.feed(data)
        for kind, msgid, error, result in self.unpacker:
            ident = self.calls[msgid]
            self.world.check(kind == 1 and msgid not in self.got, "a second final answer")
            self.world.check(error is not None or result["body"] == ident.encode(), "another call's answer")
            self.got[msgid] = error
            self.world.over.add(ident)

    def call(self, kind: str, pieces: int) -> None:
        msgid = len(self.calls)
        ident = f"{kind}-{self.world.next_ident()}"
        self.calls[msgid] = ident
        envelope: dict[str, Any] = {"id": ident, "budget": BUDGET_S, "path": "/api/7f"}
        if kind == "amend":
            envelope["idempotency_key"] = ident
        self.say(pack([0, msgid, kind, [envelope, b"" if kind == "look" else b"body"]]), pieces)

    def leave(self) -> None:
        self.world.over.update(ident for msgid, ident in self.calls.items() if msgid not in self.got)
        self.closing = True
        self.connection.connection_lost(None)


class _PlayedCarrier(RpcUpstreamClient):
    """Dials played nodes."""

    world: Played

    async def _dial(self, connection: RpcNodeConnection) -> None:
        node = next(each for each in self.world.nodes if each.name == connection.endpoint.name)
        try:
            await asyncio.sleep(0.001)
        except asyncio.CancelledError:
            connection.free_slot()
            raise
        if not node.up:
            connection.dial = None
            connection.end(Outcome.CONNECT_FAILED)
            connection.free_slot()
            return
        connection.sock = self.world.quiet
        wire = NodeWire(connection, node, node.room)
        node.wires.append(wire)
        connection.connection_made(wire)


class _NoSource:
    def watch(self, wanted: bool) -> None: ...

    def fetch(self) -> None: ...

    def move(self, address: Address) -> None: ...

    def stop(self) -> None: ...

    def status(self) -> tuple[SourceStatus, ...]:
        return ()

    def source_of(self, name: str) -> str:
        return "played"


class Played:
    """One sidecar with its nodes and clients."""

    def __init__(self, nodes: int, sharing: Sharing) -> None:
        self.broken: list[str] = []
        self.over: set[str] = set()  # requests that have their answer, or whose client has left
        self.arrived: Counter[str] = Counter()
        self._idents = 0
        self.quiet, self._other = socket.socketpair()
        self.quiet.setblocking(False)
        self.nodes = [Node(f"n-{number}", self) for number in range(nodes)]
        self.clients: list[ClientWire] = []
        loop = asyncio.get_running_loop()

        def carriers(given: Settings, slots: ConnectionLimit) -> dict[str, UpstreamClient]:
            carrier = _PlayedCarrier(0.25, 15.0, slots, (), sharing)
            carrier.world = self
            return {MSGPACK_RPC: carrier}

        classes = [SAFE, UNSAFE, KEYED]
        limits = {"max_attempts": ATTEMPTS_MOST, "hedging": False, "cancellation": True}
        lines = [
            DiscoveredServer(ServerDescription(each.name, "east", "m", 1), ("127.0.0.1", 9))
            for each in self.nodes
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
            carriers,
            lambda *_: _NoSource(),
            protocol_defaults=ProtocolDefaults(MSGPACK_RPC),
        )
        self.sidecar = Sidecar(config, wiring, Clock(lambda: int(loop.time() * 1e9)))
        self.sidecar.endpoint_watcher.start(at_once=False)
        self._listener: Listener = self.sidecar.listener

    def check(self, kept: bool, rule: str) -> None:
        if not kept:
            self.broken.append(rule)

    def next_ident(self) -> int:
        self._idents += 1
        return self._idents

    def client(self, index: int) -> ClientWire:
        """One of the clients that are connected; a new one beyond them."""
        here = [each for each in self.clients if not each.closing and not each.ended]
        if index < len(here):
            return here[index]
        made = ClientWire(self)
        made.connection.connection_made(made)
        self.clients.append(made)
        return made

    def give_up(self, index: int) -> None:
        """Stop waiting for an attempt of a request that is open, as the decision module does with a silent one."""
        lives = [live for live in self.sidecar._requests.live.values() if live.attempts and not live.answered]
        lives = [live for live in lives if live.call.request_class.name != "pay"]
        if lives:
            live = lives[index % len(lives)]
            self.sidecar._balancer.retries.budget = 5.0  # so that its end draws again
            self.sidecar._requests._cancel(CancelAttempt(live.number, next(iter(live.attempts))))

    def drain(self, node: Node) -> None:
        node.drained = True
        server = ServerDescription(node.name, "east", "m", 1, ServerState.DRAINING)
        self.sidecar.endpoint_watcher.receive(
            EndpointList(2, False, [DiscoveredServer(server, ("127.0.0.1", 9))])
        )

    async def settle(self) -> None:
        """Let all time pass that anything may take, and judge."""
        await asyncio.sleep(0.01)
        for node in self.nodes:
            for wire in list(node.wires):
                wire.give_room(_NO_END)  # what still waits somewhere comes out now
        await asyncio.sleep(BUDGET_S + 0.5)
        for each in self.clients:
            if not each.closing:
                unanswered = set(each.calls) - set(each.got)
                self.check(not unanswered, f"no answer in time: {[each.calls[one] for one in unanswered]}")
        for node in self.nodes:
            node.finish()
        ran = Counter(ident for node in self.nodes for ident in node.ran)
        twice = [ident for ident, count in ran.items() if count > 1 and ident.startswith("pay")]
        self.check(not twice, f"run twice: {twice}")
        self.check(not self.sidecar._requests.live, "a request is kept after its end")

    def close(self) -> None:
        self._listener._sock.close()
        self.quiet.close()
        self._other.close()
