"""What a membership source tells the driver, and what it must offer."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from topazbank.balancing.events import ServerDescription, ServerState
from topazbank.core.endpoints import HTTP
from topazbank.core.net import Address


@dataclass(slots=True)
class DiscoveredServer:
    """A line of the list, with the address that the node has for this sidecar."""

    server: ServerDescription
    address: Address | None
    protocol: str | None = None  # what it speaks; None where the entry does not say


def as_removed(line: DiscoveredServer) -> DiscoveredServer:
    """The same node, told to have gone."""
    server = line.server
    gone = ServerDescription(
        server.name, server.zone, server.kind, server.cell, ServerState.REMOVED, server.nominal_capacity
    )
    return DiscoveredServer(gone, line.address, line.protocol)


@dataclass(slots=True)
class EndpointList:
    """What a source answered."""

    version: int
    complete: bool
    entries: list[DiscoveredServer]


@dataclass(frozen=True, slots=True)
class SourceStatus:
    """What a source can say of itself."""

    source: str
    is_connected: bool  # whether it is in touch with whoever knows
    last_contact_at: float | None  # when it last was, on the event loop's clock; None: never


class EndpointSource(Protocol):
    """A membership source; it tells each list, or None for a call that failed, to whoever made it."""

    def watch(self, wanted: bool) -> None:
        """Begin to tell changes, or end that; what is under way goes on."""

    def fetch(self) -> None:
        """Ask once for the whole list."""

    def move(self, address: Address) -> None:
        """Go on at another place, with a whole list first."""

    def stop(self) -> None: ...

    def status(self) -> tuple[SourceStatus, ...]:
        """Whether it can know, and how old its word is; several, where it is made of several."""

    def source_of(self, name: str) -> str:
        """By whose word a node stands as it does."""


@dataclass(frozen=True, slots=True)
class ProtocolDefaults:
    """Which protocol a node speaks: its entry's word, else its pod's, else the installation's default."""

    default: str = HTTP
    by_cell: Mapping[int, str] = field(default_factory=dict)

    def protocol_of(self, line: DiscoveredServer) -> str:
        if line.protocol is not None:
            return line.protocol
        return self.by_cell.get(line.server.cell, self.default)
