"""A TCP proxy between two parts of a fleet: it forwards, delays, holds back either direction, or cuts connections."""

from __future__ import annotations

import asyncio
import contextlib

from testbed.wire import Address, TcpServer

_CHUNK_BYTES = 64 * 1024
_HELD_CHUNKS_MAX = 1_000  # for each direction; further data waits in the kernel


class Proxy(TcpServer):
    """Forwards the connections to one target."""

    def __init__(self, target: Address) -> None:
        self.target = target
        self.delay_s = 0.0
        # Set while data may pass: True is towards the target, False is back.
        self._flows = {True: asyncio.Event(), False: asyncio.Event()}
        for flow in self._flows.values():
            flow.set()
        self._cut = False
        self._writers: set[asyncio.StreamWriter] = set()

    def hold(self, *, forth: bool = True, back: bool = True) -> None:
        """Let nothing through in one direction or both; connections stay open."""
        if forth:
            self._flows[True].clear()
        if back:
            self._flows[False].clear()

    def cut(self) -> None:
        """Abort all connections and refuse new ones until `heal`."""
        self._cut = True
        self._abort_connections()

    def heal(self) -> None:
        """Let everything through again; data held back goes first."""
        self._cut = False
        for flow in self._flows.values():
            flow.set()

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        super().stop()
        self._abort_connections()
        self.heal()  # ends the tasks that wait for a held flow

    def _abort_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._cut:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            self._writers.discard(writer)
            writer.transport.abort()
            return
        self._writers.add(target_writer)
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, True),
                self._forward(target_reader, writer, False),
            )
        finally:
            for open_writer in (writer, target_writer):
                self._writers.discard(open_writer)
                open_writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to_target: bool
    ) -> None:
        """Forward bytes in one direction, in order, each chunk after the delay."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(_HELD_CHUNKS_MAX)
        loop = asyncio.get_running_loop()

        async def write() -> None:
            while True:
                due, data = await queue.get()
                await asyncio.sleep(max(due - loop.time(), 0.0))
                await self._flows[to_target].wait()
                writer.write(data)
                if not data:
                    return

        writing = loop.create_task(write())
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(_CHUNK_BYTES):
                await queue.put((loop.time() + self.delay_s, data))
        # Data before the end is still delivered, then the end itself.
        await queue.put((loop.time() + self.delay_s, b""))
        await writing
        writer.close()
