"""What a protocol's client of servers must offer, and the bound on the connections of all of them together."""

from __future__ import annotations

from typing import Protocol

from topazbank.core.attempts import Attempt, AttemptDeadlines
from topazbank.core.call import Call, OutcomeCallback
from topazbank.core.endpoints import Endpoint


class UpstreamClient(Protocol):
    """All connections to servers of one protocol."""

    def add_endpoint(self, endpoint: Endpoint) -> None:
        """Make the connection pool of a server that was added."""

    def endpoint_restarted(self, endpoint: Endpoint) -> None:
        """Use no connection opened so far again: its process or address is another."""

    def drain_endpoint(self, endpoint: Endpoint) -> None:
        """End what is not written and close what is idle: it accepts nothing new."""

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """Forget a server that was removed; attempts in flight hold the endpoint until they end."""

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close the idle connections to a server."""

    def send(
        self, endpoint: Endpoint, call: Call, deadlines: AttemptDeadlines, on_ended: OutcomeCallback
    ) -> Attempt:
        """Start an attempt; `on_ended` is called exactly once, maybe before this returns."""

    def check_health(self, endpoint: Endpoint, give_up_at: float, on_ended: OutcomeCallback) -> Attempt:
        """Start a health check that ends at `give_up_at`, seconds on the event loop's clock, at the latest."""

    def max_idle_connections(self) -> int:
        """How many idle connections the server with the most of them has."""

    def close_oldest_idle(self) -> None:
        """Close the longest idle connection to that server."""

    async def close(self) -> None:
        """Close what is idle and wait for connects in progress to end."""


class ConnectionLimit:
    """A bound on open connections to servers and connects in progress, of all protocols together.

    Guards this process against running out of file descriptors.
    """

    def __init__(self, max_open: int) -> None:
        self.max_open = max_open
        self.open_count = 0
        self.clients: list[UpstreamClient] = []

    def is_full(self) -> bool:
        """Whether no connection may be opened unless one is closed."""
        return self.open_count >= self.max_open

    def acquire(self) -> bool:
        """Reserve one more connection, perhaps by closing an idle one elsewhere; return whether that was possible."""
        if self.is_full() and not self._close_idle():
            return False
        self.open_count += 1
        return True

    def release(self) -> None:
        """Give one connection back."""
        self.open_count -= 1

    def _close_idle(self) -> bool:
        client = max(self.clients, key=lambda each: each.max_idle_connections())
        if not client.max_idle_connections():
            return False
        client.close_oldest_idle()
        return True
