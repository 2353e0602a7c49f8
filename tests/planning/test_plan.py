"""PlanFollower: verdicts, confidence and sampling, and invariants for plans in any order."""

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

SERVERS = [f"n-{number}" for number in range(6)]
SHARES = {name: ServerShare(1.0) for name in SERVERS}
PLAN = Plan("f", "life", 3, "p", 10, 2 * US_PER_S, 0, SHARES)


def following(*plans: Plan, at: int = START) -> PlanFollower:
    follower = PlanFollower("f", "life")
    for plan in plans:
        assert follower.offer(at, at, plan, SERVERS) is PlanVerdict.ACCEPTED
    return follower


def test_confidence_rises_and_falls_gradually_and_ends_with_the_lease() -> None:
    follower = following(PLAN)
    assert follower.confidence(START) == 0.0
    assert follower.confidence(START + CONFIDENCE_RISE_US // 4) == pytest.approx(0.25)
    assert (
        follower.offer(
            START + CONFIDENCE_RISE_US // 2,
            START + CONFIDENCE_RISE_US // 2,
            replace(PLAN, sequence=11),
            SERVERS,
        )
        is PlanVerdict.ACCEPTED
    )
    at = START + CONFIDENCE_RISE_US // 2
    assert follower.confidence(at) == pytest.approx(0.5)  # no jump from one plan to the next
    assert follower.confidence(at + US_PER_S) == pytest.approx(1.0)
    # Without renewal, confidence falls over the second half of the lease.
    assert follower.confidence(at + US_PER_S + US_PER_S // 2) == pytest.approx(0.5)
    assert follower.confidence(at + 2 * US_PER_S) == 0.0 and not follower.sample(
        at + 2 * US_PER_S, random.Random(1).random
    )
    assert follower.confidence(at - US_PER_S) == 0.0  # the clock moved backwards


def test_the_ratio_of_requests_that_follow_the_plan_is_its_confidence() -> None:
    follower, chance = following(PLAN), random.Random(1).random
    sampled = [bool(follower.sample(START + CONFIDENCE_RISE_US // 2, chance)) for _ in range(2000)]
    assert 0.45 < sum(sampled) / len(sampled) < 0.55
    limited = following(replace(PLAN, confidence_max=0.2))
    assert limited.confidence(START + US_PER_S) == pytest.approx(0.2)


@pytest.mark.parametrize(
    ("changes", "verdict"),
    [
        ({"incarnation": "earlier"}, PlanVerdict.OTHER),
        ({"forwarder": "g"}, PlanVerdict.OTHER),
        ({"epoch": 2, "sequence": 99}, PlanVerdict.OLD_EPOCH),  # a larger sequence in an older epoch
        ({"planner": "q", "sequence": 99}, PlanVerdict.OTHER_PLANNER),
        ({"sequence": 10}, PlanVerdict.OLD_SEQUENCE),  # a duplicate
        ({"sequence": 9}, PlanVerdict.OLD_SEQUENCE),  # out of order
        ({"sequence": 12, "base_sequence": 9}, PlanVerdict.NO_BASE),
        ({"sequence": 12, "base_sequence": 10, "shares": dict.fromkeys(SERVERS)}, PlanVerdict.TOO_FEW),
        ({"sequence": 11, "data_age_us": DATA_AGE_US_MAX + 1}, PlanVerdict.OLD_DATA),
        ({"sequence": 11, "shares": {}}, PlanVerdict.TOO_FEW),
        (
            {"sequence": 11, "shares": {f"removed-{n}": ServerShare(1.0) for n in range(9)}},
            PlanVerdict.TOO_FEW,
        ),
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
def test_a_rejected_plan_changes_nothing_and_the_status_shows_its_verdict(
    changes: dict[str, object], verdict: PlanVerdict
) -> None:
    follower = following(PLAN)
    before = dict(follower.shares())
    later = START + US_PER_S // 10
    assert follower.offer(later, later, replace(PLAN, **changes), SERVERS) is verdict  # type: ignore[arg-type]
    status = follower.status(later)
    assert (status.epoch, status.sequence, follower.shares()) == (3, 10, before)
    assert status.rejected == {verdict.name: 1} and status.last_verdict == verdict.value


def test_the_lease_counts_from_the_time_of_the_request() -> None:
    follower = PlanFollower("f", "life")
    assert follower.offer(START + 2 * US_PER_S, START, PLAN, SERVERS) is PlanVerdict.LAPSED
    assert follower.offer(START + US_PER_S, START, PLAN, SERVERS) is PlanVerdict.ACCEPTED
    assert follower.confidence(START + 2 * US_PER_S - 1) < 1e-3


def test_a_higher_epoch_deposes_the_former_planner_even_if_its_plan_is_rejected() -> None:
    follower = following(PLAN)
    at = START + US_PER_S // 2
    assert (
        follower.offer(at, at, replace(PLAN, epoch=4, planner="q", shares={}), SERVERS) is PlanVerdict.TOO_FEW
    )
    assert follower.offer(at, at, replace(PLAN, sequence=11), SERVERS) is PlanVerdict.OLD_EPOCH
    assert follower.confidence(at + US_PER_S) == 0.0  # the former plan expires without renewal


def test_changes_are_applied_to_the_plan_they_are_based_on() -> None:
    follower = following(PLAN)
    change = replace(
        PLAN,
        sequence=11,
        base_sequence=10,
        shares={"n-0": None, "n-1": ServerShare(5.0, in_flight_limit=1.0)},
    )
    assert follower.offer(START + 1, START, change, SERVERS) is PlanVerdict.ACCEPTED
    assert (
        "n-0" not in follower.shares()
        and follower.capacity("n-1") == 1.0
        and follower.capacity("n-0") == float("inf")
    )


def test_sampling_of_a_server_is_bounded_whatever_its_weight() -> None:
    follower = following(replace(PLAN, shares={**SHARES, "n-3": ServerShare(1e6, relative_wait=0.0)}))
    chance = random.Random(1).random
    samples = [follower.sample(START + US_PER_S, chance) for _ in range(3000)]
    first_names = [name for names in samples for name in names[:1]]
    assert first_names.count("n-3") < 0.75 * len(first_names)  # without the limit it would be all


def test_a_server_removed_from_the_endpoint_list_is_not_sampled() -> None:
    follower, chance = following(PLAN), random.Random(1).random
    follower.update_ready_servers(SERVERS[1:])
    assert all("n-0" not in follower.sample(START + US_PER_S, chance) for _ in range(500))


@given(
    st.lists(
        st.tuples(
            st.integers(0, 4),  # epoch
            st.sampled_from("pq"),
            st.integers(0, 6),  # sequence
            st.one_of(st.none(), st.integers(0, 6)),  # base
            st.integers(US_PER_S // 5, 3 * US_PER_S),  # lease
            st.integers(0, 4 * US_PER_S),  # delay from the request to the arrival
            st.integers(0, US_PER_S),  # time since the previous plan
            st.sampled_from(["life", "life", "life", "earlier"]),
            st.lists(st.sampled_from([*SERVERS, "removed"]), max_size=8, unique=True),
        ),
        max_size=25,
    ),
    st.integers(0, 2**32),
)
def test_plans_in_any_order_keep_the_invariants(history: list[tuple[object, ...]], seed: int) -> None:
    """Epoch and sequence never decrease; no plan is followed after its lease; attempts go to ready servers only."""
    follower, now = PlanFollower("f", "life"), START
    balancer = Balancer(settings(), seed, follower)
    listed = [ServerDescription(name, "east") for name in SERVERS]
    listed[0] = replace(listed[0], state=ServerState.DRAINING)
    balancer.handle(now, EndpointsUpdated(UpdateKind.SNAPSHOT, listed, 1))
    ready = SERVERS[1:]
    highest = followed = (-1, -1)
    lease_ends_at = 0
    for number, (epoch, planner, sequence, base, lease, delay, elapsed, incarnation, names) in enumerate(
        history
    ):
        now += elapsed  # type: ignore[operator]
        shares = {name: ServerShare(1.0) for name in names}  # type: ignore[attr-defined]
        plan = Plan("f", incarnation, epoch, planner, sequence, lease, 0, shares, base)  # type: ignore[arg-type]
        requested_at = now - delay  # type: ignore[operator]
        verdict = follower.offer(now, requested_at, plan, ready)
        status = follower.status(now)
        assert status.epoch >= highest[0]
        highest = (status.epoch, status.sequence)
        if verdict is PlanVerdict.ACCEPTED:
            assert incarnation == "life" and now < requested_at + lease  # type: ignore[operator]
            assert (epoch, sequence) > followed
            followed, lease_ends_at = (epoch, sequence), requested_at + lease  # type: ignore[assignment,operator]
        if now >= lease_ends_at:
            assert follower.confidence(now) == 0.0 and not follower.sample(now, random.Random(seed).random)
        actions = balancer.handle(now, RequestArrived(number, "look", None, None, US_PER_S, None, False))
        assert all(action.server in ready for action in actions if isinstance(action, SendAttempt))
