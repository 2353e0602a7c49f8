"""What a request costs the sidecar in CPU, for the four pairs of protocols, beside a bare asyncio forwarder.

    .venv/bin/python -m benchmarks.forward_cost [--seconds 5] [--rounds 3] [--before DIR]

Each round plays every case once, so that a slow spell of the machine falls on all; a case's figure is its median.
`--before DIR` adds HTTP to HTTP by the program of another checkout (with its own .venv or this one's).  Programs run as
they are deployed, from the compiled copy where there is one; one case runs this one's sources as they are.  The load is
closed: 32 requests out at any time, from one process; six nodes answer at once from another.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.load import Bare, HttpNode, Load, RpcNode, cpu_s
from testbed.registry import Registry
from testbed.wire import HTTP, MSGPACK_RPC, Address, format_address

ROOT = Path(__file__).parent.parent
NODES = 6
OUT = 32  # requests out at any time
WARM_S = 1.5
BARE, BEFORE = "bare asyncio forwarder", "http to http, before"
PLAIN = "http to http, not compiled"
WIDTHS = (18, 16, 12, 9, 8, 6)  # of the report's columns
LANES = [
    {"name": "look", "giveUpUs": 2_000_000, "promiseUs": 500_000, "repeat": "read_like", "group": "all"},
    {"name": "pay", "giveUpUs": 2_000_000, "promiseUs": 500_000, "repeat": "non_idempotent", "worth": 10},
    {
        "name": "amend",
        "giveUpUs": 2_000_000,
        "promiseUs": 500_000,
        "repeat": "idempotency_key",
        "group": "cell",
        "memorySpanUs": 2_000_000,
    },
]
SETTINGS: dict[str, Any] = {
    "lanes": LANES,
    "bounds": {"sendCap": 3, "mayCancel": True, "idleCloseUs": 15_000_000, "dialTimeoutUs": 250_000},
    "discovery": "on_request",
    "zone": "a",
}


@dataclass(frozen=True, slots=True)
class Case:
    name: str
    client: str
    nodes: str
    root: Path | None  # whose program; None: the bare forwarder
    compiled: bool = True  # where there is a compiled copy


@dataclass(frozen=True, slots=True)
class Figure:
    cpu_us: float  # of the sidecar, for each request that was answered 200
    served_s: float  # in a second
    refused: int
    failed: int
    memory_mb: float  # resident, the most


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


def serve_nodes(protocol: str, out: Any) -> None:
    """In a process of its own: nodes that answer at once; their ports go to `out`."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        make = HttpNode if protocol == HTTP else RpcNode
        servers = [await loop.create_server(make, "127.0.0.1", 0, backlog=512) for _ in range(NODES)]
        print(json.dumps([each.sockets[0].getsockname()[1] for each in servers]), file=out, flush=True)
        await asyncio.Event().wait()

    asyncio.run(run())


def serve_bare(port: int, node: int) -> None:
    async def run() -> None:
        server = await asyncio.get_running_loop().create_server(
            lambda: Bare(("127.0.0.1", node)), "127.0.0.1", port, backlog=512
        )
        await server.serve_forever()

    asyncio.run(run())


@contextlib.contextmanager
def process(*command: str, cwd: Path = ROOT, **given: Any) -> Iterator[subprocess.Popen[str]]:
    started = subprocess.Popen(command, cwd=cwd, text=True, stderr=subprocess.DEVNULL, **given)
    try:
        yield started
    finally:
        started.send_signal(signal.SIGKILL)
        started.wait()


@contextlib.contextmanager
def program(case: Case, ports: list[int], discovery: Address, folder: Path) -> Iterator[tuple[int, Address]]:
    """The forwarder under test: its process id and where it listens."""
    listen = ("127.0.0.1", free_port())
    if case.root is None:
        command = [sys.executable, "-m", "benchmarks.forward_cost", "--bare", str(listen[1]), str(ports[0])]
        with process(*command) as started:
            yield started.pid, listen
        return
    lines = [
        {"name": f"s-{number}", "address": f"127.0.0.1:{port}", "zone": "a", "type": "m", "group": 1}
        | {"status": "active", "weight": 1.0, "since_ms": 0, "protocol": case.nodes}
        for number, port in enumerate(ports)
    ]
    config = {
        "listen": format_address(listen),
        "discovery": format_address(discovery),
        "seed": "8c1f",
        "settings": SETTINGS,
    }
    config |= {"known": {"index": 1, "snapshot": True, "endpoints": lines}, "limits": {"sockets": 1024}}
    path = folder / "config.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    python, compiled = case.root / ".venv" / "bin" / "python", case.root / ".venv" / "compiled"
    command = [str(python) if python.exists() else sys.executable]
    env = {**os.environ, "RELAY_CONFIG": str(path)}
    if case.compiled and (compiled / "stamp").exists():
        command, env = [*command, "-P"], env | {"PYTHONPATH": str(compiled)}
    command += ["-m", "topazbank"]
    if (case.root / "deploy" / "operator.toml").exists():
        command += ["--operator", "deploy/operator.toml"]
    with process(*command, cwd=case.root, env=env) as started:
        yield started.pid, listen


async def until_up(address: Address) -> None:
    async with asyncio.timeout(20.0):
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*address)
                writer.close()
                return
            await asyncio.sleep(0.05)


def memory_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return int(next(line for line in file if line.startswith("VmHWM")).split()[1]) / 1024


async def measure(case: Case, ports: dict[str, list[int]], seconds: float, folder: Path) -> Figure:
    registry = Registry()
    registry.index = 1
    await registry.start()
    with program(case, ports[case.nodes], registry.address, folder) as (pid, listen):
        await until_up(listen)
        rpc = case.client == MSGPACK_RPC
        load = Load(case.client, listen, 4 if rpc else OUT, OUT // 4 if rpc else 1)
        await load.start()
        await asyncio.sleep(WARM_S)
        load.got.clear()
        began, cpu = asyncio.get_running_loop().time(), cpu_s(pid)
        await asyncio.sleep(seconds)
        spent, took = cpu_s(pid) - cpu, asyncio.get_running_loop().time() - began
        got = dict(load.got)
        load.running = False
        memory = memory_mb(pid)
    registry.stop()
    served, refused = got.get(200, 0), got.get(503, 0)
    return Figure(
        1e6 * spent / max(served, 1), served / took, refused, sum(got.values()) - served - refused, memory
    )


def cases(before: Path | None) -> list[Case]:
    made = [Case(BARE, HTTP, HTTP, None)]
    if before is not None:
        made.append(Case(BEFORE, HTTP, HTTP, before))
    made.append(Case(PLAIN, HTTP, HTTP, ROOT, compiled=False))
    for client in (HTTP, MSGPACK_RPC):
        made += [Case(f"{client} to {nodes}", client, nodes, ROOT) for nodes in (HTTP, MSGPACK_RPC)]
    return made


async def run(given: argparse.Namespace) -> None:
    all_cases = [each for each in cases(given.before) if not given.only or given.only in each.name]
    figures: dict[str, list[Figure]] = {each.name: [] for each in all_cases}
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        ports = {}
        for protocol in (HTTP, MSGPACK_RPC):
            command = [sys.executable, "-m", "benchmarks.forward_cost", "--nodes", protocol]
            nodes = stack.enter_context(process(*command, stdout=subprocess.PIPE))
            assert nodes.stdout is not None
            ports[protocol] = json.loads(nodes.stdout.readline())
        for number in range(given.rounds):
            for case in all_cases:
                print(f"round {number + 1} of {given.rounds}: {case.name} ...", file=sys.stderr, flush=True)
                figures[case.name].append(await measure(case, ports, given.seconds, folder))
    report(figures, given)


def report(figures: dict[str, list[Figure]], given: argparse.Namespace) -> None:
    def median(name: str, what: str) -> float:
        return float(statistics.median(getattr(each, what) for each in figures[name]))

    print(f"{OUT} requests out, {NODES} nodes, medians of {given.rounds} rounds of {given.seconds:g} s")
    print(
        f"{'':<28}{'CPU µs a request':>17}{'(least to most)':>18}{'served a s':>12}{'refused':>9}{'failed':>8}{'MB':>6}"
    )
    for name, each in figures.items():
        spread = [one.cpu_us for one in each]
        refused, failed = sum(one.refused for one in each), sum(one.failed for one in each)
        between = f"{min(spread):.0f} to {max(spread):.0f}"
        columns = (
            f"{median(name, 'cpu_us'):.0f}",
            between,
            f"{median(name, 'served_s'):.0f}",
            f"{refused}",
            f"{failed}",
            f"{median(name, 'memory_mb'):.0f}",
        )
        print(
            f"{name:<28}" + "".join(f"{text:>{width}}" for text, width in zip(columns, WIDTHS, strict=True))
        )
    http = "http to http"
    pairs = ((http, BARE), (http, PLAIN), (http, BEFORE), ("msgpack-rpc to msgpack-rpc", http))
    for over, under in pairs:
        if over in figures and under in figures:
            print(f"{over} / {under}: {median(over, 'cpu_us') / median(under, 'cpu_us'):.2f}")


def main() -> None:
    parser = argparse.ArgumentParser(prog="benchmarks.forward_cost", description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0, help="that each case is measured in a round")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--before", type=Path, metavar="DIR", help="another checkout, for HTTP to HTTP")
    parser.add_argument("--only", metavar="TEXT", help="only the cases with this in their name")
    parser.add_argument("--nodes", choices=(HTTP, MSGPACK_RPC), help=argparse.SUPPRESS)
    parser.add_argument("--bare", nargs=2, type=int, help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.nodes:
        serve_nodes(given.nodes, sys.stdout)
    elif given.bare:
        serve_bare(*given.bare)
    else:
        asyncio.run(run(given))


if __name__ == "__main__":
    main()
