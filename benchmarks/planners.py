"""Planners' failover, and what a planner costs by the number of forwarders.

    .venv/bin/python -m benchmarks.planners failover [--times 50] [--session 1.0]
    .venv/bin/python -m benchmarks.planners size [--forwarders 200 1000 5000] [--seconds 10]

`failover`: over the stand-in ensemble on loopback, two planners and two forwarders in one process; from the leader's
death to the first plan that a forwarder follows from the next.  `size`: one planner's process, and forwarders' links
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
from topazbank.planning.forwarder import Forwarding
from topazbank.planning.server import PlannerServer

NODES = 15
PROCESSES = 4


# -- Failover ----------------------------------------------------------------------------------------


def all_follow(rig: FleetHarness) -> bool:
    return rig.leader() is not None and min(rig.plan_trusts()) > 0.85


async def failover(times: int, session_s: float, by_rank: bool) -> int:
    took = []
    for number in range(times):
        rig = FleetHarness(planners=2, backends=4, seed=number + 1, session_s=session_s, by_rank=by_rank)
        await rig.start()
        await wait_until(partial(all_follow, rig))
        first = rig.leader()
        assert first is not None
        began = time.monotonic()
        rig.kill_planner(first)

        def followed(rig: FleetHarness = rig, name: str = f"p-{1 - first}") -> bool:
            found = [rig.following(each) for each in range(len(rig.processes))]
            return all(each is not None and each.planner == name and each.age is not None for each in found)

        await wait_until(followed)
        took.append(time.monotonic() - began)
        await rig.stop()
        if number % 10 == 9:
            print(f"{number + 1} of {times}", file=sys.stderr, flush=True)
    ordered = sorted(took)
    how = "by rank" if by_rank else f"by the ensemble, sessions of {session_s:g} s"
    print(
        f"failover {how}: {times} times, median {statistics.median(ordered):.2f} s, worst {ordered[-1]:.2f} s"
    )
    return 0


# -- Size --------------------------------------------------------------------------------------------


class Fixed:
    """A membership source of nodes that stay."""

    def __init__(self, told: Any) -> None:
        self._told = told

    def watch(self, wanted: bool) -> None:
        lines = [
            DiscoveredServer(
                ServerDescription(f"n-{each:02}", "a", "std", each % 3, ServerState.READY, 1.0),
                ("127.0.0.1", 9000 + each),
            )
            for each in range(NODES)
        ]
        self._told(EndpointList(1, True, lines))

    def fetch(self) -> None: ...

    def move(self, address: Address) -> None: ...

    def stop(self) -> None: ...

    def status(self) -> tuple[SourceStatus, ...]:
        return ()

    def source_of(self, name: str) -> str:
        return "fixed"


async def planner_part() -> None:
    server = PlannerServer("p", Fixed, None)
    server.lead(1)
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
                    "shed": server.planner.shed,
                    "period_s": server.planner.period() / 1e6,
                    "mb": usage.ru_maxrss / 1024,
                }
            ),
            flush=True,
        )


async def forwarders_part(planner: Address, first: int, count: int) -> None:
    def now() -> int:
        return time.monotonic_ns() // 1000

    servers = [ServerDescription(f"n-{each:02}") for each in range(NODES)]
    made = []
    for number in range(first, first + count):
        each = Forwarding(f"f-{number}", [planner], now, number)
        each.endpoints_updated(servers)
        each.start(list, lambda: None)
        made.append(each)
        if number % 50 == 49:
            await asyncio.sleep(0.02)
    chance = 0
    while True:  # about one request a second each, as far as summaries tell
        await asyncio.sleep(0.1)
        for each in made[chance::10]:
            each.request_arrived("check")
            each.attempt_sent(servers[chance].name)
            each.attempt_ended(
                servers[chance].name, True, 50_000, {"inflight": 2.0, "queue": 0.0, "util": 0.5}
            )
            each.request_answered("check", True)
        chance = (chance + 1) % 10
        followed = sum(each.follower.trust(now()) > 0.0 for each in made)
        print(json.dumps({"followed": followed}), flush=True)


class Part:
    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.told: Any = None  # the newest
        self._reading = asyncio.create_task(self._read())

    @classmethod
    async def start(cls, *arguments: str) -> Part:
        command = [sys.executable, "-m", "benchmarks.planners", *arguments]
        return cls(
            await asyncio.create_subprocess_exec(
                *command, stdout=asyncio.subprocess.PIPE, cwd=Path(__file__).parent.parent
            )
        )

    async def _read(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            self.told = json.loads(line)

    async def first(self) -> str:
        while self.told is None:
            await asyncio.sleep(0.05)
        return str(self.told)

    async def stop(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        self._reading.cancel()


async def size(counts: list[int], seconds: float) -> int:
    print(
        f"{'forwarders':>10}{'connected':>11}{'following':>11}{'period s':>10}{'CPU %':>8}{'kB/s in':>9}"
        f"{'kB/s out':>10}{'B/s each':>10}{'shed':>8}{'MB':>7}"
    )
    for count in counts:
        planner = await Part.start("part-planner")
        address = await planner.first()
        each = count // PROCESSES
        parts = [
            await Part.start("part-forwarders", address, str(number * each), str(each))
            for number in range(PROCESSES)
        ]
        await asyncio.sleep(6.0 + count / 500)
        before, began = dict[str, float](planner.told), time.monotonic()
        await asyncio.sleep(seconds)
        after, lapse = dict[str, float](planner.told), time.monotonic() - began
        followed = sum(part.told["followed"] for part in parts)
        read, written = ((after[way] - before[way]) / lapse for way in ("in", "out"))
        cpu = (after["cpu_s"] - before["cpu_s"]) / lapse
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
    ways = parser.add_subparsers(dest="way", required=True)
    one = ways.add_parser("failover")
    one.add_argument("--times", type=int, default=50)
    one.add_argument("--session", type=float, default=1.0)
    one.add_argument("--by-rank", action="store_true")
    other = ways.add_parser("size")
    other.add_argument("--forwarders", type=int, nargs="+", default=[200, 1000, 5000])
    other.add_argument("--seconds", type=float, default=10.0)
    ways.add_parser("part-planner")
    part = ways.add_parser("part-forwarders")
    part.add_argument("planner")
    part.add_argument("first", type=int)
    part.add_argument("count", type=int)
    given = parser.parse_args()
    if given.way == "failover":
        return asyncio.run(failover(given.times, given.session, given.by_rank))
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with contextlib.suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 16_384)), hard))
    if given.way == "size":
        return asyncio.run(size(given.forwarders, given.seconds))
    if given.way == "part-planner":
        asyncio.run(planner_part())
    else:
        asyncio.run(forwarders_part(parse_address(given.planner), given.first, given.count))
    return os.EX_OK


if __name__ == "__main__":
    sys.exit(main())
