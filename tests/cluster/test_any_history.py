"""Any order, loss and repetition of messages, pauses, restarts and cuts: what holds of every history."""

from __future__ import annotations

import random

from hypothesis import settings as with_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from testbed.cluster.scenarios import Step
from testbed.cluster.virtual_time import VirtualCluster
from topazbank.cluster.failure_detector import ASKED_MOST, CHANGES_MOST, LATE_MOST, FailureDetector
from topazbank.cluster.member import MemberRecord, MemberState
from topazbank.cluster.settings import MEMBERS_MAX
from topazbank.cluster.view import Answer

MEMBERS = 4
members = st.integers(0, MEMBERS - 1)


class Histories(RuleBasedStateMachine):
    """A small tier in played time."""

    @initialize(seed=st.integers(0, 1 << 16))
    def begin(self, seed: int) -> None:
        self.rig = VirtualCluster(MEMBERS, seed)
        self.rig.run(1.0)
        self.own: dict[tuple[int, int], int] = {}  # the highest incarnation of each life, by member and life
        self.last: dict[tuple[int, int], MemberRecord] = {}  # what each detector held of each other
        self.seen_by: dict[int, FailureDetector] = {}

    @rule(span=st.floats(0.05, 3.0))
    def time_passes(self, span: float) -> None:
        self.rig.run(self.rig.now + span)

    @rule(who=members, span=st.floats(0.1, 8.0))
    def stopped(self, who: int, span: float) -> None:
        self.rig.do(Step(0.0, "stop", (who,), value=span))

    @rule(who=members)
    def killed(self, who: int) -> None:
        self.rig.kill(who)

    @rule(who=members)
    def started(self, who: int) -> None:
        if who not in self.rig.lives:
            self.rig.start(who)

    @rule(who=members)
    def upgraded(self, who: int) -> None:
        self.rig.do(Step(0.0, "upgrade", (who,)))

    @rule(who=members)
    def left(self, who: int) -> None:
        self.rig.do(Step(0.0, "leave", (who,)))

    @rule(a=members, b=members)
    def cut(self, a: int, b: int) -> None:
        self.rig.faults.cuts.add((a, b))

    @rule()
    def healed(self) -> None:
        self.rig.faults.cuts.clear()

    @rule(
        loss=st.sampled_from([0.0, 0.2, 0.5]),
        delay=st.sampled_from([0.0, 0.5, 2.0]),
        doubled=st.sampled_from([0.0, 0.3]),
    )
    def network(self, loss: float, delay: float, doubled: float) -> None:
        self.rig.faults.loss, self.rig.faults.delay_s, self.rig.faults.doubled = loss, delay, doubled

    @invariant()
    def own_incarnations_only_grow(self) -> None:
        if not hasattr(self, "rig"):
            return
        for number, process in self.rig.lives.items():
            key = number, process.detector.life
            assert process.detector.incarnation >= self.own.get(key, 0)
            self.own[key] = process.detector.incarnation

    @invariant()
    def words_on_a_member_only_get_newer_and_the_gone_need_a_newer_one(self) -> None:
        if not hasattr(self, "rig"):
            return
        for number, process in self.rig.lives.items():
            detector = process.detector
            if self.seen_by.get(number) is not detector:
                self.seen_by[number] = detector
                self.last = {key: each for key, each in self.last.items() if key[0] != number}
            for ident, record in detector.table.records.items():
                old = self.last.get((number, ident))
                if old is not None:
                    assert not old.newer_than(record)
                    if old.state in (MemberState.GONE, MemberState.LEFT) and record.counts:
                        assert (record.life, record.incarnation) > (old.life, old.incarnation)
                self.last[number, ident] = record

    @invariant()
    def tables_stay_within_their_bounds_and_the_digest_is_true(self) -> None:
        if not hasattr(self, "rig"):
            return
        for process in self.rig.lives.values():
            detector, table = process.detector, process.detector.table
            assert len(table.records) <= MEMBERS_MAX and len(detector.changes) <= CHANGES_MOST
            assert len(detector._late) <= LATE_MOST and len(detector._favours) <= ASKED_MOST
            assert set(detector.suspicions) == {
                i for i, r in table.records.items() if r.state is MemberState.SUSPECTED
            }
            assert table.counted == sum(each.counts for each in table.records.values())
            for kept in (detector._words, detector._counts, detector._returns, detector._vouched):
                assert set(kept) <= set(table.records)

    @invariant()
    def who_is_cut_off_calls_nobody_gone_but_who_left(self) -> None:
        if not hasattr(self, "rig"):
            return
        for process in self.rig.lives.values():
            process.view.look(self.rig.us())
            if process.view.cut_off:
                for ident, record in process.detector.table.records.items():
                    if process.view.of(self.rig.us(), ident) is Answer.NOT_HERE:
                        assert record.state is MemberState.LEFT

    def teardown(self) -> None:
        """Once faults end, all views become equal, and true."""
        if not hasattr(self, "rig"):
            return
        rig = self.rig
        rig.faults.cuts.clear()
        rig.faults.loss = rig.faults.delay_s = rig.faults.doubled = 0.0
        for number in range(MEMBERS):
            if number not in rig.lives:
                rig.start(number)
        rig.run(max([rig.now, *(each.stopped_until for each in rig.lives.values())]) + 12.0)
        rig.look()
        truth = {number: each.detector.life for number, each in rig.lives.items()}
        for look in rig.looks[-MEMBERS:]:
            assert dict(look.here) == truth, (look.by, look.here, truth)


TestHistories = Histories.TestCase
TestHistories.settings = with_settings(
    max_examples=40, stateful_step_count=20, deadline=None, derandomize=True
)


def test_a_tier_of_thousands_of_strangers_stays_bounded() -> None:
    """Somebody with the key tells of members without end."""
    rig = VirtualCluster(2, 1)
    rig.run(1.0)
    table, chance = rig.lives[0].detector.table, random.Random(1)
    for _ in range(MEMBERS_MAX + 500):
        table.put(rig.us(), MemberRecord(chance.getrandbits(48), 1, 0, MemberState.HERE, ("127.0.0.1", 9)))
    assert len(table.records) <= MEMBERS_MAX
