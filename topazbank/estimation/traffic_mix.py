"""The rates of requests by class and tenant, and the rank of one flow's requests among all by priority weight.

No I/O; times in microseconds.  Sidecars receive different parts of the traffic, so only proportions are compared.
"""

from __future__ import annotations

from dataclasses import dataclass

from topazbank.balancing.settings import RequestClass, Settings
from topazbank.estimation.decaying_sum import DecayingRate

RATE_WINDOW_OBJECTIVES = 4.0  # rates are averaged over this many of the longest latency objective
# Clients may name any tenant, so flows must be bounded; beyond this all further tenants of a class share one.
FLOWS_MAX = 256


@dataclass(slots=True, eq=False)
class TrafficFlow:
    """The requests of one class and tenant; `rate` counts requests."""

    request_class: RequestClass
    tenant: str | None
    rate: DecayingRate


class TrafficMix:
    """The flows that this sidecar receives."""

    def __init__(self, settings: Settings) -> None:
        self._over_share_weight = settings.over_share_weight
        self._tenants = {tenant.name: tenant for tenant in settings.tenants}
        self._total_shares = sum(tenant.share for tenant in settings.tenants) or 1.0
        longest_objective_us = max(each.latency_objective_us for each in settings.classes)
        self._window_us = RATE_WINDOW_OBJECTIVES * longest_objective_us
        self._flows: dict[tuple[str, str | None], TrafficFlow] = {}  # at most FLOWS_MAX and one a class

    def note_request(self, now: int, request_class: RequestClass, tenant: str | None) -> TrafficFlow:
        """Count a request, and return the flow that it belongs to."""
        flow = self._flows.get((request_class.name, tenant))
        if flow is None:
            if len(self._flows) >= FLOWS_MAX:
                tenant = None
            flow = self._flows.setdefault(
                (request_class.name, tenant),
                TrafficFlow(request_class, tenant, DecayingRate(self._window_us)),
            )
        flow.rate.add(now, 1.0)
        return flow

    def rank(self, now: int, flow: TrafficFlow) -> float:
        """Return the part of the traffic with less weight than `flow`, plus half of that with the same: 0 to 1.

        A request weighs what its class does, reduced where its tenant exceeds its share.
        """
        flows = list(self._flows.values())
        rates = [each.rate.per_us(now) for each in flows]
        total_rate = sum(rates)
        tenant_rates: dict[str | None, float] = {}
        for each, rate in zip(flows, rates, strict=True):
            tenant_rates[each.tenant] = tenant_rates.get(each.tenant, 0.0) + rate
        weights = [self._weight(each, tenant_rates[each.tenant], total_rate) for each in flows]
        own = weights[flows.index(flow)]
        below = sum(rate for rate, weight in zip(rates, weights, strict=True) if weight < own)
        same = sum(rate for rate, weight in zip(rates, weights, strict=True) if weight == own)
        return (below + 0.5 * same) / total_rate if total_rate > 0.0 else 0.5

    def _weight(self, flow: TrafficFlow, tenant_rate: float, total_rate: float) -> float:
        """Return the mean priority weight of a flow's requests, given its tenant's rate over all classes."""
        priority_weight = flow.request_class.priority_weight
        tenant = self._tenants.get(flow.tenant or "")
        if tenant is None or tenant_rate <= 0.0:
            return priority_weight
        inside = min(1.0, total_rate * tenant.share / self._total_shares / tenant_rate)
        return priority_weight * (inside + (1.0 - inside) * self._over_share_weight)
