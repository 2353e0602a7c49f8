"""The fields `type` and `encoding`, which describe a body as content headers do in HTTP; no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from topazbank.core.call import Headers

_HEADER_NAMES: Final = {b"type": b"content-type", b"encoding": b"content-encoding"}
_VALUE_CHARS_MAX: Final = 1024


def read_content_fields(fields: Mapping[bytes, Any]) -> Headers | None:
    """The content headers that a map's fields stand for; values that cannot stand in a header are left out."""
    headers = []
    for name, header_name in _HEADER_NAMES.items():
        value = fields.get(name)
        if type(value) is bytes and _is_header_value(value):
            headers.append((header_name, value))
    return headers or None


def _is_header_value(value: bytes) -> bool:
    return 0 < len(value) <= _VALUE_CHARS_MAX and value.isascii() and value.decode("ascii").isprintable()


def write_content_fields(fields: dict[str, Any], headers: Headers) -> None:
    """Add the fields that content headers stand for."""
    for name, header_name in _HEADER_NAMES.items():
        value = next((v for n, v in headers if n == header_name), None)
        if value is not None:
            fields[name.decode()] = value.decode("latin-1")
