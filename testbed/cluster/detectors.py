"""Other failure detectors, for comparison with the program's own in the same virtual network.

Each has the parts of `FailureDetector` that `virtual_time.VirtualCluster` uses.  Plain SWIM and SWIM with Lifeguard
are the program's own detector with its extensions turned off (`ProtocolSettings`).
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import replace
from statistics import NormalDist
from typing import Any

from topazbank.cluster.changes import ChangeLog, ChangeReason
from topazbank.cluster.local_member import LocalMember
from topazbank.cluster.member import MemberRecord, MemberState, ident_of
from topazbank.cluster.member_table import MemberTable
from topazbank.cluster.outbox import OutgoingMessage
from topazbank.cluster.settings import ProtocolSettings
from topazbank.cluster.wire import Message, MessageKind
from topazbank.core.net import Address

HEARTBEAT_MARGIN_PERIODS = 3  # beyond the tolerated pause
GAPS_KEPT = 100  # between heartbeats of one member, for their distribution
GAPS_MIN = 5  # for a distribution
PHI_DEAD = 8.0  # the level at which a member is dead: one error in 10^8 by the fitted distribution
PHI_DEVIATION_MIN_S = 0.05  # a quiet network is no promise


class _Detector:
    """What all of them have."""

    def __init__(self, ident: int, generation: int, now: int, settings: ProtocolSettings) -> None:
        self.settings = settings
        self.local = LocalMember(ident, generation, now)
        self.table = MemberTable(random.Random(0))  # its probe order is not used
        self.suspicions: dict[int, None] = {}
        self.changes = ChangeLog()
        self.due = now

    def message(
        self, to: Address, kind: MessageKind, records: tuple[MemberRecord, ...] = ()
    ) -> OutgoingMessage:
        local = self.local
        sequence = local.next_sequence()
        return OutgoingMessage(to, Message(kind, local.ident, local.generation, 0, sequence, records=records))

    def store(self, now: int, record: MemberRecord) -> None:
        old = self.table.records.get(record.ident)
        self.table.put(now, record)
        old_state = old.state if old is not None else None
        self.changes.add(now, old_state, record.state, record, ChangeReason.REPORTED)


class Heartbeats(_Detector):
    """All send heartbeats to all; a member that is silent for too long is dead, by each observer's own count."""

    def __init__(self, ident: int, generation: int, now: int, settings: ProtocolSettings, *_: Any) -> None:
        super().__init__(ident, generation, now, settings)
        self.heard_at: dict[int, int] = {}

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Declare the silent dead, and send a heartbeat to all, dead members included: they may be back."""
        self.expire(now)
        self.due = now + self.settings.probe_period_us
        addresses = [record.address for record in self.table.records.values()]
        return [self.message(address, MessageKind.GOSSIP) for address in addresses if address is not None]

    def handle(self, now: int, message: Message, source: Address) -> list[OutgoingMessage]:
        """Take a heartbeat."""
        self.hear(now, message.sender)
        old = self.table.records.get(message.sender)
        if old is None or not old.is_live or old.generation < message.generation:
            record = MemberRecord(message.sender, message.generation, 0, MemberState.ALIVE, source)
            self.store(now, record)
        return []

    def hear(self, now: int, ident: int) -> None:
        """A heartbeat of a member has arrived."""
        self.heard_at[ident] = now

    def silence_us(self, now: int, ident: int) -> int:
        """Return for how long a member has been silent."""
        return now - self.heard_at.get(ident, self.local.started_at)

    def is_overdue(self, now: int, ident: int) -> bool:
        """Whether a member has been silent for too long."""
        margin_us = HEARTBEAT_MARGIN_PERIODS * self.settings.probe_period_us
        return self.silence_us(now, ident) > self.settings.tolerated_pause_us + margin_us

    def expire(self, now: int) -> list[int]:
        """Declare dead all that are overdue; return them."""
        overdue = [
            record
            for ident, record in self.table.records.items()
            if record.is_live and self.is_overdue(now, ident)
        ]
        for record in overdue:
            self.store(now, replace(record, state=MemberState.DEAD))
        return [record.ident for record in overdue]


class PhiAccrual(Heartbeats):
    """The same heartbeats; the timeout follows the distribution of each member's gaps."""

    def __init__(self, ident: int, generation: int, now: int, settings: ProtocolSettings, *_: Any) -> None:
        super().__init__(ident, generation, now, settings)
        self._gaps_s: dict[int, deque[float]] = {}

    def hear(self, now: int, ident: int) -> None:
        """Note the gap since the last heartbeat."""
        last = self.heard_at.get(ident)
        if last is not None:
            self._gaps_s.setdefault(ident, deque(maxlen=GAPS_KEPT)).append((now - last) / 1e6)
        super().hear(now, ident)

    def is_overdue(self, now: int, ident: int) -> bool:
        """Whether phi, the level of doubt, is that of a dead member."""
        gaps = self._gaps_s.get(ident)
        silence_s = self.silence_us(now, ident) / 1e6
        if gaps is None or len(gaps) < GAPS_MIN:
            return super().is_overdue(now, ident)
        mean_gap = sum(gaps) / len(gaps)
        mean = mean_gap + self.settings.tolerated_pause_us / 1e6
        deviation = math.sqrt(sum((gap - mean_gap) ** 2 for gap in gaps) / len(gaps))
        chance_later = 1.0 - NormalDist(mean, max(deviation, PHI_DEVIATION_MIN_S)).cdf(silence_s)
        return -math.log10(max(chance_later, 1e-300)) > PHI_DEAD


ENSEMBLE = ident_of(
    "0"
)  # this member plays the ensemble: one process that never fails, which favours the method
SESSION_MARGIN_PERIODS = 6  # beyond the tolerated pause
DEATHS_REPEATED_US = 10_000_000  # for so long each answer of the ensemble names a member that died


class Ephemeral(Heartbeats):
    """Ephemeral nodes: each member keeps a session with an ensemble, which tells all of the sessions that end.

    A heartbeat in each period stands for a connection that repeats what is lost; a session survives six lost ones.
    """

    def __init__(self, ident: int, generation: int, now: int, settings: ProtocolSettings, *more: Any) -> None:
        super().__init__(ident, generation, now, settings, *more)
        self._died_at: dict[int, int] = {}  # sessions that have ended; the ensemble's own

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Send a heartbeat to the ensemble; at the ensemble, tell all of sessions that have ended."""
        self.due = now + self.settings.probe_period_us
        if self.local.ident != ENSEMBLE:
            ensemble = self.table.records[ENSEMBLE].address
            assert ensemble is not None
            return [self.message(ensemble, MessageKind.PING)]
        died = self.expire(now)
        self._died_at.update(dict.fromkeys(died, now))
        if not died:
            return []
        watchers = [record.address for record in self.table.records.values() if record.is_live]
        return [self._notice(now, address) for address in watchers if address is not None]

    def is_overdue(self, now: int, ident: int) -> bool:
        """Whether a member's session has ended."""
        margin_us = SESSION_MARGIN_PERIODS * self.settings.probe_period_us
        return self.silence_us(now, ident) > self.settings.tolerated_pause_us + margin_us

    def _notice(self, now: int, to: Address) -> OutgoingMessage:
        recent = [ident for ident, at in self._died_at.items() if now - at < DEATHS_REPEATED_US]
        return self.message(to, MessageKind.GOSSIP, tuple(self.table.records[ident] for ident in recent))

    def handle(self, now: int, message: Message, source: Address) -> list[OutgoingMessage]:
        """Take a heartbeat at the ensemble, or its notice at a member."""
        if self.local.ident == ENSEMBLE:
            return self._handle_heartbeat(now, message, source)
        dead = {record.ident for record in message.records}
        for ident, record in list(self.table.records.items()):
            if (ident in dead) is record.is_live:
                state = MemberState.DEAD if ident in dead else MemberState.ALIVE
                self.store(now, replace(record, state=state))
        return []

    def _handle_heartbeat(self, now: int, message: Message, source: Address) -> list[OutgoingMessage]:
        self.hear(now, message.sender)
        self._died_at.pop(message.sender, None)
        old = self.table.records[message.sender]
        if not old.is_live:
            self.store(now, replace(old, state=MemberState.ALIVE))
        return [self._notice(now, source)]


RINGS = 10  # observers of each member
HIGH_WATERMARK, LOW_WATERMARK = 9, 3  # alerts that settle a member's removal, and that make a vote wait


class Rapid(_Detector):
    """Multi-process cut detection: a death is what three quarters of the members vote for alike (Rapid, ATC 2018).

    Only removals are simulated: alerts, the two watermarks, and the vote of the fast path.
    """

    def __init__(self, ident: int, generation: int, now: int, settings: ProtocolSettings, *_: Any) -> None:
        super().__init__(ident, generation, now, settings)
        self._subjects: list[int] = []
        self._observers: dict[int, list[int]] = {}  # of each member, by ring
        self._answered_at: dict[int, int] = {}
        self._alerts: dict[int, set[int]] = {}  # observers that alert, by member
        self._votes: dict[frozenset[int], set[int]] = {}
        self._vote: frozenset[int] = frozenset()

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Ping the subjects; repeat alerts and the vote until they are settled, since any may be lost."""
        self.due = now + self.settings.probe_period_us
        if not self._subjects:
            self._subjects = self._choose_subjects()
        live = [ident for ident in self._subjects if self.table.records[ident].is_live]
        messages = [self._message_to(ident, MessageKind.PING) for ident in live]
        margin_us = HEARTBEAT_MARGIN_PERIODS * self.settings.probe_period_us
        timeout_us = self.settings.tolerated_pause_us + margin_us
        began = self.local.started_at
        overdue = [ident for ident in live if now - self._answered_at.get(ident, began) > timeout_us]
        if overdue:
            messages += self._broadcast(now, MemberState.SUSPECT, overdue)
        if self._vote:
            messages += self._broadcast(now, MemberState.DEAD, self._vote)
        return messages

    def _choose_subjects(self) -> list[int]:
        """Return the successors of this member in all rings; note all members' observers by the way."""
        members = [self.local.ident, *self.table.records]
        for ring in range(RINGS):
            order = sorted(members, key=lambda ident: hashlib.blake2b(b"%d.%d" % (ring, ident)).digest())
            for predecessor, ident in zip([order[-1], *order], order, strict=False):
                self._observers.setdefault(ident, []).append(predecessor)
        return [ident for ident in self.table.records if self.local.ident in self._observers[ident]]

    def _message_to(
        self, ident: int, kind: MessageKind, records: tuple[MemberRecord, ...] = ()
    ) -> OutgoingMessage:
        address = self.table.records[ident].address
        assert address is not None
        return self.message(address, kind, records)

    def _broadcast(self, now: int, state: MemberState, idents: Collection[int]) -> list[OutgoingMessage]:
        """Send alerts or the own vote to all live members, and count them here, too."""
        records = tuple(replace(self.table.records[ident], state=state) for ident in sorted(idents))
        for ident in idents:
            self._count_alert(state, self.local.ident, ident)
        if state is MemberState.DEAD:
            self._count_vote(now, self.local.ident, frozenset(idents))
        live = [ident for ident, record in self.table.records.items() if record.is_live]
        return [self._message_to(ident, MessageKind.GOSSIP, records) for ident in live]

    def handle(self, now: int, message: Message, source: Address) -> list[OutgoingMessage]:
        """Answer a ping; count alerts and votes."""
        if message.kind is MessageKind.PING:
            return [self.message(source, MessageKind.ACK)]
        self._answered_at[message.sender] = now
        for record in message.records:
            self._count_alert(record.state, message.sender, record.ident)
        vote = frozenset(record.ident for record in message.records if record.state is MemberState.DEAD)
        if vote:
            self._count_vote(now, message.sender, vote)
        return []

    def _count_alert(self, state: MemberState, observer: int, ident: int) -> None:
        record = self.table.records.get(ident)
        if state is not MemberState.SUSPECT or record is None or not record.is_live:
            return
        self._alerts.setdefault(ident, set()).add(observer)
        counts = {
            subject: sum(observer in alerting for observer in self._observers.get(subject, ()))
            for subject, alerting in self._alerts.items()
        }
        is_unsettled = any(LOW_WATERMARK <= count < HIGH_WATERMARK for count in counts.values())
        if not self._vote and not is_unsettled:
            self._vote = frozenset(subject for subject, count in counts.items() if count >= HIGH_WATERMARK)

    def _count_vote(self, now: int, voter: int, vote: frozenset[int]) -> None:
        known = vote & self.table.records.keys()
        if not _all_live(self.table.records[ident] for ident in known):
            return
        voters = self._votes.setdefault(vote, set())
        voters.add(voter)
        if 4 * len(voters) < 3 * self.table.cluster_size:
            return
        for ident in known:
            self.store(now, replace(self.table.records[ident], state=MemberState.DEAD))
            self._alerts.pop(ident, None)
        self._vote = frozenset()
        self._votes.clear()


def _all_live(records: Iterable[MemberRecord]) -> bool:
    return all(record.is_live for record in records)
