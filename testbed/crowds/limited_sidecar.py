"""One real sidecar with the platform's limits, its servers and its registry."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
from pathlib import Path
from typing import Any

from testbed.ports import free_addresses, private_loopback_host
from testbed.registry import Registry
from testbed.wire import Reply, TcpServer, format_address, read_http

ROOT = Path(__file__).parent.parent.parent
SERVERS = 6
WORK_S = 0.05
READY_LIMIT_S = 30.0
UPGRADE_READY_S = 2.0  # until the second process of an upgrade serves
KILL_AFTER_S = 3.7  # after SIGTERM
_PIECE_BYTES = 64 * 1024
ALLOCATOR = {
    "MALLOC_MMAP_THRESHOLD_": "32768",
    "MALLOC_TRIM_THRESHOLD_": "65536",
}  # as in deploy/balancer.toml
_ANSWER_PATH = re.compile(r"/api/answer-(\d+)")
SETTINGS: dict[str, Any] = {
    "lanes": [
        {"name": "check", "giveUpUs": 3_000_000, "promiseUs": 750_000, "repeat": "read_like"},
        {
            "name": "amend", "giveUpUs": 2_000_000, "promiseUs": 600_000, "repeat": "idempotency_key",
            "group": "cell", "memorySpanUs": 2_000_000,
        },
        {"name": "lodge", "giveUpUs": 4_000_000, "promiseUs": 1_200_000, "repeat": "non_idempotent"},
    ],
    "bounds": {"sendCap": 3, "mayCancel": True},
    "discovery": "on_request",
    "zone": "a",
}  # fmt: skip


class CrowdServer(TcpServer):
    """A server that answers `/api/answer-N` with N bytes, and any other request with its id."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.arrived: list[str] = []  # ids of requests, in order

    def entry(self) -> dict[str, Any]:
        """Return the server's entry in the registry."""
        return {
            "name": self.name,
            "address": format_address(self.address),
            "zone": "a",
            "type": "std",
            "group": 1,
            "status": "active",
            "weight": 1.0,
            "since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                request = await read_http(reader)
                self.arrived.append(request.request_id)
                await asyncio.sleep(WORK_S)
                match = _ANSWER_PATH.fullmatch(request.path)
                if match is None:
                    writer.write(Reply(200, request.request_id.encode()).http())
                else:
                    await _write_answer(writer, int(match[1]))
        writer.close()


async def _write_answer(writer: asyncio.StreamWriter, length: int) -> None:
    """Write an answer of this length in pieces, as fast as it is read."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
    while length:
        count = min(length, _PIECE_BYTES)
        writer.write(bytes(count))
        await writer.drain()
        length -= count


class LimitedSidecar:
    """The program in a process, with limits on memory and descriptors."""

    def __init__(self, folder: Path, memory_mb: float, descriptors: int) -> None:
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.servers = [CrowdServer(f"s-{number}") for number in range(SERVERS)]
        self.registry = Registry()
        self.process: asyncio.subprocess.Process | None = None  # the one that was started last
        self._folder = folder
        (self.address,) = free_addresses(private_loopback_host(), 1)

    @property
    def pid(self) -> int:
        """The process id."""
        assert self.process is not None
        return self.process.pid

    @property
    def log_path(self) -> Path:
        """Where the log of the process is."""
        return self._folder / "log"

    async def __aenter__(self) -> LimitedSidecar:
        for server in self.servers:
            await server.start()
            self.registry.put(server.entry())
        await self.registry.start()
        await self._launch()
        await self._wait_until_ready(self.process)
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        for server in self.servers:
            server.stop()
        self.registry.stop()

    async def _launch(self) -> None:
        config = self._folder / "config.json"
        config.write_text(json.dumps(self._configuration()), encoding="utf-8")
        environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *(["-P"] if sys.flags.safe_path else []),  # import the copy under test
                *("-m", "topazbank", "--operator", "deploy/operator.toml"),
                cwd=ROOT,
                env=environ | ALLOCATOR | {"RELAY_CONFIG": str(config), "TMPDIR": str(self._folder)},
                stderr=log,
            )

    async def upgrade(self) -> None:
        """Start a second process, and end the first one as the platform does once the second one serves."""
        old = self.process
        assert old is not None
        await self._launch()
        await asyncio.sleep(UPGRADE_READY_S)
        old.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(old.wait(), KILL_AFTER_S)
        with contextlib.suppress(ProcessLookupError):
            old.kill()
        await old.wait()

    async def _wait_until_ready(self, process: asyncio.subprocess.Process | None) -> None:
        async with asyncio.timeout(READY_LIMIT_S):
            while not await self._is_ready():
                assert process is not None and process.returncode is None, (
                    "the process has ended at its start"
                )
                await asyncio.sleep(0.05)

    def _configuration(self) -> dict[str, Any]:
        return {
            "name": "n0",
            "listen": format_address(self.address),
            "discovery": format_address(self.registry.address),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptors},
            "known": self.registry.snapshot(),
            "settings": SETTINGS,
        }

    async def _is_ready(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            answer = await read_http(reader)
            writer.close()
            return answer.status == 200
        return False
