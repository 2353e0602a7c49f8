"""When any member last heard each other member: evidence that postpones a suspect's death; no I/O, microseconds."""

from __future__ import annotations

from topazbank.cluster.settings import ProtocolSettings


class LastHeard:
    """Times of the latest evidence, by member."""

    __slots__ = ("_gossiped_at", "_heard_at", "_settings")

    def __init__(self, settings: ProtocolSettings) -> None:
        self._settings = settings
        self._heard_at: dict[int, int] = {}
        self._gossiped_at: dict[int, int] = {}

    def get(self, ident: int) -> int | None:
        """Return when a member was last heard by anyone; None where that is unknown."""
        return self._heard_at.get(ident)

    def update(self, ident: int, heard_at: int) -> bool:
        """Record that a member was heard at this time; return False where later evidence is known."""
        if heard_at <= self._heard_at.get(ident, -1):
            return False
        self._heard_at[ident] = heard_at
        return True

    def take_gossip_turn(self, now: int, ident: int) -> bool:
        """Whether to gossip of a suspect now; at most four times in a tolerated pause."""
        pause_us = self._settings.tolerated_pause_us
        if now - self._gossiped_at.get(ident, -pause_us) <= pause_us // 4:
            return False
        self._gossiped_at[ident] = now
        return True

    def was_recent(self, now: int, ident: int, within_us: int) -> bool:
        """Whether a member was heard within this time."""
        return now - self._heard_at.get(ident, -self._settings.tombstone_us) < within_us

    def clear(self, ident: int) -> None:
        """Drop the time of a member that is dead or has left."""
        self._heard_at.pop(ident, None)

    def forget(self, ident: int) -> None:
        """Drop all that is known of a member."""
        self._heard_at.pop(ident, None)
        self._gossiped_at.pop(ident, None)
