"""A client's lease from one lease server, and the messages between them; no I/O.

Guarantee: an allocation is used only before `expires_at`, which is before the server that granted it stops counting it,
whatever messages were lost, duplicated or late.  The client counts the lease from when it sent the request, the server
from when it granted it, and for longer by the drift of two clocks.  A grant is accepted once, and only for a request
later than that of the grant held.

Times are microseconds of the client's monotonic clock.  Each message from a client to a server has a number of its own
that only grows during the client's generation.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from topazbank.quota.rules import NO_ALLOCATION, Allocation

PENDING_REQUESTS_MAX = 8  # requests that may still be answered


class ClientId(NamedTuple):
    """One generation of a lease client: both processes of an upgrade have the same `ident`."""

    ident: int
    generation: int


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A client's message to a lease server: a request for a lease, or the release of one."""

    number: int
    held_number: int  # the request whose grant is held: earlier grants are never used again
    held: Allocation  # by that grant
    wanted: int  # the amount that the client could use, what it holds included


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A lease server's answer: an allocation, for `lease_us` from when it was requested."""

    number: int  # of the request
    allocation: Allocation
    lease_us: int


@dataclass(slots=True)
class Lease:
    """What a client holds from one lease server."""

    last_number: int = 0  # of the latest message to the server
    held_number: int = 0
    allocation: Allocation = NO_ALLOCATION
    expires_at: int = 0
    answered_at: int | None = None
    requested_at: dict[int, int] = field(default_factory=dict)  # by number; at most PENDING_REQUESTS_MAX

    def request(self, now: int, wanted: int) -> LeaseRequest:
        """Make the next request."""
        self.last_number += 1
        self.requested_at[self.last_number] = now
        if len(self.requested_at) > PENDING_REQUESTS_MAX:
            oldest = next(iter(self.requested_at))
            del self.requested_at[oldest]
        return LeaseRequest(self.last_number, self.held_number, self.allocation_at(now), wanted)

    def accept(self, now: int, grant: LeaseGrant) -> bool:
        """Accept a grant; False if it answers no pending request of this generation, or has expired already."""
        requested_at = self.requested_at.get(grant.number)
        if requested_at is None or grant.number <= self.held_number:
            return False
        self.answered_at = now
        expires_at = requested_at + grant.lease_us
        if expires_at <= now:
            return False
        self.held_number, self.allocation, self.expires_at = grant.number, grant.allocation, expires_at
        self._discard_superseded_requests()
        return True

    def release(self, now: int) -> LeaseRequest:
        """Give the lease up; no grant for an earlier request is accepted from now on."""
        self.last_number += 1
        self.held_number, self.allocation, self.expires_at = self.last_number, NO_ALLOCATION, now
        self._discard_superseded_requests()
        return LeaseRequest(self.last_number, self.held_number, NO_ALLOCATION, 0)

    def _discard_superseded_requests(self) -> None:
        self.requested_at = {
            number: at for number, at in self.requested_at.items() if number > self.held_number
        }

    def allocation_at(self, now: int) -> Allocation:
        """What may be used at this time."""
        return self.allocation if now < self.expires_at else NO_ALLOCATION
