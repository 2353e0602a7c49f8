"""Which client connections are evicted first to make room for new ones; no I/O."""

from __future__ import annotations

from typing import Final, NamedTuple

from topazbank.core.connection_states import ConnectionState

_RECENT_S: Final = 0.1  # a connection active more recently may have a request in transit
_UNUSED_S: Final = 1.0  # a new connection without bytes for this long is unlikely to carry a request
_STALLED_S: Final = (
    2.2  # a head without progress for this long is unlikely to complete: the platform allows 2 s
)


class EvictionRule(NamedTuple):
    """Connections in `state` may be evicted after `min_age_s` in it, or without progress."""

    state: ConnectionState
    min_age_s: float


# Connections with their last response come first, then those without bytes or progress for long, then idle ones, whose
# clients can reconnect.  Recently active connections come late, because a request may be in transit.  A new connection
# whose first request may be in transit is never evicted: others wait beyond the limit or in the kernel's queue.
EVICTION_ORDER: Final = (
    EvictionRule(ConnectionState.CLOSING, 0.0),
    EvictionRule(ConnectionState.NEW, _UNUSED_S),
    EvictionRule(ConnectionState.READING_HEAD, _STALLED_S),
    EvictionRule(ConnectionState.IDLE, _RECENT_S),
    EvictionRule(ConnectionState.IDLE_PERSISTENT, _RECENT_S),
    EvictionRule(ConnectionState.NEW, _RECENT_S),
    EvictionRule(ConnectionState.IDLE, 0.0),
    EvictionRule(ConnectionState.IDLE_PERSISTENT, 0.0),
    EvictionRule(ConnectionState.READING_HEAD, _UNUSED_S),
    EvictionRule(ConnectionState.READING_BODY, _STALLED_S),
    EvictionRule(ConnectionState.READING_HEAD, _RECENT_S),
)
