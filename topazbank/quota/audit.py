"""Checks from the ledgers of all processes whether a quota's limit was ever exceeded; no I/O.

Two sums are compared with the limit.  *Held*: the unexpired leases of all processes at each instant.  *Used*: the units
that were certainly acquired by the time of each line, so that the ledgers' time resolution causes no false violation.

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

VIOLATIONS_MAX = 20  # listed for each quota
LEDGER_DELAY_S = 0.25  # delay until a use is recorded: at most two ledger periods plus a margin


class HeldSample(NamedTuple):
    """The sum of all processes' leases from this time on."""

    at: int
    amount: int


@dataclass(slots=True)
class QuotaAudit:
    """The audit result of one quota; amounts are milliunits per second, or units."""

    kind: QuotaKind = QuotaKind.RATE
    limit: int = 0
    burst: int = 0
    floor: int = 0
    shared: int = 0  # the limit minus the floors of all members
    processes: set[ProcessId] = field(default_factory=set)
    held_max: int = 0  # the maximum held at one time, to compare with `shared`
    acquired: int = 0  # units
    rejected: int = 0  # units
    ahead_max: float = 0.0  # maximum units of use ahead of the limit's rate
    violations: list[str] = field(default_factory=list)  # at most VIOLATIONS_MAX
    held_samples: list[HeldSample] = field(default_factory=list)

    def add_violation(self, text: str) -> None:
        """Add a violation, unless VIOLATIONS_MAX are listed already."""
        if len(self.violations) < VIOLATIONS_MAX:
            self.violations.append(text)


def audit(records: Iterable[LedgerRecord]) -> dict[str, QuotaAudit]:
    """Audit all quotas; `records` are sorted by time.  Returns the results by quota name."""
    by_quota: dict[str, list[LedgerRecord]] = defaultdict(list)
    for record in records:
        by_quota[record.quota].append(record)
    return {quota: _audit_quota(quota_records) for quota, quota_records in by_quota.items()}


def _audit_quota(records: Sequence[LedgerRecord]) -> QuotaAudit:
    result = QuotaAudit()
    for record in records:
        if isinstance(record, StartRecord):
            _add_definition(result, record)
    usage = [record for record in records if isinstance(record, UsageRecord)]
    held = _HeldLeases(result)
    for record in usage:
        held.add(record)
    _check_usage(result, usage)
    return result


def _add_definition(result: QuotaAudit, record: StartRecord) -> None:
    """Add a definition; the larger of two limits counts, as a change of the operator file stays within it."""
    result.kind, result.floor = record.kind, record.floor
    result.limit = max(result.limit, record.limit)
    result.burst = max(result.burst, record.burst)
    result.shared = max(result.shared, record.limit - record.floor * record.members)
    result.processes.add(record.process)


class _LeaseKey(NamedTuple):
    process: ProcessId
    lease_server: str


_NO_LEASE = HeldLease(0, 0)


class _HeldLeases:
    """The sum of all leases over time: a record replaces its process's leases, and each lease expires on its own."""

    def __init__(self, result: QuotaAudit) -> None:
        self._result = result
        self._leases: dict[_LeaseKey, HeldLease] = {}
        self._expiries: list[tuple[int, _LeaseKey]] = []  # a heap, by expiry time
        self._total = 0

    def add(self, record: UsageRecord) -> None:
        """Update the sum to this record and check it against the limit."""
        self._expire(record.at)
        self._replace(record)
        result = self._result
        result.held_samples.append(HeldSample(record.at, self._total))
        result.held_max = max(result.held_max, self._total)
        if self._total > result.shared:
            holders = ", ".join(
                f"{key.process.member} {lease.amount} from {key.lease_server}"
                for key, lease in self._leases.items()
            )
            result.add_violation(
                f"at {record.at / 1e6:.3f} s: held {self._total} exceeds {result.shared}: {holders}"
            )

    def _expire(self, now: int) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, key = heapq.heappop(self._expiries)
            lease = self._leases.get(key, _NO_LEASE)
            if lease.expires_at == expires_at:  # not renewed in the meantime
                self._total -= lease.amount
                del self._leases[key]
                self._result.held_samples.append(HeldSample(expires_at, self._total))

    def _replace(self, record: UsageRecord) -> None:
        previous_servers = {key.lease_server for key in self._leases if key.process == record.process}
        for lease_server in previous_servers | record.leases.keys():
            key = _LeaseKey(record.process, lease_server)
            old_lease = self._leases.pop(key, _NO_LEASE)
            new_lease = record.leases.get(lease_server, _NO_LEASE)
            self._total += new_lease.amount - old_lease.amount
            if new_lease.amount:
                self._leases[key] = new_lease
                heapq.heappush(self._expiries, (new_lease.expires_at, key))


def _check_usage(result: QuotaAudit, usage: Sequence[UsageRecord]) -> None:
    """Compare the use with a leaky bucket of the quota's burst and rate.

    Use between two lines of a process is recorded in the second line, up to LEDGER_DELAY_S late.
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
                f"by {at / 1e6:.3f} s: use {ahead:.1f} ahead of the rate exceeds burst {result.burst}"
            )
    result.acquired, result.rejected = sum(acquired.values()), sum(rejected.values())
