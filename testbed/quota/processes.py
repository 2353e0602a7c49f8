"""A fleet's budget of repeats under faults, on real processes: judged by what reached the nodes, and by the ledgers.

    python -m testbed.quota.processes [SCENE ...] [--sidecars 5] [--seed 1] [--off]

All nodes refuse for most of each scene, and clients of all sidecars ask for far more repeats than the whole allows.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from testbed.cluster.harness import ClusterHarness
from testbed.cluster.scenarios import NODES, Scenario, Step
from testbed.fleet.invariants import Verdicts
from topazbank.quota.audit import Account, audit, read

WHOLE, LEASE_S, QUIET_S = 20, 2.0, 2.1
ALL = tuple(range(NODES))
HAMMER = 80.0  # calls a second to all sidecars together
LAG_S = 0.1  # between a sidecar's decision and a node's note of it, on a busy machine
Scene = Callable[[int, random.Random], Scenario]
SCENES: dict[str, Scene] = {}


def _scene(make: Scene) -> Scene:
    SCENES[make.__name__] = make
    return make


def _refusing(steps: Iterable[Step], until: float, excused: Iterable[int] = ()) -> Scenario:
    all_steps = [Step(0.5, "refuse", (), ALL), *steps, Step(until, "accept", (), ALL)]
    return Scenario(
        sorted(all_steps, key=lambda each: each.at), until + 0.2, set(excused), forbids_deaths=False
    )


@_scene
def demand(n: int, chance: random.Random) -> Scenario:
    """Nothing else goes wrong."""
    return _refusing([], 8.0)


@_scene
def holder_stopped(n: int, chance: random.Random) -> Scenario:
    """One that holds a part stands still for longer than its lease, and wakes in the middle of sending."""
    one = chance.randrange(n)
    return _refusing([Step(3.0, "stop", (one,), value=2.5 * LEASE_S)], 10.0, (one,))


@_scene
def keeper_killed(n: int, chance: random.Random) -> Scenario:
    """A keeper dies and comes back without its memory."""
    return _refusing([Step(3.0, "kill", (0,)), Step(4.0, "start", (0,))], 10.0, (0,))


@_scene
def keepers_gone(n: int, chance: random.Random) -> Scenario:
    """All keepers die at once and come back without memory."""
    return _refusing(
        [Step(3.0, "kill", (0, 1)), Step(3.2, "start", (0,)), Step(5.0, "start", (1,))], 11.0, (0, 1)
    )


@_scene
def keeper_upgraded(n: int, chance: random.Random) -> Scenario:
    """A keeper's process is followed by another."""
    return _refusing([Step(3.0, "upgrade", (0,))], 10.0)


@_scene
def halves(n: int, chance: random.Random) -> Scenario:
    """The tier falls into two halves with a keeper in each, for several leases."""
    half = (0, *chance.sample(range(2, n), max(n // 2 - 1, 0)))
    rest = tuple(each for each in range(n) if each not in half)
    steps = [Step(2.0, "cut", half, rest), Step(2.0, "cut", rest, half), Step(9.0, "heal")]
    return _refusing(steps, 12.0, range(n))


@_scene
def one_way(n: int, chance: random.Random) -> Scenario:
    """One holder is heard by the keepers and does not hear, another hears and is not heard."""
    deaf, mute = chance.sample(range(2, n), 2)
    steps = [Step(2.0, "cut", (0, 1), (deaf,)), Step(2.0, "cut", (mute,), (0, 1)), Step(8.0, "heal")]
    return _refusing(steps, 11.0, (deaf, mute))


@_scene
def most_killed(n: int, chance: random.Random) -> Scenario:
    """Seven in ten die at once, and come back within a lease."""
    who = tuple(chance.sample(range(n), 7 * n // 10))
    steps = [Step(3.0, "kill", who), *(Step(3.5 + 0.1 * k, "start", (each,)) for k, each in enumerate(who))]
    return _refusing(steps, 10.0, who)


@_scene
def lossy(n: int, chance: random.Random) -> Scenario:
    """Two fifths of all words are lost, the others late by up to a second, or doubled."""
    steps = [Step(1.0, "loss", value=0.4), Step(1.0, "delay", value=1.0), Step(1.0, "doubled", value=0.2)]
    return _refusing([*steps, Step(9.0, "loss"), Step(9.0, "delay"), Step(9.0, "doubled")], 10.0, range(n))


def operator(members: int) -> str:
    """The budget, as the operator file sets it."""
    return (
        f'\n[budgets.repeats]\nof = "retries"\nwhole = {WHOLE}\nburst = {3 * members}\nfloor = 0.2\n'
        f'members = {2 * members}\nkeepers = ["0", "1"]\nlease_s = {LEASE_S}\n'
    )


def most_ahead(times: Sequence[float], rate: float) -> float:
    """By how much events ran ahead of this rate at the most, over any span: a bucket's level."""
    level = most = 0.0
    last = None
    for at in sorted(times):
        level = max(level - rate * (at - last), 0.0) + 1.0 if last is not None else 1.0
        most, last = max(most, level), at
    return most


@dataclass(slots=True)
class Result:
    extras: int
    ahead: float  # of the rate, by what reached the nodes
    allowed: float
    verdicts: Verdicts
    account: Account | None

    def faults(self) -> list[str]:
        found = list(self.verdicts.broken)
        if self.ahead > self.allowed:
            found.append(
                f"{self.ahead:.1f} repeats ahead of the whole reached the nodes, {self.allowed:.1f} allowed"
            )
        if self.account is not None:
            found += [f"by the ledgers, {each}" for each in self.account.breaches]
        return found


async def play(names: Sequence[str], sidecars: int, seed: int, on: bool = True) -> dict[str, Result]:
    """Play scenes one after another on the same processes."""
    rig = ClusterHarness(
        sidecars, seed, rate=20.0, hammer_rate=HAMMER, operator_extra=operator(sidecars) if on else ""
    )
    found = {}
    try:
        await rig.start()
        await asyncio.sleep(QUIET_S)  # keepers begin quiet
        for name in names:
            _, verdicts = await rig.run_scenario(SCENES[name](sidecars, random.Random(seed)))
            times = rig.retry_times()
            allowed = 3 * sidecars + WHOLE * LAG_S
            found[name] = Result(
                len(times), most_ahead(times, WHOLE), allowed, verdicts, rig_account(rig) if on else None
            )
    finally:
        await rig.stop()
    return found


def rig_account(rig: ClusterHarness) -> Account | None:
    """What the ledgers of all processes so far add up to."""
    lines: list[str] = []
    for path in sorted(rig.folder.glob("budgets-*.jsonl")):
        lines += path.read_text(encoding="utf-8").splitlines(keepends=True)
    return audit(read(lines)).get("repeats")


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="testbed.quota.processes", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument("scenes", nargs="*", metavar="SCENE", help=", ".join(SCENES))
    parser.add_argument("--sidecars", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--off", action="store_true", help="without the budget")
    given = parser.parse_args(argv)
    for name in given.scenes:
        if name not in SCENES:
            parser.error(f"{name}: no scene; one of {', '.join(SCENES)} is wanted")
    print(f"{'scene':<18}{'repeats':>9}{'ahead':>8}{'allowed':>9}{'lost':>6}{'most held':>11}", flush=True)
    results = asyncio.run(play(given.scenes or list(SCENES), given.sidecars, given.seed, not given.off))
    bad = []
    for name, each in results.items():
        held = f"{each.account.most_held / 1000:g}" if each.account is not None else "-"
        lost = each.verdicts.counts["lost"]
        print(f"{name:<18}{each.extras:>9}{each.ahead:>8.1f}{each.allowed:>9.1f}{lost:>6}{held:>11}")
        bad += [f"{name}, {fault}" for fault in each.faults()]
    print(f"FAILED: {bad[0]} (of {len(bad)})" if bad else "PASSED")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
