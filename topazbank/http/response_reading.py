"""Rules for parsing server responses beyond the checks of h11; no I/O."""

from __future__ import annotations

from typing import Final

import h11

from topazbank.core.call import Headers
from topazbank.http.messages import FRAMING_HEADERS

# RFC 9110, 15.3.5 and 15.4.5: responses with these statuses have no body, regardless of their headers.
BODILESS_STATUSES: Final = (204, 304)
_PLACEHOLDER_REQUEST: Final = (
    h11.Request(method="GET", target="/", headers=[("Host", "-")]),
    h11.EndOfMessage(),
)


def new_response_reader() -> h11.Connection:
    """Create a parser for one response.

    h11 parses a response only after it has sent a request.  The same placeholder serves for every request: only
    responses to HEAD and CONNECT are framed differently (RFC 9112, 6.3), and this client sends neither.
    """
    reader = h11.Connection(h11.CLIENT)
    for event in _PLACEHOLDER_REQUEST:
        reader.send(event)
    return reader


def declared_length(headers: Headers) -> int | None:
    """Return the declared body length in bytes, or None; h11 has validated the value."""
    return next((int(value) for name, value in headers if name == b"content-length"), None)


def is_chunked(headers: Headers) -> bool:
    """Whether the body is sent in chunks; h11 has validated the value."""
    return any(name == b"transfer-encoding" for name, _ in headers)


def has_defined_end(headers: Headers) -> bool:
    """Whether a complete body can be distinguished from a truncated one.

    That requires a framing header or an announced close of the connection.  Any other response that ends with its
    connection (RFC 9112, 6.3, case 8) may be truncated.
    """
    if any(name in FRAMING_HEADERS for name, _ in headers):
        return True
    options = (value.lower() for name, value in headers if name == b"connection")
    return any(b"close" in option for option in options)
