"""Who leads among planners, without an ensemble; no I/O, times in whole microseconds.

Planners have a static rank and share no state: what they have in common is the forwarders, which tell every planner
whom they follow, by which epoch, and how old that plan is.  A planner takes the lead once no forwarder has followed a
fresh plan of another for its patience, which is longer the later its rank.  Its epoch is above all it has heard of, and
made of the time and its rank: one that starts anew, having forgotten, still comes out above its former self, and two
that take the lead at once differ.  What the clock is worth does not matter while forwarders live: epochs heard count.

Weighed against it: a majority of forwarders' acknowledgements for each epoch.  It keeps a planner that few can reach
from leading, but needs the number of forwarders, which nobody knows while half of them restart.  Here two leaders in
two halves of a cut network each serve their own half, and when it heals the higher epoch deposes the other.
"""

from __future__ import annotations

from topazbank.planning.plan import LEASE_US_MAX, US_PER_S
from topazbank.planning.summary import SummaryReport

TAKEOVER_DELAY_US = 2 * US_PER_S  # without a fresh plan of another, of the first rank
TAKEOVER_DELAY_PER_RANK_US = US_PER_S  # and so much more for each later rank
FRESH_PLAN_AGE_US_MAX = 3 * US_PER_S // 2  # a plan that is older tells of a planner that has gone
RANKS_MAX = 256


class RankedLeadership:
    """One planner's view of who leads."""

    def __init__(self, name: str, rank: int, now: int) -> None:
        if not 0 <= rank < RANKS_MAX:
            raise ValueError(f"rank: a whole number from 0 to {RANKS_MAX - 1} is wanted, not {rank}")
        self.epoch: int | None = None  # while it leads
        self._name = name
        self._rank = rank
        self._highest = -1
        self._fresh_at = now  # when a fresh plan of another was last heard of; the start counts as one
        self._heard_at: int | None = None

    def observe_summary(self, now: int, summary: SummaryReport) -> None:
        self._heard_at = now
        if summary.epoch > self._highest:
            self._highest = summary.epoch
        if self.epoch is not None and self._highest > self.epoch:
            self.epoch = None  # deposed
            self._fresh_at = now
        if (
            summary.planner != self._name
            and summary.plan_age_us is not None
            and summary.plan_age_us < FRESH_PLAN_AGE_US_MAX
        ):
            self._fresh_at = now

    def current_epoch(self, now: int, unix_s: int) -> int | None:
        """The epoch to lead by, or None; to be asked often.  `unix_s` is the machine's clock, however wrong."""
        if self.epoch is not None:
            return self.epoch
        heard = self._heard_at is not None and now - self._heard_at < LEASE_US_MAX
        if heard and now - self._fresh_at >= TAKEOVER_DELAY_US + self._rank * TAKEOVER_DELAY_PER_RANK_US:
            self.epoch = max(self._highest // RANKS_MAX + 1, unix_s) * RANKS_MAX + (
                RANKS_MAX - 1 - self._rank
            )
        return self.epoch
