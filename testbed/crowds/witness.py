"""Sound clients beside a crowd: each request has to get its own answer in its time."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgpack

from testbed.wire import HTTP, Address, pack, read_http

LATE_S = 0.55  # so long after its time a request is lost
_PAUSE_S = 0.05
_SENDINGS_MAX = 4
_CLASSES = (("check", 3.0), ("amend", 2.0), ("lodge", 4.0))  # with the time of a request, in seconds
_ids = itertools.count()


@dataclass(slots=True)
class Testimony:
    """What sound clients have met."""

    statuses: Counter[int] = field(default_factory=Counter)
    slowest_s: float = 0.0
    shut_unread: int = 0  # new connections that ended without an answer
    broken: list[str] = field(default_factory=list)  # rules that were broken

    @property
    def served_ratio(self) -> float:
        """The part of the requests that was served."""
        return self.statuses[200] / max(sum(self.statuses.values()), 1)


class _Closed(Exception):
    """The connection ended without a byte of an answer."""


class _Client:
    """One connection after another, in one protocol."""

    def __init__(self, address: Address, protocol: str) -> None:
        self._address = address
        self._protocol = protocol
        self._open: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, request_id: str, kind: str, budget_s: float) -> tuple[int, bytes]:
        """Ask; raise _Closed if the connection ends instead of an answer."""
        try:
            if self._open is None:
                self._open = await asyncio.open_connection(*self._address)
            ask = self._ask_http if self._protocol == HTTP else self._ask_rpc
            return await ask(*self._open, request_id, kind, budget_s)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            raise _Closed from error

    def close(self) -> None:
        if self._open is not None:
            self._open[1].transport.abort()
            self._open = None

    async def _ask_http(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
        kind: str,
        budget_s: float,
    ) -> tuple[int, bytes]:
        lines = [
            f"{'GET' if kind == 'check' else 'POST'} /api/witness HTTP/1.1",
            "Host: app.svc",
            f"X-Call-Id: {request_id}",
            f"X-Call-Class: {kind}",
            f"X-Budget: {budget_s}",
        ]
        if kind == "amend":
            lines.append(f"Idempotency-Key: {request_id}")
        if kind != "check":
            lines.append("Content-Length: 0")
        writer.write("\r\n".join([*lines, "", ""]).encode())
        got = await read_http(reader)
        if got.headers.get("connection") == "close":
            self.close()
        return got.status, got.body

    @staticmethod
    async def _ask_rpc(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
        kind: str,
        budget_s: float,
    ) -> tuple[int, bytes]:
        writer.write(
            pack(
                [
                    0,
                    1,
                    kind,
                    [
                        {"id": request_id, "budget": budget_s, "path": "/api/witness"}
                        | ({"idempotency_key": request_id} if kind == "amend" else {}),
                        b"",
                    ],
                ]
            )
        )
        unpacker = msgpack.Unpacker(raw=False)
        while True:
            data = await reader.read(65536)
            if not data:
                raise ConnectionResetError
            unpacker.feed(data)
            for message in unpacker:
                error: Any = message[2]
                return (200, message[3]["body"]) if error is None else (error[0], b"")


class Witness:
    """Sound clients that ask one request after another on kept connections."""

    def __init__(self, address: Address) -> None:
        self.testimony = Testimony()
        self._address = address
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, protocols: list[str]) -> None:
        """Start one client of each class for each protocol."""
        for protocol in protocols:
            for kind, budget_s in _CLASSES:
                self._tasks.append(asyncio.create_task(self._ask_on(protocol, kind, budget_s)))

    async def stop(self) -> None:
        """Stop the clients, and give those that wait their time."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _ask_on(self, protocol: str, kind: str, budget_s: float) -> None:
        one = _Client(self._address, protocol)
        try:
            while True:
                await self._ask_once(one, kind, budget_s)
                await asyncio.sleep(_PAUSE_S)
        finally:
            one.close()

    async def _ask_once(self, one: _Client, kind: str, budget_s: float) -> None:
        """Ask once; a request that crosses the end of its connection is sent once more on a new one.

        Beside a crowd that fills the descriptors the platform lets a sidecar shut new connections unread; a request
        that meets this goes to a further one.
        """
        request_id = f"w{next(_ids)}"
        for sending in range(_SENDINGS_MAX):
            started_at = time.monotonic()
            try:
                async with asyncio.timeout(budget_s + LATE_S):
                    status, body = await one.ask(request_id, kind, budget_s)
            except _Closed:
                self.testimony.shut_unread += sending > 0
                if sending == _SENDINGS_MAX - 1:
                    self.testimony.broken.append(
                        f"{kind} {request_id}: {_SENDINGS_MAX} connections ended without an answer"
                    )
                continue
            except TimeoutError:
                self.testimony.broken.append(f"{kind} {request_id}: no answer {LATE_S} s after its time")
                one.close()
                return
            self.testimony.statuses[status] += 1
            self.testimony.slowest_s = max(self.testimony.slowest_s, time.monotonic() - started_at)
            if status == 200 and body != request_id.encode():
                self.testimony.broken.append(f"{kind} {request_id}: served {body[:40]!r}")
            return
