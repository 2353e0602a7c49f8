"""Reads messages that came whole in one read and are plain; no I/O.

Most messages are: one read holds all of it and nothing else, framed by one content-length or by none, with nothing
said of the connection.  These are read here in a fraction of the time that h11 takes; whatever else a message may be
is h11's to read and to judge.  Nothing is taken here that h11 would read another way:
tests/test_fast_parser.py compares the two.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from topazbank.core.call import Headers

_HEAD_MOST = 8 * 1024  # bytes: less than what h11 holds of a head
# A first line, then names that are tokens and values of visible ASCII with blanks (RFC 9110, 5.6.2 and 5.5): no fold,
# no control, no high byte.  It goes through a text once: none can make it go back.
_HEAD = re.compile(rb"[ !-~]+\r\n(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:[ \t!-~]*\r\n)*")
_REQUEST = re.compile(rb"(GET|POST) ([!-~]+) HTTP/1\.1")
_RESPONSE = re.compile(rb"HTTP/1\.1 ([2-5][0-9][0-9]) [ !-~]*")
_LENGTH = re.compile(rb"[0-9]{1,9}")
_NOT_PLAIN = frozenset((b"transfer-encoding", b"connection", b"expect", b"upgrade"))
_BODILESS = (204, 205, 304)  # statuses whose answers hold no body, whatever their head says


@dataclass(slots=True)
class RequestHead:
    """What h11.Request has, of a request that was read here."""

    method: bytes
    target: bytes
    headers: Headers
    http_version: bytes = b"1.1"


def _head(data: bytes) -> tuple[bytes, Headers, int, int] | None:
    """The first line, the headers, where the body begins, and how long it is: -1 where nothing says so."""
    end = data.find(b"\r\n\r\n", 0, _HEAD_MOST)
    if end < 0 or _HEAD.fullmatch(data, 0, end + 2) is None:
        return None
    first, *lines = data[:end].split(b"\r\n")
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
    return first, headers, end + 4, length


def read_request(data: bytes, body_most: int) -> tuple[RequestHead, bytes] | None:
    """A whole plain request and its body; None where it is anything else."""
    read = _head(data)
    if read is None:
        return None
    line, headers, begins, length = read
    first = _REQUEST.fullmatch(line)
    if first is None or sum(name == b"host" for name, _ in headers) != 1:
        return None
    if max(length, 0) > body_most or begins + max(length, 0) != len(data):
        return None
    return RequestHead(first[1], first[2], headers), data[begins:]


def read_response(data: bytes, body_most: int) -> tuple[int, Headers, bytes] | None:
    """Status, headers and body of a whole plain answer, to no HEAD; None where it is anything else."""
    read = _head(data)
    if read is None:
        return None
    line, headers, begins, length = read
    first = _RESPONSE.fullmatch(line)
    if first is None or length < 0 or length > body_most or begins + length != len(data):
        return None
    status = int(first[1])
    return None if status in _BODILESS else (status, headers, data[begins:])
