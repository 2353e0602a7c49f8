"""Admission control: whether a new request is shed at once.

Guards against collapse: a fleet that answers everything too late serves nobody, and clients repeat what fails late.
As the concurrency limit fills up, the part of the requests that is admitted falls by powers, sooner for requests of a
lower priority.
"""

from __future__ import annotations

import math
from typing import Final

from topazbank.balancing.concurrency_limit import FREE_RATIO, ConcurrencyLimit
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.requests import Request
from topazbank.balancing.settings import RequestClass
from topazbank.balancing.sparse_admission import SparseAdmission
from topazbank.estimation.load_estimator import LoadEstimator
from topazbank.estimation.traffic_mix import TrafficMix

FULL_PRESSURE: Final = 4.0  # at a full limit: of the typical requests one in fifty is admitted
PRIORITY_SLOPE: Final = 2.0  # the lowest priority feels this many times the pressure, the highest almost none


class Admission:
    """Decides on each arriving request."""

    def __init__(
        self,
        context: DecisionContext,
        limit: ConcurrencyLimit,
        sparse: SparseAdmission,
        estimator: LoadEstimator,
        enabled: bool,
    ) -> None:
        """`enabled`: off where health checks for each request tell how full the servers are."""
        self._context = context
        self._limit = limit
        self._sparse = sparse
        self._estimator = estimator
        self._enabled = enabled
        self._traffic = TrafficMix(context.settings)
        self._longest_remaining_us: dict[str, int] = {}  # that a request of a class ever had left, by class

    def sheds(self, request: Request, tenant: str | None, remaining_us: int) -> bool:
        """Whether to shed an arriving request, whose client waits for `remaining_us` more."""
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
        if utilisation <= FREE_RATIO:
            return False
        pressure = FULL_PRESSURE * (utilisation - FREE_RATIO) / (1.0 - FREE_RATIO)
        admitted = math.exp(-PRIORITY_SLOPE * pressure * (1.0 - self._traffic.rank(now, flow)))
        if utilisation < 1.0 and self._context.random.random() < admitted:
            return False
        self._limit.has_shed = True
        # Guards against a balancer that sheds everything and so never learns that the overload is over.
        return not self._estimator.claim_probe_admission(now)

    def _is_stale(self, request_class: RequestClass, remaining_us: int) -> bool:
        """Whether a request spent its objective waiting for this process, and a late answer is worth nothing.

        All clients give a request the same time, more or less: what is missing of it was spent waiting.
        """
        longest_us = max(self._longest_remaining_us.get(request_class.name, 0), remaining_us)
        self._longest_remaining_us[request_class.name] = longest_us
        waited_us = longest_us - remaining_us
        worthless = request_class.late_value_ratio <= 0.0
        return (
            self._context.stall.just_resumed and worthless and waited_us >= request_class.latency_objective_us
        )
