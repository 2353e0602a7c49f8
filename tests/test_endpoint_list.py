"""Updates applied in batches: the pending entries, their order, and that the balancer ends with the received list."""

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


def test_a_snapshot_is_applied_in_batches_with_draining_and_removed_servers_first() -> None:
    updates = PendingUpdates()
    updates.receive(0.0, changes(*(entry(f"n-{index}") for index in range(BATCH_SIZE)), complete=True))
    assert len(updates.take_batch()) == BATCH_SIZE and not updates.has_pending()
    staying = [entry(f"m-{index}") for index in range(2 * BATCH_SIZE)]
    updates.receive(1.0, changes(*staying, entry("n-0", DRAINING), complete=True))
    first = updates.take_batch()
    assert len(first) == BATCH_SIZE and {item.server.state for item in first} == {REMOVED, DRAINING}
    assert sorted(names(first)) == sorted(f"n-{index}" for index in range(BATCH_SIZE))
    assert first[0].server.cell == 3  # the balancer needs a removed server's cell
    rest = [*updates.take_batch(), *updates.take_batch()]
    assert names(rest) == names(staying) and not updates.has_pending()


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
    updates.receive(0.0, changes(*(entry(f"n-{index:03}") for index in range(3 * BATCH_SIZE)), complete=True))
    updates.take_batch()
    last = f"n-{3 * BATCH_SIZE - 1:03}"
    updates.receive(0.1, changes(entry(last, REMOVED)))
    assert updates.is_pending(last)
    batch = updates.take_batch()
    assert names(batch)[0] == last and batch[0].server.state is REMOVED
    assert last not in names(updates.take_batch() + updates.take_batch()) and not updates.has_pending()


def test_a_newer_snapshot_replaces_one_that_is_pending() -> None:
    updates = PendingUpdates()
    updates.receive(0.0, changes(*(entry(f"n-{index}") for index in range(2 * BATCH_SIZE)), complete=True))
    updates.take_batch()
    updates.receive(0.1, changes(entry("other"), complete=True))
    batch = updates.take_batch() + updates.take_batch()
    assert sorted(names(batch)) == sorted(["other", *(f"n-{index}" for index in range(BATCH_SIZE))])
    assert not updates.has_pending()  # entries still pending from the first snapshot are dropped


def test_updated_at_is_the_time_of_the_last_update() -> None:
    updates = PendingUpdates()
    updates.receive(1.0, changes(entry("a"), entry("b"), complete=True))
    updates.receive(2.0, changes(entry("a")))
    updates.receive(3.0, changes(entry("b", REMOVED)))
    assert (updates.updated_at("a", 9.0), updates.updated_at("b", 9.0)) == (2.0, 9.0)


_ENTRIES = st.lists(
    st.builds(
        entry,
        st.sampled_from([f"n-{index}" for index in range(12)]),
        st.sampled_from([READY, READY, DRAINING, REMOVED]),
        st.sampled_from(["east", "west"]),
        st.sampled_from([0.0, 1.0, 2.5]),
    ),
    max_size=15,
)


@given(st.lists(st.tuples(st.booleans(), _ENTRIES, st.integers(0, 4)), max_size=8))
def test_batches_lead_to_the_same_list_as_snapshots(
    history: list[tuple[bool, list[DiscoveredServer], int]],
) -> None:
    """The balancer ends with the last received list, whatever is received and however many batches run in between."""
    updates, balancer = PendingUpdates(), Balancer(settings(), 1)
    expected: dict[str, ServerDescription] = {}
    now = START

    def apply_batch() -> None:
        servers = [entry.server for entry in updates.take_batch(3)]
        balancer.handle(now, EndpointsUpdated(UpdateKind.DELTA, servers))

    for complete, entries, batch_count in history:
        now += 1
        updates.receive(0.0, EndpointList(1, complete, entries))
        if complete:
            expected = {}
        expected |= {item.server.name: item.server for item in entries}
        expected = {name: server for name, server in expected.items() if server.state is not REMOVED}
        for _ in range(batch_count):
            apply_batch()
    while updates.has_pending():
        apply_batch()
    apply_batch()
    assert {
        server.name: (server.state, server.zone, server.nominal_capacity)
        for server in balancer.servers.by_name.values()
    } == {server.name: (server.state, server.zone, server.nominal_capacity) for server in expected.values()}
    ready = sorted(
        (server for server in balancer.servers.by_name.values() if server.state is READY),
        key=lambda server: server.order,
    )
    assert balancer.servers.ready == ready
    assert balancer.servers.ready_in_zone == [server for server in ready if server.zone == "east"]
    assert balancer.servers.ready_capacity == pytest.approx(sum(server.nominal_capacity for server in ready))
    assert all(server.latency_ratio > 0.0 for server in ready)


def test_the_handed_over_version_is_one_that_is_applied_completely() -> None:
    # Guards against a handover of a version newer than its entries: the new process would never receive the missing
    # entries.
    updates = PendingUpdates()
    updates.receive(0.0, EndpointList(7, True, [entry(f"n-{index}") for index in range(3 * BATCH_SIZE)]))
    while updates.has_pending():
        assert updates.applied_version == 0
        updates.take_batch()
    assert updates.applied_version == updates.version == 7
    updates.receive(
        1.0, EndpointList(8, False, [entry(f"n-{index}", DRAINING) for index in range(BATCH_SIZE + 1)])
    )
    updates.take_batch()
    assert (updates.applied_version, updates.version) == (7, 8)
    updates.take_batch()
    assert updates.applied_version == 8
    updates.receive(2.0, EndpointList(9, False, []))
    updates.take_batch()
    assert updates.applied_version == 9
