"""Crowds of clients that misbehave or are as slow as the platform allows, in a process of their own.

    python -m testbed.crowds.clients KIND HOST PORT SECONDS [--connections N] [--seed 1]

A crowd keeps so many connections busy for so long.  KIND is one of CROWDS; a flood uses one connection.  The last line
is a JSON object: connections made, and bytes sent and received.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import random
import socket
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import asdict, dataclass, field

from testbed.wire import Address, pack

LARGE_BYTES = 1 << 20
LONGEST_BYTES = 32 << 20
SLOW_BYTES_PER_S = 64_000  # the slowest pace that the platform allows
_HEAD_BYTES = 16 * 1024
_SMALL_BUFFER_BYTES = 4096
_STOPPED_S = 4.0  # a client that has stopped waits so long for its error
_RECONNECT_S = 0.1
_READ_BYTES = 65536


@dataclass(slots=True)
class Crowd:
    """What a crowd does, and what it has done."""

    address: Address
    end_at: float
    chance: random.Random
    numbers: Iterator[int] = field(default_factory=itertools.count)
    connections: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0

    def is_over(self) -> bool:
        """Whether the crowd's time is over."""
        return time.monotonic() >= self.end_at

    def head(
        self, kind: str, length: int = 0, path: str = "/api/crowd", extra: str = "", **fields: str
    ) -> bytes:
        """Return the head of a request; `extra`: further fields, each with its line's end."""
        request_id = f"x{self.chance.getrandbits(64):016x}{next(self.numbers)}"
        lines = [
            f"{'GET' if kind == 'check' else 'POST'} {path} HTTP/1.1",
            "Host: app.svc",
            f"X-Call-Id: {request_id}",
            f"X-Call-Class: {fields.get('request_class', kind)}",
            "X-Budget: 2.0",
        ]
        if kind == "amend":
            lines.append(f"Idempotency-Key: {request_id}")
        if "chunked" in fields:
            lines.append("Transfer-Encoding: chunked")
        elif kind != "check":
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join([*lines, ""]) + extra + "\r\n").encode()

    def call(self, msgid: int, kind: str, path: str = "/api/crowd", body: bytes = b"") -> bytes:
        """Return a MessagePack-RPC call."""
        request_id = f"x{self.chance.getrandbits(64):016x}{next(self.numbers)}"
        return pack([0, msgid, kind, [{"id": request_id, "budget": 2.0, "path": path}, body]])


@dataclass(slots=True)
class Connection:
    """One connection of a crowd."""

    crowd: Crowd
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, data: bytes) -> None:
        """Send; raise OSError if the connection has ended."""
        if self.writer.is_closing():
            raise ConnectionResetError
        self.writer.write(data)
        await self.writer.drain()
        self.crowd.sent_bytes += len(data)

    async def read(self, count: int = _READ_BYTES) -> bytes:
        """Read; raise ConnectionResetError at the end."""
        data = await self.reader.read(count)
        if not data:
            raise ConnectionResetError
        self.crowd.received_bytes += len(data)
        return data

    async def wait_for_end(self, seconds: float = _STOPPED_S) -> None:
        """Read until the connection ends, for some seconds at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while True:
                    await self.read()


Behaviour = Callable[[Connection], Awaitable[None]]


def short_fields(count_bytes: int) -> str:
    """Return as many short fields as take so many bytes."""
    return "".join(f"{number:x}:1\r\n" for number in range(count_bytes // 7))


# -- Clients that write slowly or stop ---------------------------------------------------------------------


async def stop_in_large_body(one: Connection) -> None:
    await one.send(one.crowd.head("amend", LARGE_BYTES) + bytes(LARGE_BYTES // 2))
    await one.wait_for_end()


async def stop_in_small_body(one: Connection) -> None:
    await one.send(one.crowd.head("amend", LARGE_BYTES) + bytes(63_000))
    await one.wait_for_end()


async def write_body_slowly(one: Connection) -> None:
    await one.send(one.crowd.head("amend", LONGEST_BYTES))
    reading = asyncio.create_task(one.wait_for_end(3600.0))
    try:
        while not one.crowd.is_over() and not reading.done():
            await one.send(bytes(SLOW_BYTES_PER_S))
            await asyncio.sleep(0.9)
    finally:
        reading.cancel()


async def write_head_slowly(one: Connection) -> None:
    data = one.crowd.head("lodge", 5, extra=short_fields(1200)) + b"hello"
    for start in range(0, len(data), len(data) // 18 + 1):
        await one.send(data[start : start + len(data) // 18 + 1])
        await asyncio.sleep(0.1)
    await one.wait_for_end(2.5)


async def stop_with_short_fields(one: Connection) -> None:
    await one.send(
        one.crowd.head("amend", LARGE_BYTES, extra=short_fields(_HEAD_BYTES - 400)) + bytes(60_000)
    )
    await one.wait_for_end()


async def ask_with_short_fields(one: Connection) -> None:
    await one.send(one.crowd.head("amend", 60_000, extra=short_fields(_HEAD_BYTES - 400)) + bytes(60_000))
    await one.wait_for_end(2.5)


async def send_many_and_stop(one: Connection) -> None:
    """Send requests behind one another, of more bytes than are read ahead."""
    behind = b"".join(one.crowd.head("lodge", 60_000) + bytes(60_000) for _ in range(3))
    await one.send(one.crowd.head("lodge", 5) + b"hello" + behind)
    await one.wait_for_end()


async def stop_in_message(one: Connection) -> None:
    await one.send(one.crowd.call(1, "lodge", body=bytes(64_000))[:-100])
    await one.wait_for_end()


async def stop_in_many_values(one: Connection) -> None:
    """Stop in a message of very many short strings, which take many times their size in memory."""
    strings = b"\xdc\x00\x40" + b"".join(b"\xa2" + one.crowd.chance.randbytes(2) for _ in range(64))
    nested = b"\xdc\x00\x40" * 2 + strings * 380
    await one.send(b"\x94\x00\x01\xa5lodge\x92\x81\xa2id" + nested[:75_000])
    await one.wait_for_end()


# -- Clients that read slowly ------------------------------------------------------------------------------


async def _read_slowly(one: Connection) -> None:
    while not one.crowd.is_over():
        data = await asyncio.wait_for(one.read(_SMALL_BUFFER_BYTES), _STOPPED_S)
        await asyncio.sleep(len(data) / SLOW_BYTES_PER_S)


async def read_long_answer_slowly(one: Connection) -> None:
    await one.send(one.crowd.head("check", path=f"/api/answer-{LARGE_BYTES * 4}"))
    await _read_slowly(one)


async def read_answers_slowly(one: Connection) -> None:
    await one.send(b"".join(one.crowd.head("check", path="/api/answer-60000") for _ in range(20)))
    await _read_slowly(one)


async def read_rpc_answers_slowly(one: Connection) -> None:
    await one.send(b"".join(one.crowd.call(number, "check", "/api/answer-60000") for number in range(4)))
    await _read_slowly(one)


async def read_many_rpc_answers_slowly(one: Connection) -> None:
    await one.send(b"".join(one.crowd.call(number, "check", "/api/answer-60000") for number in range(120)))
    await _read_slowly(one)


async def send_calls_and_read_nothing(one: Connection) -> None:
    """Send calls of large bodies for as long as they are taken, and read nothing."""
    numbers = itertools.count()
    while not one.crowd.is_over():
        msgid = next(numbers)
        await asyncio.wait_for(one.send(one.crowd.call(msgid, "lodge", body=bytes(60_000))), _STOPPED_S)


# -- Floods on one connection ------------------------------------------------------------------------------


async def _flood(one: Connection, pieces: Callable[[], bytes]) -> None:
    reading = asyncio.create_task(one.wait_for_end(3600.0))
    try:
        while not one.crowd.is_over() and not reading.done():
            await one.send(pieces())
    finally:
        reading.cancel()


async def flood_ready(one: Connection) -> None:
    await _flood(one, lambda: b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n" * 200)


async def flood_requests(one: Connection) -> None:
    await _flood(one, lambda: b"".join(one.crowd.head("check") for _ in range(100)))


async def flood_new_names(one: Connection) -> None:
    """Flood with requests of ever new classes, callers and paths."""

    def pieces() -> bytes:
        name = f"{one.crowd.chance.getrandbits(60):x}"
        caller = f"X-Caller: {name}\r\n"
        return b"".join(
            one.crowd.head("check", path=f"/api/{name}{number}", extra=caller, request_class=name)
            for number in range(50)
        )

    await _flood(one, pieces)


async def flood_small_chunks(one: Connection) -> None:
    await one.send(one.crowd.head("amend", chunked=""))
    await _flood(one, lambda: b"1\r\na\r\n" * 10_000)


async def flood_empty_lines(one: Connection) -> None:
    await _flood(one, lambda: b"\r\n" * 32_768)


async def flood_calls(one: Connection) -> None:
    numbers = itertools.count()
    await _flood(one, lambda: b"".join(one.crowd.call(next(numbers), "check") for _ in range(200)))


async def flood_unknown_methods(one: Connection) -> None:
    numbers = itertools.count()
    await _flood(one, lambda: b"".join(pack([0, next(numbers), f"m{number}", []]) for number in range(2000)))


async def flood_notifications(one: Connection) -> None:
    numbers = itertools.count()
    await _flood(one, lambda: b"".join(pack([2, f"n{next(numbers)}", []]) for _ in range(2000)))


async def flood_new_ids(one: Connection) -> None:
    """Flood with calls that are invalid in one field each, under ever new ids and keys."""
    numbers = itertools.count()

    def pieces() -> bytes:
        calls = []
        for _ in range(500):
            number = next(numbers)
            envelope = {"id": f"i{number}", "budget": -1, "key": f"k{number}", "tenant": f"t{number}"}
            calls.append(pack([0, number % 2**32, "amend", [envelope]]))
        return b"".join(calls)

    await _flood(one, pieces)


CROWDS: dict[str, Behaviour] = {
    each.__name__: each
    for each in (
        stop_in_large_body,
        stop_in_small_body,
        write_body_slowly,
        write_head_slowly,
        stop_with_short_fields,
        ask_with_short_fields,
        send_many_and_stop,
        stop_in_message,
        stop_in_many_values,
        read_long_answer_slowly,
        read_answers_slowly,
        read_rpc_answers_slowly,
        read_many_rpc_answers_slowly,
        send_calls_and_read_nothing,
    )
}
# The connections of a crowd that asks for work: as many as leave the servers time for others.
_CONNECTIONS = {"read_many_rpc_answers_slowly": 12, "send_calls_and_read_nothing": 60}
_CONNECTIONS_DEFAULT = 450
FLOODS: dict[str, Behaviour] = {
    each.__name__: each
    for each in (
        flood_ready,
        flood_requests,
        flood_new_names,
        flood_small_chunks,
        flood_empty_lines,
        flood_calls,
        flood_unknown_methods,
        flood_notifications,
        flood_new_ids,
    )
}
_SLOW_READERS = (
    read_long_answer_slowly,
    read_answers_slowly,
    read_rpc_answers_slowly,
    read_many_rpc_answers_slowly,
    send_calls_and_read_nothing,
)


async def _connect(crowd: Crowd, buffer_bytes: int | None) -> Connection:
    sock = socket.socket()
    if buffer_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, crowd.address)
    reader, writer = await asyncio.open_connection(sock=sock, limit=buffer_bytes or _READ_BYTES)
    crowd.connections += 1
    return Connection(crowd, reader, writer)


async def _repeat(crowd: Crowd, behaviour: Behaviour) -> None:
    """Be one client after another until the crowd's time is over."""
    buffer_bytes = _SMALL_BUFFER_BYTES if behaviour in _SLOW_READERS else None
    while not crowd.is_over():
        try:
            one = await _connect(crowd, buffer_bytes)
        except OSError:
            await asyncio.sleep(_RECONNECT_S)
            continue
        try:
            async with asyncio.timeout(max(crowd.end_at - time.monotonic(), 0.0) + 1.0):
                await behaviour(one)
        except (OSError, TimeoutError):
            await asyncio.sleep(crowd.chance.uniform(0.0, _RECONNECT_S))
        finally:
            one.writer.transport.abort()


async def _run(kind: str, crowd: Crowd, connections: int | None) -> None:
    behaviour = CROWDS.get(kind) or FLOODS[kind]
    usual = _CONNECTIONS.get(kind, _CONNECTIONS_DEFAULT) if kind in CROWDS else 1
    count = usual if connections is None else connections
    await asyncio.gather(*(_repeat(crowd, behaviour) for _ in range(count)))


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="testbed.crowds.clients", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument("kind", choices=[*CROWDS, *FLOODS])
    parser.add_argument("host")
    parser.add_argument("port", type=int)
    parser.add_argument("seconds", type=float)
    parser.add_argument("--connections", type=int, default=None)
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    crowd = Crowd((given.host, given.port), time.monotonic() + given.seconds, random.Random(given.seed))
    asyncio.run(_run(given.kind, crowd, given.connections))
    done = asdict(crowd)
    print(json.dumps({name: done[name] for name in ("connections", "sent_bytes", "received_bytes")}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
