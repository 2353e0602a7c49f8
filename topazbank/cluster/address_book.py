"""Addresses of members, for sending and for checking the source of messages; no I/O."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from topazbank.cluster.member import MemberRecord
from topazbank.cluster.member_table import MemberTable
from topazbank.core.net import Address


class AddressBook:
    """Looks up addresses; configured ones take precedence over those that members report."""

    __slots__ = ("_configured", "_seeds", "_table")

    def __init__(
        self, configured: Mapping[int, Address], seeds: Collection[Address], table: MemberTable
    ) -> None:
        self._configured = dict(configured)
        self._seeds = frozenset(seeds)
        self._table = table

    def of_record(self, record: MemberRecord) -> Address | None:
        """Return the address of a record's member; None if it is unknown."""
        return self._configured.get(record.ident) or record.address

    def of(self, ident: int) -> Address | None:
        """Return the address of a member; None if the member or its address is unknown."""
        record = self._table.records.get(ident)
        return self.of_record(record) if record is not None else None

    def all(self) -> set[Address]:
        """Return all addresses from which a member may send."""
        reported_addresses = {
            record.address for record in self._table.records.values() if record.address is not None
        }
        return reported_addresses | self._seeds | set(self._configured.values())
