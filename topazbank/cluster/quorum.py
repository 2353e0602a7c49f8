"""Whether this member reaches a majority of the cluster; no I/O, times in microseconds.

Failure: in a network split each side declares the other dead.  Symptom: many simultaneous suspicions.  Safeguard: no
suspicion expires while half or less of the recent cluster is free of suspicion.  The same applies for one suspicion
timeout after the majority returns, since members that were unreachable until then need that time to be heard.
"""

from __future__ import annotations

from topazbank.cluster.member import MemberState
from topazbank.cluster.member_table import MemberTable
from topazbank.cluster.settings import ProtocolSettings

RECENT_US = 60_000_000  # members that died within it still count, so deaths can't shrink the majority
_LONG_AGO_US = 3_600_000_000


class Quorum:
    """The size of the recent cluster, and the time at which the majority was last missing."""

    __slots__ = ("_lost_at", "_settings", "_table")

    def __init__(self, now: int, table: MemberTable, settings: ProtocolSettings) -> None:
        self._table = table
        self._settings = settings
        self._lost_at = now - _LONG_AGO_US

    def recent_size(self, now: int) -> int:
        """Return the number of members that are live or died recently, including the local one."""
        recently_dead = 0
        for ident, since in reversed(self._table.tombstones.items()):  # latest first
            if now - since >= RECENT_US:
                break
            recently_dead += self._table.records[ident].state is MemberState.DEAD
        return self._table.cluster_size + recently_dead

    def has_majority(self, now: int, suspects: int) -> bool:
        """Whether more than half of the recent cluster is live and not suspect."""
        return 2 * (self._table.cluster_size - suspects) > self.recent_size(now)

    def note_lost(self, now: int) -> None:
        """Record that the majority is missing now."""
        self._lost_at = now

    def was_lost_recently(self, now: int) -> bool:
        """Whether the majority was missing within the last suspicion timeout."""
        return now - self._lost_at < self._settings.suspicion_min_us(self._table.cluster_size)
