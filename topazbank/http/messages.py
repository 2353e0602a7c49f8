"""Requests and responses of HTTP/1.1: headers, their serialized form, types shared by client and server; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

from topazbank.core.body import ResponseStream
from topazbank.core.call import Headers

FRAMING_HEADERS: Final = (b"content-length", b"transfer-encoding")
CONTENT_HEADERS: Final = (b"content-type", b"content-encoding")  # they say how to read a message's body
# RFC 9110, 7.6.1: these concern one connection and are not forwarded.
_HOP_BY_HOP_HEADERS: Final = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
)


@dataclass(slots=True)
class HttpResponse:
    """A server's response: complete, or the beginning of a streamed one."""

    status: int
    headers: Headers
    body: bytes
    stream: ResponseStream | None = None  # the body, where the response is streamed

    def header(self, name: bytes) -> str | None:
        """The first value of a header, by its name in lower case."""
        return next((v.decode("latin-1") for n, v in self.headers if n == name), None)


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]], *dropped: bytes) -> Headers:
    """The headers that may be forwarded (RFC 9110, 7.6.1), without those named in `dropped`."""
    return [(n, v) for n, v in headers if n not in _HOP_BY_HOP_HEADERS and n not in dropped]


def format_message(start_line: bytes, headers: Headers, body: bytes = b"") -> bytes:
    """The bytes of a request or a response (RFC 9112, 2.1).

    h11 is not used to send: its checks of outgoing messages cost a good part of the CPU per request.  All parts are
    constants or were read by h11 or the fast parser, so none can contain the end of a line.
    """
    return b"\r\n".join([start_line, *[b"%b: %b" % header for header in headers], b"", body])


def data_bytes(event: Any) -> bytes:
    """The data of an h11.Data event: a bytearray, though h11 declares bytes, which compiled code relies on."""
    return bytes(event.data)
