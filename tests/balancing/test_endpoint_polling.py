"""Schedule of endpoint list polls."""

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


def test_the_endpoint_list_is_not_polled_if_changes_are_pushed() -> None:
    stage = Stage(settings(discovery="pushed"))
    stage.servers(names(2), UpdateKind.CACHED)
    stage.wait(60 * S)
    assert stage.said(WatchEndpoints) == []


def test_failed_polls_are_retried_with_backoff_indefinitely() -> None:
    stage = Stage()
    polled_at = []
    stage.servers(names(2), UpdateKind.CACHED)
    for _ in range(12):
        polled_at.append(stage.now)
        poll_count = len(stage.said(WatchEndpoints))
        stage.play(EndpointsUpdated(UpdateKind.FAILED))
        while len(stage.said(WatchEndpoints)) == poll_count:
            stage.wait(5 * MS)
    intervals = [later - earlier for earlier, later in itertools.pairwise(polled_at)]
    assert max(intervals) < 10 * S / 2
    assert intervals[-1] > 2 * intervals[0]


def test_an_unanswered_poll_is_retried_within_the_required_interval() -> None:
    stage = Stage()
    stage.servers(names(2), UpdateKind.CACHED)
    stage.wait(10 * S)
    times = [at for at, action in stage.log if isinstance(action, WatchEndpoints)]
    assert len(times) > 1
    assert all(later - earlier < 10 * S for earlier, later in itertools.pairwise(times))
