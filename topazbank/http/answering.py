"""The sending half of a client's HTTP connection: answers, streamed answers, flow control and the connection's end.

Promise: a client can tell a complete answer from a truncated one, whatever version of HTTP/1 it speaks, and an answer
that ends the connection arrives although the client may still be sending.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import struct
from typing import Final

from topazbank.core.body import ResponseStream
from topazbank.core.call import BUFFERED_BODY_BYTES_MAX, Headers
from topazbank.core.client_connection import ClientConnection
from topazbank.core.connection_states import ConnectionState
from topazbank.core.connection_table import ConnectionTable
from topazbank.http.answer_writing import LAST_CHUNK, StreamFraming, format_answer, stream_framing

log = logging.getLogger(__name__)

_DISCARDED_BYTES_MAX: Final = 128 * BUFFERED_BODY_BYTES_MAX  # behind a last answer, so that it arrives
_RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)  # struct linger: on, 0 s


class AnsweringConnection(ClientConnection):
    """Sends answers; its subclass reads requests."""

    def __init__(self, table: ConnectionTable, sock: socket.socket) -> None:
        super().__init__(table, sock)
        self._stream: ResponseStream | None = None  # the answer that is being streamed
        self._framing: StreamFraming | None = None  # of `_stream`
        self._write_blocked = False  # whether the kernel has not accepted all of the last answer
        self._discarded_bytes: int | None = (
            None  # received after the last answer; None: there may be more answers
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register it (called by asyncio)."""
        super().connection_made(transport)
        assert self._transport is not None
        self._transport.set_write_buffer_limits(high=0)

    # -- Hooks ----------------------------------------------------------------------------------------

    def _answer_sent(self, closes: bool, unread_state: ConnectionState) -> None:
        """An answer is written: end the connection if it `closes`, else turn to the next request.

        `unread_state`: the connection's state, and so its time limit, while the client has not read all of the answer.
        """
        raise NotImplementedError

    def _next_request(self) -> None:
        """Turn to the request behind the answered one, if all is answered and written."""
        raise NotImplementedError

    # -- Answers --------------------------------------------------------------------------------------

    def _can_send(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def _send_answer(self, status: int, headers: Headers, body: bytes, closes: bool, to_head: bool) -> None:
        """Write a complete answer."""
        assert self._transport is not None
        self._transport.write(format_answer(status, headers, body, closes, to_head))
        self._answer_sent(closes, ConnectionState.CLOSING)

    def _begin_stream(
        self, content_headers: Headers, stream: ResponseStream, http_1_1: bool, closes: bool
    ) -> None:
        """Write the beginning of a streamed answer; stream_data and stream_ended follow."""
        assert self._transport is not None
        self._framing = stream_framing(stream.length, http_1_1, closes)
        self._stream = stream
        stream.receiver = self
        self._table.set_state(self, ConnectionState.AWAITING_ANSWER)
        self._transport.write(self._framing.head(content_headers) + self._framing.frame(stream.first_data))

    def stream_data(self, data: bytes) -> None:
        """Forward what came next of a streamed answer."""
        if self._transport is not None and not self._transport.is_closing() and self._framing is not None:
            self._transport.write(self._framing.frame(data))

    def stream_ended(self, complete: bool) -> None:
        """End a streamed answer; a truncated one ends its connection, so that the client can tell."""
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
        self._answer_sent(framing.closes, ConnectionState.STREAMING_ANSWER)

    # -- Flow control ---------------------------------------------------------------------------------

    def pause_writing(self) -> None:
        """Pause a streamed answer's server: the client does not read (called by asyncio)."""
        self._write_blocked = True
        if self._stream is not None:
            self._stream.pause(True)
            self._table.set_state(self, ConnectionState.STREAMING_ANSWER)

    def resume_writing(self) -> None:
        """Go on: the kernel has accepted all that was written (called by asyncio)."""
        self._write_blocked = False
        if self._stream is not None:
            self._table.set_state(self, ConnectionState.AWAITING_ANSWER)
            self._stream.pause(False)
        elif self._discarded_bytes is not None:
            self._table.set_state(self, ConnectionState.CLOSING)  # the client has to close its side now
        else:
            self._next_request()

    def _pause_reading(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    # -- Closing --------------------------------------------------------------------------------------

    def _linger(self, state: ConnectionState) -> None:
        """Close the sending side and discard what still comes.

        Guards against losing the last answer: a close with unread bytes is a reset, which discards what the client has
        not read yet (RFC 9112, 9.6).
        """
        if self._transport is not None and not self._transport.is_closing():
            self._discarded_bytes = 0
            self.partial = None
            self._table.set_state(self, state)
            if self.half_close():
                self._transport.resume_reading()

    def _discard(self, count: int) -> None:
        """Discard `count` bytes behind the last answer, up to a bound."""
        self._discarded_bytes = (self._discarded_bytes or 0) + count
        if self._discarded_bytes > _DISCARDED_BYTES_MAX:
            self._pause_reading()

    def _reset(self) -> None:
        """Close with a reset: to a client of HTTP/1.0 an ordinary close means that the answer is complete."""
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.abort()
