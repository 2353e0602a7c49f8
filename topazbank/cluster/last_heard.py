"""When each member was last heard by any member; this postpones a suspect's death.  No I/O, microseconds."""

from __future__ import annotations

from topazbank.cluster.settings import ProtocolSettings


class LastHeard:
    """The latest time at which each member was heard, and the latest time at which that was gossiped."""

    __slots__ = ("_gossiped_at", "_heard_at", "_settings")

    def __init__(self, settings: ProtocolSettings) -> None:
        self._settings = settings
        self._heard_at: dict[int, int] = {}
        self._gossiped_at: dict[int, int] = {}

    def get(self, ident: int) -> int | None:
        """Return when a member was last heard by any member; None if unknown."""
        return self._heard_at.get(ident)

    def update(self, ident: int, heard_at: int) -> bool:
        """Record that a member was heard at `heard_at`; return False if an equal or later time is known."""
        if heard_at <= self._heard_at.get(ident, -1):
            return False
        self._heard_at[ident] = heard_at
        return True

    def claim_gossip_slot(self, now: int, ident: int) -> bool:
        """Whether to gossip a suspect's time now, up to four times per tolerated pause.  Marks it as gossiped."""
        pause_us = self._settings.tolerated_pause_us
        if now - self._gossiped_at.get(ident, -pause_us) <= pause_us // 4:
            return False
        self._gossiped_at[ident] = now
        return True

    def was_recent(self, now: int, ident: int, within_us: int) -> bool:
        """Whether a member was heard within the last `within_us`."""
        return now - self._heard_at.get(ident, -self._settings.tombstone_us) < within_us

    def clear(self, ident: int) -> None:
        """Remove the last-heard time of a member that is dead or has left."""
        self._heard_at.pop(ident, None)

    def forget(self, ident: int) -> None:
        """Remove all times of a member."""
        self._heard_at.pop(ident, None)
        self._gossiped_at.pop(ident, None)
