"""The sending half of a client's MessagePack-RPC connection: flow control and the memory that unread answers take.

Guarantees: every call in progress is answered, however slowly its client reads, as long as it reads at the rate that
the platform allows (`core.answer_progress`).  A connection's unread answers are bounded by its calls in progress, since
no further calls are handed over above _HIGH_WATER_BYTES.  All connections together are bounded by
`core.unread_answers`; an answer beyond that bound is replaced by a short error.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Final

from topazbank.core.client_connection import ClientConnection
from topazbank.core.connection_table import ConnectionTable
from topazbank.core.net import has_unacknowledged

log = logging.getLogger(__name__)

_HIGH_WATER_BYTES: Final = 64 * 1024  # unread answers above which no further calls are handed over


class AnsweringConnection(ClientConnection):
    """Sends answers; the subclass reads calls."""

    def __init__(self, table: ConnectionTable, sock: socket.socket) -> None:
        super().__init__(table, sock)
        self._write_blocked = False  # whether no calls are handed over until the client has read its answers

    def _on_answers_read(self) -> None:
        """Continue once the kernel has accepted all answers."""
        raise NotImplementedError

    def _write(self, data: bytes) -> None:
        """Write an answer; hand over no further calls if too many answers are unread."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(data)
        if not self._write_blocked and self.unread_bytes() > _HIGH_WATER_BYTES:
            self._write_blocked = True

    def is_write_blocked(self) -> bool:
        """Whether the client reads more slowly than it sends calls."""
        return self._write_blocked

    def has_unread_answers(self) -> bool:
        """Whether answers wait for the client to read, here or, between calls, in the kernel.

        Calls that cross the close of an idle connection cause a reset, which discards answers on their way.
        """
        return super().has_unread_answers() or (not self.has_unanswered() and has_unacknowledged(self._sock))

    def resume_writing(self) -> None:
        """Resume handing over calls (called by asyncio)."""
        super().resume_writing()
        self._write_blocked = False
        self._on_answers_read()

    # -- Flow control of reading ----------------------------------------------------------------------

    def stop_reading(self) -> None:
        """Stop reading for now; the client's progress within a message is unknown meanwhile."""
        super().stop_reading()
        if self.partial is not None:
            self.partial.pause(asyncio.get_running_loop().time())

    def start_reading(self) -> None:
        """Read again."""
        super().start_reading()
        if self.partial is not None:
            self.partial.resume(asyncio.get_running_loop().time())
