"""The interface of a protocol's upstream client, and the connection limit shared by all upstream clients."""

from __future__ import annotations

from typing import Protocol

from topazbank.core.attempts import Attempt, AttemptDeadlines
from topazbank.core.call import Call, OutcomeCallback
from topazbank.core.endpoints import Endpoint
from topazbank.core.memory_budget import CONNECTION_BYTES, MemoryAccount, MemoryBudget
from topazbank.core.partial_responses import PartialResponses


class UpstreamClient(Protocol):
    """Manages all connections to the servers of one protocol."""

    def add_endpoint(self, endpoint: Endpoint) -> None:
        """Create the connection pool of a server that was added."""

    def endpoint_restarted(self, endpoint: Endpoint) -> None:
        """Stop reusing the open connections to a server whose process or address has changed."""

    def drain_endpoint(self, endpoint: Endpoint) -> None:
        """End unwritten attempts and close idle connections; the server accepts no new requests."""

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """Drop a server that was removed; attempts in flight keep a reference to the endpoint until they end."""

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close the idle connections to a server."""

    def send(
        self, endpoint: Endpoint, call: Call, deadlines: AttemptDeadlines, on_ended: OutcomeCallback
    ) -> Attempt:
        """Start an attempt; `on_ended` is called exactly once, possibly before this returns."""

    def check_health(self, endpoint: Endpoint, give_up_at: float, on_ended: OutcomeCallback) -> Attempt:
        """Start a health check that ends no later than `give_up_at`, in seconds on the event loop's clock."""

    def max_idle_connections(self) -> int:
        """The number of idle connections to the server that has the most of them."""

    def close_oldest_idle(self) -> None:
        """Close the longest-idle connection to the server that has the most idle connections."""

    async def close(self) -> None:
        """Close the idle connections and wait for connects in progress to end."""


class ConnectionLimit:
    """A limit on open connections and connects in progress to servers, shared by all protocols.

    It keeps this process from running out of file descriptors.  What the connections hold counts in `memory`; the
    connections themselves count from the start of the connect, so that a burst of requests is refused in time.
    """

    def __init__(self, max_open: int, memory: MemoryBudget | None = None) -> None:
        self.max_open = max_open
        self.memory = memory or MemoryBudget()
        self.partial_responses = PartialResponses(self.memory)
        self.open_count = 0
        self._account = MemoryAccount(self.memory)  # of the connections themselves
        self.clients: list[UpstreamClient] = []

    def set_max_open(self, max_open: int) -> None:
        """Change the limit; idle connections beyond it are closed."""
        self.max_open = max_open
        for _ in range(self.open_count - max_open):
            if not self._close_idle():
                break

    def is_full(self) -> bool:
        """Whether a connection must be closed before another can be opened."""
        return self.open_count >= self.max_open

    def acquire(self) -> bool:
        """Reserve a connection, closing an idle one if the limit is reached; return whether this succeeded."""
        if self.is_full() and not self._close_idle():
            return False
        self._set_open_count(self.open_count + 1)
        return True

    def release(self) -> None:
        """Release one reserved connection."""
        self._set_open_count(self.open_count - 1)

    def _set_open_count(self, count: int) -> None:
        self.open_count = count
        self._account.set(count * CONNECTION_BYTES)

    def _close_idle(self) -> bool:
        client = max(self.clients, key=lambda candidate: candidate.max_idle_connections(), default=None)
        if client is None or not client.max_idle_connections():
            return False
        client.close_oldest_idle()
        return True
