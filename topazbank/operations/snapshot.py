"""The snapshot that one process of a sidecar hands to the next: JSON with a version, a length and a checksum; no I/O.

A snapshot crosses from one version of the program to another.  One that is of another version, cut short or damaged is
refused, and the new process starts without it.
"""

from __future__ import annotations

import json
import re
import zlib
from collections.abc import Mapping
from typing import Any

VERSION = 1
SNAPSHOT_BYTES_MAX = 4 * 1024 * 1024  # a list of thousands of servers takes 1 MiB
# Hex digits ahead of the JSON text: 4 of the version, 8 of the text's length, 8 of its CRC-32.
HEADER_BYTES = 20
_VERSION_DIGITS = 4
_CHECKSUM_START = 12
_HEADER = re.compile(rb"[0-9a-f]{20}")


class InvalidSnapshot(ValueError):
    """A snapshot that is of another version, cut short or damaged."""


def encode_snapshot(values: Mapping[str, Any]) -> bytes:
    """Encode a snapshot, header and text."""
    text = json.dumps(values, separators=(",", ":")).encode()
    return b"%04x%08x%08x" % (VERSION, len(text), zlib.crc32(text)) + text


def body_length(header: bytes) -> int:
    """Return how many bytes follow the header; raise InvalidSnapshot where it is not one of this version."""
    if _HEADER.fullmatch(header) is None:
        raise InvalidSnapshot("no snapshot")
    version = int(header[:_VERSION_DIGITS], 16)
    if version != VERSION:
        raise InvalidSnapshot(f"version {version}, not {VERSION}")
    length = int(header[_VERSION_DIGITS:_CHECKSUM_START], 16)
    if length > SNAPSHOT_BYTES_MAX:
        raise InvalidSnapshot("too long")
    return length


def decode_snapshot(header: bytes, text: bytes) -> dict[str, Any]:
    """Decode a snapshot; raise InvalidSnapshot where it is cut short or damaged."""
    if body_length(header) != len(text) or int(header[_CHECKSUM_START:], 16) != zlib.crc32(text):
        raise InvalidSnapshot("damaged")
    try:
        values = json.loads(text)
    except (ValueError, RecursionError):
        raise InvalidSnapshot("damaged") from None
    if not isinstance(values, dict):
        raise InvalidSnapshot("not an object")
    return values
