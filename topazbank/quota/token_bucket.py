"""Limits one process's use of a quota to what it has been allocated; no I/O, integers only, no messages.

Guarantee: over any span of time a token bucket grants no more than its allocations' rates over the time that each was
valid, and the tokens it held when the span began; it holds no more than the bursts of the valid allocations and one
unit.  Expiry is checked at each use, so an allocation that expired while the process was paused is never used.

Times are microseconds, rates milliunits a second.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from topazbank.quota.rules import Allocation

_NANOUNITS_PER_UNIT = 1_000_000_000  # milliunits a second times microseconds are whole nanounits
_NEVER_US = 1 << 62


class ExpiringAllocation(NamedTuple):
    """An allocation and the time from which it may not be used."""

    expires_at: int
    allocation: Allocation


class TokenBucket:
    """A rate limit: it fills at the floor's rate and that of each allocation until its expiry; it starts empty."""

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
        """`floor`: milliunits a second that never expire; `drift_ppm`: by how much this clock may run fast."""
        self._floor = floor
        self._drift_ppm = drift_ppm
        self._updated_at = now
        self._tokens = 0  # nanounits
        self._allocations: list[ExpiringAllocation] = []  # one a lease server
        self._rate = floor
        self._capacity = _NANOUNITS_PER_UNIT
        self._next_expiry = _NEVER_US
        self.acquired = self.rejected = 0  # units since the start

    def acquire(self, now: int) -> bool:
        """Take one unit; False if there is none."""
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
        self._allocations = [each for each in allocations if each.expires_at > now]
        self._update_rate()

    def advance(self, now: int) -> None:
        """Fill the bucket up to `now`, span by span between the expiries in between."""
        while self._next_expiry <= now:
            self._fill(self._next_expiry)
            self._allocations = [each for each in self._allocations if each.expires_at > self._updated_at]
            self._update_rate()
        self._fill(now)

    def _fill(self, until: int) -> None:
        elapsed = until - self._updated_at
        if elapsed > 0:
            self._updated_at = until
            tokens = self._tokens + self._rate * (elapsed - elapsed * self._drift_ppm // 1_000_000)
            self._tokens = tokens if tokens < self._capacity else self._capacity

    def _update_rate(self) -> None:
        amount = sum(each.allocation.amount for each in self._allocations)
        burst = sum(each.allocation.burst for each in self._allocations)
        self._rate = self._floor + amount
        self._capacity = _NANOUNITS_PER_UNIT * (1 + burst)
        self._next_expiry = min((each.expires_at for each in self._allocations), default=_NEVER_US)
        self._tokens = min(self._tokens, self._capacity)

    @property
    def rate(self) -> int:
        """Milliunits a second, as of the last use."""
        return self._rate


class ConcurrencyLimiter:
    """A limit on the units in use at one time."""

    __slots__ = ("_allocations", "_floor", "acquired", "in_use", "rejected")

    def __init__(self, floor: int) -> None:
        self._floor = floor
        self._allocations: list[ExpiringAllocation] = []
        self.in_use = 0
        self.acquired = self.rejected = 0  # units since the start

    def acquire(self, now: int) -> bool:
        """Take one unit into use; False if the capacity is reached."""
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
        self._allocations = [each for each in allocations if each.expires_at > now]

    def capacity(self, now: int) -> int:
        """How many units may be in use at this time."""
        return self._floor + sum(
            each.allocation.amount for each in self._allocations if each.expires_at > now
        )
