"""Leader election among planners without an ensemble, by static ranks; no I/O, times in microseconds.

Planners share state only through the forwarders.  Each summary reports to every planner which plan the forwarder
follows, with its epoch and age.  A planner becomes leader once no forwarder has followed another planner's fresh plan
for the takeover delay, which grows with the rank.

The leader's epoch exceeds every epoch that it has observed and combines the clock and the rank.  A planner that lost
its state in a restart therefore still gets a higher epoch than before, and two planners that become leaders at once get
different epochs.  A wrong clock does no harm while forwarders run, as the epochs that they report count too.

During a network partition there may be two leaders, each for the forwarders that it reaches.  Once the partition heals,
the higher epoch deposes the lower.  A majority of acknowledgements would prevent two leaders.  It requires the number
of forwarders, which is unknown while many of them restart.
"""

from __future__ import annotations

from topazbank.planning.plan import LEASE_US_MAX, US_PER_S
from topazbank.planning.summary import SummaryReport

TAKEOVER_DELAY_US = 2 * US_PER_S  # for rank 0
TAKEOVER_DELAY_PER_RANK_US = US_PER_S
FRESH_PLAN_AGE_US_MAX = 3 * US_PER_S // 2  # an older plan indicates that its planner no longer runs
RANKS_MAX = 256


class RankedLeadership:
    """The leadership state of one planner."""

    def __init__(self, name: str, rank: int, now: int) -> None:
        """Raise ValueError if the rank is not from 0 to RANKS_MAX - 1."""
        if not 0 <= rank < RANKS_MAX:
            raise ValueError(f"rank: expected an integer from 0 to {RANKS_MAX - 1}, not {rank}")
        self.epoch: int | None = None  # None: not the leader
        self._name = name
        self._rank = rank
        self._highest_epoch = -1
        self._fresh_plan_reported_at = now  # last report of another planner's fresh plan, or the start
        self._last_summary_at: int | None = None

    def observe_summary(self, now: int, summary: SummaryReport) -> None:
        """Process a forwarder's report of the plan that it follows."""
        self._last_summary_at = now
        self._highest_epoch = max(self._highest_epoch, summary.epoch)
        if self.epoch is not None and self._highest_epoch > self.epoch:
            self.epoch = None  # deposed
            self._fresh_plan_reported_at = now
        age_us = summary.plan_age_us
        if summary.planner != self._name and age_us is not None and age_us < FRESH_PLAN_AGE_US_MAX:
            self._fresh_plan_reported_at = now

    def current_epoch(self, now: int, unix_s: int) -> int | None:
        """The epoch of this planner as leader, or None; call it periodically.  `unix_s`: system clock, may be wrong."""
        if self.epoch is not None:
            return self.epoch
        has_recent_summary = self._last_summary_at is not None and now - self._last_summary_at < LEASE_US_MAX
        delay_us = TAKEOVER_DELAY_US + self._rank * TAKEOVER_DELAY_PER_RANK_US
        if has_recent_summary and now - self._fresh_plan_reported_at >= delay_us:
            epoch_prefix = max(self._highest_epoch // RANKS_MAX + 1, unix_s)
            self.epoch = epoch_prefix * RANKS_MAX + (RANKS_MAX - 1 - self._rank)
        return self.epoch
