"""The records that one member keeps of the others, and their digest; no I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Mapping

from topazbank.cluster.member import MemberRecord, MemberState, digest_of
from topazbank.cluster.settings import MEMBERS_MAX
from topazbank.cluster.wire import FANOUT, Parts

_BITS = 48


class Table:
    """Records by ident, at most MEMBERS_MOST; the gone are remembered a bounded time."""

    __slots__ = ("_chance", "_turns", "counted", "digest", "gone", "records")

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self.records: dict[int, MemberRecord] = {}
        self.gone: dict[int, int] = {}  # those of whom GONE or LEFT is said, and since when
        self.counted = 0  # the others
        self.digest = 0  # the sum of their marks
        self._turns: list[int] = []  # whose turns to be probed come, the last one first

    def put(self, now: int, record: MemberRecord) -> bool:
        """Hold this word; False where there is no room for one more member."""
        old = self.records.get(record.ident)
        if old is None and len(self.records) >= MEMBERS_MAX and not self._drop_one():
            return False
        if old is not None and old.counts:
            self.counted -= 1
            self.digest ^= digest_of(old)
        if record.counts:
            self.counted += 1
            self.digest ^= digest_of(record)
            self.gone.pop(record.ident, None)
            if old is None or not old.counts:
                # A newcomer's first turn is as random as any other's.
                self._turns.insert(self._chance.randint(0, len(self._turns)), record.ident)
        elif old is None or old.counts:
            self.gone[record.ident] = now
        self.records[record.ident] = record
        return True

    def _drop_one(self) -> bool:
        """Make room by forgetting who has been gone for longest."""
        if not self.gone:
            return False
        oldest = min(self.gone, key=self.gone.__getitem__)
        self.forget(oldest)
        return True

    def forget(self, ident: int) -> None:
        record = self.records.pop(ident, None)
        self.gone.pop(ident, None)
        if record is not None and record.counts:
            self.counted -= 1
            self.digest ^= digest_of(record)

    def settle(self, known: Mapping[int, MemberRecord], digest: int, me: int) -> None:
        """Hold these at once, but the own one; `digest`: the sum of all their marks.  All of them count."""
        self.records = dict(known)
        own = self.records.pop(me, None)
        self.counted = len(self.records)
        self.digest = digest ^ (digest_of(own) if own is not None else 0)
        self._turns.clear()

    def next_turn(self) -> MemberRecord | None:
        """Whom to probe next: each once in a round, every round in an order of its own."""
        for again in (False, True):
            while self._turns:
                record = self.records.get(self._turns.pop())
                if record is not None and record.counts:
                    return record
            if again:
                break
            self._turns = [ident for ident, each in self.records.items() if each.counts]
            self._chance.shuffle(self._turns)
        return None

    def some(self, count: int, without: Iterable[int] = ()) -> list[MemberRecord]:
        """Up to so many members that are here, by chance."""
        barred = set(without)
        if not self.counted:
            return []
        if len(self.records) > 64:
            drawn = self._chance.sample(list(self.records), min(len(self.records), 8 * count))
        else:
            drawn = list(self.records)
            self._chance.shuffle(drawn)
        found = [self.records[each] for each in drawn if each not in barred]
        return [each for each in found if each.state is MemberState.HERE][:count]

    def within(self, depth: int, prefix: int, own: MemberRecord) -> Iterator[MemberRecord]:
        """The records, the own one among them, whose ident begins with these groups of four bits."""
        shift = _BITS - 4 * depth
        for each in self.records.values():
            if each.ident >> shift == prefix:
                yield each
        if own.ident >> shift == prefix:
            yield own

    def parts(self, depth: int, prefix: int, own: MemberRecord) -> Parts:
        """The digest of one part, in its parts."""
        sums = [0] * FANOUT
        shift = _BITS - 4 * (depth + 1)
        for each in self.within(depth, prefix, own):
            if each.counts:
                sums[(each.ident >> shift) & 0xF] ^= digest_of(each)
        return Parts(depth, prefix, tuple(sums))
