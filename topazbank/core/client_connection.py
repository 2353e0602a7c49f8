"""A client's connection: what all protocols have in common; a subclass for each reads requests and writes answers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from topazbank.core.connection_states import ConnectionState, PartialRequest
from topazbank.core.connection_table import CLOSABLE_STATES, ConnectionTable
from topazbank.core.counters import Violation
from topazbank.core.net import SharedBufferProtocol, has_nothing_unread, peer_has_closed

# The first byte of a MessagePack-RPC message, an array, is at least this; that of an HTTP request is a letter.
_MSGPACK_ARRAY_MIN: Final = 0x80


class ClientConnection(SharedBufferProtocol):
    """One connection of a client, registered in the connection table while it is open."""

    state = ConnectionState.NEW
    partial: PartialRequest | None = None  # the request that has not come completely

    def __init__(self, table: ConnectionTable, sock: socket.socket) -> None:
        self._table = table
        self._callbacks = table.callbacks
        self._request_classes = table.request_classes
        self._counters = table.counters
        self.number = table.next_number()  # for the log
        self._sock = sock
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register it (called by asyncio)."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._table.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister it (called by asyncio)."""
        self._table.connection_closed(self)

    # -- Questions ------------------------------------------------------------------------------------

    def is_quiet(self) -> bool:
        """Whether nothing has come that is unread."""
        return has_nothing_unread(self._sock)

    def is_idle(self) -> bool:
        """Whether it may be closed: no request is in progress, incomplete or unread."""
        return self.state in CLOSABLE_STATES and self.is_quiet()

    def can_be_evicted(self) -> bool:
        """Whether closing it at once loses nothing: all answers are written, nothing is unread or in progress.

        Closing over unread bytes is a reset, which discards what its client has not read yet.
        """
        if self._transport is not None and self._transport.get_write_buffer_size():
            return False
        idle = self.state in (ConnectionState.IDLE, ConnectionState.IDLE_PERSISTENT)
        return self.is_idle() if idle else self.is_quiet()

    def has_disconnected(self) -> bool:
        """Whether its client has disconnected, by the kernel's state: this process may not read from it for now.

        Guards against sending requests that nobody waits for.  A connection found closed is aborted, with all requests
        that are in progress on it.
        """
        if self._transport is None or self._transport.is_closing():
            return True
        if not peer_has_closed(self._sock):
            return False
        self.abort(client_disconnected=True)
        return True

    def has_unanswered(self) -> bool:
        """Whether a request of it is in progress."""
        return False

    def describe(self) -> str:
        """This connection in a log line: its number, its state, and how long a partial request has been silent."""
        silent = ""
        if self.partial is not None:
            now = asyncio.get_running_loop().time()
            silent = f", silent for {now - self.partial.last_progress_at:.2f} s"
        return f"connection {self.number} ({self.state.name.lower()}{silent})"

    # -- Ends -----------------------------------------------------------------------------------------

    def close(self) -> None:
        """Close it once what is written has gone out."""
        self._check_answered()
        if self._transport is not None:
            self._transport.close()

    def abort(self, client_disconnected: bool = False) -> None:
        """Close it at once; `client_disconnected`: its client has left, or reads no answers."""
        if not client_disconnected:
            self._check_answered()
        if self._transport is not None:
            self._transport.abort()

    def half_close(self) -> bool:
        """End the sending side and read on; return whether that was possible: a client that has reset it has left."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        try:
            transport.write_eof()
        except OSError:  # the reset has come, and the loop has not noticed it yet
            self.abort(client_disconnected=True)
            return False
        return True

    def _check_answered(self) -> None:
        """Count a violation where this process closes a connection under a request in progress."""
        if self.has_unanswered():
            self._counters.violation(Violation.CLOSED_UNANSWERED, self.describe())

    def limit_reached(self) -> None:
        """End it: its state has lasted for as long as it may, or its partial request has taken that long."""
        raise NotImplementedError


ConnectionFactory = Callable[[ConnectionTable, socket.socket], ClientConnection]


class ProtocolDetector(ClientConnection):
    """A connection whose first byte has not come: that byte tells the protocol that it is handed over to."""

    def __init__(
        self,
        table: ConnectionTable,
        sock: socket.socket,
        http: ConnectionFactory,
        msgpack_rpc: ConnectionFactory,
    ) -> None:
        super().__init__(table, sock)
        self._http = http
        self._msgpack_rpc = msgpack_rpc

    def data_received(self, data: bytes) -> None:
        """Hand the connection and its first bytes over (called by asyncio)."""
        transport = self._transport
        assert transport is not None
        factory = self._msgpack_rpc if data[0] >= _MSGPACK_ARRAY_MIN else self._http
        connection = factory(self._table, self._sock)
        self._table.connection_closed(self)
        transport.set_protocol(connection)
        connection.connection_made(transport)
        connection.data_received(data)

    def limit_reached(self) -> None:
        """Close it, unless its first byte has just come."""
        if self.is_idle():
            self.close()
