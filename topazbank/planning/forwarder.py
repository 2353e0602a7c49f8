"""The planning client in a sidecar: sends summaries to planners and applies the followed plan to the balancer."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any

from topazbank.balancing.events import ServerDescription, ServerState
from topazbank.cluster.member import Generations
from topazbank.core.net import Address
from topazbank.planning.follower import PlanFollower
from topazbank.planning.link import PERIOD_US_MAX, PlannerLink
from topazbank.planning.plan import US_PER_S, Plan
from topazbank.planning.summary import FollowedPlan, SummaryCollector
from topazbank.planning.wire import encode_summary

DEFAULT_PERIOD_US = US_PER_S // 10  # between summaries, until a planner requests another period
JITTER_RATIO = 0.1  # of a period: spreads the summaries of forwarders started together


class PlanningClient:
    """The planning client of one forwarder (implements topazbank.core.driver.RequestObserver)."""

    def __init__(self, name: str, planners: Sequence[Address], now: Callable[[], int], seed: int) -> None:
        """`now` returns the sidecar's clock in microseconds."""
        self._random = random.Random(seed)
        self.follower = PlanFollower(name, f"{self._random.getrandbits(64):016x}")
        self._collector = SummaryCollector()
        self._ready: set[str] = set()  # servers that are ready in this sidecar's endpoint list
        self._now = now
        self._links = [
            PlannerLink(address, now, self._on_plan, seed + number) for number, address in enumerate(planners)
        ]
        self._timer: asyncio.TimerHandle | None = None
        self._ejected: Callable[[], Collection[str]] = tuple
        self._generations: Callable[[], Generations | None] = lambda: None

    # -- The request observer --------------------------------------------------------------------------

    def start(
        self, ejected: Callable[[], Collection[str]], generations: Callable[[], Generations | None]
    ) -> None:
        """Start sending summaries.

        `ejected` returns the servers that the balancer has ejected.  `generations` returns the process generations of
        the cluster's members, or None if this sidecar is in no cluster.
        """
        self._ejected, self._generations = ejected, generations
        self._schedule(self._random.random())

    def stop(self) -> None:
        """Stop sending summaries and close the connections to planners."""
        if self._timer is not None:
            self._timer.cancel()
        for link in self._links:
            link.stop()

    def endpoints_updated(self, servers: Sequence[ServerDescription]) -> None:
        """Apply changed entries of the endpoint list."""
        for server in servers:
            if server.state is ServerState.READY:
                self._ready.add(server.name)
            else:
                self._ready.discard(server.name)
        if servers:
            self.follower.update_ready_servers(self._ready)

    def request_arrived(self, request_class: str) -> None:
        """Count a request received from a client."""
        self._collector.request_arrived(request_class)

    def request_answered(self, request_class: str, served: bool) -> None:
        """Count the final response to a request; `served`: it is a server's response."""
        if served:
            self._collector.request_served(request_class)
        else:
            self._collector.request_rejected(request_class)

    def attempt_sent(self, server: str) -> None:
        """Count an attempt sent to a server."""
        self._collector.attempt_sent(server)

    def attempt_ended(
        self, server: str, delivered: bool, elapsed_us: int, report: Mapping[str, float] | None
    ) -> None:
        """Count the end of an attempt; `report`: the server's load report, if it sent one."""
        self._collector.attempt_ended(self._now(), server, delivered, elapsed_us, report)

    # -- The routing plan ------------------------------------------------------------------------------

    def sample(self, now: int, chance: Callable[[], float]) -> Sequence[str]:
        """Sample servers for one request; empty if the request does not follow the plan."""
        return self.follower.sample(now, chance)

    def capacity(self, server: str) -> float:
        """The limit of this forwarder's requests in flight at a server."""
        return self.follower.capacity(server)

    def slow_start_ratio(self, server: str, now: int) -> float:
        """The fraction of its slow-start limit that the balancer may use for a server, 0 to 1."""
        return self.follower.slow_start_ratio(server, now)

    # -- Planners --------------------------------------------------------------------------------------

    def _send_summary(self) -> None:
        now = self._now()
        follower_status = self.follower.status(now)
        summary = self._collector.collect(
            now,
            self.follower.name,
            self.follower.incarnation,
            FollowedPlan(follower_status.epoch, follower_status.planner, follower_status.sequence),
            frozenset(self._ejected()),
        )
        summary.plan_age_us, summary.generations = follower_status.plan_age_us, self._generations()
        document = encode_summary(summary)
        for link in self._links:
            link.send(document)
        self._schedule(1.0 + JITTER_RATIO * (self._random.random() - 0.5))

    def _schedule(self, periods: float) -> None:
        """Schedule the next summary after `periods`, using the longest period that any planner requests."""
        requested_periods_us = [link.period_us for link in self._links if link.period_us is not None]
        period_us = min(max(requested_periods_us, default=DEFAULT_PERIOD_US), PERIOD_US_MAX)
        delay_s = periods * period_us / US_PER_S
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._send_summary)

    def _on_plan(self, requested_at: int, plan: Plan) -> None:
        self.follower.offer(self._now(), requested_at, plan, self._ready)

    # -- Status ----------------------------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """The followed plan and the state of the links; the status page's keys must not change."""
        follower_status = self.follower.status(self._now())
        age_us = follower_status.plan_age_us
        return {
            "forwarder": self.follower.name,
            "epoch": follower_status.epoch,
            "planner": follower_status.planner,
            "sequence": follower_status.sequence,
            "trust": round(follower_status.confidence, 3),
            "age_s": None if age_us is None else age_us / US_PER_S,
            "last": follower_status.last_verdict,
            "refused": dict(follower_status.rejected),
            "planners": [_link_status(link) for link in self._links],
            "shares": {
                name: {
                    "odds": share.weight,
                    "wait": share.relative_wait,
                    "room": share.in_flight_limit,
                    "cold": share.slow_start_ratio,
                }
                for name, share in sorted(self.follower.shares().items())
            },
        }


def _link_status(link: PlannerLink) -> dict[str, Any]:
    return {
        "address": f"{link.address[0]}:{link.address[1]}",
        "answered": link.responses,
        "bad": link.invalid_responses,
        "period_s": None if link.period_us is None else link.period_us / US_PER_S,
    }
