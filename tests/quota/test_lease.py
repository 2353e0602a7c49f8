"""A client's lease from one server: how long it is valid and which grants are accepted.  Times are in microseconds."""

from __future__ import annotations

from topazbank.quota.lease import Lease, LeaseGrant
from topazbank.quota.rules import NO_ALLOCATION, Allocation

SECOND = 1_000_000


def test_lease_starts_at_the_time_of_its_request() -> None:
    lease = Lease()
    request = lease.request(10, 5)
    assert lease.accept(3 * SECOND, LeaseGrant(request.number, Allocation(5), 5 * SECOND))
    assert lease.allocation_at(5 * SECOND + 9) == Allocation(5)
    assert lease.allocation_at(5 * SECOND + 10) == NO_ALLOCATION


def test_late_duplicate_and_other_generations_grants_are_not_accepted() -> None:
    lease = Lease()
    first, second = lease.request(0, 5), lease.request(SECOND, 5)
    assert lease.accept(SECOND, LeaseGrant(second.number, Allocation(3), 5 * SECOND))
    assert not lease.accept(SECOND, LeaseGrant(first.number, Allocation(9), 5 * SECOND)), "earlier request"
    assert not lease.accept(SECOND, LeaseGrant(second.number, Allocation(9), 5 * SECOND)), "duplicate"
    assert not lease.accept(SECOND, LeaseGrant(77, Allocation(9), 5 * SECOND)), "other generation"
    third = lease.request(2 * SECOND, 5)
    assert not lease.accept(8 * SECOND, LeaseGrant(third.number, Allocation(9), 5 * SECOND)), "expired"
    assert lease.allocation_at(5 * SECOND) == Allocation(3)


def test_grant_for_a_request_before_the_release_is_not_accepted() -> None:
    lease = Lease()
    requests = [lease.request(0, 5), lease.request(1, 5)]
    assert lease.accept(2, LeaseGrant(requests[0].number, Allocation(4), 5 * SECOND))
    lease.release(3)
    assert lease.allocation_at(3) == NO_ALLOCATION
    assert not lease.accept(4, LeaseGrant(requests[1].number, Allocation(4), 5 * SECOND))
