"""Clients of a sidecar that is ended: some use their connections until these close, others fill it with idle ones."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from testbed.clients import ClientCall, http_request, outcome_of_status
from testbed.fleet.invariants import CallRecord
from testbed.fleet.load_generator import CLASS_WEIGHTS, DEADLINES_S, REQUEST_CLASSES, now
from testbed.wire import Address, read_http

ACCEPTS_AFTER_SIGTERM_S = 0.3  # clients open connections for so long after SIGTERM
CROSSING_WINDOW_S = 0.1  # a connection that ends so soon after a request was sent has crossed it
FINAL_WAIT_S = 0.5  # after the kill, for responses that are under way
PAUSES_S = (0.0, 0.0, 0.001, 0.02, 0.1)  # between two calls of a client
HALF_HEAD_RATIO = 0.3  # of the connections of a flood that send half a request head


class PersistentClients:
    """Connections to one sidecar, each with one call after the other for as long as it is open."""

    def __init__(self, number: int, address: Address, seed: int, calls: list[CallRecord]) -> None:
        """`number`: of the sidecar; `calls`: where each call and its result are recorded."""
        self._number, self._address = number, address
        self._chance = random.Random(seed)
        self._calls = calls
        self._sigterm_at: float | None = None  # when the sidecar got SIGTERM
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, connections: int) -> None:
        """Start the clients, one for each connection."""
        self._tasks = [asyncio.create_task(self._run(number)) for number in range(connections)]

    def note_sigterm(self) -> None:
        """Note that the sidecar got SIGTERM now."""
        self._sigterm_at = now()

    async def stop(self) -> None:
        """Stop after the kill; calls without a response stay lost."""
        await asyncio.wait(self._tasks, timeout=FINAL_WAIT_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _may_connect(self) -> bool:
        return self._sigterm_at is None or now() < self._sigterm_at + ACCEPTS_AFTER_SIGTERM_S

    async def _run(self, connection: int) -> None:
        """Use a connection until it ends, then open another for as long as that is allowed."""
        count = 0
        while self._may_connect():
            try:
                reader, writer = await asyncio.open_connection(*self._address)
            except OSError:
                return
            try:
                count = await self._use(reader, writer, connection, count)
            finally:
                writer.close()

    async def _use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection: int, count: int
    ) -> int:
        """Make calls until the connection ends; return the number of the next call."""
        while await self._call(reader, writer, f"k{self._number}-{connection}-{id(self) % 10007}-{count:05}"):
            count += 1
            await asyncio.sleep(self._chance.choice(PAUSES_S))
            if reader.at_eof():
                break
        return count + 1

    async def _call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request_id: str
    ) -> bool:
        """Make one call and return whether the connection stays open for another."""
        request_class = self._chance.choices(REQUEST_CLASSES, CLASS_WEIGHTS)[0]
        key = f"key-{request_id}" if request_class == "amend" else None
        body = b"" if request_class == "check" else b"declaration"
        deadline_s = DEADLINES_S[request_class]
        record = CallRecord(request_id, request_class, key, now(), deadline_s, sidecar=self._number)
        call = ClientCall(request_class, request_id, body=body, deadline_s=deadline_s, idempotency_key=key)
        self._calls.append(record)
        try:
            writer.write(http_request(call))
            response = await read_http(reader)
        except (OSError, asyncio.IncompleteReadError):
            if now() < record.sent_at + CROSSING_WINDOW_S:
                record.outcome, record.answered_at = "crossed", now()
            return False
        record.body, record.answered_at = response.body, now()
        record.outcome = outcome_of_status(response.status)
        return response.headers.get("connection") != "close"


class ConnectionFlood:
    """Clients that fill a sidecar's connections and send nothing, or half a request head."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance

    async def hold(self, address: Address, count: int, seconds: float, note: Callable[[str], None]) -> None:
        """Open so many connections and hold them for so long; `note` gets connections that failed."""
        writers = []
        for _ in range(count):
            try:
                _, writer = await asyncio.open_connection(*address)
            except OSError as fault:
                note(f"a connection of a flood: {type(fault).__name__}")
                continue
            if self._chance.random() < HALF_HEAD_RATIO:
                writer.write(b"GET /api/7f HTTP/1.1\r\nHost:")
            writers.append(writer)
        await asyncio.sleep(seconds)
        for writer in writers:
            writer.close()
