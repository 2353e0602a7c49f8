"""Handles others' records of the local member, and refutes those that are wrong; no I/O, times in microseconds."""

from __future__ import annotations

from topazbank.cluster.address_book import AddressBook
from topazbank.cluster.changes import ChangeLog, ChangeReason
from topazbank.cluster.dissemination import Dissemination
from topazbank.cluster.local_health import LocalHealth
from topazbank.cluster.local_member import LocalMember
from topazbank.cluster.member import MemberRecord, MemberState
from topazbank.cluster.member_table import MemberTable
from topazbank.cluster.outbox import Outbox
from topazbank.cluster.settings import INDIRECT_PROBES, ProtocolSettings
from topazbank.cluster.stall_monitor import StallMonitor
from topazbank.cluster.wire import MessageKind


class Refutation:
    """Refutes records of the local member by raising its incarnation or generation."""

    __slots__ = (
        "_addresses",
        "_changes",
        "_dissemination",
        "_health",
        "_local",
        "_outbox",
        "_settings",
        "_stalls",
        "_table",
    )

    def __init__(
        self,
        local: LocalMember,
        table: MemberTable,
        addresses: AddressBook,
        outbox: Outbox,
        dissemination: Dissemination,
        health: LocalHealth,
        stalls: StallMonitor,
        changes: ChangeLog,
        settings: ProtocolSettings,
    ) -> None:
        self._local = local
        self._table = table
        self._addresses = addresses
        self._outbox = outbox
        self._dissemination = dissemination
        self._health = health
        self._stalls = stalls
        self._changes = changes
        self._settings = settings

    def handle_claim(self, now: int, claim: MemberRecord) -> None:
        """Process a record of the local member that was received in a message."""
        local = self._local
        if claim.generation > local.generation:
            self._handle_newer_generation(now, claim)
        elif claim.generation < local.generation or claim.state is MemberState.LAST_HEARD:
            return
        elif claim.state is MemberState.LEFT:
            local.begin_generation(local.generation + 1)
            self._dissemination.announce(local.ident)
        elif claim.state is not MemberState.ALIVE and claim.incarnation >= local.incarnation:
            if claim.state is MemberState.SUSPECT and self._stalls.is_trusted_again(now):
                self._health.degrade()
            local.incarnation = claim.incarnation
            self.refute(now)
        elif claim.incarnation > local.incarnation:
            local.incarnation = claim.incarnation  # set by another process of this member

    def _handle_newer_generation(self, now: int, claim: MemberRecord) -> None:
        local = self._local
        if local.is_joining(now):
            # The record is of an earlier process of this member, whose clock was ahead.
            local.begin_generation(claim.generation + 1)
            self._dissemination.announce(local.ident)
        elif local.superseded_by is None and claim.is_live:
            local.superseded_by = claim.generation
            self._changes.add(now, MemberState.ALIVE, MemberState.LEFT, claim, ChangeReason.NAME_TAKEN)

    def refute(self, now: int) -> None:
        """Supersede all records of the local member, and gossip the new one."""
        self._local.raise_incarnation()
        self._dissemination.announce(self._local.ident)
        if not self._settings.stall_detection:
            return
        # Sent immediately, since the refuted suspicion may be about to time out.
        for record in self._table.sample_alive(INDIRECT_PROBES):
            address = self._addresses.of_record(record)
            if address is not None:
                self._outbox.send(now, address, MessageKind.GOSSIP)
