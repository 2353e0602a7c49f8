"""Reads one response of a server from a connection's bytes, one step at a time; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Final

import h11

from topazbank.core.call import Headers
from topazbank.http.message_reader import ChunkedBodyReader, MessageReader, Step
from topazbank.http.messages import connection_options
from topazbank.http.response_reading import (
    BODILESS_STATUSES,
    declared_length,
    is_chunked,
    new_response_reader,
)

_INTERIM_RESPONSES_MAX: Final = 8  # 1xx responses before the final one


class MalformedResponse(Exception):
    """The received bytes are not a valid response."""


class TruncatedResponse(Exception):
    """The connection has ended before the response."""


class BodyEnd(Enum):
    """How the end of a response's body is found (RFC 9112, 6.3)."""

    LENGTH = auto()
    LAST_CHUNK = auto()
    CLOSE = auto()  # with the end of the connection


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a final response."""

    status: int
    headers: Headers  # names in lower case
    body_end: BodyEnd
    length: int  # declared length of the body in bytes; 0 if undeclared
    closes: bool  # whether the connection ends with this response


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """The end of a response."""

    reusable: bool  # whether the connection can carry another exchange


class ResponseReader(MessageReader):
    """One response."""

    def __init__(self) -> None:
        super().__init__()
        self.head: ResponseHead | None = None
        self._remaining = 0  # bytes of a body with a length
        self._chunks: ChunkedBodyReader | None = None  # of a body in chunks
        self._interim_responses = 0
        self._at_eof = False

    def error(self, status: int, reason: str) -> Exception:
        """Return the error for a response that is not accepted."""
        return MalformedResponse(reason)

    def end_input(self) -> None:
        """Record that the connection has ended."""
        self._at_eof = True

    def next(self) -> ResponseHead | bytes | ResponseEnd | Step:
        """Take one step: the head, a part of the body, the end, or none of these.

        Raise MalformedResponse, TruncatedResponse or h11.RemoteProtocolError.
        """
        if self.head is None:
            return self._needed(self._read_head())
        if self._chunks is not None:
            return self._needed(self._read_chunk(self._chunks))
        if self.head.body_end is BodyEnd.CLOSE:
            return self._read_until_close()
        return self._needed(self._read_body(self.head))

    def _needed(
        self, result: ResponseHead | bytes | ResponseEnd | Step
    ) -> ResponseHead | bytes | ResponseEnd | Step:
        """Return the result of a step; raise TruncatedResponse if it needs data and the connection has ended."""
        if result is Step.NEEDS_DATA and self._at_eof:
            raise TruncatedResponse
        return result

    def _read_head(self) -> ResponseHead | Step:
        data = self._take_head()
        if data is None:
            return Step.NEEDS_DATA
        reader = new_response_reader()
        reader.receive_data(data)
        event = reader.next_event()
        if isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > _INTERIM_RESPONSES_MAX:
                raise MalformedResponse(f"more than {_INTERIM_RESPONSES_MAX} interim (1xx) responses")
            return Step.CONTINUES
        if not isinstance(event, h11.Response):
            raise MalformedResponse("malformed response head")
        self.head = _response_head(event)
        self._remaining = self.head.length
        if self.head.body_end is BodyEnd.LAST_CHUNK:
            self._chunks = ChunkedBodyReader(reader)
        return self.head

    def _read_body(self, head: ResponseHead) -> bytes | ResponseEnd | Step:
        if not self._remaining:
            return self._end(head)
        if not self._input:
            return Step.NEEDS_DATA
        part = self._take(min(self._remaining, len(self._input)))
        self._remaining -= len(part)
        return part

    def _read_chunk(self, chunks: ChunkedBodyReader) -> bytes | ResponseEnd | Step:
        assert self.head is not None
        try:
            return self._next_chunk_part(chunks)
        except EOFError:
            return self._end(self.head)

    def _read_until_close(self) -> bytes | ResponseEnd | Step:
        if self._input:
            return self._take(len(self._input))
        return ResponseEnd(reusable=False) if self._at_eof else Step.NEEDS_DATA

    def _end(self, head: ResponseHead) -> ResponseEnd:
        """End the response; bytes after it belong to no request, so the connection is not used again."""
        return ResponseEnd(reusable=not head.closes and not self._input and not self._at_eof)


def _response_head(event: h11.Response) -> ResponseHead:
    headers = list(event.headers)  # h11 rebuilds each pair on every iteration
    length = declared_length(headers)
    closes = b"close" in connection_options(headers) or event.http_version == b"1.0"
    if event.status_code in BODILESS_STATUSES:
        return ResponseHead(event.status_code, headers, BodyEnd.LENGTH, 0, closes)
    if is_chunked(headers):
        if length is not None:
            raise MalformedResponse("both Content-Length and Transfer-Encoding are present")
        return ResponseHead(event.status_code, headers, BodyEnd.LAST_CHUNK, 0, closes)
    if length is not None:
        return ResponseHead(event.status_code, headers, BodyEnd.LENGTH, length, closes)
    return ResponseHead(event.status_code, headers, BodyEnd.CLOSE, 0, True)
