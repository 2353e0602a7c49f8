"""Anti-entropy: reconciles the member tables of two members by comparing digests of ident ranges; no I/O.

Each message carries the digest of its sender's table.  If two tables still differ after gossip had time to spread, one
member sends the digests of the sixteen parts of its table.  The other replies for a few differing parts: with its own
records and a request for the sender's, or, if a part has too many records, with the digests of its sixteen subparts.
Messages are handled independently, so each may be lost or duplicated.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from topazbank.cluster.member import MemberRecord, digest_of
from topazbank.cluster.member_table import MemberTable
from topazbank.cluster.settings import ProtocolSettings
from topazbank.cluster.wire import PREFIX_DEPTH_MAX, DigestPart, IdentPrefix, Message, record_capacity

REPLY_DATAGRAMS_MAX = 8  # sent in response to one message
_PARTS_PER_REPLY = 4  # differing parts that one reply covers; others wait for a later comparison
_CORRECTIONS_MAX = 64
_SYNC_PERIODS = 4  # probe periods between two comparisons that this member starts
_SPLIT_DATAGRAMS = 3  # a part whose records need more datagrams is split into subparts


@dataclass(frozen=True, slots=True)
class SyncReply:
    """The content of one datagram: records, a request for records, or a prefix whose digests to send."""

    records: Sequence[MemberRecord] = ()
    requested_prefix: IdentPrefix | None = None
    digest_prefix: IdentPrefix | None = None


class AntiEntropy:
    """Decides when to compare tables and what to reply; times in microseconds."""

    __slots__ = (
        "_changed_at",
        "_corrections",
        "_equal_at",
        "_next_sync_at",
        "_record_capacity",
        "_settings",
        "_table",
    )

    def __init__(self, table: MemberTable, settings: ProtocolSettings) -> None:
        self._table = table
        self._settings = settings
        self._record_capacity = record_capacity(settings.datagram_bytes, with_request=True)
        self._changed_at = 0
        self._equal_at = 0
        self._next_sync_at = 0
        self._corrections: dict[int, None] = {}

    def note_change(self, now: int) -> None:
        """Record that the table has changed; gossip will spread the change to the others."""
        self._changed_at = now

    def note_equal(self, now: int) -> None:
        """Record that another member's table is equal."""
        self._equal_at = now

    def begin_sync(self, now: int, *, is_joining: bool, has_gossip: bool) -> bool:
        """Whether to send digests to a member whose table differs; if so, delay the next comparison.

        `has_gossip`: updates are still queued, which may explain the difference.
        """
        if now < self._next_sync_at:
            return False
        dissemination_us = self._settings.dissemination_us(self._table.cluster_size)
        is_settled = not has_gossip and now - self._changed_at > dissemination_us
        if not is_joining and not is_settled and now - self._equal_at < 3 * dissemination_us:
            return False
        periods = 1 if is_joining else _SYNC_PERIODS
        self._next_sync_at = now + periods * self._settings.probe_period_us
        return True

    def correct(self, ident: int) -> None:
        """Send the current record of a member with the next messages, as another member sent an outdated one."""
        if len(self._corrections) < _CORRECTIONS_MAX:
            self._corrections[ident] = None

    def take_corrections(self, limit: int) -> list[int]:
        """Remove and return up to `limit` members whose records to send."""
        idents = list(self._corrections)[:limit]
        for ident in idents:
            del self._corrections[ident]
        return idents

    def replies(self, message: Message, local_record: MemberRecord, rng: random.Random) -> list[SyncReply]:
        """Return at most REPLY_DATAGRAMS_MAX replies to a message with digests or a request."""
        replies: list[SyncReply] = []
        if message.requested_prefix is not None:
            records = list(self._table.with_prefix(message.requested_prefix, local_record))
            if len(records) <= REPLY_DATAGRAMS_MAX * self._record_capacity:
                replies += self._record_replies(records)
        if message.digest_part is not None:
            replies += self._compare(message.digest_part, local_record, rng)
        return replies[:REPLY_DATAGRAMS_MAX]

    def _compare(
        self, remote_part: DigestPart, local_record: MemberRecord, rng: random.Random
    ) -> list[SyncReply]:
        depth, bits = remote_part.prefix
        local_part = self._table.digest_part(remote_part.prefix, local_record)
        differing = [
            part for part, digest in enumerate(remote_part.digests) if digest != local_part.digests[part]
        ]
        rng.shuffle(differing)
        replies: list[SyncReply] = []
        for part in differing[:_PARTS_PER_REPLY]:
            prefix = IdentPrefix(depth + 1, bits << 4 | part)
            replies += self._part_replies(prefix, remote_part.digests[part], local_record)
        return replies

    def _part_replies(
        self, prefix: IdentPrefix, remote_digest: int, local_record: MemberRecord
    ) -> list[SyncReply]:
        records = list(self._table.with_prefix(prefix, local_record))
        if len(records) > _SPLIT_DATAGRAMS * self._record_capacity and prefix.depth < PREFIX_DEPTH_MAX - 1:
            return [SyncReply(digest_prefix=prefix)]
        if remote_digest == 0:  # the other member has no records in this part
            return self._record_replies(records)
        if len(records) == 1 and digest_of(records[0]) == remote_digest:
            return []
        return [SyncReply(requested_prefix=prefix), *self._record_replies(records)]

    def _record_replies(self, records: Sequence[MemberRecord]) -> list[SyncReply]:
        batch_size = max(self._record_capacity, 1)
        return [
            SyncReply(records[start : start + batch_size]) for start in range(0, len(records), batch_size)
        ]
