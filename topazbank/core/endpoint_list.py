"""Updates of the endpoint list, applied in batches; no I/O, time is an argument (seconds, monotonic).

A snapshot of thousands of entries would block the event loop and delay requests.  It is compared with the entries
applied so far, and the differences are returned in batches of bounded size.  Draining and removed servers come first,
because they must not receive further requests.  A later update of a server replaces its pending one, so each server has
at most one pending entry.
"""

from __future__ import annotations

from typing import Final

from topazbank.balancing.events import ServerState
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList, as_removed

BATCH_SIZE: Final = 100  # entries; a batch takes about a millisecond


class PendingUpdates:
    """The endpoint list as applied so far, and the pending entries."""

    def __init__(self) -> None:
        self.version = 0  # the newest version received
        self.applied_version = 0  # the newest version that is applied completely
        self._applied: dict[str, DiscoveredServer] = {}  # by server name, like the other maps
        self._pending_not_ready: dict[str, DiscoveredServer] = {}  # entries of draining and removed servers
        self._pending_ready: dict[str, DiscoveredServer] = {}
        self._updated_at: dict[str, float] = {}  # when the entry of each listed server was last received
        self._superseded: set[str] = set()  # listed servers whose address another server has taken over

    def receive(self, now: float, update: EndpointList) -> None:
        """Add a snapshot or a set of changes to the pending entries."""
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
        self._pending_not_ready.clear()
        self._pending_ready.clear()
        listed = {entry.server.name: entry for entry in entries}
        for name in self._applied.keys() - listed.keys():
            self._pending_not_ready[name] = as_removed(self._applied[name])
        # Superseded servers come last: they would count as present until their address is resolved again.
        for name in self._superseded & listed.keys():
            listed[name] = listed.pop(name)
        self._superseded &= listed.keys()
        for name, entry in listed.items():
            self._pending_for(entry)[name] = entry
        self._updated_at = dict.fromkeys(listed, now)

    def _add_pending(self, name: str, entry: DiscoveredServer) -> None:
        self._pending_not_ready.pop(name, None)
        self._pending_ready.pop(name, None)
        self._pending_for(entry)[name] = entry

    def _pending_for(self, entry: DiscoveredServer) -> dict[str, DiscoveredServer]:
        ready = entry.server.state is ServerState.READY
        return self._pending_ready if ready else self._pending_not_ready

    def applied(self) -> list[DiscoveredServer]:
        """Return the entries of the list as applied so far."""
        return list(self._applied.values())

    def has_pending(self) -> bool:
        """Return whether any entry is pending."""
        return bool(self._pending_not_ready or self._pending_ready)

    def is_pending(self, name: str) -> bool:
        """Return whether an entry of this server is pending."""
        return name in self._pending_not_ready or name in self._pending_ready

    def take_batch(self, size: int = BATCH_SIZE) -> list[DiscoveredServer]:
        """Apply at most `size` pending entries and return those that change the list."""
        changed = []
        for _ in range(size):
            pending = self._pending_not_ready or self._pending_ready
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
        """Record that another server has taken over this server's address.

        The server's next entry is applied even if it is unchanged.
        """
        self._applied.pop(name, None)
        self._superseded.add(name)

    def updated_at(self, name: str, default: float) -> float:
        """Return when the entry of a listed server was last received, or `default` if the server is not listed."""
        return self._updated_at.get(name, default)
