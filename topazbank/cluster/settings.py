"""Settings of the membership protocol and the timeouts derived from them; no I/O, times in microseconds.

docs/design/cluster.md derives the formulas.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

INDIRECT_PROBES = 3  # helpers per probe; with 20 % loss in each direction one probe in 14 still fails
SUSPECT_PROBES_PER_PERIOD = 3  # probes of suspects that this member's own probes detected
RECONNECT_PERIODS = 3  # between two pings of a dead member, which heal a network partition
CONFIRMATIONS_WANTED = 3  # independent suspicions after which the suspicion timeout is at its minimum
_RETRANSMIT_FACTOR = 3  # multiplied by log2 of the cluster size: transmissions of one update


@dataclass(frozen=True, slots=True)
class ProtocolSettings:
    """Settings of the failure detector; they must be equal on all members of a cluster."""

    probe_period_us: int = 200_000  # interval between two probes by one member
    tolerated_pause_us: int = 1_000_000  # a process that stalls for a shorter time is never declared dead
    tombstone_us: int = 600_000_000  # how long dead members are remembered
    datagram_bytes: int = 256  # maximum size, which the platform limits
    # Extensions to plain SWIM; each can be disabled for comparison.
    lifeguard: bool = True  # timeouts adapt to local health and to confirmations
    last_heard_gossip: bool = True  # evidence that any member heard a suspect postpones its death
    stall_detection: bool = True  # a process that stalled distrusts its own verdicts first

    def dissemination_us(self, cluster_size: int) -> int:
        """Return the time in which an update reaches all members.

        The number of informed members doubles in each period; one more period reaches the last.
        """
        return (math.ceil(math.log2(cluster_size + 1)) + 1) * self.probe_period_us

    def suspicion_min_us(self, cluster_size: int) -> int:
        """Return the minimum suspicion timeout: a tolerated pause can end and a refutation reach all within it."""
        after_pause = self.tolerated_pause_us + 2 * self.probe_period_us
        return max(after_pause, self.dissemination_us(cluster_size) + self.probe_period_us)

    def suspicion_us(self, cluster_size: int, confirmations: int) -> int:
        """Return the suspicion timeout: twice the minimum for one suspicion, the minimum with enough confirmations."""
        minimum = self.suspicion_min_us(cluster_size)
        expected = min(CONFIRMATIONS_WANTED, cluster_size - 2)
        if expected <= 1 or not self.lifeguard:
            return minimum
        progress = min(math.log(max(confirmations, 1)) / math.log(expected), 1.0)
        return int(2 * minimum - minimum * progress)

    def retransmissions(self, cluster_size: int) -> int:
        """Return the number of transmissions of one update."""
        return _RETRANSMIT_FACTOR * math.ceil(math.log2(cluster_size + 2))

    def detection_p99_us(self, cluster_size: int) -> int:
        """Return the 99th percentile of the time until all members know of a death, without message loss.

        A given member is not probed in a period with probability 1/e, so in 1 % of cases 4.6 periods pass before a
        probe.  The probe then fails, two more members suspect within two more periods, and the suspicion times out.
        The update takes half of the dissemination time, as most members' own suspicions have timed out by then.
        """
        until_probed = min(math.log(100.0), max(cluster_size - 1, 1)) * self.probe_period_us
        until_suspected = until_probed + 3 * self.probe_period_us
        until_dead = until_suspected + self.suspicion_min_us(cluster_size)
        return int(until_dead + self.dissemination_us(cluster_size) / 2)
