"""How many calls of one connection may be in progress; no I/O, times in seconds on the event loop's clock.

A connection with calls waiting at all times keeps as many in progress as it may.  While the event loop is saturated,
their work delays the requests of all other clients, and makes the servers look slow.  A delayed turn therefore halves
the window of such a connection; without delays the window doubles at a fixed rate.
"""

from __future__ import annotations

import math
from typing import Final

DELAY_S_MAX: Final = 0.02  # a longer delay of a turn indicates a saturated event loop
SIZE_INITIAL: Final = 128.0
SIZE_MIN: Final = 8.0
DOUBLING_S: Final = 0.06
_DECREASE_RATIO: Final = 0.5
_DECREASE_INTERVAL_S: Final = 0.05  # a decrease takes effect once earlier calls are answered
_DOUBLINGS_MAX: Final = 16.0


class CallWindow:
    """The window of one connection; the server limits it further."""

    def __init__(self, now: float) -> None:
        self._base_size = SIZE_INITIAL  # at `_base_at`
        self._base_at = now

    def size(self, now: float) -> float:
        """The number of calls that may be in progress."""
        doublings = (now - self._base_at) / DOUBLING_S
        return self._base_size * math.pow(2.0, min(doublings, _DOUBLINGS_MAX))

    def turn_taken(self, now: float, delay_s: float, in_progress: int) -> None:
        """Observe by how much a turn was delayed while calls waited."""
        if delay_s <= DELAY_S_MAX or now < self._base_at + _DECREASE_INTERVAL_S:
            return
        size = min(self.size(now), float(in_progress))
        self._base_size = max(_DECREASE_RATIO * size, SIZE_MIN)
        self._base_at = now
