"""Load shedding of new connections: only while sweeps are late, and only a small share."""

from __future__ import annotations

from topazbank.core.connection_shedding import ConnectionShedding


def shed_count(shedding: ConnectionShedding, busy: int, accepted: int) -> int:
    return sum(shedding.should_shed(lambda: busy) for _ in range(accepted))


def test_nothing_is_shed_while_sweeps_run_in_time() -> None:
    shedding = ConnectionShedding(100)
    for _ in range(50):
        shedding.record_sweep(is_late=False)
    assert shedding.busy_max == 100
    assert shed_count(shedding, 99, 10_000) == 0


def test_late_sweeps_lower_the_tolerated_work_and_sweeps_in_time_raise_it_again() -> None:
    shedding = ConnectionShedding(1000)
    for _ in range(50):
        shedding.record_sweep(is_late=True)
    assert shedding.busy_max == 32  # the minimum
    assert shed_count(shedding, 31, 10_000) == 0
    for _ in range(50):
        shedding.record_sweep(is_late=False)
    assert shedding.busy_max == 1000


def test_at_most_one_connection_in_250_is_shed_and_two_at_a_time() -> None:
    shedding = ConnectionShedding(1000)
    for _ in range(50):
        shedding.record_sweep(is_late=True)
    assert shed_count(shedding, 500, 249) == 0
    assert shed_count(shedding, 500, 10_000) <= 10_249 / 250
    assert shed_count(shedding, 0, 10_000) == 0
    assert shed_count(shedding, 500, 10) == 2  # the accumulated allowance


def test_a_lower_bound_on_connections_holds_at_once() -> None:
    shedding = ConnectionShedding(1000)
    shedding.set_max_connections(40)
    assert shedding.busy_max == 40
    shedding.record_sweep(is_late=False)
    assert shedding.busy_max == 40
