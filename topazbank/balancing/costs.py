"""What extra traffic costs in parts of the latency objective, and what the settings allow to be spent on it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from topazbank.balancing.settings import ReportSource, Settings

CANDIDATES: Final = (
    4  # k: most servers have nothing of this balancer in flight, where two candidates tell too little
)
COST_MARGIN: Final = 2.0  # a detour must spare this many times its price, in parts of the objective
ZONE_COST_MIN: Final = 0.1  # below it crossings go by odds: an expected time is less exact than that
HEALTH_CHECK_BUDGET: Final = (
    0.01  # of a request's worth, that health checks for it may cost: they only settle ties
)


@dataclass(frozen=True, slots=True)
class Costs:
    """The costs of one deployment."""

    zone_crossing: float  # in parts of the latency objective
    handshake: float  # likewise
    checks_per_request: int  # health checks that one request may cause; up to 1: none do
    own_zone_first: bool  # whether other zones are candidates only where the own one is slower

    @property
    def checks_each_request(self) -> bool:
        """Whether health checks settle ties for each request."""
        return self.checks_per_request > 1

    @staticmethod
    def of(settings: Settings) -> Costs:
        """The costs by these settings."""
        checks = _checks_per_request(settings)
        crossing = COST_MARGIN * settings.prices.cross_zone
        return Costs(
            zone_crossing=crossing,
            handshake=COST_MARGIN * settings.prices.handshake,
            checks_per_request=checks,
            own_zone_first=checks > 1 and crossing >= ZONE_COST_MIN,
        )


def _checks_per_request(settings: Settings) -> int:
    is_checked = settings.report_source is ReportSource.HEALTH_CHECKS and settings.limits.health_checks
    if not is_checked or "inflight" not in settings.report_columns:
        return 0
    return int(min(HEALTH_CHECK_BUDGET / max(settings.prices.health_check, 1e-9), CANDIDATES))
