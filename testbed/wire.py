"""What stand-ins read and write, in either protocol, as one neutral pair: Asked and Reply."""

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

# Envelope fields of MessagePack-RPC calls and the HTTP headers that mean the same (docs/msgpack-rpc.md).
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
    """A request as it came, under HTTP's names whatever it came in."""

    first: str  # HTTP's first line, or one that looks like it
    headers: Headers
    body: bytes
    msgid: int | None = None  # of MessagePack-RPC

    @property
    def path(self) -> str:
        return self.first.split(" ")[1]

    @property
    def ident(self) -> str:
        return self.headers.get("x-call-id", "")

    @property
    def kind(self) -> str:
        return self.headers.get("x-call-class", "")


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer, to be written in either protocol."""

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    def http(self) -> bytes:
        lines = [f"HTTP/1.1 {self.status} X", f"Content-Length: {len(self.body)}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        return "\r\n".join([*lines, "", ""]).encode() + self.body

    def rpc(self, msgid: int) -> bytes:
        said = {name.lower(): value for name, value in self.headers.items()}
        load = _parse_load_report(said.get("x-load-report"))
        if self.status == 200:
            result: dict[str, Any] = {"body": self.body}
            if "content-type" in said:
                result["type"] = said["content-type"]
            return pack([1, msgid, None, result | load])
        info = load | ({"rejected": True} if said.get("x-rejected") == "1" else {})
        return pack([1, msgid, [self.status, "said so", info], None])


def _parse_load_report(text: str | None) -> dict[str, Any]:
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
    return bytes(msgpack.packb(value, use_bin_type=True))


async def read_http(reader: asyncio.StreamReader) -> Message:
    """Read a request or an answer that tells its length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return Message(first, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


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
    """Break a connection as a process that dies does."""
    sock = writer.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class TcpServer:
    """What listens on a port that the kernel picks, or on one that is named."""

    address: Address = ("127.0.0.1", 0)
    _server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, host, port, limit=2**20, backlog=512)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()


def format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
