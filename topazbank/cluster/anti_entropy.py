"""Anti-entropy: finds where two members' tables differ and makes them equal, by digests of parts; no I/O.

Each message carries the digest of its sender's table.  Where two tables still differ once gossip has had its time, one
member sends the digests of the sixteen parts of its table.  The other answers for a few parts that differ: with its
records there and a request for the sender's, or, where these are too many, with the digests of that part's parts.  Each
message is handled by itself, so any may be lost or repeated.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from topazbank.cluster.member import MemberRecord, digest_of
from topazbank.cluster.member_table import MemberTable
from topazbank.cluster.settings import ProtocolSettings
from topazbank.cluster.wire import PREFIX_DEPTH_MAX, DigestPart, IdentPrefix, Message, record_capacity

REPLY_DATAGRAMS_MAX = 8  # that one message may cause
_PARTS_PER_REPLY = 4  # of those that differ
_CORRECTIONS_MAX = 64
_SYNC_PERIODS = 4  # between two comparisons that this member begins
_SPLIT_DATAGRAMS = 3  # a part whose records fill more is compared in its parts


@dataclass(frozen=True, slots=True)
class SyncReply:
    """One datagram: records, a request for records, or a prefix whose digests are to be sent."""

    records: Sequence[MemberRecord] = ()
    requested_prefix: IdentPrefix | None = None
    digest_prefix: IdentPrefix | None = None


class AntiEntropy:
    """When to compare tables, and what to reply; times in microseconds."""

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
        """The table has changed; the others' tables will follow by gossip."""
        self._changed_at = now

    def note_equal(self, now: int) -> None:
        """Another member's table is equal."""
        self._equal_at = now

    def begin_sync(self, now: int, *, is_joining: bool, has_gossip: bool) -> bool:
        """Whether to send digests to a member whose table differs; where so, the next sync waits.

        `has_gossip`: the difference may be an update that is still to be sent.
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
        """Another member has sent an outdated record: send the newer one with the next messages."""
        if len(self._corrections) < _CORRECTIONS_MAX:
            self._corrections[ident] = None

    def take_corrections(self, limit: int) -> list[int]:
        """Return up to `limit` members whose records to send; each once."""
        taken = list(self._corrections)[:limit]
        for ident in taken:
            del self._corrections[ident]
        return taken

    def replies(self, message: Message, own: MemberRecord, rng: random.Random) -> list[SyncReply]:
        """Return at most REPLY_DATAGRAMS_MAX replies to a message with digests or a request."""
        replies: list[SyncReply] = []
        if message.requested_prefix is not None:
            records = list(self._table.with_prefix(message.requested_prefix, own))
            if len(records) <= REPLY_DATAGRAMS_MAX * self._record_capacity:
                replies += self._record_replies(records)
        if message.digest_part is not None:
            replies += self._compare(message.digest_part, own, rng)
        return replies[:REPLY_DATAGRAMS_MAX]

    def _compare(self, theirs: DigestPart, own: MemberRecord, rng: random.Random) -> list[SyncReply]:
        depth, bits = theirs.prefix
        ours = self._table.digest_part(theirs.prefix, own)
        differing = [part for part, digest in enumerate(theirs.digests) if digest != ours.digests[part]]
        rng.shuffle(differing)
        replies: list[SyncReply] = []
        for part in differing[:_PARTS_PER_REPLY]:
            prefix = IdentPrefix(depth + 1, bits << 4 | part)
            replies += self._part_replies(prefix, theirs.digests[part], own)
        return replies

    def _part_replies(self, prefix: IdentPrefix, their_digest: int, own: MemberRecord) -> list[SyncReply]:
        records = list(self._table.with_prefix(prefix, own))
        if len(records) > _SPLIT_DATAGRAMS * self._record_capacity and prefix.depth < PREFIX_DEPTH_MAX - 1:
            return [SyncReply(digest_prefix=prefix)]
        if their_digest == 0:  # they have no members there
            return self._record_replies(records)
        if len(records) == 1 and digest_of(records[0]) == their_digest:
            return []
        return [SyncReply(requested_prefix=prefix), *self._record_replies(records)]

    def _record_replies(self, records: Sequence[MemberRecord]) -> list[SyncReply]:
        step = max(self._record_capacity, 1)
        return [SyncReply(records[start : start + step]) for start in range(0, len(records), step)]
