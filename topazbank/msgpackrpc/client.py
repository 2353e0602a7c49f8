"""The MessagePack-RPC client of upstream servers: connection pools, attempts and health checks.

Connection sharing (docs/design/msgpack-rpc.md compares the alternatives): abandoning an attempt whose request may be
retried closes its connection.  Attempts of non-idempotent classes are never retried once they may have been executed,
so many of them share a connection, but only with one another.  Only a few other attempts share a connection.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final

from topazbank.balancing.events import Outcome, ServerState
from topazbank.balancing.settings import Idempotency
from topazbank.core.attempts import AttemptDeadlines
from topazbank.core.call import Call, OutcomeCallback
from topazbank.core.endpoints import Endpoint
from topazbank.core.net import is_connected, new_socket
from topazbank.core.timers import Timers
from topazbank.core.upstream_client import ConnectionLimit
from topazbank.msgpackrpc.attempt import RpcAttempt
from topazbank.msgpackrpc.connection import RpcUpstreamConnection
from topazbank.msgpackrpc.messages import LIVE_METHOD, STATS_METHOD, encode_request
from topazbank.msgpackrpc.request_writing import format_call

log = logging.getLogger(__name__)

_IDLE_MARGIN_RATIO: Final = 0.1  # part of the server's idle timeout by which this side closes first


@dataclass(frozen=True, slots=True)
class ConnectionSharing:
    """Limits on the attempts per connection and on the connections per server."""

    non_idempotent_max: int = 32
    others_max: int = 4
    connections_max: int = 64


@dataclass(slots=True, eq=False)
class Pool:
    """The connections to a server, by the kind of their attempts."""

    non_idempotent: list[RpcUpstreamConnection] = field(default_factory=list)
    others: list[RpcUpstreamConnection] = field(default_factory=list)

    def all(self) -> list[RpcUpstreamConnection]:
        """All connections to the server, including those that are connecting."""
        return [*self.non_idempotent, *self.others]


class RpcUpstreamClient:
    """Manages all MessagePack-RPC connections to servers, within a limit shared with other protocols."""

    def __init__(
        self,
        connect_timeout_s: float,
        idle_timeout_s: float,
        connection_limit: ConnectionLimit,
        report_columns: Collection[str] = (),
        sharing: ConnectionSharing | None = None,
    ) -> None:
        """`idle_timeout_s`: of the servers; `report_columns`: columns of load reports, empty if there are none."""
        self.connect_timeout_s = connect_timeout_s
        self.connection_limit = connection_limit
        self.report_columns = report_columns
        self._idle_s = idle_timeout_s * (1.0 - _IDLE_MARGIN_RATIO)
        self._sharing = sharing or ConnectionSharing()
        self._timers = Timers()
        self._pools: dict[Endpoint, Pool] = {}
        self._idle: dict[RpcUpstreamConnection, None] = {}  # longest idle first

    # -- Endpoints ------------------------------------------------------------------------------------

    def add_endpoint(self, endpoint: Endpoint) -> None:
        """Create the connection pool of an added server."""
        endpoint.pool = self._pools[endpoint] = Pool()

    def endpoint_restarted(self, endpoint: Endpoint) -> None:
        """Stop using existing connections; queued attempts end as unsent, which does not count against the server."""
        self._withdraw_queued(endpoint, Outcome.UNSENT)

    def drain_endpoint(self, endpoint: Endpoint) -> None:
        """End queued attempts and close idle connections, since the server accepts no new requests."""
        self._withdraw_queued(endpoint, Outcome.CONNECT_FAILED)

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """Remove the connection pool of a removed server."""
        del self._pools[endpoint]

    @staticmethod
    def _withdraw_queued(endpoint: Endpoint, outcome: Outcome) -> None:
        for connection in endpoint.pool.all():
            connection.withdraw_queued(outcome)

    # -- Attempts -------------------------------------------------------------------------------------

    def send(
        self, endpoint: Endpoint, call: Call, deadlines: AttemptDeadlines, on_ended: OutcomeCallback
    ) -> RpcAttempt:
        """Start an attempt; one whose body exceeds a message ends as unsent, since HTTP servers can accept it."""
        non_idempotent = call.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        attempt = RpcAttempt(
            endpoint,
            lambda msgid, remaining_s: format_call(msgid, call, remaining_s),
            deadlines,
            on_ended,
            non_idempotent,
            call,
        )
        if call.spooled_body is not None:
            attempt.end(Outcome.UNSENT)
            return attempt
        return self._start(attempt)

    def check_health(self, endpoint: Endpoint, give_up_at: float, on_ended: OutcomeCallback) -> RpcAttempt:
        """Start a health check; its response contains the load report if reports are configured."""
        method = STATS_METHOD if self.report_columns else LIVE_METHOD
        deadlines = AttemptDeadlines(give_up_at)
        return self._start(
            RpcAttempt(endpoint, lambda msgid, _: encode_request(msgid, method, []), deadlines, on_ended)
        )

    def _start(self, attempt: RpcAttempt) -> RpcAttempt:
        loop = asyncio.get_running_loop()
        if attempt.give_up_at <= loop.time():
            attempt.end(Outcome.UNSENT)
            return attempt
        connection = self._select_connection(attempt.endpoint, attempt.non_idempotent)
        if connection is None:
            # The limit is local to this process, so it does not count against the server.
            log.warning("connection limit reached: attempt at %s is not sent", attempt.endpoint.name)
            attempt.end(Outcome.UNSENT)
            return attempt
        attempt.timers.append(self._timers.call_at(attempt.give_up_at, RpcAttempt.time_out, attempt))
        attempt.arm_write_deadline(self._timers)
        connection.add(attempt)
        return attempt

    def _select_connection(self, endpoint: Endpoint, non_idempotent: bool) -> RpcUpstreamConnection | None:
        """Return the least loaded connection with capacity, or a new one; None if the limits allow neither."""
        pool: Pool = endpoint.pool
        candidates = pool.non_idempotent if non_idempotent else pool.others
        sharing = self._sharing
        attempts_max = sharing.non_idempotent_max if non_idempotent else sharing.others_max
        for connection in sorted(candidates, key=lambda candidate: candidate.load):
            if connection.has_capacity(attempts_max):
                return connection
            if not connection.load and connection.sock is not None and not connection.is_finished():
                connection.abort()  # idle and closed by the server
        open_count = len(pool.non_idempotent) + len(pool.others)
        if open_count >= sharing.connections_max or not self.connection_limit.acquire():
            return None
        connection = RpcUpstreamConnection(self, endpoint, non_idempotent)
        candidates.append(connection)
        connection.connect_task = asyncio.get_running_loop().create_task(self._connect(connection))
        return connection

    # -- Connecting -----------------------------------------------------------------------------------

    async def _connect(self, connection: RpcUpstreamConnection) -> None:
        loop = asyncio.get_running_loop()
        endpoint = connection.endpoint
        sock = new_socket(endpoint.address)
        timer = loop.call_later(self.connect_timeout_s, self._connect_timed_out, connection, sock)
        connected = False
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.sock_connect(sock, endpoint.address)
            connection.sock = sock
            await loop.create_connection(lambda: connection, sock=sock)
            connected = True
        except OSError as error:
            log.debug("connect to %s failed: %r", endpoint.name, error)
            connection.connect_task = None
            connection.end(Outcome.CONNECT_FAILED)
        finally:
            timer.cancel()
            if not connected:
                sock.close()
                connection.release_slot()

    @staticmethod
    def _connect_timed_out(connection: RpcUpstreamConnection, sock: socket.socket) -> None:
        """End a connect that exceeds its timeout, unless the kernel has already completed it.

        Prevents a delay of this process from counting as a server that is down.
        """
        if not is_connected(sock):
            connection.end(Outcome.CONNECT_FAILED)

    # -- Idle connections -----------------------------------------------------------------------------

    def load_decreased(self, connection: RpcUpstreamConnection) -> None:
        """Close a finished connection; start the idle timer of an idle one, to close it before its server does."""
        if connection.load:
            return
        is_ready = connection.endpoint.state is ServerState.READY
        if connection.is_finished() or connection.is_connecting() or not is_ready:
            connection.abort()  # including a connect that no attempt waits for any more
        elif connection.idle_timer is None and connection.usable:
            self._idle[connection] = None
            loop = asyncio.get_running_loop()
            connection.idle_timer = loop.call_later(self._idle_s, connection.abort)

    def connection_used(self, connection: RpcUpstreamConnection) -> None:
        """Mark a connection as not idle."""
        self._idle.pop(connection, None)

    def connection_ended(self, connection: RpcUpstreamConnection) -> None:
        """Remove a connection that was closed or could not be established."""
        self._idle.pop(connection, None)
        pool: Pool = connection.endpoint.pool
        candidates = pool.non_idempotent if connection.non_idempotent else pool.others
        if connection in candidates:
            candidates.remove(connection)

    def max_idle_connections(self) -> int:
        """The number of idle connections to all servers; `close_oldest_idle` closes the longest idle of them."""
        return len(self._idle)

    def close_oldest_idle(self) -> None:
        """Close the connection that has been idle longest, whichever server it is to."""
        next(iter(self._idle)).abort()

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close the idle connections to a server."""
        for connection in endpoint.pool.all():
            if not connection.load:
                connection.abort()

    async def close(self) -> None:
        """Close all connections and wait until connects in progress have ended."""
        tasks = [
            connection.connect_task
            for pool in self._pools.values()
            for connection in pool.all()
            if connection.connect_task is not None
        ]
        for pool in list(self._pools.values()):
            for connection in pool.all():
                connection.end(Outcome.CONNECT_FAILED)
        await asyncio.gather(*tasks, return_exceptions=True)
