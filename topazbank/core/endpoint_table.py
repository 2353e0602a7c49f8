"""All endpoints by name and by address, each with the upstream client of its protocol."""

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

_NO_ADDRESS: Final[Address] = ("127.0.0.1", 0)  # of a server that accepts nothing new anyway


class EndpointTable:
    """The endpoints of the endpoint list as it stands."""

    def __init__(self, connection_limit: ConnectionLimit, health_check_timeout_s: float) -> None:
        self.connection_limit = connection_limit
        self.endpoints: dict[str, Endpoint] = {}  # by name
        self._by_address: dict[Address, dict[str, Endpoint]] = {}
        self._contested: set[Address] = set()  # addresses of several endpoints, not resolved yet
        self._clients: dict[str, UpstreamClient] = {}  # by protocol
        self._health_check_timeout_s = health_check_timeout_s

    def add_client(self, protocol: str, client: UpstreamClient) -> None:
        """Use `client` for endpoints of a protocol."""
        self._clients[protocol] = client
        self.connection_limit.clients.append(client)

    def supports(self, protocol: str) -> bool:
        """Whether there is a client for a protocol."""
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
        """Apply an entry of the endpoint list; connections to a former process or address are not used again."""
        endpoint = self.endpoints.get(name)
        removed = state is ServerState.REMOVED
        if endpoint is not None and (removed or endpoint.protocol != protocol):
            self._remove(endpoint)  # another protocol is another process
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
        """Begin a generation of connections where its process or address has changed."""
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
        sharing = self._by_address.setdefault(endpoint.address, {})
        sharing[endpoint.name] = endpoint
        if len(sharing) > 1:
            self._contested.add(endpoint.address)

    def _remove_address(self, endpoint: Endpoint) -> None:
        sharing = self._by_address.get(endpoint.address, {})
        sharing.pop(endpoint.name, None)
        if not sharing:
            self._by_address.pop(endpoint.address, None)

    def remove_superseded(self, is_pending: Callable[[str], bool] = lambda name: False) -> list[str]:
        """Remove endpoints whose address is that of one that started later: its process listens there now.

        Returns their names.  An address is resolved once no update of an endpoint there `is_pending`: that one may be
        about to leave it.
        """
        superseded: list[Endpoint] = []
        for address in list(self._contested):
            sharing = self._by_address.get(address, {})
            if any(is_pending(name) for name in sharing):
                continue
            self._contested.discard(address)
            latest = max((endpoint.started_at or 0 for endpoint in sharing.values()), default=0)
            superseded += [endpoint for endpoint in sharing.values() if (endpoint.started_at or 0) < latest]
        for endpoint in superseded:
            self._remove(endpoint)
        return [endpoint.name for endpoint in superseded]

    # -- Requests -------------------------------------------------------------------------------------

    def send(self, name: str, call: Call, deadlines: AttemptDeadlines, on_ended: OutcomeCallback) -> Attempt:
        """Start an attempt; `on_ended` is called exactly once, maybe before this returns.

        Raises KeyError where no endpoint has this name.
        """
        endpoint = self.endpoints[name]
        return self._clients[endpoint.protocol].send(endpoint, call, deadlines, on_ended)

    def check_health(self, name: str, on_ended: OutcomeCallback) -> Attempt:
        """Start a health check; `on_ended` is called exactly once.  Raises KeyError where no endpoint has this name."""
        endpoint = self.endpoints[name]
        give_up_at = asyncio.get_running_loop().time() + self._health_check_timeout_s
        return self._clients[endpoint.protocol].check_health(endpoint, give_up_at, on_ended)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to an endpoint, if there is one of this name."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            self._clients[endpoint.protocol].close_idle(endpoint)

    async def close(self) -> None:
        """Close all idle connections and wait for connects in progress to end."""
        for client in self._clients.values():
            await client.close()
