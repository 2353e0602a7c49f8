"""Slow start: a server that has just started gets no more requests than it can bear while it warms up.

The promise: the requests sent to a warming server stay under the load at which it collapses, all balancers taken
together.  Each balancer judges that load by what its warm servers serve for it, and fills a token bucket with a part
of it; the bucket starts empty, and every attempt to a warming server takes its cost from it.
"""

from __future__ import annotations

from typing import Final

from topazbank.balancing.context import DecisionContext
from topazbank.balancing.fleet import RoutingPlan
from topazbank.balancing.load import RATE_WINDOWS, OwnLoad
from topazbank.balancing.servers import Server, ServerTable
from topazbank.estimation.decaying_sum import DecayingRate

FILL_RATIO: Final = 0.4  # of the collapsing load, at which the bucket fills: about what its warmth can bear
BURST_RATIO: Final = 0.18  # of the collapsing load over its window, that may come at once
SELECTION_WARMTH_RATIO: Final = (
    2.0  # a warming server is mostly warmer than the least, and its bucket guards it
)


class SlowStart:
    """Knows which servers are warming up and how many requests each may get now."""

    def __init__(
        self, context: DecisionContext, servers: ServerTable, load: OwnLoad, plan: RoutingPlan | None
    ) -> None:
        self._context = context
        self._rules = context.settings.rules
        self._servers = servers
        self._load = load
        self._plan = plan
        # Cost of what warm servers served.  Overload serves the light requests, so arrivals would mislead.
        self._served_warm = DecayingRate(RATE_WINDOWS * self._rules.overload_window_us)
        self._bearable_per_us = 0.0  # what a warm server of mean capacity serves for this balancer
        self._mean_capacity = 1.0
        self._bearable_at = -1  # when these two were worked out

    def begin(self, server: Server, since: int) -> None:
        """A server's process started at clock time `since`: its bucket starts empty."""
        server.warming_since = since
        server.slow_start_tokens = 0.0
        server.slow_start_refilled_at = self._context.now

    def served(self, server: Server, cost: float) -> None:
        """Learn from a response to a request of this cost."""
        if not self.is_warming(server):
            self._served_warm.add(self._context.now, cost)

    def is_warming(self, server: Server) -> bool:
        """Whether the server has not reached its full capacity yet."""
        since = server.warming_since
        return since is not None and self._context.now < since + self._rules.warmup_us

    def warmth(self, server: Server) -> float:
        """The part of its capacity that the server has by now at the least, 0 to 1."""
        if server.warming_since is None or not self.is_warming(server):
            return 1.0
        age_us = max(self._context.now - server.warming_since, 0)
        start_ratio = self._rules.warmup_start_ratio
        return start_ratio + (1.0 - start_ratio) * age_us / self._rules.warmup_us

    def selection_weight(self, server: Server) -> float:
        """The factor on a server's odds of selection while it warms up."""
        if server.warming_since is None:
            return 1.0
        return min(SELECTION_WARMTH_RATIO * self.warmth(server), 1.0)

    def admits(self, server: Server, cost: float) -> bool:
        """Whether the server's bucket has the tokens for a request of this cost; a warm server admits all."""
        if not self.is_warming(server):
            return True
        bearable = self._bearable_by_mean() * min(server.nominal_capacity / self._mean_capacity, 1.0)
        collapse_per_us = self._rules.overload_multiple * self.warmth(server) * bearable
        tokens_max = max(1.0, BURST_RATIO * collapse_per_us * self._rules.overload_window_us)
        now = self._context.now
        ratio = (
            FILL_RATIO if self._plan is None else FILL_RATIO * self._plan.slow_start_ratio(server.name, now)
        )
        filled = ratio * collapse_per_us * max(now - server.slow_start_refilled_at, 0)
        server.slow_start_tokens = min(server.slow_start_tokens + filled, tokens_max)
        server.slow_start_refilled_at = now
        return server.slow_start_tokens >= min(cost, tokens_max)

    def spend(self, server: Server, cost: float) -> None:
        """Take the cost of an attempt that leaves from its server's bucket."""
        if self.is_warming(server):
            server.slow_start_tokens -= cost

    def _bearable_by_mean(self) -> float:
        """What a warm server serves for this balancer, in cost a microsecond; worked out once for each moment."""
        now = self._context.now
        if self._bearable_at != now:
            self._bearable_at = now
            ready = self._servers.ready
            warm = [each for each in ready if not self.is_warming(each)]
            peers = warm or ready  # ejected ones too: they served a part of what is counted
            served = self._served_warm if warm else self._load.arrivals
            self._bearable_per_us = served.per_us(now) / max(min(len(peers), self._load.subset_size()), 1)
            self._mean_capacity = sum(each.nominal_capacity for each in peers) / max(len(peers), 1) or 1.0
        return self._bearable_per_us
