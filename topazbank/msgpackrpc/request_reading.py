"""Parses a client's MessagePack-RPC request into a call; no I/O.  docs/msgpack-rpc.md specifies the format."""

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
    """Parse a client's request; raise InvalidRequest if it is malformed or the settings do not allow it."""
    if type(request.method) is not bytes:
        raise InvalidRequest(400, "method: expected a string")
    request_class = request_classes.classes.get(request.method.decode("latin-1"))
    if request_class is None:
        raise InvalidRequest(404, "method: unknown request class")
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
    """Return the envelope and the body."""
    if type(params) is not list or not 1 <= len(params) <= 2:
        raise InvalidRequest(400, "params: expected an envelope and an optional body")
    envelope, body = params[0], params[1] if len(params) == 2 else None
    if isinstance(envelope, InvalidValue) or type(envelope) is not dict:
        raise InvalidRequest(400, f"envelope: expected a map with string keys, got {envelope!r:.40}")
    for name, value in envelope.items():
        if type(value) not in _SCALAR_TYPES:
            raise InvalidRequest(400, f"envelope.{name.decode('latin-1')!r:.40}: expected a scalar")
    if body is not None and type(body) is not bytes:
        raise InvalidRequest(400, "body: expected a binary")
    if body is not None and len(body) > BUFFERED_BODY_BYTES_MAX:
        raise InvalidRequest(413, f"body exceeds {BUFFERED_BODY_BYTES_MAX} bytes")
    return envelope, body or b""


def _require(value: str | None, name: str) -> str:
    if value is None:
        raise InvalidRequest(400, f"envelope.{name}: missing")
    return value


def _read_identifier(envelope: Mapping[bytes, Any], name: bytes) -> str | None:
    """Return a visible ASCII string, which can be forwarded in a header; None if missing or empty."""
    value = envelope.get(name)
    if value is None or value == b"":
        return None
    text = value.decode("latin-1") if type(value) is bytes else ""
    if not is_visible_ascii(text):
        raise InvalidRequest(400, f"envelope.{name.decode()}: expected at most 256 visible ASCII characters")
    return text


def _read_target(envelope: Mapping[bytes, Any]) -> bytes:
    path, key = envelope.get(b"path"), _read_identifier(envelope, b"key")
    if path is None:
        path = b"/api" if key is None else b"/api/" + key.encode()
    if type(path) is not bytes or not is_api_target(path):
        raise InvalidRequest(404, "envelope.path: expected a path under /api")
    return path


def _read_timeout_s(envelope: Mapping[bytes, Any]) -> float:
    value = envelope.get(b"budget")
    if type(value) not in (int, float):
        raise InvalidRequest(400, "envelope.budget: expected a number of seconds")
    seconds = cast(float, value)
    if not math.isfinite(seconds) or not 0 <= seconds < _TIMEOUT_S_MAX:
        raise InvalidRequest(
            400, f"envelope.budget: expected at least 0 and less than {_TIMEOUT_S_MAX:g} seconds"
        )
    return seconds


def _read_cost_us(envelope: Mapping[bytes, Any]) -> int | None:
    value = envelope.get(b"cost_us")
    if value is not None and (type(value) is not int or not 0 <= value <= _COST_US_MAX):
        raise InvalidRequest(400, f"envelope.cost_us: expected an integer from 0 to {_COST_US_MAX}")
    return value


def _read_flag(envelope: Mapping[bytes, Any], name: bytes) -> bool:
    value = envelope.get(name)
    if value is not None and type(value) is not bool:
        raise InvalidRequest(400, f"envelope.{name.decode()}: expected a boolean")
    return bool(value)
