"""Processes of a synthetic fleet: sidecars with their clients, or backends that count their connections.

    python -m testbed.fleet.synthetic_worker sidecars|backends SPEC

SPEC is JSON (`SidecarGroupSpec` or `BackendGroupSpec`).  A process prints a line of JSON when it is up, and answers
each line of input, a JSON list of a command and its arguments, with another.  The end of its input ends it.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from testbed.backend import Backend, BackendServer, RunLog
from testbed.clients import ClientCall, HttpClient
from testbed.fleet.child_process import REPLY_BYTES_MAX
from testbed.fleet.invariants import EFFECT_CLASSES
from testbed.fleet.load_generator import CLASS_WEIGHTS, REQUEST_CLASSES
from testbed.ports import private_loopback_host
from testbed.wire import Address
from topazbank.balancing.actions import Action, CheckHealth, Fail, Reject, SendAttempt, SendGossip
from topazbank.balancing.balancer import Balancer
from topazbank.balancing.events import EndpointsUpdated, Event
from topazbank.core.components import SidecarConfig
from topazbank.core.sidecar import Sidecar
from topazbank.core.trace import Trace
from topazbank.discovery.list_format import parse_list
from topazbank.operator_config import OperatorConfig
from topazbank.platform_names import settings_from_wire
from topazbank.wiring import build_components

SIDECARS, BACKENDS = "sidecars", "backends"  # roles of a process
SOCKETS_PER_SIDECAR = 256
WORK_S = 0.01  # of a call, on a standard machine
DEADLINE_S = 2.0
GAUGES = ("open", "open max", "accepted open", "accepted open max")  # counts of now, not since the start

Commands = Mapping[str, Callable[..., Any]]


@dataclass(frozen=True, slots=True)
class SidecarGroupSpec:
    """The sidecars of one process."""

    first: int  # number of the first one
    count: int
    rate: float  # calls a second to each
    seed: int
    registry: Address
    cached_list: dict[str, Any]  # the list from before the start, in the registry's form
    settings: dict[str, Any]


@dataclass(frozen=True, slots=True)
class BackendGroupSpec:
    """The backends of one process."""

    first: int  # number of the first one
    count: int


class CountingTrace(Trace):
    """Counts the decisions of all sidecars of a process."""

    def __init__(self, balancer: Balancer, counts: Counter[str]) -> None:
        super().__init__(balancer, 0, lambda _: None)
        self._counts = counts

    def record(self, now: int, event: Event, actions: Sequence[Action]) -> None:
        """Count one event and the actions that it led to."""
        if isinstance(event, EndpointsUpdated):
            self._counts["endpoint entries"] += len(event.servers)
        for action in actions:
            if isinstance(action, SendAttempt):
                self._counts["attempts"] += 1
            elif isinstance(action, CheckHealth):
                self._counts["health checks"] += 1
            elif isinstance(action, Reject | Fail):
                self._counts["rejected or failed"] += 1
            elif isinstance(action, SendGossip):
                self._counts["gossip messages"] += 1


class SidecarGroup:
    """The sidecars of one process; each has one client that calls it now and then."""

    def __init__(self, spec: SidecarGroupSpec) -> None:
        self.spec = spec
        self.counters: Counter[str] = Counter()
        self._random = random.Random(spec.seed)
        self._settings = settings_from_wire(spec.settings)
        self._running: list[tuple[Sidecar, asyncio.Task[None]]] = []
        self._idle_clients: dict[int, HttpClient] = {}  # by the sidecar's index
        self._calls: set[asyncio.Task[None]] = set()
        self._load_task: asyncio.Task[None] | None = None
        self._call_count = 0

    async def start(self, cached_list: dict[str, Any]) -> None:
        """Start all sidecars at once, each with this endpoint list."""
        components = replace(
            build_components(OperatorConfig()), trace=lambda balancer: CountingTrace(balancer, self.counters)
        )
        cached_endpoints = parse_list(cached_list)
        for number in range(self.spec.first, self.spec.first + self.spec.count):
            seed = self.spec.seed * 1_000_003 + number
            config = SidecarConfig(
                ("127.0.0.1", 0),
                self.spec.registry,
                seed,
                SOCKETS_PER_SIDECAR,
                self._settings,
                cached_endpoints,
            )
            sidecar = Sidecar(config, components)
            task = asyncio.get_running_loop().create_task(sidecar.run(asyncio.Event()))
            self._running.append((sidecar, task))
            await asyncio.sleep(0)  # lets the sidecars that are up go on meanwhile

    async def end(self) -> None:
        """Kill all sidecars; their connections break as those of a process that dies."""
        for client in self._idle_clients.values():
            client.close()
        self._idle_clients.clear()
        ended, self._running = self._running, []  # from here on they get no calls
        for sidecar, task in ended:
            task.cancel()
            sidecar.listener.stop()
            for connection in sidecar.listener.connections:
                connection.abort()
            sidecar.endpoint_watcher.source.stop()
            await sidecar._endpoint_table.close()
        await asyncio.sleep(0)

    def load(self) -> None:
        """Start calls at a steady rate."""
        self._load_task = asyncio.get_running_loop().create_task(self._load())

    async def _load(self) -> None:
        started_at, count, rate = time.monotonic(), 0, self.spec.rate * self.spec.count
        while True:
            count += 1
            await asyncio.sleep(max(started_at + count / rate - time.monotonic(), 0.0))
            if self._running:
                index = self._random.randrange(len(self._running))
                task = asyncio.get_running_loop().create_task(self._call(index))
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)

    async def _call(self, index: int) -> None:
        sidecar = self._running[index][0]
        client = self._idle_clients.pop(index, None) or HttpClient(sidecar.listener.address)
        self.counters["calls"] += 1
        result = await client.call(self._draw_call())
        is_running = index < len(self._running) and self._running[index][0] is sidecar
        was_killed = result.outcome == "lost" and not is_running
        self.counters["cut off" if was_killed else result.outcome] += 1
        if index in self._idle_clients or not is_running:
            client.close()
        else:
            self._idle_clients[index] = client

    def _draw_call(self) -> ClientCall:
        request_class = self._random.choices(REQUEST_CLASSES, CLASS_WEIGHTS)[0]
        self._call_count += 1
        request_id = f"w{self.spec.first}-{self._call_count:07}"
        key = f"key-{request_id}" if request_class == "amend" else None
        body = b"" if request_class == "check" else b"x"
        return ClientCall(request_class, request_id, body=body, deadline_s=DEADLINE_S, idempotency_key=key)

    def counts(self) -> dict[str, int]:
        """Return the counts since the start, and the connections to backends that are open now."""
        open_now = [sidecar._endpoint_table.connection_limit.open_count for sidecar, _ in self._running]
        return dict(self.counters) | {"open": sum(open_now), "open max": max(open_now, default=0)}


class CountingBackendServer(BackendServer):
    """Counts the connections that it has accepted."""

    accepted = 0

    async def _http(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        await super()._http(reader, writer)


class BackendGroup:
    """The backends of one process."""

    def __init__(self, spec: BackendGroupSpec) -> None:
        self.log = RunLog()
        self.servers = [self._create(number) for number in range(spec.first, spec.first + spec.count)]

    def _create(self, number: int) -> CountingBackendServer:
        backend = Backend(
            f"n-{number:04}", self.log, time.monotonic, slots=64, queue=256, work=lambda request: WORK_S
        )
        return CountingBackendServer(backend, pod=number % 8 + 1)

    async def start(self) -> list[dict[str, Any]]:
        """Start all backends and return their entries in the registry.

        They listen at an address that no other process binds.  At 127.0.0.1 the kernel may give the port of a killed
        backend to another process, which would then receive the requests of sidecars that do not know of the kill.
        """
        host = private_loopback_host()
        for server in self.servers:
            await server.start(host)
        return [server.registry_entry() for server in self.servers]

    def kill(self, names: Sequence[str]) -> None:
        """Kill the backends of these names that run here."""
        for server in self.servers:
            if server.backend.name in names:
                server.kill()

    def counts(self) -> dict[str, int]:
        """Return the connections accepted since the start and open now, and the requests that ran twice."""
        open_now = [len(server.connections) for server in self.servers]
        return {
            "accepted": sum(server.accepted for server in self.servers),
            "accepted open": sum(open_now),
            "accepted open max": max(open_now, default=0),
            "duplicate effects": len(self.log.duplicate_effects(EFFECT_CLASSES)),
        }


async def serve_sidecars(spec: SidecarGroupSpec) -> None:
    """Run a group of sidecars until the input ends."""
    group = SidecarGroup(spec)
    await group.start(spec.cached_list)
    await serve_commands({"load": group.load, "counts": group.counts, "end": group.end, "start": group.start})


async def serve_backends(spec: BackendGroupSpec) -> None:
    """Run a group of backends until the input ends."""
    group = BackendGroup(spec)
    entries = await group.start()
    await serve_commands({"entries": lambda: entries, "kill": group.kill, "counts": group.counts})


async def serve_commands(commands: Commands) -> None:
    """Answer each line of input, a command and its arguments, with a line, until the input ends."""
    reader = asyncio.StreamReader(limit=REPLY_BYTES_MAX)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    print("{}", flush=True)
    while line := await reader.readline():
        command, *arguments = json.loads(line)
        reply = commands[command](*arguments)
        if asyncio.iscoroutine(reply):
            reply = await reply
        print(json.dumps(reply), flush=True)


def main() -> None:
    """Run the process of the role and the spec on the command line."""
    role, fields = sys.argv[1], json.loads(sys.argv[2])
    if role == SIDECARS:
        fields["registry"] = tuple(fields["registry"])
        asyncio.run(serve_sidecars(SidecarGroupSpec(**fields)))
    else:
        asyncio.run(serve_backends(BackendGroupSpec(**fields)))


if __name__ == "__main__":
    main()
