"""What planning adds to a sidecar: it watches what passes, tells planners, and guides the decision module."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any

from topazbank.balancing.events import ServerDescription, ServerState
from topazbank.cluster.member import Generations
from topazbank.core.net import Address
from topazbank.planning.link import PERIOD_US_MAX, PlannerLink
from topazbank.planning.plan import US_PER_S, Plan, PlanFollower
from topazbank.planning.summary import SummaryCollector
from topazbank.planning.wire import encode_summary

DEFAULT_PERIOD_US = US_PER_S // 10  # between summaries until a planner asks for another
JITTER_RATIO = 0.1  # of a period: forwarders that started together spread out


class PlanningClient:
    """One forwarder's part in planning (topazbank.core.driver.Observer)."""

    def __init__(self, name: str, planners: Sequence[Address], now: Callable[[], int], seed: int) -> None:
        self._random = random.Random(seed)
        self.follower = PlanFollower(name, f"{self._random.getrandbits(64):016x}")
        self._collector = SummaryCollector()
        self._ready: set[str] = set()
        self._now = now
        self._links = [PlannerLink(each, now, self._hear, seed + n) for n, each in enumerate(planners)]
        self._timer: asyncio.TimerHandle | None = None
        self._ejected: Callable[[], Collection[str]] = tuple
        self._lives: Callable[[], Generations | None] = lambda: None

    # -- What the driver tells --------------------------------------------------------------------------

    def start(self, ejected: Callable[[], Collection[str]], lives: Callable[[], Generations | None]) -> None:
        """Begin to tell planners; `ejected` gives the nodes that the decision module leaves alone.

        `lives`: what is known of the tier, None where this sidecar is in none.
        """
        self._ejected, self._lives = ejected, lives
        self._later(self._random.random())

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        for link in self._links:
            link.stop()

    def listed(self, servers: Sequence[ServerDescription]) -> None:
        for each in servers:
            if each.state is ServerState.READY:
                self._ready.add(each.name)
            else:
                self._ready.discard(each.name)
        if servers:
            self.follower.update_ready_servers(self._ready)

    def arrived(self, kind: str) -> None:
        self._collector.request_arrived(kind)

    def answered(self, kind: str, served: bool) -> None:
        if served:
            self._collector.request_served(kind)
        else:
            self._collector.request_rejected(kind)

    def sent(self, server: str) -> None:
        self._collector.attempt_sent(server)

    def ended(
        self, server: str, delivered: bool, elapsed_us: int, report: Mapping[str, float] | None
    ) -> None:
        self._collector.attempt_ended(self._now(), server, delivered, elapsed_us, report)

    # -- The guide -------------------------------------------------------------------------------------

    def sample(self, now: int, chance: Callable[[], float]) -> Sequence[str]:
        return self.follower.sample(now, chance)

    def capacity(self, server: str) -> float:
        return self.follower.capacity(server)

    def slow_start_ratio(self, server: str, now: int) -> float:
        return self.follower.slow_start_ratio(server, now)

    # -- Planners --------------------------------------------------------------------------------------

    def _tell(self) -> None:
        now = self._now()
        following = self.follower.status(now)
        summary = self._collector.collect(
            now,
            self.follower.name,
            self.follower.incarnation,
            (following.epoch, following.planner, following.sequence),
            frozenset(self._ejected()),
        )
        summary.plan_age_us, summary.generations = following.plan_age_us, self._lives()
        encoded = encode_summary(summary)
        for link in self._links:
            link.send(encoded)
        self._later(1.0 + JITTER_RATIO * (self._random.random() - 0.5))

    def _later(self, periods: float) -> None:
        asked = [each.period_us for each in self._links if each.period_us is not None]
        period = min(max(asked, default=DEFAULT_PERIOD_US), PERIOD_US_MAX)
        self._timer = asyncio.get_running_loop().call_later(periods * period / US_PER_S, self._tell)

    def _hear(self, asked_at: int, plan: Plan) -> None:
        self.follower.offer(self._now(), asked_at, plan, self._ready)

    # -- For operators ---------------------------------------------------------------------------------

    def show(self) -> dict[str, Any]:
        """What is followed and why, as plain data."""
        following = self.follower.status(self._now())
        return {
            "forwarder": self.follower.name,
            "epoch": following.epoch,
            "planner": following.planner,
            "sequence": following.sequence,
            "trust": round(following.confidence, 3),
            "age_s": None if following.plan_age_us is None else following.plan_age_us / US_PER_S,
            "last": following.last_verdict,
            "refused": dict(following.rejected),
            "planners": [
                {
                    "address": f"{link.address[0]}:{link.address[1]}",
                    "answered": link.responses,
                    "bad": link.invalid_responses,
                    "period_s": None if link.period_us is None else link.period_us / US_PER_S,
                }
                for link in self._links
            ],
            "shares": {
                name: {
                    "odds": each.weight,
                    "wait": each.relative_wait,
                    "room": each.in_flight_limit,
                    "cold": each.slow_start_ratio,
                }
                for name, each in sorted(self.follower.shares().items())
            },
        }
