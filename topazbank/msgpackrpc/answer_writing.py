"""Writes answers to clients as MessagePack-RPC responses; no I/O."""

from __future__ import annotations

from typing import Any, Final

from topazbank.core.call import FinalAnswer, Verdict
from topazbank.core.request_checks import InvalidRequest
from topazbank.msgpackrpc.content_fields import write_content_fields
from topazbank.msgpackrpc.messages import encode_response

_REJECTED_CODE: Final = 503
_FAILED_CODE: Final = 500


def format_answer(msgid: int, answer: FinalAnswer) -> bytes:
    """Encode a call's final answer as a response."""
    if answer.verdict is Verdict.SERVED:
        result: dict[str, Any] = {"body": answer.body}
        if answer.content_headers:
            write_content_fields(result, answer.content_headers)
        return encode_response(msgid, None, result)
    if answer.verdict is Verdict.REJECTED:
        details = {"retry_after": answer.retry_after_us / 1e6} if answer.retry_after_us else {}
        return encode_response(msgid, [_REJECTED_CODE, "refused", details], None)
    return encode_response(msgid, [_FAILED_CODE, "failed", {}], None)


def format_rejection(msgid: int, error: InvalidRequest) -> bytes:
    """Encode the error response to a rejected request."""
    return encode_response(msgid, [error.status, str(error), {}], None)


def format_readiness(msgid: int, ready: bool) -> bytes:
    """Encode the response to a readiness check."""
    if ready:
        return encode_response(msgid, None, {"ready": True})
    return format_rejection(msgid, InvalidRequest(503, "draining"))
