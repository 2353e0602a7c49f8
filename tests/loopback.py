"""A sidecar over loopback sockets with scripted servers, scripted discovery and clients, in any pair of protocols.

Tests give requests and responses in HTTP's terms; the pair of protocols that the test runs under (conftest.py) decides
what goes over the sockets.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from dataclasses import dataclass
from typing import Any

import msgpack
from helpers import KEYED, SAFE, UNSAFE, S, settings

from testbed.wire import (
    HTTP,
    MSGPACK_RPC,
    Message,
    Reply,
    TcpServer,
    pack,
    read_http,
    read_rpc,
    reset_connection,
)
from topazbank.core.components import SidecarConfig
from topazbank.core.net import Address
from topazbank.core.sidecar import Sidecar
from topazbank.discovery.list_format import parse_list
from topazbank.operator_config import DiscoveryConfig, MsgpackRpcConfig, OperatorConfig
from topazbank.wiring import build_components

PATIENCE_S = 20.0  # for what must come; no test proves anything by it

Head = dict[str, str]


def play(scenario: Coroutine[Any, Any, None]) -> None:
    """Run an asynchronous test, for a minute at most."""

    async def bounded() -> None:
        async with asyncio.timeout(60.0):
            await scenario

    asyncio.run(bounded())


async def until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds, PATIENCE_S at most."""
    async with asyncio.timeout(PATIENCE_S):
        while not condition():
            await asyncio.sleep(0.005)


@dataclass(frozen=True, slots=True)
class Pair:
    """The protocols of clients and of servers."""

    client: str = HTTP
    nodes: str = HTTP

    def __str__(self) -> str:
        return f"{self.client}>{self.nodes}"


PAIRS = [Pair(client, nodes) for client in (HTTP, MSGPACK_RPC) for nodes in (HTTP, MSGPACK_RPC)]
_pair = [Pair()]  # of the test that is running


def use(pair: Pair) -> None:
    """Set the pair of the test that begins."""
    _pair[0] = pair


def pair() -> Pair:
    """The pair of the running test."""
    return _pair[0]


class ScriptedResponse(bytes):
    """A server's response: its bytes over HTTP, and what those over MessagePack-RPC are made of."""

    reply: Reply


class ScriptedRequest(bytes):
    """A client's request: its bytes over HTTP, and what those over MessagePack-RPC are made of."""

    method: str
    params: list[Any]


def answer(status: int = 200, body: bytes = b"done", **headers: str) -> ScriptedResponse:
    reply = Reply(status, body, {name.replace("_", "-"): value for name, value in headers.items()})
    response = ScriptedResponse(reply.http())
    response.reply = reply
    return response


class FakeServer(TcpServer):
    """A server that answers with what `script` returns: None is silence, b"" a reset."""

    def __init__(self, name: str, script: Callable[[str, Head, bytes], bytes | None]) -> None:
        self.name = name
        self.script = script
        self.protocol = pair().nodes
        self.requests: list[tuple[str, Head, bytes]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.closed = 0  # connections that the other side closed
        self.msgids: list[tuple[asyncio.StreamWriter, int]] = []  # of MessagePack-RPC requests, in order

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        unpacker = msgpack.Unpacker(raw=False)
        try:
            while True:
                if self.protocol == HTTP:
                    if self._answer_one(await read_http(reader), writer):
                        return
                    continue
                data = await reader.read(65536)
                if not data:
                    raise ConnectionResetError
                unpacker.feed(data)
                for message in unpacker:
                    if self._answer_one(read_rpc(message), writer):
                        return
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        except asyncio.CancelledError:
            pass  # the test is over
        finally:
            writer.close()

    def _answer_one(self, asked: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection ends with that."""
        self.requests.append((asked.start_line, asked.headers, asked.body))
        if asked.msgid is not None:
            self.msgids.append((writer, asked.msgid))
        reply = self.script(asked.start_line, asked.headers, asked.body)
        if reply == b"":
            reset_connection(writer)
        elif reply is not None:
            writer.write(encoded(reply, asked.msgid))
            return b"Connection: close" in reply
        return False

    def answer_held(self, reply: bytes) -> None:
        """Answer the requests that were not answered so far, on connections that are still open."""
        if self.protocol == HTTP:
            for writer in self.writers:
                if not writer.is_closing():
                    writer.write(reply)
        for writer, msgid in self.msgids:
            if not writer.is_closing():
                writer.write(encoded(reply, msgid))

    def stop(self) -> None:
        """Stop at once: no new connections, and those that are open are reset."""
        super().stop()
        for writer in self.writers:
            reset_connection(writer)

    def entry(self, **changes: Any) -> dict[str, Any]:
        address = f"{self.address[0]}:{self.address[1]}"
        entry: dict[str, Any] = {
            "name": self.name,
            "address": address,
            "zone": "east",
            "type": "m",
            "group": 1,
        }
        if self.protocol != HTTP:
            entry["protocol"] = self.protocol
        return entry | {"status": "active", "weight": 1.0, "since_ms": 0} | changes


class FakeDiscovery(TcpServer):
    """Answers each call with the next of `answers`; while there is none the call waits."""

    def __init__(self) -> None:
        self.targets: list[str] = []
        self.answers: asyncio.Queue[bytes] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []  # of each call
        self.called_after_s: list[float] = []  # from each answer to the next call
        self._answered_at: float | None = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            first = (await read_http(reader)).start_line
            if self._answered_at is not None:
                self.called_after_s.append(loop.time() - self._answered_at)
            self.writers.append(writer)
            self.targets.append(first.split(" ")[1])
            writer.write(await self.answers.get())
            await writer.drain()
            self._answered_at = loop.time()
        writer.close()

    def called(self, times: int) -> bool:
        """Whether it was called at least so often."""
        return len(self.targets) >= times

    def say(self, index: int, entries: list[Any], snapshot: bool = False) -> None:
        """Answer the next call with a list."""
        update = {"index": index, "snapshot": snapshot, "endpoints": entries}
        self.answers.put_nowait(answer(200, json.dumps(update).encode()))


@contextlib.contextmanager
def full_listener() -> Iterator[tuple[socket.socket, list[socket.socket]]]:
    """A listener whose queue is full, and the sockets that fill it: others connect only once those are accepted."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    fillers = [socket.socket() for _ in range(8)]
    for each in fillers:
        each.setblocking(False)
        each.connect_ex(listener.getsockname())
    try:
        yield listener, fillers
    finally:
        for each in (*fillers, listener):
            each.close()


async def received_at(listener: socket.socket, fillers: list[socket.socket], seconds: float = 3.0) -> bytes:
    """Let connects to a full listener succeed; return what is written on them in this time.

    The kernel tries to connect again after one second, and after two more.
    """
    received = bytearray()
    listener.settimeout(0.0)
    for filler in fillers:
        filler.close()
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    accepted: list[socket.socket] = []
    while loop.time() < end_at:
        with contextlib.suppress(BlockingIOError):
            accepted.append(listener.accept()[0])
        for sock in accepted:
            sock.settimeout(0.0)
            with contextlib.suppress(OSError):
                received += sock.recv(65536)
        await asyncio.sleep(0.01)
    for sock in accepted:
        sock.close()
    return bytes(received)


@contextlib.contextmanager
def unconnectable() -> Iterator[Address]:
    """An address at which connections never succeed."""
    with full_listener() as (listener, _):
        yield listener.getsockname()[:2]


class World:
    """A sidecar in this process, with scripted servers and discovery."""

    def __init__(self, sidecar: Sidecar, servers: list[FakeServer], discovery: FakeDiscovery) -> None:
        self.sidecar = sidecar
        self.servers = servers
        self.discovery = discovery
        self.stop = asyncio.Event()

    def sent(self) -> list[tuple[str, Head, bytes]]:
        """All requests that came to servers, by server."""
        return [request for server in self.servers for request in server.requests]

    async def ask(self, **changes: Any) -> tuple[int, Head, bytes]:
        """Send a request on a connection of its own; return status, headers and body of the answer."""
        return await ask(self.sidecar.listener.address, request(**changes))


# Those of the balancer's tests, with deadlines for a slow machine.
CLASSES = [each | {"deadline_us": 600 * S} for each in (SAFE, UNSAFE, KEYED)]
LIMITS = {"max_attempts": 3, "hedging": False, "cancellation": True}


@contextlib.asynccontextmanager
async def world(
    *scripts: Callable[[str, Head, bytes], bytes | None],
    sockets: int = 256,
    membership: DiscoveryConfig | None = None,
    **changes: Any,
) -> AsyncIterator[World]:
    """A sidecar with one server for each script; by another discovery than the registry none is known at first."""
    servers = [FakeServer(f"s-{number}", script) for number, script in enumerate(scripts)]
    discovery = FakeDiscovery()
    for server in servers:
        await server.start()
    await discovery.start()
    sidecar_settings = settings(**{"classes": CLASSES, "limits": LIMITS, **changes})
    entries = [each.entry() for each in servers] if membership is None else []
    known = parse_list({"index": 41, "snapshot": True, "endpoints": entries})
    config = SidecarConfig(("127.0.0.1", 0), discovery.address, 7, sockets, sidecar_settings, known)
    operator = OperatorConfig(
        MsgpackRpcConfig(accepts_clients=True, calls_servers=True),
        discovery=membership or DiscoveryConfig(),
        status_page_enabled=True,
    )
    running_world = World(Sidecar(config, build_components(operator)), servers, discovery)
    running = asyncio.create_task(running_world.sidecar.run(running_world.stop))
    await until(lambda: running_world.sidecar._balancer._started)
    try:
        yield running_world
        broken = {
            name: count
            for name, count in running_world.sidecar.counters.as_mapping()["violations"].items()
            if count
        }
        assert not broken, f"violations at run time: {broken}"
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        for server in servers:
            server.stop()
        discovery.stop()


def request(
    kind: str = "look",
    path: str = "/api/7f3a9c21e0b4d655",
    body: bytes = b"",
    budget: str = "5.0",
    method: str | None = None,
    **headers: str | None,
) -> ScriptedRequest:
    """A request; a header given as None is left out."""
    given: dict[str, str | None] = {
        "Host": "app.svc",
        "X-Call-Id": "9b1f03aa5c7e2d41",
        "X-Call-Class": kind,
        "X-Budget": budget,
        "Idempotency-Key": "5c0f6e1a" if kind == "amend" else None,
        "Content-Length": str(len(body)),
    }
    given |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{name}: {value}" for name, value in given.items() if value is not None]
    verb = method or ("GET" if kind == "look" else "POST")
    made = ScriptedRequest("\r\n".join([f"{verb} {path} HTTP/1.1", *lines, "", ""]).encode() + body)
    made.method, made.params = _as_rpc(kind, path, body, given)
    return made


_FIELDS = {
    "X-Call-Id": "id",
    "X-Budget": "budget",
    "X-Caller": "tenant",
    "Idempotency-Key": "idempotency_key",
    "X-Call-Cost": "cost_us",
    "X-Again": "again",
}


def _as_rpc(kind: str, path: str, body: bytes, given: dict[str, str | None]) -> tuple[str, list[Any]]:
    """The method and the params that say the same."""
    if path == "/health/ready":
        return "health.ready", []
    envelope: dict[str, Any] = {"path": path}
    for header, name in _FIELDS.items():
        value = given.get(header)
        if value is not None:
            envelope[name] = _plain(name, value)
    return given["X-Call-Class"] or "", [envelope, body]


def _plain(name: str, value: str) -> object:
    """Numbers and flags as such, where they are; what is junk stays a text."""
    if name == "again":
        return value == "1"
    if name in ("budget", "cost_us"):
        with contextlib.suppress(ValueError):
            return float(value) if name == "budget" else int(value)
    return value


def encoded(reply: bytes, msgid: int | None) -> bytes:
    """A scripted answer as it goes to whoever asked; raw bytes go as they are."""
    return (
        reply.reply.rpc(msgid) if msgid is not None and isinstance(reply, ScriptedResponse) else bytes(reply)
    )


class Client:
    """One connection of a client, in the pair's protocol."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.protocol = pair().client
        self._unpacker = msgpack.Unpacker(raw=False)
        self._msgid = 0

    def send(self, data: bytes) -> None:
        if self.protocol == MSGPACK_RPC and isinstance(data, ScriptedRequest):
            self._msgid += 1
            data = pack([0, self._msgid, data.method, data.params])
        self.writer.write(data)

    async def answer(self) -> tuple[int, Head, bytes]:
        """The next answer: status, headers, body."""
        if self.protocol == HTTP:
            return await read_answer(self.reader)
        async with asyncio.timeout(PATIENCE_S):
            while True:
                for message in self._unpacker:
                    return _as_http(message)
                data = await self.reader.read(65536)
                if not data:
                    raise ConnectionResetError
                self._unpacker.feed(data)

    async def is_closed(self) -> bool:
        return await is_closed(self.reader)

    def close(self) -> None:
        self.writer.close()


def _as_http(message: Any) -> tuple[int, Head, bytes]:
    kind, _, error, result = message
    assert kind == 1
    if error is None:
        return 200, {"content-type": result["type"]} if "type" in result else {}, result.get("body", b"")
    code, text, info = error
    headers = {"retry-after": str(info["retry_after"])} if "retry_after" in info else {}
    return code, headers, text.encode()


async def client(address: Address) -> Client:
    return Client(*await asyncio.open_connection(*address))


async def ask(address: Address, data: bytes) -> tuple[int, Head, bytes]:
    """Ask on a connection of its own; give status, headers and body of the answer."""
    one = await client(address)
    try:
        one.send(data)
        return await one.answer()
    finally:
        one.close()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, Head, bytes]:
    """An HTTP answer."""
    got = await asyncio.wait_for(read_http(reader), PATIENCE_S)
    return int(got.start_line.split(" ")[1]), got.headers, got.body


async def is_closed(reader: asyncio.StreamReader) -> bool:
    """Wait for the other side to end the connection."""
    try:
        return await asyncio.wait_for(reader.read(1), PATIENCE_S) == b""
    except ConnectionError:
        return True
