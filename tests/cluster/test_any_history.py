"""Invariants that hold for any sequence of message loss, reordering, duplication, pauses, restarts and cuts."""

from __future__ import annotations

import functools
import operator
import random

from hypothesis import settings as with_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from testbed.cluster.scenarios import Step
from testbed.cluster.virtual_time import VirtualCluster
from topazbank.cluster.changes import CHANGES_MAX
from topazbank.cluster.failure_detector import FailureDetector
from topazbank.cluster.member import MemberRecord, MemberState, digest_of
from topazbank.cluster.member_table import MEMBERS_MAX
from topazbank.cluster.probing import FAILED_PROBES_MAX, RELAYED_PROBES_MAX
from topazbank.cluster.view import Presence

MEMBERS = 4
members = st.integers(0, MEMBERS - 1)


class Histories(RuleBasedStateMachine):
    """A small cluster in virtual time."""

    @initialize(seed=st.integers(0, 1 << 16))
    def begin(self, seed: int) -> None:
        self.cluster = VirtualCluster(MEMBERS, seed)
        self.cluster.run(1.0)
        self.incarnations: dict[tuple[int, int], int] = {}  # highest incarnation, by member and generation
        self.records: dict[tuple[int, int], MemberRecord] = {}  # latest records, by observer and ident
        self.detectors: dict[int, FailureDetector] = {}  # the detectors that hold `records`, by observer

    @rule(span=st.floats(0.05, 3.0))
    def time_passes(self, span: float) -> None:
        self.cluster.run(self.cluster.now + span)

    @rule(member=members, span=st.floats(0.1, 8.0))
    def stopped(self, member: int, span: float) -> None:
        self.cluster.apply(Step(0.0, "stop", (member,), value=span))

    @rule(member=members)
    def killed(self, member: int) -> None:
        self.cluster.kill(member)

    @rule(member=members)
    def started(self, member: int) -> None:
        if member not in self.cluster.processes:
            self.cluster.start(member)

    @rule(member=members)
    def upgraded(self, member: int) -> None:
        self.cluster.apply(Step(0.0, "upgrade", (member,)))

    @rule(member=members)
    def left(self, member: int) -> None:
        self.cluster.apply(Step(0.0, "leave", (member,)))

    @rule(sender=members, receiver=members)
    def cut(self, sender: int, receiver: int) -> None:
        self.cluster.faults.cuts.add((sender, receiver))

    @rule()
    def healed(self) -> None:
        self.cluster.faults.cuts.clear()

    @rule(
        loss=st.sampled_from([0.0, 0.2, 0.5]),
        delay=st.sampled_from([0.0, 0.5, 2.0]),
        doubled=st.sampled_from([0.0, 0.3]),
    )
    def network(self, loss: float, delay: float, doubled: float) -> None:
        faults = self.cluster.faults
        faults.loss, faults.delay_s, faults.doubled = loss, delay, doubled

    @invariant()
    def own_incarnations_only_grow(self) -> None:
        if not hasattr(self, "cluster"):
            return
        for number, process in self.cluster.processes.items():
            local = process.detector.local
            key = number, local.generation
            assert local.incarnation >= self.incarnations.get(key, 0)
            self.incarnations[key] = local.incarnation

    @invariant()
    def records_are_superseded_only_by_newer_and_dead_members_return_with_a_newer_incarnation(self) -> None:
        if not hasattr(self, "cluster"):
            return
        for number, process in self.cluster.processes.items():
            detector = process.detector
            if self.detectors.get(number) is not detector:
                self.detectors[number] = detector
                self.records = {key: known for key, known in self.records.items() if key[0] != number}
            for ident, record in detector.table.records.items():
                old = self.records.get((number, ident))
                if old is not None:
                    assert not old.supersedes(record)
                    if old.state in (MemberState.DEAD, MemberState.LEFT) and record.is_live:
                        newer = record.generation, record.incarnation
                        assert newer > (old.generation, old.incarnation)
                self.records[number, ident] = record

    @invariant()
    def tables_stay_within_bounds_and_match_digests_and_suspicions(self) -> None:
        if not hasattr(self, "cluster"):
            return
        for process in self.cluster.processes.values():
            detector, table = process.detector, process.detector.table
            assert len(table.records) <= MEMBERS_MAX and len(detector.changes._changes) <= CHANGES_MAX
            assert len(detector.prober._failed) <= FAILED_PROBES_MAX
            assert len(detector.prober._relayed) <= RELAYED_PROBES_MAX
            assert set(detector.suspicions) == {
                ident for ident, record in table.records.items() if record.state is MemberState.SUSPECT
            }
            live = [record for record in table.records.values() if record.is_live]
            assert table.live_count == len(live)
            assert table.digest == functools.reduce(operator.xor, map(digest_of, live), 0)
            last_heard, membership = detector.last_heard, detector.membership
            assert set(last_heard._heard_at) | set(last_heard._gossiped_at) <= set(table.records)
            assert set(membership._replays._latest) | set(membership.flaps._returns) <= set(table.records)

    @invariant()
    def an_isolated_member_reports_only_departed_members_as_absent(self) -> None:
        if not hasattr(self, "cluster"):
            return
        now = self.cluster.now_us()
        for process in self.cluster.processes.values():
            process.view.refresh(now)
            if process.view.is_isolated:
                for ident, record in process.detector.table.records.items():
                    if process.view.presence(now, ident) is Presence.ABSENT:
                        assert record.state is MemberState.LEFT

    def teardown(self) -> None:
        """After all faults end, every view converges to the actual state."""
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.faults.cuts.clear()
        cluster.faults.loss = cluster.faults.delay_s = cluster.faults.doubled = 0.0
        for number in range(MEMBERS):
            if number not in cluster.processes:
                cluster.start(number)
        resumed = [process.suspended_until for process in cluster.processes.values()]
        cluster.run(max([cluster.now, *resumed]) + 12.0)
        cluster.sample()
        actual = {number: process.detector.local.generation for number, process in cluster.processes.items()}
        for sample in cluster.samples[-MEMBERS:]:
            assert dict(sample.live) == actual, (sample.observer, sample.live, actual)


TestHistories = Histories.TestCase
TestHistories.settings = with_settings(
    max_examples=40, stateful_step_count=20, deadline=None, derandomize=True
)


def test_records_of_thousands_of_fictitious_members_do_not_exceed_the_table_limit() -> None:
    """Guards against a sender with the key that reports an unlimited number of members."""
    cluster = VirtualCluster(2, 1)
    cluster.run(1.0)
    table, rng = cluster.processes[0].detector.table, random.Random(1)
    for _ in range(MEMBERS_MAX + 500):
        record = MemberRecord(rng.getrandbits(48), 1, 0, MemberState.ALIVE, ("127.0.0.1", 9))
        table.put(cluster.now_us(), record)
    assert len(table.records) <= MEMBERS_MAX
