"""Tests of the schedule of endpoint list polls, in small fleets and in fleets of thousands that start together."""

from __future__ import annotations

from itertools import pairwise

import pytest
from helpers import MS, S, Stage, names, settings

from topazbank.balancing.actions import WatchEndpoints
from topazbank.balancing.events import EndpointsUpdated, ServerDescription, UpdateKind
from topazbank.estimation import poll_schedule


def poll_times(stage: Stage) -> list[int]:
    return [time for time, action in stage.log if isinstance(action, WatchEndpoints) and action.wanted]


def start_sidecar(sidecars: int, seed: int = 1) -> Stage:
    stage = Stage(settings(fleet_size=sidecars), seed=seed)
    stage.servers([ServerDescription(name, "east") for name in names(4)], UpdateKind.CACHED)
    return stage


def test_in_a_small_fleet_the_first_poll_is_sent_immediately() -> None:
    stage = start_sidecar(40)
    assert poll_times(stage) == [stage.now]


def test_thousands_of_sidecars_that_start_together_spread_their_first_polls_and_serve_meanwhile() -> None:
    first_poll_delays = []
    for seed in range(200):
        stage = start_sidecar(5000, seed)
        started_at = stage.now
        assert stage.sends(stage.request())
        stage.wait(6 * S)
        first_poll_delays.append(poll_times(stage)[0] - started_at)
    # A release restarts all sidecars, and all of them poll one registry.  Polls must not arrive in one burst.  A spread
    # over more than 3 s would leave no time for two failed polls before the platform counts the sidecars as notified.
    assert max(first_poll_delays) <= 3000 * MS
    busiest = max(
        sum(window_start <= delay < window_start + S for delay in first_poll_delays)
        for window_start in range(0, 6 * S, 100 * MS)
    )
    assert busiest < 100  # out of 200 polls; an even spread would give 67


@pytest.mark.parametrize(("sidecars", "interval_max_s"), [(40, 2.5), (200, 3.0), (5000, 3.0)])
def test_failed_polls_are_retried_in_time_and_no_more_often_than_the_registry_can_respond(
    sidecars: int, interval_max_s: float
) -> None:
    stage = start_sidecar(sidecars)
    stage.wait(6 * S)
    waits = []
    for _ in range(12):
        failed_at = stage.now
        stage.play(EndpointsUpdated(UpdateKind.FAILED))
        count_before = len(poll_times(stage))
        while len(poll_times(stage)) == count_before:
            stage.wait(50 * MS)
        waits.append(poll_times(stage)[-1] - failed_at)
        stage.now = poll_times(stage)[-1]
    # The bound also holds for the first interval.
    assert (
        min(later - earlier for earlier, later in pairwise(poll_times(stage)))
        >= interval_max_s * S / 6 - 50 * MS
    )
    assert max(waits) <= interval_max_s * S
    # From the fifth wait on, each is the longest interval with jitter.
    assert min(waits[4:]) >= 0.5 * interval_max_s * S
    assert max(waits) < stage.balancer._context.settings.rules.poll_within_us


@pytest.mark.parametrize("sidecars", [1, 40, 200, 3_000, 100_000])
@pytest.mark.parametrize("poll_within_s", [0.5, 10, 60, 3600])
def test_two_polls_fit_before_the_update_deadline_for_any_fleet_size_and_setting(
    sidecars: int, poll_within_s: float
) -> None:
    # Discovery recovers just after a failed poll, and rejects the next poll too because its queue is full.
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


def test_a_poll_that_fails_late_or_never_completes_delays_no_later_poll() -> None:
    for fails_after_ms in (0, 300, 2000, 10**6):
        stage = start_sidecar(8)
        for _ in range(60):
            last_poll = poll_times(stage)[-1]
            stage.wait(100 * MS)
            if last_poll + fails_after_ms * MS <= stage.now < last_poll + fails_after_ms * MS + 100 * MS:
                stage.play(EndpointsUpdated(UpdateKind.FAILED))
        polled_at = poll_times(stage)
        assert max(later - earlier for earlier, later in pairwise(polled_at)) <= 2500 * MS, fails_after_ms


def test_the_first_response_ends_polling_and_a_failure_restarts_it() -> None:
    stage = start_sidecar(8)
    stage.servers([], UpdateKind.DELTA)
    count = len(poll_times(stage))
    stage.wait(20 * S)
    assert len(poll_times(stage)) == count
    stage.play(EndpointsUpdated(UpdateKind.FAILED))
    stage.wait(900 * MS)
    assert len(poll_times(stage)) == count + 1
