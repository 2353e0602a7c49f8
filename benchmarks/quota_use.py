"""How much of a fleet-wide budget is in use where demand moves: leases from keepers, one allocator, fixed parts.

    python -m benchmarks.quota_use [--sizes 40 1000 5000] [--seconds 60] [--seeds 3] [--losses 0 0.2 0.4]

In one run, in played time: the part of the possible (by who knew all demand at once) that was spent, messages and bytes
a member and second, and how far spending ran ahead of the whole's rate.
"""

from __future__ import annotations

import argparse
import statistics
import time
from collections.abc import Sequence
from dataclasses import replace

from testbed.quota.virtual_time import Fleet, Result
from topazbank.quota.rules import THOUSANDTHS, Quota

SHIFT_S = 10.0  # demand stays with the same members for so long
BUSY = 0.05  # of all members
HEAD = f"{'way':<16}{'size':>6}{'loss':>6}{'in use':>8}{'msgs/s':>8}{'bytes/s':>9}{'ahead':>8}{'burst':>7}{'took s':>8}"


def budget_of(members: int, way: str) -> Quota:
    """A whole of one a second for each member; a tenth of it floors, but where all is."""
    floor = THOUSANDTHS // 10
    made = Quota("b", whole=members, burst=2 * members, floor=floor, members=members)
    if way == "fixed parts":
        return replace(made, floor=THOUSANDTHS)
    count = 1 if way == "one allocator" else max(3, min(16, members // 60))
    return replace(made, keepers=tuple(str(each) for each in range(count)))


def play(way: str, members: int, seconds: float, loss: float, seed: int) -> Result:
    """Demand of twice the whole, at a twentieth of the members, who change each SHIFT_S."""
    busy = max(int(members * BUSY), 1)
    rate = 2.0 * members / busy

    def demand(now: float, number: int) -> float:
        first = int(now / SHIFT_S) * busy % members
        return rate if (number - first) % members < busy else 0.1

    fleet = Fleet(budget_of(members, way), members, demand, seed, look_s=0.05 if members < 500 else 0.5)
    fleet.faults.loss = loss
    if way != "fixed parts":  # a keeper dies once, and who follows it waits out its leases
        fleet.at(seconds / 2, lambda: fleet.kill(0))
        fleet.at(seconds / 2 + 2.0, lambda: fleet.start(0))
    return fleet.play(seconds)


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.quota_use", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--sizes", type=int, nargs="*", default=[40, 1000])
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--losses", type=float, nargs="*", default=[0.0, 0.2, 0.4])
    given = parser.parse_args(argv)
    print(HEAD, flush=True)
    breaches = 0
    for size in given.sizes:
        for loss in given.losses:
            for way in ("fixed parts", "one allocator", "keepers"):
                began = time.monotonic()
                results = [play(way, size, given.seconds, loss, seed) for seed in range(given.seeds)]
                report(way, size, loss, given.seconds, results, time.monotonic() - began)
                breaches += sum(len(each.breaches) for each in results)
    print(f"{breaches} times more than the whole")
    return 1 if breaches else 0


def report(way: str, size: int, loss: float, seconds: float, results: Sequence[Result], took: float) -> None:
    used = statistics.mean(each.spent / max(each.possible, 1.0) for each in results)
    messages = statistics.mean(each.messages for each in results) / size / seconds
    count = statistics.mean(each.bytes for each in results) / size / seconds
    ahead = max(each.ahead for each in results)
    print(
        f"{way:<16}{size:>6}{loss:>6.1f}{used:>8.1%}{messages:>8.2f}{count:>9.0f}{ahead:>8.1f}"
        f"{2 * size:>7}{took:>8.1f}",
        flush=True,
    )


if __name__ == "__main__":
    raise SystemExit(main())
