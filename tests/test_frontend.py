"""The application's side over loopback: bad input, reuse, defects, bounds."""

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
from topazbank.core.body import LARGE_MOST
from topazbank.core.call import FinalAnswer, RequestCallbacks, RequestClasses, Verdict
from topazbank.core.listener import ClientConnection, Listener
from topazbank.http.server import HttpConnection


def served(*_: object) -> bytes:
    return answer(200, b"served")


BIG = bytes(64 * 1024 + 1)


# Guards servers against what this sidecar could not account for: none of these may be sent on.
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
        (request("pay", Content_Length=str(LARGE_MOST + 1)), 413),
        (request(path="/api/1").replace(b"HTTP/1.1", b"HTTP/2.0"), 505),
        (request(path="/elsewhere"), 404),
        (request(path="/apix/1"), 404),
    ],
)
@pytest.mark.usefixtures("each_node")
def test_bad_input_is_answered_and_never_sent_on(data: bytes, status: int) -> None:
    async def scene() -> None:
        async with world(served, tenants=[{"name": "acme"}]) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(data)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), PATIENCE_S)
            assert head.startswith(b"HTTP/1.1 %d " % status)
            await asyncio.wait_for(reader.read(), PATIENCE_S)  # to the end of the connection
            writer.close()
            assert (await w.ask())[0] == 200  # and the sidecar goes on
            assert len(w.sent()) == 1

    play(scene())


@pytest.mark.usefixtures("each_node")
def test_requests_on_one_connection_are_answered_in_order_even_if_sent_ahead() -> None:
    async def scene() -> None:
        async with world(lambda first, *_: answer(200, first.encode())) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(
                b"".join(request(path=f"/api/{number}", X_Call_Id=f"{number}") for number in range(20))
            )
            for number in range(20):
                assert f"/api/{number} " in (await read_answer(reader))[2].decode()
            writer.close()

    play(scene())


@pytest.mark.usefixtures("each_node")
def test_a_body_of_the_largest_size_in_pieces_is_taken() -> None:
    async def scene() -> None:
        async with world(served) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            data = request("pay", body=BIG[:-1], Expect="100-continue")
            head = data.index(b"\r\n\r\n") + 4
            writer.write(data[:head])
            assert b" 100 " in await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), PATIENCE_S)
            writer.write(data[head:])
            assert (await read_answer(reader))[0] == 200
            assert w.sent()[0][2] == BIG[:-1]
            writer.close()

    play(scene())


@pytest.mark.usefixtures("each_pair")
def test_no_server_means_a_refusal_at_once_and_readiness_tells_of_the_process_alone() -> None:
    async def scene() -> None:
        async with world() as w:
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert (await w.ask(budget="30"))[0] == 503
            assert loop.time() - began < 15.0
            assert (await ask(w.sidecar.frontend.address, request(path="/health/ready")))[0] == 200

    play(scene())


@pytest.mark.usefixtures("each_client")
def test_a_connection_goes_on_after_a_refusal_at_once(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against taking what is answered by the time it has been taken for a defect, which ended its connection.
    async def scene() -> None:
        async with world() as w:
            one = await client(w.sidecar.frontend.address)
            for number in range(3):
                one.send(request(X_Call_Id=f"refused-{number}"))
                assert (await one.answer())[0] == 503
            one.close()

    play(scene())
    assert "could not be handled" not in caplog.text


@pytest.mark.usefixtures("each_pair")
@pytest.mark.interpreted
def test_a_refusal_says_when_to_come_back() -> None:
    async def scene() -> None:
        async with world(served) as w:
            w.sidecar._balancer.handle = lambda now, event: (  # type: ignore[method-assign]
                [Reject(event.request, 250_000)] if isinstance(event, RequestArrived) else []
            )
            status, headers, _ = await w.ask()
            assert status == 503 and float(headers["retry-after"]) == 0.25

    play(scene())


# Guards against a defect that would kill the process or leave its request without an answer.
@pytest.mark.usefixtures("each_pair")
@pytest.mark.interpreted
def test_a_defect_fails_its_request_and_nothing_else(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        async with world(served) as w:
            real = w.sidecar._balancer.handle

            def faulty(now: int, event: Event) -> list[Action]:
                if isinstance(event, RequestArrived) and event.request_class == "pay":
                    raise ZeroDivisionError
                return real(now, event)

            monkeypatch.setattr(w.sidecar._balancer, "handle", faulty)
            assert (await w.ask(kind="pay", body=b"x"))[0] == 500
            assert (await w.ask())[0] == 200
            assert not w.sidecar._live

    play(scene())


@pytest.mark.usefixtures("each_pair")
@pytest.mark.interpreted
def test_a_defect_in_carrying_out_fails_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        async with world(served) as w:
            monkeypatch.setattr(w.sidecar._nodes, "send", None)
            assert (await w.ask(kind="pay", body=b"x"))[0] == 500
            monkeypatch.undo()
            assert (await w.ask())[0] == 200
            assert not w.sidecar._live

    play(scene())


@pytest.mark.usefixtures("each_pair")
@pytest.mark.interpreted
def test_a_module_that_forgets_a_request_leaves_it_no_longer_than_its_time() -> None:
    async def scene() -> None:
        async with world(served) as w:
            w.sidecar._balancer.handle = lambda now, event: []  # type: ignore[method-assign]
            assert (await w.ask(budget="0.2"))[0] == 500

    play(scene())


def test_every_action_that_the_module_knows_is_carried_out() -> None:
    async def scene() -> None:
        async with world() as w:
            actions = set(get_args(Action))
            assert len(actions) > 5 and actions <= set(w.sidecar._carry)

    play(scene())


@pytest.mark.usefixtures("each_pair")
def test_clients_beyond_the_bound_take_the_place_of_those_at_rest() -> None:
    # Guards the descriptors: 50 sockets leave one for clients.
    async def scene() -> None:
        async with world(served, sockets=50) as w:
            first = await client(w.sidecar.frontend.address)
            first.send(request())
            assert (await first.answer())[0] == 200
            for _ in range(3):
                assert (await w.ask())[0] == 200
            assert await first.is_closed()
            first.close()

    play(scene())


async def taking_slowly(w: World) -> tuple[socket.socket, bytes]:
    """A client whose answer is written by now as far as small buffers let it, and what it has read of it."""
    w.sidecar.frontend.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    slow = socket.socket()
    slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    slow.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(slow, w.sidecar.frontend.address)
    await loop.sock_sendall(slow, request())
    return slow, await loop.sock_recv(slow, 1)


async def the_rest(slow: socket.socket) -> bytes:
    data = b""
    with contextlib.suppress(ConnectionError):
        while more := await asyncio.get_running_loop().sock_recv(slow, 65536):
            data += more
            if data.endswith(b"end"):
                break
    return data


def test_an_answer_that_is_not_all_written_makes_no_room_for_others() -> None:
    # Guards rule 1: a client that takes its answer slowly gets the rest of it, however many others come.
    async def scene() -> None:
        whole = bytes(60_000) + b"end"
        async with world(lambda *_: answer(200, whole), sockets=50) as w:  # one connection of a client
            slow, first = await taking_slowly(w)
            asking = asyncio.create_task(w.ask(X_Call_Id="other"))
            await asyncio.sleep(0.2)  # the other's connection is in the kernel's queue by far
            assert (first + await the_rest(slow)).endswith(whole)
            assert (await asking)[0] == 200  # and then there is room
            slow.close()

    play(scene())


@pytest.mark.interpreted
def test_a_request_sent_ahead_is_not_closed_under_by_others_that_need_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The crossing: its connection rests for one turn of the loop, between the answer before it and its reading.
    async def scene() -> None:
        async with world(served, sockets=50) as w:
            room: list[bool] = []
            over = HttpConnection._over

            def crossed(connection: HttpConnection, *args: Any) -> None:
                over(connection, *args)
                room.append(w.sidecar.frontend._make_room())

            monkeypatch.setattr(HttpConnection, "_over", crossed)
            one = await client(w.sidecar.frontend.address)
            one.send(request() + request(X_Call_Id="ahead"))
            for _ in range(2):
                assert (await one.answer())[0] == 200
            assert room[0] is False
            one.close()

    play(scene())


def test_a_lack_of_descriptors_neither_spins_nor_ends_the_listening() -> None:
    class Lacking:
        """A listener of which the first accepts fail."""

        def __init__(self, real: socket.socket) -> None:
            self.real, self.failures = real, 3

        def accept(self) -> object:
            if self.failures:
                self.failures -= 1
                raise OSError(errno.EMFILE, "Too many open files")
            return self.real.accept()

        def fileno(self) -> int:
            return self.real.fileno()

    async def scene() -> None:
        taken = FinalAnswer(Verdict.SERVED, b"taken")
        hooks = RequestCallbacks(
            lambda call: call.answer(taken), lambda _: None, lambda _: False, lambda: True
        )
        rules = RequestClasses(settings(classes=CLASSES))
        frontend = Listener(("127.0.0.1", 0), 5, hooks, rules, HttpConnection)
        real = frontend._sock
        frontend._sock = Lacking(real)  # type: ignore[assignment]
        frontend.start()
        assert (await ask(frontend.address, request()))[2] == b"taken"
        frontend._sock = real
        frontend.stop()
        await until(lambda: not frontend.held)

    play(scene())


def test_a_connection_with_an_unread_request_is_not_at_rest() -> None:
    # Guards against closing a connection under a request that was taken by the kernel, not yet by us.
    async def scene() -> None:
        async with world(served) as w:
            _, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            await until(lambda: w.sidecar.frontend.connections)
            connection: ClientConnection = next(iter(w.sidecar.frontend.connections))
            assert connection.is_idle()
            peer = writer.get_extra_info("socket")
            peer_fd = socket.socket(fileno=socket.dup(peer.fileno()))
            peer_fd.send(request())  # within one step of the event loop
            assert not connection.is_idle()
            peer_fd.close()
            writer.close()

    play(scene())


def test_a_rejection_arrives_though_the_body_is_still_being_sent() -> None:
    # Guards against closing on unread bytes, which resets the connection and the answer with it.
    async def scene() -> None:
        async with world(served) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(request("unheard-of", Content_Length=str(2 * LARGE_MOST)) + BIG * 64)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            assert (await read_answer(reader))[0] == 413
            assert await is_closed(reader)
            writer.close()

    play(scene())


@pytest.mark.usefixtures("each_pair")
def test_a_defect_in_taking_a_request_fails_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        async with world(served) as w:
            monkeypatch.setattr(w.sidecar.frontend.hooks, "taken", None)
            assert (await w.ask())[0] == 500
            monkeypatch.undo()
            assert (await w.ask())[0] == 200

    play(scene())


@pytest.mark.usefixtures("each_node")
def test_a_client_of_the_old_protocol_without_a_host_is_served() -> None:
    async def scene() -> None:
        async with world(served) as w:
            data = request(Host=None).replace(b"HTTP/1.1", b"HTTP/1.0")
            assert (await ask(w.sidecar.frontend.address, data))[0] == 200

    play(scene())


@pytest.mark.usefixtures("each_pair")
def test_the_id_of_a_request_that_is_still_out_is_turned_away() -> None:
    async def scene() -> None:
        async with world(lambda *_: None) as w:
            first = await client(w.sidecar.frontend.address)
            first.send(request("pay", body=b"first"))
            await until(w.sent)
            assert (await w.ask(kind="pay", body=b"second"))[0] == 409
            w.servers[0].answer_held(answer(200, b"the first's"))
            assert (await first.answer())[2] == b"the first's"
            assert [body for _, _, body in w.sent()] == [b"first"]
            w.servers[0].script = served
            assert (await w.ask(kind="pay"))[0] == 200  # once it is over the id is free
            first.close()

    play(scene())


def test_a_head_request_gets_no_body() -> None:
    async def scene() -> None:
        async with world(served) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(request(path="/elsewhere", method="HEAD"))
            got = await asyncio.wait_for(reader.read(), PATIENCE_S)
            assert got.startswith(b"HTTP/1.1 404 ") and got.endswith(b"\r\n\r\n")
            writer.close()

    play(scene())


@pytest.mark.parametrize(
    ("said", "heard"),
    [
        (b"", b""),
        (request(), b"HTTP/1.1 200 "),
        (request("pay", body=b"whole")[:20], b"HTTP/1.1 408 "),
        (request("pay", body=b"whole")[:-1], b"HTTP/1.1 408 "),
    ],
    ids=["silent", "at rest", "half a head", "half a body"],
)
def test_a_connection_that_says_no_more_is_ended(said: bytes, heard: bytes) -> None:
    async def scene() -> None:
        async with world(served) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(said)
            assert (await asyncio.wait_for(reader.read(), PATIENCE_S)).startswith(heard)
            await until(lambda: not w.sidecar.frontend.connections)
            writer.close()

    play(scene())


@pytest.mark.parametrize("behind", [b"\x00\x01 junk\r\n\r\n", b"GET /half"], ids=["junk", "half a request"])
def test_what_can_t_be_read_behind_a_held_request_ends_both(behind: bytes) -> None:
    async def scene() -> None:
        async with world(lambda *_: None) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(request("pay", body=b"held"))
            await until(w.sent)
            writer.write(behind)
            # What was read is answered, however its client goes on; it may have run, so it is failed.
            got = await asyncio.wait_for(reader.read(), PATIENCE_S)
            assert got.startswith(b"HTTP/1.1 500 ") and got.count(b"HTTP/1.1 ") == 1
            await until(lambda: w.servers[0].closed == 1)  # nothing waits for the attempt
            assert (await w.ask(kind="look", path="/health/ready"))[0] == 200
            writer.close()

    play(scene())


@pytest.mark.usefixtures("each_pair")
def test_clients_that_say_nothing_do_not_keep_others_out() -> None:
    async def scene() -> None:
        async with world(served, sockets=64) as w:
            address = w.sidecar.frontend.address
            silent = [await asyncio.open_connection(*address) for _ in range(200)]
            for number in range(20):
                assert (await w.ask(X_Call_Id=f"{number}"))[0] == 200
            assert len(w.sidecar.frontend.connections) <= 16
            for _, writer in silent:
                writer.close()

    play(scene())


@pytest.mark.usefixtures("each_pair")
def test_clients_that_ask_once_and_stay_leave_room_for_others() -> None:
    # Guards clients that hold few connections: what they keep without use would be all they have.
    async def scene() -> None:
        async with world(served, sockets=72) as w:
            staying = []
            for number in range(8):
                one = await client(w.sidecar.frontend.address)
                one.send(request(X_Call_Id=f"{number}"))
                assert (await one.answer())[0] == 200
                staying.append(one)
            assert len(w.sidecar.frontend.connections) <= 4  # a third of the twelve allowed
            assert await staying[0].is_closed()
            for one in staying:
                one.close()

    play(scene())


@pytest.mark.usefixtures("each_pair")
def test_few_new_connections_end_unread_while_the_program_lags_under_many_and_none_after() -> None:
    async def scene() -> None:
        async with world(lambda *_: None) as w:
            address = w.sidecar.frontend.address
            held = [await client(address) for _ in range(40)]
            for number, one in enumerate(held):
                one.send(request(X_Call_Id=f"held-{number}"))
            await until(lambda: len(w.sent()) == len(held))

            def lags() -> bool:
                time.sleep(0.15)  # longer than it takes to the next sweep
                return w.sidecar.frontend._most_busy < 33

            await until(lags)
            w.sidecar.frontend._may_end = 1.0
            reader, _ = await asyncio.open_connection(*address)
            assert await is_closed(reader)
            for _ in range(20):  # and no more than one in 200
                w.sidecar.frontend._most_busy = 0.0  # it is as far behind as before
                assert (await ask(address, request(path="/health/ready")))[0] == 200
            w.sidecar.frontend._may_end = 1.0
            for one in held:
                one.close()
            await until(lambda: not w.sidecar.frontend._is_swamped())
            assert (await ask(address, request(path="/health/ready")))[0] == 200

    play(scene())


def test_of_a_thousand_new_connections_in_a_swamped_sidecar_no_more_than_four_end_unread() -> None:
    hooks = RequestCallbacks(lambda _: None, lambda _: None, lambda _: False, lambda: True)
    frontend = Listener(("127.0.0.1", 0), 5, hooks, RequestClasses(settings(classes=CLASSES)), HttpConnection)
    frontend._most_busy = 0.0
    ended = [frontend._ends_unread() for _ in range(1000)]
    assert not any(ended[:200]) and sum(ended) <= 4  # from the start on no more than one in 200
    frontend._most_busy = 5.0
    assert not any(frontend._ends_unread() for _ in range(2000))
    frontend._most_busy = 0.0
    assert sum(frontend._ends_unread() for _ in range(200)) <= 2  # saved up, and bounded
    frontend.stop()


@pytest.mark.usefixtures("each_node")
def test_a_slow_head_keeps_its_place_before_those_that_asked_once_and_stay() -> None:
    # Guards honest clients under a crowd: room goes by what a connection has done, not by age alone.
    async def scene() -> None:
        async with world(served, sockets=56) as w:
            slow = await client(w.sidecar.frontend.address)
            data = request("pay", body=b"x", X_Call_Id="slow")
            slow.writer.write(data[:30])
            await until(lambda: w.sidecar.frontend.connections)
            await asyncio.sleep(0.15)
            for number in range(12):
                assert (await w.ask(X_Call_Id=f"quick-{number}"))[0] == 200
            slow.writer.write(data[30:])
            assert (await slow.answer())[0] == 200
            slow.close()

    play(scene())


def test_in_a_drain_a_head_that_goes_no_further_is_not_waited_for() -> None:
    async def scene() -> None:
        async with world(served) as w:
            reader, writer = await asyncio.open_connection(*w.sidecar.frontend.address)
            writer.write(request()[:30])
            await until(lambda: w.sidecar.frontend.connections)
            w.sidecar.drain.start_drain(asyncio.get_running_loop().time())
            w.sidecar.carry_out()
            assert await is_closed(reader)
            assert not w.sidecar.drain.is_ready()
            w.sidecar.drain.cancel_drain()
            w.sidecar.carry_out()
            assert (await w.ask())[0] == 200
            writer.close()

    play(scene())
