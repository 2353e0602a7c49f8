"""Some forwarders of a fleet, with their clients, in one process: `python -m testbed.fleet.worker SPEC`.

SPEC is JSON (`WorkerSpec`).  It prints a line of JSON when all forwarders are up, and one for each line that it reads:
`load` begins the calls, `trusts` gives how far each forwarder follows a plan, `finish` ends the calls and gives all
that was noted.  The end of its input ends it.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from dataclasses import asdict, dataclass
from typing import Any

from testbed.fleet.load_generator import EndpointNoticeLog, LoadGenerator, now
from testbed.wire import Address
from topazbank.core.components import SidecarConfig
from topazbank.core.sidecar import Sidecar
from topazbank.discovery.list_format import parse_list
from topazbank.operator_config import MsgpackRpc, OperatorConfig, Planning
from topazbank.planning.forwarder import Forwarding
from topazbank.platform_names import settings_from_wire
from topazbank.wiring import wire

SOCKETS_PER_SIDECAR = 256  # of each forwarder


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """What a worker is told."""

    first: int  # number of its first forwarder
    count: int
    rate: float  # calls a second to each forwarder
    seed: int
    registry: Address
    planners: list[Address]
    known: dict[str, Any]  # the list from before the start, in the registry's form
    settings: dict[str, Any]


class Worker:
    """The forwarders and clients of one process."""

    def __init__(self, spec: WorkerSpec) -> None:
        self.spec = spec
        self.clients = LoadGenerator(random.Random(spec.seed), f"w{spec.first}")
        names = {each["name"] for each in spec.known["endpoints"]}
        self.ears = EndpointNoticeLog(lambda: names)
        self.sidecars: list[Sidecar] = []
        self._over = asyncio.Event()
        self._stop = asyncio.Event()
        self._began = now()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        settings, known = settings_from_wire(self.spec.settings), parse_list(self.spec.known)
        for number in range(self.spec.first, self.spec.first + self.spec.count):
            planning = Planning(tuple(self.spec.planners), f"f-{number}")
            wiring = self.ears.overhear(
                wire(OperatorConfig(MsgpackRpc(True, True), planning=planning)), number
            )
            seed = self.spec.seed * 1_000_003 + number
            config = SidecarConfig(
                ("127.0.0.1", 0), self.spec.registry, seed, SOCKETS_PER_SIDECAR, settings, known
            )
            self.ears.hear(number, known)
            sidecar = Sidecar(config, wiring)
            self.sidecars.append(sidecar)
            self._run(sidecar.run(self._stop))

    def _run(self, doing: Any) -> None:
        task = asyncio.get_running_loop().create_task(doing)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def load(self) -> None:
        numbers = range(len(self.sidecars))
        rate = self.spec.rate * len(self.sidecars)
        self._loading = asyncio.get_running_loop().create_task(
            self.clients.load(
                rate, self._over, lambda: numbers, lambda number: self.sidecars[number].listener.address
            )
        )

    def trusts(self) -> list[float]:
        found = []
        for sidecar in self.sidecars:
            watching = sidecar._observer
            if isinstance(watching, Forwarding):
                found.append(watching.follower.following(sidecar._clock.now()).trust)
        return found

    async def finish(self) -> dict[str, Any]:
        self._over.set()
        await self._loading
        return {
            "calls": [asdict(each) | {"body": each.body.decode("latin-1")} for each in self.clients.calls],
            "words": [asdict(each) for each in self.ears.words],
            "began": self._began,
            "ended": now(),
        }

    def stop(self) -> None:
        self.clients.stop()
        for task in self._tasks:
            task.cancel()


async def serve(spec: WorkerSpec) -> None:
    worker = Worker(spec)
    worker.start()
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    said: Any = "up"
    while True:
        print(json.dumps(said), flush=True)
        wanted = (await reader.readline()).decode().strip()
        if wanted == "load":
            worker.load()
            said = "loading"
        elif wanted == "trusts":
            said = worker.trusts()
        elif wanted == "finish":
            said = await worker.finish()
        else:
            break
    worker.stop()


def main() -> None:
    given = json.loads(sys.argv[1])
    given["registry"] = tuple(given["registry"])
    given["planners"] = [tuple(each) for each in given["planners"]]
    asyncio.run(serve(WorkerSpec(**given)))


if __name__ == "__main__":
    main()
