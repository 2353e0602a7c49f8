"""How calls, answers and attempts stand in MessagePack-RPC messages; no I/O.  For other firms: docs/msgpack-rpc.md."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping
from typing import Any, cast

from topazbank.balancing.events import Outcome
from topazbank.core.call import (
    BUFFERED_BODY_BYTES_MAX,
    Call,
    FinalAnswer,
    Headers,
    Response,
    Verdict,
)
from topazbank.core.reports import report_from_mapping
from topazbank.core.request_checks import (
    InvalidRequest,
    RequestClasses,
    is_api_target,
    is_visible_ascii,
    key_of_target,
)
from topazbank.msgpackrpc.codec import Odd, Reply, Request, encode_request, encode_response

READY, LIVE, STATS = "health.ready", "health.live", "stats"  # methods that are no calls

_REFUSED, _FAILED = 503, 500
_TURNED_AWAY = (503, 504)  # of a node's errors, with `rejected`
_ABOUT = {b"type": b"content-type", b"encoding": b"content-encoding"}  # names here and in HTTP
_COST_MOST = 10**10  # microseconds
_SCALARS = (int, float, bool, bytes, type(None))
_PLAIN_MOST = 1024  # characters of a content type


def read_call(request: Request, rules: RequestClasses, answer: Callable[[FinalAnswer], None]) -> Call:
    """Read a client's request; raise BadCall where it makes no sense or breaks the settings."""
    if type(request.method) is not bytes:
        raise InvalidRequest(400, "method: a text is wanted")
    kind = rules.classes.get(request.method.decode("latin-1"))
    if kind is None:
        raise InvalidRequest(404, "method: it names no class of calls")
    envelope, body = _params(request.params)
    caller = _visible(envelope, b"tenant")
    target = _target(envelope)
    call = Call(
        call_id=_needed(_visible(envelope, b"id"), "id"),
        request_class=kind,
        target=target,
        body=body,
        tenant=rules.tenant(caller),
        key=key_of_target(target),
        timeout_us=int(_budget(envelope) * 1e6),
        cost_us=_cost(envelope),
        is_retry=_flag(envelope, b"again"),
        idempotency_key=_visible(envelope, b"idempotency_key"),
        answer=answer,
        caller=caller,
        content_headers=_about(envelope),
    )
    rules.check(call)
    return call


def _params(params: object) -> tuple[dict[bytes, Any], bytes]:
    if type(params) is not list or not 1 <= len(params) <= 2:
        raise InvalidRequest(400, "params: an envelope and a body are wanted")
    envelope, body = params[0], params[1] if len(params) == 2 else None
    if isinstance(envelope, Odd) or type(envelope) is not dict:
        raise InvalidRequest(400, f"envelope: a map of texts is wanted, not {envelope!r:.40}")
    for name, value in envelope.items():
        if type(value) not in _SCALARS:
            raise InvalidRequest(
                400, f"envelope.{name.decode('latin-1')!r:.40}: a text or a number is wanted"
            )
    if body is not None and type(body) is not bytes:
        raise InvalidRequest(400, "body: a binary is wanted")
    if body is not None and len(body) > BUFFERED_BODY_BYTES_MAX:
        raise InvalidRequest(413, f"body: {BUFFERED_BODY_BYTES_MAX} bytes at most are wanted")
    return envelope, body or b""


def _needed(value: str | None, name: str) -> str:
    if value is None:
        raise InvalidRequest(400, f"envelope.{name} is missing")
    return value


def _visible(envelope: Mapping[bytes, Any], name: bytes) -> str | None:
    """A text that can stand in any protocol: it may go on in a header."""
    value = envelope.get(name)
    if value is None or value == b"":
        return None
    text = value.decode("latin-1") if type(value) is bytes else ""
    if not is_visible_ascii(text):
        raise InvalidRequest(400, f"envelope.{name.decode()}: up to 256 visible ASCII characters are wanted")
    return text


def _target(envelope: Mapping[bytes, Any]) -> bytes:
    path, key = envelope.get(b"path"), _visible(envelope, b"key")
    if path is None:
        path = b"/api" if key is None else b"/api/" + key.encode()
    if type(path) is not bytes or not is_api_target(path):
        raise InvalidRequest(404, "envelope.path: a path below /api is wanted")
    return path


def _budget(envelope: Mapping[bytes, Any]) -> float:
    value = envelope.get(b"budget")
    if type(value) not in (int, float):
        raise InvalidRequest(400, "envelope.budget: a number of seconds is wanted")
    seconds = cast(float, value)
    if not math.isfinite(seconds) or not 0 <= seconds < 1e9:
        raise InvalidRequest(400, "envelope.budget: a number of seconds from 0 on is wanted")
    return seconds


def _cost(envelope: Mapping[bytes, Any]) -> int | None:
    value = envelope.get(b"cost_us")
    if value is not None and (type(value) is not int or not 0 <= value <= _COST_MOST):
        raise InvalidRequest(400, "envelope.cost_us: a whole number of microseconds is wanted")
    return value


def _flag(envelope: Mapping[bytes, Any], name: bytes) -> bool:
    value = envelope.get(name)
    if value is not None and type(value) is not bool:
        raise InvalidRequest(400, f"envelope.{name.decode()}: true or false is wanted")
    return bool(value)


def _about(given: Mapping[bytes, Any]) -> Headers | None:
    """What is said of a body; only what can stand in a header."""
    about = []
    for name, header in _ABOUT.items():
        value = given.get(name)
        if type(value) is bytes and 0 < len(value) <= _PLAIN_MOST and value.isascii() and _printable(value):
            about.append((header, value))
    return about or None


def _printable(value: bytes) -> bool:
    return value.decode("ascii").isprintable()


def write_call(msgid: int, call: Call, left_s: float) -> bytes:
    """What an attempt sends: the client's call, with the time that is left for it."""
    envelope: dict[str, Any] = {
        "id": call.call_id,
        "budget": round(left_s, 6),
        "path": call.target.decode("latin-1"),
    }
    if call.caller is not None:
        envelope["tenant"] = call.caller
    if call.idempotency_key is not None:
        envelope["idempotency_key"] = call.idempotency_key
    if call.is_retry:
        envelope["again"] = True
    if call.cost_us is not None:
        envelope["cost_us"] = call.cost_us
    if call.content_headers:
        _write_about(envelope, call.content_headers)
    return encode_request(msgid, call.request_class.name, [envelope, call.body])


def _write_about(given: dict[str, Any], about: Headers) -> None:
    for name, header in _ABOUT.items():
        value = next((v for n, v in about if n == header), None)
        if value is not None:
            given[name.decode()] = value.decode("latin-1")


def write_answer(msgid: int, answer: FinalAnswer) -> bytes:
    """A call's final answer as a response."""
    if answer.verdict is Verdict.SERVED:
        result: dict[str, Any] = {"body": answer.body}
        if answer.content_headers:
            _write_about(result, answer.content_headers)
        return encode_response(msgid, None, result)
    if answer.verdict is Verdict.REJECTED:
        back = {"retry_after": answer.retry_after_us / 1e6} if answer.retry_after_us else {}
        return encode_response(msgid, [_REFUSED, "refused", back], None)
    return encode_response(msgid, [_FAILED, "failed", {}], None)


def write_rejection(msgid: int, bad: InvalidRequest) -> bytes:
    return encode_response(msgid, [bad.status, str(bad), {}], None)


def read_reply(reply: Reply, columns: Collection[str]) -> tuple[Outcome, Response | None]:
    """What a node's response says of an attempt: it never ran only where the node says so."""
    if reply.error is not None:
        return _read_error(reply.error, columns)
    result = reply.result
    if type(result) is bytes or result is None:
        return Outcome.DELIVERED, Response(result or b"")
    if type(result) is not dict:
        return Outcome.ERROR, None
    body = result.get(b"body", b"")
    if type(body) is not bytes or len(body) > BUFFERED_BODY_BYTES_MAX:
        return Outcome.ERROR, None
    return Outcome.DELIVERED, Response(
        body, _about(result), report_from_mapping(result.get(b"load"), columns)
    )


def _read_error(error: object, columns: Collection[str]) -> tuple[Outcome, Response | None]:
    if type(error) is not list or len(error) != 3 or type(error[2]) is not dict:
        return Outcome.ERROR, None
    said: dict[bytes, Any] = error[2]
    response = Response(b"", None, report_from_mapping(said.get(b"load"), columns))
    turned_away = type(error[0]) is int and error[0] in _TURNED_AWAY and said.get(b"rejected") is True
    return (Outcome.REJECTED if turned_away else Outcome.ERROR), response
