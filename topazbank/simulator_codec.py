"""Decodes the simulator's messages into events, and encodes actions as its messages.

Only this module uses the simulator's names of states, outcomes and update kinds.
A message is a JSON array that begins with its name.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any

from topazbank.balancing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    Fail,
    LogMessage,
    Reject,
    SendAttempt,
    SendGossip,
    SetTimer,
    WatchEndpoints,
)
from topazbank.balancing.events import (
    AttemptEnded,
    Event,
    GossipReceived,
    HealthCheckEnded,
    Outcome,
    RequestArrived,
    RequestCancelled,
    ResponseStarted,
    ServerDescription,
    ServerState,
    TimerFired,
    UpdateKind,
)

_UPDATE_KINDS = {
    "delta": UpdateKind.DELTA,
    "full": UpdateKind.SNAPSHOT,
    "cached": UpdateKind.CACHED,
    "failed": UpdateKind.FAILED,
}
_STATES = {
    "ready": ServerState.READY,
    "draining": ServerState.DRAINING,
    "gone": ServerState.REMOVED,
}
_OUTCOMES = {
    "delivered": Outcome.DELIVERED,
    "app_error": Outcome.ERROR,
    "shed": Outcome.REJECTED,
    "expired": Outcome.TIMED_OUT,
    "dial_failed": Outcome.CONNECT_FAILED,
    "dropped": Outcome.CONNECTION_LOST,
    "revoked": Outcome.CANCELLED,
    "unused": Outcome.UNSENT,
}
_HAS_COST, _CLIENT_RETRY = 1, 2  # bits in a request's flags field
_EVERY_PEER = -1
_ENTRY_FIELDS_MIN = 6


class WireError(Exception):
    """A line that violates the simulator's protocol."""


# ---------------------------------------------------------------------------------------------------
# Decoding of message values; each function raises `WireError` for a value of another type


def read_integer(value: object) -> int:
    """Decode an integer."""
    if type(value) is not int:
        raise WireError(f"expected an integer, not {value!r:.60}")
    return value


def read_text(value: object) -> str:
    """Decode a string."""
    if type(value) is not str:
        raise WireError(f"expected a string, not {value!r:.60}")
    return value


def read_update_kind(value: object) -> UpdateKind:
    """Decode the kind of an endpoint list update."""
    kind: UpdateKind = _read_name(value, _UPDATE_KINDS)
    return kind


def read_server(entry: object) -> ServerDescription:
    """Decode an entry of the endpoint list."""
    if not isinstance(entry, list) or len(entry) < _ENTRY_FIELDS_MIN:
        raise WireError("server list entry: expected at least 6 values")
    capacity = entry[5]
    if isinstance(capacity, bool) or not isinstance(capacity, (int, float)):
        raise WireError("nominal capacity: expected a number")
    started_at = _read_optional_integer(entry[6]) if len(entry) > _ENTRY_FIELDS_MIN else None
    return ServerDescription(
        name=read_text(entry[0]),
        zone=read_text(entry[1]),
        kind=read_text(entry[2]),
        cell=read_integer(entry[3]),
        state=_read_name(entry[4], _STATES),
        nominal_capacity=float(capacity),
        started_at=started_at or None,
    )


def _read_flag(value: object) -> bool:
    if type(value) is not bool:
        raise WireError(f"expected true or false, not {value!r:.60}")
    return value


def _read_optional_integer(value: object) -> int | None:
    return None if value is None else read_integer(value)


def _read_name(value: object, values_by_name: Mapping[str, Any]) -> Any:
    try:
        return values_by_name[value]  # type: ignore[index]
    except (KeyError, TypeError):
        raise WireError(f"unknown name {value!r:.60}") from None


def _read_report(value: object) -> Mapping[str, float] | None:
    if value is None:
        return None
    if not isinstance(value, dict):
        raise WireError("load report: expected an object")
    for number in value.values():
        if isinstance(number, bool) or not isinstance(number, (int, float)):
            raise WireError(f"load report: expected a number, not {number!r:.60}")
    return value


def _read_payload(value: object) -> bytes:
    try:
        return bytes.fromhex(read_text(value))
    except ValueError:
        raise WireError("expected a string of hex digits") from None


# ---------------------------------------------------------------------------------------------------
# Events


def _request_arrived(message: list[Any]) -> Event:
    flags = read_integer(message[8])
    return RequestArrived(
        request=read_integer(message[2]),
        request_class=read_text(message[3]),
        tenant=None if message[4] is None or message[4] == 0 else read_text(message[4]),
        key=_read_optional_integer(message[5]),
        remaining_us=read_integer(message[6]),
        cost_us=_read_optional_integer(message[7]) if flags & _HAS_COST else None,
        client_retry=bool(flags & _CLIENT_RETRY),
    )


def _response_started(message: list[Any]) -> Event:
    return ResponseStarted(
        request=read_integer(message[2]),
        attempt=read_integer(message[3]),
        server=read_text(message[5]),
        elapsed_us=read_integer(message[4]),
    )


def _attempt_ended(message: list[Any]) -> Event:
    return AttemptEnded(
        request=read_integer(message[2]),
        attempt=read_integer(message[3]),
        server=read_text(message[4]),
        outcome=_read_name(message[5], _OUTCOMES),
        elapsed_us=read_integer(message[6]),
        answered=_read_flag(message[7]),
        report=_read_report(message[8]) if len(message) > 8 else None,
    )


def _health_check_ended(message: list[Any]) -> Event:
    return HealthCheckEnded(
        server=read_text(message[4]),
        outcome=_read_name(message[3], _OUTCOMES),
        elapsed_us=read_integer(message[2]),
        report=_read_report(message[5]) if len(message) > 5 else None,
    )


# Message name -> minimum number of values (including the name), and decoder.
_EVENTS: dict[str, tuple[int, Callable[[list[Any]], Event]]] = {
    "WORK_ITEM": (9, _request_arrived),
    "FIRST": (6, _response_started),
    "ATTEMPT_END": (8, _attempt_ended),
    "CLIENT_GONE": (3, lambda message: RequestCancelled(read_integer(message[2]))),
    "WAKE": (3, lambda message: TimerFired(read_text(message[2]))),
    "SAMPLED": (5, _health_check_ended),
    "MEMO": (4, lambda message: GossipReceived(read_integer(message[2]), _read_payload(message[3]))),
}
EVENT_NAMES = frozenset(_EVENTS)


def check_length(message: list[Any], values_min: int) -> None:
    """Raise `WireError` if a message has fewer than `values_min` values, including its name."""
    if len(message) < values_min:
        raise WireError(f"{message[0]}: expected at least {values_min - 1} values, not {len(message) - 1}")


def read_event(message: list[Any]) -> Event:
    """Decode a message whose name is one of EVENT_NAMES."""
    values_min, read = _EVENTS[message[0]]
    check_length(message, values_min)
    return read(message)


# ---------------------------------------------------------------------------------------------------
# Actions

# Action type -> message name, and encoder of the values that follow the instance name.
_ACTIONS: dict[type[Any], tuple[str, Callable[[Any], list[Any]]]] = {
    SendAttempt: ("ASSIGN", lambda action: [action.request, action.server, action.give_up_at]),
    Reject: ("NOT_NOW", lambda action: [action.request, action.retry_after_us]),
    Fail: ("SURRENDER", lambda action: [action.request]),
    CancelAttempt: ("ABORT_ATTEMPT", lambda action: [action.request, action.attempt]),
    SetTimer: ("REMIND", lambda action: [action.in_us, action.token]),
    CheckHealth: ("CHECK", lambda action: [action.server]),
    CloseIdleConnections: ("SHUT_IDLE", lambda action: [action.server]),
    SendGossip: ("POST", lambda action: [_receiver(action), action.payload.hex()]),
    WatchEndpoints: ("FOLLOW", lambda action: [action.wanted]),
    LogMessage: ("REMARK", lambda action: [action.text]),
}


def write_action(instance: str, action: Action) -> str:
    """Encode an action of a balancer instance as a JSON line."""
    name, values = _ACTIONS[type(action)]
    return json.dumps([name, instance, *values(action)], separators=(",", ":"))


def _receiver(action: SendGossip) -> int:
    return _EVERY_PEER if action.receiver is None else action.receiver
