"""Selects membership updates to gossip and builds their records when they are sent; no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from topazbank.cluster.gossip_queue import GossipKey, GossipQueue
from topazbank.cluster.last_heard import LastHeard
from topazbank.cluster.local_member import LocalMember
from topazbank.cluster.member import MemberRecord, MemberState
from topazbank.cluster.member_table import MemberTable
from topazbank.cluster.settings import ProtocolSettings
from topazbank.cluster.suspicion import Suspicion

_AGE_MS_MAX = 0xFFFF


class Dissemination:
    """Queues updates about the local member and the others."""

    __slots__ = ("_last_heard", "_local", "_queue", "_settings", "_suspicions", "_table")

    def __init__(
        self,
        local: LocalMember,
        table: MemberTable,
        suspicions: Mapping[int, Suspicion],
        last_heard: LastHeard,
        settings: ProtocolSettings,
    ) -> None:
        self._local = local
        self._table = table
        self._suspicions = suspicions
        self._last_heard = last_heard
        self._settings = settings
        self._queue = GossipQueue()

    @property
    def has_updates(self) -> bool:
        """Whether updates are queued."""
        return len(self._queue) > 0

    def announce(self, ident: int, urgent: bool = True) -> None:
        """Queue a member's record for gossip."""
        self._enqueue(GossipKey(ident, False), urgent)

    def announce_last_heard(self, ident: int) -> None:
        """Queue the time a suspect was last heard for gossip."""
        self._enqueue(GossipKey(ident, True), urgent=True)

    def _enqueue(self, key: GossipKey, urgent: bool) -> None:
        self._queue.put(key, self._settings.retransmissions(self._table.cluster_size), urgent)

    def take(self, now: int, limit: int) -> list[MemberRecord]:
        """Return up to `limit` updates to send now."""
        return self._queue.take(limit, lambda key: self._record_to_send(now, key))

    def current_record(self, ident: int) -> MemberRecord | None:
        """Return the record of a member, which may be the local one; None if the member is unknown."""
        if ident == self._local.ident:
            return self._local.record
        return self._table.records.get(ident)

    def _record_to_send(self, now: int, key: GossipKey) -> MemberRecord | None:
        record = self.current_record(key.ident)
        if record is None or not key.is_last_heard or key.ident == self._local.ident:
            return record
        heard_at = self._last_heard.get(key.ident)
        if heard_at is None or key.ident not in self._suspicions:
            return None
        age_ms = min(max((now - heard_at) // 1000, 0), _AGE_MS_MAX)
        return replace(record, state=MemberState.LAST_HEARD, detail=age_ms)
