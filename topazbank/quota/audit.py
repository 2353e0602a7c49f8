"""Checks from the ledgers of all processes whether a quota's limit was ever exceeded; no I/O.

Two sums are compared with the limit.  What was *held*: at each instant the unexpired leases of all processes.  What was
*used*: between two lines the units that were certainly used by then, so that the resolution of the ledgers never makes
a false violation.

Times are microseconds of the machine's monotonic clock.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from topazbank.quota.ledger_records import HeldLease, LedgerRecord, ProcessId, StartRecord, UsageRecord
from topazbank.quota.rules import MILLIUNITS_PER_UNIT, QuotaKind

VIOLATIONS_MAX = 20  # that are listed for a quota
LEDGER_DELAY_S = 0.25  # a use is in the ledger by then: two periods of the ledger and some slack


class HeldSample(NamedTuple):
    """What all processes together held of leases from this time on."""

    at: int
    amount: int


@dataclass(slots=True)
class QuotaAudit:
    """What the ledgers say of one quota; amounts are milliunits a second, or units."""

    kind: QuotaKind = QuotaKind.RATE
    limit: int = 0
    burst: int = 0
    floor: int = 0
    shared: int = 0  # the limit less the floors of all members
    processes: set[ProcessId] = field(default_factory=set)
    held_max: int = 0  # of `shared`
    acquired: int = 0  # units
    rejected: int = 0  # units
    ahead_max: float = 0.0  # by how many units the use ran ahead of the limit's rate at the most
    violations: list[str] = field(default_factory=list)  # at most VIOLATIONS_MAX
    held_samples: list[HeldSample] = field(default_factory=list)

    def add_violation(self, text: str) -> None:
        """List a violation."""
        if len(self.violations) < VIOLATIONS_MAX:
            self.violations.append(text)


def audit(records: Iterable[LedgerRecord]) -> dict[str, QuotaAudit]:
    """Audit each quota by its name; `records` in the order of time."""
    by_quota: dict[str, list[LedgerRecord]] = defaultdict(list)
    for record in records:
        by_quota[record.quota].append(record)
    return {quota: _audit_quota(of_quota) for quota, of_quota in by_quota.items()}


def _audit_quota(records: Sequence[LedgerRecord]) -> QuotaAudit:
    result = QuotaAudit()
    for record in records:
        if isinstance(record, StartRecord):
            _add_definition(result, record)
    usage = [record for record in records if isinstance(record, UsageRecord)]
    held = _HeldLeases(result)
    for record in usage:
        held.add(record)
    _check_use(result, usage)
    return result


def _add_definition(result: QuotaAudit, record: StartRecord) -> None:
    """Of two versions of the operator file the larger limit counts: a change passes through no more than that."""
    result.kind, result.floor = record.kind, record.floor
    result.limit = max(result.limit, record.limit)
    result.burst = max(result.burst, record.burst)
    result.shared = max(result.shared, record.limit - record.floor * record.members)
    result.processes.add(record.process)


class _LeaseKey(NamedTuple):
    process: ProcessId
    lease_server: str


_NOT_HELD = HeldLease(0, 0)


class _HeldLeases:
    """The sum of all leases over time: each line replaces its process's leases, and each lease expires by itself."""

    def __init__(self, result: QuotaAudit) -> None:
        self._result = result
        self._leases: dict[_LeaseKey, HeldLease] = {}
        self._expiries: list[tuple[int, _LeaseKey]] = []  # a heap
        self._total = 0

    def add(self, record: UsageRecord) -> None:
        """Bring the sum up to this record's time, and check it."""
        self._expire(record.at)
        self._replace(record)
        result = self._result
        result.held_samples.append(HeldSample(record.at, self._total))
        result.held_max = max(result.held_max, self._total)
        if self._total > result.shared:
            holders = ", ".join(
                f"{key.process.member} {lease.amount} of {key.lease_server}"
                for key, lease in self._leases.items()
            )
            result.add_violation(
                f"at {record.at / 1e6:.3f} s {self._total} were held of {result.shared}: {holders}"
            )

    def _expire(self, now: int) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, key = heapq.heappop(self._expiries)
            lease = self._leases.get(key, _NOT_HELD)
            if lease.expires_at == expires_at:  # it was not renewed meanwhile
                self._total -= lease.amount
                del self._leases[key]
                self._result.held_samples.append(HeldSample(expires_at, self._total))

    def _replace(self, record: UsageRecord) -> None:
        former = {key.lease_server for key in self._leases if key.process == record.process}
        for lease_server in former | record.leases.keys():
            key = _LeaseKey(record.process, lease_server)
            before = self._leases.pop(key, _NOT_HELD)
            after = record.leases.get(lease_server, _NOT_HELD)
            self._total += after.amount - before.amount
            if after.amount:
                self._leases[key] = after
                heapq.heappush(self._expiries, (after.expires_at, key))


def _check_use(result: QuotaAudit, usage: Sequence[UsageRecord]) -> None:
    """Compare the use with a leaky bucket of the quota's burst and rate.

    What a process used between two of its lines is in the second of them, so up to LEDGER_DELAY_S late.
    """
    acquired: dict[ProcessId, int] = {}
    rejected: dict[ProcessId, int] = {}
    allowed = result.burst + result.limit * LEDGER_DELAY_S / MILLIUNITS_PER_UNIT
    ahead, at = 0.0, 0
    for record in usage:
        newly_acquired = record.acquired - acquired.get(record.process, 0)
        acquired[record.process], rejected[record.process] = record.acquired, record.rejected
        if result.kind != QuotaKind.RATE:
            continue
        drained = result.limit * (record.at - at) / 1e6 / MILLIUNITS_PER_UNIT
        ahead = (max(ahead - drained, 0.0) if at else 0.0) + newly_acquired
        at = record.at
        result.ahead_max = max(result.ahead_max, ahead)
        if ahead > allowed:
            result.add_violation(
                f"by {at / 1e6:.3f} s use was {ahead:.1f} ahead of the rate, {result.burst} allowed"
            )
    result.acquired, result.rejected = sum(acquired.values()), sum(rejected.values())
