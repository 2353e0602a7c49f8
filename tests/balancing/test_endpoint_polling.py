"""When the endpoint list is polled."""

from __future__ import annotations

import itertools

from helpers import MS, S, Stage, names, settings

from topazbank.balancing.actions import (
    WatchEndpoints,
)
from topazbank.balancing.events import (
    EndpointsUpdated,
    UpdateKind,
)


def test_the_endpoint_list_is_polled_from_the_first_event() -> None:
    stage = Stage()
    stage.servers(names(2), UpdateKind.CACHED)
    assert stage.said(WatchEndpoints) == [WatchEndpoints(True)]


def test_nothing_is_polled_where_changes_are_pushed() -> None:
    stage = Stage(settings(discovery="pushed"))
    stage.servers(names(2), UpdateKind.CACHED)
    stage.wait(60 * S)
    assert stage.said(WatchEndpoints) == []


def test_failed_polls_are_repeated_with_backoff_and_never_given_up() -> None:
    stage = Stage()
    asked = []
    stage.servers(names(2), UpdateKind.CACHED)
    for _ in range(12):
        asked.append(stage.now)
        count = len(stage.said(WatchEndpoints))
        stage.play(EndpointsUpdated(UpdateKind.FAILED))
        while len(stage.said(WatchEndpoints)) == count:
            stage.wait(5 * MS)
    waits = [later - earlier for earlier, later in itertools.pairwise(asked)]
    assert max(waits) < 10 * S / 2
    assert waits[-1] > 2 * waits[0]


def test_a_poll_that_is_never_answered_is_repeated_in_time() -> None:
    stage = Stage()
    stage.servers(names(2), UpdateKind.CACHED)
    stage.wait(10 * S)
    times = [at for at, each in stage.log if isinstance(each, WatchEndpoints)]
    assert len(times) > 1
    assert all(later - earlier < 10 * S for earlier, later in itertools.pairwise(times))
