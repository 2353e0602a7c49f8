"""Serializes a call as an HTTP request to a server; no I/O."""

from __future__ import annotations

from topazbank.balancing.settings import Idempotency
from topazbank.core.call import Call, Headers
from topazbank.http.messages import format_message


def format_request(call: Call, remaining_s: float) -> bytes:
    """Return the client's request with the remaining time budget of an attempt; excludes a spooled body."""
    idempotent = call.request_class.idempotency is Idempotency.IDEMPOTENT
    headers = [
        *(call.headers if call.headers is not None else _call_headers(call)),
        (b"X-Budget", b"%.6f" % remaining_s),
    ]
    if call.body or not idempotent:
        length = call.spooled_body.length if call.spooled_body is not None else len(call.body)
        headers.append((b"Content-Length", b"%d" % length))
    request_line = b"%b %b HTTP/1.1" % (b"GET" if idempotent else b"POST", call.target)
    return format_message(request_line, headers, call.body)


def _call_headers(call: Call) -> Headers:
    """Build the headers of a call received over another protocol, whose server accepts only visible characters."""
    headers = [
        (b"Host", b"sidecar"),
        (b"X-Call-Id", call.call_id.encode()),
        (b"X-Call-Class", call.request_class.name.encode()),
    ]
    if call.caller is not None:
        headers.append((b"X-Caller", call.caller.encode()))
    if call.idempotency_key is not None:
        headers.append((b"Idempotency-Key", call.idempotency_key.encode()))
    if call.is_retry:
        headers.append((b"X-Again", b"1"))
    if call.cost_us is not None:
        headers.append((b"X-Call-Cost", b"%d" % call.cost_us))
    return headers + (call.content_headers or [])
