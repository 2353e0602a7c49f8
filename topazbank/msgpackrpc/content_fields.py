"""Maps the fields `type` and `encoding` to HTTP content headers and back; no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from topazbank.core.call import Headers

_HEADER_NAMES: Final = {b"type": b"content-type", b"encoding": b"content-encoding"}
_VALUE_CHARS_MAX: Final = 1024


def read_content_fields(fields: Mapping[bytes, Any]) -> Headers | None:
    """Return the content headers of a map's fields, without values that are not valid in a header."""
    headers = []
    for name, header_name in _HEADER_NAMES.items():
        value = fields.get(name)
        if type(value) is bytes and _is_header_value(value):
            headers.append((header_name, value))
    return headers or None


def _is_header_value(value: bytes) -> bool:
    return 0 < len(value) <= _VALUE_CHARS_MAX and value.isascii() and value.decode("ascii").isprintable()


def write_content_fields(fields: dict[str, Any], headers: Headers) -> None:
    """Add the fields that correspond to content headers."""
    for name, header_name in _HEADER_NAMES.items():
        value = next((content for header, content in headers if header == header_name), None)
        if value is not None:
            fields[name.decode()] = value.decode("latin-1")
