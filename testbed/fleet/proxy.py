"""A TCP proxy between any two parts: it passes, delays, holds back either direction, or cuts."""

from __future__ import annotations

import asyncio
import contextlib

from testbed.wire import Address, TcpServer

_CHUNK_BYTES = 64 * 1024
_HELD_CHUNKS_MAX = 1_000  # chunks held back each way; what comes then waits in the kernel


class Proxy(TcpServer):
    """One way to one place."""

    def __init__(self, target: Address) -> None:
        self.target = target
        self.delay_s = 0.0
        self._flows = {True: asyncio.Event(), False: asyncio.Event()}  # towards the target, and back
        for each in self._flows.values():
            each.set()
        self._cut = False
        self._writers: set[asyncio.StreamWriter] = set()

    def hold(self, *, forth: bool = True, back: bool = True) -> None:
        """Let nothing through, one way or both; the connections stay and nobody is told."""
        if forth:
            self._flows[True].clear()
        if back:
            self._flows[False].clear()

    def cut(self) -> None:
        """Break what is there; nothing new comes up."""
        self._cut = True
        self._break()

    def heal(self) -> None:
        """Let all through again, with what was held back first."""
        self._cut = False
        for each in self._flows.values():
            each.set()

    def stop(self) -> None:
        super().stop()
        self._break()
        self.heal()  # nobody is left who waits for what is held

    def _break(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._cut:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            there, other = await asyncio.open_connection(*self.target)
        except OSError:
            self._writers.discard(writer)
            writer.transport.abort()
            return
        self._writers.add(other)
        try:
            await asyncio.gather(self._pump(reader, other, True), self._pump(there, writer, False))
        finally:
            for each in (writer, other):
                self._writers.discard(each)
                each.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, forth: bool) -> None:
        """Carry bytes one way, each after the delay; what is under way when it grows keeps its order."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(_HELD_CHUNKS_MAX)
        loop = asyncio.get_running_loop()

        async def write() -> None:
            while True:
                due, data = await queue.get()
                await asyncio.sleep(max(due - loop.time(), 0.0))
                await self._flows[forth].wait()
                writer.write(data)
                if not data:
                    return

        writing = loop.create_task(write())
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(_CHUNK_BYTES):
                await queue.put((loop.time() + self.delay_s, data))
        # What came before the end is still let through, and the end behind it.
        await queue.put((loop.time() + self.delay_s, b""))
        await writing
        writer.close()
