"""The table of the other members' records, its digest, and the order in which members are probed; no I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Mapping

from topazbank.cluster.member import MemberRecord, MemberState, digest_of
from topazbank.cluster.wire import DIGEST_FANOUT, DigestPart, IdentPrefix

MEMBERS_MAX = 8192  # records including tombstones; bounds what a sender can add to the table
_IDENT_BITS = 48
_SHUFFLE_MAX = 64  # records; larger tables are sampled
_SAMPLE_FACTOR = 8  # records drawn per record requested, since some are not alive


class MemberTable:
    """Records of the other members by ident, at most MEMBERS_MAX; excludes the local member."""

    __slots__ = ("_probe_order", "_random", "digest", "live_count", "records", "tombstones")

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self.records: dict[int, MemberRecord] = {}
        self.tombstones: dict[int, int] = {}  # when each member died or left, in microseconds
        self.live_count = 0
        self.digest = 0  # of the live members
        self._probe_order: list[int] = []  # members not yet probed in this round, next one last

    @property
    def cluster_size(self) -> int:
        """The number of members that may be running, including the local one."""
        return self.live_count + 1

    def put(self, now: int, record: MemberRecord) -> bool:
        """Store a record in place of the member's previous one; return False if the table is full."""
        old = self.records.get(record.ident)
        if old is None and len(self.records) >= MEMBERS_MAX and not self._evict_oldest_tombstone():
            return False
        was_live = old is not None and old.is_live
        if old is not None and was_live:
            self._remove_from_totals(old)
        if record.is_live:
            self.live_count += 1
            self.digest ^= digest_of(record)
            self.tombstones.pop(record.ident, None)
            if not was_live:
                position = self._random.randint(0, len(self._probe_order))
                self._probe_order.insert(position, record.ident)
        elif old is None or was_live:
            self.tombstones[record.ident] = now
        self.records[record.ident] = record
        return True

    def _evict_oldest_tombstone(self) -> bool:
        if not self.tombstones:
            return False
        self.remove(min(self.tombstones, key=self.tombstones.__getitem__))
        return True

    def remove(self, ident: int) -> None:
        """Remove a member's record and tombstone."""
        record = self.records.pop(ident, None)
        self.tombstones.pop(ident, None)
        if record is not None and record.is_live:
            self._remove_from_totals(record)

    def _remove_from_totals(self, record: MemberRecord) -> None:
        self.live_count -= 1
        self.digest ^= digest_of(record)

    def load(self, records: Mapping[int, MemberRecord], digest: int, local_ident: int) -> None:
        """Replace all records with `records`, which are all live; `digest` is theirs, including the local member's."""
        self.records = dict(records)
        local = self.records.pop(local_ident, None)
        self.live_count = len(self.records)
        self.digest = digest ^ (digest_of(local) if local is not None else 0)
        self._probe_order.clear()

    def next_probe_target(self) -> MemberRecord | None:
        """Return the member to probe next; each round visits every live member once, in a new random order."""
        target = self._pop_probe_target()
        if target is not None:
            return target
        self._probe_order = [ident for ident, record in self.records.items() if record.is_live]
        self._random.shuffle(self._probe_order)
        return self._pop_probe_target()

    def _pop_probe_target(self) -> MemberRecord | None:
        while self._probe_order:
            record = self.records.get(self._probe_order.pop())
            if record is not None and record.is_live:
                return record
        return None

    def sample_alive(self, count: int, excluded: Iterable[int] = ()) -> list[MemberRecord]:
        """Return up to `count` random members that are alive and not suspect, none of them in `excluded`."""
        skipped = set(excluded)
        if not self.live_count:
            return []
        if len(self.records) > _SHUFFLE_MAX:
            sample_size = min(len(self.records), _SAMPLE_FACTOR * count)
            drawn = self._random.sample(list(self.records), sample_size)
        else:
            drawn = list(self.records)
            self._random.shuffle(drawn)
        candidates = [self.records[ident] for ident in drawn if ident not in skipped]
        return [record for record in candidates if record.state is MemberState.ALIVE][:count]

    def with_prefix(self, prefix: IdentPrefix, local_record: MemberRecord) -> Iterator[MemberRecord]:
        """Yield the records whose ident begins with a prefix, including the local member's."""
        shift = _IDENT_BITS - 4 * prefix.depth
        for record in self.records.values():
            if record.ident >> shift == prefix.bits:
                yield record
        if local_record.ident >> shift == prefix.bits:
            yield local_record

    def digest_part(self, prefix: IdentPrefix, local_record: MemberRecord) -> DigestPart:
        """Return the digest of each of the sixteen prefixes one level below a prefix."""
        digests = [0] * DIGEST_FANOUT
        shift = _IDENT_BITS - 4 * (prefix.depth + 1)
        for record in self.with_prefix(prefix, local_record):
            if record.is_live:
                digests[(record.ident >> shift) & 0xF] ^= digest_of(record)
        return DigestPart(prefix, tuple(digests))
