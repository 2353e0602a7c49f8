"""Lists taken in steps: what waits, in which order, and that the decision module holds what one whole list would."""

from __future__ import annotations

import random

import pytest
from helpers import START, settings
from hypothesis import given
from hypothesis import strategies as st

from topazbank import Balancer
from topazbank.balancing.events import EndpointsUpdated, ServerDescription, ServerState, UpdateKind
from topazbank.core.endpoint_list import BATCH_SIZE, PendingUpdates
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList
from topazbank.core.endpoint_table import EndpointTable
from topazbank.core.net import Address
from topazbank.core.upstream_client import ConnectionLimit

READY, DRAINING, GONE = ServerState.READY, ServerState.DRAINING, ServerState.REMOVED


def line(name: str, state: ServerState = READY, zone: str = "east", nominal: float = 1.0) -> DiscoveredServer:
    return DiscoveredServer(ServerDescription(name, zone, "m", 3, state, nominal, 7), ("127.0.0.1", 80))


def names(lines: list[DiscoveredServer]) -> list[str]:
    return [each.server.name for each in lines]


def told(*lines: DiscoveredServer, complete: bool = False) -> EndpointList:
    return EndpointList(1, complete, list(lines))


def test_a_whole_list_comes_in_steps_and_what_takes_nodes_away_first() -> None:
    listing = PendingUpdates()
    listing.receive(0.0, told(*(line(f"n-{each}") for each in range(BATCH_SIZE)), complete=True))
    assert len(listing.take_batch()) == BATCH_SIZE and not listing.has_pending()
    stay = [line(f"m-{each}") for each in range(2 * BATCH_SIZE)]
    listing.receive(1.0, told(*stay, line("n-0", DRAINING), complete=True))
    first = listing.take_batch()
    assert len(first) == BATCH_SIZE and {each.server.state for each in first} == {GONE, DRAINING}
    assert sorted(names(first)) == sorted(f"n-{each}" for each in range(BATCH_SIZE))
    assert first[0].server.cell == 3  # by which a keyed request's own pod is told
    rest = [*listing.take_batch(), *listing.take_batch()]
    assert names(rest) == names(stay) and not listing.has_pending()


def test_what_was_taken_before_is_not_taken_again() -> None:
    listing = PendingUpdates()
    listing.receive(0.0, told(line("a"), line("b"), complete=True))
    listing.take_batch()
    listing.receive(1.0, told(line("a"), line("b", zone="west"), complete=True))
    assert names(listing.take_batch()) == ["b"]
    listing.receive(2.0, told(line("a"), line("b", zone="west"), complete=True))
    assert listing.take_batch() == []


def test_a_later_word_replaces_one_that_waits() -> None:
    listing = PendingUpdates()
    listing.receive(0.0, told(*(line(f"n-{each:03}") for each in range(3 * BATCH_SIZE)), complete=True))
    listing.take_batch()
    last = f"n-{3 * BATCH_SIZE - 1:03}"
    listing.receive(0.1, told(line(last, GONE)))
    assert listing.is_pending(last)
    step = listing.take_batch()
    assert names(step)[0] == last and step[0].server.state is GONE
    assert last not in names(listing.take_batch() + listing.take_batch()) and not listing.has_pending()


def test_a_newer_whole_list_takes_the_place_of_one_that_waits() -> None:
    listing = PendingUpdates()
    listing.receive(0.0, told(*(line(f"n-{each}") for each in range(2 * BATCH_SIZE)), complete=True))
    listing.take_batch()
    listing.receive(0.1, told(line("other"), complete=True))
    step = listing.take_batch() + listing.take_batch()
    assert sorted(names(step)) == sorted(["other", *(f"n-{each}" for each in range(BATCH_SIZE))])
    assert not listing.has_pending()  # those that had not been taken are not heard of at all


def test_how_old_a_node_s_line_is_counts_from_when_it_was_last_told() -> None:
    listing = PendingUpdates()
    listing.receive(1.0, told(line("a"), line("b"), complete=True))
    listing.receive(2.0, told(line("a")))
    listing.receive(3.0, told(line("b", GONE)))
    assert (listing.updated_at("a", 9.0), listing.updated_at("b", 9.0)) == (2.0, 9.0)


_LINES = st.lists(
    st.builds(
        line,
        st.sampled_from([f"n-{each}" for each in range(12)]),
        st.sampled_from([READY, READY, DRAINING, GONE]),
        st.sampled_from(["east", "west"]),
        st.sampled_from([0.0, 1.0, 2.5]),
    ),
    max_size=15,
)


@given(st.lists(st.tuples(st.booleans(), _LINES, st.integers(0, 4)), max_size=8))
def test_steps_end_where_whole_lists_would(history: list[tuple[bool, list[DiscoveredServer], int]]) -> None:
    """Whatever is told, and however many steps are taken between, the module's list is what was told last."""
    listing, stepped = PendingUpdates(), Balancer(settings(), 1)
    expected: dict[str, ServerDescription] = {}
    now = START

    def step() -> None:
        lines = [each.server for each in listing.take_batch(3)]
        stepped.handle(now, EndpointsUpdated(UpdateKind.DELTA, lines))

    for complete, lines, steps in history:
        now += 1
        listing.receive(0.0, EndpointList(1, complete, lines))
        if complete:
            expected = {}
        expected |= {each.server.name: each.server for each in lines}
        expected = {name: each for name, each in expected.items() if each.state is not GONE}
        for _ in range(steps):
            step()
    while listing.has_pending():
        step()
    step()
    assert {
        each.name: (each.state, each.zone, each.nominal_capacity) for each in stepped.servers.by_name.values()
    } == {each.name: (each.state, each.zone, each.nominal_capacity) for each in expected.values()}
    ready = sorted(
        (each for each in stepped.servers.by_name.values() if each.state is READY),
        key=lambda each: each.order,
    )
    assert stepped.servers.ready == ready
    assert stepped.servers.ready_in_zone == [each for each in ready if each.zone == "east"]
    assert stepped.servers.ready_capacity == pytest.approx(sum(each.nominal_capacity for each in ready))
    assert all(each.latency_ratio > 0.0 for each in ready)


# -- Addresses ---------------------------------------------------------------------------------------


class NoConnections:
    """An upstream client that opens nothing."""

    def add_endpoint(self, endpoint: object) -> None: ...

    endpoint_restarted = drain_endpoint = remove_endpoint = add_endpoint


def nodes() -> EndpointTable:
    made = EndpointTable(ConnectionLimit(4), 1.0)
    made._clients["http"] = NoConnections()  # type: ignore[assignment]
    return made


def at(port: int) -> Address:
    return ("127.0.0.1", port)


def test_of_two_at_one_address_the_one_that_started_later_stays() -> None:
    made = nodes()
    for name, port, started in (("a", 1, 5), ("b", 1, 7), ("c", 2, 1), ("d", 2, 1)):
        made.update(name, at(port), started, READY)
    assert made.remove_superseded() == ["a"] and list(made.endpoints) == ["b", "c", "d"]  # equals both stay
    made.update("e", at(2), 9, READY)
    assert sorted(made.remove_superseded()) == ["c", "d"] and made.remove_superseded() == []


def test_two_that_swap_addresses_in_one_list_both_stay() -> None:
    made = nodes()
    made.update("a", at(1), 5, READY)
    made.update("b", at(2), 7, READY)
    made.update("a", at(2), 5, READY)
    assert made.remove_superseded(lambda name: name == "b") == []  # b's own line comes with the next step
    made.update("b", at(1), 7, READY)
    assert made.remove_superseded() == [] and len(made.endpoints) == 2
    assert made._by_address == {at(1): {"b": made.endpoints["b"]}, at(2): {"a": made.endpoints["a"]}}


def test_an_address_is_forgotten_with_its_last_node() -> None:
    made, rng = nodes(), random.Random(3)
    for _ in range(500):
        name = f"n-{rng.randrange(9)}"
        state = rng.choice([READY, DRAINING, GONE])
        made.update(name, at(1 + rng.randrange(4)), rng.randrange(3), state)
        made.remove_superseded()
        where = {each.name: each.address for each in made.endpoints.values()}
        assert {name: address for address, there in made._by_address.items() for name in there} == where
        assert all(made._by_address.values())


def test_the_version_that_is_handed_over_is_one_of_which_all_is_taken() -> None:
    # A process that begins from a list with a later version than its lines are of would never hear of the rest.
    listing = PendingUpdates()
    listing.receive(0.0, EndpointList(7, True, [line(f"n-{each}") for each in range(3 * BATCH_SIZE)]))
    while listing.has_pending():
        assert listing.applied_version == 0
        listing.take_batch()
    assert listing.applied_version == listing.version == 7
    listing.receive(
        1.0, EndpointList(8, False, [line(f"n-{each}", DRAINING) for each in range(BATCH_SIZE + 1)])
    )
    listing.take_batch()
    assert (listing.applied_version, listing.version) == (7, 8)
    listing.take_batch()
    assert listing.applied_version == 8
    listing.receive(2.0, EndpointList(9, False, []))
    listing.take_batch()
    assert listing.applied_version == 9
