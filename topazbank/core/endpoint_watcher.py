"""Receives the endpoint list from its source and applies it in batches, first to the connections, then to the balancer.

If the list is polled, the balancer decides when (`estimation.poll_schedule`).  If an agent on this machine holds pushed
lists, this module calls the agent until it answers.  The interval is well within the drain grace period, because a list
that the agent holds counts as received even if the sidecar has not read it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Final

from topazbank.balancing.events import EndpointsUpdated, ServerDescription, ServerState, UpdateKind
from topazbank.core.endpoint_list import PendingUpdates
from topazbank.core.endpoint_source import (
    DiscoveredServer,
    EndpointList,
    EndpointSource,
    ProtocolDefaults,
    SourceStatus,
)
from topazbank.core.endpoint_table import EndpointTable
from topazbank.core.endpoints import HTTP
from topazbank.core.net import Address

log = logging.getLogger(__name__)

AGENT_RETRY_S: Final = 0.2  # between a failed call to the agent and the next call
AGENT_TIMEOUT_S: Final = 0.4  # until an unanswered call is repeated; a working agent answers immediately

OnUpdate = Callable[[EndpointList | None], None]


class EndpointWatcher:
    """Applies the endpoint list that a source provides to the endpoint table and to the balancer."""

    def __init__(
        self,
        cached: EndpointList,
        pushed: bool,
        endpoints: EndpointTable,
        on_updated: Callable[[EndpointsUpdated], None],
    ) -> None:
        """`cached`: the last known list; `pushed`: whether an agent holds lists; `on_updated` receives each batch."""
        self.updates = PendingUpdates()
        self._cached = cached
        self._pushed = pushed
        self._endpoints = endpoints
        self._on_updated = on_updated
        self._protocol_defaults = ProtocolDefaults()
        self._source: EndpointSource | None = None
        self._source_count = 0  # number of sources set so far
        self._batch_scheduled = False  # whether the event loop's next iteration applies a batch
        self._agent_call: asyncio.TimerHandle | None = None  # the next call to the agent

    @property
    def source(self) -> EndpointSource:
        """The current source."""
        assert self._source is not None
        return self._source

    @property
    def snapshot(self) -> EndpointList:
        """The list as applied so far, with the newest version that was applied completely."""
        return EndpointList(self.updates.applied_version, True, self.updates.applied())

    def set_source(
        self, make_source: Callable[[OnUpdate], EndpointSource], protocol_defaults: ProtocolDefaults
    ) -> None:
        """Switch to the source that `make_source` returns; later updates from an earlier source are ignored."""
        if self._source is not None:
            self._source.stop()
        self._source_count += 1
        number = self._source_count

        def on_update(update: EndpointList | None) -> None:
            if number == self._source_count:
                self.receive(update)

        self._protocol_defaults = protocol_defaults
        self._source = make_source(on_update)

    def start(self, poll_immediately: bool) -> None:
        """Apply the cached list in one batch, since no request is waiting yet.

        `poll_immediately`: poll for changes without waiting for the balancer to ask for it.
        """
        self.updates.receive(asyncio.get_running_loop().time(), self._cached)
        self._apply(UpdateKind.CACHED, self.updates.take_batch(len(self._cached.entries)))
        if self._pushed:
            self._call_agent()
        elif poll_immediately:
            self.source.watch(True)

    def source_replaced(self) -> None:
        """Start watching a source that was set at run time; call it until it answers."""
        self.source.watch(True)
        self.receive(None)

    def move(self, address: Address) -> None:
        """Continue at another discovery address; if the address is unchanged, poll it again."""
        log.info("discovery is at %s:%d now", *address)
        self.source.move(address)

    def stop(self) -> None:
        """Stop all calls."""
        self._cancel_agent_call()
        self.source.stop()

    def receive(self, update: EndpointList | None) -> None:
        """Process a snapshot or changes from the source; None means that a call failed."""
        if update is not None:
            self._cancel_agent_call()
            self.updates.receive(asyncio.get_running_loop().time(), update)
            self._apply_batch()
            return
        self._on_updated(EndpointsUpdated(UpdateKind.FAILED))
        if self._pushed and self._agent_call is None:
            self._agent_call = asyncio.get_running_loop().call_later(AGENT_RETRY_S, self._call_agent)

    def source_status(self) -> tuple[SourceStatus, ...]:
        """Return the status of the source, or of each of its parts if it combines several."""
        return self.source.status()

    # -- The agent that holds pushed lists ------------------------------------------------------------

    def _call_agent(self) -> None:
        """Call the agent, and repeat the call at short intervals until it answers."""
        self.source.watch(True)
        self._agent_call = asyncio.get_running_loop().call_later(AGENT_TIMEOUT_S, self._call_agent)

    def _cancel_agent_call(self) -> None:
        if self._agent_call is not None:
            self._agent_call.cancel()
            self._agent_call = None

    # -- Batches --------------------------------------------------------------------------------------

    def _apply_batch(self) -> None:
        """Apply one batch now and the others in later event loop iterations, so that requests proceed in between."""
        self._apply(UpdateKind.DELTA, self.updates.take_batch())
        if self.updates.has_pending() and not self._batch_scheduled:
            self._batch_scheduled = True
            asyncio.get_running_loop().call_soon(self._apply_next_batch)

    def _apply_next_batch(self) -> None:
        self._batch_scheduled = False
        self._apply_batch()

    def _apply(self, kind: UpdateKind, entries: Sequence[DiscoveredServer]) -> None:
        """Update the connections first, since the balancer may send to a server as soon as it learns of it."""
        servers = [self._update_endpoint(entry) for entry in entries]
        for name in self._endpoints.remove_superseded(self.updates.is_pending):
            self.updates.mark_superseded(name)
            servers.append(ServerDescription(name, state=ServerState.REMOVED))
        self._on_updated(EndpointsUpdated(kind, servers, self.updates.version))

    def _update_endpoint(self, entry: DiscoveredServer) -> ServerDescription:
        """Update a server's connections and return the server's description for the balancer.

        An exception in one entry does not prevent the others from being applied.
        """
        server, protocol = entry.server, self._protocol_defaults.protocol_of(entry)
        if not self._endpoints.supports(protocol):
            log.warning(
                "server %s: unsupported protocol %.40r; it gets no new requests", server.name, protocol
            )
            server, protocol = _without_new_requests(server), HTTP
        try:
            self._endpoints.update(server.name, entry.address, server.started_at, server.state, protocol)
        except Exception:
            log.exception("cannot apply endpoint list entry %.200r", entry)
        return server


def _without_new_requests(server: ServerDescription) -> ServerDescription:
    return replace(server, state=ServerState.DRAINING) if server.state is ServerState.READY else server
