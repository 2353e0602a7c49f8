"""A lodge node's sockets, in either protocol: it begins a request when its last byte has come."""

from __future__ import annotations

import asyncio
from typing import Any

import msgpack

from testbed.backend.model import Backend
from testbed.wire import HTTP, Reply, TcpServer, format_address, pack, read_http, read_rpc, reset_connection


class BackendServer(TcpServer):
    """Serves one node; `die` ends it as a killed process ends."""

    def __init__(self, lodge: Backend, protocol: str = HTTP, pod: int = 1, kind: str = "std") -> None:
        self.lodge = lodge
        self.protocol = protocol
        self.pod = pod
        self.kind = kind
        self.started_ms = 0  # Unix time, 0 for long ago; given to the registry
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """This node's line in the registry."""
        entry: dict[str, Any] = {
            "name": self.lodge.name,
            "address": format_address(self.address),
            "zone": "a",
            "type": self.kind,
        }
        entry |= {"group": self.pod, "status": "leaving" if self.lodge.draining else "active"}
        return (
            entry
            | {"weight": self.lodge.speed, "since_ms": self.started_ms, "protocol": self.protocol}
            | changes
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await (self._http if self.protocol == HTTP else self._rpc)(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _http(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            asked = await read_http(reader)
            reply = Reply() if asked.path.startswith("/health") else await self.lodge.serve(asked)
            if reply is not None:
                writer.write(reply.http())

    async def _rpc(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        unpacker = msgpack.Unpacker(raw=False)
        while data := await reader.read(65536):
            unpacker.feed(data)
            for message in unpacker:
                if message[2].startswith("health."):
                    writer.write(pack([1, message[1], None, {}]))
                    continue
                task = asyncio.get_running_loop().create_task(self._one(message, writer))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _one(self, message: Any, writer: asyncio.StreamWriter) -> None:
        asked = read_rpc(message)
        reply = await self.lodge.serve(asked)
        if reply is not None and asked.msgid is not None and not writer.is_closing():
            writer.write(reply.rpc(asked.msgid))

    def drain(self) -> None:
        """Take nothing new; what is held is finished."""
        self.lodge.draining = True

    def die(self) -> None:
        """End at once: connections break, what runs is cut off, new connections are refused."""
        self.stop()
        for writer in list(self._writers):
            reset_connection(writer)
        for task in list(self._tasks):
            task.cancel()
