"""The platform's JSON encoding of the endpoint list, as served by the registry and passed between processes."""

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

_INTEGER_LIMIT = 2**52  # times 1000 (ms to µs), an integer still fits in 64 bits
_SURROGATE = re.compile("[\ud800-\udfff]")
# Errors that malformed entries raise.
_ENTRY_ERRORS = (ValueError, TypeError, KeyError, AttributeError, OverflowError)
_STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.REMOVED}
_STATUSES = {state: status for status, state in _STATES.items()}


def parse_list(document: object) -> EndpointList:
    """Parse a decoded JSON list; log and skip malformed entries, raise ValueError for a malformed list."""
    if not isinstance(document, Mapping) or not isinstance(document.get("endpoints"), list):
        raise ValueError("endpoint list: expected an object with an endpoints array")
    version = document.get("index")
    if type(version) is not int:
        raise ValueError(f"index: expected an integer, not {version!r:.40}")
    endpoints = []
    for entry in document["endpoints"]:
        try:
            endpoints.append(_parse_entry(entry))
        except _ENTRY_ERRORS as error:
            log.warning("endpoint list: skipped invalid entry: %r: %.120r", error, entry)
    return EndpointList(version, document.get("snapshot") is True, endpoints)


def _parse_entry(entry: Mapping[str, Any]) -> DiscoveredServer:
    name = entry["name"]
    if not _is_encodable_text(name) or not name:
        raise ValueError(f"name: expected a non-empty string, not {name!r:.40}")
    # A server with an unknown status receives no new requests.
    state = _STATES.get(entry["status"], ServerState.DRAINING)
    try:
        return _parse_endpoint(entry, name, state)
    except _ENTRY_ERRORS as error:
        if state is ServerState.READY:
            raise
        # Skipping the entry would leave a draining or removed server in use.
        log.warning("endpoint list: invalid entry, using only its name and status: %r: %.120r", error, entry)
        return DiscoveredServer(ServerDescription(name, state=state), None, None)


def _parse_endpoint(entry: Mapping[str, Any], name: str, state: ServerState) -> DiscoveredServer:
    zone, kind, protocol = entry.get("zone", ""), entry.get("type", ""), entry.get("protocol")
    group, weight, since_ms = entry.get("group", 0), entry.get("weight", 1.0), entry.get("since_ms", 0)
    if not _is_encodable_text(zone) or not _is_encodable_text(kind):
        raise ValueError(f"zone, type: expected strings, not {zone!r:.40}, {kind!r:.40}")
    if protocol is not None and not _is_encodable_text(protocol):
        raise ValueError(f"protocol: expected a string, not {protocol!r:.40}")
    if not _is_integer(group) or not _is_integer(since_ms) or since_ms < 0:
        raise ValueError(f"group, since_ms: expected integers, not {group!r:.40}, {since_ms!r:.40}")
    if isinstance(weight, bool) or not isinstance(weight, int | float) or not math.isfinite(weight):
        raise ValueError(f"weight: expected a finite number, not {weight!r:.40}")
    server = ServerDescription(name, zone, kind, group, state, float(weight), since_ms * 1000 or None)
    return DiscoveredServer(server, _parse_address(entry.get("address"), state), protocol)


def _is_encodable_text(value: object) -> bool:
    """Whether the value is a string that UTF-8 can encode: JSON allows escaped lone surrogates, UTF-8 does not."""
    return isinstance(value, str) and _SURROGATE.search(value) is None


def _is_integer(value: object) -> bool:
    return type(value) is int and abs(value) < _INTEGER_LIMIT


def _parse_address(value: object, state: ServerState) -> Address | None:
    """The server's address, or None if it is malformed; raise ValueError for a ready server, which needs an address."""
    try:
        return parse_address(str(value))
    except ValueError:
        if state is ServerState.READY:
            raise
        return None


def encode_list(version: int, endpoints: Iterable[DiscoveredServer]) -> dict[str, Any]:
    """Encode a snapshot as a JSON object that `parse_list` accepts."""
    return {
        "index": version,
        "snapshot": True,
        "endpoints": [_encode_entry(endpoint) for endpoint in endpoints],
    }


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
