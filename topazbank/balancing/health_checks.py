"""Health checks that report how many requests servers hold: to break ties between candidates, and at startup.

If many balancers send few requests each, nearly all of their local in-flight counts are zero, so that most selections
are decided by a tie-break.  If health checks are cheap, the tied candidates are checked for each request, and the
request waits for the answers; a server that does not answer within the typical time is skipped.  If health checks are
expensive, a few at startup show whether the fleet is already full.

The spent ratio of a response is its elapsed time as part of the latency objective.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from topazbank.balancing.agenda import Agenda, DeadlineKind
from topazbank.balancing.concurrency_limit import LOST_SPENT_RATIO, ConcurrencyLimit
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.costs import Costs
from topazbank.balancing.events import HealthCheckEnded, Outcome
from topazbank.balancing.outlier_ejection import OutlierEjection
from topazbank.balancing.requests import Attempt, Request
from topazbank.balancing.selection import Selection
from topazbank.balancing.servers import Server, ServerTable
from topazbank.balancing.slow_start import SlowStart
from topazbank.estimation.decaying_sum import DecayingLinearFit
from topazbank.estimation.load_estimator import LoadEstimator
from topazbank.estimation.startup_probes import StartupProbes, supports_startup_probes

WAIT_TYPICAL_TIMES: Final = 3.0  # a request waits for at most this multiple of the typical check time
WAIT_OBJECTIVE_RATIO: Final = 0.05  # and for at most this part of its latency objective
TYPICAL_TIME_SMOOTHING: Final = 0.1  # the typical check time averages about the last ten checks
ACCEPTABLE_SPENT_RATIO: Final = 0.5  # the maximum expected spent ratio at the highest priority
ACCEPTABLE_SPENT_SPREAD: Final = 0.3  # the maximum is lower by this at the lowest priority
# Part of the requests with expected overload that are admitted nevertheless, to verify the prediction.
OVERLOAD_ADMITTED_RATIO: Final = 0.01
BUSY_LOAD_MIN: Final = 1.0  # below this relative load a server is idle; slow responses have another cause
RELATIVE_CAPACITY_MIN: Final = 0.1  # part of the mean capacity; a nominal capacity of zero is invalid
SPENT_CLIP: Final = 3.0  # caps a spent ratio at this multiple of the expected one: one jam is not typical
SPENT_CLIP_MIN: Final = 0.2  # lower bound of that cap, as part of the objective


@dataclass(slots=True)
class CheckedChoice:
    """The server that the health checks for a request indicate."""

    server: Server | None  # None: do not send the request
    widen: bool = False  # whether to select from the servers of all zones first


class HealthChecks:
    """Sends health checks and selects servers by their answers."""

    def __init__(
        self,
        context: DecisionContext,
        agenda: Agenda,
        servers: ServerTable,
        limit: ConcurrencyLimit,
        slow_start: SlowStart,
        ejection: OutlierEjection,
        selection: Selection,
        estimator: LoadEstimator,
        costs: Costs,
    ) -> None:
        self._context = context
        self._agenda = agenda
        self._servers = servers
        self._limit = limit
        self._slow_start = slow_start
        self._ejection = ejection
        self._selection = selection
        self._estimator = estimator
        self._costs = costs
        self._waiting: dict[int, Request] = {}  # requests waiting for health checks, by number
        self._spent_ratio_by_load = DecayingLinearFit()  # by the relative load of the server
        self._typical_us = math.inf  # the typical time of a health check; initially unknown
        settings = context.settings
        at_start = not costs.checks_each_request and supports_startup_probes(settings)
        self._startup_probes = StartupProbes(settings, context.fleet_size) if at_start else None

    # -- Checks for a request -----------------------------------------------------------------------------

    def check_first(self, request: Request, tied: list[Server]) -> None:
        """Check tied candidates; the request waits for the answers."""
        objective_us = request.request_class.latency_objective_us
        wait_us = min(WAIT_OBJECTIVE_RATIO * objective_us, WAIT_TYPICAL_TIMES * self._typical_us)
        request.checked_servers = tied
        request.checks_due = self._context.now + int(wait_us)
        self._waiting[request.number] = request
        for server in tied:
            if server.check_sent_at is None:
                self._ejection.send_health_check(server)
        self._agenda.schedule(request.checks_due, DeadlineKind.HEALTH_CHECKS, request.number)

    def waiting_requests(self) -> list[Request]:
        """The requests that are currently waiting for health checks."""
        return list(self._waiting.values())

    def choose(self, request: Request) -> CheckedChoice:
        """Choose the least loaded server for a request whose health checks have ended or timed out."""
        self._waiting.pop(request.number, None)
        tied, request.checked_servers = request.checked_servers, []
        if request.answered:
            return CheckedChoice(None)
        eligible = [server for server in tied if self._selection.is_eligible(server, request)]
        answered = [
            server
            for server in eligible
            if server.check_sent_at is None and server.reported_in_flight is not None
        ]
        best = min(answered, key=self._rank, default=None)
        if not request.any_zone and self._is_worth_zone_crossing(best):
            request.any_zone = True
            return CheckedChoice(None, widen=True)
        if best is None and eligible:
            best = eligible[0]
        if best is not None and not request.attempts and self._is_overloaded(best, request):
            best = None
        return CheckedChoice(best)

    def note_load(self, attempt: Attempt) -> None:
        """Record the load of an attempt's server at sending time, if its last health check was answered."""
        if attempt.server.check_sent_at is None:
            attempt.load_when_sent = self._relative_load(attempt.server)

    def record_response(self, attempt: Attempt, spent_ratio: float) -> None:
        """Learn how load affects the spent ratio from that of one response."""
        if attempt.load_when_sent is None:
            return
        expected = self._spent_ratio_by_load.predict(attempt.load_when_sent)
        spent_ratio_max = LOST_SPENT_RATIO
        if expected is not None:
            spent_ratio_max = max(SPENT_CLIP * expected, SPENT_CLIP_MIN)
        self._spent_ratio_by_load.add(attempt.load_when_sent, min(spent_ratio, spent_ratio_max))

    def requests_per_us(self) -> float | None:
        """A server's requests per microsecond, estimated from health checks and responses; None: unknown."""
        return self._spent_ratio_by_load.throughput(self._context.longest_objective_us)

    def _is_worth_zone_crossing(self, best: Server | None) -> bool:
        """Whether the best server of the local zone is so loaded that a zone crossing is worth its cost."""
        if best is None:
            return True
        expected, idle = self._expected_spent_ratio(best), self._spent_ratio_by_load.predict(0.0)
        return expected is not None and idle is not None and expected - idle > self._costs.zone_crossing

    def _is_overloaded(self, server: Server, request: Request) -> bool:
        """Whether to shed a request because even this server is expected to respond too late.

        A few such requests are admitted nevertheless, to verify the prediction.
        """
        is_busy = (self._relative_load(server) or 0.0) >= BUSY_LOAD_MIN
        expected = self._expected_spent_ratio(server) if is_busy else None
        acceptable = ACCEPTABLE_SPENT_RATIO - ACCEPTABLE_SPENT_SPREAD * (1.0 - request.priority_rank)
        if expected is None or expected <= acceptable:
            return False
        return self._context.random.random() >= OVERLOAD_ADMITTED_RATIO

    def _relative_load(self, server: Server) -> float | None:
        """A server's requests in flight as of its last check, relative to its capacity; None: unknown."""
        if server.reported_in_flight is None:
            return None
        ready = len(self._servers.ready)
        relative_capacity = server.nominal_capacity * ready / max(self._servers.ready_capacity, 1e-9)
        return server.reported_in_flight / max(relative_capacity, RELATIVE_CAPACITY_MIN)

    def _expected_spent_ratio(self, server: Server) -> float | None:
        """The expected spent ratio of a response by this server; None: unknown."""
        load = self._relative_load(server)
        return None if load is None else self._spent_ratio_by_load.predict(load)

    def _rank(self, server: Server) -> tuple[int, float, float]:
        """The sort key: local requests in flight, the expected spent ratio plus connection costs, then the load."""
        connection_cost = self._costs.zone_crossing if server.zone != self._context.settings.zone else 0.0
        idle_us = self._context.now - server.idle_since
        if not server.idle_connections or idle_us >= self._context.settings.limits.idle_timeout_us:
            connection_cost += self._costs.handshake
        load = ((server.reported_in_flight or 0.0) + 1.0) * server.latency_ratio
        load /= self._slow_start.warmth(server)  # warming servers look idle
        return (
            server.load(self._context.now),
            (self._spent_ratio_by_load.predict(load) or 0.0) + connection_cost,
            load,
        )

    # -- Results and startup ---------------------------------------------------------------------------------

    def ended(self, event: HealthCheckEnded) -> None:
        """Record the result of a health check."""
        server = self._servers.by_name.get(event.server)
        if server is None:
            return
        server.check_sent_at = server.reported_in_flight = None
        self._ejection.health_check_ended(server, event.outcome)
        if self._startup_probes is not None:
            self._startup_probe_ended(self._startup_probes, event.report)
        if event.outcome is Outcome.DELIVERED:
            typical_us = self._typical_us if self._typical_us < math.inf else float(event.elapsed_us)
            self._typical_us = typical_us + TYPICAL_TIME_SMOOTHING * (event.elapsed_us - typical_us)
            server.reported_in_flight = (event.report or {}).get("inflight")

    def check_at_start(self) -> None:
        """Check a few servers once the first endpoint list is received."""
        ready = self._servers.ready
        if self._startup_probes is None or not ready:
            return
        count = self._startup_probes.start(self._context.now, len(ready))
        checked: Sequence[Server] = ready[:count]
        for server in checked:
            self._ejection.send_health_check(server)

    def _startup_probe_ended(self, probes: StartupProbes, report: Mapping[str, float] | None) -> None:
        """Begin with a fair share of the fleet's load if the fleet is already full, not without a limit."""
        probes.add_result(report, self._estimator.acceptable_ratio(1.0))
        share = probes.fair_share(self._context.now, len(self._servers.ready))
        if share is not None and self._limit.limit == math.inf:
            self._limit.begin_at(max(share, 1.0))
