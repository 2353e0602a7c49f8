"""Whether other members' messages, and acks of local probes, still arrive; no I/O, times in microseconds."""

from __future__ import annotations

from topazbank.cluster.local_health import LocalHealth
from topazbank.cluster.member_table import MemberTable
from topazbank.cluster.settings import ProtocolSettings


class Connectivity:
    """The times at which a message and an ack were last received."""

    __slots__ = ("_answered_at", "_health", "_heard_at", "_settings", "_table")

    def __init__(self, now: int, table: MemberTable, settings: ProtocolSettings, health: LocalHealth) -> None:
        self._table = table
        self._settings = settings
        self._health = health
        self._heard_at = now
        self._answered_at = now

    def note_message(self, now: int) -> None:
        """Record that a message from a member has arrived."""
        self._heard_at = now

    def note_answer(self, now: int) -> None:
        """Record that a probe was answered."""
        self._answered_at = now

    def reset(self, now: int) -> None:
        """Restart both timers after a time in which nothing could be received."""
        self._heard_at = self._answered_at = now

    def hears_nobody(self, now: int) -> bool:
        """Whether the time since the last message is longer than chance would explain."""
        silence_us = max(3 * self._settings.probe_period_us, self._settings.tolerated_pause_us // 2)
        return self._table.live_count > 0 and now - self._heard_at > silence_us

    def is_unanswered(self, now: int) -> bool:
        """Whether the time since the last answered probe is longer than message loss would explain.

        Other messages may still arrive.
        """
        timeout_us = self._health.scale_timeout(self._settings.suspicion_min_us(self._table.cluster_size))
        return self._table.live_count > 0 and now - self._answered_at > timeout_us
