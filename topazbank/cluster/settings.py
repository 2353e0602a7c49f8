"""The protocol's settings, and the timeouts that follow from them; no I/O, times in microseconds.

docs/design/cluster.md derives the formulas.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

INDIRECT_PROBES = 3  # helpers asked per probe: with 20 % loss each way one probe in 14 still fails
SUSPECT_PROBES_PER_PERIOD = 3  # of the suspects that this member's own probes found
RECONNECT_PERIODS = 3  # between two pings of a dead member: this heals a split
CONFIRMATIONS_WANTED = 3  # independent suspicions after which the suspicion timeout is at its minimum
_RETRANSMIT_FACTOR = 3  # times log2 of the cluster size: how often one update is sent


@dataclass(frozen=True, slots=True)
class ProtocolSettings:
    """The settings of the failure detector; all members of a cluster use the same."""

    probe_period_us: int = 200_000  # between two probes by one member
    tolerated_pause_us: int = 1_000_000  # a process that stalls for less is never declared dead
    tombstone_us: int = 600_000_000  # how long dead members are remembered
    datagram_bytes: int = 256  # maximum; the platform's bound
    # Extensions of plain SWIM, which can be turned off for comparison.
    lifeguard: bool = True  # local health and confirmations move the timeouts
    last_heard_gossip: bool = True  # evidence that anyone has heard a suspect postpones its death
    stall_detection: bool = True  # a process that stalled distrusts itself before others

    def dissemination_us(self, cluster_size: int) -> int:
        """Return the time until an update has reached all members.

        The number of informed members doubles in each period; one more period reaches the last.
        """
        return (math.ceil(math.log2(cluster_size + 1)) + 1) * self.probe_period_us

    def suspicion_min_us(self, cluster_size: int) -> int:
        """Return the minimum suspicion timeout: a tolerated pause ends and a refutation reaches all within it."""
        after_pause = self.tolerated_pause_us + 2 * self.probe_period_us
        return max(after_pause, self.dissemination_us(cluster_size) + self.probe_period_us)

    def suspicion_us(self, cluster_size: int, confirmations: int) -> int:
        """Return the suspicion timeout: twice the minimum for one suspicion, the minimum for all that are wanted."""
        minimum = self.suspicion_min_us(cluster_size)
        wanted = min(CONFIRMATIONS_WANTED, cluster_size - 2)
        if wanted <= 1 or not self.lifeguard:
            return minimum
        progress = min(math.log(max(confirmations, 1)) / math.log(wanted), 1.0)
        return int(2 * minimum - minimum * progress)

    def retransmissions(self, cluster_size: int) -> int:
        """Return how often one update is sent."""
        return _RETRANSMIT_FACTOR * math.ceil(math.log2(cluster_size + 2))

    def detection_p99_us(self, cluster_size: int) -> int:
        """Return the time within which all members know of a death in 99 of 100 cases, without message loss.

        In one period nobody probes a given member with probability 1/e, so 4.6 periods pass in one of 100 cases.
        Then the probe fails, two more members suspect within as many periods, the suspicion times out, and the news
        takes half of the dissemination time, since most members' own suspicions have timed out by then.
        """
        until_probed = min(math.log(100.0), max(cluster_size - 1, 1)) * self.probe_period_us
        until_suspected = until_probed + 3 * self.probe_period_us
        until_dead = until_suspected + self.suspicion_min_us(cluster_size)
        return int(until_dead + self.dissemination_us(cluster_size) / 2)
