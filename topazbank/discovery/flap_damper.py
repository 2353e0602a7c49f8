"""Damping of nodes that register and disappear repeatedly; no I/O, time is an argument (seconds, monotonic).

A node that returns FLAP_RETURNS times within FLAP_WINDOW_S is held until it has stayed registered for FLAP_HOLD_S.
While it is held it receives no new requests.  A node that returns once is not held.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container

FLAP_RETURNS = 3
FLAP_WINDOW_S = 10.0
FLAP_HOLD_S = 3.0


class FlapDamper:
    """Recent returns by node name, and the nodes that are held."""

    def __init__(self) -> None:
        # The last FLAP_RETURNS times by name; the caller limits the names with `prune`.
        self._returned_at: dict[str, deque[float]] = {}
        self._held_until: dict[str, float] = {}  # registered names only

    def node_returned(self, name: str, now: float) -> bool:
        """Record that a node has registered again; return whether it is now held."""
        returned_at = self._returned_at.setdefault(name, deque(maxlen=FLAP_RETURNS))
        returned_at.append(now)
        if len(returned_at) < FLAP_RETURNS or returned_at[0] <= now - FLAP_WINDOW_S:
            return False
        self._held_until[name] = now + FLAP_HOLD_S
        return True

    def node_removed(self, name: str) -> None:
        """End a node's hold, since it is no longer registered; its returns are still remembered."""
        self._held_until.pop(name, None)

    def is_held(self, name: str, now: float) -> bool:
        """Whether a node is held, and so receives no new requests."""
        return self._held_until.get(name, 0.0) > now

    def release(self, now: float) -> list[str]:
        """End the holds that have expired; return the names of their nodes."""
        released = [name for name, held_until in self._held_until.items() if held_until <= now]
        for name in released:
            del self._held_until[name]
        return released

    def next_release_at(self) -> float | None:
        """When the next hold expires; None: no node is held."""
        return min(self._held_until.values(), default=None)

    def prune(self, names: Container[str]) -> None:
        """Forget the returns of all nodes except `names`."""
        self._returned_at = {name: times for name, times in self._returned_at.items() if name in names}
