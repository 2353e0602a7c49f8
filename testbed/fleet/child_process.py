"""A process of a rig: told a line, it answers with a line of JSON; it prints one when it is up."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent
REPLY_TIMEOUT_S = 180.0  # for a process to come up or to answer, on a machine that is busy
REPLY_BYTES_MAX = 1 << 26  # bytes of one answer: a minute's notes of some hundreds of calls a second


class ChildProcess:
    """One such process, started as a module of this repository."""

    def __init__(self, module: str, *given: str) -> None:
        self._module = module
        self._command = (sys.executable, "-m", module, *given)
        self._process: asyncio.subprocess.Process | None = None
        self._turn = asyncio.Lock()

    async def start(self) -> None:
        """Start it and wait until it is up; raise RuntimeError where it ends, TimeoutError where it hangs."""
        pipe = asyncio.subprocess.PIPE
        self._process = await asyncio.create_subprocess_exec(
            *self._command,
            cwd=ROOT,
            stdin=pipe,
            stdout=pipe,
            stderr=asyncio.subprocess.DEVNULL,
            limit=REPLY_BYTES_MAX,
        )
        await self._line()

    async def _line(self) -> Any:
        assert self._process is not None and self._process.stdout is not None
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            line = await self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"a process of {self._module} has ended")
        return json.loads(line)

    async def say(self, line: str) -> Any:
        """Tell it a line and give what it answers.

        Who asks may be cancelled; the answer is read all the same, or it would be the next one's.
        """
        return await asyncio.shield(asyncio.get_running_loop().create_task(self._exchange(line)))

    async def _exchange(self, line: str) -> Any:
        async with self._turn:
            assert self._process is not None and self._process.stdin is not None
            self._process.stdin.write(f"{line}\n".encode())
            return await self._line()

    async def stop(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
