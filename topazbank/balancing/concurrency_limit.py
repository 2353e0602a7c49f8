"""The adaptive concurrency limit: how many of this balancer's requests the fleet can serve within their objectives.

The limit applies to requests in flight rather than to arrivals, so that it takes effect at once in a surge.  It shrinks
while the median response exceeds its acceptable ratio of the objective, and grows while responses arrive in time.  It
never shrinks below the concurrency recently served in time, which follows from Little's law: a rate times a latency is
a number in flight.
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

FIRST_SIZING_OBJECTIVES: Final = 2.0  # delay of the first sizing, in longest objectives
LIMIT_MIN: Final = 0.1  # a few requests always pass, so that a recovery is detected
LATE_RATIO_ALLOWED: Final = 0.05  # a fleet with a lower ratio of late responses is not overloaded
EVIDENT_OVERLOAD_LATE_RATIO: Final = 0.5  # a ratio of late responses too high for noise, even among a few
BUSY_CPU_RATIO: Final = 0.85  # below this CPU utilisation, the fleet has capacity for more requests
SPARE_CPU_RATIO: Final = 0.4  # the same for a busy balancer, lower since reports lag behind a surge
SATURATED_CPU_RATIO: Final = 0.95  # above this, the fleet is overloaded before any response is late
SHRINK_OBJECTIVES: Final = 0.5  # longest objectives to shrink by a factor of e with no response in time
GROW_OBJECTIVES: Final = 0.2  # longest objectives to grow by a factor of e with all responses in time
GROWTH_MAX: Final = 1.5  # factor at one sizing, since a single estimate may be noise
ADMIT_ALL_UTILISATION: Final = 0.5  # up to this, nothing is shed and the limit does not grow
# Latency counted for a rejected or lost attempt, in objectives: its response would have been very late.
LOST_SPENT_RATIO: Final = 2.0
SIZING_STEP_OBJECTIVES: Final = 0.25  # longest time that one sizing accounts for, in longest objectives


class ConcurrencyLimit:
    """Sizes the limit by response latency."""

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
        """`enabled`: False where each request has its own health checks, which report how full the servers are."""
        self._context = context
        self._servers = servers
        self._load = load
        self._slow_start = slow_start
        self._sparse = sparse
        self._estimator = estimator
        self._enabled = enabled
        self._handshakes_cost = context.settings.prices.handshake > 0.0
        self._sustained = SustainedThroughput(context.longest_objective_us)
        # Sum of the objectives of responses, per microsecond.
        self._served_objectives = DecayingRate(context.longest_objective_us)
        self.limit = math.inf
        self._capacity = 0.0
        self._capacity_due = 0  # time of the next update of `_capacity`
        self.has_shed = False  # whether the limit has shed a request since the last sizing
        self._sized_at = 0
        self._size_from = 0  # time from which response rates are reliable enough to size the limit

    def utilisation(self) -> float:
        """The part of the limit that is in use; may exceed 1.

        A small limit is compared with the mean load over time, since two concurrent requests may be coincidence.
        """
        certainty = min(self.limit / FEW_REQUESTS, 1.0)
        mean = self._load.mean
        return (mean + certainty * (self._load.in_objective - mean)) / self.limit

    def is_crowded(self) -> bool:
        """Whether too many responses are late, or utilisation is high enough for shedding."""
        return self._estimator.late_share >= LATE_RATIO_ALLOWED or self.utilisation() > ADMIT_ALL_UTILISATION

    def begin_at(self, limit: float) -> None:
        """Start with a limit after the first health checks have shown that the servers are full."""
        self.limit = limit
        self._sized_at = self._size_from = self._context.now
        self._estimator.assume_at_capacity(self._context.now)

    def delivered(self, objective_us: int, elapsed_us: int) -> None:
        """Count a response, with its latency objective and its latency in microseconds."""
        now = self._context.now
        self._served_objectives.add(now, objective_us)
        if elapsed_us <= objective_us:
            self._sustained.note_timely_response(now, objective_us)

    def observe(self, spent_ratio: float) -> None:
        """Record a response's latency, as a ratio of its objective, and resize the limit."""
        now = self._context.now
        self._sparse.responded(spent_ratio)
        if self._estimator.floor_ratio is None and self.limit == math.inf:
            self._size_from = now + int(FIRST_SIZING_OBJECTIVES * self._context.longest_objective_us)
        unloaded = self._load.in_objective <= ADMIT_ALL_UTILISATION * self.limit
        self._estimator.add_latency(now, spent_ratio, unloaded)
        self.resize()

    def resize(self) -> None:
        """Shrink or grow the limit by how far the fleet is above or below its capacity."""
        if not self._enabled:
            return
        cpu_excess = self._cpu_excess()
        is_early = self._context.now < self._size_from
        # Excess requests also open connections, which cost handshakes.
        opens_costly_connections = self._handshakes_cost and cpu_excess > 0.0
        if is_early and not self._is_clearly_overloaded() and not opens_costly_connections:
            return  # all connections are new and few responses are counted, so late ones may be noise
        elapsed_us = self._start_sizing()
        acceptable_ratio = self._estimator.acceptable_ratio(self._load.uncertainty())
        excess = self._fleet_excess(cpu_excess, opens_costly_connections, is_early)
        saturated = (opens_costly_connections and is_early) or self._is_saturated()
        if excess > 0.0 and self._estimator.late_share < LATE_RATIO_ALLOWED and not saturated:
            return  # slower than usual, but still in time
        if excess > 0.0:
            self.limit = min(
                self.limit, max(self._load.in_objective, self._load.mean / ADMIT_ALL_UTILISATION)
            )
        elif not self.has_shed:
            return  # nothing was shed, so there is no evidence that the limit is too small
        self.has_shed = False
        self._adjust_limit(excess, acceptable_ratio, elapsed_us)

    def _cpu_excess(self) -> float:
        """How far reported CPU utilisation exceeds BUSY_CPU_RATIO: 1 at full utilisation, -1 without any report."""
        cpu_ratio = self._estimator.cpu_utilization
        return -1.0 if cpu_ratio is None else (cpu_ratio - BUSY_CPU_RATIO) / (1.0 - BUSY_CPU_RATIO)

    def _is_clearly_overloaded(self) -> bool:
        return (
            self._estimator.late_share >= EVIDENT_OVERLOAD_LATE_RATIO or self._estimator.is_overload_evident()
        )

    def _is_saturated(self) -> bool:
        return (
            self._estimator.cpu_utilization or 0.0
        ) >= SATURATED_CPU_RATIO or self._estimator.is_overload_evident()

    def _start_sizing(self) -> float:
        """Record the time of this sizing, and return the time since the last one in microseconds, capped."""
        span_us = self._load.averaging_factor() * self._context.longest_objective_us
        elapsed_us = min(self._context.now - self._sized_at, span_us * SIZING_STEP_OBJECTIVES)
        self._sized_at = self._context.now
        return elapsed_us

    def _fleet_excess(self, cpu_excess: float, opens_costly_connections: bool, is_early: bool) -> float:
        """How far the fleet is above its capacity: 1 when every response is slow, -1 when none is."""
        excess = self._estimator.overload_excess()
        cpu_ratio = self._estimator.cpu_utilization
        if cpu_ratio is not None and (self._load.averaging_factor() > 1.0 or cpu_ratio < SPARE_CPU_RATIO):
            # Late responses from servers with idle CPUs indicate a few slow servers, broken connections or a stall of
            # this process rather than too many requests.  Shedding would only cause clients to retry.  A busy balancer
            # relies on responses, which arrive sooner than reports.
            excess = min(excess, cpu_excess)
        excess_min = -1.0
        if opens_costly_connections:
            excess_min = cpu_excess if is_early else 0.0
        return max(excess_min, min(excess, 1.0))

    def _adjust_limit(self, excess: float, acceptable_ratio: float, elapsed_us: float) -> None:
        """Change the limit for an excess over this time, but not below the concurrency served in time."""
        now, objective_us = self._context.now, self._context.longest_objective_us
        time_constant_objectives = SHRINK_OBJECTIVES if excess > 0.0 else GROW_OBJECTIVES
        change = min(math.exp(-excess * elapsed_us / (time_constant_objectives * objective_us)), GROWTH_MAX)
        self._served_objectives.set_window_us(self._load.averaging_factor() * objective_us)
        served = acceptable_ratio * self._served_objectives.per_us(now)
        sustained = acceptable_ratio * self._sustained.admissible_load(now, self._ready_capacity())
        self.limit = max(self.limit * change, min(max(served, sustained), self.limit), LIMIT_MIN)

    def _ready_capacity(self) -> float:
        """The nominal capacity of ready servers, less during warm-up; updated once a heartbeat."""
        if self._context.now >= self._capacity_due:
            self._capacity_due = self._context.now + self._context.stall.heartbeat_interval_us
            usable = [server for server in self._servers.ready if server.ejected_until is None]
            self._capacity = sum(
                server.nominal_capacity * self._slow_start.warmth(server) for server in usable
            )
        return self._capacity
