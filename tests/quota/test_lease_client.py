"""A lease client without sockets: when it requests what, and of which servers.  Times in microseconds."""

from __future__ import annotations

from dataclasses import replace

from topazbank.quota.lease import ClientId
from topazbank.quota.lease_client import SERVERS_PER_CLIENT_MAX, LeaseClient, OutgoingMessage
from topazbank.quota.lease_server import LeaseServer
from topazbank.quota.rules import MILLIUNITS_PER_UNIT, NO_ALLOCATION, Quota

S = 1_000_000
QUOTA = Quota("b", limit=100, burst=50, floor=500, members=10, lease_servers=("k",), lease_us=5 * S)
CLIENT_ID = ClientId(1, 1)


def exchange(client: LeaseClient, server: LeaseServer, now: int) -> list[OutgoingMessage]:
    """Deliver what the client sends, and the grants; the requests."""
    outgoing = client.due_requests(now)
    for message in outgoing:
        grant = server.handle_request(now, CLIENT_ID, message.request)
        assert grant is not None
        client.accept(now, message.lease_server, grant)
    return outgoing


def test_a_process_that_needs_no_more_than_its_floor_sends_nothing() -> None:
    client = LeaseClient(QUOTA, "a", 0)
    for second in range(1, 60):
        client.limiter.acquire(second * 4 * S)
        assert not client.due_requests(second * 4 * S)


def test_demand_is_met_within_a_renewal_and_past_demand_is_given_up() -> None:
    client, server = LeaseClient(QUOTA, "a", 0), LeaseServer(QUOTA, QUOTA.slice_of("k"), 0, [])
    now = 0
    for _ in range(300):
        now += S // 50
        client.limiter.acquire(now)
        exchange(client, server, now)
    assert client.allocated_amount(now) >= 50 * MILLIUNITS_PER_UNIT
    for _ in range(30):
        now += S
        exchange(client, server, now)
    server.expire(now + QUOTA.grace_period_us)
    assert client.allocated_amount(now) == QUOTA.floor and server.outstanding == NO_ALLOCATION


def test_a_client_uses_few_of_many_servers_and_few_clients_move_when_one_is_removed() -> None:
    names = tuple(f"k{number}" for number in range(12))

    def assigned(servers: tuple[str, ...]) -> dict[int, set[str]]:
        quota = replace(QUOTA, lease_servers=servers)
        return {number: set(LeaseClient(quota, f"h{number}", 0).leases) for number in range(200)}

    before, after = assigned(names), assigned(names[1:])
    assert all(len(servers) == SERVERS_PER_CLIENT_MAX for servers in before.values())
    moved = [number for number in before if before[number] != after[number]]
    assert all(names[0] in before[number] for number in moved)


def test_a_silent_server_gets_requests_and_the_others_cover_the_whole_demand() -> None:
    quota = replace(QUOTA, lease_servers=("k", "dead"))
    client, server = LeaseClient(quota, "a", 0), LeaseServer(quota, quota.slice_of("k"), 0, [])
    now = 0
    for _ in range(3000):
        now += S // 100
        client.limiter.acquire(now)
        for message in client.due_requests(now):
            if message.lease_server != "k":
                continue
            grant = server.handle_request(now, CLIENT_ID, message.request)
            if grant is not None:
                client.accept(now, message.lease_server, grant)
    assert server.outstanding.amount == quota.slice_of("k").amount, "all that the running server has"
