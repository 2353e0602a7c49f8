"""A fleet of processes: real planners, hundreds of forwarders in a few workers; backends and the registry run here.

    python -m testbed.fleet.process_fleet [SCENARIO ...] [--forwarders 200] [--workers 4] [--load 0.6] [--record FILE]

Planners are killed (SIGKILL) and stopped in the middle of whatever they do (SIGSTOP, SIGCONT).  Each scenario is run
with planners and, with the same seeds and rate, without: the last column is the four invariants, and the line under it
how far forwarders followed a plan in the course of it.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from testbed.backend import SPEED_RATIOS, BackendServer, IdempotencyCache, RunLog
from testbed.backend.model import WARMUP_S
from testbed.fleet.__main__ import HEADER, format_row
from testbed.fleet.child_process import ChildProcess
from testbed.fleet.harness import EXAMPLE_DEPLOYMENT, SPEED_NAMES, RecordingBackend
from testbed.fleet.invariants import (
    AttemptArrival,
    CallRecord,
    EndpointNotice,
    InvariantReport,
    check_invariants,
)
from testbed.fleet.load_generator import CLASS_WEIGHTS, REQUEST_CLASSES, now
from testbed.fleet.planner_processes import PlannerProcesses
from testbed.fleet.worker import WorkerSpec
from testbed.registry import Registry
from testbed.wire import Message
from topazbank.plan import fetch_planner_status

SLOTS, QUEUE = 2, 30  # of a backend
CLASS_WORK_RATIOS = {"check": 0.6, "amend": 1.0, "lodge": 1.6}  # work of a class, relative
MEAN_WORK_RATIO = sum(
    CLASS_WORK_RATIOS[name] * weight for name, weight in zip(REQUEST_CLASSES, CLASS_WEIGHTS, strict=True)
) / sum(CLASS_WEIGHTS)
POLL_INTERVAL_S = 0.25  # between two looks at who follows a plan
DRAIN_POLL_S = 0.02


class WorkerProcess(ChildProcess):
    """One process of forwarders."""

    def __init__(self, spec: WorkerSpec) -> None:
        super().__init__("testbed.fleet.worker", json.dumps(asdict(spec)))
        self.spec = spec


class ProcessFleet:
    """All processes of the fleet, and the backends and the registry in this one."""

    def __init__(
        self,
        folder: Path,
        *,
        forwarders: int = 200,
        workers: int = 4,
        planners: int = 2,
        backends: int = 15,
        rate: float = 1.0,
        load: float = 0.6,
        seed: int = 1,
    ) -> None:
        """`rate`: calls a second to each forwarder; `load`: the offered work relative to the backends' capacity."""
        self.registry = Registry()
        self.log = RunLog()
        self.backends: dict[str, BackendServer] = {}
        self.trust_history: list[
            tuple[float, float]
        ] = []  # (seconds since the calls began, mean of all forwarders)
        self.records: list[dict[str, Any]] = []  # the leader's status, in the form of `topazbank.plan record`
        self._folder, self._backend_count, self._planner_count = folder, backends, planners
        self._forwarders, self._worker_count = forwarders, workers
        self._rate, self._seed = rate, seed
        speeds = (SPEED_RATIOS[SPEED_NAMES[number % len(SPEED_NAMES)]] for number in range(backends))
        self._work_unit_s = load * sum(speeds) * SLOTS / (forwarders * rate) / MEAN_WORK_RATIO
        self._idempotency_caches = [IdempotencyCache() for _ in range(3)]  # by pod
        self._arrivals: list[AttemptArrival] = []
        self._collapsed: list[str] = []
        self._calls: list[CallRecord] = []
        self._notices: list[EndpointNotice] = []
        self._lifetimes: dict[int, list[tuple[float, float]]] = {}
        self._workers: list[WorkerProcess] = []
        self._started_at = 0.0

    # -- Start and stop ------------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start the backends, the planners and the workers."""
        await self.registry.start()
        for number in range(self._backend_count):
            await self.start_backend(f"n-{number:02}")
        self.planners = PlannerProcesses(self._planner_count, self.registry.address, self._folder)
        for number in range(self._planner_count):
            self.planners.start(number)
        settings = json.loads(EXAMPLE_DEPLOYMENT.read_text(encoding="utf-8"))["settings"]
        edges = [self._forwarders * number // self._worker_count for number in range(self._worker_count + 1)]
        for first, after in itertools.pairwise(edges):
            spec = WorkerSpec(
                first,
                after - first,
                self._rate,
                self._seed * 1000 + first,
                self.registry.address,
                self.planners.addresses,
                self.registry.snapshot(),
                settings,
            )
            self._workers.append(WorkerProcess(spec))
        await asyncio.gather(*(worker.start() for worker in self._workers))

    async def stop(self) -> None:
        """End all processes and backends."""
        await asyncio.gather(*(worker.stop() for worker in self._workers))
        self.planners.stop()
        self.registry.stop()
        for server in self.backends.values():
            server.kill()

    async def run_scenario(self, scenario: Scenario, pace: float) -> None:
        """Run a scenario under load, with a step of `pace` seconds before and after it."""
        for worker in self._workers:
            await worker.request("load")
        self._started_at = now()
        observing = asyncio.get_running_loop().create_task(self._observe_planners())
        await asyncio.sleep(pace)
        await scenario(self, pace)
        await asyncio.sleep(pace)
        observing.cancel()
        results = await asyncio.gather(*(worker.request("finish") for worker in self._workers))
        for worker, result in zip(self._workers, results, strict=True):
            self._add_records(worker.spec, result)

    def _add_records(self, spec: WorkerSpec, result: dict[str, Any]) -> None:
        """Add what a worker has recorded to the fleet's records."""
        self._calls += [
            CallRecord(**fields | {"body": fields["body"].encode("latin-1")}) for fields in result["calls"]
        ]
        self._notices += [EndpointNotice(**fields) for fields in result["notices"]]
        for number in range(spec.first, spec.first + spec.count):
            self._lifetimes[number] = [(result["started_at"], result["ended_at"])]

    async def _observe_planners(self) -> None:
        while True:
            self.trust_history.append((now() - self._started_at, await self.trust()))
            if self._planner_count and (leader := await self.planners.leader()) is not None:
                with contextlib.suppress(OSError, ValueError):
                    status = await asyncio.to_thread(fetch_planner_status, self.planners.addresses[leader])
                    self.records.append({"at_s": round(now() - self._started_at, 3), **status})
            await asyncio.sleep(POLL_INTERVAL_S)

    async def trust(self) -> float:
        """Return how far forwarders follow a plan, as a mean from 0 to 1; 0 without planners."""
        replies = await asyncio.gather(*(worker.request("trusts") for worker in self._workers))
        trusts: list[float] = [trust for reply in replies for trust in reply]
        return sum(trusts) / len(trusts) if trusts else 0.0

    async def wait_for_trust(self, minimum: float, maximum: float = 1.0, seconds: float = 40.0) -> None:
        """Wait until the mean trust is within bounds; at once without planners.  Raises TimeoutError."""
        async with asyncio.timeout(seconds):
            while self._planner_count and not minimum <= await self.trust() <= maximum:
                await asyncio.sleep(POLL_INTERVAL_S)

    # -- Backends -----------------------------------------------------------------------------------------

    async def start_backend(self, name: str, cold: bool = False) -> None:
        """Start a backend and register it."""
        number = int(name.rpartition("-")[2])
        speed = SPEED_NAMES[number % len(SPEED_NAMES)]
        backend = RecordingBackend(
            name,
            self.log,
            now,
            SPEED_RATIOS[speed],
            SLOTS,
            QUEUE,
            WARMUP_S if cold else 0.0,
            self._work,
            self._idempotency_caches[number % 3],
        )
        backend.on_arrival = self._record_arrival
        server = BackendServer(backend, pod=number % 3 + 1, machine_type=speed)
        server.started_ms = int(time.time() * 1000) if cold else 0
        await server.start()
        self.backends[name] = server
        self.registry.put(server.registry_entry())

    def _record_arrival(self, node: str, request_id: str) -> None:
        self._arrivals.append(AttemptArrival(now(), node, request_id))

    def _work(self, request: Message) -> float:
        return self._work_unit_s * CLASS_WORK_RATIOS[request.request_class]

    def kill_backend(self, name: str) -> None:
        """Kill a backend; the registry notices at once."""
        self._note_collapses()
        self.backends[name].kill()
        self.registry.remove(name)

    async def drain_backend(self, name: str, rejects_after_s: float = 0.7) -> None:
        """Announce a drain, reject new requests some time later, finish those in flight and end the backend."""
        self.registry.put(self.backends[name].registry_entry(status="leaving"))
        await asyncio.sleep(rejects_after_s)
        self.backends[name].start_draining()
        while self.backends[name].backend.in_flight:
            await asyncio.sleep(DRAIN_POLL_S)
        self.kill_backend(name)

    def _note_collapses(self) -> None:
        self._collapsed += [name for name, server in self.backends.items() if server.backend.collapsed]

    # -- Invariants -------------------------------------------------------------------------------------

    def check(self) -> InvariantReport:
        """Check the run against the invariants."""
        self._note_collapses()
        collapsed = sorted(set(self._collapsed))
        return check_invariants(
            self._calls, self._arrivals, self.log.runs, self._notices, self._lifetimes, collapsed
        )


# -- Scenarios ------------------------------------------------------------------------------------------

Scenario = Callable[[ProcessFleet, float], Awaitable[None]]


async def calm(fleet: ProcessFleet, pace: float) -> None:
    """Nothing goes wrong."""
    await fleet.wait_for_trust(0.3)
    await asyncio.sleep(8 * pace)


async def leader_stopped(fleet: ProcessFleet, pace: float) -> None:
    """The leader is stopped; a backend drains meanwhile; the leader goes on with old reports."""
    await fleet.wait_for_trust(0.3)
    leader = await fleet.planners.leader() or 0
    if fleet.planners.addresses:
        fleet.planners.send(leader, signal.SIGSTOP)
    await fleet.drain_backend("n-04")
    await asyncio.sleep(4 * pace)
    await fleet.wait_for_trust(0.3)  # the other leads
    if fleet.planners.addresses:
        fleet.planners.send(leader, signal.SIGCONT)
    await asyncio.sleep(2 * pace)
    await fleet.wait_for_trust(0.3)


async def all_stopped(fleet: ProcessFleet, pace: float) -> None:
    """All planners are stopped at once while a backend dies and comes back cold."""
    await fleet.wait_for_trust(0.3)
    for number in range(len(fleet.planners.addresses)):
        fleet.planners.send(number, signal.SIGSTOP)
    fleet.kill_backend("n-05")
    await fleet.wait_for_trust(0.0, 0.0)
    await asyncio.sleep(3 * pace)
    await fleet.start_backend("n-05", cold=True)
    await asyncio.sleep(pace)
    for number in range(len(fleet.planners.addresses)):
        fleet.planners.send(number, signal.SIGCONT)
    await asyncio.sleep(2 * pace)
    await fleet.wait_for_trust(0.3)


async def all_killed(fleet: ProcessFleet, pace: float) -> None:
    """The leader is killed, then the others; after a long time without any, all come back without their state."""
    await fleet.wait_for_trust(0.3)
    leader = await fleet.planners.leader() or 0
    count = len(fleet.planners.addresses)
    if count:
        fleet.planners.kill(leader)
    await asyncio.sleep(4 * pace)
    await fleet.wait_for_trust(0.3)
    for number in range(count):
        fleet.planners.kill(number)
    await fleet.wait_for_trust(0.0, 0.0)
    await asyncio.sleep(6 * pace)
    for number in range(count):
        fleet.planners.start(number)
    await fleet.wait_for_trust(0.3)


SCENARIOS: dict[str, Scenario] = {
    scenario.__name__: scenario for scenario in (calm, leader_stopped, all_stopped, all_killed)
}


async def run(scenario: str, pace: float, **options: Any) -> ProcessFleet:
    """Run a scenario; when it returns all processes have ended, and the fleet's records are there."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = ProcessFleet(Path(folder), **options)
        await fleet.start()
        try:
            await fleet.run_scenario(SCENARIOS[scenario], pace)
        finally:
            await fleet.stop()
    return fleet


def _run_and_print(name: str, planners: int, options: argparse.Namespace) -> int:
    """Run a scenario with so many planners, print its line and return the number of violations."""
    fleet = asyncio.run(
        run(
            name,
            options.pace,
            planners=planners,
            forwarders=options.forwarders,
            workers=options.workers,
            load=options.load,
            rate=options.rate,
            seed=options.seed,
        )
    )
    report = fleet.check()
    title = f"{name}, {'planners' if planners else 'alone'}"
    history = fleet.trust_history[:: max(len(fleet.trust_history) // 20, 1)]
    course = " ".join(f"{trust:.1f}" for _, trust in history)
    trust_line = f"\n{'':<37}trust {course}" if planners else ""
    print(format_row(title, options.seed, report) + trust_line, flush=True)
    if planners and options.record:
        with options.record.open("w", encoding="utf-8") as file:
            file.writelines(json.dumps(record) + "\n" for record in fleet.records)
    return len(report.violations)


def main() -> int:
    """Parse the command line, run the scenarios and return the exit code."""
    parser = argparse.ArgumentParser(prog="testbed.fleet.process_fleet", description=__doc__)
    parser.add_argument("scenarios", nargs="*", choices=[*SCENARIOS, []], default=[], metavar="SCENARIO")
    parser.add_argument("--forwarders", type=int, default=200)
    parser.add_argument("--workers", type=int, default=max((os.cpu_count() or 2) - 4, 2))
    parser.add_argument(
        "--load", type=float, default=0.6, help="offered work relative to the backends' capacity"
    )
    parser.add_argument("--rate", type=float, default=1.0, help="calls a second to each forwarder")
    parser.add_argument("--pace", type=float, default=1.0, help="seconds that a step lasts")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--record", type=Path, metavar="FILE", help="keep the leader's record for plan plot")
    options = parser.parse_args()
    print(f"{options.forwarders} forwarders in {options.workers} processes, load {options.load:g}\n{HEADER}")
    violations = 0
    for name in options.scenarios or SCENARIOS:
        for planners in (2, 0):
            violations += _run_and_print(name, planners, options)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
