"""Outlier ejection: failing servers receive no requests for a while, and are readmitted by one attempt at a time.

A server is ejected for consecutive failures, for frequent errors, for connections that cannot be opened, or for
silence while other servers respond.  Each ejection lasts longer than the previous one, up to a maximum, so that a
recovered server is used again.  Only a part of the servers may be ejected, since the rest would be overloaded.
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

CONSECUTIVE_FAILURES: Final = 3  # eject a server; networks break a few connections by chance
ERROR_SCORE_MAX: Final = 1.6  # ejects a server; each error adds 1 to the score
ERROR_SCORE_DECAY: Final = 0.7  # factor on the score for each response
# Duration of the first ejection in multiples of the longest latency objective; it doubles with each further one.
EJECTION_OBJECTIVES_BASE: Final = 2.0
EJECTION_OBJECTIVES_MAX: Final = 16.0
EJECTIONS_COUNTED_MAX: Final = 8
# Maximum ratio of ejected servers when ejecting a silent one: more silent servers indicate overload, not a fault.
SILENT_RATIO_MAX: Final = 0.34
EJECTED_RATIO_MAX: Final = 0.6  # for any reason; the remaining servers would be overloaded
# Responses by other servers since an overdue attempt was sent that show its server to be at fault.
OTHER_RESPONSES_MIN: Final = 4
_FAILURES = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CONNECT_FAILED, Outcome.ERROR)


class OutlierEjection:
    """Decides which servers are ejected, and keeps the list of them."""

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
        self.responses = 0  # total from all servers
        # The clock time when a server was last ejected as unreachable.
        self._last_unreachable_at = -context.longest_objective_us - 1
        # Probation tests ejected servers with idempotent requests, or with keyed ones if no class is idempotent.
        kinds = [request_class.idempotency for request_class in context.settings.classes]
        self._has_idempotent = Idempotency.IDEMPOTENT in kinds
        self._probation_kind = Idempotency.IDEMPOTENT if self._has_idempotent else Idempotency.KEYED

    # -- Health signals -----------------------------------------------------------------------------------

    def attempt_ended(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Update a server's health from the outcome of an attempt; may eject or readmit the server."""
        if attempt.is_probation:
            attempt.server.on_probation = False
        if outcome is Outcome.DELIVERED:
            self._record_response(attempt.server, request.cost)
        elif outcome in _FAILURES and not self._is_excused(attempt, outcome):
            self._record_failure(attempt, outcome)

    def health_check_ended(self, server: Server, outcome: Outcome) -> None:
        """Readmit an ejected server that answered its health check; extend its ejection if the connection failed."""
        if server.ejected_until is None:
            return
        if outcome is Outcome.DELIVERED:
            self.readmit(server)
        elif outcome is Outcome.CONNECT_FAILED:
            self._eject(server, "unreachable")

    def is_silent(self, attempt: Attempt) -> bool:
        """Whether the server has sent no response since this attempt was sent."""
        return attempt.server.last_response_at <= attempt.sent_at

    def eject_silent_server(self, attempt: Attempt) -> None:
        """Eject the server of a silent attempt, unless the other servers are silent too: then all are overloaded."""
        other_responses = self.responses - attempt.responses_before
        if attempt.server.ejected_until is None and other_responses >= OTHER_RESPONSES_MIN:
            self._eject(attempt.server, "silent", SILENT_RATIO_MAX)

    def _record_response(self, server: Server, cost: float) -> None:
        server.failures_in_row = server.connect_failures_in_row = 0
        server.error_score *= ERROR_SCORE_DECAY
        server.last_response_at = self._context.now
        self.responses += 1
        self._slow_start.served(server, cost)
        if server.ejected_until is not None:
            self.readmit(server)

    def _is_excused(self, attempt: Attempt, outcome: Outcome) -> bool:
        """Whether a failure does not indicate a fault of the server."""
        if outcome is Outcome.TIMED_OUT and attempt.server.last_response_at > attempt.sent_at:
            return True  # slow, not faulty: it has answered other attempts since
        if outcome is Outcome.TIMED_OUT and self._context.now < attempt.latency_check.slow_at:
            return True  # given up before a response was due
        stalled = self._context.stall.catching_up and not attempt.is_probation
        return stalled and outcome in (Outcome.TIMED_OUT, Outcome.CONNECT_FAILED)  # caused by this process

    def _record_failure(self, attempt: Attempt, outcome: Outcome) -> None:
        server = attempt.server
        server.failures_in_row += 1
        server.error_score += outcome is Outcome.ERROR
        is_unreachable = outcome is Outcome.CONNECT_FAILED
        server.connect_failures_in_row = server.connect_failures_in_row + 1 if is_unreachable else 0
        failures_to_eject = self._failures_to_eject(attempt)
        is_outlier = server.failures_in_row >= failures_to_eject or server.error_score >= ERROR_SCORE_MAX
        if not (attempt.is_probation or (is_outlier and server.ejected_until is None)):
            return
        self._eject(server, outcome.name.lower().replace("_", " "))
        # A broken connection proves nothing.  Only a failed connect indicates that the server's process has ended.
        if server.connect_failures_in_row >= (1 if attempt.is_probation else failures_to_eject):
            self._last_unreachable_at = self._context.now
            # The server may restart before the endpoint list shows it.
            self._slow_start.begin(server, self._context.now)

    def _failures_to_eject(self, attempt: Attempt) -> int:
        """The number of consecutive failures that eject a server.

        One failed connect is enough if another server became unreachable recently: a failed zone takes all its
        servers with it.  This does not apply to a server that answers other attempts meanwhile, since it is only
        overloaded.
        """
        another_unreachable = (
            self._context.now - self._last_unreachable_at <= self._context.longest_objective_us
        )
        is_down = attempt.server.connect_failures_in_row > 0 and self.is_silent(attempt)
        return 1 if another_unreachable and is_down else CONSECUTIVE_FAILURES

    # -- Ejection and readmission -------------------------------------------------------------------------

    def _eject(self, server: Server, reason: str, ratio_max: float = EJECTED_RATIO_MAX) -> None:
        """Eject a server or extend its ejection; `ratio_max` limits the ratio of ejected servers."""
        if server.state is ServerState.REMOVED:
            return
        if server.ejected_until is None:
            ready = len(self._servers.ready)
            total = ready if server.connect_failures_in_row else min(ready, self._load.subset_size())
            if len(self.ejected) + 1 > ratio_max * total:
                return
            self.ejected.append(server)
            self._load.exclude(server)
            self._context.actions.append(LogMessage(f"ejected {server.name}: {reason}"))
        objectives = min(EJECTION_OBJECTIVES_BASE * 2**server.ejections, EJECTION_OBJECTIVES_MAX)
        server.ejections = min(server.ejections + 1, EJECTIONS_COUNTED_MAX)
        ejection_us = objectives * self._context.longest_objective_us * self._context.jitter()
        server.ejected_until = self._context.now + int(ejection_us)

    def readmit(self, server: Server) -> None:
        """End the ejection of a server and reset its failure counters."""
        server.ejected_until = None
        self.ejected.remove(server)
        self._load.include(server)
        server.ejections = server.failures_in_row = 0
        server.error_score = 0.0
        if server.warming_since is not None and server.warming_since != server.started_at:
            self._slow_start.begin(server, self._context.now)
        self._context.actions.append(LogMessage(f"readmitted {server.name}"))

    def server_removed(self, server: Server) -> None:
        """End the ejection of a removed server, which would otherwise count toward the limit of ejected servers."""
        if server.ejected_until is not None:
            self.ejected.remove(server)
            self._load.include(server)
            server.ejected_until = None

    # -- Probation ------------------------------------------------------------------------------------------

    def due_for_probation(self, request: Request) -> Server | None:
        """An ejected server that this request may test, or None; one attempt at a time tests a server."""
        if request.attempts or not self.ejected:
            return None
        candidates = [server for server in self.ejected if self._may_test(server, request)]
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
        """Test the first unreachable server by a health check, which risks no request; return the other candidates."""
        unreachable = [server for server in candidates if server.connect_failures_in_row]
        if unreachable and unreachable[0].check_sent_at is None and self._retries.fleet_allows_health_check():
            self.send_health_check(unreachable[0])
        return [server for server in candidates if not server.connect_failures_in_row]

    def send_health_check(self, server: Server) -> None:
        """Request a health check of a server and record when it was sent."""
        server.check_sent_at = self._context.now
        self._context.actions.append(CheckHealth(server.name))
