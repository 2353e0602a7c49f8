"""Damping of nodes that register and disappear repeatedly; no I/O, time is an argument (seconds, monotonic).

A node that returns FLAP_RETURNS times within FLAP_WINDOW_S is held until it has stayed for FLAP_HOLD_S: meanwhile it
receives no new requests.  A node that returns once is not held.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container

FLAP_RETURNS = 3
FLAP_WINDOW_S = 10.0
FLAP_HOLD_S = 3.0


class FlapDamper:
    """Recent returns by name, and which names are held."""

    def __init__(self) -> None:
        # Pruned by the caller; FLAP_RETURNS times a name.
        self._returned_at: dict[str, deque[float]] = {}
        self._held_until: dict[str, float] = {}  # registered names only

    def node_returned(self, name: str, now: float) -> bool:
        """A node is registered again; return whether it is held from now on."""
        returned_at = self._returned_at.setdefault(name, deque(maxlen=FLAP_RETURNS))
        returned_at.append(now)
        if len(returned_at) < FLAP_RETURNS or returned_at[0] <= now - FLAP_WINDOW_S:
            return False
        self._held_until[name] = now + FLAP_HOLD_S
        return True

    def node_removed(self, name: str) -> None:
        """A node is not registered any more; its returns are still remembered."""
        self._held_until.pop(name, None)

    def is_held(self, name: str, now: float) -> bool:
        """Whether a node is to receive nothing new."""
        return self._held_until.get(name, 0.0) > now

    def release(self, now: float) -> list[str]:
        """End the holds that are over, and name their nodes."""
        released = [name for name, until in self._held_until.items() if until <= now]
        for name in released:
            del self._held_until[name]
        return released

    def next_release_at(self) -> float | None:
        """When the next hold is over; None: no node is held."""
        return min(self._held_until.values(), default=None)

    def prune(self, names: Container[str]) -> None:
        """Forget the returns of all nodes but these."""
        self._returned_at = {name: times for name, times in self._returned_at.items() if name in names}
