"""Updates of the endpoint list that are applied in batches; no I/O, time is an argument (seconds, monotonic).

A snapshot of thousands of entries would hold the event loop while requests wait for it.  It is compared with what was
applied before and given out in batches of bounded size.  Servers that accept nothing new come first: no further request
may go there.  A later update of a server replaces one that is pending, so at most one entry a server is pending.
"""

from __future__ import annotations

from typing import Final

from topazbank.balancing.events import ServerState
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList, as_removed

BATCH_SIZE: Final = 100  # entries: about a millisecond


class PendingUpdates:
    """The endpoint list as applied so far, and the entries that are pending."""

    def __init__(self) -> None:
        self.version = 0  # the newest received
        self.applied_version = 0  # the newest of which nothing is pending
        self._applied: dict[str, DiscoveredServer] = {}  # by name, as all maps here
        self._pending_leaving: dict[str, DiscoveredServer] = {}  # of servers that are draining or removed
        self._pending_ready: dict[str, DiscoveredServer] = {}
        self._updated_at: dict[str, float] = {}  # when each listed server was last received
        self._superseded: set[str] = set()  # servers still listed, at an address that another has by now

    def receive(self, now: float, update: EndpointList) -> None:
        """Add a snapshot or changes to what is pending."""
        self.version = update.version
        if update.complete:
            self._receive_snapshot(now, update.entries)
            return
        for entry in update.entries:
            name = entry.server.name
            self._add_pending(name, entry)
            if entry.server.state is ServerState.REMOVED:
                self._updated_at.pop(name, None)
            else:
                self._updated_at[name] = now

    def _receive_snapshot(self, now: float, entries: list[DiscoveredServer]) -> None:
        self._pending_leaving.clear()
        self._pending_ready.clear()
        listed = {entry.server.name: entry for entry in entries}
        for name in self._applied.keys() - listed.keys():
            self._pending_leaving[name] = as_removed(self._applied[name])
        # Superseded servers come last: until their address is resolved anew they would count as present.
        for name in self._superseded & listed.keys():
            listed[name] = listed.pop(name)
        self._superseded &= listed.keys()
        for name, entry in listed.items():
            self._pending_for(entry)[name] = entry
        self._updated_at = dict.fromkeys(listed, now)

    def _add_pending(self, name: str, entry: DiscoveredServer) -> None:
        self._pending_leaving.pop(name, None)
        self._pending_ready.pop(name, None)
        self._pending_for(entry)[name] = entry

    def _pending_for(self, entry: DiscoveredServer) -> dict[str, DiscoveredServer]:
        ready = entry.server.state is ServerState.READY
        return self._pending_ready if ready else self._pending_leaving

    def applied(self) -> list[DiscoveredServer]:
        """The entries of the list as applied so far."""
        return list(self._applied.values())

    def has_pending(self) -> bool:
        """Whether any entry is pending."""
        return bool(self._pending_leaving or self._pending_ready)

    def is_pending(self, name: str) -> bool:
        """Whether an entry of this server is pending."""
        return name in self._pending_leaving or name in self._pending_ready

    def take_batch(self, size: int = BATCH_SIZE) -> list[DiscoveredServer]:
        """Apply at most `size` pending entries; return those that change something."""
        changed = []
        for _ in range(size):
            pending = self._pending_leaving or self._pending_ready
            if not pending:
                break
            name = next(iter(pending))
            entry = pending.pop(name)
            if self._applied.get(name) == entry:
                continue
            self._superseded.discard(name)
            if entry.server.state is ServerState.REMOVED:
                self._applied.pop(name, None)
            else:
                self._applied[name] = entry
            changed.append(entry)
        if not self.has_pending():
            self.applied_version = self.version
        return changed

    def mark_superseded(self, name: str) -> None:
        """Note that another server has this one's address: its next entry is applied even if it is unchanged."""
        self._applied.pop(name, None)
        self._superseded.add(name)

    def updated_at(self, name: str, default: float) -> float:
        """When a listed server was last received; `default` where it is not listed."""
        return self._updated_at.get(name, default)
