"""Forwarder and planner over sockets: calls, invalid messages, connection limits and the operator commands."""

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
from topazbank.planning import link as link_module
from topazbank.planning import planner_server as planner_server_module
from topazbank.planning.link import PlannerLink
from topazbank.planning.plan import US_PER_S, Plan
from topazbank.planning.wire import SUMMARY_METHOD, encode_plan

PLAN = Plan("f", "life", 1, "p", 1, US_PER_S, 0)


class FakePlanner:
    """Responds to each call with the bytes that `script` returns; None: no response."""

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
                    response = self.script(message)
                    if response is not None:
                        writer.write(response)
        writer.close()

    def stop(self) -> None:
        self._server.close()


def response_to(message: Any, plan: Any = None, period: int = 20_000) -> bytes:
    response: bytes = msgpack.packb([1, message[1], None, [plan, period]])
    return response


@contextlib.asynccontextmanager
async def connected_link(script: Any) -> AsyncIterator[tuple[FakePlanner, PlannerLink, list[Plan]]]:
    planner, plans = FakePlanner(script), list[Plan]()
    await planner.start()
    link = PlannerLink(planner.address, lambda: 7, lambda requested_at, plan: plans.append(plan), 1)

    async def send_summaries() -> None:
        while True:
            link.send(b"summary")
            await asyncio.sleep(0.01)

    sending = asyncio.create_task(send_summaries())
    try:
        yield planner, link, plans
    finally:
        sending.cancel()
        link.stop()
        planner.stop()


def test_one_call_is_in_flight_at_a_time_and_each_response_is_processed_once() -> None:
    async def scenario() -> None:
        def respond_twice(message: Any) -> bytes:
            return 2 * response_to(message, encode_plan(PLAN))

        async with connected_link(respond_twice) as (planner, link, plans):
            await until(lambda: len(plans) >= 5)
            assert len(plans) == link.responses <= len(planner.calls)
            assert all(call[2:] == [SUMMARY_METHOD, [b"summary"]] for call in planner.calls)
            assert plans[0] == PLAN and link.period_us == 20_000 and not link.invalid_responses

    play(scenario())


@pytest.mark.parametrize(
    "script",
    [
        lambda message: b"\xc1\xc1",
        lambda message: msgpack.packb([1, message[1], None, [encode_plan(PLAN)[:-1], 20_000]]),
        lambda message: msgpack.packb([1, message[1], "no", None]),
        lambda message: msgpack.packb([1, message[1], None, "odd"]),
        lambda message: msgpack.packb(7),
        lambda message: b"\xc6\x7f\xff\xff\xff",  # header of a 2 GB binary
    ],
    ids=["junk", "truncated plan", "error", "malformed result", "not a message", "huge"],
)
def test_an_invalid_response_is_counted_and_not_followed(script: Any) -> None:
    async def scenario() -> None:
        async with connected_link(script) as (_, link, plans):
            await until(lambda: link.invalid_responses >= 1 or link._backoff_s > link_module.BACKOFF_MIN_S)
            assert not plans

    play(scenario())


def test_the_link_reconnects_to_a_silent_planner_with_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(link_module, "RESPONSE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(link_module, "BACKOFF_MIN_S", 0.02)

    async def scenario() -> None:
        async with connected_link(lambda message: None) as (planner, link, plans):
            link._backoff_s = 0.02
            await until(lambda: len(planner.calls) >= 4)
            assert link._backoff_s >= 0.16 and not plans
            planner.script = lambda message: response_to(message, encode_plan(PLAN))
            await until(lambda: plans)
            assert link._backoff_s == link_module.BACKOFF_MIN_S

    play(scenario())


def test_an_invalid_message_closes_its_connection_and_no_other() -> None:
    async def scenario() -> None:
        fleet = FleetHarness(planners=1, sidecars=1, backends=4)
        await fleet.start()
        server = fleet.planners[0]
        assert server is not None
        await until(lambda: min(fleet.plan_trusts()) > 0.05)
        for junk in (
            b"\xc1",
            msgpack.packb([1, 2]),
            msgpack.packb([0, "x", SUMMARY_METHOD, [b""]]),
            b"GET / HTTP/1.1\r\n\r\n",
        ):
            reader, writer = await asyncio.open_connection(*server.address)
            writer.write(junk)
            assert await reader.read() == b""
            writer.close()
        reader, writer = await asyncio.open_connection(*server.address)
        for method, params in ((SUMMARY_METHOD, [b"junk"]), (SUMMARY_METHOD, []), ("nothing", [])):
            writer.write(msgpack.packb([0, 1, method, params]))
            _, _, error, result = msgpack.unpackb(await reader.read(65536))
            assert error and result is None
        writer.close()
        previous_status = fleet.following(0)
        assert previous_status is not None
        await until(
            lambda: (status := fleet.following(0)) is not None and status.sequence > previous_status.sequence
        )
        await fleet.stop()

    play(scenario())


def test_connections_are_bounded_and_idle_ones_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fleet = FleetHarness(planners=1, sidecars=1, backends=4)
        await fleet.start()
        server = fleet.planners[0]
        assert server is not None
        await until(lambda: len(server.connections) == 1)
        monkeypatch.setattr(planner_server_module, "CONNECTIONS_MAX", 2)
        first_connection = await asyncio.open_connection(*server.address)
        await until(lambda: len(server.connections) == 2)
        second_connection = await asyncio.open_connection(*server.address)
        assert await second_connection[0].read() == b""
        monkeypatch.setattr(planner_server_module, "IDLE_TIMEOUT_S", 0.3)
        assert await first_connection[0].read() == b""
        # The forwarder's connection stays open, as it is never idle that long.
        await until(lambda: min(fleet.plan_trusts()) > 0.05)
        for _, writer in (first_connection, second_connection):
            writer.close()
        await fleet.stop()

    play(scenario())


def test_the_commands_show_the_followed_plan_and_the_planners_status(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def scenario() -> None:
        fleet = FleetHarness(planners=1, sidecars=1, backends=4)
        await fleet.start()
        await until(lambda: min(fleet.plan_trusts()) > 0.2)
        process, server = fleet.processes[0], fleet.planners[0]
        assert process is not None and server is not None
        addresses = {"show": process.sidecar.listener.address, "status": server.address}
        for subcommand, (host, port) in addresses.items():
            exit_code = await asyncio.to_thread(command.main, [subcommand, f"{host}:{port}"])
            assert exit_code == 0
        output = capsys.readouterr().out
        assert "forwarder f-0: epoch 1 of planner p-0" in output and "planner p-0 leads by epoch 1" in output
        assert output.count("n-3") == 2
        await fleet.stop()
        assert await asyncio.to_thread(command.main, ["status", f"127.0.0.1:{addresses['status'][1]}"]) == 1

    play(scenario())


@pytest.mark.parametrize(
    ("values", "field"),
    [
        ({"planners": ["nowhere"]}, "planning.planners"),
        ({"planners": [f"127.0.0.1:{port}" for port in range(1, 9)]}, "planning.planners"),
        ({"listen": "x"}, "planning.listen"),
        ({"elect": "votes"}, "planning.elect"),
        ({"rank": 300}, "planning.rank"),
        ({"name": 5}, "planning.name"),
        ({"planner": []}, "planning.planner"),
    ],
)
def test_an_error_names_the_invalid_setting(values: dict[str, Any], field: str) -> None:
    with pytest.raises(ValueError, match=field):
        operator_config_from({"planning": values})
