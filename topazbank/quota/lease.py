"""A client's lease from one lease server, and the messages between them.  Performs no I/O.

Guarantee: the client stops using an allocation at `expires_at`, before the server that granted it stops counting it,
even if messages are lost, duplicated or late.  The client counts the lease from when it sends the request.  The server
counts it from when it grants the lease, and for longer, by the maximum drift between two clocks.  A grant is accepted
once, and only if its request is later than that of the grant held.

Times are in microseconds of the client's monotonic clock.  Each message from a client to a server has its own number;
the numbers increase within a client generation.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from topazbank.quota.rules import NO_ALLOCATION, Allocation

PENDING_REQUESTS_MAX = 8  # per server; an answer to an older request is ignored


class ClientId(NamedTuple):
    """Identifies a lease client; both processes of an upgrade have the same `ident`, but different generations."""

    ident: int
    generation: int


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A message from a client to a lease server that requests or releases a lease."""

    number: int
    held_number: int  # number of the request whose grant is held; earlier grants are not used again
    held: Allocation  # the allocation of the grant held
    wanted: int  # the total amount that the client could use, `held` included


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A lease server's answer: an allocation for `lease_us`, from the time of the request."""

    number: int  # number of the answered request
    allocation: Allocation
    lease_us: int


@dataclass(slots=True)
class Lease:
    """A client's lease from one lease server, and its pending requests."""

    last_number: int = 0  # number of the latest message to the server
    held_number: int = 0
    allocation: Allocation = NO_ALLOCATION
    expires_at: int = 0
    answered_at: int | None = None
    # Times of the pending requests by number; at most PENDING_REQUESTS_MAX entries.
    requested_at: dict[int, int] = field(default_factory=dict)

    def request(self, now: int, wanted: int) -> LeaseRequest:
        """Create the next request and record it as pending."""
        self.last_number += 1
        self.requested_at[self.last_number] = now
        if len(self.requested_at) > PENDING_REQUESTS_MAX:
            oldest = next(iter(self.requested_at))
            del self.requested_at[oldest]
        return LeaseRequest(self.last_number, self.held_number, self.allocation_at(now), wanted)

    def accept(self, now: int, grant: LeaseGrant) -> bool:
        """Accept a grant.  Return False if it has expired or answers no pending request of this generation."""
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
        """Release the lease.  Grants for earlier requests are not accepted any more."""
        self.last_number += 1
        self.held_number, self.allocation, self.expires_at = self.last_number, NO_ALLOCATION, now
        self._discard_superseded_requests()
        return LeaseRequest(self.last_number, self.held_number, NO_ALLOCATION, 0)

    def _discard_superseded_requests(self) -> None:
        self.requested_at = {
            number: requested_at
            for number, requested_at in self.requested_at.items()
            if number > self.held_number
        }

    def allocation_at(self, now: int) -> Allocation:
        """The allocation that may be used at `now`."""
        return self.allocation if now < self.expires_at else NO_ALLOCATION
