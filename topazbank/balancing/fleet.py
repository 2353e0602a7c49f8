"""Interfaces for fleet-wide information: a planner's routing plan and fleet-wide quotas.

Both can only restrict what the balancer would do on its own.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final, Protocol

# Resources that a fleet-wide quota can limit.
RETRIES: Final = "retries"
HEALTH_CHECKS: Final = "probes"
TENANT_REQUESTS: Final = "tenant"


class RoutingPlan(Protocol):
    """The routing plan of a planner with a view of the entire fleet.

    The implementation decides for which requests the plan applies.  The balancer uses a planned server only if its own
    endpoint list, ejections, slow start and rules allow it.  It selects a server itself if the plan names none.
    """

    def sample(self, now: int, chance: Callable[[], float]) -> Sequence[str]:
        """Return a random sample of server names for one request; empty if the plan does not apply to the request.

        `now` is the clock time; `chance` returns uniformly distributed random numbers from 0 to 1.
        """

    def capacity(self, server: str) -> float:
        """Limit of this sidecar's requests in flight to a server; at the limit, the plan does not select the server."""

    def slow_start_ratio(self, server: str, now: int) -> float:
        """The usable part of the balancer's slow-start budget for a server, at most 1."""


class FleetQuota(Protocol):
    """This process's share of fleet-wide quotas."""

    def acquire(self, resource: str, tenant: str | None, now: int) -> bool:
        """Take one unit of a resource at clock time `now`; return False if the quota is exhausted.

        `resource`: RETRIES (an attempt after a request's first), HEALTH_CHECKS, or TENANT_REQUESTS of `tenant`.
        """
