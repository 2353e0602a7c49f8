"""TCP connection to one member of a ZooKeeper ensemble; splits received bytes into records."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from topazbank.discovery.zkwire import MalformedRecordError, RecordReader, RecordSplitter

log = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """Receiver of a connection's records; a MalformedRecordError raised by its methods closes the connection."""

    def handshake_received(self, connection: MemberConnection, record: RecordReader) -> None:
        """Handle the connection's first record."""

    def reply_received(self, connection: MemberConnection, record: RecordReader) -> None:
        """Handle a record after the first."""


class MemberConnection(asyncio.Protocol):
    """A connection to a member.

    The owner resolves `established` once the session is established.  Both `established` and `lost` are resolved when
    the connection ends.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.established: asyncio.Future[None] = loop.create_future()
        self.lost: asyncio.Future[None] = loop.create_future()
        self.last_received_at = loop.time()  # event loop time in seconds
        self._owner = owner
        self._splitter = RecordSplitter()
        self._handshake_done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.Protocol."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Dispatch the records completed by these bytes; a malformed record closes the connection."""
        self.last_received_at = asyncio.get_running_loop().time()
        try:
            for record in self._splitter.feed(data):
                self._dispatch(RecordReader(record))
        except MalformedRecordError as error:
            log.warning("zookeeper: malformed record from a member: %s", error)
            self.abort()

    def _dispatch(self, record: RecordReader) -> None:
        if self._handshake_done:
            self._owner.reply_received(self, record)
        else:
            self._handshake_done = True
            self._owner.handshake_received(self, record)

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio.Protocol."""
        for future in (self.lost, self.established):
            if not future.done():
                future.set_result(None)

    def write(self, frame: bytes) -> None:
        """Send a frame; requires a connected transport."""
        assert self.transport is not None
        self.transport.write(frame)

    def is_usable(self) -> bool:
        """Return whether requests can be written."""
        return self.transport is not None and not self.transport.is_closing()

    def abort(self) -> None:
        """Close immediately, without flushing buffered data."""
        if self.transport is not None:
            self.transport.abort()
