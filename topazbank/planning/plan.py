"""A routing plan for one forwarder, and the rules by which a forwarder accepts one; no I/O, times in microseconds.

Whoever sent a plan, the forwarder that receives it checks that

- it is for this forwarder's current incarnation;
- its epoch (a fencing token) and its sequence are newer than those followed;
- its lease, counted from when the forwarder asked for it, is not over;
- it is made of recent summaries, and names enough servers that are ready by the forwarder's own endpoint list;
- its figures are within bounds.

A plan only distributes requests and lowers the forwarder's own limits.  It says nothing of retries, deadlines,
rejections or drains.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import NamedTuple

US_PER_S = 1_000_000
LEASE_US_MIN = US_PER_S // 5  # a shorter one would end before the next plan comes
LEASE_US_MAX = 10 * US_PER_S  # a longer one would outlive its planner for long
DATA_AGE_US_MAX = 5 * US_PER_S  # of the newest summary that the plan is made of
SHARES_MAX = 256  # servers in a plan
READY_SERVERS_MIN = 3  # of the plan's: fewer would take all that this forwarder sends
WEIGHT_MAX = 1e6


@unique
class PlanVerdict(Enum):
    """What became of a plan that was offered.  Names and texts are shown by the status page and don't change."""

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
    """What a plan says of one server."""

    weight: float  # of being sampled, relative to the plan's other servers; 0 or more
    relative_wait: float = 0.0  # how long a request would take there, relative to the other servers
    in_flight_limit: float = float(
        "inf"
    )  # one more request may be sent while fewer of the forwarder's own are there
    slow_start_ratio: float = 1.0  # part of the forwarder's own slow-start limit that it may use

    def is_valid(self) -> bool:
        """Whether all figures are within bounds; NaN is within none."""
        return (
            0.0 <= self.weight <= WEIGHT_MAX
            and 0.0 <= self.relative_wait <= WEIGHT_MAX
            and self.in_flight_limit >= 0.0
            and 0.0 <= self.slow_start_ratio <= 1.0
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """A planner's plan; with a `base_sequence` it holds the changes to the plan of that sequence."""

    forwarder: str
    incarnation: str  # of the forwarder's process
    epoch: int  # of the planner's leadership: a fencing token
    planner: str
    sequence: int  # grows within an epoch
    lease_us: int
    data_age_us: int  # of the newest summary that it is made of
    shares: Mapping[str, ServerShare | None] = field(
        default_factory=dict
    )  # None: the server is no longer in it
    base_sequence: int | None = None
    confidence_max: float = 1.0  # of the requests that follow it, 0 to 1


class FollowedPosition(NamedTuple):
    """The newest epoch that a forwarder has seen, and the plan that it follows in it."""

    epoch: int
    planner: str
    sequence: int


class PlanCheck(NamedTuple):
    """The verdict on a plan, and its shares with all changes applied; they count only if it is accepted."""

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
    """Check a plan for this forwarder; `ready`: the servers that are ready by its own endpoint list."""
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
    """Whether the plan is newer than the one followed, and applies to it; None: it is."""
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
