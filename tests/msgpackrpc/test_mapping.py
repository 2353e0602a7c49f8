"""The mapping: what a call, an answer and a node's response mean, and what can't cross."""

from __future__ import annotations

from typing import Any

import msgpack
import pytest
from helpers import settings
from loopback import CLASSES

from testbed.wire import read_rpc
from topazbank.balancing.events import Outcome
from topazbank.core.call import Call, FinalAnswer, Verdict
from topazbank.core.request_checks import InvalidRequest, RequestClasses
from topazbank.http.client import write_request
from topazbank.msgpackrpc.codec import Decoder, Reply, Request, encode_request
from topazbank.msgpackrpc.mapping import read_call, read_reply, write_answer, write_call

RULES = RequestClasses(settings(classes=CLASSES, tenants=[{"name": "acme"}]))
ENVELOPE: dict[str, Any] = {"id": "c-1", "budget": 1.5, "path": "/api/7f?q=1", "tenant": "acme"}


def read(method: Any = "pay", body: Any = b"\0b", without: str = "", **changes: Any) -> Call:
    envelope = {name: value for name, value in (ENVELOPE | changes).items() if name != without}
    return read_params(method, [envelope, body])


def read_params(method: Any, params: Any) -> Call:
    (message,) = Decoder().feed(encode_request(7, method, params))
    assert isinstance(message, Request)
    return read_call(message, RULES, lambda answer: None)


def test_a_call_is_read_whole() -> None:
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


def test_a_key_stands_for_its_path_and_neither_for_the_application_s_root() -> None:
    assert read(without="path", key="7f").target == b"/api/7f"
    assert read(without="path").target == b"/api" and read(without="path").key is None


def test_a_call_for_a_node_says_what_its_client_said_with_the_time_that_is_left() -> None:
    call = read("amend", idempotency_key="k-1", again=True)
    asked = read_rpc(msgpack.unpackb(write_call(9, call, 0.75), raw=False))
    assert (asked.msgid, asked.request_class, asked.path, asked.request_id, asked.body) == (
        9,
        "amend",
        "/api/7f?q=1",
        "c-1",
        b"\0b",
    )
    assert asked.headers["x-budget"] == "0.75" and asked.headers["x-again"] == "1"
    assert asked.headers["idempotency-key"] == "k-1" and asked.headers["x-caller"] == "acme"


def test_a_call_crosses_to_an_http_node_with_every_field_in_its_header() -> None:
    call = read("amend", idempotency_key="k-1", again=True, cost_us=5, type="text/plain")
    head, _, body = write_request(call, 0.5).partition(b"\r\n\r\n")
    first, *headers = head.split(b"\r\n")
    assert first == b"POST /api/7f?q=1 HTTP/1.1" and body == b"\0b"
    for each in (
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
        assert each in headers


@pytest.mark.parametrize(
    ("changes", "status", "field"),
    [
        ({"method": "unheard-of"}, 404, "method"),
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
def test_what_makes_no_sense_is_named(changes: dict[str, Any], status: int | None, field: str) -> None:
    if status is None:
        assert read(**changes, body=None).request_class.name == "look"  # a text of either type
        return
    with pytest.raises(InvalidRequest) as bad:
        read(**changes)
    assert bad.value.status == status and field in str(bad.value)


@pytest.mark.parametrize("given", [[], [{}, b"", 3], [7], [[]], {"id": "x"}, "x", None])
def test_params_of_another_shape_are_turned_away(given: Any) -> None:
    with pytest.raises(InvalidRequest):
        read_params("pay", given)


def test_a_content_type_that_would_end_a_header_is_left_out() -> None:
    for junk in ("a\r\nX-Evil: 1", "", "é", 7, "x" * 2000):
        assert read(type=junk).content_headers is None
    reply = Reply(1, None, {b"body": b"x", b"type": b"a\r\nSet-Cookie: x"})
    assert read_reply(reply, ())[1].content_headers is None  # type: ignore[union-attr]


# Guards rule 2: only the node's own word proves that a call never ran.
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
def test_what_a_node_says_proves_no_more_than_it_says(error: Any, result: Any, outcome: Outcome) -> None:
    assert read_reply(Reply(1, error, result), ())[0] is outcome


def test_load_reports_of_answers_and_of_errors_are_read_and_junk_figures_are_not() -> None:
    load = {
        b"util": 0.5,
        b"queue": float("nan"),
        b"other": 3,
        7: 1,
        b"qps": b"7",
        b"eps": True,
        b"inflight": -1,
    }
    for reply in (
        Reply(1, None, {b"body": b"", b"load": load}),
        Reply(1, [503, b"", {b"rejected": True, b"load": load}], None),
    ):
        response = read_reply(reply, ("util", "queue", "qps", "eps", "inflight"))[1]
        assert response is not None and response.report == {"util": 0.5}
    none = read_reply(Reply(1, None, {b"load": [1]}), ("util",))[1]
    assert none is not None and none.report is None


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
def test_each_answer_has_one_form(answer: FinalAnswer, error: Any, result: Any) -> None:
    assert msgpack.unpackb(write_answer(9, answer), raw=False) == [1, 9, error, result]
