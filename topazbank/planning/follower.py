"""The plan that a forwarder follows, and its confidence in it; no I/O, times in microseconds.

Confidence is the fraction of requests that follow the plan; the balancer alone routes all others.  It rises over
CONFIDENCE_RISE_US and falls over the second half of a lease that is not renewed.  When a fleet loses its planners, its
sidecars therefore return to independent routing gradually.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from itertools import accumulate

from topazbank.planning.plan import (
    LEASE_US_MIN,
    US_PER_S,
    FollowedPosition,
    Plan,
    PlanCheck,
    PlanVerdict,
    ServerShare,
    check_plan,
)

CONFIDENCE_RISE_US = 2 * US_PER_S  # from 0 to 1
SERVER_WEIGHT_RATIO_MAX = 0.4  # of the sum: a wrong plan must not send everything to one server
SAMPLES_PER_REQUEST = 2  # weights cover the fleet; the forwarder's own counts choose between the two


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """The state of a PlanFollower, for the status page and for summaries."""

    epoch: int  # the highest observed
    planner: str
    sequence: int
    confidence: float
    plan_age_us: int | None  # since the plan was requested; None: no plan is followed
    last_verdict: str  # on the most recently received plan
    rejected: Mapping[str, int]  # number of plans, by verdict name


class PlanFollower:
    """The plan of one forwarder, applied to its balancer (implements topazbank.balancing.fleet.RoutingPlan)."""

    def __init__(self, name: str, incarnation: str) -> None:
        self.name = name
        self.incarnation = incarnation
        self.rejected: dict[str, int] = {}  # number of plans, by verdict name
        self._followed = FollowedPosition(-1, "", -1)
        self._requested_at = 0
        self._lease_us = 0  # 0: no plan is followed
        self._confidence_max = 0.0  # the plan's limit
        self._last_verdict = "none was offered"
        self._shares: dict[str, ServerShare] = {}  # at most SHARES_MAX
        self._names: list[str] = []  # servers that may be sampled
        self._cumulative_weights: list[float] = []  # in the order of _names
        self._rise_start_confidence = 0.0  # confidence when the plan was accepted
        self._rise_started_at = 0

    # -- Plans -----------------------------------------------------------------------------------------

    def offer(self, now: int, requested_at: int, plan: Plan, ready: Collection[str]) -> PlanVerdict:
        """Check a plan and follow it if it is accepted; return the verdict.

        `requested_at` is the time at which the summary that requested the plan was sent.  `ready` holds the servers
        that are ready in this sidecar's endpoint list.
        """
        if (plan.forwarder, plan.incarnation) != (self.name, self.incarnation):
            check = PlanCheck(PlanVerdict.OTHER, {})
        else:
            check = check_plan(plan, now, requested_at, self._followed, self._shares, ready)
            self._observe_epoch(now, plan, check.verdict)
        self._last_verdict = check.verdict.value
        if check.verdict is not PlanVerdict.ACCEPTED:
            self.rejected[check.verdict.name] = self.rejected.get(check.verdict.name, 0) + 1
            return check.verdict
        self._restart_rise(now)
        self._followed = FollowedPosition(plan.epoch, plan.planner, plan.sequence)
        self._requested_at, self._lease_us = requested_at, plan.lease_us
        self._shares, self._confidence_max = check.shares, plan.confidence_max
        self._update_weights(ready)
        return check.verdict

    def _observe_epoch(self, now: int, plan: Plan, verdict: PlanVerdict) -> None:
        """Depose the followed planner if the plan has a higher epoch, even if that plan is rejected.

        After a rejection the current plan's lease is shortened.  Confidence falls until the new planner sends a valid
        plan.
        """
        if plan.epoch <= self._followed.epoch:
            return
        self._followed = FollowedPosition(plan.epoch, plan.planner, -1)
        if verdict is not PlanVerdict.ACCEPTED:
            self._restart_rise(now)
            self._lease_us = min(self._lease_us, max(now - self._requested_at, 0) + LEASE_US_MIN)

    def update_ready_servers(self, ready: Collection[str]) -> None:
        """Apply a change of the endpoint list: servers that are not ready are no longer sampled."""
        if self._lease_us:
            self._update_weights(ready)

    def _update_weights(self, ready: Collection[str]) -> None:
        weights = {
            name: share.weight for name, share in self._shares.items() if share.weight > 0.0 and name in ready
        }
        self._names = list(weights)
        self._cumulative_weights = list(accumulate(_limit_weights(list(weights.values()))))

    # -- Confidence ------------------------------------------------------------------------------------

    def confidence(self, now: int) -> float:
        """The fraction of requests that follow the plan, 0 to 1."""
        remaining_us = self._requested_at + self._lease_us - now
        if remaining_us <= 0 or now < self._requested_at or not self._cumulative_weights:
            return 0.0  # the lease has expired, the clock went back, or no server can be sampled
        risen_confidence = (
            self._rise_start_confidence + max(now - self._rise_started_at, 0) / CONFIDENCE_RISE_US
        )
        return min(self._confidence_max, risen_confidence, 2.0 * remaining_us / self._lease_us)

    def _restart_rise(self, now: int) -> None:
        """Restart the rise from the current confidence, which avoids a step between plans."""
        self._rise_start_confidence = self.confidence(now)
        self._rise_started_at = now

    # -- The routing plan ------------------------------------------------------------------------------

    def sample(self, now: int, chance: Callable[[], float]) -> Sequence[str]:
        """Sample servers for one request, shortest wait first; empty if the request does not follow the plan.

        `chance` returns a random number in [0, 1).
        """
        confidence = self.confidence(now)
        if confidence <= 0.0 or (confidence < 1.0 and chance() >= confidence):
            return ()
        total, last = self._cumulative_weights[-1], len(self._names) - 1
        indexes = {
            min(bisect_right(self._cumulative_weights, chance() * total), last): None
            for _ in range(SAMPLES_PER_REQUEST)
        }
        names = [self._names[index] for index in indexes]
        names.sort(key=self._relative_wait)
        return names

    def _relative_wait(self, name: str) -> float:
        return self._shares[name].relative_wait

    def capacity(self, server: str) -> float:
        """The limit of this forwarder's requests in flight at a server."""
        share = self._shares.get(server)
        return share.in_flight_limit if share is not None else float("inf")

    def slow_start_ratio(self, server: str, now: int) -> float:
        """The fraction of its slow-start limit that the forwarder may use for a server, 0 to 1."""
        share = self._shares.get(server)
        if share is None or share.slow_start_ratio >= 1.0:
            return 1.0
        return 1.0 - self.confidence(now) * (1.0 - max(share.slow_start_ratio, 0.0))

    # -- Status ----------------------------------------------------------------------------------------

    def status(self, now: int) -> FollowerStatus:
        """The followed plan and the confidence in it."""
        confidence = self.confidence(now)
        plan_age_us = now - self._requested_at if self._lease_us and confidence > 0.0 else None
        return FollowerStatus(
            *self._followed, confidence, plan_age_us, self._last_verdict, dict(self.rejected)
        )

    def shares(self) -> Mapping[str, ServerShare]:
        """The server shares of the most recently accepted plan."""
        return self._shares


def _limit_weights(weights: list[float]) -> list[float]:
    """Cap each weight at SERVER_WEIGHT_RATIO_MAX of the sum; too few weights for that cap stay unchanged."""
    if len(weights) * SERVER_WEIGHT_RATIO_MAX <= 1.0:
        return weights
    for _ in range(int(1.0 / SERVER_WEIGHT_RATIO_MAX)):  # upper bound on weights above the cap
        largest = max(range(len(weights)), key=weights.__getitem__)
        others = sum(weights) - weights[largest]
        limit = SERVER_WEIGHT_RATIO_MAX / (1.0 - SERVER_WEIGHT_RATIO_MAX) * others
        weights[largest] = min(weights[largest], limit)
    return weights
