"""Translates the platform's own names of settings, on the simulator's wire and in a sidecar's configuration."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from topazbank.balancing.settings import Settings
from topazbank.balancing.settings_reader import SettingsError

# Name on the wire -> name in `balancing/settings.py`; a field without an entry is ignored.
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
# Words of the wire that stand for values, by the name of their setting.
_VALUES = {
    "idempotency": {
        "read_like": "idempotent",
        "idempotency_key": "keyed",
        "non_idempotent": "non_idempotent",
    },
    "source": {"piggyback": "responses", "pull": "health_checks"},
}


def settings_from_wire(given: object) -> Settings:
    """Translate the settings object of the wire; raise `SettingsError`, which names the field, on a bad value."""
    if not isinstance(given, Mapping):
        raise SettingsError("settings: an object is needed")
    named = _renamed(given, _TOP)
    for key, names in _NESTED.items():
        part = named.get(key)
        if isinstance(part, list):
            named[key] = [_renamed(each, names) if isinstance(each, Mapping) else each for each in part]
        elif isinstance(part, Mapping):
            named[key] = _renamed(part, names)
    return Settings.from_mapping(named)


def _renamed(given: Mapping[str, Any], names: Mapping[str, str]) -> dict[str, Any]:
    """The fields that have a name here, under that name; all others are left out."""
    return {name: _value(name, given[wire]) for wire, name in names.items() if wire in given}


def _value(name: str, value: Any) -> Any:
    return _VALUES.get(name, {}).get(value, value) if isinstance(value, str) else value
