"""A fleet of processes: planners as they are run, hundreds of forwarders in a few workers, nodes and the registry here.

    python -m testbed.fleet.process_fleet [SCENE ...] [--forwarders 200] [--workers 4] [--load 0.6] [--record run.jsonl]

Planners are killed (SIGKILL) and stopped in the middle of whatever they do (SIGSTOP, SIGCONT).  Each scene is played
with planners and, with the same seeds and rate, without: the last column is the four rules by the nodes' own logs, and
the line under it how far forwarders followed a plan in the course of it.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from testbed.backend import SPEED_RATIOS, BackendServer, IdempotencyCache, RunLog
from testbed.fleet.__main__ import HEADER, format_row
from testbed.fleet.child_process import ROOT, ChildProcess
from testbed.fleet.harness import EXAMPLE_DEPLOYMENT, SPEED_NAMES, RecordingBackend
from testbed.fleet.invariants import (
    AttemptArrival,
    CallRecord,
    EndpointNotice,
    InvariantReport,
    check_invariants,
)
from testbed.fleet.load_generator import CLASS_WEIGHTS, REQUEST_CLASSES, now
from testbed.fleet.worker import WorkerSpec
from testbed.ports import free_addresses, private_loopback_host
from testbed.registry import Registry
from testbed.wire import Address, Message, format_address
from topazbank.plan import ask_planner

SLOTS, QUEUE = 2, 30  # of a node
WARMUP_S = 22.0
CLASS_WORK_RATIOS = {"check": 0.6, "amend": 1.0, "lodge": 1.6}  # of the mean work, by class
MEAN_WORK_RATIO = sum(
    CLASS_WORK_RATIOS[kind] * part for kind, part in zip(REQUEST_CLASSES, CLASS_WEIGHTS, strict=True)
) / sum(CLASS_WEIGHTS)
POLL_INTERVAL_S = 0.25  # how often it is looked at who follows a plan


class PlannerProcesses:
    """Planner processes, by number; ranks tell who leads, lower first."""

    def __init__(self, count: int, registry: Address, folder: Path) -> None:
        self.addresses = free_addresses(private_loopback_host(), count)
        self._registry = registry
        self._folder = folder
        self._processes: list[subprocess.Popen[str] | None] = [None] * count

    def start(self, number: int) -> None:
        path = self._folder / f"planner-{number}.toml"
        path.write_text(
            f'[planning]\nlisten = "{format_address(self.addresses[number])}"\nelect = "static"\nrank = {number}\n',
            encoding="utf-8",
        )
        command = [sys.executable, "-m", "topazbank.planning.server", "--operator", str(path)]
        command += ["--registry", format_address(self._registry), "--name", f"p-{number}"]
        quiet = {"stdout": subprocess.DEVNULL, "stderr": subprocess.DEVNULL}
        self._processes[number] = subprocess.Popen(command, cwd=ROOT, text=True, **quiet)  # type: ignore[call-overload]

    def send(self, number: int, what: signal.Signals) -> None:
        process = self._processes[number]
        if process is not None:
            process.send_signal(what)

    def kill(self, number: int) -> None:
        process, self._processes[number] = self._processes[number], None
        if process is not None:
            process.kill()  # one that is stopped as well
            process.wait()

    def stop(self) -> None:
        for number in range(len(self._processes)):
            self.kill(number)

    async def leader(self) -> int | None:
        """Who leads by the highest epoch; those that do not answer do not."""
        found: dict[int, int] = {}
        for number, process in enumerate(self._processes):
            if process is None:
                continue
            with contextlib.suppress(OSError, ValueError):
                told = await asyncio.to_thread(ask_planner, self.addresses[number])
                if told["epoch"] is not None:
                    found[number] = told["epoch"]
        return max(found, key=found.__getitem__) if found else None


class WorkerProcess(ChildProcess):
    """One process of forwarders; it is told a word and answers with a line."""

    def __init__(self, spec: WorkerSpec) -> None:
        super().__init__("testbed.fleet.worker", json.dumps(asdict(spec)))
        self.spec = spec


class ProcessFleet:
    """The whole fleet."""

    def __init__(
        self,
        folder: Path,
        *,
        forwarders: int = 200,
        workers: int = 4,
        planners: int = 2,
        nodes: int = 15,
        rate: float = 1.0,
        load: float = 0.6,
        seed: int = 1,
    ) -> None:
        """`rate`: calls a second to each forwarder; `load`: the part of what all nodes can do that they ask."""
        self.registry = Registry()
        self.log = RunLog()
        self.nodes: dict[str, BackendServer] = {}
        self.trusts: list[tuple[float, float]] = []  # seconds since the calls began, mean over all forwarders
        self.records: list[dict[str, Any]] = []  # what the leader told, as `topazbank.plan record` keeps it
        self._folder, self._count, self._planner_count = folder, nodes, planners
        self._forwarders, self._worker_count = forwarders, workers
        self._rate, self._seed = rate, seed
        able = sum(SPEED_RATIOS[SPEED_NAMES[n % len(SPEED_NAMES)]] for n in range(nodes)) * SLOTS
        self._mean_s = load * able / (forwarders * rate) / MEAN_WORK_RATIO
        self._memories = [IdempotencyCache() for _ in range(3)]
        self._reached: list[AttemptArrival] = []
        self._fallen: list[str] = []
        self._calls: list[CallRecord] = []
        self._words: list[EndpointNotice] = []
        self._lives: dict[int, list[tuple[float, float]]] = {}
        self._workers: list[WorkerProcess] = []
        self._began = 0.0

    # -- Life ------------------------------------------------------------------------------------------

    async def start(self) -> None:
        await self.registry.start()
        for number in range(self._count):
            await self.launch(f"n-{number:02}")
        self.planners = PlannerProcesses(self._planner_count, self.registry.address, self._folder)
        for number in range(self._planner_count):
            self.planners.start(number)
        settings = json.loads(EXAMPLE_DEPLOYMENT.read_text(encoding="utf-8"))["settings"]
        edges = [self._forwarders * each // self._worker_count for each in range(self._worker_count + 1)]
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
        await asyncio.gather(*(each.start() for each in self._workers))

    async def stop(self) -> None:
        await asyncio.gather(*(each.stop() for each in self._workers))
        self.planners.stop()
        self.registry.stop()
        for node in self.nodes.values():
            node.die()

    async def play(self, scene: Scenario, pace: float) -> None:
        """One scene under load, from a calm pace to one after it."""
        for each in self._workers:
            await each.say("load")
        self._began = now()
        looking = asyncio.get_running_loop().create_task(self._look())
        await asyncio.sleep(pace)
        await scene(self, pace)
        await asyncio.sleep(pace)
        looking.cancel()
        for told, worker in zip(
            await asyncio.gather(*(each.say("finish") for each in self._workers)), self._workers, strict=True
        ):
            self._calls += [
                CallRecord(**each | {"body": each["body"].encode("latin-1")}) for each in told["calls"]
            ]
            self._words += [EndpointNotice(**each) for each in told["words"]]
            for number in range(worker.spec.first, worker.spec.first + worker.spec.count):
                self._lives[number] = [(told["began"], told["ended"])]

    async def _look(self) -> None:
        while True:
            self.trusts.append((now() - self._began, await self.trust()))
            if self._planner_count and (leader := await self.planners.leader()) is not None:
                with contextlib.suppress(OSError, ValueError):
                    told = await asyncio.to_thread(ask_planner, self.planners.addresses[leader])
                    self.records.append({"at_s": round(now() - self._began, 3), **told})
            await asyncio.sleep(POLL_INTERVAL_S)

    async def trust(self) -> float:
        """How far forwarders follow a plan, on the mean; 0 without planners."""
        told = await asyncio.gather(*(each.say("trusts") for each in self._workers))
        found: list[float] = [trust for each in told for trust in each]
        return sum(found) / len(found) if found else 0.0

    async def until_trust(self, least: float, most: float = 1.0, seconds: float = 40.0) -> None:
        """Wait until the mean trust is within bounds; at once where there are no planners."""
        async with asyncio.timeout(seconds):
            while self._planner_count and not least <= await self.trust() <= most:
                await asyncio.sleep(POLL_INTERVAL_S)

    # -- Nodes -----------------------------------------------------------------------------------------

    async def launch(self, name: str, cold: bool = False) -> None:
        number = int(name.rpartition("-")[2])
        speed = SPEED_NAMES[number % len(SPEED_NAMES)]
        lodge = RecordingBackend(
            name,
            self.log,
            now,
            SPEED_RATIOS[speed],
            SLOTS,
            QUEUE,
            WARMUP_S if cold else 0.0,
            self._work,
            self._memories[number % 3],
        )
        lodge.note = lambda node, ident: self._reached.append(AttemptArrival(now(), node, ident))
        server = BackendServer(lodge, pod=number % 3 + 1, kind=speed)
        server.started_ms = int(time.time() * 1000) if cold else 0
        await server.start()
        self.nodes[name] = server
        self.registry.put(server.entry())

    def _work(self, asked: Message) -> float:
        return self._mean_s * CLASS_WORK_RATIOS[asked.kind]

    def die(self, name: str) -> None:
        """Its process is killed, and the registry notices at once."""
        self._keep_fallen()
        self.nodes[name].die()
        self.registry.remove(name)

    async def leave(self, name: str, after_s: float = 0.7) -> None:
        """It says that it leaves, finishes what it holds and stops."""
        self.registry.put(self.nodes[name].entry(status="leaving"))
        await asyncio.sleep(after_s)
        self.nodes[name].drain()
        while self.nodes[name].lodge.held:
            await asyncio.sleep(0.02)
        self.die(name)

    def _keep_fallen(self) -> None:
        self._fallen += [name for name, each in self.nodes.items() if each.lodge.fallen]

    # -- Judgement -------------------------------------------------------------------------------------

    def verdicts(self) -> InvariantReport:
        self._keep_fallen()
        fallen = sorted(set(self._fallen))
        return check_invariants(self._calls, self._reached, self.log.runs, self._words, self._lives, fallen)


# -- Scenes ------------------------------------------------------------------------------------------

Scenario = Callable[[ProcessFleet, float], Awaitable[None]]


async def calm(fleet: ProcessFleet, pace: float) -> None:
    """Nothing goes wrong."""
    await fleet.until_trust(0.3)
    await asyncio.sleep(8 * pace)


async def leader_stopped(fleet: ProcessFleet, pace: float) -> None:
    """The leader stands still in the middle of what it does; a node leaves meanwhile; it goes on with old news."""
    await fleet.until_trust(0.3)
    leader = await fleet.planners.leader() or 0
    if fleet.planners.addresses:
        fleet.planners.send(leader, signal.SIGSTOP)
    await fleet.leave("n-04")
    await asyncio.sleep(4 * pace)
    await fleet.until_trust(0.3)  # the other leads
    if fleet.planners.addresses:
        fleet.planners.send(leader, signal.SIGCONT)
    await asyncio.sleep(2 * pace)
    await fleet.until_trust(0.3)


async def all_stopped(fleet: ProcessFleet, pace: float) -> None:
    """All planners stand still at once while a node dies and comes back cold."""
    await fleet.until_trust(0.3)
    for number in range(len(fleet.planners.addresses)):
        fleet.planners.send(number, signal.SIGSTOP)
    fleet.die("n-05")
    await fleet.until_trust(0.0, 0.0)
    await asyncio.sleep(3 * pace)
    await fleet.launch("n-05", cold=True)
    await asyncio.sleep(pace)
    for number in range(len(fleet.planners.addresses)):
        fleet.planners.send(number, signal.SIGCONT)
    await asyncio.sleep(2 * pace)
    await fleet.until_trust(0.3)


async def all_killed(fleet: ProcessFleet, pace: float) -> None:
    """The leader is killed, then the rest; a long time without any; all come back having forgotten."""
    await fleet.until_trust(0.3)
    leader = await fleet.planners.leader() or 0
    count = len(fleet.planners.addresses)
    if count:
        fleet.planners.kill(leader)
    await asyncio.sleep(4 * pace)
    await fleet.until_trust(0.3)
    for number in range(count):
        fleet.planners.kill(number)
    await fleet.until_trust(0.0, 0.0)
    await asyncio.sleep(6 * pace)
    for number in range(count):
        fleet.planners.start(number)
    await fleet.until_trust(0.3)


SCENARIOS: dict[str, Scenario] = {
    each.__name__: each for each in (calm, leader_stopped, all_stopped, all_killed)
}


async def run(scene: str, pace: float, **given: Any) -> ProcessFleet:
    """Play a scene; all processes have ended when it returns, and the fleet's logs are there."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = ProcessFleet(Path(folder), **given)
        await fleet.start()
        try:
            await fleet.play(SCENARIOS[scene], pace)
        finally:
            await fleet.stop()
    return fleet


def main() -> int:
    parser = argparse.ArgumentParser(prog="testbed.fleet.process_fleet", description=__doc__)
    parser.add_argument("scenes", nargs="*", choices=[*SCENARIOS, []], default=[])
    parser.add_argument("--forwarders", type=int, default=200)
    parser.add_argument("--workers", type=int, default=max((os.cpu_count() or 2) - 4, 2))
    parser.add_argument("--load", type=float, default=0.6, help="part of what the nodes can do")
    parser.add_argument("--rate", type=float, default=1.0, help="calls a second to each forwarder")
    parser.add_argument("--pace", type=float, default=1.0, help="seconds that a step lasts")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--record", type=Path, metavar="FILE", help="keep the leader's record for plan plot")
    given = parser.parse_args()
    shape = {"forwarders": given.forwarders, "workers": given.workers, "load": given.load}
    shape |= {"rate": given.rate, "seed": given.seed}
    print(f"{given.forwarders} forwarders in {given.workers} processes, load {given.load:g}\n{HEADER}")
    broken = 0
    for name in given.scenes or SCENARIOS:
        for planners in (2, 0):
            fleet = asyncio.run(run(name, given.pace, planners=planners, **shape))
            verdicts = fleet.verdicts()
            broken += len(verdicts.broken)
            title = f"{name}, {'planners' if planners else 'alone'}"
            course = " ".join(f"{trust:.1f}" for _, trust in fleet.trusts[:: max(len(fleet.trusts) // 20, 1)])
            print(
                format_row(title, given.seed, verdicts) + (f"\n{'':<37}trust {course}" if planners else ""),
                flush=True,
            )
            if planners and given.record:
                with given.record.open("w", encoding="utf-8") as file:
                    file.writelines(json.dumps(each) + "\n" for each in fleet.records)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
