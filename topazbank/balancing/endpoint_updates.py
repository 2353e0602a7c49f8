"""Takes updates of the endpoint list: servers that come, change, drain, restart or are removed."""

from __future__ import annotations

from topazbank.balancing.context import DecisionContext
from topazbank.balancing.endpoint_polling import EndpointPolling
from topazbank.balancing.events import EndpointsUpdated, ServerDescription, ServerState, UpdateKind
from topazbank.balancing.health_checks import HealthChecks
from topazbank.balancing.outlier_ejection import OutlierEjection
from topazbank.balancing.servers import Server, ServerTable
from topazbank.balancing.slow_start import SlowStart


class EndpointUpdates:
    """Brings the table of servers up to date."""

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
        """Take an update; a failed poll changes no server."""
        if event.kind is UpdateKind.FAILED:
            self._polling.failed()
            return
        if event.kind is not UpdateKind.CACHED:
            self._polling.answered()
        touched = self._servers.removed + [self._describe(each) for each in event.servers]
        if event.kind is not UpdateKind.DELTA:
            for name in self._servers.missing_from(each.name for each in event.servers):
                touched.append(self._describe(ServerDescription(name, state=ServerState.REMOVED)))
        self._checks.check_at_start()
        self._settle(touched)

    def _describe(self, description: ServerDescription) -> Server:
        """Take one entry of the list, at a cost that hardly grows with the list."""
        server = self._servers.get_or_add(description.name)
        if server.state is ServerState.READY:
            self._servers.remove_ready(server)
        state_before, server.state = server.state, description.state
        if description.state is ServerState.REMOVED:
            return server  # its zone is kept: what is in flight there still counts by it
        server.zone, server.cell = description.zone, description.cell
        is_back = state_before is ServerState.REMOVED
        if is_back or description.nominal_capacity != server.nominal_capacity:
            server.latency_ratio = 0.0  # to be set by its capacity
        server.nominal_capacity = max(description.nominal_capacity, 0.0)
        if description.state is ServerState.READY:
            self._servers.add_ready(server)
        if description.started_at is not None and description.started_at != server.started_at:
            self._restarted(server, description.started_at)
        return server

    def _restarted(self, server: Server, started_at: int) -> None:
        """A new process has the server's name: its slow start begins, and what the old one did does not count."""
        server.started_at = started_at
        self._slow_start.begin(server, started_at)
        if server.ejected_until is not None and server.state is ServerState.READY:
            self._ejection.readmit(server)

    def _settle(self, touched: list[Server]) -> None:
        """Drop removed servers, and give new ones the latency ratio that their capacity suggests."""
        mean_capacity = self._servers.mean_ready_capacity()
        self._servers.removed = []
        for server in dict.fromkeys(touched):
            if server.state is ServerState.REMOVED:
                self._ejection.server_removed(server)
                self._servers.drop(server)
            elif server.state is ServerState.READY and server.latency_ratio <= 0.0:
                has_capacity = server.nominal_capacity > 0.0
                server.latency_ratio = mean_capacity / server.nominal_capacity if has_capacity else 1.0
