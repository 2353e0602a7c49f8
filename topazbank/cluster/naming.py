"""Names, numbers and configured addresses of the members; no I/O.

By default a member's name is its index in the configured `peers`, which all sidecars list in the same order, so all
members' addresses are known from the start.  A member with a configured name need not be in `peers`.
"""

from __future__ import annotations

from collections.abc import Sequence

from topazbank.cluster.member import ident_of
from topazbank.core.net import Address


class MemberNames:
    """The names and addresses that the configuration gives to members."""

    __slots__ = ("_names", "_numbers", "addresses", "local_ident", "local_name", "seeds")

    def __init__(
        self, configured_name: str, peers: Sequence[Address], listen: Address, instance: int
    ) -> None:
        """Resolve the names; `instance`: the local member's number if `listen` is not in `peers`."""
        number = peers.index(listen) if listen in peers else instance
        self.local_name = configured_name or str(number)
        self.local_ident = ident_of(self.local_name)
        self._names = {self.local_ident: self.local_name}
        self._numbers: dict[int, int] = {}
        self.addresses: dict[int, Address] = {}  # of other members, by ident; override reported ones
        if not configured_name:
            self._add_numbered_peers(peers, number)
        self.seeds = [
            address
            for peer_number, address in enumerate(peers)
            if address != listen and (configured_name or peer_number != number)
        ]

    def _add_numbered_peers(self, peers: Sequence[Address], local_number: int) -> None:
        for number, address in enumerate(peers):
            ident = ident_of(str(number))
            self._names[ident] = str(number)
            self._numbers[ident] = number
            if number != local_number:
                self.addresses[ident] = address

    def name(self, ident: int) -> str:
        """Return a member's name, or its ident in hexadecimal if the name is unknown."""
        return self._names.get(ident, f"{ident:012x}")

    def number(self, ident: int) -> int | None:
        """Return a member's index in `peers`; None if unknown, as with configured names."""
        return self._numbers.get(ident)

    def name_of_short(self, short_ident: int) -> str:
        """Return the name of the member with this short ident (the low 16 bits), or the bits in hexadecimal."""
        names = {ident & 0xFFFF: name for ident, name in self._names.items()}
        return names.get(short_ident, f"{short_ident:04x}")
