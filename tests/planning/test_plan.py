"""Following plans: any order of any plans, and what one may never do."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from helpers import START, settings
from hypothesis import given
from hypothesis import strategies as st

from topazbank import Balancer
from topazbank.balancing.actions import SendAttempt
from topazbank.balancing.events import (
    EndpointsUpdated,
    RequestArrived,
    ServerDescription,
    ServerState,
    UpdateKind,
)
from topazbank.planning.follower import CONFIDENCE_RISE_US, PlanFollower
from topazbank.planning.plan import DATA_AGE_US_MAX, US_PER_S, Plan, PlanVerdict, ServerShare

NODES = [f"n-{number}" for number in range(6)]
SHARES = {name: ServerShare(1.0) for name in NODES}
PLAN = Plan("f", "life", 3, "p", 10, 2 * US_PER_S, 0, SHARES)


def follower(*plans: Plan, at: int = START) -> PlanFollower:
    made = PlanFollower("f", "life")
    for plan in plans:
        assert made.offer(at, at, plan, NODES) is PlanVerdict.ACCEPTED
    return made


def test_trust_rises_and_fades_by_degrees_and_ends_with_the_lease() -> None:
    one = follower(PLAN)
    assert one.confidence(START) == 0.0
    assert one.confidence(START + CONFIDENCE_RISE_US // 4) == pytest.approx(0.25)
    assert (
        one.offer(
            START + CONFIDENCE_RISE_US // 2,
            START + CONFIDENCE_RISE_US // 2,
            replace(PLAN, sequence=11),
            NODES,
        )
        is PlanVerdict.ACCEPTED
    )
    at = START + CONFIDENCE_RISE_US // 2
    assert one.confidence(at) == pytest.approx(0.5)  # no step where one plan takes another's place
    assert one.confidence(at + US_PER_S) == pytest.approx(1.0)
    assert one.confidence(at + US_PER_S + US_PER_S // 2) == pytest.approx(
        0.5
    )  # unrenewed, over the lease's second half
    assert one.confidence(at + 2 * US_PER_S) == 0.0 and not one.sample(
        at + 2 * US_PER_S, random.Random(1).random
    )
    assert one.confidence(at - US_PER_S) == 0.0  # a clock that went back


def test_the_part_that_draws_from_the_plan_is_its_trust() -> None:
    one, chance = follower(PLAN), random.Random(1).random
    drawn = [bool(one.sample(START + CONFIDENCE_RISE_US // 2, chance)) for _ in range(2000)]
    assert 0.45 < sum(drawn) / len(drawn) < 0.55
    less = follower(replace(PLAN, confidence_max=0.2))
    assert less.confidence(START + US_PER_S) == pytest.approx(0.2)


@pytest.mark.parametrize(
    ("changes", "verdict"),
    [
        ({"incarnation": "earlier"}, PlanVerdict.OTHER),
        ({"forwarder": "g"}, PlanVerdict.OTHER),
        ({"epoch": 2, "sequence": 99}, PlanVerdict.OLD_EPOCH),  # the larger sequence and the older epoch
        ({"planner": "q", "sequence": 99}, PlanVerdict.OTHER_PLANNER),
        ({"sequence": 10}, PlanVerdict.OLD_SEQUENCE),  # twice
        ({"sequence": 9}, PlanVerdict.OLD_SEQUENCE),  # out of order
        ({"sequence": 12, "base_sequence": 9}, PlanVerdict.NO_BASE),
        ({"sequence": 12, "base_sequence": 10, "shares": dict.fromkeys(NODES)}, PlanVerdict.TOO_FEW),
        ({"sequence": 11, "data_age_us": DATA_AGE_US_MAX + 1}, PlanVerdict.OLD_DATA),
        ({"sequence": 11, "shares": {}}, PlanVerdict.TOO_FEW),
        ({"sequence": 11, "shares": {f"gone-{n}": ServerShare(1.0) for n in range(9)}}, PlanVerdict.TOO_FEW),
        ({"sequence": 11, "shares": {"n-0": ServerShare(1.0)}}, PlanVerdict.TOO_FEW),
        ({"sequence": 11, "shares": {**SHARES, "n-0": ServerShare(float("nan"))}}, PlanVerdict.NONSENSE),
        ({"sequence": 11, "shares": {**SHARES, "n-0": ServerShare(-1.0)}}, PlanVerdict.NONSENSE),
        (
            {"sequence": 11, "shares": {**SHARES, "n-0": ServerShare(1.0, slow_start_ratio=2.0)}},
            PlanVerdict.NONSENSE,
        ),
        ({"sequence": 11, "lease_us": 10**12}, PlanVerdict.NONSENSE),
        ({"sequence": 11, "confidence_max": 1.5}, PlanVerdict.NONSENSE),
    ],
)
def test_a_plan_that_may_not_be_followed_is_named_and_changes_nothing(
    changes: dict[str, object], verdict: PlanVerdict
) -> None:
    one = follower(PLAN)
    before = dict(one.shares())
    later = START + US_PER_S // 10
    assert one.offer(later, later, replace(PLAN, **changes), NODES) is verdict  # type: ignore[arg-type]
    following = one.status(later)
    assert (following.epoch, following.sequence, one.shares()) == (3, 10, before)
    assert following.rejected == {verdict.name: 1} and following.last_verdict == verdict.value


def test_a_plan_that_comes_after_its_lease_is_not_followed_and_one_that_comes_late_is_as_old_as_its_asking() -> (
    None
):
    one = PlanFollower("f", "life")
    assert one.offer(START + 2 * US_PER_S, START, PLAN, NODES) is PlanVerdict.LAPSED
    assert one.offer(START + US_PER_S, START, PLAN, NODES) is PlanVerdict.ACCEPTED
    assert one.confidence(START + 2 * US_PER_S - 1) < 1e-3


def test_a_newer_epoch_deposes_also_where_its_plan_can_t_be_followed() -> None:
    one = follower(PLAN)
    at = START + US_PER_S // 2
    assert one.offer(at, at, replace(PLAN, epoch=4, planner="q", shares={}), NODES) is PlanVerdict.TOO_FEW
    assert one.offer(at, at, replace(PLAN, sequence=11), NODES) is PlanVerdict.OLD_EPOCH
    assert one.confidence(at + US_PER_S) == 0.0  # and the former plan ends soon


def test_changes_add_to_the_plan_they_are_based_on() -> None:
    one = follower(PLAN)
    change = replace(
        PLAN,
        sequence=11,
        base_sequence=10,
        shares={"n-0": None, "n-1": ServerShare(5.0, in_flight_limit=1.0)},
    )
    assert one.offer(START + 1, START, change, NODES) is PlanVerdict.ACCEPTED
    assert "n-0" not in one.shares() and one.capacity("n-1") == 1.0 and one.capacity("n-0") == float("inf")


def test_no_node_draws_more_than_a_part_however_wrong_the_odds_are() -> None:
    one = follower(replace(PLAN, shares={**SHARES, "n-3": ServerShare(1e6, relative_wait=0.0)}))
    chance = random.Random(1).random
    first = [one.sample(START + US_PER_S, chance) for _ in range(3000)]
    drawn = [name for names in first for name in names[:1]]
    assert drawn.count("n-3") < 0.75 * len(drawn)  # of one draw it would be 1.0


def test_a_node_that_the_own_list_lost_is_not_drawn() -> None:
    one, chance = follower(PLAN), random.Random(1).random
    one.update_ready_servers(NODES[1:])
    assert all("n-0" not in one.sample(START + US_PER_S, chance) for _ in range(500))


@given(
    st.lists(
        st.tuples(
            st.integers(0, 4),  # epoch
            st.sampled_from("pq"),
            st.integers(0, 6),  # sequence
            st.one_of(st.none(), st.integers(0, 6)),  # base
            st.integers(US_PER_S // 5, 3 * US_PER_S),  # lease
            st.integers(0, 4 * US_PER_S),  # asked so long before it came
            st.integers(0, US_PER_S),  # time that passes first
            st.sampled_from(["life", "life", "life", "earlier"]),
            st.lists(st.sampled_from([*NODES, "gone"]), max_size=8, unique=True),
        ),
        max_size=25,
    ),
    st.integers(0, 2**32),
)
def test_any_order_of_any_plans(history: list[tuple[object, ...]], seed: int) -> None:
    """The epoch never goes back, nor the sequence in it; no lapsed plan is followed; only listed nodes are sent to."""
    one, now = PlanFollower("f", "life"), START
    balancer = Balancer(settings(), seed, one)
    listed = [ServerDescription(name, "east") for name in NODES]
    listed[0] = replace(listed[0], state=ServerState.DRAINING)
    balancer.handle(now, EndpointsUpdated(UpdateKind.SNAPSHOT, listed, 1))
    ready = NODES[1:]
    highest = followed = (-1, -1)
    until = 0
    for number, (epoch, planner, sequence, base, lease, before, passes, life, names) in enumerate(history):
        now += passes  # type: ignore[operator]
        shares = {name: ServerShare(1.0) for name in names}  # type: ignore[attr-defined]
        plan = Plan("f", life, epoch, planner, sequence, lease, 0, shares, base)  # type: ignore[arg-type]
        asked_at = now - before  # type: ignore[operator]
        verdict = one.offer(now, asked_at, plan, ready)
        seen = one.status(now)
        assert seen.epoch >= highest[0]
        highest = (seen.epoch, seen.sequence)
        if verdict is PlanVerdict.ACCEPTED:
            assert life == "life" and now < asked_at + lease  # type: ignore[operator]
            assert (epoch, sequence) > followed
            followed, until = (epoch, sequence), asked_at + lease  # type: ignore[assignment,operator]
        if now >= until:
            assert one.confidence(now) == 0.0 and not one.sample(now, random.Random(seed).random)
        actions = balancer.handle(now, RequestArrived(number, "look", None, None, US_PER_S, None, False))
        assert all(each.server in ready for each in actions if isinstance(each, SendAttempt))
