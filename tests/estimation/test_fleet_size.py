"""Tests of the upper bound on the cluster's size and of notifications of departed sidecars."""

from __future__ import annotations

from topazbank.estimation.fleet_size import FleetSize


def test_the_upper_bound_is_at_least_one_for_any_configured_size() -> None:
    # Division of a quota by a size of zero would fail every request.
    assert FleetSize(0).upper_bound == 1


def test_every_listener_is_notified_of_a_departure() -> None:
    # A component that misses the departure would keep counting the requests of a sidecar that no longer runs.
    fleet_size = FleetSize(3)
    first_listener_calls: list[int] = []
    second_listener_calls: list[int] = []
    fleet_size.on_departure(first_listener_calls.append)
    fleet_size.on_departure(second_listener_calls.append)
    fleet_size.notify_departed(2)
    assert first_listener_calls == second_listener_calls == [2]
