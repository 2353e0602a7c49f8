"""A routing plan for one forwarder, and the rules by which a forwarder accepts one; no I/O, times in microseconds.

A forwarder trusts no sender.  It accepts a plan only if

- it is addressed to this forwarder's current incarnation;
- its epoch (a fencing token) and sequence are newer than those of the plan in use;
- its lease, counted from the forwarder's request, has not expired;
- it is computed from recent summaries, and names enough servers that are ready in the forwarder's endpoint list;
- its figures are within bounds.

A plan only distributes requests and lowers the forwarder's local limits.  It has no influence on retries, deadlines,
rejections or drains.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import NamedTuple

US_PER_S = 1_000_000
LEASE_US_MIN = US_PER_S // 5  # a shorter lease would expire before the next plan arrives
LEASE_US_MAX = 10 * US_PER_S  # a longer lease would keep the plan of a failed planner in use
DATA_AGE_US_MAX = 5 * US_PER_S  # age of the newest summary behind the plan
SHARES_MAX = 256  # servers per plan
READY_SERVERS_MIN = 3  # fewer would receive all of this forwarder's requests
WEIGHT_MAX = 1e6


@unique
class PlanVerdict(Enum):
    """The result of checking a plan.  The status page shows the names and texts, so they must not change."""

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
    """A plan's figures for one server."""

    weight: float  # sampling weight, relative to the plan's other servers; 0 or more
    relative_wait: float = 0.0  # expected response time, relative to the other servers
    in_flight_limit: float = float("inf")  # bounds this forwarder's attempts in flight at the server
    slow_start_ratio: float = 1.0  # usable part of the forwarder's slow-start limit

    def is_valid(self) -> bool:
        """Whether all figures are within bounds; NaN never is."""
        return (
            0.0 <= self.weight <= WEIGHT_MAX
            and 0.0 <= self.relative_wait <= WEIGHT_MAX
            and self.in_flight_limit >= 0.0
            and 0.0 <= self.slow_start_ratio <= 1.0
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """A planner's plan; if `base_sequence` is set, it holds only the changes to the plan of that sequence."""

    forwarder: str
    incarnation: str  # identifies the forwarder's process
    epoch: int  # epoch of the planner's leadership: a fencing token
    planner: str
    sequence: int  # increases within an epoch
    lease_us: int
    data_age_us: int  # age of the newest summary behind the plan
    shares: Mapping[str, ServerShare | None] = field(default_factory=dict)  # None: the server was removed
    base_sequence: int | None = None
    confidence_max: float = 1.0  # the largest part of requests that may follow it, 0 to 1


class FollowedPosition(NamedTuple):
    """The newest epoch that a forwarder has seen, and the plan of that epoch that it follows."""

    epoch: int
    planner: str
    sequence: int


class PlanCheck(NamedTuple):
    """The verdict on a plan, and its shares with all changes applied; they are valid only if it is accepted."""

    verdict: PlanVerdict
    shares: dict[str, ServerShare]


def check_plan(
    plan: Plan,
    now: int,
    requested_at: int,
    followed: FollowedPosition,
    followed_shares: Mapping[str, ServerShare],
    ready: Collection[str],
) -> PlanCheck:
    """Check a plan for this forwarder; `ready`: the servers that are ready in its endpoint list."""
    verdict = _check_order(plan, followed)
    if verdict is not None:
        return PlanCheck(verdict, {})
    shares = dict(followed_shares) if plan.base_sequence is not None else {}
    for name, share in plan.shares.items():
        if share is None:
            shares.pop(name, None)
        else:
            shares[name] = share
    return PlanCheck(_check_content(plan, now, requested_at, shares, ready), shares)


def _check_order(plan: Plan, followed: FollowedPosition) -> PlanVerdict | None:
    """Return why the plan can't replace the one followed: it is older, or has another base; None: it can."""
    if plan.epoch < followed.epoch:
        return PlanVerdict.OLD_EPOCH
    if plan.epoch == followed.epoch:
        if plan.planner != followed.planner:
            return PlanVerdict.OTHER_PLANNER
        if plan.sequence <= followed.sequence:
            return PlanVerdict.OLD_SEQUENCE
    if plan.base_sequence is not None and (plan.epoch, plan.base_sequence) != (
        followed.epoch,
        followed.sequence,
    ):
        return PlanVerdict.NO_BASE
    return None


def _check_content(
    plan: Plan, now: int, requested_at: int, shares: Mapping[str, ServerShare], ready: Collection[str]
) -> PlanVerdict:
    if not _is_within_bounds(plan, shares):
        return PlanVerdict.NONSENSE
    if not requested_at <= now < requested_at + plan.lease_us:
        return PlanVerdict.LAPSED
    if plan.data_age_us > DATA_AGE_US_MAX:
        return PlanVerdict.OLD_DATA
    usable = sum(1 for name, share in shares.items() if share.weight > 0.0 and name in ready)
    if usable < min(READY_SERVERS_MIN, len(ready)) or not usable:
        return PlanVerdict.TOO_FEW
    return PlanVerdict.ACCEPTED


def _is_within_bounds(plan: Plan, shares: Mapping[str, ServerShare]) -> bool:
    return (
        LEASE_US_MIN <= plan.lease_us <= LEASE_US_MAX
        and 0.0 <= plan.confidence_max <= 1.0
        and len(shares) <= SHARES_MAX
        and plan.data_age_us >= 0
        and plan.epoch >= 0
        and plan.sequence >= 0
        and all(share.is_valid() for share in shares.values())
    )
