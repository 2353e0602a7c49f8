"""The MessagePack-RPC client of servers: connection pools, attempts and health checks.

Which attempts share a connection (docs/design/msgpack-rpc.md compares the ways): an attempt that is abandoned while its
request may be retried takes its connection with it.  Attempts of non-idempotent classes, which are never retried once
they may have been executed, share only with one another; the others share in small numbers.
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

_IDLE_MARGIN_RATIO: Final = 0.1  # an idle connection is closed this part of its time before the server would


@dataclass(frozen=True, slots=True)
class ConnectionSharing:
    """How many attempts may share a connection, and how many connections a server is given."""

    non_idempotent_max: int = 32
    others_max: int = 4
    connections_max: int = 64


@dataclass(slots=True, eq=False)
class Pool:
    """The connections to a server, by what they carry."""

    non_idempotent: list[RpcUpstreamConnection] = field(default_factory=list)
    others: list[RpcUpstreamConnection] = field(default_factory=list)

    def all(self) -> list[RpcUpstreamConnection]:
        """All connections to the server, also those that are connecting."""
        return [*self.non_idempotent, *self.others]


class RpcUpstreamClient:
    """All MessagePack-RPC connections to servers, within a limit shared with other protocols."""

    def __init__(
        self,
        connect_timeout_s: float,
        idle_timeout_s: float,
        connection_limit: ConnectionLimit,
        report_columns: Collection[str] = (),
        sharing: ConnectionSharing | None = None,
    ) -> None:
        """`idle_timeout_s`: after which servers close; `report_columns`: of load reports; none: there are none."""
        self.connect_timeout_s = connect_timeout_s
        self.connection_limit = connection_limit
        self.report_columns = report_columns
        self._idle_s = idle_timeout_s * (1.0 - _IDLE_MARGIN_RATIO)
        self._sharing = sharing or ConnectionSharing()
        self._timers = Timers()
        self._pools: dict[Endpoint, Pool] = {}
        self._idle: dict[RpcUpstreamConnection, None] = {}  # the longest idle first

    # -- Endpoints ------------------------------------------------------------------------------------

    def add_endpoint(self, endpoint: Endpoint) -> None:
        """Make the connection pool of a server that was added."""
        endpoint.pool = self._pools[endpoint] = Pool()

    def endpoint_restarted(self, endpoint: Endpoint) -> None:
        """Use no connection opened so far again; queued attempts end unsent, which is no fault of the server."""
        self._withdraw_queued(endpoint, Outcome.UNSENT)

    def drain_endpoint(self, endpoint: Endpoint) -> None:
        """End what is not begun to be written and close what is idle: it accepts nothing new."""
        self._withdraw_queued(endpoint, Outcome.CONNECT_FAILED)

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """Forget a server that was removed."""
        del self._pools[endpoint]

    @staticmethod
    def _withdraw_queued(endpoint: Endpoint, outcome: Outcome) -> None:
        for connection in endpoint.pool.all():
            connection.withdraw_queued(outcome)

    # -- Attempts -------------------------------------------------------------------------------------

    def send(
        self, endpoint: Endpoint, call: Call, deadlines: AttemptDeadlines, on_ended: OutcomeCallback
    ) -> RpcAttempt:
        """Start an attempt; a body too large for a message ends it unsent, since servers that speak HTTP accept it."""
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
        """Start a health check; its response has the load report where there are reports."""
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
        connection = self._connection_for(attempt.endpoint, attempt.non_idempotent)
        if connection is None:
            # This process's own limit: it says nothing of the server.
            log.warning("connection limit reached: attempt at %s is not sent", attempt.endpoint.name)
            attempt.end(Outcome.UNSENT)
            return attempt
        attempt.timers.append(self._timers.call_at(attempt.give_up_at, RpcAttempt.time_out, attempt))
        attempt.arm_write_deadline(self._timers)
        connection.add(attempt)
        return attempt

    def _connection_for(self, endpoint: Endpoint, non_idempotent: bool) -> RpcUpstreamConnection | None:
        """The least loaded connection with capacity, or a new one; None where the limits allow neither."""
        pool: Pool = endpoint.pool
        candidates = pool.non_idempotent if non_idempotent else pool.others
        sharing = self._sharing
        attempts_max = sharing.non_idempotent_max if non_idempotent else sharing.others_max
        for connection in sorted(candidates, key=lambda candidate: candidate.load):
            if connection.has_capacity(attempts_max):
                return connection
            if not connection.load and connection.sock is not None and not connection.is_finished():
                connection.abort()  # it is idle, and its server has closed it
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
        """End a connect that takes too long, unless the kernel has completed it.

        Guards against a delay of this process being taken for a server that is down.
        """
        if not is_connected(sock):
            connection.end(Outcome.CONNECT_FAILED)

    # -- Idle connections -----------------------------------------------------------------------------

    def load_decreased(self, connection: RpcUpstreamConnection) -> None:
        """Note a connection that may be idle now: it stays open for less long than its server keeps it."""
        if connection.load:
            return
        is_ready = connection.endpoint.state is ServerState.READY
        if connection.is_finished() or connection.is_connecting() or not is_ready:
            connection.abort()  # also a connect that no attempt waits for any more
        elif connection.idle_timer is None and connection.usable:
            self._idle[connection] = None
            loop = asyncio.get_running_loop()
            connection.idle_timer = loop.call_later(self._idle_s, connection.abort)

    def connection_used(self, connection: RpcUpstreamConnection) -> None:
        """Note that a connection is not idle any more."""
        self._idle.pop(connection, None)

    def connection_ended(self, connection: RpcUpstreamConnection) -> None:
        """Forget a connection that was closed, or could not be established."""
        self._idle.pop(connection, None)
        pool: Pool = connection.endpoint.pool
        candidates = pool.non_idempotent if connection.non_idempotent else pool.others
        if connection in candidates:
            candidates.remove(connection)

    def max_idle_connections(self) -> int:
        """How many connections are idle, of all servers: the longest idle one is closed whichever server it is to."""
        return len(self._idle)

    def close_oldest_idle(self) -> None:
        """Close the longest idle connection."""
        next(iter(self._idle)).abort()

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close the idle connections to a server."""
        for connection in endpoint.pool.all():
            if not connection.load:
                connection.abort()

    async def close(self) -> None:
        """Close all connections and wait for connects in progress to end."""
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
