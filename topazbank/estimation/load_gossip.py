"""Gossip among sidecars: the number of requests that each sidecar has in flight at each server.

In a large cluster one sidecar observes only a small part of a server's load, and nearly all of its counters are zero.
Where the settings allow messages among sidecars, each sidecar sends its counts to all others at intervals and sums the
counts that it receives.  Every message is a full snapshot, so the next message makes up for a lost one.  A snapshot
expires after `SNAPSHOT_TTL_US`.  No I/O; times in microseconds.

Wire format: the version (one byte), then an entry for each server with requests in flight: its tag (two bytes,
little-endian) and the count (one byte).  The tag is a hash of the server's name, so the order of endpoint lists may
differ among sidecars.  Servers with the same tag share their counts, which only makes the estimate less accurate.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable

from topazbank.estimation.fleet_size import FleetSize

MESSAGE_VERSION = 1
MESSAGE_BYTES_MAX = 256  # limit set by the platform
ENTRY = struct.Struct("<HB")
ENTRIES_MAX = (MESSAGE_BYTES_MAX - 1) // ENTRY.size  # the largest counts have priority
COUNT_MAX = 255
SPEND_POINTS_MAX = 0.006  # limit on the cost of messages in service points, over all first attempts together
SEND_INTERVAL_MIN_US = 100_000  # at shorter intervals counts are outdated by the network's delay on arrival
SNAPSHOT_TTL_US = 1_000_000
SAVED_MESSAGES_MAX = 2.0  # maximum credit, as a number of full messages to all peers
SENDERS_MAX = 256  # in a larger cluster the cost limit makes messages too rare to be useful


def server_tag(name: str) -> int:
    """Return the 16-bit tag of a server's name."""
    return zlib.crc32(name.encode()) & 0xFFFF


class LoadGossip:
    """The counts received from other sidecars, and the schedule for sending this sidecar's counts."""

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
        """`price`: the cost of a full message in service points for each first attempt."""
        self._fleet_size = fleet_size
        fleet_size.on_departure(self._drop_snapshot)
        # Credit per first attempt.  Messages are limited even if they cost (nearly) nothing.
        self._bytes_per_request = SPEND_POINTS_MAX * MESSAGE_BYTES_MAX / max(price, SPEND_POINTS_MAX / 4.0)
        self._credit_bytes = 0.0  # available bytes, summed over all receivers
        self._last_sent_at = 0
        self._sent_counts = False  # whether the last message had entries
        self._snapshots: dict[int, tuple[int, dict[int, int]]] = {}  # by sender: receipt time, counts by tag
        self._totals: dict[int, int] = {}  # by tag, summed over all snapshots

    @property
    def _receiver_count(self) -> int:
        return self._fleet_size.upper_bound - 1

    def note_request(self) -> None:
        """Add the credit in bytes for a first attempt."""
        credit_max = SAVED_MESSAGES_MAX * MESSAGE_BYTES_MAX * self._receiver_count
        self._credit_bytes = min(self._credit_bytes + self._bytes_per_request, credit_max)

    def is_due(self, now: int) -> bool:
        """Return whether a message may be sent now, provided that the credit covers its cost."""
        return (
            now - self._last_sent_at >= SEND_INTERVAL_MIN_US
            and 0 < self._receiver_count < SENDERS_MAX
            and self._credit_bytes > 0.0
        )

    def build_message(self, now: int, counts: Iterable[tuple[int, int]]) -> bytes | None:
        """Return a message with `counts`, pairs of tag and requests in flight, and deduct its cost from the credit.

        Returns None if no message is to be sent now.  A message without entries is sent once, to withdraw earlier
        counts.
        """
        entries = [(tag, min(count, COUNT_MAX)) for tag, count in counts if count > 0]
        if len(entries) > ENTRIES_MAX:
            entries = sorted(entries, key=lambda entry: -entry[1])[:ENTRIES_MAX]
        if not entries and not self._sent_counts:
            return None
        cost_bytes = (1 + len(entries) * ENTRY.size) * self._receiver_count
        if self._credit_bytes < cost_bytes:
            return None
        self._credit_bytes -= cost_bytes
        self._last_sent_at = now
        self._sent_counts = bool(entries)
        return bytes([MESSAGE_VERSION]) + b"".join(ENTRY.pack(*entry) for entry in entries)

    def receive(self, now: int, sender: int, payload: bytes) -> bool:
        """Replace the sender's snapshot.  Returns False and changes nothing if the payload is rejected."""
        if not _is_well_formed(payload):
            return False
        if sender not in self._snapshots and len(self._snapshots) >= SENDERS_MAX:
            return False
        self._drop_snapshot(sender)
        counts: dict[int, int] = {}
        for tag, count in ENTRY.iter_unpack(payload[1:]):
            counts[tag] = counts.get(tag, 0) + count
            self._totals[tag] = self._totals.get(tag, 0) + count
        self._snapshots[sender] = (now, counts)
        return True

    def expire(self, now: int) -> None:
        """Drop snapshots older than `SNAPSHOT_TTL_US`."""
        expired = [
            sender
            for sender, (received_at, _) in self._snapshots.items()
            if now - received_at > SNAPSHOT_TTL_US
        ]
        for sender in expired:
            self._drop_snapshot(sender)

    def requests_at(self, tag: int) -> int:
        """Return the known number of requests that other sidecars have in flight at the server with this tag."""
        return self._totals.get(tag, 0)

    def _drop_snapshot(self, sender: int) -> None:
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
