"""Thousands of quiet sidecars on one machine: what all of them together open, probe, ask and tell.

    python -m testbed.fleet.synthetic_peers [SCENE ...] [--sidecars 1000] [--workers 6] [--nodes 60] [--rate 0.3]

Scenes: `calm`; `restart`, in which all sidecars end and come back at once with their last list, two fifths of it dead;
`outage`, in which the registry answers nothing but 503 for a while.  Each ends with the counts beside what
`topazbank.core.bounds` allows, and the program with 1 where a count is beyond its bound.  Sidecars and their clients
live in worker processes, nodes in others (`python -m testbed.fleet.synthetic_peers worker|nodes SPEC`,
each given one word a line).
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import random
import sys
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field, replace
from typing import Any

from testbed.backend import Backend, BackendServer, RunLog
from testbed.clients import ClientCall, HttpClient
from testbed.fleet.child_process import REPLY_BYTES_MAX, ChildProcess
from testbed.fleet.harness import EXAMPLE_DEPLOYMENT
from testbed.registry import Registry
from testbed.wire import Address, Message
from topazbank.balancing.actions import Action, CheckHealth, Fail, Reject, SendAttempt, SendGossip
from topazbank.balancing.balancer import Balancer
from topazbank.balancing.events import EndpointsUpdated, Event
from topazbank.balancing.settings import Settings
from topazbank.core.bounds import Fleet, FleetBounds, fleet_bounds
from topazbank.core.components import SidecarConfig
from topazbank.core.sidecar import Sidecar
from topazbank.core.trace import Trace
from topazbank.discovery.list_format import parse_list
from topazbank.operator_config import OperatorConfig
from topazbank.platform_names import settings_from_wire
from topazbank.wiring import wire

SOCKETS_PER_SIDECAR = 256  # of each sidecar
WORK_S = 0.01  # of a call, on a standard machine
MEAN_ANSWER_S = 0.25  # what an answer may take on the mean, on a machine that is busy with the rig itself
REQUEST_CLASSES, CLASS_WEIGHTS = ("check", "amend", "lodge"), (6, 1, 3)
DEADLINE_S = 2.0
REPLACED_BACKENDS_RATIO = 0.42  # of the last list, when all come back
SETTLE_S = 1.0


# -- A worker: sidecars and their clients --------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """What a worker is told."""

    first: int
    count: int
    rate: float  # calls a second to each
    seed: int
    registry: Address
    known: dict[str, Any]
    settings: dict[str, Any]


class CountingTrace(Trace):
    """Counts what is decided, for all sidecars of a process."""

    def __init__(self, balancer: Balancer, counts: Counter[str]) -> None:
        super().__init__(balancer, 0, lambda _: None)
        self._counts = counts

    def noted(self, now: int, event: Event, actions: Sequence[Action]) -> None:
        if isinstance(event, EndpointsUpdated):
            self._counts["lines"] += len(event.servers)
        for action in actions:
            if isinstance(action, SendAttempt):
                self._counts["sends"] += 1
            elif isinstance(action, CheckHealth):
                self._counts["probes"] += 1
            elif isinstance(action, Reject | Fail):
                self._counts["turned away"] += 1
            elif isinstance(action, SendGossip):
                self._counts["tells"] += 1


class Worker:
    """The sidecars of one process; each has one client that calls it now and then."""

    def __init__(self, given: WorkerSpec) -> None:
        self.given = given
        self.counts: Counter[str] = Counter()
        self._random = random.Random(given.seed)
        self._settings = settings_from_wire(given.settings)
        self._lives: list[tuple[Sidecar, asyncio.Task[None]]] = []
        self._callers: dict[int, HttpClient] = {}
        self._calls: set[asyncio.Task[None]] = set()
        self._loading: asyncio.Task[None] | None = None
        self._ident = 0

    async def start(self, known: dict[str, Any]) -> None:
        """All at once, each with this list."""
        counted = replace(wire(OperatorConfig()), trace=lambda balancer: CountingTrace(balancer, self.counts))
        told = parse_list(known)
        for number in range(self.given.first, self.given.first + self.given.count):
            config = SidecarConfig(
                ("127.0.0.1", 0), self.given.registry, self.given.seed * 1_000_003 + number, SOCKETS_PER_SIDECAR,
                self._settings, told,
            )  # fmt: skip
            sidecar = Sidecar(config, counted)
            task = asyncio.get_running_loop().create_task(sidecar.run(asyncio.Event()))
            self._lives.append((sidecar, task))
            await asyncio.sleep(0)  # those that stand already go on meanwhile

    async def end(self) -> None:
        """All are killed; their connections break as those of a process that ends."""
        for caller in self._callers.values():
            caller.close()
        self._callers.clear()
        ended, self._lives = self._lives, []  # from here on no call goes to them, and what is out is cut off
        for sidecar, task in ended:
            task.cancel()
            sidecar.listener.stop()
            for connection in sidecar.listener.connections:
                connection.abort()
            sidecar.endpoint_watcher.source.stop()
            await sidecar._endpoint_table.close()
        await asyncio.sleep(0)

    def load(self) -> None:
        self._loading = asyncio.get_running_loop().create_task(self._load())

    async def _load(self) -> None:
        began, count, rate = time.monotonic(), 0, self.given.rate * self.given.count
        while True:
            count += 1
            await asyncio.sleep(max(began + count / rate - time.monotonic(), 0.0))
            if self._lives:
                task = asyncio.get_running_loop().create_task(
                    self._call(self._random.randrange(len(self._lives)))
                )
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)

    async def _call(self, number: int) -> None:
        kind = self._random.choices(REQUEST_CLASSES, CLASS_WEIGHTS)[0]
        self._ident += 1
        ident = f"w{self.given.first}-{self._ident:07}"
        key = f"key-{ident}" if kind == "amend" else None
        wish = ClientCall(kind, ident, body=b"" if kind == "check" else b"x", budget_s=DEADLINE_S, key=key)
        life = self._lives[number][0]
        caller = self._callers.pop(number, None) or HttpClient(life.listener.address)
        self.counts["calls"] += 1
        got = await caller.call(wish)
        alive = number < len(self._lives) and self._lives[number][0] is life
        self.counts[got.verdict if alive or got.verdict != "lost" else "cut off"] += 1  # killed under it
        if number in self._callers or not alive:
            caller.close()
        else:
            self._callers[number] = caller

    def told(self) -> dict[str, int]:
        open_now = [sidecar._endpoint_table.connection_limit.open_count for sidecar, _ in self._lives]
        return dict(self.counts) | {"open": sum(open_now), "most open": max(open_now, default=0)}


# -- Nodes: stand-in servers that count their connections -----------------------------------------------


@dataclass(frozen=True, slots=True)
class BackendGroupSpec:
    """What a process of nodes is told."""

    first: int
    count: int


class CountingBackendServer(BackendServer):
    """Counts the connections that came, and those that are open."""

    accepted = 0

    async def _http(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        await super()._http(reader, writer)


class BackendGroup:
    """The nodes of one process."""

    def __init__(self, given: BackendGroupSpec) -> None:
        self.log = RunLog()
        self.nodes = [self._made(number) for number in range(given.first, given.first + given.count)]

    def _made(self, number: int) -> CountingBackendServer:
        return CountingBackendServer(
            Backend(f"n-{number:04}", self.log, time.monotonic, slots=64, queue=256, work=constant_work),
            pod=number % 8 + 1,
        )

    async def start(self) -> list[dict[str, Any]]:
        for node in self.nodes:
            await node.start()
        return [node.entry() for node in self.nodes]

    def die(self, names: Sequence[str]) -> None:
        for node in self.nodes:
            if node.lodge.name in names:
                node.die()

    def told(self) -> dict[str, Any]:
        held = [len(node._writers) for node in self.nodes]
        return {
            "accepted": sum(node.accepted for node in self.nodes),
            "held": sum(held),
            "most held": max(held, default=0),
            "twice": len(self.log.twice(("amend", "lodge"))),
        }


def constant_work(_: Message) -> float:
    return WORK_S


# -- Talk between the processes ---------------------------------------------------------------------------


async def serve_worker(given: dict[str, Any]) -> None:
    given["registry"] = tuple(given["registry"])
    worker = Worker(WorkerSpec(**given))
    await worker.start(worker.given.known)
    await serve_commands({"load": worker.load, "told": worker.told, "end": worker.end, "start": worker.start})


async def serve_nodes(given: dict[str, Any]) -> None:
    side = BackendGroup(BackendGroupSpec(**given))
    entries = await side.start()
    await serve_commands({"entries": lambda: entries, "die": side.die, "told": side.told})


async def serve_commands(words: dict[str, Any]) -> None:
    """Answer each line of input, a word and its arguments, with a line; the input's end ends it."""
    reader = asyncio.StreamReader(limit=REPLY_BYTES_MAX)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    print("{}", flush=True)
    while line := await reader.readline():
        word, *given = json.loads(line)
        said = words[word](*given)
        if asyncio.iscoroutine(said):
            said = await said
        print(json.dumps(said), flush=True)


class RoleProcess(ChildProcess):
    """A process of this rig, by its role."""

    def __init__(self, role: str, given: WorkerSpec | BackendGroupSpec) -> None:
        super().__init__("testbed.fleet.synthetic_peers", role, json.dumps(asdict(given)))

    async def tell(self, word: str, *given: Any) -> Any:
        return await self.say(json.dumps([word, *given]))


# -- The rig ------------------------------------------------------------------------------------------------


class CountingRegistry(Registry):
    """The registry, with a switch for an outage, and its calls by second."""

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.by_second: Counter[int] = Counter()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.down:
            self.calls += 1
            self.by_second[int(time.monotonic())] += 1
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            writer.close()
            return
        await super()._serve(reader, writer)

    async def _answer(self, asked: Message) -> dict[str, Any]:
        self.by_second[int(time.monotonic())] += 1
        return await super()._answer(asked)

    def busiest(self, since: int) -> int:
        return max((count for second, count in self.by_second.items() if second >= since), default=0)


@dataclass(slots=True)
class ScenarioResult:
    """What a scene came to."""

    scene: str
    seconds: float
    counts: Counter[str]
    allowed: dict[str, float] = field(default_factory=dict)

    @property
    def served(self) -> float:
        done = sum(self.counts[name] for name in ("served", "refused", "failed", "lost"))
        return self.counts["served"] / max(done, 1)

    def beyond(self) -> list[str]:
        """The counts that are beyond their bounds, and rules that are broken."""
        over = [name for name, most in self.allowed.items() if self.counts[name] > most]
        return over + [name for name in ("lost", "twice") if self.counts[name]]


def count_limits(bounds: FleetBounds) -> dict[str, float]:
    """Return the limits by the names of the counts that are held against them."""
    return {
        "sends": bounds.attempts,
        "accepted": bounds.connections_accepted,
        "held": bounds.connections_open,
        "most open": bounds.connections_open_per_sidecar,
        "probes": bounds.health_checks,
        "list calls": bounds.endpoint_polls,
        "list calls a second, most": bounds.endpoint_polls_per_s,
        "tells": bounds.gossip_messages,
    }


class SyntheticFleet:
    """All processes of one fleet."""

    def __init__(self, sidecars: int, workers: int, nodes: int, rate: float, seed: int = 1) -> None:
        self.registry = CountingRegistry()
        given = json.loads(EXAMPLE_DEPLOYMENT.read_text(encoding="utf-8"))["settings"]
        self.given = given | {"groupSize": sidecars}
        self.settings: Settings = settings_from_wire(self.given)
        self.sidecars, self.nodes, self.rate = sidecars, nodes, rate
        self._worker_count, self._seed = workers, seed
        self.workers: list[RoleProcess] = []
        self.sides: list[RoleProcess] = []

    async def start(self) -> None:
        await self.registry.start()
        sides = max(1, min(self._worker_count // 3, 4))
        edges = [self.nodes * each // sides for each in range(sides + 1)]
        self.sides = [RoleProcess("nodes", BackendGroupSpec(a, b - a)) for a, b in itertools.pairwise(edges)]
        await asyncio.gather(*(each.start() for each in self.sides))
        for side in self.sides:
            self.registry.put(*await side.tell("entries"))
        edges = [self.sidecars * each // self._worker_count for each in range(self._worker_count + 1)]
        self.workers = [
            RoleProcess("worker", WorkerSpec(
                a, b - a, self.rate, self._seed * 1000 + a, self.registry.address,
                self.registry.snapshot(), self.given,
            ))
            for a, b in itertools.pairwise(edges)
        ]  # fmt: skip
        await asyncio.gather(*(each.start() for each in self.workers))

    async def stop(self) -> None:
        await asyncio.gather(*(each.stop() for each in [*self.workers, *self.sides]))
        self.registry.stop()

    async def counts(self) -> Counter[str]:
        """Sums over all processes; what is a most is a most."""
        total: Counter[str] = Counter()
        for told in await asyncio.gather(*(each.tell("told") for each in [*self.workers, *self.sides])):
            for name, value in told.items():
                total[name] = max(total[name], value) if name.startswith("most") else total[name] + value
        total["list calls"] = self.registry.calls
        return total

    async def all(self, word: str, *given: Any) -> None:
        await asyncio.gather(*(each.tell(word, *given) for each in self.workers))

    async def play(self, scene: str, seconds: float) -> ScenarioResult:
        """Load all sidecars for so long, with the scene in the middle; give the counts since the load began."""
        before = await self.counts()
        await self.all("load")
        began, since = time.monotonic(), int(time.monotonic())
        await asyncio.sleep(seconds / 2)
        starts = 0
        if scene == "restart":
            starts = 1
            await self._restart()
        elif scene == "outage":
            self.registry.down = True
            self.registry.put(
                *list(self.registry.entries.values())[:1]
            )  # wakes all watches: the next call fails
        await asyncio.sleep(seconds / 2)
        took = time.monotonic() - began
        after = await self.counts()
        await asyncio.sleep(SETTLE_S)
        done = await self.counts()
        for name in ("served", "refused", "failed", "lost", "twice"):
            after[name] = done[name]
        found = Counter(
            {name: value - (before[name] if name not in GAUGES else 0) for name, value in after.items()}
        )
        found["list calls a second, most"] = self.registry.busiest(since)
        fleet = Fleet(self.settings, self.sidecars, self.nodes, self.rate, MEAN_ANSWER_S)
        allowed = count_limits(fleet_bounds(fleet, took, starts, scene == "outage"))
        return ScenarioResult(scene, took, found, allowed)

    async def _restart(self) -> None:
        """All end; two fifths of the nodes are replaced; all come back with the list of before."""
        known = self.registry.snapshot()
        names = list(self.registry.entries)
        dead = random.Random(self._seed).sample(names, int(REPLACED_BACKENDS_RATIO * len(names)))
        await self.all("end")
        for side in self.sides:
            await side.tell("die", dead)
        for name in dead:
            self.registry.remove(name)
        await self.all("start", known)


GAUGES = ("open", "most open", "held", "most held")  # of now, not since


def print_result(result: ScenarioResult) -> None:
    print(f"{result.scene}: {result.seconds:.0f} s, served {100 * result.served:.2f} of 100 answered")
    for name, most in result.allowed.items():
        mark = "" if result.counts[name] <= most else "  BEYOND"
        print(f"  {name:28} {result.counts[name]:9.0f} of {most:11.0f} allowed{mark}")
    rest = {name: value for name, value in sorted(result.counts.items()) if name not in result.allowed}
    print("  " + ", ".join(f"{name} {value}" for name, value in rest.items()), flush=True)


async def run(
    scenes: Sequence[str], sidecars: int, workers: int, nodes: int, rate: float, seconds: float, seed: int = 1
) -> list[ScenarioResult]:
    results = []
    for scene in scenes:
        rig = SyntheticFleet(sidecars, workers, nodes, rate, seed)
        try:
            await rig.start()
            await asyncio.sleep(SETTLE_S)
            results.append(await rig.play(scene, seconds))
        finally:
            await rig.stop()
        print_result(results[-1])
    return results


SCENARIOS = ("calm", "restart", "outage")


def main() -> int:
    if sys.argv[1:2] in (["worker"], ["nodes"]):
        role, given = sys.argv[1], json.loads(sys.argv[2])
        asyncio.run(serve_worker(given) if role == "worker" else serve_nodes(given))
        return 0
    parser = argparse.ArgumentParser(prog="testbed.fleet.synthetic_peers", description=__doc__)
    parser.add_argument("scenes", nargs="*", default=[])
    parser.add_argument("--sidecars", type=int, default=1000)
    parser.add_argument("--workers", type=int, default=max((os.cpu_count() or 2) - 2, 2))
    parser.add_argument("--nodes", type=int, default=60)
    parser.add_argument("--rate", type=float, default=0.3, help="calls a second to each sidecar")
    parser.add_argument("--seconds", type=float, default=30.0, help="that a scene lasts")
    given = parser.parse_args()
    unknown = set(given.scenes) - set(SCENARIOS)
    if unknown:
        parser.error(f"scenes: {', '.join(SCENARIOS)} are wanted, not {', '.join(sorted(unknown))}")
    print(
        f"{given.sidecars} sidecars in {given.workers} processes, {given.nodes} nodes, {given.rate:g} calls a second"
    )
    results = asyncio.run(
        run(given.scenes or SCENARIOS, given.sidecars, given.workers, given.nodes, given.rate, given.seconds)
    )
    return 1 if any(each.beyond() for each in results) else 0


if __name__ == "__main__":
    sys.exit(main())
