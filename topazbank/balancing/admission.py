"""Admission control: decides whether to shed a new request on arrival.

Guards against congestive collapse: a fleet that answers every request too late serves nobody, and clients retry
requests that fail late.  As the concurrency limit fills up, the admission probability falls exponentially, and sooner
for requests with a lower priority.
"""

from __future__ import annotations

import math
from typing import Final

from topazbank.balancing.concurrency_limit import ADMIT_ALL_UTILISATION, ConcurrencyLimit
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.requests import Request
from topazbank.balancing.settings import RequestClass
from topazbank.balancing.sparse_admission import SparseAdmission
from topazbank.estimation.load_estimator import LoadEstimator
from topazbank.estimation.traffic_mix import TrafficMix

FULL_PRESSURE: Final = 4.0  # at a full limit, about 1 in 50 requests of median priority is admitted
PRIORITY_SLOPE: Final = 2.0  # factor on the pressure at the lowest priority; nearly 0 at the highest


class Admission:
    """Decides for each arriving request whether to shed it."""

    def __init__(
        self,
        context: DecisionContext,
        limit: ConcurrencyLimit,
        sparse: SparseAdmission,
        estimator: LoadEstimator,
        enabled: bool,
    ) -> None:
        """`enabled`: False where each request has its own health checks, which report how full the servers are."""
        self._context = context
        self._limit = limit
        self._sparse = sparse
        self._estimator = estimator
        self._enabled = enabled
        self._traffic = TrafficMix(context.settings)
        self._longest_remaining_us: dict[str, int] = {}  # longest time remaining on arrival, by class

    def sheds(self, request: Request, tenant: str | None, remaining_us: int) -> bool:
        """Whether to shed an arriving request; its client waits for another `remaining_us`."""
        overloaded = self._is_overloaded_for(request, tenant)
        return overloaded or self._is_stale(request.request_class, remaining_us)

    def _is_overloaded_for(self, request: Request, tenant: str | None) -> bool:
        now = self._context.now
        flow = self._traffic.note_request(now, request.request_class, tenant)
        if not self._enabled:
            request.priority_rank = self._traffic.rank(now, flow)
            return False
        if self._sparse.is_sparse():
            return self._sparse.sheds(self._traffic.rank(now, flow))
        utilisation = self._limit.utilisation()
        if utilisation <= ADMIT_ALL_UTILISATION:
            return False
        pressure = FULL_PRESSURE * (utilisation - ADMIT_ALL_UTILISATION) / (1.0 - ADMIT_ALL_UTILISATION)
        admit_probability = math.exp(-PRIORITY_SLOPE * pressure * (1.0 - self._traffic.rank(now, flow)))
        if utilisation < 1.0 and self._context.random.random() < admit_probability:
            return False
        self._limit.has_shed = True
        # Guards against a balancer that sheds every request and thus never detects that the overload has ended.
        return not self._estimator.claim_probe_admission(now)

    def _is_stale(self, request_class: RequestClass, remaining_us: int) -> bool:
        """Whether a request waited for this process for its whole objective, and a late answer has no value.

        Clients use about the same timeout for all requests of a class.  The difference between the longest remaining
        time and this request's is therefore the time that the request has waited.
        """
        longest_us = max(self._longest_remaining_us.get(request_class.name, 0), remaining_us)
        self._longest_remaining_us[request_class.name] = longest_us
        waited_us = longest_us - remaining_us
        has_no_late_value = request_class.late_value_ratio <= 0.0
        return (
            self._context.stall.just_resumed
            and has_no_late_value
            and waited_us >= request_class.latency_objective_us
        )
