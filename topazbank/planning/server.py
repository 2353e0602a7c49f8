"""A planner's sockets: forwarders call it by MessagePack-RPC; membership tells it the nodes.

    python -m topazbank.planning.server --operator FILE

The operator file's [planning] says where it listens and how planners tell who leads; [membership] where the nodes are.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import signal
import sys
import time
from collections.abc import Callable, Sequence
from typing import Any

import msgpack

from topazbank.balancing.events import ServerState
from topazbank.core.driver import Clock
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList, EndpointSource
from topazbank.core.net import Address
from topazbank.operator_config import ZOOKEEPER, OperatorConfig, read_operator_config
from topazbank.planning.leadership import RankedLeadership
from topazbank.planning.planner import Planner
from topazbank.planning.server_model import PlannedServer
from topazbank.planning.wire import (
    DOCUMENT_BYTES_MAX,
    STATUS_METHOD,
    SUMMARY_METHOD,
    InvalidDocument,
    decode_summary,
    encode_plan,
)

log = logging.getLogger(__name__)

CONNECTIONS_MAX = 6_000  # of forwarders; further ones are closed at once
IDLE_TIMEOUT_S = 60.0  # a connection that says nothing for so long is closed
LEADERSHIP_CHECK_S = 0.1  # how often it is looked at who leads
COLD_US = 22_000_000  # a node is warm so long after its start

MakeSource = Callable[[Callable[[EndpointList | None], None]], EndpointSource]


class PlannerServer:
    """One planner: its decisions, its listener, who leads, and the nodes as membership has them."""

    def __init__(
        self, name: str, make_source: MakeSource, rank: int | None = 0, clock: Clock | None = None
    ) -> None:
        """`rank`: by which it leads without an ensemble; None: `lead` says so."""
        self.clock = clock or Clock()
        self.planner = Planner(name)
        self.address: Address = ("127.0.0.1", 0)
        self.connections: set[_Connection] = set()
        self.bytes_in = self.bytes_out = 0
        self._static = RankedLeadership(name, rank, self.clock.now()) if rank is not None else None
        self._listed: dict[str, DiscoveredServer] = {}
        self._source = make_source(self._told)
        self._server: asyncio.Server | None = None
        self._looking: asyncio.TimerHandle | None = None

    async def start(self, address: Address = ("127.0.0.1", 0)) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), *address, backlog=512)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._source.follow(True)
        self._look()

    def stop(self) -> None:
        if self._looking is not None:
            self._looking.cancel()
        if self._server is not None:
            self._server.close()
        self._source.stop()
        for each in list(self.connections):
            each.drop()

    # -- Who leads -------------------------------------------------------------------------------------

    def set_leadership(self, epoch: int | None) -> None:
        """By an election's word."""
        if epoch is None:
            self.planner.stop_leading()
        else:
            self.planner.start_leading(epoch)

    def _look(self) -> None:
        loop = asyncio.get_running_loop()
        self._looking = loop.call_later(LEADERSHIP_CHECK_S, self._look)
        if self._static is not None:
            self.set_leadership(self._static.current_epoch(self.clock.now(), int(time.time())))
        now = loop.time()
        for each in [one for one in self.connections if one.last_received_at + IDLE_TIMEOUT_S < now]:
            each.drop()

    # -- Nodes -----------------------------------------------------------------------------------------

    def _told(self, told: EndpointList | None) -> None:
        if told is None:
            self._source.fetch()
            return
        if told.complete:
            self._listed.clear()
        for line in told.lines:
            if line.server.state is ServerState.READY:
                self._listed[line.server.name] = line
            else:
                self._listed.pop(line.server.name, None)
        members = {name: _member(line) for name, line in self._listed.items()}
        self.planner.update_servers(self.clock.now(), members)

    # -- Calls -----------------------------------------------------------------------------------------

    def handle_summary(self, document: object) -> list[Any]:
        """Answer a summary: the plan, nil of a standby, and the microseconds to wait before the next one."""
        summary = decode_summary(document)
        now = self.clock.now()
        if self._static is not None:
            self._static.observe_summary(now, summary)
        plan = self.planner.handle_summary(now, summary)
        return [encode_plan(plan) if plan is not None else None, self.planner.summary_period_us()]

    def status(self) -> dict[str, Any]:
        told = self.planner.status(self.clock.now())
        return told | {
            "connections": len(self.connections),
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
        }


def _member(line: DiscoveredServer) -> PlannedServer:
    started = line.server.started_at
    return PlannedServer(
        line.server.name, line.server.nominal_capacity, started + COLD_US if started is not None else 0
    )


class _Connection(asyncio.Protocol):
    """One caller's connection; bad bytes end it alone."""

    def __init__(self, server: PlannerServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._unpacker = msgpack.Unpacker(max_buffer_size=2 * DOCUMENT_BYTES_MAX)
        self.last_received_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.last_received_at = asyncio.get_running_loop().time()
        if len(self._server.connections) >= CONNECTIONS_MAX:
            transport.abort()
            return
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)

    def pause_writing(self) -> None:
        self.drop()  # it calls and does not read

    def drop(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        self.last_received_at = asyncio.get_running_loop().time()
        self._server.bytes_in += len(data)
        try:
            self._unpacker.feed(data)
            for message in self._unpacker:
                self._call(message)
        except Exception as bad:  # msgpack raises what its parts do
            log.warning("a caller makes no sense: %.120r", bad)
            self.drop()

    def _call(self, message: Any) -> None:
        kind, msgid, method, params = message
        if kind != 0 or not isinstance(msgid, int):
            raise ValueError("a request is wanted")
        error: str | None = None
        result: Any = None
        try:
            if method == SUMMARY_METHOD:
                result = self._server.handle_summary(params[0])
            elif method == STATUS_METHOD:
                result = self._server.status()
            else:
                error = f"{method!r:.40} is not known"
        except (InvalidDocument, LookupError, TypeError) as bad:
            error = str(bad)
        answer = msgpack.packb([1, msgid, error, result])
        self._server.bytes_out += len(answer)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(answer)


# -- The command -------------------------------------------------------------------------------------


async def serve(operator: OperatorConfig, name: str, registry: Address | None) -> int:
    from topazbank.wiring import build_endpoint_source

    given = operator.planning
    assert given.listen is not None
    by_rank = given.election != ZOOKEEPER
    server = PlannerServer(
        name,
        lambda told: build_endpoint_source(operator.discovery, registry, told),
        given.rank if by_rank else None,
    )
    await server.start(given.listen)
    election = None
    if not by_rank:
        from topazbank.discovery.zkclient import Ensemble
        from topazbank.planning.election import Election

        place = operator.discovery.zookeeper
        ensemble = Ensemble(place.addresses, place.session_timeout_s, place.chroot, place.credentials)
        election = Election(ensemble, "/lodge/planners", name, server.set_leadership)
        election.start()
    stop = asyncio.Event()
    for each in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(each, stop.set)
    print(f"planner {name} listens at {server.address[0]}:{server.address[1]}", flush=True)
    await stop.wait()
    if election is not None:
        await election.close()
    server.stop()
    return 0


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="topazbank.planning.server", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument("--operator", required=True, metavar="FILE", help="the operator file (TOML)")
    parser.add_argument("--name", help="of this planner; by default where it listens")
    parser.add_argument(
        "--registry", metavar="HOST:PORT", help="where the registry is, if nodes come from there"
    )
    given = parser.parse_args(argv)
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(name)s %(message)s")
    from topazbank.core.net import parse_address

    try:
        operator = read_operator_config(given.operator)
        registry = parse_address(given.registry) if given.registry else None
        if operator.planning.listen is None:
            raise ValueError("planning.listen: where this planner listens is wanted")
        if operator.discovery.needs_registry and registry is None:
            raise ValueError("--registry: where the registry is is wanted, since membership.sources name it")
    except (ValueError, OSError) as bad:
        print(f"bad configuration: {bad}".replace("\n", " "), file=sys.stderr)
        return 2
    name = given.name or "{}:{}".format(*operator.planning.listen)
    return asyncio.run(serve(operator, name, registry))


if __name__ == "__main__":
    sys.exit(main())
