"""The stand-ins: what others are judged by must itself be right."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import pytest
from loopback import PATIENCE_S, play, until

from testbed.backend import Backend, BackendServer, IdempotencyCache, RunLog
from testbed.clients import CallResult, ClientCall, new_client
from testbed.demo.__main__ import EXAMPLE, run
from testbed.registry import Registry
from testbed.wire import HTTP, MSGPACK_RPC, Message, read_http
from testbed.zookeeper import Ensemble
from testbed.zookeeper.__main__ import Control
from topazbank.config import read_config

PROTOCOLS = (HTTP, MSGPACK_RPC)


def lodge(log: RunLog | None = None, **changes: Any) -> Backend:
    given: dict[str, Any] = {"slots": 2, "queue": 1, "work": lambda asked: 0.02}
    return Backend("n", log or RunLog(), asyncio.get_running_loop().time, **(given | changes))


async def node(protocol: str, **changes: Any) -> BackendServer:
    server = BackendServer(lodge(**changes), protocol)
    await server.start()
    return server


def wish(number: int, kind: str = "lodge", **changes: Any) -> ClientCall:
    return ClientCall(kind, f"c-{number}", body=b"x", **changes)


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_a_node_runs_queues_and_turns_away_what_is_more(protocol: str) -> None:
    async def scene() -> None:
        server = await node(protocol, work=lambda asked: 0.3)
        callers = [new_client(protocol, server.address) for _ in range(5)]
        got = await asyncio.gather(*(each.call(wish(n)) for n, each in enumerate(callers)))
        assert sorted(each.verdict for each in got) == ["refused"] * 2 + ["served"] * 3
        assert len(server.lodge.log.runs) == 3 and sum(server.lodge.log.arrived.values()) == 5
        for each in callers:
            each.close()
        server.die()

    play(scene())


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_a_draining_node_finishes_what_it_has_and_wants_nothing_new(protocol: str) -> None:
    async def scene() -> None:
        server = await node(protocol, work=lambda asked: 0.2)
        one, two = new_client(protocol, server.address), new_client(protocol, server.address)
        first = asyncio.create_task(one.call(wish(1)))
        await until(lambda: server.lodge.log.runs)
        server.drain()
        assert (await two.call(wish(2))).status == 503 and (await first).status == 200
        one.close()
        two.close()
        server.die()

    play(scene())


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_a_node_that_dies_answers_nothing_and_its_runs_have_no_end(protocol: str) -> None:
    async def scene() -> None:
        server = await node(protocol, work=lambda asked: 30.0)
        one = new_client(protocol, server.address)
        asked = asyncio.create_task(one.call(wish(1)))
        await until(lambda: server.lodge.log.runs)
        server.die()
        assert await asked == CallResult(0) and server.lodge.log.runs[0].ended is None
        assert await one.call(wish(2)) == CallResult(0)
        one.close()

    play(scene())


def test_a_pod_drops_a_repeat_within_two_seconds_also_after_a_death() -> None:
    async def scene() -> None:
        now = [100.0]
        log, memory = RunLog(), IdempotencyCache()
        first, second = (
            Backend(name, log, lambda: now[0], work=lambda asked: 0.0, memory=memory) for name in ("a", "b")
        )
        asked = Message(
            "CALL /api RPC", {"x-call-id": "1", "x-call-class": "amend", "idempotency-key": "k"}, b"x"
        )
        assert await first.serve(asked) == await second.serve(asked)
        assert len(log.runs) == 1 and not log.twice(["amend"])
        now[0] += 2.1
        await second.serve(asked)
        assert log.twice(["amend"]) == ["k"]

        slow = Backend("c", log, lambda: now[0], work=lambda asked: 30.0, memory=memory)
        held = Message(asked.first, asked.headers | {"idempotency-key": "k2"}, b"x")
        dying = asyncio.create_task(slow.serve(held))
        await until(lambda: len(log.runs) == 3)
        dying.cancel()
        await asyncio.wait([dying])
        assert (await second.serve(held)) is not None and len(log.runs) == 3

    play(scene())


def test_a_cold_node_warms_and_falls_over_under_too_much() -> None:
    async def scene() -> None:
        now = [0.0]
        cold = Backend(
            "c", RunLog(), lambda: now[0], slots=2, queue=1000, cold_s=20.0, work=lambda asked: 0.1
        )
        assert cold.capacity() == pytest.approx(0.14)
        now[0] = 10.0
        assert cold.capacity() == pytest.approx(0.57)
        now[0] = 30.0
        assert cold.capacity() == 1.0
        now[0] = 0.0
        for _ in range(16):
            cold._offer(0.1)
        assert not cold.fallen  # 3 times 0.14 of two slots for 2 s bear 1.68 s of work
        cold._offer(0.1)
        assert cold.fallen
        assert await cold.serve(Message("CALL /api RPC", {}, b"")) is None

    play(scene())


def test_the_registry_tells_changes_to_a_watch_and_the_whole_list_to_one_that_is_too_old() -> None:
    async def scene() -> None:
        registry = Registry()
        await registry.start()
        for number in range(3):
            registry.put({"name": f"n-{number}", "status": "active"})

        async def ask(query: str) -> dict[str, Any]:
            reader, writer = await asyncio.open_connection(*registry.address)
            writer.write(f"GET /registry/instances{query} HTTP/1.1\r\nConnection: close\r\n\r\n".encode())
            told: dict[str, Any] = json.loads((await asyncio.wait_for(read_http(reader), PATIENCE_S)).body)
            writer.close()
            return told

        whole = await ask("")
        assert whole["snapshot"] and whole["index"] == 3 and len(whole["endpoints"]) == 3
        assert (await ask("?after=3&wait_ms=10"))["endpoints"] == []
        watch = asyncio.create_task(ask("?after=3&wait_ms=20000"))
        await until(lambda: registry.calls == 3)
        registry.remove("n-1")
        told = await watch
        assert not told["snapshot"] and [each["status"] for each in told["endpoints"]] == ["left"]
        for _ in range(1000):
            registry.put({"name": "n-0", "status": "active"})
        assert (await ask("?after=2"))["snapshot"] and not (await ask("?after=1000"))["snapshot"]
        registry.stop()

    play(scene())


def test_faults_are_taken_by_the_control_port() -> None:
    async def scene() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        control = Control(ensemble)
        await control.start()
        reader, writer = await asyncio.open_connection(*control.address)

        async def do(*fault: Any) -> Any:
            writer.write(json.dumps(fault).encode() + b"\n")
            return json.loads(await asyncio.wait_for(reader.readline(), PATIENCE_S))

        assert await do("crash", 0) is True and not ensemble.members[0].running
        assert await do("slow_disk", 0.2) is True and ensemble.commit_delay_s == 0.2
        assert await do("lag", 1, 0.5) is True and ensemble.members[1].apply_delay_s == 0.5
        assert await do("sessions") == []
        for bad in (("hold", 7), ("burn",), ("cut",), ("cut", 9)):
            assert "error" in await do(*bad)
        writer.write(b"nonsense\n")
        assert "error" in json.loads(await asyncio.wait_for(reader.readline(), PATIENCE_S))
        writer.close()
        control.stop()
        ensemble.stop()

    play(scene())


@pytest.mark.parametrize("module", ["testbed.backend", "testbed.registry", "testbed.zookeeper"])
def test_each_runs_alone_and_says_where(module: str, tmp_path: Path) -> None:
    async def scene() -> None:
        entries = tmp_path / "nodes.json"
        entries.write_text('[{"name": "n-0"}]', encoding="utf-8")
        options = {"registry": ["--entries", str(entries)], "lodge": ["--protocol", MSGPACK_RPC]}
        more = options.get(module.rpartition(".")[2], [])
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, *more, stdout=asyncio.subprocess.PIPE, cwd=EXAMPLE.parent.parent
        )
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), PATIENCE_S)
        assert b"listens at 127.0.0.1:" in line
        process.terminate()
        await asyncio.wait_for(process.wait(), PATIENCE_S)

    play(scene())


def test_the_example_configuration_is_good() -> None:
    config = read_config({"RELAY_CONFIG": str(EXAMPLE)})
    assert [each.name for each in config.settings.classes] == ["check", "amend", "lodge"]
    assert config.settings.limits.max_attempts == 3 and not config.settings.limits.hedging


@pytest.mark.parametrize("membership", ["registry", "zookeeper"])
def test_the_demo_loses_nothing_and_runs_nothing_twice(
    membership: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert asyncio.run(run(3.0, 1, membership)) == 0
    told = capsys.readouterr().out
    assert "dies under" in told and "says that it leaves" in told
    assert "0 lost, 0 lodges or amends run twice" in told
