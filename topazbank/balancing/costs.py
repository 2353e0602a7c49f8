"""Costs of extra traffic, as parts of the latency objective, and the budget that the settings allow for it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from topazbank.balancing.settings import ReportSource, Settings

# Sample size k of best-of-k selection.  Most servers have no requests of this balancer in flight, so a comparison
# of only two candidates would rarely find a difference.
CANDIDATES: Final = 4
# A more expensive path must save at least this multiple of its price, as a part of the latency objective.
COST_MARGIN: Final = 2.0
# Below this cost other zones are selected by sampling weight, because expected times are less accurate than that.
ZONE_COST_MIN: Final = 0.1
# Part of a request's value that its health checks may cost.  The checks only break ties.
HEALTH_CHECK_BUDGET: Final = 0.01


@dataclass(frozen=True, slots=True)
class Costs:
    """The costs of one deployment."""

    zone_crossing: float  # as a part of the latency objective
    handshake: float  # as a part of the latency objective
    checks_per_request: int  # health checks that one request may trigger; none are sent if at most 1
    own_zone_first: bool  # whether other zones are candidates only if the local zone is slower

    @property
    def checks_each_request(self) -> bool:
        """Whether health checks break ties for each request."""
        return self.checks_per_request > 1

    @staticmethod
    def of(settings: Settings) -> Costs:
        """Derive the costs from the settings."""
        checks = _checks_per_request(settings)
        crossing = COST_MARGIN * settings.prices.cross_zone
        return Costs(
            zone_crossing=crossing,
            handshake=COST_MARGIN * settings.prices.handshake,
            checks_per_request=checks,
            own_zone_first=checks > 1 and crossing >= ZONE_COST_MIN,
        )


def _checks_per_request(settings: Settings) -> int:
    reports_by_check = settings.report_source is ReportSource.HEALTH_CHECKS and settings.limits.health_checks
    if not reports_by_check or "inflight" not in settings.report_columns:
        return 0
    return int(min(HEALTH_CHECK_BUDGET / max(settings.prices.health_check, 1e-9), CANDIDATES))
