"""Applies endpoint list updates: servers are added, changed, drained, restarted or removed."""

from __future__ import annotations

from topazbank.balancing.context import DecisionContext
from topazbank.balancing.endpoint_polling import EndpointPolling
from topazbank.balancing.events import EndpointsUpdated, ServerDescription, ServerState, UpdateKind
from topazbank.balancing.health_checks import HealthChecks
from topazbank.balancing.outlier_ejection import OutlierEjection
from topazbank.balancing.servers import Server, ServerTable
from topazbank.balancing.slow_start import SlowStart


class EndpointUpdates:
    """Applies endpoint list updates to the server table."""

    def __init__(
        self,
        context: DecisionContext,
        servers: ServerTable,
        slow_start: SlowStart,
        ejection: OutlierEjection,
        polling: EndpointPolling,
        checks: HealthChecks,
    ) -> None:
        self._context = context
        self._servers = servers
        self._slow_start = slow_start
        self._ejection = ejection
        self._polling = polling
        self._checks = checks

    def update(self, event: EndpointsUpdated) -> None:
        """Apply an update; a failed poll changes no server."""
        if event.kind is UpdateKind.FAILED:
            self._polling.failed()
            return
        if event.kind is not UpdateKind.CACHED:
            self._polling.answered()
        changed = self._servers.removed + [
            self._apply_description(description) for description in event.servers
        ]
        if event.kind is not UpdateKind.DELTA:
            for name in self._servers.missing_from(description.name for description in event.servers):
                changed.append(self._apply_description(ServerDescription(name, state=ServerState.REMOVED)))
        self._checks.check_at_start()
        self._finish_update(changed)

    def _apply_description(self, description: ServerDescription) -> Server:
        """Apply one entry of the list, at a cost almost independent of the length of the list."""
        server = self._servers.get_or_add(description.name)
        if server.state is ServerState.READY:
            self._servers.remove_ready(server)
        state_before, server.state = server.state, description.state
        if description.state is ServerState.REMOVED:
            return server  # keeps its zone, which attempts still in flight there are counted by
        server.zone, server.cell = description.zone, description.cell
        was_removed = state_before is ServerState.REMOVED
        if was_removed or description.nominal_capacity != server.nominal_capacity:
            server.latency_ratio = 0.0  # unset; `_finish_update` derives it from the capacity
        server.nominal_capacity = max(description.nominal_capacity, 0.0)
        if description.state is ServerState.READY:
            self._servers.add_ready(server)
        if description.started_at is not None and description.started_at != server.started_at:
            self._apply_restart(server, description.started_at)
        return server

    def _apply_restart(self, server: Server, started_at: int) -> None:
        """Begin the slow start of a restarted server, and end an ejection caused by its previous process."""
        server.started_at = started_at
        self._slow_start.begin(server, started_at)
        if server.ejected_until is not None and server.state is ServerState.READY:
            self._ejection.readmit(server)

    def _finish_update(self, changed: list[Server]) -> None:
        """Drop removed servers, and estimate the latency ratio of new ones from their capacity."""
        mean_capacity = self._servers.mean_ready_capacity()
        self._servers.removed = []
        for server in dict.fromkeys(changed):
            if server.state is ServerState.REMOVED:
                self._ejection.server_removed(server)
                self._servers.drop(server)
            elif server.state is ServerState.READY and server.latency_ratio <= 0.0:
                has_capacity = server.nominal_capacity > 0.0
                server.latency_ratio = mean_capacity / server.nominal_capacity if has_capacity else 1.0
