"""A lease client without sockets: its requests and their timing, and its servers.  Times are in microseconds."""

from __future__ import annotations

from dataclasses import replace

from topazbank.quota.lease import ClientId
from topazbank.quota.lease_client import SERVERS_PER_CLIENT_MAX, LeaseClient, OutgoingMessage
from topazbank.quota.lease_server import LeaseServer
from topazbank.quota.rules import MILLIUNITS_PER_UNIT, NO_ALLOCATION, Quota

SECOND = 1_000_000
QUOTA = Quota("b", limit=100, burst=50, floor=500, members=10, lease_servers=("k",), lease_us=5 * SECOND)
CLIENT_ID = ClientId(1, 1)


def exchange(client: LeaseClient, server: LeaseServer, now: int) -> list[OutgoingMessage]:
    """Deliver the client's requests and the server's grants.  Return the requests."""
    outgoing = client.due_requests(now)
    for message in outgoing:
        grant = server.handle_request(now, CLIENT_ID, message.request)
        assert grant is not None
        client.accept(now, message.lease_server, grant)
    return outgoing


def test_process_within_its_floor_sends_nothing() -> None:
    client = LeaseClient(QUOTA, "a", 0)
    for second in range(1, 60):
        client.limiter.acquire(second * 4 * SECOND)
        assert not client.due_requests(second * 4 * SECOND)


def test_demand_is_met_and_past_demand_is_released() -> None:
    client, server = LeaseClient(QUOTA, "a", 0), LeaseServer(QUOTA, QUOTA.slice_of("k"), 0, [])
    now = 0
    for _ in range(300):
        now += SECOND // 50
        client.limiter.acquire(now)
        exchange(client, server, now)
    assert client.allocated_amount(now) >= 50 * MILLIUNITS_PER_UNIT
    for _ in range(30):
        now += SECOND
        exchange(client, server, now)
    server.expire(now + QUOTA.grace_period_us)
    assert client.allocated_amount(now) == QUOTA.floor and server.outstanding == NO_ALLOCATION


def test_client_uses_few_servers_and_removing_one_moves_only_its_clients() -> None:
    names = tuple(f"k{number}" for number in range(12))

    def assigned(servers: tuple[str, ...]) -> dict[int, set[str]]:
        quota = replace(QUOTA, lease_servers=servers)
        return {number: set(LeaseClient(quota, f"h{number}", 0).leases) for number in range(200)}

    before, after = assigned(names), assigned(names[1:])
    assert all(len(servers) == SERVERS_PER_CLIENT_MAX for servers in before.values())
    moved = [number for number in before if before[number] != after[number]]
    assert all(names[0] in before[number] for number in moved)


def test_other_servers_cover_the_demand_when_one_is_silent() -> None:
    quota = replace(QUOTA, lease_servers=("k", "dead"))
    client, server = LeaseClient(quota, "a", 0), LeaseServer(quota, quota.slice_of("k"), 0, [])
    now = 0
    for _ in range(3000):
        now += SECOND // 100
        client.limiter.acquire(now)
        for message in client.due_requests(now):
            if message.lease_server != "k":
                continue
            grant = server.handle_request(now, CLIENT_ID, message.request)
            if grant is not None:
                client.accept(now, message.lease_server, grant)
    assert server.outstanding.amount == quota.slice_of("k").amount, "the entire slice of the running server"
