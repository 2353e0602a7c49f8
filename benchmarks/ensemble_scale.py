"""Many nodes and many sidecars with one ensemble: memory, CPU, and the ensemble's requests.

    .venv/bin/python -m benchmarks.ensemble_scale [--nodes 1000] [--clients 200] [--outage 10]

The emulated ensemble of three members, the nodes' sessions, the clients (the sidecars' ZooKeeper source and nothing
else) and one whole sidecar run as processes of their own (ensemble_processes.py).  At rest, through an outage, and
after all clients' sessions expired, the requests to the ensemble are counted by the second.  kazoo follows the same
nodes in a process of its own, beside one source of ours.  Bounds are stated in docs/measurements/discovery.md; exit 1
where one is broken.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.ensemble_processes import PATH, SESSION_TIMEOUT_S
from benchmarks.forward_cost import free_port

CLIENT_PROCESSES = 4
REST_S = 10.0
PINGS_PER_SESSION_HZ = 3.0 / SESSION_TIMEOUT_S
REQUESTS_AFTER_OUTAGE_MAX = 6  # a session
REPORT_LIMIT_S = 180.0
ROOT = Path(__file__).parent.parent


class Part:
    """One process, and the newest figures that it has reported."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.figures: dict[str, Any] = {}
        self.seconds: list[dict[str, int]] = []  # the ensemble's requests by operation
        self._reading = asyncio.create_task(self._read())

    @classmethod
    async def start(cls, role: str, *arguments: str) -> Part:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.ensemble_processes",
            "--role",
            role,
            *arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        return cls(process)

    async def _read(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            figures = json.loads(line)
            self.figures |= figures
            if "second" in figures:
                self.seconds.append(figures["second"])

    def command(self, *command: Any) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(command).encode() + b"\n")

    async def wait_for(self, figure: str, minimum: float) -> float:
        """Wait until a figure has reached a minimum; return how long that took, s."""
        started_at = time.monotonic()
        async with asyncio.timeout(REPORT_LIMIT_S):
            while figure not in self.figures or self.figures[figure] < minimum:
                await asyncio.sleep(0.05)
        return time.monotonic() - started_at

    async def stop(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        self._reading.cancel()


class CpuMeter:
    """CPU of a process since now, from /proc."""

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self._started_at, self._cpu_before_s = time.monotonic(), self._cpu_s()

    def _cpu_s(self) -> float:
        stat = Path(f"/proc/{self._pid}/stat").read_text(encoding="ascii")
        fields = stat.rpartition(") ")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def spent_s(self) -> float:
        return self._cpu_s() - self._cpu_before_s

    def share(self) -> float:
        return self.spent_s() / (time.monotonic() - self._started_at)


def memory_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return int(next(line for line in file if line.startswith("VmRSS")).split()[1]) / 1024


def total(second: dict[str, int]) -> int:
    return sum(second.values())


def busiest(seconds: list[dict[str, int]]) -> dict[str, int]:
    return max(seconds, key=total, default={})


@contextlib.asynccontextmanager
async def whole_sidecar(hosts: str) -> AsyncIterator[int]:
    """The program itself with the ensemble as its source; yield its process id."""
    config = json.loads((ROOT / "deploy" / "example.json").read_text(encoding="utf-8"))
    config |= {"listen": f"127.0.0.1:{free_port()}", "discovery": "127.0.0.1:9"}
    members = ", ".join(f'"{host}"' for host in hosts.split(","))
    operator = '[membership]\nsources = ["zookeeper"]\n[membership.zookeeper]\n'
    operator += f'members = [{members}]\npath = "{PATH}"\n'
    with tempfile.TemporaryDirectory() as folder:
        config_path, operator_path = Path(folder) / "config.json", Path(folder) / "operator.toml"
        config_path.write_text(json.dumps(config), encoding="utf-8")
        operator_path.write_text(operator, encoding="utf-8")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "topazbank",
            "--operator",
            str(operator_path),
            env={**os.environ, "RELAY_CONFIG": str(config_path)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            yield process.pid
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


@dataclass(slots=True)
class Results:
    """Figures as printed, and the names of broken bounds."""

    rows: list[tuple[str, str]] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def add(self, name: str, value: str) -> None:
        self.rows.append((name, value))

    def print(self) -> None:
        for name, value in self.rows:
            print(f"{name:<56}{value}")
        print("bounds: " + (", ".join(self.broken) + " broken" if self.broken else "kept"))


class Benchmark:
    """One run; each phase adds its figures to the results."""

    def __init__(self, ensemble: Part, nodes: int, clients: int, outage_s: float) -> None:
        self.ensemble = ensemble
        self.hosts: str = ensemble.figures["hosts"]
        self.nodes = nodes
        self.sessions = nodes + clients
        self.clients_each = (clients - 2) // CLIENT_PROCESSES  # besides one alone and the whole sidecar
        self.clients_requested = clients
        self.outage_s = outage_s
        self.results = Results()
        self.parts = [ensemble]
        self.client_parts: list[Part] = []

    async def start(self, role: str, *arguments: str) -> Part:
        part = await Part.start(role, "--hosts", self.hosts, *arguments)
        self.parts.append(part)
        return part

    async def run(self) -> None:
        print(f"{self.nodes} nodes register ...", flush=True)
        nodes = await self.start("nodes", "--nodes", str(self.nodes))
        await nodes.wait_for("registered", self.nodes)
        print("one client, kazoo and a whole sidecar ...", flush=True)
        bare = await self.start("bare")
        alone = {"ours": await self.start("clients", "--clients", "1"), "kazoo": await self.start("kazoo")}
        await bare.wait_for("mb", 1)
        for part in alone.values():
            await part.wait_for("known", self.nodes)
        async with whole_sidecar(self.hosts) as sidecar:
            await self.compare_with_kazoo(bare, alone)
            self.results.add("whole sidecar: memory, MB", f"{memory_mb(sidecar):.1f}")
            await self.start_clients()
            await self.rest(bare, sidecar)
            await self.outage(sidecar)
            await self.expire_all_clients()
            self.results.add("whole sidecar at the end: memory, MB", f"{memory_mb(sidecar):.1f}")

    async def compare_with_kazoo(self, bare: Part, alone: dict[str, Part]) -> None:
        """`alone`: by client, the process that has one; kazoo's ends with this phase."""
        await asyncio.sleep(3.0)
        first_list_s = {name: part.figures["cpu_s"] for name, part in alone.items()}
        meters = {name: CpuMeter(part.process.pid) for name, part in alone.items()}
        await asyncio.sleep(REST_S)
        for name, part in alone.items():
            added_mb = part.figures["mb"] - bare.figures["mb"]
            self.results.add(f"{name}: memory over a bare process, MB", f"{added_mb:.1f}")
            self.results.add(f"{name}: CPU to the first list, s", f"{first_list_s[name]:.2f}")
            self.results.add(f"{name}: CPU at rest, ms a second", f"{meters[name].share() * 1e3:.1f}")
        self.ensemble.command("outage")
        await asyncio.sleep(1.0)
        meters = {name: CpuMeter(part.process.pid) for name, part in alone.items()}
        self.ensemble.command("restore")
        await asyncio.sleep(8.0)
        for name, meter in meters.items():
            self.results.add(f"{name}: CPU to recover from an outage, s", f"{meter.spent_s():.2f}")
        await alone["kazoo"].stop()

    async def start_clients(self) -> None:
        print(f"{self.clients_requested} clients ...", flush=True)
        first_second = len(self.ensemble.seconds)
        for number in range(CLIENT_PROCESSES):
            first = str(number * self.clients_each)
            part = await self.start("clients", "--clients", str(self.clients_each), "--first", first)
            self.client_parts.append(part)
        took_s = await self.wait_for_clients("known", self.nodes)
        requests = busiest(self.ensemble.seconds[first_second:])
        self.results.add(
            f"{self.clients_requested} clients' first lists: s until all have them", f"{took_s:.1f}"
        )
        self.results.add("  requests in the busiest second", f"{total(requests)}")
        await asyncio.sleep(2.0)

    async def wait_for_clients(self, figure: str, minimum: float) -> float:
        took_s = 0.0
        for part in self.client_parts:
            took_s += await part.wait_for(figure, minimum)
        return took_s

    def forget(self, figure: str) -> None:
        """Wait for a new report of a figure."""
        for part in self.client_parts:
            part.figures.pop(figure, None)

    async def rest(self, bare: Part, sidecar: int) -> None:
        print("at rest ...", flush=True)
        first_second = len(self.ensemble.seconds)
        sidecar_meter = CpuMeter(sidecar)
        meters = [CpuMeter(part.process.pid) for part in self.client_parts]
        await asyncio.sleep(REST_S)
        requests = busiest(self.ensemble.seconds[first_second:])
        clients = self.clients_each * CLIENT_PROCESSES
        share = sum(meter.share() for meter in meters) / clients
        added_mb = sum(part.figures["mb"] - bare.figures["mb"] for part in self.client_parts) / clients
        self.results.add("at rest: requests in the busiest second", f"{total(requests)} {dict(requests)}")
        self.results.add("at rest: CPU a client, ms a second", f"{share * 1e3:.2f}")
        self.results.add(
            "at rest: CPU of the whole sidecar, ms a second", f"{sidecar_meter.share() * 1e3:.2f}"
        )
        self.results.add("memory a client, MB", f"{added_mb:.2f}")
        self.results.add("  on average: pings of all sessions", f"{self.sessions * PINGS_PER_SESSION_HZ:.0f}")
        bound = self.sessions + 10
        self.results.add("  bound: one a session in any second", str(bound))
        if total(requests) > bound:
            self.results.broken.append("at rest")

    async def outage(self, sidecar: int) -> None:
        print(f"an outage of {self.outage_s:g} s ...", flush=True)
        self.ensemble.command("outage")
        await asyncio.sleep(self.outage_s)
        self.forget("connected")
        first_second = len(self.ensemble.seconds)
        self.ensemble.command("restore")
        sidecar_meter = CpuMeter(sidecar)
        await asyncio.sleep(0.5)
        took_s = 0.5 + await self.wait_for_clients("connected", self.clients_each)
        await asyncio.sleep(5.0)
        requests = busiest(self.ensemble.seconds[first_second:])
        self.results.add("after the outage: s until all clients are connected", f"{took_s:.1f}")
        self.results.add("  requests in the busiest second", f"{total(requests)} {dict(requests)}")
        self.results.add("  CPU of the whole sidecar, s", f"{sidecar_meter.spent_s():.2f}")
        bound = REQUESTS_AFTER_OUTAGE_MAX * self.sessions
        self.results.add(f"  bound: {REQUESTS_AFTER_OUTAGE_MAX} a session", str(bound))
        if total(requests) > bound:
            self.results.broken.append("after the outage")

    async def expire_all_clients(self) -> None:
        print("all clients' sessions expire ...", flush=True)
        first_second = len(self.ensemble.seconds)
        self.ensemble.command("expire_but")
        await asyncio.sleep(1.0)
        self.forget("known")
        took_s = 1.0 + await self.wait_for_clients("known", self.nodes)
        await asyncio.sleep(1.0)
        requests = busiest(self.ensemble.seconds[first_second:])
        self.results.add("all sessions expired: s until all nodes are read again", f"{took_s:.1f}")
        self.results.add("  requests in the busiest second", f"{total(requests)} {dict(requests)}")


async def run(nodes: int, clients: int, outage_s: float) -> int:
    ensemble = await Part.start("ensemble")
    while "hosts" not in ensemble.figures:
        await asyncio.sleep(0.05)
    benchmark = Benchmark(ensemble, nodes, clients, outage_s)
    try:
        await benchmark.run()
    finally:
        for part in benchmark.parts:
            await part.stop()
    benchmark.results.print()
    return 1 if benchmark.results.broken else 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.ensemble_scale", description=__doc__)
    parser.add_argument("--nodes", type=int, default=1000)
    parser.add_argument("--clients", type=int, default=200)
    parser.add_argument("--outage", type=float, default=10.0, metavar="SECONDS")
    arguments = parser.parse_args()
    return asyncio.run(run(arguments.nodes, arguments.clients, arguments.outage))


if __name__ == "__main__":
    sys.exit(main())
