"""What sidecars tell one another: how many requests each has in flight at each server.

A sidecar of many sees a sliver of what a server holds: nearly all its own counters are zero.  Where the settings let
sidecars send each other short messages, each tells all others its counts now and then, and adds up theirs.  A message
is a whole picture, so a lost one is made good by the next; what is old is forgotten.  No I/O; times in microseconds.

A message: the version (one byte, 1), then for each server with something in flight its tag (two bytes, little-endian)
and the count (one byte).  The tag is of the server's name, so that lists need not agree on an order; two servers that
share a tag share their counts, which is noise and no more.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable

from topazbank.estimation.fleet_size import FleetSize

VERSION = 1
MESSAGE_MOST = 256  # bytes, by the platform
ENTRY = struct.Struct("<HB")
ENTRIES_MOST = (MESSAGE_MOST - 1) // ENTRY.size  # the largest counts go first
COUNT_MOST = 255
SPEND = 0.006  # points of service that messages may cost, for all first tries together
EVERY_LEAST_US = 100_000  # between two messages: below that they tell what the network's delay makes old
LIFE_US = 1_000_000  # after which a picture is forgotten
SAVED_MOST = 2.0  # messages whose cost may be saved up
SENDERS_MOST = 256  # pictures kept: in a larger tier messages are too dear to tell anything in time


def tag_of(name: str) -> int:
    """The tag of a server's name: 16 bits."""
    return zlib.crc32(name.encode()) & 0xFFFF


class Hearsay:
    """The counts of other sidecars, and when to tell them the own ones."""

    __slots__ = (
        "_bytes_a_request",
        "_credit",
        "_heard",
        "_others",
        "_told_at",
        "_told_something",
        "_total",
    )

    def __init__(self, price: float, others: FleetSize) -> None:
        """`price`: points of service that a full message costs for each first try."""
        self._others = others
        others.when_gone(self._drop)
        # What may be delivered for each first try.  Free messages are as dear as one that costs a point.
        self._bytes_a_request = SPEND * MESSAGE_MOST / max(price, SPEND / 4.0)
        self._credit = 0.0  # bytes that may be delivered now
        self._told_at = 0
        self._told_something = False
        self._heard: dict[
            int, tuple[int, dict[int, int]]
        ] = {}  # by sender: when, and its counts; SENDERS_MOST
        self._total: dict[int, int] = {}  # over all of them

    @property
    def _listeners(self) -> int:
        return self._others.most - 1

    def arrived(self) -> None:
        """Note a first try: it pays for messages."""
        most = SAVED_MOST * MESSAGE_MOST * self._listeners
        self._credit = min(self._credit + self._bytes_a_request, most)

    def due(self, now: int) -> bool:
        """Whether a message might be sent now."""
        return (
            now - self._told_at >= EVERY_LEAST_US
            and 0 < self._listeners < SENDERS_MOST
            and self._credit > 0.0
        )

    def tell(self, now: int, counts: Iterable[tuple[int, int]]) -> bytes | None:
        """The message with these counts by tag, if it is worth its price now; None: not yet."""
        entries = [(tag, min(count, COUNT_MOST)) for tag, count in counts if count > 0]
        if len(entries) > ENTRIES_MOST:
            entries = sorted(entries, key=lambda each: -each[1])[:ENTRIES_MOST]
        if not entries and not self._told_something:
            return None  # who had nothing and has nothing says nothing
        cost = (1 + len(entries) * ENTRY.size) * self._listeners
        if self._credit < cost:
            return None
        self._credit -= cost
        self._told_at = now
        self._told_something = bool(entries)
        return bytes([VERSION]) + b"".join(ENTRY.pack(*each) for each in entries)

    def hear(self, now: int, sender: int, payload: bytes) -> bool:
        """Take another's message; False, and nothing changes, where it can't be read."""
        if (
            not payload
            or payload[0] != VERSION
            or (len(payload) - 1) % ENTRY.size
            or len(payload) > MESSAGE_MOST
        ):
            return False
        if sender not in self._heard and len(self._heard) >= SENDERS_MOST:
            return False
        self._drop(sender)
        counts: dict[int, int] = {}
        for tag, count in ENTRY.iter_unpack(payload[1:]):
            counts[tag] = counts.get(tag, 0) + count
            self._total[tag] = self._total.get(tag, 0) + count
        self._heard[sender] = (now, counts)
        return True

    def forget_old(self, now: int) -> None:
        """Forget the pictures that are older than their life."""
        for sender in [each for each, (at, _) in self._heard.items() if now - at > LIFE_US]:
            self._drop(sender)

    def held(self, tag: int) -> int:
        """Requests that others have in flight at the server of this tag, as far as is known."""
        return self._total.get(tag, 0)

    def senders(self) -> int:
        """How many others are heard."""
        return len(self._heard)

    def _drop(self, sender: int) -> None:
        _, counts = self._heard.pop(sender, (0, {}))
        for tag, count in counts.items():
            left = self._total[tag] - count
            if left > 0:
                self._total[tag] = left
            else:
                del self._total[tag]
