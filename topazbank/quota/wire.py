"""What holders and keepers write to one another: one datagram a word, versioned and checked; no I/O.

    magic, version, kind, 0; sender (ident, life); budget; number, held; amount, burst, want; lease; check (4 bytes)

It comes to the same address as the tier's messages and is told from them by its first byte.  All numbers are
big-endian.  Bytes beyond the known ones are skipped: a later version may add to them, before the check.
"""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass
from enum import IntEnum

from topazbank.core.checksum import CHECKSUM_BYTES, with_checksum, without_checksum
from topazbank.quota.lease import Ask, Given
from topazbank.quota.rules import Part, Quota

MAGIC = 0xD9  # apart from the tier's and from hearsay's first bytes
VERSION = 1
DATAGRAM_MOST = 256  # bytes: the platform's bound
_BODY = struct.Struct("!BBBB6s6sIIIQIQI")
_AMOUNT_MOST = (1 << 63) - 1
_BURST_MOST = (1 << 32) - 1


class BadWord(ValueError):
    """Cut, changed, of another version, or none of ours."""


class Kind(IntEnum):
    ASK = 1
    GIVEN = 2
    BACK = 3  # all that was held is given back


@dataclass(frozen=True, slots=True)
class Envelope:
    """One word and who says it.  `budget`: the mark of its name and kind."""

    kind: Kind
    sender: int
    life: int
    budget: int
    ask: Ask | None = None
    given: Given | None = None


def mark_of(budget: Quota) -> int:
    """32 bits that stand for a budget: of another kind it is another."""
    data = f"{budget.kind}\0{budget.name}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=4).digest(), "big")


def encode(word: Envelope, key: bytes = b"") -> bytes:
    """The bytes of a word."""
    number = held = want = lease = 0
    part = Part(0, 0)
    if word.ask is not None:
        number, held, part, want = word.ask.number, word.ask.held, word.ask.holds, word.ask.want
    elif word.given is not None:
        number, part, lease = word.given.number, word.given.part, word.given.lease_us // 1000
    body = _BODY.pack(
        MAGIC,
        VERSION,
        word.kind,
        0,
        word.sender.to_bytes(6, "big"),
        word.life.to_bytes(6, "big"),
        word.budget,
        number,
        held,
        min(part.amount, _AMOUNT_MOST),
        min(part.burst, _BURST_MOST),
        min(want, _AMOUNT_MOST),
        lease,
    )
    return with_checksum(body, key)


def decode(data: bytes, key: bytes = b"") -> Envelope:
    """Read a word; raise BadWord where it is not whole and of this version."""
    if (
        not _BODY.size + CHECKSUM_BYTES <= len(data) <= DATAGRAM_MOST
        or data[0] != MAGIC
        or data[1] != VERSION
    ):
        raise BadWord("no word on a budget of this version")
    body = without_checksum(data, key)
    if body is None:
        raise BadWord("damaged, or of another key")
    _, _, kind, _, sender, life, budget, number, held, amount, burst, want, lease = _BODY.unpack_from(body)
    try:
        known = Kind(kind)
    except ValueError:
        raise BadWord(f"kind {kind}") from None
    part = Part(amount, burst)
    ask = Ask(number, held, part, want) if known in (Kind.ASK, Kind.BACK) else None
    given = Given(number, part, lease * 1000) if known is Kind.GIVEN else None
    who, since = int.from_bytes(sender, "big"), int.from_bytes(life, "big")
    return Envelope(known, who, since, budget, ask, given)
