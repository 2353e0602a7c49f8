"""Reads the requests of one client connection from its bytes, one step at a time; no I/O.

The requests of a connection may be read ahead of their turn; their bodies go to a `BodyBuffer`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from topazbank.core.request_checks import InvalidRequest
from topazbank.core.spool import BODY_BYTES_MAX, BodyBuffer, Spool, SpooledBody, SpoolFull
from topazbank.http.message_reader import ChunkedBodyReader, MessageReader, Step
from topazbank.http.request_head import RequestHead, parse_head

_FIRST_CHARACTER_MIN: Final = (
    0x21  # of a request line; a lower one is no HTTP, such as the start of a TLS session
)
_EMPTY_LINES_BYTES_MAX: Final = 1024  # before one request


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A complete request."""

    head: RequestHead
    body: bytes | SpooledBody
    end: int  # offset of its end in the connection's stream

    def held_bytes(self) -> int:
        """The memory that it takes, in bytes; a spooled body is counted by the spool."""
        return self.head.held_bytes() + (len(self.body) if isinstance(self.body, bytes) else 0)

    def release(self) -> None:
        """Free a spooled body that no call has taken over."""
        if isinstance(self.body, SpooledBody):
            self.body.release()


class RequestReader(MessageReader):
    """The requests of one connection."""

    def __init__(self, spool: Spool, on_refused: Callable[[SpoolFull], None]) -> None:
        """`on_refused`: called if the incomplete body is refused to make room for others."""
        super().__init__()
        self.head: RequestHead | None = None  # of the incomplete request
        self._empty_lines_bytes = 0  # skipped since the last request
        self._remaining = 0  # bytes of the incomplete body
        self._chunks: ChunkedBodyReader | None = None  # of an incomplete body in chunks
        self._body = BodyBuffer(spool, on_refused)
        self._ended = False  # whether the connection ends with the last request

    def error(self, status: int, reason: str) -> Exception:
        """Return the error for a request that is not accepted."""
        return InvalidRequest(status, reason)

    def feed(self, data: bytes) -> None:
        """Take received bytes, unless the connection ends with the last request."""
        if not self._ended:
            super().feed(data)

    def held_bytes(self) -> int:
        """The memory that the incomplete request and the bytes after it take, without spooled chunks."""
        head_bytes = 0 if self.head is None else self.head.held_bytes()
        return len(self._input) + self._body.memory_bytes + head_bytes

    def remaining_bytes(self) -> int:
        """The rest of the incomplete body; in chunks it is expected to be as long as what has been received."""
        return len(self._body) if self._chunks is not None else self._remaining

    def has_partial(self) -> bool:
        """Whether a request has been received in part."""
        return self.head is not None or len(self._input) > 0

    def has_body_bytes(self) -> bool:
        """Whether a part of the incomplete body has been received."""
        return len(self._body) > 0 or len(self._input) > 0

    def next(self) -> ReceivedRequest | Step:
        """Take one step; raise InvalidRequest, h11.RemoteProtocolError or SpoolFull if the request is not accepted."""
        if self.head is None:
            return self._read_head()
        if self._chunks is not None:
            return self._read_chunk(self._chunks)
        return self._read_body()

    def discard(self) -> None:
        """Drop what is incomplete, since nothing more is read."""
        self._ended, self.head, self._chunks = True, None, None
        self._input.clear()
        self._body.discard()

    # -- Heads ----------------------------------------------------------------------------------------

    def _read_head(self) -> ReceivedRequest | Step:
        self._skip_empty_lines()
        if not self._input:
            return Step.NEEDS_DATA
        if self._input[0] < _FIRST_CHARACTER_MIN:
            raise InvalidRequest(400, "illegal request line")
        head = self._take_head()
        if head is None:
            return Step.NEEDS_DATA
        self.head, self._chunks = parse_head(head)
        self._empty_lines_bytes = 0
        self._remaining = self.head.body_length or 0
        if self._chunks is None and not self._remaining:
            return self._complete()
        return Step.CONTINUES

    def _skip_empty_lines(self) -> None:
        """Skip empty lines before a request line (RFC 9112, 2.2)."""
        if self._input.startswith((b"\r", b"\n")):
            rest = self._input.lstrip(b"\r\n")
            count = len(self._input) - len(rest)
            self._position += count
            self._empty_lines_bytes += count
            self._input = rest
            self._searched = 0
        if self._empty_lines_bytes > _EMPTY_LINES_BYTES_MAX:
            raise InvalidRequest(400, f"more than {_EMPTY_LINES_BYTES_MAX} bytes of empty lines")

    # -- Bodies ---------------------------------------------------------------------------------------

    def _read_body(self) -> ReceivedRequest | Step:
        if not self._input:
            return Step.NEEDS_DATA
        part = self._take(min(self._remaining, len(self._input)))
        self._remaining -= len(part)
        self._body.append(part)
        return Step.CONTINUES if self._remaining else self._complete()

    def _read_chunk(self, chunks: ChunkedBodyReader) -> ReceivedRequest | Step:
        try:
            part = self._next_chunk_part(chunks)
        except EOFError:
            return self._complete()
        if isinstance(part, Step):
            return part
        self._body.append(part)
        if len(self._body) > BODY_BYTES_MAX:
            raise InvalidRequest(413, f"body exceeds {BODY_BYTES_MAX} bytes")
        return Step.CONTINUES

    def _complete(self) -> ReceivedRequest:
        head = self.head
        assert head is not None
        request = ReceivedRequest(head, self._body.finish(), self._position)
        self.head, self._chunks = None, None
        if head.closes:
            self._ended = True
            self._input.clear()
        return request
