"""Reads a client's HTTP request as a call; no I/O."""

from __future__ import annotations

import re
from collections.abc import Callable

import h11

from topazbank.balancing.settings import Idempotency
from topazbank.core.body import SpooledBody
from topazbank.core.call import Call, FinalAnswer, Headers
from topazbank.core.request_checks import InvalidRequest, RequestClasses, key_of_target
from topazbank.http.connection import ABOUT_BODY, end_to_end
from topazbank.http.fast_parser import RequestHead

_SINGLE = frozenset(  # headers that mean one thing: given twice, they may mean another to a server
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
_ABSOLUTE = re.compile(rb"https?://[^/?#]*", re.IGNORECASE)
_IDENT = re.compile(rb"x-call-id:[ \t]*([!-~]{1,64})", re.IGNORECASE)
_NUMBER = re.compile(r"[0-9]{1,10}(\.[0-9]{1,9})?", re.ASCII)


def parse_call(
    head: h11.Request | RequestHead,
    body: bytes | SpooledBody,
    rules: RequestClasses,
    answer: Callable[[FinalAnswer], None],
) -> Call:
    """Read a request of a client; raise BadCall where it makes no sense or breaks the settings."""
    given: dict[bytes, str] = {}
    headers = list(head.headers)  # h11 makes each pair anew whenever they are gone through
    target = own_form(head.target)
    for name, value in headers:
        if name in _SINGLE and name in given:
            raise InvalidRequest(400, f"{name.decode()} stands twice")
        given[name] = value.decode("latin-1").strip()
    for name in (b"x-call-id", b"x-call-class", b"x-budget"):
        if not given.get(name):
            raise InvalidRequest(400, f"{name.decode()} is missing")
    budget = _number(given[b"x-budget"], "x-budget")
    cost = given.get(b"x-call-cost")
    kind = rules.request_class(given[b"x-call-class"])
    if head.method != (b"GET" if kind.idempotency is Idempotency.IDEMPOTENT else b"POST"):
        raise InvalidRequest(405, "not the method of the class")
    caller = given.get(b"x-caller") or None
    if b"host" not in given:
        headers.append((b"host", b"sidecar"))  # HTTP/1.0 allows none, HTTP/1.1 needs one
    call = Call(
        call_id=given[b"x-call-id"],
        request_class=kind,
        target=target,
        body=body if isinstance(body, bytes) else b"",
        tenant=rules.tenant(caller),
        key=key_of_target(target),
        timeout_us=int(budget * 1e6),
        cost_us=int(_number(cost, "x-call-cost")) if cost else None,
        is_retry=given.get(b"x-again") == "1",
        idempotency_key=given.get(b"idempotency-key") or None,
        answer=answer,
        caller=caller,
        content_headers=[each for each in headers if each[0] in ABOUT_BODY],
        headers=end_to_end(
            headers, b"content-length", b"x-budget", b"expect", *_named_by_connection(headers)
        ),
        spooled_body=None if isinstance(body, bytes) else body,
        accepts_stream=True,
    )
    rules.check(call)
    return call


def own_form(target: bytes) -> bytes:
    """Path and query of a request's target, which may name the whole address (RFC 9112, 3.2.2)."""
    whole = _ABSOLUTE.match(target)
    return target if whole is None else target[whole.end() :] or b"/"


def _named_by_connection(headers: Headers) -> list[bytes]:
    """Headers that a client says belong to its connection alone; never those that a call is made of."""
    named = [
        each.strip() for name, value in headers if name == b"connection" for each in value.lower().split(b",")
    ]
    return [each for each in named if each not in _SINGLE and each != b"host"]


def _number(text: str, name: str) -> float:
    if not _NUMBER.fullmatch(text):
        raise InvalidRequest(400, f"{name}: a number is needed")
    return float(text)


def ident_in(data: bytes) -> str:
    """The id of a request that is not read, for the log."""
    found = _IDENT.search(data)
    return found[1].decode("latin-1") if found is not None else "without id"


def is_whole(data: bytes) -> bool:
    """Whether a request has come whole; raise h11.RemoteProtocolError where it never will."""
    reading = h11.Connection(h11.SERVER)
    reading.receive_data(data)
    while True:
        event = reading.next_event()
        if event is h11.NEED_DATA:
            return False
        if not isinstance(event, h11.Request | h11.Data):
            return True  # its end, or that of the connection
