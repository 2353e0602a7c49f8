"""Parses plain messages that came complete in one read; no I/O.

Most messages are plain: one read holds all of the message and nothing else, it has one content-length or none, and no
header concerns the connection.  These are parsed here in a fraction of the time that h11 takes; any other message is
left to h11.  Promise: whatever is accepted here, h11 would read the same way; tests/test_fast_parser.py compares the
two.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

from topazbank.core.call import Headers
from topazbank.http.messages import HttpResponse

_HEAD_BYTES_MAX: Final = 8 * 1024  # below h11's own limit
# A start line, then names that are tokens and values of visible ASCII with blanks (RFC 9110, 5.6.2 and 5.5): no line
# folding, no control characters, no high bytes.  The expression cannot backtrack: its time is linear.
_HEAD: Final = re.compile(rb"[ !-~]+\r\n(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:[ \t!-~]*\r\n)*")
_REQUEST_LINE: Final = re.compile(rb"(GET|POST) ([!-~]+) HTTP/1\.1")
_STATUS_LINE: Final = re.compile(rb"HTTP/1\.1 ([2-5][0-9][0-9]) [ !-~]*")
_LENGTH: Final = re.compile(rb"[0-9]{1,9}")
_NOT_PLAIN: Final = frozenset((b"transfer-encoding", b"connection", b"expect", b"upgrade"))
_BODILESS_STATUSES: Final = (204, 205, 304)  # h11 reads no body where one of these has one, or rejects it


@dataclass(slots=True)
class PlainRequest:
    """A complete request; its head has the attributes of h11.Request."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    http_version: bytes = b"1.1"


def _parse_head(data: bytes) -> tuple[bytes, Headers, int, int] | None:
    """Start line, headers, offset of the body and its declared length, -1 where none is declared; None: not plain."""
    end = data.find(b"\r\n\r\n", 0, _HEAD_BYTES_MAX)
    if end < 0 or _HEAD.fullmatch(data, 0, end + 2) is None:
        return None
    start_line, *lines = data[:end].split(b"\r\n")
    headers: Headers = []
    length = -1
    for line in lines:
        name, _, value = line.partition(b":")
        name, value = name.lower(), value.strip(b" \t")
        if name in _NOT_PLAIN:
            return None
        if name == b"content-length":
            if length >= 0 or _LENGTH.fullmatch(value) is None:
                return None
            length = int(value)
        headers.append((name, value))
    return start_line, headers, end + 4, length


def parse_request(data: bytes, body_bytes_max: int) -> PlainRequest | None:
    """A complete plain request; None where it is anything else."""
    head = _parse_head(data)
    if head is None:
        return None
    start_line, headers, body_start, length = head
    line = _REQUEST_LINE.fullmatch(start_line)
    # RFC 9112, 3.2: a request without Host or with two is invalid; h11 reports it.
    if line is None or sum(name == b"host" for name, _ in headers) != 1:
        return None
    if max(length, 0) > body_bytes_max or body_start + max(length, 0) != len(data):
        return None
    return PlainRequest(line[1], line[2], headers, data[body_start:])


def parse_response(data: bytes, body_bytes_max: int) -> HttpResponse | None:
    """A complete plain response to any request but HEAD; None where it is anything else."""
    head = _parse_head(data)
    if head is None:
        return None
    start_line, headers, body_start, length = head
    line = _STATUS_LINE.fullmatch(start_line)
    if line is None or length < 0 or length > body_bytes_max or body_start + length != len(data):
        return None
    status = int(line[1])
    return None if status in _BODILESS_STATUSES else HttpResponse(status, headers, data[body_start:])
