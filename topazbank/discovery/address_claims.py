"""Ownership of addresses claimed by several nodes: the last node to register owns the address; no I/O."""

from __future__ import annotations

from topazbank.core.net import Address


class AddressClaims:
    """Claims by address; the cost of one node's change is independent of the number of nodes."""

    def __init__(self) -> None:
        self._claims: dict[Address, dict[str, int]] = {}  # czxid by claimant; it orders registrations
        self._owners: dict[Address, str] = {}

    def is_owner(self, address: Address, name: str) -> bool:
        """Whether the node owns the address."""
        return self._owners.get(address) == name

    def claim(self, address: Address, name: str, czxid: int) -> str | None:
        """Add or update a node's claim to an address; return the previous owner if it was displaced."""
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
        """Remove a node's claim to an address; return the new owner if the ownership changed to another claimant."""
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
