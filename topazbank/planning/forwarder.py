"""A sidecar's side of planning: sends summaries to planners and guides the balancer by the plan that it follows."""

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

DEFAULT_PERIOD_US = US_PER_S // 10  # between summaries, until a planner asks for another period
JITTER_RATIO = 0.1  # of a period, so that forwarders started together spread out


class PlanningClient:
    """One forwarder's part in planning (topazbank.core.driver.RequestObserver)."""

    def __init__(self, name: str, planners: Sequence[Address], now: Callable[[], int], seed: int) -> None:
        """`now` returns the sidecar's clock in microseconds."""
        self._random = random.Random(seed)
        self.follower = PlanFollower(name, f"{self._random.getrandbits(64):016x}")
        self._collector = SummaryCollector()
        self._ready: set[str] = set()  # servers, by the own endpoint list
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
        """Begin to send summaries.

        `ejected` returns the servers that the balancer has ejected, `generations` those of the cluster's members,
        None where this sidecar is in no cluster.
        """
        self._ejected, self._generations = ejected, generations
        self._schedule(self._random.random())

    def stop(self) -> None:
        """Close the connections to planners."""
        if self._timer is not None:
            self._timer.cancel()
        for link in self._links:
            link.stop()

    def endpoints_updated(self, servers: Sequence[ServerDescription]) -> None:
        """Entries of the endpoint list have changed."""
        for server in servers:
            if server.state is ServerState.READY:
                self._ready.add(server.name)
            else:
                self._ready.discard(server.name)
        if servers:
            self.follower.update_ready_servers(self._ready)

    def request_arrived(self, request_class: str) -> None:
        """A client's request of this class has come."""
        self._collector.request_arrived(request_class)

    def request_answered(self, request_class: str, served: bool) -> None:
        """A request has its final answer; `served`: a server's response."""
        if served:
            self._collector.request_served(request_class)
        else:
            self._collector.request_rejected(request_class)

    def attempt_sent(self, server: str) -> None:
        """An attempt at a server has begun."""
        self._collector.attempt_sent(server)

    def attempt_ended(
        self, server: str, delivered: bool, elapsed_us: int, report: Mapping[str, float] | None
    ) -> None:
        """An attempt has ended; `report`: the server's load report, if it sent one."""
        self._collector.attempt_ended(self._now(), server, delivered, elapsed_us, report)

    # -- The routing plan ------------------------------------------------------------------------------

    def sample(self, now: int, chance: Callable[[], float]) -> Sequence[str]:
        """Servers sampled for one request; none where it doesn't follow the plan."""
        return self.follower.sample(now, chance)

    def capacity(self, server: str) -> float:
        """How many of the forwarder's own requests may be in flight at a server."""
        return self.follower.capacity(server)

    def slow_start_ratio(self, server: str, now: int) -> float:
        """The part of its own slow-start limit that the balancer may use for a server."""
        return self.follower.slow_start_ratio(server, now)

    # -- Planners --------------------------------------------------------------------------------------

    def _send_summary(self) -> None:
        now = self._now()
        following = self.follower.status(now)
        summary = self._collector.collect(
            now,
            self.follower.name,
            self.follower.incarnation,
            FollowedPlan(following.epoch, following.planner, following.sequence),
            frozenset(self._ejected()),
        )
        summary.plan_age_us, summary.generations = following.plan_age_us, self._generations()
        document = encode_summary(summary)
        for link in self._links:
            link.send(document)
        self._schedule(1.0 + JITTER_RATIO * (self._random.random() - 0.5))

    def _schedule(self, periods: float) -> None:
        """Send the next summary after so many periods; of several planners the one that asks for the longest counts."""
        requested = [link.period_us for link in self._links if link.period_us is not None]
        period_us = min(max(requested, default=DEFAULT_PERIOD_US), PERIOD_US_MAX)
        delay_s = periods * period_us / US_PER_S
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._send_summary)

    def _on_plan(self, requested_at: int, plan: Plan) -> None:
        self.follower.offer(self._now(), requested_at, plan, self._ready)

    # -- Status ----------------------------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """What is followed and why; the keys are the status page's and don't change."""
        following = self.follower.status(self._now())
        age_us = following.plan_age_us
        return {
            "forwarder": self.follower.name,
            "epoch": following.epoch,
            "planner": following.planner,
            "sequence": following.sequence,
            "trust": round(following.confidence, 3),
            "age_s": None if age_us is None else age_us / US_PER_S,
            "last": following.last_verdict,
            "refused": dict(following.rejected),
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
