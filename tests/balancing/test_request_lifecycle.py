"""A request gets exactly one final answer, in time, and no attempt follows it."""

from __future__ import annotations

from helpers import MS, START, S, Stage, names, settings

from topazbank.balancing.actions import (
    CancelAttempt,
    Fail,
    Reject,
)
from topazbank.balancing.events import (
    AttemptEnded,
    Outcome,
    RequestCancelled,
)


def test_an_unanswered_request_gets_its_final_answer_before_its_deadline() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay", remaining_us=900 * MS)
    stage.wait(899 * MS)
    assert [action.request for action in stage.said(Fail)] == [request]


def test_nothing_is_sent_or_answered_after_the_final_answer() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("look", remaining_us=300 * MS)
    stage.wait(300 * MS)
    rejections = len(stage.said(Reject))
    stage.end(request, Outcome.CANCELLED, answered=True)
    stage.wait(5 * S)
    assert rejections == 1
    assert len(stage.said(Reject)) == 1
    assert len([1 for sent_at, _ in stage.sends(request) if sent_at > START + 300 * MS]) == 0


def test_a_request_whose_deadline_has_passed_on_arrival_is_rejected_unsent() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay", remaining_us=0)
    assert stage.sends(request) == []
    assert [action.request for action in stage.said(Reject)] == [request]


def test_a_request_is_rejected_immediately_while_no_server_is_listed() -> None:
    stage = Stage()
    request = stage.request("pay")
    assert [action.request for action in stage.said(Reject)] == [request]


def test_a_request_is_rejected_if_no_attempt_is_allowed() -> None:
    stage = Stage(settings(limits={"max_attempts": 0}))
    stage.servers(names(3))
    request = stage.request("look")
    assert stage.sends(request) == []
    assert [action.request for action in stage.said(Reject)] == [request]


def test_late_and_unknown_events_are_ignored() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request()
    stage.end(request)
    actions_before = len(stage.log)
    stage.play(RequestCancelled(request))
    stage.play(RequestCancelled(99))
    stage.play(AttemptEnded(99, 0, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    stage.play(AttemptEnded(request, 7, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    assert len(stage.log) == actions_before


def test_a_disconnected_client_gets_no_answer_and_its_attempt_is_cancelled() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay")
    stage.play(RequestCancelled(request))
    stage.wait(3 * S)
    assert [action.request for action in stage.said(CancelAttempt)] == [request]
    assert stage.said(Fail) == [] and stage.said(Reject) == []


def test_a_rejection_has_a_retry_after_if_the_settings_allow_it() -> None:
    for limits, max_us in (({}, 0), ({"retry_after": True, "max_retry_after_us": 30 * MS}, 30 * MS)):
        stage = Stage(settings(limits=limits))
        for _ in range(20):
            stage.request()  # rejected: no server is listed
        delays_us = [action.retry_after_us for action in stage.said(Reject)]
        assert len(delays_us) == 20 and max(delays_us) <= max_us
        assert len(set(delays_us)) > 1 if max_us else not any(delays_us)  # with jitter
