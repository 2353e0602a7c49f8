"""Plays soaks: dozens of real sidecars under random, overlapping faults, one line a seed.

    python -m testbed.soak [--sidecars 24] [--seed 1] [--seeds 1] [--seconds 30] [--rate 100] [--steps] [--logs DIR]

The last line is PASSED, or FAILED with what was broken and the seed; exit code 0 or 1.  A seed plays the same faults
again; `--steps` prints them as a timeline.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

from testbed.soak.faults import draw_schedule
from testbed.soak.harness import SoakHarness, SoakReport

HEADER = (
    f"{'seed':>5}{'faults':>8}{'calls':>8}{'served':>9}{'refused':>9}"
    f"{'failed':>8}{'lasting':>8}{'unruly':>8}{'slowest s':>11}{'broken':>8}"
)


def format_row(seed: int, judged: SoakReport) -> str:
    counts = judged.verdicts.counts
    return (
        f"{seed:>5}{judged.faults:>8}{judged.verdicts.calls:>8}{judged.verdicts.served:>9.2%}{counts['refused']:>9}"
        f"{counts['failed']:>8}{judged.lasting:>8}{judged.unruly.total():>8}{judged.slowest_s:>11.2f}{len(judged.broken):>8}"
    )


async def run_soak(
    sidecars: int, seed: int, seconds: float, rate: float, logs: Path | None = None
) -> SoakReport:
    """One soak, on processes of its own; `logs`: the folder in which their logs are kept."""
    rig = SoakHarness(sidecars, seed, rate)
    try:
        await rig.start()
        return await rig.soak(draw_schedule(sidecars, seed, seconds))
    finally:
        if logs is not None:
            rig.keep_logs(logs / str(seed))
        await rig.stop()


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="testbed.soak", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--sidecars", type=int, default=24)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="play as many seeds, from --seed on")
    parser.add_argument("--seconds", type=float, default=30.0, help="how long faults go on")
    parser.add_argument("--rate", type=float, default=100.0, help="honest calls a second")
    parser.add_argument("--steps", action="store_true", help="print what is done to whom and when")
    parser.add_argument("--logs", type=Path, help="keep what the processes log in this folder")
    given = parser.parse_args(argv)
    if given.sidecars < 2:
        parser.error("--sidecars: two at least: one half of them is steady")
    print(HEADER, flush=True)
    bad = []
    for seed in range(given.seed, given.seed + given.seeds):
        if given.steps:
            for step in draw_schedule(given.sidecars, seed, given.seconds).steps:
                print(f"{step.at:7.2f} {step.do} {step.who or ''}{step.to or ''} {step.value or ''}")
        judged = asyncio.run(run_soak(given.sidecars, seed, given.seconds, given.rate, given.logs))
        print(format_row(seed, judged), flush=True)
        for each in judged.broken[:20]:
            print(f"      {each}", flush=True)
        bad += [f"{each}, seed {seed}" for each in judged.broken]
    print(f"FAILED: {bad[0]}" + (f" (and {len(bad) - 1} more)" if bad[1:] else "") if bad else "PASSED")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
