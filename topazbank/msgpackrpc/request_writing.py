"""Encodes a call as a MessagePack-RPC request to a server; no I/O."""

from __future__ import annotations

from typing import Any

from topazbank.core.call import Call
from topazbank.msgpackrpc.content_fields import write_content_fields
from topazbank.msgpackrpc.messages import encode_request


def format_call(msgid: int, call: Call, remaining_s: float) -> bytes:
    """Encode an attempt's request: the client's request with the remaining time as its budget."""
    envelope: dict[str, Any] = {
        "id": call.call_id,
        "budget": round(remaining_s, 6),
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
        write_content_fields(envelope, call.content_headers)
    return encode_request(msgid, call.request_class.name, [envelope, call.body])
