"""What the readers of requests and of responses share: their input, the end of a head, bodies in chunks; no I/O.

A reader takes one step at a time.  Each step takes bounded time, whatever the peer sends, so that a connection can be
given its turn and no more.
"""

from __future__ import annotations

import re
from enum import Enum, auto
from typing import Final

import h11

from topazbank.http.messages import data_bytes

HEAD_BYTES_MAX: Final = 16 * 1024
FIELDS_MAX: Final = 256
FIELD_BYTES: Final = 150  # of a field in memory, beside its name and value
_BLANK_LINE: Final = re.compile(rb"\n\r?\n")
_CHUNKED_PIECE_BYTES: Final = 4 * 1024  # given to the reader of chunks at a time


class Step(Enum):
    """The result of a step that completes nothing."""

    NEEDS_DATA = auto()
    CONTINUES = auto()  # further steps are possible


class ChunkedBodyReader:
    """Reads a body that comes in chunks, with h11."""

    def __init__(self, reader: h11.Connection) -> None:
        """`reader`: has read the head of the message."""
        self._reader = reader

    def feed(self, data: bytes) -> None:
        """Take received bytes."""
        self._reader.receive_data(data)

    def next_part(self) -> bytes | None:
        """Return the next part of the body, or None if more bytes are needed; raise EOFError at its end."""
        event = self._reader.next_event()
        if isinstance(event, h11.Data):
            return data_bytes(event)
        if isinstance(event, h11.EndOfMessage):
            raise EOFError
        return None

    def rest(self) -> bytes:
        """Return the bytes that were taken and do not belong to the message."""
        return self._reader.trailing_data[0]


class MessageReader:
    """The input of one direction of a connection; a subclass reads its messages."""

    def __init__(self) -> None:
        self._input = bytearray()  # received and not read yet
        self._position = 0  # offset of `_input` in the stream
        self._searched = 0  # bytes of `_input` that contain no blank line

    def error(self, status: int, reason: str) -> Exception:
        """Return the error for a message that is not accepted; `status`: as in an answer to a request."""
        raise NotImplementedError

    def feed(self, data: bytes) -> None:
        """Take received bytes."""
        self._input += data

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes that are received and not read yet."""
        return len(self._input)

    def _take_head(self) -> bytes | None:
        """Remove and return a head from the front of the input, None if it is incomplete; raise `error` if too large.

        The fields are counted before they are parsed: many short ones take far more memory and time than their bytes.
        """
        blank_line = _BLANK_LINE.search(self._input, max(self._searched - 2, 0))
        head_bytes = len(self._input) if blank_line is None else blank_line.end()
        if head_bytes > HEAD_BYTES_MAX:
            raise self.error(400, f"head exceeds {HEAD_BYTES_MAX} bytes")
        if blank_line is None:
            self._searched = len(self._input)
            return None
        self._searched = 0
        head = self._take(head_bytes)
        if head.count(b"\n") > FIELDS_MAX + 2:  # the first and the blank line
            raise self.error(431, f"head exceeds {FIELDS_MAX} fields")
        return head

    def _next_chunk_part(self, chunks: ChunkedBodyReader) -> bytes | Step:
        """Take a step in a body in chunks; return a part of it, or raise EOFError at its end."""
        try:
            part = chunks.next_part()
        except EOFError:
            self._give_back(chunks.rest())
            raise
        if part is not None:
            return part
        if not self._input:
            return Step.NEEDS_DATA
        chunks.feed(self._take(min(_CHUNKED_PIECE_BYTES, len(self._input))))
        return Step.CONTINUES

    def _take(self, count: int) -> bytes:
        data = bytes(self._input[:count])
        del self._input[:count]
        self._position += count
        return data

    def _give_back(self, data: bytes) -> None:
        self._input[:0] = data
        self._position -= len(data)
