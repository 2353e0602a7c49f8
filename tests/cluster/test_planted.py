"""Faults planted in the failure detector: the scenarios and their judge find each, and find nothing without it."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from testbed.cluster.invariants import Outcome
from testbed.cluster.scenarios import SCENARIOS, Scenario, Step
from testbed.cluster.virtual_time import VirtualCluster
from topazbank.cluster.failure_detector import FailureDetector
from topazbank.cluster.local_member import LocalMember
from topazbank.cluster.member import MemberRecord, MemberState
from topazbank.cluster.membership import Membership
from topazbank.cluster.probing import Prober
from topazbank.cluster.quorum import Quorum
from topazbank.cluster.refutation import Refutation
from topazbank.cluster.settings import ProtocolSettings

Plant = Callable[[pytest.MonkeyPatch], None]


def ignore_refutations(monkeypatch: pytest.MonkeyPatch) -> None:
    """A member that is suspect or dead to others never takes that back."""
    monkeypatch.setattr(Refutation, "refute", lambda self, now: None)


def forget_tombstones_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A member forgets the dead in its next period."""

    def expire_tombstones(self: Membership, now: int) -> None:
        for ident in list(self._table.tombstones):
            self._forget(now, ident)

    monkeypatch.setattr(Membership, "expire_tombstones", expire_tombstones)


def need_no_majority(monkeypatch: pytest.MonkeyPatch) -> None:
    """Suspicions expire whatever part of the cluster is heard."""
    monkeypatch.setattr(Quorum, "recent_size", lambda self, now: 0)


def expire_at_once_after_isolation(monkeypatch: pytest.MonkeyPatch) -> None:
    """Suspicions go on to run while the majority is missing, and expire as soon as it is back."""
    monkeypatch.setattr(Quorum, "was_lost_recently", lambda self, now: False)


def ask_no_helpers(monkeypatch: pytest.MonkeyPatch) -> None:
    """A probe fails without an indirect one."""

    def ask_helpers(self: Prober, now: int) -> None:
        for probe in self._probes.values():
            probe.has_asked_helpers = probe.has_asked_helpers or probe.ask_helpers_at <= now

    monkeypatch.setattr(Prober, "ask_helpers", ask_helpers)


def leave_without_a_message(monkeypatch: pytest.MonkeyPatch) -> None:
    """A member that leaves tells nobody."""

    def leave(self: FailureDetector, now: int) -> list[Any]:
        self.local.left = True
        return []

    monkeypatch.setattr(FailureDetector, "leave", leave)


def begin_a_generation_with_each_upgrade(monkeypatch: pytest.MonkeyPatch) -> None:
    """A successor does not continue the generation of the process that it follows."""
    continue_generation = LocalMember.continue_generation

    def begin_generation(
        self: LocalMember, now: int, generation: int, incarnation: int, sequence: int
    ) -> None:
        continue_generation(self, now, generation, incarnation, sequence)
        self.generation += 1

    monkeypatch.setattr(LocalMember, "continue_generation", begin_generation)


def believe_former_generations(monkeypatch: pytest.MonkeyPatch) -> None:
    """A message of an older process replaces the record of the one that followed it."""
    hear_sender = FailureDetector._hear_sender

    def hear_any_sender(self: FailureDetector, now: int, message: Any, source: Any) -> None:
        known = self.table.records.get(message.sender)
        if known is not None and message.generation < known.generation:
            record = MemberRecord(
                message.sender, message.generation, message.incarnation, MemberState.ALIVE, source
            )
            self.table.put(now, record)
        hear_sender(self, now, message, source)

    monkeypatch.setattr(FailureDetector, "_hear_sender", hear_any_sender)


SLOW_NEWS = Scenario(
    [Step(0.0, "delay", value=15.0), Step(1.0, "kill", (2,)), Step(1.5, "delay")],
    18.0,
    {2},
    convergence_s=6.0,
)
STOPS_UNDER_LOSS = Scenario(
    [
        Step(0.0, "loss", value=0.4),
        *(Step(1.0 + 5.0 * turn, "stop", (2,), value=4.0) for turn in range(6)),
        Step(32.0, "loss"),
    ],
    32.0,
    {2},
    convergence_s=8.0,
)
LATE_AFTER_RESTART = Scenario(
    [
        Step(0.0, "delay", value=2.0),
        *(Step(1.0 + turn, action, (2,)) for turn in range(4) for action in ("kill", "start")),
        Step(5.2, "delay"),
    ],
    5.3,
    {2},
    convergence_s=2.5,
)


def run(
    scenario: Scenario | str, settings: ProtocolSettings | None = None, seed: int = 1
) -> tuple[Outcome, VirtualCluster]:
    """Run a scenario with six members."""
    if isinstance(scenario, str):
        scenario = SCENARIOS[scenario](6, random.Random(seed), 1.0)
    cluster = VirtualCluster(6, seed, settings)
    return cluster.run_scenario(scenario), cluster


PLANTED: dict[str, tuple[Scenario | str, Plant | ProtocolSettings]] = {
    "a refutation ignored": ("pauses", ignore_refutations),
    "a tombstone forgotten too early": (SLOW_NEWS, forget_tombstones_at_once),
    "deaths declared without a majority": ("split", need_no_majority),
    "evidence of a suspect is not gossiped": ("one_hears_nobody", ProtocolSettings(last_heard_gossip=False)),
    "suspicions that run on while isolated": ("split", expire_at_once_after_isolation),
    "an own stall not noticed": (STOPS_UNDER_LOSS, ProtocolSettings(stall_detection=False)),
}


@pytest.mark.parametrize("fault", PLANTED)
def test_a_planted_fault_is_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    scenario, plant = PLANTED[fault]
    clean = [run(scenario, seed=seed)[0].violations for seed in range(4)]
    assert not any(clean), clean
    settings = plant if isinstance(plant, ProtocolSettings) else None
    if not isinstance(plant, ProtocolSettings):
        plant(monkeypatch)
    found = [run(scenario, settings, seed)[0].violations for seed in range(4)]
    assert any(found), "nobody noticed"


def outdated_records(seed: int) -> int:
    """How often a member replaced a record by one that it supersedes."""
    cluster = VirtualCluster(6, seed)
    for step in LATE_AFTER_RESTART.steps:
        cluster.schedule(3.0 + step.at, lambda step=step: cluster.apply(step))  # type: ignore[misc]
    held: dict[tuple[int, int], MemberRecord] = {}
    found = 0
    while cluster.now < 12.0:
        cluster.run(cluster.now + 0.02)
        for number, process in cluster.processes.items():
            for ident, record in process.detector.table.records.items():
                before = held.get((number, ident))
                found += number != 2 and before is not None and before.supersedes(record)
                held[number, ident] = record
    return found


def test_a_message_of_a_former_generation_that_is_believed_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    assert not any(outdated_records(seed) for seed in range(3))
    believe_former_generations(monkeypatch)
    assert any(outdated_records(seed) for seed in range(3))


def test_probes_without_helpers_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two that can't reach one another are no reason to suspect either: helpers reach both."""
    assert run("pair_both_ways")[0].suspicions == 0
    ask_no_helpers(monkeypatch)
    assert run("pair_both_ways")[0].suspicions > 0


def test_a_leave_without_a_message_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    clean = run("leaves_and_joins")[1].changes
    assert not [change for change in clean if change.new in (MemberState.SUSPECT, MemberState.DEAD)]
    leave_without_a_message(monkeypatch)
    planted = run("leaves_and_joins")[1].changes
    assert [change for change in planted if change.new is MemberState.SUSPECT]


def test_an_upgrade_that_begins_a_generation_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    assert not run("upgrades")[1].changes
    begin_a_generation_with_each_upgrade(monkeypatch)
    assert run("upgrades")[1].changes
