"""Clients that leave while their request waits: nothing of it is sent on, by the nodes' own logs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from helpers import KEYED, SAFE, UNSAFE, S
from loopback import Client, World, answer, client, full, heard_at, pair, play, request, until, world

from testbed.wire import HTTP, reset_connection
from topazbank.balancing.events import ServerState
from topazbank.core.call import BUFFERED_BODY_BYTES_MAX
from topazbank.msgpackrpc import server as rpc_server

Leave = Callable[[Client], None]
AFTER_S = 0.4  # what arrives so long after the client left was sent for nobody
FULL = answer(503, b"", X_Rejected="1")


def closes(one: Client) -> None:
    one.writer.close()


def resets(one: Client) -> None:
    reset_connection(one.writer)


@pytest.fixture(params=[closes, resets])
def leave(request: pytest.FixtureRequest) -> Leave:
    return request.param  # type: ignore[no-any-return]


def silent(*_: object) -> None:
    return None


async def none_more(w: World, seen: int) -> None:
    """Whether the nodes' logs hold this many requests for good."""
    await asyncio.sleep(AFTER_S)
    assert len(w.sent()) == seen
    await until(lambda: not w.sidecar._requests.live)


async def held_unread(w: World, one: Client) -> None:
    """Its request is at a node, and so much has come behind it that its connection is read no further."""
    one.send(request("pay", body=b"x"))
    await until(w.sent)
    if pair().client == HTTP:
        one.send(
            request("pay", body=b"y" * BUFFERED_BODY_BYTES_MAX, X_Call_Id="behind")
            + bytes(BUFFERED_BODY_BYTES_MAX)
        )
    else:
        one.send(request("pay", body=b"y", X_Call_Id="behind"))
    connection = next(iter(w.sidecar.listener.connections))
    await until(lambda: connection._transport is not None and not connection._transport.is_reading())


@pytest.mark.usefixtures("each_pair")
def test_a_request_is_not_sent_again_for_a_client_that_left_unseen(
    leave: Leave, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Its connection is read no further, so its end is not seen; then the node turns the attempt away.
    monkeypatch.setattr(rpc_server, "CALLS_MOST", 1)

    async def scene() -> None:
        async with world(silent, silent) as w:
            one = await client(w.sidecar.listener.address)
            await held_unread(w, one)
            leave(one)
            await asyncio.sleep(0.05)
            for server in w.servers:
                server.answer_held(FULL)
            await none_more(w, 1)
            await until(lambda: not w.sidecar.listener.connections)

    play(scene())


@pytest.mark.usefixtures("each_pair")
@pytest.mark.parametrize("unseen", [False, True])
def test_a_request_behind_another_is_not_sent_for_a_client_that_left(
    unseen: bool, leave: Leave, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rpc_server, "CALLS_MOST", 1)

    async def scene() -> None:
        async with world(silent) as w:
            one = await client(w.sidecar.listener.address)
            if unseen:
                await held_unread(w, one)
            else:
                one.send(request("pay", body=b"x"))
                await until(w.sent)
                if pair().client == HTTP:  # over the other protocol it would not be read further
                    one.send(request("pay", body=b"y", X_Call_Id="behind"))
            leave(one)
            await asyncio.sleep(0.05)
            w.servers[0].answer_held(answer(200, b"done"))
            await none_more(w, 1)

    play(scene())


@pytest.mark.usefixtures("each_pair")
@pytest.mark.parametrize("kind", ["look", "amend", "pay"])
def test_no_further_attempt_is_made_for_a_client_that_left(kind: str, leave: Leave) -> None:
    async def scene() -> None:
        async with world(silent, silent) as w:
            one = await client(w.sidecar.listener.address)
            one.send(request(kind, body=b"" if kind == "look" else b"x"))
            await until(w.sent)
            leave(one)
            for server in w.servers:
                server.answer_held(FULL)  # it may come before the client's end, or after
            seen = len(w.sent())
            await until(lambda: not w.sidecar._requests.live)
            seen = max(seen, min(len(w.sent()), 2))  # sent again before the end came is no fault
            await none_more(w, seen)

    play(scene())


@pytest.mark.usefixtures("each_pair")
@pytest.mark.parametrize("unread", [False, True])
def test_nothing_is_written_at_the_end_of_a_slow_dial_for_a_client_that_left(
    leave: Leave, unread: bool
) -> None:
    async def scene() -> None:
        limits = {"max_attempts": 3, "cancellation": True, "connect_timeout_us": 60 * S}
        with full() as (listener, fillers):
            async with world(silent, limits=limits) as w:
                address = listener.getsockname()
                w.sidecar._endpoint_table.update("s-0", address, None, ServerState.READY, pair().nodes)
                one = await client(w.sidecar.listener.address)
                one.send(request("pay", body=b"x"))
                await until(lambda: w.sidecar._endpoint_table.connection_limit.open_count == 1)
                if unread:
                    connection = next(iter(w.sidecar.listener.connections))
                    assert connection._transport is not None
                    connection._transport.pause_reading()
                leave(one)
                await asyncio.sleep(0.05)
                assert not await heard_at(listener, fillers)
                await until(lambda: not w.sidecar._requests.live)
                # A connection that others may share is kept.
                assert not w.sent() and w.sidecar._endpoint_table.connection_limit.open_count <= (
                    pair().nodes != HTTP
                )

    play(scene())


@pytest.mark.usefixtures("each_pair")
def test_a_held_request_of_an_ordered_key_is_not_sent_for_a_client_that_left(leave: Leave) -> None:
    # It waits in the decision module for the one before it, and its connection is read no further.
    ordered = [each | {"deadline_us": 600 * S, "ordered_by_key": True} for each in (SAFE, UNSAFE, KEYED)]

    async def scene() -> None:
        async with world(silent, classes=ordered) as w:
            first, second = [await client(w.sidecar.listener.address) for _ in range(2)]
            first.send(request("pay", body=b"x", X_Call_Id="first"))
            await until(w.sent)
            second.send(request("pay", body=b"y", X_Call_Id="second"))
            await until(lambda: len(w.sidecar._requests.live) == 2)
            for each in w.sidecar.listener.connections:
                if each._transport is not None:
                    each._transport.pause_reading()
            leave(second)
            await asyncio.sleep(0.05)
            w.servers[0].answer_held(answer(200, b"done"))
            await none_more(w, 1)

    play(scene())
