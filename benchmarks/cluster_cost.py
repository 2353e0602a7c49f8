"""What membership costs one sidecar: CPU and memory at rest, and a request's CPU, with it on against off, in one run.

    python -m benchmarks.cluster_cost [--sizes 5 200 5000] [--rest 10] [--seconds 5] [--rounds 3]

The sidecar is a process as it is deployed; the other members are stand-ins that answer (testbed/tier/crowd.py).  Each
round plays on and off after one another, in an order that changes, so that a slow spell falls on both.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from benchmarks.forward_cost import (
    REQUESTS_IN_FLIGHT,
    ROOT,
    SETTINGS,
    WARMUP_S,
    process,
    wait_until_listening,
)
from benchmarks.load import Load, cpu_s
from testbed.cluster.synthetic_peers import Crowd
from testbed.ports import free_addresses, private_loopback_host
from testbed.registry import Registry
from testbed.wire import HTTP, Address, format_address
from topazbank.cluster.__main__ import ask_tier

SETTLE_S = 3.0
HEAD = f"{'members':>8}{'tier':>6}{'CPU at rest, ms/s':>19}{'resident MB':>13}{'CPU us a request':>18}{'seen':>7}"


@dataclass(frozen=True, slots=True)
class Figure:
    rest_ms: float  # of CPU a second
    memory_mb: float
    request_us: float
    seen: int  # members that it counts, itself included


def resident_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return int(next(line for line in file if line.startswith("VmRSS")).split()[1]) / 1024


@contextlib.contextmanager
def program(
    on: bool, peers: Sequence[Address], registry: Address, ports: list[int], folder: Path
) -> Iterator[tuple[int, Address]]:
    """The sidecar, number 0 of these peers: its process and where it listens."""
    (listen,) = free_addresses(private_loopback_host(), 1)
    entries = [
        {"name": f"s-{n}", "address": f"127.0.0.1:{port}", "zone": "a", "type": "m", "group": 1}
        | {"status": "active", "weight": 1.0, "since_ms": 0}
        for n, port in enumerate(ports)
    ]
    settings = SETTINGS | {"groupSize": len(peers), "me": 0}
    settings["bounds"] = SETTINGS["bounds"] | {"mayTell": True}
    given = {
        "listen": format_address(listen),
        "discovery": format_address(registry),
        "seed": "8c1f",
        "settings": settings,
    }
    given |= {"known": {"index": 1, "snapshot": True, "endpoints": entries}, "limits": {"sockets": 1024}}
    given |= {"peer_listen": format_address(peers[0]), "peers": [format_address(each) for each in peers]}
    (folder / "relay.json").write_text(json.dumps(given), encoding="utf-8")
    operator = folder / "operator.toml"
    operator.write_text(
        f"[admin]\nroster = true\n[tier]\non = {'true' if on else 'false'}\n", encoding="utf-8"
    )
    env = {**os.environ, "RELAY_CONFIG": str(folder / "relay.json")}
    command, compiled = [sys.executable], ROOT / ".venv" / "compiled"
    if (compiled / "stamp").exists():
        command, env = [*command, "-P"], env | {"PYTHONPATH": str(compiled)}
    with process(*command, "-m", "topazbank", "--operator", str(operator), env=env) as started:
        yield started.pid, listen


async def measure(on: bool, size: int, ports: list[int], given: argparse.Namespace, folder: Path) -> Figure:
    registry = Registry()
    registry.index = 1
    await registry.start()
    (here,) = free_addresses(private_loopback_host(), 1, socket.SOCK_DGRAM)
    crowd = Crowd(size, here)
    await crowd.start()
    try:
        with program(on, [here, *crowd.addresses], registry.address, ports, folder) as (pid, listen):
            await wait_until_listening(listen)
            await crowd.introduce()
            await asyncio.sleep(SETTLE_S)
            cpu = cpu_s(pid)
            await asyncio.sleep(given.rest)
            rest_ms = 1000 * (cpu_s(pid) - cpu) / given.rest
            memory = resident_mb(pid)
            seen = 0
            if on:
                seen = (await asyncio.to_thread(ask_tier, format_address(listen)))["at_most"]
            return Figure(rest_ms, memory, await _request_us(pid, listen, given.seconds), seen)
    finally:
        crowd.stop()
        registry.stop()


async def _request_us(pid: int, listen: Address, seconds: float) -> float:
    load = Load(HTTP, listen, REQUESTS_IN_FLIGHT, 1)
    await load.start()
    await asyncio.sleep(WARMUP_S)
    load.statuses.clear()
    cpu = cpu_s(pid)
    await asyncio.sleep(seconds)
    spent, served = cpu_s(pid) - cpu, load.statuses[200]
    load.running = False
    return 1e6 * spent / max(served, 1)


async def run(given: argparse.Namespace) -> None:
    command = [sys.executable, "-m", "benchmarks.forward_cost", "--nodes", HTTP]
    with tempfile.TemporaryDirectory() as folder, process(*command, stdout=subprocess.PIPE) as nodes:
        assert nodes.stdout is not None
        ports = json.loads(nodes.stdout.readline())
        print(HEAD, flush=True)
        for size in given.sizes:
            figures: dict[bool, list[Figure]] = {True: [], False: []}
            for number in range(given.rounds):
                for on in (True, False) if number % 2 else (False, True):
                    print(f"{size} members, round {number + 1}, {on=} ...", file=sys.stderr, flush=True)
                    figures[on].append(await measure(on, size, ports, given, Path(folder)))
            for on, found in figures.items():
                report(size, on, found)


def report(size: int, on: bool, found: Sequence[Figure]) -> None:
    def spread(of: Sequence[float], digits: int) -> str:
        return f"{statistics.median(of):.{digits}f} ({min(of):.{digits}f}-{max(of):.{digits}f})"

    rest, memory = spread([each.rest_ms for each in found], 1), spread([each.memory_mb for each in found], 1)
    request = spread([each.request_us for each in found], 0)
    print(
        f"{size:>8}{'on' if on else 'off':>6}{rest:>19}{memory:>18}{request:>18}{found[-1].seen:>7}",
        flush=True,
    )


def main() -> None:
    parser = argparse.ArgumentParser(
        prog="benchmarks.cluster_cost", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument("--sizes", type=int, nargs="*", default=[5, 200, 5000])
    parser.add_argument("--rest", type=float, default=10.0, help="seconds at rest that are measured")
    parser.add_argument("--seconds", type=float, default=5.0, help="under load")
    parser.add_argument("--rounds", type=int, default=3)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
