"""Other ways to find out who is here, beside the program's own, on the same network of played time.

Each has what `played.Played` needs of a detector.  Plain SWIM and SWIM with Lifeguard are the program's own detector
with its further parts off (`Rules`).
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import replace
from statistics import NormalDist
from typing import Any

from topazbank.core.net import Address
from topazbank.tier.detector import Change, Out
from topazbank.tier.member import Record, State
from topazbank.tier.rules import Rules
from topazbank.tier.table import Table
from topazbank.tier.wire import Kind, Message

GAPS_KEPT = 100  # between heartbeats of one member, for its distribution
PHI_GONE = 8.0  # the level of doubt at which a member is gone: one wrong in 10^8 by the fitted distribution
PHI_LEAST_S = 0.05  # standard deviation at least: a quiet network is no promise


class Heartbeats:
    """All tell all that they are here; who is silent for the wait is gone, by each one's own count."""

    def __init__(self, me: int, life: int, now: int, rules: Rules, *_: Any) -> None:
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
            self._hold(now, Record(message.sender, message.life, 0, State.HERE, source))
        return []

    def heard_from(self, now: int, ident: int) -> None:
        self.heard[ident] = now

    def is_over(self, now: int, ident: int) -> bool:
        """Whether a member has been silent for too long."""
        return now - self.heard.get(ident, self._began) > self.rules.pause_us + 3 * self.rules.period_us

    def _judge(self, now: int) -> None:
        for ident, record in list(self.table.records.items()):
            if record.counts and self.is_over(now, ident):
                self._hold(now, replace(record, state=State.GONE))

    def _hold(self, now: int, record: Record) -> None:
        old = self.table.records.get(record.ident)
        self.table.put(now, record)
        self.changes.append(Change(now, record.ident, old.state if old else None, record.state, record, ""))


class PhiAccrual(Heartbeats):
    """The same heartbeats; the wait goes by how each member's have come so far."""

    def __init__(self, me: int, life: int, now: int, rules: Rules, *_: Any) -> None:
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
