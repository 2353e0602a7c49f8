"""Applies received records and local findings to the member table; the only place that changes member states.

A newer record replaces an older one, with one exception.  A reported death is not accepted if the member was heard
recently, or if this process recently stalled or lost its majority and so can't judge.  In these cases the member
becomes suspect, is probed, and may refute.  No I/O; times in microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from topazbank.cluster.anti_entropy import AntiEntropy
from topazbank.cluster.changes import ChangeLog, ChangeReason
from topazbank.cluster.dissemination import Dissemination
from topazbank.cluster.flap_damping import FlapDamping
from topazbank.cluster.last_heard import LastHeard
from topazbank.cluster.local_member import LocalMember
from topazbank.cluster.member import MemberRecord, MemberState
from topazbank.cluster.member_table import MemberTable
from topazbank.cluster.quorum import Quorum
from topazbank.cluster.replay_guard import ReplayGuard
from topazbank.cluster.settings import ProtocolSettings
from topazbank.cluster.stall_monitor import StallMonitor
from topazbank.cluster.suspicion import Suspicion
from topazbank.cluster.wire import Message
from topazbank.core.net import Address


class Membership:
    """The records, suspicions and flaps of the other members."""

    def __init__(
        self,
        local: LocalMember,
        table: MemberTable,
        suspicions: dict[int, Suspicion],
        last_heard: LastHeard,
        dissemination: Dissemination,
        anti_entropy: AntiEntropy,
        quorum: Quorum,
        stalls: StallMonitor,
        changes: ChangeLog,
        settings: ProtocolSettings,
    ) -> None:
        """`suspicions`: a mapping shared with its readers; only this class modifies it."""
        self._local = local
        self._table = table
        self._suspicions = suspicions
        self._last_heard = last_heard
        self._dissemination = dissemination
        self._anti_entropy = anti_entropy
        self._quorum = quorum
        self._stalls = stalls
        self._changes = changes
        self._settings = settings
        self._replays = ReplayGuard()
        self.flaps = FlapDamping()

    @property
    def suspicions(self) -> Mapping[int, Suspicion]:
        """The current suspicions, by ident of the suspect."""
        return self._suspicions

    def load(self, now: int, record: MemberRecord) -> None:
        """Load a record handed over by the predecessor of this process."""
        self._table.put(now, record)
        if record.state is MemberState.SUSPECT:
            self._suspicions[record.ident] = Suspicion(now, self._local.short_ident, found_locally=False)

    # -- Messages of members ---------------------------------------------------------------------------

    def is_outdated(self, message: Message) -> bool:
        """Whether a message is a replay, or comes from an earlier generation than the known one."""
        known = self._table.records.get(message.sender)
        if self._replays.is_replay(message):
            return True
        return known is not None and message.generation < known.generation

    def record_sender(self, now: int, message: Message, source: Address) -> bool:
        """Record that a message's sender is alive; return False if the table has no room for it."""
        known = self._table.records.get(message.sender)
        record = MemberRecord(
            message.sender, message.generation, message.incarnation, MemberState.ALIVE, source
        )
        if known is None or record.supersedes(known):
            self._accept(now, record, ChangeReason.OWN_MESSAGE)
        elif known.address != source and known.generation == message.generation:
            self._table.put(now, replace(known, address=source))
        if message.sender not in self._table.records:
            return False
        self._replays.accept(message)
        return True

    def note_heard(self, now: int, ident: int, heard_at: int) -> None:
        """Record that some member heard this one at `heard_at`; gossip that if this one is suspect."""
        if not self._last_heard.update(ident, heard_at):
            return
        if ident not in self._suspicions or not self._settings.last_heard_gossip:
            return
        if self._last_heard.claim_gossip_slot(now, ident):
            self._dissemination.announce_last_heard(ident)

    # -- Records ---------------------------------------------------------------------------------------

    def apply(self, now: int, record: MemberRecord, reporter: int, source: Address) -> None:
        """Apply a record of another member, reported in a message from `source`."""
        if record.address is None and record.ident == reporter:
            record = replace(record, address=source)
        known = self._table.records.get(record.ident)
        if record.state is MemberState.LAST_HEARD:
            self._apply_last_heard(now, record, known)
        elif known is None:
            if record.is_live:  # the death of an unknown member is not worth recording
                self._accept(now, record, ChangeReason.REPORTED)
        elif record.state is MemberState.SUSPECT and known.is_live and record.ranks_equal(known):
            if self._suspicions[record.ident].confirm(record.detail):
                self._dissemination.announce(record.ident)
        elif record.supersedes(known):
            self._accept(now, record, ChangeReason.REPORTED)
        elif (
            known.supersedes(record) and self._local.superseded_by is None and reporter in self._table.records
        ):
            self._anti_entropy.correct(record.ident)

    def _apply_last_heard(self, now: int, record: MemberRecord, known: MemberRecord | None) -> None:
        if known is None:
            return
        if (record.generation, record.incarnation) >= (known.generation, known.incarnation):
            self.note_heard(now, record.ident, now - record.detail * 1000)

    def _accept(self, now: int, record: MemberRecord, reason: ChangeReason) -> None:
        """Apply a record that supersedes the known one, unless it reports a doubtful death."""
        if record.state is MemberState.SUSPECT:
            self.suspect(now, record, record.detail, found_locally=False)
        elif self._is_doubtful_death(now, record):
            # Local suspects are pinged, so the member learns of the report and can refute it.
            suspect = replace(record, state=MemberState.SUSPECT)
            self.suspect(now, suspect, record.detail, found_locally=True)
        else:
            self._store(now, record, reason)

    def _is_doubtful_death(self, now: int, record: MemberRecord) -> bool:
        known = self._table.records.get(record.ident)
        if record.state is not MemberState.DEAD or known is None or not known.is_live:
            return False
        if record.generation != known.generation:
            return False
        recent_us = self._settings.suspicion_min_us(self._table.cluster_size)
        if self._settings.last_heard_gossip and self._last_heard.was_recent(now, record.ident, recent_us):
            return True
        return self._stalls.is_distrusting(now) or self._quorum.was_lost_recently(now)

    def _store(self, now: int, record: MemberRecord, reason: ChangeReason) -> None:
        known = self._table.records.get(record.ident)
        if known is not None and record.address is None:
            record = replace(record, address=known.address)
        if known is not None and _returns_from_dead(known, record):
            self.flaps.note_return(now, record.ident)
        if not self._table.put(now, record):
            return
        self._suspicions.pop(record.ident, None)
        if not record.is_live:
            self._last_heard.clear(record.ident)
        old = known.state if known is not None else None
        if known is None or old is not record.state or known.generation != record.generation:
            self._changes.add(now, old, record.state, record, reason)
        self._dissemination.announce(record.ident, urgent=known is not None)
        self._anti_entropy.note_change(now)

    # -- Suspicions ------------------------------------------------------------------------------------

    def suspect_unanswered(self, now: int, ident: int, generation: int) -> None:
        """Suspect a member whose probe has failed."""
        record = self._table.records.get(ident)
        if record is not None and record.is_live and record.generation == generation:
            self.suspect(now, record, self._local.short_ident, found_locally=True)

    def suspect(self, now: int, record: MemberRecord, reporter: int, found_locally: bool) -> None:
        """Begin a suspicion of this record's incarnation, or confirm the existing one."""
        suspicion = self._suspicions.get(record.ident)
        known = self._table.records.get(record.ident)
        if suspicion is None or known is None or not _same_incarnation(known, record):
            self._begin_suspicion(now, record, reporter, found_locally)
            return
        suspicion.found_locally = suspicion.found_locally or found_locally
        if suspicion.confirm(reporter):
            if found_locally:
                self._table.put(now, replace(known, detail=reporter))
            self._dissemination.announce(record.ident)

    def _begin_suspicion(self, now: int, record: MemberRecord, reporter: int, found_locally: bool) -> None:
        known = self._table.records.get(record.ident)
        if known is None:
            self._changes.add(now, None, MemberState.SUSPECT, record, ChangeReason.REPORTED)
        elif known.state is not MemberState.SUSPECT:
            reason = ChangeReason.PROBE_FAILED if found_locally else ChangeReason.REPORTED
            self._changes.add(now, known.state, MemberState.SUSPECT, record, reason)
        suspect = replace(record, state=MemberState.SUSPECT, detail=reporter)
        if suspect.address is None and known is not None:
            suspect = replace(suspect, address=known.address)
        if not self._table.put(now, suspect):
            return
        self._suspicions[record.ident] = Suspicion(now, reporter, found_locally)
        self._dissemination.announce(record.ident)

    def restart_suspicions(self, now: int) -> None:
        """Restart all suspicion timeouts, after a stall."""
        for suspicion in self._suspicions.values():
            suspicion.since = now

    def declare_dead(self, now: int, ident: int, reason: ChangeReason) -> None:
        """Declare a suspect dead, which ends its suspicion."""
        record = replace(self._table.records[ident], state=MemberState.DEAD, detail=self._local.short_ident)
        self._store(now, record, reason)

    # -- Tombstones ------------------------------------------------------------------------------------

    def expire_tombstones(self, now: int) -> None:
        """Remove the members whose tombstones have expired."""
        expired = [
            ident
            for ident, since in self._table.tombstones.items()
            if now - since > self._settings.tombstone_us
        ]
        for ident in expired:
            self._forget(now, ident)

    def _forget(self, now: int, ident: int) -> None:
        record = self._table.records[ident]
        self._table.remove(ident)
        self._last_heard.forget(ident)
        self._replays.forget(ident)
        self.flaps.forget(ident)
        self._suspicions.pop(ident, None)
        self._changes.add(now, record.state, None, record, ChangeReason.TOMBSTONE_EXPIRED)


def _same_incarnation(first: MemberRecord, second: MemberRecord) -> bool:
    return first.incarnation == second.incarnation and first.generation == second.generation


def _returns_from_dead(known: MemberRecord, record: MemberRecord) -> bool:
    """Whether a record makes a dead member live again within the same generation."""
    was_dead = known.state is MemberState.DEAD
    return was_dead and record.is_live and record.generation == known.generation
