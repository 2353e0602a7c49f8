"""Health checks at a process's start that show whether it begins before a fleet that is full already.

Failure guarded against: a release restarts most sidecars within a second, while the few that stayed have filled the
fleet.  Each new one admits everything until late answers show the overload; by then servers hold seconds of work.
The load reports of a few health checks show it at once.  Where health checks are expensive they are spent on this
alone: at most `PROBES_MAX` in the life of a process.  No I/O; times in microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping

from topazbank.balancing.settings import ReportSource, Settings
from topazbank.estimation.fleet_size import FleetSize

PROBES_MAX = 6  # enough that half of the servers may be down
OVERLOADED_RATIO = 0.5  # the fleet is full when this part of the servers that may be up is overloaded
REPORTS_MIN = 2  # fewer usable reports give no estimate
REQUIRED_COLUMNS = {"inflight", "queue", "latency_ms"}  # of a load report
VALID_OBJECTIVES = 1.0  # after this many of the longest latency objective the sidecar has answers of its own


def supports_startup_probes(settings: Settings) -> bool:
    """Return whether health checks report a server's load, and there are other sidecars that may have filled it."""
    reported = settings.limits.health_checks and settings.report_source is ReportSource.HEALTH_CHECKS
    return reported and settings.fleet_size > 1 and REQUIRED_COLUMNS <= set(settings.report_columns)


class StartupProbes:
    """The health checks of one start, and the estimate that they give."""

    def __init__(self, settings: Settings, fleet_size: FleetSize) -> None:
        objectives = [request_class.latency_objective_us for request_class in settings.classes]
        self._mean_objective_us = sum(objectives) / len(objectives)
        self._longest_objective_us = max(objectives)
        self._fleet_size = fleet_size
        self.probes_sent = 0
        self._valid_until = 0
        self._reports = 0
        self._overloaded = 0
        self._failed = 0
        self._in_flight = 0.0  # the sum over all reports

    def start(self, now: int, ready_servers: int) -> int:
        """Return how many of the ready servers to check now; 0 after the first call."""
        if self.probes_sent:
            return 0
        self.probes_sent = min(PROBES_MAX, ready_servers)
        self._valid_until = now + int(VALID_OBJECTIVES * self._longest_objective_us)
        return self.probes_sent

    def add_result(self, report: Mapping[str, float] | None, acceptable_ratio: float) -> None:
        """Take the load report of a health check that ended; None: it failed.

        `acceptable_ratio`: the part of its latency objective that a request may take on a server that is not
        overloaded.
        """
        if report is None:
            self._failed += 1
            return
        in_flight, latency_us = report.get("inflight"), expected_latency_us(report)
        if in_flight is None or latency_us is None:
            return
        self._reports += 1
        self._in_flight += max(in_flight, 0.0)
        self._overloaded += latency_us > acceptable_ratio * self._mean_objective_us

    def fair_share(self, now: int, ready_servers: int) -> float | None:
        """Return this sidecar's share of the requests that a full fleet has in flight.

        None: the fleet is not full, or that is not known (yet, or any more).  `ready_servers` are those of the
        endpoint list; as large a part of them is taken for down as of the health checks failed.
        """
        if now > self._valid_until or self._reports < REPORTS_MIN:
            return None
        if self._overloaded < OVERLOADED_RATIO * (self.probes_sent - self._failed):
            return None  # outstanding health checks count as servers that are not overloaded
        alive = ready_servers * self._reports / (self._reports + self._failed)
        return self._in_flight / self._reports * alive / self._fleet_size.upper_bound


def expected_latency_us(report: Mapping[str, float]) -> float | None:
    """Return what a new request would take at a server by its load report: queueing and service, microseconds.

    The queue is assumed to be worked off by as many workers as are busy, each in the recent service time.  None: a
    column is missing or negative.
    """
    in_flight, queued, service_ms = (report.get(name) for name in ("inflight", "queue", "latency_ms"))
    if in_flight is None or queued is None or service_ms is None:
        return None
    if in_flight < 0.0 or queued < 0.0 or service_ms < 0.0:
        return None
    in_service = max(in_flight - queued, 1.0)
    return 1000.0 * service_ms * (1.0 + queued / in_service)
