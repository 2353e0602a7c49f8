"""The clients' side, whatever they speak: one listener, its connections and their limits.

A connection's first byte tells its protocol.  An HTTP request begins with a letter; a MessagePack-RPC message is
an array, whose first byte is 0x80 or more.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import socket
from collections.abc import Callable, Iterator

from topazbank.core.call import RequestCallbacks, RequestClasses
from topazbank.core.connection_states import (
    LIMITS_S,
    PARTIAL_STATES,
    SWEEP_S,
    ConnectionState,
    PartialRequest,
)
from topazbank.core.counters import Counters, Event, Violation
from topazbank.core.net import Address, Reader, has_ended, is_quiet
from topazbank.operations.drain import DrainDecision

log = logging.getLogger(__name__)

_BACKLOG = 512
_ACCEPTED_AT_ONCE = 64  # connections, before others are looked at again
_ACCEPT_PAUSE_S = 0.05  # after a failed accept, descriptors lacking: no spinning
_YOUNG_S = 0.1  # a connection that moved so lately may have its request on the way: others make room first
_IDLE_S = 1.0  # one that has said nothing for so long was hardly opened for a request
_HALTED_S = 2.2  # and a head that has gone no further for so long is hardly going to: a client may take 2 s
_DRAIN_HALTED_S = 0.3  # and in a drain, a head that has gone no further for so long
_TRIED_FOR_ROOM = 4  # connections that are looked at for one that can make room
_LAG_MOST_S = 0.04  # a sweep later than this tells of more work than the CPU can do
_LEAST_BUSY = 32  # connections that may carry requests, however late all is
_BUSY_LESS = 0.8  # at each late sweep they may be this part of what they were
_BUSY_MORE = 1.1  # and at each other one this many times as many
_TAKEN_FOR_ONE = (
    250  # connections that are taken for each that is ended unread: of 200 the platform bears one
)
_MAY_END_MOST = 2.0  # that many may be saved up
_BINARY = 0x80  # first bytes from here on are MessagePack's arrays; no HTTP method has one


# Who makes room, and how long it must have been in its state, or gone no further in it.
_ROOM_BY = (
    (ConnectionState.CLOSING, 0.0),
    (ConnectionState.NEW, _IDLE_S),
    (ConnectionState.READING_HEAD, _HALTED_S),
    (ConnectionState.IDLE, _YOUNG_S),
    (ConnectionState.IDLE_KEPT, _YOUNG_S),
    (ConnectionState.NEW, _YOUNG_S),
    (ConnectionState.IDLE, 0.0),
    (ConnectionState.IDLE_KEPT, 0.0),
    (ConnectionState.READING_HEAD, _IDLE_S),
    (ConnectionState.READING_BODY, _HALTED_S),
    (ConnectionState.NEW, 0.0),
    (ConnectionState.READING_HEAD, _YOUNG_S),
)
_AT_REST = (ConnectionState.IDLE, ConnectionState.IDLE_KEPT)
_CLOSABLE = (ConnectionState.NEW, ConnectionState.READING_HEAD, *_AT_REST)
_NOT_BUSY = (*_AT_REST, ConnectionState.READING_BODY, ConnectionState.SENDING, ConnectionState.CLOSING)


class ClientConnection(Reader):
    """One connection of a client; what it speaks is in the class made of this one."""

    state = ConnectionState.NEW
    partial: PartialRequest | None = None  # the request that has begun to come, and is not here yet

    def __init__(self, frontend: Listener, sock: socket.socket) -> None:
        self._frontend = frontend
        self.number = frontend.next_number()  # for the log
        self._sock = sock
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._frontend.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._frontend.lost(self)

    def is_quiet(self) -> bool:
        """Whether nothing has come that is not read yet."""
        return is_quiet(self._sock)

    def is_idle(self) -> bool:
        """Whether it may be closed: no request is held, begun or waiting unread."""
        return self.state in _CLOSABLE and self.is_quiet()

    def can_go(self) -> bool:
        """Whether ending it at once loses nothing: all it was told is written, and nothing it said is unread or held.

        An end over unread bytes is a reset, which takes with it what its client has not read yet.
        """
        if self._transport is not None and self._transport.get_write_buffer_size():
            return False
        return self.is_idle() if self.state in _AT_REST else self.is_quiet()

    def has_left(self) -> bool:
        """Whether its client has gone: asked of the kernel, as nothing may be read for now (what came is bounded).

        Guards against sending on what nobody waits for.  The connection ends then, with all that it still holds.
        """
        if self._transport is None or self._transport.is_closing():
            return True
        if not has_ended(self._sock):
            return False
        self.abort(client_gone=True)
        return True

    def describe(self) -> str:
        """This connection in a line of the log: its number, state, and how far its request has come."""
        silent = ""
        if self.partial is not None:
            now = asyncio.get_running_loop().time()
            silent = f", silent for {now - self.partial.silent_since:.2f} s"
        return f"connection {self.number} ({self.state.name.lower()}{silent})"

    def holds(self) -> bool:
        """Whether a request of it was read and has no answer yet."""
        return False

    def close(self) -> None:
        self._check_answered()
        if self._transport is not None:
            self._transport.close()

    def abort(self, client_gone: bool = False) -> None:
        """End it at once; `client_gone`: its client has left, or takes nothing of what it is told."""
        if not client_gone:
            self._check_answered()
        if self._transport is not None:
            self._transport.abort()

    def end_sending(self) -> bool:
        """End our side, and read on; whether that could be done: a client that has just reset it has left."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        try:
            transport.write_eof()
        except OSError:  # the reset has come, and the loop has not heard of it yet
            self.abort(client_gone=True)
            return False
        return True

    def _check_answered(self) -> None:
        """What was read is answered before its connection ends: an end without is a broken promise, and is counted."""
        if self.holds():
            self._frontend.counters.violated(Violation.CLOSED_UNANSWERED, self.describe())

    def time_up(self) -> None:
        """Its state has lasted for as long as it may, or its partial request has taken that long."""
        raise NotImplementedError


ConnectionFactory = Callable[["Listener", socket.socket], ClientConnection]


class Undecided(ClientConnection):
    """A connection whose first byte has not come: it becomes what that byte tells."""

    def data_received(self, data: bytes) -> None:
        transport = self._transport
        assert transport is not None
        chosen = self._frontend.speaks(data[0])(self._frontend, self._sock)
        self._frontend.lost(self)
        transport.set_protocol(chosen)
        chosen.connection_made(transport)
        chosen.data_received(data)

    def time_up(self) -> None:
        if self.is_idle():
            self.close()


def listen_at(address: Address) -> socket.socket:
    """A listening socket; another process of the same user may listen there too, for the time of an upgrade."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    try:
        return socket.create_server(address, family=family, backlog=_BACKLOG, reuse_port=True)
    except ValueError:  # a platform without that
        return socket.create_server(address, family=family, backlog=_BACKLOG)


class Listener:
    """Listens for the application, within a bound on its connections."""

    def __init__(
        self,
        address: Address,
        most: int,
        hooks: RequestCallbacks,
        rules: RequestClasses,
        text: ConnectionFactory,
        binary: ConnectionFactory | None = None,
        sock: socket.socket | None = None,
        counters: Counters | None = None,
    ) -> None:
        """`text` makes the connections that begin with a letter, `binary` the others; with none all are text.

        `sock`: a listening one that was handed over, at the same address.
        """
        self.hooks = hooks
        self.rules = rules
        self.counters = counters or Counters()
        self._numbers = itertools.count(1)
        self._text = text
        self._binary = binary
        self.draining = False
        self.stopped = False  # whether no new connection is taken any more
        self._most = most
        self._most_at_rest = max(most // 3, 1)  # clients may keep for good what they will not use again
        # The connections of each state and since when they are in it, the longest first; `_most` in all.
        self._by_state: dict[ConnectionState, dict[ClientConnection, float]] = {
            state: {} for state in ConnectionState
        }
        self._most_busy = float(most)  # connections that may carry requests: fewer while all is late
        self._may_end = 0.0  # new connections that may be ended unread by now
        self._sweep_due = 0.0
        self._accepting = False
        self._starting: set[asyncio.Task[None]] = set()
        self._sock = sock or listen_at(address)
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()[:2]

    @property
    def sock(self) -> socket.socket:
        """What listens, for the process that comes after this one."""
        return self._sock

    @property
    def connections(self) -> list[ClientConnection]:
        return [each for state in self._by_state.values() for each in state]

    def next_number(self) -> int:
        """A number for a connection, unique in this process."""
        return next(self._numbers)

    def speaks(self, first: int) -> ConnectionFactory:
        """What a connection that begins with this byte speaks."""
        return self._binary if self._binary is not None and first >= _BINARY else self._text

    def bound(self, most: int) -> None:
        """Hold so many connections from now on; those that are open stay, and what rests makes room as ever."""
        self._most, self._most_at_rest = most, max(most // 3, 1)
        self._most_busy = min(self._most_busy, float(most))

    def start(self) -> None:
        self._accept_again()
        self._sweep_later()

    def _accept_again(self) -> None:
        if not self._accepting and self._sock.fileno() >= 0:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._sock, self._accept)

    def _pause(self) -> None:
        """Leave new connections to the kernel's queue for now."""
        self._accepting = False
        asyncio.get_running_loop().remove_reader(self._sock)

    def _accept(self, at_once: int = _ACCEPTED_AT_ONCE) -> bool:
        """Take connections that wait; say whether none waits any more."""
        for _ in range(at_once):
            if self._count() >= self._most and not self._make_room():
                self._pause()
                asyncio.get_running_loop().call_later(_ACCEPT_PAUSE_S, self._accept_again)
                return False
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return True
            except (InterruptedError, ConnectionAbortedError):
                continue
            except OSError as fault:
                log.error("accept: %s", fault)
                self._pause()
                asyncio.get_running_loop().call_later(_ACCEPT_PAUSE_S, self._accept_again)
                return False
            if has_ended(sock) or self._ends_unread():  # ended: it waited for longer than its client did
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = asyncio.get_running_loop().create_task(self._begin(sock))
            self._starting.add(task)
            task.add_done_callback(self._starting.discard)
        return False

    async def _begin(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            loop = asyncio.get_running_loop()
            speaks = self._text if self._binary is None else Undecided
            await loop.connect_accepted_socket(lambda: speaks(self, sock), sock)

    def _count(self) -> int:
        return sum(map(len, self._by_state.values())) + len(self._starting)

    def _make_room(self) -> bool:
        """End a connection that holds no request, by what it has done, and only then by age.

        First those that were told their last, then those that have long said nothing or whose head has long gone no
        further, then those at rest: their clients open another when they need one.  What moved a moment ago is spared
        while there are others: its request may be on the way.
        """
        now = asyncio.get_running_loop().time()
        chosen = None
        for state, least_s in _ROOM_BY:
            chosen = chosen or self._that_can_go(state, now - least_s)
        if chosen is None:
            return False
        self.counters.count(Event.CONNECTION_MADE_ROOM)
        self.lost(chosen)
        chosen.abort()
        return True

    def _that_can_go(self, state: ConnectionState, before: float) -> ClientConnection | None:
        """The longest in a state, and since before this time, whose end loses nothing."""
        for _, (connection, since) in zip(
            range(_TRIED_FOR_ROOM), self._by_state[state].items(), strict=False
        ):
            if since <= before and connection.can_go():
                return connection
        return None

    def _sweep(self) -> None:
        """End what has passed its limit."""
        now = asyncio.get_running_loop().time()
        late = now > self._sweep_due + _LAG_MOST_S
        self._sweep_later()  # first: whatever fails below, limits are looked at again
        for connection in list(self._overdue(now)):
            self._end_overdue(connection)
        self._most_busy *= _BUSY_LESS if late else _BUSY_MORE
        self._most_busy = max(_LEAST_BUSY, min(self._most_busy, self._most))

    def _overdue(self, now: float) -> Iterator[ClientConnection]:
        """Connections whose state has lasted too long, or whose client has stopped in the middle of a request."""
        for state, limit in LIMITS_S.items():
            for connection, since in self._by_state[state].items():
                if since + limit > now:
                    break  # those behind it came later
                yield connection
        for state in PARTIAL_STATES:
            for connection in self._by_state[state]:
                partial = connection.partial
                if partial is None or not partial.is_overdue(now):
                    continue
                if partial.is_unheard(now):
                    self.counters.violated(Violation.STOPPED_CLIENT_UNHEARD, connection.describe())
                yield connection

    def _end_overdue(self, connection: ClientConnection) -> None:
        try:
            connection.time_up()
        except Exception:  # a defect: it ends this connection, and keeps no other from its limit
            log.exception("%s could not be ended in order", connection.describe())
            self.counters.violated(Violation.LIMITS_NOT_LOOKED_AT, connection.describe())
            self.lost(connection)
            connection.abort()

    def _sweep_later(self) -> None:
        self._sweep_due = asyncio.get_running_loop().time() + SWEEP_S
        asyncio.get_running_loop().call_at(self._sweep_due, self._sweep)

    def _ends_unread(self) -> bool:
        """Whether to end a new connection at once, unread, to catch up.

        It costs a twentieth of what refusing a request does, but its client hears nothing: only so few may end so.
        """
        self._may_end = min(self._may_end + 1.0 / _TAKEN_FOR_ONE, _MAY_END_MOST)
        if self._may_end < 1.0 or not self._is_swamped():
            return False
        self._may_end -= 1.0
        self.counters.count(Event.CONNECTION_REFUSED_UNREAD)
        return True

    def _is_swamped(self) -> bool:
        """Whether the CPU falls behind with the connections that carry requests."""
        at_rest = sum(len(self._by_state[state]) for state in _NOT_BUSY)
        return self._count() - at_rest >= self._most_busy

    def opened(self, connection: ClientConnection) -> None:
        self._by_state[connection.state][connection] = asyncio.get_running_loop().time()

    def move(self, connection: ClientConnection, state: ConnectionState, again: bool = False) -> None:
        """Note a connection's state; one that it is in already goes on, or with `again` begins anew."""
        if (again or connection.state is not state) and self._by_state[connection.state].pop(
            connection, None
        ) is not None:
            connection.state = state
            self.opened(connection)
            if state in _AT_REST and len(self._by_state[state]) > self._most_at_rest:
                oldest = self._that_can_go(state, asyncio.get_running_loop().time())
                if oldest is not None:
                    self.lost(oldest)
                    oldest.close()

    def lost(self, connection: ClientConnection) -> None:
        self._by_state[connection.state].pop(connection, None)

    def follow(self, orders: DrainDecision) -> None:
        """Carry out what holds while the sidecar is emptied, or is not any more: a request that crosses comes again."""
        self.draining, self.stopped = orders.closes_idle, orders.closes_unused
        if not orders.accepts_connections:
            self.stop(orders.ready)
        if orders.closes_idle:
            self.close_idle(used=not orders.closes_unused)

    def close_idle(self, used: bool) -> None:
        """Close what is at rest; with `used`, not what was just opened for a request still on its way.

        Else also a head that goes no further: it was never taken, and would hold the end of a drain for as long as its
        limit.  Its client comes again, where others are served.
        """
        halted = asyncio.get_running_loop().time() - _DRAIN_HALTED_S
        for state in _CLOSABLE:
            for connection, since in list(self._by_state[state].items()):
                if used and state not in _AT_REST:
                    continue
                stuck = state is ConnectionState.READING_HEAD and since < halted and connection.is_quiet()
                if stuck:
                    self.counters.count(Event.REQUEST_TIMED_OUT)
                    log.info("%s: ended in a drain, before its request was here", connection.describe())
                if stuck or connection.is_idle():
                    connection.close()

    def stop(self, succeeded: bool = False) -> None:
        """Listen no more; what waits is taken first, unless another process takes it from the same queue.

        Where there is no room for it now, listening goes on until the next step of the drain: an end would reset it.
        """
        if self._sock.fileno() < 0 or (not succeeded and not self._accept(_BACKLOG)):
            return
        if self._accepting:
            self._pause()
        self._sock.close()

    @property
    def held(self) -> int:
        """Connections that are open, or about to be."""
        return self._count()
