"""Converts a client's HTTP request to a call, with the checks beyond those of the request reader; no I/O."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from typing import Final

from topazbank.balancing.settings import Idempotency
from topazbank.core.call import Call, FinalAnswer, Headers
from topazbank.core.request_checks import InvalidRequest, RequestClasses, key_of_target
from topazbank.core.spool import SpooledBody
from topazbank.http.messages import CONTENT_HEADERS, connection_options, end_to_end_headers
from topazbank.http.request_head import RequestHead

_CALL_HEADERS: Final = frozenset(  # duplicates are rejected: a server may use the other value
    (
        b"x-call-id",
        b"x-call-class",
        b"x-caller",
        b"x-budget",
        b"x-again",
        b"x-call-cost",
        b"idempotency-key",
    )
)
_SCHEME_AND_AUTHORITY: Final = re.compile(rb"https?://[^/?#]*", re.IGNORECASE)
_CALL_ID: Final = re.compile(rb"x-call-id:[ \t]*([!-~]{1,64})", re.IGNORECASE)
_NUMBER: Final = re.compile(r"[0-9]{1,10}(\.[0-9]{1,9})?", re.ASCII)


def parse_call(
    head: RequestHead,
    body: bytes | SpooledBody,
    request_classes: RequestClasses,
    answer: Callable[[FinalAnswer], None],
) -> Call:
    """Convert a request to a call; raise InvalidRequest if it is malformed or the settings do not allow it."""
    headers = list(head.headers)
    values = _header_values(headers)
    target = origin_form(head.target)
    timeout_s = _parse_number(values[b"x-budget"], "x-budget")
    cost = values.get(b"x-call-cost")
    request_class = request_classes.request_class(values[b"x-call-class"])
    if head.method != (b"GET" if request_class.idempotency is Idempotency.IDEMPOTENT else b"POST"):
        raise InvalidRequest(405, "method: not allowed for the request class")
    caller = values.get(b"x-caller") or None
    if b"host" not in values:
        headers.append((b"host", b"sidecar"))  # optional in HTTP/1.0, required in HTTP/1.1 (RFC 9112, 3.2)
    call = Call(
        call_id=values[b"x-call-id"],
        request_class=request_class,
        target=target,
        body=body if isinstance(body, bytes) else b"",
        tenant=request_classes.tenant(caller),
        key=key_of_target(target),
        timeout_us=int(timeout_s * 1e6),
        cost_us=int(_parse_number(cost, "x-call-cost")) if cost else None,
        is_retry=values.get(b"x-again") == "1",
        idempotency_key=values.get(b"idempotency-key") or None,
        answer=answer,
        caller=caller,
        content_headers=[header for header in headers if header[0] in CONTENT_HEADERS],
        headers=end_to_end_headers(
            headers, b"content-length", b"x-budget", b"expect", *_hop_by_hop_names(headers)
        ),
        spooled_body=None if isinstance(body, bytes) else body,
        accepts_stream=True,
    )
    request_classes.check(call)
    return call


def timeout_s(head: RequestHead) -> float:
    """Return the time that a request's client waits, in seconds; infinite if the request states no valid one."""
    for name, value in head.headers:
        if name != b"x-budget":
            continue
        text = value.decode("latin-1").strip()
        if _NUMBER.fullmatch(text):
            return float(text)
    return math.inf


def _header_values(headers: Headers) -> dict[bytes, str]:
    """Return the last value of each header; raise InvalidRequest for a missing or duplicate call header."""
    values: dict[bytes, str] = {}
    for name, value in headers:
        if name in _CALL_HEADERS and name in values:
            raise InvalidRequest(400, f'duplicate header "{name.decode()}"')
        values[name] = value.decode("latin-1").strip()
    for name in (b"x-call-id", b"x-call-class", b"x-budget"):
        if not values.get(name):
            raise InvalidRequest(400, f'missing header "{name.decode()}"')
    return values


def origin_form(target: bytes) -> bytes:
    """Return path and query of a request target, which may be in absolute form (RFC 9112, 3.2.2)."""
    match = _SCHEME_AND_AUTHORITY.match(target)
    return target if match is None else target[match.end() :] or b"/"


def _hop_by_hop_names(headers: Headers) -> list[bytes]:
    """Return the header names listed in Connection (RFC 9110, 7.6.1), except call headers and Host."""
    return [
        option for option in connection_options(headers) if option not in _CALL_HEADERS and option != b"host"
    ]


def _parse_number(text: str, name: str) -> float:
    if not _NUMBER.fullmatch(text):
        raise InvalidRequest(400, f"{name}: expected a number, not {text!r:.40}")
    return float(text)


def call_id_from_data(data: bytes) -> str:
    """Find the call id in an unparsed request, for the log."""
    match = _CALL_ID.search(data)
    return match[1].decode("latin-1") if match is not None else "(no id)"
