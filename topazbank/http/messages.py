"""Headers, serialization and types shared by the HTTP/1.1 client and server; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

from topazbank.core.call import Headers
from topazbank.core.response_stream import ResponseStream

FRAMING_HEADERS: Final = (b"content-length", b"transfer-encoding")
CONTENT_HEADERS: Final = (b"content-type", b"content-encoding")  # they define how to interpret a message body
# RFC 9110, 7.6.1: these headers apply to a single connection and are not forwarded.
_HOP_BY_HOP_HEADERS: Final = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
)


@dataclass(slots=True)
class HttpResponse:
    """A response from a server: complete, or the head of a streamed response."""

    status: int
    headers: Headers
    body: bytes
    stream: ResponseStream | None = None  # the body of a streamed response

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header; `name` is in lower case."""
        return next((value.decode("latin-1") for key, value in self.headers if key == name), None)


def connection_options(headers: Iterable[tuple[bytes, bytes]]) -> list[bytes]:
    """Return the options in Connection, in lower case (RFC 9110, 7.6.1)."""
    values = (value for name, value in headers if name == b"connection")
    return [option.strip() for value in values for option in value.lower().split(b",")]


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]], *dropped: bytes) -> Headers:
    """Return the headers that may be forwarded (RFC 9110, 7.6.1), except those named in `dropped`."""
    return [
        (name, value) for name, value in headers if name not in _HOP_BY_HOP_HEADERS and name not in dropped
    ]


def format_message(start_line: bytes, headers: Headers, body: bytes = b"") -> bytes:
    """Serialize a request or a response (RFC 9112, 2.1).

    h11 is not used for sending: its checks of outgoing messages take a large part of the CPU time per request.  All
    parts are constants or were parsed by h11 or the fast parser, so none can contain a line break.
    """
    return b"\r\n".join([start_line, *[b"%b: %b" % header for header in headers], b"", body])


def data_bytes(event: Any) -> bytes:
    """Return the data of an h11.Data event as bytes: h11 declares bytes but uses bytearray.

    Compiled code relies on the declared type.
    """
    return bytes(event.data)
