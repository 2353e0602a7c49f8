"""Health checks that tell how many requests servers hold: to settle ties between candidates, and at a start.

With many balancers of few requests nearly all own counts are zero, and the choice between candidates that tie is all
the choice there is.  Where health checks are cheap, the tied candidates are checked for each request, which waits for
the answers; a server that does not answer in the usual time is passed over.  Where they are dear, a few at the start
tell whether the fleet is full already.
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

WAIT_TIMES: Final = 3.0  # usual times of a health check that a request waits for its checks
WAIT_OBJECTIVE_RATIO: Final = 0.05  # and never longer than this part of the objective
USUAL_STEP: Final = 0.1  # the usual time of a health check follows the last ten or so
BEARABLE_RATIO: Final = (
    0.5  # a response may be expected to take this part of the objective, at the highest priority
)
BEARABLE_RATIO_SPREAD: Final = 0.3  # and this much less at the lowest
ADMITTED_UNBEARABLE_RATIO: Final = 0.01  # of the requests: what checks foretell must stay verified
CROWDED_LOAD_MIN: Final = (
    1.0  # a server that holds less, for its size, is idle: slow responses came of something else
)
RELATIVE_SIZE_MIN: Final = 0.1  # of the mean: a nominal capacity of zero is junk
SPENT_CLIP: Final = 3.0  # one response counts for at most this many times what was expected: a jam is no rule
SPENT_CLIP_MIN: Final = 0.2  # but for this part of the objective at any rate


@dataclass(slots=True)
class CheckedChoice:
    """What a request's health checks came to."""

    server: Server | None  # None: the request is not to be sent
    widen: bool = False  # whether servers of all zones have to be looked at first


class HealthChecks:
    """Sends health checks and chooses by their answers."""

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
        self._waiting: dict[int, Request] = {}  # requests that wait for health checks, by number
        self._spent_by_load = (
            DecayingLinearFit()
        )  # part of its objective that a response takes, by its server's load
        self._usual_us = math.inf  # of a health check; not known at first
        settings = context.settings
        at_start = not costs.checks_each_request and supports_startup_probes(settings)
        self._startup = StartupProbes(settings, context.fleet_size) if at_start else None

    # -- For a request ----------------------------------------------------------------------------------

    def check_first(self, request: Request, tied: list[Server]) -> None:
        """Check tied candidates; the request waits for the answers."""
        objective_us = request.request_class.latency_objective_us
        wait_us = min(WAIT_OBJECTIVE_RATIO * objective_us, WAIT_TIMES * self._usual_us)
        request.checked_servers = tied
        request.checks_due = self._context.now + int(wait_us)
        self._waiting[request.number] = request
        for server in tied:
            if server.check_sent_at is None:
                self._ejection.send_health_check(server)
        self._agenda.schedule(request.checks_due, DeadlineKind.HEALTH_CHECKS, request.number)

    def waiting_requests(self) -> list[Request]:
        """The requests that wait for health checks now."""
        return list(self._waiting.values())

    def choose(self, request: Request) -> CheckedChoice:
        """Choose the least loaded server for a request whose checks have ended or were waited for long enough."""
        self._waiting.pop(request.number, None)
        tied, request.checked_servers = request.checked_servers, []
        if request.answered:
            return CheckedChoice(None)
        eligible = [each for each in tied if self._selection.is_eligible(each, request)]
        answered = [
            each for each in eligible if each.check_sent_at is None and each.reported_in_flight is not None
        ]
        best = min(answered, key=self._rank, default=None)
        if not request.any_zone and self._is_worth_crossing(best):
            request.any_zone = True
            return CheckedChoice(None, widen=True)
        if best is None and eligible:
            best = eligible[0]
        if best is not None and not request.attempts and self._is_unbearable(best, request):
            best = None
        return CheckedChoice(best)

    def note_load(self, attempt: Attempt) -> None:
        """Note what the server of an attempt held as it was sent, where its last check was answered."""
        if attempt.server.check_sent_at is None:
            attempt.load_when_sent = self._relative_load(attempt.server)

    def learn(self, attempt: Attempt, spent_ratio: float) -> None:
        """Learn what a load means, from the part of its objective that a response took."""
        if attempt.load_when_sent is None:
            return
        expected = self._spent_by_load.predict(attempt.load_when_sent)
        spent_max = LOST_SPENT_RATIO
        if expected is not None:
            spent_max = max(SPENT_CLIP * expected, SPENT_CLIP_MIN)
        self._spent_by_load.add(attempt.load_when_sent, min(spent_ratio, spent_max))

    def requests_per_us(self) -> float | None:
        """Requests a microsecond that a server gets, by what checks and responses tell; None: not known."""
        return self._spent_by_load.throughput(self._context.longest_objective_us)

    def _is_worth_crossing(self, best: Server | None) -> bool:
        """Whether the best server of the own zone is so loaded that a crossing is worth its price."""
        if best is None:
            return True
        expected, idle = self._expected_spent(best), self._spent_by_load.predict(0.0)
        return expected is not None and idle is not None and expected - idle > self._costs.zone_crossing

    def _is_unbearable(self, server: Server, request: Request) -> bool:
        """Whether the response is expected too late even there; a few requests are let through to verify that."""
        is_crowded = (self._relative_load(server) or 0.0) >= CROWDED_LOAD_MIN
        expected = self._expected_spent(server) if is_crowded else None
        bearable = BEARABLE_RATIO - BEARABLE_RATIO_SPREAD * (1.0 - request.priority_rank)
        if expected is None or expected <= bearable:
            return False
        return self._context.random.random() >= ADMITTED_UNBEARABLE_RATIO

    def _relative_load(self, server: Server) -> float | None:
        """What its last check says it holds, for its size: a large server bears more; None: not known."""
        if server.reported_in_flight is None:
            return None
        ready = len(self._servers.ready)
        size = server.nominal_capacity * ready / max(self._servers.ready_capacity, 1e-9)
        return server.reported_in_flight / max(size, RELATIVE_SIZE_MIN)

    def _expected_spent(self, server: Server) -> float | None:
        """The part of its objective that a response is expected to take there; None: not known."""
        load = self._relative_load(server)
        return None if load is None else self._spent_by_load.predict(load)

    def _rank(self, server: Server) -> tuple[int, float, float]:
        """Own requests in flight, then the expected time with the price of getting there, then the load."""
        detour = self._costs.zone_crossing if server.zone != self._context.settings.zone else 0.0
        idle_us = self._context.now - server.idle_since
        if not server.idle_connections or idle_us >= self._context.settings.limits.idle_timeout_us:
            detour += self._costs.handshake
        load = ((server.reported_in_flight or 0.0) + 1.0) * server.latency_ratio
        load /= self._slow_start.warmth(server)  # warming servers look idle
        return server.load(self._context.now), (self._spent_by_load.predict(load) or 0.0) + detour, load

    # -- Answers and starts -----------------------------------------------------------------------------

    def ended(self, event: HealthCheckEnded) -> None:
        """Take the result of a health check."""
        server = self._servers.by_name.get(event.server)
        if server is None:
            return
        server.check_sent_at = server.reported_in_flight = None
        self._ejection.health_check_ended(server, event.outcome)
        if self._startup is not None:
            self._startup_check_ended(self._startup, event.report)
        if event.outcome is Outcome.DELIVERED:
            usual_us = self._usual_us if self._usual_us < math.inf else float(event.elapsed_us)
            self._usual_us = usual_us + USUAL_STEP * (event.elapsed_us - usual_us)
            server.reported_in_flight = (event.report or {}).get("inflight")

    def check_at_start(self) -> None:
        """Check a few servers when the first endpoint list is known."""
        ready = self._servers.ready
        if self._startup is None or not ready:
            return
        count = self._startup.start(self._context.now, len(ready))
        checked: Sequence[Server] = ready[:count]
        for server in checked:
            self._ejection.send_health_check(server)

    def _startup_check_ended(self, startup: StartupProbes, report: Mapping[str, float] | None) -> None:
        """Begin with a fair share of what the fleet holds where it is full already, not with all that comes."""
        startup.add_result(report, self._estimator.acceptable_ratio(1.0))
        share = startup.fair_share(self._context.now, len(self._servers.ready))
        if share is not None and self._limit.limit == math.inf:
            self._limit.begin_at(max(share, 1.0))
