"""The endpoint list in the platform's JSON form, as the registry serves it and processes hand it over."""

from __future__ import annotations

import logging
import math
import re
from collections.abc import Iterable, Mapping
from typing import Any

from topazbank.balancing.events import ServerDescription, ServerState
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList
from topazbank.core.net import Address, parse_address

log = logging.getLogger(__name__)

_INTEGER_LIMIT = 2**52  # multiplied by 1000 (ms to µs) it still fits 64 bits
_SURROGATE = re.compile("[\ud800-\udfff]")
_ENTRY_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
)  # raised by malformed entries
_STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.REMOVED}
_STATUSES = {state: status for status, state in _STATES.items()}


def parse_list(document: object) -> EndpointList:
    """Read a list from decoded JSON; skip malformed entries with a log line, raise ValueError for a malformed list."""
    if not isinstance(document, Mapping) or not isinstance(document.get("endpoints"), list):
        raise ValueError("a list of servers is an object with endpoints")
    version = document.get("index")
    if type(version) is not int:
        raise ValueError("index: a whole number is needed")
    endpoints = []
    for entry in document["endpoints"]:
        try:
            endpoints.append(_parse_entry(entry))
        except _ENTRY_ERRORS as error:
            log.warning("list entry skipped: %r: %.120r", error, entry)
    return EndpointList(version, document.get("snapshot") is True, endpoints)


def _parse_entry(entry: Mapping[str, Any]) -> DiscoveredServer:
    name = entry["name"]
    if not _is_encodable_text(name) or not name:
        raise ValueError("name must be a text")
    # A server of an unknown status receives nothing new.
    state = _STATES.get(entry["status"], ServerState.DRAINING)
    try:
        return _parse_endpoint(entry, name, state)
    except _ENTRY_ERRORS as error:
        if state is ServerState.READY:
            raise
        # Guards a drain: were the entry skipped, its server would stay in use.
        log.warning("of a list entry only the status is taken: %r: %.120r", error, entry)
        return DiscoveredServer(ServerDescription(name, state=state), None, None)


def _parse_endpoint(entry: Mapping[str, Any], name: str, state: ServerState) -> DiscoveredServer:
    zone, kind, protocol = entry.get("zone", ""), entry.get("type", ""), entry.get("protocol")
    group, weight, since_ms = entry.get("group", 0), entry.get("weight", 1.0), entry.get("since_ms", 0)
    if not _is_encodable_text(zone) or not _is_encodable_text(kind):
        raise ValueError("zone and type must be texts")
    if protocol is not None and not _is_encodable_text(protocol):
        raise ValueError("protocol must be a text")
    if not _is_integer(group) or not _is_integer(since_ms) or since_ms < 0:
        raise ValueError("group and since_ms must be whole numbers")
    if isinstance(weight, bool) or not isinstance(weight, int | float) or not math.isfinite(weight):
        raise ValueError("weight must be a number")
    server = ServerDescription(name, zone, kind, group, state, float(weight), since_ms * 1000 or None)
    return DiscoveredServer(server, _parse_address(entry.get("address"), state), protocol)


def _is_encodable_text(value: object) -> bool:
    """Whether this is a text that UTF-8 can encode: JSON may escape single surrogates."""
    return isinstance(value, str) and _SURROGATE.search(value) is None


def _is_integer(value: object) -> bool:
    return type(value) is int and abs(value) < _INTEGER_LIMIT


def _parse_address(value: object, state: ServerState) -> Address | None:
    """Where the server listens; None for a malformed address, unless the server is ready and needs one."""
    try:
        return parse_address(str(value))
    except ValueError:
        if state is ServerState.READY:
            raise
        return None


def encode_list(version: int, endpoints: Iterable[DiscoveredServer]) -> dict[str, Any]:
    """A snapshot as a JSON object that `parse_list` reads."""
    return {"index": version, "snapshot": True, "endpoints": [_encode_entry(line) for line in endpoints]}


def _encode_entry(endpoint: DiscoveredServer) -> dict[str, Any]:
    server = endpoint.server
    entry = {
        "name": server.name,
        "zone": server.zone,
        "type": server.kind,
        "group": server.cell,
        "status": _STATUSES[server.state],
        "weight": server.nominal_capacity,
        "since_ms": (server.started_at or 0) // 1000,
    }
    if endpoint.address is not None:
        entry["address"] = f"{endpoint.address[0]}:{endpoint.address[1]}"
    if endpoint.protocol is not None:
        entry["protocol"] = endpoint.protocol
    return entry
