"""Gossip among sidecars: how many requests each has in flight at each server.

One sidecar of many sees a small part of a server's load: nearly all of its own counters are zero.  Where the settings
allow messages among sidecars, each sends its counts to all others at intervals and sums what it receives.  Every
message is a full snapshot, so the next one makes up for a lost one; a snapshot expires after `SNAPSHOT_TTL_US`.  No
I/O; times in microseconds.

Wire format: the version (one byte), then for each server with requests in flight its tag (two bytes, little-endian)
and the count (one byte).  The tag is a hash of the server's name, so that endpoint lists need not agree on an order.
Servers whose tags collide share their counts, which only makes the estimate less accurate.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable

from topazbank.estimation.fleet_size import FleetSize

MESSAGE_VERSION = 1
MESSAGE_BYTES_MAX = 256  # by the platform
ENTRY = struct.Struct("<HB")
ENTRIES_MAX = (MESSAGE_BYTES_MAX - 1) // ENTRY.size  # the largest counts go first
COUNT_MAX = 255
SPEND_POINTS_MAX = 0.006  # service points that messages may cost, for all first attempts together
SEND_INTERVAL_MIN_US = 100_000  # more often the network's delay outdates what is sent
SNAPSHOT_TTL_US = 1_000_000
SAVED_MESSAGES_MAX = 2.0  # full messages to all peers whose cost may be saved up
SENDERS_MAX = 256  # in a larger cluster messages are too expensive to be sent in time


def server_tag(name: str) -> int:
    """Return the 16-bit tag of a server's name."""
    return zlib.crc32(name.encode()) & 0xFFFF


class LoadGossip:
    """The counts received from other sidecars, and when to send this one's."""

    __slots__ = (
        "_bytes_per_request",
        "_credit_bytes",
        "_fleet_size",
        "_last_sent_at",
        "_sent_counts",
        "_snapshots",
        "_totals",
    )

    def __init__(self, price: float, fleet_size: FleetSize) -> None:
        """`price`: service points that a full message costs for each first attempt."""
        self._fleet_size = fleet_size
        fleet_size.on_departure(self._drop)
        # Bytes earned by each first attempt.  Messages that are (nearly) free are still limited.
        self._bytes_per_request = SPEND_POINTS_MAX * MESSAGE_BYTES_MAX / max(price, SPEND_POINTS_MAX / 4.0)
        self._credit_bytes = 0.0  # over all receivers
        self._last_sent_at = 0
        self._sent_counts = False  # whether the last message had any entry
        self._snapshots: dict[int, tuple[int, dict[int, int]]] = {}  # by sender: time received, counts by tag
        self._totals: dict[int, int] = {}  # by tag, over all snapshots

    @property
    def _receivers(self) -> int:
        return self._fleet_size.upper_bound - 1

    def note_request(self) -> None:
        """Count a first attempt: it earns the bytes that messages spend."""
        credit_max = SAVED_MESSAGES_MAX * MESSAGE_BYTES_MAX * self._receivers
        self._credit_bytes = min(self._credit_bytes + self._bytes_per_request, credit_max)

    def is_due(self, now: int) -> bool:
        """Return whether a message may be sent now, if its cost is covered."""
        return (
            now - self._last_sent_at >= SEND_INTERVAL_MIN_US
            and 0 < self._receivers < SENDERS_MAX
            and self._credit_bytes > 0.0
        )

    def build_message(self, now: int, counts: Iterable[tuple[int, int]]) -> bytes | None:
        """Return a message with these (tag, requests in flight) and spend its cost; None: not to be sent now.

        A message without entries is sent once, to withdraw the counts sent before.
        """
        entries = [(tag, min(count, COUNT_MAX)) for tag, count in counts if count > 0]
        if len(entries) > ENTRIES_MAX:
            entries = sorted(entries, key=lambda entry: -entry[1])[:ENTRIES_MAX]
        if not entries and not self._sent_counts:
            return None
        cost_bytes = (1 + len(entries) * ENTRY.size) * self._receivers
        if self._credit_bytes < cost_bytes:
            return None
        self._credit_bytes -= cost_bytes
        self._last_sent_at = now
        self._sent_counts = bool(entries)
        return bytes([MESSAGE_VERSION]) + b"".join(ENTRY.pack(*entry) for entry in entries)

    def receive(self, now: int, sender: int, payload: bytes) -> bool:
        """Replace the sender's snapshot; return False, with nothing changed, where the payload is not accepted."""
        if not _is_well_formed(payload):
            return False
        if sender not in self._snapshots and len(self._snapshots) >= SENDERS_MAX:
            return False
        self._drop(sender)
        counts: dict[int, int] = {}
        for tag, count in ENTRY.iter_unpack(payload[1:]):
            counts[tag] = counts.get(tag, 0) + count
            self._totals[tag] = self._totals.get(tag, 0) + count
        self._snapshots[sender] = (now, counts)
        return True

    def expire(self, now: int) -> None:
        """Drop the snapshots that are older than `SNAPSHOT_TTL_US`."""
        expired = [
            sender
            for sender, (received_at, _) in self._snapshots.items()
            if now - received_at > SNAPSHOT_TTL_US
        ]
        for sender in expired:
            self._drop(sender)

    def requests_at(self, tag: int) -> int:
        """Return the requests that other sidecars have in flight at the server of this tag, as far as is known."""
        return self._totals.get(tag, 0)

    def _drop(self, sender: int) -> None:
        _, counts = self._snapshots.pop(sender, (0, {}))
        for tag, count in counts.items():
            remaining = self._totals[tag] - count
            if remaining > 0:
                self._totals[tag] = remaining
            else:
                del self._totals[tag]


def _is_well_formed(payload: bytes) -> bool:
    return (
        0 < len(payload) <= MESSAGE_BYTES_MAX
        and payload[0] == MESSAGE_VERSION
        and (len(payload) - 1) % ENTRY.size == 0
    )
