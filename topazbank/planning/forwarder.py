"""What planning adds to a sidecar: it watches what passes, tells planners, and guides the decision module."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any

from topazbank.balancing.events import ServerDescription, ServerState
from topazbank.cluster.member import Generations
from topazbank.core.net import Address
from topazbank.planning.link import PERIOD_MOST, PlannerLink
from topazbank.planning.plan import Follower, Plan, S
from topazbank.planning.summary import Collector
from topazbank.planning.wire import encode_summary

PERIOD = S // 10  # between summaries until a planner asks for another
JITTER = 0.1  # of a period: forwarders that started together spread out


class Forwarding:
    """One forwarder's part in planning (topazbank.core.components.RequestObserver)."""

    def __init__(self, name: str, planners: Sequence[Address], now: Callable[[], int], seed: int) -> None:
        self._random = random.Random(seed)
        self.follower = Follower(name, f"{self._random.getrandbits(64):016x}")
        self._collector = Collector()
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

    def endpoints_updated(self, servers: Sequence[ServerDescription]) -> None:
        for each in servers:
            if each.state is ServerState.READY:
                self._ready.add(each.name)
            else:
                self._ready.discard(each.name)
        if servers:
            self.follower.listed(self._ready)

    def request_arrived(self, kind: str) -> None:
        self._collector.arrived(kind)

    def request_answered(self, kind: str, served: bool) -> None:
        if served:
            self._collector.served(kind)
        else:
            self._collector.turned_away(kind)

    def attempt_sent(self, server: str) -> None:
        self._collector.sent(server)

    def attempt_ended(
        self, server: str, delivered: bool, elapsed_us: int, report: Mapping[str, float] | None
    ) -> None:
        self._collector.ended(self._now(), server, delivered, elapsed_us, report)

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
        following = self.follower.following(now)
        summary = self._collector.take(
            now,
            self.follower.name,
            self.follower.life,
            (following.epoch, following.planner, following.sequence),
            frozenset(self._ejected()),
        )
        summary.age, summary.lives = following.age, self._lives()
        encoded = encode_summary(summary)
        for link in self._links:
            link.send(encoded)
        self._later(1.0 + JITTER * (self._random.random() - 0.5))

    def _later(self, periods: float) -> None:
        asked = [each.period for each in self._links if each.period is not None]
        period = min(max(asked, default=PERIOD), PERIOD_MOST)
        self._timer = asyncio.get_running_loop().call_later(periods * period / S, self._tell)

    def _hear(self, asked_at: int, plan: Plan) -> None:
        self.follower.offer(self._now(), asked_at, plan, self._ready)

    # -- For operators ---------------------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """What is followed and why, as plain data."""
        following = self.follower.following(self._now())
        return {
            "forwarder": self.follower.name,
            "epoch": following.epoch,
            "planner": following.planner,
            "sequence": following.sequence,
            "trust": round(following.trust, 3),
            "age_s": None if following.age is None else following.age / S,
            "last": following.last,
            "refused": dict(following.refused),
            "planners": [
                {
                    "address": f"{link.address[0]}:{link.address[1]}",
                    "answered": link.answered,
                    "bad": link.bad,
                    "period_s": None if link.period is None else link.period / S,
                }
                for link in self._links
            ],
            "shares": {
                name: {"odds": each.odds, "wait": each.wait, "room": each.room, "cold": each.cold}
                for name, each in sorted(self.follower.shares().items())
            },
        }
