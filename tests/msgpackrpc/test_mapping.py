"""Tests of the mapping between messages and calls, answers and server responses, including invalid ones."""

from __future__ import annotations

from typing import Any

import msgpack
import pytest
from helpers import settings
from loopback import CLASSES

from testbed.wire import pack, read_rpc
from topazbank.balancing.events import Outcome
from topazbank.core.call import Call, FinalAnswer, Verdict
from topazbank.core.request_checks import InvalidRequest, RequestClasses
from topazbank.http.request_writing import format_request
from topazbank.msgpackrpc.answer_writing import format_answer
from topazbank.msgpackrpc.decoder import Decoder
from topazbank.msgpackrpc.messages import RpcRequest, RpcResponse
from topazbank.msgpackrpc.request_reading import read_call
from topazbank.msgpackrpc.request_writing import format_call
from topazbank.msgpackrpc.response_reading import read_response

REQUEST_CLASSES = RequestClasses(settings(classes=CLASSES, tenants=[{"name": "acme"}]))
ENVELOPE: dict[str, Any] = {"id": "c-1", "budget": 1.5, "path": "/api/7f?q=1", "tenant": "acme"}


def read(method: Any = "pay", body: Any = b"\0b", without: str = "", **changes: Any) -> Call:
    envelope = {name: value for name, value in (ENVELOPE | changes).items() if name != without}
    return read_params(method, [envelope, body])


def read_params(method: Any, params: Any) -> Call:
    (message,) = Decoder().feed(pack([0, 7, method, params]))
    assert isinstance(message, RpcRequest)
    return read_call(message, REQUEST_CLASSES, lambda answer: None)


def test_all_fields_of_a_call_are_read() -> None:
    call = read("amend", idempotency_key="k-1", cost_us=120, again=True, type="text/plain")
    assert (call.call_id, call.request_class.name, call.target, call.body) == (
        "c-1",
        "amend",
        b"/api/7f?q=1",
        b"\0b",
    )
    assert (call.tenant, call.key, call.timeout_us, call.cost_us, call.is_retry) == (
        "acme",
        0x7F,
        1_500_000,
        120,
        True,
    )
    assert call.idempotency_key == "k-1" and call.content_headers == [(b"content-type", b"text/plain")]


def test_missing_path_is_derived_from_the_key_or_defaults_to_the_root() -> None:
    assert read(without="path", key="7f").target == b"/api/7f"
    assert read(without="path").target == b"/api" and read(without="path").key is None


def test_forwarded_call_has_the_fields_of_its_client_and_the_remaining_time() -> None:
    call = read("amend", idempotency_key="k-1", again=True)
    request = read_rpc(msgpack.unpackb(format_call(9, call, 0.75), raw=False))
    assert (request.msgid, request.request_class, request.path, request.request_id, request.body) == (
        9,
        "amend",
        "/api/7f?q=1",
        "c-1",
        b"\0b",
    )
    assert request.headers["x-budget"] == "0.75" and request.headers["x-again"] == "1"
    assert request.headers["idempotency-key"] == "k-1" and request.headers["x-caller"] == "acme"


def test_call_is_converted_to_http_with_each_field_in_its_header() -> None:
    call = read("amend", idempotency_key="k-1", again=True, cost_us=5, type="text/plain")
    head, _, body = format_request(call, 0.5).partition(b"\r\n\r\n")
    request_line, *headers = head.split(b"\r\n")
    assert request_line == b"POST /api/7f?q=1 HTTP/1.1" and body == b"\0b"
    for header in (
        b"X-Call-Id: c-1",
        b"X-Call-Class: amend",
        b"X-Caller: acme",
        b"Idempotency-Key: k-1",
        b"X-Again: 1",
        b"X-Call-Cost: 5",
        b"X-Budget: 0.500000",
        b"content-type: text/plain",
        b"Content-Length: 2",
    ):
        assert header in headers


@pytest.mark.parametrize(
    ("changes", "status", "field"),
    [
        ({"method": "unknown"}, 404, "method"),
        ({"method": b"look"}, None, ""),
        ({"method": 7}, 400, "method"),
        ({"without": "id"}, 400, "id"),
        ({"id": 7}, 400, "id"),
        ({"id": "x" * 257}, 400, "id"),
        ({"id": "x\r\nX-Evil: 1"}, 400, "id"),
        ({"id": "x y"}, 400, "id"),
        ({"without": "budget"}, 400, "budget"),
        ({"budget": float("nan")}, 400, "budget"),
        ({"budget": float("inf")}, 400, "budget"),
        ({"budget": -1}, 400, "budget"),
        ({"budget": True}, 400, "budget"),
        ({"budget": "1.5"}, 400, "budget"),
        ({"budget": 2**63}, 400, "budget"),
        ({"budget": 1000}, 400, "budget"),
        ({"path": "/elsewhere"}, 404, "path"),
        ({"path": "/api/a b"}, 404, "path"),
        ({"path": "/api/a\r\nX-Evil: 1"}, 404, "path"),
        ({"path": "/apix"}, 404, "path"),
        ({"path": "/api/" + "a" * 9000}, 404, "path"),
        ({"path": 7}, 404, "path"),
        ({"tenant": "stranger"}, 400, "x-caller"),
        ({"cost_us": -1}, 400, "cost_us"),
        ({"cost_us": 1.5}, 400, "cost_us"),
        ({"again": 1}, 400, "again"),
        ({"nested": [[]]}, 400, "nested"),
        ({"method": "amend"}, 400, "idempotency-key"),
        ({"method": "amend", "idempotency_key": "a\nb"}, 400, "idempotency_key"),
        ({"method": "look"}, 400, "body"),
        ({"body": 7}, 400, "body"),
        ({"body": ["x"]}, 400, "body"),
    ],
)
def test_invalid_call_is_rejected_with_the_name_of_the_field(
    changes: dict[str, Any], status: int | None, field: str
) -> None:
    if status is None:
        # The method may be of either MessagePack string type.
        assert read(**changes, body=None).request_class.name == "look"
        return
    with pytest.raises(InvalidRequest) as raised:
        read(**changes)
    assert raised.value.status == status and field in str(raised.value)


@pytest.mark.parametrize("params", [[], [{}, b"", 3], [7], [[]], {"id": "x"}, "x", None])
def test_params_of_an_unexpected_shape_are_rejected(params: Any) -> None:
    with pytest.raises(InvalidRequest):
        read_params("pay", params)


def test_content_type_that_is_not_a_valid_header_value_is_omitted() -> None:
    for invalid in ("a\r\nX-Evil: 1", "", "é", 7, "x" * 2000):
        assert read(type=invalid).content_headers is None
    response = RpcResponse(1, None, {b"body": b"x", b"type": b"a\r\nSet-Cookie: x"})
    assert read_response(response, ())[1].content_headers is None  # type: ignore[union-attr]


# A call counts as not executed only if its server explicitly says so; otherwise a retry could execute it twice.
@pytest.mark.parametrize(
    ("error", "result", "outcome"),
    [
        (None, {b"body": b"x"}, Outcome.DELIVERED),
        (None, b"x", Outcome.DELIVERED),
        (None, None, Outcome.DELIVERED),
        (None, {}, Outcome.DELIVERED),
        (None, 7, Outcome.ERROR),
        (None, [b"x"], Outcome.ERROR),
        (None, {b"body": 7}, Outcome.ERROR),
        ([503, b"full", {b"rejected": True}], None, Outcome.REJECTED),
        ([504, b"over", {b"rejected": True}], None, Outcome.REJECTED),
        ([503, b"full", {}], None, Outcome.ERROR),
        ([503, b"full", {b"rejected": 1}], None, Outcome.ERROR),
        ([503, b"full", {b"rejected": b"true"}], None, Outcome.ERROR),
        ([500, b"broke", {b"rejected": True}], None, Outcome.ERROR),
        ([503.0, b"full", {b"rejected": True}], None, Outcome.ERROR),
        ([503, b"full"], None, Outcome.ERROR),
        (b"it broke", None, Outcome.ERROR),
        (False, None, Outcome.ERROR),
        (0, {b"body": b"x"}, Outcome.ERROR),
        ([503, b"full", {b"rejected": True}], {b"body": b"x"}, Outcome.REJECTED),
    ],
)
def test_only_an_explicit_rejection_by_the_server_counts_as_not_executed(
    error: Any, result: Any, outcome: Outcome
) -> None:
    assert read_response(RpcResponse(1, error, result), ())[0] is outcome


def test_load_reports_of_results_and_errors_are_read_without_invalid_values() -> None:
    load = {
        b"util": 0.5,
        b"queue": float("nan"),
        b"other": 3,
        7: 1,
        b"qps": b"7",
        b"eps": True,
        b"inflight": -1,
    }
    for message in (
        RpcResponse(1, None, {b"body": b"", b"load": load}),
        RpcResponse(1, [503, b"", {b"rejected": True, b"load": load}], None),
    ):
        response = read_response(message, ("util", "queue", "qps", "eps", "inflight"))[1]
        assert response is not None and response.report == {"util": 0.5}
    without_report = read_response(RpcResponse(1, None, {b"load": [1]}), ("util",))[1]
    assert without_report is not None and without_report.report is None


@pytest.mark.parametrize(
    ("answer", "error", "result"),
    [
        (FinalAnswer(Verdict.SERVED, b"\xff"), None, {"body": b"\xff"}),
        (FinalAnswer(Verdict.SERVED, b"x", [(b"content-type", b"a/b")]), None, {"body": b"x", "type": "a/b"}),
        (FinalAnswer(Verdict.REJECTED), [503, "refused", {}], None),
        (
            FinalAnswer(Verdict.REJECTED, retry_after_us=250_000),
            [503, "refused", {"retry_after": 0.25}],
            None,
        ),
        (FinalAnswer(Verdict.FAILED), [500, "failed", {}], None),
    ],
)
def test_final_answers_are_encoded_as_responses(answer: FinalAnswer, error: Any, result: Any) -> None:
    assert msgpack.unpackb(format_answer(9, answer), raw=False) == [1, 9, error, result]
