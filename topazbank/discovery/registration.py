"""Encoding, decoding and validation of the record that a node stores in its znode; no I/O."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from topazbank.core.net import Address, parse_address

RECORD_VERSION = 1  # other versions are rejected: their fields may have other meanings
RECORD_BYTES_MAX = 4 * 1024
NAME_CHARS_MAX = 200  # limit for a znode's name and for each string field
_POD_MIN = -(2**31)
_INTEGER_LIMIT = 2**53
_WEIGHT_LIMIT = 1e9


class RegistrationError(Exception):
    """A record is invalid; the message names the field and the expected value."""


@dataclass(frozen=True, slots=True)
class Registration:
    """What a node publishes about itself."""

    address: Address
    pod: int
    kind: str
    zone: str
    protocol: str
    weight: float
    incarnation: str  # identifies the process: unchanged after an expired session, new after a restart
    started_ms: int  # Unix time at which the process started; 0: started long ago
    draining: bool = False

    def encode(self) -> bytes:
        """Encode the record as stored in the znode."""
        record = {
            "v": RECORD_VERSION,
            "address": f"{self.address[0]}:{self.address[1]}",
            "pod": self.pod,
            "kind": self.kind,
            "zone": self.zone,
            "protocol": self.protocol,
            "weight": self.weight,
            "incarnation": self.incarnation,
            "started_ms": self.started_ms,
            "state": "leaving" if self.draining else "active",
        }
        return json.dumps(record, separators=(",", ":")).encode()


def decode_registration(data: bytes) -> Registration:
    """Decode a record; raise RegistrationError for an invalid field."""
    record = _parse(data)
    if record.get("v") != RECORD_VERSION:
        raise RegistrationError(f"v: expected {RECORD_VERSION}, not {record.get('v')!r:.20}")
    state = _text(record, "state")
    if state not in ("active", "leaving"):
        raise RegistrationError(f"state: expected active or leaving, not {state!r:.20}")
    try:
        address = parse_address(_text(record, "address"))
    except ValueError as error:
        raise RegistrationError(f"address: {error}") from None
    return Registration(
        address,
        _integer(record, "pod", _POD_MIN),
        _text(record, "kind", ""),
        _text(record, "zone", ""),
        _text(record, "protocol", "http"),
        _weight(record),
        _text(record, "incarnation"),
        _integer(record, "started_ms", 0),
        state == "leaving",
    )


def _parse(data: bytes) -> Mapping[str, Any]:
    if len(data) > RECORD_BYTES_MAX:
        raise RegistrationError(f"record: size {len(data)} exceeds {RECORD_BYTES_MAX} bytes")
    try:
        record = json.loads(data)
    except (ValueError, RecursionError):
        raise RegistrationError("record: expected JSON") from None
    if not isinstance(record, Mapping):
        raise RegistrationError(f"record: expected a JSON object, not {type(record).__name__}")
    return record


def _text(record: Mapping[str, Any], field: str, default: str | None = None) -> str:
    value = record.get(field, default)
    if not isinstance(value, str) or (not value and default is None) or len(value) > NAME_CHARS_MAX:
        raise RegistrationError(
            f"{field}: expected a string of at most {NAME_CHARS_MAX} characters, not {value!r:.40}"
        )
    return value


def _integer(record: Mapping[str, Any], field: str, minimum: int) -> int:
    value = record.get(field, 0)
    if type(value) is not int or not minimum <= value < _INTEGER_LIMIT:
        raise RegistrationError(
            f"{field}: expected an integer from {minimum} to {_INTEGER_LIMIT - 1}, not {value!r:.40}"
        )
    return value


def _weight(record: Mapping[str, Any]) -> float:
    value = record.get("weight", 1.0)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < _WEIGHT_LIMIT:
        raise RegistrationError(
            f"weight: expected a number from 0 to below {_WEIGHT_LIMIT:g}, not {value!r:.40}"
        )
    return float(value)
