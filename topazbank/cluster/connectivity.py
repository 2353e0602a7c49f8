"""Whether messages of other members, and acks of own probes, still arrive; no I/O, times in microseconds."""

from __future__ import annotations

from topazbank.cluster.local_health import LocalHealth
from topazbank.cluster.member_table import MemberTable
from topazbank.cluster.settings import ProtocolSettings


class Connectivity:
    """When something was last received."""

    __slots__ = ("_answered_at", "_health", "_heard_at", "_settings", "_table")

    def __init__(self, now: int, table: MemberTable, settings: ProtocolSettings, health: LocalHealth) -> None:
        self._table = table
        self._settings = settings
        self._health = health
        self._heard_at = now
        self._answered_at = now

    def note_message(self, now: int) -> None:
        """Any member's message has arrived."""
        self._heard_at = now

    def note_answer(self, now: int) -> None:
        """A probe was answered."""
        self._answered_at = now

    def reset(self, now: int) -> None:
        """Begin anew after a time in which nothing could be received."""
        self._heard_at = self._answered_at = now

    def hears_nobody(self, now: int) -> bool:
        """Whether no message has arrived for longer than chance explains."""
        silence_us = max(3 * self._settings.probe_period_us, self._settings.tolerated_pause_us // 2)
        return self._table.live_count > 0 and now - self._heard_at > silence_us

    def is_unanswered(self, now: int) -> bool:
        """Whether no probe has been answered for longer than message loss explains, though messages may arrive."""
        timeout_us = self._health.scale_timeout(self._settings.suspicion_min_us(self._table.cluster_size))
        return self._table.live_count > 0 and now - self._answered_at > timeout_us
