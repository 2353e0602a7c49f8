"""The check at the end of a datagram between sidecars: whether it is whole, and of who has the key; no I/O."""

from __future__ import annotations

import hashlib
import hmac

CHECKSUM_BYTES = 4  # bytes: BLAKE2b of all before them, keyed where the operator gives a key


def with_checksum(body: bytes, key: bytes = b"") -> bytes:
    """These bytes with their check."""
    return body + _check(body, key)


def without_checksum(data: bytes, key: bytes = b"") -> bytes | None:
    """The bytes before the check; None where they were cut or changed, or the key is another."""
    body, check = data[:-CHECKSUM_BYTES], data[-CHECKSUM_BYTES:]
    return body if hmac.compare_digest(_check(body, key), check) else None


def _check(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES, key=key).digest()
