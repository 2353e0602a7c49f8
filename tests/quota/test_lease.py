"""A client's lease from one server: how long it may be used, and which grants are accepted.  Times in microseconds."""

from __future__ import annotations

from topazbank.quota.lease import Lease, LeaseGrant
from topazbank.quota.rules import NO_ALLOCATION, Allocation

S = 1_000_000


def test_a_lease_runs_from_when_it_was_requested() -> None:
    lease = Lease()
    request = lease.request(10, 5)
    assert lease.accept(3 * S, LeaseGrant(request.number, Allocation(5), 5 * S))
    assert lease.allocation_at(5 * S + 9) == Allocation(5)
    assert lease.allocation_at(5 * S + 10) == NO_ALLOCATION


def test_a_late_or_duplicate_grant_or_one_for_a_former_generation_is_not_accepted() -> None:
    lease = Lease()
    first, second = lease.request(0, 5), lease.request(S, 5)
    assert lease.accept(S, LeaseGrant(second.number, Allocation(3), 5 * S))
    assert not lease.accept(S, LeaseGrant(first.number, Allocation(9), 5 * S)), "earlier than the one held"
    assert not lease.accept(S, LeaseGrant(second.number, Allocation(9), 5 * S)), "a duplicate"
    assert not lease.accept(S, LeaseGrant(77, Allocation(9), 5 * S)), "for another generation's request"
    third = lease.request(2 * S, 5)
    assert not lease.accept(8 * S, LeaseGrant(third.number, Allocation(9), 5 * S)), "expired on arrival"
    assert lease.allocation_at(5 * S) == Allocation(3)


def test_after_a_release_no_grant_for_an_earlier_request_is_accepted() -> None:
    lease = Lease()
    requests = [lease.request(0, 5), lease.request(1, 5)]
    assert lease.accept(2, LeaseGrant(requests[0].number, Allocation(4), 5 * S))
    lease.release(3)
    assert lease.allocation_at(3) == NO_ALLOCATION
    assert not lease.accept(4, LeaseGrant(requests[1].number, Allocation(4), 5 * S))
