"""The HTTP carrier: pools, attempts and probes; a connection carries one request at a time.

Every byte and connection is under this file's control: nothing is resent silently, and it is known whether
a request's last byte was written.  Only then may the node have begun it.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from functools import partial

from topazbank.balancing.events import Outcome, ServerState
from topazbank.balancing.settings import Idempotency
from topazbank.core.attempts import Attempt, AttemptDeadlines
from topazbank.core.body import ResponseStream
from topazbank.core.call import BUFFERED_BODY_BYTES_MAX, Call, OutcomeCallback, Response
from topazbank.core.endpoints import Endpoint
from topazbank.core.net import is_connected, new_socket
from topazbank.core.reports import parse_health_report, parse_report
from topazbank.core.timers import Timer, Timers
from topazbank.core.upstream_client import ConnectionLimit
from topazbank.http.connection import ABOUT_BODY, Connection, HttpResponse, connect, message

log = logging.getLogger(__name__)

_REST_PART = 0.12  # of the dial limit: so long a connection rests after an answer before it is used again
_IDLE_MARGIN = 0.1  # an idle connection is closed this part of its time before the node would

Order = Callable[[float], bytes]  # makes a request when it is written, since it tells the time left


@dataclass(slots=True, eq=False)
class Pool:
    """The connections to a node that carry nothing, and the dials to it."""

    # The longest at rest first, each with the timer that closes it; bounded with all connections.
    idle: list[tuple[Connection, Timer]] = field(default_factory=list)
    dialling: set[Exchange] = field(default_factory=set)


class Exchange(Attempt):
    """One attempt or probe over HTTP, from the dial to its one outcome."""

    def __init__(
        self,
        endpoint: Endpoint,
        order: Order,
        terms: AttemptDeadlines,
        ended: OutcomeCallback,
        call: Call | None = None,
    ) -> None:
        super().__init__(endpoint, terms, ended, call)
        self.generation = endpoint.generation
        self.pool: Pool = endpoint.pool
        self.order = order
        self.probing = False
        self.report: Mapping[str, float] | None = None  # of an answer that is passed on as it comes
        self.connection: Connection | None = None
        self.dial: asyncio.Task[bool] | None = None

    def release(self, outcome: Outcome) -> None:
        self.pool.dialling.discard(self)
        if outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.CONNECT_FAILED, Outcome.UNSENT):
            if self.connection is not None:
                self.connection.abort()  # this is how an attempt is given up
            if self.dial is not None:
                self.dial.cancel()

    def cancel_unwritten(self) -> None:
        if self.connection is None or not self.connection.written:
            self.end(Outcome.UNSENT)


def judge(response: HttpResponse | None, written: bool, spoilt: bool) -> Outcome:
    """What an ended exchange proves: it never ran only if that is certain."""
    if response is None and not written:
        return Outcome.CONNECT_FAILED
    if response is None:
        return Outcome.ERROR if spoilt else Outcome.CONNECTION_LOST  # who answers with noise is still there
    if response.status == 200:
        return Outcome.DELIVERED
    if response.status in (503, 504) and response.header(b"x-rejected") == "1":
        return Outcome.REJECTED
    return Outcome.ERROR


def write_request(call: Call, left_s: float) -> bytes:
    """What an attempt sends: the client's request, with the time that is left for it."""
    safe = call.request_class.idempotency is Idempotency.IDEMPOTENT
    headers = [
        *(call.headers if call.headers is not None else _headers(call)),
        (b"X-Budget", b"%.6f" % left_s),
    ]
    if call.body or not safe:
        length = call.spooled_body.length if call.spooled_body is not None else len(call.body)
        headers.append((b"Content-Length", b"%d" % length))
    first = b"%b %b HTTP/1.1" % (b"GET" if safe else b"POST", call.target)
    return message(first, headers, call.body)


def _headers(call: Call) -> list[tuple[bytes, bytes]]:
    """The headers of a call that came in another protocol; its front let only visible characters through."""
    headers = [
        (b"Host", b"sidecar"),
        (b"X-Call-Id", call.call_id.encode()),
        (b"X-Call-Class", call.request_class.name.encode()),
    ]
    if call.caller is not None:
        headers.append((b"X-Caller", call.caller.encode()))
    if call.idempotency_key is not None:
        headers.append((b"Idempotency-Key", call.idempotency_key.encode()))
    if call.is_retry:
        headers.append((b"X-Again", b"1"))
    if call.cost_us is not None:
        headers.append((b"X-Call-Cost", b"%d" % call.cost_us))
    return headers + (call.content_headers or [])


class HttpUpstreamClient:
    """All HTTP connections to nodes, within the bound that `slots` keeps for all carriers."""

    def __init__(
        self, dial_limit_s: float, idle_s: float, slots: ConnectionLimit, columns: Collection[str] = ()
    ) -> None:
        self._dial_limit = dial_limit_s
        self._idle_s = idle_s * (1.0 - _IDLE_MARGIN)
        self._rest_s = _REST_PART * dial_limit_s
        self._slots = slots
        self._timers = Timers()
        self._columns = columns  # of load reports; none: there are no reports
        self._pools: dict[str, Pool] = {}

    def add_endpoint(self, endpoint: Endpoint) -> None:
        endpoint.pool = self._pools[endpoint.name] = Pool()

    def endpoint_restarted(self, endpoint: Endpoint) -> None:
        """Who listens at the former place by now may be another; that says nothing of the node."""
        self._take_back(endpoint, Outcome.UNSENT)

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        del self._pools[endpoint.name]

    def drain_endpoint(self, endpoint: Endpoint) -> None:
        """A slow dial may outlast the grace."""
        self._take_back(endpoint, Outcome.CONNECT_FAILED)

    def _take_back(self, endpoint: Endpoint, outcome: Outcome) -> None:
        """Close what is idle, and end what waits for a dial."""
        self.close_idle(endpoint)
        for exchange in list(endpoint.pool.dialling):
            exchange.end(outcome)

    def send(
        self, endpoint: Endpoint, call: Call, terms: AttemptDeadlines, ended: OutcomeCallback
    ) -> Exchange:
        """Start an attempt; giving one up closes its connection, whether it was the last or not."""
        return self._start(Exchange(endpoint, partial(write_request, call), terms, ended, call))

    def check_health(self, endpoint: Endpoint, until: float, ended: OutcomeCallback) -> Exchange:
        target = b"/stats" if self._columns else b"/health/live"
        data = message(b"GET %b HTTP/1.1" % target, [(b"Host", endpoint.name.encode())])
        exchange = Exchange(endpoint, lambda _: data, AttemptDeadlines(until), ended)
        exchange.probing = True
        return self._start(exchange)

    def _start(self, exchange: Exchange) -> Exchange:
        loop = asyncio.get_running_loop()
        if exchange.give_up_at <= loop.time():
            exchange.end(Outcome.UNSENT)
            return exchange
        exchange.timers.append(self._timers.call_at(exchange.give_up_at, self._time_up, exchange))
        exchange.arm_write_deadline(self._timers)
        connection = self._take_idle(exchange.pool)
        if connection is not None:
            self._write(exchange, connection)
        elif self._slots.acquire():
            exchange.pool.dialling.add(exchange)
            exchange.dial = loop.create_task(self._dial(exchange))
            exchange.dial.add_done_callback(self._dialled)
        else:
            # The lack is this sidecar's: it says nothing of the server.
            log.warning("no connection to spare for %s", exchange.endpoint.name)
            exchange.end(Outcome.UNSENT)
        return exchange

    def close_idle(self, endpoint: Endpoint) -> None:
        pool: Pool = endpoint.pool
        while pool.idle:
            connection, timer = pool.idle.pop()
            timer.cancel()
            connection.abort()

    @staticmethod
    def _time_up(exchange: Exchange) -> None:
        connection = exchange.connection
        exchange.end(
            Outcome.TIMED_OUT if connection is not None and connection.written else Outcome.CONNECT_FAILED
        )

    @staticmethod
    def _dial_time_up(exchange: Exchange, sock: socket.socket) -> None:
        """End a dial, unless its connection is up and only this program has not come to look.

        Guards a busy sidecar against taking its own lag for dead servers.  The attempt's end bounds it still.
        """
        if exchange.connection is None and not is_connected(sock):
            exchange.end(Outcome.CONNECT_FAILED)

    def _take_idle(self, pool: Pool) -> Connection | None:
        """The last used of those that have rested; others make room for a new one, however little room there is.

        What a server does to a connection after its answer, an end or more bytes, is under way for as long as
        the network takes; what is written meanwhile may have run and would be lost, or get another's answer.
        """
        closed_by = asyncio.get_running_loop().time() + self._idle_s - self._rest_s
        for index in reversed(range(len(pool.idle))):
            connection, timer = pool.idle[index]
            if timer.when() > closed_by:
                continue
            del pool.idle[index]
            timer.cancel()
            if connection.is_idle():
                return connection
            connection.abort()
        return None

    def max_idle_connections(self) -> int:
        return max((len(each.idle) for each in self._pools.values()), default=0)

    def close_oldest_idle(self) -> None:
        fullest = max(self._pools.values(), key=lambda each: len(each.idle))
        connection, timer = fullest.idle.pop(0)
        timer.cancel()
        connection.abort()

    async def _dial(self, exchange: Exchange) -> bool:
        """Dial and write; say whether there is a connection now."""
        endpoint = exchange.endpoint
        try:
            sock = new_socket(endpoint.address)
            up = partial(self._dial_time_up, exchange)
            exchange.timers.append(self._timers.call_after(self._dial_limit, up, sock))
            connection = await connect(endpoint.address, BUFFERED_BODY_BYTES_MAX, self._dial_limit, sock)
        except OSError as fault:
            log.debug("no connection to %s: %r", endpoint.name, fault)
            exchange.end(Outcome.CONNECT_FAILED)
            return False
        connection.on_lost = self._slots.release
        exchange.dial = None  # it is this task, which has done its work
        if exchange.on_ended is None:
            connection.abort()
        else:
            self._write(exchange, connection)
        return True

    def _dialled(self, dial: asyncio.Task[bool]) -> None:
        if dial.cancelled() or not dial.result():
            self._slots.release()

    def _write(self, exchange: Exchange, connection: Connection) -> None:
        exchange.connection = connection
        exchange.pool.dialling.discard(exchange)
        if not exchange.may_write():
            exchange.end(Outcome.UNSENT)
            return
        order = exchange.order(exchange.remaining_s())
        answered = partial(self._answered, exchange, connection)
        call = exchange.call
        if call is None:
            connection.request(order, answered)
        else:
            rest = call.spooled_body.chunks() if call.spooled_body is not None else None
            connection.request(order, answered, rest, call.accepts_stream)

    def _answered(self, exchange: Exchange, connection: Connection, response: HttpResponse | None) -> None:
        if response is not None and response.stream is not None:
            connection.on_stream_end = partial(self._streamed, exchange, connection, response.stream)
            neutral = self._neutral(exchange, Outcome.DELIVERED, response)
            exchange.report = neutral.report
            exchange.response_started(neutral)
            return
        self._put_back(exchange, connection)
        outcome = judge(response, connection.written, connection.spoilt)
        exchange.end(outcome, None if response is None else self._neutral(exchange, outcome, response))

    def _streamed(
        self, exchange: Exchange, connection: Connection, stream: ResponseStream, whole: bool
    ) -> None:
        """A large answer has ended."""
        connection.on_stream_end = lambda whole: None
        self._put_back(exchange, connection)
        broken = Outcome.CANCELLED if stream.is_aborted else Outcome.CONNECTION_LOST
        exchange.end(Outcome.DELIVERED if whole else broken, Response(b"", None, exchange.report))

    def _neutral(self, exchange: Exchange, outcome: Outcome, response: HttpResponse) -> Response:
        if exchange.probing:
            report = (
                parse_health_report(response.body, self._columns) if outcome is Outcome.DELIVERED else None
            )
            return Response(response.body, None, report)
        about = [each for each in response.headers if each[0] in ABOUT_BODY]
        report = parse_report(response.header(b"x-load-report"), self._columns)
        return Response(response.body, about, report, response.stream)

    def _put_back(self, exchange: Exchange, connection: Connection) -> None:
        """Keep a connection for the next request, for less long than the node keeps it."""
        endpoint = exchange.endpoint
        if not connection.reusable:
            return
        if exchange.generation != endpoint.generation or endpoint.state is not ServerState.READY:
            connection.abort()
            return
        timer = self._timers.call_after(self._idle_s, partial(self._idle_over, exchange.pool), connection)
        exchange.pool.idle.append((connection, timer))

    @staticmethod
    def _idle_over(pool: Pool, connection: Connection) -> None:
        pool.idle = [each for each in pool.idle if each[0] is not connection]
        connection.abort()

    async def close(self) -> None:
        dials = [
            each.dial for pool in self._pools.values() for each in pool.dialling if each.dial is not None
        ]
        for pool in list(self._pools.values()):
            for connection, timer in pool.idle:
                timer.cancel()
                connection.abort()
            pool.idle = []
            for exchange in list(pool.dialling):
                exchange.end(Outcome.CONNECT_FAILED)
        await asyncio.gather(*dials, return_exceptions=True)
