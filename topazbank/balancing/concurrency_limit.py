"""The adaptive concurrency limit: how many of this balancer's requests the fleet bears within their objectives.

The limit is on requests in flight, not on arrivals, so that a surge meets it at once.  It shrinks while the typical
response takes more than its allowed part of the objective, and grows while responses come in time.  It never falls
below what was lately answered in time, by Little's law: a rate times a time is a number in flight.
"""

from __future__ import annotations

import math
from typing import Final

from topazbank.balancing.context import DecisionContext
from topazbank.balancing.load import FEW_REQUESTS, OwnLoad
from topazbank.balancing.servers import ServerTable
from topazbank.balancing.slow_start import SlowStart
from topazbank.balancing.sparse_admission import SparseAdmission
from topazbank.estimation.decaying_sum import DecayingRate
from topazbank.estimation.load_estimator import LoadEstimator
from topazbank.estimation.sustained_throughput import SustainedThroughput

FIRST_SIZING_OBJECTIVES: Final = (
    2.0  # the limit is first sized this many of the longest objective after the start
)
LIMIT_MIN: Final = 0.1  # a trickle passes at any time, so that relief is seen
LATE_RATIO_ALLOWED: Final = 0.05  # a fleet that answers all but this part in time is not overloaded
PLAIN_OVERLOAD_LATE_RATIO: Final = 0.5  # this part late is no chance, however few responses there are
BUSY_CPU_RATIO: Final = 0.85  # below this CPU utilisation there is room for more
SPARE_CPU_RATIO: Final = 0.4  # below it a busy balancer believes so too: reports lag behind a surge
SATURATED_CPU_RATIO: Final = 0.95  # above it the fleet is overloaded before late responses say so
SHRINK_OBJECTIVES: Final = (
    0.5  # with none in time the limit shrinks e-fold in this many of the longest objective
)
GROW_OBJECTIVES: Final = 0.2  # with all in time it grows e-fold in this many
GROWTH_MAX: Final = 1.5  # at one sizing: a single verdict may be chance
FREE_RATIO: Final = 0.5  # up to this part of the limit all are admitted, and the limit does not grow
LOST_SPENT_RATIO: Final = (
    2.0  # what a rejected or lost attempt counts as, in objectives: it would have been late by far
)
SIZING_STEP_OBJECTIVES: Final = 0.25  # one sizing accounts for no more time than this many objectives


class ConcurrencyLimit:
    """Sizes the limit by how long responses take."""

    def __init__(
        self,
        context: DecisionContext,
        servers: ServerTable,
        load: OwnLoad,
        slow_start: SlowStart,
        sparse: SparseAdmission,
        estimator: LoadEstimator,
        enabled: bool,
    ) -> None:
        """`enabled`: off where health checks for each request tell how full the servers are."""
        self._context = context
        self._servers = servers
        self._load = load
        self._slow_start = slow_start
        self._sparse = sparse
        self._estimator = estimator
        self._enabled = enabled
        self._handshakes_cost = context.settings.prices.handshake > 0.0
        self._sustained = SustainedThroughput(context.longest_objective_us)
        self._served_objectives = DecayingRate(
            context.longest_objective_us
        )  # objectives of responses, per time
        self.limit = math.inf
        self._capacity = 0.0
        self._capacity_due = 0  # when it is looked at again
        self.has_shed = False  # whether the limit kept anything out since it was last sized
        self._sized_at = 0
        self._size_from = 0  # from when on rates are full enough to go by

    def utilisation(self) -> float:
        """The part of the limit that is in use; may be above 1.

        A small limit goes by the mean over time, as two requests at once are chance.
        """
        certainty = min(self.limit / FEW_REQUESTS, 1.0)
        mean = self._load.mean
        return (mean + certainty * (self._load.in_objective - mean)) / self.limit

    def is_crowded(self) -> bool:
        """Whether responses come late, or more of the limit is in use than may be without shedding."""
        return self._estimator.late_share >= LATE_RATIO_ALLOWED or self.utilisation() > FREE_RATIO

    def begin_at(self, limit: float) -> None:
        """Begin with a limit, where a first look at the servers has shown that they are full."""
        self.limit = limit
        self._sized_at = self._size_from = self._context.now
        self._estimator.assume_at_capacity(self._context.now)

    def delivered(self, objective_us: int, elapsed_us: int) -> None:
        """Learn from a response: its objective and how long it took, microseconds."""
        now = self._context.now
        self._served_objectives.add(now, objective_us)
        if elapsed_us <= objective_us:
            self._sustained.note_timely_response(now, objective_us)

    def observe(self, spent_ratio: float) -> None:
        """Take the part of its objective that a response took, and size the limit by it."""
        now = self._context.now
        self._sparse.responded(spent_ratio)
        if self._estimator.floor_ratio is None and self.limit == math.inf:
            self._size_from = now + int(FIRST_SIZING_OBJECTIVES * self._context.longest_objective_us)
        unloaded = self._load.in_objective <= FREE_RATIO * self.limit
        self._estimator.add_latency(now, spent_ratio, unloaded)
        self.resize()

    def resize(self) -> None:
        """Shrink or grow the limit by how far the typical response is from its allowed part of the objective."""
        if not self._enabled:
            return
        cpu_excess = self._cpu_excess()
        is_early = self._context.now < self._size_from
        costly = self._handshakes_cost and cpu_excess > 0.0  # what is too much costs connections on top
        if is_early and not self._is_plain_overload() and not costly:
            return  # every connection is new and the rates are not full: what is late may be chance
        lapse_us = self._advance()
        level = self._estimator.acceptable_ratio(self._load.uncertainty())
        excess = self._excess(cpu_excess, costly, is_early)
        saturated = (costly and is_early) or self._is_saturated()
        if excess > 0.0 and self._estimator.late_share < LATE_RATIO_ALLOWED and not saturated:
            return  # slower than usual, yet in time
        if excess > 0.0:
            self.limit = min(self.limit, max(self._load.in_objective, self._load.mean / FREE_RATIO))
        elif not self.has_shed:
            return  # nothing was shed, so nothing says that the limit is too small
        self.has_shed = False
        self._apply(excess, level, lapse_us)

    def _cpu_excess(self) -> float:
        """How far reported CPU utilisation is beyond busy: 1 at full, -1 where nothing is reported."""
        cpu_ratio = self._estimator.cpu_utilization
        return -1.0 if cpu_ratio is None else (cpu_ratio - BUSY_CPU_RATIO) / (1.0 - BUSY_CPU_RATIO)

    def _is_plain_overload(self) -> bool:
        return (
            self._estimator.late_share >= PLAIN_OVERLOAD_LATE_RATIO or self._estimator.is_overload_evident()
        )

    def _is_saturated(self) -> bool:
        return (
            self._estimator.cpu_utilization or 0.0
        ) >= SATURATED_CPU_RATIO or self._estimator.is_overload_evident()

    def _advance(self) -> float:
        """The time since the last sizing, microseconds, as far as one sizing may account for it."""
        span_us = self._load.averaging_factor() * self._context.longest_objective_us
        lapse_us = min(self._context.now - self._sized_at, span_us * SIZING_STEP_OBJECTIVES)
        self._sized_at = self._context.now
        return lapse_us

    def _excess(self, cpu_excess: float, costly: bool, is_early: bool) -> float:
        """How far the fleet is beyond what it bears: 1 with nothing in time, -1 with everything."""
        excess = self._estimator.overload_excess()
        cpu_ratio = self._estimator.cpu_utilization
        if cpu_ratio is not None and (self._load.averaging_factor() > 1.0 or cpu_ratio < SPARE_CPU_RATIO):
            # Late responses from servers with idle CPUs tell of a few slow ones, of broken connections or of this
            # process's own lag, not of too many requests: shedding would only bring clients back.  A busy balancer
            # goes by responses, which come sooner than reports.
            excess = min(excess, cpu_excess)
        lowest = -1.0
        if costly:
            lowest = cpu_excess if is_early else 0.0
        return max(lowest, min(excess, 1.0))

    def _apply(self, excess: float, level: float, lapse_us: float) -> None:
        """Change the limit for an excess over this time, but not below what was answered in time."""
        now, objective_us = self._context.now, self._context.longest_objective_us
        objectives = SHRINK_OBJECTIVES if excess > 0.0 else GROW_OBJECTIVES
        change = min(math.exp(-excess * lapse_us / (objectives * objective_us)), GROWTH_MAX)
        self._served_objectives.set_window_us(self._load.averaging_factor() * objective_us)
        served = level * self._served_objectives.per_us(now)
        sustained = level * self._sustained.admissible_load(now, self._ready_capacity())
        self.limit = max(self.limit * change, min(max(served, sustained), self.limit), LIMIT_MIN)

    def _ready_capacity(self) -> float:
        """The nominal capacity that ready servers have by now; looked at once a heartbeat."""
        if self._context.now >= self._capacity_due:
            self._capacity_due = self._context.now + self._context.stall.heartbeat_interval_us
            usable = [each for each in self._servers.ready if each.ejected_until is None]
            self._capacity = sum(each.nominal_capacity * self._slow_start.warmth(each) for each in usable)
        return self._capacity
