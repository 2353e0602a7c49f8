"""Definitions of fleet-wide quotas and the durations that their guarantee depends on; no I/O.

Units: the amount of a rate quota is in milliunits a second, that of a concurrency quota in units; bursts are in units.
Times are microseconds of the process's own monotonic clock.  Assumption: the rates of any two clocks differ by no more
than `drift_ppm`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

MILLIUNITS_PER_UNIT = 1000
CLOCK_DRIFT_PPM = 10_000  # 1 %: quartz is off by far less, but a migrated virtual machine by far more
RENEWALS_PER_LEASE = 5  # four in a row may be lost before the lease expires
LEASE_SERVERS_MAX = 16


class QuotaKind(StrEnum):
    """What a quota limits; the values are those of stored data, the ledger and the wire."""

    RATE = "rate"  # units a second
    CONCURRENCY = "stock"  # units in use at one time


class InvalidQuota(ValueError):
    """A quota whose guarantee could not hold; the text names the operator file's key and the remedy."""


class Allocation(NamedTuple):
    """A share of a quota: its amount and, for a rate quota, the burst that comes with it."""

    amount: int
    burst: int = 0

    def __bool__(self) -> bool:
        return self.amount > 0 or self.burst > 0


NO_ALLOCATION = Allocation(0, 0)


@dataclass(frozen=True, slots=True)
class Quota:
    """One fleet-wide quota; all sidecars must have the same definition."""

    name: str
    kind: QuotaKind = QuotaKind.RATE
    limit: int = 0  # units a second, or units
    burst: int = 0  # rate quota: units beyond the limit, for the whole fleet
    floor: int = 0  # what each process may always use: milliunits a second, or units
    members: int = 1  # processes that may exist at once, both of each upgrade included
    lease_servers: tuple[str, ...] = ()  # members that lease out the rest, a slice each; none: floors are all
    lease_us: int = 5_000_000
    former_lease_us: int = 0  # the longest lease that an earlier configuration may have granted; 0: lease_us
    unit_lifetime_max_us: int = 0  # concurrency quota: a unit has ended by then, even if its user is gone
    drift_ppm: int = CLOCK_DRIFT_PPM

    @property
    def amount(self) -> int:
        """The limit in the unit of allocations."""
        return self.limit * (MILLIUNITS_PER_UNIT if self.kind == QuotaKind.RATE else 1)

    @property
    def shared(self) -> Allocation:
        """What all lease servers together may grant: the limit less the floors of all members."""
        burst = self.burst - self.members if self.kind == QuotaKind.RATE else 0
        return Allocation(self.amount - self.floor * self.members, burst)

    def slice_of(self, lease_server: str) -> Allocation:
        """What this lease server may grant; the slices of all add up to `shared`."""
        if lease_server not in self.lease_servers:
            return NO_ALLOCATION
        count, index = len(self.lease_servers), self.lease_servers.index(lease_server)
        shared = self.shared
        return Allocation(_slice(shared.amount, count, index), _slice(shared.burst, count, index))

    def server_lease_us(self, lease_us: int) -> int:
        """How long the lease server counts a lease: by any two clocks the client has stopped using it by then."""
        return lease_us + lease_us * self.drift_ppm // 1_000_000 + 1 + self.unit_lifetime_max_us

    @property
    def grace_period_us(self) -> int:
        """How long a lease server that has lost its state only renews existing leases."""
        return self.server_lease_us(max(self.lease_us, self.former_lease_us))

    def validate(self) -> None:
        """Raise InvalidQuota where the guarantee could not hold."""
        if self.kind == QuotaKind.RATE and self.burst < self.members:
            raise InvalidQuota(
                f"burst: {self.members} at least is wanted, as each of the {self.members} members may save up one unit"
            )
        if self.kind == QuotaKind.CONCURRENCY and not self.unit_lifetime_max_us:
            raise InvalidQuota(
                "longest_s: wanted for a concurrency quota: by when a unit has ended whose user has stopped"
            )
        if self.floor * self.members > self.amount:
            raise InvalidQuota(
                f"floor: the floors of {self.members} members are more than the whole; a lower one is wanted"
            )
        servers = self.lease_servers
        if len(set(servers)) != len(servers) or len(servers) > LEASE_SERVERS_MAX:
            raise InvalidQuota(f"keepers: {LEASE_SERVERS_MAX} different names at most are wanted")


@dataclass(frozen=True, slots=True)
class QuotaBinding:
    """A quota and what it limits: docs/operators/quotas.md."""

    quota: Quota
    resource: str  # one of topazbank.balancing.fleet
    tenant: str | None = None  # for TENANT_REQUESTS


def _slice(amount: int, count: int, index: int) -> int:
    return amount // count + (index < amount % count)


def total_allocation(allocations: Iterable[Allocation]) -> Allocation:
    """The sum of allocations."""
    amount = burst = 0
    for allocation in allocations:
        amount += allocation.amount
        burst += allocation.burst
    return Allocation(amount, burst)
