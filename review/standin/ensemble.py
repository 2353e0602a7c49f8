"""The project's stand-in of a ZooKeeper ensemble and its registrars as processes, and a link that may be late."""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
from collections.abc import Awaitable, Callable

from review.standin.fleet import Listener, Server
from review.standin.platform import ROOT, Record

PYTHON = str(ROOT / ".venv" / "bin" / "python")


class Program:
    """One program of the project, started by its module's name; its lines are kept."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.lines: list[str] = []
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    async def start(self, *arguments: str) -> None:
        """Start the program."""
        self._process = await asyncio.create_subprocess_exec(
            PYTHON,
            "-m",
            *arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        while line := await self._process.stdout.readline():
            self.lines.append(line.decode().strip())
            self._record(f"{self.name} prints: {self.lines[-1]}")

    async def wait_for(self, text: str, limit_s: float = 20.0) -> str:
        """Wait for a line that holds a text, and return it."""
        async with asyncio.timeout(limit_s):
            while True:
                for line in self.lines:
                    if text in line:
                        return line
                await asyncio.sleep(0.01)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        assert self._process is not None
        self._record(f"platform: {number.name} to {self.name}")
        self._process.send_signal(number)

    async def end(self) -> None:
        """End the program."""
        if self._process is None:
            return
        if self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
        with contextlib.suppress(asyncio.CancelledError):  # the case is interrupted: the others are ended too
            await self._process.wait()
            if self._reading is not None:
                await self._reading


async def start_ensemble(record: Record) -> tuple[Program, tuple[str, int]]:
    """Start an ensemble of one member; return it and the member's address."""
    program = Program("ensemble", record)
    await program.start("testbed.zookeeper", "--members", "1", "--control", "127.0.0.1:0")
    line = await program.wait_for("the ensemble listens at")
    match = re.search(r"(127\.[0-9.]+):([0-9]+)", line)
    assert match is not None, line
    return program, (match[1], int(match[2]))


async def register(server: Server, ensemble: tuple[str, int], record: Record) -> Program:
    """Register a server by the project's registrar; it lingers for long once it drains."""
    entry = server.entry()
    program = Program(f"registrar of {server.name}", record)
    arguments = {
        "--ensemble": f"{ensemble[0]}:{ensemble[1]}",
        "--name": server.name,
        "--address": entry["address"],
        "--pod": str(entry["group"]),
        "--kind": entry["type"],
        "--zone": entry["zone"],
        "--started-ms": "0",
        "--incarnation": f"process-of-{server.name}",
        "--linger-s": "60",
    }
    await program.start(
        "topazbank.discovery.registrar", *[part for pair in arguments.items() for part in pair]
    )
    await program.wait_for(f"{server.name} is in")
    return program


class LateLink(Listener):
    """A link to the ensemble; while it is late, what the ensemble sends arrives in bursts, `every_s` apart."""

    def __init__(self, target: tuple[str, int], record: Record, every_s: float) -> None:
        super().__init__()
        self.late = False
        self.bursts: list[float] = []  # when bursts were delivered
        self._target = target
        self._record = record
        self._every_s = every_s

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass bytes on in both directions until one side closes."""
        far_reader, far_writer = await asyncio.open_connection(*self._target)

        async def forward(data: bytes) -> None:
            far_writer.write(data)

        held = bytearray()

        async def back(data: bytes) -> None:
            held.extend(data)
            if not self.late:
                self._deliver(held, writer)

        bursting = asyncio.create_task(self._burst(held, writer))
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(_pump(reader, forward))
                group.create_task(_pump(far_reader, back))
        except* ConnectionError:
            pass
        finally:
            bursting.cancel()
            far_writer.close()

    async def _burst(self, held: bytearray, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(self._every_s)
            if held:
                self._record(f"link: a burst of {len(held)} bytes arrives at the sidecar")
                self.bursts.append(asyncio.get_running_loop().time())
                self._deliver(held, writer)

    @staticmethod
    def _deliver(held: bytearray, writer: asyncio.StreamWriter) -> None:
        writer.write(bytes(held))
        held.clear()


async def _pump(reader: asyncio.StreamReader, pass_on: Callable[[bytes], Awaitable[None]]) -> None:
    while data := await reader.read(65536):
        await pass_on(data)
    raise ConnectionResetError
