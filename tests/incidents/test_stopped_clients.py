"""Incident of 2 December 2026: clients that stop in the middle of a request, against the program in a process.

A client that stops is owed an error or the end of its connection within 3 s of its last byte (STOPPED_S).  A client
that goes on, as slowly as the platform allows, is served.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import signal
import socket
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path

import pytest
from loopback import (
    Client,
    FakeServer,
    Head,
    Pair,
    answer,
    client,
    play,
    read_answer,
    request,
    until,
    use,
    world,
)
from test_life import program

from testbed.wire import HTTP, MSGPACK_RPC, Address, pack
from topazbank.core.connection_states import ConnectionState

STOPPED_S = 3.0  # until a client that has stopped gets an error or the end of its connection
HEAD_S = 2.0  # allowed for the head of a request
BODY_BYTES_PER_S = 64_000  # the slowest body that is allowed
CHUNK_S = 1.0  # between two pieces of such a body
PATIENCE_S = STOPPED_S + 0.5  # how long a stopped client reads: enough to report late and never apart

READING_HEAD = ConnectionState.READING_HEAD
POST = request("pay", body=b"a declaration", X_Call_Id="stopped")
CHUNKED = request(
    "pay", X_Call_Id="chunked", Content_Length=None, Transfer_Encoding="chunked"
)  # its body follows in chunks
EXPECTING = request("pay", X_Call_Id="expecting", Content_Length="13", Expect="100-continue")
LARGE = request("pay", X_Call_Id="large", Content_Length="999999")

Stopped = Callable[[Address], Awaitable[float]]


def _answers(first: str, headers: Head, body: bytes) -> bytes | None:
    """Answer all requests except those to be held."""
    return None if "held" in first else answer(200, b"served")


async def _seconds_to_end(one: Client) -> float:
    """Return how long a stopped client waits for its error or the end; infinity if neither comes."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    try:
        async with asyncio.timeout(PATIENCE_S):
            await one.reader.read(1)  # an error's first byte, or the end
    except ConnectionError:
        pass
    except TimeoutError:
        return math.inf
    return loop.time() - started_at


def _after(*pieces: bytes) -> Stopped:
    """Return a client that sends these pieces, with short pauses, and stops."""

    async def stop(listen: Address) -> float:
        one = await client(listen)
        for piece in pieces:
            one.writer.write(piece)
            await asyncio.sleep(0.02)
        waited = await _seconds_to_end(one)
        one.close()
        return waited

    return stop


def _after_an_answer(half: bytes) -> Stopped:
    """Return a client that stops in the middle of its second request."""

    async def stop(listen: Address) -> float:
        one = await client(listen)
        one.send(request(X_Call_Id=f"before-{id(one):x}"))
        assert (await one.answer())[0] == 200
        one.writer.write(half)
        waited = await _seconds_to_end(one)
        one.close()
        return waited

    return stop


def _after_continue(listen: Address) -> Awaitable[float]:
    """Run a client that gets 100 Continue for its body, and stops."""

    async def stop() -> float:
        one = await client(listen)
        one.writer.write(EXPECTING)
        assert b" 100 " in await one.reader.readuntil(b"\r\n\r\n")
        waited = await _seconds_to_end(one)
        one.close()
        return waited

    return stop()


async def _holding(listen: Address, server: FakeServer) -> Client:
    """Return a client whose request is held by a server."""
    one = await client(listen)
    one.send(request("pay", path="/api/held", body=b"x", X_Call_Id="held", budget="30.0"))
    while not server.requests:
        await asyncio.sleep(0.01)
    return one


HTTP_STOPS: Mapping[str, Stopped] = {
    **{f"after {count} bytes": _after(POST[:count]) for count in range(1, len(POST), 11)},
    "after its empty lines": _after(b"\r\n"),
    "after an empty line and half a head": _after(b"\r\n", POST[:30]),
    "in pieces": _after(POST[:10], POST[10:40], POST[40:90]),
    "before the body": _after(POST[: POST.index(b"\r\n\r\n") + 4]),
    "in a chunk's size": _after(CHUNKED, b"a"),
    "in a chunk": _after(CHUNKED, b"a\r\nhalf"),
    "before the last chunk": _after(CHUNKED, b"4\r\nhalf\r\n"),
    "before the last empty line": _after(CHUNKED, b"4\r\nhalf\r\n0\r\n"),
    "after 100 Continue": _after_continue,
    "in a large body": _after(LARGE, bytes(200_000)),
    "in the next request's head": _after_an_answer(POST[:30]),
    "in the next request's body": _after_an_answer(POST[:-5]),
    "after empty lines behind a request": _after_an_answer(b"\r\n\r\n"),
}
_MESSAGE = pack([0, 7, "pay", [{"id": "stopped", "budget": 5.0, "path": "/api/7f"}, b"a declaration"]])
RPC_STOPS: Mapping[str, Stopped] = {
    **{f"after {count} bytes": _after(_MESSAGE[:count]) for count in range(1, len(_MESSAGE), 7)},
    "in pieces": _after(_MESSAGE[:2], _MESSAGE[2:9], _MESSAGE[9:30]),
    "in the next message": _after_an_answer(_MESSAGE[:20]),
}


async def _stop_all(stops: Mapping[str, Stopped], listen: Address) -> dict[str, float]:
    waited = await asyncio.gather(*(stop(listen) for stop in stops.values()))
    return dict(zip(stops, waited, strict=True))


@pytest.mark.parametrize(
    ("protocol", "stops", "ends"),
    [(HTTP, HTTP_STOPS, False), (MSGPACK_RPC, RPC_STOPS, False), (HTTP, HTTP_STOPS, True)],
    ids=[HTTP, MSGPACK_RPC, "http while the program ends"],
)
def test_a_client_that_stops_anywhere_in_a_request_gets_an_error_or_a_close_in_time(
    protocol: str, stops: Mapping[str, Stopped], ends: bool, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with program(tmp_path, FakeServer("s-0", _answers)) as (process, listen):
            use(Pair(client=protocol))
            holding = await client(listen)
            holding.send(request("pay", path="/api/held", body=b"x", X_Call_Id="held", budget="4.0"))
            stopping = asyncio.create_task(_stop_all(stops, listen))
            await asyncio.sleep(0.5)
            if ends:
                process.send_signal(signal.SIGTERM)
            waited = await stopping
            late = {where: seconds for where, seconds in waited.items() if seconds > STOPPED_S}
            assert not late, f"{len(late)} of {len(waited)} got nothing in time: {late}"
            holding.close()

    play(scenario())


@pytest.mark.parametrize(
    "half", [b"GET /half", POST[:-5], b"\x00\x01 junk\r\n\r\n"], ids=["half a head", "half a body", "junk"]
)
@pytest.mark.parametrize("served", [True, False])
def test_a_complete_request_before_an_incomplete_one_still_gets_its_response(
    half: bytes, served: bool, tmp_path: Path
) -> None:
    # Both promises hold: the held request was read and is answered; the incomplete one after it ends in time.
    async def scenario() -> None:
        server = FakeServer("s-0", _answers)
        async with program(tmp_path, server) as (_, listen):
            one = await _holding(listen, server)
            one.send(half)
            async with asyncio.timeout(STOPPED_S):
                if served:
                    await asyncio.sleep(0.3)
                    server.answer_held(answer(200, b"served"))
                status, *_ = await read_answer(one.reader)
                assert status == (200 if served else 500)  # it may have run: failed, not rejected
                await (
                    one.reader.read()
                )  # and the end: the incomplete request gets its error, or only the close
            one.close()

    play(scenario())


def test_junk_after_more_than_is_buffered_is_rejected_in_time(tmp_path: Path) -> None:
    # After so much buffered data reading stops; junk that was read before that is rejected all the same.
    async def scenario() -> None:
        server = FakeServer("s-0", _answers)
        async with program(tmp_path, server) as (_, listen):
            one = await _holding(listen, server)
            one.writer.write(CHUNKED + b"f800\r\n" + bytes(0xF800) + b"\r\n")
            await asyncio.sleep(0.2)
            one.writer.write(b"zz\r\n" + b"x" * 10_000)
            async with asyncio.timeout(STOPPED_S):
                assert (await read_answer(one.reader))[0] == 500
            one.close()

    play(scenario())


def test_a_pipelined_request_too_large_to_buffer_is_read_when_its_turn_comes(tmp_path: Path) -> None:
    # The client has sent it completely: that it is not read yet is the sidecar's choice, not the client's fault.
    async def scenario() -> None:
        server = FakeServer("s-0", _answers)
        async with program(tmp_path, server) as (_, listen):
            one = await _holding(listen, server)
            one.send(request("pay", body=bytes(1_000_000), X_Call_Id="large", budget="30.0"))
            await asyncio.sleep(STOPPED_S)
            server.answer_held(answer(200, b"served"))
            assert await _statuses(one, 2) == [200, 200]
            one.close()

    play(scenario())


def test_a_large_response_that_has_begun_is_completed_despite_an_incomplete_request_after_it(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        server = FakeServer("s-0", _answers)
        async with program(tmp_path, server) as (_, listen):
            one = await _holding(listen, server)
            one.send(POST[:30])
            pieces = [b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", *([bytes(20_000)] * 5)]
            for piece in pieces:
                server.writers[-1].write(piece)
                await asyncio.sleep(STOPPED_S / 4)
            status, _, body = await read_answer(one.reader)
            assert (status, len(body)) == (200, 100_000)
            async with asyncio.timeout(STOPPED_S):
                await one.reader.read()  # and the incomplete request has its error
            one.close()

    play(scenario())


async def _stops_before_its_id(one: Client, server: FakeServer) -> None:
    """The message has no id yet, so that no error can name it: the connection ends."""
    one.writer.write(_MESSAGE[:1])
    async with asyncio.timeout(STOPPED_S):
        assert (await one.answer())[0] == 500  # the held call; it may have run
        assert not await one.reader.read()


async def _keeps_coming(one: Client, server: FakeServer) -> None:
    """Each write ends in the middle of a message, for longer in all than a message may take."""
    calls = [
        pack([0, msgid, "pay", [{"id": f"c-{msgid}", "budget": 5.0, "path": "/api/7f"}, b"x"]])
        for msgid in range(10, 70)
    ]
    stream, step = b"".join(calls), len(calls[0])
    cuts = [0, *range(step // 2, len(stream) - step, step), len(stream)]
    answered = asyncio.create_task(_statuses(one, len(calls)))
    await _send_slowly(one, [stream[start:end] for start, end in itertools.pairwise(cuts)], 0.08)
    assert await answered == [200] * len(calls)
    server.answer_held(answer(200, b"served"))
    assert await _statuses(one, 1) == [200]


async def _statuses(one: Client, count: int) -> list[int]:
    return [(await one.answer())[0] for _ in range(count)]


@pytest.mark.parametrize("halves", [_stops_before_its_id, _keeps_coming])
def test_calls_beside_an_incomplete_message_are_answered_and_the_connection_ends_in_time(
    halves: Callable[[Client, FakeServer], Awaitable[None]], tmp_path: Path
) -> None:
    async def scenario() -> None:
        server = FakeServer("s-0", _answers)
        async with program(tmp_path, server) as (_, listen):
            use(Pair(client=MSGPACK_RPC))
            one = await _holding(listen, server)
            await halves(one, server)
            one.close()

    play(scenario())


def test_an_error_for_an_incomplete_message_leaves_the_other_calls_their_time(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = FakeServer("s-0", _answers)
        async with program(tmp_path, server) as (_, listen):
            use(Pair(client=MSGPACK_RPC))
            one = await _holding(listen, server)
            one.writer.write(_MESSAGE[:20])
            async with asyncio.timeout(STOPPED_S):
                assert (await one.answer())[0] == 408
            server.answer_held(answer(200, b"served"))
            assert (await one.answer())[0] == 200
            assert not await one.reader.read()
            one.close()

    play(scenario())


def _pieces(data: bytes, count: int) -> Sequence[bytes]:
    size = -(-len(data) // count)
    return [data[start : start + size] for start in range(0, len(data), size)]


async def _send_slowly(one: Client, pieces: Sequence[bytes], interval_s: float) -> None:
    for piece in pieces:
        one.writer.write(piece)
        await asyncio.sleep(interval_s)


def test_a_client_as_slow_as_is_allowed_is_served(tmp_path: Path) -> None:
    # A head in 2 s, evenly or nearly all of it at the end, then a body of 5 s in pieces a second apart.
    async def scenario() -> None:
        body = bytes(5 * BODY_BYTES_PER_S)
        data = request("pay", body=body, X_Call_Id="slow", budget="5.0")
        head, size = data[: -len(body)], int(BODY_BYTES_PER_S * CHUNK_S)
        splits = [_pieces(head, 20), [head[:1], head[1:]], [head[:-1], head[-1:]]]

        async def ask(listen: Address, number: int, pieces: Sequence[bytes]) -> int:
            one = await client(listen)
            renamed = [piece.replace(b"slow", b"slw%d" % number) for piece in pieces]
            await _send_slowly(one, renamed[:-1], HEAD_S / (len(pieces) - 1))
            one.writer.write(renamed[-1])
            await _send_slowly(one, [body[at : at + size] for at in range(0, len(body), size)], CHUNK_S)
            status = (await one.answer())[0]
            one.close()
            return status

        async with program(tmp_path, FakeServer("s-0", _answers)) as (_, listen):
            calls = [ask(listen, number, pieces) for number, pieces in enumerate(splits)]
            assert await asyncio.gather(*calls) == [200] * len(splits)

    play(scenario())


@pytest.mark.parametrize(
    ("half", "method"),
    [(POST[:30], "_request_timed_out"), (_MESSAGE[:20], "_close_if_answered")],
    ids=[HTTP, MSGPACK_RPC],
)
def test_a_stopped_client_that_leaves_as_its_error_is_written_causes_no_exception(
    half: bytes, method: str
) -> None:
    # What is written to a client that has just closed is answered by a reset, after which shutting down the socket
    # fails.
    async def scenario() -> None:
        async with world(_answers) as w:
            sock = socket.create_connection(w.sidecar.listener.address)
            sock.sendall(half)
            await until(
                lambda: [connection.state for connection in w.sidecar.listener.connections] == [READING_HEAD]
            )
            (connection,) = w.sidecar.listener.connections
            sock.close()  # before the event loop can notice it
            if method == "_close_if_answered":
                connection._sock.send(b"x")
            getattr(connection, method)()
            await until(lambda: not w.sidecar.listener.connections)

    play(scenario())
