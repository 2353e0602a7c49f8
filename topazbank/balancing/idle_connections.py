"""Closes idle connections to servers where holding them costs more than opening new ones.

Guards against many small balancers that each hold a few connections that are hardly used: servers accept only so many,
and a fuller connection table takes of their capacity.
"""

from __future__ import annotations

from topazbank.balancing.actions import CloseIdleConnections
from topazbank.balancing.agenda import Agenda, DeadlineKind
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.events import Outcome
from topazbank.balancing.health_checks import HealthChecks
from topazbank.balancing.load import OwnLoad
from topazbank.balancing.servers import Server, ServerTable

_CONNECTED = (Outcome.DELIVERED, Outcome.ERROR, Outcome.REJECTED)  # the connection is still there after these
_REQUEST_COST_RATIO = 100.0  # a connection costs its price a hundredth part a request that its server gets


class IdleConnections:
    """Knows which servers have idle connections, by this balancer's own reckoning."""

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
        """An attempt takes an idle connection, if there is one."""
        server.idle_connections = max(server.idle_connections - 1, 0)

    def attempt_ended(self, server: Server, outcome: Outcome) -> None:
        """An attempt leaves its connection idle, where it is still there; plan when to close it."""
        if outcome not in _CONNECTED:
            return
        now, limits, prices = self._context.now, self._context.settings.limits, self._context.settings.prices
        if now - server.idle_since >= limits.idle_timeout_us:
            server.idle_connections = 0
        server.idle_connections += 1
        server.idle_since = now
        if prices.connection <= 0.0 or limits.streams_per_connection > 1:
            return
        requests_per_us = max(self._requests_per_us(), 1e-9)
        worth_holding_us = _REQUEST_COST_RATIO * prices.handshake / prices.connection / requests_per_us
        if worth_holding_us < limits.idle_timeout_us:
            server.close_idle_at = now + int(worth_holding_us) + 1
            self._agenda.schedule(server.close_idle_at, DeadlineKind.IDLE_CONNECTIONS, server.number)

    def close(self, number: int) -> None:
        """Close the idle connections to the server of this number."""
        server = self._servers.by_number[number]
        server.idle_connections = 0
        self._context.actions.append(CloseIdleConnections(server.name))

    def closes_at(self, number: int, due: int) -> bool:
        """Whether the server of this number has idle connections that are to be closed at this clock time."""
        server = self._servers.by_number.get(number)
        return server is not None and due == server.close_idle_at and server.idle_connections > 0

    def _requests_per_us(self) -> float:
        """Requests a microsecond that a server gets, from all balancers."""
        from_all = self._load.arrivals.per_us(self._context.now) * self._context.fleet_size.upper_bound
        observed = self._checks.requests_per_us()
        return observed or from_all / max(len(self._servers.ready), 1)
