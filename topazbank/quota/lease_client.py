"""The lease client's side of one quota: its demand, when it requests leases and of whom, and its limiter; no I/O.

A client requests an equal share of its demand from each of its lease servers, while it has demand or holds a lease: a
process that needs no more than its floor sends nothing.  With many lease servers a client uses few of them, chosen by
its name, so that each server has a bounded number of clients.

Times are microseconds of the client's monotonic clock.
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
DEMAND_HEADROOM_RATIO = 1.25  # requested beyond the demand: growth is met before the next renewal
DEMAND_HALF_LIFE_RATIO = 0.15  # of a lease: past demand counts half after it
EARLY_REQUESTS_PER_RENEWAL_MAX = 4  # while units are rejected
ANSWERING_LEASES = 2  # a server that has not answered for so many leases is not counted on


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to be sent to a lease server."""

    lease_server: str
    request: LeaseRequest
    is_release: bool = False


class LeaseClient:
    """What one generation of a process holds of one quota."""

    def __init__(self, quota: Quota, name: str, now: int) -> None:
        """`name`: of this process's member."""
        self.quota = quota
        self.limiter: TokenBucket | ConcurrencyLimiter = (
            TokenBucket(now, quota.floor, quota.drift_ppm)
            if quota.kind == QuotaKind.RATE
            else ConcurrencyLimiter(quota.floor)
        )
        self.leases = {server: Lease() for server in _assigned_servers(name, quota.lease_servers)}
        self._demand = 0.0  # units a second, or units
        self._counted_acquired = self._counted_rejected = 0  # when the demand was last measured
        self._measured_at = now
        self._requested_at = now - quota.lease_us
        self._renewal_period_us = quota.lease_us // RENEWALS_PER_LEASE

    def is_due(self, now: int) -> bool:
        """Whether it is time to send requests: each renewal period, and earlier if units were rejected since."""
        elapsed = now - self._requested_at
        if elapsed >= self._renewal_period_us:
            return True
        may_be_early = elapsed * EARLY_REQUESTS_PER_RENEWAL_MAX >= self._renewal_period_us
        return may_be_early and self.limiter.rejected > self._counted_rejected

    def due_requests(self, now: int) -> list[OutgoingMessage]:
        """The requests to send now."""
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
        """What to request of each server: silent ones get requests too, but the others cover the whole demand."""
        silence_max = ANSWERING_LEASES * self.quota.lease_us
        answering = sum(
            lease.answered_at is not None and now - lease.answered_at < silence_max
            for lease in self.leases.values()
        )
        return -(-wanted // (answering or len(self.leases)))

    def _measure_demand(self, now: int) -> None:
        """Follow the demand since the last time: up at once, down by exponential decay."""
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
        """Accept a grant; False if it has no effect."""
        lease = self.leases.get(lease_server)
        if lease is None or not lease.accept(now, grant):
            return False
        self._update_limiter(now)
        return True

    def release(self, now: int) -> list[OutgoingMessage]:
        """Give up all leases; if a message is lost, that lease expires by itself."""
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
        """The amount that may be used at this time, the floor included."""
        return self.quota.floor + sum(lease.allocation_at(now).amount for lease in self.leases.values())


def _assigned_servers(name: str, lease_servers: Iterable[str]) -> list[str]:
    """The servers of a client by rendezvous hashing: few clients move when a server is added or removed."""

    def rank(lease_server: str) -> bytes:
        return hashlib.blake2b(f"{name}\0{lease_server}".encode(), digest_size=8).digest()

    return sorted(lease_servers, key=rank)[:SERVERS_PER_CLIENT_MAX]
