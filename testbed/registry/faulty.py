"""A registry whose calls can go wrong: refused, held and then refused, never answered, or answered late.

What is wrong holds for the calls that begin meanwhile: one that was swallowed stays so when all is well again, as when
a machine between the two has forgotten its connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass
from enum import Enum, unique

from testbed.registry import Registry
from testbed.wire import Asked, Reply, read_http, reset


@unique
class Trouble(Enum):
    """What becomes of a call that begins now."""

    NONE = "none"
    REFUSED = "refused"  # 503 at once
    HELD = "held"  # 503 after `held_s`, as by a service with too many callers
    SWALLOWED = "swallowed"  # never answered, however long its caller waits
    RESET = "reset"
    LATE = "late"  # answered, `late_s` after it came


@dataclass(frozen=True, slots=True)
class ListCall:
    """One call for the list, as it came."""

    at: float  # on the monotonic clock, seconds
    path: str
    trouble: Trouble


class FaultyRegistry(Registry):
    """The registry, with one trouble at a time."""

    def __init__(self, held_s: float = 2.0, late_s: float = 0.8) -> None:
        super().__init__()
        self.trouble = Trouble.NONE
        self.held_s = held_s
        self.late_s = late_s
        self.list_calls: list[ListCall] = []
        self.failed = 0  # calls that were told to have failed
        self._open: set[asyncio.StreamWriter] = set()

    def count(self, trouble: Trouble) -> int:
        """How many calls met this."""
        return sum(each.trouble is trouble for each in self.list_calls)

    def end_watches(self) -> None:
        """Reset what waits for an answer, as when the service goes down."""
        for writer in list(self._open):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                await self._one(await read_http(reader), reader, writer)
        finally:
            self._open.discard(writer)
            writer.close()

    async def _one(self, asked: Asked, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        trouble = self.trouble
        self.calls += 1
        self.list_calls.append(ListCall(time.monotonic(), asked.path, trouble))
        if trouble is Trouble.SWALLOWED:
            await reader.read()  # until its caller gives it up
            return
        if trouble is Trouble.RESET:
            reset(writer)
            return
        if trouble is Trouble.HELD:
            await asyncio.sleep(self.held_s)
        if trouble in (Trouble.HELD, Trouble.REFUSED):
            writer.write(Reply(503, b"").http())
            await writer.drain()
            self.failed += 1
            return
        if trouble is Trouble.LATE:
            await asyncio.sleep(self.late_s)
        told = await self._answer(asked)
        writer.write(Reply(200, json.dumps(told).encode()).http())
        await writer.drain()
