"""Endpoints that share an address: only the process that started last listens there."""

from __future__ import annotations

import random

from topazbank.balancing.events import ServerState
from topazbank.core.endpoint_table import EndpointTable
from topazbank.core.net import Address
from topazbank.core.upstream_client import ConnectionLimit

READY, DRAINING, REMOVED = ServerState.READY, ServerState.DRAINING, ServerState.REMOVED


class NoConnectionsClient:
    """An upstream client that opens no connections."""

    def add_endpoint(self, endpoint: object) -> None: ...

    endpoint_restarted = drain_endpoint = remove_endpoint = add_endpoint


def new_table() -> EndpointTable:
    table = EndpointTable(ConnectionLimit(4), 1.0)
    table._clients["http"] = NoConnectionsClient()  # type: ignore[assignment]
    return table


def loopback_address(port: int) -> Address:
    return ("127.0.0.1", port)


def test_only_the_latest_started_endpoint_at_an_address_stays() -> None:
    table = new_table()
    for name, port, started_at in (("a", 1, 5), ("b", 1, 7), ("c", 2, 1), ("d", 2, 1)):
        table.update(name, loopback_address(port), started_at, READY)
    assert table.remove_superseded() == ["a"] and list(table.endpoints) == [
        "b",
        "c",
        "d",
    ]  # with equal start times both stay
    table.update("e", loopback_address(2), 9, READY)
    assert sorted(table.remove_superseded()) == ["c", "d"] and table.remove_superseded() == []


def test_endpoints_that_swap_addresses_in_one_list_both_stay() -> None:
    table = new_table()
    table.update("a", loopback_address(1), 5, READY)
    table.update("b", loopback_address(2), 7, READY)
    table.update("a", loopback_address(2), 5, READY)
    assert table.remove_superseded(lambda name: name == "b") == []  # b's entry is in the next batch
    table.update("b", loopback_address(1), 7, READY)
    assert table.remove_superseded() == [] and len(table.endpoints) == 2
    assert table._by_address == {
        loopback_address(1): {"b": table.endpoints["b"]},
        loopback_address(2): {"a": table.endpoints["a"]},
    }


def test_an_address_is_removed_with_its_last_endpoint() -> None:
    table, rng = new_table(), random.Random(3)
    for _ in range(500):
        name = f"n-{rng.randrange(9)}"
        state = rng.choice([READY, DRAINING, REMOVED])
        table.update(name, loopback_address(1 + rng.randrange(4)), rng.randrange(3), state)
        table.remove_superseded()
        addresses = {endpoint.name: endpoint.address for endpoint in table.endpoints.values()}
        assert {
            name: address for address, same_address in table._by_address.items() for name in same_address
        } == addresses
        assert all(table._by_address.values())
