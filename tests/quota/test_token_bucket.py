"""The limiters of one process: never more than was allocated, by any clock within the drift.  Times in microseconds."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from topazbank.quota.rules import MILLIUNITS_PER_UNIT, NO_ALLOCATION, Allocation
from topazbank.quota.token_bucket import ConcurrencyLimiter, ExpiringAllocation, TokenBucket

S = 1_000_000


def test_a_bucket_starts_empty_and_its_floor_saves_up_one_unit_at_most() -> None:
    bucket = TokenBucket(0, 500, 0)
    assert not bucket.acquire(2 * S - 1) and bucket.acquire(2 * S)
    assert bucket.acquire(3600 * S) and not bucket.acquire(3600 * S)


def test_a_process_paused_beyond_its_lease_does_not_use_the_burst_of_the_expired_allocation() -> None:
    bucket = TokenBucket(0, 0, 0)
    bucket.set_allocations(0, [ExpiringAllocation(5 * S, Allocation(10 * MILLIUNITS_PER_UNIT, 20))])
    acquired = sum(bucket.acquire(9 * S) for _ in range(50))
    assert acquired == 1, "the burst ended with the allocation; one unit is every process's own"


@given(st.integers(0, 1 << 30))
def test_over_any_span_no_more_is_acquired_than_the_rates_and_the_tokens_at_its_start(seed: int) -> None:
    chance = random.Random(seed)
    bucket = TokenBucket(0, 300, 0)
    now, filled, acquired = 0, 0.0, 0
    expires_at, allocation = 0, NO_ALLOCATION
    for _ in range(80):
        before, now = now, now + chance.randrange(S)
        valid_us = max(min(now, expires_at) - before, 0)
        filled += 0.3 * (now - before) / S + allocation.amount / MILLIUNITS_PER_UNIT * valid_us / S
        if chance.random() < 0.2:
            allocation = Allocation(chance.randrange(20_000), chance.randrange(5))
            expires_at = now + chance.randrange(3 * S)
            bucket.set_allocations(now, [ExpiringAllocation(expires_at, allocation)])
        acquired += sum(bucket.acquire(now) for _ in range(chance.randrange(8)))
        assert acquired <= filled + 1e-6
    assert bucket.acquired == acquired


def test_a_clock_that_runs_fast_by_the_whole_drift_fills_no_faster_than_the_true_rate() -> None:
    bucket = TokenBucket(0, 1000, 10_000)
    assert sum(bucket.acquire(second * S * 101 // 100) for second in range(1, 1001)) <= 1000


def test_units_in_use_when_an_allocation_expires_leave_no_capacity_for_more() -> None:
    limiter = ConcurrencyLimiter(1)
    limiter.set_allocations(0, [ExpiringAllocation(5 * S, Allocation(3))])
    assert [limiter.acquire(S) for _ in range(5)] == [True] * 4 + [False]
    assert not limiter.acquire(6 * S) and limiter.in_use == 4
    for _ in range(4):
        limiter.release()
    assert limiter.acquire(6 * S) and not limiter.acquire(6 * S)
