"""Declares suspects dead when their suspicion times out, if this process can judge; no I/O, microseconds."""

from __future__ import annotations

from topazbank.cluster.changes import ChangeReason
from topazbank.cluster.connectivity import Connectivity
from topazbank.cluster.last_heard import LastHeard
from topazbank.cluster.local_health import LocalHealth
from topazbank.cluster.member_table import MemberTable
from topazbank.cluster.membership import Membership
from topazbank.cluster.quorum import Quorum
from topazbank.cluster.settings import ProtocolSettings
from topazbank.cluster.stall_monitor import StallMonitor

_MASS_SUSPICION_RATIO = 0.25  # of the recent cluster; after a split, suspicions arrive over about a second
_MASS_SUSPICION_FACTOR = 2  # multiplies the timeout during a mass suspicion


class SuspicionTimeouts:
    """Declares suspects dead once their timeout has passed."""

    __slots__ = (
        "_connectivity",
        "_health",
        "_last_heard",
        "_membership",
        "_quorum",
        "_settings",
        "_stalls",
        "_table",
    )

    def __init__(
        self,
        membership: Membership,
        table: MemberTable,
        last_heard: LastHeard,
        connectivity: Connectivity,
        quorum: Quorum,
        stalls: StallMonitor,
        health: LocalHealth,
        settings: ProtocolSettings,
    ) -> None:
        self._membership = membership
        self._table = table
        self._last_heard = last_heard
        self._connectivity = connectivity
        self._quorum = quorum
        self._stalls = stalls
        self._health = health
        self._settings = settings

    def expire(self, now: int) -> None:
        """Declare dead the suspects whose timeout has passed, if this process can judge."""
        suspects = len(self._membership.suspicions)
        if not suspects:
            return
        if self._connectivity.hears_nobody(now) or not self._quorum.has_majority(now, suspects):
            self._quorum.note_lost(now)
            self._expire_unheard_for_long(now)
            return
        if self._stalls.is_distrusting(now) or self._quorum.was_lost_recently(now):
            return
        self._expire_due(now, self._timeout_factor(now, suspects))

    def _timeout_factor(self, now: int, suspects: int) -> float:
        is_mass_suspicion = suspects > _MASS_SUSPICION_RATIO * self._quorum.recent_size(now)
        return self._health.suspicion_factor * (_MASS_SUSPICION_FACTOR if is_mass_suspicion else 1)

    def _expire_due(self, now: int, factor: float) -> None:
        for ident, suspicion in list(self._membership.suspicions.items()):
            last_heard = self._last_heard.get(ident)
            # Each death shrinks the cluster and so shortens the timeout.
            cluster_size = self._table.cluster_size
            if suspicion.expires_at(self._settings, cluster_size, last_heard, factor) <= now:
                self._membership.declare_dead(now, ident, ChangeReason.SUSPICION_TIMEOUT)

    def _expire_unheard_for_long(self, now: int) -> None:
        """Declare dead the suspects that nobody has heard for `tombstone_us`, even without a majority."""
        for ident, suspicion in list(self._membership.suspicions.items()):
            last_evidence = max(suspicion.since, self._last_heard.get(ident) or 0)
            if now - last_evidence > self._settings.tombstone_us:
                self._membership.declare_dead(now, ident, ChangeReason.LONG_SILENCE)
