"""The endpoint list as sources give it, and what a source must offer."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from topazbank.balancing.events import ServerDescription, ServerState
from topazbank.core.endpoints import HTTP
from topazbank.core.net import Address


@dataclass(slots=True)
class DiscoveredServer:
    """An entry of the endpoint list, with the address at which this sidecar reaches the server."""

    server: ServerDescription
    address: Address | None
    protocol: str | None = None  # None where the entry does not say


def as_removed(entry: DiscoveredServer) -> DiscoveredServer:
    """The entry of the same server, removed."""
    server = entry.server
    removed = ServerDescription(
        server.name, server.zone, server.kind, server.cell, ServerState.REMOVED, server.nominal_capacity
    )
    return DiscoveredServer(removed, entry.address, entry.protocol)


@dataclass(slots=True)
class EndpointList:
    """A snapshot of the endpoint list, or changes of it."""

    version: int
    complete: bool  # whether it is a snapshot: a server that is missing has been removed
    entries: list[DiscoveredServer]


@dataclass(frozen=True, slots=True)
class SourceStatus:
    """How well a source knows the endpoint list."""

    source: str
    is_connected: bool  # whether it is in contact with whoever has the list
    last_contact_at: float | None  # seconds on the event loop's clock; None: never


class EndpointSource(Protocol):
    """A source of the endpoint list; it passes each list, or None for a failed call, to whoever made it."""

    def watch(self, wanted: bool) -> None:
        """Begin to watch for changes, or end that; calls in progress go on."""

    def fetch(self) -> None:
        """Ask once for a snapshot."""

    def move(self, address: Address) -> None:
        """Go on at another address, with a snapshot first."""

    def stop(self) -> None:
        """End all calls."""

    def status(self) -> tuple[SourceStatus, ...]:
        """The status of each source that it is made of."""

    def source_of(self, name: str) -> str:
        """The name of the source that a server's entry is from."""


@dataclass(frozen=True, slots=True)
class ProtocolDefaults:
    """The protocol of a server: that of its entry, else its cell's, else the default."""

    default: str = HTTP
    by_cell: Mapping[int, str] = field(default_factory=dict)

    def protocol_of(self, entry: DiscoveredServer) -> str:
        """The protocol of an entry's server."""
        if entry.protocol is not None:
            return entry.protocol
        return self.by_cell.get(entry.server.cell, self.default)
