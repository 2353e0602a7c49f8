"""Closes idle connections to servers where holding them costs more than opening new ones.

Many small balancers may each hold a few rarely used connections.  Servers accept a limited number of them, and a
larger connection table reduces a server's capacity.
"""

from __future__ import annotations

from topazbank.balancing.actions import CloseIdleConnections
from topazbank.balancing.agenda import Agenda, DeadlineKind
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.events import Outcome
from topazbank.balancing.health_checks import HealthChecks
from topazbank.balancing.load import OwnLoad
from topazbank.balancing.servers import Server, ServerTable

# Outcomes after which the connection is still open.
_CONNECTION_KEPT = (Outcome.DELIVERED, Outcome.ERROR, Outcome.REJECTED)
# Holding a connection costs its price once per this many requests that its server receives.
_REQUESTS_PER_CONNECTION_PRICE = 100.0


class IdleConnections:
    """Tracks this balancer's estimate of the idle connections to each server."""

    def __init__(
        self,
        context: DecisionContext,
        agenda: Agenda,
        servers: ServerTable,
        load: OwnLoad,
        checks: HealthChecks,
    ) -> None:
        self._context = context
        self._agenda = agenda
        self._servers = servers
        self._load = load
        self._checks = checks

    def attempt_sent(self, server: Server) -> None:
        """Count an idle connection, if there is one, as used by an attempt."""
        server.idle_connections = max(server.idle_connections - 1, 0)

    def attempt_ended(self, server: Server, outcome: Outcome) -> None:
        """Count the connection of an ended attempt as idle if it is still open, and schedule when to close it."""
        if outcome not in _CONNECTION_KEPT:
            return
        now, limits, prices = self._context.now, self._context.settings.limits, self._context.settings.prices
        if now - server.idle_since >= limits.idle_timeout_us:
            server.idle_connections = 0
        server.idle_connections += 1
        server.idle_since = now
        if prices.connection <= 0.0 or limits.streams_per_connection > 1:
            return
        requests_per_us = max(self._requests_per_us(), 1e-9)
        hold_us = _REQUESTS_PER_CONNECTION_PRICE * prices.handshake / prices.connection / requests_per_us
        if hold_us < limits.idle_timeout_us:
            server.close_idle_at = now + int(hold_us) + 1
            self._agenda.schedule(server.close_idle_at, DeadlineKind.IDLE_CONNECTIONS, server.number)

    def close(self, number: int) -> None:
        """Close the idle connections to the server with this number."""
        server = self._servers.by_number[number]
        server.idle_connections = 0
        self._context.actions.append(CloseIdleConnections(server.name))

    def closes_at(self, number: int, due: int) -> bool:
        """Whether the server with this number has idle connections to close at the clock time `due`."""
        server = self._servers.by_number.get(number)
        return server is not None and due == server.close_idle_at and server.idle_connections > 0

    def _requests_per_us(self) -> float:
        """Requests per microsecond that a server receives from all balancers."""
        estimated_total = self._load.arrivals.per_us(self._context.now) * self._context.fleet_size.upper_bound
        observed = self._checks.requests_per_us()
        return observed or estimated_total / max(len(self._servers.ready), 1)
