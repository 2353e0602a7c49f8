"""Admission where few requests come: by counts of what was answered in time, since shares of few are chance."""

from __future__ import annotations

from typing import Final

from topazbank.balancing.context import DecisionContext
from topazbank.balancing.load import FEW_REQUESTS, OwnLoad
from topazbank.estimation.decaying_sum import DecayingRate
from topazbank.estimation.load_estimator import LoadEstimator

WINDOW_OBJECTIVES: Final = 4.0  # counts are taken over this many of the longest objective
CAPACITY_MARGIN: Final = 1.2  # this many times what was answered in time is admitted
SHED_SLOPE: Final = 2.0  # part that is shed at the median priority, over the excess, is half of this
PRIOR_IN_TIME: Final = 2.0  # requests taken as answered in time beforehand: fewer are chance
IDLE_CPU_RATIO: Final = 0.6  # below this CPU utilisation late responses come of a few slow servers


class SparseAdmission:
    """Sheds requests of a balancer that has too few of them for a concurrency limit to be sized."""

    def __init__(self, context: DecisionContext, load: OwnLoad, estimator: LoadEstimator) -> None:
        self._context = context
        self._load = load
        self._estimator = estimator
        self._window_us = WINDOW_OBJECTIVES * context.longest_objective_us
        self._in_time = DecayingRate(self._window_us)
        self._late = DecayingRate(self._window_us)
        self._shed = DecayingRate(self._window_us)

    def is_sparse(self) -> bool:
        """Whether so few requests come that counts decide."""
        now, objective_us = self._context.now, self._context.longest_objective_us
        expected = self._load.arrivals.per_us(now) * objective_us
        return max(expected, self._load.in_objective) < FEW_REQUESTS / 2

    def responded(self, spent_ratio: float) -> None:
        """Count a response that took this part of its objective."""
        (self._in_time if spent_ratio <= 1.0 else self._late).add(self._context.now, 1.0)

    def timed_out(self) -> None:
        """Count a request that got no response in time."""
        self._late.add(self._context.now, 1.0)

    def sheds(self, priority_rank: float) -> bool:
        """Whether to shed a request; `priority_rank`: the part of the traffic with a lower priority."""
        cpu_ratio = self._estimator.cpu_utilization
        if cpu_ratio is not None and cpu_ratio < IDLE_CPU_RATIO:
            return False
        now = self._context.now
        in_time = self._in_time.per_us(now) * self._window_us + PRIOR_IN_TIME
        missed = (self._late.per_us(now) + self._shed.per_us(now)) * self._window_us
        # What is in flight tells of a surge before any of it is late; by itself it may be a burst and no more.
        offered = in_time + missed + min(missed, 1.0) * self._load.in_objective
        excess = 1.0 - CAPACITY_MARGIN * in_time / offered
        if excess > 0.0 and self._context.random.random() < SHED_SLOPE * excess * (1.0 - priority_rank):
            self._shed.add(now, 1.0)
            return True
        return False
