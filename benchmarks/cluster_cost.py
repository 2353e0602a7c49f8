"""What membership costs one sidecar, on against off: CPU and memory at rest, and the CPU of a request.

    python -m benchmarks.cluster_cost [--sizes 5 200 5000] [--rest 10] [--seconds 5] [--rounds 3]

The sidecar is a process as it is deployed; the other members are synthetic (testbed/cluster/synthetic_peers.py).
Each round measures on and off one after the other, in an alternating order, so that a slow spell of the machine
affects both.
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
from typing import Any

from benchmarks.forward_cost import (
    REQUESTS_IN_FLIGHT,
    ROOT,
    SETTINGS,
    WARMUP_S,
    process,
    wait_until_listening,
)
from benchmarks.load import Load, cpu_s
from testbed.cluster.synthetic_peers import SyntheticPeers
from testbed.ports import free_addresses, private_loopback_host
from testbed.registry import Registry
from testbed.wire import HTTP, Address, format_address
from topazbank.cluster.__main__ import fetch_status

SETTLE_S = 3.0
HEADER = (
    f"{'members':>8}{'cluster':>9}{'CPU at rest, ms/s':>19}{'resident MB':>18}"
    f"{'CPU us a request':>18}{'counted':>9}"
)


@dataclass(frozen=True, slots=True)
class Cost:
    """The figures of one run."""

    rest_ms: float  # of CPU a second
    memory_mb: float
    request_us: float  # of CPU
    members: int  # that the sidecar counts, itself included; 0 with membership off


def resident_mb(pid: int) -> float:
    """Return a process's resident memory."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return int(next(line for line in file if line.startswith("VmRSS")).split()[1]) / 1024


def _configuration(
    listen: Address, peers: Sequence[Address], registry: Address, ports: Sequence[int]
) -> dict[str, Any]:
    endpoints = [
        {
            "name": f"s-{number}",
            "address": f"127.0.0.1:{port}",
            "zone": "a",
            "type": "m",
            "group": 1,
            "status": "active",
            "weight": 1.0,
            "since_ms": 0,
        }
        for number, port in enumerate(ports)
    ]
    settings = SETTINGS | {"groupSize": len(peers), "me": 0}
    settings["bounds"] = SETTINGS["bounds"] | {"mayTell": True}
    return {
        "listen": format_address(listen),
        "discovery": format_address(registry),
        "seed": "8c1f",
        "settings": settings,
        "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
        "limits": {"sockets": 1024},
        "peer_listen": format_address(peers[0]),
        "peers": [format_address(peer) for peer in peers],
    }


@contextlib.contextmanager
def sidecar(
    on: bool, peers: Sequence[Address], registry: Address, ports: Sequence[int], folder: Path
) -> Iterator[tuple[int, Address]]:
    """Run the sidecar, number 0 of these peers; yield its process id and its address."""
    (listen,) = free_addresses(private_loopback_host(), 1)
    configuration = _configuration(listen, peers, registry, ports)
    (folder / "relay.json").write_text(json.dumps(configuration), encoding="utf-8")
    operator_file = folder / "operator.toml"
    operator_file.write_text(
        f"[admin]\nroster = true\n[tier]\non = {'true' if on else 'false'}\n", encoding="utf-8"
    )
    env = {**os.environ, "RELAY_CONFIG": str(folder / "relay.json")}
    command, compiled = [sys.executable], ROOT / ".venv" / "compiled"
    if (compiled / "stamp").exists():
        command, env = [*command, "-P"], env | {"PYTHONPATH": str(compiled)}
    with process(*command, "-m", "topazbank", "--operator", str(operator_file), env=env) as started:
        yield started.pid, listen


async def measure(
    on: bool, size: int, ports: Sequence[int], arguments: argparse.Namespace, folder: Path
) -> Cost:
    """Run a sidecar in a cluster of this size; return its cost."""
    registry = Registry()
    registry.index = 1
    await registry.start()
    (gossip_address,) = free_addresses(private_loopback_host(), 1, socket.SOCK_DGRAM)
    peers = SyntheticPeers(size, gossip_address)
    await peers.start()
    try:
        addresses = [gossip_address, *peers.addresses]
        with sidecar(on, addresses, registry.address, ports, folder) as (pid, listen):
            await wait_until_listening(listen)
            await peers.introduce()
            await asyncio.sleep(SETTLE_S)
            cpu_before_s = cpu_s(pid)
            await asyncio.sleep(arguments.rest)
            rest_ms = 1000 * (cpu_s(pid) - cpu_before_s) / arguments.rest
            memory_mb = resident_mb(pid)
            members = 0
            if on:
                members = (await asyncio.to_thread(fetch_status, format_address(listen)))["at_most"]
            return Cost(rest_ms, memory_mb, await _request_us(pid, listen, arguments.seconds), members)
    finally:
        peers.stop()
        registry.stop()


async def _request_us(pid: int, listen: Address, seconds: float) -> float:
    """Return the CPU time of a request under load."""
    load = Load(HTTP, listen, REQUESTS_IN_FLIGHT, 1)
    await load.start()
    await asyncio.sleep(WARMUP_S)
    load.statuses.clear()
    cpu_before_s = cpu_s(pid)
    await asyncio.sleep(seconds)
    spent_s, served = cpu_s(pid) - cpu_before_s, load.statuses[200]
    load.running = False
    return 1e6 * spent_s / max(served, 1)


async def run(arguments: argparse.Namespace) -> None:
    """Measure all sizes and print a line for each, on and off."""
    command = [sys.executable, "-m", "benchmarks.forward_cost", "--nodes", HTTP]
    with tempfile.TemporaryDirectory() as folder, process(*command, stdout=subprocess.PIPE) as nodes:
        assert nodes.stdout is not None
        ports = json.loads(nodes.stdout.readline())
        print(HEADER, flush=True)
        for size in arguments.sizes:
            costs: dict[bool, list[Cost]] = {True: [], False: []}
            for number in range(arguments.rounds):
                for on in (True, False) if number % 2 else (False, True):
                    print(f"{size} members, round {number + 1}, {on=} ...", file=sys.stderr, flush=True)
                    costs[on].append(await measure(on, size, ports, arguments, Path(folder)))
            for on, measured in costs.items():
                print_costs(size, on, measured)


def print_costs(size: int, on: bool, costs: Sequence[Cost]) -> None:
    """Print median, minimum and maximum of all rounds."""
    rest = _summary([cost.rest_ms for cost in costs], 1)
    memory = _summary([cost.memory_mb for cost in costs], 1)
    request = _summary([cost.request_us for cost in costs], 0)
    on_off = "on" if on else "off"
    print(f"{size:>8}{on_off:>9}{rest:>19}{memory:>18}{request:>18}{costs[-1].members:>9}", flush=True)


def _summary(values: Sequence[float], digits: int) -> str:
    return f"{statistics.median(values):.{digits}f} ({min(values):.{digits}f}-{max(values):.{digits}f})"


def main() -> None:
    """Run the command."""
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
