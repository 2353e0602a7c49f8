"""A process of a harness: it prints a line of JSON when it is up, and answers each line that it reads with another."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent
REPLY_TIMEOUT_S = 180.0  # for a process to start or to answer on a busy machine
REPLY_BYTES_MAX = 1 << 26  # one reply: a minute's records at some hundred calls a second


class ChildProcess:
    """One such process, started as a module of this repository."""

    def __init__(self, module: str, *arguments: str) -> None:
        self._module = module
        self._command = (sys.executable, "-m", module, *arguments)
        self._process: asyncio.subprocess.Process | None = None
        self._turn = asyncio.Lock()  # one request at a time

    async def start(self) -> None:
        """Start it and wait until it is up; raise RuntimeError if it exits, TimeoutError if it does not come up."""
        pipe = asyncio.subprocess.PIPE
        self._process = await asyncio.create_subprocess_exec(
            *self._command,
            cwd=ROOT,
            stdin=pipe,
            stdout=pipe,
            stderr=asyncio.subprocess.DEVNULL,
            limit=REPLY_BYTES_MAX,
        )
        await self._read_reply()

    async def _read_reply(self) -> Any:
        assert self._process is not None and self._process.stdout is not None
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            line = await self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"a process of {self._module} has ended")
        return json.loads(line)

    async def request(self, line: str) -> Any:
        """Send a line and return the reply; raise RuntimeError if the process has exited, TimeoutError without a reply.

        The caller may be cancelled; the reply is read all the same, or the next request would get it.
        """
        return await asyncio.shield(asyncio.get_running_loop().create_task(self._exchange(line)))

    async def _exchange(self, line: str) -> Any:
        async with self._turn:
            assert self._process is not None and self._process.stdin is not None
            self._process.stdin.write(f"{line}\n".encode())
            return await self._read_reply()

    async def stop(self) -> None:
        """Kill the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
