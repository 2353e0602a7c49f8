"""What planners gain where each forwarder sees little: the same traces and seeds with and without them.

    .venv/bin/python -m benchmarks.quiet_forwarders [--forwarders 200] [--seeds 10] [--loads 0.6 0.7 0.8]

In simulated time (testbed.fleet.simulated): the real balancers, followers and planner; 15 nodes of three speeds,
about one request a second a forwarder.  Error bars are two standard errors of the difference, seed by seed.
"""

from __future__ import annotations

import argparse
import json
import math
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from testbed.fleet.simulated import START, Fleet, ServiceLevel, service_level
from testbed.fleet.simulated_server import US_PER_S
from topazbank.platform_names import settings_from_wire

SPEEDS = (0.5, 1.0, 2.0)
SERVERS, CONCURRENCY = 15, 2
WARM_S, SPAN_S = 20.0, 60.0
EXAMPLE = Path(__file__).parent.parent / "deploy" / "example.json"


def simulate(forwarders: int, load: float, seed: int, planners: int, lost: bool = False) -> ServiceLevel:
    settings = settings_from_wire(json.loads(EXAMPLE.read_text(encoding="utf-8"))["settings"])
    servers = [(f"n-{each:02}", SPEEDS[each % 3], CONCURRENCY, each % 3) for each in range(SERVERS)]
    fleet = Fleet(settings, forwarders=forwarders, servers=servers, planners=planners, seed=seed)
    capacity = sum(speed * concurrency for _, speed, concurrency, _ in servers)
    fleet.offer_load(float(forwarders), WARM_S + SPAN_S, load * capacity / forwarders, seed)
    until = START + int((WARM_S + SPAN_S) * US_PER_S)
    fleet.run(START + int(WARM_S * US_PER_S))
    if lost:
        fleet.cut_links |= {("*", each.name) for each in fleet.planners}
    fleet.run(until + 3 * US_PER_S)
    return service_level(fleet, START + int(WARM_S * US_PER_S), until)


def without_and_with_planners(job: tuple[int, float, int, bool]) -> tuple[ServiceLevel, ServiceLevel]:
    forwarders, load, seed, lost = job
    return simulate(forwarders, load, seed, 0), simulate(forwarders, load, seed, 1, lost)


def mean_and_bar(values: list[float]) -> tuple[float, float]:
    bar = 2.0 * statistics.stdev(values) / math.sqrt(len(values)) if len(values) > 1 else math.inf
    return statistics.fmean(values), bar


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.quiet_forwarders", description=__doc__)
    parser.add_argument("--forwarders", type=int, default=200)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.6, 0.7, 0.8])
    parser.add_argument(
        "--lost", action="store_true", help="all planners are unreachable throughout what is counted"
    )
    arguments = parser.parse_args()
    print(f"{'load':>5}  {'':<12}{'alone':>9}{'planned':>9}{'difference':>12}{'bar':>8}")
    with ProcessPoolExecutor(6) as pool:
        for load in arguments.loads:
            jobs = [
                (arguments.forwarders, load, seed, arguments.lost) for seed in range(1, arguments.seeds + 1)
            ]
            pairs = list(pool.map(without_and_with_planners, jobs))
            for name in ("late", "p99", "p50", "served"):
                alone = [getattr(each, name) for each, _ in pairs]
                planned = [getattr(each, name) for _, each in pairs]
                difference, bar = mean_and_bar([b - a for a, b in zip(alone, planned, strict=True)])
                remark = "" if abs(difference) > bar else "  can't be told apart"
                print(
                    f"{load:>5.2f}  {name:<12}{statistics.fmean(alone):>9.4f}{statistics.fmean(planned):>9.4f}"
                    f"{difference:>+12.4f}{bar:>8.4f}{remark}",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
