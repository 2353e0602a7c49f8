"""The figures that a tier runs by, and the times that follow from them; no I/O, microseconds.

docs/design/cluster.md has the arithmetic.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MEMBERS_MAX = 8192  # records kept, the gone among them: a stranger with the key can't grow a view beyond it
INDIRECT_PROBES = (
    3  # asked to probe where no answer came: with a fifth lost each way, one probe in 14 fails for all that
)
WITNESSES = 3  # who suspect by themselves and after whom the wait is at its shortest
HEALTH_MOST = 8  # own troubles counted: time-outs are up to nine times as long
DIRECT_PART = 0.4  # of a period: when helpers are asked; answers on a local network take a hundredth of it
STALL_PERIODS = 2.5  # a tick that is later by so much tells that this process stood still
TOLD = 3  # news is told this often, times the logarithm of the size
RECONNECT_PERIODS = 3  # periods between probes of a member that is gone: how a split heals
SUSPECT_PROBES_PER_PERIOD = 3  # of one's own suspects, probed again in each period
AGAIN_SPAN_US = 60_000_000  # a member that came back from the gone within it goes in and out
AGAIN_HOLD_US = 4_000_000  # for so long it is unsure then, doubled each time
AGAIN_MOST = 4  # doublings
MEND_DATAGRAMS = 8  # that one difference between views may cause at once
JOINING_US = 2_000_000  # from a start: until then a later life of the own name is a former process's


@dataclass(frozen=True, slots=True)
class ProtocolSettings:
    """How a tier finds out who is there."""

    period_us: int = 200_000  # between two probes of one member
    pause_us: int = 1_000_000  # a process that stands still for less is never taken for gone
    forget_us: int = 600_000_000  # how long the gone are remembered
    datagram: int = 256  # bytes: the platform's bound
    # Ways that are weighed against one another: a plain SWIM has none of the three.
    lifeguard: bool = True  # own troubles and witnesses move the time-outs
    vouching: bool = True  # nobody is gone whose word anybody has had
    doubting: bool = True  # a process that stood still doubts itself before others

    def spread_us(self, size: int) -> int:
        """What news takes to reach all: two tell two in each period, and one more for the last."""
        return (math.ceil(math.log2(size + 1)) + 1) * self.period_us

    def suspicion_us(self, size: int) -> int:
        """The shortest wait from suspicion to gone: a pause passes in it, and a refutation reaches all."""
        return max(self.pause_us + 2 * self.period_us, self.spread_us(size) + self.period_us)

    def wait_us(self, size: int, witnesses: int) -> int:
        """The wait with so many who suspect: twice the shortest for one, the shortest for all that are wanted."""
        least = self.suspicion_us(size)
        wanted = min(WITNESSES, size - 2)
        if wanted <= 1 or not self.lifeguard:
            return least
        part = min(math.log(max(witnesses, 1)) / math.log(wanted), 1.0)
        return int(2 * least - least * part)

    def told_most(self, size: int) -> int:
        """How often one news is told."""
        return TOLD * math.ceil(math.log2(size + 2))

    def known_within_us(self, size: int) -> int:
        """By when all know of a death, in 99 cases of 100 (p99), where nothing is lost.

        Nobody's turn comes to it in a period with odds of 1/e; so 4.6 periods in 100 cases.  Then the probe fails, two
        more suspect in as many periods, the wait, and half of the spread, since most have waited by themselves.
        """
        first = min(math.log(100.0), max(size - 1, 1)) * self.period_us
        return int(first + 3 * self.period_us + self.suspicion_us(size) + self.spread_us(size) / 2)
