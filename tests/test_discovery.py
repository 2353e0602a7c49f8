"""Discovery over loopback, and how its updates reach the balancer and the connections."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from helpers import S
from loopback import FakeDiscovery, answer, play, unconnectable, until, world

from topazbank.balancing.events import ServerState
from topazbank.core.endpoint_source import EndpointList
from topazbank.discovery import registry, registry_client
from topazbank.discovery.list_format import parse_list
from topazbank.discovery.registry import _IDLE_PAUSE_S, RegistrySource
from topazbank.estimation import poll_schedule
from topazbank.estimation.fleet_size import FleetSize


def served(*_: object) -> bytes:
    return answer(200, b"served")


def entry(name: Any = "s-1", **changes: Any) -> dict[str, Any]:
    fields = {"name": name, "address": "127.0.0.1:9", "zone": "a", "type": "m", "group": 1}
    return fields | {"status": "active", "weight": 1.0, "since_ms": 0} | changes


@pytest.mark.usefixtures("each_pair")
def test_the_watch_begins_at_the_cached_version_and_goes_on_without_a_pause() -> None:
    async def scenario() -> None:
        async with world(served) as w:
            for index in (42, 43, 44):
                w.discovery.say(index, [])
            await until(lambda: len(w.discovery.targets) == 4)
            paths = [each.split("&")[0] for each in w.discovery.targets]
            assert paths == [f"/registry/instances?after={index}" for index in (41, 42, 43, 44)]
            assert _IDLE_PAUSE_S < 0.2  # the only pause there is; later it would be a new watch

    play(scenario())


@pytest.mark.usefixtures("each_pair")
def test_changes_and_snapshots_reach_the_balancer() -> None:
    async def scenario() -> None:
        async with world(served, served) as w:
            states = w.sidecar._balancer.servers.by_name
            first, second = w.servers
            w.discovery.say(42, [first.entry(status="leaving")])
            await until(lambda: states["s-0"].state is ServerState.DRAINING)
            for _ in range(10):
                assert (await w.ask())[0] == 200
            assert not first.requests
            w.discovery.say(43, [first.entry()], snapshot=True)  # a server that is missing has been removed
            await until(lambda: "s-1" not in states)
            assert set(w.sidecar._endpoint_table.endpoints) == {"s-0"}
            seen = len(second.requests)
            for _ in range(10):
                assert (await w.ask())[0] == 200
            assert len(second.requests) == seen

    play(scenario())


@pytest.mark.usefixtures("each_pair")
def test_a_restarted_server_is_warming_up() -> None:
    async def scenario() -> None:
        async with world(served) as w:
            server = w.sidecar._balancer.servers.by_name["s-0"]
            since_ms = w.sidecar._clock.now() // 1000
            w.discovery.say(42, [w.servers[0].entry(since_ms=since_ms)])
            await until(lambda: server.started_at == since_ms * 1000)
            assert w.sidecar._balancer.slow_start.is_warming(server)

    play(scenario())


@pytest.mark.parametrize(
    "bad",
    [
        answer(503, b""),
        answer(200, b"not json"),
        answer(200, b'{"index": "x", "endpoints": []}'),
        answer(200, b"[]"),
        b"HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\n{",
    ],
)
@pytest.mark.usefixtures("each_pair")
def test_after_a_failed_poll_the_balancer_polls_again(bad: bytes) -> None:
    async def scenario() -> None:
        async with world(served, rules={"poll_within_us": 1 * S}) as w:
            w.discovery.answers.put_nowait(bad)
            await until(lambda: len(w.discovery.targets) == 2)
            assert w.sidecar._balancer.polling._failed_polls == 1
            assert (await w.ask())[0] == 200

    play(scenario())


def test_a_refused_connection_to_discovery_is_a_failed_call() -> None:
    async def scenario() -> None:
        received: list[EndpointList | None] = []
        down = FakeDiscovery()
        await down.start()
        down.stop()
        discovery = RegistrySource(down.address, 1, received.append)
        discovery.watch(True)
        await until(lambda: received == [None])
        assert discovery._watch is None and not discovery._polls
        discovery.watch(True)  # and a new watch may begin
        await until(lambda: received == [None, None])

    play(scenario())


def test_an_answer_of_the_former_address_after_a_move_is_ignored() -> None:
    # A lower version may be right there, so updates are ordered by calling one address at a time.
    async def scenario() -> None:
        old, new = FakeDiscovery(), FakeDiscovery()
        await old.start()
        await new.start()
        received: list[EndpointList | None] = []
        discovery = RegistrySource(old.address, 41, received.append)
        discovery.watch(True)
        discovery.fetch()
        await until(lambda: old.called(2))
        for _ in range(2):
            old.say(42, [entry()], snapshot=True)
        discovery.move(new.address)  # before the loop has had a turn: both answers are on their way
        await until(lambda: new.called(1))
        discovery.move(new.address)  # a second one during the first
        await until(lambda: new.called(2))
        for _ in range(2):  # one of them goes to a cancelled call
            new.say(7, [entry(status="leaving")], snapshot=True)
        await until(lambda: any(received))
        assert [update.version for update in received if update is not None] == [7]
        discovery.stop()
        discovery.watch(True)
        discovery.move(old.address)
        assert discovery._watch is None
        old.stop()
        new.stop()

    play(scenario())


def test_a_connect_timeout_to_discovery_is_a_failed_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(registry_client, "_CONNECT_TIMEOUT_S", 0.1)

    async def scenario() -> None:
        with unconnectable() as address:
            received: list[EndpointList | None] = []
            discovery = RegistrySource(address, 1, received.append)
            discovery.watch(True)
            await until(lambda: received == [None])
            assert discovery._watch is None and not discovery._polls

    play(scenario())


def test_a_watch_is_not_begun_twice_and_can_be_ended() -> None:
    async def scenario() -> None:
        service = FakeDiscovery()
        await service.start()
        received: list[EndpointList | None] = []
        discovery = RegistrySource(service.address, 1, received.append)
        for _ in range(3):
            discovery.watch(True)
        await until(lambda: service.targets)
        discovery.fetch()
        await until(lambda: len(service.targets) == 2)
        assert service.targets[1] == "/registry/instances"
        service.say(7, [entry()], snapshot=True)
        await until(lambda: received)
        discovery.watch(False)
        assert discovery._watch is None
        service.stop()

    play(scenario())


def test_in_a_large_fleet_watches_wait_longer_and_differ() -> None:
    async def scenario() -> None:
        service = FakeDiscovery()
        await service.start()
        waits = []
        for seed in range(8):
            discovery = RegistrySource(service.address, 1, lambda update: None, FleetSize(5000), seed)
            discovery.watch(True)
            service.say(2, [])
            await until(lambda: len(service.targets) == 2 * (seed + 1))  # noqa: B023
            waits.append(int(service.targets[-1].rpartition("=")[2]))
            discovery.stop()
            service.answers.put_nowait(b"")  # goes to the cancelled watch
        assert len(set(waits)) == 8 and 45_000 <= min(waits) and max(waits) <= 60_000
        service.stop()

    play(scenario())


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("times", [1, 3])
def test_a_silent_watch_is_replaced_while_there_is_time_for_an_answer(
    mode: str, times: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # What it held back counts as received 2 s after its wait, and the new call may have to wait for one of them.
    monkeypatch.setattr(poll_schedule, "WATCH_TIMEOUT_MIN_S", 0.2)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with world(served, discovery=mode) as w:
            w.discovery.say(41, [])
            await until(lambda: w.discovery.called(2))
            silent_at = loop.time() + 0.2
            for calls, within_s in zip(range(1, times + 1), (1.0, 2.0, 3.5), strict=False):
                await until(lambda: w.discovery.called(calls + 2))  # noqa: B023
                assert loop.time() - silent_at < within_s
                assert w.discovery.targets[-1].endswith("?after=41&wait_ms=0")
            w.discovery.answers.put_nowait(b"")  # goes to a cancelled call
            for _ in range(times):
                w.discovery.say(42, [w.servers[0].entry(status="leaving")])
            await until(lambda: w.sidecar._balancer.servers.by_name["s-0"].state is ServerState.DRAINING)

    play(scenario())


@pytest.mark.parametrize("discovery", ["pushed", "on_request"])
def test_a_watch_that_stalls_in_the_middle_of_its_answer_is_silent(
    discovery: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(poll_schedule, "WATCH_TIMEOUT_MIN_S", 0.3)

    async def scenario() -> None:
        async with world(served, discovery=discovery) as w:
            w.discovery.say(41, [])
            await until(lambda: w.discovery.called(2))
            began = asyncio.get_running_loop().time()
            leaving = json.dumps({"index": 42, "endpoints": [w.servers[0].entry(status="leaving")]}).encode()
            half = answer(200, leaving)[:-40]
            writer = w.discovery.writers[1]
            writer.write(half)  # and no more: it stays open
            await until(lambda: w.discovery.called(3))
            # What it held back counts as received then.
            assert asyncio.get_running_loop().time() - began < 0.3 + 2.0
            assert (
                w.sidecar._balancer.servers.by_name["s-0"].state is ServerState.READY
            )  # nothing of half a list is applied
            writer.write(answer(200, leaving)[-40:])  # late: nobody reads it
            w.discovery.answers.put_nowait(b"")  # goes to the cancelled call
            for _ in range(3):  # the machine may be slow, and more calls in vain
                w.discovery.say(43, [w.servers[0].entry(status="leaving")])
            await until(lambda: w.sidecar._balancer.servers.by_name["s-0"].state is ServerState.DRAINING)

    play(scenario())


@pytest.mark.parametrize("sidecars", [6, 200, 5000])
def test_the_poll_after_a_silent_watch_does_not_wait_whatever_the_fleet_size(
    sidecars: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(poll_schedule, "jittered_watch_timeout_s", lambda sidecars, jitter: 0.2)

    async def scenario() -> None:
        service = FakeDiscovery()
        await service.start()
        received: list[EndpointList | None] = []
        discovery = RegistrySource(service.address, 1, received.append, FleetSize(sidecars))
        discovery.watch(True)
        service.say(2, [entry()])
        await until(lambda: service.called(3))
        assert [each.rpartition("?")[2] for each in service.targets] == [
            "after=1&wait_ms=0", "after=2&wait_ms=200", "after=2&wait_ms=0",
        ]  # fmt: skip
        assert received[1:] == [None]
        discovery.stop()
        service.stop()

    play(scenario())


def test_lost_polls_keep_none_from_being_answered_and_few_are_in_flight(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(registry, "_POLL_INTERVAL_MIN_S", 0.0)

    async def scenario() -> None:
        service = FakeDiscovery()
        await service.start()
        received: list[EndpointList | None] = []
        discovery = RegistrySource(service.address, 1, received.append)
        for calls in range(1, 8):
            discovery.watch(True)
            await until(lambda: service.called(calls))  # noqa: B023
            assert len(discovery._polls) == min(calls, registry._CONCURRENT_POLLS_MAX)
        for _ in range(7):
            service.say(9, [entry()], snapshot=True)
        await until(lambda: received)
        assert [update and update.version for update in received] == [9]
        assert not discovery._polls and discovery._watch is not None
        discovery.stop()
        service.stop()

    play(scenario())


def test_repeated_moves_to_one_address_do_not_cancel_its_polls() -> None:
    async def scenario() -> None:
        service = FakeDiscovery()
        await service.start()
        received: list[EndpointList | None] = []
        discovery = RegistrySource(service.address, 1, received.append)
        discovery.move(service.address)
        await until(lambda: service.called(1))
        discovery.move(service.address)
        await until(lambda: service.called(2))
        service.say(9, [entry()], snapshot=True)  # goes to the first call
        await until(lambda: received[-1] is not None)
        assert service.targets[:2] == ["/registry/instances"] * 2
        assert received[:2] == [None, None]  # on which the balancer polls again
        discovery.stop()
        service.stop()

    play(scenario())


def test_a_defect_while_a_list_is_applied_does_not_end_the_watch(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        service = FakeDiscovery()
        await service.start()
        received: list[int] = []

        def failing(update: EndpointList | None) -> None:
            assert update is not None
            received.append(update.version)
            raise RuntimeError("a defect")

        discovery = RegistrySource(service.address, 1, failing)
        discovery.watch(True)
        for version in (2, 3, 4):
            service.say(version, [])
        await until(lambda: received == [2, 3, 4])
        await until(lambda: service.called(4))
        assert caplog.text.count("the receiver failed to process a list") == 3
        discovery.stop()
        service.stop()

    play(scenario())


@pytest.mark.usefixtures("each_pair")
def test_pushed_lists_are_read_without_the_balancer_s_polls() -> None:
    async def scenario() -> None:
        async with world(served, discovery="pushed") as w:
            w.discovery.answers.put_nowait(answer(503, b""))
            w.discovery.say(42, [w.servers[0].entry(status="leaving")])
            await until(lambda: w.sidecar._balancer.servers.by_name["s-0"].state is ServerState.DRAINING)

    play(scenario())


def test_malformed_entries_of_a_list_are_skipped() -> None:
    malformed: list[Any] = [
        7,
        None,
        [],
        {},
        entry(name=3),
        entry(name=""),
        entry(address="nowhere"),
        entry(address="127.0.0.1:99999"),
        entry(address=None),
        entry(group="x"),
        entry(weight="heavy"),
        entry(weight=float("nan")),
        entry(since_ms=-1),
        entry(status=[]),
        entry(weight=10**400),
        entry(since_ms=10**400),
        entry(group=10**400),
        entry(name="\ud800"),
        entry(zone="\ud800"),
    ]
    update = parse_list({"index": 5, "snapshot": True, "endpoints": [*malformed, entry(since_ms=2, group=3)]})
    assert [each.server.name for each in update.entries] == ["s-1"]
    first = update.entries[0]
    assert (update.version, update.complete, first.address) == (5, True, ("127.0.0.1", 9))
    assert (first.server.started_at, first.server.cell, first.server.zone) == (2000, 3, "a")
    assert parse_list({"index": 5, "endpoints": [entry()]}).entries[0].server.started_at is None


@pytest.mark.parametrize(
    ("status", "state"),
    [
        ("active", ServerState.READY),
        ("leaving", ServerState.DRAINING),
        ("left", ServerState.REMOVED),
        ("resting", ServerState.DRAINING),
    ],
)
def test_a_server_of_unknown_status_is_draining(status: str, state: ServerState) -> None:
    update = parse_list({"index": 5, "snapshot": False, "endpoints": [entry(status=status)]})
    assert update.entries[0].server.state is state


@pytest.mark.parametrize(
    "malformed",
    [
        {"weight": 10**400},
        {"weight": None},
        {"since_ms": "long ago"},
        {"group": None},
        {"zone": 7},
        {"type": []},
        {"protocol": 3},
    ],
)
@pytest.mark.parametrize("status", ["leaving", "left"])
def test_a_leaving_server_is_draining_whatever_else_is_malformed_in_its_entry(
    status: str, malformed: dict[str, Any]
) -> None:
    # Guards rule 3, as above.
    (parsed,) = parse_list({"index": 5, "endpoints": [entry(status=status, **malformed)]}).entries
    assert parsed.server.name == "s-1" and parsed.server.state is not ServerState.READY


@pytest.mark.parametrize(
    "bad",
    [
        b"[" * 100_000,
        b'{"index": 42, "endpoints": [' + b"[" * 100_000,
        b'{"index": 42, "snapshot": true, "endpoints": [{"name": "s-0", "weight": 1' + b"0" * 5000 + b"}]}",
        b'{"index": 1' + b"0" * 5000 + b', "endpoints": []}',
        b'{"index": 42, "endpoints": "\xff"}',
    ],
)
def test_an_unreadable_list_is_a_failed_call_and_the_next_is_applied(bad: bytes) -> None:
    # Guards against a watch that ends unnoticed: where lists are pushed nothing would begin another.
    async def scenario() -> None:
        async with world(served, discovery="pushed") as w:
            w.discovery.answers.put_nowait(answer(200, bad))
            w.discovery.say(42, [w.servers[0].entry(status="leaving")])
            await until(lambda: w.sidecar._balancer.servers.by_name["s-0"].state is ServerState.DRAINING)

    play(scenario())


@pytest.mark.usefixtures("each_pair")
def test_a_new_server_at_a_former_one_s_address_replaces_it() -> None:
    # The list may name the former one for seconds yet: requests to it would go to the new process, which is
    # warming up, over connections that no process has any more.
    async def scenario() -> None:
        async with world(served) as w:
            assert (await w.ask())[0] == 200
            old = w.servers[0]
            new = old.entry(name="s-new", since_ms=1_000)
            w.discovery.say(42, [new])
            await until(lambda: list(w.sidecar._balancer.servers.by_name) == ["s-new"])
            await until(lambda: old.closed == 1)
            w.discovery.say(43, [new, old.entry()], snapshot=True)
            await until(lambda: len(w.discovery.targets) == 3)
            assert (
                list(w.sidecar._balancer.servers.by_name)
                == list(w.sidecar._endpoint_table.endpoints)
                == ["s-new"]
            )
            assert (await w.ask())[0] == 200 and len(old.writers) == 2

    play(scenario())


@pytest.mark.parametrize("status", ["leaving", "left"])
@pytest.mark.usefixtures("each_pair")
def test_a_leaving_server_without_an_address_is_draining(status: str) -> None:
    # Guards rule 3: skipped as malformed, the entry would leave the server in use.
    async def scenario() -> None:
        async with world(served) as w:
            w.discovery.say(42, [w.servers[0].entry(status=status, address=None)])
            servers = w.sidecar._balancer.servers.by_name
            await until(lambda: "s-0" not in servers or servers["s-0"].state is ServerState.DRAINING)
            assert (await w.ask())[0] == 503
            assert not w.sent()

    play(scenario())


def test_a_discovery_service_that_does_not_wait_is_called_with_a_pause() -> None:
    async def scenario() -> None:
        async with world(served) as w:
            for _ in range(4):
                w.discovery.say(41, [])
            await until(lambda: len(w.discovery.called_after_s) == 4)
            assert min(w.discovery.called_after_s) >= 0.09

    play(scenario())
