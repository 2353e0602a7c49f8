"""Endpoints that share an address: the one that started later is the process that listens there."""

from __future__ import annotations

import random

from topazbank.balancing.events import ServerState
from topazbank.core.endpoint_table import EndpointTable
from topazbank.core.net import Address
from topazbank.core.upstream_client import ConnectionLimit

READY, DRAINING, REMOVED = ServerState.READY, ServerState.DRAINING, ServerState.REMOVED


class NoConnections:
    """An upstream client that opens nothing."""

    def add_endpoint(self, endpoint: object) -> None: ...

    endpoint_restarted = drain_endpoint = remove_endpoint = add_endpoint


def new_table() -> EndpointTable:
    table = EndpointTable(ConnectionLimit(4), 1.0)
    table._clients["http"] = NoConnections()  # type: ignore[assignment]
    return table


def at(port: int) -> Address:
    return ("127.0.0.1", port)


def test_of_two_endpoints_at_one_address_the_one_that_started_later_stays() -> None:
    table = new_table()
    for name, port, started in (("a", 1, 5), ("b", 1, 7), ("c", 2, 1), ("d", 2, 1)):
        table.update(name, at(port), started, READY)
    assert table.remove_superseded() == ["a"] and list(table.endpoints) == [
        "b",
        "c",
        "d",
    ]  # those that started together stay
    table.update("e", at(2), 9, READY)
    assert sorted(table.remove_superseded()) == ["c", "d"] and table.remove_superseded() == []


def test_two_endpoints_that_swap_addresses_in_one_list_both_stay() -> None:
    table = new_table()
    table.update("a", at(1), 5, READY)
    table.update("b", at(2), 7, READY)
    table.update("a", at(2), 5, READY)
    assert table.remove_superseded(lambda name: name == "b") == []  # b's entry comes with the next batch
    table.update("b", at(1), 7, READY)
    assert table.remove_superseded() == [] and len(table.endpoints) == 2
    assert table._by_address == {at(1): {"b": table.endpoints["b"]}, at(2): {"a": table.endpoints["a"]}}


def test_an_address_is_forgotten_with_its_last_endpoint() -> None:
    table, rng = new_table(), random.Random(3)
    for _ in range(500):
        name = f"n-{rng.randrange(9)}"
        state = rng.choice([READY, DRAINING, REMOVED])
        table.update(name, at(1 + rng.randrange(4)), rng.randrange(3), state)
        table.remove_superseded()
        where = {each.name: each.address for each in table.endpoints.values()}
        assert {name: address for address, sharing in table._by_address.items() for name in sharing} == where
        assert all(table._by_address.values())
