"""Whether this member reaches a majority of the cluster; no I/O, times in microseconds.

The failure: in a network split each side declares the other dead.  It shows as many suspicions at once.  The guard:
no suspicion expires while the members that nobody suspects are half or less of the recent cluster, nor within one
suspicion timeout after that has ended, since members that were unreachable until then need the time to be heard.
"""

from __future__ import annotations

from topazbank.cluster.member import MemberState
from topazbank.cluster.member_table import MemberTable
from topazbank.cluster.settings import ProtocolSettings

RECENT_US = 60_000_000  # members that died within it still count: a view can't shrink its own majority
_LONG_AGO_US = 3_600_000_000


class Quorum:
    """The size of the recent cluster, and when the majority was last lost."""

    __slots__ = ("_lost_at", "_settings", "_table")

    def __init__(self, now: int, table: MemberTable, settings: ProtocolSettings) -> None:
        self._table = table
        self._settings = settings
        self._lost_at = now - _LONG_AGO_US

    def recent_size(self, now: int) -> int:
        """Return the number of live members and of those that died recently, the local member included."""
        recently_dead = 0
        for ident, since in reversed(self._table.tombstones.items()):  # the latest first
            if now - since >= RECENT_US:
                break
            recently_dead += self._table.records[ident].state is MemberState.DEAD
        return self._table.cluster_size + recently_dead

    def has_majority(self, now: int, suspects: int) -> bool:
        """Whether more than half of the recent cluster is live and not suspect."""
        return 2 * (self._table.cluster_size - suspects) > self.recent_size(now)

    def note_lost(self, now: int) -> None:
        """The majority is missing now."""
        self._lost_at = now

    def was_lost_recently(self, now: int) -> bool:
        """Whether the majority was missing within the last suspicion timeout."""
        return now - self._lost_at < self._settings.suspicion_min_us(self._table.cluster_size)
