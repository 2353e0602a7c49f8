"""Load shedding of new connections while the CPU is overloaded; no I/O.

Guarantee: a process closes at most one in 250 accepted connections unread, and at most two in one burst.  This costs
a twentieth of rejecting a request, but the client receives no response; the platform tolerates one in 200.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

SWEEP_DELAY_S_MAX: Final = 0.04  # a longer delay of a sweep indicates CPU overload
_ACCEPTED_PER_SHED: Final = 250.0
_SHED_ALLOWANCE_MAX: Final = 2.0  # connections; limits a burst after a period without shedding
_BUSY_MIN: Final = 32.0  # connections with work; below this number nothing is shed
_DECREASE_RATIO: Final = 0.8  # applied to `busy_max` after a late sweep
_INCREASE_RATIO: Final = 1.1  # applied to `busy_max` after a sweep on time


class ConnectionShedding:
    """Lowers the limit on connections with work while sweeps are late, and sheds new connections above it."""

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self.busy_max = float(max_connections)  # current limit on connections with work
        self.shed_allowance = 0.0  # number of connections that may be shed now

    def set_max_connections(self, max_connections: int) -> None:
        """Set the upper bound of `busy_max`."""
        self._max_connections = max_connections
        self.busy_max = min(self.busy_max, float(max_connections))

    def record_sweep(self, is_late: bool) -> None:
        """Adjust `busy_max` after a periodic sweep."""
        self.busy_max *= _DECREASE_RATIO if is_late else _INCREASE_RATIO
        self.busy_max = max(_BUSY_MIN, min(self.busy_max, self._max_connections))

    def should_shed(self, count_busy: Callable[[], int]) -> bool:
        """Whether to close a newly accepted connection unread; `count_busy`: counts other connections with work."""
        self.shed_allowance = min(self.shed_allowance + 1.0 / _ACCEPTED_PER_SHED, _SHED_ALLOWANCE_MAX)
        if self.shed_allowance < 1.0 or count_busy() < self.busy_max:
            return False
        self.shed_allowance -= 1.0
        return True
