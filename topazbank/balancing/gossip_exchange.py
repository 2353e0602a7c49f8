"""Exchanges with other balancers how many requests each has in flight at which server."""

from __future__ import annotations

from topazbank.balancing.actions import SendGossip
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.events import GossipReceived
from topazbank.balancing.servers import Server, ServerTable
from topazbank.estimation.load_gossip import LoadGossip


class GossipExchange:
    """Does nothing where the settings allow no gossip."""

    def __init__(self, context: DecisionContext, servers: ServerTable) -> None:
        settings = context.settings
        allowed = settings.limits.gossip and settings.fleet_size > 1
        self._context = context
        self._servers = servers
        self._gossip = LoadGossip(settings.prices.gossip, context.fleet_size) if allowed else None
        self._expired_at = 0  # when old reports of others were last dropped

    def request_arrived(self) -> None:
        """A first try of a client pays for messages."""
        if self._gossip is not None:
            self._gossip.note_request()

    def received(self, event: GossipReceived) -> None:
        """Take the message of another balancer."""
        if self._gossip is not None and event.sender != self._context.settings.instance:
            self._gossip.receive(self._context.now, event.sender, event.payload)

    def load_of_others(self, server: Server) -> int:
        """Requests that other balancers have in flight at a server, as far as is known."""
        return 0 if self._gossip is None else self._gossip.requests_at(server.gossip_tag)

    def send_if_due(self) -> None:
        """Send all others the own counts, as often as that is worth its price."""
        now = self._context.now
        if self._gossip is None or not self._gossip.is_due(now):
            return
        if now - self._expired_at >= self._context.stall.heartbeat_interval_us:
            self._expired_at = now
            self._gossip.expire(now)
        counts = [(each.gossip_tag, each.load(now)) for each in self._servers.by_name.values()]
        payload = self._gossip.build_message(now, counts)
        if payload:
            self._context.actions.append(SendGossip(None, payload))
