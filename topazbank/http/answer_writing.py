"""Serializes answers to clients, complete or streamed; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from topazbank.core.call import Headers
from topazbank.http.messages import format_message

LAST_CHUNK: Final = b"0\r\n\r\n"  # RFC 9112, 7.1
_REASONS: Final = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed"}


def format_answer(status: int, headers: Headers, body: bytes, closes: bool, to_head: bool) -> bytes:
    """A complete answer.

    `closes`: the connection ends with it (RFC 9112, 9.6).  `to_head`: the request was a HEAD, whose answer has the
    headers of a GET and no body (RFC 9110, 9.3.2).
    """
    headers = [*headers, (b"Content-Length", str(len(body)).encode())]
    if closes:
        headers.append((b"Connection", b"close"))
    status_line = b"HTTP/1.1 %d %b" % (status, _REASONS.get(status, b""))
    return format_message(status_line, headers, b"" if to_head else body)


@dataclass(frozen=True, slots=True)
class StreamFraming:
    """How a client finds the end of a streamed answer."""

    length: int | None  # bytes, where the server has declared it
    chunked: bool
    closes: bool  # whether the connection ends with the answer

    def head(self, content_headers: Headers) -> bytes:
        """The answer's head."""
        headers = list(content_headers)
        if self.length is not None:
            headers.append((b"Content-Length", b"%d" % self.length))
        elif self.chunked:
            headers.append((b"Transfer-Encoding", b"chunked"))
        if self.closes:
            headers.append((b"Connection", b"close"))
        return format_message(b"HTTP/1.1 200 OK", headers)

    def frame(self, data: bytes) -> bytes:
        """A part of the body as it is sent."""
        return b"%x\r\n%b\r\n" % (len(data), data) if self.chunked and data else data

    def reveals_truncation(self) -> bool:
        """Whether a client can tell from the connection's end that the answer is not complete."""
        return self.chunked or self.length is not None


def stream_framing(length: int | None, http_1_1: bool, closes: bool) -> StreamFraming:
    """The framing for a client: HTTP/1.0 knows no chunks, so there the connection's end may be the answer's."""
    return StreamFraming(length, length is None and http_1_1, closes or (not http_1_1 and length is None))
