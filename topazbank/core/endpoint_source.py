"""The types of the endpoint list, and the interface of its sources."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from topazbank.balancing.events import ServerDescription, ServerState
from topazbank.core.endpoints import HTTP
from topazbank.core.net import Address


@dataclass(slots=True)
class DiscoveredServer:
    """An entry of the endpoint list, with the address where this sidecar reaches the server."""

    server: ServerDescription
    address: Address | None
    protocol: str | None = None  # None: the entry does not specify one


def as_removed(entry: DiscoveredServer) -> DiscoveredServer:
    """Return an entry that marks the same server as removed."""
    server = entry.server
    removed = ServerDescription(
        server.name, server.zone, server.kind, server.cell, ServerState.REMOVED, server.nominal_capacity
    )
    return DiscoveredServer(removed, entry.address, entry.protocol)


@dataclass(slots=True)
class EndpointList:
    """A snapshot of the endpoint list, or changes to it."""

    version: int
    complete: bool  # whether this is a snapshot; servers missing from a snapshot have been removed
    entries: list[DiscoveredServer]


@dataclass(frozen=True, slots=True)
class SourceStatus:
    """How current a source's knowledge of the endpoint list is."""

    source: str
    is_connected: bool  # whether the source can reach the service that holds the list
    last_contact_at: float | None  # seconds on the event loop's clock; None: never


class EndpointSource(Protocol):
    """A source of the endpoint list; it passes each list, or None after a failed call, to its creator's callback."""

    def watch(self, wanted: bool) -> None:
        """Start or stop watching for changes; calls in progress continue."""

    def fetch(self) -> None:
        """Request one snapshot."""

    def move(self, address: Address) -> None:
        """Continue at another address, beginning with a snapshot."""

    def stop(self) -> None:
        """Stop all calls."""

    def status(self) -> tuple[SourceStatus, ...]:
        """Return the status of each source that this one combines."""

    def source_of(self, name: str) -> str:
        """Return the name of the source that provided a server's entry."""


@dataclass(frozen=True, slots=True)
class ProtocolDefaults:
    """Determines a server's protocol: from its entry, else from its cell, else the default."""

    default: str = HTTP
    by_cell: Mapping[int, str] = field(default_factory=dict)

    def protocol_of(self, entry: DiscoveredServer) -> str:
        """Return the protocol of an entry's server."""
        if entry.protocol is not None:
            return entry.protocol
        return self.by_cell.get(entry.server.cell, self.default)
