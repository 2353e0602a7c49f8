"""Server selection: best of k, the least loaded of k randomly sampled servers.

A server that is due for probation or named by a routing plan is preferred.  Otherwise k of the eligible servers in
this balancer's subset are sampled by weight, and the one with the fewest of this balancer's requests in flight is
selected.  The sample size doubles after each rejection of a request.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from topazbank.balancing.concurrency_limit import ConcurrencyLimit
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.costs import CANDIDATES, Costs
from topazbank.balancing.events import ServerState
from topazbank.balancing.fleet import RoutingPlan
from topazbank.balancing.gossip_exchange import GossipExchange
from topazbank.balancing.load import OwnLoad
from topazbank.balancing.outlier_ejection import OutlierEjection
from topazbank.balancing.requests import Request
from topazbank.balancing.response_times import LATENCY_RATIO_MAX
from topazbank.balancing.retry_policy import RetryPolicy
from topazbank.balancing.servers import Server, ServerTable
from topazbank.balancing.slow_start import SlowStart

# Servers that rejected a flow are not candidates for it while at least this many others admit it.
ADMITTING_SERVERS_MIN: Final = 2
# Latency factor for a server without an idle connection, where handshakes have a cost.
NEW_CONNECTION_LATENCY_RATIO: Final = 1.5
# Sampling weight of a server in another zone while the local zone is as fast.
OTHER_ZONE_WEIGHT_MIN: Final = 0.25
# All zones have equal weight once the local zone is slower than the others by this ratio.
LOCAL_ZONE_LAG_MAX: Final = 0.3
# Exponent of the latency ratio for requests of at least four times the mean cost.
LATENCY_EXPONENT_MAX: Final = 3.0
# A routing plan is not followed to a server whose latency ratio, by this sidecar's responses, is at least this.
PLAN_LATENCY_RATIO_MAX: Final = 2.5


@dataclass(slots=True)
class Choice:
    """The outcome of a selection."""

    server: Server | None  # None: no server is available now
    to_check: list[Server]  # candidates to health-check before the final choice; empty: no checks


class Selection:
    """Chooses a server for an attempt."""

    def __init__(
        self,
        context: DecisionContext,
        servers: ServerTable,
        load: OwnLoad,
        limit: ConcurrencyLimit,
        slow_start: SlowStart,
        ejection: OutlierEjection,
        retries: RetryPolicy,
        costs: Costs,
        gossip: GossipExchange,
        plan: RoutingPlan | None,
    ) -> None:
        self._context = context
        self._servers = servers
        self._load = load
        self._limit = limit
        self._slow_start = slow_start
        self._ejection = ejection
        self._retries = retries
        self._costs = costs
        self._gossip = gossip
        self._plan = plan
        self._other_zone_weight = 1.0
        self._other_zone_weight_computed_at = -1

    def choose(self, request: Request) -> Choice:
        """Choose a server for the next attempt of a request."""
        preferred = self._ejection.due_for_probation(request)
        if preferred is None and self._plan is not None and not request.attempts:
            preferred = self._planned_server(request, self._plan)
        if preferred is not None:
            return Choice(preferred, [])
        candidates = self._candidates(request)
        if not candidates:
            return Choice(None, [])
        sampled = self._sample(
            candidates, self._weights(candidates, request), CANDIDATES << request.rejections
        )
        best = min(sampled, key=self._rank)
        if self._costs.checks_each_request and not self._context.stall.just_resumed:
            # No checks right after a stall: sidecars that stalled together would all get the same answers.
            return Choice(best, sorted(sampled, key=self._own_load)[: self._costs.checks_per_request])
        return Choice(best, [])

    def is_eligible(self, server: Server, request: Request) -> bool:
        """Whether an attempt of this request may go to the server."""
        if server.ejected_until is not None:
            return False
        if request.attempts:
            if server in request.failed_servers:
                return False
            if any(attempt.pending and attempt.server is server for attempt in request.attempts):
                return False  # a hedged request goes to another server
            if not self._retries.drops_repeats(request, server):
                return False
        return server.warming_since is None or self._slow_start.admits(server, request.cost)

    # -- Candidates -------------------------------------------------------------------------------------

    def _planned_server(self, request: Request, plan: RoutingPlan) -> Server | None:
        """The least loaded eligible server that the plan names and that has planned capacity remaining."""
        names = plan.sample(self._context.now, self._context.random.random)
        named = [self._servers.by_name.get(name) for name in names]
        ready = [
            server
            for server in named
            if server is not None
            and server.state is ServerState.READY
            and server.latency_ratio < PLAN_LATENCY_RATIO_MAX
        ]
        eligible = [server for server in ready if self.is_eligible(server, request)]
        below_capacity = [
            server for server in eligible if self._own_load(server) < plan.capacity(server.name)
        ]
        return min(below_capacity, key=self._own_load, default=None)

    def _candidates(self, request: Request) -> list[Server]:
        """The eligible servers of this balancer's subset.

        Unless the request may go to any zone, other zones are included only if the local zone has fewer than two
        candidates.
        """
        request.any_zone = request.any_zone or self._context.stall.just_resumed
        servers_in_scope = self._servers.ready if request.any_zone else self._servers.ready_in_zone
        candidates = self._subset(servers_in_scope, request)
        if len(candidates) < 2 and not request.any_zone:
            request.any_zone = True
            candidates = self._subset(self._servers.ready, request)
        return candidates

    def _subset(self, servers: list[Server], request: Request) -> list[Server]:
        """The first eligible servers in this balancer's server order, up to its subset size.

        Servers that recently rejected the request's flow are excluded, unless too few others admit it.
        """
        size = self._load.subset_size()
        admitting, backed_off = list[Server](), list[Server]()
        for server in servers:
            if self.is_eligible(server, request):
                backoff = server.backoffs.get(request.flow)
                is_admitting = backoff is None or backoff.until <= self._context.now
                (admitting if is_admitting else backed_off).append(server)
                if len(admitting) >= size:
                    break
        if len(admitting) >= min(ADMITTING_SERVERS_MIN, size):
            return admitting
        return admitting + backed_off[: size - len(admitting)]

    # -- Sampling ---------------------------------------------------------------------------------------

    def _weights(self, candidates: list[Server], request: Request) -> list[float]:
        if self._other_zone_weight_computed_at != self._context.now:
            self._other_zone_weight_computed_at = self._context.now
            self._other_zone_weight = 1.0 if self._costs.own_zone_first else self._compute_other_zone_weight()
        exponent = min(max(1.0, float(request.cost_bucket)), LATENCY_EXPONENT_MAX)
        return [self._weight(server, exponent) for server in candidates]

    def _weight(self, server: Server, exponent: float) -> float:
        """The sampling weight of a server, which is lower for slower servers.

        With few requests most servers have none in flight, so sampling decides the choice.  Heavy requests reduce
        the weight of slow servers further, because only fast servers can answer them in time.
        """
        is_local = server.zone == self._context.settings.zone
        zone_weight = 1.0 if is_local else self._other_zone_weight
        slowness = math.pow(max(server.latency_ratio, 1.0 / LATENCY_RATIO_MAX), exponent)
        return zone_weight * self._slow_start.selection_weight(server) / slowness

    def _compute_other_zone_weight(self) -> float:
        """The sampling weight of servers in other zones, reduced while the local zone is as fast.

        Avoids cross-zone traffic without overloading a zone that has more traffic than capacity.  The weights become
        equal as the local zone slows down, or when responses are late in any zone.
        """
        zone, prices = self._context.settings.zone, self._context.settings.prices
        is_crowded = self._limit.is_crowded()
        if prices.cross_zone <= 0.0 or is_crowded:
            return 1.0  # cross-zone traffic is free, or capacity in any zone is worth its cost
        usable = [server for server in self._servers.ready if server.ejected_until is None]
        local = [server.latency_ratio for server in usable if server.zone == zone]
        remote = [server.latency_ratio for server in usable if server.zone != zone]
        if not local or sum(remote) <= 0.0:
            return 1.0
        lag = (sum(local) / len(local)) / (sum(remote) / len(remote)) - 1.0
        return max(OTHER_ZONE_WEIGHT_MIN, min(lag / LOCAL_ZONE_LAG_MAX, 1.0))

    def _sample(self, candidates: list[Server], weights: list[float], count: int) -> list[Server]:
        """Sample distinct servers by weight.  Their order is random, so that ties are broken randomly."""
        sampled = []
        remaining = list(range(len(candidates)))
        total = sum(weights)
        for _ in range(min(count, len(candidates))):
            threshold = self._context.random.random() * total
            position = 0
            while position < len(remaining) - 1 and threshold >= weights[remaining[position]]:
                threshold -= weights[remaining[position]]
                position += 1
            index = remaining.pop(position)
            total -= weights[index]
            sampled.append(candidates[index])
        return sampled

    # -- Ranking ----------------------------------------------------------------------------------------

    def _own_load(self, server: Server) -> int:
        return server.load(self._context.now)

    def _rank(self, server: Server) -> tuple[int, float]:
        """Sort key: this balancer's load, then the known load of other balancers scaled by the server's slowness."""
        others_load = self._gossip.load_of_others(server)
        needs_connection = self._costs.handshake > 0.0 and not server.idle_connections
        connection_ratio = NEW_CONNECTION_LATENCY_RATIO if needs_connection else 1.0
        slowness = max(server.latency_ratio, 1.0 / LATENCY_RATIO_MAX)
        return server.load(self._context.now), (others_load + 1) * slowness * connection_ratio
