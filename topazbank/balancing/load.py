"""The load that this balancer puts on the fleet, and how far few requests can be trusted to tell of it."""

from __future__ import annotations

import math
from typing import Final

from topazbank.balancing.context import DecisionContext
from topazbank.balancing.requests import Attempt
from topazbank.balancing.servers import Server
from topazbank.estimation.decaying_sum import DecayingRate

SUBSET_IDLE_SIZE: Final = 4.0  # servers that an idle balancer selects from: a choice, yet few enough to know
SUBSET_PER_REQUEST: Final = 1.0  # and one more for each request in flight: as many servers may be idle
FEW_REQUESTS: Final = 8.0  # with fewer own requests in flight their number is chance for a good part
AVERAGING_FACTOR_MAX: Final = (
    4.0  # the fewer, the longer loads are averaged and the larger the steps, up to this
)
RATE_WINDOWS: Final = 2.0  # arrival rates are averaged over this many overload windows


class OwnLoad:
    """This balancer's attempts in flight, their mean over time, and the arrival rate."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.pending = 0  # attempts in flight
        # Attempts in flight within their latency objective, at servers that are not ejected.
        self.in_objective = 0
        self.mean = 0.0  # of `in_objective` over time
        self._followed_at = 0
        self.arrivals = DecayingRate(RATE_WINDOWS * context.settings.rules.overload_window_us)

    def follow(self, concurrency_limit: float) -> None:
        """Bring the mean up to now.  A mean far beyond the limit would delay relief."""
        lapse = self._context.now - self._followed_at
        if lapse > 0:
            self._followed_at = self._context.now
            span_us = self.averaging_factor() * self._context.longest_objective_us
            self.mean = min(self.mean, max(self.in_objective, concurrency_limit, 1.0))
            self.mean += (self.in_objective - self.mean) * (1.0 - math.exp(-lapse / span_us))

    def averaging_factor(self) -> float:
        """How much longer than in a busy balancer it takes to tell a change from chance, up to AVERAGING_FACTOR_MAX."""
        return max(1.0, min(FEW_REQUESTS / max(self.mean, 1e-9), AVERAGING_FACTOR_MAX))

    def uncertainty(self) -> float:
        """How far the median of a few responses is chance, 0 to 1."""
        return (self.averaging_factor() - 1.0) / (AVERAGING_FACTOR_MAX - 1.0)

    def subset_size(self) -> int:
        """How many servers this balancer selects from.

        Guards against a large fleet seen from many small balancers: each would hold a connection to each server,
        more than servers accept, and learn next to nothing of any.  A busy balancer selects from all.
        """
        return int(SUBSET_IDLE_SIZE + SUBSET_PER_REQUEST * self.mean)

    def attempt_sent(self, server: Server) -> None:
        """Count an attempt that leaves."""
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
        """An attempt has ended, or its objective has passed: it no longer counts as load on the fleet."""
        if attempt.in_objective:
            attempt.in_objective = False
            attempt.server.in_objective -= 1
            self.in_objective -= attempt.server.ejected_until is None

    def exclude(self, server: Server) -> None:
        """A server is ejected: what is in flight there is no load on the others."""
        self.in_objective -= server.in_objective

    def include(self, server: Server) -> None:
        """A server is not ejected any more."""
        self.in_objective += server.in_objective
