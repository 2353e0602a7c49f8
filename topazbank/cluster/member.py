"""What is said of one member of a tier, and which word of two holds; no I/O.

A member is known by its name, which crosses the wire as 48 bits of its hash.  Each start of it is a life (Unix
milliseconds of the start, or one more than a later one that others remember); within a life the member alone raises
its incarnation, to take back what is said of it.  So of two records that differ one is the newer, for everybody.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from topazbank.core.net import Address

IDENT_BYTES = 6  # of a name's hash: two of 5,000 names share theirs once in 20 million tiers
INCARNATION_MAX = 0xFFFF  # then a new life begins
ENDED_GENERATIONS_MAX = 16  # that are told of as gone where they matter to others than the tier
GENERATION_MAX = 0xFFFFFFFFFFFF


class MemberState(IntEnum):
    """What a record says; of the same incarnation the higher one holds."""

    HERE = 0
    SUSPECTED = 1
    GONE = 2
    LEFT = 3  # by its own word, for this life
    HEARD = 4  # on the wire alone: somebody has had its word, so long ago


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One word on one member.  Frozen: many views share it."""

    ident: int
    life: int
    incarnation: int
    state: MemberState = MemberState.HERE
    address: Address | None = None
    about: int = 0  # SUSPECTED: who suspects (16 bits of its ident); HEARD: milliseconds since

    def newer_than(self, other: MemberRecord) -> bool:
        """Whether this word holds against another on the same member."""
        return self._order() > other._order()

    def same_as(self, other: MemberRecord) -> bool:
        return self._order() == other._order()

    def _order(self) -> tuple[int, bool, int, int]:
        return (self.life, self.state is MemberState.LEFT, self.incarnation, self.state)

    @property
    def counts(self) -> bool:
        """Whether a member of which this is said may be there."""
        return self.state in (MemberState.HERE, MemberState.SUSPECTED)


class MemberGeneration(NamedTuple):
    """One process of a member."""

    ident: int
    generation: int  # Unix milliseconds of its start


@dataclass(frozen=True, slots=True)
class Generations:
    """What a member knows of lives: its own, and whose it knows to be over, each by ident and life."""

    own: MemberGeneration
    ended: tuple[MemberGeneration, ...] = ()  # the latest first, at most ENDED_GENERATIONS_MAX


def ident_of(name: str) -> int:
    """The 48 bits that stand for a name."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=IDENT_BYTES).digest(), "big")


def digest_of(record: MemberRecord) -> int:
    """32 bits of who a member is by now, for digests: equal views have equal sums of them, whatever they suspect."""
    mixed = (
        record.ident ^ (record.life * 0x9E3779B97F4A7C15) ^ (record.incarnation << 17)
    ) & 0xFFFFFFFFFFFFFFFF
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return (mixed ^ (mixed >> 27)) & 0xFFFFFFFF
