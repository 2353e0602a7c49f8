"""Clients of a sidecar, in either protocol: one call in, one final answer out."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from dataclasses import dataclass
from typing import Any

import msgpack

from testbed.wire import HTTP, Address, pack, read_http

_TIMEOUT_MARGIN_S = 1.0  # beyond its budget, how long a client waits before it takes the answer for lost


@dataclass(frozen=True, slots=True)
class ClientCall:
    """What a client wants done."""

    kind: str
    ident: str
    path: str = "/api/7f3a9c21e0b4d655"
    body: bytes = b""
    budget_s: float = 2.0
    tenant: str | None = None
    key: str | None = None  # idempotency key
    again: bool = False


@dataclass(frozen=True, slots=True)
class CallResult:
    """A final answer; status 0 is none: the connection broke, or time ran out."""

    status: int
    body: bytes = b""
    retry_after_s: float | None = None

    @property
    def verdict(self) -> str:
        if self.status == 200:
            return "served"
        if self.status in (429, 503):
            return "refused"
        return "failed" if self.status else "lost"


class HttpClient:
    """One HTTP connection, one call at a time; it is opened again when it has ended."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, wish: ClientCall) -> CallResult:
        try:
            async with asyncio.timeout(wish.budget_s + _TIMEOUT_MARGIN_S):
                return await self._once_more(wish)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            return CallResult(0)

    async def _once_more(self, wish: ClientCall) -> CallResult:
        """A sidecar may close a connection between calls; a call that crosses that goes once more on a new one."""
        if self._stream is not None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                return await self._exchange(*self._stream, wish)
            self.close()
        self._stream = await asyncio.open_connection(*self._target)
        return await self._exchange(*self._stream, wish)

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, wish: ClientCall
    ) -> CallResult:
        writer.write(http_request(wish))
        answer = await read_http(reader)
        if answer.headers.get("connection") == "close":
            self.close()
        back = answer.headers.get("retry-after")
        return CallResult(int(answer.first.split(" ")[1]), answer.body, float(back) if back else None)

    def close(self) -> None:
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None


def http_request(wish: ClientCall) -> bytes:
    """The bytes of a call over HTTP."""
    safe = not wish.body and wish.key is None
    lines = [
        f"{'GET' if safe else 'POST'} {wish.path} HTTP/1.1",
        "Host: app.svc",
        f"X-Call-Id: {wish.ident}",
        f"X-Call-Class: {wish.kind}",
        f"X-Budget: {wish.budget_s:.3f}",
    ]
    if wish.tenant is not None:
        lines.append(f"X-Caller: {wish.tenant}")
    if wish.key is not None:
        lines.append(f"Idempotency-Key: {wish.key}")
    if wish.again:
        lines.append("X-Again: 1")
    if not safe:
        lines.append(f"Content-Length: {len(wish.body)}")
    return "\r\n".join([*lines, "", ""]).encode() + wish.body


class RpcClient:
    """One MessagePack-RPC connection that carries any number of calls; opened again when it has ended."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._waiting: dict[int, asyncio.Future[CallResult]] = {}
        self._msgids = itertools.count()
        self._opening = asyncio.Lock()

    async def call(self, wish: ClientCall) -> CallResult:
        msgid = next(self._msgids) & 0xFFFFFFFF
        got: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(wish.budget_s + _TIMEOUT_MARGIN_S):
                writer = await self._connection()
                self._waiting[msgid] = got
                writer.write(pack([0, msgid, wish.kind, [_envelope(wish), wish.body]]))
                return await got
        except (OSError, TimeoutError):
            return CallResult(0)
        finally:
            self._waiting.pop(msgid, None)

    async def _connection(self) -> asyncio.StreamWriter:
        async with self._opening:
            if self._writer is None or self._writer.is_closing():
                reader, self._writer = await asyncio.open_connection(*self._target)
                self._reading = asyncio.get_running_loop().create_task(self._read(reader, self._writer))
            return self._writer

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        unpacker = msgpack.Unpacker(raw=False)
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                unpacker.feed(data)
                for _, msgid, error, result in unpacker:
                    waiting = self._waiting.get(msgid)
                    if waiting is not None and not waiting.done():
                        waiting.set_result(_parse_rpc_response(error, result))
        writer.close()
        for waiting in self._waiting.values():
            if not waiting.done():
                waiting.set_result(CallResult(0))

    def close(self) -> None:
        if self._reading is not None:
            self._reading.cancel()
        if self._writer is not None:
            self._writer.close()


def _envelope(wish: ClientCall) -> dict[str, Any]:
    envelope: dict[str, Any] = {"id": wish.ident, "budget": wish.budget_s, "path": wish.path}
    if wish.tenant is not None:
        envelope["tenant"] = wish.tenant
    if wish.key is not None:
        envelope["idempotency_key"] = wish.key
    if wish.again:
        envelope["again"] = True
    return envelope


def _parse_rpc_response(error: Any, result: Any) -> CallResult:
    if error is None:
        return CallResult(200, result.get("body", b""))
    return CallResult(error[0], error[1].encode(), error[2].get("retry_after"))


Client = HttpClient | RpcClient


def new_client(protocol: str, target: Address) -> Client:
    return HttpClient(target) if protocol == HTTP else RpcClient(target)
