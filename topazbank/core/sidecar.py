"""One sidecar: its components put together, and its steps from start to end."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial
from typing import Any, Final

from topazbank.balancing.actions import SendGossip, WatchEndpoints
from topazbank.balancing.balancer import Balancer
from topazbank.balancing.events import EndpointsUpdated, GossipReceived, UpdateKind
from topazbank.balancing.settings import DiscoveryMode
from topazbank.core.body import Spool
from topazbank.core.call import RequestCallbacks
from topazbank.core.clock import Clock
from topazbank.core.components import ClusterMembership, Components, SidecarConfig
from topazbank.core.counters import Counters
from topazbank.core.driver import Driver
from topazbank.core.endpoint_source import EndpointList
from topazbank.core.endpoint_table import EndpointTable
from topazbank.core.endpoint_watcher import EndpointWatcher
from topazbank.core.gossip_transport import GossipTransport
from topazbank.core.listener import Listener
from topazbank.core.loop_lag import log_loop_lag
from topazbank.core.net import Address
from topazbank.core.request_checks import RequestClasses
from topazbank.core.request_lifecycle import RequestLifecycle
from topazbank.core.request_rules import RequestRules
from topazbank.core.status import StatusPage
from topazbank.core.upstream_client import ConnectionLimit
from topazbank.operations.drain import Drain

log = logging.getLogger(__name__)

_DRAIN_STEP_S: Final = 0.02  # between two steps of a drain
_HEALTH_CHECK_CONNECT_TIMEOUTS: Final = 4.0  # a health check may take this many connect timeouts
# Left for discovery, operators, logs and the runtime, of the two processes of an upgrade.
_RESERVED_DESCRIPTORS: Final = 48


class Sidecar:
    """A balancer and the sockets around it."""

    def __init__(
        self,
        config: SidecarConfig,
        components: Components,
        clock: Clock | None = None,
        client_socket: socket.socket | None = None,
        gossip_socket: socket.socket | None = None,
        cluster_state: Mapping[str, Any] | None = None,
    ) -> None:
        """Put it together; raise OSError where the address can't be listened at.

        `client_socket`, `gossip_socket`: bound already, from the process that this one replaces.  `cluster_state`: what
        that process knew of the cluster.
        """
        self._config = config
        self._settings = settings = config.settings
        self._clock = clock or Clock()
        self.counters = Counters()
        self.max_connections = max((config.max_descriptors - _RESERVED_DESCRIPTORS) // 2, 1)
        self._observer = components.observer(config, self._clock.now) if components.observer else None
        self._balancer = Balancer(settings, config.seed, self._observer)
        self._trace = components.trace(self._balancer) if components.trace is not None else None
        self._endpoint_table = self._make_endpoint_table(components)
        self._driver = Driver(self._balancer, self._clock, self._endpoint_table, self._trace)
        rules = RequestRules(self.counters, settings.rules)
        self._requests = RequestLifecycle(
            self._driver, self._clock, self._endpoint_table, rules, self._observer
        )
        self.endpoint_watcher = self._make_watcher(components)
        self._membership: ClusterMembership | None = None
        self._gossip = self._make_gossip(components, gossip_socket, cluster_state or {})
        self.drain = Drain(max(each.deadline_us for each in settings.classes) / 1e6)
        self._drain_step: asyncio.TimerHandle | None = None
        self._drained = asyncio.Event()
        self._spool = Spool(config.handover_folder)
        self.listener = self._make_listener(components, client_socket)
        self._driver.register(WatchEndpoints, self._watch_endpoints)
        self._driver.register(SendGossip, self._send_gossip)

    # -- Putting together -----------------------------------------------------------------------------

    def _make_endpoint_table(self, components: Components) -> EndpointTable:
        connect_timeout_s = self._settings.limits.connect_timeout_us / 1e6
        limit = ConnectionLimit(self.max_connections)
        table = EndpointTable(limit, _HEALTH_CHECK_CONNECT_TIMEOUTS * connect_timeout_s)
        for protocol, client in components.upstream_clients(self._settings, limit).items():
            table.add_client(protocol, client)
        return table

    def _make_watcher(self, components: Components) -> EndpointWatcher:
        pushed = self._settings.discovery is DiscoveryMode.PUSHED
        watcher = EndpointWatcher(
            self._config.cached_endpoints, pushed, self._endpoint_table, self._endpoints_updated
        )
        source = partial(components.endpoint_source, self._with_fleet_size(self._config))
        watcher.set_source(source, components.protocol_defaults)
        return watcher

    def _make_gossip(
        self,
        components: Components,
        sock: socket.socket | None,
        cluster_state: Mapping[str, Any],
    ) -> GossipTransport | None:
        """The transport of messages between sidecars, with the cluster's membership on it; None where they are off."""
        if self._config.gossip is None or not self._settings.limits.gossip:
            return None
        on_other_datagram = None
        if components.cluster_membership is not None:
            membership = components.cluster_membership(self._config, self._balancer.fleet_size, cluster_state)
            self._membership = membership
            self._balancer.set_fleet_quota(membership.fleet_quota(self._clock.offset_us))
            on_other_datagram = membership.handle_datagram
        return GossipTransport(self._config.gossip, self._gossip_received, sock, on_other_datagram)

    def _make_listener(self, components: Components, sock: socket.socket | None) -> Listener:
        page = StatusPage(
            self.counters, self._endpoint_table, self.endpoint_watcher, self._observer, self._membership
        )
        callbacks = RequestCallbacks(
            on_request=self._requests.on_request,
            on_disconnect=self._requests.on_disconnect,
            is_in_flight=self._requests.is_in_flight,
            is_ready=self.drain.is_ready,
            status_page=page.render if components.has_status_page else None,
            spool=self._spool,
        )
        return Listener(
            self._config.listen,
            self.max_connections,
            callbacks,
            RequestClasses(self._settings),
            components.http_connection,
            components.msgpack_rpc_connection,
            sock,
            self.counters,
        )

    def _with_fleet_size(self, config: SidecarConfig) -> SidecarConfig:
        return replace(config, fleet_size=self._balancer.fleet_size)

    # -- Steps ----------------------------------------------------------------------------------------

    async def run(
        self,
        stop: asyncio.Event,
        on_started: Callable[[], None] = lambda: None,
        has_successor: Callable[[], bool] = lambda: False,
    ) -> None:
        """Serve until `stop`, then answer all requests in progress and return.

        `on_started` is called once requests are accepted; `has_successor`: whether another process accepts new ones.
        """
        self._log_start()
        await self._start()
        lag = asyncio.get_running_loop().create_task(log_loop_lag())
        on_started()
        self.drain.mark_started()
        self.apply_drain()  # an operator may have ordered one already
        await stop.wait()
        await self._drain_all(has_successor())
        lag.cancel()
        await self._stop()

    def _log_start(self) -> None:
        settings = self._settings
        if self._trace is not None:
            classes = [
                (each.name, each.priority_weight, each.latency_objective_us) for each in settings.classes
            ]
            self._trace.record_start(self._clock.now(), classes, settings.fleet_size)
        log.info(
            "endpoint list at the start: version %d, %d servers; polled within %.1f s, drain grace %.2f s, %d sidecars",
            self._config.cached_endpoints.version,
            len(self._config.cached_endpoints.entries),
            settings.rules.poll_within_us / 1e6,
            settings.rules.drain_grace_us / 1e6,
            settings.fleet_size,
        )

    async def _start(self) -> None:
        self.endpoint_watcher.start(poll_immediately=self._config.inherited)
        if self._gossip is not None:
            await self._gossip.start()
            if self._membership is not None:
                self._membership.start(self._gossip.send)
        self.listener.start()
        if self._observer is not None:
            membership = self._membership
            generations = membership.generations if membership is not None else lambda: None
            self._observer.start(lambda: [server.name for server in self._balancer.ejected], generations)

    async def _drain_all(self, has_successor: bool) -> None:
        """Answer all requests in progress, in the time that the platform gives."""
        log.info("draining: %d requests in progress", self._requests.unanswered_count)
        self.drain.terminate(asyncio.get_running_loop().time(), has_successor)
        self.apply_drain()
        await self._drained.wait()
        self._requests.fail_unanswered()
        log.info("drained; counters %s", json.dumps(self.counters.as_mapping()))

    async def _stop(self) -> None:
        if self._observer is not None:
            self._observer.stop()
        self.endpoint_watcher.stop()
        if self._membership is not None:
            self._membership.leave()
            self._membership.stop()
        if self._gossip is not None:
            self._gossip.stop()
        await self._endpoint_table.close()
        self._spool.close()

    def apply_drain(self) -> None:
        """Carry out what the drain orders now, and again at short intervals until it is over."""
        orders = self.drain.decide(asyncio.get_running_loop().time(), self.listener.open_connections)
        self.listener.apply(orders)
        if self._drain_step is not None:
            self._drain_step.cancel()
            self._drain_step = None
        if orders.finished:
            self._drained.set()
        elif orders.closes_idle:
            self._drain_step = asyncio.get_running_loop().call_later(_DRAIN_STEP_S, self.apply_drain)

    # -- Replacement, of this process or of its source ------------------------------------------------

    def pause_membership(self) -> None:
        """Leave the cluster's datagrams to another process, which is this member from now on."""
        if self._membership is not None and self._gossip is not None:
            self._membership.suspend()
            self._gossip.pause()

    def resume_membership(self) -> None:
        """Be the member again: that process has ended."""
        if self._membership is not None and self._gossip is not None:
            asyncio.get_running_loop().create_task(self._resume(self._gossip, self._membership))

    @staticmethod
    async def _resume(gossip: GossipTransport, membership: ClusterMembership) -> None:
        await gossip.resume()
        membership.resume()

    @property
    def cluster_state(self) -> dict[str, Any]:
        """What the process that replaces this one needs to know of the cluster."""
        return self._membership.handover_state() if self._membership is not None else {}

    @property
    def listening_sockets(self) -> list[socket.socket]:
        """The sockets for the process that replaces this one: for clients, and for gossip if there is any."""
        gossip = self._gossip.sock if self._gossip is not None else None
        return [self.listener.sock, *([gossip] if gossip is not None else [])]

    @property
    def endpoint_list(self) -> EndpointList:
        """The endpoint list as applied so far."""
        return self.endpoint_watcher.snapshot

    @property
    def open_connections(self) -> tuple[int, int]:
        """Open connections: of clients, and to servers."""
        return self.listener.open_connections, self._endpoint_table.connection_limit.open_count

    def set_max_connections(self, clients: int | None, servers: int | None) -> None:
        """Bound connections of clients and to servers from now on; None: by the descriptors only."""
        self.listener.set_max_connections(clients or self.max_connections)
        self._endpoint_table.connection_limit.max_open = servers or self.max_connections

    def move_discovery(self, address: Address) -> None:
        """Use the discovery service at an address; if it is the present one, poll it anew."""
        self.endpoint_watcher.move(address)

    def replace_source(self, config: SidecarConfig, components: Components) -> None:
        """Use another source of the endpoint list; the present list holds until the new source has given a snapshot."""
        log.info("the endpoint list comes from other sources now")
        source = partial(components.endpoint_source, self._with_fleet_size(config))
        self.endpoint_watcher.set_source(source, components.protocol_defaults)
        self.endpoint_watcher.source_replaced()

    # -- Events and actions ---------------------------------------------------------------------------

    def _endpoints_updated(self, event: EndpointsUpdated) -> None:
        if self._observer is not None and event.kind is not UpdateKind.FAILED:
            self._observer.endpoints_updated(event.servers)
        self._driver.handle(event)

    def _watch_endpoints(self, action: WatchEndpoints) -> None:
        self.endpoint_watcher.source.watch(action.wanted)

    def _send_gossip(self, action: SendGossip) -> None:
        if self._gossip is not None:
            self._gossip.send_gossip(action.receiver, action.payload)

    def _gossip_received(self, sender: int, payload: bytes) -> None:
        self._driver.handle(GossipReceived(sender, payload))
