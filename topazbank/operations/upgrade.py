"""What two processes that are one sidecar owe one another: each one's part of the limits, and what the old one knows.

No I/O.  A snapshot crosses from one version of the program to another, so it says its version and carries a check, and
the process that comes may refuse it: it then starts as any other does.
"""

from __future__ import annotations

import json
import re
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

VERSION = 1
SNAPSHOT_BYTES_MAX = 4 * 1024 * 1024  # bytes: a list of thousands of nodes takes one
HEADER_BYTES = 20  # characters ahead of a snapshot's text: its version, its length and its check
_PLAIN = re.compile(rb"[0-9a-f]{20}")
_MARGIN = 8  # connections that the old process may still open beyond those it has


class InvalidSnapshot(ValueError):
    """A snapshot that is of another version, cut short or damaged."""


def encode_snapshot(known: Mapping[str, Any]) -> bytes:
    """A snapshot of what a process knows."""
    text = json.dumps(known, separators=(",", ":")).encode()
    return b"%04x%08x%08x" % (VERSION, len(text), zlib.crc32(text)) + text


def body_length(head: bytes) -> int:
    """How many bytes follow the head; raise BadSnapshot where that is none of this version."""
    if _PLAIN.fullmatch(head) is None:
        raise InvalidSnapshot("no snapshot")
    version, length = int(head[:4], 16), int(head[4:12], 16)
    if version != VERSION:
        raise InvalidSnapshot(f"version {version}, not {VERSION}")
    if length > SNAPSHOT_BYTES_MAX:
        raise InvalidSnapshot("too long")
    return length


def decode_snapshot(head: bytes, text: bytes) -> dict[str, Any]:
    """Read a snapshot; raise BadSnapshot where it is not whole."""
    if body_length(head) != len(text) or int(head[12:], 16) != zlib.crc32(text):
        raise InvalidSnapshot("damaged")
    try:
        known = json.loads(text)
    except (ValueError, RecursionError):
        raise InvalidSnapshot("damaged") from None
    if not isinstance(known, dict):
        raise InvalidSnapshot("not an object")
    return known


@dataclass(frozen=True, slots=True)
class ConnectionLimitSplit:
    """Each process's part of a bound on connections, while both live."""

    old: int
    new: int


def split_connection_limit(most: int, used: int) -> ConnectionLimitSplit:
    """Half each, unless the old one holds more: it lets nothing go for the new one, and opens few more.

    The new one gets a quarter at least, or it could not take what comes: the old one closes what rests.
    """
    old = min(max(most // 2, used + _MARGIN), most - most // 4)
    return ConnectionLimitSplit(old, max(most - old, 1))
