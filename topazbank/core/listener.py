"""Accepts a bounded number of client connections of any protocol, and periodically enforces their time limits."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from typing import Final

from topazbank.core.call import RequestCallbacks
from topazbank.core.client_connection import ClientConnection, ConnectionFactory
from topazbank.core.connection_shedding import SWEEP_DELAY_S_MAX, ConnectionShedding
from topazbank.core.connection_states import SWEEP_INTERVAL_S
from topazbank.core.connection_table import ConnectionTable
from topazbank.core.counters import ClientEvent, Counters
from topazbank.core.net import Address, peer_has_closed
from topazbank.core.protocol_detector import ProtocolDetector
from topazbank.core.request_checks import RequestClasses
from topazbank.operations.drain import DrainDecision

log = logging.getLogger(__name__)

_BACKLOG: Final = 512
_ACCEPTS_PER_TURN: Final = 64  # connections accepted per event loop iteration
_ACCEPT_PAUSE_S: Final = 0.05  # pause after a failed accept; prevents a busy loop when descriptors run out
_EXCESS_PAUSE_S: Final = 0.005  # pause while excess connections are read, and closed or served
# Connections accepted beyond the limit at a time, each for one complete request.  Without them a table full of clients
# that have stopped within a request would keep the requests of others unread.
_EXCESS_MAX: Final = 8
_CLOSING_MAX: Final = (
    16  # connections evicted per event loop iteration; until its end their descriptors are in use
)
_QUEUE_WAIT_S_MAX: Final = 0.5  # that connections wait to be accepted before long bodies give way to them
_EXCESS_PER_CONNECTION: Final = 1 / 8  # the same, as a part of the limit


def listening_socket(address: Address) -> socket.socket:
    """Listen on an address; during an upgrade, another process of the same user may listen on it too."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    try:
        return socket.create_server(address, family=family, backlog=_BACKLOG, reuse_port=True)
    except ValueError:  # the platform does not support reuse_port
        return socket.create_server(address, family=family, backlog=_BACKLOG)


class Listener:
    """Listens for clients and keeps a bounded number of their connections open."""

    def __init__(
        self,
        address: Address,
        max_connections: int,
        callbacks: RequestCallbacks,
        request_classes: RequestClasses,
        http: ConnectionFactory,
        msgpack_rpc: ConnectionFactory | None = None,
        sock: socket.socket | None = None,
        counters: Counters | None = None,
    ) -> None:
        """`msgpack_rpc`: None if only HTTP is supported.  `sock`: an inherited socket that listens on `address`."""
        self.callbacks = callbacks
        self.table = ConnectionTable(max_connections, callbacks, request_classes, counters or Counters())
        self.shedding = ConnectionShedding(max_connections)
        self._max_connections = max_connections
        self._http = http
        self._msgpack_rpc = msgpack_rpc
        self._next_sweep_at = 0.0
        self._accepting = False
        self._full_since: float | None = None  # since when connections wait in the kernel's queue
        self._starting: set[asyncio.Task[None]] = set()  # accepted connections that are not in the table yet
        self._sock = sock or listening_socket(address)
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()[:2]

    @property
    def sock(self) -> socket.socket:
        """The listening socket, which is handed over to the process that replaces this one."""
        return self._sock

    @property
    def connections(self) -> list[ClientConnection]:
        """All open connections."""
        return self.table.connections

    @property
    def open_connections(self) -> int:
        """The number of connections that are open or being set up."""
        return len(self.table) + len(self._starting)

    def set_max_connections(self, max_connections: int) -> None:
        """Change the connection limit; connections that are already open stay open."""
        self._max_connections = max_connections
        self.table.set_max_connections(max_connections)
        self.shedding.set_max_connections(max_connections)

    def start(self) -> None:
        """Start accepting connections and sweeping them for exceeded limits."""
        self._resume_accepting()
        self._schedule_sweep()

    def apply(self, decision: DrainDecision) -> None:
        """Apply the current decision of the drain."""
        self.table.draining, self.table.rejects_new = decision.closes_idle, decision.closes_unused
        if not decision.accepts_connections:
            self.stop(decision.ready)
        if decision.closes_idle:
            self.table.close_idle(only_used=not decision.closes_unused)

    def stop(self, has_successor: bool = False) -> None:
        """Stop listening; first accept the queued connections, unless another process accepts from the same queue.

        Closing the socket would reset queued connections.  If there is no room to accept them all, the socket therefore
        stays open until the next step of the drain.
        """
        if self._sock.fileno() < 0 or (not has_successor and not self._accept(_BACKLOG)):
            return
        if self._accepting:
            self._pause_accepting()
        self._sock.close()

    # -- Accepting ------------------------------------------------------------------------------------

    def _resume_accepting(self) -> None:
        if not self._accepting and self._sock.fileno() >= 0:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._sock, self._accept)

    def _pause_accepting(self) -> None:
        """Stop accepting for now; new connections wait in the kernel's queue."""
        self._accepting = False
        asyncio.get_running_loop().remove_reader(self._sock)

    def _accept(self, count_max: int = _ACCEPTS_PER_TURN) -> bool:
        """Accept queued connections; return whether the queue is empty."""
        for _ in range(count_max):
            if self.table.closing_count >= _CLOSING_MAX:
                return False  # goes on in the event loop's next iteration
            if self.open_connections >= self._max_connections:
                self.table.evict()
            is_excess = self.open_connections >= self._max_connections
            if is_excess and self.open_connections >= self._max_connections + self._excess_max():
                self._retry_accepting(_EXCESS_PAUSE_S if self._excess_max() else _ACCEPT_PAUSE_S)
                self._make_room_for_waiting()
                return False
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                self._full_since = None
                self.table.others_wait = False
                return True
            except (InterruptedError, ConnectionAbortedError):
                continue
            except OSError as error:
                log.error("accept failed: %s", error)
                self._retry_accepting(_ACCEPT_PAUSE_S)
                return False
            if peer_has_closed(sock) or self._should_shed():  # the client gave up while queued
                sock.close()
            else:
                self._start_connection(sock, is_excess)
        return False

    def _make_room_for_waiting(self) -> None:
        """Let long bodies give way once connections have waited in the kernel's queue for some time."""
        now = asyncio.get_running_loop().time()
        if self._full_since is None:
            self._full_since = now
        elif now >= self._full_since + _QUEUE_WAIT_S_MAX:
            self.table.others_wait = True
            self.table.shed_long_bodies(_ACCEPTS_PER_TURN)

    def _excess_max(self) -> int:
        """The number of connections that may be accepted beyond the limit."""
        return min(_EXCESS_MAX, int(_EXCESS_PER_CONNECTION * self._max_connections))

    def _retry_accepting(self, pause_s: float) -> None:
        self._pause_accepting()
        asyncio.get_running_loop().call_later(pause_s, self._resume_accepting)

    def _should_shed(self) -> bool:
        """Whether to close a newly accepted connection without reading from it."""
        if not self.shedding.should_shed(self._count_busy):
            return False
        self.table.counters.count(ClientEvent.CONNECTION_SHED_UNREAD)
        log.info(
            "a new connection is closed unread: the event loop is late, %d have work", self._count_busy()
        )
        return True

    def _count_busy(self) -> int:
        return self.table.count_with_work() + len(self._starting)

    def _start_connection(self, sock: socket.socket, is_excess: bool) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = asyncio.get_running_loop().create_task(self._connect_protocol(sock, is_excess))
        self._starting.add(task)
        task.add_done_callback(self._starting.discard)

    async def _connect_protocol(self, sock: socket.socket, is_excess: bool) -> None:
        with contextlib.suppress(OSError):
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(lambda: self._new_connection(sock, is_excess), sock)

    def _new_connection(self, sock: socket.socket, is_excess: bool) -> ClientConnection:
        if self._msgpack_rpc is None:
            connection = self._http(self.table, sock)
        else:
            connection = ProtocolDetector(self.table, sock, self._http, self._msgpack_rpc)
        connection.exceeds_limit = is_excess
        return connection

    # -- Sweeping -------------------------------------------------------------------------------------

    def _sweep(self) -> None:
        """End connections that have exceeded their limits, and record whether this sweep ran late."""
        now = asyncio.get_running_loop().time()
        is_late = now > self._next_sweep_at + SWEEP_DELAY_S_MAX
        self._schedule_sweep()  # scheduled first, so that a failure below does not stop the sweeps
        self.table.end_overdue(now)
        self.shedding.record_sweep(is_late)

    def _schedule_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._next_sweep_at = loop.time() + SWEEP_INTERVAL_S
        loop.call_at(self._next_sweep_at, self._sweep)
