"""The assumed size of the cluster, and notifications of sidecars that left it."""

from __future__ import annotations

from topazbank.estimation.fleet_size import FleetSize


def test_a_fleet_has_at_least_this_sidecar_whatever_the_settings_say() -> None:
    # A quota divided by a size of zero would fail every request.
    assert FleetSize(0).upper_bound == 1


def test_every_listener_is_notified_of_a_departure() -> None:
    # A part that misses the departure would go on counting the requests of a sidecar that is no longer there.
    fleet_size = FleetSize(3)
    first: list[int] = []
    second: list[int] = []
    fleet_size.on_departure(first.append)
    fleet_size.on_departure(second.append)
    fleet_size.notify_departed(2)
    assert first == second == [2]
