"""The soak in its short form, and what its judge has to see."""

from __future__ import annotations

import asyncio

import pytest

from testbed.backend import Run
from testbed.cluster.scenarios import PAUSE_BORNE_S
from testbed.fleet.invariants import AttemptArrival
from testbed.soak.__main__ import run_soak
from testbed.soak.faults import FAULTS, REGISTRY_FAULTS, draw_schedule
from testbed.soak.harness import attempts_after_client_left, duplicate_effects
from testbed.soak.misbehaving_clients import (
    EVENT_LOOP_SLACK_S,
    SEND_AFTER_LEAVE_MAX_S,
    AbandonedRequest,
    MisbehavingClients,
)

CI_SEEDS = (3, 4, 7)  # odd ones without membership, as one of 200 sidecars


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_a_few_processes_keep_the_rules_under_faults_that_overlap(seed: int) -> None:
    judged = asyncio.run(run_soak(sidecars=8, seed=seed, seconds=20.0, rate=60.0))
    assert not judged.broken, judged.broken[:5]
    assert judged.verdicts.calls > 500 and judged.unruly.total() > 50
    assert judged.lasting > 20  # calls of clients that go on up to the kill


@pytest.mark.parametrize("seed", range(20))
def test_a_seed_draws_the_same_faults_and_spares_the_steady_half(seed: int) -> None:
    soak = draw_schedule(24, seed, 30.0)
    assert soak.steps == draw_schedule(24, seed, 30.0).steps
    assert len(soak.steady(24)) == 12 and len(soak.steps) > 10
    for step in soak.steps:
        if step.do in ("kill", "leave", "start", "old_dies", "new_dies", "new_hangs"):
            assert set(step.who) <= soak.victims
        elif step.do == "stop" and not set(step.who) <= soak.victims:
            assert step.value < 0.15 < PAUSE_BORNE_S
        elif step.do == "restart":
            assert not set(step.who) & soak.victims


def test_every_fault_is_drawn_by_some_seed() -> None:
    drawn = {step.do for seed in range(40) for step in draw_schedule(24, seed, 30.0).steps}
    wanted = {
        "kill",
        "leave",
        "start",
        "stop",
        "old_dies",
        "new_dies",
        "new_hangs",
        "upgrade",
        "cut",
        "heal",
        "loss",
    }
    wanted |= {"tcp_hold", "tcp_cut", "tcp_heal", "drain", "undrain", "node_hang", "node_die", "node_fail"}
    wanted |= {"reload", "restart", "crowd", "registry_well", *REGISTRY_FAULTS}
    assert drawn == wanted | {"node_slow", "node_well", "node_reset"} and len(FAULTS) == 21


def test_the_judge_sees_what_is_sent_for_who_has_left_and_what_ran_twice() -> None:
    unruly = MisbehavingClients(1)
    unruly.left.append(AbandonedRequest("u-1", 10.0))
    unruly.kinds.update({"u-1": "lodge", "u-2": "check"})
    borne = 10.0 + SEND_AFTER_LEAVE_MAX_S + EVENT_LOOP_SLACK_S
    assert not attempts_after_client_left(
        unruly, [AttemptArrival(borne, "n-0", "u-1"), AttemptArrival(99.0, "n-0", "u-2")]
    )
    assert len(attempts_after_client_left(unruly, [AttemptArrival(borne + 0.01, "n-0", "u-1")])) == 1
    twice = [Run("n-0", each, kind, None, 1.0) for each, kind in (("u-1", "lodge"), ("u-2", "check"))] * 2
    assert duplicate_effects(unruly, [], twice) == ["ran twice: u-1"]
    assert len(duplicate_effects(unruly, [AttemptArrival(1.0, "n-0", "u-2")] * 4, [])) == 1
