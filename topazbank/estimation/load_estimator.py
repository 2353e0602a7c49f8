"""The load of the fleet, as one sidecar estimates it from its attempts' latency and from servers' load reports.

Latencies are given as ratios of the request's latency objective.  Failures guarded against:

- Late answers describe the past: see `latency_check`.
- After an overload that the sidecar rejected its way out of, hardly any answer comes to show that servers are idle.
  Each estimate therefore moves by the time since its last observation, not by the number of observations alone, and
  `claim_probe_admission` admits one request now and then although it would be rejected.

No I/O; times in microseconds.
"""

from __future__ import annotations

from collections import deque

from topazbank.estimation.latency_check import DecayingShare, LatencyCheck

MEMORY_OBJECTIVES = 1.0  # an estimate is outdated after this many of the longest latency objective
PROBE_INTERVAL_OBJECTIVES = 0.25  # without a check for so long one request is admitted for its result

MEDIAN_STEP_MIN = 0.04  # some 25 answers turn the running median round
MEDIAN_STEP_MAX = 0.16  # where answers are rare: a single one is chance to a large part
MEDIAN_RATIO_MAX = 1.0  # the median is not followed beyond the objective, from where it would return too late
LATE_STEP_MIN = 0.02  # the late share covers about the last fifty answers
LATE_STEP_MAX = 0.04  # where answers are rare: the late share balances zones, and chance must not
CPU_STEP = 0.1  # the utilisation covers about the last ten load reports

ACCEPTABLE_RATIO = 0.25  # beyond this median latency the fleet is overloaded
ACCEPTABLE_RATIO_FEW = 0.33  # or this, where few requests are in flight: the median is largely chance
ACCEPTABLE_RATIO_MAX = 0.5  # in any case, or a lasting overload would pass for the usual
LATE_VALUE_FACTOR = 0.8  # the ratios above grow by this much where late answers keep their full value
FLOOR_MULTIPLE = 1.2  # the acceptable latency is at least this many times that of an idle fleet
FLOOR_RISE_RATIO = 0.02  # of the median's step, with each answer: how fast the idle latency may rise
FLOOR_RISE_RATIO_SHEDDING = 0.002  # and while requests are rejected

SLOW_SHARE_AT_CAPACITY = 0.5  # with this share of slow attempts the median is at the acceptable latency
OVERLOAD_RATIO = 0.6  # no fleet takes this part of the objective unless it is overloaded
OVERLOAD_SHARE = 0.5  # of attempts beyond that: the fleet is overloaded before any answer is late
OVERLOAD_CHECKS_MIN = 8  # fewer checks may be chance
PENDING_CHECKS_MAX = 4096  # for each latency objective; beyond it the oldest stay without a result


class LoadEstimator:
    """Running estimates of the fleet's latency, late answers, overload and CPU utilisation."""

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
        """`late_value_ratio`: the part of its value that a late answer keeps, in the mean of the classes."""
        factor = 1.0 + LATE_VALUE_FACTOR * late_value_ratio
        self._acceptable_ratio = min(ACCEPTABLE_RATIO * factor, ACCEPTABLE_RATIO_MAX)
        self._acceptable_ratio_few = min(ACCEPTABLE_RATIO_FEW * factor, ACCEPTABLE_RATIO_MAX)
        self._memory_us = MEMORY_OBJECTIVES * longest_objective_us
        self._last_latency_at = 0
        self._last_probe_at = 0  # when a request was last admitted for its result alone
        # Checks by latency objective, in the order sent, so that the first is due first.
        self._pending_slow: dict[int, deque[LatencyCheck]] = {}
        self._pending_overload: dict[int, deque[LatencyCheck]] = {}  # those that are slow already
        self.slow_share = DecayingShare(self._memory_us)  # of attempts that exceed the acceptable latency
        self.overload_share = DecayingShare(self._memory_us)  # of attempts that exceed OVERLOAD_RATIO
        self.median_ratio = 0.0  # running median of answers' latency
        self.late_share = 0.0  # of answers that exceed their latency objective
        self.floor_ratio: float | None = None  # the median in an idle fleet; None: no answer yet
        self.cpu_utilization: float | None = None  # mean over servers, 0 to 1; None: no report yet

    # -- Latency checks of attempts in flight ---------------------------------------------------------

    def start_check(self, now: int, latency_objective_us: int, uncertainty: float) -> LatencyCheck:
        """Return the check of an attempt that is sent now; `uncertainty` as in `acceptable_ratio`.

        The caller passes it to `complete_check` when the attempt is answered, or clears its `pending` where the
        attempt ends without showing anything of load.
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
        """Count an answered attempt as within each threshold that it has not been counted against."""
        if not check.slow_counted:
            check.slow_counted = True
            self.slow_share.add(now, 0.0)
        if check.pending:
            check.pending = False
            self.overload_share.add(now, 0.0)

    def expire_checks(self, now: int) -> bool:
        """Count the attempts that have exceeded a threshold by now; return whether there was any."""
        before = self.slow_share.count + self.overload_share.count
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
        return self.slow_share.count + self.overload_share.count > before

    # -- Overload -------------------------------------------------------------------------------------

    def claim_probe_admission(self, now: int) -> bool:
        """Return whether to admit a request that would be rejected, since no check has ended for long.

        True starts the interval anew.  Guards against an estimate that nothing can correct: a sidecar that rejects
        everything gets no answers.
        """
        last_at = max(self.slow_share.updated_at, self._last_probe_at)
        if now - last_at < PROBE_INTERVAL_OBJECTIVES * self._memory_us / MEMORY_OBJECTIVES:
            return False
        self._last_probe_at = now
        return True

    def assume_at_capacity(self, now: int) -> None:
        """Start with the estimate that the fleet is just at capacity: other sidecars' requests fill it."""
        self.slow_share.share, self.slow_share.updated_at = SLOW_SHARE_AT_CAPACITY, now

    def overload_excess(self) -> float:
        """Return how far the fleet is beyond capacity: 1 when every attempt is slow, 0 at capacity, -1 when none is."""
        return (self.slow_share.share - SLOW_SHARE_AT_CAPACITY) / SLOW_SHARE_AT_CAPACITY

    def is_overload_evident(self) -> bool:
        """Return whether so many attempts exceed `OVERLOAD_RATIO` that no late answer is needed as evidence."""
        return (
            self.overload_share.share >= OVERLOAD_SHARE and self.overload_share.count >= OVERLOAD_CHECKS_MIN
        )

    # -- Latency of answers, and load reports ---------------------------------------------------------

    def add_latency(self, now: int, ratio: float, calm: bool) -> None:
        """Take an answer's latency as a ratio of its objective; `calm`: while next to nothing is rejected.

        The median keeps a few slow servers or expensive requests from passing for an overloaded fleet.
        """
        if self.floor_ratio is None:
            self.median_ratio = self.floor_ratio = min(ratio, self._acceptable_ratio)
        elapsed = min((now - self._last_latency_at) / self._memory_us, 1.0)
        self._last_latency_at = now
        step = max(MEDIAN_STEP_MIN, min(elapsed, MEDIAN_STEP_MAX))
        moved = self.median_ratio + (step if ratio > self.median_ratio else -step)
        self.median_ratio = max(0.0, min(moved, MEDIAN_RATIO_MAX))
        late_step = max(LATE_STEP_MIN, min(elapsed, LATE_STEP_MAX))
        self.late_share += late_step * ((1.0 if ratio > 1.0 else 0.0) - self.late_share)
        rise = FLOOR_RISE_RATIO if calm else FLOOR_RISE_RATIO_SHEDDING
        self.floor_ratio = min(
            self.floor_ratio + rise * MEDIAN_STEP_MIN, max(self.median_ratio, MEDIAN_STEP_MIN)
        )

    def add_cpu_report(self, utilization: float) -> None:
        """Take the CPU utilisation that a server reports, 0 to 1."""
        self.cpu_utilization = (
            utilization
            if self.cpu_utilization is None
            else self.cpu_utilization + CPU_STEP * (utilization - self.cpu_utilization)
        )

    def acceptable_ratio(self, uncertainty: float) -> float:
        """Return the highest median latency, as a ratio of the objective, of a fleet that is not overloaded.

        `uncertainty`: how much of the median is chance, 0 to 1; the more, the higher the ratio.
        """
        floor = FLOOR_MULTIPLE * (self.floor_ratio or 0.0)
        ratio = min(max(self._acceptable_ratio, floor), ACCEPTABLE_RATIO_MAX)
        allowance = uncertainty * (self._acceptable_ratio_few - self._acceptable_ratio)
        return max(ratio, self._acceptable_ratio + allowance)
