"""The retry policy: the only place that decides whether a request may be sent or retried.

`core/request_rules.py` repeats these checks when the first byte is written, since time passes until then.

Guarantees:

- no attempt begins for a request that has its final answer or is out of time;
- a non-idempotent request is retried only if every earlier attempt provably never ran;
- a request with an idempotency key is retried only on servers that still remember the key;
- a request has no more attempts than the settings allow, and is hedged only if they allow hedging;
- retries after failures stay within this balancer's retry budget.  A rejection indicates that nothing ran, so a retry
  after it does not use the budget.  All retries stay within the fleet's quota.
"""

from __future__ import annotations

from typing import Final

from topazbank.balancing.context import DecisionContext
from topazbank.balancing.events import Outcome
from topazbank.balancing.fleet import HEALTH_CHECKS, RETRIES, TENANT_REQUESTS, FleetQuota
from topazbank.balancing.requests import Request
from topazbank.balancing.servers import Server
from topazbank.balancing.settings import Idempotency, IdempotencyScope

RETRIES_PER_REQUEST: Final = 0.2  # retries after failures, per request: guards against retry storms
RETRY_BUDGET_REQUESTS: Final = 50.0  # requests whose unused retry allowance accumulates


class RetryPolicy:
    """Decides whether an attempt may be made, and accounts for the retry budget."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._limits = context.settings.limits
        self._budget_max = RETRIES_PER_REQUEST * RETRY_BUDGET_REQUESTS
        self.budget = self._budget_max / 2  # retries available now
        self.fleet_quota: FleetQuota | None = None  # None: the fleet sets no quota
        rejected = () if context.settings.rules.rejects_after_start else (Outcome.REJECTED,)
        self._never_ran_outcomes = (Outcome.CONNECT_FAILED, Outcome.UNSENT, *rejected)

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
        """Whether the retry budget and the attempt limit allow one more attempt besides the one in flight."""
        return self.budget >= 1.0 and len(request.attempts) < self._limits.max_attempts

    def may_run_again(self, request: Request) -> bool:
        """Whether the request's class allows another attempt now."""
        return self._context.now < self.write_by(request)

    def write_by(self, request: Request) -> int:
        """The clock time by which another attempt must be completely written, according to the request's class."""
        earlier_attempt = request.first_that_may_have_run()
        if earlier_attempt is None or request.request_class.idempotency is Idempotency.IDEMPOTENT:
            return max(request.answer_by, self._context.now + 1)
        if request.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return 0
        # Servers forget the key after its window.  One tick is subtracted, since the clock is read once per tick.
        window_us = request.request_class.idempotency_window_us
        return earlier_attempt.sent_at + window_us - self._context.settings.tick_us

    def drops_repeats(self, request: Request, server: Server) -> bool:
        """Whether this server would deduplicate a repeat of the request, if its class relies on that."""
        request_class = request.request_class
        if (
            request_class.idempotency is not Idempotency.KEYED
            or request_class.idempotency_scope is IdempotencyScope.ALL
        ):
            return True
        earlier_attempt = request.first_that_may_have_run()
        if earlier_attempt is None:
            return True
        if request_class.idempotency_scope is IdempotencyScope.ZONE:
            return earlier_attempt.zone == server.zone
        return earlier_attempt.cell == server.cell

    # -- Retry budget and fleet quota ---------------------------------------------------------------------

    def request_arrived(self) -> None:
        """Add the retry allowance of a new request to the budget."""
        self.budget = min(self.budget + RETRIES_PER_REQUEST, self._budget_max)

    def take_retry(self, request: Request) -> bool:
        """Whether the request may be retried after a failure; if so, deduct the retry from this balancer's budget."""
        if not self.may_run_again(request) or self.budget < 1.0:
            return False
        self.budget -= 1.0
        return True

    def take_hedge(self) -> None:
        """Deduct a hedged request from this balancer's budget."""
        self.budget -= 1.0

    def fleet_allows_attempt(self, request: Request) -> bool:
        """Whether the fleet's quota allows the attempt; the first attempt of a request is always allowed."""
        return not request.attempts or self._acquire(RETRIES)

    def fleet_allows_health_check(self) -> bool:
        """Whether the fleet's quota allows a health check."""
        return self._acquire(HEALTH_CHECKS)

    def fleet_allows_tenant(self, tenant: str | None) -> bool:
        """Whether the fleet's quota allows one more request of this tenant."""
        return tenant is None or self._acquire(TENANT_REQUESTS, tenant)

    def _acquire(self, resource: str, tenant: str | None = None) -> bool:
        return self.fleet_quota is None or self.fleet_quota.acquire(resource, tenant, self._context.now)

    # -- Whether an attempt may have run ------------------------------------------------------------------

    def may_have_run(self, outcome: Outcome) -> bool:
        """Whether an attempt with this outcome may have run."""
        return outcome not in self._never_ran_outcomes

    def is_harmless_to_repeat(self, request: Request) -> bool:
        """Whether the client can repeat the request without running it twice; it is then rejected instead of failed."""
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if (
            request_class.idempotency is Idempotency.KEYED
            and request_class.idempotency_scope is IdempotencyScope.ALL
        ):
            return True
        return request.first_that_may_have_run() is None
