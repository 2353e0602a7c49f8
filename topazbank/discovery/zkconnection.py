"""One connection to one member of a ZooKeeper ensemble: bytes to records."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from topazbank.discovery.zkwire import MalformedRecordError, RecordReader, RecordSplitter

log = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """What a connection reports to; its methods may raise MalformedRecordError, which ends the connection."""

    def handshake_received(self, connection: MemberConnection, record: RecordReader) -> None:
        """The first record of the connection."""

    def reply_received(self, connection: MemberConnection, record: RecordReader) -> None:
        """Any later record."""


class MemberConnection(asyncio.Protocol):
    """A connection; `established` is resolved by its owner once the session is up, `lost` by the transport.

    Both are resolved when the connection ends.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.established: asyncio.Future[None] = loop.create_future()
        self.lost: asyncio.Future[None] = loop.create_future()
        self.last_received_at = loop.time()  # event loop's clock, s
        self._owner = owner
        self._splitter = RecordSplitter()
        self._handshake_done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.Protocol."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Pass on the records that the bytes complete; malformed ones end the connection."""
        self.last_received_at = asyncio.get_running_loop().time()
        try:
            for record in self._splitter.feed(data):
                self._pass_on(RecordReader(record))
        except MalformedRecordError as error:
            log.warning("zookeeper: a member sent a malformed record: %s", error)
            self.abort()

    def _pass_on(self, record: RecordReader) -> None:
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
        """Send a frame; the connection must have been made."""
        assert self.transport is not None
        self.transport.write(frame)

    def is_usable(self) -> bool:
        """Whether requests can be written."""
        return self.transport is not None and not self.transport.is_closing()

    def abort(self) -> None:
        """Close at once, without flushing."""
        if self.transport is not None:
            self.transport.abort()
