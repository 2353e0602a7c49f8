"""Updates applied in batches: what is pending, in which order, and that the balancer ends with the list as received."""

from __future__ import annotations

import pytest
from helpers import START, settings
from hypothesis import given
from hypothesis import strategies as st

from topazbank import Balancer
from topazbank.balancing.events import EndpointsUpdated, ServerDescription, ServerState, UpdateKind
from topazbank.core.endpoint_list import BATCH_SIZE, PendingUpdates
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList

READY, DRAINING, REMOVED = ServerState.READY, ServerState.DRAINING, ServerState.REMOVED


def entry(
    name: str, state: ServerState = READY, zone: str = "east", nominal: float = 1.0
) -> DiscoveredServer:
    return DiscoveredServer(ServerDescription(name, zone, "m", 3, state, nominal, 7), ("127.0.0.1", 80))


def names(entries: list[DiscoveredServer]) -> list[str]:
    return [entry.server.name for entry in entries]


def changes(*entries: DiscoveredServer, complete: bool = False) -> EndpointList:
    return EndpointList(1, complete, list(entries))


def test_a_snapshot_comes_in_batches_and_servers_that_leave_come_first() -> None:
    updates = PendingUpdates()
    updates.receive(0.0, changes(*(entry(f"n-{each}") for each in range(BATCH_SIZE)), complete=True))
    assert len(updates.take_batch()) == BATCH_SIZE and not updates.has_pending()
    stay = [entry(f"m-{each}") for each in range(2 * BATCH_SIZE)]
    updates.receive(1.0, changes(*stay, entry("n-0", DRAINING), complete=True))
    first = updates.take_batch()
    assert len(first) == BATCH_SIZE and {each.server.state for each in first} == {REMOVED, DRAINING}
    assert sorted(names(first)) == sorted(f"n-{each}" for each in range(BATCH_SIZE))
    assert first[0].server.cell == 3  # which the balancer needs of a removed server
    rest = [*updates.take_batch(), *updates.take_batch()]
    assert names(rest) == names(stay) and not updates.has_pending()


def test_an_unchanged_entry_is_not_applied_again() -> None:
    updates = PendingUpdates()
    updates.receive(0.0, changes(entry("a"), entry("b"), complete=True))
    updates.take_batch()
    updates.receive(1.0, changes(entry("a"), entry("b", zone="west"), complete=True))
    assert names(updates.take_batch()) == ["b"]
    updates.receive(2.0, changes(entry("a"), entry("b", zone="west"), complete=True))
    assert updates.take_batch() == []


def test_a_later_entry_replaces_one_that_is_pending() -> None:
    updates = PendingUpdates()
    updates.receive(0.0, changes(*(entry(f"n-{each:03}") for each in range(3 * BATCH_SIZE)), complete=True))
    updates.take_batch()
    last = f"n-{3 * BATCH_SIZE - 1:03}"
    updates.receive(0.1, changes(entry(last, REMOVED)))
    assert updates.is_pending(last)
    batch = updates.take_batch()
    assert names(batch)[0] == last and batch[0].server.state is REMOVED
    assert last not in names(updates.take_batch() + updates.take_batch()) and not updates.has_pending()


def test_a_newer_snapshot_replaces_one_that_is_pending() -> None:
    updates = PendingUpdates()
    updates.receive(0.0, changes(*(entry(f"n-{each}") for each in range(2 * BATCH_SIZE)), complete=True))
    updates.take_batch()
    updates.receive(0.1, changes(entry("other"), complete=True))
    batch = updates.take_batch() + updates.take_batch()
    assert sorted(names(batch)) == sorted(["other", *(f"n-{each}" for each in range(BATCH_SIZE))])
    assert not updates.has_pending()  # those that had not been applied never are


def test_a_server_s_entry_is_as_old_as_the_last_update_of_it() -> None:
    updates = PendingUpdates()
    updates.receive(1.0, changes(entry("a"), entry("b"), complete=True))
    updates.receive(2.0, changes(entry("a")))
    updates.receive(3.0, changes(entry("b", REMOVED)))
    assert (updates.updated_at("a", 9.0), updates.updated_at("b", 9.0)) == (2.0, 9.0)


_ENTRIES = st.lists(
    st.builds(
        entry,
        st.sampled_from([f"n-{each}" for each in range(12)]),
        st.sampled_from([READY, READY, DRAINING, REMOVED]),
        st.sampled_from(["east", "west"]),
        st.sampled_from([0.0, 1.0, 2.5]),
    ),
    max_size=15,
)


@given(st.lists(st.tuples(st.booleans(), _ENTRIES, st.integers(0, 4)), max_size=8))
def test_batches_end_where_snapshots_would(history: list[tuple[bool, list[DiscoveredServer], int]]) -> None:
    """Whatever is received, and however many batches are applied in between, the balancer's list is the last one."""
    updates, balancer = PendingUpdates(), Balancer(settings(), 1)
    expected: dict[str, ServerDescription] = {}
    now = START

    def apply_batch() -> None:
        servers = [entry.server for entry in updates.take_batch(3)]
        balancer.handle(now, EndpointsUpdated(UpdateKind.DELTA, servers))

    for complete, entries, batches in history:
        now += 1
        updates.receive(0.0, EndpointList(1, complete, entries))
        if complete:
            expected = {}
        expected |= {each.server.name: each.server for each in entries}
        expected = {name: each for name, each in expected.items() if each.state is not REMOVED}
        for _ in range(batches):
            apply_batch()
    while updates.has_pending():
        apply_batch()
    apply_batch()
    assert {
        each.name: (each.state, each.zone, each.nominal_capacity)
        for each in balancer.servers.by_name.values()
    } == {each.name: (each.state, each.zone, each.nominal_capacity) for each in expected.values()}
    ready = sorted(
        (each for each in balancer.servers.by_name.values() if each.state is READY),
        key=lambda each: each.order,
    )
    assert balancer.servers.ready == ready
    assert balancer.servers.ready_in_zone == [each for each in ready if each.zone == "east"]
    assert balancer.servers.ready_capacity == pytest.approx(sum(each.nominal_capacity for each in ready))
    assert all(each.latency_ratio > 0.0 for each in ready)


def test_the_version_that_is_handed_over_is_one_that_is_applied_completely() -> None:
    # A process that begins with a list whose version is newer than its entries would never receive the rest.
    updates = PendingUpdates()
    updates.receive(0.0, EndpointList(7, True, [entry(f"n-{each}") for each in range(3 * BATCH_SIZE)]))
    while updates.has_pending():
        assert updates.applied_version == 0
        updates.take_batch()
    assert updates.applied_version == updates.version == 7
    updates.receive(
        1.0, EndpointList(8, False, [entry(f"n-{each}", DRAINING) for each in range(BATCH_SIZE + 1)])
    )
    updates.take_batch()
    assert (updates.applied_version, updates.version) == (7, 8)
    updates.take_batch()
    assert updates.applied_version == 8
    updates.receive(2.0, EndpointList(9, False, []))
    updates.take_batch()
    assert updates.applied_version == 9
