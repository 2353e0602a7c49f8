"""Limits one process's use of a quota to its allocations.  Integer arithmetic only; performs no I/O.

Guarantee: over any period, a token bucket grants at most the tokens it held at the start, plus those added at the rates
of the floor and of each allocation while valid.  It holds at most one unit plus the bursts of the valid allocations.
Each use checks expiry, so an allocation that expired while the process was paused is never used.

Times are in microseconds, rates in milliunits per second.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from topazbank.quota.rules import Allocation

_NANOUNITS_PER_UNIT = 1_000_000_000  # milliunits per second times microseconds give whole nanounits
_NEVER_US = 1 << 62


class ExpiringAllocation(NamedTuple):
    """An allocation that may be used before `expires_at`."""

    expires_at: int
    allocation: Allocation


class TokenBucket:
    """A rate limiter that starts empty and fills at the rates of the floor and of all valid allocations."""

    __slots__ = (
        "_allocations",
        "_capacity",
        "_drift_ppm",
        "_floor",
        "_next_expiry",
        "_rate",
        "_tokens",
        "_updated_at",
        "acquired",
        "rejected",
    )

    def __init__(self, now: int, floor: int, drift_ppm: int) -> None:
        """`floor`: a rate that never expires; `drift_ppm`: by how much this process's clock may run fast."""
        self._floor = floor
        self._drift_ppm = drift_ppm
        self._updated_at = now
        self._tokens = 0  # nanounits
        self._allocations: list[ExpiringAllocation] = []  # one per lease server
        self._rate = floor
        self._capacity = _NANOUNITS_PER_UNIT
        self._next_expiry = _NEVER_US
        self.acquired = self.rejected = 0  # units since the start

    def acquire(self, now: int) -> bool:
        """Take one unit.  Return False if none is available."""
        self.advance(now)
        if self._tokens >= _NANOUNITS_PER_UNIT:
            self._tokens -= _NANOUNITS_PER_UNIT
            self.acquired += 1
            return True
        self.rejected += 1
        return False

    def set_allocations(self, now: int, allocations: Sequence[ExpiringAllocation]) -> None:
        """Replace all allocations."""
        self.advance(now)
        self._allocations = [expiring for expiring in allocations if expiring.expires_at > now]
        self._update_rate()

    def advance(self, now: int) -> None:
        """Fill the bucket up to `now`, with a separate step for each expiry before it."""
        while self._next_expiry <= now:
            self._fill(self._next_expiry)
            self._allocations = [
                expiring for expiring in self._allocations if expiring.expires_at > self._updated_at
            ]
            self._update_rate()
        self._fill(now)

    def _fill(self, until: int) -> None:
        elapsed = until - self._updated_at
        if elapsed > 0:
            self._updated_at = until
            tokens = self._tokens + self._rate * (elapsed - elapsed * self._drift_ppm // 1_000_000)
            self._tokens = tokens if tokens < self._capacity else self._capacity

    def _update_rate(self) -> None:
        amount = sum(expiring.allocation.amount for expiring in self._allocations)
        burst = sum(expiring.allocation.burst for expiring in self._allocations)
        self._rate = self._floor + amount
        self._capacity = _NANOUNITS_PER_UNIT * (1 + burst)
        self._next_expiry = min((expiring.expires_at for expiring in self._allocations), default=_NEVER_US)
        self._tokens = min(self._tokens, self._capacity)

    @property
    def rate(self) -> int:
        """The fill rate in milliunits per second, as of the last use."""
        return self._rate


class ConcurrencyLimiter:
    """Limits the units that are in use at the same time."""

    __slots__ = ("_allocations", "_floor", "acquired", "in_use", "rejected")

    def __init__(self, floor: int) -> None:
        self._floor = floor
        self._allocations: list[ExpiringAllocation] = []
        self.in_use = 0
        self.acquired = self.rejected = 0  # units since the start

    def acquire(self, now: int) -> bool:
        """Take one unit into use.  Return False if the capacity is reached."""
        if self.in_use >= self.capacity(now):
            self.rejected += 1
            return False
        self.in_use += 1
        self.acquired += 1
        return True

    def release(self) -> None:
        """Return one unit."""
        self.in_use = max(self.in_use - 1, 0)

    def set_allocations(self, now: int, allocations: Sequence[ExpiringAllocation]) -> None:
        """Replace all allocations."""
        self._allocations = [expiring for expiring in allocations if expiring.expires_at > now]

    def capacity(self, now: int) -> int:
        """The number of units that may be in use at `now`."""
        return self._floor + sum(
            expiring.allocation.amount for expiring in self._allocations if expiring.expires_at > now
        )
