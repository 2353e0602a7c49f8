"""Server selection: best of k, that is the least loaded of k random servers.

Candidates are narrowed step by step: servers that are due for probation or named by a routing plan, else the eligible
ones of this balancer's subset, of which k are sampled by weight.  Of these the one with the fewest own requests in
flight is chosen.  After each rejection of a request twice as many are sampled for it.
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

ADMITTING_MIN: Final = 2  # with so many servers that admit a flow, those that rejected it are not candidates
NEW_CONNECTION_RATIO: Final = (
    1.5  # a server without an idle connection counts as slower by this, where that costs
)
OTHER_ZONE_WEIGHT_MIN: Final = 0.25  # of a server in another zone, while the own zone is as quick
OTHER_ZONE_LAG: Final = 0.3  # the own zone this much slower than the others, all zones are sampled alike
HEAVY_EXPONENT_MAX: Final = 3.0  # of the latency ratio, for requests of four times the mean cost or more
PLAN_LATENCY_RATIO_MAX: Final = 2.5  # a plan is not followed to a server that is slower by the own responses


@dataclass(slots=True)
class Choice:
    """The server to send a request to; None: there is none now."""

    server: Server | None
    to_check: list[Server]  # candidates between which health checks decide first; empty: none are needed


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
        self._zones_weighed_at = -1

    def choose(self, request: Request) -> Choice:
        """Choose a server for the next attempt of a request."""
        preferred = self._ejection.due_for_probation(request)
        if preferred is None and self._plan is not None and not request.attempts:
            preferred = self._planned(request, self._plan)
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
            # Right after a stall, others that stalled as well would get the same answers at once.
            return Choice(best, sorted(sampled, key=self._own_load)[: self._costs.checks_per_request])
        return Choice(best, [])

    def is_eligible(self, server: Server, request: Request) -> bool:
        """Whether an attempt of this request may go to the server."""
        if server.ejected_until is not None:
            return False
        if request.attempts:
            if server in request.failed_servers:
                return False
            if any(each.pending and each.server is server for each in request.attempts):
                return False  # a hedged request goes to another server
            if not self._retries.drops_repeats(request, server):
                return False
        return server.warming_since is None or self._slow_start.admits(server, request.cost)

    # -- Candidates -------------------------------------------------------------------------------------

    def _planned(self, request: Request, plan: RoutingPlan) -> Server | None:
        """The least loaded of the servers that the plan names, as far as they may be used."""
        names = plan.sample(self._context.now, self._context.random.random)
        named = [self._servers.by_name.get(name) for name in names]
        ready = [
            each
            for each in named
            if each is not None
            and each.state is ServerState.READY
            and each.latency_ratio < PLAN_LATENCY_RATIO_MAX
        ]
        eligible = [each for each in ready if self.is_eligible(each, request)]
        within = [each for each in eligible if self._own_load(each) < plan.capacity(each.name)]
        return min(within, key=self._own_load, default=None)

    def _candidates(self, request: Request) -> list[Server]:
        """The eligible servers of this balancer's subset; first of its own zone, where the costs ask for that."""
        request.any_zone = request.any_zone or self._context.stall.just_resumed
        listed = self._servers.ready if request.any_zone else self._servers.ready_in_zone
        candidates = self._subset(listed, request)
        if len(candidates) < 2 and not request.any_zone:
            request.any_zone = True
            candidates = self._subset(self._servers.ready, request)
        return candidates

    def _subset(self, servers: list[Server], request: Request) -> list[Server]:
        """The first eligible servers in this balancer's own order, as many as its traffic can know.

        Servers that lately rejected the request's flow are left out, unless too few are left without them.
        """
        size = self._load.subset_size()
        admitting, backed_off = list[Server](), list[Server]()
        for server in servers:
            if self.is_eligible(server, request):
                backoff = server.backoffs.get(request.flow)
                is_over = backoff is None or backoff.until <= self._context.now
                (admitting if is_over else backed_off).append(server)
                if len(admitting) >= size:
                    break
        if len(admitting) >= min(ADMITTING_MIN, size):
            return admitting
        return admitting + backed_off[: size - len(admitting)]

    # -- Sampling ---------------------------------------------------------------------------------------

    def _weights(self, candidates: list[Server], request: Request) -> list[float]:
        if self._zones_weighed_at != self._context.now:
            self._zones_weighed_at = self._context.now
            self._other_zone_weight = 1.0 if self._costs.own_zone_first else self._weigh_other_zones()
        exponent = min(max(1.0, float(request.cost_bucket)), HEAVY_EXPONENT_MAX)
        return [self._weight(each, exponent) for each in candidates]

    def _weight(self, server: Server, exponent: float) -> float:
        """Slower servers are sampled less: with few requests most have none in flight, and sampling decides.

        Still less for heavy requests, which only quick servers can answer in time.
        """
        is_near = server.zone == self._context.settings.zone
        zone_weight = 1.0 if is_near else self._other_zone_weight
        slowness = math.pow(max(server.latency_ratio, 1.0 / LATENCY_RATIO_MAX), exponent)
        return zone_weight * self._slow_start.selection_weight(server) / slowness

    def _weigh_other_zones(self) -> float:
        """The weight of servers in other zones: less while the own zone is as quick as theirs.

        Spares crossings without overloading a zone that has more traffic than servers: as the own zone falls behind,
        or responses come late anywhere, the weights even out.
        """
        zone, prices = self._context.settings.zone, self._context.settings.prices
        crowded = self._limit.is_crowded()
        if prices.cross_zone <= 0.0 or crowded:
            return 1.0  # room anywhere is worth more than a crossing
        usable = [each for each in self._servers.ready if each.ejected_until is None]
        near = [each.latency_ratio for each in usable if each.zone == zone]
        far = [each.latency_ratio for each in usable if each.zone != zone]
        if not near or sum(far) <= 0.0:
            return 1.0
        lag = (sum(near) / len(near)) / (sum(far) / len(far)) - 1.0
        return max(OTHER_ZONE_WEIGHT_MIN, min(lag / OTHER_ZONE_LAG, 1.0))

    def _sample(self, candidates: list[Server], weights: list[float], count: int) -> list[Server]:
        """Sample distinct servers by weight, in random order, so that the first of equals is chance."""
        sampled = []
        left = list(range(len(candidates)))
        total = sum(weights)
        for _ in range(min(count, len(candidates))):
            point = self._context.random.random() * total
            position = 0
            while position < len(left) - 1 and point >= weights[left[position]]:
                point -= weights[left[position]]
                position += 1
            index = left.pop(position)
            total -= weights[index]
            sampled.append(candidates[index])
        return sampled

    # -- Ranking ----------------------------------------------------------------------------------------

    def _own_load(self, server: Server) -> int:
        return server.load(self._context.now)

    def _rank(self, server: Server) -> tuple[int, float]:
        """Own requests in flight, then those of all others as far as is known, by how slow the server is."""
        others = self._gossip.load_of_others(server)
        needs_connection = self._costs.handshake > 0.0 and not server.idle_connections
        connection_ratio = NEW_CONNECTION_RATIO if needs_connection else 1.0
        slowness = max(server.latency_ratio, 1.0 / LATENCY_RATIO_MAX)
        return server.load(self._context.now), (others + 1) * slowness * connection_ratio
