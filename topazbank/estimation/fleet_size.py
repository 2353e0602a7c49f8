"""An upper bound on the number of sidecars in the cluster; no I/O.

Guarantee: `upper_bound` is never below the number of sidecars that may be running.  If each sidecar uses a quota
divided by it, all sidecars together never exceed the quota.  Without a membership protocol the bound is the number in
the settings at process start, which is assumed to be correct.
"""

from __future__ import annotations

from collections.abc import Callable


class FleetSize:
    """The upper bound on the cluster's size, and listeners for sidecars that leave the cluster."""

    __slots__ = ("_departure_listeners", "upper_bound")

    def __init__(self, configured_size: int) -> None:
        """`configured_size`: the number of sidecars in the settings, including this one."""
        self.upper_bound = max(configured_size, 1)
        self._departure_listeners: list[Callable[[int], None]] = []

    def on_departure(self, listener: Callable[[int], None]) -> None:
        """Register a listener that is called with the peer number of each sidecar that leaves the cluster."""
        self._departure_listeners.append(listener)

    def notify_departed(self, peer_number: int) -> None:
        """Notify all listeners that a sidecar has left the cluster; `peer_number` is its number in `peers`."""
        for listener in self._departure_listeners:
            listener(peer_number)
