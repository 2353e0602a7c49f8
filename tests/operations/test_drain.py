"""The drain's machine, in played time."""

from __future__ import annotations

from topazbank.operations.drain import ACCEPT_AFTER_DRAIN_S, TERMINATION_GRACE_S, Drain, DrainState


def serving(longest_s: float = 2.0) -> Drain:
    drain = Drain(longest_s)
    drain.mark_started()
    return drain


def test_while_it_serves_nothing_is_closed() -> None:
    orders = serving().decide(5.0, 7)
    assert orders.ready and orders.accepts_connections and not orders.closes_idle and not orders.finished


def test_standby_says_no_at_once_and_takes_new_connections_for_as_long_as_they_come() -> None:
    drain = serving()
    assert drain.start_drain(10.0) is DrainState.DRAINING and not drain.is_ready()
    early = drain.decide(10.0 + 0.9 * ACCEPT_AFTER_DRAIN_S, 3)
    assert early.accepts_connections and early.closes_idle and not early.closes_unused and not early.finished
    assert drain.decide(10.0 + ACCEPT_AFTER_DRAIN_S, 3).closes_unused


def test_an_emptied_sidecar_is_never_over_and_serves_again_when_told() -> None:
    drain = serving()
    drain.start_drain(0.0)
    drain.decide(60.0, 0)
    assert drain.state is DrainState.DRAINED and not drain.decide(600.0, 0).finished
    assert drain.start_drain(601.0) is DrainState.DRAINED
    assert drain.cancel_drain() is DrainState.SERVING and drain.is_ready()
    assert not drain.decide(602.0, 0).closes_idle


def test_a_connection_that_comes_late_to_an_empty_sidecar_makes_it_emptying_again() -> None:
    drain = serving()
    drain.start_drain(0.0)
    drain.decide(5.0, 0)
    drain.decide(6.0, 1)
    assert drain.state is DrainState.DRAINING


def test_active_just_after_standby_leaves_no_trace() -> None:
    drain = serving()
    drain.start_drain(0.0)
    assert drain.cancel_drain() is DrainState.SERVING and drain.cancel_drain() is DrainState.SERVING
    assert drain.decide(10.0, 5).ready


def test_a_second_standby_does_not_begin_the_drain_anew() -> None:
    drain = serving()
    drain.start_drain(0.0)
    drain.start_drain(ACCEPT_AFTER_DRAIN_S - 0.01)
    assert drain.decide(ACCEPT_AFTER_DRAIN_S, 1).closes_unused


def test_sigterm_is_not_taken_back_and_ends_a_standby_for_good() -> None:
    drain = serving()
    drain.start_drain(0.0)
    drain.terminate(1.0, succeeded=False)
    assert drain.cancel_drain() is DrainState.TERMINATING and drain.start_drain(1.1) is DrainState.TERMINATING
    assert drain.decide(1.0 + ACCEPT_AFTER_DRAIN_S, 0).finished


def test_an_ending_process_waits_for_what_it_holds_and_no_longer_than_it_has() -> None:
    drain = serving(longest_s=2.0)
    drain.terminate(0.0, succeeded=False)
    assert (
        drain.decide(0.1, 0).accepts_connections and not drain.decide(0.1, 0).finished
    )  # connections still come
    assert not drain.decide(2.0 + 0.9 * TERMINATION_GRACE_S, 1).finished
    assert drain.decide(2.0 + TERMINATION_GRACE_S, 1).finished


def test_a_succeeded_process_takes_nothing_new_and_says_yes_for_the_other() -> None:
    drain = serving()
    drain.terminate(0.0, succeeded=True)
    orders = drain.decide(0.0, 2)
    assert orders.ready and drain.is_ready() and not orders.accepts_connections and orders.closes_idle
    assert drain.decide(0.01, 0).finished


def test_an_order_during_the_start_holds_once_it_serves() -> None:
    drain = Drain(1.0)
    assert drain.start_drain(0.0) is DrainState.DRAINING
    drain.mark_started()
    assert not drain.is_ready()
