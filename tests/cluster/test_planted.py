"""Faults planted in the detector, each found by the scenes and their judge; without it the same play is clean."""

from __future__ import annotations

import random
from typing import Any

import pytest

from testbed.cluster.invariants import Found
from testbed.cluster.scenarios import SCENES, Script, Step
from testbed.cluster.virtual_time import Played
from topazbank.cluster.failure_detector import Before, FailureDetector, Out
from topazbank.cluster.member import MemberRecord, MemberState
from topazbank.cluster.rules import Rules


class RefutationIgnored(FailureDetector):
    def _raise(self, now: int) -> None:
        pass


class TombstoneForgotten(FailureDetector):
    def _forget(self, now: int) -> None:
        for ident in list(self.table.gone):
            self._drop(now, ident, "at once")


class HalfOfTheTierIsEnough(FailureDetector):
    def base(self, now: int) -> int:
        return 0


class WaitsRunOnWhileCutOff(FailureDetector):
    def was_held(self, now: int) -> bool:
        return False


class NobodyElseIsAsked(FailureDetector):
    def _ask_others(self, now: int, probe: Any, number: int) -> None:
        probe.asked = True


class LeavesUntold(FailureDetector):
    def leave(self, now: int) -> list[Out]:
        self.left = True
        return []


class UpgradeIsANewLife(FailureDetector):
    def _follow(self, now: int, before: Before) -> None:
        super()._follow(now, before)
        self.life += 1


class FormerLifeIsHeard(FailureDetector):
    """Takes an older process's word for the member's own."""

    def _hear(self, now: int, message: Any, source: Any) -> None:
        known = self.table.records.get(message.sender)
        if known is not None and message.life < known.life:
            self.table.put(
                now, MemberRecord(message.sender, message.life, message.incarnation, MemberState.HERE, source)
            )
        super()._hear(now, message, source)


SLOW_NEWS = Script(
    [Step(0.0, "delay", value=15.0), Step(1.0, "kill", (2,)), Step(1.5, "delay")], 18.0, {2}, waits=6.0
)
STOPS_UNDER_LOSS = Script(
    [
        Step(0.0, "loss", value=0.4),
        *(Step(1.0 + 5.0 * turn, "stop", (2,), value=4.0) for turn in range(6)),
        Step(32.0, "loss"),
    ],
    32.0,
    {2},
    waits=8.0,
)
LATE_AFTER_RESTART = Script(
    [
        Step(0.0, "delay", value=2.0),
        *(Step(1.0 + turn, do, (2,)) for turn in range(4) for do in ("kill", "start")),
        Step(5.2, "delay"),
    ],
    5.3,
    {2},
    waits=2.5,
)


def _play(
    script: Script | str,
    make: type[FailureDetector] = FailureDetector,
    rules: Rules | None = None,
    seed: int = 1,
) -> tuple[Found, Played]:
    played = SCENES[script](6, random.Random(seed), 1.0) if isinstance(script, str) else script
    rig = Played(6, seed, rules, make)
    return rig.play(played), rig


PLANTED: dict[str, tuple[Script | str, type[FailureDetector], Rules | None]] = {
    "a refutation ignored": ("pauses", RefutationIgnored, None),
    "a tombstone forgotten too early": (SLOW_NEWS, TombstoneForgotten, None),
    "gone by the word of half": ("split", HalfOfTheTierIsEnough, None),
    "who was heard is not vouched for": ("one_hears_nobody", FailureDetector, Rules(vouching=False)),
    "waits that run on while cut off": ("split", WaitsRunOnWhileCutOff, None),
    "an own stall not noticed": (STOPS_UNDER_LOSS, FailureDetector, Rules(doubting=False)),
}


@pytest.mark.parametrize("fault", PLANTED)
def test_a_planted_fault_is_found(fault: str) -> None:
    script, make, rules = PLANTED[fault]
    clean = [_play(script, seed=seed)[0].faults for seed in range(4)]
    assert not any(clean), clean
    found = [_play(script, make, rules, seed)[0].faults for seed in range(4)]
    assert any(found), "nobody noticed"


def _older_words(make: type[FailureDetector], seed: int) -> int:
    """How often a member came to hold an older word than it had."""
    rig = Played(6, seed, None, make)
    for step in LATE_AFTER_RESTART.steps:
        rig.schedule(3.0 + step.at, lambda step=step: rig.do(step))  # type: ignore[misc]
    held: dict[tuple[int, int], MemberRecord] = {}
    found = 0
    while rig.now < 12.0:
        rig.run(rig.now + 0.02)
        for number, process in rig.lives.items():
            for ident, record in process.detector.table.records.items():
                before = held.get((number, ident))
                found += number != 2 and before is not None and before.newer_than(record)
                held[number, ident] = record
    return found


def test_the_word_of_a_former_life_is_found() -> None:
    assert not any(_older_words(FailureDetector, seed) for seed in range(3))
    assert any(_older_words(FormerLifeIsHeard, seed) for seed in range(3))


def test_helpers_that_are_never_asked_are_found() -> None:
    """Two that can't hear one another are no cause to doubt either."""
    assert _play("pair_both_ways")[0].suspected == 0
    assert _play("pair_both_ways", NobodyElseIsAsked)[0].suspected > 0


def test_a_leave_that_is_not_told_is_found() -> None:
    assert not [each for each in _play("leaves_and_joins")[1].noted if each.new in ("SUSPECTED", "GONE")]
    assert [each for each in _play("leaves_and_joins", LeavesUntold)[1].noted if each.new == "SUSPECTED"]


def test_an_upgrade_that_begins_a_life_is_found() -> None:
    clean, planted = _play("upgrades")[1], _play("upgrades", UpgradeIsANewLife)[1]
    assert not clean.noted
    assert planted.noted
