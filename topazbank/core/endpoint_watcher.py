"""Takes the endpoint list from its source and applies it in batches: to the connections, then to the decisions.

When to poll is decided elsewhere: by the balancer where the list is polled for (`estimation.poll_schedule`).  Where an
agent on this machine has pushed lists, it is called here until it answers, at intervals well within the drain grace:
what the agent has counts as received, whether it was read or not.
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

AGENT_RETRY_S: Final = 0.2  # from a failed call to the agent until the next
AGENT_TIMEOUT_S: Final = 0.4  # from an unanswered call until another beside it: the agent answers at once

OnUpdate = Callable[[EndpointList | None], None]


class EndpointWatcher:
    """The endpoint list as applied so far, and the source that it comes from."""

    def __init__(
        self,
        cached: EndpointList,
        pushed: bool,
        endpoints: EndpointTable,
        on_updated: Callable[[EndpointsUpdated], None],
    ) -> None:
        """`cached`: the list as last held; `pushed`: whether an agent has it; `on_updated` receives each batch."""
        self.updates = PendingUpdates()
        self._cached = cached
        self._pushed = pushed
        self._endpoints = endpoints
        self._on_updated = on_updated
        self._protocol_defaults = ProtocolDefaults()
        self._source: EndpointSource | None = None
        self._source_count = 0  # sources so far
        self._batch_scheduled = False  # for the event loop's next turn
        self._agent_call: asyncio.TimerHandle | None = None  # the next call to the agent

    @property
    def source(self) -> EndpointSource:
        """The present source."""
        assert self._source is not None
        return self._source

    @property
    def snapshot(self) -> EndpointList:
        """The list as applied so far, with the newest version that is applied completely."""
        return EndpointList(self.updates.applied_version, True, self.updates.applied())

    def set_source(
        self, make: Callable[[OnUpdate], EndpointSource], protocol_defaults: ProtocolDefaults
    ) -> None:
        """Use the source that `make` returns from now on; what an earlier one still passes on is ignored."""
        if self._source is not None:
            self._source.stop()
        self._source_count += 1
        number = self._source_count

        def on_update(update: EndpointList | None) -> None:
            if number == self._source_count:
                self.receive(update)

        self._protocol_defaults = protocol_defaults
        self._source = make(on_update)

    def start(self, at_once: bool) -> None:
        """Apply the cached list in one batch, as no request waits yet; `at_once`: poll for news now."""
        self.updates.receive(asyncio.get_running_loop().time(), self._cached)
        self._apply(UpdateKind.CACHED, self.updates.take_batch(len(self._cached.entries)))
        if self._pushed:
            self._call_agent()
        elif at_once:
            self.source.watch(True)

    def source_replaced(self) -> None:
        """Call a source that was set while running, until it answers."""
        self.source.watch(True)
        self.receive(None)

    def move(self, address: Address) -> None:
        """Go on at another address; if it is the present one, poll it anew."""
        log.info("discovery is at %s:%d now", *address)
        self.source.move(address)

    def stop(self) -> None:
        """End all calls."""
        self._cancel_agent_call()
        self.source.stop()

    def receive(self, update: EndpointList | None) -> None:
        """Take a snapshot, changes, or None, a failed call, from the source."""
        if update is not None:
            self._cancel_agent_call()
            self.updates.receive(asyncio.get_running_loop().time(), update)
            self._apply_batch()
            return
        self._on_updated(EndpointsUpdated(UpdateKind.FAILED))
        if self._pushed and self._agent_call is None:
            self._agent_call = asyncio.get_running_loop().call_later(AGENT_RETRY_S, self._call_agent)

    def source_status(self) -> tuple[SourceStatus, ...]:
        """The status of the source, of each part where it has several."""
        return self.source.status()

    # -- The agent that has pushed lists --------------------------------------------------------------

    def _call_agent(self) -> None:
        """Call it, and again at short intervals until it answers."""
        self.source.watch(True)
        self._agent_call = asyncio.get_running_loop().call_later(AGENT_TIMEOUT_S, self._call_agent)

    def _cancel_agent_call(self) -> None:
        if self._agent_call is not None:
            self._agent_call.cancel()
            self._agent_call = None

    # -- Batches --------------------------------------------------------------------------------------

    def _apply_batch(self) -> None:
        """Apply a batch now, and the rest in the event loop's next turns: requests go on in between."""
        self._apply(UpdateKind.DELTA, self.updates.take_batch())
        if self.updates.has_pending() and not self._batch_scheduled:
            self._batch_scheduled = True
            asyncio.get_running_loop().call_soon(self._apply_next_batch)

    def _apply_next_batch(self) -> None:
        self._batch_scheduled = False
        self._apply_batch()

    def _apply(self, kind: UpdateKind, entries: Sequence[DiscoveredServer]) -> None:
        """Update the connections first: the balancer may send to a server as soon as it knows of it."""
        servers = [self._update_endpoint(entry) for entry in entries]
        for name in self._endpoints.remove_superseded(self.updates.is_pending):
            self.updates.mark_superseded(name)
            servers.append(ServerDescription(name, state=ServerState.REMOVED))
        self._on_updated(EndpointsUpdated(kind, servers, self.updates.version))

    def _update_endpoint(self, entry: DiscoveredServer) -> ServerDescription:
        """Update a server's connections; return it as the balancer is to see it.

        A defect there keeps no other entry from being applied.
        """
        server, protocol = entry.server, self._protocol_defaults.protocol_of(entry)
        if not self._endpoints.supports(protocol):
            log.warning(
                "%s speaks %.40r, which is not supported: nothing new goes there", server.name, protocol
            )
            server, protocol = _without_new_requests(server), HTTP
        try:
            self._endpoints.update(server.name, entry.address, server.started_at, server.state, protocol)
        except Exception:
            log.exception("could not apply %.200r", entry)
        return server


def _without_new_requests(server: ServerDescription) -> ServerDescription:
    return replace(server, state=ServerState.DRAINING) if server.state is ServerState.READY else server
