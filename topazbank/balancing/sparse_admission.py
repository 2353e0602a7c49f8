"""Admission control at a low request rate.

Compares counts of requests answered in time and late, since ratios over a few requests are mostly noise.
"""

from __future__ import annotations

from typing import Final

from topazbank.balancing.context import DecisionContext
from topazbank.balancing.load import FEW_REQUESTS, OwnLoad
from topazbank.estimation.decaying_sum import DecayingRate
from topazbank.estimation.load_estimator import LoadEstimator

WINDOW_OBJECTIVES: Final = 4.0  # counting window, in multiples of the longest objective
CAPACITY_MARGIN: Final = 1.2  # requests admitted for each request answered in time
SHED_SLOPE: Final = (
    2.0  # shed probability is this times the excess at the lowest priority, half at the median
)
PRIOR_IN_TIME: Final = 2.0  # added to the count of responses in time, since lower counts are mostly noise
IDLE_CPU_RATIO: Final = 0.6  # below this CPU utilisation, late responses are due to a few slow servers


class SparseAdmission:
    """Sheds requests of a balancer with too few of them to size a concurrency limit."""

    def __init__(self, context: DecisionContext, load: OwnLoad, estimator: LoadEstimator) -> None:
        self._context = context
        self._load = load
        self._estimator = estimator
        self._window_us = WINDOW_OBJECTIVES * context.longest_objective_us
        self._in_time = DecayingRate(self._window_us)
        self._late = DecayingRate(self._window_us)
        self._shed = DecayingRate(self._window_us)

    def is_sparse(self) -> bool:
        """Whether the request rate is too low to size a concurrency limit."""
        now, objective_us = self._context.now, self._context.longest_objective_us
        expected_in_flight = self._load.arrivals.per_us(now) * objective_us
        return max(expected_in_flight, self._load.in_objective) < FEW_REQUESTS / 2

    def responded(self, spent_ratio: float) -> None:
        """Count a response; `spent_ratio`: its latency as a ratio of its objective."""
        (self._in_time if spent_ratio <= 1.0 else self._late).add(self._context.now, 1.0)

    def timed_out(self) -> None:
        """Count a request that received no response in time."""
        self._late.add(self._context.now, 1.0)

    def sheds(self, priority_rank: float) -> bool:
        """Whether to shed a request; `priority_rank`: the share of traffic with a lower priority."""
        cpu_ratio = self._estimator.cpu_utilization
        if cpu_ratio is not None and cpu_ratio < IDLE_CPU_RATIO:
            return False
        now = self._context.now
        in_time = self._in_time.per_us(now) * self._window_us + PRIOR_IN_TIME
        late_or_shed = (self._late.per_us(now) + self._shed.per_us(now)) * self._window_us
        # Requests in flight indicate a surge before any is late.  On their own they may be just a burst.
        offered = in_time + late_or_shed + min(late_or_shed, 1.0) * self._load.in_objective
        excess = 1.0 - CAPACITY_MARGIN * in_time / offered
        if excess > 0.0 and self._context.random.random() < SHED_SLOPE * excess * (1.0 - priority_rank):
            self._shed.add(now, 1.0)
            return True
        return False
