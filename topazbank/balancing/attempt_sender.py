"""The single place where attempts are sent: its conditions hold for every attempt, however the server was chosen."""

from __future__ import annotations

from topazbank.balancing.actions import SendAttempt
from topazbank.balancing.agenda import Agenda, DeadlineKind
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.events import ServerState
from topazbank.balancing.idle_connections import IdleConnections
from topazbank.balancing.key_ordering import KeyOrdering
from topazbank.balancing.load import OwnLoad
from topazbank.balancing.outlier_ejection import OutlierEjection
from topazbank.balancing.requests import Attempt, Request
from topazbank.balancing.response_times import ResponseTimes
from topazbank.balancing.retry_policy import RetryPolicy
from topazbank.balancing.servers import Server
from topazbank.balancing.slow_start import SlowStart
from topazbank.estimation.load_estimator import LoadEstimator


class AttemptSender:
    """Sends attempts if the retry policy, key order, endpoint list, slow start and quota allow them."""

    def __init__(
        self,
        context: DecisionContext,
        agenda: Agenda,
        load: OwnLoad,
        times: ResponseTimes,
        slow_start: SlowStart,
        estimator: LoadEstimator,
        ejection: OutlierEjection,
        retries: RetryPolicy,
        ordering: KeyOrdering,
        connections: IdleConnections,
    ) -> None:
        self._context = context
        self._agenda = agenda
        self._load = load
        self._times = times
        self._slow_start = slow_start
        self._estimator = estimator
        self._ejection = ejection
        self._retries = retries
        self._ordering = ordering
        self._connections = connections

    def send(self, request: Request, server: Server) -> bool:
        """Send an attempt of a request to a server; return whether it was allowed and sent."""
        if not self._retries.allows_attempt(request, server) or not self._ordering.has_turn(request):
            return False
        if server.state is not ServerState.READY:
            return False  # draining or removed: applies immediately, the drain grace period is not used
        if not self._slow_start.admits(server, request.cost):
            return False
        if not self._retries.fleet_allows_attempt(request):
            return False
        write_by = self._retries.write_by(request)
        self._slow_start.spend(server, request.cost)
        attempt = self._new_attempt(request, server)
        overdue_at = self._context.now + self._times.overdue_us(request, server)
        self._agenda.schedule(overdue_at, DeadlineKind.ATTEMPT_OVERDUE, request.number, attempt.index)
        self._context.actions.append(SendAttempt(request.number, server.name, request.answer_by, write_by))
        return True

    def _new_attempt(self, request: Request, server: Server) -> Attempt:
        now, objective_us = self._context.now, request.request_class.latency_objective_us
        attempt = Attempt(
            len(request.attempts),
            server,
            server.zone,
            server.cell,
            now,
            self._context.stall.stalled_total_us,
            self._ejection.responses,
            self._estimator.start_check(now, objective_us, self._load.uncertainty()),
        )
        request.attempts.append(attempt)
        self._load.attempt_sent(server)
        self._connections.attempt_sent(server)
        if server.ejected_until is not None:
            server.on_probation = attempt.is_probation = True
        return attempt
