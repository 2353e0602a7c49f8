"""Several sources by precedence: whose word stands, and that gone stays gone."""

from __future__ import annotations

from topazbank.balancing.events import ServerDescription, ServerState
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList
from topazbank.discovery.merge import Merge

READY, DRAINING, GONE = ServerState.READY, ServerState.DRAINING, ServerState.REMOVED


def line(name: str, state: ServerState = READY, port: int = 80) -> DiscoveredServer:
    return DiscoveredServer(ServerDescription(name, state=state), ("10.0.0.1", port), None)


def whole(*lines: DiscoveredServer) -> EndpointList:
    return EndpointList(1, True, list(lines))


def changes(*lines: DiscoveredServer) -> EndpointList:
    return EndpointList(2, False, list(lines))


def read(told: EndpointList | None) -> dict[str, ServerState]:
    assert told is not None
    return {each.server.name: each.server.state for each in told.entries}


def test_the_list_begins_when_all_sources_have_spoken_or_can_t() -> None:
    # Guards a move between sources: the first one's empty list must not take away what the other will tell.
    merge = Merge(["zookeeper", "registry"])
    assert merge.told("zookeeper", whole()) is None
    first = merge.told("registry", whole(line("a"), line("b")))
    assert first is not None and first.complete and read(first) == {"a": READY, "b": READY}
    second = merge.told("zookeeper", changes(line("b", DRAINING), line("c")))
    assert second is not None and not second.complete
    assert read(second) == {"b": DRAINING, "c": READY}
    assert (merge.source_of("a"), merge.source_of("b")) == ("registry", "zookeeper")


def test_a_source_that_can_t_know_is_not_waited_for_and_nobody_s_word_is_no_list() -> None:
    merge = Merge(["zookeeper", "registry"])
    assert merge.cannot_know("zookeeper") is None
    assert merge.cannot_know("registry") is None
    assert read(merge.told("registry", whole(line("a")))) == {"a": READY}


def test_what_a_live_quorum_saw_go_is_not_brought_back_by_a_slower_list() -> None:
    merge = Merge(["zookeeper", "registry"])
    merge.told("zookeeper", whole(line("a")))
    assert read(merge.told("registry", whole(line("a")))) == {"a": READY}
    assert read(merge.told("zookeeper", changes(line("a", GONE)))) == {"a": GONE}
    assert merge.told("registry", changes(line("a"))) is None
    assert read(merge.told("zookeeper", changes(line("a")))) == {"a": READY}


def test_a_later_source_s_word_counts_only_where_the_first_has_none() -> None:
    merge = Merge(["zookeeper", "registry"])
    merge.told("zookeeper", whole(line("a")))
    assert read(merge.told("registry", whole(line("a", DRAINING)))) == {"a": READY}
    assert read(merge.told("registry", changes(line("b", DRAINING)))) == {"b": DRAINING}
    assert read(merge.told("registry", whole(line("a")))) == {"b": GONE}


def test_a_whole_list_says_who_has_gone() -> None:
    merge = Merge(["registry"])
    merge.told("registry", whole(line("a"), line("b")))
    assert read(merge.told("registry", whole(line("b")))) == {"a": GONE}
    assert merge.told("registry", whole(line("b"))) is None


def test_changes_before_any_whole_list_are_kept_for_it() -> None:
    merge = Merge(["zookeeper", "registry"])
    assert merge.told("zookeeper", changes(line("a"))) is None
    assert merge.told("registry", whole(line("b"))) is None
    assert read(merge.cannot_know("zookeeper")) == {"a": READY, "b": READY}
