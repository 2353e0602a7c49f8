"""Who of a tier is here: the promise, and what keeps it.  No I/O; times in microseconds of a clock that only goes on.

The promise.  Who is called gone has not been heard, by anybody from whom news comes, for at least `Rules.suspicion_us`;
so a process that stands still for less than `Rules.pause_us` is called gone by nobody, as long as one word of its gets
through to one that is heard.  Who is gone comes back by a newer incarnation or life alone.  A process that hears too
little calls nobody gone.  Assumed: a clock that only goes on, and that no message is older than `Rules.forget_us`.

The way: SWIM's probes, direct and through others, with Lifeguard's doubts of oneself, and two things of our own: who
has heard a suspect vouches for it, so that one who can speak and not hear stays unsure rather than gone; and nobody is
called gone while less than half of the tier is here.  docs/design/cluster.md weighs the others.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from topazbank.cluster.anti_entropy import Mender
from topazbank.cluster.gossip import Key, Spread
from topazbank.cluster.local_health import Health
from topazbank.cluster.member import INCARNATION_MAX, MemberRecord, MemberState, digest_of
from topazbank.cluster.member_table import Table
from topazbank.cluster.settings import (
    AGAIN_HOLD_US,
    AGAIN_MOST,
    AGAIN_SPAN_US,
    DIRECT_PART,
    HEALTH_MOST,
    INDIRECT_PROBES,
    JOINING_US,
    RECONNECT_PERIODS,
    STALL_PERIODS,
    SUSPECT_PROBES_PER_PERIOD,
    ProtocolSettings,
)
from topazbank.cluster.suspicion import Suspicion
from topazbank.cluster.wire import Kind, Message, records_in
from topazbank.core.net import Address

ASKED_MOST = 64  # probes made for others that are under way
LATE_MOST = 32  # failed probes whose late answers are recognised
CHANGES_MOST = 1024  # told to the host and not yet taken
BASE_SPAN_US = 60_000_000  # the gone of this long are part of what the here are held against
MANY_PART = 0.25  # of a tier, suspected at once: then the wait is doubled
LEAVE_TOLD = 32  # members that are told of a leave directly
_COUNT_JUMP = 1_000_000  # messages that a former process of this life may have sent since it was last asked


@dataclass(frozen=True, slots=True)
class Out:
    """A message to send."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Change:
    """What has become of one member, for the host's log and the view."""

    at: int
    ident: int
    old: MemberState | None  # None: not known before
    new: MemberState | None  # None: forgotten
    record: MemberRecord
    why: str


@dataclass(slots=True)
class _Probe:
    target: int
    life: int  # of the target, when it was sent
    to: Address
    ask_at: int
    fail_at: int
    asked: bool = False
    nacks: int = 0
    answers_wanted: int = 0


@dataclass(slots=True)
class _Favour:
    """A probe made for another."""

    asker: Address
    probe: int
    target: int
    until: int


@dataclass(frozen=True, slots=True)
class Before:
    """What a process of the same life knew."""

    life: int
    incarnation: int
    count: int
    records: Sequence[MemberRecord] = ()


class FailureDetector:
    """One member's part in a tier."""

    def __init__(
        self,
        me: int,
        life: int,
        now: int,
        rules: ProtocolSettings,
        seeds: Sequence[Address] = (),
        book: Mapping[int, Address] | None = None,
        seed: int = 0,
        before: Before | None = None,
    ) -> None:
        """`seeds`: where others may be; `book`: addresses that are known better than they are told.

        `before`: this process follows another of the same member, and goes on with its life.
        """
        self.me, self.rules = me, rules
        self.life, self.incarnation = life, 0
        self._began = now
        self._chance = random.Random(seed)
        self.table = Table(self._chance)
        self.spread = Spread()
        self.health = Health(rules.lifeguard)
        self.mender = Mender(self.table, rules)
        self._book = dict(book or {})
        self._seeds = list(seeds)
        self._chance.shuffle(self._seeds)
        self._silent_seeds = dict.fromkeys(self._seeds)  # that have not answered yet, in their turns
        self._count = 0
        self._probe = self._chance.randrange(1 << 31)
        self._probes: dict[
            int, _Probe
        ] = {}  # one a period for as long as one may take: 2 * HEALTH_MOST at most
        self._late: dict[int, int] = {}  # failed probes and their targets, LATE_MOST
        self._favours: dict[int, _Favour] = {}  # ASKED_MOST
        self.suspicions: dict[int, Suspicion] = {}  # of members in the table
        self._words: dict[int, int] = {}  # when a member's word was last had, by anyone: members in the table
        self._counts: dict[int, tuple[int, int]] = {}  # life and count of the last message: likewise
        self._returns: dict[int, tuple[int, int]] = {}  # from the gone: how often of late, and when last
        self._vouched: dict[int, int] = {}  # when it was last told that a suspect was heard
        self.changes: list[Change] = []
        self._out: list[Out] = []
        self._period = 0
        self.due = now  # when `tick` is wanted
        self._beat = now  # when the next period begins
        self.heard_at = now  # when any word came last
        self.answered_at = now  # when a probe was last answered
        self._held_at = now - 3600_000_000  # when too little of the tier was heard to call anybody gone
        self._doubts_until = now  # oneself, after a stall
        self.taken_by: int | None = None  # a later life of this name: another process has it
        self.left = False
        self.stalls = 0
        if before is not None:
            self._follow(now, before)

    def _follow(self, now: int, before: Before) -> None:
        self.life, self.incarnation = before.life, min(before.incarnation + 1, INCARNATION_MAX)
        self._count = before.count + _COUNT_JUMP
        for record in before.records:
            if record.ident != self.me:
                self.table.put(now, record)
                if record.state is MemberState.SUSPECTED:
                    self.suspicions[record.ident] = Suspicion(now, self._mark, False)
        self._began = now - JOINING_US  # it has joined long ago
        self._tell_of(self.me)

    # -- What others read ------------------------------------------------------------------------------

    @property
    def own(self) -> MemberRecord:
        """This member as it tells of itself."""
        return MemberRecord(
            self.me, self.life, self.incarnation, MemberState.LEFT if self.left else MemberState.HERE
        )

    @property
    def size(self) -> int:
        """Members that may be here, this one among them."""
        return self.table.counted + 1

    @property
    def _mark(self) -> int:
        return self.me & 0xFFFF

    @property
    def digest(self) -> int:
        return self.table.digest ^ (0 if self.left else digest_of(self.own))

    def before(self) -> Before:
        """What a process that takes this one's place is told."""
        return Before(self.life, self.incarnation, self._count, tuple(self.table.records.values()))

    def base(self, now: int) -> int:
        """Members that were here of late and did not say that they leave: what the here are held against."""
        lost = 0
        for ident, since in reversed(self.table.gone.items()):  # the latest first: the others don't count
            if now - since >= BASE_SPAN_US:
                break
            lost += self.table.records[ident].state is MemberState.GONE
        return self.size + lost

    def hears_nobody(self, now: int) -> bool:
        """Whether not one word has come for long enough to tell."""
        silence = max(3 * self.rules.period_us, self.rules.pause_us // 2)
        return self.table.counted > 0 and now - self.heard_at > silence

    def is_unheard(self, now: int) -> bool:
        """Whether others' words come and answers do not, for longer than a loss explains."""
        return self.table.counted > 0 and now - self.answered_at > self.health.stretch(
            self.rules.suspicion_us(self.size)
        )

    @property
    def began(self) -> int:
        """When this member's life began, as far as joining goes."""
        return self._began

    @property
    def seeds(self) -> int:
        """How many others it was told of at its start."""
        return len(self._seeds)

    def unsteady(self, now: int) -> int:
        """How many members go in and out, and are held as unsure."""
        return sum(self.hold_until(ident) > now for ident in self._returns)

    def word_at(self, ident: int) -> int | None:
        """When a word of this member was last had, by anyone who told."""
        return self._words.get(ident)

    def is_doubting(self, now: int) -> bool:
        """Whether this process stood still of late, and what it finds may be old."""
        return now < self._doubts_until

    def hold_until(self, ident: int) -> int:
        """Until when a member that goes in and out is unsure; 0: it does not."""
        times, at = self._returns.get(ident, (0, 0))
        return at + (AGAIN_HOLD_US << min(times - 2, AGAIN_MOST)) if times > 1 else 0

    def addresses(self) -> set[Address]:
        """From where a message may be a member's."""
        told = {each.address for each in self.table.records.values() if each.address is not None}
        return told | set(self._seeds) | set(self._book.values())

    # -- Time ------------------------------------------------------------------------------------------

    def tick(self, now: int) -> list[Out]:
        """Do what is due by now."""
        self._notice(now)
        self._go_on(now)
        return self._taken()

    def _taken(self) -> list[Out]:
        out, self._out = self._out, []
        return out

    def _notice(self, now: int) -> None:
        """See whether this process stood still: then what it finds tells of itself and not of others."""
        late = now - self.due
        if late <= STALL_PERIODS * self.rules.period_us:
            if late > self.rules.period_us // 2:
                self.health.worse()
            return
        self.due = now
        if not self.rules.doubting:
            return
        self.stalls += 1
        self.health.worse(HEALTH_MOST)
        self._probes.clear()
        self._favours.clear()
        wait = self.rules.suspicion_us(self.size)
        self._doubts_until = now + wait
        for each in self.suspicions.values():
            each.since = now
        self.heard_at = self.answered_at = now
        self._beat = now
        if (
            late > wait // 2 and not self.left and self.taken_by is None
        ):  # long enough that some may have given it up
            self._raise(now)

    def _go_on(self, now: int) -> None:
        if self.left or self.taken_by is not None:
            self._beat = now + self.rules.period_us
        while self._beat <= now:
            self._beat += self.rules.period_us
            if self._beat <= now - self.rules.period_us:
                self._beat = now  # periods that were slept through are not made up for
            self._one_period(now)
        for number in [n for n, each in self._probes.items() if each.ask_at <= now and not each.asked]:
            self._ask_others(now, self._probes[number], number)
        for number in [n for n, each in self._probes.items() if each.fail_at <= now]:
            self._failed(now, number)
        self._expire(now)
        for number in [n for n, each in self._favours.items() if each.until <= now]:
            favour = self._favours.pop(number)
            self._send(now, favour.asker, Kind.NACK, favour.probe, favour.target)
        waits = [each.fail_at if each.asked else each.ask_at for each in self._probes.values()]
        self.due = min([self._beat, *waits, *(each.until for each in self._favours.values())])

    def _one_period(self, now: int) -> None:
        self._period += 1
        if self._period == 1:
            for seed in self._seeds[:INDIRECT_PROBES]:
                self._send(now, seed, Kind.PING, self._number())
        target = self.table.next_turn()
        if target is not None:
            self._begin_probe(now, target)
        mine = [ident for ident, each in self.suspicions.items() if each.mine]
        for ident in self._chance.sample(mine, min(len(mine), SUSPECT_PROBES_PER_PERIOD)):
            if target is None or ident != target.ident:
                self._begin_probe(now, self.table.records[ident], counts=False)
        if self._period % RECONNECT_PERIODS == 0 or not self.table.counted:
            self._try_the_gone(now)
        self._forget(now)

    def _try_the_gone(self, now: int) -> None:
        """Probe one that is gone, and one seed that never answered: a split heals by this, and a late start joins."""
        lost = [ident for ident in self.table.gone if self.table.records[ident].state is MemberState.GONE]
        if lost:
            record = self.table.records[self._chance.choice(lost)]
            to = self._address_of(record)
            if to is not None:
                self._send(now, to, Kind.PING, self._number(), record.ident)
        for seed in list(self._silent_seeds)[:1]:
            del self._silent_seeds[seed]
            self._silent_seeds[seed] = None  # its turn comes again after all others'
            self._send(now, seed, Kind.PING, self._number())

    def _forget(self, now: int) -> None:
        for ident in [i for i, since in self.table.gone.items() if now - since > self.rules.forget_us]:
            self._drop(now, ident, "gone for long")

    def _drop(self, now: int, ident: int, why: str) -> None:
        record = self.table.records[ident]
        self.table.forget(ident)
        for each in (self._words, self._counts, self._returns, self._vouched, self.suspicions):
            each.pop(ident, None)
        self._note(now, ident, record.state, None, record, why)

    # -- Probes ----------------------------------------------------------------------------------------

    def _number(self) -> int:
        self._probe = (self._probe + 1) & 0xFFFFFFFF
        return self._probe

    def _begin_probe(self, now: int, target: MemberRecord, counts: bool = True) -> None:
        """`counts`: its failure is one more reason to suspect."""
        to = self._address_of(target)
        if to is None:
            return
        number = self._number()
        if counts:
            direct = int(DIRECT_PART * self.rules.period_us)
            ask_at = now + min(self.health.stretch(direct), 2 * self.rules.period_us)
            fail_at = now + self.health.stretch(self.rules.period_us)
            self._probes[number] = _Probe(target.ident, target.life, to, ask_at, fail_at)
        self._send(now, to, Kind.PING, number, target.ident)

    def _ask_others(self, now: int, probe: _Probe, number: int) -> None:
        probe.asked = True
        for helper in self.table.some(INDIRECT_PROBES, (probe.target,)):
            to = self._address_of(helper)
            if to is not None:
                probe.answers_wanted += 1
                self._send(now, to, Kind.ASK, number, probe.target)
        self._send(now, probe.to, Kind.PING, number, probe.target)  # the first may have been lost

    def _failed(self, now: int, number: int) -> None:
        probe = self._probes.pop(number)
        while len(self._late) >= LATE_MOST:
            del self._late[next(iter(self._late))]
        self._late[number] = probe.target
        if not probe.nacks and probe.answers_wanted:
            self.health.worse()  # not even helpers were heard
        record = self.table.records.get(probe.target)
        if record is not None and record.counts and record.life == probe.life:
            self._suspect(now, record, self._mark, mine=True)

    def address_of(self, ident: int) -> Address | None:
        """Where this member hears, as far as it is known."""
        record = self.table.records.get(ident)
        return self._address_of(record) if record is not None else None

    def _address_of(self, record: MemberRecord) -> Address | None:
        return self._book.get(record.ident) or record.address

    # -- Messages --------------------------------------------------------------------------------------

    def handle(self, now: int, message: Message, source: Address) -> list[Out]:
        """Take a message that came from there."""
        self._notice(now)
        if self.left:
            return []
        if message.sender != self.me:
            self._hear(now, message, source)
        elif message.life > self.life:
            self._own_name(now, MemberRecord(self.me, message.life, message.incarnation))
        for record in message.news:
            self._learn(now, record, message.sender, source)
        if message.sender != self.me and self.taken_by is None:
            self._answer(now, message, source)
            self._compare(now, message, source)
        self._go_on(now)
        return self._taken()

    def _hear(self, now: int, message: Message, source: Address) -> None:
        """Whoever writes is there, unless this is an old message."""
        known = self.table.records.get(message.sender)
        said = MemberRecord(message.sender, message.life, message.incarnation, MemberState.HERE, source)
        life, count = self._counts.get(message.sender, (0, -1))
        if (message.life, message.count) <= (life, count) or (
            known is not None and message.life < known.life
        ):
            return
        if known is None or said.newer_than(known):
            self._take(now, said, "its own word")
        elif known.address != source and known.life == message.life:
            self.table.put(now, replace(known, address=source))
        self._silent_seeds.pop(source, None)
        if message.sender in self.table.records:
            self._counts[message.sender] = (message.life, message.count)
            self.heard_at = now
            self._word(now, message.sender, now)

    def _word(self, now: int, ident: int, at: int) -> None:
        """A member's word was had at this time, by this one or another that says so."""
        if at <= self._words.get(ident, -1):
            return
        self._words[ident] = at
        if ident not in self.suspicions or not self.rules.vouching:
            return
        if now - self._vouched.get(ident, -self.rules.pause_us) > self.rules.pause_us // 4:
            self._vouched[ident] = now
            self.spread.put((ident, True), self._told_most(), urgent=True)

    def _answer(self, now: int, message: Message, source: Address) -> None:
        if message.kind is Kind.PING:
            if message.target in (0, self.me):
                self._send(now, source, Kind.ACK, message.probe, self.me, about=message.sender)
        elif message.kind is Kind.ASK:
            self._do_favour(now, message, source)
        elif message.kind is Kind.ACK:
            self._answered(now, message)
        elif message.kind is Kind.NACK:
            probe = self._probes.get(message.probe)
            if probe is not None:
                probe.nacks += 1

    def _do_favour(self, now: int, message: Message, source: Address) -> None:
        record = self.table.records.get(message.target)
        to = self._address_of(record) if record is not None else None
        if to is None or len(self._favours) >= ASKED_MOST:
            self._send(now, source, Kind.NACK, message.probe, message.target)
            return
        number = self._number()
        until = now + int(DIRECT_PART * self.rules.period_us)
        self._favours[number] = _Favour(source, message.probe, message.target, until)
        self._send(now, to, Kind.PING, number, message.target)

    def _answered(self, now: int, message: Message) -> None:
        favour = self._favours.pop(message.probe, None)
        if favour is not None and favour.target == message.target:
            self._send(now, favour.asker, Kind.ACK, favour.probe, favour.target, about=favour.target)
            return
        probe = self._probes.get(message.probe)
        if probe is not None and probe.target == message.target:
            del self._probes[message.probe]
            self.health.better()
        elif self._late.pop(message.probe, None) == message.target:
            self.health.worse()  # it did answer: too late for this process's time-outs
        elif message.target != message.sender:
            return  # nothing that was asked
        self.answered_at = now
        if message.target in self.table.records and message.target != message.sender:
            self._word(now, message.target, now)

    def _compare(self, now: int, message: Message, source: Address) -> None:
        """Mend the two views where they go on to differ."""
        mender, own = self.mender, self.own
        mender.heard(now, message.digest == self.digest)
        joining = now - self._began < JOINING_US or message.size > 2 * self.size
        news = len(self.spread) > 0 and not joining
        if message.digest != self.digest and mender.is_due(now, self.size, joining, news):
            self._send(now, source, Kind.TELL, parts=(0, 0))
        for each in mender.replies(message, own, self._chance):
            if each.records or each.want is not None:
                self._send(now, source, Kind.TELL, records=each.records, want=each.want)
            elif each.part is not None:
                self._send(now, source, Kind.TELL, parts=each.part)

    # -- What is learnt --------------------------------------------------------------------------------

    def _learn(self, now: int, record: MemberRecord, teller: int, source: Address) -> None:
        if record.ident == self.me:
            self._own_name(now, record)
            return
        if record.address is None and record.ident == teller:
            record = replace(record, address=source)
        known = self.table.records.get(record.ident)
        if record.state is MemberState.HEARD:
            if known is not None and (record.life, record.incarnation) >= (known.life, known.incarnation):
                self._word(now, record.ident, now - record.about * 1000)
            return
        if known is None:
            if record.counts:  # of who is not known nobody needs to hear that it is gone
                self._take(now, record, "told")
        elif record.state is MemberState.SUSPECTED and known.counts and record.same_as(known):
            if self.suspicions[record.ident].joins(record.about):
                self._tell_of(record.ident)
        elif record.newer_than(known):
            self._take(now, record, "told")
        elif known.newer_than(record) and self.taken_by is None and teller in self.table.records:
            self.mender.correct(record.ident)  # the teller knows less: it hears so with the next message

    def _take(self, now: int, record: MemberRecord, why: str) -> None:
        """Hold a newer record, or what of it may be believed."""
        known = self.table.records.get(record.ident)
        again = known is not None and record.life == known.life
        if record.state is MemberState.SUSPECTED:
            self._suspect(now, record, record.about, mine=False)
            return
        if record.state is MemberState.GONE and again and known is not None and known.counts:
            fresh = now - self._words.get(record.ident, -self.rules.forget_us) < self.rules.suspicion_us(
                self.size
            )
            if (fresh and self.rules.vouching) or self.is_doubting(now) or self.was_held(now):
                # It is told of its death first, by being probed, and may take that back.
                self._suspect(now, replace(record, state=MemberState.SUSPECTED), record.about, mine=True)
                return
        self._hold(now, record, why)

    def _hold(self, now: int, record: MemberRecord, why: str) -> None:
        known = self.table.records.get(record.ident)
        if record.address is None and known is not None:
            record = replace(record, address=known.address)
        if (
            known is not None
            and known.state is MemberState.GONE
            and record.counts
            and record.life == known.life
        ):
            self._came_back(now, record.ident)
        if not self.table.put(now, record):
            return
        self.suspicions.pop(record.ident, None)
        if not record.counts:
            self._words.pop(record.ident, None)
        old = known.state if known is not None else None
        if known is None or old is not record.state or known.life != record.life:
            self._note(now, record.ident, old, record.state, record, why)
        self._tell_of(record.ident, urgent=known is not None)
        self.mender.changed(now)

    def _came_back(self, now: int, ident: int) -> None:
        times, at = self._returns.get(ident, (0, 0))
        self._returns[ident] = (times + 1 if now - at < AGAIN_SPAN_US << min(times, AGAIN_MOST) else 1, now)

    def _suspect(self, now: int, record: MemberRecord, witness: int, mine: bool) -> None:
        suspicion = self.suspicions.get(record.ident)
        known = self.table.records.get(record.ident)
        if (
            suspicion is None
            or known is None
            or known.incarnation != record.incarnation
            or known.life != record.life
        ):
            if known is None:
                self._note(now, record.ident, None, MemberState.SUSPECTED, record, "told")
            elif known.state is not MemberState.SUSPECTED:
                self._note(
                    now,
                    record.ident,
                    known.state,
                    MemberState.SUSPECTED,
                    record,
                    "no answer" if mine else "told",
                )
            held = replace(record, state=MemberState.SUSPECTED, about=witness)
            if held.address is None and known is not None:
                held = replace(held, address=known.address)
            if not self.table.put(now, held):
                return
            self.suspicions[record.ident] = Suspicion(now, witness, mine)
            self._tell_of(record.ident)
            return
        suspicion.mine = suspicion.mine or mine
        if suspicion.joins(witness):
            if mine:
                self.table.put(now, replace(known, about=witness))
            self._tell_of(record.ident)

    def _expire(self, now: int) -> None:
        """Call those gone whose wait is over, unless too little of the tier is heard to tell."""
        if not self.suspicions:
            return
        base = self.base(now)
        if self.hears_nobody(now) or 2 * (self.size - len(self.suspicions)) <= base:
            self._held_at = now
            self._expire_held(now)
            return
        if self.is_doubting(now) or self.was_held(now):
            return  # what was cut off until now has had no time to be heard
        many = len(self.suspicions) > MANY_PART * base
        stretch = 1.0 + self.health.score / HEALTH_MOST
        for ident, each in list(self.suspicions.items()):
            if each.due(self.rules, self.size, self._words.get(ident), stretch, many) <= now:
                self._give_up(now, ident, "not heard in time")

    def was_held(self, now: int) -> bool:
        """Whether too little of the tier was heard until just now."""
        return now - self._held_at < self.rules.suspicion_us(self.size)

    def _expire_held(self, now: int) -> None:
        """Those of whom it could not be told for very long."""
        for ident, each in list(self.suspicions.items()):
            if now - max(each.since, self._words.get(ident, 0)) > self.rules.forget_us:
                self._give_up(now, ident, "not heard for long")

    def _give_up(self, now: int, ident: int, why: str) -> None:
        self._hold(now, replace(self.table.records[ident], state=MemberState.GONE, about=self._mark), why)

    # -- Oneself ---------------------------------------------------------------------------------------

    def _own_name(self, now: int, record: MemberRecord) -> None:
        """What others say of this one: it is taken back where it is wrong."""
        if record.life > self.life:
            if now - self._began < JOINING_US:
                self.life, self.incarnation = (
                    record.life + 1,
                    0,
                )  # a process before this one, by a clock ahead
                self._tell_of(self.me)
            elif self.taken_by is None and record.counts:
                self.taken_by = record.life
                self._note(
                    now, self.me, MemberState.HERE, MemberState.LEFT, record, "another process has this name"
                )
            return
        if record.life < self.life or record.state is MemberState.HEARD:
            return
        if record.state is MemberState.LEFT:
            self.life, self.incarnation = self.life + 1, 0
            self._tell_of(self.me)
        elif record.state is not MemberState.HERE and record.incarnation >= self.incarnation:
            if record.state is MemberState.SUSPECTED and now - self._doubts_until > 0:
                self.health.worse()
            self.incarnation = max(self.incarnation, record.incarnation)
            self._raise(now)
        elif record.incarnation > self.incarnation:
            self.incarnation = record.incarnation  # another process of this member has said so

    def _raise(self, now: int) -> None:
        """Say again that this one is here, so that it holds against what was said before."""
        if self.incarnation >= INCARNATION_MAX:
            self.life, self.incarnation = self.life + 1, 0
        else:
            self.incarnation += 1
        self._tell_of(self.me)
        if self.rules.doubting:
            for each in self.table.some(
                INDIRECT_PROBES
            ):  # told at once: the wait that it ends may be nearly over
                to = self._address_of(each)
                if to is not None:
                    self._send(now, to, Kind.TELL)

    def resume(self, now: int) -> None:
        """Take part again, after another process of this member has ended that had taken its place."""
        self.left, self.taken_by = False, None
        self._beat = self.due = now
        self.heard_at = self.answered_at = now
        self._count += _COUNT_JUMP
        self._raise(now)

    def leave(self, now: int) -> list[Out]:
        """Say goodbye: no failure, and no life after it but a new one."""
        if self.left or self.taken_by is not None:
            return []
        self.left = True
        told = self.table.some(LEAVE_TOLD)
        for each in told:
            to = self._address_of(each)
            if to is not None:
                self._send(now, to, Kind.TELL, records=(self.own,))
        return self._taken()

    # -- Telling ---------------------------------------------------------------------------------------

    def _told_most(self) -> int:
        return self.rules.told_most(self.size)

    def _tell_of(self, ident: int, urgent: bool = True) -> None:
        self.spread.put((ident, False), self._told_most(), urgent)

    def _record(self, now: int, key: Key) -> MemberRecord | None:
        """The news of a member as it stands now."""
        ident, heard = key
        if ident == self.me:
            return self.own
        record = self.table.records.get(ident)
        if record is None or not heard:
            return record
        at = self._words.get(ident)
        if at is None or ident not in self.suspicions:
            return None
        return replace(record, state=MemberState.HEARD, about=min(max((now - at) // 1000, 0), 0xFFFF))

    def _send(
        self,
        now: int,
        to: Address,
        kind: Kind,
        probe: int = 0,
        target: int = 0,
        *,
        about: int = 0,
        records: Iterable[MemberRecord] = (),
        parts: tuple[int, int] | None = None,
        want: tuple[int, int] | None = None,
    ) -> None:
        """Send a message with as much news as fits; whom it concerns hears first what is said of it."""
        if self.left and not records:
            return
        room = records_in(self.rules.datagram, parts is not None, want is not None)
        first = list(records)
        for ident in (target, about):
            told = self.table.records.get(ident)
            if told is not None and told.state is not MemberState.HERE and told not in first:
                first.append(told)
        for ident in self.mender.corrections(max(room - len(first), 0)):
            known = self.own if ident == self.me else self.table.records.get(ident)
            if known is not None and known not in first:
                first.append(known)
        said = {each.ident for each in first}
        for each in self.spread.take(max(room - len(first), 0), lambda key: self._record(now, key)):
            if each.state is MemberState.HEARD or each.ident not in said:
                first.append(each)
        self._count += 1
        made = self.table.parts(*parts, self.own) if parts is not None else None
        self._out.append(
            Out(
                to,
                Message(
                    kind,
                    self.me,
                    self.life,
                    self.incarnation,
                    self._count,
                    probe,
                    target,
                    self.digest,
                    self.size,
                    tuple(first[:room]),
                    made,
                    want,
                ),
            )
        )

    def _note(
        self,
        now: int,
        ident: int,
        old: MemberState | None,
        new: MemberState | None,
        record: MemberRecord,
        why: str,
    ) -> None:
        if len(self.changes) < CHANGES_MOST:
            self.changes.append(Change(now, ident, old, new, record, why))
