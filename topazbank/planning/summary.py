"""What a forwarder tells planners of itself, in bounded size; no I/O, times in whole microseconds."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from topazbank.cluster.member import Generations

SERVERS_MAX = 64  # nodes that a summary tells of: those that were most used; 40 bytes or so each
BUCKETS_MAX = 32  # of a sketch of times
_FIRST_US = 500.0  # the upper end of a sketch's first bucket; each next is _GROWTH times as far
_GROWTH = 1.5


class QuantileSketch:
    """Times in buckets that grow by a constant factor, so that sketches add up; off by a quarter at the most.

    After DDSketch (Masson, Rim, Lee: DDSketch, VLDB 2019), with a fixed range: 0.5 ms to 140 s.
    """

    __slots__ = ("counts",)

    def __init__(self, counts: Mapping[int, int] | None = None) -> None:
        self.counts: dict[int, int] = dict(counts or {})  # by bucket: BUCKETS

    def add(self, elapsed_us: float) -> None:
        bucket = 0 if elapsed_us <= _FIRST_US else math.ceil(math.log(elapsed_us / _FIRST_US, _GROWTH))
        bucket = min(bucket, BUCKETS_MAX - 1)
        self.counts[bucket] = self.counts.get(bucket, 0) + 1

    def merge(self, other: QuantileSketch) -> None:
        for bucket, count in other.counts.items():
            self.counts[bucket] = self.counts.get(bucket, 0) + count

    def quantile(self, part: float) -> float | None:
        """The time below which this part of the answers came, in microseconds; None without answers."""
        wanted = part * sum(self.counts.values())
        for bucket in sorted(self.counts):
            wanted -= self.counts[bucket]
            if wanted <= 0:
                return _FIRST_US * math.pow(_GROWTH, bucket - 0.5)
        return None


@dataclass(slots=True)
class ServerUsage:
    """One node as a forwarder saw it over a period."""

    sent: int = 0
    answered: int = 0
    failed: int = 0  # attempts that ended without an answer, those given up included
    response_time_us: int = 0  # of what was answered, summed
    in_flight: int = 0  # at the period's end
    reported_in_flight: float | None = (
        None  # requests that the node held by its newest report, queued ones included
    )
    reported_at_us: int = 0  # when that came
    concurrency: float = 0.0  # requests that it runs at once, by the same report; 0: it does not say
    ejected: bool = False


@dataclass(slots=True)
class SummaryReport:
    """One forwarder over one period."""

    forwarder: str
    incarnation: str
    number: int  # counts the forwarder's summaries
    period_us: int
    epoch: int  # the highest seen
    planner: str
    sequence: int  # of the plan that is followed; -1: none
    plan_age_us: int | None = None  # of that plan; None: none is followed
    request_classes: dict[str, tuple[int, int, int]] = field(
        default_factory=dict
    )  # arrived, served, turned away
    servers: dict[str, ServerUsage] = field(default_factory=dict)  # NODES_MOST
    response_times: QuantileSketch = field(default_factory=QuantileSketch)
    generations: Generations | None = None  # None: it takes no part in a tier


class SummaryCollector:
    """Gathers one forwarder's summaries as events pass."""

    def __init__(self) -> None:
        self._began = 0
        self._number = 0
        self._classes: dict[str, list[int]] = {}  # as many as the settings name
        self._nodes: dict[
            str, ServerUsage
        ] = {}  # nodes used in this period, and those with something in flight
        self._times = QuantileSketch()

    def request_arrived(self, kind: str) -> None:
        self._classes.setdefault(kind, [0, 0, 0])[0] += 1

    def request_served(self, kind: str) -> None:
        self._classes.setdefault(kind, [0, 0, 0])[1] += 1

    def request_rejected(self, kind: str) -> None:
        self._classes.setdefault(kind, [0, 0, 0])[2] += 1

    def attempt_sent(self, node: str) -> None:
        use = self._nodes.setdefault(node, ServerUsage())
        use.sent += 1
        use.in_flight += 1

    def attempt_ended(
        self, now: int, node: str, answered: bool, elapsed_us: int, report: Mapping[str, float] | None
    ) -> None:
        use = self._nodes.setdefault(node, ServerUsage())
        use.in_flight = max(use.in_flight - 1, 0)
        if answered:
            use.answered += 1
            use.response_time_us += elapsed_us
            self._times.add(elapsed_us)
        else:
            use.failed += 1
        if report and "inflight" in report:
            use.reported_in_flight = max(report["inflight"] + report.get("queue", 0.0), 0.0)
            use.reported_at_us = now
            util = report.get("util", 0.0)
            use.concurrency = report["inflight"] / util if util > 0.0 else 0.0

    def collect(
        self, now: int, forwarder: str, life: str, following: tuple[int, str, int], ejected: frozenset[str]
    ) -> SummaryReport:
        """The summary of what passed since the last one."""
        self._number += 1
        for name in ejected:
            self._nodes.setdefault(name, ServerUsage())
        used = sorted(self._nodes.items(), key=lambda each: -(each[1].sent + each[1].in_flight))
        for name, use in used:
            use.ejected = name in ejected
        epoch, planner, sequence = following
        summary = SummaryReport(
            forwarder,
            life,
            self._number,
            max(now - self._began, 1),
            epoch,
            planner,
            sequence,
            None,
            {kind: (counts[0], counts[1], counts[2]) for kind, counts in self._classes.items()},
            dict(used[:SERVERS_MAX]),
            self._times,
        )
        self._began, self._classes, self._times = now, {}, QuantileSketch()
        self._nodes = {
            name: ServerUsage(in_flight=use.in_flight) for name, use in self._nodes.items() if use.in_flight
        }
        return summary
