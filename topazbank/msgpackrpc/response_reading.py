"""Derives the outcome of an attempt from a server's MessagePack-RPC response; no I/O.

Invariant: an attempt counts as not executed only if the server explicitly says so.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Any, Final

from topazbank.balancing.events import Outcome
from topazbank.core.call import BUFFERED_BODY_BYTES_MAX, Response
from topazbank.core.reports import report_from_mapping
from topazbank.msgpackrpc.content_fields import read_content_fields
from topazbank.msgpackrpc.messages import RpcResponse

_REJECTION_CODES: Final = (503, 504)  # error codes of a rejection, together with `rejected`


# The outcome of an attempt and the response for its client, if any.
AttemptResult = tuple[Outcome, Response | None]


def read_response(message: RpcResponse, report_columns: Collection[str]) -> AttemptResult:
    """Return the result of an attempt from the server's response, with the `report_columns` of its load report."""
    if message.error is not None:
        return _read_error(message.error, report_columns)
    result = message.result
    if type(result) is bytes or result is None:
        return Outcome.DELIVERED, Response(result or b"")
    if type(result) is not dict:
        return Outcome.ERROR, None
    body = result.get(b"body", b"")
    if type(body) is not bytes or len(body) > BUFFERED_BODY_BYTES_MAX:
        return Outcome.ERROR, None
    report = report_from_mapping(result.get(b"load"), report_columns)
    return Outcome.DELIVERED, Response(body, read_content_fields(result), report)


def _read_error(error: object, report_columns: Collection[str]) -> AttemptResult:
    if type(error) is not list or len(error) != 3 or type(error[2]) is not dict:
        return Outcome.ERROR, None
    details: dict[bytes, Any] = error[2]
    response = Response(b"", None, report_from_mapping(details.get(b"load"), report_columns))
    rejected = type(error[0]) is int and error[0] in _REJECTION_CODES and details.get(b"rejected") is True
    return (Outcome.REJECTED if rejected else Outcome.ERROR), response
