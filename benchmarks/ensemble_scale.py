"""Many nodes and many sidecars on one ensemble: memory, CPU, and what the ensemble is asked.

    .venv/bin/python -m benchmarks.ensemble_scale [--nodes 1000] [--clients 200] [--outage 10]

The stand-in ensemble of three members, the nodes' sessions, the clients (the sidecars' membership source and nothing
else) and one whole sidecar run as processes of their own.  At rest, through an outage, and after all clients' sessions
were ended, each second's requests to the ensemble are counted.  kazoo follows the same nodes in a process of its own,
beside one of ours.  Bounds are stated in docs/measurements/discovery.md; exit 1 where one is broken.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import resource
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from benchmarks.forward_cost import free_port
from testbed.zookeeper import Ensemble, jute
from topazbank.core.endpoint_source import EndpointList
from topazbank.core.net import Address, parse_address
from topazbank.discovery.registrar import Registrar, RegistrationState
from topazbank.discovery.registration import Registration
from topazbank.discovery.registration_view import Connectivity
from topazbank.discovery.zkclient import EnsembleConfig
from topazbank.discovery.zookeeper import ZooKeeperSource

PATH = "/lodge/nodes"
SESSION_S = 6.0
CLIENT_PROCESSES = 4
REST_S = 10.0
PINGS_A_SESSION = 3.0 / SESSION_S  # a second
NAMES = {
    jute.__dict__[name]: name.lower()
    for name in ("PING", "SYNC", "GET_DATA", "GET_CHILDREN2", "SET_WATCHES", "CREATE")
    if name in jute.__dict__
}

# -- The parts, each a process that takes commands and tells of itself in JSON lines ------------------


def used() -> dict[str, float]:
    """Resident memory in MB and CPU seconds so far."""
    with open("/proc/self/status", encoding="ascii") as file:
        rss = int(next(line for line in file if line.startswith("VmRSS")).split()[1]) / 1024
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {"mb": round(rss, 1), "cpu_s": round(usage.ru_utime + usage.ru_stime, 4)}


def say(**what: Any) -> None:
    print(json.dumps(what), flush=True)


async def commands() -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    return reader


async def ensemble_part() -> None:
    ensemble = Ensemble(3)
    await ensemble.start()
    say(hosts=ensemble.hosts)

    async def count() -> None:
        before: Counter[int] = Counter()
        while True:
            await asyncio.sleep(1.0)
            new = ensemble.requests - before
            before = Counter(ensemble.requests)
            by_name: Counter[str] = Counter()
            for operation, number in new.items():
                by_name[NAMES.get(operation, "other")] += number
            say(second=by_name, **used())

    counting = asyncio.create_task(count())
    reader = await commands()
    while line := await reader.readline():
        name, *given = json.loads(line)
        if name == "expire_but":  # all sessions but those that hold nodes
            assert ensemble.leader is not None
            holding = set(ensemble.leader.tree.ephemerals)
            for ident in [each for each in ensemble.sessions if each not in holding]:
                ensemble.expire(ident)
        else:
            getattr(ensemble, name)(*given)
    counting.cancel()


async def nodes_part(members: tuple[Address, ...], count: int) -> None:
    made = []
    for number in range(count):
        address = ("127.0.0.1", 10_000 + number)
        registration = Registration(address, number % 7, "std", "a", "http", 1.0, f"life-{number}", 0)
        made.append(
            Registrar(EnsembleConfig(members, SESSION_S), PATH, f"n-{number:05}", registration, seed=number)
        )
        made[-1].start()
        if number % 50 == 49:
            await asyncio.sleep(0.05)
    while True:
        await asyncio.sleep(0.2)
        say(there=sum(each.state is RegistrationState.REGISTERED for each in made))


async def clients_part(members: tuple[Address, ...], first: int, count: int) -> None:
    heard = [0.0]

    def told(what: EndpointList | None) -> None:
        heard[0] = time.monotonic()

    made = []
    for number in range(first, first + count):
        made.append(ZooKeeperSource(EnsembleConfig(members, SESSION_S), PATH, told, number))
        made[-1].follow(True)
    while True:
        await asyncio.sleep(0.2)
        sizes = [len(each.view.nodes) - len(each.view._unread) for each in made]
        live = sum(each.view.connectivity is Connectivity.CONNECTED for each in made)
        say(known=min(sizes), live=live, **used())


def kazoo_part(members: tuple[Address, ...]) -> None:
    from kazoo.client import KazooClient

    client = KazooClient(",".join(f"{host}:{port}" for host, port in members), timeout=SESSION_S)
    client.start()
    known: dict[str, bytes | None] = {}

    def follow(name: str) -> None:
        @client.DataWatch(f"{PATH}/{name}")  # type: ignore[untyped-decorator]
        def changed(data: bytes | None, stat: object) -> None:
            known[name] = data

    @client.ChildrenWatch(PATH)  # type: ignore[untyped-decorator]
    def listed(names: list[str]) -> None:
        for name in names:
            if name not in known:
                known[name] = None
                follow(name)

    while True:
        time.sleep(0.2)
        say(known=sum(data is not None for data in known.values()), live=int(client.connected), **used())


# -- What drives them --------------------------------------------------------------------------------


class Part:
    """One process, and the newest that it told of each thing."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.told: dict[str, Any] = {}
        self.seconds: list[dict[str, int]] = []
        self._reading = asyncio.create_task(self._read())

    @classmethod
    async def start(cls, *arguments: str) -> Part:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.ensemble_scale",
            *arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        return cls(process)

    async def _read(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            said = json.loads(line)
            self.told |= said
            if "second" in said:
                self.seconds.append(said["second"])

    def do(self, *command: Any) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(command).encode() + b"\n")

    async def until(self, what: str, least: Any, seconds: float = 180.0) -> float:
        """Wait for a figure to be so large; give how long that took."""
        began = time.monotonic()
        async with asyncio.timeout(seconds):
            while what not in self.told or self.told[what] < least:
                await asyncio.sleep(0.05)
        return time.monotonic() - began

    async def stop(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        self._reading.cancel()


class Usage:
    """CPU of a process between two moments, from /proc."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.began, self.cpu = time.monotonic(), self._cpu()

    def _cpu(self) -> float:
        fields = Path(f"/proc/{self.pid}/stat").read_text(encoding="ascii").rpartition(") ")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def share(self) -> float:
        return (self._cpu() - self.cpu) / (time.monotonic() - self.began)

    def spent(self) -> float:
        return self._cpu() - self.cpu

    def mb(self) -> float:
        with open(f"/proc/{self.pid}/status", encoding="ascii") as file:
            return int(next(line for line in file if line.startswith("VmRSS")).split()[1]) / 1024


@contextlib.asynccontextmanager
async def whole_sidecar(hosts: str) -> Any:
    """The program itself with the ensemble as its source."""
    root = Path(__file__).parent.parent
    given = json.loads((root / "deploy" / "example.json").read_text(encoding="utf-8"))
    given |= {"listen": f"127.0.0.1:{free_port()}", "discovery": "127.0.0.1:9"}
    members = ", ".join(f'"{each}"' for each in hosts.split(","))
    with tempfile.TemporaryDirectory() as folder:
        config, operator = Path(folder) / "config.json", Path(folder) / "operator.toml"
        config.write_text(json.dumps(given), encoding="utf-8")
        operator.write_text(
            f'[membership]\nsources = ["zookeeper"]\n[membership.zookeeper]\nmembers = [{members}]\n'
            f'path = "{PATH}"\n',
            encoding="utf-8",
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "topazbank",
            "--operator",
            str(operator),
            env={**os.environ, "RELAY_CONFIG": str(config)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            yield process.pid
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


def total(second: dict[str, int]) -> int:
    return sum(second.values())


def worst(seconds: list[dict[str, int]]) -> dict[str, int]:
    return max(seconds, key=total, default={})


async def run(nodes: int, clients: int, outage_s: float) -> int:
    ensemble = await Part.start("--role", "ensemble")
    while "hosts" not in ensemble.told:
        await asyncio.sleep(0.05)
    hosts = ensemble.told["hosts"]
    place = ["--hosts", hosts]
    parts = [ensemble]
    noted = await Part.start("--role", "nodes", "--nodes", str(nodes), *place)
    parts.append(noted)
    print(f"{nodes} nodes register ...", flush=True)
    await noted.until("there", nodes)
    rows: list[tuple[str, str]] = []
    broken = []
    try:
        print("one client, kazoo and a whole sidecar ...", flush=True)
        bare = await Part.start("--role", "bare")
        single = await Part.start("--role", "clients", "--clients", "1", *place)
        kazoo = await Part.start("--role", "kazoo", *place)
        parts += [bare, single, kazoo]
        await bare.until("mb", 1)
        for part in (single, kazoo):
            await part.until("known", nodes)
        async with whole_sidecar(hosts) as pid:
            await asyncio.sleep(3.0)
            first = {"ours": single.told["cpu_s"], "kazoo": kazoo.told["cpu_s"]}
            usages = {"ours": Usage(single.process.pid), "kazoo": Usage(kazoo.process.pid)}
            sidecar = Usage(pid)
            await asyncio.sleep(REST_S)
            for name, part in (("ours", single), ("kazoo", kazoo)):
                added = part.told["mb"] - bare.told["mb"]
                rows.append((f"{name}: memory over a bare process, MB", f"{added:.1f}"))
                rows.append((f"{name}: CPU to the first list, s", f"{first[name]:.2f}"))
                rows.append((f"{name}: CPU at rest, ms a second", f"{usages[name].share() * 1e3:.1f}"))
            ensemble.do("outage")
            await asyncio.sleep(1.0)
            usages = {"ours": Usage(single.process.pid), "kazoo": Usage(kazoo.process.pid)}
            ensemble.do("restore")
            await asyncio.sleep(8.0)
            for name, usage in usages.items():
                rows.append((f"{name}: CPU to be back after an outage, s", f"{usage.spent():.2f}"))
            rows.append(("whole sidecar: memory, MB", f"{sidecar.mb():.1f}"))
            await kazoo.stop()
            print(f"{clients} clients ...", flush=True)
            each = (clients - 2) // CLIENT_PROCESSES
            began = len(ensemble.seconds)
            many = [
                await Part.start(
                    "--role",
                    "clients",
                    "--clients",
                    str(each),
                    "--first",
                    str(number * each),
                    *place,
                )
                for number in range(CLIENT_PROCESSES)
            ]
            parts += many
            took = 0.0
            for part in many:
                took += await part.until("known", nodes)
            rows.append((f"{clients} clients' first lists: s until all have them", f"{took:.1f}"))
            rows.append(("  requests in the worst second", f"{total(worst(ensemble.seconds[began:]))}"))
            await asyncio.sleep(2.0)
            print("at rest ...", flush=True)
            began = len(ensemble.seconds)
            sidecar, cpu = Usage(pid), [Usage(part.process.pid) for part in many]
            await asyncio.sleep(REST_S)
            rest = worst(ensemble.seconds[began:])
            share = sum(usage.share() for usage in cpu) / (each * CLIENT_PROCESSES)
            memory = sum(part.told["mb"] - bare.told["mb"] for part in many) / (each * CLIENT_PROCESSES)
            rows.append(("at rest: requests in the worst second", f"{total(rest)} {dict(rest)}"))
            rows.append(("at rest: CPU a client, ms a second", f"{share * 1e3:.2f}"))
            rows.append(("at rest: CPU of the whole sidecar, ms a second", f"{sidecar.share() * 1e3:.2f}"))
            rows.append(("memory a client, MB", f"{memory:.2f}"))
            sessions = nodes + clients
            rows.append(("  on average: pings of all sessions", f"{sessions * PINGS_A_SESSION:.0f}"))
            bound = sessions + 10
            rows.append(("  bound: one a session in any second", str(bound)))
            if total(rest) > bound:
                broken.append("at rest")
            print(f"an outage of {outage_s:g} s ...", flush=True)
            ensemble.do("outage")
            await asyncio.sleep(outage_s)
            for part in many:
                part.told.pop("live", None)
            began = len(ensemble.seconds)
            ensemble.do("restore")
            sidecar = Usage(pid)
            await asyncio.sleep(0.5)
            took = 0.5
            for part in many:
                took += await part.until("live", each)
            await asyncio.sleep(5.0)
            back = worst(ensemble.seconds[began:])
            rows.append(("after the outage: s until all clients are in touch", f"{took:.1f}"))
            rows.append(("  requests in the worst second", f"{total(back)} {dict(back)}"))
            rows.append(("  CPU of the whole sidecar, s", f"{sidecar.spent():.2f}"))
            bound = 6 * sessions
            rows.append(("  bound: 6 a session", str(bound)))
            if total(back) > bound:
                broken.append("after the outage")
            print("all clients' sessions end ...", flush=True)
            began = len(ensemble.seconds)
            ensemble.do("expire_but")
            await asyncio.sleep(1.0)
            took = 1.0
            for part in many:
                part.told.pop("known", None)
            for part in many:
                took += await part.until("known", nodes)
            await asyncio.sleep(1.0)
            anew = worst(ensemble.seconds[began:])
            rows.append(("all sessions ended: s until all have read all again", f"{took:.1f}"))
            rows.append(("  requests in the worst second", f"{total(anew)} {dict(anew)}"))
            rows.append(("whole sidecar at the end: memory, MB", f"{sidecar.mb():.1f}"))
    finally:
        for part in parts:
            await part.stop()
    for name, value in rows:
        print(f"{name:<56}{value}")
    print("bounds: " + (", ".join(broken) + " broken" if broken else "kept"))
    return 1 if broken else 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.ensemble_scale", description=__doc__)
    parser.add_argument("--nodes", type=int, default=1000)
    parser.add_argument("--clients", type=int, default=200)
    parser.add_argument("--outage", type=float, default=10.0, metavar="SECONDS")
    parser.add_argument("--role", choices=("ensemble", "nodes", "clients", "kazoo", "bare"))
    parser.add_argument("--hosts", default="")
    parser.add_argument("--first", type=int, default=0)
    given = parser.parse_args()
    members = tuple(parse_address(each) for each in given.hosts.split(",") if each)
    if given.role == "ensemble":
        asyncio.run(ensemble_part())
    elif given.role == "nodes":
        asyncio.run(nodes_part(members, given.nodes))
    elif given.role == "clients":
        asyncio.run(clients_part(members, given.first, given.clients))
    elif given.role == "kazoo":
        kazoo_part(members)
    elif given.role == "bare":
        say(**used())
        time.sleep(10_000)
    else:
        return asyncio.run(run(given.nodes, given.clients, given.outage))
    return 0


if __name__ == "__main__":
    sys.exit(main())
