"""Builds outgoing messages and fills their free space with membership updates; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from topazbank.cluster.anti_entropy import AntiEntropy
from topazbank.cluster.dissemination import Dissemination
from topazbank.cluster.local_member import LocalMember
from topazbank.cluster.member import MemberRecord, MemberState, digest_of
from topazbank.cluster.member_table import MemberTable
from topazbank.cluster.settings import ProtocolSettings
from topazbank.cluster.wire import IdentPrefix, Message, MessageKind, record_capacity
from topazbank.core.net import Address


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message and its receiver."""

    to: Address
    message: Message


class Outbox:
    """The queue of messages to send."""

    __slots__ = ("_anti_entropy", "_dissemination", "_local", "_messages", "_settings", "_table")

    def __init__(
        self,
        local: LocalMember,
        table: MemberTable,
        dissemination: Dissemination,
        anti_entropy: AntiEntropy,
        settings: ProtocolSettings,
    ) -> None:
        self._local = local
        self._table = table
        self._dissemination = dissemination
        self._anti_entropy = anti_entropy
        self._settings = settings
        self._messages: list[OutgoingMessage] = []

    @property
    def digest(self) -> int:
        """The digest of all live members, the local one included."""
        return self._table.digest ^ (0 if self._local.left else digest_of(self._local.record))

    def take(self) -> list[OutgoingMessage]:
        """Remove and return the queued messages, in order."""
        messages, self._messages = self._messages, []
        return messages

    def send(
        self,
        now: int,
        to: Address,
        kind: MessageKind,
        probe_id: int = 0,
        target: int = 0,
        *,
        subject: int = 0,
        records: Iterable[MemberRecord] = (),
        digest_prefix: IdentPrefix | None = None,
        requested_prefix: IdentPrefix | None = None,
    ) -> None:
        """Queue a message.

        Records are added in this order: `records`; those of `target` and `subject` unless alive, so that a suspect
        learns of the suspicion; corrections; gossip.
        """
        included = list(records)
        if self._local.left and not included:
            return
        capacity = record_capacity(
            self._settings.datagram_bytes,
            with_digest_part=digest_prefix is not None,
            with_request=requested_prefix is not None,
        )
        self._fill(now, included, (target, subject), capacity)
        local_record = self._local.record
        message = Message(
            kind,
            local_record.ident,
            local_record.generation,
            local_record.incarnation,
            self._local.next_sequence(),
            probe_id,
            target,
            self.digest,
            self._table.cluster_size,
            tuple(included[:capacity]),
            None if digest_prefix is None else self._table.digest_part(digest_prefix, local_record),
            requested_prefix,
        )
        self._messages.append(OutgoingMessage(to, message))

    def _fill(self, now: int, records: list[MemberRecord], subjects: Iterable[int], capacity: int) -> None:
        """Add records up to the capacity of the message."""
        self._add_reports(records, subjects)
        self._add_corrections(records, capacity)
        self._add_gossip(now, records, capacity)

    def _add_reports(self, records: list[MemberRecord], idents: Iterable[int]) -> None:
        """Add the records of those members that are not alive, so that a receiver can refute its local_record."""
        for ident in idents:
            record = self._table.records.get(ident)
            if record is not None and record.state is not MemberState.ALIVE and record not in records:
                records.append(record)

    def _add_corrections(self, records: list[MemberRecord], capacity: int) -> None:
        for ident in self._anti_entropy.take_corrections(max(capacity - len(records), 0)):
            record = self._dissemination.current_record(ident)
            if record is not None and record not in records:
                records.append(record)

    def _add_gossip(self, now: int, records: list[MemberRecord], capacity: int) -> None:
        included = {record.ident for record in records}
        for record in self._dissemination.take(now, max(capacity - len(records), 0)):
            if record.state is MemberState.LAST_HEARD or record.ident not in included:
                records.append(record)
