"""The client connections of this process by state; enforces their limits and evicts connections to make room.

Independent of the protocol; `connection_states` defines the limits.  All times are seconds of the event loop's clock.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Final

from topazbank.core.call import RequestCallbacks
from topazbank.core.connection_eviction import EVICTION_ORDER
from topazbank.core.connection_states import IDLE_STATES, PARTIAL_STATES, STATE_LIMITS_S, ConnectionState
from topazbank.core.counters import ClientEvent, Counters, Violation
from topazbank.core.memory_budget import CONNECTION_BYTES, MemoryShare
from topazbank.core.process_memory import ClosedConnections
from topazbank.core.request_checks import InvalidRequest, RequestClasses
from topazbank.core.turn_queue import TurnQueue
from topazbank.core.unread_answers import UnreadAnswers

if TYPE_CHECKING:
    from topazbank.core.client_connection import ClientConnection

log = logging.getLogger(__name__)

_STALLED_IN_DRAIN_S: Final = 0.3  # a head without progress for this long in a drain is unlikely to complete
_EVICTION_CANDIDATES_MAX: Final = 4  # connections examined per state
_ROOM_RATIO: Final = (
    0.03  # part of the memory budget that is freed beyond the excess, so that it is done rarely
)
_SHEDDABLE_BYTES_MIN: Final = CONNECTION_BYTES + 2 * 1024  # less would make hardly any room
_SHEDDABLE_STATES: Final = (ConnectionState.READING_HEAD, ConnectionState.READING_BODY)

_LONG_BODY_S: Final = 10.0  # a body that takes longer gives way while connections wait to be accepted

CLOSABLE_STATES: Final = (ConnectionState.NEW, ConnectionState.READING_HEAD, *IDLE_STATES)
_STATES_WITHOUT_WORK: Final = (
    *IDLE_STATES,
    ConnectionState.READING_BODY,
    ConnectionState.STREAMING_ANSWER,
    ConnectionState.CLOSING,
)


class ConnectionTable:
    """All client connections and their shared state."""

    def __init__(
        self,
        max_connections: int,
        callbacks: RequestCallbacks,
        request_classes: RequestClasses,
        counters: Counters,
    ) -> None:
        """`max_connections`: the limit enforced by the listener; at most a third of it may be idle."""
        self.callbacks = callbacks
        self.request_classes = request_classes
        self.counters = counters
        self.unread_answers = UnreadAnswers(callbacks.memory)
        self.closed_connections = ClosedConnections(callbacks.memory)
        self.turns = TurnQueue()
        self.draining = False  # whether connections are closed after their response
        self.rejects_new = False  # whether the first request on a connection is rejected
        self.others_wait = False  # whether connections have waited for long to be accepted
        self._numbers = itertools.count(1)
        self._max_connections = max_connections
        self._max_idle = 1
        self._closing: set[ClientConnection] = set()  # evicted, but their sockets are not closed yet
        # Connections by state, each with the time at which it entered the state, oldest first.
        self._by_state: dict[ConnectionState, dict[ClientConnection, float]] = {
            state: {} for state in ConnectionState
        }
        self.set_max_connections(max_connections)

    def __len__(self) -> int:
        """The number of open connections."""
        return sum(map(len, self._by_state.values()))

    @property
    def connections(self) -> list[ClientConnection]:
        """All open connections."""
        return [connection for state in self._by_state.values() for connection in state]

    def set_max_connections(self, max_connections: int) -> None:
        """Limit idle connections to a third of `max_connections`: clients may never close unused connections."""
        self._max_connections = max_connections
        self._max_idle = max(max_connections // 3, 1)

    def next_number(self) -> int:
        """Return a connection number for the log, unique in this process."""
        return next(self._numbers)

    @property
    def closing_count(self) -> int:
        """The number of evicted connections whose sockets are not closed yet."""
        return len(self._closing)

    def is_over_limit(self) -> bool:
        """Whether more connections are open than the limit."""
        return len(self) > self._max_connections

    def count_undelivered(self) -> int:
        """The number of connections with a request that is not answered, or whose answer the kernel doesn't have."""
        return sum(connection.is_sending() or connection.has_unanswered() for connection in self.connections)

    def count_with_work(self) -> int:
        """The number of connections that may have a request that uses CPU time."""
        return len(self) - sum(len(self._by_state[state]) for state in _STATES_WITHOUT_WORK)

    # -- States ---------------------------------------------------------------------------------------

    def connection_opened(self, connection: ClientConnection) -> None:
        """Add a connection; its current state begins now."""
        self._by_state[connection.state][connection] = asyncio.get_running_loop().time()

    def set_state(self, connection: ClientConnection, state: ConnectionState, restart: bool = False) -> None:
        """Move a connection to a state; `restart`: reset its time in the state if it is already there."""
        if (restart or connection.state is not state) and self._by_state[connection.state].pop(
            connection, None
        ) is not None:
            connection.state = state
            self.connection_opened(connection)
            if state in IDLE_STATES and len(self._by_state[state]) > self._max_idle:
                oldest = self._oldest_evictable(state, asyncio.get_running_loop().time())
                if oldest is not None:
                    self._evicted(oldest)
                    oldest.close()

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection if it is in the table."""
        self._by_state[connection.state].pop(connection, None)
        self._closing.discard(connection)

    def _evicted(self, connection: ClientConnection) -> None:
        """Remove a connection that will be closed in the event loop's next iteration."""
        self.connection_closed(connection)
        self._closing.add(connection)

    # -- Limits ---------------------------------------------------------------------------------------

    def end_overdue(self, now: float) -> None:
        """End each connection that has exceeded its limit."""
        for connection in list(self._overdue(now)):
            self._end_overdue(connection, connection.limit_reached)
        for connection in self.unread_answers.observe(now):
            self._end_overdue(connection, connection.answers_stalled)

    def _overdue(self, now: float) -> Iterator[ClientConnection]:
        """Connections that have exceeded the limit of their state, or whose partial request is overdue."""
        for state, limit_s in STATE_LIMITS_S.items():
            for connection, since in self._by_state[state].items():
                if since + limit_s > now:
                    break  # the following connections entered the state later
                yield connection
        for state in PARTIAL_STATES:
            for connection in self._by_state[state]:
                partial = connection.partial
                if partial is None or not partial.is_overdue(now):
                    continue
                if partial.answer_is_late(now):
                    self.counters.violation(Violation.STALLED_CLIENT_UNANSWERED, connection.describe())
                yield connection

    def _end_overdue(self, connection: ClientConnection, end: Callable[[], None]) -> None:
        try:
            end()
        except (
            Exception
        ):  # a defect ends only this connection, and does not keep the limits of others from being enforced
            log.exception("%s: error while enforcing its time limit", connection.describe())
            self.counters.violation(Violation.LIMIT_CHECK_FAILED, connection.describe())
            self.connection_closed(connection)
            connection.abort()

    def reject_waiting(self) -> None:
        """Reject all requests that wait for others of their connection, so that none begins as the process ends."""
        for connection in self.connections:
            connection.reject_waiting()

    def make_memory_room(self) -> None:
        """Shed the largest partial requests while clients make this process hold more than they may for these."""
        budget = self.callbacks.memory
        excess = budget.excess_bytes(MemoryShare.PARTIAL_REQUEST)
        if not excess:
            return
        excess += int(_ROOM_RATIO * budget.limit_bytes)
        partial = [
            connection
            for state in _SHEDDABLE_STATES
            for connection in self._by_state[state]
            if connection.memory.held_bytes >= _SHEDDABLE_BYTES_MIN
        ]
        partial.sort(key=lambda connection: connection.memory.held_bytes, reverse=True)
        error = InvalidRequest(
            503, f"memory limit reached, {budget.held_bytes} of {budget.limit_bytes} bytes held"
        )
        for connection in partial:
            if excess <= 0:
                return
            excess -= connection.memory.held_bytes
            self.counters.count(ClientEvent.REQUEST_SHED_FOR_MEMORY)
            connection.shed_partial(error)

    def shed_long_bodies(self, count_max: int) -> None:
        """Refuse the requests whose bodies would take their connections for longest, while others wait for one."""
        now = asyncio.get_running_loop().time()
        remaining_s = {
            connection: connection.remaining_body_s(now)
            for connection in self._by_state[ConnectionState.READING_BODY]
        }
        long = [connection for connection in remaining_s if remaining_s[connection] >= _LONG_BODY_S]
        long.sort(key=lambda connection: remaining_s[connection], reverse=True)
        for connection in long[:count_max]:
            self._shed_long_body(connection)

    def shed_if_long(self, connection: ClientConnection) -> bool:
        """Refuse a request with a long body if others wait for a connection; return whether it was refused."""
        now = asyncio.get_running_loop().time()
        if not self.others_wait or connection.remaining_body_s(now) < _LONG_BODY_S:
            return False
        self._shed_long_body(connection)
        return True

    def _shed_long_body(self, connection: ClientConnection) -> None:
        self.counters.count(ClientEvent.REQUEST_SHED_FOR_CONNECTIONS)
        error = InvalidRequest(503, "connection limit reached: a long body gives way to other requests")
        connection.shed_partial(error)

    # -- Making room ----------------------------------------------------------------------------------

    def evict(self) -> bool:
        """Close the first evictable connection in `EVICTION_ORDER`; return whether there was one."""
        now = asyncio.get_running_loop().time()
        for rule in EVICTION_ORDER:
            connection = self._oldest_evictable(rule.state, now - rule.min_age_s)
            if connection is not None:
                self.counters.count(ClientEvent.CONNECTION_EVICTED)
                log.info("%s: closed to make room", connection.describe())
                self._evicted(connection)
                connection.abort()
                return True
        return False

    def _oldest_evictable(self, state: ConnectionState, since_max: float) -> ClientConnection | None:
        """The oldest evictable connection that entered `state` at `since_max` or earlier."""
        for connection, since in itertools.islice(self._by_state[state].items(), _EVICTION_CANDIDATES_MAX):
            if since <= since_max and connection.can_be_evicted():
                return connection
        return None

    def close_idle(self, only_used: bool) -> None:
        """Close idle connections in a drain; `only_used`: keep new ones, whose first request may be in transit.

        Without `only_used`, connections whose head makes no progress are closed too, since they would delay the end of
        the drain until their limit.  Their requests were never accepted, and the clients can retry elsewhere.
        """
        stalled_since = asyncio.get_running_loop().time() - _STALLED_IN_DRAIN_S
        for state in IDLE_STATES if only_used else CLOSABLE_STATES:
            for connection, since in list(self._by_state[state].items()):
                stalled = (
                    state is ConnectionState.READING_HEAD
                    and since < stalled_since
                    and connection.has_no_unread_bytes()
                )
                if (stalled or connection.is_idle()) and connection.close_idle() and stalled:
                    self.counters.count(ClientEvent.REQUEST_TIMED_OUT)
                    log.info("%s: closed during drain with an incomplete request", connection.describe())
