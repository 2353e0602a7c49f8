"""Outlier ejection: servers that fail are left alone for a while, and readmitted by one attempt at a time.

A server is ejected for failures in a row, for errors close together, for connections that cannot be made, or for
silence while others answer.  Ejections last longer each time, up to a bound, so that a server that recovered is found
again.  Only a part of the servers may be ejected: the rest would be overloaded.
"""

from __future__ import annotations

from typing import Final

from topazbank.balancing.actions import CheckHealth, LogMessage
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.events import Outcome, ServerState
from topazbank.balancing.load import OwnLoad
from topazbank.balancing.requests import Attempt, Request
from topazbank.balancing.retry_policy import RetryPolicy
from topazbank.balancing.servers import Server, ServerTable
from topazbank.balancing.settings import Idempotency
from topazbank.balancing.slow_start import SlowStart

FAILURES_IN_ROW: Final = 3  # that eject a server: networks break a few by chance
ERROR_SCORE_MAX: Final = 1.6  # errors that eject a server, each counting less with each response since
ERROR_SCORE_KEPT: Final = 0.7  # of the score, with each response
EJECTION_OBJECTIVES: Final = (
    2.0  # the first ejection lasts this many of the longest objective, and then doubles
)
EJECTION_OBJECTIVES_MAX: Final = 16.0
EJECTIONS_COUNTED_MAX: Final = 8
SILENT_RATIO_MAX: Final = 0.34  # of the servers, ejected for silence: more is overload, not a fault of theirs
EJECTED_RATIO_MAX: Final = 0.6  # of the servers, ejected for any reason: the rest would be overloaded
RESPONSES_OF_OTHERS: Final = 4  # since an overdue attempt left, that make its server's silence its own fault
_FAILURES = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CONNECT_FAILED, Outcome.ERROR)


class OutlierEjection:
    """Owns which servers are ejected."""

    def __init__(
        self,
        context: DecisionContext,
        servers: ServerTable,
        load: OwnLoad,
        slow_start: SlowStart,
        retries: RetryPolicy,
    ) -> None:
        self._context = context
        self._servers = servers
        self._load = load
        self._slow_start = slow_start
        self._retries = retries
        self.ejected: list[Server] = []
        self.responses = 0  # so far, from all servers
        self._unreachable_at = (
            -context.longest_objective_us - 1
        )  # when a server was last ejected as unreachable
        # Probation is with requests that may be repeated; without any, with requests that have an idempotency key.
        kinds = [each.idempotency for each in context.settings.classes]
        self._has_idempotent = Idempotency.IDEMPOTENT in kinds
        self._probation_kind = Idempotency.IDEMPOTENT if self._has_idempotent else Idempotency.KEYED

    # -- What is learnt of a server ---------------------------------------------------------------------

    def attempt_ended(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Learn of a server's health from the end of an attempt; may eject or readmit it."""
        if attempt.is_probation:
            attempt.server.on_probation = False
        if outcome is Outcome.DELIVERED:
            self._responded(attempt.server, request.cost)
        elif outcome in _FAILURES and not self._is_excused(attempt, outcome):
            self._failed(attempt, outcome)

    def health_check_ended(self, server: Server, outcome: Outcome) -> None:
        """Learn from a health check: its answer readmits a server, and a failed connection keeps it ejected."""
        if server.ejected_until is None:
            return
        if outcome is Outcome.DELIVERED:
            self.readmit(server)
        elif outcome is Outcome.CONNECT_FAILED:
            self._eject(server, "unreachable")

    def is_silent(self, attempt: Attempt) -> bool:
        """Whether the server has sent no response since this attempt left."""
        return attempt.server.last_response_at <= attempt.sent_at

    def silent_for_long(self, attempt: Attempt) -> None:
        """Eject a server that stays silent, unless the others are as silent: then all are overloaded."""
        responses_of_others = self.responses - attempt.responses_before
        if attempt.server.ejected_until is None and responses_of_others >= RESPONSES_OF_OTHERS:
            self._eject(attempt.server, "silent", SILENT_RATIO_MAX)

    def _responded(self, server: Server, cost: float) -> None:
        server.failures_in_row = server.connect_failures_in_row = 0
        server.error_score *= ERROR_SCORE_KEPT
        server.last_response_at = self._context.now
        self.responses += 1
        self._slow_start.served(server, cost)
        if server.ejected_until is not None:
            self.readmit(server)

    def _is_excused(self, attempt: Attempt, outcome: Outcome) -> bool:
        """Whether a failure says nothing against the server."""
        if outcome is Outcome.TIMED_OUT and attempt.server.last_response_at > attempt.sent_at:
            return True  # it is slow, not faulty: it answered others meanwhile
        stalled = self._context.stall.catching_up and not attempt.is_probation
        return stalled and outcome in (Outcome.TIMED_OUT, Outcome.CONNECT_FAILED)  # this process was slow

    def _failed(self, attempt: Attempt, outcome: Outcome) -> None:
        server = attempt.server
        server.failures_in_row += 1
        server.error_score += outcome is Outcome.ERROR
        is_unreachable = outcome is Outcome.CONNECT_FAILED
        server.connect_failures_in_row = server.connect_failures_in_row + 1 if is_unreachable else 0
        allowed = self._failures_allowed(attempt)
        is_outlier = server.failures_in_row >= allowed or server.error_score >= ERROR_SCORE_MAX
        if not (attempt.is_probation or (is_outlier and server.ejected_until is None)):
            return
        self._eject(server, outcome.name.lower().replace("_", " "))
        # Connections that broke prove nothing: only such that could not be made tell of a process that ended.
        if server.connect_failures_in_row >= (1 if attempt.is_probation else allowed):
            self._unreachable_at = self._context.now
            self._slow_start.begin(
                server, self._context.now
            )  # it may restart before the endpoint list says so

    def _failures_allowed(self, attempt: Attempt) -> int:
        """Failures in a row that eject a server: one failed connection, where another server is unreachable just now.

        A zone is lost with all its servers.  But not a server that answers others meanwhile: that one is full.
        """
        another = self._context.now - self._unreachable_at <= self._context.longest_objective_us
        lost = attempt.server.connect_failures_in_row > 0 and self.is_silent(attempt)
        return 1 if another and lost else FAILURES_IN_ROW

    # -- Ejection and readmission -------------------------------------------------------------------------

    def _eject(self, server: Server, reason: str, ratio_max: float = EJECTED_RATIO_MAX) -> None:
        """Eject a server, or keep it ejected for longer; `ratio_max`: of the servers that may be ejected."""
        if server.state is ServerState.REMOVED:
            return
        if server.ejected_until is None:
            ready = len(self._servers.ready)
            known = ready if server.connect_failures_in_row else min(ready, self._load.subset_size())
            if len(self.ejected) + 1 > ratio_max * known:
                return
            self.ejected.append(server)
            self._load.exclude(server)
            self._context.actions.append(LogMessage(f"ejected {server.name}: {reason}"))
        objectives = min(EJECTION_OBJECTIVES * 2**server.ejections, EJECTION_OBJECTIVES_MAX)
        server.ejections = min(server.ejections + 1, EJECTIONS_COUNTED_MAX)
        wait_us = objectives * self._context.longest_objective_us * self._context.jitter()
        server.ejected_until = self._context.now + int(wait_us)

    def readmit(self, server: Server) -> None:
        """Bring an ejected server back."""
        server.ejected_until = None
        self.ejected.remove(server)
        self._load.include(server)
        server.ejections = server.failures_in_row = 0
        server.error_score = 0.0
        if server.warming_since is not None and server.warming_since != server.started_at:
            self._slow_start.begin(server, self._context.now)
        self._context.actions.append(LogMessage(f"readmitted {server.name}"))

    def server_removed(self, server: Server) -> None:
        """A removed server is no longer ejected: it would keep others from that."""
        if server.ejected_until is not None:
            self.ejected.remove(server)
            self._load.include(server)
            server.ejected_until = None

    # -- Probation ------------------------------------------------------------------------------------------

    def due_for_probation(self, request: Request) -> Server | None:
        """An ejected server that this request may test; each is tested by one attempt at a time."""
        if request.attempts or not self.ejected:
            return None
        candidates = [each for each in self.ejected if self._may_test(each, request)]
        if self._context.settings.limits.health_checks and not self._has_idempotent:
            candidates = self._check_unreachable(candidates)
        if not candidates or request.request_class.idempotency is not self._probation_kind:
            return None
        return candidates[0]

    def _may_test(self, server: Server, request: Request) -> bool:
        if self._context.now < (server.ejected_until or 0) or server.on_probation:
            return False
        return server.state is ServerState.READY and self._slow_start.admits(server, request.cost)

    def _check_unreachable(self, candidates: list[Server]) -> list[Server]:
        """Test the first unreachable server by a health check, at no request's risk; return the other candidates."""
        unreachable = [each for each in candidates if each.connect_failures_in_row]
        if unreachable and unreachable[0].check_sent_at is None and self._retries.fleet_allows_health_check():
            self.send_health_check(unreachable[0])
        return [each for each in candidates if not each.connect_failures_in_row]

    def send_health_check(self, server: Server) -> None:
        """Send a health check to a server."""
        server.check_sent_at = self._context.now
        self._context.actions.append(CheckHealth(server.name))
