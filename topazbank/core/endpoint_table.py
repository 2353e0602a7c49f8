"""The table of endpoints, indexed by name and by address, with one upstream client per protocol."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Final

from topazbank.balancing.events import ServerState
from topazbank.core.attempts import Attempt, AttemptDeadlines
from topazbank.core.call import Call, OutcomeCallback
from topazbank.core.endpoints import HTTP, Endpoint
from topazbank.core.net import Address
from topazbank.core.upstream_client import ConnectionLimit, UpstreamClient

_NO_ADDRESS: Final[Address] = ("127.0.0.1", 0)  # for an endpoint without an address; it gets no new requests


class EndpointTable:
    """The endpoints of the current endpoint list."""

    def __init__(self, connection_limit: ConnectionLimit, health_check_timeout_s: float) -> None:
        self.connection_limit = connection_limit
        self.endpoints: dict[str, Endpoint] = {}  # by name
        self._by_address: dict[Address, dict[str, Endpoint]] = {}
        self._shared_addresses: set[Address] = set()  # addresses with several endpoints, still to be resolved
        self._clients: dict[str, UpstreamClient] = {}  # by protocol
        self._health_check_timeout_s = health_check_timeout_s

    def add_client(self, protocol: str, client: UpstreamClient) -> None:
        """Use `client` for all endpoints with this protocol."""
        self._clients[protocol] = client
        self.connection_limit.clients.append(client)

    def supports(self, protocol: str) -> bool:
        """Return whether a protocol has an upstream client."""
        return protocol in self._clients

    # -- The endpoint list ----------------------------------------------------------------------------

    def update(
        self,
        name: str,
        address: Address | None,
        started_at: int | None,
        state: ServerState,
        protocol: str = HTTP,
    ) -> None:
        """Apply an entry of the endpoint list.

        Connections to an earlier process or address of the endpoint are not reused.
        """
        endpoint = self.endpoints.get(name)
        removed = state is ServerState.REMOVED
        if endpoint is not None and (removed or endpoint.protocol != protocol):
            self._remove(endpoint)  # a protocol change means that another process is listening
            endpoint = None
        if removed:
            return
        if endpoint is None:
            self._add(Endpoint(name, address or _NO_ADDRESS, started_at, state, protocol))
            return
        self._note_restart(endpoint, address or endpoint.address, started_at)
        endpoint.state = state
        if state is ServerState.READY:
            endpoint.draining_since = None
        else:
            endpoint.draining_since = endpoint.draining_since or time.monotonic()
            self._clients[protocol].drain_endpoint(endpoint)

    def _add(self, endpoint: Endpoint) -> None:
        self._clients[endpoint.protocol].add_endpoint(endpoint)
        self.endpoints[endpoint.name] = endpoint
        self._add_address(endpoint)

    def _note_restart(self, endpoint: Endpoint, address: Address, started_at: int | None) -> None:
        """Start a new generation of connections if the endpoint's process or address has changed."""
        if (endpoint.address, endpoint.started_at) == (address, started_at):
            return
        self._remove_address(endpoint)
        endpoint.address, endpoint.started_at = address, started_at
        self._add_address(endpoint)
        endpoint.generation += 1
        self._clients[endpoint.protocol].endpoint_restarted(endpoint)

    def _remove(self, endpoint: Endpoint) -> None:
        endpoint.state = ServerState.REMOVED
        endpoint.draining_since = endpoint.draining_since or time.monotonic()
        client = self._clients[endpoint.protocol]
        client.drain_endpoint(endpoint)
        client.remove_endpoint(endpoint)
        del self.endpoints[endpoint.name]
        self._remove_address(endpoint)

    # -- Addresses ------------------------------------------------------------------------------------

    def _add_address(self, endpoint: Endpoint) -> None:
        if endpoint.address == _NO_ADDRESS:
            return
        same_address = self._by_address.setdefault(endpoint.address, {})
        same_address[endpoint.name] = endpoint
        if len(same_address) > 1:
            self._shared_addresses.add(endpoint.address)

    def _remove_address(self, endpoint: Endpoint) -> None:
        same_address = self._by_address.get(endpoint.address, {})
        same_address.pop(endpoint.name, None)
        if not same_address:
            self._by_address.pop(endpoint.address, None)

    def remove_superseded(self, is_pending: Callable[[str], bool] = lambda name: False) -> list[str]:
        """Remove the endpoints that share their address with an endpoint that started later, and return their names.

        Only the process that started last listens at the address.  An address stays unresolved while `is_pending` is
        true for one of its endpoints, because the pending update may move that endpoint to another address.
        """
        superseded: list[Endpoint] = []
        for address in list(self._shared_addresses):
            same_address = self._by_address.get(address, {})
            if any(is_pending(name) for name in same_address):
                continue
            self._shared_addresses.discard(address)
            latest_start = max((endpoint.started_at or 0 for endpoint in same_address.values()), default=0)
            superseded += [
                endpoint for endpoint in same_address.values() if (endpoint.started_at or 0) < latest_start
            ]
        for endpoint in superseded:
            self._remove(endpoint)
        return [endpoint.name for endpoint in superseded]

    # -- Requests -------------------------------------------------------------------------------------

    def send(self, name: str, call: Call, deadlines: AttemptDeadlines, on_ended: OutcomeCallback) -> Attempt:
        """Start an attempt; `on_ended` is called exactly once, possibly before this method returns.

        Raises KeyError if no endpoint has this name.
        """
        endpoint = self.endpoints[name]
        return self._clients[endpoint.protocol].send(endpoint, call, deadlines, on_ended)

    def check_health(self, name: str, on_ended: OutcomeCallback) -> Attempt:
        """Start a health check; `on_ended` is called exactly once.  Raises KeyError if no endpoint has this name."""
        endpoint = self.endpoints[name]
        deadline = asyncio.get_running_loop().time() + self._health_check_timeout_s
        return self._clients[endpoint.protocol].check_health(endpoint, deadline, on_ended)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to the endpoint with this name, if it exists."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            self._clients[endpoint.protocol].close_idle(endpoint)

    async def close(self) -> None:
        """Close all idle connections and wait until the connection attempts in progress have ended."""
        for client in self._clients.values():
            await client.close()
