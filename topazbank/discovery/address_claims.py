"""Which node listens at an address that several claim: the one that registered last; no I/O."""

from __future__ import annotations

from topazbank.core.net import Address


class AddressClaims:
    """Claims by address; a change of one node costs the same however many others there are."""

    def __init__(self) -> None:
        self._claims: dict[Address, dict[str, int]] = {}  # each claimant's czxid, which orders registrations
        self._owners: dict[Address, str] = {}

    def is_owner(self, address: Address, name: str) -> bool:
        """Whether this node is the one that listens at the address."""
        return self._owners.get(address) == name

    def claim(self, address: Address, name: str, czxid: int) -> str | None:
        """A node says that it listens at an address; return the node that was its owner until now, if any."""
        claimants = self._claims.setdefault(address, {})
        claimants[name] = czxid
        owner = self._owners.get(address)
        if owner is None or owner == name:
            self._owners[address] = name
            return None
        if claimants[owner] >= czxid:
            return None
        self._owners[address] = name
        return owner

    def release(self, address: Address, name: str) -> str | None:
        """A node does not listen at an address any more; return the claimant that owns it instead, if any."""
        claimants = self._claims[address]
        del claimants[name]
        if not claimants:
            del self._claims[address]
        if self._owners.get(address) != name:
            return None
        del self._owners[address]
        if not claimants:
            return None
        successor = max(claimants, key=claimants.__getitem__)
        self._owners[address] = successor
        return successor
