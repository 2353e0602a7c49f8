"""Other ways to find out who is here, beside the program's own, on the same network of played time.

Each has what `played.Played` needs of a detector.  Plain SWIM and SWIM with Lifeguard are the program's own detector
with its further parts off (`ProtocolSettings`).
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import deque
from dataclasses import replace
from statistics import NormalDist
from typing import Any

from topazbank.cluster.failure_detector import Change, Out
from topazbank.cluster.member import MemberRecord, MemberState, ident_of
from topazbank.cluster.member_table import Table
from topazbank.cluster.settings import ProtocolSettings
from topazbank.cluster.wire import Kind, Message
from topazbank.core.net import Address

GAPS_KEPT = 100  # between heartbeats of one member, for its distribution
PHI_GONE = 8.0  # the level of doubt at which a member is gone: one wrong in 10^8 by the fitted distribution
PHI_LEAST_S = 0.05  # standard deviation at least: a quiet network is no promise


class Heartbeats:
    """All tell all that they are here; who is silent for the wait is gone, by each one's own count."""

    def __init__(self, me: int, life: int, now: int, rules: ProtocolSettings, *_: Any) -> None:
        self.me, self.life, self.incarnation, self.rules = me, life, 0, rules
        self.table = Table(random.Random(0))  # its turns are not used
        self.suspicions: dict[int, None] = {}
        self.changes: list[Change] = []
        self.due = now
        self.heard: dict[int, int] = {}
        self._began = now
        self._count = 0

    def tick(self, now: int) -> list[Out]:
        self._judge(now)
        self.due = now + self.rules.period_us
        self._count += 1
        out = []
        for record in self.table.records.values():
            if record.address is not None:  # the gone too: they may be back
                message = Message(Kind.TELL, self.me, self.life, 0, self._count)
                out.append(Out(record.address, message))
        return out

    def handle(self, now: int, message: Message, source: Address) -> list[Out]:
        self.heard_from(now, message.sender)
        old = self.table.records.get(message.sender)
        if old is None or not old.counts or old.life < message.life:
            self._hold(now, MemberRecord(message.sender, message.life, 0, MemberState.HERE, source))
        return []

    def heard_from(self, now: int, ident: int) -> None:
        self.heard[ident] = now

    def is_over(self, now: int, ident: int) -> bool:
        """Whether a member has been silent for too long."""
        return now - self.heard.get(ident, self._began) > self.rules.pause_us + 3 * self.rules.period_us

    def _judge(self, now: int) -> None:
        for ident, record in list(self.table.records.items()):
            if record.counts and self.is_over(now, ident):
                self._hold(now, replace(record, state=MemberState.GONE))

    def _hold(self, now: int, record: MemberRecord) -> None:
        old = self.table.records.get(record.ident)
        self.table.put(now, record)
        self.changes.append(Change(now, record.ident, old.state if old else None, record.state, record, ""))


class PhiAccrual(Heartbeats):
    """The same heartbeats; the wait goes by how each member's have come so far."""

    def __init__(self, me: int, life: int, now: int, rules: ProtocolSettings, *_: Any) -> None:
        super().__init__(me, life, now, rules)
        self._gaps: dict[int, deque[float]] = {}

    def heard_from(self, now: int, ident: int) -> None:
        last = self.heard.get(ident)
        if last is not None:
            self._gaps.setdefault(ident, deque(maxlen=GAPS_KEPT)).append((now - last) / 1e6)
        super().heard_from(now, ident)

    def is_over(self, now: int, ident: int) -> bool:
        gaps = self._gaps.get(ident)
        since = (now - self.heard.get(ident, self._began)) / 1e6
        if gaps is None or len(gaps) < 5:
            return super().is_over(now, ident)
        mean = sum(gaps) / len(gaps) + self.rules.pause_us / 1e6  # the pause that is to be borne
        spread = math.sqrt(sum((each - sum(gaps) / len(gaps)) ** 2 for each in gaps) / len(gaps))
        late = 1.0 - NormalDist(mean, max(spread, PHI_LEAST_S)).cdf(since)
        return -math.log10(max(late, 1e-300)) > PHI_GONE


KEEPER = ident_of("0")  # plays the ensemble: one place that never fails, which favours this way
SESSION_PERIODS = 6  # beyond the pause that is borne
GONE_TOLD_US = 10_000_000  # for so long each answer of the ensemble names who has gone


class Ephemeral(Heartbeats):
    """Ephemeral nodes: each keeps a session with the ensemble, whose word on who is gone is everybody's.

    A heartbeat each period stands for a connection that repeats what is lost; a session bears six of them lost.
    """

    def __init__(self, me: int, life: int, now: int, rules: ProtocolSettings, *more: Any) -> None:
        super().__init__(me, life, now, rules, *more)
        self._gone: dict[int, int] = {}  # sessions that have ended, and when; the ensemble's own

    def tick(self, now: int) -> list[Out]:
        self.due = now + self.rules.period_us
        self._count += 1
        if self.me != KEEPER:
            keeper = self.table.records[KEEPER].address
            assert keeper is not None
            return [Out(keeper, Message(Kind.PING, self.me, self.life, 0, self._count))]
        before = len(self._gone)
        for ident, record in list(self.table.records.items()):
            if record.counts and self.is_over(now, ident):
                self._hold(now, replace(record, state=MemberState.GONE))
                self._gone[ident] = now
        if len(self._gone) == before:
            return []
        watchers = [each.address for each in self.table.records.values() if each.counts]
        return [Out(address, self._told(now)) for address in watchers if address is not None]

    def is_over(self, now: int, ident: int) -> bool:
        since = now - self.heard.get(ident, self._began)
        return since > self.rules.pause_us + SESSION_PERIODS * self.rules.period_us

    def _told(self, now: int) -> Message:
        news = [self.table.records[ident] for ident, at in self._gone.items() if now - at < GONE_TOLD_US]
        return Message(Kind.TELL, self.me, self.life, 0, self._count, news=tuple(news))

    def handle(self, now: int, message: Message, source: Address) -> list[Out]:
        if self.me == KEEPER:
            self.heard_from(now, message.sender)
            self._gone.pop(message.sender, None)
            old = self.table.records[message.sender]
            if not old.counts:
                self._hold(now, replace(old, state=MemberState.HERE))
            return [Out(source, self._told(now))]
        gone = {each.ident for each in message.news}
        for ident, record in list(self.table.records.items()):
            if (ident in gone) is record.counts:
                self._hold(
                    now, replace(record, state=MemberState.GONE if ident in gone else MemberState.HERE)
                )
        return []


RINGS, HIGH, LOW = 10, 9, 3  # observers of each; their alerts that settle a change, and that make it wait


class Rapid:
    """Cuts agreed by several observers: who is gone is what three quarters vote for alike (Rapid, ATC 2018).

    Only the way out is played: alerts, the two watermarks, the vote of the fast path.
    """

    def __init__(self, me: int, life: int, now: int, rules: ProtocolSettings, *_: Any) -> None:
        self.me, self.life, self.incarnation, self.rules = me, life, 0, rules
        self.table = Table(random.Random(0))
        self.suspicions: dict[int, None] = {}
        self.changes: list[Change] = []
        self.due = self._began = now
        self._subjects: list[int] = []
        self._observers: dict[int, list[int]] = {}  # of each, by ring
        self._answered: dict[int, int] = {}
        self._alerts: dict[int, set[int]] = {}  # by whom, of each
        self._votes: dict[frozenset[int], set[int]] = {}
        self._vote: frozenset[int] = frozenset()
        self._count = 0

    def tick(self, now: int) -> list[Out]:
        self.due = now + self.rules.period_us
        if not self._subjects:
            self._subjects = self._watched()
        out = [self._to(each, Kind.PING) for each in self._subjects if self.table.records[each].counts]
        late = self.rules.pause_us + 3 * self.rules.period_us
        mine = [each for each in self._subjects if now - self._answered.get(each, self._began) > late]
        mine = [each for each in mine if self.table.records[each].counts]
        if mine:  # told again until it is settled, since any may be lost
            out += self._to_all(now, MemberState.SUSPECTED, mine)
        if self._vote:
            out += self._to_all(now, MemberState.GONE, self._vote)
        return out

    def _watched(self) -> list[int]:
        """Who comes after this one in any ring; and by the way who comes before each."""
        everyone = [self.me, *self.table.records]
        for ring in range(RINGS):
            order = sorted(everyone, key=lambda each: hashlib.blake2b(b"%d.%d" % (ring, each)).digest())
            for before, each in zip([order[-1], *order], order, strict=False):
                self._observers.setdefault(each, []).append(before)
        return [each for each in self.table.records if self.me in self._observers[each]]

    def _to(self, ident: int, kind: Kind, news: tuple[MemberRecord, ...] = ()) -> Out:
        self._count += 1
        address = self.table.records[ident].address
        assert address is not None
        return Out(address, Message(kind, self.me, self.life, 0, self._count, news=news))

    def _to_all(self, now: int, state: MemberState, idents: Any) -> list[Out]:
        news = tuple(replace(self.table.records[each], state=state) for each in sorted(idents))
        for each in idents:
            self._hear(now, state, self.me, each)
        if state is MemberState.GONE:
            self._voted(now, self.me, frozenset(idents))
        return [self._to(each, Kind.TELL, news) for each, known in self.table.records.items() if known.counts]

    def handle(self, now: int, message: Message, source: Address) -> list[Out]:
        if message.kind is Kind.PING:
            return [Out(source, Message(Kind.ACK, self.me, self.life, 0, self._count))]
        self._answered[message.sender] = now
        for each in message.news:
            self._hear(now, each.state, message.sender, each.ident)
        voted = frozenset(each.ident for each in message.news if each.state is MemberState.GONE)
        if voted:
            self._voted(now, message.sender, voted)
        return []

    def _hear(self, now: int, state: MemberState, by: int, ident: int) -> None:
        if (
            state is MemberState.SUSPECTED
            and ident in self.table.records
            and self.table.records[ident].counts
        ):
            self._alerts.setdefault(ident, set()).add(by)
            counts = {
                i: sum(one in by for one in self._observers.get(i, ())) for i, by in self._alerts.items()
            }
            if not self._vote and not any(LOW <= each < HIGH for each in counts.values()):
                self._vote = frozenset(i for i, each in counts.items() if each >= HIGH)

    def _voted(self, now: int, by: int, vote: frozenset[int]) -> None:
        if not all(self.table.records[each].counts for each in vote if each in self.table.records):
            return
        voters = self._votes.setdefault(vote, set())
        voters.add(by)
        if 4 * len(voters) < 3 * (self.table.counted + 1):
            return
        for ident in vote & self.table.records.keys():
            old = self.table.records[ident]
            self.table.put(now, replace(old, state=MemberState.GONE))
            self.changes.append(Change(now, ident, old.state, MemberState.GONE, old, "agreed"))
            self._alerts.pop(ident, None)
        self._vote = frozenset()
        self._votes.clear()
