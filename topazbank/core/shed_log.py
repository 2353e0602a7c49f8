"""Logs the requests that the balancer refused without an attempt, with the estimates that explain why.

At most one line an interval: overload refuses many requests in a short time.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import Final

from topazbank.balancing.snapshot import BalancerSnapshot

log = logging.getLogger(__name__)

_INTERVAL_S: Final = 1.0  # between two lines


class ShedLog:
    """Counts refused requests between the lines of the log."""

    def __init__(self, snapshot: Callable[[], BalancerSnapshot]) -> None:
        self._snapshot = snapshot
        self._unlogged = 0
        self._logged_at = -math.inf

    def record(self, call_id: str, now: float) -> None:
        """Record a refused request; `now`: seconds on the event loop's clock."""
        self._unlogged += 1
        if now < self._logged_at + _INTERVAL_S:
            return
        state = self._snapshot()
        log.info(
            "request %s: refused without an attempt (%d since the last line): %d of %d servers ready, "
            "limit %.1f, in flight %d (mean %.1f), slow %.2f, overload %.2f, late %.2f, median %.2f",
            call_id,
            self._unlogged,
            state.ready - state.ejected,
            state.ready,
            state.concurrency_limit,
            state.in_objective,
            state.mean_in_objective,
            state.slow_share,
            state.overload_share,
            state.late_share,
            state.median_ratio,
        )
        self._unlogged = 0
        self._logged_at = now
