"""Load for benchmarks: nodes that answer at once, a bare forwarder, and clients in a closed loop.

Written for speed, on bare asyncio protocols, so that the program under test and not the rig is what is busy.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgpack

from testbed.wire import HTTP, Address

BODY = b"x" * 200
_PACK = msgpack.Packer(use_bin_type=True, autoreset=True).pack
_HTTP_OK = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
CLASSES = ("look",) * 7 + ("pay",) * 2 + ("amend",)  # seven checks to two lodges and an amend
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """CPU that a process has used, seconds, by the kernel's account."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


class HttpNode(asyncio.Protocol):
    """Answers each HTTP request at once."""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.data = b""

    def data_received(self, data: bytes) -> None:
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            head = self.data[:end].lower()
            at = head.find(b"content-length:")
            length = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            if len(self.data) < end + 4 + length:
                return
            self.data = self.data[end + 4 + length :]
            self.transport.write(_HTTP_OK)


class RpcNode(asyncio.Protocol):
    """Answers each MessagePack-RPC request at once."""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.unpacker = msgpack.Unpacker(raw=True)

    def data_received(self, data: bytes) -> None:
        self.unpacker.feed(data)
        self.transport.write(b"".join(_PACK([1, each[1], None, {"body": BODY}]) for each in self.unpacker))


class Bare(asyncio.Protocol):
    """Forwards bytes between a client's connection and one to a node: the least that a forwarder can cost."""

    def __init__(self, node: Address) -> None:
        self.node = node
        self.other: Any = None
        self.waiting = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.dial = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        back = _Back(self.transport)
        self.other, _ = await asyncio.get_running_loop().create_connection(lambda: back, *self.node)
        self.other.write(self.waiting)

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.waiting += data
        else:
            self.other.write(data)


class _Back(asyncio.Protocol):
    def __init__(self, client: Any) -> None:
        self.client = client

    def data_received(self, data: bytes) -> None:
        self.client.write(data)


class Load:
    """Clients of one protocol, each with some requests out at any time; counts what they get."""

    def __init__(self, protocol: str, target: Address, connections: int, out: int, seed: int = 1) -> None:
        self.protocol = protocol
        self.target = target
        self.connections = connections
        self.out = out  # requests out on one connection: 1 for HTTP
        self.got: Counter[int] = Counter()  # by status
        self.running = True
        self.random = random.Random(seed)
        self.idents = itertools.count()
        self.prefix = f"{os.getpid():x}-{seed}-"

    async def start(self) -> None:
        make: Callable[[], asyncio.Protocol] = lambda: (  # noqa: E731
            _HttpClient(self) if self.protocol == HTTP else _RpcClient(self)
        )
        for _ in range(self.connections):
            await asyncio.get_running_loop().create_connection(make, *self.target)

    def http(self) -> bytes:
        kind, ident = self.random.choice(CLASSES), f"{self.prefix}{next(self.idents)}"
        path = f"/api/{self.random.getrandbits(64):016x}"
        head = (
            f"Host: a\r\nX-Call-Id: {ident}\r\nX-Call-Class: {kind}\r\nX-Caller: acme\r\nX-Budget: 2.000\r\n"
        )
        if kind == "look":
            return f"GET {path} HTTP/1.1\r\n{head}\r\n".encode()
        if kind == "amend":
            head += f"Idempotency-Key: {ident}\r\n"
        return f"POST {path} HTTP/1.1\r\n{head}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY

    def rpc(self, msgid: int) -> bytes:
        kind, ident = self.random.choice(CLASSES), f"{self.prefix}{next(self.idents)}"
        path = f"/api/{self.random.getrandbits(64):016x}"
        envelope = {"id": ident, "budget": 2.0, "path": path, "tenant": "acme"}
        if kind == "amend":
            envelope["idempotency_key"] = ident
        return bytes(_PACK([0, msgid, kind, [envelope, b"" if kind == "look" else BODY]]))


class _HttpClient(asyncio.Protocol):
    def __init__(self, load: Load) -> None:
        self.load = load

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.data = b""
        transport.write(self.load.http())

    def data_received(self, data: bytes) -> None:
        self.data += data
        end = self.data.find(b"\r\n\r\n")
        if end < 0:
            return
        length = int(self.data[:end].lower().partition(b"content-length:")[2].split(b"\r\n", 1)[0])
        if len(self.data) < end + 4 + length:
            return
        self.load.got[int(self.data[9:12])] += 1
        self.data = b""
        if self.load.running:
            self.transport.write(self.load.http())

    def connection_lost(self, exc: Exception | None) -> None:
        if self.load.running:
            self.load.got[0] += 1
            asyncio.get_running_loop().create_task(_again(self.load, lambda: _HttpClient(self.load)))


class _RpcClient(asyncio.Protocol):
    def __init__(self, load: Load) -> None:
        self.load = load

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.unpacker = msgpack.Unpacker(raw=True)
        self.msgids = itertools.count()
        transport.write(b"".join(self.load.rpc(next(self.msgids)) for _ in range(self.load.out)))

    def data_received(self, data: bytes) -> None:
        self.unpacker.feed(data)
        answered = 0
        for _, _, error, _ in self.unpacker:
            self.load.got[200 if error is None else error[0]] += 1
            answered += 1
        if self.load.running:
            self.transport.write(b"".join(self.load.rpc(next(self.msgids)) for _ in range(answered)))

    def connection_lost(self, exc: Exception | None) -> None:
        if self.load.running:
            self.load.got[0] += 1
            asyncio.get_running_loop().create_task(_again(self.load, lambda: _RpcClient(self.load)))


async def _again(load: Load, make: Callable[[], asyncio.Protocol]) -> None:
    await asyncio.sleep(0.05)
    await asyncio.get_running_loop().create_connection(make, *load.target)
