"""The HTTP client for upstream servers: connection pools, attempts and health checks.

Guarantees: no request is resent silently, and only a request whose last byte was written may have been executed.  A
connection carries one request at a time.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Collection
from functools import partial
from typing import Final

from topazbank.balancing.events import Outcome, ServerState
from topazbank.core.attempts import AttemptDeadlines
from topazbank.core.call import BUFFERED_BODY_BYTES_MAX, Call, OutcomeCallback, Response
from topazbank.core.endpoints import Endpoint
from topazbank.core.memory_budget import MemoryAccount
from topazbank.core.net import is_connected, new_socket
from topazbank.core.reports import parse_health_report, parse_report
from topazbank.core.response_stream import ResponseStream
from topazbank.core.timers import Timers
from topazbank.core.upstream_client import ConnectionLimit
from topazbank.http.attempt import HttpAttempt, Pool, classify_outcome
from topazbank.http.connection import RESPONSE_BYTES_MIN, UpstreamConnection, connect
from topazbank.http.messages import CONTENT_HEADERS, HttpResponse, format_message
from topazbank.http.request_writing import format_request

log = logging.getLogger(__name__)

_REUSE_DELAY_RATIO: Final = 0.12  # minimum idle time before reuse, as a share of the connect timeout
_IDLE_MARGIN_RATIO: Final = 0.1  # share of the server's idle timeout by which this side closes earlier


class HttpUpstreamClient:
    """Manages all HTTP connections to servers, within a limit shared with other protocols."""

    def __init__(
        self,
        connect_timeout_s: float,
        idle_timeout_s: float,
        connection_limit: ConnectionLimit,
        report_columns: Collection[str] = (),
    ) -> None:
        """Create a client without endpoints.

        `idle_timeout_s`: the time after which servers close idle connections.  `report_columns`: the columns of load
        reports; empty if servers send no load reports.
        """
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_timeout_s * (1.0 - _IDLE_MARGIN_RATIO)
        self._reuse_delay_s = _REUSE_DELAY_RATIO * connect_timeout_s
        self._connection_limit = connection_limit
        self._report_columns = report_columns
        self._timers = Timers()
        self._pools: dict[str, Pool] = {}
        self._connecting_count = 0
        self._connecting_memory = MemoryAccount(connection_limit.memory)

    # -- Endpoints ------------------------------------------------------------------------------------

    def add_endpoint(self, endpoint: Endpoint) -> None:
        """Create the connection pool of an added server."""
        endpoint.pool = self._pools[endpoint.name] = Pool()

    def endpoint_restarted(self, endpoint: Endpoint) -> None:
        """Stop using the connections opened so far; unwritten attempts end as unsent, not as a server failure."""
        self._end_unwritten_attempts(endpoint, Outcome.UNSENT)

    def drain_endpoint(self, endpoint: Endpoint) -> None:
        """End unwritten attempts and close idle connections: a slow connect may outlast the drain grace period."""
        self._end_unwritten_attempts(endpoint, Outcome.CONNECT_FAILED)

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """Delete the connection pool of a removed server."""
        del self._pools[endpoint.name]

    def _end_unwritten_attempts(self, endpoint: Endpoint, outcome: Outcome) -> None:
        self.close_idle(endpoint)
        for attempt in list(endpoint.pool.connecting):
            attempt.end(outcome)

    # -- Attempts -------------------------------------------------------------------------------------

    def send(
        self, endpoint: Endpoint, call: Call, deadlines: AttemptDeadlines, on_ended: OutcomeCallback
    ) -> HttpAttempt:
        """Start an attempt; abandoning it closes its connection."""
        return self._start(HttpAttempt(endpoint, partial(format_request, call), deadlines, on_ended, call))

    def check_health(self, endpoint: Endpoint, give_up_at: float, on_ended: OutcomeCallback) -> HttpAttempt:
        """Start a health check; its response includes the load report if servers send load reports."""
        target = b"/stats" if self._report_columns else b"/health/live"
        data = format_message(b"GET %b HTTP/1.1" % target, [(b"Host", endpoint.name.encode())])
        attempt = HttpAttempt(endpoint, lambda _: data, AttemptDeadlines(give_up_at), on_ended)
        attempt.is_health_check = True
        return self._start(attempt)

    def _start(self, attempt: HttpAttempt) -> HttpAttempt:
        loop = asyncio.get_running_loop()
        if attempt.give_up_at <= loop.time():
            attempt.end(Outcome.UNSENT)
            return attempt
        attempt.timers.append(self._timers.call_at(attempt.give_up_at, HttpAttempt.time_out, attempt))
        attempt.arm_write_deadline(self._timers)
        connection = self._take_idle(attempt.pool)
        if connection is not None:
            self._write(attempt, connection)
        elif self._connection_limit.acquire():
            attempt.pool.connecting.add(attempt)
            self._set_connecting_count(self._connecting_count + 1)
            attempt.connect_task = loop.create_task(self._connect(attempt))
            attempt.connect_task.add_done_callback(self._connect_ended)
        else:
            # The limit is local to this process and does not indicate a server failure.
            log.warning("connection limit reached: attempt at %s is not sent", attempt.endpoint.name)
            attempt.end(Outcome.UNSENT)
        return attempt

    def _write(self, attempt: HttpAttempt, connection: UpstreamConnection) -> None:
        attempt.connection = connection
        connection.on_response_delayed = attempt.response_delayed
        attempt.pool.connecting.discard(attempt)
        if not attempt.may_write():
            attempt.end(Outcome.UNSENT)
            return
        data = attempt.format_request(attempt.remaining_s())
        on_response = partial(self._response_received, attempt, connection)
        call = attempt.call
        if call is None:
            connection.request(data, on_response)
        else:
            body_chunks = call.spooled_body.chunks() if call.spooled_body is not None else None
            connection.request(data, on_response, body_chunks, call.accepts_stream, call.deadline)

    def _response_received(
        self, attempt: HttpAttempt, connection: UpstreamConnection, response: HttpResponse | None
    ) -> None:
        if response is not None and response.stream is not None:
            connection.on_stream_end = partial(self._stream_ended, attempt, connection, response.stream)
            core_response = self._to_core_response(attempt, Outcome.DELIVERED, response)
            attempt.report = core_response.report
            attempt.response_started(core_response)
            return
        self._return_to_pool(attempt, connection)
        outcome = classify_outcome(response, connection.written, connection.malformed)
        if response is None and attempt.call is not None and attempt.on_ended is not None:
            log.info(
                "request %s: no response from %s: %s",
                attempt.call.call_id,
                attempt.endpoint.name,
                connection.failure,
            )
        attempt.end(outcome, None if response is None else self._to_core_response(attempt, outcome, response))

    def _stream_ended(
        self, attempt: HttpAttempt, connection: UpstreamConnection, stream: ResponseStream, complete: bool
    ) -> None:
        connection.on_stream_end = lambda complete: None
        self._return_to_pool(attempt, connection)
        failure = Outcome.CANCELLED if stream.is_aborted else Outcome.CONNECTION_LOST
        if not complete and attempt.call is not None:
            log.info(
                "request %s: incomplete response from %s: %s",
                attempt.call.call_id,
                attempt.endpoint.name,
                "client disconnected" if stream.is_aborted else connection.failure,
            )
        attempt.end(Outcome.DELIVERED if complete else failure, Response(b"", None, attempt.report))

    def _to_core_response(self, attempt: HttpAttempt, outcome: Outcome, response: HttpResponse) -> Response:
        if attempt.is_health_check:
            delivered = outcome is Outcome.DELIVERED
            report = parse_health_report(response.body, self._report_columns) if delivered else None
            return Response(response.body, None, report)
        content_headers = [header for header in response.headers if header[0] in CONTENT_HEADERS]
        report = parse_report(response.header(b"x-load-report"), self._report_columns)
        return Response(response.body, content_headers, report, response.stream)

    # -- Connecting -----------------------------------------------------------------------------------

    async def _connect(self, attempt: HttpAttempt) -> bool:
        """Connect and write the request; return whether the connect succeeded."""
        endpoint = attempt.endpoint
        try:
            sock = new_socket(endpoint.address)
            on_timeout = partial(self._connect_timed_out, attempt)
            attempt.timers.append(self._timers.call_after(self._connect_timeout_s, on_timeout, sock))
            connection = await connect(
                endpoint.address, BUFFERED_BODY_BYTES_MAX, self._connection_limit.partial_responses, sock
            )
        except OSError as error:
            log.debug("connect to %s failed: %r", endpoint.name, error)
            attempt.end(Outcome.CONNECT_FAILED)
            return False
        connection.on_lost = self._connection_limit.release
        attempt.connect_task = None  # this task must not be cancelled any more
        if attempt.on_ended is None:
            connection.abort()
        else:
            self._write(attempt, connection)
        return True

    def _connect_ended(self, task: asyncio.Task[bool]) -> None:
        self._set_connecting_count(self._connecting_count - 1)
        if task.cancelled() or not task.result():
            self._connection_limit.release()

    def _set_connecting_count(self, count: int) -> None:
        """Account for the responses to requests whose connections are being set up."""
        self._connecting_count = count
        self._connecting_memory.set(count * RESPONSE_BYTES_MIN)

    @staticmethod
    def _connect_timed_out(attempt: HttpAttempt, sock: socket.socket) -> None:
        """End an attempt whose connect timed out, unless the kernel has completed the connect.

        A delay of this process makes a completed connect look late.  Without the check, healthy servers would be
        counted as down and ejected.  The deadline of the attempt still applies.
        """
        if attempt.connection is None and not is_connected(sock):
            attempt.end(Outcome.CONNECT_FAILED)

    # -- Idle connections -----------------------------------------------------------------------------

    def _take_idle(self, pool: Pool) -> UpstreamConnection | None:
        """Remove and return the most recently used connection that has been idle for the reuse delay, or None.

        A server may close a connection, or send more bytes, just after its response.  A request written before that
        arrives here may be executed and its response lost, or be matched with the wrong response.
        """
        latest_expiry = asyncio.get_running_loop().time() + self._idle_s - self._reuse_delay_s
        for index in reversed(range(len(pool.idle))):
            connection, timer = pool.idle[index]
            if timer.when() > latest_expiry:
                continue
            del pool.idle[index]
            timer.cancel()
            if connection.is_idle():
                return connection
            connection.abort()
        return None

    def _return_to_pool(self, attempt: HttpAttempt, connection: UpstreamConnection) -> None:
        """Keep a connection for the next request, for a shorter time than the server keeps it."""
        endpoint = attempt.endpoint
        if not connection.reusable:
            return
        if attempt.generation != endpoint.generation or endpoint.state is not ServerState.READY:
            connection.abort()
            return
        on_timeout = partial(self._idle_timed_out, attempt.pool)
        timer = self._timers.call_after(self._idle_s, on_timeout, connection)
        attempt.pool.idle.append((connection, timer))

    @staticmethod
    def _idle_timed_out(pool: Pool, connection: UpstreamConnection) -> None:
        pool.idle = [entry for entry in pool.idle if entry[0] is not connection]
        connection.abort()

    def max_idle_connections(self) -> int:
        """Return the highest number of idle connections to a single server."""
        return max((len(pool.idle) for pool in self._pools.values()), default=0)

    def close_oldest_idle(self) -> None:
        """Close the longest idle connection to the server with the most idle connections."""
        largest_pool = max(self._pools.values(), key=lambda pool: len(pool.idle))
        connection, timer = largest_pool.idle.pop(0)
        timer.cancel()
        connection.abort()

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close the idle connections to a server."""
        self._close_idle(endpoint.pool)

    @staticmethod
    def _close_idle(pool: Pool) -> None:
        while pool.idle:
            connection, timer = pool.idle.pop()
            timer.cancel()
            connection.abort()

    async def close(self) -> None:
        """Close idle connections and wait for connects in progress to end."""
        tasks = [
            attempt.connect_task
            for pool in self._pools.values()
            for attempt in pool.connecting
            if attempt.connect_task is not None
        ]
        for pool in list(self._pools.values()):
            self._close_idle(pool)
            for attempt in list(pool.connecting):
                attempt.end(Outcome.CONNECT_FAILED)
        await asyncio.gather(*tasks, return_exceptions=True)
