"""What stands between a decision and its effect: each rule denies what breaks it, and counts what should not be."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pytest
from helpers import settings

from topazbank.balancing.events import Outcome
from topazbank.balancing.settings import Rules
from topazbank.core.call import Call
from topazbank.core.counters import Counters, Violation
from topazbank.core.request_rules import ANSWER_GRACE_S, SCHEDULING_DELAY_S, DenialReason, RequestRules

NOW, GRACE_S, ALWAYS = 100.0, 0.5, float("inf")
KINDS = {each.name: each for each in settings().classes}


@dataclass
class Server:
    name: str = "s-0"
    draining_since: float | None = None


def call(kind: str = "pay", /, **changes: Any) -> Call:
    made = Call("c-1", KINDS[kind], b"/api", b"", None, None, 1_000_000, None, False, None, lambda _: None)
    made.deadline = NOW + 1.0
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def rules(rejects_after_start: bool = False) -> tuple[RequestRules, Counters]:
    counters = Counters()
    given = Rules(drain_grace_us=int(GRACE_S * 1e6), rejects_after_start=rejects_after_start)
    return RequestRules(counters, given), counters


@pytest.mark.parametrize(
    ("changes", "denied"),
    [
        ({}, None),
        ({"is_over": True}, DenialReason.REQUEST_OVER),
        ({"has_disconnected": lambda: True}, DenialReason.CLIENT_DISCONNECTED),
        ({"deadline": NOW}, DenialReason.DEADLINE_PASSED),
    ],
)
def test_nothing_is_sent_for_a_request_that_is_over(
    changes: dict[str, Any], denied: DenialReason | None
) -> None:
    held, counters = rules()
    assert held.check_send(call(**changes), NOW) is denied
    assert held.check_write(call(**changes), Server(), NOW, ALWAYS) is denied
    assert counters.violations(Violation.SENT_AFTER_END) == (denied is DenialReason.REQUEST_OVER)


def test_what_has_a_time_of_its_own_to_be_written_by_is_held_to_it() -> None:
    held, _ = rules()
    assert held.check_write(call("amend"), Server(), NOW, NOW) is DenialReason.DEADLINE_PASSED


@pytest.mark.parametrize("outcome", list(Outcome))
@pytest.mark.parametrize("rejects_after_start", [False, True])
def test_an_unsafe_request_goes_again_only_where_it_provably_never_ran(
    outcome: Outcome, rejects_after_start: bool
) -> None:
    held, counters = rules(rejects_after_start)
    unsafe = call()
    assert held.check_write(unsafe, Server(), NOW, ALWAYS) is None
    held.attempt_ended(unsafe, outcome, written=True)
    unrun = outcome in (Outcome.CONNECT_FAILED, Outcome.UNSENT) or (
        outcome is Outcome.REJECTED and not rejects_after_start
    )
    assert held.check_write(unsafe, Server(), NOW, ALWAYS) is (
        None if unrun else DenialReason.MAY_HAVE_EXECUTED
    )
    assert counters.violations(Violation.NON_IDEMPOTENT_RESENT) == (not unrun)


def test_an_unsafe_request_does_not_go_while_another_attempt_is_out_and_others_do() -> None:
    held, _ = rules()
    for kind, denied in (("pay", DenialReason.MAY_HAVE_EXECUTED), ("look", None), ("amend", None)):
        one = call(kind)
        assert held.check_write(one, Server(), NOW, ALWAYS) is None
        assert held.check_write(one, Server(), NOW, ALWAYS) is denied


def test_an_attempt_that_was_not_let_go_proves_nothing_of_those_that_were() -> None:
    held, _ = rules()
    unsafe = call()
    assert held.check_write(unsafe, Server(), NOW, ALWAYS) is None
    held.attempt_ended(unsafe, Outcome.UNSENT, written=False)
    assert held.check_write(unsafe, Server(), NOW, ALWAYS) is DenialReason.MAY_HAVE_EXECUTED


def test_nothing_begins_at_a_server_that_left_longer_ago_than_the_grace() -> None:
    held, counters = rules()
    assert held.check_write(call(), Server(draining_since=NOW - GRACE_S), NOW, ALWAYS) is None
    assert (
        held.check_write(call(), Server(draining_since=NOW - GRACE_S - 0.01), NOW, ALWAYS)
        is DenialReason.SERVER_DRAINING
    )
    assert counters.violations(Violation.SENT_TO_DRAINING) == 1


def test_a_server_is_told_no_more_than_the_client_has_left() -> None:
    held, counters = rules()
    assert held.remaining_s(call(), NOW + 0.4, NOW) == pytest.approx(0.4)
    assert held.remaining_s(call(), NOW + 0.4, NOW + 2.0) == 0.0
    assert counters.violations(Violation.TIMEOUT_BEYOND_CLIENT) == 0
    assert held.remaining_s(call(), NOW + 1.1 + SCHEDULING_DELAY_S, NOW) == pytest.approx(1.0)
    assert counters.violations(Violation.TIMEOUT_BEYOND_CLIENT) == 1


def test_an_answer_after_its_time_is_counted() -> None:
    held, counters = rules()
    held.check_answer(call(), NOW + 1.0 + ANSWER_GRACE_S)
    assert counters.violations(Violation.ANSWERED_LATE) == 0
    held.check_answer(call(), NOW + 1.1 + ANSWER_GRACE_S)
    assert counters.violations(Violation.ANSWERED_LATE) == 1
