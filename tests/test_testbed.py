"""Tests of the emulators, since other tests rely on their correctness."""

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
from testbed.demo.__main__ import run
from testbed.demo.fleet import EXAMPLE_DEPLOYMENT
from testbed.registry import Registry
from testbed.wire import HTTP, MSGPACK_RPC, Message, read_http
from testbed.zookeeper import Ensemble
from testbed.zookeeper.__main__ import Control
from topazbank.config import read_config

PROTOCOLS = (HTTP, MSGPACK_RPC)


def new_backend(log: RunLog | None = None, **changes: Any) -> Backend:
    options: dict[str, Any] = {"slots": 2, "queue": 1, "work": lambda request: 0.02}
    return Backend("n", log or RunLog(), asyncio.get_running_loop().time, **(options | changes))


async def start_server(protocol: str, **changes: Any) -> BackendServer:
    server = BackendServer(new_backend(**changes), protocol)
    await server.start()
    return server


def call(number: int, request_class: str = "lodge", **changes: Any) -> ClientCall:
    return ClientCall(request_class, f"c-{number}", body=b"x", **changes)


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_a_backend_runs_and_queues_requests_and_rejects_more(protocol: str) -> None:
    async def scenario() -> None:
        server = await start_server(protocol, work=lambda request: 0.3)
        clients = [new_client(protocol, server.address) for _ in range(5)]
        results = await asyncio.gather(*(client.call(call(n)) for n, client in enumerate(clients)))
        assert sorted(result.outcome for result in results) == ["refused"] * 2 + ["served"] * 3
        assert len(server.backend.log.runs) == 3 and sum(server.backend.log.arrived.values()) == 5
        for client in clients:
            client.close()
        server.kill()

    play(scenario())


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_a_draining_backend_finishes_requests_in_flight_and_rejects_new_ones(protocol: str) -> None:
    async def scenario() -> None:
        server = await start_server(protocol, work=lambda request: 0.2)
        first_client, second_client = (new_client(protocol, server.address) for _ in range(2))
        first = asyncio.create_task(first_client.call(call(1)))
        await until(lambda: server.backend.log.runs)
        server.start_draining()
        assert (await second_client.call(call(2))).status == 503 and (await first).status == 200
        first_client.close()
        second_client.close()
        server.kill()

    play(scenario())


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_a_backend_that_dies_answers_nothing_and_its_runs_have_no_end(protocol: str) -> None:
    async def scenario() -> None:
        server = await start_server(protocol, work=lambda request: 30.0)
        client = new_client(protocol, server.address)
        pending = asyncio.create_task(client.call(call(1)))
        await until(lambda: server.backend.log.runs)
        server.kill()
        assert await pending == CallResult(0) and server.backend.log.runs[0].ended_at is None
        assert await client.call(call(2)) == CallResult(0)
        client.close()

    play(scenario())


def test_a_pod_drops_a_repeat_within_two_seconds_also_after_the_death_of_the_first() -> None:
    async def scenario() -> None:
        now = [100.0]
        log, cache = RunLog(), IdempotencyCache()
        first, second = (
            Backend(name, log, lambda: now[0], work=lambda request: 0.0, idempotency_cache=cache)
            for name in ("a", "b")
        )
        request = Message(
            "CALL /api RPC", {"x-call-id": "1", "x-call-class": "amend", "idempotency-key": "k"}, b"x"
        )
        assert await first.serve(request) == await second.serve(request)
        assert len(log.runs) == 1 and not log.duplicate_effects(["amend"])
        now[0] += 2.1
        await second.serve(request)
        assert log.duplicate_effects(["amend"]) == ["k"]

        slow = Backend("c", log, lambda: now[0], work=lambda request: 30.0, idempotency_cache=cache)
        repeated = Message(request.start_line, request.headers | {"idempotency-key": "k2"}, b"x")
        dying = asyncio.create_task(slow.serve(repeated))
        await until(lambda: len(log.runs) == 3)
        dying.cancel()
        await asyncio.wait([dying])
        assert (await second.serve(repeated)) is not None and len(log.runs) == 3

    play(scenario())


def test_a_cold_backend_warms_up_and_collapses_under_overload() -> None:
    async def scenario() -> None:
        now = [0.0]
        cold = Backend(
            "c", RunLog(), lambda: now[0], slots=2, queue=1000, warmup_s=20.0, work=lambda request: 0.1
        )
        assert cold.capacity() == pytest.approx(0.14)
        now[0] = 10.0
        assert cold.capacity() == pytest.approx(0.57)
        now[0] = 30.0
        assert cold.capacity() == 1.0
        now[0] = 0.0
        for _ in range(16):
            cold.offer(0.1)
        assert not cold.collapsed  # limit: 3 * 0.14 of the capacity of 2 slots over 2 s = 1.68 s of work
        cold.offer(0.1)
        assert cold.collapsed
        assert await cold.serve(Message("CALL /api RPC", {}, b"")) is None

    play(scenario())


def test_the_registry_sends_changes_to_a_watch_and_a_snapshot_to_one_that_is_too_old() -> None:
    async def scenario() -> None:
        registry = Registry()
        await registry.start()
        for number in range(3):
            registry.put({"name": f"n-{number}", "status": "active"})

        async def poll(query: str) -> dict[str, Any]:
            reader, writer = await asyncio.open_connection(*registry.address)
            writer.write(f"GET /registry/instances{query} HTTP/1.1\r\nConnection: close\r\n\r\n".encode())
            response: dict[str, Any] = json.loads(
                (await asyncio.wait_for(read_http(reader), PATIENCE_S)).body
            )
            writer.close()
            return response

        snapshot = await poll("")
        assert snapshot["snapshot"] and snapshot["index"] == 3 and len(snapshot["endpoints"]) == 3
        assert (await poll("?after=3&wait_ms=10"))["endpoints"] == []
        watch = asyncio.create_task(poll("?after=3&wait_ms=20000"))
        await until(lambda: registry.calls == 3)
        registry.remove("n-1")
        change = await watch
        assert not change["snapshot"] and [entry["status"] for entry in change["endpoints"]] == ["left"]
        for _ in range(1000):
            registry.put({"name": "n-0", "status": "active"})
        assert (await poll("?after=2"))["snapshot"] and not (await poll("?after=1000"))["snapshot"]
        registry.stop()

    play(scenario())


def test_the_control_port_applies_faults() -> None:
    async def scenario() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        control = Control(ensemble)
        await control.start()
        reader, writer = await asyncio.open_connection(*control.address)

        async def apply(*fault: Any) -> Any:
            writer.write(json.dumps(fault).encode() + b"\n")
            return json.loads(await asyncio.wait_for(reader.readline(), PATIENCE_S))

        assert await apply("crash", 0) is True and not ensemble.members[0].running
        assert await apply("slow_disk", 0.2) is True and ensemble.commit_delay_s == 0.2
        assert await apply("lag", 1, 0.5) is True and ensemble.members[1].apply_delay_s == 0.5
        assert await apply("sessions") == []
        for invalid_command in (("hold", 7), ("burn",), ("cut",), ("cut", 9)):
            assert "error" in await apply(*invalid_command)
        writer.write(b"nonsense\n")
        assert "error" in json.loads(await asyncio.wait_for(reader.readline(), PATIENCE_S))
        writer.close()
        control.stop()
        ensemble.stop()

    play(scenario())


@pytest.mark.parametrize("module", ["testbed.backend", "testbed.registry", "testbed.zookeeper"])
def test_an_emulator_runs_alone_and_prints_its_address(module: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        entries = tmp_path / "nodes.json"
        entries.write_text('[{"name": "n-0"}]', encoding="utf-8")
        options = {"registry": ["--entries", str(entries)], "backend": ["--protocol", MSGPACK_RPC]}
        arguments = options.get(module.rpartition(".")[2], [])
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            cwd=EXAMPLE_DEPLOYMENT.parent.parent,
        )
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), PATIENCE_S)
        assert b"listens at 127.0.0.1:" in line
        process.terminate()
        await asyncio.wait_for(process.wait(), PATIENCE_S)

    play(scenario())


def test_the_example_deployment_is_valid() -> None:
    config = read_config({"RELAY_CONFIG": str(EXAMPLE_DEPLOYMENT)})
    assert [request_class.name for request_class in config.settings.classes] == ["check", "amend", "lodge"]
    assert config.settings.limits.max_attempts == 3 and not config.settings.limits.hedging


@pytest.mark.parametrize("discovery", ["registry", "zookeeper"])
def test_the_demo_loses_no_call_and_runs_none_twice(
    discovery: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert asyncio.run(run(3.0, 1, discovery)) == 0
    output = capsys.readouterr().out
    assert "fast-2 (msgpack-rpc) is killed with" in output and "slow-1 (http) starts draining" in output
    assert "0 lost, 0 lodges or amends run twice" in output
