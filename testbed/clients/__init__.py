"""Clients of a sidecar for either protocol; each call returns one final response."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from dataclasses import dataclass, field, replace
from typing import Any

import msgpack

from testbed.wire import HTTP, Address, pack, read_http

_TIMEOUT_MARGIN_S = 1.0  # wait after the deadline before the response counts as lost
_READ_BYTES = 65536
_CROSSING_S = 0.1  # a connection that ends so soon after a call was sent has crossed it
_CONNECTION_ENDED = "the connection ended"


@dataclass(frozen=True, slots=True)
class ClientCall:
    """A request that a client sends."""

    request_class: str
    request_id: str
    path: str = "/api/7f3a9c21e0b4d655"
    body: bytes = b""
    deadline_s: float = 2.0  # from the start of the call
    tenant: str | None = None
    idempotency_key: str | None = None
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class CallResult:
    """A final response; status 0 means no response: the connection broke or the call timed out."""

    status: int
    body: bytes = b""
    retry_after_s: float | None = None
    reason: str = field(default="", compare=False)  # why there is no response
    shut_unread: bool = field(
        default=False, compare=False
    )  # whether it was sent again after a new connection ended

    @property
    def outcome(self) -> str:
        """`served`, `refused` (rejected without effect), `failed`, or `lost` without a response."""
        return outcome_of_status(self.status)


def outcome_of_status(status: int) -> str:
    """Return the call outcome for a response status; 0 means no response."""
    if status == 200:
        return "served"
    if status in (429, 503):
        return "refused"
    return "failed" if status else "lost"


class HttpClient:
    """One HTTP connection with one call at a time; reconnects after the connection has closed."""

    def __init__(self, target: Address, resends_unread: bool = False) -> None:
        """`resends_unread`: whether a call is sent again if a new connection ends without an answer."""
        self._target = target
        self._resends_unread = resends_unread
        self._reconnected_after = ""  # why the current call is on its second connection
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, call: ClientCall) -> CallResult:
        """Make a call; a broken connection or a timeout gives status 0."""
        self._reconnected_after = ""
        try:
            async with asyncio.timeout(call.deadline_s + _TIMEOUT_MARGIN_S):
                return await self._exchange_with_one_reconnect(call)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.close()
            after = f" after {self._reconnected_after}" if self._reconnected_after else ""
            return CallResult(0, reason=f"{error!r}{after}")

    async def _exchange_with_one_reconnect(self, call: ClientCall) -> CallResult:
        """Send once more on a new connection: a sidecar may close an idle connection while a call is being sent.

        A new connection that ends without a byte may have been closed unread, which the result tells.
        """
        is_new = self._stream is None
        if self._stream is None:
            self._stream = await asyncio.open_connection(*self._target)
        try:
            return await self._exchange(*self._stream, call)
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            if is_new and not self._resends_unread:
                raise
            self._reconnected_after = repr(error)
        self.close()
        self._stream = await asyncio.open_connection(*self._target)
        result = await self._exchange(*self._stream, call)
        return replace(result, shut_unread=is_new)

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, call: ClientCall
    ) -> CallResult:
        writer.write(http_request(call))
        response = await read_http(reader)
        if response.headers.get("connection") == "close":
            self.close()
        retry_after = response.headers.get("retry-after")
        return CallResult(response.status, response.body, float(retry_after) if retry_after else None)

    def close(self) -> None:
        """Close the connection if it is open."""
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None


def http_request(call: ClientCall) -> bytes:
    """Encode a call as an HTTP/1.1 request."""
    is_get = not call.body and call.idempotency_key is None
    lines = [
        f"{'GET' if is_get else 'POST'} {call.path} HTTP/1.1",
        "Host: app.svc",
        f"X-Call-Id: {call.request_id}",
        f"X-Call-Class: {call.request_class}",
        f"X-Budget: {call.deadline_s:.3f}",
    ]
    if call.tenant is not None:
        lines.append(f"X-Caller: {call.tenant}")
    if call.idempotency_key is not None:
        lines.append(f"Idempotency-Key: {call.idempotency_key}")
    if call.is_retry:
        lines.append("X-Again: 1")
    if not is_get:
        lines.append(f"Content-Length: {len(call.body)}")
    return "\r\n".join([*lines, "", ""]).encode() + call.body


class RpcClient:
    """One MessagePack-RPC connection with concurrent calls; reconnects after the connection has closed."""

    def __init__(self, target: Address, resends_unread: bool = False) -> None:
        """`resends_unread`: whether a call is sent again if a new connection ends without an answer."""
        self._target = target
        self._resends_unread = resends_unread
        self._writer: asyncio.StreamWriter | None = None
        self._reader_task: asyncio.Task[None] | None = None
        self._pending: dict[int, asyncio.Future[CallResult]] = {}  # by message id
        self._msgids = itertools.count()
        self._answers = 0  # on the current connection
        self._was_used = False  # whether the last call was sent on a connection with earlier answers
        self._connecting = asyncio.Lock()

    async def call(self, call: ClientCall) -> CallResult:
        """Make a call; a broken connection or a timeout gives status 0."""
        try:
            async with asyncio.timeout(call.deadline_s + _TIMEOUT_MARGIN_S):
                sent_at = time.monotonic()
                result = await self._exchange(call)
                ended_at_once = time.monotonic() < sent_at + _CROSSING_S
                is_new = not self._was_used
                may_resend = self._resends_unread if is_new else ended_at_once
                if result.reason != _CONNECTION_ENDED or not may_resend:
                    return result
                # A sidecar may close a connection between requests while a call is being sent.
                return replace(await self._exchange(call), shut_unread=is_new)
        except (OSError, TimeoutError) as error:
            return CallResult(0, reason=repr(error))

    async def _exchange(self, call: ClientCall) -> CallResult:
        msgid = next(self._msgids) & 0xFFFFFFFF
        result: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
        try:
            writer = await self._connection()
            self._was_used = self._answers > 0
            self._pending[msgid] = result
            writer.write(pack([0, msgid, call.request_class, [_envelope(call), call.body]]))
            return await result
        finally:
            self._pending.pop(msgid, None)

    async def _connection(self) -> asyncio.StreamWriter:
        async with self._connecting:
            if self._writer is None or self._writer.is_closing():
                reader, self._writer = await asyncio.open_connection(*self._target)
                self._answers = 0
                reading = self._read_responses(reader, self._writer)
                self._reader_task = asyncio.get_running_loop().create_task(reading)
            return self._writer

    async def _read_responses(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        unpacker = msgpack.Unpacker(raw=False)
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(_READ_BYTES):
                unpacker.feed(data)
                for _, msgid, error, result in unpacker:
                    self._answers += 1
                    pending = self._pending.get(msgid)
                    if pending is not None and not pending.done():
                        pending.set_result(_parse_rpc_response(error, result))
        writer.close()
        for pending in self._pending.values():
            if not pending.done():
                pending.set_result(CallResult(0, reason=_CONNECTION_ENDED))

    def close(self) -> None:
        """Close the connection if it is open."""
        if self._reader_task is not None:
            self._reader_task.cancel()
        if self._writer is not None:
            self._writer.close()


def _envelope(call: ClientCall) -> dict[str, Any]:
    envelope: dict[str, Any] = {"id": call.request_id, "budget": call.deadline_s, "path": call.path}
    if call.tenant is not None:
        envelope["tenant"] = call.tenant
    if call.idempotency_key is not None:
        envelope["idempotency_key"] = call.idempotency_key
    if call.is_retry:
        envelope["again"] = True
    return envelope


def _parse_rpc_response(error: Any, result: Any) -> CallResult:
    if error is None:
        return CallResult(200, result.get("body", b""))
    return CallResult(error[0], error[1].encode(), error[2].get("retry_after"))


Client = HttpClient | RpcClient


def new_client(protocol: str, target: Address, resends_unread: bool = False) -> Client:
    """Return a client for this protocol; it connects on its first call."""
    return (HttpClient if protocol == HTTP else RpcClient)(target, resends_unread)
