"""Reads a client's MessagePack-RPC request as a call; no I/O.  The format for other firms: docs/msgpack-rpc.md."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any, Final, cast

from topazbank.core.call import BUFFERED_BODY_BYTES_MAX, Call, FinalAnswer
from topazbank.core.request_checks import (
    InvalidRequest,
    RequestClasses,
    is_api_target,
    is_visible_ascii,
    key_of_target,
)
from topazbank.msgpackrpc.content_fields import read_content_fields
from topazbank.msgpackrpc.messages import InvalidValue, RpcRequest

_COST_US_MAX: Final = 10**10
_TIMEOUT_S_MAX: Final = 1e9
_SCALAR_TYPES: Final = (int, float, bool, bytes, type(None))


def read_call(
    request: RpcRequest, request_classes: RequestClasses, answer: Callable[[FinalAnswer], None]
) -> Call:
    """Read a client's request; raise InvalidRequest where it is malformed or the settings do not allow it."""
    if type(request.method) is not bytes:
        raise InvalidRequest(400, "method: a text is wanted")
    request_class = request_classes.classes.get(request.method.decode("latin-1"))
    if request_class is None:
        raise InvalidRequest(404, "method: it names no class of calls")
    envelope, body = _read_params(request.params)
    caller = _read_identifier(envelope, b"tenant")
    target = _read_target(envelope)
    call = Call(
        call_id=_require(_read_identifier(envelope, b"id"), "id"),
        request_class=request_class,
        target=target,
        body=body,
        tenant=request_classes.tenant(caller),
        key=key_of_target(target),
        timeout_us=int(_read_timeout_s(envelope) * 1e6),
        cost_us=_read_cost_us(envelope),
        is_retry=_read_flag(envelope, b"again"),
        idempotency_key=_read_identifier(envelope, b"idempotency_key"),
        answer=answer,
        caller=caller,
        content_headers=read_content_fields(envelope),
    )
    request_classes.check(call)
    return call


def _read_params(params: object) -> tuple[dict[bytes, Any], bytes]:
    """Envelope and body."""
    if type(params) is not list or not 1 <= len(params) <= 2:
        raise InvalidRequest(400, "params: an envelope and a body are wanted")
    envelope, body = params[0], params[1] if len(params) == 2 else None
    if isinstance(envelope, InvalidValue) or type(envelope) is not dict:
        raise InvalidRequest(400, f"envelope: a map of texts is wanted, not {envelope!r:.40}")
    for name, value in envelope.items():
        if type(value) not in _SCALAR_TYPES:
            raise InvalidRequest(
                400, f"envelope.{name.decode('latin-1')!r:.40}: a text or a number is wanted"
            )
    if body is not None and type(body) is not bytes:
        raise InvalidRequest(400, "body: a binary is wanted")
    if body is not None and len(body) > BUFFERED_BODY_BYTES_MAX:
        raise InvalidRequest(413, f"body: {BUFFERED_BODY_BYTES_MAX} bytes at most are wanted")
    return envelope, body or b""


def _require(value: str | None, name: str) -> str:
    if value is None:
        raise InvalidRequest(400, f"envelope.{name} is missing")
    return value


def _read_identifier(envelope: Mapping[bytes, Any], name: bytes) -> str | None:
    """A text of visible ASCII, which can be forwarded in a header; None where it is missing or empty."""
    value = envelope.get(name)
    if value is None or value == b"":
        return None
    text = value.decode("latin-1") if type(value) is bytes else ""
    if not is_visible_ascii(text):
        raise InvalidRequest(400, f"envelope.{name.decode()}: up to 256 visible ASCII characters are wanted")
    return text


def _read_target(envelope: Mapping[bytes, Any]) -> bytes:
    path, key = envelope.get(b"path"), _read_identifier(envelope, b"key")
    if path is None:
        path = b"/api" if key is None else b"/api/" + key.encode()
    if type(path) is not bytes or not is_api_target(path):
        raise InvalidRequest(404, "envelope.path: a path below /api is wanted")
    return path


def _read_timeout_s(envelope: Mapping[bytes, Any]) -> float:
    value = envelope.get(b"budget")
    if type(value) not in (int, float):
        raise InvalidRequest(400, "envelope.budget: a number of seconds is wanted")
    seconds = cast(float, value)
    if not math.isfinite(seconds) or not 0 <= seconds < _TIMEOUT_S_MAX:
        raise InvalidRequest(400, "envelope.budget: a number of seconds from 0 on is wanted")
    return seconds


def _read_cost_us(envelope: Mapping[bytes, Any]) -> int | None:
    value = envelope.get(b"cost_us")
    if value is not None and (type(value) is not int or not 0 <= value <= _COST_US_MAX):
        raise InvalidRequest(400, "envelope.cost_us: a whole number of microseconds is wanted")
    return value


def _read_flag(envelope: Mapping[bytes, Any], name: bytes) -> bool:
    value = envelope.get(name)
    if value is not None and type(value) is not bool:
        raise InvalidRequest(400, f"envelope.{name.decode()}: true or false is wanted")
    return bool(value)
