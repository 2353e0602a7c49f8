"""A tier in played time: the deciding modules alone, on a network of a seed, up to thousands of members."""

from __future__ import annotations

import functools
import operator
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from testbed.cluster.invariants import Done, Found, Looked, Noted, judge
from testbed.cluster.scenarios import Script, Step
from testbed.virtual_time import VirtualTime
from topazbank.cluster.failure_detector import FailureDetector, Out
from topazbank.cluster.member import MemberRecord, MemberState, ident_of, mark_of
from topazbank.cluster.rules import Rules
from topazbank.cluster.view import View
from topazbank.cluster.wire import Message, encode
from topazbank.core.net import Address

LOOK_EVERY_S = 0.25
STOPPED_KEPT = 300  # datagrams that wait for a process that stands still, as its socket's buffer would hold
EPOCH = 1_800_000_000_000  # milliseconds: when played time begins


def address_of(number: int) -> Address:
    return (f"m{number}", 7000)


@dataclass(slots=True)
class Life:
    """One process."""

    number: int
    detector: FailureDetector
    view: View
    began: float
    stopped_until: float = 0.0
    waiting: list[tuple[Message, Address]] = field(default_factory=list)
    alarm: float = -1.0  # the time of its next tick that is in the heap
    late_s: float = 0.0  # how late each of its steps is, while the machine is busy


Maker = Callable[..., FailureDetector]


class Played(VirtualTime):
    """The rig of played time."""

    def __init__(
        self,
        members: int,
        seed: int,
        rules: Rules | None = None,
        make: Maker = FailureDetector,
        measured: bool = False,
        settled: bool = False,
    ) -> None:
        """`measured`: count bytes too; `settled`: all know one another from the start."""
        super().__init__(seed)
        self.rules = rules or Rules()
        self.seed, self.members = seed, members
        self.make = make
        self.measured = measured
        self.idents = {ident_of(str(number)): number for number in range(members)}
        self.lives: dict[int, Life] = {}
        self.noted: list[Noted] = []
        self.done: list[Done] = []
        self.looks: list[Looked] = []
        self.sent: Counter[str] = Counter()
        self.sent_by: Counter[int] = Counter()
        self._lives = 0
        base = self._settled() if settled else None
        self._digest = functools.reduce(operator.xor, map(mark_of, (base or {}).values()), 0)
        for number in range(members):
            self.start(number, base)

    def _settled(self) -> dict[int, MemberRecord]:
        return {
            ident: MemberRecord(ident, EPOCH, 0, MemberState.HERE, address_of(number))
            for ident, number in self.idents.items()
        }

    # -- Time ------------------------------------------------------------------------------------------

    def us(self) -> int:
        return round(self.now * 1e6)

    # -- Processes -------------------------------------------------------------------------------------

    def start(self, number: int, known: Mapping[int, MemberRecord] | None = None) -> None:
        self._lives += 1
        life = EPOCH if known is not None else EPOCH + int(self.now * 1000) + self._lives
        seeds = [address_of(each) for each in range(min(self.members, 64)) if each != number]
        me = ident_of(str(number))
        detector = self.make(
            me,
            life,
            self.us(),
            self.rules,
            () if known is not None else seeds,
            {},
            self.random.getrandbits(32),
        )
        if known is not None:
            self._know(detector, known, self._digest)
        process = Life(number, detector, View(detector), self.now)
        self.lives[number] = process
        self._arm(process, self.now + self.random.random() * self.rules.period_us / 1e6)

    @staticmethod
    def _know(detector: FailureDetector, known: Mapping[int, MemberRecord], digest: int) -> None:
        """Let it know all others, as after a long time together."""
        detector.table.settle(known, digest, detector.me)

    def kill(self, number: int) -> None:
        self.lives.pop(number, None)

    def _arm(self, process: Life, when: float | None = None) -> None:
        due = process.detector.due / 1e6 if when is None else when
        due = max(due, self.now + 1e-4) + process.late_s * self.random.random()
        if process.alarm >= 0.0 and process.alarm <= due and process.alarm > self.now:
            return
        process.alarm = due
        self.schedule(due, lambda: self._alarm(process, due))

    def _alarm(self, process: Life, due: float) -> None:
        if self.lives.get(process.number) is not process or process.alarm != due:
            return
        if process.stopped_until > self.now:
            process.alarm = process.stopped_until
            self.schedule(process.stopped_until, lambda: self._alarm(process, process.alarm))
            return
        process.alarm = -1.0
        for message, source in process.waiting:
            self._send(process, process.detector.handle(self.us(), message, source))
        process.waiting.clear()
        self._send(process, process.detector.tick(self.us()))
        self._after(process)

    def _after(self, process: Life) -> None:
        if process.detector.changes:
            for each in process.detector.changes:
                whom = self.idents.get(each.ident)
                if whom is not None:
                    old = each.old.name if each.old is not None else None
                    new = each.new.name if each.new is not None else None
                    self.noted.append(Noted(self.now, process.number, whom, old, new, each.record.life))
            process.detector.changes.clear()
        self._arm(process)

    # -- The network -----------------------------------------------------------------------------------

    def _send(self, process: Life, out: list[Out]) -> None:
        for each in out:
            to = int(each.to[0][1:])
            self.sent["messages"] += 1
            self.sent_by[process.number] += 1
            if self.measured:
                size = len(encode(each.message))
                self.sent["bytes"] += size
                self.sent["longest"] = max(self.sent["longest"], size)
            self.send(process.number, to, partial(self._arrive, process.number, to, each.message))

    def _arrive(self, sender: int, to: int, message: Message) -> None:
        process = self.lives.get(to)
        if process is None:
            return
        if process.stopped_until > self.now:
            if len(process.waiting) < STOPPED_KEPT:
                process.waiting.append((message, address_of(sender)))
            return
        self._send(process, process.detector.handle(self.us(), message, address_of(sender)))
        self._after(process)

    # -- Scenes ----------------------------------------------------------------------------------------

    def do(self, step: Step) -> None:
        self.done.append(Done(self.now, step.do, step.who, step.to, step.value))
        if step.do in ("loss", "delay", "doubled"):
            setattr(self.faults, {"delay": "delay_s"}.get(step.do, step.do), step.value)
        elif step.do == "cut":
            self.faults.cuts |= {(a, b) for a in step.who for b in step.to}
        elif step.do == "heal":
            self.faults.cuts.clear()
        else:  # TCP's faults and drains are of what is not played: nobody is named by them
            for number in step.who:
                self._do_to(number, step)

    def _do_to(self, number: int, step: Step) -> None:
        process = self.lives.get(number)
        if step.do == "kill":
            self.kill(number)
        elif step.do == "start" and process is None:
            self.start(number)
        elif process is None:
            return
        elif step.do == "stop":
            process.stopped_until = self.now + step.value
            process.alarm = process.stopped_until
            self.schedule(process.stopped_until, lambda: self._alarm(process, process.alarm))
        elif step.do == "leave":
            self._send(process, process.detector.leave(self.us()))
            self.kill(number)
        elif step.do in ("upgrade", "old_dies"):
            self._upgrade(process)
        elif step.do == "new_dies":
            self._upgrade(process)
            self.schedule(self.now + step.value, lambda: self._resume(process))
        elif step.do == "busy":
            process.late_s = 0.3
            self.schedule(self.now + step.value, lambda: setattr(process, "late_s", 0.0))

    def _upgrade(self, process: Life) -> None:
        before = process.detector.before()
        detector = self.make(
            process.detector.me, 0, self.us(), self.rules, (), {}, self.random.getrandbits(32), before
        )
        follower = Life(process.number, detector, View(detector), process.began)
        self.lives[process.number] = follower
        self._arm(follower, self.now)

    def _resume(self, process: Life) -> None:
        """The process that took its place has ended."""
        self.lives[process.number] = process
        process.detector.resume(self.us())
        process.alarm = -1.0
        self._arm(process, self.now)

    def look(self) -> None:
        for number, process in self.lives.items():
            if process.stopped_until > self.now:
                continue
            process.view.look(self.us())
            here = {
                self.idents[ident]: each.life
                for ident, each in process.detector.table.records.items()
                if each.counts and ident in self.idents
            }
            here[number] = process.detector.life
            doubted = len(process.detector.suspicions)
            self.looks.append(Looked(self.now, number, here, process.view.cut_off, doubted))

    def play(self, script: Script, settle_s: float = 3.0) -> Found:
        """Play a scene to its end, after a while for all to find one another."""
        for step in script.steps:
            self.schedule(settle_s + step.at, lambda step=step: self.do(step))  # type: ignore[misc]
        self.run(settle_s)
        self.noted.clear()
        self.run(settle_s + script.faults_end_s)
        while self.now < settle_s + script.ends_s:
            self.run(min(self.now + LOOK_EVERY_S, settle_s + script.ends_s))
            self.look()
        shifted = [_earlier(each, settle_s) for each in self.looks]
        lives = {number: each.detector.life for number, each in self.lives.items()}
        noted = [_earlier(each, settle_s) for each in self.noted]
        return judge(script, [_earlier(each, settle_s) for each in self.done], noted, shifted, lives)


def _earlier(each: Any, by: float) -> Any:
    return replace(each, at=each.at - by)
