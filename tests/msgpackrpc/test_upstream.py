"""The MessagePack-RPC carrier: what each end of a shared connection proves of each of its calls."""

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
from topazbank.msgpackrpc.client import RpcAttempt, RpcNodeConnection, RpcUpstreamClient, Sharing
from topazbank.msgpackrpc.mapping import write_call

RULES = RequestClasses(settings(classes=CLASSES))
idents = itertools.count()


@pytest.fixture(autouse=True)
def rpc_nodes(each_client: str) -> None:
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


class Told:
    """Hears an attempt's outcome, once."""

    def __init__(self) -> None:
        self.outcome: Outcome | None = None
        self.body: bytes | None = None

    def __call__(self, outcome: Outcome, response: Response | None) -> None:
        assert self.outcome is None
        self.outcome = outcome
        self.body = response.body if response is not None else None


def rpc_nodes_of(sharing: Sharing | None = None, most: int = 50, dial_s: float = 5.0) -> EndpointTable:
    nodes = EndpointTable(ConnectionLimit(most), 4.0)
    nodes.add_client(RPC, RpcUpstreamClient(dial_s, 60.0, nodes.connection_limit, (), sharing))
    return nodes


def send(
    nodes: EndpointTable, kind: str = "pay", seconds: float = 30.0, last: bool = True
) -> tuple[Told, RpcAttempt]:
    told = Told()
    until_ = asyncio.get_running_loop().time() + seconds
    attempt = nodes.send("s", a_call(kind), AttemptDeadlines(until_, last), told)
    assert isinstance(attempt, RpcAttempt)
    return told, attempt


async def node(nodes: EndpointTable, script: Any) -> FakeServer:
    server = FakeServer("s", script)
    await server.start()
    nodes.update("s", server.address, None, ServerState.READY, RPC)
    return server


# -- One connection, byte by byte: the kernel is played, so that each cut is exact


class Kernel(asyncio.Transport):
    """Takes so many bytes of what is written and holds the rest, as a full socket does."""

    def __init__(self, room: int) -> None:
        super().__init__()
        self.room = room
        self.taken = b""
        self.held = b""
        self.closing = False

    def write(self, data: Any) -> None:
        if not self.closing:
            self.held += bytes(data)
            self._move()

    def _move(self) -> None:
        moved, self.held = self.held[: self.room], self.held[self.room :]
        self.taken += moved
        self.room -= len(moved)

    def give_room(self, room: int, connection: RpcNodeConnection) -> None:
        self.room += room
        had = bool(self.held)
        self._move()
        if had and not self.held:
            connection.resume_writing()

    def get_write_buffer_size(self) -> int:
        return len(self.held)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        assert high == 0

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        self.closing = True
        self.held = b""

    close = abort


KINDS = ("pay", "look", "pay", "look", "amend")


def shared(room: int) -> tuple[RpcNodeConnection, Kernel, list[Told], list[RpcAttempt]]:
    """A connection that carries interleaved calls, more kinds on one than the carrier would put there."""
    nodes = rpc_nodes_of()
    nodes.update("s", ("127.0.0.1", 9), None, ServerState.READY, RPC)
    endpoint, carrier = nodes.endpoints["s"], nodes._clients[RPC]
    assert isinstance(carrier, RpcUpstreamClient)
    connection = RpcNodeConnection(carrier, endpoint, True)
    endpoint.pool.lodges.append(connection)
    kernel = Kernel(room)
    connection.connection_made(kernel)
    told, attempts = [], []
    for kind in KINDS:
        heard = Told()
        lodge, last = kind == "pay", True
        order = order_of(a_call(kind))
        attempt = RpcAttempt(
            endpoint, order, AttemptDeadlines(asyncio.get_running_loop().time() + 30, last), heard, lodge
        )
        connection.add(attempt)
        told.append(heard)
        attempts.append(attempt)
    return connection, kernel, told, attempts


def order_of(call: Call) -> Any:
    return lambda msgid, left: write_call(msgid, call, 1.0)


def lengths() -> list[int]:
    """Where each call's last byte lies in the stream, all written."""
    _, kernel, _, _ = shared(10**9)
    unpacker = msgpack.Unpacker()
    unpacker.feed(kernel.taken)
    ends = []
    for _ in unpacker:
        ends.append(unpacker.tell())
    return ends


def test_a_break_before_inside_and_after_each_call_s_bytes_proves_for_each_what_it_can() -> None:
    # Lodges whose last byte was written may have run; what was written in part, or not at all, never ran.
    async def scene() -> None:
        global idents
        idents = itertools.count(100)
        ends = lengths()
        assert len(ends) == len(KINDS)
        for cut in range(ends[-1] + 1):
            idents = itertools.count(100)  # so that all streams are as long as the first
            connection, kernel, told, _ = shared(cut)
            assert len(kernel.taken) == cut
            connection.connection_lost(None)
            wanted = [Outcome.CONNECTION_LOST if end <= cut else Outcome.CONNECT_FAILED for end in ends]
            assert [each.outcome for each in told] == wanted, cut

    play(scene())


def test_a_call_given_up_before_its_last_byte_is_never_written_whole() -> None:
    async def scene() -> None:
        global idents
        idents = itertools.count(100)
        ends = lengths()
        for index in range(len(KINDS)):
            for at in (ends[index] - 1, ends[index - 1] + 1 if index else 1):
                idents = itertools.count(100)
                connection, kernel, told, attempts = shared(at)
                attempts[index].cancel_unwritten()  # its request is over
                assert told[index].outcome is Outcome.UNSENT
                kernel.give_room(10**6, connection)
                assert len(kernel.taken) == at  # half a call can't be taken back: its connection ends
                assert [each.outcome for each in told[:index]] == [Outcome.CONNECTION_LOST] * index
                assert {each.outcome for each in told[index + 1 :]} <= {Outcome.CONNECT_FAILED}

    play(scene())


def test_a_call_that_waits_is_taken_back_and_its_neighbours_go_on() -> None:
    async def scene() -> None:
        connection, kernel, told, attempts = shared(10)
        attempts[2].cancel(final=False)
        attempts[3].cancel_unwritten()
        kernel.give_room(10**6, connection)
        unpacker = msgpack.Unpacker(raw=False)
        unpacker.feed(kernel.taken)
        assert [message[2] for message in unpacker] == ["pay", "look", "amend"]
        assert [each.outcome for each in told] == [None, None, Outcome.CANCELLED, Outcome.UNSENT, None]

    play(scene())


def test_nothing_new_leaves_a_write_buffer_after_a_drain_is_told() -> None:
    async def scene() -> None:
        connection, kernel, told, _ = shared(10)  # the first call is begun, four wait
        connection._carrier.drain_endpoint(connection.endpoint)
        assert [each.outcome for each in told] == [None] + [Outcome.CONNECT_FAILED] * 4
        kernel.give_room(10**6, connection)
        unpacker = msgpack.Unpacker(raw=False)
        unpacker.feed(kernel.taken)
        assert len(list(unpacker)) == 1 and not kernel.closing  # what had begun ends, and may be answered
        connection.data_received(pack([1, 0, None, b"done"]))
        assert told[0].outcome is Outcome.DELIVERED and kernel.closing

    play(scene())


def test_a_late_response_never_answers_a_reused_id() -> None:
    async def scene() -> None:
        connection, _, told, attempts = shared(10**6)
        attempts[0].cancel(final=True)
        connection._next_msgid = 2**32 - 1  # the ids wrap
        heard = [Told() for _ in range(4)]
        for each in heard:
            order = order_of(a_call("look"))
            connection.add(RpcAttempt(connection.endpoint, order, AttemptDeadlines(1e9), each))
        assert sorted(connection._out) == [
            1,
            2,
            3,
            4,
            5,
            6,
            7,
            2**32 - 1,
        ]  # 0 is given up, and not used again
        connection.data_received(pack([1, 0, None, b"late"]))
        assert all(each.outcome is None for each in heard)
        assert told[0].outcome is Outcome.CANCELLED
        connection.data_received(
            b"".join(pack([1, msgid, None, b"%d" % msgid]) for msgid in (7, 5, 2**32 - 1, 6))
        )
        assert [each.body for each in heard] == [b"4294967295", b"5", b"6", b"7"]

    play(scene())


def test_a_node_that_answers_out_of_order_and_one_by_one_gives_each_call_its_own() -> None:
    async def scene() -> None:
        connection, _, told, _ = shared(10**6)
        stream = b"".join(pack([1, msgid, None, {"body": b"%d" % msgid}]) for msgid in (3, 0, 4, 2, 1))
        for byte in stream:
            connection.data_received(bytes([byte]))
        assert [each.body for each in told] == [b"0", b"1", b"2", b"3", b"4"]

    play(scene())


@pytest.mark.parametrize(
    "stray", [pack([1, 77, None, b"?"]), pack([1, 2, None, b"again"])], ids=["unknown", "second"]
)
def test_a_response_to_no_call_that_is_out_is_nobody_s_and_the_connection_takes_no_more(stray: bytes) -> None:
    async def scene() -> None:
        connection, kernel, told, _ = shared(10**6)
        connection.data_received(pack([1, 2, None, b"2"]) + stray)
        assert told[2].body == b"2" and not connection.takes(100) and not kernel.closing
        for msgid in (0, 1, 3, 4):
            connection.data_received(pack([1, msgid, None, b"%d" % msgid]))
        assert [each.body for each in told] == [b"0", b"1", b"2", b"3", b"4"] and kernel.closing

    play(scene())


SPOILT = [b"nonsense", b"\xc1", pack([0, 1, "x", []]), pack([1, 1, None]), pack({}), b"\xdd\x80\x00\x00\x00"]


@pytest.mark.parametrize("spoilt", SPOILT, ids=range(len(SPOILT)))
def test_noise_is_an_error_of_all_that_was_written_and_proves_that_the_rest_never_ran(spoilt: bytes) -> None:
    async def scene() -> None:
        global idents
        idents = itertools.count(100)
        ends = lengths()
        idents = itertools.count(100)
        connection, kernel, told, _ = shared(ends[2])
        connection.data_received(spoilt)
        assert [each.outcome for each in told] == [Outcome.ERROR] * 3 + [Outcome.CONNECT_FAILED] * 2
        assert kernel.closing

    play(scene())


def test_an_answer_of_the_wrong_type_costs_its_own_call_alone() -> None:
    async def scene() -> None:
        connection, _, told, _ = shared(10**6)
        connection.data_received(pack([1, 0, None, 7]) + pack([1, 1, None, b"good"]))
        assert [each.outcome for each in told[:3]] == [Outcome.ERROR, Outcome.DELIVERED, None]

    play(scene())


def test_a_call_turned_away_before_it_was_whole_is_not_finished() -> None:
    async def scene() -> None:
        connection, kernel, told, _ = shared(10)
        connection.data_received(pack([1, 0, [503, "too long", {"rejected": True}], None]))
        assert told[0].outcome is Outcome.REJECTED and kernel.closing and len(kernel.taken) == 10
        assert {each.outcome for each in told[1:]} == {Outcome.CONNECT_FAILED}

    play(scene())


def test_a_connection_that_has_given_up_calls_for_good_is_used_no_more() -> None:
    # Guards the table of ids that may still be responded to.
    async def scene() -> None:
        connection, _, _, _ = shared(10**9)
        given_up = 0
        while connection.usable and given_up < 1000:
            attempt = RpcAttempt(connection.endpoint, order_of(a_call()), AttemptDeadlines(1e9), Told(), True)
            connection.add(attempt)
            attempt.cancel(final=True)
            given_up += 1
        assert given_up == 256 and len(connection._given_up) == 256

    play(scene())


# -- Pools, over loopback


def is_delivered(told: Told) -> bool:
    return told.outcome is Outcome.DELIVERED


def connections(nodes: EndpointTable) -> list[RpcNodeConnection]:
    return list(nodes.endpoints["s"].pool.all())


def test_calls_share_connections_and_lodges_only_with_lodges() -> None:
    async def scene() -> None:
        nodes = rpc_nodes_of(Sharing(lodges=8, others=2, connections=20))
        server = await node(nodes, hung)
        all_told = [send(nodes, kind)[0] for kind in ("pay", "look") * 8]
        await until(lambda: len(server.requests) == 16)
        assert len(server.writers) == 1 + 4
        assert sorted(each.load for each in connections(nodes)) == [2, 2, 2, 2, 8]
        server.answer_held(answer(200, b"done"))
        await until(lambda: all(each.outcome is Outcome.DELIVERED for each in all_told))
        server.stop()

    play(scene())


def test_giving_up_a_call_that_may_come_again_ends_its_connection_and_no_lodge_s() -> None:
    # Guards rule 2: an attempt still out on an open connection would make the next one a second copy.
    async def scene() -> None:
        nodes = rpc_nodes_of(Sharing(lodges=8, others=2, connections=20))
        server = await node(nodes, hung)
        lodges = [send(nodes, "pay")[0] for _ in range(3)]
        (gone, attempt), (neighbour, _), (other, _) = (send(nodes, "look") for _ in range(3))
        await until(lambda: len(server.requests) == 6)
        attempt.cancel(final=False)
        assert (gone.outcome, neighbour.outcome) == (Outcome.CANCELLED, Outcome.CANCELLED)
        await until(lambda: server.closed == 1)
        assert [each.outcome for each in (*lodges, other)] == [None] * 4
        server.stop()

    play(scene())


def test_giving_up_a_call_for_good_leaves_its_neighbours_and_nothing_new_goes_with_it_until_the_node_speaks() -> (
    None
):
    async def scene() -> None:
        nodes = rpc_nodes_of()
        server = await node(nodes, hung)
        (gone, attempt), (neighbour, _) = send(nodes), send(nodes)
        await until(lambda: len(server.requests) == 2)
        attempt.cancel(final=True)
        assert (gone.outcome, neighbour.outcome) == (Outcome.CANCELLED, None)
        send(nodes)  # the silence may be the connection's: this one goes elsewhere
        await until(lambda: len(server.writers) == 2)
        server.answer_held(answer(200, b"late or not"))
        await until(lambda: neighbour.outcome is Outcome.DELIVERED)
        assert gone.outcome is Outcome.CANCELLED
        send(nodes)
        await until(lambda: len(server.requests) == 4)
        assert len(server.writers) == 2
        server.stop()

    play(scene())


def test_time_up_is_never_ran_until_the_last_byte_was_written_and_expired_from_then_on() -> None:
    async def scene() -> None:
        nodes = rpc_nodes_of()
        await node(nodes, hung)
        written, _ = send(nodes, seconds=0.3)
        await until(lambda: written.outcome)
        assert written.outcome is Outcome.TIMED_OUT
        await until(lambda: nodes.connection_limit.open_count == 0)

    play(scene())


def test_an_end_that_nobody_has_read_keeps_a_connection_from_use() -> None:
    async def scene() -> None:
        nodes = rpc_nodes_of()
        server = await node(nodes, served)
        first, _ = send(nodes)
        await until(lambda: first.outcome)
        sock = connections(nodes)[0].sock
        assert sock is not None
        server.writers[0].get_extra_info("socket").shutdown(socket.SHUT_WR)
        sock.setblocking(True)  # blocks until the kernel has it, so the event loop can't have seen it
        assert sock.recv(1, socket.MSG_PEEK) == b""
        sock.setblocking(False)
        second, _ = send(nodes)
        await until(lambda: second.outcome)
        assert second.outcome is Outcome.DELIVERED and len(server.writers) == 2
        server.stop()

    play(scene())


def test_an_idle_connection_is_closed_before_its_node_would() -> None:
    async def scene() -> None:
        nodes = EndpointTable(ConnectionLimit(5), 4.0)
        nodes.add_client(RPC, RpcUpstreamClient(5.0, 0.5, nodes.connection_limit))
        server = await node(nodes, served)
        told, _ = send(nodes)
        await until(lambda: told.outcome)
        timer = connections(nodes)[0].idle_timer
        assert timer is not None and timer.when() - asyncio.get_running_loop().time() < 0.46
        await until(lambda: server.closed == 1 and nodes.connection_limit.open_count == 0)
        server.stop()

    play(scene())


def test_half_a_response_is_bounded_in_time() -> None:
    async def scene() -> None:
        nodes = rpc_nodes_of(dial_s=0.3)
        server = await node(nodes, lambda *_: pack([1, 0, None, b"whole"])[:-2])
        told, _ = send(nodes)
        await until(lambda: told.outcome)
        assert told.outcome is Outcome.ERROR
        server.stop()

    play(scene())


def test_a_node_at_its_cap_of_connections_shares_no_further_and_says_so() -> None:
    async def scene() -> None:
        nodes = rpc_nodes_of(Sharing(lodges=2, others=2, connections=2))
        server = await node(nodes, hung)
        told = [send(nodes, kind)[0] for kind in ("pay", "pay", "look", "look", "look")]
        assert [each.outcome for each in told] == [None] * 4 + [Outcome.UNSENT]
        await until(lambda: len(server.requests) == 4)
        server.stop()

    play(scene())


def test_connections_stay_within_the_bound_of_all_carriers_and_idle_ones_make_room() -> None:
    async def scene() -> None:
        nodes = rpc_nodes_of(Sharing(1, 1, 10), most=2)
        server = await node(nodes, served)
        for kind in ("pay", "look", "pay", "look"):
            one, _ = send(nodes, kind)
            await until(partial(is_delivered, one))
        server.script = hung
        told, more = [send(nodes, "pay")[0] for _ in range(2)], send(nodes, "pay")[0]
        assert more.outcome is Outcome.UNSENT
        await until(lambda: len(server.requests) == 6)
        assert all(each.outcome is None for each in told)
        server.stop()

    play(scene())


def test_a_restarted_node_takes_back_what_waits_for_its_dial() -> None:
    async def scene() -> None:
        nodes = rpc_nodes_of()
        server = await node(nodes, served)
        told, _ = send(nodes)
        nodes.update("s", server.address, 5, ServerState.READY, RPC)
        assert told.outcome is Outcome.UNSENT  # it says nothing of the node as it is now
        again, _ = send(nodes)
        await until(lambda: again.outcome is Outcome.DELIVERED)
        assert len(server.requests) == 1
        server.stop()

    play(scene())


def test_a_node_that_changes_its_protocol_is_another_and_its_calls_end() -> None:
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
            ] == 503  # nobody else is there, and nothing new goes to it
            one.close()

    play(scene())


# -- The whole sidecar


def test_a_node_that_dies_under_interleaved_calls_fails_its_lodges_once_and_has_its_checks_sent_again() -> (
    None
):
    async def scene() -> None:
        async with world(hung, served, limits=LIMITS) as w:
            dying, other = w.servers
            lodges, checks = [f"l-{n}" for n in range(12)], [f"k-{n}" for n in range(12)]
            asked = [
                asyncio.create_task(w.ask(kind=kind, body=b"x" if kind == "pay" else b"", X_Call_Id=ident))
                for pairs in zip(lodges, checks, strict=True)
                for kind, ident in zip(("pay", "look"), pairs, strict=True)
            ]
            await until(lambda: len(w.sent()) == 24)
            ran_there = {headers["x-call-id"] for _, headers, _ in dying.requests}
            assert ran_there & set(lodges) and ran_there & set(checks)
            before = len(other.requests)
            dying.stop()
            statuses = dict(
                zip(
                    [each for both in zip(lodges, checks, strict=True) for each in both],
                    [(await each)[0] for each in asked],
                    strict=True,
                )
            )
            for ident, status in statuses.items():
                if ident in lodges and ident in ran_there:
                    assert status == 500
                elif ident in lodges or ident not in ran_there:
                    assert status == 200
                else:
                    assert status in (200, 503)  # sent again while the module's budget for that lasts
            seen = [headers["x-call-id"] for _, headers, _ in w.sent()]
            assert all(seen.count(ident) == 1 for ident in lodges)
            assert len(other.requests) > before

    play(scene())


@pytest.fixture
def slow_node() -> Iterator[socket.socket]:
    """A listener whose connections take little and are read by hand."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen(8)
    listener.setblocking(False)
    yield listener
    listener.close()


def test_calls_queued_behind_a_node_that_reads_nothing_go_elsewhere_once_it_drains(
    slow_node: socket.socket,
) -> None:
    async def scene() -> None:
        nodes, many = rpc_nodes_of(Sharing(lodges=200)), 150  # 9 MB: more than the kernel takes
        nodes.update("s", slow_node.getsockname()[:2], None, ServerState.READY, RPC)
        told = []
        for _ in range(many):
            heard = Told()
            terms = AttemptDeadlines(asyncio.get_running_loop().time() + 30)
            nodes.send("s", a_call("pay", bytes(60_000)), terms, heard)
            told.append(heard)
        loop = asyncio.get_running_loop()
        taken, _ = await asyncio.wait_for(loop.sock_accept(slow_node), PATIENCE_S)
        await until(lambda: any(each._writing for each in connections(nodes)))
        written = sum(len(each._out) for each in connections(nodes))
        nodes.update("s", None, None, ServerState.DRAINING, RPC)
        assert [each.outcome for each in told].count(Outcome.CONNECT_FAILED) == many - written - 1
        reader, writer = await asyncio.open_connection(sock=taken, limit=2**22)
        unpacker = msgpack.Unpacker(raw=False)
        seen = 0
        while seen < written + 1:
            unpacker.feed(await asyncio.wait_for(reader.read(65536), PATIENCE_S))
            for message in unpacker:
                seen += 1
                writer.write(pack([1, message[1], None, b"done"]))
        await until(lambda: [each.outcome for each in told].count(Outcome.DELIVERED) == written + 1)
        assert await asyncio.wait_for(reader.read(), PATIENCE_S) == b""  # and nothing more came
        reset_connection(writer)

    play(scene())
