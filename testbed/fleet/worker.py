"""Some forwarders of a fleet, with their clients, in one process: `python -m testbed.fleet.worker SPEC`.

SPEC is JSON (`WorkerSpec`).  The process prints a line of JSON when all forwarders are up, and one for each line of
input: `load` starts the calls, `trusts` returns how far each forwarder follows a plan, `finish` ends the calls and
returns all records.  The end of its input ends it.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections.abc import Coroutine
from dataclasses import asdict, dataclass
from typing import Any

from testbed.fleet.load_generator import EndpointNoticeLog, LoadGenerator, now
from testbed.wire import Address
from topazbank.core.components import SidecarConfig
from topazbank.core.sidecar import Sidecar
from topazbank.discovery.list_format import parse_list
from topazbank.operator_config import MsgpackRpcConfig, OperatorConfig, PlanningConfig
from topazbank.planning.forwarder import PlanningClient
from topazbank.platform_names import settings_from_wire
from topazbank.wiring import build_components

SOCKETS_PER_SIDECAR = 256


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """The forwarders of one process."""

    first: int  # number of the first one
    count: int
    rate: float  # calls a second to each forwarder
    seed: int
    registry: Address
    planners: list[Address]
    cached_list: dict[str, Any]  # the list from before the start, in the registry's form
    settings: dict[str, Any]


class Worker:
    """The forwarders and clients of one process."""

    def __init__(self, spec: WorkerSpec) -> None:
        self.spec = spec
        self.clients = LoadGenerator(random.Random(spec.seed), f"w{spec.first}")
        names = {entry["name"] for entry in spec.cached_list["endpoints"]}
        self.notice_log = EndpointNoticeLog(lambda: names)
        self.sidecars: list[Sidecar] = []
        self._over = asyncio.Event()
        self._stop = asyncio.Event()
        self._started_at = now()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start all forwarders."""
        settings = settings_from_wire(self.spec.settings)
        cached_endpoints = parse_list(self.spec.cached_list)
        for number in range(self.spec.first, self.spec.first + self.spec.count):
            planning = PlanningConfig(tuple(self.spec.planners), f"f-{number}")
            components = self.notice_log.observe(
                build_components(OperatorConfig(MsgpackRpcConfig(True, True), planning=planning)), number
            )
            seed = self.spec.seed * 1_000_003 + number
            config = SidecarConfig(
                ("127.0.0.1", 0), self.spec.registry, seed, SOCKETS_PER_SIDECAR, settings, cached_endpoints
            )
            self.notice_log.record(number, cached_endpoints)
            sidecar = Sidecar(config, components)
            self.sidecars.append(sidecar)
            self._run_in_background(sidecar.run(self._stop))

    def _run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def load(self) -> None:
        """Start the calls."""
        numbers = range(len(self.sidecars))
        rate = self.spec.rate * len(self.sidecars)
        load = self.clients.run(
            rate, self._over, lambda: numbers, lambda number: self.sidecars[number].listener.address
        )
        self._load_task = asyncio.get_running_loop().create_task(load)

    def trusts(self) -> list[float]:
        """Return how far each forwarder follows a plan, from 0 to 1."""
        trusts = []
        for sidecar in self.sidecars:
            observer = sidecar._observer
            if isinstance(observer, PlanningClient):
                trusts.append(observer.follower.status(sidecar._clock.now()).confidence)
        return trusts

    async def finish(self) -> dict[str, Any]:
        """End the calls and return all records."""
        self._over.set()
        await self._load_task
        return {
            "calls": [asdict(call) | {"body": call.body.decode("latin-1")} for call in self.clients.calls],
            "notices": [asdict(notice) for notice in self.notice_log.notices],
            "started_at": self._started_at,
            "ended_at": now(),
        }

    def stop(self) -> None:
        """Cancel all that runs."""
        self.clients.stop()
        for task in self._tasks:
            task.cancel()


async def serve(spec: WorkerSpec) -> None:
    """Start the forwarders and answer commands until the input ends."""
    worker = Worker(spec)
    worker.start()
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    reply: Any = "up"
    while True:
        print(json.dumps(reply), flush=True)
        command = (await reader.readline()).decode().strip()
        if command == "load":
            worker.load()
            reply = "loading"
        elif command == "trusts":
            reply = worker.trusts()
        elif command == "finish":
            reply = await worker.finish()
        else:
            break
    worker.stop()


def main() -> None:
    """Run the process of the spec on the command line."""
    fields = json.loads(sys.argv[1])
    fields["registry"] = tuple(fields["registry"])
    fields["planners"] = [tuple(address) for address in fields["planners"]]
    asyncio.run(serve(WorkerSpec(**fields)))


if __name__ == "__main__":
    main()
