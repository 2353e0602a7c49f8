"""How much of a fleet-wide quota is used where demand moves: leases from several servers, from one, or fixed shares.

    python -m benchmarks.quota_use [--sizes 40 1000 5000] [--seconds 60] [--seeds 3] [--losses 0 0.2 0.4]

In virtual time: the part of what an ideal division could use that was used, messages and bytes a member and second, and
how far the use ran ahead of the limit's rate.
"""

from __future__ import annotations

import argparse
import statistics
import time
from collections.abc import Sequence
from dataclasses import replace
from enum import StrEnum

from testbed.quota.virtual_time import Fleet, Result
from topazbank.quota.rules import MILLIUNITS_PER_UNIT, Quota

BUSY_FOR_S = 10.0  # how long the demand stays with the same members
BUSY_RATIO = 0.05  # of all members
IDLE_DEMAND_PER_S = 0.1
BURST_PER_MEMBER = 2
LARGE_FLEET = 500  # members; from then on what is held is checked less often
SERVER_DOWN_S = 2.0
HEADING = (
    f"{'division':<16}{'size':>6}{'loss':>6}{'used':>8}{'msgs/s':>8}{'bytes/s':>9}{'ahead':>8}{'burst':>7}"
    f"{'took s':>8}"
)


class Division(StrEnum):
    """The ways of dividing a quota."""

    FIXED_SHARES = "fixed shares"
    ONE_SERVER = "one server"
    LEASE_SERVERS = "lease servers"


def quota_for(members: int, division: Division) -> Quota:
    """One unit a second for each member; a tenth of it as floors, or all for fixed shares."""
    floor = MILLIUNITS_PER_UNIT // 10
    quota = Quota("b", limit=members, burst=BURST_PER_MEMBER * members, floor=floor, members=members)
    if division is Division.FIXED_SHARES:
        return replace(quota, floor=MILLIUNITS_PER_UNIT)
    servers = 1 if division is Division.ONE_SERVER else max(3, min(16, members // 60))
    return replace(quota, lease_servers=tuple(str(server) for server in range(servers)))


def run(division: Division, members: int, seconds: float, loss: float, seed: int) -> Result:
    """Demand of twice the limit by a twentieth of the members, others every BUSY_FOR_S."""
    busy = max(int(members * BUSY_RATIO), 1)
    busy_demand = 2.0 * members / busy

    def demand(now: float, member: int) -> float:
        first = int(now / BUSY_FOR_S) * busy % members
        return busy_demand if (member - first) % members < busy else IDLE_DEMAND_PER_S

    check_period_s = 0.05 if members < LARGE_FLEET else 0.5
    fleet = Fleet(quota_for(members, division), members, demand, seed, check_period_s)
    fleet.faults.loss = loss
    if division is not Division.FIXED_SHARES:  # a lease server is killed, and starts again without its grants
        fleet.schedule(seconds / 2, lambda: fleet.kill(0))
        fleet.schedule(seconds / 2 + SERVER_DOWN_S, lambda: fleet.start(0))
    return fleet.run_until(seconds)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command; the exit code: 1 if a limit was exceeded."""
    parser = argparse.ArgumentParser(prog="benchmarks.quota_use", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--sizes", type=int, nargs="*", default=[40, 1000])
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--losses", type=float, nargs="*", default=[0.0, 0.2, 0.4])
    options = parser.parse_args(argv)
    print(HEADING, flush=True)
    violations = 0
    for size in options.sizes:
        for loss in options.losses:
            for division in Division:
                started_at = time.monotonic()
                results = [run(division, size, options.seconds, loss, seed) for seed in range(options.seeds)]
                elapsed_s = time.monotonic() - started_at
                _print_line(division, size, loss, options.seconds, results, elapsed_s)
                violations += sum(len(result.violations) for result in results)
    print(f"{violations} times more than the limit")
    return 1 if violations else 0


def _print_line(
    division: Division, size: int, loss: float, seconds: float, results: Sequence[Result], elapsed_s: float
) -> None:
    used = statistics.mean(result.acquired / max(result.possible, 1.0) for result in results)
    messages = statistics.mean(result.messages for result in results) / size / seconds
    message_bytes = statistics.mean(result.message_bytes for result in results) / size / seconds
    ahead = max(result.ahead_max for result in results)
    print(
        f"{division:<16}{size:>6}{loss:>6.1f}{used:>8.1%}{messages:>8.2f}{message_bytes:>9.0f}{ahead:>8.1f}"
        f"{BURST_PER_MEMBER * size:>7}{elapsed_s:>8.1f}",
        flush=True,
    )


if __name__ == "__main__":
    raise SystemExit(main())
