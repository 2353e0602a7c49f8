"""What the balancer learns from attempts that have ended, and from overdue attempts."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from topazbank.balancing.agenda import Agenda, DeadlineKind
from topazbank.balancing.concurrency_limit import BUSY_CPU_RATIO, LOST_SPENT_RATIO, ConcurrencyLimit
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.events import AttemptEnded, Outcome
from topazbank.balancing.health_checks import HealthChecks
from topazbank.balancing.idle_connections import IdleConnections
from topazbank.balancing.key_ordering import KeyOrdering
from topazbank.balancing.load import OwnLoad
from topazbank.balancing.outlier_ejection import (
    EJECTION_OBJECTIVES_BASE,
    EJECTION_OBJECTIVES_MAX,
    OutlierEjection,
)
from topazbank.balancing.requests import Attempt, Request
from topazbank.balancing.response_times import ResponseTimes
from topazbank.balancing.retry_policy import RetryPolicy
from topazbank.balancing.servers import RejectionBackoff, Server
from topazbank.balancing.sparse_admission import SparseAdmission
from topazbank.estimation.load_estimator import LoadEstimator

CPU_RATIO_REPORTED_MAX: Final = 2.0  # noise cannot explain a higher ratio, so the report is invalid
# After it is abandoned, an attempt counts as in flight for this multiple of its elapsed time.
ABANDONED_RATIO: Final = 1.0
SILENCE_RATIO: Final = 2.0  # a server without a response is silent after this multiple of the overdue time
SILENCE_OBJECTIVE_RATIO: Final = 0.5  # and not before this part of the latency objective
REJECTIONS_COUNTED_MAX: Final = 8


class AttemptOutcomes:
    """Passes the outcome of each attempt to the components that learn from it."""

    def __init__(
        self,
        context: DecisionContext,
        agenda: Agenda,
        load: OwnLoad,
        times: ResponseTimes,
        limit: ConcurrencyLimit,
        sparse: SparseAdmission,
        estimator: LoadEstimator,
        ejection: OutlierEjection,
        retries: RetryPolicy,
        ordering: KeyOrdering,
        checks: HealthChecks,
        connections: IdleConnections,
    ) -> None:
        self._context = context
        self._agenda = agenda
        self._load = load
        self._times = times
        self._limit = limit
        self._sparse = sparse
        self._estimator = estimator
        self._ejection = ejection
        self._retries = retries
        self._ordering = ordering
        self._checks = checks
        self._connections = connections

    # -- A response that this process does not read on ----------------------------------------------------

    def response_delayed(self, attempt: Attempt) -> None:
        """Record that the server has responded, and stop timing the attempt."""
        if not attempt.pending or attempt.delayed_here:
            return
        attempt.delayed_here = True
        attempt.server.last_response_at = self._context.now
        attempt.latency_check.pending = False
        self._load.objective_passed(attempt)

    # -- The end of an attempt ----------------------------------------------------------------------------

    def ended(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Record the end of an attempt in all components that learn from it."""
        outcome = event.outcome
        attempt.pending = False
        if outcome is Outcome.DELIVERED and not attempt.delayed_here:
            self._estimator.complete_check(self._context.now, attempt.latency_check)
        elif outcome is Outcome.TIMED_OUT:
            attempt.latency_check.given_up(self._context.now)
        else:
            attempt.latency_check.pending = False
        attempt.may_have_run = self._retries.may_have_run(outcome)
        self._ordering.attempt_ended(request, outcome)
        self._load.attempt_ended(attempt)
        self._connections.attempt_ended(attempt.server, outcome)
        self._ejection.attempt_ended(request, attempt, outcome)
        self._read_report(event.report)
        if outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            self._abandoned(request, attempt, event)
        elif outcome is Outcome.ERROR:
            self._times.failed(attempt.server, request)
        elif outcome is Outcome.DELIVERED:
            self._delivered(request, attempt, event.elapsed_us)
        elif outcome is Outcome.REJECTED:
            self._rejected(request, attempt.server, event.report)

    def _read_report(self, report: Mapping[str, float] | None) -> None:
        if not report:
            return
        cpu_ratio = report.get("util", CPU_RATIO_REPORTED_MAX)
        if cpu_ratio < CPU_RATIO_REPORTED_MAX:
            self._estimator.add_cpu_report(min(max(cpu_ratio, 0.0), 1.0))

    def _abandoned(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Record an abandoned attempt, which may still be running on its server."""
        if attempt.delayed_here:
            return
        was_due = self._context.now >= attempt.latency_check.slow_at
        if was_due and not (attempt.counted_late or request.answered or event.answered):
            self._sparse.timed_out()
        abandoned_until = self._context.now + int(ABANDONED_RATIO * event.elapsed_us)
        attempt.server.abandoned_until.append(abandoned_until)
        usual_us = self._times.usual_us(request) * attempt.server.latency_ratio
        if event.elapsed_us > usual_us and not self._context.stall.catching_up:
            self._times.update_latency_ratio(attempt.server, request, event.elapsed_us)

    def _delivered(self, request: Request, attempt: Attempt, elapsed_us: int) -> None:
        objective_us = request.request_class.latency_objective_us
        self._limit.delivered(objective_us, elapsed_us)
        if self._context.stall.catching_up or attempt.delayed_here:
            return  # the elapsed time reflects this process's stall or its client, not the server
        self._checks.record_response(attempt, elapsed_us / objective_us)
        self._times.responded(attempt.server, request, elapsed_us)
        if not attempt.counted_late:
            self._limit.observe(elapsed_us / objective_us)
        attempt.server.backoffs.pop(request.flow, None)

    def _rejected(self, request: Request, server: Server, report: Mapping[str, float] | None) -> None:
        """Back off the request's flow from a server that rejected it, longer after each rejection.

        Guards against servers that admit few requests of one class or tenant.  A rejection by a server with spare
        CPU does not indicate overload.
        """
        backoff = server.backoffs.get(request.flow)
        rejections = 0 if backoff is None else backoff.rejections
        objectives = min(EJECTION_OBJECTIVES_BASE * 2**rejections, EJECTION_OBJECTIVES_MAX)
        if not self._retries.may_run_again(request):
            objectives = EJECTION_OBJECTIVES_MAX  # each further rejection would fail a request
        backoff_us = objectives * self._context.longest_objective_us * self._context.jitter()
        until = self._context.now + int(backoff_us)
        server.backoffs[request.flow] = RejectionBackoff(until, min(rejections + 1, REJECTIONS_COUNTED_MAX))
        if report is None or report.get("util", 1.0) >= BUSY_CPU_RATIO:
            self._limit.observe(LOST_SPENT_RATIO)

    # -- Overdue attempts ---------------------------------------------------------------------------------

    def overdue(self, request: Request, attempt: Attempt) -> bool:
        """Handle an attempt that takes far longer than usual; return whether it may be replaced.

        It may be replaced if its server is silent and ejected.  Guards against servers that accept work and never
        respond, long before timeouts would show it.
        """
        if attempt.delayed_here:
            return False
        stall = self._context.stall
        is_silent = self._ejection.is_silent(attempt)
        if stall.catching_up:
            # Its response may be among the events received during the stall.
            self._schedule_recheck(stall.catching_up_until + self._context.settings.tick_us, request, attempt)
            return False
        stalled_us = stall.stalled_total_us - attempt.stalled_before_us
        waited_us = self._context.now - attempt.sent_at - stalled_us
        self._compare_with_objective(request, attempt, waited_us, is_silent)
        objective_us = request.request_class.latency_objective_us
        overdue_us = self._times.overdue_us(request, attempt.server)
        silence_us = max(SILENCE_RATIO * overdue_us, SILENCE_OBJECTIVE_RATIO * objective_us)
        if is_silent and waited_us < silence_us:
            self._schedule_recheck(self._context.now + int(silence_us) - waited_us, request, attempt)
        elif is_silent:
            self._ejection.eject_silent_server(attempt)
        return is_silent and attempt.server.ejected_until is not None

    def _compare_with_objective(
        self, request: Request, attempt: Attempt, waited_us: int, is_silent: bool
    ) -> None:
        """Count an attempt as late once its objective has passed: waiting for its end would show a surge too late."""
        objective_us = request.request_class.latency_objective_us
        if waited_us < objective_us:
            self._schedule_recheck(self._context.now + objective_us - waited_us, request, attempt)
            return
        self._load.objective_passed(attempt)
        if attempt.counted_late or attempt.server.ejected_until is not None:
            return
        attempt.counted_late = True
        if self._estimator.cpu_utilization is not None and is_silent:
            # Without a response there is no report; the reports received would understate the load.
            self._estimator.add_cpu_report(1.0)
        self._limit.observe(LOST_SPENT_RATIO)

    def _schedule_recheck(self, due: int, request: Request, attempt: Attempt) -> None:
        self._agenda.schedule(due, DeadlineKind.ATTEMPT_OVERDUE, request.number, attempt.index)
