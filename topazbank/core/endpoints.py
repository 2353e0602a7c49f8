"""An endpoint: a server of the endpoint list, as this process connects to it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

from topazbank.balancing.events import ServerState
from topazbank.core.net import Address

# Protocol names as the endpoint list has them.
HTTP: Final = "http"
MSGPACK_RPC: Final = "msgpack-rpc"
PROTOCOLS: Final = (HTTP, MSGPACK_RPC)


@dataclass(slots=True, eq=False)
class Endpoint:
    """A server's current address and protocol, and the connection pool that its upstream client keeps for it."""

    name: str
    address: Address
    started_at: int | None  # microseconds of Unix time; None: long ago
    state: ServerState
    protocol: str
    pool: Any = None  # owned by the upstream client; its type depends on the protocol
    # Incremented when the process or address changes; connections of older generations are not reused.
    generation: int = 0
    draining_since: float | None = None  # seconds on the event loop's clock; None: it accepts new requests
