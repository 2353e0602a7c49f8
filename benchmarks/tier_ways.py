"""Which way of finding out who of a tier is here: what each costs and how often it is wrong, in one run.

    python -m benchmarks.tier_ways [--sizes 8 24 64] [--large 1000 5000] [--seeds 3] [--seconds 120]

For each way and size: from a kill until the first knows and until all know; false "gone" a member-hour under a fifth of
loss with pauses below 1 s; messages and bytes a member and second in calm.  Ways that send to all are left out of the
large sizes.  Plain SWIM's expectation for the first is e/(e-1) periods and the wait that follows.
"""

from __future__ import annotations

import argparse
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from standins.tier.played import Played
from standins.tier.scenes import Step
from standins.tier.ways import Heartbeats, PhiAccrual
from topazbank.core.bounds import tier_messages_a_second
from topazbank.tier.detector import Detector
from topazbank.tier.rules import Rules

PLAIN = Rules(lifeguard=False, vouching=False, doubting=False)
LIFEGUARD = Rules(vouching=False)
WAYS: dict[str, tuple[Callable[..., Any], Rules]] = {
    "heartbeats": (Heartbeats, Rules()),
    "phi accrual": (PhiAccrual, Rules()),
    "plain SWIM": (Detector, PLAIN),
    "SWIM, Lifeguard": (Detector, LIFEGUARD),
    "the program's": (Detector, Rules()),
}
TO_ALL = ("heartbeats", "phi accrual")
HEAD = (
    f"{'way':<17}{'size':>6}{'first s':>9}{'all s':>8}{'false/h':>9}{'msgs/s':>8}{'bytes/s':>9}{'took s':>8}"
)


@dataclass(slots=True)
class Row:
    first_s: list[float]
    all_s: list[float]
    false_hour: float
    messages: float
    bytes: float


def killed(way: str, size: int, seed: int) -> tuple[float, float]:
    """Seconds until the first and until the last knows."""
    make, rules = WAYS[way]
    rig = Played(size, seed, rules, make, settled=True)
    rig.run(3.0)
    rig.noted.clear()
    rig.do(Step(3.0, "kill", (seed % size,)))
    knew: dict[int, float] = {}
    while rig.now < 23.0 and len(knew) < size - 1:
        rig.run(rig.now + 0.1)
        for each in rig.noted:
            if each.whom == seed % size and each.new == "GONE":
                knew.setdefault(each.by, each.at - 3.0)
    return min(knew.values(), default=20.0), max(knew.values()) if len(knew) == size - 1 else 20.0


def false_gone(way: str, size: int, seed: int, seconds: float) -> float:
    """ "Gone" of one that lives, a member-hour, under loss and short pauses."""
    make, rules = WAYS[way]
    rig = Played(size, seed, rules, make, settled=True)
    rig.run(3.0)
    rig.noted.clear()
    rig.faults.loss = 0.2
    while rig.now < 3.0 + seconds:
        span = rig.random.uniform(0.1, 0.95)
        rig.do(Step(rig.now, "stop", (rig.random.randrange(size),), value=span))
        rig.run(rig.now + span + rig.random.uniform(0.1, 0.6))
    wrong = sum(each.new == "GONE" for each in rig.noted)
    return wrong / (size * seconds / 3600)


def calm(way: str, size: int) -> tuple[float, float]:
    """Messages and bytes a member and second."""
    make, rules = WAYS[way]
    rig = Played(size, 1, rules, make, measured=True, settled=True)
    rig.run(2.0)
    rig.sent.clear()
    rig.run(7.0)
    return rig.sent["messages"] / size / 5.0, rig.sent["bytes"] / size / 5.0


def measure(way: str, size: int, seeds: int, seconds: float) -> Row:
    times = [killed(way, size, seed) for seed in range(1, seeds + 1)]
    messages, count = calm(way, size)
    false = false_gone(way, size, 1, seconds) if seconds > 0.0 else float("nan")
    return Row([each[0] for each in times], [each[1] for each in times], false, messages, count)


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.tier_ways", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--sizes", type=int, nargs="*", default=[8, 24, 64])
    parser.add_argument("--large", type=int, nargs="*", default=[])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=120.0, help="of played time under loss")
    given = parser.parse_args(argv)
    print(HEAD, flush=True)
    over = 0
    for size in [*given.sizes, *given.large]:
        for way in WAYS:
            large = size in given.large
            if large and way in TO_ALL:
                continue
            began = time.monotonic()
            row = measure(way, size, 1 if large else given.seeds, 0.0 if large else given.seconds)
            print(
                f"{way:<17}{size:>6}{statistics.mean(row.first_s):>9.2f}{max(row.all_s):>8.2f}{row.false_hour:>9.1f}"
                f"{row.messages:>8.1f}{row.bytes:>9.0f}{time.monotonic() - began:>8.1f}",
                flush=True,
            )
            if way == "the program's":
                over += row.messages > tier_messages_a_second(WAYS[way][1])
    print(
        f"by core.bounds: {tier_messages_a_second(Rules()):.1f} messages a member and second at most in calm"
    )
    return 1 if over else 0


if __name__ == "__main__":
    raise SystemExit(main())
