"""Request rates by class and tenant, and the rank of a flow by priority weight.

No I/O; times in microseconds.  Sidecars receive different parts of the traffic, so only proportions are compared.
"""

from __future__ import annotations

from dataclasses import dataclass

from topazbank.balancing.settings import RequestClass, Settings
from topazbank.estimation.decaying_sum import DecayingRate

RATE_WINDOW_OBJECTIVES = 4.0  # rates are averaged over this multiple of the longest latency objective
# Clients may send any tenant name, so the number of flows is bounded.  Above this number all further tenants of a
# class share one flow.
FLOWS_MAX = 256


@dataclass(slots=True, eq=False)
class TrafficFlow:
    """The requests of one class and tenant; `rate` is their number per microsecond."""

    request_class: RequestClass
    tenant: str | None
    rate: DecayingRate


class TrafficMix:
    """The flows of requests that this sidecar receives, and their rates."""

    def __init__(self, settings: Settings) -> None:
        self._over_share_weight = settings.over_share_weight
        self._tenants = {tenant.name: tenant for tenant in settings.tenants}
        self._total_shares = sum(tenant.share for tenant in settings.tenants) or 1.0
        longest_objective_us = max(request_class.latency_objective_us for request_class in settings.classes)
        self._window_us = RATE_WINDOW_OBJECTIVES * longest_objective_us
        self._flows: dict[tuple[str, str | None], TrafficFlow] = {}  # at most FLOWS_MAX, plus one per class

    def note_request(self, now: int, request_class: RequestClass, tenant: str | None) -> TrafficFlow:
        """Count a request and return its flow."""
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
        """Return the part of traffic with a lower weight than `flow`, plus half of that with an equal weight: 0 to 1.

        The weight of a request is that of its class, reduced if the tenant exceeds its share.
        """
        flows = list(self._flows.values())
        rates = [known_flow.rate.per_us(now) for known_flow in flows]
        total_rate = sum(rates)
        tenant_rates: dict[str | None, float] = {}
        for known_flow, rate in zip(flows, rates, strict=True):
            tenant_rates[known_flow.tenant] = tenant_rates.get(known_flow.tenant, 0.0) + rate
        weights = [
            self._weight(known_flow, tenant_rates[known_flow.tenant], total_rate) for known_flow in flows
        ]
        flow_weight = weights[flows.index(flow)]
        lower_rate = sum(rate for rate, weight in zip(rates, weights, strict=True) if weight < flow_weight)
        equal_rate = sum(rate for rate, weight in zip(rates, weights, strict=True) if weight == flow_weight)
        return (lower_rate + 0.5 * equal_rate) / total_rate if total_rate > 0.0 else 0.5

    def _weight(self, flow: TrafficFlow, tenant_rate: float, total_rate: float) -> float:
        """Return the mean priority weight of a flow's requests; `tenant_rate` is the tenant's rate over all classes."""
        priority_weight = flow.request_class.priority_weight
        tenant = self._tenants.get(flow.tenant or "")
        if tenant is None or tenant_rate <= 0.0:
            return priority_weight
        within_share = min(1.0, total_rate * tenant.share / self._total_shares / tenant_rate)
        return priority_weight * (within_share + (1.0 - within_share) * self._over_share_weight)
