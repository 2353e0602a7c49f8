"""Clients that do not behave, each with what it is owed all the same; and slow ones, that do."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from testbed.fleet.load_generator import now
from testbed.wire import Address, pack, reset_connection

RESPONSE_LIMIT_S = 3.0  # to whoever stops in the middle of a request, or sends what is none
EVENT_LOOP_SLACK_S = 0.3  # all clients and servers of a rig share one loop: its turns are not the program's
SEND_AFTER_LEAVE_MAX_S = 0.1  # after its client has left nothing more is sent for a request
SLOW_HEAD_S = 1.8  # an honest client's head may take 2 s
DEADLINE_S = 1.5  # of every request
_STATUS_LINE_START = b"HTTP/1.1 "
_READ_TIMEOUT_S = RESPONSE_LIMIT_S + 2.0


@dataclass(frozen=True, slots=True)
class ClientObservation:
    """What came of one unruly client."""

    at: float
    sidecar: int
    what: str
    waited_s: float = 0.0  # for its error, its close or its answer
    broken: str = ""  # what it was owed and did not get


@dataclass(frozen=True, slots=True)
class AbandonedRequest:
    """A request whose client has left."""

    ident: str
    at: float


Tells = Callable[[ClientObservation], None]


class MisbehavingClients:
    """The unruly clients of some sidecars, by a seed."""

    def __init__(self, seed: int) -> None:
        self.found: list[ClientObservation] = []
        self.left: list[AbandonedRequest] = []
        self.kinds: dict[str, str] = {}  # of all that was sent whole, by id
        self._chance = random.Random(seed)
        self._numbers = itertools.count()
        self._out: set[asyncio.Task[None]] = set()
        self._ways: tuple[Callable[[Address, str], Awaitable[ClientObservation | None]], ...] = (
            self._stops, self._stops, self._stops_behind, self._stops_in_a_message, self._drips, self._drips_a_body,
            self._sends_junk, self._leaves, self._leaves, self._is_slow,
        )  # fmt: skip

    async def load(
        self,
        rate: float,
        over: asyncio.Event,
        there: Callable[[], list[int]],
        address: Callable[[int], Address],
    ) -> None:
        """So many of them a second, until `over`."""
        began, count = now(), 0
        while not over.is_set():
            sidecar = self._chance.choice(there())
            way = self._chance.choice(self._ways)
            task = asyncio.get_running_loop().create_task(self._one(way, sidecar, address(sidecar)))
            self._out.add(task)
            task.add_done_callback(self._out.discard)
            count += 1
            await asyncio.sleep(max(began + count / rate - now(), 0.0))
        await asyncio.gather(*self._out)

    async def _one(
        self,
        way: Callable[[Address, str], Awaitable[ClientObservation | None]],
        sidecar: int,
        address: Address,
    ) -> None:
        ident = f"u-{next(self._numbers):06}"
        at = now()
        try:
            found = await way(address, ident)
        except OSError as fault:  # no connection came up, or it was reset: that is an end too
            found = ClientObservation(at, sidecar, way.__name__, now() - at)
            if isinstance(fault, ConnectionRefusedError):
                found = ClientObservation(at, sidecar, way.__name__, broken="connection refused")
        if found is not None:
            self.found.append(ClientObservation(at, sidecar, found.what, found.waited_s, found.broken))

    def _request(self, ident: str, kind: str = "lodge", body: bytes = b"declaration") -> bytes:
        path = f"/api/{self._chance.getrandbits(64):016x}"
        lines = [
            f"{'GET' if kind == 'check' else 'POST'} {path} HTTP/1.1",
            "Host: app.svc",
            f"X-Call-Id: {ident}",
        ]
        lines += [f"X-Call-Class: {kind}", f"X-Budget: {DEADLINE_S:.3f}"]
        if kind == "check":
            return "\r\n".join([*lines, "", ""]).encode()
        if kind == "amend":
            lines.append(f"Idempotency-Key: key-{ident}")
        return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body

    # -- Those that stop ------------------------------------------------------------------------------

    async def _stops(self, address: Address, ident: str) -> ClientObservation:
        data = self._request(ident)
        half = data[: self._chance.randrange(1, len(data))]
        return await self._hears_in_time(address, [half], "stops")

    async def _stops_behind(self, address: Address, ident: str) -> ClientObservation:
        """A whole request, and half of another behind it."""
        self.kinds[ident] = "lodge"
        data = self._request(f"{ident}-b")
        half = data[: self._chance.randrange(1, len(data))]
        return await self._hears_in_time(
            address, [self._request(ident) + half], "stops behind", to_the_end=True
        )

    async def _stops_in_a_message(self, address: Address, ident: str) -> ClientObservation:
        data = pack([0, 7, "lodge", [{"id": ident, "budget": DEADLINE_S, "path": "/api/7f"}, b"declaration"]])
        half = data[: self._chance.randrange(1, len(data))]
        return await self._hears_in_time(address, [half], "stops in a message")

    async def _sends_junk(self, address: Address, ident: str) -> ClientObservation:
        junk = self._chance.randbytes(self._chance.randrange(1, 400))
        return await self._hears_in_time(address, [junk], "sends junk")

    async def _drips(self, address: Address, ident: str) -> ClientObservation:
        data = self._request(ident)
        return await self._hears_in_time(address, [data[:9], *([b"x"] * 40)], "drips", 0.2)

    async def _drips_a_body(self, address: Address, ident: str) -> ClientObservation:
        data = self._request(ident, body=bytes(5000))
        return await self._hears_in_time(address, [data[:-5000], *([b"x"] * 40)], "drips a body", 0.2)

    async def _hears_in_time(
        self, address: Address, pieces: list[bytes], what: str, every_s: float = 0.0, to_the_end: bool = False
    ) -> ClientObservation:
        """Send these and stay.  What counts is an error or the end; `to_the_end`: an answer before it is none."""
        reader, writer = await asyncio.open_connection(*address)
        began = now()
        sending = asyncio.get_running_loop().create_task(self._send(writer, pieces, every_s))
        heard = b""
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                while data := await reader.read(65536):
                    heard += data
                    if not to_the_end or b"HTTP/1.1 408" in heard or b"HTTP/1.1 400" in heard:
                        break
        except TimeoutError:
            return ClientObservation(
                began,
                0,
                what,
                now() - began,
                f"{what}: nothing in {_READ_TIMEOUT_S} s, after {pieces[0][-30:]!r}",
            )
        except ConnectionError:
            pass
        finally:
            sending.cancel()
            writer.close()
        waited = now() - began
        late = waited > RESPONSE_LIMIT_S + EVENT_LOOP_SLACK_S
        return ClientObservation(
            began, 0, what, waited, f"{what}: heard after {waited:.2f} s" if late else ""
        )

    @staticmethod
    async def _send(writer: asyncio.StreamWriter, pieces: list[bytes], every_s: float) -> None:
        with contextlib.suppress(ConnectionError):
            for piece in pieces:
                if writer.is_closing():
                    return
                writer.write(piece)
                await asyncio.sleep(every_s)

    # -- Those that leave, and those that are slow ----------------------------------------------------

    async def _leaves(self, address: Address, ident: str) -> None:
        """Closes, resets or half-closes some moments after its request."""
        kind = self._chance.choice(("check", "amend", "lodge"))
        self.kinds[ident] = kind
        _, writer = await asyncio.open_connection(*address)
        writer.write(self._request(ident, kind))
        await asyncio.sleep(self._chance.choice((0.0, 0.001, 0.005, 0.02, 0.1, 0.5)))
        way = self._chance.randrange(3)
        self.left.append(AbandonedRequest(ident, now()))
        if way == 0:
            reset_connection(writer)
        elif way == 1:
            sock: socket.socket | None = writer.get_extra_info("socket")
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(1.0)
        writer.close()

    async def _is_slow(self, address: Address, ident: str) -> ClientObservation:
        """Takes nearly 2 s for its head, as it may, and is owed an answer to its request."""
        kind = self._chance.choice(("check", "amend", "lodge"))
        self.kinds[ident] = kind
        data = self._request(ident, kind)
        size = self._chance.randrange(1, len(data))
        for pause_s in (
            SLOW_HEAD_S,
            0.0,
        ):  # a request that an end has crossed goes once more, on a new connection
            try:
                status, waited_s = await self._ask_slowly(address, data[:size], data[size:], pause_s)
            except (asyncio.IncompleteReadError, ConnectionError):
                continue
            except TimeoutError:
                return ClientObservation(
                    0.0, 0, "is slow", broken=f"is slow: {ident} is not answered in its time"
                )
            wrong = status not in (200, 429, 500, 503)
            return ClientObservation(
                0.0, 0, "is slow", waited_s, f"is slow: {status} to {ident}" if wrong else ""
            )
        return ClientObservation(0.0, 0, "is slow", broken=f"is slow: {ident} met an end twice")

    @staticmethod
    async def _ask_slowly(address: Address, first: bytes, rest: bytes, pause_s: float) -> tuple[int, float]:
        """Send a request in two parts; give its answer's status and how long that took from its last byte on."""
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(first)
            await asyncio.sleep(pause_s)
            writer.write(rest)
            began = now()
            async with asyncio.timeout(DEADLINE_S + 1.0):
                head = await reader.readuntil(b"\r\n")
        finally:
            writer.close()
        return int(head[len(_STATUS_LINE_START) :].split(b" ")[0]), now() - began
