"""The client side of one quota: measures demand, requests leases and updates the limiter.  Performs no I/O.

A client requests an equal share of its demand from each of its lease servers while it has demand or holds a lease.  A
process that needs no more than its floor sends nothing.  A client uses at most SERVERS_PER_CLIENT_MAX lease servers,
chosen by its name, to bound the number of clients per server.

Times are in microseconds of the client's monotonic clock.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass

from topazbank.quota.lease import Lease, LeaseGrant, LeaseRequest
from topazbank.quota.rules import MILLIUNITS_PER_UNIT, RENEWALS_PER_LEASE, Quota, QuotaKind
from topazbank.quota.token_bucket import ConcurrencyLimiter, ExpiringAllocation, TokenBucket

SERVERS_PER_CLIENT_MAX = 3
DEMAND_HEADROOM_RATIO = 1.25  # requests exceed the demand to cover growth until the next renewal
DEMAND_HALF_LIFE_RATIO = 0.15  # half-life of past demand, as a fraction of the lease
EARLY_REQUESTS_PER_RENEWAL_MAX = 4  # while units are rejected, requests per renewal period
ANSWERING_LEASES = 2  # a server without an answer for this many leases counts as silent


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message for a lease server."""

    lease_server: str
    request: LeaseRequest
    is_release: bool = False


class LeaseClient:
    """The leases and the limiter of one process generation for one quota."""

    def __init__(self, quota: Quota, name: str, now: int) -> None:
        """`name`: the name of this process's cluster member."""
        self.quota = quota
        self.limiter: TokenBucket | ConcurrencyLimiter = (
            TokenBucket(now, quota.floor, quota.drift_ppm)
            if quota.kind == QuotaKind.RATE
            else ConcurrencyLimiter(quota.floor)
        )
        self.leases = {server: Lease() for server in _assigned_servers(name, quota.lease_servers)}
        self._demand = 0.0  # units per second, or units
        # The limiter's counters at the last measurement of demand.
        self._counted_acquired = self._counted_rejected = 0
        self._measured_at = now
        self._requested_at = now - quota.lease_us
        self._renewal_period_us = quota.lease_us // RENEWALS_PER_LEASE

    def is_due(self, now: int) -> bool:
        """Whether to send requests: once per renewal period, and earlier if units were rejected since the last."""
        elapsed = now - self._requested_at
        if elapsed >= self._renewal_period_us:
            return True
        may_be_early = elapsed * EARLY_REQUESTS_PER_RENEWAL_MAX >= self._renewal_period_us
        return may_be_early and self.limiter.rejected > self._counted_rejected

    def due_requests(self, now: int) -> list[OutgoingMessage]:
        """Return the requests to send at `now`, one for each lease server."""
        if not self.is_due(now) or not self.leases:
            return []
        self._measure_demand(now)
        self._requested_at = now
        amount = math.ceil(self._demand * DEMAND_HEADROOM_RATIO * self._amount_per_unit)
        wanted = max(amount - self.quota.floor, 0)
        if not wanted and not any(lease.allocation_at(now) for lease in self.leases.values()):
            return []
        share = self._share_per_server(now, wanted)
        return [OutgoingMessage(server, lease.request(now, share)) for server, lease in self.leases.items()]

    @property
    def _amount_per_unit(self) -> int:
        return MILLIUNITS_PER_UNIT if self.quota.kind == QuotaKind.RATE else 1

    def _share_per_server(self, now: int, wanted: int) -> int:
        """The amount to request from each server.

        Silent servers get requests too, but the shares of the other servers cover the whole demand.
        """
        silence_max = ANSWERING_LEASES * self.quota.lease_us
        answering = sum(
            lease.answered_at is not None and now - lease.answered_at < silence_max
            for lease in self.leases.values()
        )
        return -(-wanted // (answering or len(self.leases)))

    def _measure_demand(self, now: int) -> None:
        """Update the demand: it rises immediately and decays exponentially."""
        elapsed = max(now - self._measured_at, 1)
        acquired, rejected = self.limiter.acquired, self.limiter.rejected
        if isinstance(self.limiter, TokenBucket):
            demand = float(acquired - self._counted_acquired + rejected - self._counted_rejected)
            demand *= 1e6 / elapsed
        else:
            demand = self.limiter.in_use + rejected - self._counted_rejected
        decayed = self._demand * 0.5 ** (elapsed / (DEMAND_HALF_LIFE_RATIO * self.quota.lease_us))
        highest = max(demand, decayed)
        self._demand = highest if highest * self._amount_per_unit >= 1.0 else 0.0
        self._counted_acquired, self._counted_rejected = acquired, rejected
        self._measured_at = now

    def accept(self, now: int, lease_server: str, grant: LeaseGrant) -> bool:
        """Accept a grant.  Return False if it has no effect."""
        lease = self.leases.get(lease_server)
        if lease is None or not lease.accept(now, grant):
            return False
        self._update_limiter(now)
        return True

    def release(self, now: int) -> list[OutgoingMessage]:
        """Release all leases.  If a message is lost, its lease expires."""
        messages = [
            OutgoingMessage(server, lease.release(now), is_release=True)
            for server, lease in self.leases.items()
            if lease.allocation_at(now)
        ]
        self._update_limiter(now)
        return messages

    def _update_limiter(self, now: int) -> None:
        allocations = [
            ExpiringAllocation(lease.expires_at, lease.allocation) for lease in self.leases.values()
        ]
        self.limiter.set_allocations(now, allocations)

    def allocated_amount(self, now: int) -> int:
        """The amount that may be used at `now`, floor included."""
        return self.quota.floor + sum(lease.allocation_at(now).amount for lease in self.leases.values())


def _assigned_servers(name: str, lease_servers: Iterable[str]) -> list[str]:
    """Assign lease servers to a client.

    Rendezvous hashing moves few clients when a server is added or removed.
    """

    def rank(lease_server: str) -> bytes:
        return hashlib.blake2b(f"{name}\0{lease_server}".encode(), digest_size=8).digest()

    return sorted(lease_servers, key=rank)[:SERVERS_PER_CLIENT_MAX]
