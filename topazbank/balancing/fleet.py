"""What a balancer may consult about the entire fleet: a planner's routing plan, and fleet-wide quotas.

Both can only tighten what the balancer would do by itself.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final, Protocol

# What a fleet-wide quota may limit.
RETRIES: Final = "retries"
HEALTH_CHECKS: Final = "probes"
TENANT_REQUESTS: Final = "tenant"


class RoutingPlan(Protocol):
    """What a planner that sees the entire fleet advises; the implementation decides how far it is followed.

    Servers it names are used only where the balancer's own endpoint list, ejections, slow start and rules allow
    it; where it names none the balancer selects by itself.
    """

    def sample(self, now: int, chance: Callable[[], float]) -> Sequence[str]:
        """Names of servers sampled for one request at clock time `now`; none where no plan applies.

        `chance` gives evenly distributed random numbers from 0 to 1.
        """

    def capacity(self, server: str) -> float:
        """Own requests in flight below which one more may go to a server by this plan."""

    def slow_start_ratio(self, server: str, now: int) -> float:
        """The part of the balancer's own slow-start budget for a server that may be used: at most 1."""


class FleetQuota(Protocol):
    """This process's part in quotas of the entire fleet."""

    def acquire(self, resource: str, tenant: str | None, now: int) -> bool:
        """Take one unit of a resource at clock time `now`; False where there is none left.

        `resource`: RETRIES (an attempt after a request's first), HEALTH_CHECKS, or TENANT_REQUESTS of `tenant`.
        """
