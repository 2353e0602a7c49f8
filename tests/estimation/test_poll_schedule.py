"""When a sidecar asks for the list: alone among few, and among thousands that began at the same moment."""

from __future__ import annotations

from itertools import pairwise

import pytest
from helpers import MS, S, Stage, names, settings

from topazbank.balancing.actions import WatchEndpoints
from topazbank.balancing.events import EndpointsUpdated, ServerDescription, UpdateKind
from topazbank.estimation import poll_schedule


def asked(stage: Stage) -> list[int]:
    return [at for at, each in stage.log if isinstance(each, WatchEndpoints) and each.wanted]


def begin(sidecars: int, seed: int = 1) -> Stage:
    stage = Stage(settings(fleet_size=sidecars), seed=seed)
    stage.servers([ServerDescription(each, "east") for each in names(4)], UpdateKind.CACHED)
    return stage


def test_in_a_small_fleet_the_list_is_asked_for_at_once() -> None:
    stage = begin(40)
    assert asked(stage) == [stage.now]


def test_thousands_that_begin_at_once_spread_their_first_calls_and_serve_meanwhile() -> None:
    first = []
    for seed in range(200):
        stage = begin(5000, seed)
        began = stage.now
        assert stage.sends(stage.request())
        stage.wait(6 * S)
        first.append(asked(stage)[0] - began)
    # Longer, and what their lists are of before counts as told before two calls can have failed.
    assert max(first) <= 3000 * MS
    busiest = max(sum(at <= each < at + S for each in first) for at in range(0, 6 * S, 100 * MS))
    assert busiest < 100  # of 200; evenly it would be 67


@pytest.mark.parametrize(("sidecars", "most_s"), [(40, 2.5), (200, 3.0), (5000, 3.0)])
def test_calls_that_fail_are_made_again_in_time_and_no_more_often_than_the_fleet_bears(
    sidecars: int, most_s: float
) -> None:
    stage = begin(sidecars)
    stage.wait(6 * S)
    waits = []
    for _ in range(12):
        failed = stage.now
        stage.play(EndpointsUpdated(UpdateKind.FAILED))
        before = len(asked(stage))
        while len(asked(stage)) == before:
            stage.wait(50 * MS)
        waits.append(asked(stage)[-1] - failed)
        stage.now = asked(stage)[-1]
    assert min(b - a for a, b in pairwise(asked(stage))) >= most_s * S / 6 - 50 * MS  # also the first
    assert max(waits) <= most_s * S
    assert min(waits[4:]) >= 0.5 * most_s * S  # from the fifth on all are the longest, with chance
    assert max(waits) < stage.balancer._settings.rules.poll_within_us


@pytest.mark.parametrize("sidecars", [1, 40, 200, 3_000, 100_000])
@pytest.mark.parametrize("allowed_s", [0.5, 10, 60, 3600])
def test_no_fleet_and_no_setting_lets_two_calls_miss_when_news_are_due(
    sidecars: int, allowed_s: float
) -> None:
    # Just behind a call that was in vain discovery is back; the next one may be turned away for its turn's sake.
    allowed_us = int(allowed_s * S)
    gaps_us = [poll_schedule.retry_interval_us(begun, sidecars, allowed_us, 0.0) for begun in range(12)]
    assert 2 * max(gaps_us) <= poll_schedule.UPDATE_DEADLINE_S * S
    assert max(gaps_us) <= max(poll_schedule.INTERVAL_RATIO_LARGE_FLEET * allowed_us, 1)
    assert gaps_us == sorted(gaps_us) and gaps_us[0] > 0
    first_us = poll_schedule.first_poll_spread_us(sidecars, allowed_us)
    assert first_us + gaps_us[0] + gaps_us[1] <= poll_schedule.UPDATE_DEADLINE_S * S


def test_a_call_that_fails_late_or_never_ends_puts_off_none() -> None:
    for fails_after_ms in (0, 300, 2000, 10**6):
        stage = begin(8)
        for _ in range(60):
            last = asked(stage)[-1]
            stage.wait(100 * MS)
            if last + fails_after_ms * MS <= stage.now < last + fails_after_ms * MS + 100 * MS:
                stage.play(EndpointsUpdated(UpdateKind.FAILED))
        calls = asked(stage)
        assert max(b - a for a, b in pairwise(calls)) <= 2500 * MS, fails_after_ms


def test_the_first_answer_ends_the_calls_and_a_failure_begins_them_anew() -> None:
    stage = begin(8)
    stage.servers([], UpdateKind.DELTA)
    count = len(asked(stage))
    stage.wait(20 * S)
    assert len(asked(stage)) == count
    stage.play(EndpointsUpdated(UpdateKind.FAILED))
    stage.wait(900 * MS)
    assert len(asked(stage)) == count + 1
