"""Faulty lease servers and leases, to show that the model's search (`model.py`) finds such faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from topazbank.quota.lease import ClientId, Lease, LeaseGrant, LeaseRequest
from topazbank.quota.lease_server import ClientRecord, LeaseServer, OutstandingGrant
from topazbank.quota.rules import Allocation, Quota


@dataclass(frozen=True, slots=True)
class Implementation:
    """The classes that the model runs; a planted fault replaces one."""

    server: Callable[..., LeaseServer] = LeaseServer
    lease: Callable[[], Lease] = Lease


class NoGracePeriod(LeaseServer):
    """Grants anew at once, though it does not know its former grants."""

    def __init__(self, quota: Quota, slice_: Allocation, now: int, stored: object = None) -> None:
        super().__init__(quota, slice_, now, [])


class CountsLatestGrantOnly(LeaseServer):
    """Counts a smaller grant in place of the larger one before the client holds it."""

    def _add_grant(self, client: ClientRecord, grant: OutstandingGrant) -> None:
        client.grants = []
        super()._add_grant(client, grant)


class RequestAsReceipt(LeaseServer):
    """Treats a request as if the client held all earlier grants."""

    def _accept_message(self, client_id: ClientId, message: LeaseRequest) -> ClientRecord | None:
        return super()._accept_message(client_id, replace(message, held_number=message.number))


class ReleaseEndsAllGrants(LeaseServer):
    """Frees grants that were made after the release, too."""

    def handle_release(self, now: int, client_id: ClientId, release: LeaseRequest) -> bool:
        client = self.clients.get(client_id)
        if client is not None:
            client.grants = []
            self._update_outstanding(client)
        return super().handle_release(now, client_id, release)


class IgnoresGenerations(LeaseServer):
    """Knows clients by ident alone: a new generation's message counts as the former one's."""

    def handle_request(self, now: int, client_id: ClientId, request: LeaseRequest) -> LeaseGrant | None:
        any_generation = ClientId(client_id.ident, 0)
        if any_generation in self.clients:
            self.clients[any_generation].last_number = 0
        return super().handle_request(now, any_generation, request)


class GrantsInGracePeriod(LeaseServer):
    """Without its grants it grants what is wanted, as far as the claims so far leave room."""

    def _renew(self, client: ClientRecord, request: LeaseRequest) -> Allocation:
        return Allocation(min(request.wanted, self._available_to(client).amount))


class IgnoresDrift(LeaseServer):
    """Counts a grant for no longer than the lease."""

    def _add_grant(self, client: ClientRecord, grant: OutstandingGrant) -> None:
        margin = self.quota.server_lease_us(self.quota.lease_us) - self.quota.lease_us
        super()._add_grant(client, replace(grant, expires_at=grant.expires_at - margin))


class CountsFromArrival(Lease):
    """Counts its lease from when the grant arrived."""

    def accept(self, now: int, grant: LeaseGrant) -> bool:
        if grant.number in self.requested_at:
            self.requested_at[grant.number] = now
        return super().accept(now, grant)


class AcceptsOlderGrant(Lease):
    """Accepts a grant for an earlier request after that for a later one."""

    def accept(self, now: int, grant: LeaseGrant) -> bool:
        self.held_number = 0
        return super().accept(now, grant)

    def _discard_superseded_requests(self) -> None:
        pass


class UsesAfterRelease(Lease):
    """Still uses its allocation after the release."""

    def release(self, now: int) -> LeaseRequest:
        allocation, expires_at = self.allocation, self.expires_at
        release = super().release(now)
        self.allocation, self.expires_at = allocation, expires_at
        return release


FAULTS = {
    "no grace period after lost grants": Implementation(server=NoGracePeriod),
    "a smaller grant counted before it is held": Implementation(server=CountsLatestGrantOnly),
    "a request taken for a receipt": Implementation(server=RequestAsReceipt),
    "a release that ends later grants": Implementation(server=ReleaseEndsAllGrants),
    "two generations of a client taken for one": Implementation(server=IgnoresGenerations),
    "more granted in the grace period than was held": Implementation(server=GrantsInGracePeriod),
    "clock drift not waited for": Implementation(server=IgnoresDrift),
    "a lease counted from its grant": Implementation(lease=CountsFromArrival),
    "an earlier grant accepted after a later one": Implementation(lease=AcceptsOlderGrant),
    "used after it was released": Implementation(lease=UsesAfterRelease),
}
