"""The status page for operators, as JSON: the current endpoint list, its sources and this process's counters."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from topazbank.core.components import ClusterMembership, RequestObserver
from topazbank.core.counters import Counters
from topazbank.core.endpoint_source import SourceStatus
from topazbank.core.endpoint_table import EndpointTable
from topazbank.core.endpoint_watcher import EndpointWatcher
from topazbank.core.endpoints import Endpoint


class StatusPage:
    """Renders the status page; its keys are an external interface that operators' tools read."""

    def __init__(
        self,
        counters: Counters,
        endpoints: EndpointTable,
        watcher: EndpointWatcher,
        observer: RequestObserver | None,
        membership: ClusterMembership | None,
    ) -> None:
        self._counters = counters
        self._endpoints = endpoints
        self._watcher = watcher
        self._observer = observer
        self._membership = membership

    def render(self) -> bytes:
        """Return the current page."""
        now = asyncio.get_running_loop().time()
        endpoints = sorted(self._endpoints.endpoints.values(), key=lambda endpoint: endpoint.name)
        page: dict[str, Any] = {
            "counters": self._counters.as_mapping(),
            "sources": [_source_entry(status, now) for status in self._watcher.source_status()],
            "nodes": [self._endpoint_entry(endpoint, now) for endpoint in endpoints],
        }
        if self._observer is not None:
            page["plan"] = self._observer.status()
        if self._membership is not None:
            page["tier"] = self._membership.status()
        return json.dumps(page).encode()

    def _endpoint_entry(self, endpoint: Endpoint, now: float) -> dict[str, Any]:
        """Return an endpoint's state, address and protocol, with the source and the age of this data."""
        updated_at = self._watcher.updates.updated_at(endpoint.name, now)
        return {
            "name": endpoint.name,
            "state": endpoint.state.value,
            "address": f"{endpoint.address[0]}:{endpoint.address[1]}",
            "protocol": endpoint.protocol,
            "source": self._watcher.source.source_of(endpoint.name),
            "age_s": round(now - updated_at, 3),
        }


def _source_entry(status: SourceStatus, now: float) -> dict[str, Any]:
    last_contact_at = status.last_contact_at
    return {
        "source": status.source,
        "can_know": status.is_connected,
        "age_s": None if last_contact_at is None else round(now - last_contact_at, 3),
    }
