"""The MessagePack-RPC client of servers: what the end of a shared connection proves of each attempt on it."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Iterator
from functools import partial
from typing import Any

import msgpack
import pytest
from helpers import S, settings
from loopback import (
    CLASSES,
    LIMITS,
    PATIENCE_S,
    FakeServer,
    answer,
    client,
    pair,
    play,
    request,
    until,
    use,
    world,
)

from testbed.wire import MSGPACK_RPC, pack, reset_connection
from topazbank.balancing.events import Outcome, ServerState
from topazbank.core.attempts import AttemptDeadlines
from topazbank.core.call import Call, Response
from topazbank.core.endpoint_table import EndpointTable
from topazbank.core.endpoints import MSGPACK_RPC as RPC
from topazbank.core.request_checks import RequestClasses
from topazbank.core.upstream_client import ConnectionLimit
from topazbank.msgpackrpc.attempt import RpcAttempt
from topazbank.msgpackrpc.client import ConnectionSharing, RpcUpstreamClient
from topazbank.msgpackrpc.connection import RpcUpstreamConnection
from topazbank.msgpackrpc.request_writing import format_call

RULES = RequestClasses(settings(classes=CLASSES))
idents = itertools.count()


@pytest.fixture(autouse=True)
def rpc_servers(each_client: str) -> None:
    use(type(pair())(each_client, MSGPACK_RPC))


def served(*_: object) -> bytes:
    return answer(200, b"served")


def hung(*_: object) -> None:
    return None


def a_call(kind: str = "pay", body: bytes = b"x") -> Call:
    key = "k" if kind == "amend" else None
    ident = f"c-{next(idents)}"
    return Call(
        ident, RULES.request_class(kind), b"/api/1", body, None, None, 5 * S, None, False, key, lambda _: None
    )


class OutcomeRecorder:
    """Records an attempt's one outcome."""

    def __init__(self) -> None:
        self.outcome: Outcome | None = None
        self.body: bytes | None = None

    def __call__(self, outcome: Outcome, response: Response | None) -> None:
        assert self.outcome is None
        self.outcome = outcome
        self.body = response.body if response is not None else None


def new_endpoints(
    sharing: ConnectionSharing | None = None, connections_max: int = 50, connect_timeout_s: float = 5.0
) -> EndpointTable:
    endpoints = EndpointTable(ConnectionLimit(connections_max), 4.0)
    endpoints.add_client(
        RPC, RpcUpstreamClient(connect_timeout_s, 60.0, endpoints.connection_limit, (), sharing)
    )
    return endpoints


def send(
    endpoints: EndpointTable, kind: str = "pay", seconds: float = 30.0, is_final: bool = True
) -> tuple[OutcomeRecorder, RpcAttempt]:
    recorder = OutcomeRecorder()
    give_up_at = asyncio.get_running_loop().time() + seconds
    attempt = endpoints.send("s", a_call(kind), AttemptDeadlines(give_up_at, is_final), recorder)
    assert isinstance(attempt, RpcAttempt)
    return recorder, attempt


async def start_server(endpoints: EndpointTable, script: Any) -> FakeServer:
    server = FakeServer("s", script)
    await server.start()
    endpoints.update("s", server.address, None, ServerState.READY, RPC)
    return server


# -- One connection, byte by byte: the kernel is simulated, so that each cut is exact


class Kernel(asyncio.Transport):
    """Accepts so many bytes of what is written and buffers the rest, as a full socket does."""

    def __init__(self, capacity: int) -> None:
        super().__init__()
        self.capacity = capacity
        self.accepted = b""
        self.buffered = b""
        self.closing = False

    def write(self, data: Any) -> None:
        if not self.closing:
            self.buffered += bytes(data)
            self._move()

    def _move(self) -> None:
        moved, self.buffered = self.buffered[: self.capacity], self.buffered[self.capacity :]
        self.accepted += moved
        self.capacity -= len(moved)

    def add_capacity(self, count: int, connection: RpcUpstreamConnection) -> None:
        self.capacity += count
        was_full = bool(self.buffered)
        self._move()
        if was_full and not self.buffered:
            connection.resume_writing()

    def get_write_buffer_size(self) -> int:
        return len(self.buffered)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        assert high == 0

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        self.closing = True
        self.buffered = b""

    close = abort


KINDS = ("pay", "look", "pay", "look", "amend")


def shared_connection(
    capacity: int,
) -> tuple[RpcUpstreamConnection, Kernel, list[OutcomeRecorder], list[RpcAttempt]]:
    """A connection that carries interleaved calls, of more classes than the client would combine on one."""
    endpoints = new_endpoints()
    endpoints.update("s", ("127.0.0.1", 9), None, ServerState.READY, RPC)
    endpoint, upstream_client = endpoints.endpoints["s"], endpoints._clients[RPC]
    assert isinstance(upstream_client, RpcUpstreamClient)
    connection = RpcUpstreamConnection(upstream_client, endpoint, True)
    endpoint.pool.non_idempotent.append(connection)
    kernel = Kernel(capacity)
    connection.connection_made(kernel)
    outcomes, attempts = [], []
    for kind in KINDS:
        recorder = OutcomeRecorder()
        non_idempotent, is_final = kind == "pay", True
        format_request = formatter_of(a_call(kind))
        attempt = RpcAttempt(
            endpoint,
            format_request,
            AttemptDeadlines(asyncio.get_running_loop().time() + 30, is_final),
            recorder,
            non_idempotent,
        )
        connection.add(attempt)
        outcomes.append(recorder)
        attempts.append(attempt)
    return connection, kernel, outcomes, attempts


def formatter_of(call: Call) -> Any:
    return lambda msgid, remaining_s: format_call(msgid, call, 1.0)


def message_ends() -> list[int]:
    """The offset in the stream behind each call's last byte."""
    _, kernel, _, _ = shared_connection(10**9)
    unpacker = msgpack.Unpacker()
    unpacker.feed(kernel.accepted)
    ends = []
    for _ in unpacker:
        ends.append(unpacker.tell())
    return ends


def test_a_lost_connection_ends_each_attempt_by_whether_its_last_byte_was_written() -> None:
    # The connection is lost after every possible byte.  A call whose last byte was written may have been executed; one
    # that was written in part, or not at all, was not, and may be sent to another server.
    async def scene() -> None:
        global idents
        idents = itertools.count(100)
        ends = message_ends()
        assert len(ends) == len(KINDS)
        for cut in range(ends[-1] + 1):
            idents = itertools.count(100)  # so that all streams are as long as the first
            connection, kernel, outcomes, _ = shared_connection(cut)
            assert len(kernel.accepted) == cut
            connection.connection_lost(None)
            expected = [Outcome.CONNECTION_LOST if end <= cut else Outcome.CONNECT_FAILED for end in ends]
            assert [each.outcome for each in outcomes] == expected, cut

    play(scene())


def test_an_attempt_cancelled_before_its_last_byte_is_never_written_completely() -> None:
    async def scene() -> None:
        global idents
        idents = itertools.count(100)
        ends = message_ends()
        for index in range(len(KINDS)):
            for cut in (ends[index] - 1, ends[index - 1] + 1 if index else 1):
                idents = itertools.count(100)
                connection, kernel, outcomes, attempts = shared_connection(cut)
                attempts[index].cancel_unwritten()  # its request is over
                assert outcomes[index].outcome is Outcome.UNSENT
                kernel.add_capacity(10**6, connection)
                assert (
                    len(kernel.accepted) == cut
                )  # a partly written call can't be withdrawn: its connection ends
                assert [each.outcome for each in outcomes[:index]] == [Outcome.CONNECTION_LOST] * index
                assert {each.outcome for each in outcomes[index + 1 :]} <= {Outcome.CONNECT_FAILED}

    play(scene())


def test_a_queued_attempt_is_withdrawn_and_its_neighbours_go_on() -> None:
    async def scene() -> None:
        connection, kernel, outcomes, attempts = shared_connection(10)
        attempts[2].cancel(final=False)
        attempts[3].cancel_unwritten()
        kernel.add_capacity(10**6, connection)
        unpacker = msgpack.Unpacker(raw=False)
        unpacker.feed(kernel.accepted)
        assert [message[2] for message in unpacker] == ["pay", "look", "amend"]
        assert [each.outcome for each in outcomes] == [None, None, Outcome.CANCELLED, Outcome.UNSENT, None]

    play(scene())


def test_nothing_queued_is_written_to_a_server_that_drains() -> None:
    async def scene() -> None:
        connection, kernel, outcomes, _ = shared_connection(
            10
        )  # the first call is partly written, four are queued
        connection._client.drain_endpoint(connection.endpoint)
        assert [each.outcome for each in outcomes] == [None] + [Outcome.CONNECT_FAILED] * 4
        kernel.add_capacity(10**6, connection)
        unpacker = msgpack.Unpacker(raw=False)
        unpacker.feed(kernel.accepted)
        assert (
            len(list(unpacker)) == 1 and not kernel.closing
        )  # the partly written one is completed, and may be answered
        connection.data_received(pack([1, 0, None, b"done"]))
        assert outcomes[0].outcome is Outcome.DELIVERED and kernel.closing

    play(scene())


def test_a_late_response_never_answers_a_call_with_a_reused_message_id() -> None:
    async def scene() -> None:
        connection, _, outcomes, attempts = shared_connection(10**6)
        attempts[0].cancel(final=True)
        connection._next_msgid = 2**32 - 1  # the ids wrap
        late_outcomes = [OutcomeRecorder() for _ in range(4)]
        for recorder in late_outcomes:
            format_request = formatter_of(a_call("look"))
            connection.add(RpcAttempt(connection.endpoint, format_request, AttemptDeadlines(1e9), recorder))
        assert sorted(connection._in_flight) == [
            1,
            2,
            3,
            4,
            5,
            6,
            7,
            2**32 - 1,
        ]  # 0 is abandoned, and not reused
        connection.data_received(pack([1, 0, None, b"late"]))
        assert all(each.outcome is None for each in late_outcomes)
        assert outcomes[0].outcome is Outcome.CANCELLED
        connection.data_received(
            b"".join(pack([1, msgid, None, b"%d" % msgid]) for msgid in (7, 5, 2**32 - 1, 6))
        )
        assert [each.body for each in late_outcomes] == [b"4294967295", b"5", b"6", b"7"]

    play(scene())


def test_responses_out_of_order_and_byte_by_byte_reach_their_own_calls() -> None:
    async def scene() -> None:
        connection, _, outcomes, _ = shared_connection(10**6)
        stream = b"".join(pack([1, msgid, None, {"body": b"%d" % msgid}]) for msgid in (3, 0, 4, 2, 1))
        for byte in stream:
            connection.data_received(bytes([byte]))
        assert [each.body for each in outcomes] == [b"0", b"1", b"2", b"3", b"4"]

    play(scene())


@pytest.mark.parametrize(
    "stray", [pack([1, 77, None, b"?"]), pack([1, 2, None, b"again"])], ids=["unknown", "second"]
)
def test_a_response_with_an_unknown_message_id_is_dropped_and_the_connection_not_reused(stray: bytes) -> None:
    async def scene() -> None:
        connection, kernel, outcomes, _ = shared_connection(10**6)
        connection.data_received(pack([1, 2, None, b"2"]) + stray)
        assert outcomes[2].body == b"2" and not connection.has_capacity(100) and not kernel.closing
        for msgid in (0, 1, 3, 4):
            connection.data_received(pack([1, msgid, None, b"%d" % msgid]))
        assert [each.body for each in outcomes] == [b"0", b"1", b"2", b"3", b"4"] and kernel.closing

    play(scene())


MALFORMED = [
    b"nonsense",
    b"\xc1",
    pack([0, 1, "x", []]),
    pack([1, 1, None]),
    pack({}),
    b"\xdd\x80\x00\x00\x00",
]


@pytest.mark.parametrize("malformed", MALFORMED, ids=range(len(MALFORMED)))
def test_malformed_bytes_are_an_error_of_written_attempts_and_the_others_were_not_executed(
    malformed: bytes,
) -> None:
    async def scene() -> None:
        global idents
        idents = itertools.count(100)
        ends = message_ends()
        idents = itertools.count(100)
        connection, kernel, outcomes, _ = shared_connection(ends[2])
        connection.data_received(malformed)
        assert [each.outcome for each in outcomes] == [Outcome.ERROR] * 3 + [Outcome.CONNECT_FAILED] * 2
        assert kernel.closing

    play(scene())


def test_a_response_of_the_wrong_type_fails_its_own_call_only() -> None:
    async def scene() -> None:
        connection, _, outcomes, _ = shared_connection(10**6)
        connection.data_received(pack([1, 0, None, 7]) + pack([1, 1, None, b"good"]))
        assert [each.outcome for each in outcomes[:3]] == [Outcome.ERROR, Outcome.DELIVERED, None]

    play(scene())


def test_a_call_rejected_before_its_last_byte_is_not_written_further() -> None:
    async def scene() -> None:
        connection, kernel, outcomes, _ = shared_connection(10)
        connection.data_received(pack([1, 0, [503, "too long", {"rejected": True}], None]))
        assert outcomes[0].outcome is Outcome.REJECTED and kernel.closing and len(kernel.accepted) == 10
        assert {each.outcome for each in outcomes[1:]} == {Outcome.CONNECT_FAILED}

    play(scene())


def test_a_connection_with_many_abandoned_attempts_is_not_reused() -> None:
    # Guards the table of message ids whose responses may still come: it would grow without bound.
    async def scene() -> None:
        connection, _, _, _ = shared_connection(10**9)
        abandoned = 0
        while connection.usable and abandoned < 1000:
            attempt = RpcAttempt(
                connection.endpoint, formatter_of(a_call()), AttemptDeadlines(1e9), OutcomeRecorder(), True
            )
            connection.add(attempt)
            attempt.cancel(final=True)
            abandoned += 1
        assert abandoned == 256 and len(connection._abandoned) == 256

    play(scene())


# -- Pools, over loopback


def is_delivered(recorder: OutcomeRecorder) -> bool:
    return recorder.outcome is Outcome.DELIVERED


def connections(endpoints: EndpointTable) -> list[RpcUpstreamConnection]:
    return list(endpoints.endpoints["s"].pool.all())


def test_attempts_share_connections_and_non_idempotent_ones_only_with_one_another() -> None:
    async def scene() -> None:
        endpoints = new_endpoints(ConnectionSharing(non_idempotent_max=8, others_max=2, connections_max=20))
        server = await start_server(endpoints, hung)
        recorders = [send(endpoints, kind)[0] for kind in ("pay", "look") * 8]
        await until(lambda: len(server.requests) == 16)
        assert len(server.writers) == 1 + 4
        assert sorted(each.load for each in connections(endpoints)) == [2, 2, 2, 2, 8]
        server.answer_held(answer(200, b"done"))
        await until(lambda: all(each.outcome is Outcome.DELIVERED for each in recorders))
        server.stop()

    play(scene())


def test_cancelling_an_attempt_that_may_be_retried_ends_its_connection_and_no_non_idempotent_one() -> None:
    # A request is cancelled at a slow server and retried at another.  The protocol has no cancel, so on an open
    # connection the first server would still execute it: two copies at once.
    async def scene() -> None:
        endpoints = new_endpoints(ConnectionSharing(non_idempotent_max=8, others_max=2, connections_max=20))
        server = await start_server(endpoints, hung)
        non_idempotent = [send(endpoints, "pay")[0] for _ in range(3)]
        (cancelled, attempt), (neighbour, _), (other, _) = (send(endpoints, "look") for _ in range(3))
        await until(lambda: len(server.requests) == 6)
        attempt.cancel(final=False)
        assert (cancelled.outcome, neighbour.outcome) == (Outcome.CANCELLED, Outcome.CANCELLED)
        await until(lambda: server.closed == 1)
        assert [each.outcome for each in (*non_idempotent, other)] == [None] * 4
        server.stop()

    play(scene())


def test_a_connection_with_an_abandoned_attempt_keeps_its_others_and_gets_no_new_one_until_a_response() -> (
    None
):
    async def scene() -> None:
        endpoints = new_endpoints()
        server = await start_server(endpoints, hung)
        (cancelled, attempt), (neighbour, _) = send(endpoints), send(endpoints)
        await until(lambda: len(server.requests) == 2)
        attempt.cancel(final=True)
        assert (cancelled.outcome, neighbour.outcome) == (Outcome.CANCELLED, None)
        send(endpoints)  # the connection may be dead: this one goes over another
        await until(lambda: len(server.writers) == 2)
        server.answer_held(answer(200, b"late or not"))
        await until(lambda: neighbour.outcome is Outcome.DELIVERED)
        assert cancelled.outcome is Outcome.CANCELLED
        send(endpoints)
        await until(lambda: len(server.requests) == 4)
        assert len(server.writers) == 2
        server.stop()

    play(scene())


def test_a_written_attempt_ends_as_timed_out_at_its_deadline_and_releases_its_connection() -> None:
    async def scene() -> None:
        endpoints = new_endpoints()
        await start_server(endpoints, hung)
        written, _ = send(endpoints, seconds=0.3)
        await until(lambda: written.outcome)
        assert written.outcome is Outcome.TIMED_OUT
        await until(lambda: endpoints.connection_limit.open_count == 0)

    play(scene())


def test_an_idle_connection_closed_by_its_server_is_not_reused() -> None:
    async def scene() -> None:
        endpoints = new_endpoints()
        server = await start_server(endpoints, served)
        first, _ = send(endpoints)
        await until(lambda: first.outcome)
        sock = connections(endpoints)[0].sock
        assert sock is not None
        server.writers[0].get_extra_info("socket").shutdown(socket.SHUT_WR)
        sock.setblocking(True)  # blocks until the kernel has it, so the event loop can't have seen it
        assert sock.recv(1, socket.MSG_PEEK) == b""
        sock.setblocking(False)
        second, _ = send(endpoints)
        await until(lambda: second.outcome)
        assert second.outcome is Outcome.DELIVERED and len(server.writers) == 2
        server.stop()

    play(scene())


def test_an_idle_connection_is_closed_before_its_server_closes_it() -> None:
    async def scene() -> None:
        endpoints = EndpointTable(ConnectionLimit(5), 4.0)
        endpoints.add_client(RPC, RpcUpstreamClient(5.0, 0.5, endpoints.connection_limit))
        server = await start_server(endpoints, served)
        recorder, _ = send(endpoints)
        await until(lambda: recorder.outcome)
        timer = connections(endpoints)[0].idle_timer
        assert timer is not None and timer.when() - asyncio.get_running_loop().time() < 0.46
        await until(lambda: server.closed == 1 and endpoints.connection_limit.open_count == 0)
        server.stop()

    play(scene())


def test_an_incomplete_response_ends_the_attempt_within_a_time_limit() -> None:
    async def scene() -> None:
        endpoints = new_endpoints(connect_timeout_s=0.3)
        server = await start_server(endpoints, lambda *_: pack([1, 0, None, b"complete"])[:-2])
        recorder, _ = send(endpoints)
        await until(lambda: recorder.outcome)
        assert recorder.outcome is Outcome.ERROR
        server.stop()

    play(scene())


def test_an_attempt_beyond_a_server_s_connections_and_sharing_ends_unsent() -> None:
    async def scene() -> None:
        endpoints = new_endpoints(ConnectionSharing(non_idempotent_max=2, others_max=2, connections_max=2))
        server = await start_server(endpoints, hung)
        outcomes = [send(endpoints, kind)[0] for kind in ("pay", "pay", "look", "look", "look")]
        assert [each.outcome for each in outcomes] == [None] * 4 + [Outcome.UNSENT]
        await until(lambda: len(server.requests) == 4)
        server.stop()

    play(scene())


def test_connections_stay_within_the_limit_of_all_clients_and_idle_ones_are_closed_for_new_ones() -> None:
    async def scene() -> None:
        endpoints = new_endpoints(ConnectionSharing(1, 1, 10), connections_max=2)
        server = await start_server(endpoints, served)
        for kind in ("pay", "look", "pay", "look"):
            one, _ = send(endpoints, kind)
            await until(partial(is_delivered, one))
        server.script = hung
        outcomes, more = [send(endpoints, "pay")[0] for _ in range(2)], send(endpoints, "pay")[0]
        assert more.outcome is Outcome.UNSENT
        await until(lambda: len(server.requests) == 6)
        assert all(each.outcome is None for each in outcomes)
        server.stop()

    play(scene())


def test_an_attempt_that_waits_for_a_connect_to_a_restarted_server_ends_unsent() -> None:
    async def scene() -> None:
        endpoints = new_endpoints()
        server = await start_server(endpoints, served)
        recorder, _ = send(endpoints)
        endpoints.update("s", server.address, 5, ServerState.READY, RPC)
        assert recorder.outcome is Outcome.UNSENT  # it says nothing of the restarted server
        again, _ = send(endpoints)
        await until(lambda: again.outcome is Outcome.DELIVERED)
        assert len(server.requests) == 1
        server.stop()

    play(scene())


def test_a_server_that_changes_to_an_unknown_protocol_gets_nothing_new() -> None:
    async def scene() -> None:
        async with world(served) as w:
            w.servers[0].script = hung
            one = await client(w.sidecar.listener.address)
            one.send(request("pay", body=b"x"))
            await until(w.sent)
            w.discovery.say(42, [w.servers[0].entry(protocol="smoke-signals")])
            await until(lambda: w.sidecar._balancer.servers.by_name["s-0"].state is ServerState.DRAINING)
            assert (await w.ask(X_Call_Id="other"))[
                0
            ] == 503  # there is no other server, and nothing new goes to it
            one.close()

    play(scene())


# -- A complete sidecar


def test_when_a_server_dies_its_non_idempotent_calls_fail_once_and_its_idempotent_ones_are_retried() -> None:
    async def scene() -> None:
        async with world(hung, served, limits=LIMITS) as w:
            dying, other = w.servers
            non_idempotent, idempotent = [f"l-{n}" for n in range(12)], [f"k-{n}" for n in range(12)]
            tasks = [
                asyncio.create_task(w.ask(kind=kind, body=b"x" if kind == "pay" else b"", X_Call_Id=ident))
                for pairs in zip(non_idempotent, idempotent, strict=True)
                for kind, ident in zip(("pay", "look"), pairs, strict=True)
            ]
            await until(lambda: len(w.sent()) == 24)
            executed = {headers["x-call-id"] for _, headers, _ in dying.requests}
            assert executed & set(non_idempotent) and executed & set(idempotent)
            before = len(other.requests)
            dying.stop()
            statuses = dict(
                zip(
                    [each for both in zip(non_idempotent, idempotent, strict=True) for each in both],
                    [(await each)[0] for each in tasks],
                    strict=True,
                )
            )
            for ident, status in statuses.items():
                if ident in non_idempotent and ident in executed:
                    assert status == 500
                elif ident in non_idempotent or ident not in executed:
                    assert status == 200
                else:
                    assert status in (200, 503)  # retried while the retry budget lasts
            sent = [headers["x-call-id"] for _, headers, _ in w.sent()]
            assert all(sent.count(ident) == 1 for ident in non_idempotent)
            assert len(other.requests) > before

    play(scene())


@pytest.fixture
def slow_listener() -> Iterator[socket.socket]:
    """A listener with small receive buffers, whose connections the test reads."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen(8)
    listener.setblocking(False)
    yield listener
    listener.close()


def test_calls_queued_for_a_server_that_reads_nothing_are_withdrawn_once_it_drains(
    slow_listener: socket.socket,
) -> None:
    async def scene() -> None:
        endpoints = new_endpoints(ConnectionSharing(non_idempotent_max=200))
        count = 150  # 9 MB: more than the kernel buffers
        endpoints.update("s", slow_listener.getsockname()[:2], None, ServerState.READY, RPC)
        outcomes = []
        for _ in range(count):
            recorder = OutcomeRecorder()
            deadlines = AttemptDeadlines(asyncio.get_running_loop().time() + 30)
            endpoints.send("s", a_call("pay", bytes(60_000)), deadlines, recorder)
            outcomes.append(recorder)
        loop = asyncio.get_running_loop()
        accepted, _ = await asyncio.wait_for(loop.sock_accept(slow_listener), PATIENCE_S)
        await until(lambda: any(each._writing for each in connections(endpoints)))
        written = sum(len(each._in_flight) for each in connections(endpoints))
        endpoints.update("s", None, None, ServerState.DRAINING, RPC)
        assert [each.outcome for each in outcomes].count(Outcome.CONNECT_FAILED) == count - written - 1
        reader, writer = await asyncio.open_connection(sock=accepted, limit=2**22)
        unpacker = msgpack.Unpacker(raw=False)
        received = 0
        while received < written + 1:
            unpacker.feed(await asyncio.wait_for(reader.read(65536), PATIENCE_S))
            for message in unpacker:
                received += 1
                writer.write(pack([1, message[1], None, b"done"]))
        await until(lambda: [each.outcome for each in outcomes].count(Outcome.DELIVERED) == written + 1)
        assert await asyncio.wait_for(reader.read(), PATIENCE_S) == b""  # nothing more came
        reset_connection(writer)

    play(scene())
