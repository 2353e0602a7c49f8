"""Compares failure detectors in virtual time: what each costs and how often it is wrong, in one run.

    python -m benchmarks.cluster_detectors [--sizes 8 24 64] [--large 1000 5000] [--seeds 3] [--seconds 120]
                                           [--plot FILE]

For each detector and size: the time from a kill until the first member and until all members know; false deaths a
member-hour with a fifth of the messages lost and pauses below 1 s; messages and bytes a member and second in calm.
Detectors that send to all members are left out of the large sizes.  By SWIM's analysis the first probe of a dead
member begins after e/(e-1) periods on the mean; it fails a period later, and the suspicion timeout follows: the last
lines print that expectation beside the result.
"""

from __future__ import annotations

import argparse
import math
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from testbed.cluster.detectors import Ephemeral, Heartbeats, PhiAccrual, Rapid
from testbed.cluster.scenarios import Step
from testbed.cluster.virtual_time import VirtualCluster
from topazbank.cluster.failure_detector import FailureDetector
from topazbank.cluster.member import MemberState
from topazbank.cluster.settings import ProtocolSettings
from topazbank.core.bounds import membership_datagrams_per_s


class Detector(NamedTuple):
    """A detector that is compared."""

    make: Callable[..., Any]
    settings: ProtocolSettings = ProtocolSettings()
    sends_to_all: bool = False  # its runs take time by the square of the size


PLAIN_SWIM = ProtocolSettings(lifeguard=False, last_heard_gossip=False, stall_detection=False)
OWN = "the program's"
DETECTORS = {
    "heartbeats": Detector(Heartbeats, sends_to_all=True),
    "phi accrual": Detector(PhiAccrual, sends_to_all=True),
    "ephemeral nodes": Detector(Ephemeral),
    "Rapid": Detector(Rapid, sends_to_all=True),
    "plain SWIM": Detector(FailureDetector, PLAIN_SWIM),
    "SWIM, Lifeguard": Detector(FailureDetector, ProtocolSettings(last_heard_gossip=False)),
    OWN: Detector(FailureDetector),
}
SETTLE_S = 3.0  # before faults
DETECTION_MAX_S = 20.0  # for which a death is waited for
CALM_S = 5.0
LOSS = 0.2
HEADER = f"{'detector':<17}{'size':>6}{'first s':>9}{'all s':>8}{'false/h':>9}{'msgs/s':>8}{'bytes/s':>9}{'took s':>8}"


class DetectionTimes(NamedTuple):
    """Seconds from a kill."""

    first: float
    last: float


class Traffic(NamedTuple):
    """What a member sends in a second."""

    messages: float
    bytes: float


@dataclass(frozen=True, slots=True)
class Result:
    """The figures of one detector at one size."""

    detector: str
    size: int
    detection_s: list[DetectionTimes]  # of each seed
    false_deaths_hour: float  # a member
    traffic: Traffic

    @property
    def first_s(self) -> float:
        """The mean time until the first member knows."""
        return statistics.mean(times.first for times in self.detection_s)

    @property
    def all_s(self) -> float:
        """The maximum time until all members know."""
        return max(times.last for times in self.detection_s)


def _cluster(name: str, size: int, seed: int, measure_bytes: bool = False) -> VirtualCluster:
    detector = DETECTORS[name]
    return VirtualCluster(size, seed, detector.settings, detector.make, measure_bytes, settled=True)


def detection_times(name: str, size: int, seed: int) -> DetectionTimes:
    """Kill a member; return when the first and the last other one knew, at most DETECTION_MAX_S."""
    victim = seed % size
    cluster = _cluster(name, size, seed)
    cluster.run(SETTLE_S)
    cluster.changes.clear()
    cluster.apply(Step(SETTLE_S, "kill", (victim,)))
    detected: dict[int, float] = {}
    while cluster.now < SETTLE_S + DETECTION_MAX_S and len(detected) < size - 1:
        cluster.run(cluster.now + 0.1)
        for change in cluster.changes:
            if change.member == victim and change.new is MemberState.DEAD:
                detected.setdefault(change.observer, change.at - SETTLE_S)
    first = min(detected.values(), default=DETECTION_MAX_S)
    return DetectionTimes(first, max(detected.values()) if len(detected) == size - 1 else DETECTION_MAX_S)


def false_deaths_hour(name: str, size: int, seed: int, seconds: float) -> float:
    """Return the deaths a member-hour that are declared of live members, under loss and short pauses."""
    cluster = _cluster(name, size, seed)
    cluster.run(SETTLE_S)
    cluster.changes.clear()
    cluster.faults.loss = LOSS
    while cluster.now < SETTLE_S + seconds:
        span = cluster.random.uniform(0.1, 0.95)
        victim = cluster.random.randrange(size)
        cluster.apply(Step(cluster.now, "stop", (victim,), value=span))
        cluster.run(cluster.now + span + cluster.random.uniform(0.1, 0.6))
    deaths = sum(change.new is MemberState.DEAD for change in cluster.changes)
    return deaths / (size * seconds / 3600)


def calm_traffic(name: str, size: int) -> Traffic:
    """Return the traffic without faults."""
    cluster = _cluster(name, size, 1, measure_bytes=True)
    cluster.run(2.0)
    cluster.sent.clear()
    cluster.run(2.0 + CALM_S)
    member_seconds = size * CALM_S
    return Traffic(cluster.sent["messages"] / member_seconds, cluster.sent["bytes"] / member_seconds)


def measure(name: str, size: int, seeds: int, seconds: float) -> Result:
    """Return the figures of a detector; without `seconds` under loss, false deaths are not counted."""
    times = [detection_times(name, size, seed) for seed in range(1, seeds + 1)]
    traffic = calm_traffic(name, size)
    false_deaths = false_deaths_hour(name, size, 1, seconds) if seconds > 0.0 else float("nan")
    return Result(name, size, times, false_deaths, traffic)


def _parse(argv: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="benchmarks.cluster_detectors", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument("--sizes", type=int, nargs="*", default=[8, 24, 64])
    parser.add_argument("--large", type=int, nargs="*", default=[])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=120.0, help="of virtual time under loss")
    parser.add_argument("--plot", metavar="FILE", help="draw the results (extra `plots`)")
    return parser.parse_args(argv)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command; return 1 where the program's detector sends more than `core.bounds` allows."""
    arguments = _parse(argv)
    print(HEADER, flush=True)
    results = [
        *_run_size_list(arguments.sizes, list(DETECTORS), arguments.seeds, arguments.seconds),
        *_run_size_list(
            arguments.large,
            [name for name, detector in DETECTORS.items() if not detector.sends_to_all],
            seeds=1,
            seconds=0.0,
        ),
    ]
    bound = membership_datagrams_per_s(ProtocolSettings())
    print(f"by core.bounds: {bound:.1f} messages a member and second at most in calm")
    for result in results:
        if result.detector == "plain SWIM":
            expected = expected_first_s(result.size)
            print(f"first of {result.size}: expected {expected:.2f} s, seen {result.first_s:.2f} s")
    if arguments.plot:
        draw(results, arguments.plot)
    return int(any(result.detector == OWN and result.traffic.messages > bound for result in results))


def _run_size_list(sizes: Sequence[int], names: Sequence[str], seeds: int, seconds: float) -> list[Result]:
    results = []
    for size in sizes:
        for name in names:
            began = time.monotonic()
            result = measure(name, size, seeds, seconds)
            _print_result(result, time.monotonic() - began)
            results.append(result)
    return results


def _print_result(result: Result, took_s: float) -> None:
    print(
        f"{result.detector:<17}{result.size:>6}{result.first_s:>9.2f}{result.all_s:>8.2f}"
        f"{result.false_deaths_hour:>9.1f}{result.traffic.messages:>8.1f}{result.traffic.bytes:>9.0f}"
        f"{took_s:>8.1f}",
        flush=True,
    )


def expected_first_s(size: int) -> float:
    """Return the expected time until the first member knows, by SWIM's analysis (DSN 2002, section 3.1)."""
    period_s = PLAIN_SWIM.probe_period_us / 1e6
    return math.e / (math.e - 1.0) * period_s + period_s + PLAIN_SWIM.suspicion_us(size, 1) / 1e6


def draw(results: Sequence[Result], path: str) -> None:
    """Draw the results to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(15, 4.5))
    for name in dict.fromkeys(result.detector for result in results):
        own = [result for result in results if result.detector == name]
        sizes = [result.size for result in own]
        axes[0].plot(sizes, [result.first_s for result in own], marker="o", label=name)
        axes[1].plot(sizes, [result.all_s for result in own], marker="o", label=name)
        axes[2].plot(sizes, [result.traffic.messages for result in own], marker="o", label=name)
    titles = ("first knows, mean s", "all know, maximum s", "messages a member and second, calm")
    for axis, title in zip(axes, titles, strict=True):
        axis.set(xscale="log", xlabel="members", title=title)
    axes[2].set(yscale="log")
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


if __name__ == "__main__":
    raise SystemExit(main())
