"""Follows the list of servers from its source, and hands it on in steps: to the connections, then to the decisions.

It decides nothing on when to ask: the decision module does where the list is asked for (`sight.poll_schedule`).  Where
an agent on this machine holds pushed lists, it is called until it answers, at intervals well within a drain's grace:
what the agent has counts as notified, watched or not.
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
AGENT_TIMEOUT_S: Final = 0.4  # from a call that it has not answered until one beside it: it answers at once

Hear = Callable[[EndpointList | None], None]


class EndpointWatcher:
    """The list as it was taken so far, and the source that it comes from."""

    def __init__(
        self,
        known: EndpointList,
        pushed: bool,
        nodes: EndpointTable,
        take: Callable[[EndpointsUpdated], None],
    ) -> None:
        """`known`: the list as last held; `pushed`: whether an agent holds it; `take` hears of each step."""
        self.updates = PendingUpdates()
        self._known = known
        self._pushed = pushed
        self._nodes = nodes
        self._take = take
        self._dialects = ProtocolDefaults()
        self._source: EndpointSource | None = None
        self._sources = 0  # so far: what a former one tells late is not heard
        self._stepping = False  # whether the next step is due in the loop's next turn
        self._calling: asyncio.TimerHandle | None = None  # the next call to the agent

    @property
    def source(self) -> EndpointSource:
        assert self._source is not None
        return self._source

    @property
    def snapshot(self) -> EndpointList:
        """The list as it was taken so far; its version is one of which nothing waits to be taken."""
        return EndpointList(self.updates.applied_version, True, self.updates.applied())

    def set_source(self, make: Callable[[Hear], EndpointSource], dialects: ProtocolDefaults) -> None:
        """Take this source from now on, in place of the one before."""
        if self._source is not None:
            self._source.stop()
        self._sources += 1
        number = self._sources

        def hear(told: EndpointList | None) -> None:
            if number == self._sources:
                self.receive(told)

        self._dialects = dialects
        self._source = make(hear)

    def start(self, at_once: bool) -> None:
        """Take the list of before the start, whole, as nobody waits yet; `at_once`: call for news now."""
        self.updates.receive(asyncio.get_running_loop().time(), self._known)
        self._take_lines(UpdateKind.CACHED, self.updates.take_batch(len(self._known.entries)))
        if self._pushed:
            self._call_agent()
        elif at_once:
            self.source.watch(True)

    def source_replaced(self) -> None:
        """Another source has come: call it, until it answers."""
        self.source.watch(True)
        self.receive(None)

    def move(self, address: Address) -> None:
        """Go on at another address; also where it is the same, asked for by name."""
        log.info("discovery is at %s:%d now", *address)
        self.source.move(address)

    def stop(self) -> None:
        self._end_calls()
        self.source.stop()

    def receive(self, told: EndpointList | None) -> None:
        """Hear from the source: a list or changes, or None, a call that failed."""
        if told is not None:
            self._end_calls()
            self.updates.receive(asyncio.get_running_loop().time(), told)
            self._take_step()
            return
        self._take(EndpointsUpdated(UpdateKind.FAILED))
        if self._pushed and self._calling is None:
            self._calling = asyncio.get_running_loop().call_later(AGENT_RETRY_S, self._call_agent)

    def source_status(self) -> tuple[SourceStatus, ...]:
        return self.source.status()

    # -- The agent that holds pushed lists ------------------------------------------------------------

    def _call_agent(self) -> None:
        """Call it, and again at short intervals until it answers."""
        self.source.watch(True)
        self._calling = asyncio.get_running_loop().call_later(AGENT_TIMEOUT_S, self._call_agent)

    def _end_calls(self) -> None:
        if self._calling is not None:
            self._calling.cancel()
            self._calling = None

    # -- Steps ----------------------------------------------------------------------------------------

    def _take_step(self) -> None:
        """Take some of what was told now, and the rest in the loop's next turns: requests go on between."""
        self._take_lines(UpdateKind.DELTA, self.updates.take_batch())
        if self.updates.has_pending() and not self._stepping:
            self._stepping = True
            asyncio.get_running_loop().call_soon(self._next_step)

    def _next_step(self) -> None:
        self._stepping = False
        self._take_step()

    def _take_lines(self, kind: UpdateKind, lines: Sequence[DiscoveredServer]) -> None:
        """Note the addresses first: the decision module may send on hearing of a server."""
        servers = [self._noted(line) for line in lines]
        for name in self._nodes.remove_superseded(self.updates.is_pending):
            self.updates.mark_superseded(name)
            servers.append(ServerDescription(name, state=ServerState.REMOVED))
        self._take(EndpointsUpdated(kind, servers, self.updates.version))

    def _noted(self, line: DiscoveredServer) -> ServerDescription:
        """Note what a line says of its server's connections; a defect there keeps no other line from being taken."""
        server, protocol = line.server, self._dialects.protocol_of(line)
        if not self._nodes.supports(protocol):
            server, protocol = _not_spoken(server, protocol), HTTP
        try:
            self._nodes.update(server.name, line.address, server.started_at, server.state, protocol)
        except Exception:
            log.exception("could not take %.200r", line)
        return server


def _not_spoken(server: ServerDescription, protocol: str) -> ServerDescription:
    """A server that nothing here can speak to takes nothing new."""
    log.warning("%s speaks %.40r, which is not spoken here: nothing new goes there", server.name, protocol)
    return replace(server, state=ServerState.DRAINING) if server.state is ServerState.READY else server
