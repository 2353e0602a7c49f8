"""Network side of a backend server, for either protocol; a request starts once it has been received completely."""

from __future__ import annotations

import asyncio
from typing import Any

import msgpack

from testbed.backend.model import Backend
from testbed.wire import (
    HTTP,
    Reply,
    TcpServer,
    format_address,
    pack,
    read_http,
    read_rpc,
    reset_connection,
)

_READ_BYTES = 65536


class BackendServer(TcpServer):
    """Serves one backend; `kill` emulates a crash of its process."""

    def __init__(
        self, backend: Backend, protocol: str = HTTP, pod: int = 1, machine_type: str = "std"
    ) -> None:
        self.backend = backend
        self.protocol = protocol
        self.pod = pod
        self.machine_type = machine_type
        self.started_ms = 0  # start time reported to the registry, Unix ms; 0: long ago
        self.connections: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def registry_entry(self, **changes: Any) -> dict[str, Any]:
        """Return this server's registry entry, with the given fields overridden."""
        entry: dict[str, Any] = {
            "name": self.backend.name,
            "address": format_address(self.address),
            "zone": "a",
            "type": self.machine_type,
            "group": self.pod,
            "status": "leaving" if self.backend.draining else "active",
            "weight": self.backend.speed,
            "since_ms": self.started_ms,
            "protocol": self.protocol,
        }
        return entry | changes

    def is_listening(self) -> bool:
        """Return whether new connections are accepted."""
        return self._server is not None and self._server.is_serving()

    def reset_connections(self) -> None:
        """Reset all connections; the server keeps running."""
        for writer in list(self.connections):
            reset_connection(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            await (self._http if self.protocol == HTTP else self._rpc)(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _http(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request = await read_http(reader)
            is_health_check = request.path.startswith("/health")
            reply = Reply() if is_health_check else await self.backend.serve(request)
            if reply is not None:
                writer.write(reply.http())

    async def _rpc(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        unpacker = msgpack.Unpacker(raw=False)
        while data := await reader.read(_READ_BYTES):
            unpacker.feed(data)
            for message in unpacker:
                if message[2].startswith("health."):
                    writer.write(pack([1, message[1], None, {}]))
                    continue
                task = asyncio.get_running_loop().create_task(self._serve_rpc_call(message, writer))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _serve_rpc_call(self, message: Any, writer: asyncio.StreamWriter) -> None:
        request = read_rpc(message)
        reply = await self.backend.serve(request)
        if reply is not None and request.msgid is not None and not writer.is_closing():
            writer.write(reply.rpc(request.msgid))

    def start_draining(self) -> None:
        """Reject new requests; those in flight are finished."""
        self.backend.draining = True

    def kill(self) -> None:
        """Stop immediately: reset connections, cancel runs and refuse new connections."""
        self.stop()
        self.reset_connections()
        for task in list(self._tasks):
            task.cancel()
