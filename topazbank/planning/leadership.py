"""Leader election among planners without an ensemble, by static ranks; no I/O, times in microseconds.

Planners share no state but the forwarders, whose summaries tell every planner which plan they follow, of which epoch
and age.  A planner starts to lead once no forwarder has followed a fresh plan of another for its takeover delay, which
is longer the later its rank.  Its epoch is above all that it has seen and is made of the clock and its rank: a planner
that restarts, having forgotten, still gets a higher epoch than before, and two that start to lead at once get different
ones.  A clock that is wrong does no harm while forwarders run, as the epochs that they report count too.

With a partitioned network there may be two leaders, each for its own forwarders; once it heals the higher epoch deposes
the other.  A majority of acknowledgements would prevent that, but needs the number of forwarders, which nobody knows
while many of them restart.
"""

from __future__ import annotations

from topazbank.planning.plan import LEASE_US_MAX, US_PER_S
from topazbank.planning.summary import SummaryReport

TAKEOVER_DELAY_US = 2 * US_PER_S  # of the first rank
TAKEOVER_DELAY_PER_RANK_US = US_PER_S
FRESH_PLAN_AGE_US_MAX = 3 * US_PER_S // 2  # an older plan shows that its planner no longer runs
RANKS_MAX = 256


class RankedLeadership:
    """Whether one planner leads."""

    def __init__(self, name: str, rank: int, now: int) -> None:
        """Raise ValueError for a rank that is not from 0 to RANKS_MAX - 1."""
        if not 0 <= rank < RANKS_MAX:
            raise ValueError(f"rank: a whole number from 0 to {RANKS_MAX - 1} is wanted, not {rank}")
        self.epoch: int | None = None  # while it leads
        self._name = name
        self._rank = rank
        self._highest_epoch = -1
        self._fresh_plan_at = now  # when another's fresh plan was last reported; the start counts as such
        self._summary_at: int | None = None

    def observe_summary(self, now: int, summary: SummaryReport) -> None:
        """Take what a forwarder reports of the plan that it follows."""
        self._summary_at = now
        self._highest_epoch = max(self._highest_epoch, summary.epoch)
        if self.epoch is not None and self._highest_epoch > self.epoch:
            self.epoch = None  # deposed
            self._fresh_plan_at = now
        age_us = summary.plan_age_us
        if summary.planner != self._name and age_us is not None and age_us < FRESH_PLAN_AGE_US_MAX:
            self._fresh_plan_at = now

    def current_epoch(self, now: int, unix_s: int) -> int | None:
        """The epoch to lead under, or None; call it often.  `unix_s`: the machine's clock, which may be wrong."""
        if self.epoch is not None:
            return self.epoch
        forwarders_report = self._summary_at is not None and now - self._summary_at < LEASE_US_MAX
        delay_us = TAKEOVER_DELAY_US + self._rank * TAKEOVER_DELAY_PER_RANK_US
        if forwarders_report and now - self._fresh_plan_at >= delay_us:
            generation = max(self._highest_epoch // RANKS_MAX + 1, unix_s)
            self.epoch = generation * RANKS_MAX + (RANKS_MAX - 1 - self._rank)
        return self.epoch
