"""What is asked of a sidecar, by class and tenant, and how much of it is worth less than a given request."""

from __future__ import annotations

from dataclasses import dataclass

from topazbank.balancing.settings import RequestClass, Settings
from topazbank.estimation.decaying_sum import Rate

MIX_AIMS = 4.0  # what is asked is averaged over this many of the longest aim
MIXES_MOST = (
    256  # pairs of class and tenant that are told apart: clients may name any; beyond that they share one
)


@dataclass(slots=True, eq=False)
class Mix:
    """One tenant's traffic of one class."""

    kind: RequestClass
    tenant: str | None
    rate: Rate


class Traffic:
    """The traffic's mix.  Sidecars see different parts of it, so only proportions are compared."""

    def __init__(self, settings: Settings) -> None:
        self._over_share_worth = settings.over_share_weight
        self._tenants = {each.name: each for each in settings.tenants}
        self._all_shares = sum(each.share for each in settings.tenants) or 1.0
        self._span_us = MIX_AIMS * max(each.latency_objective_us for each in settings.classes)
        self._mixes: dict[tuple[str, str | None], Mix] = {}  # MIXES_MOST

    def asked(self, now: int, kind: RequestClass, tenant: str | None) -> Mix:
        """Note a request; give the mix that it belongs to."""
        mine = self._mixes.get((kind.name, tenant))
        if mine is None:
            if len(self._mixes) >= MIXES_MOST:
                tenant = None
            mine = self._mixes.setdefault((kind.name, tenant), Mix(kind, tenant, Rate(self._span_us)))
        mine.rate.add(now, 1.0)
        return mine

    def standing(self, now: int, mine: Mix) -> float:
        """The part of the traffic that is worth less, counting half of what is worth the same: 0 to 1.

        A request is worth what its class is, less what its tenant asks beyond its share.
        """
        mixes = list(self._mixes.values())
        rates = [each.rate.per_us(now) for each in mixes]
        all_asked = sum(rates)
        asked: dict[str | None, float] = {}
        for each, rate in zip(mixes, rates, strict=True):
            asked[each.tenant] = asked.get(each.tenant, 0.0) + rate
        worths = [self._worth(each, asked[each.tenant], all_asked) for each in mixes]
        own = worths[mixes.index(mine)]
        below = sum(rate for rate, worth in zip(rates, worths, strict=True) if worth < own)
        same = sum(rate for rate, worth in zip(rates, worths, strict=True) if worth == own)
        return (below + 0.5 * same) / all_asked if all_asked > 0.0 else 0.5

    def _worth(self, mix: Mix, asked: float, all_asked: float) -> float:
        tenant = self._tenants.get(mix.tenant or "")
        if tenant is None or asked <= 0.0:
            return mix.kind.priority_weight
        inside = min(1.0, all_asked * tenant.share / self._all_shares / asked)
        return mix.kind.priority_weight * (inside + (1.0 - inside) * self._over_share_worth)
