"""A planner's MessagePack-RPC server for forwarders; service discovery provides its endpoint list."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import Any

import msgpack

from topazbank.balancing.events import ServerState
from topazbank.core.clock import Clock
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList, EndpointSource
from topazbank.core.net import Address
from topazbank.estimation import poll_schedule
from topazbank.planning.leadership import RankedLeadership
from topazbank.planning.planner import Planner
from topazbank.planning.server_model import WARMUP_US, PlannedServer
from topazbank.planning.wire import (
    DOCUMENT_BYTES_MAX,
    STATUS_METHOD,
    SUMMARY_METHOD,
    InvalidDocument,
    decode_summary,
    encode_plan,
)

log = logging.getLogger(__name__)

CONNECTIONS_MAX = 6_000  # connections beyond this limit are closed at once
IDLE_TIMEOUT_S = 60.0
LEADERSHIP_CHECK_S = 0.1
_POLL_WITHIN_US = 12_000_000  # of the poll schedule: polls of a source that fails are up to 3 s apart
_BACKLOG = 512
_REQUEST, _RESPONSE = 0, 1  # MessagePack-RPC's message types

SourceFactory = Callable[[Callable[[EndpointList | None], None]], EndpointSource]


class InvalidCall(ValueError):
    """A message is not a MessagePack-RPC request."""


class PlannerServer:
    """A planner with its listener, its leadership and the servers of the endpoint list."""

    def __init__(
        self,
        name: str,
        source_factory: SourceFactory,
        rank: int | None = 0,
        clock: Clock | None = None,
    ) -> None:
        """`rank`: used for election without an ensemble; None: the election calls `set_leadership`."""
        self.clock = clock or Clock()
        self.planner = Planner(name)
        self.address: Address = ("127.0.0.1", 0)
        self.connections: set[_Connection] = set()
        self.bytes_in = self.bytes_out = 0
        self._leadership = RankedLeadership(name, rank, self.clock.now()) if rank is not None else None
        self._servers: dict[str, DiscoveredServer] = {}  # ready servers of the endpoint list
        self._source = source_factory(self._update_endpoints)
        self._server: asyncio.Server | None = None
        self._check_timer: asyncio.TimerHandle | None = None
        self._polls_unanswered = 0  # since the source's last answer
        self._poll_timer: asyncio.TimerHandle | None = None  # the next poll of a source that has failed

    async def start(self, address: Address = ("127.0.0.1", 0)) -> None:
        """Start to listen and to watch the endpoint list; raise OSError if binding the address fails."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), *address, backlog=_BACKLOG)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._source.watch(True)
        self._run_periodic_checks()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._check_timer is not None:
            self._check_timer.cancel()
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        if self._server is not None:
            self._server.close()
        self._source.stop()
        for connection in list(self.connections):
            connection.abort()

    def set_leadership(self, epoch: int | None) -> None:
        """Lead under this epoch, or stop leading."""
        if epoch is None:
            self.planner.stop_leading()
        else:
            self.planner.start_leading(epoch)

    def _run_periodic_checks(self) -> None:
        """Update the leadership and close idle connections, periodically."""
        loop = asyncio.get_running_loop()
        self._check_timer = loop.call_later(LEADERSHIP_CHECK_S, self._run_periodic_checks)
        if self._leadership is not None:
            self.set_leadership(self._leadership.current_epoch(self.clock.now(), int(time.time())))
        idle_since_s = loop.time() - IDLE_TIMEOUT_S
        idle = [connection for connection in self.connections if connection.last_received_at_s < idle_since_s]
        for connection in idle:
            connection.abort()

    def _update_endpoints(self, endpoints: EndpointList | None) -> None:
        """Apply a complete endpoint list or changes to it; None: a poll or the watch has failed."""
        if endpoints is None:
            self._schedule_poll()
            return
        self._polls_unanswered = 0
        if endpoints.complete:
            self._servers.clear()
        for entry in endpoints.entries:
            if entry.server.state is ServerState.READY:
                self._servers[entry.server.name] = entry
            else:
                self._servers.pop(entry.server.name, None)
        planned = {name: _planned_server(entry) for name, entry in self._servers.items()}
        self.planner.update_servers(self.clock.now(), planned)

    def _schedule_poll(self) -> None:
        """Poll the endpoint list's source again after a backoff; the poll that is answered watches again."""
        if self._poll_timer is not None:
            return
        interval_us = poll_schedule.retry_interval_us(
            self._polls_unanswered, 1, _POLL_WITHIN_US, random.random()
        )
        if not self._polls_unanswered:
            log.warning("endpoint list: its source has failed; polled again in %.1f s", interval_us / 1e6)
        self._polls_unanswered += 1
        self._poll_timer = asyncio.get_running_loop().call_later(interval_us / 1e6, self._poll)

    def _poll(self) -> None:
        self._poll_timer = None
        self._source.watch(True)

    def handle_summary(self, document: object) -> list[Any]:
        """Return the plan (None if there is none) and the summary period in microseconds; raise InvalidDocument."""
        summary = decode_summary(document)
        now = self.clock.now()
        if self._leadership is not None:
            self._leadership.observe_summary(now, summary)
        plan = self.planner.handle_summary(now, summary)
        return [encode_plan(plan) if plan is not None else None, self.planner.summary_period_us()]

    def status(self) -> dict[str, Any]:
        """The planner's status, and its traffic since its start."""
        return self.planner.status(self.clock.now()) | {
            "connections": len(self.connections),
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
        }


def _planned_server(entry: DiscoveredServer) -> PlannedServer:
    server = entry.server
    warm_at_us = server.started_at + WARMUP_US if server.started_at is not None else 0
    return PlannedServer(server.name, server.nominal_capacity, warm_at_us)


class _Connection(asyncio.Protocol):
    """One client's connection; invalid data closes only this connection."""

    def __init__(self, server: PlannerServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._unpacker = msgpack.Unpacker(max_buffer_size=2 * DOCUMENT_BYTES_MAX)
        self.last_received_at_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio.Protocol callback: add the connection; abort it if CONNECTIONS_MAX are already open."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.last_received_at_s = asyncio.get_running_loop().time()
        if len(self._server.connections) >= CONNECTIONS_MAX:
            transport.abort()
            return
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio.Protocol callback: remove the connection."""
        self._server.connections.discard(self)

    def pause_writing(self) -> None:
        """asyncio.Protocol callback: abort, since the client sends requests without reading the responses."""
        self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """asyncio.Protocol callback: handle each complete message; abort the connection on an invalid one."""
        self.last_received_at_s = asyncio.get_running_loop().time()
        self._server.bytes_in += len(data)
        try:
            self._unpacker.feed(data)
            for message in self._unpacker:
                self._handle_call(message)
        except Exception as error:  # msgpack raises errors of many types
            log.warning("connection closed after an invalid message: %.120r", error)
            self.abort()

    def _handle_call(self, message: Any) -> None:
        message_type, message_id, method, parameters = message
        if message_type != _REQUEST or not isinstance(message_id, int):
            raise InvalidCall("expected a MessagePack-RPC request with an integer id")
        error: str | None = None
        result: Any = None
        try:
            if method == SUMMARY_METHOD:
                result = self._server.handle_summary(parameters[0])
            elif method == STATUS_METHOD:
                result = self._server.status()
            else:
                error = f"{method!r:.40}: unknown method"
        except (InvalidDocument, LookupError, TypeError) as invalid:
            error = str(invalid)
        response = msgpack.packb([_RESPONSE, message_id, error, result])
        self._server.bytes_out += len(response)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(response)
