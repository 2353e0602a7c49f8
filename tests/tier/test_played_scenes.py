"""Each failure scene in played time, by several seeds: the promise of `tier.detector`, judged from outside."""

from __future__ import annotations

import random

import pytest

from standins.tier.played import Played
from standins.tier.scenes import SCENES
from topazbank.tier.rules import Rules


@pytest.mark.parametrize("members", [5, 12])
@pytest.mark.parametrize("name", SCENES)
def test_no_false_gone_and_equal_views_in_each_scene(name: str, members: int) -> None:
    for seed in range(3):
        script = SCENES[name](members, random.Random(seed), 1.0)
        found = Played(members, seed).play(script)
        assert not found.faults, f"seed {seed}: {found.faults[:3]}"


@pytest.mark.parametrize("members", [3, 8, 24])
def test_a_death_is_known_to_all_by_the_time_that_the_rules_state(members: int) -> None:
    known: list[float] = []
    for seed in range(10):
        found = Played(members, seed).play(SCENES["killed"](members, random.Random(seed), 1.0))
        assert len(found.known_s) == members - 1, f"seed {seed}: not all knew"
        known += found.known_s
    aim = Rules().known_within_us(members) / 1e6
    if members > 3:  # of three, one suspect is a third of the tier, and is waited for twice as long
        assert sorted(known)[int(0.99 * len(known)) - 1] <= aim
    assert aim <= 4.0 and max(known) <= 4.0


def test_one_seed_replays_all() -> None:
    script = SCENES["very_lossy"](6, random.Random(4), 0.5)
    one, other = Played(6, 4), Played(6, 4)
    assert one.play(script).suspected == other.play(script).suspected
    assert one.noted == other.noted and one.sent == other.sent
