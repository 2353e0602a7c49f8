"""Reads the message id from the first bytes of an incomplete request, so that it can be answered; no I/O."""

from __future__ import annotations

from typing import Final

PREFIX_BYTES: Final = 16  # the message id ends after at most 15 bytes

# Size in bytes of a MessagePack integer, by its type byte.
_UNSIGNED_SIZES: Final = {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}
_SIGNED_SIZES: Final = {0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8}
_POSITIVE_FIXINT_END: Final = 0x80
_NEGATIVE_FIXINT_START: Final = 0xE0
_ARRAY_OF_4_HEADERS: Final = (b"\x94", b"\xdc\x00\x04", b"\xdd\x00\x00\x00\x04")


def peek_msgid(prefix: bytes) -> int | None:
    """Return the message id of the request that starts with `prefix`, or None if it cannot be read."""
    for header in _ARRAY_OF_4_HEADERS:
        if prefix.startswith(header):
            return _request_msgid(prefix[len(header) :])
    return None


def _request_msgid(fields: bytes) -> int | None:
    """Return the message id from the start of a request's fields: its type, then its id."""
    if fields[:1] != b"\x00" or len(fields) < 2:
        return None
    type_byte = fields[1]
    if type_byte < _POSITIVE_FIXINT_END:
        return type_byte
    if type_byte >= _NEGATIVE_FIXINT_START:
        return type_byte - 0x100
    size = _UNSIGNED_SIZES.get(type_byte) or _SIGNED_SIZES.get(type_byte)
    if size is None or len(fields) < 2 + size:
        return None
    return int.from_bytes(fields[2 : 2 + size], "big", signed=type_byte in _SIGNED_SIZES)
