"""Merging of several endpoint sources by precedence; no I/O.

A node's endpoint is taken from the first source, in the operator's order, that has ever listed the node.  This includes
removals: a node that this source has removed stays removed even if a source of lower precedence still lists it.
Otherwise a slower source could bring back a node that a quorum has removed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from topazbank.balancing.events import ServerState
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList, as_removed

REMOVED_NAMES_MAX = 10_000  # limit of removed names remembered per source; the oldest are forgotten first


class _MergedEndpoint(NamedTuple):
    endpoint: DiscoveredServer
    source: str


@dataclass(slots=True)
class _SourceState:
    """The endpoints and removals that one source has published."""

    endpoints: dict[str, DiscoveredServer] = field(default_factory=dict)
    removed: dict[str, None] = field(default_factory=dict)  # an ordered set; bounded by REMOVED_NAMES_MAX
    has_snapshot: bool = False
    is_awaited: bool = True  # until it has a snapshot, has failed or the wait for it has ended

    def update(self, endpoint: DiscoveredServer) -> None:
        name = endpoint.server.name
        if endpoint.server.state is ServerState.REMOVED:
            self.remove(name)
        else:
            self.endpoints[name] = endpoint
            self.removed.pop(name, None)

    def remove(self, name: str) -> None:
        self.endpoints.pop(name, None)
        self.removed[name] = None
        if len(self.removed) > REMOVED_NAMES_MAX:
            del self.removed[next(iter(self.removed))]

    def snapshot_complete(self) -> None:
        self.has_snapshot = True
        self.is_awaited = False


class SourceMerger:
    """The merged list; each updating method returns its changes to the list, or None."""

    def __init__(self, sources: Sequence[str]) -> None:
        """`sources`: the names of the sources, highest precedence first."""
        self._sources = {name: _SourceState() for name in sources}
        self._published: dict[str, _MergedEndpoint] = {}
        self._snapshot_published = False
        self._version = 0

    def update(self, source: str, update: EndpointList) -> EndpointList | None:
        """Merge a snapshot or a delta from a source."""
        state = self._sources[source]
        changed_names = {entry.server.name for entry in update.entries}
        if update.complete:
            state.snapshot_complete()
            for name in state.endpoints.keys() - changed_names:
                changed_names.add(name)
                state.remove(name)
        for entry in update.entries:
            state.update(entry)
        return self._publish(changed_names)

    def snapshot_complete(self, source: str) -> EndpointList | None:
        """Mark a source's snapshot as complete, after it was merged in deltas."""
        self._sources[source].snapshot_complete()
        return self._publish(set())

    def source_unavailable(self, source: str) -> EndpointList | None:
        """Stop waiting for a source that has failed or is too slow: it no longer delays the first merged list."""
        self._sources[source].is_awaited = False
        return self._publish(set())

    def source_of(self, name: str) -> str | None:
        """The source of a published endpoint."""
        merged = self._published.get(name)
        return merged.source if merged is not None else None

    def _publish(self, changed_names: set[str]) -> EndpointList | None:
        return self._delta(changed_names) if self._snapshot_published else self._first_snapshot()

    def _first_snapshot(self) -> EndpointList | None:
        """The first list, once no source is awaited; an earlier list would remove nodes not yet sent by a source."""
        states = self._sources.values()
        if any(state.is_awaited for state in states):
            return None
        names = {name for state in states for name in state.endpoints}
        if not names and not any(state.has_snapshot for state in states):
            return None  # no source has a snapshot: every source has failed
        self._snapshot_published = True
        for name in sorted(names):
            merged = self._merge(name)
            if merged is not None:
                self._published[name] = merged
        return self._next_list(True, [merged.endpoint for merged in self._published.values()])

    def _delta(self, changed_names: set[str]) -> EndpointList | None:
        changes = []
        for name in sorted(changed_names):
            merged, published = self._merge(name), self._published.get(name)
            if merged == published:
                continue
            if merged is not None:
                self._published[name] = merged
                changes.append(merged.endpoint)
            elif published is not None:
                del self._published[name]
                changes.append(as_removed(published.endpoint))
        return self._next_list(False, changes) if changes else None

    def _next_list(self, complete: bool, endpoints: list[DiscoveredServer]) -> EndpointList:
        self._version += 1
        return EndpointList(self._version, complete, endpoints)

    def _merge(self, name: str) -> _MergedEndpoint | None:
        """A node's endpoint by precedence; None if the node is removed or was never listed."""
        for source, state in self._sources.items():
            if name in state.endpoints:
                return _MergedEndpoint(state.endpoints[name], source)
            if name in state.removed:
                return None
        return None
