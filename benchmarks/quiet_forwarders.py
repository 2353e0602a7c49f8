"""What planners gain where each forwarder has few requests: the same load and seeds with and without them.

    .venv/bin/python -m benchmarks.quiet_forwarders [--forwarders 200] [--seeds 10] [--loads 0.6 0.7 0.8]

In virtual time (testbed.fleet.simulated): the real decision module, followers and planner; 15 backends of three speeds,
about one request a second for each forwarder.  Error bars are two standard errors of the difference, seed by seed.
"""

from __future__ import annotations

import argparse
import json
import math
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

from testbed.fleet.simulated import START, Fleet, S, Service, service
from topazbank.platform_names import settings_from_wire

SPEEDS = (0.5, 1.0, 2.0)
BACKENDS, SLOTS = 15, 2
WARMUP_S, MEASURED_S = 20.0, 60.0
EXAMPLE = Path(__file__).parent.parent / "deploy" / "example.json"


class Job(NamedTuple):
    """One pair of runs."""

    forwarders: int
    load: float  # offered work relative to the capacity
    seed: int
    planners_lost: bool


def run_fleet(forwarders: int, load: float, seed: int, planners: int, planners_lost: bool = False) -> Service:
    """Run a fleet and return its figures; `planners_lost`: they are unreachable while it is measured."""
    settings = settings_from_wire(json.loads(EXAMPLE.read_text(encoding="utf-8"))["settings"])
    backends = [(f"n-{number:02}", SPEEDS[number % 3], SLOTS, number % 3) for number in range(BACKENDS)]
    fleet = Fleet(settings, forwarders=forwarders, nodes=backends, planners=planners, seed=seed)
    capacity = sum(speed * slots for _, speed, slots, _ in backends)
    fleet.load(float(forwarders), WARMUP_S + MEASURED_S, load * capacity / forwarders, seed)
    end = START + int((WARMUP_S + MEASURED_S) * S)
    fleet.run(START + int(WARMUP_S * S))
    if planners_lost:
        fleet.cut |= {("*", planner.name) for planner in fleet.planners}
    fleet.run(end + 3 * S)
    return service(fleet, START + int(WARMUP_S * S), end)


def run_pair(job: Job) -> tuple[Service, Service]:
    """Run the same load without a planner and with one."""
    return (
        run_fleet(job.forwarders, job.load, job.seed, 0),
        run_fleet(job.forwarders, job.load, job.seed, 1, job.planners_lost),
    )


def mean_and_error_bar(values: list[float]) -> tuple[float, float]:
    """Return the mean and two standard errors of it."""
    bar = 2.0 * statistics.stdev(values) / math.sqrt(len(values)) if len(values) > 1 else math.inf
    return statistics.fmean(values), bar


def main() -> int:
    """Parse the command line, run all pairs and print the comparison."""
    parser = argparse.ArgumentParser(prog="benchmarks.quiet_forwarders", description=__doc__)
    parser.add_argument("--forwarders", type=int, default=200)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.6, 0.7, 0.8])
    parser.add_argument(
        "--lost", action="store_true", help="all planners are unreachable throughout what is counted"
    )
    options = parser.parse_args()
    print(f"{'load':>5}  {'':<12}{'alone':>9}{'planned':>9}{'difference':>12}{'bar':>8}")
    with ProcessPoolExecutor(6) as pool:
        for load in options.loads:
            jobs = [Job(options.forwarders, load, seed, options.lost) for seed in range(1, options.seeds + 1)]
            pairs = list(pool.map(run_pair, jobs))
            for name in ("late", "p99", "p50", "served"):
                alone = [getattr(alone_figures, name) for alone_figures, _ in pairs]
                planned = [getattr(planned_figures, name) for _, planned_figures in pairs]
                difference, bar = mean_and_error_bar([b - a for a, b in zip(alone, planned, strict=True)])
                remark = "" if abs(difference) > bar else "  within the error"
                print(
                    f"{load:>5.2f}  {name:<12}{statistics.fmean(alone):>9.4f}{statistics.fmean(planned):>9.4f}"
                    f"{difference:>+12.4f}{bar:>8.4f}{remark}",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
