"""The checksum at the end of each datagram between sidecars; no I/O.

It shows that the datagram is complete and, if a key is configured, that its sender has the key.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Final

CHECKSUM_BYTES: Final = 4  # BLAKE2b over all preceding bytes, keyed if the operator configures a key


def with_checksum(body: bytes, key: bytes = b"") -> bytes:
    """Return `body` with its checksum appended."""
    return body + _checksum(body, key)


def without_checksum(data: bytes, key: bytes = b"") -> bytes | None:
    """Return the bytes before the checksum, or None if they were truncated or modified, or if the key differs."""
    body, checksum = data[:-CHECKSUM_BYTES], data[-CHECKSUM_BYTES:]
    return body if hmac.compare_digest(_checksum(body, key), checksum) else None


def _checksum(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES, key=key).digest()
