"""The server side of one quota: grants leases on a slice of the quota.  Performs no I/O.

Guarantee: at any time, the allocations that clients may use under this server's grants add up to at most its slice.  A
grant is outstanding until the client reports that it holds a later one, or until its lease has expired on any clock.

A server that does not know the grants of its previous process starts with a grace period, until all of their leases
have expired.  In this period it renews the allocations that clients report, and grants nothing new.

Times are in microseconds of the server's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from topazbank.quota.fair_share import divide, next_amount
from topazbank.quota.lease import ClientId, LeaseGrant, LeaseRequest
from topazbank.quota.rules import NO_ALLOCATION, Allocation, Quota, total_allocation

CLIENTS_MAX = 8192  # client generations; requests of further ones get no answer
GRANTS_PER_CLIENT_MAX = 4  # above this, the two oldest grants are merged
REDISTRIBUTIONS_PER_LEASE = 20  # recalculations of the clients' targets
SMALL_DECREASE_DIVISOR = 100  # a decrease of up to 1/100 of the slice is made in one step


class StoredGrant(NamedTuple):
    """A grant that was made before a restart and may still be in use."""

    client: ClientId
    number: int
    allocation: Allocation
    expires_at: int


@dataclass(slots=True)
class OutstandingGrant:
    """A grant that may still be in use.  The server stops counting it at `expires_at`."""

    number: int
    allocation: Allocation
    expires_at: int


@dataclass(slots=True)
class ClientRecord:
    """The server's state for one client generation."""

    last_number: int = 0  # number of the client's latest message
    grants: list[OutstandingGrant] = field(default_factory=list)  # at most GRANTS_PER_CLIENT_MAX
    wanted: int = 0
    outstanding: Allocation = NO_ALLOCATION  # largest of `grants`, as the client uses only one
    demand_expires_at: int = 0  # `wanted` is ignored from this time


class LeaseServer:
    """Grants leases on one lease server's slice of one quota."""

    def __init__(
        self, quota: Quota, slice_: Allocation, now: int, stored: Iterable[StoredGrant] | None = None
    ) -> None:
        """`stored`: all earlier grants, or None if they are unknown, which starts the grace period."""
        self.quota = quota
        self.slice = slice_
        self.clients: dict[ClientId, ClientRecord] = {}  # at most CLIENTS_MAX
        self.outstanding = NO_ALLOCATION  # sum over all clients
        self.grace_until = now + quota.grace_period_us if stored is None else now
        self._targets: dict[ClientId, int] = {}
        self._redistribute_at = now
        self._next_expiry = 0  # 0: no outstanding grants
        for grant in stored or ():
            client = self.clients.setdefault(grant.client, ClientRecord(last_number=grant.number))
            client.last_number = max(client.last_number, grant.number)
            self._add_grant(client, OutstandingGrant(grant.number, grant.allocation, grant.expires_at))

    # -- Client messages -------------------------------------------------------------------------------

    def handle_request(self, now: int, client_id: ClientId, request: LeaseRequest) -> LeaseGrant | None:
        """Answer a request.  Return None if it is out of date or CLIENTS_MAX is reached."""
        self.expire(now)
        client = self._accept_message(client_id, request)
        if client is None:
            return None
        expires_at = now + self.quota.server_lease_us(self.quota.lease_us)
        if now < self.grace_until:
            allocation = self._renew(client, request)
        else:
            client.wanted, client.demand_expires_at = request.wanted, expires_at
            allocation = self._allocate(now, client_id, client, request)
        if allocation:
            self._add_grant(client, OutstandingGrant(request.number, allocation, expires_at))
            self._next_expiry = min(self._next_expiry or expires_at, expires_at)
        return LeaseGrant(request.number, allocation, self.quota.lease_us)

    def handle_release(self, now: int, client_id: ClientId, release: LeaseRequest) -> bool:
        """Free a client's grants.  Return False if the message is not accepted."""
        self.expire(now)
        client = self._accept_message(client_id, release)
        if client is None:
            return False
        client.wanted = 0
        self._targets.pop(client_id, None)
        return True

    def _accept_message(self, client_id: ClientId, message: LeaseRequest) -> ClientRecord | None:
        """Drop the grants that the client no longer uses.

        Returns None for a duplicate or reordered message, and for a new client beyond CLIENTS_MAX.
        """
        client = self.clients.get(client_id)
        if client is None:
            if len(self.clients) >= CLIENTS_MAX:
                return None
            client = self.clients[client_id] = ClientRecord()
        if message.number <= client.last_number:
            return None
        client.last_number = message.number
        client.grants = [grant for grant in client.grants if grant.number >= message.held_number]
        self._update_outstanding(client)
        return client

    # -- Grant amounts ---------------------------------------------------------------------------------

    def _renew(self, client: ClientRecord, request: LeaseRequest) -> Allocation:
        """The allocation in the grace period: what the client holds, limited by its demand and the slice."""
        available = self._available_to(client)
        amount = min(request.held.amount, request.wanted, available.amount)
        if amount <= 0:
            return NO_ALLOCATION
        return Allocation(amount, min(request.held.burst, available.burst))

    def _allocate(
        self, now: int, client_id: ClientId, client: ClientRecord, request: LeaseRequest
    ) -> Allocation:
        if now >= self._redistribute_at:
            self._redistribute(now)
        available = self._available_to(client)
        target = self._targets.get(client_id)
        if target is None:  # a new client uses free capacity until the next redistribution
            target = self._targets[client_id] = min(request.wanted, available.amount)
        halving_threshold = max(self.slice.amount // SMALL_DECREASE_DIVISOR, 1)
        amount = next_amount(
            request.held.amount, min(target, request.wanted), available.amount, halving_threshold
        )
        if amount <= 0:
            return NO_ALLOCATION
        return Allocation(amount, self._burst_of(amount, available.burst))

    def _burst_of(self, amount: int, available: int) -> int:
        """The burst for an amount.  It is proportional, so that all bursts add up to at most the slice's."""
        return min(self.slice.burst * amount // max(self.slice.amount, 1), available)

    def _redistribute(self, now: int) -> None:
        self._redistribute_at = now + self.quota.lease_us // REDISTRIBUTIONS_PER_LEASE
        demands = {
            client_id: client.wanted
            for client_id, client in self.clients.items()
            if client.wanted > 0 and now < client.demand_expires_at
        }
        self._targets = divide(self.slice.amount, demands)

    # -- Outstanding grants ----------------------------------------------------------------------------

    def _available_to(self, client: ClientRecord) -> Allocation:
        """The slice minus the outstanding allocations of all other clients."""
        others_amount = self.outstanding.amount - client.outstanding.amount
        others_burst = self.outstanding.burst - client.outstanding.burst
        return Allocation(max(self.slice.amount - others_amount, 0), max(self.slice.burst - others_burst, 0))

    def _add_grant(self, client: ClientRecord, grant: OutstandingGrant) -> None:
        client.grants.append(grant)
        if len(client.grants) > GRANTS_PER_CLIENT_MAX:
            first, second, *rest = client.grants
            client.grants = [_merge(first, second), *rest]
        self._update_outstanding(client)

    def _update_outstanding(self, client: ClientRecord) -> None:
        allocations = [grant.allocation for grant in client.grants]
        after = Allocation(
            max((allocation.amount for allocation in allocations), default=0),
            max((allocation.burst for allocation in allocations), default=0),
        )
        before = client.outstanding
        client.outstanding = after
        self.outstanding = Allocation(
            self.outstanding.amount + after.amount - before.amount,
            self.outstanding.burst + after.burst - before.burst,
        )

    def expire(self, now: int) -> None:
        """Drop grants whose lease has expired on any clock, and clients without grants or demand."""
        if now < self._next_expiry or not self._next_expiry:
            return
        self._next_expiry = 0
        for client_id, client in list(self.clients.items()):
            if any(grant.expires_at <= now for grant in client.grants):
                client.grants = [grant for grant in client.grants if grant.expires_at > now]
                self._update_outstanding(client)
            expiries = [grant.expires_at for grant in client.grants]
            if expiries:
                self._next_expiry = min([self._next_expiry or expiries[0], *expiries])
            elif now >= client.demand_expires_at:
                # Forgetting the last number is safe: a late message can be accepted again, but only gets capacity
                # that no other client has.
                del self.clients[client_id]
                self._targets.pop(client_id, None)

    def check_invariants(self) -> None:
        """Assert that the totals are correct and within the slice."""
        assert self.outstanding == total_allocation(client.outstanding for client in self.clients.values())
        assert self.outstanding.amount <= self.slice.amount
        assert self.outstanding.burst <= self.slice.burst


def _merge(older: OutstandingGrant, newer: OutstandingGrant) -> OutstandingGrant:
    """Combine two grants into one that covers both: newer number, larger allocation, later expiry."""
    largest = Allocation(
        max(older.allocation.amount, newer.allocation.amount),
        max(older.allocation.burst, newer.allocation.burst),
    )
    return OutstandingGrant(newer.number, largest, max(older.expires_at, newer.expires_at))
