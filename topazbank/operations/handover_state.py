"""The state that a sidecar's process hands to the next one, and its encoding in the snapshot."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from topazbank.core.endpoint_source import EndpointList
from topazbank.discovery.list_format import encode_list, parse_list

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class HandoverState:
    """The state of a process at the time of a hand-over."""

    endpoints: EndpointList | None  # None: no valid list in the snapshot
    client_connections: int = 0
    server_connections: int = 0
    held_bytes: int = 0  # of the memory budget
    cluster_state: Mapping[str, Any] | None = None  # None: the sidecar is not in a cluster


def state_to_json(state: HandoverState) -> dict[str, Any]:
    """Return the snapshot's values; other versions of the program read the keys, so they must not change."""
    values: dict[str, Any] = {"clients": state.client_connections, "nodes": state.server_connections}
    if state.endpoints is not None:
        values = {"list": encode_list(state.endpoints.version, state.endpoints.entries)} | values
    if state.cluster_state:
        values["tier"] = state.cluster_state
    if state.held_bytes:
        values["memory"] = state.held_bytes
    return values


def state_from_json(values: Mapping[str, Any]) -> HandoverState:
    """Read the snapshot's values; invalid values are replaced by the defaults."""
    cluster_state = values.get("tier")
    return HandoverState(
        _endpoints(values.get("list")),
        _count(values.get("clients")),
        _count(values.get("nodes")),
        _count(values.get("memory")),
        cluster_state if isinstance(cluster_state, dict) else None,
    )


def _endpoints(value: object) -> EndpointList | None:
    try:
        return parse_list(value)
    except ValueError as error:
        log.warning("invalid endpoint list from the previous process: %s", error)
        return None


def _count(value: object) -> int:
    return value if type(value) is int and value >= 0 else 0
