"""Estimates the load of the fleet from the latency of this sidecar's attempts and from servers' load reports.

Latencies are ratios of the request's latency objective.  The design guards against two failures:

- Late responses reflect past load: see `latency_check`.
- A sidecar that ended an overload by rejecting requests receives too few responses to detect that servers are idle.
  Each estimate therefore moves by the time since its last observation, not only by the number of observations.
  `claim_probe_admission` also admits an occasional request that would otherwise be rejected.

No I/O; times in microseconds.
"""

from __future__ import annotations

from collections import deque

from topazbank.estimation.latency_check import DecayingShare, LatencyCheck

MEMORY_OBJECTIVES = 1.0  # an estimate is outdated after this multiple of the longest latency objective
PROBE_INTERVAL_OBJECTIVES = 0.25  # after this time without a check, one request is admitted as a probe

MEDIAN_STEP_MIN = 0.04  # 25 responses can move the running median over its whole range
MEDIAN_STEP_MAX = 0.16  # limits the influence of a single response, which is noisy, where responses are rare
MEDIAN_RATIO_MAX = 1.0  # the median stops at the objective; from a higher value it would recover too late
LATE_STEP_MIN = 0.02  # the late share covers about the last 50 responses
LATE_STEP_MAX = 0.04  # limits noise where responses are rare, since the late share balances zones
CPU_STEP = 0.1  # the utilisation covers about the last 10 load reports

ACCEPTABLE_RATIO = 0.25  # above this median latency the fleet is overloaded
ACCEPTABLE_RATIO_FEW = 0.33  # applies where few requests are in flight, since the median is noisy
ACCEPTABLE_RATIO_MAX = 0.5  # without this bound a lasting overload would be learned as normal
LATE_VALUE_FACTOR = 0.8  # relative increase of these ratios where late responses keep their full value
FLOOR_MULTIPLE = 1.2  # the acceptable latency is at least this multiple of an idle fleet's latency
FLOOR_RISE_RATIO = 0.02  # rise of the idle latency per response, as a part of MEDIAN_STEP_MIN
FLOOR_RISE_RATIO_SHEDDING = 0.002  # the same while requests are rejected

SLOW_SHARE_AT_CAPACITY = 0.5  # share of slow attempts when the median is at the acceptable latency
OVERLOAD_RATIO = 0.6  # only an overloaded fleet takes longer than this part of the objective
# With this share of attempts above OVERLOAD_RATIO the fleet is overloaded, even before any response is late.
OVERLOAD_SHARE = 0.5
OVERLOAD_CHECKS_MIN = 8  # fewer checks are too noisy to indicate overload
PENDING_CHECKS_MAX = 4096  # per latency objective; above it the oldest checks are dropped and never expire


class LoadEstimator:
    """Running estimates of the fleet's latency, late responses, overload and CPU utilisation."""

    __slots__ = (
        "_acceptable_ratio",
        "_acceptable_ratio_few",
        "_last_latency_at",
        "_last_probe_at",
        "_memory_us",
        "_pending_overload",
        "_pending_slow",
        "cpu_utilization",
        "floor_ratio",
        "late_share",
        "median_ratio",
        "overload_share",
        "slow_share",
    )

    def __init__(self, longest_objective_us: int, late_value_ratio: float = 0.0) -> None:
        """`late_value_ratio`: the part of its value that a late response keeps, averaged over the classes."""
        factor = 1.0 + LATE_VALUE_FACTOR * late_value_ratio
        self._acceptable_ratio = min(ACCEPTABLE_RATIO * factor, ACCEPTABLE_RATIO_MAX)
        self._acceptable_ratio_few = min(ACCEPTABLE_RATIO_FEW * factor, ACCEPTABLE_RATIO_MAX)
        self._memory_us = MEMORY_OBJECTIVES * longest_objective_us
        self._last_latency_at = 0
        self._last_probe_at = 0  # when a request was last admitted as a probe
        # Checks by latency objective, in the order of sending, so that the first check is due first.
        self._pending_slow: dict[int, deque[LatencyCheck]] = {}
        self._pending_overload: dict[int, deque[LatencyCheck]] = {}  # attempts already counted as slow
        self.slow_share = DecayingShare(self._memory_us)  # share of attempts above the acceptable latency
        self.overload_share = DecayingShare(self._memory_us)  # share of attempts above OVERLOAD_RATIO
        self.median_ratio = 0.0  # running median of the latency of responses
        self.late_share = 0.0  # share of responses above their latency objective
        self.floor_ratio: float | None = None  # median latency of an idle fleet; None: no response yet
        self.cpu_utilization: float | None = None  # mean over servers, 0 to 1; None: no report yet

    # -- Latency checks of attempts in flight ---------------------------------------------------------

    def start_check(self, now: int, latency_objective_us: int, uncertainty: float) -> LatencyCheck:
        """Return the check of an attempt that is sent now; for `uncertainty` see `acceptable_ratio`.

        The caller passes the check to `complete_check` when it receives the response.  If the attempt ends without
        information about the load, the caller sets `pending` to False instead.
        """
        check = LatencyCheck(
            now + int(self.acceptable_ratio(uncertainty) * latency_objective_us),
            now + int(OVERLOAD_RATIO * latency_objective_us),
        )
        pending = self._pending_slow.get(latency_objective_us)
        if pending is None:
            pending = self._pending_slow[latency_objective_us] = deque(maxlen=PENDING_CHECKS_MAX)
            self._pending_overload[latency_objective_us] = deque(maxlen=PENDING_CHECKS_MAX)
        pending.append(check)
        return check

    def complete_check(self, now: int, check: LatencyCheck) -> None:
        """Count an attempt with a response as within each threshold whose result is not yet counted."""
        if not check.slow_counted:
            check.slow_counted = True
            self.slow_share.add(now, 0.0)
        if check.pending:
            check.pending = False
            self.overload_share.add(now, 0.0)

    def expire_checks(self, now: int) -> bool:
        """Count the attempts that have exceeded a threshold by now, and return whether there were any."""
        count_before = self.slow_share.count + self.overload_share.count
        for latency_objective_us, pending in self._pending_slow.items():
            while pending and (pending[0].slow_at <= now or not pending[0].pending):
                check = pending.popleft()
                if check.pending:
                    check.slow_counted = True
                    self.slow_share.add(now, 1.0)
                    self._pending_overload[latency_objective_us].append(check)
        for pending in self._pending_overload.values():
            while pending and (pending[0].overload_at <= now or not pending[0].pending):
                check = pending.popleft()
                if check.pending:
                    check.pending = False
                    self.overload_share.add(now, 1.0)
        return self.slow_share.count + self.overload_share.count > count_before

    # -- Overload -------------------------------------------------------------------------------------

    def claim_probe_admission(self, now: int) -> bool:
        """Return whether to admit a request that would otherwise be rejected, because checks have stopped.

        A return of True restarts the probe interval.  A sidecar that rejects all requests receives no responses, so
        that without probes nothing could correct its estimate.
        """
        last_sample_at = max(self.slow_share.updated_at, self._last_probe_at)
        if now - last_sample_at < PROBE_INTERVAL_OBJECTIVES * self._memory_us / MEMORY_OBJECTIVES:
            return False
        self._last_probe_at = now
        return True

    def assume_at_capacity(self, now: int) -> None:
        """Set the initial estimate to a fleet exactly at capacity, filled by other sidecars' requests."""
        self.slow_share.share, self.slow_share.updated_at = SLOW_SHARE_AT_CAPACITY, now

    def overload_excess(self) -> float:
        """Return the load above capacity: 1 if all attempts are slow, 0 at capacity, -1 if no attempt is slow."""
        return (self.slow_share.share - SLOW_SHARE_AT_CAPACITY) / SLOW_SHARE_AT_CAPACITY

    def is_overload_evident(self) -> bool:
        """Return whether enough attempts exceed `OVERLOAD_RATIO` to indicate overload without any late response."""
        return (
            self.overload_share.share >= OVERLOAD_SHARE and self.overload_share.count >= OVERLOAD_CHECKS_MIN
        )

    # -- Latency of responses, and load reports -------------------------------------------------------

    def add_latency(self, now: int, ratio: float, unloaded: bool) -> None:
        """Update the estimates with a response's latency as a ratio of its objective.

        The median is used so that a few slow servers or expensive requests do not indicate an overloaded fleet.
        `unloaded`: whether there is so little load that hardly any request is rejected.
        """
        if self.floor_ratio is None:
            self.median_ratio = self.floor_ratio = min(ratio, self._acceptable_ratio)
        elapsed = min((now - self._last_latency_at) / self._memory_us, 1.0)
        self._last_latency_at = now
        step = max(MEDIAN_STEP_MIN, min(elapsed, MEDIAN_STEP_MAX))
        moved_median = self.median_ratio + (step if ratio > self.median_ratio else -step)
        self.median_ratio = max(0.0, min(moved_median, MEDIAN_RATIO_MAX))
        late_step = max(LATE_STEP_MIN, min(elapsed, LATE_STEP_MAX))
        self.late_share += late_step * ((1.0 if ratio > 1.0 else 0.0) - self.late_share)
        rise = FLOOR_RISE_RATIO if unloaded else FLOOR_RISE_RATIO_SHEDDING
        self.floor_ratio = min(
            self.floor_ratio + rise * MEDIAN_STEP_MIN, max(self.median_ratio, MEDIAN_STEP_MIN)
        )

    def add_cpu_report(self, utilization: float) -> None:
        """Update the estimate with the CPU utilisation that a server reports, 0 to 1."""
        self.cpu_utilization = (
            utilization
            if self.cpu_utilization is None
            else self.cpu_utilization + CPU_STEP * (utilization - self.cpu_utilization)
        )

    def acceptable_ratio(self, uncertainty: float) -> float:
        """Return the highest median latency of a fleet that is not overloaded, as a ratio of the objective.

        `uncertainty`: the part of the median that is noise, 0 to 1.  The ratio grows with it.
        """
        floor = FLOOR_MULTIPLE * (self.floor_ratio or 0.0)
        ratio = min(max(self._acceptable_ratio, floor), ACCEPTABLE_RATIO_MAX)
        allowance = uncertainty * (self._acceptable_ratio_few - self._acceptable_ratio)
        return max(ratio, self._acceptable_ratio + allowance)
