"""A plan for one forwarder, and how far a forwarder follows it; no I/O, times in whole microseconds.

What a plan may never do is checked here, at the forwarder, whoever sent it:

- it names nodes, and only those that the forwarder's own list holds as ready are sent to: the decision module looks
  each up there;
- it lowers the forwarder's own cold budgets and room, and raises neither;
- it says nothing of retries, deadlines, refusals or drains;
- it holds for its lease, counted from when the forwarder asked for it, and no longer;
- the epoch that is followed never goes back, nor the sequence within an epoch.

Trust goes from nothing to all and back by degrees: of the requests of a moment that part follows the plan, the others
are the decision module's alone.  A fleet that loses its planners becomes one of independent sidecars over half a lease.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, unique
from itertools import accumulate

US_PER_S = 1_000_000
LEASE_US_MIN, LEASE_US_MAX = (
    US_PER_S // 5,
    10 * US_PER_S,
)  # outside it a plan would lapse at once, or outlive its planner for long
DATA_AGE_US_MAX = (
    5 * US_PER_S
)  # of the newest summaries that a plan was made of: older ones tell of another fleet
CONFIDENCE_RISE_US = 2 * US_PER_S  # from no trust to all of it
SHARES_MAX = 256  # nodes that a plan names
READY_SERVERS_MIN = 3  # of those, so many must be ready here: fewer would take all that one forwarder sends
SERVER_WEIGHT_RATIO_MAX = (
    0.4  # and none may draw more than this part: a planner that is wrong does not hit one node alone
)
SAMPLES_PER_REQUEST = (
    2  # names a request: the odds know the fleet, so two looks at one's own counts are enough
)
WEIGHT_MAX = 1e6


@unique
class PlanVerdict(Enum):
    """What became of a plan that was offered."""

    ACCEPTED = "followed"
    OTHER = "not for this forwarder, or from before its start"
    OLD_EPOCH = "of an older epoch than was seen"
    OTHER_PLANNER = "of another planner in the epoch that is followed"
    OLD_SEQUENCE = "not newer than the one that is followed"
    NO_BASE = "a change to a plan that is not followed here"
    LAPSED = "its lease was over when it came"
    OLD_DATA = "made of summaries that are too old"
    TOO_FEW = "names too few nodes that are ready here"
    NONSENSE = "holds figures that make no sense"


@dataclass(frozen=True, slots=True)
class ServerShare:
    """What one node is to this forwarder."""

    weight: float  # of being drawn, relative to the other nodes' of the plan; 0 or more
    relative_wait: float = 0.0  # how long a request would take there, relative to the other nodes
    in_flight_limit: float = float("inf")  # own requests in flight there below which one more may go
    slow_start_ratio: float = 1.0  # part of the forwarder's own cold budget that it may use


@dataclass(frozen=True, slots=True)
class Plan:
    """What a planner sends; with a `base` it is a change to the plan of that sequence, None meaning a node's end."""

    forwarder: str
    incarnation: str  # the forwarder's, from start to end: a plan for an earlier one is not followed
    epoch: int  # of the planner's leadership: a fencing token
    planner: str
    sequence: int
    lease_us: int
    data_age_us: int  # of the newest summaries of others that it was made of
    shares: Mapping[str, ServerShare | None] = field(default_factory=dict)
    base_sequence: int | None = None
    confidence_max: float = (
        1.0  # of the requests that shall follow it at the most: less where the planner knows late
    )


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """What a forwarder follows, for operators and for its summaries."""

    epoch: int  # the highest that was seen
    planner: str
    sequence: int
    confidence: float
    plan_age_us: int | None  # since the plan that is followed was asked for; None: none is
    last_verdict: str  # what became of the newest plan that was offered
    rejected: Mapping[str, int]  # plans that were not followed, by reason


class PlanFollower:
    """One forwarder's plan; a guide to its decision module (topazbank.interface.Guide)."""

    def __init__(self, name: str, life: str) -> None:
        self.name = name
        self.incarnation = life
        self.rejected: dict[str, int] = {}  # by reason: as many as Verdict has
        self._epoch = -1
        self._planner = ""
        self._sequence = -1
        self._asked_at = 0
        self._lease = 0  # 0: no plan is followed
        self._part = 0.0  # of the plan that is followed
        self._last = "none was offered"
        self._shares: dict[str, ServerShare] = {}  # SHARES_MOST
        self._names: list[str] = []  # that have odds
        self._summed: list[float] = []  # their odds, each with all before it
        self._risen_at, self._risen = 0, 0.0  # the trust there was, and when

    # -- Plans -----------------------------------------------------------------------------------------

    def offer(self, now: int, asked_at: int, plan: Plan, ready: Collection[str]) -> PlanVerdict:
        """Follow a plan, or say why not.  `asked_at`: when it was asked for; `ready`: the own list's nodes."""
        verdict, shares = self._weigh(now, asked_at, plan, ready)
        self._last = verdict.value
        if plan.epoch > self._epoch and self._is_ours(plan):
            # Seen is seen, also where the plan itself can't be followed: the one before is deposed.
            self._epoch, self._planner, self._sequence = plan.epoch, plan.planner, -1
            if verdict is not PlanVerdict.ACCEPTED:
                self._keep_trust(now)
                self._lease = min(self._lease, max(now - self._asked_at, 0) + LEASE_US_MIN)
        if verdict is not PlanVerdict.ACCEPTED:
            self.rejected[verdict.name] = self.rejected.get(verdict.name, 0) + 1
            return verdict
        self._keep_trust(now)
        self._sequence, self._asked_at, self._lease = plan.sequence, asked_at, plan.lease_us
        self._shares, self._part = shares, plan.confidence_max
        self._draw_from(ready)
        return verdict

    def _is_ours(self, plan: Plan) -> bool:
        return (plan.forwarder, plan.incarnation) == (self.name, self.incarnation)

    def _weigh(
        self, now: int, asked_at: int, plan: Plan, ready: Collection[str]
    ) -> tuple[PlanVerdict, dict[str, ServerShare]]:
        whole: dict[str, ServerShare] = {}
        if not self._is_ours(plan):
            return PlanVerdict.OTHER, whole
        if plan.epoch < self._epoch:
            return PlanVerdict.OLD_EPOCH, whole
        if plan.epoch == self._epoch:
            if plan.planner != self._planner:
                return PlanVerdict.OTHER_PLANNER, whole
            if plan.sequence <= self._sequence:
                return PlanVerdict.OLD_SEQUENCE, whole
        if plan.base_sequence is not None:
            if (plan.epoch, plan.base_sequence) != (self._epoch, self._sequence):
                return PlanVerdict.NO_BASE, whole
            whole = dict(self._shares)
        for name, share in plan.shares.items():
            if share is None:
                whole.pop(name, None)
            else:
                whole[name] = share
        if not LEASE_US_MIN <= plan.lease_us <= LEASE_US_MAX or not 0.0 <= plan.confidence_max <= 1.0:
            return PlanVerdict.NONSENSE, whole
        if len(whole) > SHARES_MAX or plan.data_age_us < 0 or plan.epoch < 0 or plan.sequence < 0:
            return PlanVerdict.NONSENSE, whole
        if not all(_makes_sense(share) for share in whole.values()):
            return PlanVerdict.NONSENSE, whole
        if not asked_at <= now < asked_at + plan.lease_us:
            return PlanVerdict.LAPSED, whole
        if plan.data_age_us > DATA_AGE_US_MAX:
            return PlanVerdict.OLD_DATA, whole
        drawable = sum(1 for name, share in whole.items() if share.weight > 0.0 and name in ready)
        if drawable < min(READY_SERVERS_MIN, len(ready)) or not drawable:
            return PlanVerdict.TOO_FEW, whole
        return PlanVerdict.ACCEPTED, whole

    def update_ready_servers(self, ready: Collection[str]) -> None:
        """The own list has changed: who is not ready is not drawn."""
        if self._lease:
            self._draw_from(ready)

    def _draw_from(self, ready: Collection[str]) -> None:
        odds = {
            name: share.weight for name, share in self._shares.items() if share.weight > 0.0 and name in ready
        }
        self._names = list(odds)
        self._summed = list(accumulate(_levelled(list(odds.values()))))

    # -- How far it is followed ------------------------------------------------------------------------

    def confidence(self, now: int) -> float:
        """The part of the requests that follows the plan at this time."""
        left = self._asked_at + self._lease - now
        if left <= 0 or now < self._asked_at or not self._summed:
            return 0.0  # lapsed, or the clock went back
        risen = self._risen + max(now - self._risen_at, 0) / CONFIDENCE_RISE_US
        return min(self._part, risen, 2.0 * left / self._lease)

    def _keep_trust(self, now: int) -> None:
        self._risen_at, self._risen = now, self.confidence(now)

    # -- The guide -------------------------------------------------------------------------------------

    def sample(self, now: int, chance: Callable[[], float]) -> Sequence[str]:
        trust = self.confidence(now)
        if trust <= 0.0 or (trust < 1.0 and chance() >= trust):
            return ()
        total, last = self._summed[-1], len(self._names) - 1
        picked = {
            min(bisect_right(self._summed, chance() * total), last): None for _ in range(SAMPLES_PER_REQUEST)
        }
        names = [self._names[each] for each in picked]
        names.sort(key=self._wait)  # of those with as few of the forwarder's own requests the first is taken
        return names

    def _wait(self, name: str) -> float:
        return self._shares[name].relative_wait

    def capacity(self, server: str) -> float:
        share = self._shares.get(server)
        return share.in_flight_limit if share is not None else float("inf")

    def slow_start_ratio(self, server: str, now: int) -> float:
        share = self._shares.get(server)
        if share is None or share.slow_start_ratio >= 1.0:
            return 1.0
        return 1.0 - self.confidence(now) * (1.0 - max(share.slow_start_ratio, 0.0))

    # -- For operators ---------------------------------------------------------------------------------

    def status(self, now: int) -> FollowerStatus:
        age = now - self._asked_at if self._lease and self.confidence(now) > 0.0 else None
        return FollowerStatus(
            self._epoch,
            self._planner,
            self._sequence,
            self.confidence(now),
            age,
            self._last,
            dict(self.rejected),
        )

    def shares(self) -> Mapping[str, ServerShare]:
        return self._shares


def _levelled(odds: list[float]) -> list[float]:
    """Odds of which none is more than PART_MOST of all, where there are enough to share with."""
    if len(odds) * SERVER_WEIGHT_RATIO_MAX <= 1.0:
        return odds
    for _ in range(int(1.0 / SERVER_WEIGHT_RATIO_MAX)):  # so many may be too large, one after the other
        largest = max(range(len(odds)), key=odds.__getitem__)
        most = SERVER_WEIGHT_RATIO_MAX / (1.0 - SERVER_WEIGHT_RATIO_MAX) * (sum(odds) - odds[largest])
        odds[largest] = min(odds[largest], most)
    return odds


def _makes_sense(share: ServerShare) -> bool:
    return (
        0.0 <= share.weight <= WEIGHT_MAX
        and 0.0 <= share.relative_wait <= WEIGHT_MAX
        and share.in_flight_limit >= 0.0
        and 0.0 <= share.slow_start_ratio <= 1.0
    )
