"""Clients that disconnect while their request waits: nothing of it is sent, by the servers' own logs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from helpers import KEYED, SAFE, UNSAFE, S
from loopback import (
    Client,
    World,
    answer,
    client,
    full_listener,
    pair,
    play,
    received_at,
    request,
    until,
    world,
)

from testbed import wire
from testbed.wire import HTTP
from topazbank.balancing.events import ServerState
from topazbank.core.call import BUFFERED_BODY_BYTES_MAX
from topazbank.msgpackrpc import server as rpc_server

Disconnect = Callable[[Client], None]
AFTER_S = 0.4  # a request that arrives so long after its client disconnected was sent for nobody
FULL = answer(503, b"", X_Rejected="1")


def close(one: Client) -> None:
    one.writer.close()


def reset_connection(one: Client) -> None:
    wire.reset_connection(one.writer)


@pytest.fixture(params=[close, reset_connection])
def disconnect(request: pytest.FixtureRequest) -> Disconnect:
    return request.param  # type: ignore[no-any-return]


def silent(*_: object) -> None:
    return None


async def assert_no_more_than(w: World, count: int) -> None:
    """Check that the servers have logged `count` requests, and log no more."""
    await asyncio.sleep(AFTER_S)
    assert len(w.sent()) == count
    await until(lambda: not w.sidecar._requests.live)


async def send_and_fill(w: World, one: Client) -> None:
    """Send a request that waits at a server, and so much behind it that its connection is not read any further."""
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
def test_no_retry_is_sent_for_a_client_whose_disconnect_is_unread(
    disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Its connection is not read any further, so its end goes unnoticed; then the server rejects the attempt.
    monkeypatch.setattr(rpc_server, "CALLS_MAX", 1)

    async def scenario() -> None:
        async with world(silent, silent) as w:
            one = await client(w.sidecar.listener.address)
            await send_and_fill(w, one)
            disconnect(one)
            await asyncio.sleep(0.05)
            for server in w.servers:
                server.answer_held(FULL)
            await assert_no_more_than(w, 1)
            await until(lambda: not w.sidecar.listener.connections)

    play(scenario())


@pytest.mark.usefixtures("each_pair")
@pytest.mark.parametrize("unseen", [False, True])
def test_a_pipelined_request_is_not_sent_for_a_client_that_disconnected(
    unseen: bool, disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rpc_server, "CALLS_MAX", 1)

    async def scenario() -> None:
        async with world(silent) as w:
            one = await client(w.sidecar.listener.address)
            if unseen:
                await send_and_fill(w, one)
            else:
                one.send(request("pay", body=b"x"))
                await until(w.sent)
                if pair().client == HTTP:  # MessagePack-RPC would not be read any further
                    one.send(request("pay", body=b"y", X_Call_Id="behind"))
            disconnect(one)
            await asyncio.sleep(0.05)
            w.servers[0].answer_held(answer(200, b"done"))
            await assert_no_more_than(w, 1)

    play(scenario())


@pytest.mark.usefixtures("each_pair")
@pytest.mark.parametrize("kind", ["look", "amend", "pay"])
def test_no_retry_is_sent_for_a_client_that_disconnected(kind: str, disconnect: Disconnect) -> None:
    async def scenario() -> None:
        async with world(silent, silent) as w:
            one = await client(w.sidecar.listener.address)
            one.send(request(kind, body=b"" if kind == "look" else b"x"))
            await until(w.sent)
            disconnect(one)
            for server in w.servers:
                server.answer_held(FULL)  # it may come before the client's end, or after
            count = len(w.sent())
            await until(lambda: not w.sidecar._requests.live)
            count = max(count, min(len(w.sent()), 2))  # a retry before the disconnect came is no fault
            await assert_no_more_than(w, count)

    play(scenario())


@pytest.mark.usefixtures("each_pair")
@pytest.mark.parametrize("unread", [False, True])
def test_nothing_is_written_on_a_slow_connection_for_a_client_that_disconnected(
    disconnect: Disconnect, unread: bool
) -> None:
    async def scenario() -> None:
        limits = {"max_attempts": 3, "cancellation": True, "connect_timeout_us": 60 * S}
        with full_listener() as (listener, fillers):
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
                disconnect(one)
                await asyncio.sleep(0.05)
                assert not await received_at(listener, fillers)
                await until(lambda: not w.sidecar._requests.live)
                # A connection that other requests may share stays open.
                assert not w.sent() and w.sidecar._endpoint_table.connection_limit.open_count <= (
                    pair().nodes != HTTP
                )

    play(scenario())


@pytest.mark.usefixtures("each_pair")
def test_a_queued_request_of_an_ordered_key_is_not_sent_for_a_client_that_disconnected(
    disconnect: Disconnect,
) -> None:
    # It waits in the balancer for the one before it, and its connection is not read any further.
    ordered = [each | {"deadline_us": 600 * S, "ordered_by_key": True} for each in (SAFE, UNSAFE, KEYED)]

    async def scenario() -> None:
        async with world(silent, classes=ordered) as w:
            first, second = [await client(w.sidecar.listener.address) for _ in range(2)]
            first.send(request("pay", body=b"x", X_Call_Id="first"))
            await until(w.sent)
            second.send(request("pay", body=b"y", X_Call_Id="second"))
            await until(lambda: len(w.sidecar._requests.live) == 2)
            for each in w.sidecar.listener.connections:
                if each._transport is not None:
                    each._transport.pause_reading()
            disconnect(second)
            await asyncio.sleep(0.05)
            w.servers[0].answer_held(answer(200, b"done"))
            await assert_no_more_than(w, 1)

    play(scenario())
