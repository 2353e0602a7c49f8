"""The table of the other members' records, its digest, and the order in which members are probed; no I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Mapping

from topazbank.cluster.member import MemberRecord, MemberState, digest_of
from topazbank.cluster.wire import DIGEST_FANOUT, DigestPart, IdentPrefix

MEMBERS_MAX = 8192  # records, tombstones included: no sender can grow the table beyond it
_IDENT_BITS = 48
_SHUFFLE_MAX = 64  # records; of larger tables a sample is drawn
_SAMPLE_FACTOR = 8  # records drawn for each one wanted, since some are not alive


class MemberTable:
    """Records of the other members by ident, at most MEMBERS_MAX; the local member is not among them."""

    __slots__ = ("_probe_order", "_random", "digest", "live_count", "records", "tombstones")

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self.records: dict[int, MemberRecord] = {}
        self.tombstones: dict[int, int] = {}  # members that are dead or have left, and since when (us)
        self.live_count = 0
        self.digest = 0  # of the live members
        self._probe_order: list[int] = []  # the rest of this round, the next one last

    @property
    def cluster_size(self) -> int:
        """Members that may be running, the local member included."""
        return self.live_count + 1

    def put(self, now: int, record: MemberRecord) -> bool:
        """Store a record in place of the member's former one; return False where the table is full."""
        old = self.records.get(record.ident)
        if old is None and len(self.records) >= MEMBERS_MAX and not self._evict_oldest_tombstone():
            return False
        was_live = old is not None and old.is_live
        if old is not None and was_live:
            self._uncount(old)
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
        """Forget a member."""
        record = self.records.pop(ident, None)
        self.tombstones.pop(ident, None)
        if record is not None and record.is_live:
            self._uncount(record)

    def _uncount(self, record: MemberRecord) -> None:
        self.live_count -= 1
        self.digest ^= digest_of(record)

    def load(self, records: Mapping[int, MemberRecord], digest: int, local_ident: int) -> None:
        """Replace all records by these, which are all live; `digest`: of all of them, the local member included."""
        self.records = dict(records)
        local = self.records.pop(local_ident, None)
        self.live_count = len(self.records)
        self.digest = digest ^ (digest_of(local) if local is not None else 0)
        self._probe_order.clear()

    def next_probe_target(self) -> MemberRecord | None:
        """Return the member to probe next: each once a round, in a new random order each round."""
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
        """Return up to `count` random members that are alive and not suspect."""
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

    def with_prefix(self, prefix: IdentPrefix, own: MemberRecord) -> Iterator[MemberRecord]:
        """Yield the records, the local member's included, whose ident begins with a prefix."""
        shift = _IDENT_BITS - 4 * prefix.depth
        for record in self.records.values():
            if record.ident >> shift == prefix.bits:
                yield record
        if own.ident >> shift == prefix.bits:
            yield own

    def digest_part(self, prefix: IdentPrefix, own: MemberRecord) -> DigestPart:
        """Return the digests of the sixteen parts below a prefix."""
        digests = [0] * DIGEST_FANOUT
        shift = _IDENT_BITS - 4 * (prefix.depth + 1)
        for record in self.with_prefix(prefix, own):
            if record.is_live:
                digests[(record.ident >> shift) & 0xF] ^= digest_of(record)
        return DigestPart(prefix, tuple(digests))
