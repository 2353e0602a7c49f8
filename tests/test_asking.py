"""When a sidecar asks for the list: alone among few, and among thousands that began at the same moment."""

from __future__ import annotations

import pytest
from helpers import MS, S, Stage, names, settings

from topazbank.interface import Follow, ListedServer, ListKind, ServersListed


def asked(stage: Stage) -> list[int]:
    return [at for at, each in stage.log if isinstance(each, Follow) and each.wanted]


def begin(sidecars: int, seed: int = 1) -> Stage:
    stage = Stage(settings(group_size=sidecars), seed=seed)
    stage.servers([ListedServer(each, "east") for each in names(4)], ListKind.REMEMBERED)
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
    assert max(first) <= 5500 * MS
    busiest = max(sum(at <= each < at + S for each in first) for at in range(0, 6 * S, 100 * MS))
    assert busiest < 70  # of 200; evenly it would be 36


@pytest.mark.parametrize(("sidecars", "most_s"), [(40, 2.5), (5000, 8.0)])
def test_calls_that_fail_are_made_again_in_time_and_no_more_often_than_the_fleet_bears(
    sidecars: int, most_s: float
) -> None:
    stage = begin(sidecars)
    stage.wait(6 * S)
    waits = []
    for _ in range(12):
        failed = stage.now
        stage.play(ServersListed(ListKind.FAILED))
        before = len(asked(stage))
        while len(asked(stage)) == before:
            stage.wait(50 * MS)
        waits.append(asked(stage)[-1] - failed)
        stage.now = asked(stage)[-1]
    assert max(waits) <= most_s * S
    assert min(waits[4:]) >= 0.5 * most_s * S  # from the fifth on all are the longest, with chance
    assert max(waits) < stage.balancer._settings.rules.ask_within_us
