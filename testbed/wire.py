"""Protocol-neutral messages of the emulators: Message and Reply, encoded as HTTP/1.1 or MessagePack-RPC."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass, field
from typing import Any

import msgpack

HTTP, MSGPACK_RPC = "http", "msgpack-rpc"
Address = tuple[str, int]
Headers = dict[str, str]

# Maps envelope fields of MessagePack-RPC calls to the equivalent HTTP headers (docs/msgpack-rpc.md).
HEADER_OF_ENVELOPE_FIELD = {
    "id": "x-call-id",
    "budget": "x-budget",
    "tenant": "x-caller",
    "idempotency_key": "idempotency-key",
    "cost_us": "x-call-cost",
    "type": "content-type",
}


@dataclass(frozen=True, slots=True)
class Message:
    """A received message; the field names follow HTTP for both protocols."""

    start_line: str  # the HTTP start line, or an equivalent line for MessagePack-RPC
    headers: Headers
    body: bytes
    msgid: int | None = None  # MessagePack-RPC only

    @property
    def path(self) -> str:
        """The path of a request."""
        return self.start_line.split(" ")[1]

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start_line.split(" ")[1])

    @property
    def request_id(self) -> str:
        """The request's id; empty if missing."""
        return self.headers.get("x-call-id", "")

    @property
    def request_class(self) -> str:
        """The name of the request's class; empty if missing."""
        return self.headers.get("x-call-class", "")


@dataclass(frozen=True, slots=True)
class Reply:
    """A response that can be encoded in either protocol."""

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    def http(self) -> bytes:
        """Encode the reply as an HTTP/1.1 response."""
        lines = [f"HTTP/1.1 {self.status} X", f"Content-Length: {len(self.body)}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        return "\r\n".join([*lines, "", ""]).encode() + self.body

    def rpc(self, msgid: int) -> bytes:
        """Encode the reply as the MessagePack-RPC response to a call."""
        headers = {name.lower(): value for name, value in self.headers.items()}
        load = _parse_load_report(headers.get("x-load-report"))
        if self.status == 200:
            result: dict[str, Any] = {"body": self.body}
            if "content-type" in headers:
                result["type"] = headers["content-type"]
            return pack([1, msgid, None, result | load])
        info = load | ({"rejected": True} if headers.get("x-rejected") == "1" else {})
        return pack([1, msgid, [self.status, "said so", info], None])


def _parse_load_report(text: str | None) -> dict[str, Any]:
    """Convert the load report of an HTTP header to the fields of a MessagePack-RPC response."""
    if text is None:
        return {}
    parts = (part.partition("=") for part in text.removeprefix("TEXT").split(","))
    return {"load": {name.strip(): _parse_number(value) for name, _, value in parts if name.strip()}}


def _parse_number(text: str) -> float | str:
    try:
        return float(text)
    except ValueError:
        return text


def pack(value: object) -> bytes:
    """Encode a MessagePack value."""
    return bytes(msgpack.packb(value, use_bin_type=True))


async def read_http(reader: asyncio.StreamReader) -> Message:
    """Read an HTTP request or response; a missing Content-Length means an empty body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return Message(start_line, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


def read_rpc(message: Any) -> Message:
    """Read a MessagePack-RPC request: [0, msgid, class, [envelope, body]]."""
    _, msgid, method, params = message
    envelope: dict[str, Any] = params[0] if params else {}
    body: bytes = params[1] if len(params) > 1 and params[1] is not None else b""
    headers = {
        header: str(envelope[name]) for name, header in HEADER_OF_ENVELOPE_FIELD.items() if name in envelope
    }
    if envelope.get("again"):
        headers["x-again"] = "1"
    return Message(
        f"CALL {envelope.get('path', '/' + method)} RPC", headers | {"x-call-class": method}, body, msgid
    )


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection (RST), as happens when its process crashes."""
    sock = writer.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class TcpServer:
    """A TCP server; subclasses serve each connection."""

    address: Address = ("127.0.0.1", 0)
    _server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start listening; port 0 lets the kernel select a port."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=2**20, backlog=512)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        """Stop listening; connections stay open."""
        if self._server is not None:
            self._server.close()


def format_address(address: Address) -> str:
    """Return an address as `host:port`."""
    return f"{address[0]}:{address[1]}"
