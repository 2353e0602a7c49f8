"""A registry with injected faults: calls are refused, refused late, never answered, reset, or answered late.

A fault applies to calls that begin while it is active.  An unanswered call stays unanswered after the fault has ended,
as when a machine between client and registry has lost its connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass
from enum import Enum, unique

from testbed.registry import Registry
from testbed.wire import Message, Reply, read_http, reset_connection


@unique
class Fault(Enum):
    """The fault applied to new calls; fault schedules use the values."""

    NONE = "none"
    REFUSED = "refused"  # 503 immediately
    REFUSED_LATE = "held"  # 503 after `refusal_delay_s`, like an overloaded service
    UNANSWERED = "swallowed"  # until the client closes the connection
    RESET = "reset"
    ANSWERED_LATE = "late"  # after `answer_delay_s`


@dataclass(frozen=True, slots=True)
class ListCall:
    """One call for the list."""

    received_at: float  # monotonic clock, s
    path: str
    fault: Fault


class FaultyRegistry(Registry):
    """A registry with at most one active fault at a time."""

    def __init__(self, refusal_delay_s: float = 2.0, answer_delay_s: float = 0.8) -> None:
        super().__init__()
        self.fault = Fault.NONE
        self.refusal_delay_s = refusal_delay_s
        self.answer_delay_s = answer_delay_s
        self.list_calls: list[ListCall] = []
        self.refused_calls = 0  # calls answered with 503
        self._open: set[asyncio.StreamWriter] = set()

    def count(self, fault: Fault) -> int:
        """Return the number of calls that began under this fault."""
        return sum(call.fault is fault for call in self.list_calls)

    def end_watches(self) -> None:
        """Reset all connections with unanswered calls, as when the service stops."""
        for writer in list(self._open):
            reset_connection(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                await self._serve_call(await read_http(reader), reader, writer)
        finally:
            self._open.discard(writer)
            writer.close()

    async def _serve_call(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        fault = self.fault
        self.calls += 1
        self.list_calls.append(ListCall(time.monotonic(), request.path, fault))
        if fault is Fault.UNANSWERED:
            await reader.read()  # until the client closes the connection
        elif fault is Fault.RESET:
            reset_connection(writer)
        elif fault in (Fault.REFUSED, Fault.REFUSED_LATE):
            await self._refuse(writer, self.refusal_delay_s if fault is Fault.REFUSED_LATE else None)
        else:
            if fault is Fault.ANSWERED_LATE:
                await asyncio.sleep(self.answer_delay_s)
            document = await self._answer(request)
            writer.write(Reply(200, json.dumps(document).encode()).http())
            await writer.drain()

    async def _refuse(self, writer: asyncio.StreamWriter, delay_s: float | None) -> None:
        if delay_s is not None:
            await asyncio.sleep(delay_s)
        writer.write(Reply(503, b"").http())
        await writer.drain()
        self.refused_calls += 1
