"""Stand-ins for discovery and for servers over HTTP/1.1, as the protocol pages describe them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standin.platform import HOST, Record

_LOST = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, asyncio.LimitOverrunError)


@dataclass(slots=True)
class Message:
    """A request or an answer of HTTP."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with Content-Length, chunks or no body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(head[0], headers, body)


def answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """One whole answer."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listener:
    """A TCP listener on a free port of the loopback address."""

    def __init__(self) -> None:
        self.address = (HOST, 0)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, HOST, 0, limit=1 << 20)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Close the listener and end what it serves."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def end(self) -> None:
        """End like a process that dies: connections are reset, new ones refused."""
        for writer in list(self._writers):
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        self.stop()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except _LOST:
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Discovery(Listener):
    """The registry: the whole list, and watches on changes."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.index = 0
        self.entries: dict[str, dict[str, Any]] = {}
        self._record = record
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    def put(self, entry: dict[str, Any]) -> None:
        """Add or change an entry."""
        self.index += 1
        self.entries[entry["name"]] = entry
        self._changes.append((self.index, entry))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls."""
        while True:
            message = await read_message(reader)
            query = parse_qs(urlsplit(message.start.split()[1]).query)
            after = int(query["after"][0]) if "after" in query else None
            if after is not None and after >= self.index:
                wait_s = int(query.get("wait_ms", ["0"])[0]) / 1000
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), wait_s)
            entries = (
                list(self.entries.values())
                if after is None
                else [entry for index, entry in self._changes if index > after]
            )
            document = {"index": self.index, "snapshot": after is None, "endpoints": entries}
            self._record(f"discovery: {message.start.split()[1]}: {len(entries)} entries")
            writer.write(answer(200, json.dumps(document).encode()))
            await writer.drain()
            if message.headers.get("connection") == "close":
                return


@dataclass(slots=True)
class Run:
    """One request that a server began."""

    server: str
    call_id: str
    budget_s: float
    at: float


@dataclass(slots=True)
class Runs:
    """All requests that servers began."""

    runs: list[Run] = field(default_factory=list)

    def of(self, call_id: str) -> list[Run]:
        """The runs of one request."""
        return [run for run in self.runs if run.call_id == call_id]


class Server(Listener):
    """A server: begins a request when its last byte has come, and answers it after its work."""

    def __init__(
        self,
        name: str,
        record: Record,
        runs: Runs,
        work_s: Callable[[Message], float],
        body: Callable[[str, Message], bytes] = lambda name, message: b"",
    ) -> None:
        super().__init__()
        self.name = name
        self._record = record
        self._runs = runs
        self._work_s = work_s
        self._body = body

    def entry(self, **changes: Any) -> dict[str, Any]:
        """The server's entry in the list."""
        return {
            "name": self.name,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "couva",
            "type": "plain-single",
            "group": 1,
            "status": "active",
            "weight": 1.0,
            "since_ms": 0,
        } | changes

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests and probes, one at a time on a connection."""
        while True:
            message = await read_message(reader)
            report = "TEXT qps=10, util=0.20"
            if message.start.split()[1] in ("/health/live", "/stats"):
                writer.write(answer(200, report.encode()))
                continue
            call_id = self.began(message)
            await asyncio.sleep(self._work_s(message))
            body = self._body(self.name, message) or f"{self.name} did {call_id}".encode()
            writer.write(answer(200, body, X_Load_Report=report))
            await writer.drain()

    def began(self, message: Message) -> str:
        """Note that a request has arrived whole; return its id."""
        call_id = message.headers.get("x-call-id", "")
        at = asyncio.get_running_loop().time()
        run = Run(self.name, call_id, float(message.headers.get("x-budget", "0")), at)
        self._runs.runs.append(run)
        self._record(f"{self.name}: got {call_id}, told X-Budget {run.budget_s:.3f}")
        return call_id


def request(call_id: str, request_class: str, budget_s: float, body: bytes = b"") -> bytes:
    """A client's request."""
    method = "GET" if request_class == "check" else "POST"
    lines = [
        f"{method} /api/{call_id} HTTP/1.1",
        "Host: app.svc",
        f"X-Call-Id: {call_id}",
        f"X-Call-Class: {request_class}",
        f"X-Budget: {budget_s:.3f}",
    ]
    if request_class == "amend":
        lines.append(f"Idempotency-Key: k{call_id}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
