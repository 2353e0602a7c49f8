"""A holder's side of its lease with one keeper; no I/O, microseconds of the holder's own clock.

Promise: what is held is spent until `until` alone, and that is before the keeper that gave it stops counting it,
whatever was lost, doubled or late.  For a lease runs, by the holder's clock, from when it *asked*; by the keeper's from
when it gave, for longer by the drift of two clocks.  An answer counts once, to the latest question that has one.

Each message that a holder sends to a keeper has a number of its own that only grows in the holder's life.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from topazbank.quota.rules import NOTHING, Part

ASKED_MOST = 8  # questions whose answers may still come


@dataclass(frozen=True, slots=True)
class Ask:
    """A holder's word to a keeper."""

    number: int
    held: int  # the number of the question whose answer is held: earlier answers are never taken again
    holds: Part  # by that answer
    want: int  # that it could use, holds included; of a rate thousandths a second


@dataclass(frozen=True, slots=True)
class Given:
    """A keeper's answer: this part, for so long from when it was asked for."""

    number: int  # of the question
    part: Part
    lease_us: int


@dataclass(slots=True)
class Lease:
    """What a holder has from one keeper."""

    number: int = 0
    held: int = 0
    part: Part = NOTHING
    until: int = 0
    answered_at: int | None = None
    asked: dict[int, int] = field(default_factory=dict)  # when, by number: ASKED_MOST

    def ask(self, now: int, want: int) -> Ask:
        """The next question."""
        self.number += 1
        self.asked[self.number] = now
        if len(self.asked) > ASKED_MOST:
            del self.asked[next(iter(self.asked))]
        return Ask(self.number, self.held, self.holding(now), want)

    def take(self, now: int, given: Given) -> bool:
        """Take an answer; False where it is none to a question of this life, or too old to be of use."""
        asked_at = self.asked.get(given.number)
        if asked_at is None or given.number <= self.held:
            return False
        self.answered_at = now
        until = asked_at + given.lease_us
        if until <= now:
            return False
        self.held, self.part, self.until = given.number, given.part, until
        self._forget()
        return True

    def give_back(self, now: int) -> Ask:
        """Hold nothing any more; no answer to an earlier question counts from now on."""
        self.number += 1
        self.held, self.part, self.until = self.number, NOTHING, now
        self._forget()
        return Ask(self.number, self.held, NOTHING, 0)

    def _forget(self) -> None:
        self.asked = {number: at for number, at in self.asked.items() if number > self.held}

    def holding(self, now: int) -> Part:
        """What may be spent by now."""
        return self.part if now < self.until else NOTHING
