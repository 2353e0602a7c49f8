"""Plays crowds against one sidecar with the platform's limits, one line a play.

    python -m testbed.crowds [KIND ...] [--seed 1] [--plays 0] [--seconds 8] [--memory-mb 96] [--descriptors 1024]

Each kind given is played by itself, several joined by + at once.
`--plays` plays of two crowds and a flood at once are drawn by the seed.
The last line is PASSED, or FAILED with what was broken first; exit code 0 or 1.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from testbed.crowds.clients import CROWDS, FLOODS
from testbed.crowds.harness import BYTES_PER_MB, DESCRIPTORS, MEMORY_MB, CrowdReport, play_crowds

HEADER = (
    f"{'MB':>7}{'files':>7}{'descr':>7}{'made':>8}{'asked':>7}{'served':>9}{'slowest s':>11}{'shut':>6}"
    f"{'broken':>8}  crowds"
)


def draw_kinds(seed: int) -> list[str]:
    """Return the crowds of a play: two and a flood."""
    chance = random.Random(seed)
    return [*chance.sample(sorted(CROWDS), 2), chance.choice(sorted(FLOODS))]


def format_row(report: CrowdReport) -> str:
    """Return a play's line of the table."""
    testimony, peak = report.testimony, report.peak
    return (
        f"{peak.total_bytes / BYTES_PER_MB:>7.1f}{peak.file_bytes / BYTES_PER_MB:>7.1f}{report.descriptors:>7}"
        f"{report.connections:>8}{sum(testimony.statuses.values()):>7}{testimony.served_ratio:>9.1%}"
        f"{testimony.slowest_s:>11.2f}{testimony.shut_unread:>6}{len(report.broken):>8}  {', '.join(report.kinds)}"
    )


def _parse(argv: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="testbed.crowds", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("kinds", nargs="*", metavar="KIND", help=f"of {', '.join([*CROWDS, *FLOODS])}")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plays", type=int, default=0, help="plays drawn by seeds, from --seed on")
    parser.add_argument("--seconds", type=float, default=8.0, help="of each play")
    parser.add_argument("--memory-mb", type=float, default=MEMORY_MB)
    parser.add_argument("--descriptors", type=int, default=DESCRIPTORS)
    return parser.parse_args(argv)


def main(argv: Sequence[str] | None = None) -> int:
    given = _parse(argv)
    plays = [(given.seed, kind.split("+")) for kind in given.kinds]
    plays += [(seed, draw_kinds(seed)) for seed in range(given.seed, given.seed + given.plays)]
    print(HEADER, flush=True)
    broken: list[str] = []
    for seed, kinds in plays:
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(
                play_crowds(Path(folder), kinds, given.seconds, seed, given.memory_mb, given.descriptors)
            )
        print(format_row(report), flush=True)
        for line in report.broken[:5]:
            print(f"    {line}", flush=True)
        broken += report.broken
    print(f"FAILED: {broken[0]}" if broken else "PASSED")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
