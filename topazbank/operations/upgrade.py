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
SNAPSHOT_MOST = 4 * 1024 * 1024  # bytes: a list of thousands of nodes takes one
HEAD = 20  # characters ahead of a snapshot's text: its version, its length and its check
_PLAIN = re.compile(rb"[0-9a-f]{20}")
_MARGIN = 8  # connections that the old process may still open beyond those it has


class BadSnapshot(ValueError):
    """A snapshot that is of another version, cut short or damaged."""


def pack(known: Mapping[str, Any]) -> bytes:
    """A snapshot of what a process knows."""
    text = json.dumps(known, separators=(",", ":")).encode()
    return b"%04x%08x%08x" % (VERSION, len(text), zlib.crc32(text)) + text


def length_of(head: bytes) -> int:
    """How many bytes follow the head; raise BadSnapshot where that is none of this version."""
    if _PLAIN.fullmatch(head) is None:
        raise BadSnapshot("no snapshot")
    version, length = int(head[:4], 16), int(head[4:12], 16)
    if version != VERSION:
        raise BadSnapshot(f"version {version}, not {VERSION}")
    if length > SNAPSHOT_MOST:
        raise BadSnapshot("too long")
    return length


def unpack(head: bytes, text: bytes) -> dict[str, Any]:
    """Read a snapshot; raise BadSnapshot where it is not whole."""
    if length_of(head) != len(text) or int(head[12:], 16) != zlib.crc32(text):
        raise BadSnapshot("damaged")
    try:
        known = json.loads(text)
    except (ValueError, RecursionError):
        raise BadSnapshot("damaged") from None
    if not isinstance(known, dict):
        raise BadSnapshot("not an object")
    return known


@dataclass(frozen=True, slots=True)
class Parts:
    """Each process's part of a bound on connections, while both live."""

    old: int
    new: int


def parts(most: int, used: int) -> Parts:
    """Half each, unless the old one holds more: it lets nothing go for the new one, and opens few more.

    The new one gets a quarter at least, or it could not take what comes: the old one closes what rests.
    """
    old = min(max(most // 2, used + _MARGIN), most - most // 4)
    return Parts(old, max(most - old, 1))
