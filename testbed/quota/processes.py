"""A retry quota under faults, on real processes: checked by what reached the servers, and by the ledgers.

    python -m testbed.quota.processes [SCENARIO ...] [--sidecars 5] [--seed 1] [--off]

All servers reject for most of each scenario, and clients of all sidecars want far more retries than the limit.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from testbed.cluster.harness import ClusterHarness
from testbed.cluster.scenarios import NODES, Scenario, Step
from testbed.fleet.invariants import InvariantReport
from topazbank.quota.audit import QuotaAudit, audit
from topazbank.quota.ledger_records import read_ledgers

QUOTA_NAME = "repeats"
LIMIT = 20  # retries a second
LEASE_S = 2.0
GRACE_PERIOD_S = 2.1  # a lease and its drift
ALL_SERVERS = tuple(range(NODES))
CALLS_PER_S = 80.0  # to all sidecars together
LOG_DELAY_S = 0.1  # between a sidecar's decision and the server's log of it, on a busy machine
REJECTING_FROM_S = 0.5
MakeScenario = Callable[[int, random.Random], Scenario]
SCENARIOS: dict[str, MakeScenario] = {}


def _scenario(make: MakeScenario) -> MakeScenario:
    SCENARIOS[make.__name__] = make
    return make


def _while_rejecting(steps: Iterable[Step], until_s: float, excused: Iterable[int] = ()) -> Scenario:
    """These steps while all servers reject; `excused`: sidecars whose calls may be lost."""
    all_steps = [
        Step(REJECTING_FROM_S, "refuse", (), ALL_SERVERS),
        *steps,
        Step(until_s, "accept", (), ALL_SERVERS),
    ]
    in_order = sorted(all_steps, key=lambda step: step.at)
    return Scenario(in_order, until_s + 0.2, set(excused), forbids_deaths=False)


@_scenario
def demand(sidecars: int, chance: random.Random) -> Scenario:
    """Nothing else goes wrong."""
    return _while_rejecting([], 8.0)


@_scenario
def client_paused(sidecars: int, chance: random.Random) -> Scenario:
    """A sidecar with a lease is stopped for longer than the lease, and continues in the middle of sending."""
    one = chance.randrange(sidecars)
    return _while_rejecting([Step(3.0, "stop", (one,), value=2.5 * LEASE_S)], 10.0, (one,))


@_scenario
def server_killed(sidecars: int, chance: random.Random) -> Scenario:
    """A lease server is killed and comes back without its grants."""
    return _while_rejecting([Step(3.0, "kill", (0,)), Step(4.0, "start", (0,))], 10.0, (0,))


@_scenario
def all_servers_killed(sidecars: int, chance: random.Random) -> Scenario:
    """All lease servers are killed at once and come back without their grants."""
    steps = [Step(3.0, "kill", (0, 1)), Step(3.2, "start", (0,)), Step(5.0, "start", (1,))]
    return _while_rejecting(steps, 11.0, (0, 1))


@_scenario
def server_upgraded(sidecars: int, chance: random.Random) -> Scenario:
    """A lease server's process is replaced by a new one."""
    return _while_rejecting([Step(3.0, "upgrade", (0,))], 10.0)


@_scenario
def partitioned(sidecars: int, chance: random.Random) -> Scenario:
    """The cluster is split into two halves with a lease server in each, for several leases."""
    half = (0, *chance.sample(range(2, sidecars), max(sidecars // 2 - 1, 0)))
    rest = tuple(sidecar for sidecar in range(sidecars) if sidecar not in half)
    steps = [Step(2.0, "cut", half, rest), Step(2.0, "cut", rest, half), Step(9.0, "heal")]
    return _while_rejecting(steps, 12.0, range(sidecars))


@_scenario
def one_way(sidecars: int, chance: random.Random) -> Scenario:
    """Of one client only the requests arrive, of another only the grants."""
    no_grants, no_requests = chance.sample(range(2, sidecars), 2)
    steps = [
        Step(2.0, "cut", (0, 1), (no_grants,)),
        Step(2.0, "cut", (no_requests,), (0, 1)),
        Step(8.0, "heal"),
    ]
    return _while_rejecting(steps, 11.0, (no_grants, no_requests))


@_scenario
def most_killed(sidecars: int, chance: random.Random) -> Scenario:
    """Seven in ten are killed at once, and come back within a lease."""
    killed = tuple(chance.sample(range(sidecars), 7 * sidecars // 10))
    starts = [Step(3.5 + 0.1 * index, "start", (sidecar,)) for index, sidecar in enumerate(killed)]
    return _while_rejecting([Step(3.0, "kill", killed), *starts], 10.0, killed)


@_scenario
def lossy(sidecars: int, chance: random.Random) -> Scenario:
    """Two fifths of all datagrams are lost, the others late by up to a second, or duplicated."""
    begin = [Step(1.0, "loss", value=0.4), Step(1.0, "delay", value=1.0), Step(1.0, "doubled", value=0.2)]
    end = [Step(9.0, "loss"), Step(9.0, "delay"), Step(9.0, "doubled")]
    return _while_rejecting([*begin, *end], 10.0, range(sidecars))


def operator_config(sidecars: int) -> str:
    """The quota's table in the operator file."""
    return (
        f'\n[budgets.{QUOTA_NAME}]\nof = "retries"\nwhole = {LIMIT}\nburst = {3 * sidecars}\nfloor = 0.2\n'
        f'members = {2 * sidecars}\nkeepers = ["0", "1"]\nlease_s = {LEASE_S}\n'
    )


def max_ahead(times: Sequence[float], rate: float) -> float:
    """By how many events they ran ahead of this rate at the most, over any span: a leaky bucket's level."""
    level = highest = 0.0
    last = None
    for at in sorted(times):
        level = max(level - rate * (at - last), 0.0) + 1.0 if last is not None else 1.0
        highest, last = max(highest, level), at
    return highest


@dataclass(slots=True)
class Result:
    """What a scenario measured."""

    retries: int  # that reached the servers
    ahead_max: float  # of the limit's rate, in retries
    ahead_allowed: float
    verdicts: InvariantReport
    audit: QuotaAudit | None  # None: without the quota

    def faults(self) -> list[str]:
        """What was wrong; empty: nothing."""
        faults = list(self.verdicts.violations)
        if self.ahead_max > self.ahead_allowed:
            faults.append(
                f"{self.ahead_max:.1f} retries ahead of the limit reached the servers,"
                f" {self.ahead_allowed:.1f} allowed"
            )
        if self.audit is not None:
            faults += [f"by the ledgers, {violation}" for violation in self.audit.violations]
        return faults


async def run(names: Sequence[str], sidecars: int, seed: int, has_quota: bool = True) -> dict[str, Result]:
    """Run scenarios one after another on the same processes."""
    more = operator_config(sidecars) if has_quota else ""
    harness = ClusterHarness(sidecars, seed, rate=20.0, hammer_rate=CALLS_PER_S, operator_extra=more)
    results = {}
    try:
        await harness.start()
        await asyncio.sleep(GRACE_PERIOD_S)
        for name in names:
            _, verdicts = await harness.run_scenario(SCENARIOS[name](sidecars, random.Random(seed)))
            retry_times = harness.retry_times()
            results[name] = Result(
                len(retry_times),
                max_ahead(retry_times, LIMIT),
                3 * sidecars + LIMIT * LOG_DELAY_S,
                verdicts,
                _audit_ledgers(harness) if has_quota else None,
            )
    finally:
        await harness.stop()
    return results


def _audit_ledgers(harness: ClusterHarness) -> QuotaAudit | None:
    """The audit of all ledgers so far."""
    lines: list[str] = []
    for path in sorted(harness.folder.glob("budgets-*.jsonl")):
        lines += path.read_text(encoding="utf-8").splitlines(keepends=True)
    return audit(read_ledgers(lines)).get(QUOTA_NAME)


def _print_results(results: Mapping[str, Result]) -> list[str]:
    """Print a line for each scenario; all faults."""
    faults = []
    for name, result in results.items():
        held = f"{result.audit.held_max / 1000:g}" if result.audit is not None else "-"
        lost = result.verdicts.outcomes["lost"]
        print(
            f"{name:<20}{result.retries:>9}{result.ahead_max:>8.1f}{result.ahead_allowed:>9.1f}{lost:>6}{held:>10}"
        )
        faults += [f"{name}, {fault}" for fault in result.faults()]
    return faults


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command; the exit code."""
    description = (__doc__ or "").split("\n")[0]
    parser = argparse.ArgumentParser(prog="testbed.quota.processes", description=description)
    parser.add_argument("scenarios", nargs="*", metavar="SCENARIO", help=", ".join(SCENARIOS))
    parser.add_argument("--sidecars", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--off", action="store_true", help="without the quota")
    options = parser.parse_args(argv)
    for name in options.scenarios:
        if name not in SCENARIOS:
            parser.error(f"{name}: no scenario; one of {', '.join(SCENARIOS)} is wanted")
    names = options.scenarios or list(SCENARIOS)
    print(f"{'scenario':<20}{'retries':>9}{'ahead':>8}{'allowed':>9}{'lost':>6}{'held max':>10}", flush=True)
    results = asyncio.run(run(names, options.sidecars, options.seed, not options.off))
    faults = _print_results(results)
    print(f"FAILED: {faults[0]} (of {len(faults)})" if faults else "PASSED")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
