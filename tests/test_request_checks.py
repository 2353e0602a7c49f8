"""Request validation shared by all protocols."""

from __future__ import annotations

import pytest
from helpers import settings

from topazbank.core.call import Call
from topazbank.core.request_checks import (
    IDENTIFIER_CHARS_MAX,
    InvalidRequest,
    RequestClasses,
    is_api_target,
    is_visible_ascii,
    key_of_target,
)

CLASSES = RequestClasses(settings(tenants=[{"name": "acme"}]))


def new_call(
    class_name: str = "pay",
    call_id: str = "c-1",
    body: bytes = b"",
    timeout_us: int = 1_000_000,
    idempotency_key: str | None = None,
) -> Call:
    request_class = CLASSES.request_class(class_name)
    return Call(
        call_id, request_class, b"/api", body, None, None, timeout_us, None, False, idempotency_key, print
    )


@pytest.mark.parametrize(
    ("call", "reason"),
    [
        (new_call(call_id="x" * (IDENTIFIER_CHARS_MAX + 1)), "x-call-id exceeds 256 characters"),
        (new_call("look", body=b"x"), "body is not allowed for an idempotent request class"),
        (new_call("amend"), "idempotency-key is missing"),
        (new_call(timeout_us=2_300_000), "x-budget exceeds the class deadline of 2000000 us"),
    ],
)
def test_a_call_that_breaks_a_rule_of_its_class_is_invalid(call: Call, reason: str) -> None:
    with pytest.raises(InvalidRequest, match=reason) as raised:
        RequestClasses.check(call)
    assert raised.value.status == 400


@pytest.mark.parametrize(
    "call",
    [
        new_call(body=b"x", timeout_us=2_100_000),  # exceeds the deadline within the rounding tolerance
        new_call("look"),
        new_call("amend", body=b"x", idempotency_key="k"),
    ],
)
def test_a_call_within_the_rules_of_its_class_is_valid(call: Call) -> None:
    RequestClasses.check(call)


def test_unknown_classes_and_tenants_are_invalid() -> None:
    assert CLASSES.tenant("acme") == "acme" and CLASSES.tenant(None) is None
    assert RequestClasses(settings()).tenant("anyone") is None  # no tenants are configured
    with pytest.raises(InvalidRequest):
        CLASSES.tenant("unknown")
    with pytest.raises(InvalidRequest):
        CLASSES.request_class("unknown")


def test_only_api_targets_without_spaces_and_control_characters_are_accepted() -> None:
    for target in (b"/api", b"/api/1", b"/api/1?q=2"):
        assert is_api_target(target)
    for target in (b"/", b"/apix", b"/api/a b", b"/api/\r\n", b"/api/\xff", b"/api/" + b"x" * 9000):
        assert not is_api_target(target)
    assert is_visible_ascii("c-1")
    for text in ("", "a b", "a\n", "é", "x" * (IDENTIFIER_CHARS_MAX + 1)):
        assert not is_visible_ascii(text)


def test_the_key_is_the_last_path_segment_as_a_number() -> None:
    assert key_of_target(b"/api/a/1f?q=3") == 0x1F
    assert key_of_target(b"/api/zz") == int.from_bytes(b"zz", "big")
    assert key_of_target(b"/api/") is None and key_of_target(b"/api") is None
