"""Runs soaks: dozens of real sidecars under random, overlapping faults, one line a seed.

    python -m testbed.soak [--sidecars 24] [--seed 1] [--seeds 1] [--seconds 30] [--rate 100] [--steps] [--logs DIR]

The last line is PASSED, or FAILED with the first violation and its seed; exit code 0 or 1.  A seed draws the same
faults again; `--steps` prints them as a timeline.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

from testbed.soak.faults import draw_schedule
from testbed.soak.harness import SoakHarness
from testbed.soak.report import SoakReport

HEADER = (
    f"{'seed':>5}{'faults':>8}{'calls':>8}{'served':>9}{'refused':>9}"
    f"{'failed':>8}{'lasting':>8}{'unruly':>8}{'slowest s':>11}{'broken':>8}"
)
VIOLATIONS_PRINTED_MAX = 20


def format_row(seed: int, report: SoakReport) -> str:
    """Return a soak's line of the table."""
    invariants, outcomes = report.invariants, report.invariants.outcomes
    return (
        f"{seed:>5}{report.fault_count:>8}{invariants.call_count:>8}{invariants.served_ratio:>9.2%}"
        f"{outcomes['refused']:>9}{outcomes['failed']:>8}{report.persistent_calls:>8}"
        f"{report.misbehaving.total():>8}{report.slowest_response_s:>11.2f}{len(report.violations):>8}"
    )


async def run_soak(
    sidecars: int, seed: int, seconds: float, rate: float, logs: Path | None = None
) -> SoakReport:
    """Run one soak on processes of its own; `logs`: the folder in which their logs are kept."""
    harness = SoakHarness(sidecars, seed, rate)
    try:
        await harness.start()
        return await harness.soak(draw_schedule(sidecars, seed, seconds))
    finally:
        if logs is not None:
            harness.save_logs(logs / str(seed))
        await harness.stop()


def _print_schedule(sidecars: int, seed: int, seconds: float) -> None:
    for step in draw_schedule(sidecars, seed, seconds).steps:
        print(f"{step.at:7.2f} {step.action} {step.members or ''}{step.targets or ''} {step.value or ''}")


def _parse(argv: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="testbed.soak", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--sidecars", type=int, default=24)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="run as many seeds, from --seed on")
    parser.add_argument("--seconds", type=float, default=30.0, help="how long faults go on")
    parser.add_argument("--rate", type=float, default=100.0, help="calls of well-behaved clients a second")
    parser.add_argument(
        "--steps", action="store_true", help="print which faults are applied to what and when"
    )
    parser.add_argument("--logs", type=Path, help="keep the processes' logs in this folder")
    options = parser.parse_args(argv)
    if options.sidecars < 2:
        parser.error("--sidecars: two at least: one half of them is steady")
    return options


def main(argv: Sequence[str] | None = None) -> int:
    """Parse the command line, run the soaks and return the exit code."""
    options = _parse(argv)
    print(HEADER, flush=True)
    violations = []
    for seed in range(options.seed, options.seed + options.seeds):
        if options.steps:
            _print_schedule(options.sidecars, seed, options.seconds)
        report = asyncio.run(run_soak(options.sidecars, seed, options.seconds, options.rate, options.logs))
        print(format_row(seed, report), flush=True)
        for violation in report.violations[:VIOLATIONS_PRINTED_MAX]:
            print(f"      {violation}", flush=True)
        violations += [f"{violation}, seed {seed}" for violation in report.violations]
    if not violations:
        print("PASSED")
        return 0
    others = f" (and {len(violations) - 1} more)" if violations[1:] else ""
    print(f"FAILED: {violations[0]}{others}")
    return 1


if __name__ == "__main__":
    sys.exit(main())
