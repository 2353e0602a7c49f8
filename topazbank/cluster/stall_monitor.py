"""Detects stalls of this process, after which missing answers say nothing about other members; no I/O.

Failure: a suspended process (SIGSTOP, a starved machine) finds all its timeouts expired when it resumes, while the
answers wait unread.  Symptom: a late tick.  Safeguard: no suspicion expires until one suspicion timeout after a stall,
so that every live member has had time to be heard.
"""

from __future__ import annotations

from topazbank.cluster.local_health import LOCAL_HEALTH_MAX, LocalHealth
from topazbank.cluster.settings import ProtocolSettings

_STALL_PERIODS = 2.5  # probe periods; a tick that is later than this is a stall


class StallMonitor:
    """Counts stalls of this process, and records until when its findings about other members are distrusted.

    Times are in microseconds.
    """

    __slots__ = ("_distrust_until", "_health", "_settings", "count")

    def __init__(self, now: int, settings: ProtocolSettings, health: LocalHealth) -> None:
        self._settings = settings
        self._health = health
        self._distrust_until = now
        self.count = 0

    def is_stall(self, late_us: int) -> bool:
        """Whether a tick this late is a stall; a smaller delay degrades the local health."""
        period_us = self._settings.probe_period_us
        if late_us > _STALL_PERIODS * period_us:
            return True
        if late_us > period_us // 2:
            self._health.degrade()
        return False

    def record(self, now: int, distrust_us: int) -> None:
        """Count a stall, and distrust this process's findings about other members for `distrust_us`."""
        self.count += 1
        self._health.degrade(LOCAL_HEALTH_MAX)
        self._distrust_until = now + distrust_us

    def is_distrusting(self, now: int) -> bool:
        """Whether this process stalled recently, so that its findings about other members may be outdated."""
        return now < self._distrust_until

    def is_trusted_again(self, now: int) -> bool:
        """Whether the period of distrust has passed."""
        return now > self._distrust_until
