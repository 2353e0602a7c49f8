"""Summary reports: a forwarder's bounded-size statistics of each period; no I/O, times in microseconds."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from topazbank.cluster.member import Generations

SERVERS_MAX = 64  # per summary, those with the most attempts; about 40 bytes each
BUCKETS_MAX = 32  # per sketch
_FIRST_BUCKET_US = 500.0  # upper bound of the first bucket
_BUCKET_GROWTH_RATIO = 1.5


class QuantileSketch:
    """A histogram of times from 0.5 ms to 140 s whose buckets grow by a constant factor.

    Sketches can be merged; the relative error of a quantile is at most a quarter.  Based on DDSketch (Masson, Rim, Lee,
    VLDB 2019), with a fixed range.
    """

    __slots__ = ("counts",)

    def __init__(self, counts: Mapping[int, int] | None = None) -> None:
        self.counts: dict[int, int] = dict(counts or {})  # keyed by bucket

    def add(self, elapsed_us: float) -> None:
        """Add one time."""
        bucket = 0
        if elapsed_us > _FIRST_BUCKET_US:
            bucket = math.ceil(math.log(elapsed_us / _FIRST_BUCKET_US, _BUCKET_GROWTH_RATIO))
        bucket = min(bucket, BUCKETS_MAX - 1)
        self.counts[bucket] = self.counts.get(bucket, 0) + 1

    def merge(self, other: QuantileSketch) -> None:
        """Add the other sketch's counts."""
        for bucket, count in other.counts.items():
            self.counts[bucket] = self.counts.get(bucket, 0) + count

    def quantile(self, ratio: float) -> float | None:
        """The quantile for this ratio (0 to 1), in microseconds; None for an empty sketch."""
        remaining = ratio * sum(self.counts.values())
        for bucket in sorted(self.counts):
            remaining -= self.counts[bucket]
            if remaining <= 0:
                return _FIRST_BUCKET_US * math.pow(_BUCKET_GROWTH_RATIO, bucket - 0.5)
        return None


@dataclass(slots=True)
class ServerUsage:
    """One forwarder's use of one server over a period."""

    sent: int = 0
    answered: int = 0
    failed: int = 0  # attempts that ended without a response, cancelled ones included
    response_time_us: int = 0  # sum over the answered attempts
    in_flight: int = 0  # at the end of the period
    reported_in_flight: float | None = None  # from the server's newest load report, including queued requests
    reported_at_us: int = 0
    concurrency: float = 0.0  # requests processed in parallel, from the same report; 0: unknown
    ejected: bool = False


class RequestCounts(NamedTuple):
    """Requests of one class over a period."""

    arrived: int
    served: int
    rejected: int


class FollowedPlan(NamedTuple):
    """The plan that a forwarder follows; its sequence is -1 if there is none."""

    epoch: int  # highest epoch seen
    planner: str
    sequence: int


@dataclass(slots=True)
class SummaryReport:
    """One forwarder's summary of one period."""

    forwarder: str
    incarnation: str  # identifies the forwarder's process
    number: int  # consecutive number of the summary
    period_us: int
    epoch: int  # highest epoch seen
    planner: str
    sequence: int  # sequence of the followed plan; -1: none
    plan_age_us: int | None = None  # None: no plan is followed
    request_classes: dict[str, RequestCounts] = field(default_factory=dict)
    servers: dict[str, ServerUsage] = field(default_factory=dict)  # at most SERVERS_MAX
    response_times: QuantileSketch = field(default_factory=QuantileSketch)
    generations: Generations | None = None  # those of the cluster's members; None: not in a cluster


@dataclass(slots=True)
class _ClassCounter:
    """Counts of one request class in the current period."""

    arrived: int = 0
    served: int = 0
    rejected: int = 0


class SummaryCollector:
    """Counts events and makes a summary of each period."""

    def __init__(self) -> None:
        self._period_started_at = 0
        self._number = 0
        self._classes: dict[str, _ClassCounter] = {}  # bounded by the classes in the settings
        self._servers: dict[str, ServerUsage] = {}  # servers used in this period or with attempts in flight
        self._response_times = QuantileSketch()

    def request_arrived(self, request_class: str) -> None:
        """Count a client's request of this class."""
        self._counter(request_class).arrived += 1

    def request_served(self, request_class: str) -> None:
        """Count a request that a server answered."""
        self._counter(request_class).served += 1

    def request_rejected(self, request_class: str) -> None:
        """Count a request that the forwarder itself answered with an error."""
        self._counter(request_class).rejected += 1

    def attempt_sent(self, server: str) -> None:
        """Count an attempt sent to a server."""
        usage = self._servers.setdefault(server, ServerUsage())
        usage.sent += 1
        usage.in_flight += 1

    def attempt_ended(
        self, now: int, server: str, answered: bool, elapsed_us: int, report: Mapping[str, float] | None
    ) -> None:
        """Count the end of an attempt; `report`: the server's load report, if it sent one."""
        usage = self._servers.setdefault(server, ServerUsage())
        usage.in_flight = max(usage.in_flight - 1, 0)
        if answered:
            usage.answered += 1
            usage.response_time_us += elapsed_us
            self._response_times.add(elapsed_us)
        else:
            usage.failed += 1
        if report and "inflight" in report:
            _record_load_report(usage, now, report)

    def collect(
        self, now: int, forwarder: str, incarnation: str, followed: FollowedPlan, ejected: Collection[str]
    ) -> SummaryReport:
        """Return the summary of the current period and start the next one; `ejected`: currently ejected servers."""
        self._number += 1
        for name in ejected:
            self._servers.setdefault(name, ServerUsage())
        for name, usage in self._servers.items():
            usage.ejected = name in ejected
        summary = SummaryReport(
            forwarder,
            incarnation,
            self._number,
            max(now - self._period_started_at, 1),
            *followed,
            None,
            {
                name: RequestCounts(counter.arrived, counter.served, counter.rejected)
                for name, counter in self._classes.items()
            },
            self._most_used(),
            self._response_times,
        )
        self._start_period(now)
        return summary

    def _most_used(self) -> dict[str, ServerUsage]:
        by_use = sorted(self._servers.items(), key=lambda item: -(item[1].sent + item[1].in_flight))
        return dict(by_use[:SERVERS_MAX])

    def _start_period(self, now: int) -> None:
        self._period_started_at, self._classes, self._response_times = now, {}, QuantileSketch()
        self._servers = {
            name: ServerUsage(in_flight=usage.in_flight)
            for name, usage in self._servers.items()
            if usage.in_flight
        }

    def _counter(self, request_class: str) -> _ClassCounter:
        return self._classes.setdefault(request_class, _ClassCounter())


def _record_load_report(usage: ServerUsage, now: int, report: Mapping[str, float]) -> None:
    in_flight = report["inflight"]
    utilization = report.get("util", 0.0)
    usage.reported_in_flight = max(in_flight + report.get("queue", 0.0), 0.0)
    usage.reported_at_us = now
    usage.concurrency = in_flight / utilization if utilization > 0.0 else 0.0
