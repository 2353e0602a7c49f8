"""Forwarder and planner over sockets: what passes, what is broken on the way, and what operators see."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import msgpack
import pytest
from loopback import play, until

from testbed.fleet.harness import FleetHarness
from topazbank import plan as command
from topazbank.core.net import Address
from topazbank.operator_config import operator_config_from
from topazbank.planning import link as links
from topazbank.planning import server as serving
from topazbank.planning.link import PlannerLink
from topazbank.planning.plan import Plan, S
from topazbank.planning.wire import SUMMARY, encode_plan

PLAN = Plan("f", "life", 1, "p", 1, S, 0)


class FakePlanner:
    """Answers each call as `script` says: bytes to write, or None for silence."""

    def __init__(self, script: Any) -> None:
        self.script = script
        self.calls: list[Any] = []
        self.address: Address = ("127.0.0.1", 0)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        unpacker = msgpack.Unpacker()
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await reader.read(65536):
                unpacker.feed(data)
                for message in unpacker:
                    self.calls.append(message)
                    answer = self.script(message)
                    if answer is not None:
                        writer.write(answer)
        writer.close()

    def stop(self) -> None:
        self._server.close()


def answer(message: Any, plan: Any = None, period: int = 20_000) -> bytes:
    made: bytes = msgpack.packb([1, message[1], None, [plan, period]])
    return made


@contextlib.asynccontextmanager
async def linked(script: Any) -> AsyncIterator[tuple[FakePlanner, PlannerLink, list[Plan]]]:
    planner, heard = FakePlanner(script), list[Plan]()
    await planner.start()
    link = PlannerLink(planner.address, lambda: 7, lambda asked_at, plan: heard.append(plan), 1)

    async def tell() -> None:
        while True:
            link.send(b"summary")
            await asyncio.sleep(0.01)

    telling = asyncio.create_task(tell())
    try:
        yield planner, link, heard
    finally:
        telling.cancel()
        link.stop()
        planner.stop()


def test_one_call_is_out_at_a_time_and_each_answer_is_heard_once() -> None:
    async def scene() -> None:
        def twice(message: Any) -> bytes:
            return 2 * answer(message, encode_plan(PLAN))

        async with linked(twice) as (planner, link, heard):
            await until(lambda: len(heard) >= 5)
            assert len(heard) == link.answered <= len(planner.calls)
            assert all(each[2:] == [SUMMARY, [b"summary"]] for each in planner.calls)
            assert heard[0] == PLAN and link.period == 20_000 and not link.bad

    play(scene())


@pytest.mark.parametrize(
    "answered",
    [
        lambda message: b"\xc1\xc1",
        lambda message: msgpack.packb([1, message[1], None, [encode_plan(PLAN)[:-1], 20_000]]),
        lambda message: msgpack.packb([1, message[1], "no", None]),
        lambda message: msgpack.packb([1, message[1], None, "odd"]),
        lambda message: msgpack.packb(7),
        lambda message: b"\xc6\x7f\xff\xff\xff",  # a body of 2 GB is announced
    ],
    ids=["junk", "cut plan", "error", "odd result", "no message", "huge"],
)
def test_a_planner_that_makes_no_sense_is_counted_and_nothing_of_it_is_followed(answered: Any) -> None:
    async def scene() -> None:
        async with linked(answered) as (_, link, heard):
            await until(lambda: link.bad >= 1 or link._backoff_s > links.BACKOFF_S)
            assert not heard

    play(scene())


def test_a_silent_planner_is_dialled_again_less_and_less_often(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(links, "UNANSWERED_S", 0.05)
    monkeypatch.setattr(links, "BACKOFF_S", 0.02)

    async def scene() -> None:
        async with linked(lambda message: None) as (planner, link, heard):
            link._backoff_s = 0.02
            await until(lambda: len(planner.calls) >= 4)
            assert link._backoff_s >= 0.16 and not heard
            planner.script = lambda message: answer(message, encode_plan(PLAN))
            await until(lambda: heard)
            assert link._backoff_s == links.BACKOFF_S

    play(scene())


def test_a_caller_that_makes_no_sense_ends_alone() -> None:
    async def scene() -> None:
        rig = FleetHarness(planners=1, sidecars=1, backends=4)
        await rig.start()
        server = rig.planners[0]
        assert server is not None
        await until(lambda: min(rig.plan_trusts()) > 0.05)
        for junk in (
            b"\xc1",
            msgpack.packb([1, 2]),
            msgpack.packb([0, "x", SUMMARY, [b""]]),
            b"GET / HTTP/1.1\r\n\r\n",
        ):
            reader, writer = await asyncio.open_connection(*server.address)
            writer.write(junk)
            assert await reader.read() == b""
            writer.close()
        reader, writer = await asyncio.open_connection(*server.address)
        for method, params in ((SUMMARY, [b"junk"]), (SUMMARY, []), ("nothing", [])):
            writer.write(msgpack.packb([0, 1, method, params]))
            _, _, error, result = msgpack.unpackb(await reader.read(65536))
            assert error and result is None
        writer.close()
        before = rig.following(0)
        assert before is not None
        await until(lambda: (now := rig.following(0)) is not None and now.sequence > before.sequence)
        await rig.stop()

    play(scene())


def test_connections_are_bounded_and_the_silent_ones_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        rig = FleetHarness(planners=1, sidecars=1, backends=4)
        await rig.start()
        server = rig.planners[0]
        assert server is not None
        await until(lambda: len(server.connections) == 1)
        monkeypatch.setattr(serving, "CONNECTIONS_MOST", 2)
        one = await asyncio.open_connection(*server.address)
        await until(lambda: len(server.connections) == 2)
        other = await asyncio.open_connection(*server.address)
        assert await other[0].read() == b""
        monkeypatch.setattr(serving, "IDLE_S", 0.3)
        assert await one[0].read() == b""
        await until(lambda: min(rig.plan_trusts()) > 0.05)  # a forwarder is never silent for so long
        for _, writer in (one, other):
            writer.close()
        await rig.stop()

    play(scene())


def test_the_commands_show_what_is_followed_and_what_is_known(capsys: pytest.CaptureFixture[str]) -> None:
    async def scene() -> None:
        rig = FleetHarness(planners=1, sidecars=1, backends=4)
        await rig.start()
        await until(lambda: min(rig.plan_trusts()) > 0.2)
        process, server = rig.processes[0], rig.planners[0]
        assert process is not None and server is not None
        places = {"show": process.sidecar.listener.address, "status": server.address}
        for what, (host, port) in places.items():
            code = await asyncio.to_thread(command.main, [what, f"{host}:{port}"])
            assert code == 0
        told = capsys.readouterr().out
        assert "forwarder f-0: epoch 1 of planner p-0" in told and "planner p-0 leads by epoch 1" in told
        assert told.count("n-3") == 2
        await rig.stop()
        assert await asyncio.to_thread(command.main, ["status", f"127.0.0.1:{places['status'][1]}"]) == 1

    play(scene())


@pytest.mark.parametrize(
    ("given", "named"),
    [
        ({"planners": ["nowhere"]}, "planning.planners"),
        ({"planners": [f"127.0.0.1:{each}" for each in range(1, 9)]}, "planning.planners"),
        ({"listen": "x"}, "planning.listen"),
        ({"elect": "votes"}, "planning.elect"),
        ({"rank": 300}, "planning.rank"),
        ({"name": 5}, "planning.name"),
        ({"planner": []}, "planning.planner"),
    ],
)
def test_a_bad_setting_is_named(given: dict[str, Any], named: str) -> None:
    with pytest.raises(ValueError, match=named):
        operator_config_from({"planning": given})
