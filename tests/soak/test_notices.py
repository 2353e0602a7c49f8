"""When a sidecar counts as notified, as the soak's judge reckons it."""

from __future__ import annotations

import pytest

from testbed.fleet.invariants import Word
from testbed.soak.notices import (
    AFTER_SIGNAL_S,
    AFTER_TROUBLE_S,
    AFTER_UPGRADE_S,
    STARTS_S,
    WAKES_S,
    WATCHED_S,
    Change,
    History,
    Span,
    words,
)


def test_with_an_open_watch_notice_is_at_once() -> None:
    history = History(troubles=[Span(10.0, 20.0), Span(60.0, 61.0)])
    assert history.notified_at(0, 40.0) == pytest.approx(40.0 + WATCHED_S)


@pytest.mark.parametrize(
    ("changed", "due"),
    [(9.8, 20.0), (15.0, 20.0), (20.0, 20.0), (22.0, 22.0), (9.0, 9.0 + WATCHED_S - AFTER_TROUBLE_S)],
)
def test_while_discovery_is_in_trouble_it_counts_from_its_return_or_the_change(
    changed: float, due: float
) -> None:
    history = History(troubles=[Span(10.0, 20.0)])
    assert history.notified_at(0, changed) == pytest.approx(due + AFTER_TROUBLE_S)


def test_troubles_that_follow_one_another_add_up() -> None:
    history = History(troubles=[Span(10.0, 20.0), Span(25.0, 30.0)])
    assert history.notified_at(0, 15.0) == pytest.approx(30.0 + AFTER_TROUBLE_S)


def test_what_happens_to_one_sidecar_delays_its_own_notice_alone() -> None:
    history = History()
    history.signals[1] += [9.0, 10.1]
    history.upgrades[2].append(9.0)
    history.pauses[3].append(Span(9.9, 12.0))
    dues = [history.notified_at(each, 10.0) for each in range(4)]
    assert dues == pytest.approx(
        [10.0 + WATCHED_S, 10.1 + AFTER_SIGNAL_S, 9.0 + AFTER_UPGRADE_S, 12.0 + WAKES_S + WATCHED_S]
    )


def test_a_process_that_starts_is_notified_anew_and_a_drain_that_ends_before_binds_nobody() -> None:
    history = History()
    history.starts[0].append(20.0)
    changes = [
        Change(10.0, "n", True),
        Change(40.0, "n", False),
        Change(50.0, "m", True),
        Change(50.2, "m", False),
    ]
    assert words(changes, history, 1) == [
        Word(10.0 + WATCHED_S, 0, "n", False),
        Word(20.0 - STARTS_S, 0, "n", True),
        Word(20.0 + AFTER_TROUBLE_S, 0, "n", False),
        Word(40.0, 0, "n", True),
        Word(50.2, 0, "m", True),
    ]


def test_what_a_former_process_would_have_heard_later_is_not_the_next_one_s() -> None:
    history = History(troubles=[Span(9.0, 18.0)])
    history.starts[0].append(22.0)
    assert words([Change(10.0, "n", True)], history, 1) == [
        Word(22.0 - STARTS_S, 0, "n", True),
        Word(22.0 + AFTER_TROUBLE_S, 0, "n", False),
    ]
