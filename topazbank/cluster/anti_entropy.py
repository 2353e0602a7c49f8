"""How two views that differ find where, and are made equal: by parts of a digest, no larger than a datagram; no I/O.

Each message carries the sum over its sender's view.  Where two go on to differ after news has had its time, one sends
the sums of the view's sixteen parts; the other answers, for a few parts that differ, with its records there, asking
for the other's, or where these are too many with the sums of that part's parts.  Nothing is kept between two messages,
so any of them may be lost or come twice.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from topazbank.cluster.member import MemberRecord, digest_of
from topazbank.cluster.member_table import Table
from topazbank.cluster.settings import MEND_DATAGRAMS, ProtocolSettings
from topazbank.cluster.wire import Message, records_in

PARTS_AT_ONCE = 4  # of those that differ
CORRECTIONS_MOST = 64  # waiting to be told
_EVERY_PERIODS = 4  # between two mends that this member begins


@dataclass(frozen=True, slots=True)
class Reply:
    """One datagram: records, or a part whose sums are sent."""

    records: Sequence[MemberRecord] = ()
    want: tuple[int, int] | None = None
    part: tuple[int, int] | None = None


class Mender:
    """When to compare views, and what to answer."""

    __slots__ = ("_changed_at", "_corrections", "_equal_at", "_next", "_room", "_rules", "_table")

    def __init__(self, table: Table, rules: ProtocolSettings) -> None:
        self._table = table
        self._rules = rules
        self._room = records_in(rules.datagram, want=True)
        self._changed_at = 0
        self._equal_at = 0
        self._next = 0
        self._corrections: dict[int, None] = {}

    def changed(self, now: int) -> None:
        """The view has changed; so will others', by the news of it."""
        self._changed_at = now

    def heard(self, now: int, equal: bool) -> None:
        if equal:
            self._equal_at = now

    def is_due(self, now: int, size: int, joining: bool, news: bool) -> bool:
        """Whether to compare now that another's view differs; `news`: it may be that it is not told yet."""
        if now < self._next:
            return False
        spread = self._rules.spread_us(size)
        settled = not news and now - self._changed_at > spread
        if not joining and not settled and now - self._equal_at < 3 * spread:
            return False
        self._next = now + (self._rules.period_us if joining else _EVERY_PERIODS * self._rules.period_us)
        return True

    def correct(self, ident: int) -> None:
        """Somebody told less of this member than is known: the next messages say more."""
        if len(self._corrections) < CORRECTIONS_MOST:
            self._corrections[ident] = None

    def corrections(self, most: int) -> list[int]:
        """Members to be told of beside the news; each is given once."""
        found = list(self._corrections)[:most]
        for each in found:
            del self._corrections[each]
        return found

    def replies(self, message: Message, own: MemberRecord, chance: random.Random) -> list[Reply]:
        """What a message with sums or with a wish is answered by: MEND_DATAGRAMS at most."""
        made: list[Reply] = []
        if message.want is not None:
            records = list(self._table.within(*message.want, own))
            if len(records) <= MEND_DATAGRAMS * self._room:
                made += self._chunks(records)
        if message.parts is not None:
            depth, prefix = message.parts.depth, message.parts.prefix
            mine = self._table.parts(depth, prefix, own)
            differ = [n for n, each in enumerate(message.parts.sums) if each != mine.sums[n]]
            chance.shuffle(differ)
            for number in differ[:PARTS_AT_ONCE]:
                made += self._part(depth + 1, prefix << 4 | number, message.parts.sums[number], own)
        return made[:MEND_DATAGRAMS]

    def _part(self, depth: int, prefix: int, theirs: int, own: MemberRecord) -> list[Reply]:
        records = list(self._table.within(depth, prefix, own))
        if len(records) > 3 * self._room and depth < 11:
            return [Reply(part=(depth, prefix))]
        if theirs == 0:  # they have none there: nothing to ask for
            return self._chunks(records)
        if len(records) == 1 and digest_of(records[0]) == theirs:
            return []
        return [Reply((), (depth, prefix)), *self._chunks(records)]

    def _chunks(self, records: Sequence[MemberRecord]) -> list[Reply]:
        room = max(self._room, 1)
        return [Reply(records[at : at + room]) for at in range(0, len(records), room)]
