"""Finds the end of a MessagePack value in received bytes without decoding it; no I/O.

An incomplete message is kept as its bytes alone: decoded in part, many short values would take many times their size.
Invariant: a value whose parts exceed the limits is refused before it is decoded, whatever sizes the peer announces.
"""

from __future__ import annotations

from typing import Final

VALUES_MAX: Final = 1024  # of one message, nested ones included; a call has some twenty
ENTRIES_MAX: Final = 64  # of one array or map

# The first byte of a value tells its type (the MessagePack specification, "Formats").
_FIXMAP_MIN: Final = 0x80
_FIXARRAY_MIN: Final = 0x90
_FIXSTR_MIN: Final = 0xA0
_FIXSTR_MAX: Final = 0xBF
_NEGATIVE_FIXINT_MIN: Final = 0xE0
_FIXMAP_ENTRIES: Final = 0x0F
_FIXSTR_BYTES: Final = 0x1F
# Types by the number of bytes after the first one.
_FIXED_BYTES: Final = {
    0xC0: 0, 0xC2: 0, 0xC3: 0,  # nil, false, true
    0xCA: 4, 0xCB: 8,  # floats
    0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8, 0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8,  # integers
    0xD4: 2, 0xD5: 3, 0xD6: 5, 0xD7: 9, 0xD8: 17,  # extensions of fixed size, with their type
}  # fmt: skip
# Types whose length follows in so many bytes; the second number is of further bytes, the type of an extension.
_LENGTH_BYTES: Final = {
    0xC4: (1, 0), 0xC5: (2, 0), 0xC6: (4, 0),  # binaries
    0xC7: (1, 1), 0xC8: (2, 1), 0xC9: (4, 1),  # extensions
    0xD9: (1, 0), 0xDA: (2, 0), 0xDB: (4, 0),  # strings
}  # fmt: skip
# Types whose number of entries follows in so many bytes; the second number is of values in an entry.
_ENTRIES_BYTES: Final = {0xDC: (2, 1), 0xDD: (4, 1), 0xDE: (2, 2), 0xDF: (4, 2)}  # arrays, maps


class InvalidMessage(ValueError):
    """The bytes are no MessagePack value, or exceed a limit."""


class MessageScanner:
    """The state of one scan; it goes on where it stopped when more bytes are there."""

    def __init__(self) -> None:
        self._position = 0  # of the next value, in bytes from the start of the message
        self._values = 0  # begun so far
        self._missing = 1  # values that are not scanned yet

    def scan(self, data: bytearray) -> int | None:
        """Return the length of the message at the start of `data`, None if it is incomplete; raise InvalidMessage."""
        while self._missing:
            if self._position >= len(data) or not self._scan_value(data):
                return None
        return self._position if self._position <= len(data) else None

    def _scan_value(self, data: bytearray) -> bool:
        """Scan one value, without its entries; return False if its size is not known yet."""
        first = data[self._position]
        if first < _FIXMAP_MIN or first >= _NEGATIVE_FIXINT_MIN:
            self._advance(1, 0)
        elif first < _FIXARRAY_MIN:
            self._advance(1, 2 * (first & _FIXMAP_ENTRIES))
        elif first < _FIXSTR_MIN:
            self._advance(1, first & _FIXMAP_ENTRIES)
        elif first <= _FIXSTR_MAX:
            self._advance(1 + (first & _FIXSTR_BYTES), 0)
        elif first in _FIXED_BYTES:
            self._advance(1 + _FIXED_BYTES[first], 0)
        elif first in _LENGTH_BYTES:
            return self._scan_sized(data, first)
        elif first in _ENTRIES_BYTES:
            return self._scan_collection(data, first)
        else:
            raise InvalidMessage("invalid MessagePack type")
        return True

    def _scan_sized(self, data: bytearray, first: int) -> bool:
        size_bytes, further_bytes = _LENGTH_BYTES[first]
        length = self._read_size(data, size_bytes)
        if length is None:
            return False
        self._advance(1 + size_bytes + further_bytes + length, 0)
        return True

    def _scan_collection(self, data: bytearray, first: int) -> bool:
        size_bytes, values_each = _ENTRIES_BYTES[first]
        entries = self._read_size(data, size_bytes)
        if entries is None:
            return False
        if entries > ENTRIES_MAX:
            raise InvalidMessage(f"array or map exceeds {ENTRIES_MAX} entries")
        self._advance(1 + size_bytes, values_each * entries)
        return True

    def _read_size(self, data: bytearray, size_bytes: int) -> int | None:
        start = self._position + 1
        if start + size_bytes > len(data):
            return None
        return int.from_bytes(data[start : start + size_bytes], "big")

    def _advance(self, count: int, entries: int) -> None:
        self._position += count
        self._values += 1
        self._missing += entries - 1
        if self._values + self._missing > VALUES_MAX:
            raise InvalidMessage(f"message exceeds {VALUES_MAX} values")
