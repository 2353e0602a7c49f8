"""A fleet with all its parts in one process on loopback, so that a fault can be put between any two of them."""

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
from topazbank.discovery.registrar import Registrar, RegistrationState
from topazbank.discovery.registration import Registration
from topazbank.discovery.zkclient import EnsembleConfig
from topazbank.operator_config import (
    ZOOKEEPER,
    DiscoveryConfig,
    MsgpackRpcConfig,
    OperatorConfig,
    PlanningConfig,
    ZooKeeperConfig,
)
from topazbank.planning.election import Election
from topazbank.planning.follower import FollowerStatus
from topazbank.planning.forwarder import PlanningClient
from topazbank.planning.planner_server import PlannerServer
from topazbank.platform_names import settings_from_wire
from topazbank.wiring import build_components, build_endpoint_source

EXAMPLE_DEPLOYMENT = Path(__file__).parent.parent.parent / "deploy" / "example.json"
REGISTRATION_PATH = "/lodge/nodes"
WORK_S = {"check": 0.008, "amend": 0.012, "lodge": 0.020}  # seconds on a standard machine
SPEED_NAMES = tuple(SPEED_RATIOS)


def work_of_class(request: Message) -> float:
    """Return the work of a request by its class, in seconds on a standard machine."""
    return WORK_S[request.request_class]


class FixedEndpointSource:
    """An endpoint source without updates: the cached list of the start is all there is."""

    def watch(self, wanted: bool) -> None:
        """Do nothing."""

    def fetch(self) -> None:
        """Do nothing."""

    def move(self, address: Address) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def status(self) -> tuple[SourceStatus, ...]:
        """Return the state of a source that polls nothing."""
        return (SourceStatus("fixed", False, None),)

    def source_of(self, name: str) -> str:
        """Return the source of a server."""
        return "fixed"


@dataclass(slots=True, eq=False)
class SidecarProcess:
    """One run of a sidecar, from its start to its end."""

    sidecar: Sidecar
    stop: asyncio.Event
    task: asyncio.Task[None]
    started_at: float


class FleetHarness:
    """Backends of three speeds in two pods, one for each protocol; sidecars; planners; a steady rate of calls."""

    def __init__(
        self,
        *,
        backends: int = 6,
        sidecars: int = 2,
        planners: int = 0,
        by_rank: bool = False,
        seed: int = 1,
        session_s: float = 1.0,
        fixed_list: bool = False,
    ) -> None:
        """`by_rank`: planners elect their leader without the ensemble.

        `fixed_list`: sidecars get no endpoint updates; `session_s`: the timeout of all sessions at
        the ensemble.
        """
        self.random = random.Random(seed)
        self.ensemble = Ensemble(3, seed)
        self.backends: dict[str, BackendServer] = {}
        self.registrars: dict[str, Registrar] = {}
        self.log = RunLog()
        self.fixed_list = fixed_list
        self.clients = LoadGenerator(self.random)
        self.notice_log = EndpointNoticeLog(lambda: set(self.backends))
        self._collapsed: list[str] = []
        self._arrivals: list[AttemptArrival] = []
        self.planners: list[PlannerServer | None] = [None] * planners
        self.elections: list[Election | None] = [None] * planners
        self.proxies: dict[tuple[int, int], Proxy] = {}  # by (sidecar, planner)
        self._planner_addresses: list[Address] = [("127.0.0.1", 0)] * planners
        self._by_rank = by_rank
        self._backend_count, self._sidecar_count, self._session_s = backends, sidecars, session_s
        self._idempotency_caches = [IdempotencyCache(), IdempotencyCache()]  # by pod
        self.processes: list[SidecarProcess | None] = [None] * sidecars
        self._past_runs: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self._addresses: list[Address] = [("127.0.0.1", 0)] * sidecars
        self._settings = settings_from_wire(
            json.loads(EXAMPLE_DEPLOYMENT.read_text(encoding="utf-8"))["settings"]
        )

    # -- Start and stop ------------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start all parts and wait until every sidecar knows every backend."""
        await self.ensemble.start()
        for number in range(self._backend_count):
            await self.start_backend(f"n-{number}")
        await wait_until(
            lambda: all(
                registrar.state is RegistrationState.REGISTERED for registrar in self.registrars.values()
            )
        )
        for number in range(len(self.planners)):
            await self.start_planner(number)
        for number in range(self._sidecar_count):
            await self.start_sidecar(number, self._endpoint_list() if self.fixed_list else [])
        everyone = set(self.backends)
        await wait_until(lambda: all(self.ready(number) == everyone for number in range(self._sidecar_count)))

    async def stop(self) -> None:
        """Stop all parts."""
        self.clients.stop()
        for process in self.processes:
            if process is not None:
                process.task.cancel()
                process.sidecar.endpoint_watcher.source.stop()
                process.sidecar.listener.stop()
        for number in range(len(self.planners)):
            self.kill_planner(number)
        for proxy in self.proxies.values():
            proxy.stop()
        for registrar in self.registrars.values():
            registrar.crash()
        for server in self.backends.values():
            server.kill()
        self.ensemble.stop()
        await asyncio.sleep(0)

    # -- Backends -----------------------------------------------------------------------------------------

    async def start_backend(self, name: str, warmup_s: float = 0.0) -> None:
        """Start and register a backend's process; `warmup_s`: from a cold start to full capacity, 0 if it is warm."""
        number = int(name.rpartition("-")[2])
        pod = number % 2
        speed = SPEED_NAMES[number // 2 % len(SPEED_NAMES)]
        backend = RecordingBackend(
            name,
            self.log,
            now,
            SPEED_RATIOS[speed],
            warmup_s=warmup_s,
            work=work_of_class,
            idempotency_cache=self._idempotency_caches[pod],
        )
        backend.on_arrival = self._record_arrival
        server = BackendServer(backend, (HTTP, MSGPACK_RPC)[pod], pod + 1, speed)
        server.started_ms = int(time.time() * 1000) if warmup_s else 0
        await server.start()
        self.backends[name] = server
        self.register(name)

    def _record_arrival(self, node: str, request_id: str) -> None:
        self._arrivals.append(AttemptArrival(now(), node, request_id))

    def register(self, name: str) -> None:
        """Register a backend at the ensemble."""
        server = self.backends[name]
        registration = Registration(
            server.address,
            server.pod,
            server.machine_type,
            "a",
            server.protocol,
            server.backend.speed,
            f"{name}-{server.started_ms}",
            server.started_ms,
        )
        registrar = Registrar(
            EnsembleConfig(self.ensemble.addresses, self._session_s), REGISTRATION_PATH, name, registration
        )
        self.registrars[name] = registrar
        registrar.start()

    def kill_backend(self, name: str) -> None:
        """Kill a backend's process: its connections are reset, and its session ends when it times out."""
        self._note_collapse(name)
        self.backends[name].kill()
        self.registrars[name].crash()

    async def drain_backend(self, name: str, rejects_after_s: float = 0.7) -> None:
        """Announce a drain, reject new requests some time later, finish those in flight and end the process."""
        await self.registrars[name].drain()
        await asyncio.sleep(rejects_after_s)
        server = self.backends[name]
        server.start_draining()
        await wait_until(lambda: not server.backend.in_flight)
        await self.registrars[name].stop()
        self._note_collapse(name)
        server.kill()

    def _note_collapse(self, name: str) -> None:
        if self.backends[name].backend.collapsed:
            self._collapsed.append(name)

    def session_of(self, name: str) -> int:
        """Return the id of a backend's session at the ensemble."""
        return self.registrars[name]._session.session_id

    def _endpoint_list(self) -> list[DiscoveredServer]:
        """Return the backends as a cached endpoint list."""
        return [
            DiscoveredServer(
                ServerDescription(
                    name,
                    "a",
                    server.machine_type,
                    server.pod,
                    ServerState.READY,
                    server.backend.speed,
                    server.started_ms * 1000 or None,
                ),
                server.address,
                server.protocol,
            )
            for name, server in self.backends.items()
        ]

    # -- Sidecars --------------------------------------------------------------------------------------

    async def start_sidecar(self, number: int, cached: list[DiscoveredServer]) -> None:
        """Start a sidecar with a cached endpoint list and wait until it listens."""
        planners = [await self._proxy_address(number, planner) for planner in range(len(self.planners))]
        operator = OperatorConfig(
            MsgpackRpcConfig(accepts_clients=True, calls_servers=True),
            discovery=self._membership(),
            planning=PlanningConfig(tuple(planners), f"f-{number}"),
            status_page_enabled=True,
        )
        components = build_components(operator)
        if self.fixed_list:
            components = replace(components, endpoint_source=lambda config, notify: FixedEndpointSource())
        components = self.notice_log.observe(components, number)
        config = SidecarConfig(
            self._addresses[number],
            ("127.0.0.1", 9),
            self.random.randrange(2**32),
            512,
            self._settings,
            EndpointList(0, True, cached),
        )
        self.notice_log.record(number, config.cached_endpoints)
        sidecar, stop = Sidecar(config, components), asyncio.Event()
        task = asyncio.get_running_loop().create_task(sidecar.run(stop))
        await wait_until(lambda: sidecar.listener.address[1] != 0)
        self._addresses[number] = sidecar.listener.address
        self.processes[number] = SidecarProcess(sidecar, stop, task, now())

    async def restart_sidecar(self, number: int) -> None:
        """Stop a sidecar as the platform does, and start it again with the endpoint list that it had."""
        process = self.processes[number]
        assert process is not None
        self.processes[number] = None  # it gets no calls until it is back
        cached = [
            DiscoveredServer(
                ServerDescription(
                    endpoint.name,
                    server.zone,
                    "",
                    server.cell,
                    server.state,
                    server.nominal_capacity,
                    server.started_at,
                ),
                endpoint.address,
                endpoint.protocol,
            )
            for endpoint in process.sidecar._endpoint_table.endpoints.values()
            if (server := process.sidecar._balancer.servers.by_name[endpoint.name])
        ]
        process.stop.set()
        await process.task
        self._past_runs[number].append((process.started_at, now()))
        self.clients.close_idle(number)
        await self.start_sidecar(number, cached)

    def ready(self, number: int) -> set[str]:
        """Return the backends that a sidecar holds for ready; none while it does not run."""
        process = self.processes[number]
        if process is None:
            return set()
        return {
            server.name
            for server in process.sidecar._balancer.servers.by_name.values()
            if server.state is ServerState.READY
        }

    def sources(self) -> list[Any]:
        """Return the running sidecars' endpoint sources at the ensemble."""
        combined = [
            process.sidecar.endpoint_watcher.source for process in self.processes if process is not None
        ]
        return [
            source._sources[ZOOKEEPER]  # type: ignore[attr-defined]
            for source in combined
            if not isinstance(source, FixedEndpointSource)
        ]

    def _membership(self) -> DiscoveryConfig:
        return DiscoveryConfig(
            (ZOOKEEPER,),
            ZooKeeperConfig(self.ensemble.addresses, REGISTRATION_PATH, "", max(self._session_s, 2.0)),
        )

    # -- Planners --------------------------------------------------------------------------------------

    async def start_planner(self, number: int) -> None:
        """Start a planner, which knows nothing of a former run."""
        name, membership = f"p-{number}", self._membership()
        server = PlannerServer(
            name,
            lambda notify: build_endpoint_source(membership, None, notify),
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
                server.set_leadership,
                number,
            )
            election.start()
            self.elections[number] = election

    def kill_planner(self, number: int) -> None:
        """End a planner, if it runs."""
        server, election = self.planners[number], self.elections[number]
        self.planners[number] = self.elections[number] = None
        if server is not None:
            server.stop()
        if election is not None:
            election.stop()

    def leader(self) -> int | None:
        """Return the number of the planner that leads with the highest epoch, or None."""
        epochs = {
            number: server.planner.epoch for number, server in enumerate(self.planners) if server is not None
        }
        leading = {number: epoch for number, epoch in epochs.items() if epoch is not None}
        return max(leading, key=leading.__getitem__) if leading else None

    async def _proxy_address(self, sidecar: int, planner: int) -> Address:
        """Return the address at which a sidecar reaches a planner, through a proxy of their own."""
        if (sidecar, planner) not in self.proxies:
            proxy = Proxy(self._planner_addresses[planner])
            await proxy.start()
            self.proxies[sidecar, planner] = proxy
        return self.proxies[sidecar, planner].address

    def following(self, number: int) -> FollowerStatus | None:
        """Return which plan a sidecar follows; None while it does not run."""
        process = self.processes[number]
        if process is None or not isinstance(process.sidecar._observer, PlanningClient):
            return None
        return process.sidecar._observer.follower.status(process.sidecar._clock.now())

    def plan_trusts(self) -> list[float]:
        """Return how far each running sidecar follows its plan, from 0 to 1."""
        followed = [self.following(number) for number in range(len(self.processes))]
        return [plan.confidence for plan in followed if plan is not None]

    # -- Calls -----------------------------------------------------------------------------------------

    async def run_load(self, rate: float, over: asyncio.Event) -> None:
        """Start calls at a steady rate a second until `over`, spread over the running sidecars."""
        await self.clients.run(rate, over, self._running_sidecars, self._addresses.__getitem__)

    def _running_sidecars(self) -> list[int]:
        return [number for number, process in enumerate(self.processes) if process is not None]

    # -- Invariants -------------------------------------------------------------------------------------

    def check(self) -> InvariantReport:
        """Check the run so far against the invariants."""
        lifetimes = {number: list(spans) for number, spans in self._past_runs.items()}
        for number, process in enumerate(self.processes):
            if process is not None:
                lifetimes.setdefault(number, []).append((process.started_at, now()))
        for name in self.backends:
            self._note_collapse(name)
        return check_invariants(
            self.clients.calls,
            self._arrivals,
            self.log.runs,
            self.notice_log.notices,
            lifetimes,
            self._collapsed,
        )


class RecordingBackend(Backend):
    """A backend that reports what reaches it, run or not."""

    on_arrival: Callable[[str, str], None]  # called with the backend's name and the request's id

    async def serve(self, request: Message) -> Any:
        """Report the request, then run or reject it."""
        self.on_arrival(self.name, request.request_id)
        return await super().serve(request)


async def wait_until(condition: Callable[[], object], seconds: float = 20.0) -> None:
    """Wait until a condition holds; raise TimeoutError after so many seconds."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)
