"""Runs failure scenarios over a fleet and checks the four invariants.

    python -m testbed.fleet [SCENARIO ...] [--pace 1.0] [--rate 150] [--seeds 3]
    python -m testbed.fleet --outage 300

Without a scenario all are run, one after the other.  The last column names the first violation, if there is one; the
exit code is 1 then.
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


def format_row(name: str, seed: int, report: InvariantReport) -> str:
    """Return a run's line of the table."""
    outcomes = report.outcomes
    ratios = f"{report.served_ratio:>9.2%}{report.in_objective_ratio:>9.2%}"
    counts = f"{outcomes['refused']:>9}{outcomes['failed']:>8}{outcomes['lost']:>6}"
    rules = "kept" if not report.violations else f"{len(report.violations)} broken: {report.violations[0]}"
    return f"{name:<32}{seed:>5}{report.call_count:>8}{ratios}{counts}  {rules}"


def print_report(name: str, seed: int, report: InvariantReport) -> int:
    """Print a run's line and return its number of violations."""
    print(format_row(name, seed, report), flush=True)
    return len(report.violations)


def _run_seed(options: argparse.Namespace, seed: int) -> int:
    """Run what the options ask for with one seed and return the number of violations."""
    if options.outage:
        harnesses = asyncio.run(outage_beside_fixed_list(options.outage, options.rate, seed))
        names = ("ensemble out", "fixed list")
        return sum(
            print_report(name, seed, harness.check()) for name, harness in zip(names, harnesses, strict=True)
        )
    violations = 0
    for name in options.scenarios or SCENARIOS | PLANNER_SCENARIOS:
        harness = asyncio.run(run_scenario(name, options.pace, options.rate, seed))
        violations += print_report(name, seed, harness.check())
    return violations


def main() -> int:
    """Parse the command line, run the scenarios and return the exit code."""
    parser = argparse.ArgumentParser(prog="testbed.fleet", description=__doc__)
    parser.add_argument(
        "scenarios", nargs="*", choices=[*SCENARIOS, *PLANNER_SCENARIOS, []], default=[], metavar="SCENARIO"
    )
    parser.add_argument("--pace", type=float, default=1.0, help="seconds that a step lasts")
    parser.add_argument("--rate", type=float, default=150.0, help="calls a second")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--outage", type=float, metavar="SECONDS")
    options = parser.parse_args()
    print(HEADER, flush=True)
    violations = sum(_run_seed(options, seed) for seed in range(1, options.seeds + 1))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
