"""The snapshot that a sidecar's process hands to the next one: JSON with version, length and checksum; no I/O.

The two processes may run different versions of the program.  A snapshot of another format version, a truncated or a
corrupted one is rejected, and the new process starts without it.
"""

from __future__ import annotations

import json
import re
import zlib
from collections.abc import Mapping
from typing import Any

VERSION = 1
SNAPSHOT_BYTES_MAX = 4 * 1024 * 1024  # a list of thousands of servers takes 1 MiB
# Hex digits before the JSON text: 4 for the version, 8 for the text's length, 8 for its CRC-32.
HEADER_BYTES = 20
_VERSION_DIGITS = 4
_CHECKSUM_START = 12
_HEADER = re.compile(rb"[0-9a-f]{20}")


class InvalidSnapshot(ValueError):
    """The snapshot is of another version, truncated or corrupted."""


def encode_snapshot(values: Mapping[str, Any]) -> bytes:
    """Encode a snapshot as header and JSON text."""
    text = json.dumps(values, separators=(",", ":")).encode()
    return b"%04x%08x%08x" % (VERSION, len(text), zlib.crc32(text)) + text


def body_length(header: bytes) -> int:
    """Return the number of bytes after the header; raise InvalidSnapshot if the header is not one of this version."""
    if _HEADER.fullmatch(header) is None:
        raise InvalidSnapshot(f"snapshot header: expected {HEADER_BYTES} hex digits")
    version = int(header[:_VERSION_DIGITS], 16)
    if version != VERSION:
        raise InvalidSnapshot(f"snapshot version: expected {VERSION}, received {version}")
    length = int(header[_VERSION_DIGITS:_CHECKSUM_START], 16)
    if length > SNAPSHOT_BYTES_MAX:
        raise InvalidSnapshot(f"snapshot length of {length} bytes exceeds {SNAPSHOT_BYTES_MAX} bytes")
    return length


def decode_snapshot(header: bytes, text: bytes) -> dict[str, Any]:
    """Decode a snapshot; raise InvalidSnapshot if it is truncated or corrupted."""
    if body_length(header) != len(text) or int(header[_CHECKSUM_START:], 16) != zlib.crc32(text):
        raise InvalidSnapshot("snapshot body does not match the length and checksum in its header")
    try:
        values = json.loads(text)
    except (ValueError, RecursionError):
        raise InvalidSnapshot("snapshot body is not valid JSON") from None
    if not isinstance(values, dict):
        raise InvalidSnapshot("snapshot body is not a JSON object")
    return values
