"""Where members are reached, and from where their messages may come; no I/O."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from topazbank.cluster.member import MemberRecord
from topazbank.cluster.member_table import MemberTable
from topazbank.core.net import Address


class AddressBook:
    """Configured addresses take precedence over those that members report."""

    __slots__ = ("_configured", "_seeds", "_table")

    def __init__(
        self, configured: Mapping[int, Address], seeds: Collection[Address], table: MemberTable
    ) -> None:
        self._configured = dict(configured)
        self._seeds = frozenset(seeds)
        self._table = table

    def of_record(self, record: MemberRecord) -> Address | None:
        """Return where a record's member is reached; None where that is unknown."""
        return self._configured.get(record.ident) or record.address

    def of(self, ident: int) -> Address | None:
        """Return where a member is reached; None where it or its address is unknown."""
        record = self._table.records.get(ident)
        return self.of_record(record) if record is not None else None

    def all(self) -> set[Address]:
        """Return all addresses from which a member may send."""
        reported = {record.address for record in self._table.records.values() if record.address is not None}
        return reported | self._seeds | set(self._configured.values())
