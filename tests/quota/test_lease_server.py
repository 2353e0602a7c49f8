"""A lease server without sockets: what it grants, and when it frees what it has granted.  Times in microseconds."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings as with_settings
from hypothesis import strategies as st

from topazbank.quota.lease import ClientId, LeaseGrant, LeaseRequest
from topazbank.quota.lease_server import CLIENTS_MAX, GRANTS_PER_CLIENT_MAX, LeaseServer
from topazbank.quota.rules import NO_ALLOCATION, Allocation, Quota

S = 1_000_000
QUOTA = Quota("b", limit=100, burst=50, floor=500, members=10, lease_servers=("k",), lease_us=5 * S)
SLICE = QUOTA.slice_of("k")
ONE, OTHER = ClientId(1, 1), ClientId(2, 1)


def make_server() -> LeaseServer:
    return LeaseServer(QUOTA, SLICE, 0, [])


def grant_to(
    server: LeaseServer, now: int, client: ClientId, number: int, wanted: int, held: LeaseGrant | None = None
) -> LeaseGrant:
    """What the server grants for a request of a client that holds a grant."""
    held_number, allocation = (held.number, held.allocation) if held is not None else (0, NO_ALLOCATION)
    grant = server.handle_request(now, client, LeaseRequest(number, held_number, allocation, wanted))
    assert grant is not None
    return grant


def test_a_smaller_grant_frees_nothing_until_the_client_says_that_it_holds_it() -> None:
    server = make_server()
    slice_ = SLICE.amount
    largest = grant_to(server, 0, ONE, 1, slice_)
    assert largest.allocation.amount == slice_
    grant_to(server, S, OTHER, 1, slice_)
    smaller = grant_to(server, 2 * S, ONE, 2, slice_, held=largest)
    assert smaller.allocation.amount == slice_ // 2
    assert grant_to(server, 2 * S, OTHER, 2, slice_).allocation == NO_ALLOCATION
    grant_to(server, 3 * S, ONE, 3, slice_, held=smaller)
    freed = grant_to(server, 3 * S, OTHER, 3, slice_)
    assert freed.allocation.amount == slice_ - smaller.allocation.amount
    server.check_invariants()


def test_an_allocation_is_granted_to_others_once_its_lease_has_expired_by_any_clock() -> None:
    server = make_server()
    grant_to(server, 0, ONE, 1, SLICE.amount)
    expires_at = QUOTA.server_lease_us(QUOTA.lease_us)
    assert grant_to(server, expires_at - 1, OTHER, 1, SLICE.amount).allocation == NO_ALLOCATION
    assert grant_to(server, expires_at + S, OTHER, 2, SLICE.amount).allocation.amount == SLICE.amount


def test_a_release_frees_at_once_and_a_late_one_does_not_free_what_was_granted_after_it() -> None:
    server = make_server()
    release = LeaseRequest(2, 2, NO_ALLOCATION, 0)
    server.handle_request(0, ONE, LeaseRequest(1, 0, NO_ALLOCATION, 9000))
    assert server.handle_release(1, ONE, release)
    assert server.outstanding == NO_ALLOCATION
    server.handle_request(2, ONE, LeaseRequest(3, 2, NO_ALLOCATION, 9000))
    assert not server.handle_release(3, ONE, release), "a duplicate"
    assert server.outstanding.amount == 9000


def test_a_server_without_its_grants_renews_what_is_claimed_and_grants_nothing_new_for_a_lease() -> None:
    server = LeaseServer(QUOTA, SLICE, 0, None)
    held = LeaseGrant(8, Allocation(30_000, 5), QUOTA.lease_us)
    assert grant_to(server, 1, ONE, 9, 60_000, held).allocation == Allocation(30_000, 5)
    assert grant_to(server, 1, OTHER, 1, 60_000).allocation == NO_ALLOCATION
    after = grant_to(server, QUOTA.grace_period_us, OTHER, 2, 60_000)
    assert after.allocation.amount == 60_000
    server.check_invariants()


def test_claims_beyond_the_slice_are_not_renewed() -> None:
    server = LeaseServer(QUOTA, SLICE, 0, None)
    claimed = Allocation(SLICE.amount // 2, SLICE.burst)
    for ident in range(5):
        server.handle_request(1, ClientId(ident, 1), LeaseRequest(9, 8, claimed, SLICE.amount))
    server.check_invariants()


def test_the_tables_of_a_server_are_bounded() -> None:
    server = make_server()
    for number in range(1, 3 * GRANTS_PER_CLIENT_MAX):
        server.handle_request(number, ONE, LeaseRequest(number, 0, NO_ALLOCATION, 10 + number))
    assert len(server.clients[ONE].grants) <= GRANTS_PER_CLIENT_MAX
    for ident in range(CLIENTS_MAX + 50):
        server.handle_request(100, ClientId(ident, 7), LeaseRequest(1, 0, NO_ALLOCATION, 0))
    assert len(server.clients) == CLIENTS_MAX
    server.handle_request(100 * S, ONE, LeaseRequest(99, 0, NO_ALLOCATION, 0))
    assert len(server.clients) == 1, "clients without grants and demand are removed"


@with_settings(deadline=None)
@given(st.integers(0, 1 << 30))
def test_any_sequence_of_messages_leaves_the_totals_right_and_within_the_slice(seed: int) -> None:
    chance = random.Random(seed)
    server = LeaseServer(QUOTA, SLICE, 0, None if chance.random() < 0.5 else [])
    now = 0
    for _ in range(60):
        now += chance.choice((0, 1, S // 3, 2 * S))
        client = ClientId(chance.randrange(4), chance.randrange(2))
        held = Allocation(chance.randrange(2 * SLICE.amount), chance.randrange(2 * SLICE.burst))
        number, held_number = chance.randrange(40), chance.randrange(40)
        request = LeaseRequest(number, held_number, held, chance.randrange(2 * SLICE.amount))
        if chance.random() < 0.2:
            server.handle_release(now, client, request)
        else:
            server.handle_request(now, client, request)
        server.check_invariants()
