"""A lease server without sockets: its grants, and when it frees them.  Times are in microseconds."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings as with_settings
from hypothesis import strategies as st

from topazbank.quota.lease import ClientId, LeaseGrant, LeaseRequest
from topazbank.quota.lease_server import CLIENTS_MAX, GRANTS_PER_CLIENT_MAX, LeaseServer
from topazbank.quota.rules import NO_ALLOCATION, Allocation, Quota

SECOND = 1_000_000
QUOTA = Quota("b", limit=100, burst=50, floor=500, members=10, lease_servers=("k",), lease_us=5 * SECOND)
SLICE = QUOTA.slice_of("k")
CLIENT, OTHER_CLIENT = ClientId(1, 1), ClientId(2, 1)


def make_server() -> LeaseServer:
    return LeaseServer(QUOTA, SLICE, 0, [])


def grant_to(
    server: LeaseServer, now: int, client: ClientId, number: int, wanted: int, held: LeaseGrant | None = None
) -> LeaseGrant:
    """Return the server's grant for a request of a client that holds `held`."""
    held_number, allocation = (held.number, held.allocation) if held is not None else (0, NO_ALLOCATION)
    grant = server.handle_request(now, client, LeaseRequest(number, held_number, allocation, wanted))
    assert grant is not None
    return grant


def test_smaller_grant_frees_capacity_only_once_the_client_reports_it() -> None:
    server = make_server()
    slice_ = SLICE.amount
    largest = grant_to(server, 0, CLIENT, 1, slice_)
    assert largest.allocation.amount == slice_
    grant_to(server, SECOND, OTHER_CLIENT, 1, slice_)
    smaller = grant_to(server, 2 * SECOND, CLIENT, 2, slice_, held=largest)
    assert smaller.allocation.amount == slice_ // 2
    assert grant_to(server, 2 * SECOND, OTHER_CLIENT, 2, slice_).allocation == NO_ALLOCATION
    grant_to(server, 3 * SECOND, CLIENT, 3, slice_, held=smaller)
    freed = grant_to(server, 3 * SECOND, OTHER_CLIENT, 3, slice_)
    assert freed.allocation.amount == slice_ - smaller.allocation.amount
    server.check_invariants()


def test_allocation_is_free_for_others_once_its_lease_has_expired_on_any_clock() -> None:
    server = make_server()
    grant_to(server, 0, CLIENT, 1, SLICE.amount)
    expires_at = QUOTA.server_lease_us(QUOTA.lease_us)
    assert grant_to(server, expires_at - 1, OTHER_CLIENT, 1, SLICE.amount).allocation == NO_ALLOCATION
    assert (
        grant_to(server, expires_at + SECOND, OTHER_CLIENT, 2, SLICE.amount).allocation.amount == SLICE.amount
    )


def test_release_frees_grants_at_once_and_a_late_duplicate_frees_no_later_grant() -> None:
    server = make_server()
    release = LeaseRequest(2, 2, NO_ALLOCATION, 0)
    server.handle_request(0, CLIENT, LeaseRequest(1, 0, NO_ALLOCATION, 9000))
    assert server.handle_release(1, CLIENT, release)
    assert server.outstanding == NO_ALLOCATION
    server.handle_request(2, CLIENT, LeaseRequest(3, 2, NO_ALLOCATION, 9000))
    assert not server.handle_release(3, CLIENT, release), "a duplicate"
    assert server.outstanding.amount == 9000


def test_server_without_its_grants_only_renews_reported_allocations_in_the_grace_period() -> None:
    server = LeaseServer(QUOTA, SLICE, 0, None)
    held = LeaseGrant(8, Allocation(30_000, 5), QUOTA.lease_us)
    assert grant_to(server, 1, CLIENT, 9, 60_000, held).allocation == Allocation(30_000, 5)
    assert grant_to(server, 1, OTHER_CLIENT, 1, 60_000).allocation == NO_ALLOCATION
    after = grant_to(server, QUOTA.grace_period_us, OTHER_CLIENT, 2, 60_000)
    assert after.allocation.amount == 60_000
    server.check_invariants()


def test_reported_allocations_beyond_the_slice_are_not_renewed() -> None:
    server = LeaseServer(QUOTA, SLICE, 0, None)
    reported = Allocation(SLICE.amount // 2, SLICE.burst)
    for ident in range(5):
        server.handle_request(1, ClientId(ident, 1), LeaseRequest(9, 8, reported, SLICE.amount))
    server.check_invariants()


def test_client_and_grant_tables_are_bounded() -> None:
    server = make_server()
    for number in range(1, 3 * GRANTS_PER_CLIENT_MAX):
        server.handle_request(number, CLIENT, LeaseRequest(number, 0, NO_ALLOCATION, 10 + number))
    assert len(server.clients[CLIENT].grants) <= GRANTS_PER_CLIENT_MAX
    for ident in range(CLIENTS_MAX + 50):
        server.handle_request(100, ClientId(ident, 7), LeaseRequest(1, 0, NO_ALLOCATION, 0))
    assert len(server.clients) == CLIENTS_MAX
    server.handle_request(100 * SECOND, CLIENT, LeaseRequest(99, 0, NO_ALLOCATION, 0))
    assert len(server.clients) == 1, "clients without grants or demand are removed"


@with_settings(deadline=None)
@given(st.integers(0, 1 << 30))
def test_totals_stay_correct_and_within_the_slice_for_any_messages(seed: int) -> None:
    rng = random.Random(seed)
    server = LeaseServer(QUOTA, SLICE, 0, None if rng.random() < 0.5 else [])
    now = 0
    for _ in range(60):
        now += rng.choice((0, 1, SECOND // 3, 2 * SECOND))
        client = ClientId(rng.randrange(4), rng.randrange(2))
        held = Allocation(rng.randrange(2 * SLICE.amount), rng.randrange(2 * SLICE.burst))
        number, held_number = rng.randrange(40), rng.randrange(40)
        request = LeaseRequest(number, held_number, held, rng.randrange(2 * SLICE.amount))
        if rng.random() < 0.2:
            server.handle_release(now, client, request)
        else:
            server.handle_request(now, client, request)
        server.check_invariants()
