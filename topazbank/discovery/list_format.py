"""The list of servers in the platform's form, as the registry answers it and processes hand it over."""

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

_WHOLE_MOST = 2**52  # of a whole number in the list: in microseconds it must fit 64 bits
_HALF = re.compile("[\ud800-\udfff]")
_JUNK = (ValueError, TypeError, KeyError, AttributeError, OverflowError)  # what reading an entry may raise
_STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.REMOVED}


def parse_list(given: object) -> EndpointList:
    """Read discovery's form; a junk entry is skipped with a log line, a junk list is a ValueError."""
    if not isinstance(given, Mapping) or not isinstance(given.get("endpoints"), list):
        raise ValueError("a list of servers is an object with endpoints")
    version = given.get("index")
    if type(version) is not int:
        raise ValueError("index: a whole number is needed")
    lines = []
    for entry in given["endpoints"]:
        try:
            lines.append(_listed(entry))
        except _JUNK as junk:
            log.warning("list entry skipped: %r: %.120r", junk, entry)
    return EndpointList(version, given.get("snapshot") is True, lines)


def _listed(entry: Mapping[str, Any]) -> DiscoveredServer:
    name = entry["name"]
    if not _is_text(name) or not name:
        raise ValueError("name must be a text")
    # A status that is not known here takes nothing new.
    state = _STATES.get(entry["status"], ServerState.DRAINING)
    try:
        return _described(entry, name, state)
    except _JUNK as junk:
        if state is ServerState.READY:
            raise
        # Guards a drain: skipped, the entry would leave its server in use.
        log.warning("of a list entry only the status is taken: %r: %.120r", junk, entry)
        return DiscoveredServer(ServerDescription(name, state=state), None, None)


def _described(entry: Mapping[str, Any], name: str, state: ServerState) -> DiscoveredServer:
    zone, kind, protocol = entry.get("zone", ""), entry.get("type", ""), entry.get("protocol")
    group, weight, since_ms = entry.get("group", 0), entry.get("weight", 1.0), entry.get("since_ms", 0)
    if not _is_text(zone) or not _is_text(kind) or not (protocol is None or _is_text(protocol)):
        raise ValueError("zone, type and protocol must be texts")
    if not _is_whole(group) or not _is_whole(since_ms) or since_ms < 0:
        raise ValueError("group and since_ms must be whole numbers")
    if isinstance(weight, bool) or not isinstance(weight, int | float) or not math.isfinite(weight):
        raise ValueError("weight must be a number")
    server = ServerDescription(name, zone, kind, group, state, float(weight), since_ms * 1000 or None)
    return DiscoveredServer(server, _place(entry.get("address"), state), protocol)


def _is_text(value: object) -> bool:
    """Whether this is a text that can be written: JSON may hold halves of characters."""
    return isinstance(value, str) and _HALF.search(value) is None


def _is_whole(value: object) -> bool:
    return type(value) is int and abs(value) < _WHOLE_MOST


def list_to_json(version: int, lines: Iterable[DiscoveredServer]) -> dict[str, Any]:
    """A list in discovery's form: what `parse_list` reads."""
    return {"index": version, "snapshot": True, "endpoints": [_entry(each) for each in lines]}


def _entry(line: DiscoveredServer) -> dict[str, Any]:
    server = line.server
    entry = {
        "name": server.name,
        "zone": server.zone,
        "type": server.kind,
        "group": server.cell,
        "status": next(name for name, state in _STATES.items() if state is server.state),
        "weight": server.nominal_capacity,
        "since_ms": (server.started_at or 0) // 1000,
    }
    if line.address is not None:
        entry["address"] = f"{line.address[0]}:{line.address[1]}"
    return entry | ({} if line.protocol is None else {"protocol": line.protocol})


def _place(value: object, state: ServerState) -> Address | None:
    """Where the server listens; one that takes nothing new needs no address, and its leaving must be told."""
    try:
        return parse_address(str(value))
    except ValueError:
        if state is ServerState.READY:
            raise
        return None
