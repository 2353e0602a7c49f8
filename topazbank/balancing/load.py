"""The load that this balancer puts on the fleet, and how reliable its estimate is with few requests."""

from __future__ import annotations

import math
from typing import Final

from topazbank.balancing.context import DecisionContext
from topazbank.balancing.requests import Attempt
from topazbank.balancing.servers import Server
from topazbank.estimation.decaying_sum import DecayingRate

# Subset size of an idle balancer: enough servers for a choice, few enough to learn the state of each.
SUBSET_IDLE_SIZE: Final = 4.0
# Servers added to the subset for each request in flight, as that many servers may be idle.
SUBSET_PER_REQUEST: Final = 1.0
# With fewer requests of this balancer in flight, their number is largely random.
FEW_REQUESTS: Final = 8.0
# With few requests, loads are averaged over a longer time and adjusted in larger steps, up to this factor.
AVERAGING_FACTOR_MAX: Final = 4.0
# Arrival rates are averaged over this many overload windows.
RATE_WINDOWS: Final = 2.0


class OwnLoad:
    """This balancer's attempts in flight, their mean over time, and the arrival rate."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.pending = 0  # attempts in flight
        # Attempts in flight whose latency objective has not passed, at servers that are not ejected.
        self.in_objective = 0
        self.mean = 0.0  # time-weighted mean of `in_objective`
        self._mean_updated_at = 0
        self.arrivals = DecayingRate(RATE_WINDOWS * context.settings.rules.overload_window_us)

    def update_mean(self, concurrency_limit: float) -> None:
        """Update the mean up to now, capped because a mean far above the limit would delay recovery."""
        elapsed_us = self._context.now - self._mean_updated_at
        if elapsed_us > 0:
            self._mean_updated_at = self._context.now
            window_us = self.averaging_factor() * self._context.longest_objective_us
            self.mean = min(self.mean, max(self.in_objective, concurrency_limit, 1.0))
            self.mean += (self.in_objective - self.mean) * (1.0 - math.exp(-elapsed_us / window_us))

    def averaging_factor(self) -> float:
        """How much longer than a busy balancer this one must average to separate a change from noise.

        At most AVERAGING_FACTOR_MAX.
        """
        return max(1.0, min(FEW_REQUESTS / max(self.mean, 1e-9), AVERAGING_FACTOR_MAX))

    def uncertainty(self) -> float:
        """How far the median of a few responses is random, from 0 to 1."""
        return (self.averaging_factor() - 1.0) / (AVERAGING_FACTOR_MAX - 1.0)

    def subset_size(self) -> int:
        """How many servers this balancer selects from.

        In a large fleet with many small balancers, selecting from all servers would open more connections than the
        servers accept, and each balancer would learn almost nothing about any server.  A busy balancer selects from
        all of them.
        """
        return int(SUBSET_IDLE_SIZE + SUBSET_PER_REQUEST * self.mean)

    def attempt_sent(self, server: Server) -> None:
        """Count an attempt that is sent."""
        server.in_flight += 1
        server.in_objective += 1
        self.pending += 1
        if server.ejected_until is None:
            self.in_objective += 1

    def attempt_ended(self, attempt: Attempt) -> None:
        """Count an attempt that has ended."""
        attempt.server.in_flight -= 1
        self.pending -= 1
        self.objective_passed(attempt)

    def objective_passed(self, attempt: Attempt) -> None:
        """Stop counting an attempt as load on the fleet, as it has ended or its latency objective has passed."""
        if attempt.in_objective:
            attempt.in_objective = False
            attempt.server.in_objective -= 1
            self.in_objective -= attempt.server.ejected_until is None

    def exclude(self, server: Server) -> None:
        """Stop counting a server's attempts as load on the fleet when it is ejected: they are no load on the others."""
        self.in_objective -= server.in_objective

    def include(self, server: Server) -> None:
        """Resume counting a server's attempts as load on the fleet when its ejection ends."""
        self.in_objective += server.in_objective
