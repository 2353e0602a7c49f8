"""The CPU that a request costs the sidecar, for the four pairs of protocols, beside a bare asyncio forwarder.

    .venv/bin/python -m benchmarks.forward_cost [--seconds 5] [--rounds 3] [--before DIR]

Each round measures every case once, so that a slow phase of the machine affects all; a case's figure is its median.
`--before DIR` adds HTTP to HTTP by the program of another checkout (with its own .venv or this one's).  Programs run as
they are deployed, from the compiled copy if there is one; one case runs this checkout's sources.  The load is closed:
32 requests in flight at any time, from one process; six backends answer at once from another.
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

from benchmarks.load import BareForwarder, HttpBackend, Load, RpcBackend, cpu_s
from testbed.registry import Registry
from testbed.wire import HTTP, MSGPACK_RPC, Address, format_address

ROOT = Path(__file__).parent.parent
BACKENDS = 6
REQUESTS_IN_FLIGHT = 32
RPC_CONNECTIONS = 4
WARMUP_S = 1.5
BARE_FORWARDER = "bare asyncio forwarder"
HTTP_BEFORE = "http to http, before"
HTTP_NOT_COMPILED = "http to http, not compiled"
COLUMN_WIDTHS = (18, 16, 12, 9, 8, 6)  # of the report's columns, characters
REQUEST_CLASSES = [
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
    "lanes": REQUEST_CLASSES,
    "bounds": {"sendCap": 3, "mayCancel": True, "idleCloseUs": 15_000_000, "dialTimeoutUs": 250_000},
    "discovery": "on_request",
    "zone": "a",
}


@dataclass(frozen=True, slots=True)
class Case:
    """A program under a load."""

    name: str
    client_protocol: str
    backend_protocol: str
    root: Path | None  # the program's checkout; None: the bare forwarder
    compiled: bool = True  # if there is a compiled copy


@dataclass(frozen=True, slots=True)
class Measurement:
    """One case in one round."""

    cpu_us: float  # of the sidecar, for each request that was answered 200
    served_per_s: float
    rejected: int
    failed: int
    memory_mb: float  # resident, maximum


def free_port() -> int:
    """Return a port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


def serve_backends(protocol: str, out: Any) -> None:
    """Serve backends that answer at once, in a process of their own; write their ports to `out`."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        make = HttpBackend if protocol == HTTP else RpcBackend
        servers = [await loop.create_server(make, "127.0.0.1", 0, backlog=512) for _ in range(BACKENDS)]
        ports = [server.sockets[0].getsockname()[1] for server in servers]
        print(json.dumps(ports), file=out, flush=True)
        await asyncio.Event().wait()

    asyncio.run(run())


def serve_bare_forwarder(port: int, backend_port: int) -> None:
    """Serve the bare forwarder, in a process of its own."""

    async def run() -> None:
        server = await asyncio.get_running_loop().create_server(
            lambda: BareForwarder(("127.0.0.1", backend_port)), "127.0.0.1", port, backlog=512
        )
        await server.serve_forever()

    asyncio.run(run())


@contextlib.contextmanager
def process(*command: str, cwd: Path = ROOT, **options: Any) -> Iterator[subprocess.Popen[str]]:
    """Run a process until the block ends."""
    started = subprocess.Popen(command, cwd=cwd, text=True, stderr=subprocess.DEVNULL, **options)
    try:
        yield started
    finally:
        started.send_signal(signal.SIGKILL)
        started.wait()


@contextlib.contextmanager
def run_program(
    case: Case, ports: list[int], discovery: Address, folder: Path
) -> Iterator[tuple[int, Address]]:
    """Run the forwarder under test; give its process id and where it listens."""
    listen = ("127.0.0.1", free_port())
    if case.root is None:
        command = [sys.executable, "-m", "benchmarks.forward_cost", "--bare", str(listen[1]), str(ports[0])]
        with process(*command) as started:
            yield started.pid, listen
        return
    path = folder / "config.json"
    path.write_text(json.dumps(deployment(case, ports, listen, discovery)), encoding="utf-8")
    command, environment = program_command(case, case.root)
    with process(*command, cwd=case.root, env=environment | {"RELAY_CONFIG": str(path)}) as started:
        yield started.pid, listen


def deployment(case: Case, ports: list[int], listen: Address, discovery: Address) -> dict[str, Any]:
    """Return the configuration of the program under test, with the backends at these ports."""
    entries = [
        {
            "name": f"s-{number}",
            "address": f"127.0.0.1:{port}",
            "zone": "a",
            "type": "m",
            "group": 1,
            "status": "active",
            "weight": 1.0,
            "since_ms": 0,
            "protocol": case.backend_protocol,
        }
        for number, port in enumerate(ports)
    ]
    return {
        "listen": format_address(listen),
        "discovery": format_address(discovery),
        "seed": "8c1f",
        "settings": SETTINGS,
        "known": {"index": 1, "snapshot": True, "endpoints": entries},
        "limits": {"sockets": 1024},
    }


def program_command(case: Case, root: Path) -> tuple[list[str], dict[str, str]]:
    """Return the command and the environment of the program of a checkout."""
    python, compiled = root / ".venv" / "bin" / "python", root / ".venv" / "compiled"
    command = [str(python) if python.exists() else sys.executable]
    environment = dict(os.environ)
    if case.compiled and (compiled / "stamp").exists():
        command.append("-P")
        environment["PYTHONPATH"] = str(compiled)
    command += ["-m", "topazbank"]
    if (root / "deploy" / "operator.toml").exists():
        command += ["--operator", "deploy/operator.toml"]
    return command, environment


async def wait_until_listening(address: Address) -> None:
    """Wait until a connection comes up; raise TimeoutError after 20 s."""
    async with asyncio.timeout(20.0):
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*address)
                writer.close()
                return
            await asyncio.sleep(0.05)


def memory_mb(pid: int) -> float:
    """Return the maximum of a process's resident memory."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return int(next(line for line in file if line.startswith("VmHWM")).split()[1]) / 1024


async def measure(case: Case, ports: dict[str, list[int]], seconds: float, folder: Path) -> Measurement:
    """Measure a case for so long after it has warmed up."""
    registry = Registry()
    registry.index = 1
    await registry.start()
    with run_program(case, ports[case.backend_protocol], registry.address, folder) as (pid, listen):
        await wait_until_listening(listen)
        if case.client_protocol == MSGPACK_RPC:
            load = Load(case.client_protocol, listen, RPC_CONNECTIONS, REQUESTS_IN_FLIGHT // RPC_CONNECTIONS)
        else:
            load = Load(case.client_protocol, listen, REQUESTS_IN_FLIGHT, 1)
        await load.start()
        await asyncio.sleep(WARMUP_S)
        load.statuses.clear()
        started_at, cpu_before_s = asyncio.get_running_loop().time(), cpu_s(pid)
        await asyncio.sleep(seconds)
        cpu_used_s, took_s = cpu_s(pid) - cpu_before_s, asyncio.get_running_loop().time() - started_at
        statuses = dict(load.statuses)
        load.running = False
        memory = memory_mb(pid)
    registry.stop()
    served, rejected = statuses.get(200, 0), statuses.get(503, 0)
    failed = sum(statuses.values()) - served - rejected
    return Measurement(1e6 * cpu_used_s / max(served, 1), served / took_s, rejected, failed, memory)


def all_cases(before: Path | None) -> list[Case]:
    """Return the cases; `before`: another checkout."""
    cases = [Case(BARE_FORWARDER, HTTP, HTTP, None)]
    if before is not None:
        cases.append(Case(HTTP_BEFORE, HTTP, HTTP, before))
    cases.append(Case(HTTP_NOT_COMPILED, HTTP, HTTP, ROOT, compiled=False))
    for client in (HTTP, MSGPACK_RPC):
        cases += [Case(f"{client} to {backend}", client, backend, ROOT) for backend in (HTTP, MSGPACK_RPC)]
    return cases


async def run(options: argparse.Namespace) -> None:
    """Measure all cases in rounds and print the report."""
    cases = [case for case in all_cases(options.before) if not options.only or options.only in case.name]
    measurements: dict[str, list[Measurement]] = {case.name: [] for case in cases}
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        ports = {}
        for protocol in (HTTP, MSGPACK_RPC):
            command = [sys.executable, "-m", "benchmarks.forward_cost", "--nodes", protocol]
            backends = stack.enter_context(process(*command, stdout=subprocess.PIPE))
            assert backends.stdout is not None
            ports[protocol] = json.loads(backends.stdout.readline())
        for number in range(options.rounds):
            for case in cases:
                print(f"round {number + 1} of {options.rounds}: {case.name} ...", file=sys.stderr, flush=True)
                measurements[case.name].append(await measure(case, ports, options.seconds, folder))
    print_report(measurements, options)


def print_report(measurements: dict[str, list[Measurement]], options: argparse.Namespace) -> None:
    """Print the medians of each case, and the ratios that are compared."""
    print(
        f"{REQUESTS_IN_FLIGHT} requests in flight, {BACKENDS} backends, "
        f"medians of {options.rounds} rounds of {options.seconds:g} s"
    )
    titles = ("CPU µs a request", "(min to max)", "served a s", "rejected", "failed", "MB")
    print(f"{'':<28}" + _format_columns(titles))
    for name, rounds in measurements.items():
        cpu_us = [measurement.cpu_us for measurement in rounds]
        columns = (
            f"{statistics.median(cpu_us):.0f}",
            f"{min(cpu_us):.0f} to {max(cpu_us):.0f}",
            f"{statistics.median(measurement.served_per_s for measurement in rounds):.0f}",
            f"{sum(measurement.rejected for measurement in rounds)}",
            f"{sum(measurement.failed for measurement in rounds)}",
            f"{statistics.median(measurement.memory_mb for measurement in rounds):.0f}",
        )
        print(f"{name:<28}" + _format_columns(columns))
    http, rpc = "http to http", "msgpack-rpc to msgpack-rpc"
    for name, base in ((http, BARE_FORWARDER), (http, HTTP_NOT_COMPILED), (http, HTTP_BEFORE), (rpc, http)):
        if name in measurements and base in measurements:
            ratio = _median_cpu_us(measurements[name]) / _median_cpu_us(measurements[base])
            print(f"{name} / {base}: {ratio:.2f}")


def _format_columns(columns: tuple[str, ...]) -> str:
    return "".join(f"{text:>{width}}" for text, width in zip(columns, COLUMN_WIDTHS, strict=True))


def _median_cpu_us(rounds: list[Measurement]) -> float:
    return statistics.median(measurement.cpu_us for measurement in rounds)


def main() -> None:
    """Parse the command line and run the benchmark, or one of its processes."""
    parser = argparse.ArgumentParser(prog="benchmarks.forward_cost", description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0, help="that each case is measured in a round")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--before", type=Path, metavar="DIR", help="another checkout, for HTTP to HTTP")
    parser.add_argument("--only", metavar="TEXT", help="only the cases with this in their name")
    parser.add_argument("--nodes", choices=(HTTP, MSGPACK_RPC), help=argparse.SUPPRESS)
    parser.add_argument("--bare", nargs=2, type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.nodes:
        serve_backends(options.nodes, sys.stdout)
    elif options.bare:
        serve_bare_forwarder(*options.bare)
    else:
        asyncio.run(run(options))


if __name__ == "__main__":
    main()
