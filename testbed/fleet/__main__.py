"""Replays failure cases over a fleet and judges them by the four rules.

    python -m testbed.fleet [SCENE ...] [--pace 1.0] [--rate 150] [--seeds 3]
    python -m testbed.fleet --outage 300

Without a scene all are played, one after the other.  The last line of each is what broke a rule, if anything did.
"""

from __future__ import annotations

import argparse
import asyncio
import sys

from testbed.fleet.invariants import InvariantReport
from testbed.fleet.scenarios import PLANNER_SCENARIOS, SCENARIOS, outage_beside_fixed_list, run_scenario

HEADER = (
    f"{'':<32}{'seed':>5}{'calls':>8}{'served':>9}{'in aim':>9}{'refused':>9}{'failed':>8}{'lost':>6}  rules"
)


def format_row(name: str, seed: int, verdicts: InvariantReport) -> str:
    counts = verdicts.counts
    parts = f"{verdicts.served:>9.2%}{verdicts.in_aim:>9.2%}"
    others = f"{counts['refused']:>9}{counts['failed']:>8}{counts['lost']:>6}"
    rules = "kept" if not verdicts.broken else f"{len(verdicts.broken)} broken: {verdicts.broken[0]}"
    return f"{name:<32}{seed:>5}{verdicts.calls:>8}{parts}{others}  {rules}"


def print_report(name: str, seed: int, verdicts: InvariantReport) -> int:
    print(format_row(name, seed, verdicts), flush=True)
    return len(verdicts.broken)


def main() -> int:
    parser = argparse.ArgumentParser(prog="testbed.fleet", description=__doc__)
    parser.add_argument("scenes", nargs="*", choices=[*SCENARIOS, *PLANNER_SCENARIOS, []], default=[])
    parser.add_argument("--pace", type=float, default=1.0, help="seconds that a step lasts")
    parser.add_argument("--rate", type=float, default=150.0, help="calls a second")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--outage", type=float, metavar="SECONDS")
    given = parser.parse_args()
    print(HEADER, flush=True)
    broken = 0
    for seed in range(1, given.seeds + 1):
        if given.outage:
            rigs = asyncio.run(outage_beside_fixed_list(given.outage, given.rate, seed))
            for name, rig in zip(("ensemble out", "fixed list"), rigs, strict=True):
                broken += print_report(name, seed, rig.verdicts())
            continue
        for name in given.scenes or SCENARIOS | PLANNER_SCENARIOS:
            broken += print_report(
                name, seed, asyncio.run(run_scenario(name, given.pace, given.rate, seed)).verdicts()
            )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
