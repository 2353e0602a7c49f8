"""One process of benchmarks.ensemble_scale; each reports in JSON lines on its output.

The ensemble reads commands, JSON arrays, on its input: a fault's name and arguments, or `expire_but`, which expires all
sessions but those that own a registered node.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import sys
import time
from collections import Counter
from collections.abc import Sequence
from typing import Any

from testbed.zookeeper import Ensemble, jute
from topazbank.core.endpoint_source import EndpointList
from topazbank.core.net import Address, parse_address
from topazbank.discovery.registrar import Registrar, RegistrationState
from topazbank.discovery.registration import Registration
from topazbank.discovery.registration_view import Connectivity
from topazbank.discovery.zkclient import EnsembleConfig
from topazbank.discovery.zookeeper import ZooKeeperSource

PATH = "/lodge/nodes"
SESSION_TIMEOUT_S = 6.0
ROLES = ("ensemble", "nodes", "clients", "kazoo", "bare")
_REPORT_INTERVAL_S = 0.2
_REGISTRATIONS_PER_PAUSE = 50
_OPERATION_NAMES = {
    jute.PING: "ping",
    jute.SYNC: "sync",
    jute.GET_DATA: "get_data",
    jute.GET_CHILDREN2: "get_children2",
    jute.SET_WATCHES: "set_watches",
    jute.CREATE: "create",
}


def resource_usage() -> dict[str, float]:
    """Resident memory in MB, and CPU seconds so far."""
    with open("/proc/self/status", encoding="ascii") as file:
        rss_mb = int(next(line for line in file if line.startswith("VmRSS")).split()[1]) / 1024
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {"mb": round(rss_mb, 1), "cpu_s": round(usage.ru_utime + usage.ru_stime, 4)}


def report(**figures: Any) -> None:
    """Print figures as a line of JSON."""
    print(json.dumps(figures), flush=True)


async def _input() -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def run_ensemble() -> None:
    """An ensemble of three members; reports the requests of each second."""
    ensemble = Ensemble(3)
    await ensemble.start()
    report(hosts=ensemble.hosts)
    reporting = asyncio.create_task(_report_requests(ensemble))
    reader = await _input()
    while line := await reader.readline():
        name, *arguments = json.loads(line)
        if name == "expire_but":
            _expire_clients(ensemble)
        else:
            getattr(ensemble, name)(*arguments)
    reporting.cancel()


async def _report_requests(ensemble: Ensemble) -> None:
    before: Counter[int] = Counter()
    while True:
        await asyncio.sleep(1.0)
        requests = ensemble.requests - before
        before = Counter(ensemble.requests)
        by_name: Counter[str] = Counter()
        for operation, count in requests.items():
            by_name[_OPERATION_NAMES.get(operation, "other")] += count
        report(second=by_name, **resource_usage())


def _expire_clients(ensemble: Ensemble) -> None:
    assert ensemble.leader is not None
    owners = set(ensemble.leader.tree.ephemerals)
    for session_id in [one for one in ensemble.sessions if one not in owners]:
        ensemble.expire(session_id)


async def run_nodes(members: tuple[Address, ...], count: int) -> None:
    """Registered nodes; reports how many are registered."""
    registrars = []
    for number in range(count):
        address = ("127.0.0.1", 10_000 + number)
        registration = Registration(address, number % 7, "std", "a", "http", 1.0, f"life-{number}", 0)
        config = EnsembleConfig(members, SESSION_TIMEOUT_S)
        registrars.append(Registrar(config, PATH, f"n-{number:05}", registration, seed=number))
        registrars[-1].start()
        if number % _REGISTRATIONS_PER_PAUSE == _REGISTRATIONS_PER_PAUSE - 1:
            await asyncio.sleep(0.05)
    while True:
        await asyncio.sleep(_REPORT_INTERVAL_S)
        report(registered=sum(one.state is RegistrationState.REGISTERED for one in registrars))


def _ignore(update: EndpointList | None) -> None:
    """The list itself is not needed."""


async def run_clients(members: tuple[Address, ...], first: int, count: int) -> None:
    """Sidecars' sources; reports the nodes that all have read, and how many sources are connected."""
    sources = []
    for number in range(first, first + count):
        config = EnsembleConfig(members, SESSION_TIMEOUT_S)
        sources.append(ZooKeeperSource(config, PATH, _ignore, number))
        sources[-1].watch(True)
    while True:
        await asyncio.sleep(_REPORT_INTERVAL_S)
        read = min(len(source.view.nodes) - len(source.view._unread) for source in sources)
        connected = sum(source.view.connectivity is Connectivity.CONNECTED for source in sources)
        report(known=read, connected=connected, **resource_usage())


def run_kazoo(members: tuple[Address, ...]) -> None:
    """Kazoo's client with its watch recipes; reports as a source does."""
    from kazoo.client import KazooClient

    hosts = ",".join(f"{host}:{port}" for host, port in members)
    client = KazooClient(hosts, timeout=SESSION_TIMEOUT_S)
    client.start()
    known: dict[str, bytes | None] = {}

    def follow(name: str) -> None:
        @client.DataWatch(f"{PATH}/{name}")  # type: ignore[untyped-decorator]
        def data_changed(data: bytes | None, stat: object) -> None:
            known[name] = data

    @client.ChildrenWatch(PATH)  # type: ignore[untyped-decorator]
    def children_changed(names: list[str]) -> None:
        for name in names:
            if name not in known:
                known[name] = None
                follow(name)

    while True:
        time.sleep(_REPORT_INTERVAL_S)
        read = sum(data is not None for data in known.values())
        report(known=read, connected=int(client.connected), **resource_usage())


def run_bare() -> None:
    """A process that has imported the same modules and does nothing."""
    report(**resource_usage())
    time.sleep(10_000)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one process until it is killed."""
    parser = argparse.ArgumentParser(prog="benchmarks.ensemble_processes", description=__doc__)
    parser.add_argument("--role", choices=ROLES, required=True)
    parser.add_argument("--hosts", default="")
    parser.add_argument("--nodes", type=int, default=1000)
    parser.add_argument("--clients", type=int, default=200)
    parser.add_argument("--first", type=int, default=0)
    options = parser.parse_args(arguments)
    members = tuple(parse_address(host) for host in options.hosts.split(",") if host)
    if options.role == "ensemble":
        asyncio.run(run_ensemble())
    elif options.role == "nodes":
        asyncio.run(run_nodes(members, options.nodes))
    elif options.role == "clients":
        asyncio.run(run_clients(members, options.first, options.clients))
    elif options.role == "kazoo":
        run_kazoo(members)
    else:
        run_bare()


if __name__ == "__main__":
    main()
