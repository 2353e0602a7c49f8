"""The sending half of a client's HTTP connection: answers, streamed answers, flow control and the connection's end.

Guarantees: a client of any HTTP/1 version can distinguish a complete answer from a truncated one.  The last answer on a
connection is delivered even if the client is still sending.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import struct
from typing import Final

from topazbank.core.call import BUFFERED_BODY_BYTES_MAX, Headers
from topazbank.core.client_connection import ClientConnection
from topazbank.core.connection_states import ConnectionState
from topazbank.core.connection_table import ConnectionTable
from topazbank.core.response_stream import ResponseStream
from topazbank.core.spool import BODY_BYTES_MAX
from topazbank.http.answer_writing import LAST_CHUNK, StreamFraming, format_answer, stream_framing

log = logging.getLogger(__name__)

# After the last answer input is discarded, so that a client that is still sending a large body gets the answer.
_DISCARDED_BYTES_MAX: Final = BODY_BYTES_MAX + BUFFERED_BODY_BYTES_MAX
_DISCARD_LIMIT_S: Final = 60.0
_RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)  # struct linger: on, 0 s


class AnsweringConnection(ClientConnection):
    """Sends answers; the subclass reads requests."""

    def __init__(self, table: ConnectionTable, sock: socket.socket) -> None:
        super().__init__(table, sock)
        self._stream: ResponseStream | None = None  # the streamed answer in progress
        self._framing: StreamFraming | None = None  # the framing of `_stream`
        self._write_blocked = False  # whether the kernel has not accepted all of the last answer
        self._discarded_bytes: int | None = None  # after the last answer; None: not sent yet
        self._discard_until = 0.0  # on the event loop's clock

    # -- Hooks ----------------------------------------------------------------------------------------

    def _answer_sent(self, close_connection: bool) -> None:
        """Continue after a written answer: close the connection if `close_connection`, else read the next request."""
        raise NotImplementedError

    def _next_request(self) -> None:
        """Process the next pipelined request once the current answer has been written completely."""
        raise NotImplementedError

    # -- Answers --------------------------------------------------------------------------------------

    def _can_send(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def _send_answer(
        self, status: int, headers: Headers, body: bytes, close_connection: bool, is_head_request: bool
    ) -> None:
        """Write a complete answer."""
        assert self._transport is not None
        self._transport.write(format_answer(status, headers, body, close_connection, is_head_request))
        self._answer_sent(close_connection)

    def _begin_stream(
        self, content_headers: Headers, stream: ResponseStream, http_1_1: bool, close_connection: bool
    ) -> None:
        """Write the first part of a streamed answer; calls of stream_data and stream_ended follow."""
        assert self._transport is not None
        self._framing = stream_framing(stream.length, http_1_1, close_connection)
        self._stream = stream
        stream.receiver = self
        self._table.set_state(self, ConnectionState.AWAITING_ANSWER)
        self._transport.write(self._framing.head(content_headers) + self._framing.frame(stream.first_data))

    def stream_data(self, data: bytes) -> None:
        """Forward the next part of a streamed answer."""
        if self._transport is not None and not self._transport.is_closing() and self._framing is not None:
            self._transport.write(self._framing.frame(data))

    def stream_ended(self, complete: bool) -> None:
        """End a streamed answer; a truncated one closes the connection, so that the client detects it."""
        framing = self._framing
        self._stream, self._framing = None, None
        if self._transport is None or self._transport.is_closing() or framing is None:
            return
        if not complete:
            if framing.reveals_truncation():
                self.close()
            else:
                self._reset()
            return
        if framing.chunked:
            self._transport.write(LAST_CHUNK)
        self._answer_sent(framing.close_connection)

    # -- Flow control ---------------------------------------------------------------------------------

    def pause_writing(self) -> None:
        """Pause the streamed answer at the server, since the client does not read (called by asyncio)."""
        super().pause_writing()
        self._write_blocked = True
        if self._stream is not None:
            self._stream.pause(True)
            self._table.set_state(self, ConnectionState.STREAMING_ANSWER)

    def resume_writing(self) -> None:
        """Continue once the kernel has accepted all written data (called by asyncio)."""
        super().resume_writing()
        self._write_blocked = False
        if self._stream is not None:
            self._table.set_state(self, ConnectionState.AWAITING_ANSWER)
            self._stream.pause(False)
        elif self._discarded_bytes is not None:
            self._table.set_state(self, ConnectionState.CLOSING)  # waits for the client to close
        else:
            self._next_request()

    def is_sending(self) -> bool:
        """Whether an answer is not completely handed over to the kernel."""
        return self._stream is not None or super().is_sending()

    # -- Closing --------------------------------------------------------------------------------------

    def _linger(self) -> None:
        """Close the sending side and discard any further input.

        Prevents the loss of the last answer: closing a socket with unread input sends a reset, which discards any data
        that the client has not read yet (RFC 9112, 9.6).
        """
        if self._transport is not None and not self._transport.is_closing():
            self._discarded_bytes = 0
            self._discard_until = asyncio.get_running_loop().time() + _DISCARD_LIMIT_S
            self.partial = None
            state = ConnectionState.STREAMING_ANSWER if self._write_blocked else ConnectionState.CLOSING
            self._table.set_state(self, state)
            if self.half_close():
                self.start_reading()

    def _discard(self, count: int) -> None:
        """Count `count` discarded bytes after the last answer; pause reading above the limits."""
        self._discarded_bytes = (self._discarded_bytes or 0) + count
        is_late = asyncio.get_running_loop().time() >= self._discard_until
        if is_late or self._discarded_bytes > _DISCARDED_BYTES_MAX:
            self.stop_reading()
        elif self.state is ConnectionState.CLOSING:
            self._table.set_state(self, ConnectionState.CLOSING, restart=True)

    def _reset(self) -> None:
        """Close with a reset: an HTTP/1.0 client takes an ordinary close for the end of a complete answer."""
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.abort()
