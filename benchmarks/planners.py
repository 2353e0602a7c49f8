"""The time of a failover between planners, and the cost of a planner by the number of forwarders.

    .venv/bin/python -m benchmarks.planners failover [--times 50] [--session 1.0]
    .venv/bin/python -m benchmarks.planners size [--forwarders 200 1000 5000] [--seconds 10]

`failover`: with the emulated ensemble on loopback, two planners and two forwarders in one process; from the kill of the
leader to the time when both forwarders follow a plan of the next.  `size`: one planner's process, and forwarders' links
(real summaries over real connections, no requests) in four processes; CPU and bytes of the planner.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import resource
import statistics
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any

from testbed.fleet.harness import FleetHarness, wait_until
from topazbank.balancing.events import ServerDescription, ServerState
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList, SourceStatus
from topazbank.core.net import Address, parse_address
from topazbank.planning.forwarder import PlanningClient
from topazbank.planning.planner_server import PlannerServer

SERVERS = 15
PROCESSES = 4


# -- Failover ----------------------------------------------------------------------------------------


def all_follow(rig: FleetHarness) -> bool:
    return rig.leader() is not None and min(rig.plan_trusts()) > 0.85


async def measure_failover(times: int, session_s: float, by_rank: bool) -> int:
    durations_s = []
    for number in range(times):
        rig = FleetHarness(planners=2, backends=4, seed=number + 1, session_s=session_s, by_rank=by_rank)
        await rig.start()
        await wait_until(partial(all_follow, rig))
        first = rig.leader()
        assert first is not None
        started_s = time.monotonic()
        rig.kill_planner(first)

        def followed(rig: FleetHarness = rig, name: str = f"p-{1 - first}") -> bool:
            statuses = [rig.following(number) for number in range(len(rig.processes))]
            return all(
                status is not None and status.planner == name and status.plan_age_us is not None
                for status in statuses
            )

        await wait_until(followed)
        durations_s.append(time.monotonic() - started_s)
        await rig.stop()
        if number % 10 == 9:
            print(f"{number + 1} of {times}", file=sys.stderr, flush=True)
    ordered = sorted(durations_s)
    how = "by rank" if by_rank else f"by the ensemble, sessions of {session_s:g} s"
    print(
        f"failover {how}: {times} times, median {statistics.median(ordered):.2f} s, worst {ordered[-1]:.2f} s"
    )
    return 0


# -- Size --------------------------------------------------------------------------------------------


class FixedSource:
    """A source of an endpoint list that never changes."""

    def __init__(self, on_list: Any) -> None:
        self._on_list = on_list

    def watch(self, wanted: bool) -> None:
        lines = [
            DiscoveredServer(
                ServerDescription(f"n-{each:02}", "a", "std", each % 3, ServerState.READY, 1.0),
                ("127.0.0.1", 9000 + each),
            )
            for each in range(SERVERS)
        ]
        self._on_list(EndpointList(1, True, lines))

    def fetch(self) -> None: ...

    def move(self, address: Address) -> None: ...

    def stop(self) -> None: ...

    def status(self) -> tuple[SourceStatus, ...]:
        return ()

    def source_of(self, name: str) -> str:
        return "fixed"


async def run_planner() -> None:
    server = PlannerServer("p", FixedSource, None)
    server.set_leadership(1)
    await server.start()
    print(json.dumps("{}:{}".format(*server.address)), flush=True)
    while True:
        await asyncio.sleep(0.5)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        print(
            json.dumps(
                {
                    "cpu_s": usage.ru_utime + usage.ru_stime,
                    "in": server.bytes_in,
                    "out": server.bytes_out,
                    "connections": len(server.connections),
                    "shed": server.planner.summaries_shed,
                    "period_s": server.planner.summary_period_us() / 1e6,
                    "mb": usage.ru_maxrss / 1024,
                }
            ),
            flush=True,
        )


async def run_forwarders(planner: Address, first: int, count: int) -> None:
    def now() -> int:
        return time.monotonic_ns() // 1000

    servers = [ServerDescription(f"n-{each:02}") for each in range(SERVERS)]
    clients = []
    for number in range(first, first + count):
        client = PlanningClient(f"f-{number}", [planner], now, number)
        client.endpoints_updated(servers)
        client.start(list, lambda: None)
        clients.append(client)
        if number % 50 == 49:
            await asyncio.sleep(0.02)
    group = 0
    while True:  # about one request a second each, as far as summaries tell
        await asyncio.sleep(0.1)
        for client in clients[group::10]:
            client.request_arrived("check")
            client.attempt_sent(servers[group].name)
            client.attempt_ended(
                servers[group].name, True, 50_000, {"inflight": 2.0, "queue": 0.0, "util": 0.5}
            )
            client.request_answered("check", True)
        group = (group + 1) % 10
        followed = sum(client.follower.confidence(now()) > 0.0 for client in clients)
        print(json.dumps({"followed": followed}), flush=True)


class BenchmarkProcess:
    """A process of this benchmark that prints lines of JSON."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.latest: Any = None  # line of JSON that it has printed
        self._reading = asyncio.create_task(self._read())

    @classmethod
    async def start(cls, *arguments: str) -> BenchmarkProcess:
        command = [sys.executable, "-m", "benchmarks.planners", *arguments]
        return cls(
            await asyncio.create_subprocess_exec(
                *command, stdout=asyncio.subprocess.PIPE, cwd=Path(__file__).parent.parent
            )
        )

    async def _read(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            self.latest = json.loads(line)

    async def first(self) -> str:
        while self.latest is None:
            await asyncio.sleep(0.05)
        return str(self.latest)

    async def stop(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        self._reading.cancel()


async def measure_size(counts: list[int], seconds: float) -> int:
    print(
        f"{'forwarders':>10}{'connected':>11}{'following':>11}{'period s':>10}{'CPU %':>8}{'kB/s in':>9}"
        f"{'kB/s out':>10}{'B/s each':>10}{'shed':>8}{'MB':>7}"
    )
    for count in counts:
        planner = await BenchmarkProcess.start("part-planner")
        address = await planner.first()
        per_process = count // PROCESSES
        parts = [
            await BenchmarkProcess.start(
                "part-forwarders", address, str(number * per_process), str(per_process)
            )
            for number in range(PROCESSES)
        ]
        await asyncio.sleep(6.0 + count / 500)
        before, started_s = dict[str, float](planner.latest), time.monotonic()
        await asyncio.sleep(seconds)
        after, elapsed_s = dict[str, float](planner.latest), time.monotonic() - started_s
        followed = sum(part.latest["followed"] for part in parts)
        read, written = ((after[direction] - before[direction]) / elapsed_s for direction in ("in", "out"))
        cpu = (after["cpu_s"] - before["cpu_s"]) / elapsed_s
        print(
            f"{count:>10}{after['connections']:>11}{followed:>11}{after['period_s']:>10.2f}{cpu:>8.0%}"
            f"{read / 1e3:>9.0f}{written / 1e3:>10.0f}{(read + written) / count:>10.0f}"
            f"{after['shed'] - before['shed']:>8}{after['mb']:>7.0f}",
            flush=True,
        )
        for part in (*parts, planner):
            await part.stop()
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.planners", description=__doc__)
    commands = parser.add_subparsers(dest="way", required=True)
    failover = commands.add_parser("failover")
    failover.add_argument("--times", type=int, default=50)
    failover.add_argument("--session", type=float, default=1.0)
    failover.add_argument("--by-rank", action="store_true")
    size = commands.add_parser("size")
    size.add_argument("--forwarders", type=int, nargs="+", default=[200, 1000, 5000])
    size.add_argument("--seconds", type=float, default=10.0)
    commands.add_parser("part-planner")
    forwarders = commands.add_parser("part-forwarders")
    forwarders.add_argument("planner")
    forwarders.add_argument("first", type=int)
    forwarders.add_argument("count", type=int)
    arguments = parser.parse_args()
    if arguments.way == "failover":
        return asyncio.run(measure_failover(arguments.times, arguments.session, arguments.by_rank))
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with contextlib.suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 16_384)), hard))
    if arguments.way == "size":
        return asyncio.run(measure_size(arguments.forwarders, arguments.seconds))
    if arguments.way == "part-planner":
        asyncio.run(run_planner())
    else:
        asyncio.run(run_forwarders(parse_address(arguments.planner), arguments.first, arguments.count))
    return os.EX_OK


if __name__ == "__main__":
    sys.exit(main())
