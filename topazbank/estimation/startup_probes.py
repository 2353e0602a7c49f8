"""Health checks at process start that detect whether the fleet is already full.

A release restarts most sidecars within a second, while the few that keep running have filled the fleet.  Without these
checks each new sidecar admits all requests until late responses indicate the overload, and by then servers have queued
seconds of work.  The load reports of a few health checks indicate the overload immediately.  Where health checks are
expensive, they are used only for this purpose: at most `PROBES_MAX` per process.  No I/O; times in microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping

from topazbank.balancing.settings import ReportSource, Settings
from topazbank.estimation.fleet_size import FleetSize

PROBES_MAX = 6  # enough checks for a result even if half of the servers are down
OVERLOADED_RATIO = 0.5  # the fleet is full if at least this part of the servers that may be up is overloaded
REPORTS_MIN = 2  # minimum number of usable reports for an estimate
REQUIRED_COLUMNS = {"inflight", "queue", "latency_ms"}  # columns that a load report must have
# The estimate is valid for this multiple of the longest latency objective.  After that the sidecar has received
# responses itself.
VALID_OBJECTIVES = 1.0


def supports_startup_probes(settings: Settings) -> bool:
    """Return whether health checks report a server's load and other sidecars exist that may have filled the fleet."""
    reports_load = settings.limits.health_checks and settings.report_source is ReportSource.HEALTH_CHECKS
    return reports_load and settings.fleet_size > 1 and REQUIRED_COLUMNS <= set(settings.report_columns)


class StartupProbes:
    """The health checks of one process start, and the load estimate from their reports."""

    def __init__(self, settings: Settings, fleet_size: FleetSize) -> None:
        objectives = [request_class.latency_objective_us for request_class in settings.classes]
        self._mean_objective_us = sum(objectives) / len(objectives)
        self._longest_objective_us = max(objectives)
        self._fleet_size = fleet_size
        self.probes_sent = 0
        self._valid_until = 0
        self._report_count = 0
        self._overloaded_count = 0
        self._failed_count = 0
        self._in_flight_sum = 0.0  # sum over all reports

    def start(self, now: int, ready_servers: int) -> int:
        """Return the number of ready servers to check now.  It is 0 once checks have been sent."""
        if self.probes_sent:
            return 0
        self.probes_sent = min(PROBES_MAX, ready_servers)
        self._valid_until = now + int(VALID_OBJECTIVES * self._longest_objective_us)
        return self.probes_sent

    def add_result(self, report: Mapping[str, float] | None, acceptable_ratio: float) -> None:
        """Count a completed health check by its load report; None: the health check failed.

        `acceptable_ratio`: the highest latency on a server that is not overloaded, as a part of the latency objective.
        """
        if report is None:
            self._failed_count += 1
            return
        in_flight, latency_us = report.get("inflight"), expected_latency_us(report)
        if in_flight is None or latency_us is None:
            return
        self._report_count += 1
        self._in_flight_sum += max(in_flight, 0.0)
        self._overloaded_count += latency_us > acceptable_ratio * self._mean_objective_us

    def fair_share(self, now: int, ready_servers: int) -> float | None:
        """Return this sidecar's share of the requests that a full fleet has in flight.

        Returns None if the fleet is not full, or if its load is not yet or no longer known.  `ready_servers`: the
        number of ready servers in the endpoint list.  The part of them that is assumed down is the part of health
        checks that failed.
        """
        if now > self._valid_until or self._report_count < REPORTS_MIN:
            return None
        if self._overloaded_count < OVERLOADED_RATIO * (self.probes_sent - self._failed_count):
            return None  # health checks in flight count as servers that are not overloaded
        servers_up = ready_servers * self._report_count / (self._report_count + self._failed_count)
        return self._in_flight_sum / self._report_count * servers_up / self._fleet_size.upper_bound


def expected_latency_us(report: Mapping[str, float]) -> float | None:
    """Return the expected latency of a new request from a server's load report: queueing and service, microseconds.

    The queue is assumed to be processed by the currently busy workers, each at the recent service time.  Returns None
    if a column is missing or negative.
    """
    in_flight, queued, service_ms = (report.get(name) for name in ("inflight", "queue", "latency_ms"))
    if in_flight is None or queued is None or service_ms is None:
        return None
    if in_flight < 0.0 or queued < 0.0 or service_ms < 0.0:
        return None
    in_service = max(in_flight - queued, 1.0)
    return 1000.0 * service_ms * (1.0 + queued / in_service)
