"""Exchanges in-flight request counts for each server with other balancers."""

from __future__ import annotations

from topazbank.balancing.actions import SendGossip
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.events import GossipReceived
from topazbank.balancing.servers import Server, ServerTable
from topazbank.estimation.load_gossip import LoadGossip


class GossipExchange:
    """Sends and receives load gossip; does nothing where the settings disable gossip."""

    def __init__(self, context: DecisionContext, servers: ServerTable) -> None:
        settings = context.settings
        is_enabled = settings.limits.gossip and settings.fleet_size > 1
        self._context = context
        self._servers = servers
        self._gossip = LoadGossip(settings.prices.gossip, context.fleet_size) if is_enabled else None
        self._expired_at = 0  # time of the last removal of expired counts from other balancers

    def request_arrived(self) -> None:
        """Add to the message budget for the first attempt of a client's request."""
        if self._gossip is not None:
            self._gossip.note_request()

    def received(self, event: GossipReceived) -> None:
        """Process a message from another balancer."""
        if self._gossip is not None and event.sender != self._context.settings.instance:
            self._gossip.receive(self._context.now, event.sender, event.payload)

    def load_of_others(self, server: Server) -> int:
        """Known number of requests that other balancers have in flight at a server."""
        return 0 if self._gossip is None else self._gossip.requests_at(server.gossip_tag)

    def send_if_due(self) -> None:
        """Send this balancer's counts to all others, as often as the message budget allows."""
        now = self._context.now
        if self._gossip is None or not self._gossip.is_due(now):
            return
        if now - self._expired_at >= self._context.stall.heartbeat_interval_us:
            self._expired_at = now
            self._gossip.expire(now)
        counts = [(server.gossip_tag, server.load(now)) for server in self._servers.by_name.values()]
        payload = self._gossip.build_message(now, counts)
        if payload:
            self._context.actions.append(SendGossip(None, payload))
