"""A cluster in virtual time: failure detectors alone, on a simulated network, with up to thousands of members."""

from __future__ import annotations

import functools
import operator
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from testbed.cluster.invariants import FaultRecord, Outcome, StateChange, ViewSample, judge
from testbed.cluster.scenarios import Scenario, Step
from testbed.virtual_time import VirtualTime
from topazbank.cluster.failure_detector import FailureDetector
from topazbank.cluster.member import MemberRecord, MemberState, digest_of, ident_of
from topazbank.cluster.outbox import OutgoingMessage
from topazbank.cluster.settings import ProtocolSettings
from topazbank.cluster.view import View
from topazbank.cluster.wire import Message, encode
from topazbank.core.net import Address

SAMPLE_INTERVAL_S = 0.25
SOCKET_BUFFER_DATAGRAMS = 300  # that wait for a suspended process; further ones are lost
EPOCH_MS = 1_800_000_000_000  # Unix milliseconds at which virtual time begins
BUSY_DELAY_S = 0.3  # by which each step of a process is late at most, while the machine is busy
SEEDS_MAX = 64


def address_of(number: int) -> Address:
    """Return where a member is reached."""
    return (f"m{number}", 7000)


@dataclass(slots=True)
class VirtualProcess:
    """One process of a member."""

    number: int
    detector: FailureDetector
    view: View
    suspended_until: float = 0.0
    waiting: list[tuple[Message, Address]] = field(default_factory=list)
    alarm: float = -1.0  # when its next tick is scheduled; negative: it is not
    delay_s: float = 0.0


DetectorFactory = Callable[..., FailureDetector]


class VirtualCluster(VirtualTime):
    """Processes, the network between them, and what was done and observed."""

    def __init__(
        self,
        members: int,
        seed: int,
        settings: ProtocolSettings | None = None,
        make_detector: DetectorFactory = FailureDetector,
        measure_bytes: bool = False,
        settled: bool = False,
    ) -> None:
        """`settled`: all members know one another from the start."""
        super().__init__(seed)
        self.settings = settings or ProtocolSettings()
        self.seed, self.members = seed, members
        self._make_detector = make_detector
        self._measure_bytes = measure_bytes
        self.numbers = {ident_of(str(number)): number for number in range(members)}
        self.processes: dict[int, VirtualProcess] = {}
        self.changes: list[StateChange] = []
        self.applied: list[FaultRecord] = []
        self.samples: list[ViewSample] = []
        self.sent: Counter[str] = Counter()
        self.sent_by: Counter[int] = Counter()
        self._started = 0
        records = self._settled_records() if settled else None
        self._digest = functools.reduce(operator.xor, map(digest_of, (records or {}).values()), 0)
        for number in range(members):
            self.start(number, records)

    def _settled_records(self) -> dict[int, MemberRecord]:
        return {
            ident: MemberRecord(ident, EPOCH_MS, 0, MemberState.ALIVE, address_of(number))
            for ident, number in self.numbers.items()
        }

    def now_us(self) -> int:
        """Return the virtual time in microseconds."""
        return round(self.now * 1e6)

    # -- Processes -------------------------------------------------------------------------------------

    def start(self, number: int, records: Mapping[int, MemberRecord] | None = None) -> None:
        """Start a process of a member; `records`: of all members, where it knows them already."""
        self._started += 1
        is_settled = records is not None
        generation = EPOCH_MS if is_settled else EPOCH_MS + int(self.now * 1000) + self._started
        peers = [address_of(peer) for peer in range(min(self.members, SEEDS_MAX)) if peer != number]
        detector = self._make_detector(
            ident_of(str(number)),
            generation,
            self.now_us(),
            self.settings,
            () if is_settled else peers,
            {},
            self.random.getrandbits(32),
        )
        if records is not None:
            detector.table.load(records, self._digest, detector.local.ident)
        process = VirtualProcess(number, detector, View(detector))
        self.processes[number] = process
        self._schedule(process, self.now + self.random.random() * self.settings.probe_period_us / 1e6)

    def kill(self, number: int) -> None:
        """End a member's process without a message."""
        self.processes.pop(number, None)

    def _schedule(self, process: VirtualProcess, when: float | None = None) -> None:
        due = process.detector.due / 1e6 if when is None else when
        due = max(due, self.now + 1e-4) + process.delay_s * self.random.random()
        if process.alarm >= 0.0 and process.alarm <= due and process.alarm > self.now:
            return
        process.alarm = due
        self.schedule(due, lambda: self._tick(process, due))

    def _tick(self, process: VirtualProcess, due: float) -> None:
        if self.processes.get(process.number) is not process or process.alarm != due:
            return
        if process.suspended_until > self.now:
            self._wake_later(process)
            return
        process.alarm = -1.0
        for message, source in process.waiting:
            self._send(process, process.detector.handle(self.now_us(), message, source))
        process.waiting.clear()
        self._send(process, process.detector.tick(self.now_us()))
        self._finish_step(process)

    def _wake_later(self, process: VirtualProcess) -> None:
        process.alarm = process.suspended_until
        self.schedule(process.suspended_until, lambda: self._tick(process, process.alarm))

    def _finish_step(self, process: VirtualProcess) -> None:
        for change in process.detector.changes.take():
            member = self.numbers.get(change.ident)
            if member is not None:
                generation = change.record.generation
                self.changes.append(
                    StateChange(self.now, process.number, member, change.old, change.new, generation)
                )
        self._schedule(process)

    # -- The network -----------------------------------------------------------------------------------

    def _send(self, process: VirtualProcess, messages: Sequence[OutgoingMessage]) -> None:
        for outgoing in messages:
            receiver = int(outgoing.to[0][1:])
            self.sent["messages"] += 1
            self.sent_by[process.number] += 1
            if self._measure_bytes:
                size = len(encode(outgoing.message))
                self.sent["bytes"] += size
                self.sent["longest"] = max(self.sent["longest"], size)
            deliver = partial(self._deliver, process.number, receiver, outgoing.message)
            self.send(process.number, receiver, deliver)

    def _deliver(self, sender: int, receiver: int, message: Message) -> None:
        process = self.processes.get(receiver)
        if process is None:
            return
        if process.suspended_until > self.now:
            if len(process.waiting) < SOCKET_BUFFER_DATAGRAMS:
                process.waiting.append((message, address_of(sender)))
            return
        self._send(process, process.detector.handle(self.now_us(), message, address_of(sender)))
        self._finish_step(process)

    # -- Faults ----------------------------------------------------------------------------------------

    def apply(self, step: Step) -> None:
        """Inject a fault, or end one."""
        self.applied.append(FaultRecord.of(step, self.now))
        if step.action in ("loss", "delay", "doubled"):
            setattr(self.faults, {"delay": "delay_s"}.get(step.action, step.action), step.value)
        elif step.action == "cut":
            self.faults.cuts |= {(sender, receiver) for sender in step.members for receiver in step.targets}
        elif step.action == "heal":
            self.faults.cuts.clear()
        else:  # faults of TCP and drains have no members: they concern what is not simulated
            for number in step.members:
                self._apply_to(number, step)

    def _apply_to(self, number: int, step: Step) -> None:
        process = self.processes.get(number)
        if step.action == "kill":
            self.kill(number)
        elif step.action == "start" and process is None:
            self.start(number)
        elif process is None:
            return
        elif step.action == "stop":
            process.suspended_until = self.now + step.value
            self._wake_later(process)
        elif step.action == "leave":
            self._send(process, process.detector.leave(self.now_us()))
            self.kill(number)
        elif step.action in ("upgrade", "old_dies"):
            self._upgrade(process)
        elif step.action == "new_dies":
            self._upgrade(process)
            self.schedule(self.now + step.value, lambda: self._resume(process))
        elif step.action == "busy":
            process.delay_s = BUSY_DELAY_S
            self.schedule(self.now + step.value, lambda: setattr(process, "delay_s", 0.0))

    def _upgrade(self, process: VirtualProcess) -> None:
        predecessor = process.detector.handover_state()
        detector = self._make_detector(
            process.detector.local.ident,
            0,
            self.now_us(),
            self.settings,
            (),
            {},
            self.random.getrandbits(32),
            predecessor,
        )
        successor = VirtualProcess(process.number, detector, View(detector))
        self.processes[process.number] = successor
        self._schedule(successor, self.now)

    def _resume(self, process: VirtualProcess) -> None:
        """Let a process continue whose successor has ended."""
        self.processes[process.number] = process
        process.detector.resume(self.now_us())
        process.alarm = -1.0
        self._schedule(process, self.now)

    # -- Scenarios -------------------------------------------------------------------------------------

    def sample(self) -> None:
        """Record the view of each process that runs."""
        for number, process in self.processes.items():
            if process.suspended_until > self.now:
                continue
            process.view.refresh(self.now_us())
            detector = process.detector
            live = {
                self.numbers[ident]: record.generation
                for ident, record in detector.table.records.items()
                if record.is_live and ident in self.numbers
            }
            live[number] = detector.local.generation
            suspects = len(detector.suspicions)
            self.samples.append(ViewSample(self.now, number, live, process.view.is_isolated, suspects))

    def run_scenario(self, scenario: Scenario, settle_s: float = 3.0) -> Outcome:
        """Run a scenario to its end, after some time in which all find one another, and judge it."""
        for step in scenario.steps:
            self.schedule(settle_s + step.at, partial(self.apply, step))
        self.run(settle_s)
        self.changes.clear()
        self.run(settle_s + scenario.faults_end_s)
        end = settle_s + scenario.ends_s
        while self.now < end:
            self.run(min(self.now + SAMPLE_INTERVAL_S, end))
            self.sample()
        generations = {number: each.detector.local.generation for number, each in self.processes.items()}
        return judge(
            scenario,
            [_earlier(record, settle_s) for record in self.applied],
            [_earlier(change, settle_s) for change in self.changes],
            [_earlier(sample, settle_s) for sample in self.samples],
            generations,
        )


def _earlier(event: Any, by_s: float) -> Any:
    return replace(event, at=event.at - by_s)
