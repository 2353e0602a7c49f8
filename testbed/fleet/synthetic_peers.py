"""Thousands of quiet sidecars on one machine: the total of what they open, check, poll and send.

    python -m testbed.fleet.synthetic_peers [SCENARIO ...] [--sidecars 1000] [--workers 6] [--nodes 60] [--rate 0.3]

Scenarios: `calm`; `restart`, in which all sidecars end and come back at once with their last endpoint list, two fifths
of whose servers are dead; `outage`, in which the registry answers nothing but 503 for a while.  Each ends with the
counts beside what `topazbank.core.bounds` allows; the exit code is 1 if a count is beyond its limit.  Sidecars with
their clients run in some processes, backends in others (`testbed.fleet.synthetic_worker`).
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import random
import sys
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from testbed.fleet.child_process import ChildProcess
from testbed.fleet.harness import EXAMPLE_DEPLOYMENT
from testbed.fleet.synthetic_worker import (
    BACKENDS,
    GAUGES,
    SIDECARS,
    BackendGroupSpec,
    SidecarGroupSpec,
)
from testbed.registry import Registry
from testbed.wire import Message
from topazbank.balancing.settings import Settings
from topazbank.core.bounds import Fleet, FleetBounds, fleet_bounds
from topazbank.platform_names import settings_from_wire

SCENARIOS = ("calm", "restart", "outage")
MEAN_ANSWER_S = 0.25  # on a machine that is busy with the fleet itself
REPLACED_BACKENDS_RATIO = 0.42  # of the last list, when all sidecars come back
SETTLE_S = 1.0
POLLS_PER_S_MAX = "endpoint polls a second, max"
_BACKEND_PROCESSES_MAX = 4
_SETTLED_COUNTS = (
    "served",
    "refused",
    "failed",
    "lost",
    "duplicate effects",
)  # read after the last calls have ended


class GroupProcess(ChildProcess):
    """A process of the fleet, by its role."""

    def __init__(self, role: str, spec: SidecarGroupSpec | BackendGroupSpec) -> None:
        super().__init__("testbed.fleet.synthetic_worker", role, json.dumps(asdict(spec)))

    async def command(self, name: str, *arguments: Any) -> Any:
        """Run a command in the process and return its result."""
        return await self.request(json.dumps([name, *arguments]))


class CountingRegistry(Registry):
    """The registry, with a switch for an outage, which counts its polls by second."""

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.polls_by_second: Counter[int] = Counter()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.down:
            self.calls += 1
            self.polls_by_second[int(time.monotonic())] += 1
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            writer.close()
            return
        await super()._serve(reader, writer)

    async def _answer(self, request: Message) -> dict[str, Any]:
        self.polls_by_second[int(time.monotonic())] += 1
        return await super()._answer(request)

    def busiest_second(self, since: int) -> int:
        """Return the maximum of the polls of one second, from a second on."""
        return max((count for second, count in self.polls_by_second.items() if second >= since), default=0)


@dataclass(slots=True)
class ScenarioResult:
    """The counts of a scenario and their limits."""

    scenario: str
    seconds: float
    counts: Counter[str]
    limits: dict[str, float] = field(default_factory=dict)

    @property
    def served_ratio(self) -> float:
        """The served calls' part of the calls that have ended."""
        ended = sum(self.counts[name] for name in ("served", "refused", "failed", "lost"))
        return self.counts["served"] / max(ended, 1)

    def violations(self) -> list[str]:
        """Return the counts that are beyond their limits, and those that have to be 0 and are not."""
        beyond = [name for name, limit in self.limits.items() if self.counts[name] > limit]
        return beyond + [name for name in ("lost", "duplicate effects") if self.counts[name]]


def count_limits(bounds: FleetBounds) -> dict[str, float]:
    """Return the limits by the names of the counts that are compared with them."""
    return {
        "attempts": bounds.attempts,
        "accepted": bounds.connections_accepted,
        "accepted open": bounds.connections_open,
        "open max": bounds.connections_open_per_sidecar,
        "health checks": bounds.health_checks,
        "endpoint polls": bounds.endpoint_polls,
        POLLS_PER_S_MAX: bounds.endpoint_polls_per_s,
        "gossip messages": bounds.gossip_messages,
    }


def _split(count: int, groups: int) -> list[tuple[int, int]]:
    """Split so many into groups of about the same size; return each group's first number and size."""
    edges = [count * number // groups for number in range(groups + 1)]
    return [(first, after - first) for first, after in itertools.pairwise(edges)]


class SyntheticFleet:
    """All processes of one fleet."""

    def __init__(self, sidecars: int, workers: int, backends: int, rate: float, seed: int = 1) -> None:
        """`workers`: processes for the sidecars; `rate`: calls a second to each sidecar."""
        self.registry = CountingRegistry()
        example = json.loads(EXAMPLE_DEPLOYMENT.read_text(encoding="utf-8"))["settings"]
        self._wire_settings = example | {"groupSize": sidecars}
        self.settings: Settings = settings_from_wire(self._wire_settings)
        self.sidecars, self.backends, self.rate = sidecars, backends, rate
        self._worker_count, self._seed = workers, seed
        self.sidecar_groups: list[GroupProcess] = []
        self.backend_groups: list[GroupProcess] = []

    async def start(self) -> None:
        """Start the backends, then all sidecars with the list of them."""
        await self.registry.start()
        backend_processes = max(1, min(self._worker_count // 3, _BACKEND_PROCESSES_MAX))
        self.backend_groups = [
            GroupProcess(BACKENDS, BackendGroupSpec(first, count))
            for first, count in _split(self.backends, backend_processes)
        ]
        await asyncio.gather(*(group.start() for group in self.backend_groups))
        for group in self.backend_groups:
            self.registry.put(*await group.command("entries"))
        self.sidecar_groups = [
            GroupProcess(SIDECARS, self._sidecar_spec(first, count))
            for first, count in _split(self.sidecars, self._worker_count)
        ]
        await asyncio.gather(*(group.start() for group in self.sidecar_groups))

    def _sidecar_spec(self, first: int, count: int) -> SidecarGroupSpec:
        return SidecarGroupSpec(
            first,
            count,
            self.rate,
            self._seed * 1000 + first,
            self.registry.address,
            self.registry.snapshot(),
            self._wire_settings,
        )

    async def stop(self) -> None:
        """End all processes."""
        await asyncio.gather(*(group.stop() for group in [*self.sidecar_groups, *self.backend_groups]))
        self.registry.stop()

    async def counts(self) -> Counter[str]:
        """Return the sums over all processes; of maxima, the maximum."""
        total: Counter[str] = Counter()
        groups = [*self.sidecar_groups, *self.backend_groups]
        for counts in await asyncio.gather(*(group.command("counts") for group in groups)):
            for name, value in counts.items():
                total[name] = max(total[name], value) if name.endswith("max") else total[name] + value
        total["endpoint polls"] = self.registry.calls
        return total

    async def _command_sidecars(self, name: str, *arguments: Any) -> None:
        await asyncio.gather(*(group.command(name, *arguments) for group in self.sidecar_groups))

    async def run_scenario(self, scenario: str, seconds: float) -> ScenarioResult:
        """Load all sidecars for so long, with the scenario's fault in the middle; return the counts of that time."""
        before = await self.counts()
        await self._command_sidecars("load")
        started_at, since = time.monotonic(), int(time.monotonic())
        await asyncio.sleep(seconds / 2)
        restarts = 0
        if scenario == "restart":
            restarts = 1
            await self._restart()
        elif scenario == "outage":
            self._begin_outage()
        await asyncio.sleep(seconds / 2)
        took_s = time.monotonic() - started_at
        after = await self.counts()
        await asyncio.sleep(SETTLE_S)
        settled = await self.counts()
        for name in _SETTLED_COUNTS:
            after[name] = settled[name]
        counts = Counter(
            {name: value - (0 if name in GAUGES else before[name]) for name, value in after.items()}
        )
        counts[POLLS_PER_S_MAX] = self.registry.busiest_second(since)
        fleet = Fleet(self.settings, self.sidecars, self.backends, self.rate, MEAN_ANSWER_S)
        limits = count_limits(fleet_bounds(fleet, took_s, restarts, scenario == "outage"))
        return ScenarioResult(scenario, took_s, counts, limits)

    def _begin_outage(self) -> None:
        self.registry.down = True
        first_entry = list(self.registry.entries.values())[:1]
        self.registry.put(*first_entry)  # ends all watches: the next poll fails

    async def _restart(self) -> None:
        """End all sidecars, replace two fifths of the backends, and start all again with the former list."""
        former_list = self.registry.snapshot()
        names = list(self.registry.entries)
        dead = random.Random(self._seed).sample(names, int(REPLACED_BACKENDS_RATIO * len(names)))
        await self._command_sidecars("end")
        for group in self.backend_groups:
            await group.command("kill", dead)
        for name in dead:
            self.registry.remove(name)
        await self._command_sidecars("start", former_list)


def print_result(result: ScenarioResult) -> None:
    """Print a scenario's counts beside their limits."""
    print(
        f"{result.scenario}: {result.seconds:.0f} s, served {100 * result.served_ratio:.2f} of 100 answered"
    )
    for name, limit in result.limits.items():
        mark = "" if result.counts[name] <= limit else "  BEYOND"
        print(f"  {name:28} {result.counts[name]:9.0f} of {limit:11.0f} allowed{mark}")
    rest = {name: value for name, value in sorted(result.counts.items()) if name not in result.limits}
    print("  " + ", ".join(f"{name} {value}" for name, value in rest.items()), flush=True)


async def run(
    scenarios: Sequence[str],
    sidecars: int,
    workers: int,
    backends: int,
    rate: float,
    seconds: float,
    seed: int = 1,
) -> list[ScenarioResult]:
    """Run scenarios one after the other, each on processes of its own, and print their results."""
    results = []
    for scenario in scenarios:
        fleet = SyntheticFleet(sidecars, workers, backends, rate, seed)
        try:
            await fleet.start()
            await asyncio.sleep(SETTLE_S)
            results.append(await fleet.run_scenario(scenario, seconds))
        finally:
            await fleet.stop()
        print_result(results[-1])
    return results


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="testbed.fleet.synthetic_peers", description=__doc__)
    parser.add_argument("scenarios", nargs="*", default=[], metavar="SCENARIO")
    parser.add_argument("--sidecars", type=int, default=1000)
    parser.add_argument("--workers", type=int, default=max((os.cpu_count() or 2) - 2, 2))
    parser.add_argument("--nodes", type=int, default=60)
    parser.add_argument("--rate", type=float, default=0.3, help="calls a second to each sidecar")
    parser.add_argument("--seconds", type=float, default=30.0, help="that a scenario lasts")
    options = parser.parse_args()
    unknown = set(options.scenarios) - set(SCENARIOS)
    if unknown:
        parser.error(f"scenarios: {', '.join(SCENARIOS)} are wanted, not {', '.join(sorted(unknown))}")
    return options


def main() -> int:
    """Parse the command line, run the scenarios and return the exit code."""
    options = _parse()
    print(
        f"{options.sidecars} sidecars in {options.workers} processes, {options.nodes} nodes, "
        f"{options.rate:g} calls a second"
    )
    results = asyncio.run(
        run(
            options.scenarios or SCENARIOS,
            options.sidecars,
            options.workers,
            options.nodes,
            options.rate,
            options.seconds,
        )
    )
    return 1 if any(result.violations() for result in results) else 0


if __name__ == "__main__":
    sys.exit(main())
