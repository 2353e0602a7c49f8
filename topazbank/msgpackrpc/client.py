"""The MessagePack-RPC carrier: a connection carries several calls, and each call's end proves what it can.

Which calls share a connection (docs/design/msgpack-rpc.md weighs the ways): the protocol has no cancel, so a call
that is given up while its request may be sent again takes its connection with it.  Calls of unsafe classes, which
are never sent again once they may have run, share only with one another; the others share in small numbers.

A call is written when the one before it has gone to the kernel whole, so it is known of each whether its last byte
was written, and what still waits here can be taken back.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from topazbank.balancing.events import Outcome, ServerState
from topazbank.balancing.settings import Idempotency
from topazbank.core.attempts import Attempt, AttemptDeadlines
from topazbank.core.call import Call, OutcomeCallback
from topazbank.core.endpoints import Endpoint
from topazbank.core.net import (
    SharedBufferProtocol,
    has_nothing_unread,
    is_connected,
    new_socket,
    peer_has_closed,
)
from topazbank.core.timers import Timers
from topazbank.core.upstream_client import ConnectionLimit
from topazbank.msgpackrpc.codec import MSGID_MOST, Decoder, Junk, Reply, encode_request
from topazbank.msgpackrpc.mapping import LIVE, STATS, read_reply, write_call

log = logging.getLogger(__name__)

_IDLE_MARGIN = 0.1  # an idle connection is closed this part of its time before the node would
_GIVEN_UP_MOST = (
    256  # calls given up on a connection whose responses may come yet; beyond it, it is used no more
)

Order = Callable[[int, float], bytes]  # makes a request of a message id and the time that is left


@dataclass(frozen=True, slots=True)
class Sharing:
    """How many calls share a connection, and how many connections a node is given."""

    lodges: int = 32
    others: int = 4
    connections: int = 64


class RpcAttempt(Attempt):
    """One call or probe on a connection that others share."""

    def __init__(
        self,
        endpoint: Endpoint,
        order: Order,
        terms: AttemptDeadlines,
        ended: OutcomeCallback,
        lodge: bool = False,
        call: Call | None = None,
    ) -> None:
        super().__init__(endpoint, terms, ended, call)
        self.order = order
        self.lodge = lodge  # of an unsafe class: never sent again once it may have run
        self._last = terms.is_final  # whether its request is over when its time is up
        self.msgid = -1
        self.written = False  # whether its last byte has gone to the kernel
        self.connection: RpcNodeConnection | None = None

    def release(self, outcome: Outcome) -> None:
        if self.connection is not None and outcome in _GIVEN_UP:
            self.connection.give_up(self, may_return=not self._last and not self.lodge)

    def cancel(self, final: bool) -> None:
        self._last = final
        self.end(Outcome.CANCELLED)

    def cancel_unwritten(self) -> None:
        if not self.written:
            self.end(Outcome.UNSENT)

    def time_up(self) -> None:
        self.end(Outcome.TIMED_OUT if self.written else Outcome.CONNECT_FAILED)


_GIVEN_UP = (Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.CONNECT_FAILED, Outcome.UNSENT)


class RpcNodeConnection(SharedBufferProtocol):
    """One connection to a node, from its dial on."""

    def __init__(self, carrier: RpcUpstreamClient, endpoint: Endpoint, lodges: bool) -> None:
        self.endpoint = endpoint
        self.lodges = lodges  # whether it carries calls of unsafe classes, or the others
        self.generation = endpoint.generation
        self.usable = True
        self.dial: asyncio.Task[None] | None = None
        self.sock: socket.socket | None = None
        self.idle_timer: asyncio.TimerHandle | None = None
        self._carrier = carrier
        self._transport: asyncio.Transport | None = None
        self._decoder = Decoder()
        self._next_msgid = 0
        self._waiting: deque[RpcAttempt] = deque()  # not begun to be written; bounded by the sharing
        self._writing: RpcAttempt | None = None  # begun, and its last byte not gone to the kernel
        self._out: dict[int, RpcAttempt] = {}  # written and not answered; bounded by the sharing
        self._given_up: dict[int, None] = {}  # ids whose responses may come yet; _GIVEN_UP_MOST
        self._doubted = False  # whether a call was given up and nothing has been heard since
        self._stall: asyncio.TimerHandle | None = None
        self._holds_slot = True

    # -- Load ------------------------------------------------------------------------------------------

    @property
    def load(self) -> int:
        return len(self._out) + len(self._waiting) + (self._writing is not None)

    def takes(self, most: int) -> bool:
        """Whether it may carry one more call."""
        if (
            not self.usable
            or self._doubted
            or self.load >= most
            or self.generation != self.endpoint.generation
        ):
            return False
        if self.sock is None or self._transport is None:
            return True  # its dial is under way
        # At rest nothing should be there to read; with calls out bytes may be, and only an end counts.
        return not peer_has_closed(self.sock) if self.load else has_nothing_unread(self.sock)

    def calls(self) -> list[RpcAttempt]:
        writing = [] if self._writing is None else [self._writing]
        return [*self._out.values(), *writing, *self._waiting]

    # -- What goes -------------------------------------------------------------------------------------

    def add(self, attempt: RpcAttempt) -> None:
        attempt.connection = self
        self._rest_over()
        self._carrier.in_use(self)
        self._waiting.append(attempt)
        self._write_next()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # so that an emptied buffer is told of
        if not self.usable:
            self.abort()
            return
        self._write_next()
        self._carrier.at_rest(self)

    def _write_next(self) -> None:
        transport = self._transport
        while (
            transport is not None and self._writing is None and self._waiting and not transport.is_closing()
        ):
            attempt = self._waiting.popleft()
            if not attempt.may_write():
                attempt.connection = None
                attempt.end(Outcome.UNSENT)
                continue
            left = attempt.remaining_s()
            self._writing = attempt
            attempt.msgid = self._new_msgid()
            transport.write(attempt.order(attempt.msgid, left))
            # A failed write closes the transport and empties its buffer, with nothing of it sent.
            if not transport.is_closing() and not transport.get_write_buffer_size():
                self._is_written()

    def resume_writing(self) -> None:
        self._is_written()
        self._write_next()

    def _is_written(self) -> None:
        attempt, self._writing = self._writing, None
        if attempt is not None:
            attempt.written = True
            self._out[attempt.msgid] = attempt

    def _new_msgid(self) -> int:
        """One that no call out and none given up has: a late response may bear theirs."""
        while True:
            msgid = self._next_msgid
            self._next_msgid = (msgid + 1) & MSGID_MOST
            if msgid not in self._out and msgid not in self._given_up:
                return msgid

    def give_up(self, attempt: RpcAttempt, may_return: bool) -> None:
        """A call's end was told before its response came.

        Not begun, it is taken back.  Half written, it must never be whole.  Written, its request may be sent
        again only once this connection has ended; else its response is dropped when it comes.
        """
        if attempt in self._waiting:
            self._waiting.remove(attempt)
            self._carrier.at_rest(self)
        elif attempt is self._writing:
            self._writing = None
            self.end(Outcome.CONNECTION_LOST)
        elif self._out.pop(attempt.msgid, None) is not None:
            self._given_up[attempt.msgid] = None
            self._doubted = True
            if may_return:
                self.end(Outcome.CANCELLED)
            elif len(self._given_up) >= _GIVEN_UP_MOST:
                self.usable = False
            self._carrier.at_rest(self)

    # -- What comes ------------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        if not self.load and not self._given_up:
            self.abort()  # stray bytes: what they answer is anyone's guess
            return
        try:
            for message in self._decoder.feed(data):
                if not isinstance(message, Reply):
                    raise Junk("a node sends responses")
                self._replied(message)
                if self._transport is None or self._transport.is_closing():
                    return
        except Junk as junk:
            self._spoil(str(junk))
            return
        self._watch_stall()

    def _replied(self, reply: Reply) -> None:
        self._doubted = False
        attempt = self._out.pop(reply.msgid, None)
        if attempt is None and self._writing is not None and self._writing.msgid == reply.msgid:
            # Answered before it was whole, as a node does that turns away what is too long.
            self._writing.end(*read_reply(reply, self._carrier.columns))
            self.end(Outcome.CONNECTION_LOST)  # the rest of it is never written
        elif attempt is not None:
            outcome, response = read_reply(reply, self._carrier.columns)
            self._carrier.at_rest(self)
            attempt.end(outcome, response)
        elif reply.msgid in self._given_up:
            del self._given_up[reply.msgid]  # late: its call has its end
            self._carrier.at_rest(self)
        else:
            # A second response, or one to nothing: what else it says is doubtful too.
            log.debug("%s responds to an id that is not out", self.endpoint.name)
            self.usable = False
            self._carrier.at_rest(self)

    def _watch_stall(self) -> None:
        """Bound the time that a response which has begun may take."""
        if self._stall is not None:
            self._stall.cancel()
            self._stall = None
        if self._decoder.pending:
            limit = self._carrier.dial_limit_s
            self._stall = asyncio.get_running_loop().call_later(limit, self._spoil, "it stalled")

    def _spoil(self, why: str) -> None:
        """What came is no response: the calls that were written ran or may have, and their node lives."""
        log.debug("%s: responses spoilt: %s", self.endpoint.name, why)
        self.end(Outcome.ERROR)

    # -- Ends ------------------------------------------------------------------------------------------

    def connection_lost(self, exc: Exception | None) -> None:
        self.free_slot()
        self.end(Outcome.CONNECTION_LOST)

    def free_slot(self) -> None:
        """Give its place back, once: a dial that is ended as it comes up ends twice."""
        if self._holds_slot:
            self._holds_slot = False
            self._carrier.slots.release()

    def end(self, written: Outcome) -> None:
        """Close at once: calls that were written end so, and the others never ran."""
        calls = self.calls()
        self._out, self._writing, self._waiting = {}, None, deque()
        self.abort()
        for attempt in calls:
            attempt.connection = None
        for attempt in calls:
            attempt.end(written if attempt.written else Outcome.CONNECT_FAILED)

    def withdraw(self, unwritten: Outcome) -> None:
        """Its node takes nothing new: what has not begun to be written never is."""
        self.usable = False
        waiting, self._waiting = list(self._waiting), deque()
        for attempt in waiting:
            attempt.connection = None
            attempt.end(unwritten)
        self._carrier.at_rest(self)

    def abort(self) -> None:
        self.usable = False
        self._rest_over()
        if self._stall is not None:
            self._stall.cancel()
            self._stall = None
        if self._transport is not None:
            self._transport.abort()
        elif self.dial is not None:
            self.dial.cancel()
        self._carrier.dropped(self)

    def _rest_over(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None

    def is_dialling(self) -> bool:
        return self._transport is None

    def is_done(self) -> bool:
        """Whether it carries nothing and will carry nothing more."""
        return not self.load and (not self.usable or self._doubted)


@dataclass(slots=True, eq=False)
class Pool:
    """The connections to a node, by what they carry."""

    lodges: list[RpcNodeConnection] = field(default_factory=list)
    others: list[RpcNodeConnection] = field(default_factory=list)

    def all(self) -> list[RpcNodeConnection]:
        return [*self.lodges, *self.others]


class RpcUpstreamClient:
    """All MessagePack-RPC connections to nodes, within the bound that `slots` keeps for all carriers."""

    def __init__(
        self,
        dial_limit_s: float,
        idle_s: float,
        slots: ConnectionLimit,
        columns: Collection[str] = (),
        sharing: Sharing | None = None,
    ) -> None:
        self.dial_limit_s = dial_limit_s
        self.slots = slots
        self.columns = columns
        self._idle_s = idle_s * (1.0 - _IDLE_MARGIN)
        self._sharing = sharing or Sharing()
        self._timers = Timers()
        self._pools: dict[Endpoint, Pool] = {}
        self._idle: dict[RpcNodeConnection, None] = {}  # those that carry nothing, the longest at rest first

    def add_endpoint(self, endpoint: Endpoint) -> None:
        endpoint.pool = self._pools[endpoint] = Pool()

    def endpoint_restarted(self, endpoint: Endpoint) -> None:
        """What waits for a dial would go to the former process, or to nobody; that says nothing of the node."""
        self._take_back(endpoint, Outcome.UNSENT)

    def drain_endpoint(self, endpoint: Endpoint) -> None:
        self._take_back(endpoint, Outcome.CONNECT_FAILED)

    @staticmethod
    def _take_back(endpoint: Endpoint, outcome: Outcome) -> None:
        for connection in endpoint.pool.all():
            connection.withdraw(outcome)

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        del self._pools[endpoint]

    def close_idle(self, endpoint: Endpoint) -> None:
        for connection in endpoint.pool.all():
            if not connection.load:
                connection.abort()

    def send(
        self, endpoint: Endpoint, call: Call, terms: AttemptDeadlines, ended: OutcomeCallback
    ) -> RpcAttempt:
        order: Order = lambda msgid, left: write_call(msgid, call, left)  # noqa: E731
        attempt = RpcAttempt(
            endpoint, order, terms, ended, call.request_class.idempotency is Idempotency.NON_IDEMPOTENT, call
        )
        if call.spooled_body is not None:
            attempt.end(Outcome.UNSENT)  # larger than a message may be: nodes that speak HTTP may take it
            return attempt
        return self._start(attempt)

    def check_health(self, endpoint: Endpoint, until: float, ended: OutcomeCallback) -> RpcAttempt:
        method = STATS if self.columns else LIVE
        order: Order = lambda msgid, _: encode_request(msgid, method, [])  # noqa: E731
        return self._start(RpcAttempt(endpoint, order, AttemptDeadlines(until), ended))

    def _start(self, attempt: RpcAttempt) -> RpcAttempt:
        loop = asyncio.get_running_loop()
        if attempt.give_up_at <= loop.time():
            attempt.end(Outcome.UNSENT)
            return attempt
        connection = self._connection(attempt.endpoint, attempt.lodge)
        if connection is None:
            log.warning("no connection to spare for %s", attempt.endpoint.name)
            attempt.end(Outcome.UNSENT)  # the lack is this sidecar's: it says nothing of the server
            return attempt
        attempt.timers.append(self._timers.call_at(attempt.give_up_at, RpcAttempt.time_up, attempt))
        attempt.arm_write_deadline(self._timers)
        connection.add(attempt)
        return attempt

    def _connection(self, endpoint: Endpoint, lodge: bool) -> RpcNodeConnection | None:
        """The least loaded that may take one more, a new one, or one shared by more than is wished."""
        pool: Pool = endpoint.pool
        mine = pool.lodges if lodge else pool.others
        share = self._sharing.lodges if lodge else self._sharing.others
        for connection in sorted(mine, key=lambda each: each.load):
            if connection.takes(share):
                return connection
            if not connection.load and connection.sock is not None and not connection.is_done():
                connection.abort()  # at rest, and its node has ended it
        if len(pool.lodges) + len(pool.others) < self._sharing.connections and self.slots.acquire():
            connection = RpcNodeConnection(self, endpoint, lodge)
            mine.append(connection)
            connection.dial = asyncio.get_running_loop().create_task(self._dial(connection))
            return connection
        return None

    async def _dial(self, connection: RpcNodeConnection) -> None:
        loop = asyncio.get_running_loop()
        endpoint = connection.endpoint
        sock = new_socket(endpoint.address)
        limit = loop.call_later(self.dial_limit_s, self._dial_time_up, connection, sock)
        made = False
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.sock_connect(sock, endpoint.address)
            connection.sock = sock
            await loop.create_connection(lambda: connection, sock=sock)
            made = True
        except OSError as fault:
            log.debug("no connection to %s: %r", endpoint.name, fault)
            connection.dial = None
            connection.end(Outcome.CONNECT_FAILED)
        finally:
            limit.cancel()
            if not made:
                sock.close()
                connection.free_slot()

    @staticmethod
    def _dial_time_up(connection: RpcNodeConnection, sock: socket.socket) -> None:
        """End a dial, unless its connection is up and only this program has not come to look."""
        if not is_connected(sock):
            connection.end(Outcome.CONNECT_FAILED)

    # -- Rest ------------------------------------------------------------------------------------------

    def at_rest(self, connection: RpcNodeConnection) -> None:
        """Note a connection that may carry nothing now: it rests for less long than its node keeps it."""
        if connection.load:
            return
        if (
            connection.is_done()
            or connection.is_dialling()
            or connection.endpoint.state is not ServerState.READY
        ):
            connection.abort()  # also a dial that nobody waits for any more
        elif connection.idle_timer is None and connection.usable:
            self._idle[connection] = None
            loop = asyncio.get_running_loop()
            connection.idle_timer = loop.call_later(self._idle_s, connection.abort)

    def in_use(self, connection: RpcNodeConnection) -> None:
        self._idle.pop(connection, None)

    def dropped(self, connection: RpcNodeConnection) -> None:
        """A connection has ended, or its dial has."""
        self._idle.pop(connection, None)
        pool: Pool = connection.endpoint.pool
        mine = pool.lodges if connection.lodges else pool.others
        if connection in mine:
            mine.remove(connection)

    def max_idle_connections(self) -> int:
        return len(self._idle)

    def close_oldest_idle(self) -> None:
        next(iter(self._idle)).abort()

    async def close(self) -> None:
        dials = [each.dial for pool in self._pools.values() for each in pool.all() if each.dial is not None]
        for pool in list(self._pools.values()):
            for connection in pool.all():
                connection.end(Outcome.CONNECT_FAILED)
        await asyncio.gather(*dials, return_exceptions=True)
