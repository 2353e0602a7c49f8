"""Serializes answers to clients, complete or streamed; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from topazbank.core.call import Headers
from topazbank.http.messages import format_message

LAST_CHUNK: Final = b"0\r\n\r\n"  # RFC 9112, 7.1
_REASON_PHRASES: Final = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed"}


def format_answer(
    status: int, headers: Headers, body: bytes, close_connection: bool, is_head_request: bool
) -> bytes:
    """Return the bytes of a complete answer.

    `close_connection`: the connection is closed after this answer (RFC 9112, 9.6).  `is_head_request`: the method is
    HEAD, whose answer has the headers of a GET and no body (RFC 9110, 9.3.2).
    """
    headers = [*headers, (b"Content-Length", str(len(body)).encode())]
    if close_connection:
        headers.append((b"Connection", b"close"))
    status_line = b"HTTP/1.1 %d %b" % (status, _REASON_PHRASES.get(status, b""))
    return format_message(status_line, headers, b"" if is_head_request else body)


@dataclass(frozen=True, slots=True)
class StreamFraming:
    """Determines how a client finds the end of a streamed answer."""

    length: int | None  # in bytes; None if the server has not declared it
    chunked: bool
    close_connection: bool  # whether the connection is closed after the answer

    def head(self, content_headers: Headers) -> bytes:
        """Return the status line and the headers."""
        headers = list(content_headers)
        if self.length is not None:
            headers.append((b"Content-Length", b"%d" % self.length))
        elif self.chunked:
            headers.append((b"Transfer-Encoding", b"chunked"))
        if self.close_connection:
            headers.append((b"Connection", b"close"))
        return format_message(b"HTTP/1.1 200 OK", headers)

    def frame(self, data: bytes) -> bytes:
        """Return a part of the body, encoded as a chunk if the answer is chunked."""
        return b"%x\r\n%b\r\n" % (len(data), data) if self.chunked and data else data

    def reveals_truncation(self) -> bool:
        """Whether a client detects a truncated answer when the connection is closed."""
        return self.chunked or self.length is not None


def stream_framing(length: int | None, http_1_1: bool, close_connection: bool) -> StreamFraming:
    """Select the framing for a client.

    HTTP/1.0 has no chunked encoding, so closing the connection marks the end of an answer of unknown length.
    """
    return StreamFraming(
        length, length is None and http_1_1, close_connection or (not http_1_1 and length is None)
    )
