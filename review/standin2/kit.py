"""Stand-ins for the second review: the platform, servers, the registry and clients, as the users' pages allow them.

Everything listens on loopback addresses, on ports that the kernel selects.  The sidecar is started as a process of its
own with the command `run` of the deploy file.  No module of the project is imported.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_LIMIT_S = 30.0  # the platform's: a sidecar is ready by then
RULE_HELD, RULE_BROKEN, NOT_RUN = 0, 1, 2
FIRST_INDEX = 41  # the registry's version at its start
now = time.monotonic


class CannotRun(Exception):
    """The case can't run here, which says nothing about the rule."""


def free_port() -> int:
    """Return a TCP port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Record:
    """What was sent, answered and run: one line each, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = open(path, "w", encoding="utf-8")
        self._started_at = now()

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{now() - self._started_at:8.3f}  {text}\n")
        self._file.flush()


# -- The platform ----------------------------------------------------------------------------------------------


def lane(name: str, repeat: str, give_up_s: float, worth: float, **more: Any) -> dict[str, Any]:
    """Return a class of the settings."""
    return {
        "name": name,
        "giveUpUs": int(give_up_s * 1e6),
        "promiseUs": int(give_up_s * 0.3e6),
        "worth": worth,
        "repeat": repeat,
        "group": "all",
    } | more


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: the classes, limits and rules of the site `port-of-spain-lodge`."""
    base: dict[str, Any] = {
        "zone": "a",
        "zones": ["a"],
        "me": 0,
        "groupSize": 1,
        "quantumUs": 5000,
        "discovery": "on_request",
        "lanes": [
            lane("check", "read_like", 3.0, 1),
            lane("amend", "idempotency_key", 2.0, 3, group="cell", memorySpanUs=2_000_000),
            lane("lodge", "non_idempotent", 4.0, 10),
        ],
        "report": {"source": "piggyback", "columns": ["qps", "util"]},
        "bounds": {
            "sendCap": 3, "secondCopies": False, "mayCancel": True, "probing": True, "mayTell": False,
            "retryAfter": True, "maxRetryAfterUs": 2_000_000, "dialTimeoutUs": 250_000, "idleCloseUs": 60_000_000,
            "streamsPerConn": 1,
        },
        "guarantees": {
            "answerSlackUs": 20_000, "askWithinUs": 10_000_000, "drainGraceUs": 500_000, "coldFrom": 0.14,
            "coldUs": 22_000_000, "fallMultiple": 3.0, "fallUs": 2_000_000,
        },
    }  # fmt: skip
    return base | changes


class Sidecar:
    """One process of a sidecar, started by the deploy file's `run` as the platform starts it."""

    def __init__(
        self, config: dict[str, Any], folder: Path, record: Record, operator: str | None = None
    ) -> None:
        """`folder`: for the configuration, $TMPDIR and the log; `operator`: replaces the operator file."""
        self.config = config
        self.folder = folder
        self._record = record
        self._operator = operator
        self.process: subprocess.Popen[bytes] | None = None
        self.tmpdir = folder / "tmp"
        self.log = folder / "sidecar.log"

    @property
    def pid(self) -> int:
        """The process id."""
        assert self.process is not None
        return self.process.pid

    @property
    def address(self) -> tuple[str, int]:
        """The address for clients."""
        host, _, port = self.config["listen"].rpartition(":")
        return host, int(port)

    def start(self) -> None:
        """Start the process; $TMPDIR is empty and private."""
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        command = deploy["run"]
        if self._operator is not None:
            command = command.replace("deploy/operator.toml", self._operator)
        self.folder.mkdir(parents=True, exist_ok=True)
        shutil.rmtree(self.tmpdir, ignore_errors=True)
        self.tmpdir.mkdir()
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        environ |= {
            "RELAY_CONFIG": str(path),
            "RELAY_NAME": self.config["name"],
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"],
            "TMPDIR": str(self.tmpdir),
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environ,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self._record(f"platform: sidecar {self.config['name']} started, process {self.process.pid}")

    async def wait_ready(self) -> None:
        """Ask for readiness until it is confirmed; raise CannotRun if that takes too long."""
        limit = now() + READY_LIMIT_S
        while now() < limit:
            if self.process is not None and self.process.poll() is not None:
                raise CannotRun(f"the sidecar ended at its start with {self.process.returncode}; see its log")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    answer = await http_call(
                        self.address, b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"
                    )
                if answer.status == 200:
                    self._record("platform: sidecar is ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun("the sidecar was not ready within 30 s")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._record(f"platform: {number.name} to the sidecar")
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is None or self.process.poll() is not None

    def end(self) -> None:
        """End the process, whatever it does."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()


def sidecar_config(listen: int, registry: str, known: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """Return a sidecar's configuration."""
    return {
        "name": "n0",
        "listen": f"{HOST}:{listen}",
        "discovery": registry,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": settings(),
    } | changes


# -- HTTP ------------------------------------------------------------------------------------------------------


@dataclass
class HttpMessage:
    """A received HTTP message."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split(" ")[1])

    @property
    def path(self) -> str:
        """The path of a request."""
        return self.start.split(" ")[1]

    @property
    def id(self) -> str:
        """The id of a request."""
        return self.headers.get("x-call-id", "")


async def read_head(reader: asyncio.StreamReader) -> HttpMessage:
    """Read a message's head; raise IncompleteReadError at the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lstrip("\r\n")
    start, *lines = head.strip().split("\r\n")
    headers = {
        name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
    }
    return HttpMessage(start, headers)


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body to its end: by its length, by chunks, or, without either, to the end of the connection."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_answer(reader: asyncio.StreamReader) -> HttpMessage:
    """Read a whole answer."""
    answer = await read_head(reader)
    answer.body = await read_body(reader, answer.headers)
    return answer


async def http_call(address: tuple[str, int], data: bytes) -> HttpMessage:
    """Send one request on a connection of its own and return its answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        return await read_answer(reader)
    finally:
        writer.close()


_METHODS = {"check": "GET", "amend": "POST", "lodge": "POST"}


def request_head(
    name: str, ident: str, budget_s: float, length: int = 0, key: str = "", path: str = "/api"
) -> bytes:
    """Return a request's head as the application sends it."""
    lines = [
        f"{_METHODS[name]} {path} HTTP/1.1",
        "Host: app.svc",
        f"X-Call-Id: {ident}",
        f"X-Call-Class: {name}",
        f"X-Budget: {budget_s:.3f}",
    ]
    if name == "amend":
        lines.append(f"Idempotency-Key: {key or ident}")
    if name != "check":
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode()


_ids = itertools.count(1)


def new_id(prefix: str = "r") -> str:
    """Return a new request id."""
    return f"{prefix}{next(_ids):06d}"


# -- Servers ---------------------------------------------------------------------------------------------------


@dataclass
class Arrival:
    """A request that has come whole to a server."""

    at: float
    ident: str
    name: str
    key: str
    server: str
    budget_s: float


Work = Callable[["Server", HttpMessage, asyncio.StreamWriter], Awaitable[None]]


async def serve_at_once(server: Server, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
    """Answer a request after the server's work."""
    await asyncio.sleep(server.work_s)
    server.reply(request, writer)


@dataclass
class Server:
    """A server over HTTP, as the protocol page describes it; `work` decides what a request gets."""

    name: str
    record: Record
    group: int = 1
    work_s: float = 0.05
    work: Work = serve_at_once
    hung: bool = False  # takes requests and answers none
    status: str = "active"
    since_ms: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    address: tuple[str, int] = (HOST, 0)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._connected, *self.address, limit=2**20, backlog=512)
        self.address = self._server.sockets[0].getsockname()[:2]

    def entry(self) -> dict[str, Any]:
        """Return the server's entry in the registry."""
        return {
            "name": self.name, "address": f"{self.address[0]}:{self.address[1]}", "zone": "a", "type": "std",
            "group": self.group, "status": self.status, "weight": 1.0, "since_ms": self.since_ms,
        }  # fmt: skip

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            while True:
                request = await read_head(reader)
                left = int(request.headers.get("content-length", "0"))
                while left:  # a large body is not kept
                    data = await reader.read(min(left, 65536))
                    if not data:
                        raise asyncio.IncompleteReadError(b"", left)
                    left -= len(data)
                await self._serve(request, writer)
        self.writers.discard(writer)
        writer.close()

    async def _serve(self, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        if request.path in ("/health/live", "/stats"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        headers = request.headers
        arrival = Arrival(
            now(), request.id, headers.get("x-call-class", ""), headers.get("idempotency-key", ""), self.name,
            float(headers.get("x-budget", "0")),
        )  # fmt: skip
        self.arrivals.append(arrival)
        self.record(
            f"server {self.name}: {arrival.ident} {arrival.name} came whole, X-Budget {arrival.budget_s:.3f}"
        )
        if self.hung:
            await asyncio.sleep(3600)
        await self.work(self, request, writer)

    def reply(self, request: HttpMessage, writer: asyncio.StreamWriter, body: bytes | None = None) -> None:
        """Write an answer of status 200."""
        body = body_of(self.name, request.id) if body is None else body
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nX-Load-Report: TEXT qps=10, util=0.30\r\n\r\n"
        )
        writer.write(head.encode() + body)
        self.record(f"server {self.name}: {request.id} answered 200")


def body_of(server: str, ident: str) -> bytes:
    """Return the body that a server makes for a request."""
    return f"{server} did {ident}".encode()


class Registry:
    """Discovery over HTTP, as the protocol page describes it."""

    def __init__(self, servers: list[Server], record: Record) -> None:
        self.servers = servers
        self.index = FIRST_INDEX
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._record = record

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._connected, HOST, 0, backlog=512)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def changed(self, server: Server) -> None:
        """Tell a change of a server's entry."""
        self.index += 1
        self._changes.append((self.index, server.entry()))
        self._changed.set()
        self._changed = asyncio.Event()

    def snapshot(self) -> dict[str, Any]:
        """Return the whole list."""
        return {
            "index": self.index,
            "snapshot": True,
            "endpoints": [server.entry() for server in self.servers],
        }

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            request = await read_head(reader)
            answer = json.dumps(await self._answer(request.path)).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(answer) + answer
            )
            await writer.drain()
        writer.close()

    async def _answer(self, path: str) -> dict[str, Any]:
        query = dict(part.partition("=")[::2] for part in path.partition("?")[2].split("&") if part)
        if "after" not in query:
            return self.snapshot()
        after, wait_s = int(query["after"]), int(query.get("wait_ms", "0")) / 1000
        if after < FIRST_INDEX:
            return self.snapshot()  # what was before is not kept
        if after >= self.index and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        entries = [entry for index, entry in self._changes if index > after]
        return {"index": self.index, "snapshot": False, "endpoints": entries}


# -- A case ----------------------------------------------------------------------------------------------------


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Case:
    """The surroundings of a case: a record, a temporary folder, and what has to be ended."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.broken: list[str] = []
        self._sidecars: list[Sidecar] = []
        self.record(f"TROUBLE={int(self.trouble)}")

    def sidecar(self, config: dict[str, Any], operator: str | None = None) -> Sidecar:
        """Return a sidecar that is ended with the case."""
        folder = self.folder / f"sidecar-{len(self._sidecars)}"
        sidecar = Sidecar(config, folder, self.record, operator)
        self._sidecars.append(sidecar)
        return sidecar

    def broke(self, text: str) -> None:
        """Note that the rule was broken."""
        self.broken.append(text)
        self.record(f"RULE BROKEN: {text}")

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for sidecar in self._sidecars:
            sidecar.end()
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play_case(case_folder: Path, play: Callable[[Case], Awaitable[None]], limit_s: float = 115.0) -> int:
    """Play a case; return the script's exit code."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    case = Case(case_folder)

    async def limited() -> None:
        async with asyncio.timeout(limit_s):
            await play(case)

    try:
        asyncio.run(limited())
    except Exception as error:  # also a defect of the script: it says nothing about the rule
        case.record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return NOT_RUN
    finally:
        case.close()
    for text in case.broken[:5]:
        print(f"rule broken: {text}")
    verdict = f"{len(case.broken)} breaks" if case.broken else "the rule held"
    case.record(verdict)
    print(verdict)
    return RULE_BROKEN if case.broken else RULE_HELD
