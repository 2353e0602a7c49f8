"""The record of one cluster member, and the order in which records supersede each other; no I/O.

A member is identified by its name, which messages carry as 48 bits of the name's hash.  Each process of a member has
a generation: its start time in Unix milliseconds, or one more than a later generation that other members remember.
Within a generation only the member itself raises its incarnation, to refute what others report about it.  Records of
one member are therefore totally ordered, and all members agree on the order.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from topazbank.core.net import Address

IDENT_BYTES = 6  # of a name's hash; two of 5,000 names collide in 1 of 20 million clusters
INCARNATION_MAX = 0xFFFF  # a refutation that would exceed it begins a new generation
ENDED_GENERATIONS_MAX = 16  # reported to the planners
_UINT64_MASK = 0xFFFFFFFFFFFFFFFF


class MemberState(IntEnum):
    """The state that a record reports; the higher of two states of one incarnation supersedes the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # reported by the member itself, for its generation
    LAST_HEARD = 4  # in messages only: the time at which the member was last heard


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A report about one member.  Frozen, so that several tables can share it."""

    ident: int
    generation: int
    incarnation: int
    state: MemberState = MemberState.ALIVE
    address: Address | None = None
    detail: int = 0  # SUSPECT: the reporter's short ident (16 bits); LAST_HEARD: age in milliseconds

    def supersedes(self, other: MemberRecord) -> bool:
        """Whether this record replaces another of the same member."""
        return self._rank() > other._rank()

    def ranks_equal(self, other: MemberRecord) -> bool:
        """Whether both records report the same state of the same incarnation."""
        return self._rank() == other._rank()

    def _rank(self) -> tuple[int, bool, int, int]:
        return (self.generation, self.state is MemberState.LEFT, self.incarnation, self.state)

    @property
    def is_live(self) -> bool:
        """Whether the member may be running, as alive or suspect."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


class ProcessGeneration(NamedTuple):
    """One process of a member."""

    ident: int
    generation: int  # start time in Unix milliseconds


@dataclass(frozen=True, slots=True)
class Generations:
    """The local member's generation, and the known ended generations of other members."""

    own: ProcessGeneration
    ended: tuple[ProcessGeneration, ...] = ()  # latest first, at most ENDED_GENERATIONS_MAX


def ident_of(name: str) -> int:
    """Return the 48-bit ident of a name."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=IDENT_BYTES).digest(), "big")


def digest_of(record: MemberRecord) -> int:
    """Return 32 bits of a member's ident, generation and incarnation.

    The state is excluded, so tables that differ only in suspicions have equal digests.
    """
    mixed = (
        record.ident ^ (record.generation * 0x9E3779B97F4A7C15) ^ (record.incarnation << 17)
    ) & _UINT64_MASK
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9 & _UINT64_MASK
    return (mixed ^ (mixed >> 27)) & 0xFFFFFFFF
