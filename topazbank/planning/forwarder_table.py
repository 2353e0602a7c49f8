"""The forwarders known to a planner, and a rate limit on their summaries; no I/O, times in microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from topazbank.cluster.member import Generations
from topazbank.planning.plan import LEASE_US_MAX, US_PER_S, ServerShare
from topazbank.planning.server_model import AVERAGING_US
from topazbank.planning.summary import SummaryReport

FORWARDERS_MAX = 20_000  # forwarders beyond this limit receive no plan
FORGET_AFTER_US = 30 * US_PER_S  # time without a summary until a forwarder is removed
PERIOD_US_MIN = US_PER_S // 10  # minimum period of a forwarder's summaries
SUMMARIES_PER_SECOND_MAX = 2_000.0  # exceeds the throughput of one core
_TARGET_UTILIZATION = 0.8  # part of that rate that the summary period aims at
_EXPIRY_CHECKS_PER_SPAN = 10  # checks per FORGET_AFTER_US


@dataclass(slots=True)
class ForwarderState:
    """One forwarder's newest summary and newest plan."""

    incarnation: str = ""
    number: int = -1  # number of its newest summary
    received_at_us: int = 0
    requests_per_second: float = 0.0
    member: tuple[int, int] | None = None  # its ident and generation in the cluster; None: in no cluster
    lease_us: int = LEASE_US_MAX  # lease of the newest plan sent
    sequence: int = 0  # sequence of that plan
    shares: dict[str, ServerShare] = field(default_factory=dict)  # shares of that plan, all changes applied
    servers: frozenset[str] = frozenset()  # servers in its newest summary

    def update(self, now: int, summary: SummaryReport) -> bool:
        """Record a summary; return False for one received after a newer one, which is ignored."""
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
    """A leaky bucket that bounds the summaries per second, so that a planner does not fall behind."""

    def __init__(self) -> None:
        self._level = 0.0
        self._updated_at_us = 0

    def admit(self, now: int) -> bool:
        """Whether one more summary is accepted."""
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
        self._by_member: dict[int, str] = {}  # names of forwarders, by ident in the cluster
        self._expiry_checked_at_us = 0

    def __len__(self) -> int:
        return len(self.forwarders)

    def get_or_add(self, name: str) -> ForwarderState | None:
        """A forwarder's state; None for a new forwarder if the table is full."""
        if name not in self.forwarders and len(self.forwarders) >= FORWARDERS_MAX:
            return None
        return self.forwarders.setdefault(name, ForwarderState())

    def requests_per_second(self) -> float:
        """The request rate of all forwarders together."""
        return sum(state.requests_per_second for state in self.forwarders.values())

    def share_of_requests(self, forwarder: ForwarderState) -> float:
        """The part of all requests that the forwarder receives, 0 to 1."""
        total = self.requests_per_second()
        return forwarder.requests_per_second / total if total > 0.0 else 1.0 / max(len(self.forwarders), 1)

    def summary_period_us(self) -> int:
        """The period at which forwarders should send summaries; it grows with their number."""
        target_rate = _TARGET_UTILIZATION * SUMMARIES_PER_SECOND_MAX
        return max(PERIOD_US_MIN, int(len(self.forwarders) / target_rate * US_PER_S))

    def expire(self, now: int) -> list[str]:
        """Periodically remove forwarders without a summary for FORGET_AFTER_US; return their names."""
        if now < self._expiry_checked_at_us + FORGET_AFTER_US // _EXPIRY_CHECKS_PER_SPAN:
            return []
        self._expiry_checked_at_us = now
        expired = [
            name for name, state in self.forwarders.items() if state.received_at_us + FORGET_AFTER_US < now
        ]
        for name in expired:
            self._remove(name)
        return expired

    def remove_ended(self, now: int, reporter: str, generations: Generations | None) -> list[str]:
        """Remove forwarders whose end the reporter's cluster has confirmed; return their names.

        A forwarder is removed only after the lease of its last plan, because it may have run until then.  One that is
        still running and connected is never removed, because its newest summary is more recent than that lease.
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
                continue  # the end of an earlier generation
            if state.received_at_us + state.lease_us < now:
                self._remove(name)
                removed.append(name)
        return removed

    def _remove(self, name: str) -> None:
        member = self.forwarders.pop(name).member
        if member is not None and self._by_member.get(member[0]) == name:
            del self._by_member[member[0]]
