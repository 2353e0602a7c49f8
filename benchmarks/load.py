"""Load for benchmarks: backends that answer at once, a bare forwarder, and clients in a closed loop.

Written for speed, on bare asyncio protocols, so that the program under test is what is busy, not the load.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
from collections import Counter
from typing import Any

import msgpack

from testbed.wire import HTTP, Address

BODY = b"x" * 200
RECONNECT_S = 0.05  # after a connection was lost
_PACK = msgpack.Packer(use_bin_type=True, autoreset=True).pack
_HTTP_OK = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
CLASSES = ("look",) * 7 + ("pay",) * 2 + ("amend",)  # by their weights
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


class HttpBackend(asyncio.Protocol):
    """Answers each HTTP request at once."""

    def connection_made(self, transport: Any) -> None:
        """Begin with a new connection."""
        self.transport = transport
        self.data = b""

    def data_received(self, data: bytes) -> None:
        """Take what was received."""
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            head = self.data[:end].lower()
            at = head.find(b"content-length:")
            length = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            if len(self.data) < end + 4 + length:
                return
            self.data = self.data[end + 4 + length :]
            self.transport.write(_HTTP_OK)


class RpcBackend(asyncio.Protocol):
    """Answers each MessagePack-RPC request at once."""

    def connection_made(self, transport: Any) -> None:
        """Begin with a new connection."""
        self.transport = transport
        self.unpacker = msgpack.Unpacker(raw=True)

    def data_received(self, data: bytes) -> None:
        """Take what was received."""
        self.unpacker.feed(data)
        self.transport.write(
            b"".join(_PACK([1, message[1], None, {"body": BODY}]) for message in self.unpacker)
        )


class BareForwarder(asyncio.Protocol):
    """Forwards bytes between a client's connection and one to a backend: the lower bound of a forwarder's cost."""

    def __init__(self, backend: Address) -> None:
        self.backend = backend
        self.upstream: Any = None
        self.unsent = b""

    def connection_made(self, transport: Any) -> None:
        """Begin with a new connection."""
        self.transport = transport
        self.connecting = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        backward = _BackwardForwarder(self.transport)
        self.upstream, _ = await asyncio.get_running_loop().create_connection(lambda: backward, *self.backend)
        self.upstream.write(self.unsent)

    def data_received(self, data: bytes) -> None:
        """Take what was received."""
        if self.upstream is None:
            self.unsent += data
        else:
            self.upstream.write(data)


class _BackwardForwarder(asyncio.Protocol):
    def __init__(self, client: Any) -> None:
        self.client = client

    def data_received(self, data: bytes) -> None:
        """Take what was received."""
        self.client.write(data)


class Load:
    """Clients of one protocol, each with some requests in flight at any time; counts the responses."""

    def __init__(
        self, protocol: str, target: Address, connections: int, in_flight: int, seed: int = 1
    ) -> None:
        """`in_flight`: requests on each connection; 1 for HTTP."""
        self.protocol = protocol
        self.target = target
        self.connections = connections
        self.in_flight = in_flight
        self.statuses: Counter[int] = Counter()  # responses by status; 0: the connection was lost
        self.running = True
        self.random = random.Random(seed)
        self.request_numbers = itertools.count()
        self.prefix = f"{os.getpid():x}-{seed}-"

    async def start(self) -> None:
        """Open all connections and send the first requests."""
        for _ in range(self.connections):
            await self.connect()

    async def connect(self) -> None:
        """Open one connection and send its first requests."""
        await asyncio.get_running_loop().create_connection(self._new_client, *self.target)

    def _new_client(self) -> asyncio.Protocol:
        return _HttpClient(self) if self.protocol == HTTP else _RpcClient(self)

    def http(self) -> bytes:
        """Return an HTTP request of a class by chance."""
        request_class, request_id = self.random.choice(CLASSES), f"{self.prefix}{next(self.request_numbers)}"
        path = f"/api/{self.random.getrandbits(64):016x}"
        head = (
            f"Host: a\r\nX-Call-Id: {request_id}\r\nX-Call-Class: {request_class}\r\n"
            "X-Caller: acme\r\nX-Budget: 2.000\r\n"
        )
        if request_class == "look":
            return f"GET {path} HTTP/1.1\r\n{head}\r\n".encode()
        if request_class == "amend":
            head += f"Idempotency-Key: {request_id}\r\n"
        return f"POST {path} HTTP/1.1\r\n{head}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY

    def rpc(self, msgid: int) -> bytes:
        """Return a MessagePack-RPC request of a class by chance."""
        request_class, request_id = self.random.choice(CLASSES), f"{self.prefix}{next(self.request_numbers)}"
        path = f"/api/{self.random.getrandbits(64):016x}"
        envelope = {"id": request_id, "budget": 2.0, "path": path, "tenant": "acme"}
        if request_class == "amend":
            envelope["idempotency_key"] = request_id
        return bytes(_PACK([0, msgid, request_class, [envelope, b"" if request_class == "look" else BODY]]))


class _HttpClient(asyncio.Protocol):
    def __init__(self, load: Load) -> None:
        self.load = load

    def connection_made(self, transport: Any) -> None:
        """Begin with a new connection."""
        self.transport = transport
        self.data = b""
        transport.write(self.load.http())

    def data_received(self, data: bytes) -> None:
        """Take what was received."""
        self.data += data
        end = self.data.find(b"\r\n\r\n")
        if end < 0:
            return
        length = int(self.data[:end].lower().partition(b"content-length:")[2].split(b"\r\n", 1)[0])
        if len(self.data) < end + 4 + length:
            return
        self.load.statuses[int(self.data[9:12])] += 1
        self.data = b""
        if self.load.running:
            self.transport.write(self.load.http())

    def connection_lost(self, exc: Exception | None) -> None:
        """Connect again, unless the load is over."""
        if self.load.running:
            self.load.statuses[0] += 1
            asyncio.get_running_loop().create_task(_reconnect(self.load))


class _RpcClient(asyncio.Protocol):
    def __init__(self, load: Load) -> None:
        self.load = load

    def connection_made(self, transport: Any) -> None:
        """Begin with a new connection."""
        self.transport = transport
        self.unpacker = msgpack.Unpacker(raw=True)
        self.msgids = itertools.count()
        transport.write(b"".join(self.load.rpc(next(self.msgids)) for _ in range(self.load.in_flight)))

    def data_received(self, data: bytes) -> None:
        """Take what was received."""
        self.unpacker.feed(data)
        answered = 0
        for _, _, error, _ in self.unpacker:
            self.load.statuses[200 if error is None else error[0]] += 1
            answered += 1
        if self.load.running:
            self.transport.write(b"".join(self.load.rpc(next(self.msgids)) for _ in range(answered)))

    def connection_lost(self, exc: Exception | None) -> None:
        """Connect again, unless the load is over."""
        if self.load.running:
            self.load.statuses[0] += 1
            asyncio.get_running_loop().create_task(_reconnect(self.load))


async def _reconnect(load: Load) -> None:
    await asyncio.sleep(RECONNECT_S)
    await load.connect()
