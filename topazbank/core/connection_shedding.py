"""Closes a few new connections unread while the CPU cannot keep up; no I/O.

Promise: of the connections that a process accepts, at most one in 250 is closed unread, and at most two at a time.  It
costs a twentieth of rejecting a request, but its client gets no answer; the platform tolerates one in 200.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

SWEEP_DELAY_S_MAX: Final = 0.04  # a sweep later than this shows that the CPU cannot keep up
_ACCEPTED_PER_SHED: Final = 250.0
_SHED_SAVED_MAX: Final = 2.0  # connections that may be shed at a time, having been saved up
_BUSY_MIN: Final = 32.0  # connections with work that are always tolerated
_DECREASE_RATIO: Final = 0.8  # of the tolerated connections with work, after a late sweep
_INCREASE_RATIO: Final = 1.1  # after a sweep in time


class ConnectionShedding:
    """Tolerates fewer connections with work while sweeps are late, and sheds new ones beyond that number."""

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self.busy_max = float(max_connections)  # connections with work that are tolerated now
        self.shed_saved = 0.0  # connections that may be shed now

    def set_max_connections(self, max_connections: int) -> None:
        """Tolerate no more connections than `max_connections` from now on."""
        self._max_connections = max_connections
        self.busy_max = min(self.busy_max, float(max_connections))

    def sweep_ran(self, late: bool) -> None:
        """Adapt to whether a periodic sweep ran late."""
        self.busy_max *= _DECREASE_RATIO if late else _INCREASE_RATIO
        self.busy_max = max(_BUSY_MIN, min(self.busy_max, self._max_connections))

    def sheds(self, count_busy: Callable[[], int]) -> bool:
        """Whether to close a connection just accepted, unread; `count_busy`: how many others have work."""
        self.shed_saved = min(self.shed_saved + 1.0 / _ACCEPTED_PER_SHED, _SHED_SAVED_MAX)
        if self.shed_saved < 1.0 or count_busy() < self.busy_max:
            return False
        self.shed_saved -= 1.0
        return True
