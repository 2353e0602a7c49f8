"""Incident of 2 December 2026: requests to draining servers, against the program in processes of its own.

Whatever becomes of the polls, a sidecar counts as notified of a change at the latest 6 s after discovery had it and
could be reached; 4 s after a SIGHUP; 2 s after the process of an upgrade is ready.  From then on there is a drain's
grace.  Nothing here is read from the program: servers record which requests reached them and when.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import sys
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
from loopback import PATIENCE_S, FakeServer, Head, answer, ask, play, request, until
from test_life import ROOT, config

from testbed.ports import free_addresses, private_loopback_host
from testbed.registry.faulty import Fault, FaultyRegistry
from testbed.wire import Address

NOTIFIED_S = 6.0  # after discovery had a change and could be reached
NOTIFIED_AFTER_SIGHUP_S = 4.0
NOTIFIED_AFTER_UPGRADE_S = 2.0
GRACE_S = 0.55  # of the settings, and 50 ms that the platform adds on sockets
SLACK_S = 0.25  # servers, clients and registries of a scenario share one event loop
LAG_SAMPLE_S = 0.02  # between two samples of that loop's lag
SIGNALLED_S = 3.5  # how much longer signals are sent after that
OBSERVED_S = 3.0  # how long a draining server is observed from then on
OUTAGE_MAX_S = 40.0  # enough for so many polls to fail with any backoff
RATE = 25.0  # requests a second at each process
SIDECARS = 8  # processes of a scenario, each with its own registry and seed


@dataclass(frozen=True, slots=True)
class Fleet:
    """What the settings say: how many sidecars share discovery, and the longest time between two polls."""

    sidecars: int = 200
    poll_within_s: float = 10.0
    discovery: str = "on_request"


@dataclass(slots=True)
class SidecarProcess:
    """SidecarProcess process, the registry that it polls, and when it counts as notified of the drain."""

    number: int
    registry: FaultyRegistry
    path: Path  # of its configuration
    listen: Address
    process: asyncio.subprocess.Process
    notified_at: float = 0.0  # on the monotonic clock

    def drain(self, entry: Mapping[str, Any], notified_s: float = NOTIFIED_S) -> None:
        """From now on its registry can be reached and has the drain of a server."""
        self.registry.fault = Fault.NONE
        self.registry.put(dict(entry) | {"status": "leaving"})
        self.notified_at = time.monotonic() + notified_s


@dataclass(slots=True)
class Scenario:
    """Some sidecar processes with two servers, of which the first is drained."""

    folder: Path
    fleet: Fleet
    servers: list[FakeServer] = field(default_factory=list)
    arrivals: list[tuple[float, str, str]] = field(default_factory=list)  # (time, server, request id)
    processes: list[SidecarProcess] = field(default_factory=list)
    lag_s: float = 0.0  # maximum lag of this process's event loop: records are late by as much
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _numbers: itertools.count[int] = field(default_factory=itertools.count)

    async def start_servers(self) -> None:
        self._tasks.append(asyncio.create_task(self._watch_lag()))
        for name in ("s-0", "s-1"):
            server = FakeServer(name, lambda first, head, body, name=name: self._served(name, head))  # type: ignore[misc]
            await server.start()
            self.servers.append(server)

    async def _watch_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_SAMPLE_S
            await asyncio.sleep(LAG_SAMPLE_S)
            self.lag_s = max(self.lag_s, loop.time() - due)

    def _served(self, name: str, head: Head) -> bytes:
        self.arrivals.append((time.monotonic(), name, head["x-call-id"]))
        return answer(200, b"served")

    async def start_sidecars(self, count: int = SIDECARS) -> None:
        await asyncio.gather(*(self.start(number) for number in range(count)))

    async def start(
        self, number: int, prepare: Callable[[FaultyRegistry], None] = lambda _: None
    ) -> SidecarProcess:
        """Start a process with a steady load and wait until it is ready."""
        registry = FaultyRegistry()
        registry.put(*(server.entry() for server in self.servers))
        prepare(registry)
        await registry.start(*free_addresses(private_loopback_host(), 1)[0])
        (listen,) = free_addresses(private_loopback_host(), 1)
        folder = self.folder / str(number)
        folder.mkdir()
        path = folder / "config.json"
        self.configure(path, listen, registry)
        sidecar = SidecarProcess(number, registry, path, listen, await launch(path, folder))
        await ready(listen)
        self.processes.append(sidecar)
        self._tasks.append(asyncio.create_task(self._load(sidecar)))
        return sidecar

    def configure(self, path: Path, listen: Address, registry: FaultyRegistry) -> None:
        """Write a process's configuration, with the endpoint list from before any drain."""
        settings = {
            "lanes": [{"name": "look", "giveUpUs": 3_000_000, "promiseUs": 500_000, "repeat": "read_like"}],
            "bounds": {"sendCap": 3, "mayCancel": True},
            "guarantees": {"drainGraceUs": 500_000, "askWithinUs": int(self.fleet.poll_within_s * 1e6)},
            "discovery": self.fleet.discovery,
            "groupSize": self.fleet.sidecars,
            "zone": "east",
        }
        known = {"index": 2, "snapshot": True, "endpoints": [server.entry() for server in self.servers]}
        seed = f"{random.Random(str(path.parent.name)).getrandbits(64):016x}"
        deployment = config(
            listen="{}:{}".format(*listen),
            discovery="{}:{}".format(*registry.address),
            known=known,
            settings=settings,
            seed=seed,
        )
        path.write_text(json.dumps(deployment), encoding="utf-8")

    async def _load(self, sidecar: SidecarProcess) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        tasks: set[asyncio.Task[None]] = set()
        for count in itertools.count(1):
            task = asyncio.create_task(self._call(sidecar))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(max(started_at + count / RATE - loop.time(), 0.0))

    async def _call(self, sidecar: SidecarProcess) -> None:
        request_id = f"{sidecar.number}-{next(self._numbers)}"
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await ask(sidecar.listen, request(X_Call_Id=request_id, budget="3.0"))

    async def late_requests(self, faults: Callable[[SidecarProcess], Awaitable[None]]) -> list[str]:
        """Apply the faults to all processes; return what reached the draining server after notice and grace."""
        await asyncio.gather(*(faults(sidecar) for sidecar in self.processes))
        end_at = max(sidecar.notified_at for sidecar in self.processes) + GRACE_S + SLACK_S + OBSERVED_S
        await asyncio.sleep(end_at - time.monotonic())
        return [line for sidecar in self.processes for line in self._late(sidecar)]

    def _late(self, sidecar: SidecarProcess) -> list[str]:
        slack_s = SLACK_S + self.lag_s
        late = [
            at - sidecar.notified_at
            for at, server, request_id in self.arrivals
            if server == "s-0"
            and request_id.startswith(f"{sidecar.number}-")
            and at > sidecar.notified_at + GRACE_S + slack_s
        ]
        served = [
            request_id
            for at, _, request_id in self.arrivals
            if request_id.startswith(f"{sidecar.number}-") and at > sidecar.notified_at
        ]
        assert served, f"process {sidecar.number} served nothing: there is nothing to check"
        if not late:
            return []
        return [f"process {sidecar.number}: {len(late)} requests, the last {max(late):.2f} s after notice"]

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sidecar in self.processes:
            with contextlib.suppress(ProcessLookupError):
                sidecar.process.kill()
            await sidecar.process.wait()
            sidecar.registry.stop()
        for server in self.servers:
            server.stop()


async def launch(path: Path, folder: Path) -> asyncio.subprocess.Process:
    environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    safe_path = ["-P"] if sys.flags.safe_path else []
    with (folder / "log").open("ab") as log:
        return await asyncio.create_subprocess_exec(
            sys.executable, *safe_path, "-m", "topazbank", "--operator", "deploy/operator.toml",
            cwd=ROOT, env=environ | {"RELAY_CONFIG": str(path), "TMPDIR": str(folder)}, stderr=log,
        )  # fmt: skip


async def ready(listen: Address) -> None:
    async with asyncio.timeout(PATIENCE_S):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await ask(listen, request(path="/health/ready")))[0] == 200:
                    return
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def run_scenario(folder: Path, fleet: Fleet) -> AsyncIterator[Scenario]:
    scenario = Scenario(folder, fleet)
    try:
        await scenario.start_servers()
        yield scenario
    finally:
        await scenario.stop()


def fail_until(fault: Fault, failures: int) -> Callable[[Scenario, SidecarProcess], Awaitable[None]]:
    """Discovery is down, and is back with a drain right after a failed poll of the process."""

    async def faults(scenario: Scenario, sidecar: SidecarProcess) -> None:
        await until(lambda: sidecar.registry.list_calls)
        sidecar.registry.fault = fault
        sidecar.registry.end_watches()
        async with asyncio.timeout(OUTAGE_MAX_S):
            while sidecar.registry.refused_calls < failures:
                await asyncio.sleep(0.002)
        sidecar.drain(scenario.servers[0].entry())

    return faults


async def lose_the_poll_after_a_failure(scenario: Scenario, sidecar: SidecarProcess) -> None:
    """The poll after a failed one never gets a response, although discovery is back."""
    await until(lambda: sidecar.registry.list_calls)
    sidecar.registry.fault = Fault.REFUSED
    sidecar.registry.end_watches()
    await until(lambda: sidecar.registry.refused_calls)
    sidecar.registry.fault = Fault.UNANSWERED
    await until(lambda: sidecar.registry.count(Fault.UNANSWERED))
    sidecar.drain(scenario.servers[0].entry())


def signal_while_discovery_is_slow(gap_s: float) -> Callable[[Scenario, SidecarProcess], Awaitable[None]]:
    """New configurations in quick succession, faster than discovery answers; its address stays the same."""

    async def faults(scenario: Scenario, sidecar: SidecarProcess) -> None:
        await until(lambda: sidecar.registry.list_calls)
        sidecar.drain(scenario.servers[0].entry())
        sidecar.registry.fault = Fault.ANSWERED_LATE
        sidecar.registry.end_watches()
        while time.monotonic() < sidecar.notified_at + SIGNALLED_S:
            sidecar.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(gap_s)

    return faults


async def lose_the_poll_after_a_signal(scenario: Scenario, sidecar: SidecarProcess) -> None:
    """Discovery has moved, and the first poll at its new address is lost."""
    await until(lambda: sidecar.registry.list_calls)
    moved = FaultyRegistry()
    moved.put(*(server.entry() for server in scenario.servers))
    moved.fault = Fault.UNANSWERED
    await moved.start(*free_addresses(private_loopback_host(), 1)[0])
    former, sidecar.registry = sidecar.registry, moved
    scenario.configure(sidecar.path, sidecar.listen, moved)
    sidecar.process.send_signal(signal.SIGHUP)
    await until(lambda: moved.list_calls)
    sidecar.drain(scenario.servers[0].entry(), NOTIFIED_AFTER_SIGHUP_S)
    former.stop()


async def silence_the_agent(scenario: Scenario, sidecar: SidecarProcess) -> None:
    """Where lists are pushed, the agent is silent for some seconds; what it has at its return counts at once."""
    await until(lambda: sidecar.registry.list_calls)
    await asyncio.sleep(0.5)  # its watch is open
    sidecar.registry.fault = Fault.UNANSWERED
    sidecar.registry.end_watches()
    await asyncio.sleep(3.0)
    sidecar.drain(scenario.servers[0].entry(), notified_s=0.0)


FAULTS: Mapping[str, tuple[Fleet, Callable[[Scenario, SidecarProcess], Awaitable[None]]]] = {
    "refused, 200 sidecars": (Fleet(200, 15.0), fail_until(Fault.REFUSED, 4)),
    "refused late, 200 sidecars": (Fleet(200, 15.0), fail_until(Fault.REFUSED_LATE, 3)),
    "refused, polled once a minute": (Fleet(8, 60.0), fail_until(Fault.REFUSED, 3)),
    "lost after a failure": (Fleet(), lose_the_poll_after_a_failure),
    "signals while discovery is slow": (Fleet(), signal_while_discovery_is_slow(0.35)),
    "many signals while discovery is slow": (Fleet(), signal_while_discovery_is_slow(0.05)),
    "lost after a signal": (Fleet(), lose_the_poll_after_a_signal),
    "pushed, and the agent silent": (Fleet(discovery="pushed"), silence_the_agent),
}


@pytest.mark.parametrize("name", FAULTS)
def test_no_request_reaches_a_draining_server_whatever_became_of_earlier_polls(
    name: str, tmp_path: Path
) -> None:
    """A server drains while polls fail, hang or get lost, or while signals restart them."""
    fleet, faults = FAULTS[name]

    async def check() -> None:
        async with run_scenario(tmp_path, fleet) as scenario:
            await scenario.start_sidecars()
            late = await scenario.late_requests(lambda sidecar: faults(scenario, sidecar))
            assert not late, f"{len(late)} of {len(scenario.processes)} processes: {late}"

    play(check())


def test_a_process_that_starts_with_an_old_list_polls_in_time(tmp_path: Path) -> None:
    """Its list is from before a drain, and its first polls fail: it may not delay polls to spare the registry."""

    async def check() -> None:
        async with run_scenario(tmp_path, Fleet()) as scenario:
            started_at = time.monotonic()

            def prepare(registry: FaultyRegistry) -> None:
                registry.put(scenario.servers[0].entry() | {"status": "leaving"})
                registry.fault = Fault.REFUSED

            async def recover(sidecar: SidecarProcess) -> None:
                sidecar.notified_at = started_at + NOTIFIED_S
                await until(lambda: sidecar.registry.refused_calls >= 2)
                sidecar.registry.fault = Fault.NONE

            await asyncio.gather(*(scenario.start(number, prepare) for number in range(2 * SIDECARS)))
            late = await scenario.late_requests(recover)
            assert not late, f"{len(late)} of {len(scenario.processes)} processes: {late}"

    play(check())


def test_the_process_of_an_upgrade_is_notified_of_a_drain_in_time(tmp_path: Path) -> None:
    """A process is replaced, and a server begins to drain as the new one has read its first list."""

    async def check() -> None:
        async with run_scenario(tmp_path, Fleet()) as scenario:
            await scenario.start_sidecars(6)

            async def upgrade(sidecar: SidecarProcess) -> None:
                await until(lambda: sidecar.registry.list_calls)
                old = sidecar.process
                sidecar.process = await launch(sidecar.path, sidecar.path.parent)
                log = sidecar.path.parent / "log"
                await until(lambda: log.read_bytes().count(b"initial endpoint list") == 2)  # both processes
                old.send_signal(signal.SIGTERM)
                sidecar.drain(scenario.servers[0].entry(), NOTIFIED_AFTER_UPGRADE_S)
                await old.wait()

            late = await scenario.late_requests(upgrade)
            assert not late, f"{len(late)} of {len(scenario.processes)} processes: {late}"

    play(check())


def test_repeated_signals_from_its_start_on_do_not_end_a_process(tmp_path: Path) -> None:
    """A SIGHUP may arrive while a process starts, before the program handles signals."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))

    async def check() -> None:
        async with run_scenario(tmp_path, Fleet()) as scenario:
            sidecar = await scenario.start(0)
            sidecar.process.kill()
            await sidecar.process.wait()
            environ = os.environ | {"RELAY_CONFIG": str(sidecar.path), "TMPDIR": str(sidecar.path.parent)}
            with (sidecar.path.parent / "log").open("ab") as log:
                sidecar.process = await asyncio.create_subprocess_shell(
                    deploy["run"], cwd=ROOT, env=environ, stderr=log
                )
            await asyncio.sleep(0.01)  # the shell has begun
            for _ in range(60):
                sidecar.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.02)
            await ready(sidecar.listen)
            assert sidecar.process.returncode is None
            sidecar.process.send_signal(signal.SIGHUP)
            log_path = sidecar.path.parent / "log"
            await until(lambda: b"discovery is at" in log_path.read_bytes())

    play(check())
