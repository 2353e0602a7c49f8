"""The head of a client's request: a plain one is parsed fast, any other by h11; no I/O."""

from __future__ import annotations

from dataclasses import dataclass

import h11

from topazbank.core.call import Headers
from topazbank.core.request_checks import InvalidRequest
from topazbank.core.spool import BODY_BYTES_MAX
from topazbank.http.fast_parser import parse_request_head
from topazbank.http.message_reader import FIELD_BYTES, ChunkedBodyReader
from topazbank.http.messages import FRAMING_HEADERS, connection_options


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request."""

    method: bytes
    target: bytes
    headers: Headers  # names in lower case
    http_version: bytes
    size: int  # in bytes, as received
    body_length: int | None  # in bytes; None: the body comes in chunks
    closes: bool = False  # whether the connection ends with this request
    expects_continue: bool = False  # whether its client waits for an interim answer before it sends the body

    def held_bytes(self) -> int:
        """The memory that it takes, in bytes."""
        return self.size + FIELD_BYTES * len(self.headers)


def parse_head(data: bytes) -> tuple[RequestHead, ChunkedBodyReader | None]:
    """Parse the bytes of a head, up to the blank line; return it, with a reader if its body comes in chunks.

    Raise InvalidRequest or h11.RemoteProtocolError if it is malformed or its framing is not accepted.
    """
    plain = parse_request_head(data)
    if plain is not None:
        head = RequestHead(plain.method, plain.target, plain.headers, b"1.1", len(data), max(plain.length, 0))
        _check_length(head.body_length)
        return head, None
    reader = h11.Connection(h11.SERVER)
    reader.receive_data(data)
    event = reader.next_event()
    if not isinstance(event, h11.Request):
        raise InvalidRequest(400, "malformed request head")
    headers = list(event.headers)  # h11 rebuilds each pair on every iteration
    length = _checked_body_length(event.http_version, headers)
    options = connection_options(headers)
    switches = event.method == b"CONNECT" or any(name == b"upgrade" for name, _ in headers)
    head = RequestHead(
        event.method,
        event.target,
        headers,
        event.http_version,
        len(data),
        length,
        closes=b"close" in options or event.http_version == b"1.0" or switches,
        expects_continue=reader.they_are_waiting_for_100_continue,
    )
    return head, ChunkedBodyReader(reader) if length is None else None


def _checked_body_length(http_version: bytes, headers: Headers) -> int | None:
    """Return the length of the body, None for one in chunks; raise InvalidRequest if the framing is not accepted."""
    if http_version not in (b"1.0", b"1.1"):
        raise InvalidRequest(505, "HTTP version: expected 1.0 or 1.1")
    framing = {name: value for name, value in headers if name in FRAMING_HEADERS}
    is_chunked = b"transfer-encoding" in framing
    if is_chunked and (len(framing) > 1 or http_version != b"1.1"):
        # RFC 9112, 6.1 and 11.2: conflicting framing headers allow request smuggling.
        raise InvalidRequest(400, "both Content-Length and Transfer-Encoding are present")
    if is_chunked:
        return None
    length = int(framing.get(b"content-length", b"0"))
    _check_length(length)
    return length


def _check_length(length: int | None) -> None:
    if length is not None and length > BODY_BYTES_MAX:
        raise InvalidRequest(413, f"body exceeds {BODY_BYTES_MAX} bytes")
