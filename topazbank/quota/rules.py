"""Definitions of fleet-wide quotas, and the durations that bound their use.  Performs no I/O.

Guarantee: the fleet never uses more than the limit of a quota and, for a rate quota, its burst.  It assumes that the
rates of any two clocks differ by at most `drift_ppm`.

The amount of a rate quota is in milliunits per second, that of a concurrency quota in units; bursts are in units.
Times are in microseconds of the process's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

MILLIUNITS_PER_UNIT = 1000
# 1 %: a quartz clock drifts by about 20 ppm, the clock of a migrated virtual machine by far more.
CLOCK_DRIFT_PPM = 10_000
RENEWALS_PER_LEASE = 5  # a lease survives the loss of four renewals in a row
LEASE_SERVERS_MAX = 16


class QuotaKind(StrEnum):
    """What a quota limits.  The values are written to stored data, the ledger and the wire."""

    RATE = "rate"  # units per second
    CONCURRENCY = "stock"  # units in use at the same time


class InvalidQuota(ValueError):
    """A quota that could exceed its limit.  The message begins with the field at fault."""


class Allocation(NamedTuple):
    """A share of a quota: an amount and, for a rate quota, a burst."""

    amount: int
    burst: int = 0

    def __bool__(self) -> bool:
        return self.amount > 0 or self.burst > 0


NO_ALLOCATION = Allocation(0, 0)


@dataclass(frozen=True, slots=True)
class Quota:
    """One fleet-wide quota.  All sidecars must have the same definition."""

    name: str
    kind: QuotaKind = QuotaKind.RATE
    limit: int = 0  # units per second, or units
    burst: int = 0  # rate quota: units that the whole fleet may use beyond the limit
    floor: int = 0  # available to each process without a lease: milliunits per second, or units
    members: int = 1  # maximum number of simultaneous processes; an upgrade runs two
    lease_servers: tuple[str, ...] = ()  # members that each grant a slice of `shared`; empty: floors only
    lease_us: int = 5_000_000
    former_lease_us: int = 0  # longest lease under an earlier configuration; 0: no longer than lease_us
    unit_lifetime_max_us: int = 0  # concurrency quota: a unit is freed by then, even if its user is gone
    drift_ppm: int = CLOCK_DRIFT_PPM

    @property
    def amount(self) -> int:
        """The limit, in the unit of `Allocation.amount`."""
        return self.limit * (MILLIUNITS_PER_UNIT if self.kind == QuotaKind.RATE else 1)

    @property
    def shared(self) -> Allocation:
        """The total that the lease servers may grant: the limit minus the floors of all members."""
        burst = self.burst - self.members if self.kind == QuotaKind.RATE else 0
        return Allocation(self.amount - self.floor * self.members, burst)

    def slice_of(self, lease_server: str) -> Allocation:
        """The part of `shared` that this lease server may grant.  The slices of all servers add up to `shared`."""
        if lease_server not in self.lease_servers:
            return NO_ALLOCATION
        count, index = len(self.lease_servers), self.lease_servers.index(lease_server)
        shared = self.shared
        return Allocation(_slice(shared.amount, count, index), _slice(shared.burst, count, index))

    def server_lease_us(self, lease_us: int) -> int:
        """How long the lease server counts a lease of `lease_us` as in use.

        Includes the clock drift and the lifetime of a unit: by then the client has stopped using the lease.
        """
        return lease_us + lease_us * self.drift_ppm // 1_000_000 + 1 + self.unit_lifetime_max_us

    @property
    def grace_period_us(self) -> int:
        """How long a lease server that has lost its state renews existing leases only."""
        return self.server_lease_us(max(self.lease_us, self.former_lease_us))

    def validate(self) -> None:
        """Raise InvalidQuota if the fleet could exceed the limit."""
        if self.kind == QuotaKind.RATE and self.burst < self.members:
            raise InvalidQuota(
                f"burst: expected at least {self.members}, one unit for each member, not {self.burst}"
            )
        if self.kind == QuotaKind.CONCURRENCY and not self.unit_lifetime_max_us:
            raise InvalidQuota(
                "unit_lifetime_max_us: expected a positive lifetime limit for a concurrency quota, not 0"
            )
        if self.floor * self.members > self.amount:
            raise InvalidQuota(f"floor: expected at most whole / members ({self.limit} / {self.members})")
        servers = self.lease_servers
        if len(set(servers)) != len(servers) or len(servers) > LEASE_SERVERS_MAX:
            raise InvalidQuota(
                f"keepers: expected at most {LEASE_SERVERS_MAX} distinct names, not {list(servers)}"
            )


@dataclass(frozen=True, slots=True)
class QuotaBinding:
    """A quota and the resource that it limits.  See docs/operators/quotas.md."""

    quota: Quota
    resource: str  # a resource defined in topazbank.balancing.fleet
    tenant: str | None = None  # set for TENANT_REQUESTS only


def _slice(amount: int, count: int, index: int) -> int:
    return amount // count + (index < amount % count)


def total_allocation(allocations: Iterable[Allocation]) -> Allocation:
    """Add up amounts and bursts."""
    amount = burst = 0
    for allocation in allocations:
        amount += allocation.amount
        burst += allocation.burst
    return Allocation(amount, burst)
