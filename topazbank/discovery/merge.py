"""Several sources merged by precedence; no I/O.

A node's endpoint is that of the first source, in the operator's order, that has ever listed the node.  A removal
counts too: what that source has removed stays removed, whatever a later source still lists, so that a slower source
can't bring back a node that a quorum has removed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from topazbank.balancing.events import ServerState
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList, as_removed

REMOVED_NAMES_MAX = 10_000  # that are remembered of each source; the oldest are forgotten first


class _MergedEndpoint(NamedTuple):
    endpoint: DiscoveredServer
    source: str


@dataclass(slots=True)
class _SourceState:
    """What one source has published."""

    endpoints: dict[str, DiscoveredServer] = field(default_factory=dict)
    removed: dict[str, None] = field(default_factory=dict)  # an ordered set; bounded by REMOVED_NAMES_MAX
    has_snapshot: bool = False
    is_awaited: bool = True  # until it has a snapshot, or it is known that none comes for now

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
    """The merged list; each method returns what it changes there, or None."""

    def __init__(self, sources: Sequence[str]) -> None:
        """`sources`: their names, the highest precedence first."""
        self._sources = {name: _SourceState() for name in sources}
        self._published: dict[str, _MergedEndpoint] = {}
        self._snapshot_published = False
        self._version = 0

    def update(self, source: str, update: EndpointList) -> EndpointList | None:
        """A source has published a snapshot or a delta."""
        state = self._sources[source]
        touched = {line.server.name for line in update.entries}
        if update.complete:
            state.snapshot_complete()
            for name in state.endpoints.keys() - touched:
                touched.add(name)
                state.remove(name)
        for line in update.entries:
            state.update(line)
        return self._publish(touched)

    def snapshot_complete(self, source: str) -> EndpointList | None:
        """A source's snapshot has been passed on completely, in deltas."""
        self._sources[source].snapshot_complete()
        return self._publish(set())

    def source_unavailable(self, source: str) -> EndpointList | None:
        """A source has failed, or was awaited for long enough: the merged list begins without it."""
        self._sources[source].is_awaited = False
        return self._publish(set())

    def source_of(self, name: str) -> str | None:
        """The source that a published endpoint is from."""
        merged = self._published.get(name)
        return merged.source if merged is not None else None

    def _publish(self, touched: set[str]) -> EndpointList | None:
        return self._delta(touched) if self._snapshot_published else self._first_snapshot()

    def _first_snapshot(self) -> EndpointList | None:
        """The first list, once no source is awaited: before that it would remove what another is about to list."""
        states = self._sources.values()
        if any(state.is_awaited for state in states):
            return None
        names = {name for state in states for name in state.endpoints}
        if not names and not any(state.has_snapshot for state in states):
            return None  # every source has failed
        self._snapshot_published = True
        for name in sorted(names):
            merged = self._merge(name)
            if merged is not None:
                self._published[name] = merged
        return self._next_list(True, [merged.endpoint for merged in self._published.values()])

    def _delta(self, touched: set[str]) -> EndpointList | None:
        changes = []
        for name in sorted(touched):
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
        """A node's endpoint by precedence; None where it is removed or was never listed."""
        for source, state in self._sources.items():
            if name in state.endpoints:
                return _MergedEndpoint(state.endpoints[name], source)
            if name in state.removed:
                return None
        return None
