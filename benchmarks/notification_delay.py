"""From a node deleted or leaving in the ensemble to nothing new sent there, over many changes under load.

    .venv/bin/python -m benchmarks.notification_delay [--changes 200]

One sidecar in this process, over the stand-in ensemble and nodes that answer at once. A change counts from when the
ensemble committed it to the last request that reached that node after it.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
from collections import deque
from typing import Any

from benchmarks.forward_cost import SETTINGS
from testbed.backend import Backend, BackendServer, RunLog
from testbed.clients import ClientCall, HttpClient
from testbed.wire import HTTP, Message, Reply
from testbed.zookeeper import Ensemble
from topazbank.balancing.events import ServerState
from topazbank.core.components import SidecarConfig
from topazbank.core.endpoint_source import EndpointList
from topazbank.core.sidecar import Sidecar
from topazbank.discovery.registrar import Registrar, RegistrationState
from topazbank.discovery.registration import Registration
from topazbank.discovery.zkclient import EnsembleConfig
from topazbank.operator_config import ZOOKEEPER, Membership, OperatorConfig, ZooKeeper
from topazbank.platform_names import settings_from_wire
from topazbank.wiring import wire

NODES, CALLERS = 30, 48  # so many that none comes back often enough to be held out as one that flaps
PATH = "/lodge/nodes"
WATCH_S = 0.15  # after a change, how long the node is watched for something new; the rule allows 0.5


class Noting(Backend):
    """A node that notes when each request reached it."""

    reached: list[float]

    async def serve(self, asked: Message) -> Reply | None:
        self.reached.append(asyncio.get_running_loop().time())
        return await super().serve(asked)


async def node(number: int) -> tuple[Noting, BackendServer]:
    lodge = Noting(
        f"n-{number}", RunLog(), asyncio.get_running_loop().time, slots=64, work=lambda asked: 0.001
    )
    lodge.reached = []
    server = BackendServer(lodge, HTTP)
    await server.start()
    return lodge, server


def registrar(where: EnsembleConfig, server: BackendServer) -> Registrar:
    registration = Registration(server.address, 1, "m", "a", HTTP, 1.0, server.lodge.name, 0)
    made = Registrar(where, PATH, server.lodge.name, registration)
    made.start()
    return made


async def load(target: Any, number: int) -> None:
    caller = HttpClient(target)
    count = 0
    while True:
        count += 1
        await caller.call(ClientCall("look", f"{number}-{count}"))


async def until(condition: Any) -> None:
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.001)


async def run(changes: int) -> int:
    ensemble = Ensemble(3)
    await ensemble.start()
    members = ensemble.addresses
    where = EnsembleConfig(members, 20.0)
    nodes = [await node(number) for number in range(NODES)]
    registrars = [registrar(where, server) for _, server in nodes]
    operator = OperatorConfig(membership=Membership((ZOOKEEPER,), ZooKeeper(members, PATH, "", 20.0)))
    config = SidecarConfig(
        ("127.0.0.1", 0), ("127.0.0.1", 9), 1, 512, settings_from_wire(SETTINGS), EndpointList(0, True, [])
    )
    sidecar = Sidecar(config, wire(operator))
    tasks = [asyncio.create_task(sidecar.run(asyncio.Event()))]

    def ready() -> set[str]:
        servers = sidecar._balancer.servers.by_name.values()
        return {each.name for each in servers if each.state is ServerState.READY}

    everyone = {lodge.name for lodge, _ in nodes}
    await until(lambda: ready() == everyone)
    tasks += [asyncio.create_task(load(sidecar.listener.address, number)) for number in range(CALLERS)]
    took: dict[str, list[float]] = {"deleted": [], "leaving": []}
    changed: deque[int] = deque(maxlen=NODES - 6)
    loop = asyncio.get_running_loop()
    for change in range(changes):
        # Take a node that requests go to now: the module draws from a reach that grows with what is in flight.
        rested = [each for each in range(NODES) if each not in changed]
        for lodge, _ in nodes:
            lodge.reached.clear()
        await until(lambda rested=rested: any(len(nodes[each][0].reached) > 2 for each in rested))
        index = max(rested, key=lambda each: len(nodes[each][0].reached))
        changed.append(index)
        lodge, server = nodes[index]
        kind = ("deleted", "leaving")[change % 2]
        if kind == "deleted":
            registrars[index]._task.cancel()  # type: ignore[union-attr]
            began = loop.time()
            ensemble.expire(registrars[index]._session.session_id)
        else:
            began = loop.time()
            await registrars[index].drain()
        await asyncio.sleep(WATCH_S)
        late = [at for at in lodge.reached if at > began]
        took[kind].append((max(late) - began) if late else 0.0)
        await registrars[index].stop()
        await until(lambda name=lodge.name: name not in ready())
        registrars[index] = registrar(where, server)
        await until(lambda index=index: registrars[index].state is RegistrationState.REGISTERED)
        await until(lambda: ready() == everyone)
        if change % 20 == 19:
            print(f"{change + 1} of {changes} changes", file=sys.stderr, flush=True)
    for task in tasks:
        task.cancel()
    print(f"{'':<10}{'changes':>9}{'median ms':>11}{'99th ms':>9}{'most ms':>9}")
    for kind, each in took.items():
        ordered = sorted(each)
        high = ordered[min(int(len(ordered) * 0.99), len(ordered) - 1)]
        median = statistics.median(ordered)
        print(f"{kind:<10}{len(each):>9}{median * 1e3:>11.1f}{high * 1e3:>9.1f}{ordered[-1] * 1e3:>9.1f}")
    most = max(max(each) for each in took.values())
    ensemble.stop()
    return 0 if most < 0.5 else 1


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.notification_delay", description=__doc__)
    parser.add_argument("--changes", type=int, default=200)
    return asyncio.run(run(parser.parse_args().changes))


if __name__ == "__main__":
    sys.exit(main())
