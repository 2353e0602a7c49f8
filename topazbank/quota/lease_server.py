"""A keeper's side: its own slice of a whole, lent out in parts; no I/O, microseconds of the keeper's own clock.

Promise: at every instant the parts that anybody may spend by this keeper's word add up to its slice or less.  It counts
an answer that it gave until the holder has said that it holds a later one, or until the lease is over by any clock.

A keeper that does not remember what it gave is quiet for as long as any lease may run: it renews what holders say they
hold, which its former process counted too, and gives nothing new.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from topazbank.quota.fair_share import divide, step
from topazbank.quota.lease import Ask, Given
from topazbank.quota.rules import NOTHING, Part, Quota, total

HOLDERS_MOST = 8192  # lives of holders that are counted; who comes beyond gets nothing
ANSWERS_MOST = (
    4  # to one holder that are counted apart; then the oldest two as one, of the larger part and later end
)
DEALS = 20  # in a lease: how often the whole is divided anew

Who = tuple[int, int]  # a holder's ident and life


@dataclass(slots=True)
class Answer:
    """One answer that may still be spent by."""

    number: int
    part: Part
    until: int


@dataclass(slots=True)
class Holder:
    """One life of a holder."""

    last: int = 0  # the number of its latest word
    answers: list[Answer] = field(default_factory=list)  # ANSWERS_MOST
    want: int = 0
    counted: Part = NOTHING  # the most of what its answers say
    quiet_until: int = 0  # its want is forgotten then


class Keeper:
    """One budget's slice at one keeper."""

    def __init__(
        self,
        budget: Quota,
        slice_: Part,
        now: int,
        remembered: Iterable[tuple[Who, int, Part, int]] | None = None,
    ) -> None:
        """`remembered`: of each life its answers (number, part, until); None: what was given may be forgotten."""
        self.budget = budget
        self.slice = slice_
        self.holders: dict[Who, Holder] = {}  # HOLDERS_MOST
        self.counted = NOTHING  # over all holders
        self.quiet_until = now + budget.quiet_us if remembered is None else now
        self._dealt: dict[Who, int] = {}
        self._deal_at = now
        self._next_end = 0
        for who, number, part, until in remembered or ():
            holder = self.holders.setdefault(who, Holder(last=number))
            holder.last = max(holder.last, number)
            self._add(holder, Answer(number, part, until))

    # -- Words of holders ------------------------------------------------------------------------------

    def ask(self, now: int, who: Who, ask: Ask) -> Given | None:
        """Answer a question; None where it is an old one, or there is no room for one more holder."""
        self.expire(now)
        holder = self._heard(who, ask)
        if holder is None:
            return None
        quiet = now < self.quiet_until
        if quiet:
            part = self._renewed(holder, ask)
        else:
            holder.want, holder.quiet_until = ask.want, now + self.budget.counted_us(self.budget.lease_us)
            part = self._dealt_to(now, who, holder, ask)
        until = now + self.budget.counted_us(self.budget.lease_us)
        if part:
            self._add(holder, Answer(ask.number, part, until))
            self._next_end = min(self._next_end or until, until)
        return Given(ask.number, part, self.budget.lease_us)

    def give_back(self, now: int, who: Who, ask: Ask) -> bool:
        """A holder holds nothing any more; False where that is an old word."""
        self.expire(now)
        holder = self._heard(who, ask)
        if holder is None:
            return False
        holder.want = 0
        self._dealt.pop(who, None)
        return True

    def _heard(self, who: Who, ask: Ask) -> Holder | None:
        """Note what a word tells: answers before the one that is held are never spent by again."""
        holder = self.holders.get(who)
        if holder is None:
            if len(self.holders) >= HOLDERS_MOST:
                return None
            holder = self.holders[who] = Holder()
        if ask.number <= holder.last:
            return None  # doubled, or overtaken
        holder.last = ask.number
        holder.answers = [each for each in holder.answers if each.number >= ask.held]
        self._recount(holder)
        return holder

    def _renewed(self, holder: Holder, ask: Ask) -> Part:
        """In quiet: what it holds already, as far as the slice goes, and no more than it wants."""
        room = self._room(holder)
        amount = min(ask.holds.amount, ask.want, room.amount)
        return Part(amount, min(ask.holds.burst, room.burst)) if amount > 0 else NOTHING

    def _dealt_to(self, now: int, who: Who, holder: Holder, ask: Ask) -> Part:
        if now >= self._deal_at:
            self._deal(now)
        room = self._room(holder)
        target = self._dealt.get(who)
        if target is None:  # it came after the deal: what is free, until the next one
            target = self._dealt[who] = min(ask.want, room.amount)
        least = max(self.slice.amount // 100, 1)  # smaller steps down go all the way
        amount = step(ask.holds.amount, min(target, ask.want), room.amount, least)
        return Part(amount, self._burst(amount, room.burst)) if amount > 0 else NOTHING

    def _burst(self, amount: int, room: int) -> int:
        """Of the slice's burst what goes with this amount: by proportion, so that all together stay within."""
        return min(self.slice.burst * amount // max(self.slice.amount, 1), room)

    def _deal(self, now: int) -> None:
        self._deal_at = now + self.budget.lease_us // DEALS
        wants = {
            who: each.want for who, each in self.holders.items() if each.want > 0 and now < each.quiet_until
        }
        self._dealt = divide(self.slice.amount, wants)

    # -- What is counted -------------------------------------------------------------------------------

    def _room(self, holder: Holder) -> Part:
        """What this holder may have, beside what all others may spend."""
        others = Part(self.counted.amount - holder.counted.amount, self.counted.burst - holder.counted.burst)
        return Part(max(self.slice.amount - others.amount, 0), max(self.slice.burst - others.burst, 0))

    def _add(self, holder: Holder, answer: Answer) -> None:
        holder.answers.append(answer)
        if len(holder.answers) > ANSWERS_MOST:
            one, other, *rest = holder.answers
            most = Part(max(one.part.amount, other.part.amount), max(one.part.burst, other.part.burst))
            holder.answers = [Answer(other.number, most, max(one.until, other.until)), *rest]
        self._recount(holder)

    def _recount(self, holder: Holder) -> None:
        parts = [each.part for each in holder.answers]
        counted = Part(max((p.amount for p in parts), default=0), max((p.burst for p in parts), default=0))
        old = holder.counted
        holder.counted = counted
        self.counted = Part(
            self.counted.amount + counted.amount - old.amount, self.counted.burst + counted.burst - old.burst
        )

    def expire(self, now: int) -> None:
        """Forget answers whose lease is over by any clock."""
        if now < self._next_end or not self._next_end:
            return
        self._next_end = 0
        for who, holder in list(self.holders.items()):
            if any(each.until <= now for each in holder.answers):
                holder.answers = [each for each in holder.answers if each.until > now]
                self._recount(holder)
            ends = [each.until for each in holder.answers]
            if ends:
                self._next_end = min([self._next_end or ends[0], *ends])
            elif now >= holder.quiet_until:
                # A word of this life that comes late may be taken anew: it can't ask for what another has.
                del self.holders[who]
                self._dealt.pop(who, None)

    def check(self) -> None:
        """That the books balance."""
        assert self.counted == total(each.counted for each in self.holders.values())
        assert self.counted.amount <= self.slice.amount and self.counted.burst <= self.slice.burst
