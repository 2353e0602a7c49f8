"""The drain's machine, in played time."""

from __future__ import annotations

from topazbank.operations.drain import ACCEPT_S, LINGER_S, Drain, Stage


def serving(longest_s: float = 2.0) -> Drain:
    drain = Drain(longest_s)
    drain.serve()
    return drain


def test_while_it_serves_nothing_is_closed() -> None:
    orders = serving().look(5.0, 7)
    assert orders.ready and orders.listens and not orders.closes and not orders.over


def test_standby_says_no_at_once_and_takes_new_connections_for_as_long_as_they_come() -> None:
    drain = serving()
    assert drain.standby(10.0) is Stage.EMPTYING and not drain.is_ready()
    early = drain.look(10.0 + 0.9 * ACCEPT_S, 3)
    assert early.listens and early.closes and not early.closes_new and not early.over
    assert drain.look(10.0 + ACCEPT_S, 3).closes_new


def test_an_emptied_sidecar_is_never_over_and_serves_again_when_told() -> None:
    drain = serving()
    drain.standby(0.0)
    drain.look(60.0, 0)
    assert drain.stage is Stage.EMPTY and not drain.look(600.0, 0).over
    assert drain.standby(601.0) is Stage.EMPTY
    assert drain.active() is Stage.SERVING and drain.is_ready()
    assert not drain.look(602.0, 0).closes


def test_a_connection_that_comes_late_to_an_empty_sidecar_makes_it_emptying_again() -> None:
    drain = serving()
    drain.standby(0.0)
    drain.look(5.0, 0)
    drain.look(6.0, 1)
    assert drain.stage is Stage.EMPTYING


def test_active_just_after_standby_leaves_no_trace() -> None:
    drain = serving()
    drain.standby(0.0)
    assert drain.active() is Stage.SERVING and drain.active() is Stage.SERVING
    assert drain.look(10.0, 5).ready


def test_a_second_standby_does_not_begin_the_drain_anew() -> None:
    drain = serving()
    drain.standby(0.0)
    drain.standby(ACCEPT_S - 0.01)
    assert drain.look(ACCEPT_S, 1).closes_new


def test_sigterm_is_not_taken_back_and_ends_a_standby_for_good() -> None:
    drain = serving()
    drain.standby(0.0)
    drain.end(1.0, succeeded=False)
    assert drain.active() is Stage.ENDING and drain.standby(1.1) is Stage.ENDING
    assert drain.look(1.0 + ACCEPT_S, 0).over


def test_an_ending_process_waits_for_what_it_holds_and_no_longer_than_it_has() -> None:
    drain = serving(longest_s=2.0)
    drain.end(0.0, succeeded=False)
    assert drain.look(0.1, 0).listens and not drain.look(0.1, 0).over  # connections still come
    assert not drain.look(2.0 + 0.9 * LINGER_S, 1).over
    assert drain.look(2.0 + LINGER_S, 1).over


def test_a_succeeded_process_takes_nothing_new_and_says_yes_for_the_other() -> None:
    drain = serving()
    drain.end(0.0, succeeded=True)
    orders = drain.look(0.0, 2)
    assert orders.ready and drain.is_ready() and not orders.listens and orders.closes
    assert drain.look(0.01, 0).over


def test_an_order_during_the_start_holds_once_it_serves() -> None:
    drain = Drain(1.0)
    assert drain.standby(0.0) is Stage.EMPTYING
    drain.serve()
    assert not drain.is_ready()
