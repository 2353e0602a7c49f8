"""Request rules deny what breaks them and count a violation if the caller should have prevented it."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import settings

from topazbank.balancing.events import Outcome, ServerState
from topazbank.balancing.settings import Rules
from topazbank.core.call import Call
from topazbank.core.counters import Counters, Violation
from topazbank.core.endpoints import HTTP, Endpoint
from topazbank.core.request_rules import ANSWER_GRACE_S, SCHEDULING_DELAY_S, DenialReason, RequestRules

NOW, DRAIN_GRACE_S, NO_DEADLINE = 100.0, 0.5, float("inf")
CLASSES = {request_class.name: request_class for request_class in settings().classes}


def endpoint(draining_since: float | None = None) -> Endpoint:
    return Endpoint("s-0", ("127.0.0.1", 1), None, ServerState.READY, HTTP, draining_since=draining_since)


def new_call(class_name: str = "pay", /, **changes: Any) -> Call:
    call = Call(
        "c-1", CLASSES[class_name], b"/api", b"", None, None, 1_000_000, None, False, None, lambda _: None
    )
    call.deadline = NOW + 1.0
    for name, value in changes.items():
        setattr(call, name, value)
    return call


def new_rules(rejects_after_start: bool = False) -> tuple[RequestRules, Counters]:
    counters = Counters()
    settings_rules = Rules(drain_grace_us=int(DRAIN_GRACE_S * 1e6), rejects_after_start=rejects_after_start)
    return RequestRules(counters, settings_rules), counters


@pytest.mark.parametrize(
    ("changes", "denial"),
    [
        ({}, None),
        ({"is_over": True}, DenialReason.REQUEST_OVER),
        ({"has_disconnected": lambda: True}, DenialReason.CLIENT_DISCONNECTED),
        ({"deadline": NOW}, DenialReason.DEADLINE_PASSED),
    ],
)
def test_no_attempt_is_sent_for_a_finished_request(
    changes: dict[str, Any], denial: DenialReason | None
) -> None:
    rules, counters = new_rules()
    assert rules.check_send(new_call(**changes), NOW) is denial
    assert rules.check_write(new_call(**changes), endpoint(), NOW, NO_DEADLINE) is denial
    assert counters.violations(Violation.SENT_AFTER_END) == (denial is DenialReason.REQUEST_OVER)


def test_no_attempt_is_written_after_its_write_deadline() -> None:
    rules, _ = new_rules()
    assert rules.check_write(new_call("amend"), endpoint(), NOW, NOW) is DenialReason.DEADLINE_PASSED


@pytest.mark.parametrize("outcome", list(Outcome))
@pytest.mark.parametrize("rejects_after_start", [False, True])
def test_a_non_idempotent_request_is_retried_only_if_it_was_provably_not_executed(
    outcome: Outcome, rejects_after_start: bool
) -> None:
    rules, counters = new_rules(rejects_after_start)
    call = new_call()
    assert rules.check_write(call, endpoint(), NOW, NO_DEADLINE) is None
    rules.attempt_ended(call, outcome, written=True)
    not_executed = outcome in (Outcome.CONNECT_FAILED, Outcome.UNSENT) or (
        outcome is Outcome.REJECTED and not rejects_after_start
    )
    assert rules.check_write(call, endpoint(), NOW, NO_DEADLINE) is (
        None if not_executed else DenialReason.MAY_HAVE_EXECUTED
    )
    assert counters.violations(Violation.NON_IDEMPOTENT_RESENT) == (not not_executed)


def test_only_non_idempotent_requests_are_denied_a_second_attempt_in_flight() -> None:
    rules, _ = new_rules()
    for class_name, denial in (("pay", DenialReason.MAY_HAVE_EXECUTED), ("look", None), ("amend", None)):
        call = new_call(class_name)
        assert rules.check_write(call, endpoint(), NOW, NO_DEADLINE) is None
        assert rules.check_write(call, endpoint(), NOW, NO_DEADLINE) is denial


def test_an_unwritten_attempt_does_not_prove_that_a_written_one_was_not_executed() -> None:
    rules, _ = new_rules()
    call = new_call()
    assert rules.check_write(call, endpoint(), NOW, NO_DEADLINE) is None
    rules.attempt_ended(call, Outcome.UNSENT, written=False)
    assert rules.check_write(call, endpoint(), NOW, NO_DEADLINE) is DenialReason.MAY_HAVE_EXECUTED


def test_no_attempt_is_written_to_a_server_after_its_drain_grace() -> None:
    rules, counters = new_rules()
    assert (
        rules.check_write(new_call(), endpoint(draining_since=NOW - DRAIN_GRACE_S), NOW, NO_DEADLINE) is None
    )
    assert (
        rules.check_write(new_call(), endpoint(draining_since=NOW - DRAIN_GRACE_S - 0.01), NOW, NO_DEADLINE)
        is DenialReason.SERVER_DRAINING
    )
    assert counters.violations(Violation.SENT_TO_DRAINING) == 1


def test_the_timeout_sent_to_a_server_does_not_exceed_the_client_s() -> None:
    rules, counters = new_rules()
    assert rules.remaining_s(new_call(), NOW + 0.4, NOW) == pytest.approx(0.4)
    assert rules.remaining_s(new_call(), NOW + 0.4, NOW + 2.0) == 0.0
    assert counters.violations(Violation.TIMEOUT_BEYOND_CLIENT) == 0
    assert rules.remaining_s(new_call(), NOW + 1.1 + SCHEDULING_DELAY_S, NOW) == pytest.approx(1.0)
    assert counters.violations(Violation.TIMEOUT_BEYOND_CLIENT) == 1


def test_an_answer_later_than_the_grace_is_counted() -> None:
    rules, counters = new_rules()
    rules.check_answer(new_call(), NOW + 1.0 + ANSWER_GRACE_S)
    assert counters.violations(Violation.ANSWERED_LATE) == 0
    rules.check_answer(new_call(), NOW + 1.1 + ANSWER_GRACE_S)
    assert counters.violations(Violation.ANSWERED_LATE) == 1
