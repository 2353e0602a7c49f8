"""The time from a backend deleted or draining in the ensemble to the last request sent to it, over many changes.

    .venv/bin/python -m benchmarks.notification_delay [--changes 200]

One sidecar in this process, under load, with the emulated ensemble and backends that answer at once.  A change counts
from when the ensemble committed it to the last request that reached that backend.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import statistics
import sys
from collections import deque
from collections.abc import Callable

from benchmarks.forward_cost import SETTINGS
from testbed.backend import Backend, BackendServer, RunLog
from testbed.clients import ClientCall, HttpClient
from testbed.wire import HTTP, Address, Message, Reply
from testbed.zookeeper import Ensemble
from topazbank.balancing.events import ServerState
from topazbank.core.components import SidecarConfig
from topazbank.core.endpoint_source import EndpointList
from topazbank.core.sidecar import Sidecar
from topazbank.discovery.registrar import Registrar, RegistrationState
from topazbank.discovery.registration import Registration
from topazbank.discovery.zkclient import EnsembleConfig
from topazbank.operator_config import ZOOKEEPER, DiscoveryConfig, OperatorConfig, ZooKeeperConfig
from topazbank.platform_names import settings_from_wire
from topazbank.wiring import build_components

BACKENDS, CLIENTS = 30, 48  # so many backends that none returns often enough to count as flapping
REGISTRATION_PATH = "/lodge/nodes"
SESSION_S = 20.0
DELAY_MAX_S = 0.5
OBSERVATION_S = 0.15  # after a change, for requests that still arrive; 0.5 s are allowed


class RecordingBackend(Backend):
    """A backend that records when each request reached it."""

    arrivals: list[float]

    async def serve(self, request: Message) -> Reply | None:
        """Record the request, then run it."""
        self.arrivals.append(asyncio.get_running_loop().time())
        return await super().serve(request)


async def start_backend(number: int) -> tuple[RecordingBackend, BackendServer]:
    """Start a backend."""
    backend = RecordingBackend(
        f"n-{number}", RunLog(), asyncio.get_running_loop().time, slots=64, work=lambda request: 0.001
    )
    backend.arrivals = []
    server = BackendServer(backend, HTTP)
    await server.start()
    return backend, server


def start_registrar(ensemble: EnsembleConfig, server: BackendServer) -> Registrar:
    """Register a backend."""
    registration = Registration(server.address, 1, "m", "a", HTTP, 1.0, server.backend.name, 0)
    registrar = Registrar(ensemble, REGISTRATION_PATH, server.backend.name, registration)
    registrar.start()
    return registrar


async def run_client(target: Address, number: int) -> None:
    """Make one call after the other."""
    client = HttpClient(target)
    for count in itertools.count(1):
        await client.call(ClientCall("look", f"{number}-{count}"))


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; raise TimeoutError after 20 s."""
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.001)


class Benchmark:
    """The ensemble, the backends and the sidecar, with clients."""

    def __init__(self) -> None:
        self.ensemble = Ensemble(3)
        self.backends: list[tuple[RecordingBackend, BackendServer]] = []
        self.registrars: list[Registrar] = []
        self.delays_s: dict[str, list[float]] = {"deleted": [], "leaving": []}  # by kind of change
        self._changed: deque[int] = deque(maxlen=BACKENDS - 6)  # backends that were changed of late
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all parts and wait until the sidecar knows all backends."""
        await self.ensemble.start()
        members = self.ensemble.addresses
        self._ensemble_config = EnsembleConfig(members, SESSION_S)
        self.backends = [await start_backend(number) for number in range(BACKENDS)]
        self.registrars = [start_registrar(self._ensemble_config, server) for _, server in self.backends]
        source = ZooKeeperConfig(members, REGISTRATION_PATH, "", SESSION_S)
        operator = OperatorConfig(discovery=DiscoveryConfig((ZOOKEEPER,), source))
        settings = settings_from_wire(SETTINGS)
        config = SidecarConfig(
            ("127.0.0.1", 0), ("127.0.0.1", 9), 1, 512, settings, EndpointList(0, True, [])
        )
        self.sidecar = Sidecar(config, build_components(operator))
        self._tasks.append(asyncio.create_task(self.sidecar.run(asyncio.Event())))
        await wait_until(self._all_ready)
        address = self.sidecar.listener.address
        self._tasks += [asyncio.create_task(run_client(address, number)) for number in range(CLIENTS)]

    def _ready(self) -> set[str]:
        servers = self.sidecar._balancer.servers.by_name.values()
        return {server.name for server in servers if server.state is ServerState.READY}

    def _all_ready(self) -> bool:
        return self._ready() == {backend.name for backend, _ in self.backends}

    async def _pick_busy_backend(self) -> int:
        """Return a backend that gets requests now: the sidecar uses a subset, which grows with the load."""
        candidates = [number for number in range(BACKENDS) if number not in self._changed]
        for backend, _ in self.backends:
            backend.arrivals.clear()

        def arrivals(number: int) -> int:
            return len(self.backends[number][0].arrivals)

        await wait_until(lambda: any(arrivals(number) > 2 for number in candidates))
        return max(candidates, key=arrivals)

    async def change(self, kind: str) -> None:
        """Delete or drain one backend, record the delay, and bring the backend back."""
        number = await self._pick_busy_backend()
        self._changed.append(number)
        backend, server = self.backends[number]
        registrar = self.registrars[number]
        loop = asyncio.get_running_loop()
        if kind == "deleted":
            registrar._task.cancel()  # type: ignore[union-attr]
            started_at = loop.time()
            self.ensemble.expire(registrar._session.session_id)
        else:
            started_at = loop.time()
            await registrar.drain()
        await asyncio.sleep(OBSERVATION_S)
        late = [at for at in backend.arrivals if at > started_at]
        self.delays_s[kind].append((max(late) - started_at) if late else 0.0)
        await registrar.stop()
        await wait_until(lambda: backend.name not in self._ready())
        registrar = self.registrars[number] = start_registrar(self._ensemble_config, server)
        await wait_until(lambda: registrar.state is RegistrationState.REGISTERED)
        await wait_until(self._all_ready)

    def stop(self) -> None:
        """Stop the clients, the sidecar and the ensemble."""
        for task in self._tasks:
            task.cancel()
        self.ensemble.stop()


def print_delays(delays_s: dict[str, list[float]]) -> None:
    """Print the table of delays by kind of change."""
    print(f"{'':<10}{'changes':>9}{'median ms':>11}{'99th ms':>9}{'max ms':>9}")
    for kind, delays in delays_s.items():
        ordered = sorted(delays)
        high = ordered[min(int(len(ordered) * 0.99), len(ordered) - 1)]
        median = statistics.median(ordered)
        print(f"{kind:<10}{len(ordered):>9}{median * 1e3:>11.1f}{high * 1e3:>9.1f}{ordered[-1] * 1e3:>9.1f}")


async def run(changes: int) -> int:
    """Make so many changes by turns, and return the exit code: 1 if a delay is beyond what is allowed."""
    benchmark = Benchmark()
    await benchmark.start()
    for change in range(changes):
        await benchmark.change(("deleted", "leaving")[change % 2])
        if change % 20 == 19:
            print(f"{change + 1} of {changes} changes", file=sys.stderr, flush=True)
    benchmark.stop()
    print_delays(benchmark.delays_s)
    longest_s = max(max(delays) for delays in benchmark.delays_s.values())
    return 0 if longest_s < DELAY_MAX_S else 1


def main() -> int:
    """Parse the command line and run the benchmark."""
    parser = argparse.ArgumentParser(prog="benchmarks.notification_delay", description=__doc__)
    parser.add_argument("--changes", type=int, default=200)
    return asyncio.run(run(parser.parse_args().changes))


if __name__ == "__main__":
    sys.exit(main())
