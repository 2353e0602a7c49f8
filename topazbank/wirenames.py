"""The platform's names for the settings, as the simulator's wire and a sidecar's configuration give them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from topazbank.interface import Settings

# Settings: wire name -> name in interface.py; what has no entry is passed over.
_TOP = {
    "lanes": "classes",
    "realms": "tenants",
    "zone": "zone",
    "me": "me",
    "groupSize": "group_size",
    "quantumUs": "tick_us",
    "discovery": "discovery",
    "weights": "weights",
    "worthBy": "worth_by",
    "overShareWorth": "over_share_worth",
    "report": "report",
    "bounds": "limits",
    "guarantees": "rules",
    "prices": "prices",
}
_NESTED = {
    "classes": {
        "name": "name",
        "giveUpUs": "deadline_us",
        "promiseUs": "aim_us",
        "worth": "worth",
        "lateValue": "late_worth",
        "repeat": "repeat",
        "group": "group",
        "memorySpanUs": "memory_us",
        "streaming": "streaming",
        "aimStretch": "aim_stretch",
        "byArrival": "by_arrival",
    },
    "tenants": {"name": "name", "portion": "share", "quotaRps": "quota_per_s"},
    "report": {"columns": "columns", "source": "source"},
    "limits": {
        "sendCap": "max_attempts",
        "secondCopies": "second_copies",
        "mayCancel": "may_cancel",
        "probing": "may_probe",
        "mayTell": "may_message",
        "retryAfter": "retry_after",
        "maxRetryAfterUs": "max_retry_after_us",
        "dialTimeoutUs": "dial_timeout_us",
        "idleCloseUs": "idle_close_us",
        "streamsPerConn": "streams_per_connection",
    },
    "rules": {
        "answerSlackUs": "answer_slack_us",
        "askWithinUs": "ask_within_us",
        "drainGraceUs": "drain_grace_us",
        "coldFrom": "cold_from",
        "coldUs": "cold_us",
        "fallMultiple": "fall_multiple",
        "fallUs": "fall_us",
        "lateShedding": "late_shedding",
        "turnGapUs": "turn_gap_us",
    },
    "prices": {
        "crossZone": "cross_zone",
        "probe": "probe",
        "peer": "message",
        "waste": "waste",
        "handshake": "handshake",
        "connection": "connection",
    },
}
# Words that stand for values.
_WORDS = {
    "repeat": {"read_like": "safe", "idempotency_key": "keyed", "non_idempotent": "unsafe"},
    "source": {"piggyback": "answers", "pull": "probes"},
}


def settings_from_wire(given: object) -> Settings:
    """Translate the settings object of the wire."""
    if not isinstance(given, Mapping):
        raise ValueError("settings: an object is needed")
    named = _renamed(given, _TOP)
    for key, names in _NESTED.items():
        part = named.get(key)
        if isinstance(part, list):
            named[key] = [_renamed(each, names) if isinstance(each, Mapping) else each for each in part]
        elif isinstance(part, Mapping):
            named[key] = _renamed(part, names)
    domain = given.get("domain")
    if isinstance(domain, Mapping):  # facts about the kind of service: one is of use here
        named["warm_keys"] = domain.get("warmKeys")
    return Settings.from_mapping(named)


def _renamed(given: Mapping[str, Any], names: Mapping[str, str]) -> dict[str, Any]:
    out: dict[str, Any] = {}
    for wire, name in names.items():
        if wire in given:
            value = given[wire]
            if isinstance(value, str):
                value = _WORDS.get(name, {}).get(value, value)
            out[name] = value
    return out
