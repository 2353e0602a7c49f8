"""When a sidecar polls for the endpoint list: among a few, and among thousands that started at the same moment."""

from __future__ import annotations

from itertools import pairwise

import pytest
from helpers import MS, S, Stage, names, settings

from topazbank.balancing.actions import WatchEndpoints
from topazbank.balancing.events import EndpointsUpdated, ServerDescription, UpdateKind
from topazbank.estimation import poll_schedule


def polls(stage: Stage) -> list[int]:
    return [at for at, each in stage.log if isinstance(each, WatchEndpoints) and each.wanted]


def start(sidecars: int, seed: int = 1) -> Stage:
    stage = Stage(settings(fleet_size=sidecars), seed=seed)
    stage.servers([ServerDescription(each, "east") for each in names(4)], UpdateKind.CACHED)
    return stage


def test_in_a_small_fleet_the_first_poll_is_sent_at_once() -> None:
    stage = start(40)
    assert polls(stage) == [stage.now]


def test_thousands_that_start_at_once_spread_their_first_polls_and_serve_meanwhile() -> None:
    first = []
    for seed in range(200):
        stage = start(5000, seed)
        started_at = stage.now
        assert stage.sends(stage.request())
        stage.wait(6 * S)
        first.append(polls(stage)[0] - started_at)
    # A release restarts all sidecars, and each polls the one registry.  Polls must not come in one burst; a spread over
    # more than 3 s would leave no time for two failed polls before the platform counts the sidecars as notified.
    assert max(first) <= 3000 * MS
    busiest = max(sum(at <= each < at + S for each in first) for at in range(0, 6 * S, 100 * MS))
    assert busiest < 100  # of 200; evenly it would be 67


@pytest.mark.parametrize(("sidecars", "interval_max_s"), [(40, 2.5), (200, 3.0), (5000, 3.0)])
def test_failed_polls_are_retried_in_time_and_no_more_often_than_the_registry_can_answer(
    sidecars: int, interval_max_s: float
) -> None:
    stage = start(sidecars)
    stage.wait(6 * S)
    waits = []
    for _ in range(12):
        failed = stage.now
        stage.play(EndpointsUpdated(UpdateKind.FAILED))
        before = len(polls(stage))
        while len(polls(stage)) == before:
            stage.wait(50 * MS)
        waits.append(polls(stage)[-1] - failed)
        stage.now = polls(stage)[-1]
    assert min(b - a for a, b in pairwise(polls(stage))) >= interval_max_s * S / 6 - 50 * MS  # also the first
    assert max(waits) <= interval_max_s * S
    assert min(waits[4:]) >= 0.5 * interval_max_s * S  # from the fifth on all are the longest, with jitter
    assert max(waits) < stage.balancer._context.settings.rules.poll_within_us


@pytest.mark.parametrize("sidecars", [1, 40, 200, 3_000, 100_000])
@pytest.mark.parametrize("poll_within_s", [0.5, 10, 60, 3600])
def test_two_polls_fit_before_the_deadline_of_an_update_in_any_fleet_with_any_setting(
    sidecars: int, poll_within_s: float
) -> None:
    # Discovery recovers just after a poll failed, and its queue is full, so that it rejects the next poll too.
    poll_within_us = int(poll_within_s * S)
    intervals_us = [
        poll_schedule.retry_interval_us(polls_unanswered, sidecars, poll_within_us, 0.0)
        for polls_unanswered in range(12)
    ]
    assert 2 * max(intervals_us) <= poll_schedule.UPDATE_DEADLINE_S * S
    assert max(intervals_us) <= max(poll_schedule.INTERVAL_RATIO_LARGE_FLEET * poll_within_us, 1)
    assert intervals_us == sorted(intervals_us) and intervals_us[0] > 0
    first_us = poll_schedule.first_poll_spread_us(sidecars, poll_within_us)
    assert first_us + intervals_us[0] + intervals_us[1] <= poll_schedule.UPDATE_DEADLINE_S * S


def test_a_poll_that_fails_late_or_never_ends_delays_no_later_poll() -> None:
    for fails_after_ms in (0, 300, 2000, 10**6):
        stage = start(8)
        for _ in range(60):
            last = polls(stage)[-1]
            stage.wait(100 * MS)
            if last + fails_after_ms * MS <= stage.now < last + fails_after_ms * MS + 100 * MS:
                stage.play(EndpointsUpdated(UpdateKind.FAILED))
        polled_at = polls(stage)
        assert max(b - a for a, b in pairwise(polled_at)) <= 2500 * MS, fails_after_ms


def test_the_first_answer_ends_polling_and_a_failure_starts_it_anew() -> None:
    stage = start(8)
    stage.servers([], UpdateKind.DELTA)
    count = len(polls(stage))
    stage.wait(20 * S)
    assert len(polls(stage)) == count
    stage.play(EndpointsUpdated(UpdateKind.FAILED))
    stage.wait(900 * MS)
    assert len(polls(stage)) == count + 1
