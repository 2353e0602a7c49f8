"""The client connections of this process by state: which have passed a limit, and which may be closed to make room.

Protocols are not known here; `connection_states` has the limits.  All times are seconds of the event loop's clock.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final, NamedTuple

from topazbank.core.call import RequestCallbacks
from topazbank.core.connection_states import PARTIAL_STATES, STATE_LIMITS_S, ConnectionState
from topazbank.core.counters import ClientEvent, Counters, Violation
from topazbank.core.request_checks import RequestClasses

if TYPE_CHECKING:
    from topazbank.core.client_connection import ClientConnection

log = logging.getLogger(__name__)

_RECENT_S: Final = 0.1  # a connection that was active so lately may have a request on the way
_UNUSED_S: Final = 1.0  # one that has sent nothing for so long was hardly opened for a request
_STALLED_S: Final = 2.2  # a head without progress for so long is hardly completed: a client may take 2 s
_STALLED_IN_DRAIN_S: Final = 0.3  # the same, while the process is drained
_EVICTION_CANDIDATES_MAX: Final = 4  # connections of a state that are looked at for one that can be evicted

_IDLE_STATES: Final = (ConnectionState.IDLE, ConnectionState.IDLE_PERSISTENT)
CLOSABLE_STATES: Final = (ConnectionState.NEW, ConnectionState.READING_HEAD, *_IDLE_STATES)
_STATES_WITHOUT_WORK: Final = (
    *_IDLE_STATES,
    ConnectionState.READING_BODY,
    ConnectionState.STREAMING_ANSWER,
    ConnectionState.CLOSING,
)


class _EvictionRule(NamedTuple):
    """Connections of a state may be evicted once they have been in it, or without progress, for so long."""

    state: ConnectionState
    min_age_s: float


# First those that have their last answer, then those that have long sent nothing or made no progress, then idle ones,
# whose clients open another when they need one.  Those active a moment ago come late: a request may be on its way.
_EVICTION_ORDER: Final = (
    _EvictionRule(ConnectionState.CLOSING, 0.0),
    _EvictionRule(ConnectionState.NEW, _UNUSED_S),
    _EvictionRule(ConnectionState.READING_HEAD, _STALLED_S),
    _EvictionRule(ConnectionState.IDLE, _RECENT_S),
    _EvictionRule(ConnectionState.IDLE_PERSISTENT, _RECENT_S),
    _EvictionRule(ConnectionState.NEW, _RECENT_S),
    _EvictionRule(ConnectionState.IDLE, 0.0),
    _EvictionRule(ConnectionState.IDLE_PERSISTENT, 0.0),
    _EvictionRule(ConnectionState.READING_HEAD, _UNUSED_S),
    _EvictionRule(ConnectionState.READING_BODY, _STALLED_S),
    _EvictionRule(ConnectionState.NEW, 0.0),
    _EvictionRule(ConnectionState.READING_HEAD, _RECENT_S),
)


class ConnectionTable:
    """All client connections, and what they share."""

    def __init__(
        self,
        max_connections: int,
        callbacks: RequestCallbacks,
        request_classes: RequestClasses,
        counters: Counters,
    ) -> None:
        """`max_connections`: the bound that the listener keeps; a third of it may be idle."""
        self.callbacks = callbacks
        self.request_classes = request_classes
        self.counters = counters
        self.draining = False  # whether connections end after their answer
        self.rejects_new = False  # whether requests on connections that have carried none are rejected
        self._numbers = itertools.count(1)
        self._max_idle = 1
        # By state, each with the time since when it is in that state, the longest first.
        self._by_state: dict[ConnectionState, dict[ClientConnection, float]] = {
            state: {} for state in ConnectionState
        }
        self.set_max_connections(max_connections)

    def __len__(self) -> int:
        """How many connections are open."""
        return sum(map(len, self._by_state.values()))

    @property
    def connections(self) -> list[ClientConnection]:
        """All open connections."""
        return [connection for state in self._by_state.values() for connection in state]

    def set_max_connections(self, max_connections: int) -> None:
        """Bound idle connections to a third of `max_connections`: clients may never close what they do not use."""
        self._max_idle = max(max_connections // 3, 1)

    def next_number(self) -> int:
        """A connection's number for the log, unique in this process."""
        return next(self._numbers)

    def count_with_work(self) -> int:
        """How many connections may be carrying a request that costs CPU."""
        return len(self) - sum(len(self._by_state[state]) for state in _STATES_WITHOUT_WORK)

    # -- States ---------------------------------------------------------------------------------------

    def connection_opened(self, connection: ClientConnection) -> None:
        """Add a connection in its present state, which begins now."""
        self._by_state[connection.state][connection] = asyncio.get_running_loop().time()

    def set_state(self, connection: ClientConnection, state: ConnectionState, restart: bool = False) -> None:
        """Move a connection to a state; `restart`: its time there begins anew where it was in it already."""
        if (restart or connection.state is not state) and self._by_state[connection.state].pop(
            connection, None
        ) is not None:
            connection.state = state
            self.connection_opened(connection)
            if state in _IDLE_STATES and len(self._by_state[state]) > self._max_idle:
                oldest = self._oldest_evictable(state, asyncio.get_running_loop().time())
                if oldest is not None:
                    self.connection_closed(oldest)
                    oldest.close()

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection, if it is there."""
        self._by_state[connection.state].pop(connection, None)

    # -- Limits ---------------------------------------------------------------------------------------

    def end_overdue(self, now: float) -> None:
        """End each connection that has passed its limit."""
        for connection in list(self._overdue(now)):
            self._end_overdue(connection)

    def _overdue(self, now: float) -> Iterator[ClientConnection]:
        """Connections whose state has lasted too long, or whose client has stalled in the middle of a request."""
        for state, limit_s in STATE_LIMITS_S.items():
            for connection, since in self._by_state[state].items():
                if since + limit_s > now:
                    break  # those behind it came later
                yield connection
        for state in PARTIAL_STATES:
            for connection in self._by_state[state]:
                partial = connection.partial
                if partial is None or not partial.is_overdue(now):
                    continue
                if partial.answer_is_late(now):
                    self.counters.violation(Violation.STALLED_CLIENT_UNANSWERED, connection.describe())
                yield connection

    def _end_overdue(self, connection: ClientConnection) -> None:
        try:
            connection.limit_reached()
        except Exception:  # a defect: it ends this connection, and keeps no other from its limit
            log.exception("%s could not be ended in order", connection.describe())
            self.counters.violation(Violation.LIMIT_CHECK_FAILED, connection.describe())
            self.connection_closed(connection)
            connection.abort()

    # -- Making room ----------------------------------------------------------------------------------

    def evict(self) -> bool:
        """Close one connection that holds no request, by `_EVICTION_ORDER`; return whether there was one."""
        now = asyncio.get_running_loop().time()
        for rule in _EVICTION_ORDER:
            connection = self._oldest_evictable(rule.state, now - rule.min_age_s)
            if connection is not None:
                self.counters.count(ClientEvent.CONNECTION_EVICTED)
                self.connection_closed(connection)
                connection.abort()
                return True
        return False

    def _oldest_evictable(self, state: ConnectionState, since_max: float) -> ClientConnection | None:
        """The connection that is in a state for longest, and since `since_max` at least, whose end loses nothing."""
        for connection, since in itertools.islice(self._by_state[state].items(), _EVICTION_CANDIDATES_MAX):
            if since <= since_max and connection.can_be_evicted():
                return connection
        return None

    def close_idle(self, only_used: bool) -> None:
        """Close what is idle in a drain; `only_used`: spare what was just opened for a request still on its way.

        Otherwise a head without progress is closed too.  Guards against one that would hold up the end of a drain until
        its limit: its request was never accepted, and its client comes again, where others are served.
        """
        stalled_since = asyncio.get_running_loop().time() - _STALLED_IN_DRAIN_S
        for state in _IDLE_STATES if only_used else CLOSABLE_STATES:
            for connection, since in list(self._by_state[state].items()):
                stalled = (
                    state is ConnectionState.READING_HEAD and since < stalled_since and connection.is_quiet()
                )
                if stalled:
                    self.counters.count(ClientEvent.REQUEST_TIMED_OUT)
                    log.info("%s: closed by the drain, its request incomplete", connection.describe())
                if stalled or connection.is_idle():
                    connection.close()
