"""A server of the endpoint list as this process connects to it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

from topazbank.balancing.events import ServerState
from topazbank.core.net import Address

# Protocols of servers, by their names in the endpoint list.
HTTP: Final = "http"
MSGPACK_RPC: Final = "msgpack-rpc"
PROTOCOLS: Final = (HTTP, MSGPACK_RPC)


@dataclass(slots=True, eq=False)
class Endpoint:
    """Where a server listens now, its protocol, and its upstream client's connections to it."""

    name: str
    address: Address
    started_at: int | None  # microseconds of Unix time; None: long ago
    state: ServerState
    protocol: str
    pool: Any = None  # its upstream client's own
    generation: int = 0  # of its process: connections of an older one are not used again
    draining_since: float | None = None  # seconds on the event loop's clock; None: it accepts new requests
