"""The checksum at the end of a datagram between sidecars: it is complete, and from one that has the key; no I/O."""

from __future__ import annotations

import hashlib
import hmac
from typing import Final

CHECKSUM_BYTES: Final = 4  # BLAKE2b of all bytes before it, keyed where the operator gives a key


def with_checksum(body: bytes, key: bytes = b"") -> bytes:
    """These bytes with their checksum."""
    return body + _checksum(body, key)


def without_checksum(data: bytes, key: bytes = b"") -> bytes | None:
    """The bytes before the checksum; None where they were cut or changed, or the key is another."""
    body, checksum = data[:-CHECKSUM_BYTES], data[-CHECKSUM_BYTES:]
    return body if hmac.compare_digest(_checksum(body, key), checksum) else None


def _checksum(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES, key=key).digest()
