"""By when a sidecar counts as notified of a change, in the soak's invariants."""

from __future__ import annotations

import pytest

from testbed.fleet.invariants import EndpointNotice
from testbed.soak.update_deadlines import (
    NOTICE_AFTER_OUTAGE_S,
    NOTICE_AFTER_RELOAD_S,
    NOTICE_AFTER_UPGRADE_S,
    RESUME_MAX_S,
    START_MAX_S,
    WATCH_NOTICE_S,
    DisturbanceHistory,
    DrainChange,
    Interval,
    expected_notices,
)


def test_with_an_open_watch_a_sidecar_is_notified_at_once() -> None:
    history = DisturbanceHistory(outages=[Interval(10.0, 20.0), Interval(60.0, 61.0)])
    assert history.notified_at(0, 40.0) == pytest.approx(40.0 + WATCH_NOTICE_S)


@pytest.mark.parametrize(
    ("changed", "due"),
    [
        (9.8, 20.0),
        (15.0, 20.0),
        (20.0, 20.0),
        (22.0, 22.0),
        (9.0, 9.0 + WATCH_NOTICE_S - NOTICE_AFTER_OUTAGE_S),
    ],
)
def test_during_an_outage_the_time_counts_from_its_end_or_the_change(changed: float, due: float) -> None:
    history = DisturbanceHistory(outages=[Interval(10.0, 20.0)])
    assert history.notified_at(0, changed) == pytest.approx(due + NOTICE_AFTER_OUTAGE_S)


def test_outages_that_follow_one_another_add_up() -> None:
    history = DisturbanceHistory(outages=[Interval(10.0, 20.0), Interval(25.0, 30.0)])
    assert history.notified_at(0, 15.0) == pytest.approx(30.0 + NOTICE_AFTER_OUTAGE_S)


def test_a_disturbance_of_one_sidecar_delays_its_own_notice_alone() -> None:
    history = DisturbanceHistory()
    history.reloads[1] += [9.0, 10.1]
    history.upgrades[2].append(9.0)
    history.pauses[3].append(Interval(9.9, 12.0))
    dues = [history.notified_at(each, 10.0) for each in range(4)]
    assert dues == pytest.approx(
        [
            10.0 + WATCH_NOTICE_S,
            10.1 + NOTICE_AFTER_RELOAD_S,
            9.0 + NOTICE_AFTER_UPGRADE_S,
            12.0 + RESUME_MAX_S + WATCH_NOTICE_S,
        ]
    )


def test_a_process_that_starts_is_notified_anew_and_a_drain_that_ends_before_binds_nobody() -> None:
    history = DisturbanceHistory()
    history.starts[0].append(20.0)
    changes = [
        DrainChange(10.0, "n", True),
        DrainChange(40.0, "n", False),
        DrainChange(50.0, "m", True),
        DrainChange(50.2, "m", False),
    ]
    assert expected_notices(changes, history, 1) == [
        EndpointNotice(10.0 + WATCH_NOTICE_S, 0, "n", False),
        EndpointNotice(20.0 - START_MAX_S, 0, "n", True),
        EndpointNotice(20.0 + NOTICE_AFTER_OUTAGE_S, 0, "n", False),
        EndpointNotice(40.0, 0, "n", True),
        EndpointNotice(50.2, 0, "m", True),
    ]


def test_a_notice_due_to_a_former_process_does_not_count_for_the_next() -> None:
    history = DisturbanceHistory(outages=[Interval(9.0, 18.0)])
    history.starts[0].append(22.0)
    assert expected_notices([DrainChange(10.0, "n", True)], history, 1) == [
        EndpointNotice(22.0 - START_MAX_S, 0, "n", True),
        EndpointNotice(22.0 + NOTICE_AFTER_OUTAGE_S, 0, "n", False),
    ]
