"""The retry policy: the only place that decides whether a request may be sent, and sent again.

`core/request_rules.py` checks the same once more as the first byte is written, since time passes until then.

Promises:

- no attempt begins for a request that has its final answer or is out of time;
- a request that is not idempotent is sent again only if every earlier attempt provably never ran;
- a request with an idempotency key is sent again only to servers that still remember the key;
- a request has no more attempts than the settings allow, and hedged requests only where they allow those;
- retries after failures stay within a budget of this balancer; after a rejection the server has told that nothing ran,
  and the next attempt takes none of it.  All retries stay within the fleet's quota.
"""

from __future__ import annotations

from typing import Final

from topazbank.balancing.context import DecisionContext
from topazbank.balancing.events import Outcome
from topazbank.balancing.fleet import HEALTH_CHECKS, RETRIES, TENANT_REQUESTS, FleetQuota
from topazbank.balancing.requests import Request
from topazbank.balancing.servers import Server
from topazbank.balancing.settings import Idempotency, IdempotencyScope

RETRIES_PER_REQUEST: Final = 0.2  # retries after failures, for each request: guards against retry storms
RETRY_BUDGET_REQUESTS: Final = 50.0  # requests whose allowance may be saved up


class RetryPolicy:
    """Answers whether an attempt may be made; it counts what retries cost."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._limits = context.settings.limits
        self._budget_max = RETRIES_PER_REQUEST * RETRY_BUDGET_REQUESTS
        self.budget = self._budget_max / 2  # retries that may be made now
        self.fleet_quota: FleetQuota | None = None  # what the entire fleet has left; None: no such limit
        rejected_proves = () if context.settings.rules.rejects_after_start else (Outcome.REJECTED,)
        self._never_ran = (Outcome.CONNECT_FAILED, Outcome.UNSENT, *rejected_proves)

    # -- Whether an attempt may begin -------------------------------------------------------------------

    def allows_attempt(self, request: Request, server: Server) -> bool:
        """Whether an attempt of this request may begin now at this server."""
        if request.answered or self._context.now >= request.answer_by:
            return False
        if len(request.attempts) >= self._limits.max_attempts:
            return False
        if not self._limits.hedging and request.has_pending_attempt():
            return False
        return self.may_run_again(request) and self.drops_repeats(request, server)

    def allows_hedge(self, request: Request) -> bool:
        """Whether budget and limits leave room for one more attempt beside the one in flight."""
        return self.budget >= 1.0 and len(request.attempts) < self._limits.max_attempts

    def may_run_again(self, request: Request) -> bool:
        """Whether the request's class allows another attempt now."""
        return self._context.now < self.write_by(request)

    def write_by(self, request: Request) -> int:
        """Clock time by which another attempt has to be written completely, by the request's class."""
        may_have_run = request.first_that_may_have_run()
        if may_have_run is None or request.request_class.idempotency is Idempotency.IDEMPOTENT:
            return max(request.answer_by, self._context.now + 1)
        if request.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return 0
        # Servers forget the key after its window; one tick less, since the clock is read once a tick.
        window_us = request.request_class.idempotency_window_us
        return may_have_run.sent_at + window_us - self._context.settings.tick_us

    def drops_repeats(self, request: Request, server: Server) -> bool:
        """Whether this server would drop a repeat of the request, as far as its class relies on that."""
        kind = request.request_class
        if kind.idempotency is not Idempotency.KEYED or kind.idempotency_scope is IdempotencyScope.ALL:
            return True
        may_have_run = request.first_that_may_have_run()
        if may_have_run is None:
            return True
        if kind.idempotency_scope is IdempotencyScope.ZONE:
            return may_have_run.zone == server.zone
        return may_have_run.cell == server.cell

    # -- What retries cost --------------------------------------------------------------------------------

    def request_arrived(self) -> None:
        """A request earns its part of a retry."""
        self.budget = min(self.budget + RETRIES_PER_REQUEST, self._budget_max)

    def take_retry(self, request: Request) -> bool:
        """Whether the request may be retried after a failure; takes the retry from this balancer's budget."""
        if not self.may_run_again(request) or self.budget < 1.0:
            return False
        self.budget -= 1.0
        return True

    def take_hedge(self) -> None:
        """Take a hedged request from this balancer's budget."""
        self.budget -= 1.0

    def fleet_allows_attempt(self, request: Request) -> bool:
        """Whether the fleet's quota allows the attempt; the first of a request always may."""
        return not request.attempts or self._acquire(RETRIES)

    def fleet_allows_health_check(self) -> bool:
        """Whether the fleet's quota allows a health check."""
        return self._acquire(HEALTH_CHECKS)

    def fleet_allows_tenant(self, tenant: str | None) -> bool:
        """Whether the fleet's quota allows one more request of this tenant."""
        return tenant is None or self._acquire(TENANT_REQUESTS, tenant)

    def _acquire(self, resource: str, tenant: str | None = None) -> bool:
        return self.fleet_quota is None or self.fleet_quota.acquire(resource, tenant, self._context.now)

    # -- What an outcome proves ---------------------------------------------------------------------------

    def may_have_run(self, outcome: Outcome) -> bool:
        """Whether an attempt with this outcome may have run."""
        return outcome not in self._never_ran

    def is_harmless_to_repeat(self, request: Request) -> bool:
        """Whether the client may repeat the request without running it twice: it can be rejected, not failed."""
        kind = request.request_class
        if kind.idempotency is Idempotency.IDEMPOTENT:
            return True
        if kind.idempotency is Idempotency.KEYED and kind.idempotency_scope is IdempotencyScope.ALL:
            return True
        return request.first_that_may_have_run() is None
