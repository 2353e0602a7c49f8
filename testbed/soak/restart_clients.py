"""Clients of a sidecar that is told to end: they use what is open until it closes, up to the kill."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from testbed.clients import ClientCall, http_request
from testbed.fleet.invariants import CallRecord
from testbed.fleet.load_generator import CLASS_WEIGHTS, DEADLINES_S, REQUEST_CLASSES, now
from testbed.wire import Address, read_http

ACCEPTS_AFTER_SIGTERM_S = 0.3  # after SIGTERM new connections still come for so long
CROSSING_WINDOW_S = 0.1  # an end that comes so soon behind a request has crossed it
FINAL_WAIT_S = 0.5  # for an answer that the kill has overtaken


class PersistentClients:
    """Some connections to one sidecar, each with one call after the other for as long as it is open."""

    def __init__(self, number: int, address: Address, seed: int, calls: list[CallRecord]) -> None:
        """`calls`: where each call and what came of it is noted."""
        self._number, self._address = number, address
        self._chance = random.Random(seed)
        self._calls = calls
        self._told_at: float | None = None  # when the sidecar was told to end
        self._tasks: list[asyncio.Task[None]] = []

    def begin(self, connections: int) -> None:
        self._tasks = [asyncio.create_task(self._last(each)) for each in range(connections)]

    def told_to_end(self) -> None:
        self._told_at = now()

    async def end(self) -> None:
        """After the kill: what has no answer is lost."""
        await asyncio.wait(self._tasks, timeout=FINAL_WAIT_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _may_open(self) -> bool:
        return self._told_at is None or now() < self._told_at + ACCEPTS_AFTER_SIGTERM_S

    async def _last(self, connection: int) -> None:
        """Use a connection until it ends, and open another as long as that is done."""
        count = 0
        while self._may_open():
            try:
                reader, writer = await asyncio.open_connection(*self._address)
            except OSError:
                return
            try:
                while await self._one(
                    reader, writer, f"k{self._number}-{connection}-{id(self) % 10007}-{count:05}"
                ):
                    count += 1
                    await asyncio.sleep(self._chance.choice((0.0, 0.0, 0.001, 0.02, 0.1)))
                    if reader.at_eof():
                        break
                count += 1
            finally:
                writer.close()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ident: str) -> bool:
        """One call; whether the connection stays open for another."""
        kind = self._chance.choices(REQUEST_CLASSES, CLASS_WEIGHTS)[0]
        key = f"key-{ident}" if kind == "amend" else None
        body = b"" if kind == "check" else b"declaration"
        called = CallRecord(ident, kind, key, now(), DEADLINES_S[kind], sidecar=self._number)
        wish = ClientCall(kind, ident, body=body, budget_s=called.budget_s, key=key)
        self._calls.append(called)
        try:
            writer.write(http_request(wish))
            answer = await read_http(reader)
        except (OSError, asyncio.IncompleteReadError):
            if now() < called.sent_at + CROSSING_WINDOW_S:
                called.verdict, called.answered_at = "crossed", now()
            return False
        called.body, called.answered_at = answer.body, now()
        called.verdict = outcome_of_status(int(answer.first.split(" ")[1]))
        return answer.headers.get("connection") != "close"


def outcome_of_status(status: int) -> str:
    if status == 200:
        return "served"
    return "refused" if status in (429, 503) else "failed"


class ConnectionFlood:
    """Clients that fill a sidecar's connections and say nothing, or half a head."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance

    async def stay(self, address: Address, count: int, seconds: float, note: Callable[[str], None]) -> None:
        """So many of them, for so long."""
        writers = []
        for _ in range(count):
            try:
                _, writer = await asyncio.open_connection(*address)
            except OSError as fault:
                note(f"a connection of a crowd: {type(fault).__name__}")
                continue
            if self._chance.random() < 0.3:
                writer.write(b"GET /api/7f HTTP/1.1\r\nHost:")
            writers.append(writer)
        await asyncio.sleep(seconds)
        for writer in writers:
            writer.close()
