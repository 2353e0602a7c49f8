"""Clients that misbehave, each with what the sidecar owes it all the same; and slow ones, which are allowed.

A client that stops in the middle of a request, or sends something else, is owed an error or the end of its connection
within RESPONSE_LIMIT_S.  Nothing more is sent for a client that leaves.  A slow client is owed a response.  The order
of draws from the generator is part of the contract: a seed has to give the same clients in every version.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from testbed.fleet.load_generator import REQUEST_CLASSES, now
from testbed.wire import Address, pack, reset_connection

RESPONSE_LIMIT_S = 3.0  # to an incomplete or malformed request
EVENT_LOOP_SLACK_S = (
    0.3  # all clients and servers of a harness share one event loop, whose delays are not the program's
)
SEND_AFTER_LEAVE_MAX_S = 0.1  # after its client has left nothing more is sent for a request
SLOW_HEAD_S = 1.8  # a request head may take 2 s
DEADLINE_S = 1.5  # of every request
SLOW_CLIENT = "is slow"  # the behaviour of clients that are owed a response, not an error
_STATUS_LINE_START = b"HTTP/1.1 "
_READ_TIMEOUT_S = RESPONSE_LIMIT_S + 2.0
_READ_BYTES = 65536
_DRIP_INTERVAL_S = 0.2
_HALF_CLOSED_S = 1.0  # how long a half-closed connection stays open
_LEAVE_AFTER_S = (0.0, 0.001, 0.005, 0.02, 0.1, 0.5)


@dataclass(frozen=True, slots=True)
class ClientObservation:
    """What one misbehaving client met."""

    at: float
    sidecar: int
    behaviour: str
    waited_s: float = 0.0  # for its error, its close or its response
    violation: str = ""  # what it was owed and did not get


@dataclass(frozen=True, slots=True)
class AbandonedRequest:
    """A request whose client has left."""

    request_id: str
    at: float


Behaviour = Callable[[Address, str], Awaitable[ClientObservation | None]]  # of an address and a request id


class MisbehavingClients:
    """The misbehaving clients of some sidecars, by a seed."""

    def __init__(self, seed: int) -> None:
        self.observations: list[ClientObservation] = []
        self.abandoned: list[AbandonedRequest] = []
        self.request_classes: dict[str, str] = {}  # of all requests that were sent completely, by id
        self._chance = random.Random(seed)
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        # A behaviour that stands twice is drawn twice as often.
        self._behaviours: tuple[Behaviour, ...] = (
            self._stop, self._stop, self._stop_in_second_request, self._stop_in_message, self._drip_head,
            self._drip_body, self._send_junk, self._leave, self._leave, self._send_slowly,
        )  # fmt: skip

    async def run(
        self,
        rate: float,
        over: asyncio.Event,
        running_sidecars: Callable[[], list[int]],
        address: Callable[[int], Address],
    ) -> None:
        """Start so many clients a second until `over`, then wait for the last ones."""
        started_at, count = now(), 0
        while not over.is_set():
            sidecar = self._chance.choice(running_sidecars())
            behaviour = self._chance.choice(self._behaviours)
            client = self._run_client(behaviour, sidecar, address(sidecar))
            task = asyncio.get_running_loop().create_task(client)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            count += 1
            await asyncio.sleep(max(started_at + count / rate - now(), 0.0))
        await asyncio.gather(*self._tasks)

    async def _run_client(self, behaviour: Behaviour, sidecar: int, address: Address) -> None:
        request_id = f"u-{next(self._numbers):06}"
        at = now()
        try:
            seen = await behaviour(address, request_id)
        except ConnectionRefusedError:
            seen = ClientObservation(at, sidecar, behaviour.__name__, violation="connection refused")
        except OSError:  # a reset is an end of the connection too
            seen = ClientObservation(at, sidecar, behaviour.__name__, now() - at)
        if seen is not None:
            self.observations.append(
                ClientObservation(at, sidecar, seen.behaviour, seen.waited_s, seen.violation)
            )

    def _request(self, request_id: str, request_class: str = "lodge", body: bytes = b"declaration") -> bytes:
        path = f"/api/{self._chance.getrandbits(64):016x}"
        lines = [
            f"{'GET' if request_class == 'check' else 'POST'} {path} HTTP/1.1",
            "Host: app.svc",
            f"X-Call-Id: {request_id}",
            f"X-Call-Class: {request_class}",
            f"X-Budget: {DEADLINE_S:.3f}",
        ]
        if request_class == "check":
            return "\r\n".join([*lines, "", ""]).encode()
        if request_class == "amend":
            lines.append(f"Idempotency-Key: key-{request_id}")
        return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body

    def _cut_off(self, data: bytes) -> bytes:
        """Return the beginning of some data, cut at random."""
        return data[: self._chance.randrange(1, len(data))]

    # -- Clients that stop -----------------------------------------------------------------------------

    async def _stop(self, address: Address, request_id: str) -> ClientObservation:
        part = self._cut_off(self._request(request_id))
        return await self._expect_end(address, [part], "stops")

    async def _stop_in_second_request(self, address: Address, request_id: str) -> ClientObservation:
        """Send a complete request and a part of another one after it."""
        self.request_classes[request_id] = "lodge"
        part = self._cut_off(self._request(f"{request_id}-b"))
        data = self._request(request_id) + part
        return await self._expect_end(address, [data], "stops behind", ignore_responses=True)

    async def _stop_in_message(self, address: Address, request_id: str) -> ClientObservation:
        envelope = {"id": request_id, "budget": DEADLINE_S, "path": "/api/7f"}
        part = self._cut_off(pack([0, 7, "lodge", [envelope, b"declaration"]]))
        return await self._expect_end(address, [part], "stops in a message")

    async def _send_junk(self, address: Address, request_id: str) -> ClientObservation:
        junk = self._chance.randbytes(self._chance.randrange(1, 400))
        return await self._expect_end(address, [junk], "sends junk")

    async def _drip_head(self, address: Address, request_id: str) -> ClientObservation:
        data = self._request(request_id)
        return await self._expect_end(address, [data[:9], *([b"x"] * 40)], "drips", _DRIP_INTERVAL_S)

    async def _drip_body(self, address: Address, request_id: str) -> ClientObservation:
        data = self._request(request_id, body=bytes(5000))
        pieces = [data[:-5000], *([b"x"] * 40)]
        return await self._expect_end(address, pieces, "drips a body", _DRIP_INTERVAL_S)

    async def _expect_end(
        self,
        address: Address,
        pieces: list[bytes],
        behaviour: str,
        interval_s: float = 0.0,
        ignore_responses: bool = False,
    ) -> ClientObservation:
        """Send these pieces and expect an error or the end of the connection in time.

        `ignore_responses`: a response that is no error does not count.
        """
        reader, writer = await asyncio.open_connection(*address)
        started_at = now()
        sending = asyncio.get_running_loop().create_task(self._send(writer, pieces, interval_s))
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                await self._read_error_or_end(reader, ignore_responses)
        except TimeoutError:
            violation = f"{behaviour}: nothing in {_READ_TIMEOUT_S} s, after {pieces[0][-30:]!r}"
            return ClientObservation(started_at, 0, behaviour, now() - started_at, violation)
        except ConnectionError:
            pass
        finally:
            sending.cancel()
            writer.close()
        waited_s = now() - started_at
        late = waited_s > RESPONSE_LIMIT_S + EVENT_LOOP_SLACK_S
        violation = f"{behaviour}: ended after {waited_s:.2f} s" if late else ""
        return ClientObservation(started_at, 0, behaviour, waited_s, violation)

    @staticmethod
    async def _read_error_or_end(reader: asyncio.StreamReader, ignore_responses: bool) -> None:
        received = b""
        while data := await reader.read(_READ_BYTES):
            received += data
            if not ignore_responses or b"HTTP/1.1 408" in received or b"HTTP/1.1 400" in received:
                return

    @staticmethod
    async def _send(writer: asyncio.StreamWriter, pieces: list[bytes], interval_s: float) -> None:
        with contextlib.suppress(ConnectionError):
            for piece in pieces:
                if writer.is_closing():
                    return
                writer.write(piece)
                await asyncio.sleep(interval_s)

    # -- Clients that leave, and slow ones -------------------------------------------------------------

    async def _leave(self, address: Address, request_id: str) -> None:
        """Close, reset or half-close the connection shortly after the request."""
        request_class = self._chance.choice(REQUEST_CLASSES)
        self.request_classes[request_id] = request_class
        _, writer = await asyncio.open_connection(*address)
        writer.write(self._request(request_id, request_class))
        await asyncio.sleep(self._chance.choice(_LEAVE_AFTER_S))
        way = self._chance.randrange(3)
        self.abandoned.append(AbandonedRequest(request_id, now()))
        if way == 0:
            reset_connection(writer)
        elif way == 1:
            sock: socket.socket | None = writer.get_extra_info("socket")
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(_HALF_CLOSED_S)
        writer.close()

    async def _send_slowly(self, address: Address, request_id: str) -> ClientObservation:
        """Take nearly 2 s for the head, which is allowed, and expect a response."""
        request_class = self._chance.choice(REQUEST_CLASSES)
        self.request_classes[request_id] = request_class
        data = self._request(request_id, request_class)
        size = self._chance.randrange(1, len(data))
        for pause_s in (SLOW_HEAD_S, 0.0):  # a request crossed by the end of its connection is sent once more
            try:
                status, waited_s = await self._exchange_in_two_parts(
                    address, data[:size], data[size:], pause_s
                )
            except (asyncio.IncompleteReadError, ConnectionError):
                continue
            except TimeoutError:
                violation = f"{SLOW_CLIENT}: {request_id} is not answered in its time"
                return ClientObservation(0.0, 0, SLOW_CLIENT, violation=violation)
            wrong = status not in (200, 429, 500, 503)
            violation = f"{SLOW_CLIENT}: {status} to {request_id}" if wrong else ""
            return ClientObservation(0.0, 0, SLOW_CLIENT, waited_s, violation)
        violation = f"{SLOW_CLIENT}: {request_id} met an end twice"
        return ClientObservation(0.0, 0, SLOW_CLIENT, violation=violation)

    @staticmethod
    async def _exchange_in_two_parts(
        address: Address, first: bytes, rest: bytes, pause_s: float
    ) -> tuple[int, float]:
        """Send a request in two parts; return the response's status and the seconds from the last byte to it."""
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(first)
            await asyncio.sleep(pause_s)
            writer.write(rest)
            started_at = now()
            async with asyncio.timeout(DEADLINE_S + 1.0):
                head = await reader.readuntil(b"\r\n")
        finally:
            writer.close()
        return int(head[len(_STATUS_LINE_START) :].split(b" ")[0]), now() - started_at
