"""Reads the message id from the first bytes of an incomplete request, so that it can be answered; no I/O."""

from __future__ import annotations

from typing import Final

PREFIX_BYTES: Final = 16  # enough for the message id: it ends after 15 bytes at most

# The byte that precedes an integer in MessagePack, and the integer's size in bytes.
_UNSIGNED_SIZES: Final = {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}
_SIGNED_SIZES: Final = {0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8}
_POSITIVE_FIXINT_END: Final = 0x80
_NEGATIVE_FIXINT_START: Final = 0xE0
_ARRAY_OF_4_HEADS: Final = (b"\x94", b"\xdc\x00\x04", b"\xdd\x00\x00\x00\x04")


def peek_msgid(prefix: bytes) -> int | None:
    """The message id of the request that begins with `prefix`; None where it cannot be read."""
    for head in _ARRAY_OF_4_HEADS:
        if prefix.startswith(head):
            return _request_msgid(prefix[len(head) :])
    return None


def _request_msgid(fields: bytes) -> int | None:
    """The message id of a message whose fields, type and id first, begin with these bytes."""
    if fields[:1] != b"\x00" or len(fields) < 2:
        return None
    first = fields[1]
    if first < _POSITIVE_FIXINT_END:
        return first
    if first >= _NEGATIVE_FIXINT_START:
        return first - 0x100
    size = _UNSIGNED_SIZES.get(first) or _SIGNED_SIZES.get(first)
    if size is None or len(fields) < 2 + size:
        return None
    return int.from_bytes(fields[2 : 2 + size], "big", signed=first in _SIGNED_SIZES)
