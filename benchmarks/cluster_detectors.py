"""Which way of finding out who of a tier is here: what each costs and how often it is wrong, in one run.

    python -m benchmarks.cluster_detectors [--sizes 8 24 64] [--large 1000 5000] [--seeds 3] [--seconds 120]
                                           [--plot FILE]

For each way and size: from a kill until the first knows and until all know; false "gone" a member-hour under a fifth of
loss with pauses below 1 s; messages and bytes a member and second in calm.  Ways that send to all are left out of the
large sizes.  Plain SWIM's expectation for the first probe of the dead one is e/(e-1) periods from the kill; it fails
a period later, and the wait follows: the last lines print that beside what was measured.
"""

from __future__ import annotations

import argparse
import math
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from testbed.cluster.detectors import Ephemeral, Heartbeats, PhiAccrual, Rapid
from testbed.cluster.scenarios import Step
from testbed.cluster.virtual_time import VirtualCluster
from topazbank.cluster.failure_detector import FailureDetector
from topazbank.cluster.member import MemberState
from topazbank.cluster.settings import ProtocolSettings
from topazbank.core.bounds import tier_messages_a_second

PLAIN = ProtocolSettings(lifeguard=False, last_heard_gossip=False, stall_detection=False)
LIFEGUARD = ProtocolSettings(last_heard_gossip=False)
WAYS: dict[str, tuple[Callable[..., Any], ProtocolSettings]] = {
    "heartbeats": (Heartbeats, ProtocolSettings()),
    "phi accrual": (PhiAccrual, ProtocolSettings()),
    "ephemeral nodes": (Ephemeral, ProtocolSettings()),
    "Rapid": (Rapid, ProtocolSettings()),
    "plain SWIM": (FailureDetector, PLAIN),
    "SWIM, Lifeguard": (FailureDetector, LIFEGUARD),
    "the program's": (FailureDetector, ProtocolSettings()),
}
SMALL_ONLY = ("heartbeats", "phi accrual", "Rapid")  # their plays grow with the square of the size
HEAD = (
    f"{'way':<17}{'size':>6}{'first s':>9}{'all s':>8}{'false/h':>9}{'msgs/s':>8}{'bytes/s':>9}{'took s':>8}"
)


@dataclass(slots=True)
class Row:
    way: str
    size: int
    first_s: list[float]
    all_s: list[float]
    false_hour: float
    messages: float
    bytes: float


def killed(way: str, size: int, seed: int) -> tuple[float, float]:
    """Seconds until the first and until the last knows."""
    make, rules = WAYS[way]
    cluster = VirtualCluster(size, seed, rules, make, settled=True)
    cluster.run(3.0)
    cluster.changes.clear()
    cluster.apply(Step(3.0, "kill", (seed % size,)))
    knew: dict[int, float] = {}
    while cluster.now < 23.0 and len(knew) < size - 1:
        cluster.run(cluster.now + 0.1)
        for each in cluster.changes:
            if each.member == seed % size and each.new is MemberState.DEAD:
                knew.setdefault(each.observer, each.at - 3.0)
    return min(knew.values(), default=20.0), max(knew.values()) if len(knew) == size - 1 else 20.0


def false_gone(way: str, size: int, seed: int, seconds: float) -> float:
    """ "Gone" of one that lives, a member-hour, under loss and short pauses."""
    make, rules = WAYS[way]
    cluster = VirtualCluster(size, seed, rules, make, settled=True)
    cluster.run(3.0)
    cluster.changes.clear()
    cluster.faults.loss = 0.2
    while cluster.now < 3.0 + seconds:
        span = cluster.random.uniform(0.1, 0.95)
        cluster.apply(Step(cluster.now, "stop", (cluster.random.randrange(size),), value=span))
        cluster.run(cluster.now + span + cluster.random.uniform(0.1, 0.6))
    wrong = sum(each.new is MemberState.DEAD for each in cluster.changes)
    return wrong / (size * seconds / 3600)


def calm(way: str, size: int) -> tuple[float, float]:
    """Messages and bytes a member and second."""
    make, rules = WAYS[way]
    cluster = VirtualCluster(size, 1, rules, make, measure_bytes=True, settled=True)
    cluster.run(2.0)
    cluster.sent.clear()
    cluster.run(7.0)
    return cluster.sent["messages"] / size / 5.0, cluster.sent["bytes"] / size / 5.0


def measure(way: str, size: int, seeds: int, seconds: float) -> Row:
    times = [killed(way, size, seed) for seed in range(1, seeds + 1)]
    messages, count = calm(way, size)
    false = false_gone(way, size, 1, seconds) if seconds > 0.0 else float("nan")
    return Row(way, size, [each[0] for each in times], [each[1] for each in times], false, messages, count)


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="benchmarks.cluster_detectors", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument("--sizes", type=int, nargs="*", default=[8, 24, 64])
    parser.add_argument("--large", type=int, nargs="*", default=[])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=120.0, help="of played time under loss")
    parser.add_argument("--plot", metavar="FILE", help="draw what was measured (extra `plots`)")
    given = parser.parse_args(argv)
    print(HEAD, flush=True)
    over = 0
    rows = []
    for size in [*given.sizes, *given.large]:
        for way in WAYS:
            large = size in given.large
            if large and way in SMALL_ONLY:
                continue
            began = time.monotonic()
            row = measure(way, size, 1 if large else given.seeds, 0.0 if large else given.seconds)
            print(
                f"{way:<17}{size:>6}{statistics.mean(row.first_s):>9.2f}{max(row.all_s):>8.2f}{row.false_hour:>9.1f}"
                f"{row.messages:>8.1f}{row.bytes:>9.0f}{time.monotonic() - began:>8.1f}",
                flush=True,
            )
            rows.append(row)
            if way == "the program's":
                over += row.messages > tier_messages_a_second(WAYS[way][1])
    print(
        f"by core.bounds: {tier_messages_a_second(ProtocolSettings()):.1f} messages a member and second at most in calm"
    )
    for row in rows:
        if row.way == "plain SWIM":
            expected = first_expected_s(row.size)
            print(
                f"first of {row.size}: expected {expected:.2f} s, seen {statistics.mean(row.first_s):.2f} s"
            )
    if given.plot:
        draw(rows, given.plot)
    return 1 if over else 0


def first_expected_s(size: int) -> float:
    """By SWIM's arithmetic (DSN 2002, 3.1), for its rules here."""
    period = PLAIN.probe_period_us / 1e6
    return math.e / (math.e - 1.0) * period + period + PLAIN.suspicion_us(size, 1) / 1e6


def draw(rows: Sequence[Row], path: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(15, 4.5))
    for way in dict.fromkeys(row.way for row in rows):
        mine = [row for row in rows if row.way == way]
        sizes = [row.size for row in mine]
        axes[0].plot(sizes, [statistics.mean(row.first_s) for row in mine], marker="o", label=way)
        axes[1].plot(sizes, [max(row.all_s) for row in mine], marker="o", label=way)
        axes[2].plot(sizes, [row.messages for row in mine], marker="o", label=way)
    names = ("first knows, mean s", "all know, most s", "messages a member and second, calm")
    for axis, name in zip(axes, names, strict=True):
        axis.set(xscale="log", xlabel="members", title=name)
    axes[2].set(yscale="log")
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


if __name__ == "__main__":
    raise SystemExit(main())
