"""Merging sources by precedence: the source whose endpoint is published, and removals that stay in effect."""

from __future__ import annotations

from topazbank.balancing.events import ServerDescription, ServerState
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList
from topazbank.discovery.merge import SourceMerger

READY, DRAINING, REMOVED = ServerState.READY, ServerState.DRAINING, ServerState.REMOVED


def endpoint(name: str, state: ServerState = READY, port: int = 80) -> DiscoveredServer:
    return DiscoveredServer(ServerDescription(name, state=state), ("10.0.0.1", port), None)


def snapshot(*endpoints: DiscoveredServer) -> EndpointList:
    return EndpointList(1, True, list(endpoints))


def delta(*endpoints: DiscoveredServer) -> EndpointList:
    return EndpointList(2, False, list(endpoints))


def states(update: EndpointList | None) -> dict[str, ServerState]:
    assert update is not None
    return {entry.server.name: entry.server.state for entry in update.entries}


def test_an_empty_snapshot_of_the_first_source_does_not_remove_nodes_of_the_second() -> None:
    """An operator migrates from the registry to ZooKeeper, where no node has registered yet.

    If ZooKeeper's empty snapshot were published at once, every node would be removed until the registry responds.  The
    first merged list is published only once every source has a snapshot or has failed.
    """
    merger = SourceMerger(["zookeeper", "registry"])
    assert merger.update("zookeeper", snapshot()) is None
    first = merger.update("registry", snapshot(endpoint("a"), endpoint("b")))
    assert first is not None
    assert first.complete
    assert states(first) == {"a": READY, "b": READY}
    second = merger.update("zookeeper", delta(endpoint("b", DRAINING), endpoint("c")))
    assert second is not None
    assert not second.complete
    assert states(second) == {"b": DRAINING, "c": READY}
    assert merger.source_of("a") == "registry"
    assert merger.source_of("b") == "zookeeper"


def test_a_failed_source_is_not_awaited_and_no_list_is_published_while_all_have_failed() -> None:
    merger = SourceMerger(["zookeeper", "registry"])
    assert merger.source_unavailable("zookeeper") is None
    assert merger.source_unavailable("registry") is None
    assert states(merger.update("registry", snapshot(endpoint("a")))) == {"a": READY}


def test_a_node_removed_by_a_quorum_is_not_brought_back_by_a_slower_source() -> None:
    merger = SourceMerger(["zookeeper", "registry"])
    merger.update("zookeeper", snapshot(endpoint("a")))
    assert states(merger.update("registry", snapshot(endpoint("a")))) == {"a": READY}
    assert states(merger.update("zookeeper", delta(endpoint("a", REMOVED)))) == {"a": REMOVED}
    assert merger.update("registry", delta(endpoint("a"))) is None
    assert states(merger.update("zookeeper", delta(endpoint("a")))) == {"a": READY}


def test_the_second_source_is_used_only_for_nodes_that_the_first_has_never_listed() -> None:
    merger = SourceMerger(["zookeeper", "registry"])
    merger.update("zookeeper", snapshot(endpoint("a")))
    assert states(merger.update("registry", snapshot(endpoint("a", DRAINING)))) == {"a": READY}
    assert states(merger.update("registry", delta(endpoint("b", DRAINING)))) == {"b": DRAINING}
    assert states(merger.update("registry", snapshot(endpoint("a")))) == {"b": REMOVED}


def test_a_snapshot_removes_the_nodes_that_it_does_not_list() -> None:
    merger = SourceMerger(["registry"])
    merger.update("registry", snapshot(endpoint("a"), endpoint("b")))
    assert states(merger.update("registry", snapshot(endpoint("b")))) == {"a": REMOVED}
    assert merger.update("registry", snapshot(endpoint("b"))) is None


def test_deltas_before_the_first_snapshot_are_part_of_it() -> None:
    merger = SourceMerger(["zookeeper", "registry"])
    assert merger.update("zookeeper", delta(endpoint("a"))) is None
    assert merger.update("registry", snapshot(endpoint("b"))) is None
    assert states(merger.source_unavailable("zookeeper")) == {"a": READY, "b": READY}
