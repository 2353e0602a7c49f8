"""Translates the platform's names of settings, as in simulator messages and a sidecar's configuration."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from topazbank.balancing.settings import Settings
from topazbank.balancing.settings_reader import SettingsError

# Wire names mapped to names in `balancing/settings.py`; a field without an entry is ignored.
_TOP = {
    "lanes": "classes",
    "realms": "tenants",
    "zone": "zone",
    "me": "instance",
    "groupSize": "fleet_size",
    "quantumUs": "tick_us",
    "discovery": "discovery",
    "overShareWorth": "over_share_weight",
    "report": "report",
    "bounds": "limits",
    "guarantees": "rules",
    "prices": "prices",
}
_NESTED = {
    "classes": {
        "name": "name",
        "giveUpUs": "deadline_us",
        "promiseUs": "latency_objective_us",
        "worth": "priority_weight",
        "lateValue": "late_value_ratio",
        "repeat": "idempotency",
        "group": "idempotency_scope",
        "memorySpanUs": "idempotency_window_us",
        "byArrival": "ordered_by_key",
    },
    "tenants": {"name": "name", "portion": "share"},
    "report": {"columns": "columns", "source": "source"},
    "limits": {
        "sendCap": "max_attempts",
        "secondCopies": "hedging",
        "mayCancel": "cancellation",
        "probing": "health_checks",
        "mayTell": "gossip",
        "retryAfter": "retry_after",
        "maxRetryAfterUs": "max_retry_after_us",
        "dialTimeoutUs": "connect_timeout_us",
        "idleCloseUs": "idle_timeout_us",
        "streamsPerConn": "streams_per_connection",
    },
    "rules": {
        "askWithinUs": "poll_within_us",
        "drainGraceUs": "drain_grace_us",
        "coldFrom": "warmup_start_ratio",
        "coldUs": "warmup_us",
        "fallMultiple": "overload_multiple",
        "fallUs": "overload_window_us",
        "lateShedding": "rejects_after_start",
        "turnGapUs": "ordering_pause_us",
    },
    "prices": {
        "crossZone": "cross_zone",
        "probe": "health_check",
        "peer": "gossip",
        "handshake": "handshake",
        "connection": "connection",
    },
}
# Wire values mapped to values of `balancing/settings.py`, by the name of their setting.
_VALUES = {
    "idempotency": {
        "read_like": "idempotent",
        "idempotency_key": "keyed",
        "non_idempotent": "non_idempotent",
    },
    "source": {"piggyback": "responses", "pull": "health_checks"},
}


def settings_from_wire(wire_settings: object) -> Settings:
    """Translate a wire settings object; raise `SettingsError`, which names the field, on an invalid value."""
    if not isinstance(wire_settings, Mapping):
        raise SettingsError(f"settings: expected an object, not {wire_settings!r:.60}")
    translated = _translate_names(wire_settings, _TOP)
    for key, names in _NESTED.items():
        section = translated.get(key)
        if isinstance(section, list):
            translated[key] = [
                _translate_names(item, names) if isinstance(item, Mapping) else item for item in section
            ]
        elif isinstance(section, Mapping):
            translated[key] = _translate_names(section, names)
    return Settings.from_mapping(translated)


def _translate_names(wire_fields: Mapping[str, Any], names: Mapping[str, str]) -> dict[str, Any]:
    """Return the fields listed in `names` under their new names; other fields are omitted."""
    return {
        name: _translate_value(name, wire_fields[wire_name])
        for wire_name, name in names.items()
        if wire_name in wire_fields
    }


def _translate_value(name: str, value: Any) -> Any:
    return _VALUES.get(name, {}).get(value, value) if isinstance(value, str) else value
