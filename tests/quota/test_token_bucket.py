"""Limiters of one process: use stays within the allocations despite clock drift.  Times are in microseconds."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from topazbank.quota.rules import MILLIUNITS_PER_UNIT, NO_ALLOCATION, Allocation
from topazbank.quota.token_bucket import ConcurrencyLimiter, ExpiringAllocation, TokenBucket

SECOND = 1_000_000


def test_bucket_starts_empty_and_the_floor_accumulates_at_most_one_unit() -> None:
    bucket = TokenBucket(0, 500, 0)
    assert not bucket.acquire(2 * SECOND - 1) and bucket.acquire(2 * SECOND)
    assert bucket.acquire(3600 * SECOND) and not bucket.acquire(3600 * SECOND)


def test_process_paused_beyond_its_lease_does_not_use_the_expired_burst() -> None:
    bucket = TokenBucket(0, 0, 0)
    bucket.set_allocations(0, [ExpiringAllocation(5 * SECOND, Allocation(10 * MILLIUNITS_PER_UNIT, 20))])
    acquired = sum(bucket.acquire(9 * SECOND) for _ in range(50))
    assert acquired == 1, "the burst expired with the allocation; the capacity without it is one unit"


@given(st.integers(0, 1 << 30))
def test_acquired_units_stay_within_the_rates_over_time(seed: int) -> None:
    rng = random.Random(seed)
    bucket = TokenBucket(0, 300, 0)
    now, filled, acquired = 0, 0.0, 0
    expires_at, allocation = 0, NO_ALLOCATION
    for _ in range(80):
        before, now = now, now + rng.randrange(SECOND)
        valid_us = max(min(now, expires_at) - before, 0)
        filled += 0.3 * (now - before) / SECOND + allocation.amount / MILLIUNITS_PER_UNIT * valid_us / SECOND
        if rng.random() < 0.2:
            allocation = Allocation(rng.randrange(20_000), rng.randrange(5))
            expires_at = now + rng.randrange(3 * SECOND)
            bucket.set_allocations(now, [ExpiringAllocation(expires_at, allocation)])
        acquired += sum(bucket.acquire(now) for _ in range(rng.randrange(8)))
        assert acquired <= filled + 1e-6
    assert bucket.acquired == acquired


def test_clock_that_is_fast_by_the_maximum_drift_does_not_exceed_the_rate() -> None:
    bucket = TokenBucket(0, 1000, 10_000)
    assert sum(bucket.acquire(second * SECOND * 101 // 100) for second in range(1, 1001)) <= 1000


def test_units_in_use_count_against_the_floor_after_the_allocation_expires() -> None:
    limiter = ConcurrencyLimiter(1)
    limiter.set_allocations(0, [ExpiringAllocation(5 * SECOND, Allocation(3))])
    assert [limiter.acquire(SECOND) for _ in range(5)] == [True] * 4 + [False]
    assert not limiter.acquire(6 * SECOND) and limiter.in_use == 4
    for _ in range(4):
        limiter.release()
    assert limiter.acquire(6 * SECOND) and not limiter.acquire(6 * SECOND)
