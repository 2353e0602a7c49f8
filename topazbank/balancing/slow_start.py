"""Slow start: limits the requests sent to a recently started server while it warms up.

The total load that all balancers send to a warming server must stay below the load at which it collapses.  Each
balancer estimates that load from what warm servers serve for it, and fills a token bucket at a fraction of that rate.
The bucket starts empty, and every attempt to a warming server takes its cost from the bucket.
"""

from __future__ import annotations

from typing import Final

from topazbank.balancing.context import DecisionContext
from topazbank.balancing.fleet import RoutingPlan
from topazbank.balancing.load import RATE_WINDOWS, OwnLoad
from topazbank.balancing.servers import Server, ServerTable
from topazbank.estimation.decaying_sum import DecayingRate

# Fill rate of the bucket relative to the collapse rate: about what the server sustains at its warmth.
FILL_RATIO: Final = 0.4
# Bucket size relative to the load that causes collapse within one overload window.
BURST_RATIO: Final = 0.18
# Selection weight relative to warmth, which is a lower bound: most warming servers are warmer, and the token bucket
# limits their load.
SELECTION_WARMTH_RATIO: Final = 2.0


class SlowStart:
    """Tracks which servers are warming up and how much load each may receive now."""

    def __init__(
        self, context: DecisionContext, servers: ServerTable, load: OwnLoad, plan: RoutingPlan | None
    ) -> None:
        self._context = context
        self._rules = context.settings.rules
        self._servers = servers
        self._load = load
        self._plan = plan
        # Cost served by warm servers.  An overloaded fleet serves mainly light requests, so the arrival rate would
        # be misleading.
        self._warm_served_cost = DecayingRate(RATE_WINDOWS * self._rules.overload_window_us)
        self._warm_rate_per_us = 0.0  # cost that a warm server of mean capacity serves for this balancer
        self._mean_capacity = 1.0
        self._warm_rate_computed_at = -1  # clock time

    def begin(self, server: Server, since: int) -> None:
        """Begin slow start, with an empty bucket, for a server whose process started at clock time `since`."""
        server.warming_since = since
        server.slow_start_tokens = 0.0
        server.slow_start_refilled_at = self._context.now

    def served(self, server: Server, cost: float) -> None:
        """Count the cost of an answered request if the server is warm."""
        if not self.is_warming(server):
            self._warm_served_cost.add(self._context.now, cost)

    def is_warming(self, server: Server) -> bool:
        """Whether the server has not reached its full capacity yet."""
        since = server.warming_since
        return since is not None and self._context.now < since + self._rules.warmup_us

    def warmth(self, server: Server) -> float:
        """The part of its capacity that the server has reached at least, from 0 to 1."""
        if server.warming_since is None or not self.is_warming(server):
            return 1.0
        age_us = max(self._context.now - server.warming_since, 0)
        start_ratio = self._rules.warmup_start_ratio
        return start_ratio + (1.0 - start_ratio) * age_us / self._rules.warmup_us

    def selection_weight(self, server: Server) -> float:
        """The factor on the server's sampling weight, below 1 only while it warms up."""
        if server.warming_since is None:
            return 1.0
        return min(SELECTION_WARMTH_RATIO * self.warmth(server), 1.0)

    def admits(self, server: Server, cost: float) -> bool:
        """Whether the server is warm, or its bucket has the tokens for a request of this cost."""
        if not self.is_warming(server):
            return True
        warm_rate = self._mean_warm_rate_per_us() * min(server.nominal_capacity / self._mean_capacity, 1.0)
        collapse_per_us = self._rules.overload_multiple * self.warmth(server) * warm_rate
        tokens_max = max(1.0, BURST_RATIO * collapse_per_us * self._rules.overload_window_us)
        now = self._context.now
        fill_ratio = (
            FILL_RATIO if self._plan is None else FILL_RATIO * self._plan.slow_start_ratio(server.name, now)
        )
        filled = fill_ratio * collapse_per_us * max(now - server.slow_start_refilled_at, 0)
        server.slow_start_tokens = min(server.slow_start_tokens + filled, tokens_max)
        server.slow_start_refilled_at = now
        return server.slow_start_tokens >= min(cost, tokens_max)

    def spend(self, server: Server, cost: float) -> None:
        """Take the cost of an attempt that is sent from its server's bucket."""
        if self.is_warming(server):
            server.slow_start_tokens -= cost

    def _mean_warm_rate_per_us(self) -> float:
        """The cost per microsecond that a warm server serves for this balancer, computed once per clock time."""
        now = self._context.now
        if self._warm_rate_computed_at != now:
            self._warm_rate_computed_at = now
            ready = self._servers.ready
            warm = [server for server in ready if not self.is_warming(server)]
            peers = warm or ready  # including ejected servers, which served part of the counted cost
            served_cost = self._warm_served_cost if warm else self._load.arrivals
            self._warm_rate_per_us = served_cost.per_us(now) / max(
                min(len(peers), self._load.subset_size()), 1
            )
            self._mean_capacity = sum(server.nominal_capacity for server in peers) / max(len(peers), 1) or 1.0
        return self._warm_rate_per_us
