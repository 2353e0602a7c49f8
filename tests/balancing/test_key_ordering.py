"""Requests that share an ordering key run one at a time."""

from __future__ import annotations

import pytest
from helpers import MS, S, Stage, names, settings

from topazbank.balancing.actions import (
    Reject,
)
from topazbank.balancing.events import (
    Outcome,
    RequestCancelled,
)

ORDERED = {
    "classes": [
        {"name": "save", "deadline_us": 2 * S, "idempotency": "idempotent", "ordered_by_key": True},
        {"name": "mark", "deadline_us": 2 * S, "idempotency": "idempotent", "ordered_by_key": True},
        {"name": "look", "deadline_us": 2 * S, "idempotency": "idempotent"},
    ],
    "rules": {"ordering_pause_us": 100 * MS},
}


def ordered_stage() -> Stage:
    stage = Stage(settings(**ORDERED))
    stage.servers(names(6))
    return stage


def test_requests_with_one_key_run_one_at_a_time_in_order_of_arrival_across_classes() -> None:
    stage = ordered_stage()
    requests = [stage.request(name, key=5) for name in ("save", "mark", "save")]
    for index, request in enumerate(requests):
        assert [len(stage.sends(queued)) for queued in requests] == [1] * (index + 1) + [0] * (2 - index)
        stage.wait(10 * MS)
        stage.end(request)


def test_requests_without_a_key_with_another_key_or_of_unordered_classes_do_not_wait() -> None:
    stage = ordered_stage()
    stage.request("save", key=5)
    unordered = [stage.request("save"), stage.request("save", key=6), stage.request("look", key=5)]
    assert all(len(stage.sends(request)) == 1 for request in unordered)


@pytest.mark.parametrize("outcome", [Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CANCELLED])
def test_a_key_pauses_after_an_attempt_that_may_still_run(outcome: Outcome) -> None:
    stage = ordered_stage()
    first, second = stage.request("save", key=5), stage.request("mark", key=5)
    stage.play(RequestCancelled(first))
    stage.wait(10 * MS)
    assert stage.sends(second) == []  # the first request is cancelled, but its attempt is still in flight
    stage.end(first, outcome, answered=True)
    ended = stage.now
    assert stage.sends(second) == []
    third = stage.request("mark", key=5)
    stage.wait(99 * MS)
    assert stage.sends(second) == [] and stage.sends(third) == []
    stage.wait(5 * MS)
    assert stage.sends(second)[0][0] >= ended + 100 * MS
    assert stage.sends(third) == []


def test_a_request_with_an_ordering_key_is_retried_immediately() -> None:
    stage = ordered_stage()
    first = stage.request("save", key=5)
    stage.wait(10 * MS)
    stage.end(first, Outcome.CONNECTION_LOST)
    assert len(stage.sends(first)) == 2


def test_a_queued_request_is_rejected_at_its_deadline_and_a_cancelled_one_is_skipped() -> None:
    stage = ordered_stage()
    first = stage.request("save", key=5)
    expiring, cancelled = (stage.request("mark", remaining_us=300 * MS, key=5) for _ in range(2))
    last = stage.request("save", key=5)
    stage.play(RequestCancelled(cancelled))
    stage.wait(300 * MS)
    assert [action.request for action in stage.said(Reject)] == [expiring]
    stage.end(first)
    assert stage.sends(expiring) == [] and stage.sends(cancelled) == []
    assert len(stage.sends(last)) == 1


def test_keys_that_are_not_in_use_take_no_memory() -> None:
    stage = ordered_stage()
    for key in range(50):
        request = stage.request("save", key=key)
        stage.wait(10 * MS)
        stage.end(request, Outcome.DELIVERED if key % 2 else Outcome.CANCELLED, answered=True)
    stage.wait(200 * MS)
    assert not stage.balancer.ordering.queues


def test_no_attempt_is_sent_out_of_order() -> None:
    stage = ordered_stage()
    first, second = stage.request("save", key=5), stage.request("mark", key=5)
    waiting = stage.balancer.lifecycle.requests[second]
    server = next(iter(stage.balancer.servers.by_name.values()))
    assert not stage.balancer.sender.send(waiting, server)
    stage.play(RequestCancelled(first))
    assert not stage.balancer.sender.send(waiting, server)
    stage.end(first, Outcome.CANCELLED, answered=True)
    assert not stage.balancer.sender.send(waiting, server)
    stage.balancer._context.now += 100 * MS
    assert stage.balancer.sender.send(waiting, server)
