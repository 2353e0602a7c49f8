"""Fault injection into the failure detector: the scenarios report each fault, and report nothing without it."""

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

InjectFault = Callable[[pytest.MonkeyPatch], None]


def ignore_refutations(monkeypatch: pytest.MonkeyPatch) -> None:
    """A member that others consider suspect or dead never refutes it."""
    monkeypatch.setattr(Refutation, "refute", lambda self, now: None)


def expire_tombstones_immediately(monkeypatch: pytest.MonkeyPatch) -> None:
    """A member removes dead members in its next period."""

    def expire_tombstones(self: Membership, now: int) -> None:
        for ident in list(self._table.tombstones):
            self._forget(now, ident)

    monkeypatch.setattr(Membership, "expire_tombstones", expire_tombstones)


def require_no_majority(monkeypatch: pytest.MonkeyPatch) -> None:
    """Suspicions expire regardless of how much of the cluster is heard."""
    monkeypatch.setattr(Quorum, "recent_size", lambda self, now: 0)


def expire_immediately_after_isolation(monkeypatch: pytest.MonkeyPatch) -> None:
    """Suspicions continue to age while the majority is missing, and expire as soon as it returns."""
    monkeypatch.setattr(Quorum, "was_lost_recently", lambda self, now: False)


def ask_no_helpers(monkeypatch: pytest.MonkeyPatch) -> None:
    """A probe fails without any indirect probe."""

    def ask_helpers(self: Prober, now: int) -> None:
        for probe in self._probes.values():
            probe.has_asked_helpers = probe.has_asked_helpers or probe.ask_helpers_at <= now

    monkeypatch.setattr(Prober, "ask_helpers", ask_helpers)


def leave_without_a_message(monkeypatch: pytest.MonkeyPatch) -> None:
    """A member leaves without notifying others."""

    def leave(self: FailureDetector, now: int) -> list[Any]:
        self.local.left = True
        return []

    monkeypatch.setattr(FailureDetector, "leave", leave)


def begin_a_generation_with_each_upgrade(monkeypatch: pytest.MonkeyPatch) -> None:
    """A successor does not continue the generation of its predecessor."""
    continue_generation = LocalMember.continue_generation

    def begin_generation(
        self: LocalMember, now: int, generation: int, incarnation: int, sequence: int
    ) -> None:
        continue_generation(self, now, generation, incarnation, sequence)
        self.generation += 1

    monkeypatch.setattr(LocalMember, "continue_generation", begin_generation)


def accept_earlier_generations(monkeypatch: pytest.MonkeyPatch) -> None:
    """A message from an earlier process replaces the record of its successor."""
    record_sender = FailureDetector._record_sender

    def record_any_sender(self: FailureDetector, now: int, message: Any, source: Any) -> None:
        known = self.table.records.get(message.sender)
        if known is not None and message.generation < known.generation:
            record = MemberRecord(
                message.sender, message.generation, message.incarnation, MemberState.ALIVE, source
            )
            self.table.put(now, record)
        record_sender(self, now, message, source)

    monkeypatch.setattr(FailureDetector, "_record_sender", record_any_sender)


DELAYED_MESSAGES = Scenario(
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
DELAYED_MESSAGES_OVER_RESTARTS = Scenario(
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


INJECTED_FAULTS: dict[str, tuple[Scenario | str, InjectFault | ProtocolSettings]] = {
    "a refutation is ignored": ("pauses", ignore_refutations),
    "a tombstone expires too early": (DELAYED_MESSAGES, expire_tombstones_immediately),
    "deaths are declared without a majority": ("split", require_no_majority),
    "evidence that a suspect was heard is not gossiped": (
        "one_hears_nobody",
        ProtocolSettings(last_heard_gossip=False),
    ),
    "suspicions continue to age while isolated": ("split", expire_immediately_after_isolation),
    "a local stall is not detected": (STOPS_UNDER_LOSS, ProtocolSettings(stall_detection=False)),
}


@pytest.mark.parametrize("fault", INJECTED_FAULTS)
def test_an_injected_fault_is_detected(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    scenario, injection = INJECTED_FAULTS[fault]
    clean = [run(scenario, seed=seed)[0].violations for seed in range(4)]
    assert not any(clean), clean
    settings = injection if isinstance(injection, ProtocolSettings) else None
    if not isinstance(injection, ProtocolSettings):
        injection(monkeypatch)
    faulty = [run(scenario, settings, seed)[0].violations for seed in range(4)]
    assert any(faulty), "no violation reported for the injected fault"


def count_regressed_records(seed: int) -> int:
    """Count how often a member replaced a record with one that the old record supersedes."""
    cluster = VirtualCluster(6, seed)
    for step in DELAYED_MESSAGES_OVER_RESTARTS.steps:
        cluster.schedule(3.0 + step.at, lambda step=step: cluster.apply(step))  # type: ignore[misc]
    previous_records: dict[tuple[int, int], MemberRecord] = {}
    regressions = 0
    while cluster.now < 12.0:
        cluster.run(cluster.now + 0.02)
        for number, process in cluster.processes.items():
            for ident, record in process.detector.table.records.items():
                previous = previous_records.get((number, ident))
                regressions += number != 2 and previous is not None and previous.supersedes(record)
                previous_records[number, ident] = record
    return regressions


def test_accepting_a_message_of_an_earlier_generation_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    assert not any(count_regressed_records(seed) for seed in range(3))
    accept_earlier_generations(monkeypatch)
    assert any(count_regressed_records(seed) for seed in range(3))


def test_probes_without_helpers_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two members that can't reach each other must not become suspect, since helpers reach both."""
    assert run("pair_both_ways")[0].suspicions == 0
    ask_no_helpers(monkeypatch)
    assert run("pair_both_ways")[0].suspicions > 0


def test_a_leave_without_a_message_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    clean = run("leaves_and_joins")[1].changes
    assert not [change for change in clean if change.new in (MemberState.SUSPECT, MemberState.DEAD)]
    leave_without_a_message(monkeypatch)
    faulty = run("leaves_and_joins")[1].changes
    assert [change for change in faulty if change.new is MemberState.SUSPECT]


def test_an_upgrade_that_begins_a_generation_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    assert not run("upgrades")[1].changes
    begin_a_generation_with_each_upgrade(monkeypatch)
    assert run("upgrades")[1].changes
