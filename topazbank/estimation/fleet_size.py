"""The number of sidecars in the cluster, as this process may safely assume it; no I/O.

Promise: `upper_bound` is never below the number of sidecars that may be running, so that a quota divided by it is
never exceeded by all of them together.  Without a membership protocol it is the number in the settings at the start;
this assumes that those settings are right.
"""

from __future__ import annotations

from collections.abc import Callable


class FleetSize:
    """The assumed size of the cluster, and notifications of sidecars that left it."""

    __slots__ = ("_departure_listeners", "upper_bound")

    def __init__(self, configured_size: int) -> None:
        """`configured_size`: sidecars by the settings, this one included."""
        self.upper_bound = max(configured_size, 1)
        self._departure_listeners: list[Callable[[int], None]] = []

    def on_departure(self, listener: Callable[[int], None]) -> None:
        """Call `listener` with the peer number of each sidecar that leaves the cluster."""
        self._departure_listeners.append(listener)

    def notify_departed(self, peer_number: int) -> None:
        """Tell all listeners that the sidecar of this number in `peers` has left the cluster."""
        for listener in self._departure_listeners:
            listener(peer_number)
