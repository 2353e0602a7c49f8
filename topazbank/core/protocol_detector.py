"""Detects the protocol of a client connection by its first byte, if the sidecar accepts more than one."""

from __future__ import annotations

import socket
from typing import Final

from topazbank.core.client_connection import ClientConnection, ConnectionFactory
from topazbank.core.connection_table import ConnectionTable

# Minimum first byte of a MessagePack-RPC message, which is an array; an HTTP request starts with a letter.
_MSGPACK_ARRAY_MIN: Final = 0x80


class ProtocolDetector(ClientConnection):
    """A connection before its first byte, which indicates the protocol that takes the connection over."""

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
        """Hand the connection and its first bytes over to a protocol (called by asyncio)."""
        transport = self._transport
        assert transport is not None
        factory = self._msgpack_rpc if data[0] >= _MSGPACK_ARRAY_MIN else self._http
        connection = factory(self._table, self._sock)
        connection.exceeds_limit = self.exceeds_limit
        self._table.connection_closed(self)
        self.memory.set(0)
        transport.set_protocol(connection)
        connection.connection_made(transport)
        connection.data_received(data)

    def limit_reached(self) -> None:
        """Close the connection unless its first byte has just arrived."""
        if self.is_idle():
            self.close()
