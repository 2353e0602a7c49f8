"""The fleet itself: all parts in one process on loopback, so that a fault can be put between any two."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from testbed.backend import SPEED_RATIOS, Backend, BackendServer, IdempotencyCache, RunLog
from testbed.fleet.invariants import AttemptArrival, InvariantReport, check_invariants
from testbed.fleet.load_generator import EndpointNoticeLog, LoadGenerator, now
from testbed.fleet.proxy import Proxy
from testbed.wire import HTTP, MSGPACK_RPC, Address, Message
from testbed.zookeeper import Ensemble
from topazbank.balancing.events import ServerDescription, ServerState
from topazbank.core.components import SidecarConfig
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList, SourceStatus
from topazbank.core.sidecar import Sidecar
from topazbank.discovery.registrar import Registrar
from topazbank.discovery.registrar import RegistrationState as NodeState
from topazbank.discovery.registration import Registration
from topazbank.discovery.zkclient import EnsembleConfig
from topazbank.operator_config import ZOOKEEPER, Membership, MsgpackRpc, OperatorConfig, Planning, ZooKeeper
from topazbank.planning.election import Election
from topazbank.planning.forwarder import Forwarding
from topazbank.planning.plan import Following
from topazbank.planning.server import PlannerServer
from topazbank.platform_names import settings_from_wire
from topazbank.wiring import membership_source, wire

EXAMPLE_DEPLOYMENT = Path(__file__).parent.parent.parent / "deploy" / "example.json"
REGISTRATION_PATH = "/lodge/nodes"
WORK_S = {"check": 0.008, "amend": 0.012, "lodge": 0.020}  # on a standard machine
SPEED_NAMES = tuple(SPEED_RATIOS)


def work_of_class(asked: Message) -> float:
    return WORK_S[asked.kind]


class FixedEndpointSource:
    """A source that never says anything: the list of before the start is all there is."""

    def watch(self, wanted: bool) -> None: ...

    def fetch(self) -> None: ...

    def move(self, address: Address) -> None: ...

    def stop(self) -> None: ...

    def status(self) -> tuple[SourceStatus, ...]:
        return (SourceStatus("fixed", False, None),)

    def source_of(self, name: str) -> str:
        return "fixed"


@dataclass(slots=True, eq=False)
class SidecarProcess:
    """One sidecar's life."""

    sidecar: Sidecar
    stop: asyncio.Event
    task: asyncio.Task[None]
    began: float
    ended: float | None = None


class FleetHarness:
    """Nodes of three speeds in two pods, one of each protocol, some sidecars, and a steady rate of calls."""

    def __init__(
        self,
        *,
        nodes: int = 6,
        sidecars: int = 2,
        planners: int = 0,
        by_rank: bool = False,
        seed: int = 1,
        session_s: float = 1.0,
        fixed: bool = False,
    ) -> None:
        """`by_rank`: planners tell who leads without the ensemble."""
        self.random = random.Random(seed)
        self.ensemble = Ensemble(3, seed)
        self.nodes: dict[str, BackendServer] = {}
        self.registrars: dict[str, Registrar] = {}
        self.log = RunLog()
        self.fixed = fixed
        self.clients = LoadGenerator(self.random)
        self.ears = EndpointNoticeLog(lambda: set(self.nodes))
        self._fallen: list[str] = []
        self._reached: list[AttemptArrival] = []
        self.planners: list[PlannerServer | None] = [None] * planners
        self.elections: list[Election | None] = [None] * planners
        self.ways: dict[tuple[int, int], Proxy] = {}  # from each sidecar to each planner
        self._planner_addresses: list[Address] = [("127.0.0.1", 0)] * planners
        self._by_rank = by_rank
        self._count, self._sidecars, self._session_s = nodes, sidecars, session_s
        self._memories = [IdempotencyCache(), IdempotencyCache()]
        self.processes: list[SidecarProcess | None] = [None] * sidecars
        self._past: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self._addresses: list[Address] = [("127.0.0.1", 0)] * sidecars
        self._settings = settings_from_wire(
            json.loads(EXAMPLE_DEPLOYMENT.read_text(encoding="utf-8"))["settings"]
        )

    # -- Life ------------------------------------------------------------------------------------------

    async def start(self) -> None:
        await self.ensemble.start()
        for number in range(self._count):
            await self.launch(f"n-{number}")
        await wait_until(lambda: all(each.state is NodeState.REGISTERED for each in self.registrars.values()))
        for number in range(len(self.planners)):
            await self.start_planner(number)
        for number in range(self._sidecars):
            await self.start_sidecar(number, self._list() if self.fixed else [])
        everyone = set(self.nodes)
        await wait_until(lambda: all(self.ready(number) == everyone for number in range(self._sidecars)))

    async def stop(self) -> None:
        self.clients.stop()
        for process in self.processes:
            if process is not None:
                process.task.cancel()
                process.sidecar.endpoint_watcher.source.stop()
                process.sidecar.listener.stop()
        for number in range(len(self.planners)):
            self.kill_planner(number)
        for way in self.ways.values():
            way.stop()
        for registrar in self.registrars.values():
            registrar.crash()
        for node in self.nodes.values():
            node.die()
        self.ensemble.stop()
        await asyncio.sleep(0)

    # -- Nodes -----------------------------------------------------------------------------------------

    async def launch(self, name: str, cold_s: float = 0.0) -> None:
        """Start a node's process, cold if `cold_s` is given, and register it."""
        number = int(name.rpartition("-")[2])
        pod = number % 2
        speed = SPEED_NAMES[number // 2 % len(SPEED_NAMES)]
        lodge = RecordingBackend(
            name,
            self.log,
            now,
            SPEED_RATIOS[speed],
            cold_s=cold_s,
            work=work_of_class,
            memory=self._memories[pod],
        )
        lodge.note = self._note
        server = BackendServer(lodge, (HTTP, MSGPACK_RPC)[pod], pod + 1, speed)
        server.started_ms = int(time.time() * 1000) if cold_s else 0
        await server.start()
        self.nodes[name] = server
        self.register(name)

    def _note(self, node: str, ident: str) -> None:
        self._reached.append(AttemptArrival(now(), node, ident))

    def register(self, name: str) -> None:
        server = self.nodes[name]
        registration = Registration(
            server.address,
            server.pod,
            server.kind,
            "a",
            server.protocol,
            server.lodge.speed,
            f"{name}-{server.started_ms}",
            server.started_ms,
        )
        registrar = Registrar(
            EnsembleConfig(self.ensemble.addresses, self._session_s), REGISTRATION_PATH, name, registration
        )
        self.registrars[name] = registrar
        registrar.start()

    def die(self, name: str) -> None:
        """The process is killed: its connections break, and its session ends when it times out."""
        self._keep_fallen(name)
        self.nodes[name].die()
        self.registrars[name].crash()

    async def leave(self, name: str, after_s: float = 0.7) -> None:
        """The node says that it leaves, finishes what it holds and stops."""
        await self.registrars[name].drain()
        await asyncio.sleep(after_s)
        self.nodes[name].drain()
        await wait_until(lambda: not self.nodes[name].lodge.held)
        await self.registrars[name].stop()
        self._keep_fallen(name)
        self.nodes[name].die()

    def _keep_fallen(self, name: str) -> None:
        if self.nodes[name].lodge.fallen:
            self._fallen.append(name)

    def session_of(self, name: str) -> int:
        return self.registrars[name]._session.session_id

    def _list(self) -> list[DiscoveredServer]:
        """The nodes as a list from before a start."""
        return [
            DiscoveredServer(
                ServerDescription(
                    name,
                    "a",
                    server.kind,
                    server.pod,
                    ServerState.READY,
                    server.lodge.speed,
                    server.started_ms * 1000 or None,
                ),
                server.address,
                server.protocol,
            )
            for name, server in self.nodes.items()
        ]

    # -- Sidecars --------------------------------------------------------------------------------------

    async def start_sidecar(self, number: int, known: list[DiscoveredServer]) -> None:
        ways = [await self._way(number, planner) for planner in range(len(self.planners))]
        operator = OperatorConfig(
            MsgpackRpc(clients=True, nodes=True),
            membership=self._membership(),
            planning=Planning(tuple(ways), f"f-{number}"),
            show_roster=True,
        )
        wiring = wire(operator)
        if self.fixed:
            wiring = replace(wiring, endpoint_source=lambda config, told: FixedEndpointSource())
        wiring = self.ears.overhear(wiring, number)
        config = SidecarConfig(
            self._addresses[number],
            ("127.0.0.1", 9),
            self.random.randrange(2**32),
            512,
            self._settings,
            EndpointList(0, True, known),
        )
        self.ears.hear(number, config.cached_endpoints)
        sidecar, stop = Sidecar(config, wiring), asyncio.Event()
        task = asyncio.get_running_loop().create_task(sidecar.run(stop))
        await wait_until(lambda: sidecar.listener.address[1] != 0)
        self._addresses[number] = sidecar.listener.address
        self.processes[number] = SidecarProcess(sidecar, stop, task, now())

    async def restart_sidecar(self, number: int) -> None:
        """Stop a sidecar as the platform does, and start it again with the list it had."""
        process = self.processes[number]
        assert process is not None
        self.processes[number] = None  # its clients wait for the next life
        known = [
            DiscoveredServer(
                ServerDescription(
                    each.name,
                    server.zone,
                    "",
                    server.cell,
                    server.state,
                    server.nominal_capacity,
                    server.started_at,
                ),
                each.address,
                each.protocol,
            )
            for each in process.sidecar._endpoint_table.endpoints.values()
            if (server := process.sidecar._balancer.servers.by_name[each.name])
        ]
        process.stop.set()
        await process.task
        self._past[number].append((process.began, now()))
        self.clients.leave(number)
        await self.start_sidecar(number, known)

    def ready(self, number: int) -> set[str]:
        process = self.processes[number]
        if process is None:
            return set()
        return {
            each.name
            for each in process.sidecar._balancer.servers.by_name.values()
            if each.state is ServerState.READY
        }

    def sources(self) -> list[Any]:
        """The sidecars' own ensemble sources."""
        several = [each.sidecar.endpoint_watcher.source for each in self.processes if each is not None]
        return [each._sources[ZOOKEEPER] for each in several if not isinstance(each, FixedEndpointSource)]  # type: ignore[attr-defined]

    def _membership(self) -> Membership:
        return Membership(
            (ZOOKEEPER,), ZooKeeper(self.ensemble.addresses, REGISTRATION_PATH, "", max(self._session_s, 2.0))
        )

    # -- Planners --------------------------------------------------------------------------------------

    async def start_planner(self, number: int) -> None:
        """A planner's process starts, or starts again having forgotten all."""
        name, membership = f"p-{number}", self._membership()
        server = PlannerServer(
            name,
            lambda told: membership_source(membership, None, told),
            number if self._by_rank else None,
        )
        await server.start(self._planner_addresses[number])
        self._planner_addresses[number] = server.address
        self.planners[number] = server
        if not self._by_rank:
            election = Election(
                EnsembleConfig(self.ensemble.addresses, self._session_s),
                "/lodge/planners",
                name,
                server.lead,
                number,
            )
            election.start()
            self.elections[number] = election

    def kill_planner(self, number: int) -> None:
        server, election = self.planners[number], self.elections[number]
        self.planners[number] = self.elections[number] = None
        if server is not None:
            server.stop()
        if election is not None:
            election.stop()

    def leader(self) -> int | None:
        """The planner that leads by the highest epoch."""
        epochs = {n: each.planner.epoch for n, each in enumerate(self.planners) if each is not None}
        leading = {number: epoch for number, epoch in epochs.items() if epoch is not None}
        return max(leading, key=leading.__getitem__) if leading else None

    async def _way(self, sidecar: int, planner: int) -> Address:
        if (sidecar, planner) not in self.ways:
            way = Proxy(self._planner_addresses[planner])
            await way.start()
            self.ways[sidecar, planner] = way
        return self.ways[sidecar, planner].address

    def following(self, number: int) -> Following | None:
        """What a sidecar follows; None while it is not there."""
        process = self.processes[number]
        if process is None or not isinstance(process.sidecar._observer, Forwarding):
            return None
        return process.sidecar._observer.follower.following(process.sidecar._clock.now())

    def trusts(self) -> list[float]:
        found = [self.following(number) for number in range(len(self.processes))]
        return [each.trust for each in found if each is not None]

    # -- Calls -----------------------------------------------------------------------------------------

    async def load(self, rate: float, over: asyncio.Event) -> None:
        """Calls at a steady rate whatever comes of them, spread over the sidecars that are there."""
        await self.clients.load(rate, over, self._there, self._addresses.__getitem__)

    def _there(self) -> list[int]:
        return [number for number, each in enumerate(self.processes) if each is not None]

    # -- Judgement -------------------------------------------------------------------------------------

    def verdicts(self) -> InvariantReport:
        lives = {number: list(spans) for number, spans in self._past.items()}
        for number, process in enumerate(self.processes):
            if process is not None:
                lives.setdefault(number, []).append((process.began, now()))
        for name in self.nodes:
            self._keep_fallen(name)
        return check_invariants(
            self.clients.calls, self._reached, self.log.runs, self.ears.words, lives, self._fallen
        )


class RecordingBackend(Backend):
    """A node that says what reaches it, run or not."""

    note: Callable[[str, str], None]

    async def serve(self, asked: Message) -> Any:
        self.note(self.name, asked.ident)
        return await super().serve(asked)


async def wait_until(condition: Callable[[], object], seconds: float = 20.0) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)
