"""Clients' connections over loopback: invalid input, reuse, defects, bounds."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import time
from typing import Any, get_args

import pytest
from helpers import settings
from loopback import (
    CLASSES,
    PATIENCE_S,
    World,
    answer,
    ask,
    client,
    is_closed,
    play,
    read_answer,
    request,
    until,
    world,
)

from topazbank.balancing.actions import Action, Reject
from topazbank.balancing.events import Event, RequestArrived
from topazbank.core.body import BODY_BYTES_MAX
from topazbank.core.call import FinalAnswer, RequestCallbacks, Verdict
from topazbank.core.client_connection import ClientConnection
from topazbank.core.listener import Listener
from topazbank.core.request_checks import RequestClasses
from topazbank.http.server import HttpConnection


def served(*_: object) -> bytes:
    return answer(200, b"served")


BIG = bytes(64 * 1024 + 1)


# Guards servers against requests that this sidecar could not answer for: none of these may be forwarded.
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /api/1 HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n", 400),
        (b"GET /api/1 HTTP/1.1\r\nHost: x\r\nX-Long: " + bytes([97]) * 200_000 + b"\r\n\r\n", 400),
        (request(X_Call_Id=None), 400),
        (request(X_Call_Id=""), 400),
        (request(X_Call_Class=None), 400),
        (request(X_Budget=None), 400),
        (request(budget="soon"), 400),
        (request(budget="nan"), 400),
        (request(budget="-1"), 400),
        (request(X_Call_Cost="much"), 400),
        (request("amend", body=b"x", Idempotency_Key=None), 400),
        (request(Transfer_Encoding="chunked", Content_Length="5") + b"0\r\n\r\n", 400),
        (request(Transfer_Encoding="chunked", Content_Length=None).replace(b"P/1.1", b"P/1.0"), 400),
        (request("unheard-of"), 400),
        (request("look", method="POST"), 405),
        (request("pay", method="GET"), 405),
        (request("look", method="HEAD"), 405),
        (request("look", body=b"x"), 400),
        (request(X_Call_Id="x" * 257), 400),
        (request(budget="1_000"), 400),
        (request(budget="inf"), 400),
        (request(budget="1e2"), 400),
        (request(budget="1000"), 400),
        (request(budget="5.0\r\nX-Budget: 6.0"), 400),
        (request("look\r\nX-Call-Class: pay"), 400),
        (request(X_Caller="stranger"), 400),
        (request("pay", Content_Length=str(BODY_BYTES_MAX + 1)), 413),
        (request(path="/api/1").replace(b"HTTP/1.1", b"HTTP/2.0"), 505),
        (request(path="/elsewhere"), 404),
        (request(path="/apix/1"), 404),
    ],
)
@pytest.mark.usefixtures("each_node")
def test_invalid_requests_are_rejected_and_never_forwarded(data: bytes, status: int) -> None:
    async def scenario() -> None:
        async with world(served, tenants=[{"name": "acme"}]) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.listener.address)
            writer.write(data)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), PATIENCE_S)
            assert head.startswith(b"HTTP/1.1 %d " % status)
            await asyncio.wait_for(reader.read(), PATIENCE_S)  # to the end of the connection
            writer.close()
            assert (await w.ask())[0] == 200  # and the sidecar goes on
            assert len(w.sent()) == 1

    play(scenario())


@pytest.mark.usefixtures("each_node")
def test_pipelined_requests_are_answered_in_order() -> None:
    async def scenario() -> None:
        async with world(lambda first, *_: answer(200, first.encode())) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.listener.address)
            writer.write(
                b"".join(request(path=f"/api/{number}", X_Call_Id=f"{number}") for number in range(20))
            )
            for number in range(20):
                assert f"/api/{number} " in (await read_answer(reader))[2].decode()
            writer.close()

    play(scenario())


@pytest.mark.usefixtures("each_node")
def test_a_body_of_the_largest_buffered_size_in_pieces_is_accepted() -> None:
    async def scenario() -> None:
        async with world(served) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.listener.address)
            data = request("pay", body=BIG[:-1], Expect="100-continue")
            head = data.index(b"\r\n\r\n") + 4
            writer.write(data[:head])
            assert b" 100 " in await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), PATIENCE_S)
            writer.write(data[head:])
            assert (await read_answer(reader))[0] == 200
            assert w.sent()[0][2] == BIG[:-1]
            writer.close()

    play(scenario())


@pytest.mark.usefixtures("each_pair")
def test_without_servers_requests_are_rejected_at_once_and_the_process_is_ready() -> None:
    async def scenario() -> None:
        async with world() as w:
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert (await w.ask(budget="30"))[0] == 503
            assert loop.time() - began < 15.0
            assert (await ask(w.sidecar.listener.address, request(path="/health/ready")))[0] == 200

    play(scenario())


@pytest.mark.usefixtures("each_client")
def test_a_connection_goes_on_after_an_immediate_rejection(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against mistaking a request that is answered while it is accepted for a defect, which ended its connection.
    async def scenario() -> None:
        async with world() as w:
            one = await client(w.sidecar.listener.address)
            for number in range(3):
                one.send(request(X_Call_Id=f"refused-{number}"))
                assert (await one.answer())[0] == 503
            one.close()

    play(scenario())
    assert "could not be handled" not in caplog.text


@pytest.mark.usefixtures("each_pair")
@pytest.mark.interpreted
def test_a_rejection_carries_retry_after() -> None:
    async def scenario() -> None:
        async with world(served) as w:
            w.sidecar._balancer.handle = lambda now, event: (  # type: ignore[method-assign]
                [Reject(event.request, 250_000)] if isinstance(event, RequestArrived) else []
            )
            status, headers, _ = await w.ask()
            assert status == 503 and float(headers["retry-after"]) == 0.25

    play(scenario())


# Guards against a defect that would end the process or leave its request unanswered.
@pytest.mark.usefixtures("each_pair")
@pytest.mark.interpreted
def test_a_defect_fails_its_request_and_nothing_else(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with world(served) as w:
            real = w.sidecar._balancer.handle

            def faulty(now: int, event: Event) -> list[Action]:
                if isinstance(event, RequestArrived) and event.request_class == "pay":
                    raise ZeroDivisionError
                return real(now, event)

            monkeypatch.setattr(w.sidecar._balancer, "handle", faulty)
            assert (await w.ask(kind="pay", body=b"x"))[0] == 500
            assert (await w.ask())[0] == 200
            assert not w.sidecar._requests.live

    play(scenario())


@pytest.mark.usefixtures("each_pair")
@pytest.mark.interpreted
def test_a_defect_in_carrying_out_an_action_fails_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with world(served) as w:
            monkeypatch.setattr(w.sidecar._endpoint_table, "send", None)
            assert (await w.ask(kind="pay", body=b"x"))[0] == 500
            monkeypatch.undo()
            assert (await w.ask())[0] == 200
            assert not w.sidecar._requests.live

    play(scenario())


@pytest.mark.usefixtures("each_pair")
@pytest.mark.interpreted
def test_a_request_that_the_balancer_forgets_is_failed_at_its_deadline() -> None:
    async def scenario() -> None:
        async with world(served) as w:
            w.sidecar._balancer.handle = lambda now, event: []  # type: ignore[method-assign]
            assert (await w.ask(budget="0.2"))[0] == 500

    play(scenario())


def test_every_action_of_the_balancer_is_carried_out() -> None:
    async def scenario() -> None:
        async with world() as w:
            actions = set(get_args(Action))
            assert len(actions) > 5 and actions <= set(w.sidecar._driver._carry_out)

    play(scenario())


@pytest.mark.usefixtures("each_pair")
def test_clients_beyond_the_bound_replace_idle_ones() -> None:
    # Guards the descriptors: 50 of them leave one for clients.
    async def scenario() -> None:
        async with world(served, sockets=50) as w:
            first = await client(w.sidecar.listener.address)
            first.send(request())
            assert (await first.answer())[0] == 200
            for _ in range(3):
                assert (await w.ask())[0] == 200
            assert await first.is_closed()
            first.close()

    play(scenario())


async def slow_reader(w: World) -> tuple[socket.socket, bytes]:
    """A client that has read one byte of an answer, of which small buffers take little, and that byte."""
    w.sidecar.listener.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    slow = socket.socket()
    slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    slow.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(slow, w.sidecar.listener.address)
    await loop.sock_sendall(slow, request())
    return slow, await loop.sock_recv(slow, 1)


async def read_rest(slow: socket.socket) -> bytes:
    data = b""
    with contextlib.suppress(ConnectionError):
        while more := await asyncio.get_running_loop().sock_recv(slow, 65536):
            data += more
            if data.endswith(b"end"):
                break
    return data


def test_a_connection_whose_answer_is_not_all_written_is_not_evicted() -> None:
    # Guards rule 1: a client that reads its answer slowly gets the rest of it, however many others come.
    async def scenario() -> None:
        whole = bytes(60_000) + b"end"
        async with world(lambda *_: answer(200, whole), sockets=50) as w:  # one of them for clients
            slow, first = await slow_reader(w)
            asking = asyncio.create_task(w.ask(X_Call_Id="other"))
            await asyncio.sleep(0.2)  # by now the other's connection is in the kernel's queue
            assert (first + await read_rest(slow)).endswith(whole)
            assert (await asking)[0] == 200  # and then there is room
            slow.close()

    play(scenario())


@pytest.mark.interpreted
def test_a_connection_with_a_pipelined_request_is_not_evicted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Its connection is idle for one turn of the event loop, between the answer before it and its reading.
    async def scenario() -> None:
        async with world(served, sockets=50) as w:
            evicted: list[bool] = []
            over = HttpConnection._answer_sent

            def crossed(connection: HttpConnection, *args: Any) -> None:
                over(connection, *args)
                evicted.append(w.sidecar.listener.table.evict())

            monkeypatch.setattr(HttpConnection, "_answer_sent", crossed)
            one = await client(w.sidecar.listener.address)
            one.send(request() + request(X_Call_Id="ahead"))
            for _ in range(2):
                assert (await one.answer())[0] == 200
            assert evicted[0] is False
            one.close()

    play(scenario())


def test_a_lack_of_descriptors_neither_spins_nor_ends_the_listener() -> None:
    class FailingSocket:
        """A listening socket whose first accepts fail."""

        def __init__(self, real: socket.socket) -> None:
            self.real, self.failures = real, 3

        def accept(self) -> object:
            if self.failures:
                self.failures -= 1
                raise OSError(errno.EMFILE, "Too many open files")
            return self.real.accept()

        def fileno(self) -> int:
            return self.real.fileno()

    async def scenario() -> None:
        taken = FinalAnswer(Verdict.SERVED, b"taken")
        callbacks = RequestCallbacks(
            lambda call: call.answer(taken), lambda _: None, lambda _: False, lambda: True
        )
        rules = RequestClasses(settings(classes=CLASSES))
        listener = Listener(("127.0.0.1", 0), 5, callbacks, rules, HttpConnection)
        real = listener._sock
        listener._sock = FailingSocket(real)  # type: ignore[assignment]
        listener.start()
        assert (await ask(listener.address, request()))[2] == b"taken"
        listener._sock = real
        listener.stop()
        await until(lambda: not listener.open_connections)

    play(scenario())


def test_a_connection_with_an_unread_request_is_not_idle() -> None:
    # Guards against closing a connection under a request that the kernel has received and this process has not read.
    async def scenario() -> None:
        async with world(served) as w:
            _, writer = await asyncio.open_connection(*w.sidecar.listener.address)
            await until(lambda: w.sidecar.listener.connections)
            connection: ClientConnection = next(iter(w.sidecar.listener.connections))
            assert connection.is_idle()
            peer = writer.get_extra_info("socket")
            peer_fd = socket.socket(fileno=socket.dup(peer.fileno()))
            peer_fd.send(request())  # within one step of the event loop
            assert not connection.is_idle()
            peer_fd.close()
            writer.close()

    play(scenario())


def test_a_rejection_arrives_though_the_body_is_still_being_sent() -> None:
    # Guards against closing on unread bytes, which resets the connection and the answer with it.
    async def scenario() -> None:
        async with world(served) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.listener.address)
            writer.write(request("unheard-of", Content_Length=str(2 * BODY_BYTES_MAX)) + BIG * 64)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            assert (await read_answer(reader))[0] == 413
            assert await is_closed(reader)
            writer.close()

    play(scenario())


@pytest.mark.usefixtures("each_pair")
def test_a_defect_in_accepting_a_request_fails_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with world(served) as w:
            monkeypatch.setattr(w.sidecar.listener.callbacks, "on_request", None)
            assert (await w.ask())[0] == 500
            monkeypatch.undo()
            assert (await w.ask())[0] == 200

    play(scenario())


@pytest.mark.usefixtures("each_node")
def test_a_client_of_http_1_0_without_a_host_is_served() -> None:
    async def scenario() -> None:
        async with world(served) as w:
            data = request(Host=None).replace(b"HTTP/1.1", b"HTTP/1.0")
            assert (await ask(w.sidecar.listener.address, data))[0] == 200

    play(scenario())


@pytest.mark.usefixtures("each_pair")
def test_the_id_of_a_request_in_flight_is_rejected() -> None:
    async def scenario() -> None:
        async with world(lambda *_: None) as w:
            first = await client(w.sidecar.listener.address)
            first.send(request("pay", body=b"first"))
            await until(w.sent)
            assert (await w.ask(kind="pay", body=b"second"))[0] == 409
            w.servers[0].answer_held(answer(200, b"the first's"))
            assert (await first.answer())[2] == b"the first's"
            assert [body for _, _, body in w.sent()] == [b"first"]
            w.servers[0].script = served
            assert (await w.ask(kind="pay"))[0] == 200  # once it is over the id is free
            first.close()

    play(scenario())


def test_a_head_request_gets_no_body() -> None:
    async def scenario() -> None:
        async with world(served) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.listener.address)
            writer.write(request(path="/elsewhere", method="HEAD"))
            got = await asyncio.wait_for(reader.read(), PATIENCE_S)
            assert got.startswith(b"HTTP/1.1 404 ") and got.endswith(b"\r\n\r\n")
            writer.close()

    play(scenario())


@pytest.mark.parametrize(
    ("sent", "received"),
    [
        (b"", b""),
        (request(), b"HTTP/1.1 200 "),
        (request("pay", body=b"whole")[:20], b"HTTP/1.1 408 "),
        (request("pay", body=b"whole")[:-1], b"HTTP/1.1 408 "),
    ],
    ids=["silent", "idle", "half a head", "half a body"],
)
def test_a_connection_that_falls_silent_is_closed(sent: bytes, received: bytes) -> None:
    async def scenario() -> None:
        async with world(served) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.listener.address)
            writer.write(sent)
            assert (await asyncio.wait_for(reader.read(), PATIENCE_S)).startswith(received)
            await until(lambda: not w.sidecar.listener.connections)
            writer.close()

    play(scenario())


@pytest.mark.parametrize("behind", [b"\x00\x01 junk\r\n\r\n", b"GET /half"], ids=["junk", "half a request"])
def test_an_unreadable_request_behind_one_in_progress_ends_both(behind: bytes) -> None:
    async def scenario() -> None:
        async with world(lambda *_: None) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.listener.address)
            writer.write(request("pay", body=b"held"))
            await until(w.sent)
            writer.write(behind)
            # The request that was read is answered; it may have been executed, so it is failed.
            got = await asyncio.wait_for(reader.read(), PATIENCE_S)
            assert got.startswith(b"HTTP/1.1 500 ") and got.count(b"HTTP/1.1 ") == 1
            await until(lambda: w.servers[0].closed == 1)  # nothing waits for the attempt
            assert (await w.ask(kind="look", path="/health/ready"))[0] == 200
            writer.close()

    play(scenario())


@pytest.mark.usefixtures("each_pair")
def test_silent_clients_do_not_keep_others_out() -> None:
    async def scenario() -> None:
        async with world(served, sockets=64) as w:
            address = w.sidecar.listener.address
            silent = [await asyncio.open_connection(*address) for _ in range(200)]
            for number in range(20):
                assert (await w.ask(X_Call_Id=f"{number}"))[0] == 200
            assert len(w.sidecar.listener.connections) <= 16
            for _, writer in silent:
                writer.close()

    play(scenario())


@pytest.mark.usefixtures("each_pair")
def test_idle_connections_are_bounded_to_a_third() -> None:
    # Guards clients with few connections: those that others keep without use would be all there are.
    async def scenario() -> None:
        async with world(served, sockets=72) as w:
            staying = []
            for number in range(8):
                one = await client(w.sidecar.listener.address)
                one.send(request(X_Call_Id=f"{number}"))
                assert (await one.answer())[0] == 200
                staying.append(one)
            assert len(w.sidecar.listener.connections) <= 4  # a third of the twelve allowed
            assert await staying[0].is_closed()
            for one in staying:
                one.close()

    play(scenario())


@pytest.mark.usefixtures("each_pair")
def test_few_new_connections_are_shed_while_the_event_loop_lags_and_none_after() -> None:
    async def scenario() -> None:
        async with world(lambda *_: None) as w:
            address = w.sidecar.listener.address
            held = [await client(address) for _ in range(40)]
            for number, one in enumerate(held):
                one.send(request(X_Call_Id=f"held-{number}"))
            await until(lambda: len(w.sent()) == len(held))

            def lags() -> bool:
                time.sleep(0.15)  # longer than it takes to the next sweep
                return w.sidecar.listener.shedding.busy_max < 33

            await until(lags)
            w.sidecar.listener.shedding.shed_allowance = 1.0
            reader, _ = await asyncio.open_connection(*address)
            assert await is_closed(reader)
            for _ in range(20):  # and no more than one in 200
                w.sidecar.listener.shedding.busy_max = 0.0  # it lags as before
                assert (await ask(address, request(path="/health/ready")))[0] == 200
            w.sidecar.listener.shedding.shed_allowance = 1.0
            for one in held:
                one.close()
            table, shedding = w.sidecar.listener.table, w.sidecar.listener.shedding
            await until(lambda: table.count_with_work() < shedding.busy_max)
            assert (await ask(address, request(path="/health/ready")))[0] == 200

    play(scenario())


def test_of_a_thousand_new_connections_under_overload_at_most_four_are_shed() -> None:
    callbacks = RequestCallbacks(lambda _: None, lambda _: None, lambda _: False, lambda: True)
    listener = Listener(
        ("127.0.0.1", 0), 5, callbacks, RequestClasses(settings(classes=CLASSES)), HttpConnection
    )
    listener.shedding.busy_max = 0.0
    ended = [listener._should_shed() for _ in range(1000)]
    assert not any(ended[:200]) and sum(ended) <= 4  # from the start on no more than one in 200
    listener.shedding.busy_max = 5.0
    assert not any(listener._should_shed() for _ in range(2000))
    listener.shedding.busy_max = 0.0
    assert sum(listener._should_shed() for _ in range(200)) <= 2  # saved up, and bounded
    listener.stop()


@pytest.mark.usefixtures("each_node")
def test_idle_connections_are_evicted_before_one_with_a_slow_head() -> None:
    # Guards honest clients under a crowd: eviction goes by what a connection has done, not by age alone.
    async def scenario() -> None:
        async with world(served, sockets=56) as w:
            slow = await client(w.sidecar.listener.address)
            data = request("pay", body=b"x", X_Call_Id="slow")
            slow.writer.write(data[:30])
            await until(lambda: w.sidecar.listener.connections)
            await asyncio.sleep(0.15)
            for number in range(12):
                assert (await w.ask(X_Call_Id=f"quick-{number}"))[0] == 200
            slow.writer.write(data[30:])
            assert (await slow.answer())[0] == 200
            slow.close()

    play(scenario())


def test_a_drain_does_not_wait_for_a_stalled_head() -> None:
    async def scenario() -> None:
        async with world(served) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.listener.address)
            writer.write(request()[:30])
            await until(lambda: w.sidecar.listener.connections)
            w.sidecar.drain.start_drain(asyncio.get_running_loop().time())
            w.sidecar.apply_drain()
            assert await is_closed(reader)
            assert not w.sidecar.drain.is_ready()
            w.sidecar.drain.cancel_drain()
            w.sidecar.apply_drain()
            assert (await w.ask())[0] == 200
            writer.close()

    play(scenario())
