"""The forwarders that a planner knows, and a limit on the rate of their summaries; no I/O, times in microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from topazbank.cluster.member import Generations
from topazbank.planning.plan import LEASE_US_MAX, US_PER_S, ServerShare
from topazbank.planning.server_model import AVERAGING_US
from topazbank.planning.summary import SummaryReport

FORWARDERS_MAX = 20_000  # further ones get no plan
FORGET_AFTER_US = 30 * US_PER_S  # without a summary
PERIOD_US_MIN = US_PER_S // 10  # between a forwarder's summaries
SUMMARIES_PER_SECOND_MAX = 2_000.0  # more than one core handles
_TARGET_UTILIZATION = 0.8  # of that rate, by the period that forwarders are asked for
_EXPIRY_CHECKS_PER_SPAN = 10  # within FORGET_AFTER_US


@dataclass(slots=True)
class ForwarderState:
    """What is known of a forwarder."""

    incarnation: str = ""
    number: int = -1  # of its newest summary
    received_at_us: int = 0
    requests_per_second: float = 0.0
    member: tuple[int, int] | None = None  # its ident and generation in the cluster; None: in none
    lease_us: int = LEASE_US_MAX  # of the newest plan sent
    sequence: int = 0  # of that plan
    shares: dict[str, ServerShare] = field(default_factory=dict)  # of that plan, all changes applied
    servers: frozenset[str] = frozenset()  # that its newest summary names

    def update(self, now: int, summary: SummaryReport) -> bool:
        """Take a summary; return whether it is news: False for one overtaken by a later one."""
        if summary.incarnation != self.incarnation:
            self.shares, self.requests_per_second = {}, 0.0
        elif summary.number < self.number:
            return False
        arrived = sum(counts[0] for counts in summary.request_classes.values())
        weight = min(summary.period_us / AVERAGING_US, 1.0)
        rate = arrived / (summary.period_us / US_PER_S)
        self.requests_per_second += weight * (rate - self.requests_per_second)
        self.incarnation, self.number, self.received_at_us = summary.incarnation, summary.number, now
        return True


class SummaryRateLimit:
    """Bounds the summaries taken per second, so that a planner does not fall behind; a bucket that drains."""

    def __init__(self) -> None:
        self._level = 0.0
        self._updated_at_us = 0

    def admit(self, now: int) -> bool:
        """Whether one more summary is taken."""
        elapsed_s = (now - self._updated_at_us) / US_PER_S
        self._level = max(self._level - elapsed_s * SUMMARIES_PER_SECOND_MAX, 0.0)
        self._updated_at_us = now
        if self._level >= SUMMARIES_PER_SECOND_MAX / 2:
            return False
        self._level += 1.0
        return True


class ForwarderTable:
    """All known forwarders, at most FORWARDERS_MAX."""

    def __init__(self) -> None:
        self.forwarders: dict[str, ForwarderState] = {}
        self._by_member: dict[int, str] = {}  # forwarders' names by their ident in the cluster
        self._expired_at_us = 0

    def __len__(self) -> int:
        return len(self.forwarders)

    def get_or_add(self, name: str) -> ForwarderState | None:
        """A forwarder's state; None for a new one when the table is full."""
        if name not in self.forwarders and len(self.forwarders) >= FORWARDERS_MAX:
            return None
        return self.forwarders.setdefault(name, ForwarderState())

    def requests_per_second(self) -> float:
        """Of all forwarders."""
        return sum(state.requests_per_second for state in self.forwarders.values())

    def share_of_requests(self, forwarder: ForwarderState) -> float:
        """The part of all requests that a forwarder receives, 0 to 1."""
        total = self.requests_per_second()
        return forwarder.requests_per_second / total if total > 0.0 else 1.0 / max(len(self.forwarders), 1)

    def summary_period_us(self) -> int:
        """How long forwarders shall wait between two summaries: the longer the more there are."""
        target_rate = _TARGET_UTILIZATION * SUMMARIES_PER_SECOND_MAX
        return max(PERIOD_US_MIN, int(len(self.forwarders) / target_rate * US_PER_S))

    def expire(self, now: int) -> list[str]:
        """Remove forwarders without a summary for FORGET_AFTER_US, at intervals; return their names."""
        if now < self._expired_at_us + FORGET_AFTER_US // _EXPIRY_CHECKS_PER_SPAN:
            return []
        self._expired_at_us = now
        expired = [
            name for name, state in self.forwarders.items() if state.received_at_us + FORGET_AFTER_US < now
        ]
        for name in expired:
            self._remove(name)
        return expired

    def remove_ended(self, now: int, reporter: str, generations: Generations | None) -> list[str]:
        """Remove forwarders that the reporter's cluster knows to have ended; return their names.

        One is removed only once its last plan's lease is over, as it may have run until then.  One that runs and
        reaches this planner is never removed: its own summaries are newer than that lease.
        """
        if generations is None:
            return []
        self.forwarders[reporter].member = generations.own
        self._by_member[generations.own[0]] = reporter
        removed = []
        for ident, generation in generations.ended:
            name = self._by_member.get(ident)
            state = self.forwarders.get(name) if name is not None else None
            if name is None or state is None or state.member is None or state.member[1] > generation:
                continue  # an earlier generation ended
            if state.received_at_us + state.lease_us < now:
                self._remove(name)
                removed.append(name)
        return removed

    def _remove(self, name: str) -> None:
        member = self.forwarders.pop(name).member
        if member is not None and self._by_member.get(member[0]) == name:
            del self._by_member[member[0]]
