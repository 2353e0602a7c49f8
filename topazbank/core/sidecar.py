"""A sidecar: assembles its components and runs them from startup to shutdown."""

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
from topazbank.core.memory_budget import MemoryBudget, capacity_bytes, clients_max, fits, servers_max
from topazbank.core.net import Address
from topazbank.core.process_memory import release_free_memory, resident_bytes
from topazbank.core.request_checks import RequestClasses
from topazbank.core.request_lifecycle import RequestLifecycle
from topazbank.core.request_rules import RequestRules
from topazbank.core.spool import Spool
from topazbank.core.status import StatusPage
from topazbank.core.upstream_client import ConnectionLimit
from topazbank.operations.drain import Drain

log = logging.getLogger(__name__)

_SHRINK_INTERVAL_S: Final = 0.25  # while two processes share the memory budget
_DRAIN_STEP_S: Final = 0.02  # interval between the steps of a drain
_HEALTH_CHECK_CONNECT_TIMEOUTS: Final = 4.0  # time limit of a health check, in connect timeouts
# Reserved for discovery, the admin API, logs and the runtime, for both processes during an upgrade.
_RESERVED_DESCRIPTORS: Final = 48


class Sidecar:
    """A balancer with its sockets."""

    def __init__(
        self,
        config: SidecarConfig,
        components: Components,
        clock: Clock | None = None,
        client_socket: socket.socket | None = None,
        gossip_socket: socket.socket | None = None,
        cluster_state: Mapping[str, Any] | None = None,
    ) -> None:
        """Assemble the sidecar; raise OSError if it can't listen on the configured address.

        `client_socket`, `gossip_socket`: bound sockets, inherited from the process that this one replaces.
        `cluster_state`: the cluster state that the replaced process handed over.
        """
        self._config = config
        self._settings = settings = config.settings
        self._clock = clock or Clock()
        self.counters = Counters()
        self.memory = MemoryBudget()
        self.max_connections = max((config.max_descriptors - _RESERVED_DESCRIPTORS) // 2, 1)
        self._observer = components.observer(config, self._clock.now) if components.observer else None
        self._balancer = Balancer(settings, config.seed, self._observer)
        self._trace = components.trace(self._balancer) if components.trace is not None else None
        self._endpoint_table = self._make_endpoint_table(components)
        self._driver = Driver(self._balancer, self._clock, self._endpoint_table, self._trace)
        rules = RequestRules(self.counters, settings.rules)
        self._requests = RequestLifecycle(
            self._driver, self._clock, self._endpoint_table, rules, self._observer, self.memory
        )
        self.endpoint_watcher = self._make_watcher(components)
        self._membership: ClusterMembership | None = None
        self._gossip = self._make_gossip(components, gossip_socket, cluster_state or {})
        self.drain = Drain(max(request_class.deadline_us for request_class in settings.classes) / 1e6)
        self._drain_timer: asyncio.TimerHandle | None = None
        self._memory_timer: asyncio.TimerHandle | None = None  # while the memory budget is shared
        self._is_running = False  # whether requests are accepted
        self._drain_finished = asyncio.Event()
        self._spool = Spool(config.handover_folder, self.memory)
        self.listener = self._make_listener(components, client_socket)
        self._set_memory_capacity(config.memory_limit_bytes, resident_bytes())
        self._driver.register(WatchEndpoints, self._watch_endpoints)
        self._driver.register(SendGossip, self._send_gossip)

    # -- Assembly -------------------------------------------------------------------------------------

    def _set_memory_capacity(self, limit_bytes: int | None, process_bytes: int) -> None:
        """Set the memory budget beside what this process takes by itself, `process_bytes`."""
        capacity = capacity_bytes(limit_bytes, process_bytes)
        self.memory.set_capacity(capacity)
        self.set_max_connections(None, None)
        if not fits(limit_bytes, process_bytes, 1, capacity):
            log.warning(
                "memory limit of %s bytes: too small for this process, which takes %d bytes",
                limit_bytes,
                process_bytes,
            )
        elif not fits(limit_bytes, process_bytes, 2, capacity):
            log.warning(
                "memory limit of %s bytes: an upgrade can exceed it, as two processes take %d bytes",
                limit_bytes,
                2 * process_bytes,
            )

    def _make_endpoint_table(self, components: Components) -> EndpointTable:
        connect_timeout_s = self._settings.limits.connect_timeout_us / 1e6
        limit = ConnectionLimit(self.max_connections, self.memory)
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
        """Make the gossip transport, which also carries cluster membership; return None if gossip is off."""
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
        status_page = StatusPage(
            self.counters, self._endpoint_table, self.endpoint_watcher, self._observer, self._membership
        )
        callbacks = RequestCallbacks(
            on_request=self._requests.on_request,
            on_disconnect=self._requests.on_disconnect,
            is_in_flight=self._requests.is_in_flight,
            was_abandoned=self._requests.was_abandoned,
            is_ready=self.drain.is_ready,
            status_page=status_page.render if components.has_status_page else None,
            memory=self.memory,
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

    # -- Life cycle -----------------------------------------------------------------------------------

    async def run(
        self,
        stop: asyncio.Event,
        on_started: Callable[[], None] = lambda: None,
        has_successor: Callable[[], bool] = lambda: False,
    ) -> None:
        """Serve until `stop` is set, then answer all requests in progress and return.

        `on_started`: called once requests are accepted.  `has_successor`: whether another process accepts new requests.
        """
        self._log_start()
        await self._start()
        lag = asyncio.get_running_loop().create_task(log_loop_lag())
        on_started()
        self.drain.mark_started()
        self.apply_drain()  # an operator may already have requested a drain
        await stop.wait()
        await self._drain_requests(has_successor())
        lag.cancel()
        await self._stop()

    def _log_start(self) -> None:
        settings = self._settings
        if self._trace is not None:
            classes = [
                (request_class.name, request_class.priority_weight, request_class.latency_objective_us)
                for request_class in settings.classes
            ]
            self._trace.record_start(self._clock.now(), classes, settings.fleet_size)
        log.info(
            "initial endpoint list: version %d, %d servers; polls up to %.1f s apart, drain grace %.2f s, %d sidecars",
            self._config.cached_endpoints.version,
            len(self._config.cached_endpoints.entries),
            settings.rules.poll_within_us / 1e6,
            settings.rules.drain_grace_us / 1e6,
            settings.fleet_size,
        )
        if self._config.memory_limit_bytes is not None:
            log.info("memory budget: %d bytes for clients and servers", self.memory.capacity)

    async def _start(self) -> None:
        self.endpoint_watcher.start(poll_immediately=self._config.inherited)
        if self._gossip is not None:
            await self._gossip.start()
            if self._membership is not None:
                self._membership.start(self._gossip.send)
        self.listener.start()
        self._is_running = True
        self._shrink()
        if self._observer is not None:
            membership = self._membership
            generations = membership.generations if membership is not None else lambda: None
            self._observer.start(lambda: [server.name for server in self._balancer.ejected], generations)

    async def _drain_requests(self, has_successor: bool) -> None:
        """Answer all requests in progress within the time that the platform allows."""
        log.info("draining: %d requests in progress", self._requests.unanswered_count)
        self.drain.terminate(asyncio.get_running_loop().time(), has_successor)
        self.apply_drain()
        await self._drain_finished.wait()
        log.info("drained; counters %s", json.dumps(self.counters.as_mapping()))

    async def _stop(self) -> None:
        if self._observer is not None:
            self._observer.stop()
        self.endpoint_watcher.stop()
        if self._memory_timer is not None:
            self._memory_timer.cancel()
        if self._membership is not None:
            self._membership.leave()
            self._membership.stop()
        if self._gossip is not None:
            self._gossip.stop()
        await self._endpoint_table.close()
        self._spool.close()

    def apply_drain(self) -> None:
        """Apply the current decision of the drain, and repeat at short intervals until the drain has finished."""
        decision = self.drain.decide(
            asyncio.get_running_loop().time(),
            self.listener.open_connections,
            self.listener.table.count_undelivered(),
        )
        if decision.fails_unanswered:
            self.listener.table.reject_waiting()
            self._requests.fail_unanswered()
        self.listener.apply(decision)
        if self._drain_timer is not None:
            self._drain_timer.cancel()
            self._drain_timer = None
        if decision.finished:
            self._drain_finished.set()
        elif decision.closes_idle:
            self._drain_timer = asyncio.get_running_loop().call_later(_DRAIN_STEP_S, self.apply_drain)

    # -- Replacement of this process or of the endpoint source ----------------------------------------

    def pause_membership(self) -> None:
        """Stop acting as a cluster member; another process acts as this member from now on."""
        if self._membership is not None and self._gossip is not None:
            self._membership.suspend()
            self._gossip.pause()

    def resume_membership(self) -> None:
        """Act as the cluster member again after the other process has ended."""
        if self._membership is not None and self._gossip is not None:
            asyncio.get_running_loop().create_task(self._resume(self._gossip, self._membership))

    @staticmethod
    async def _resume(gossip: GossipTransport, membership: ClusterMembership) -> None:
        await gossip.resume()
        membership.resume()

    @property
    def cluster_state(self) -> dict[str, Any]:
        """The cluster state to hand over to the process that replaces this one."""
        return self._membership.handover_state() if self._membership is not None else {}

    @property
    def listening_sockets(self) -> list[socket.socket]:
        """The sockets to hand over to the process that replaces this one: for clients, and for gossip if it is on."""
        gossip = self._gossip.sock if self._gossip is not None else None
        return [self.listener.sock, *([gossip] if gossip is not None else [])]

    @property
    def endpoint_list(self) -> EndpointList:
        """The endpoint list with all updates applied so far."""
        return self.endpoint_watcher.snapshot

    @property
    def open_connections(self) -> tuple[int, int]:
        """The numbers of open connections from clients and to servers."""
        return self.listener.open_connections, self._endpoint_table.connection_limit.open_count

    def set_max_connections(self, clients: int | None, servers: int | None) -> None:
        """Set the limits on connections from clients and to servers, as far as the memory budget allows.

        None: limited by file descriptors only.
        """
        clients = min(clients or self.max_connections, clients_max(self.memory.capacity))
        servers = min(servers or self.max_connections, servers_max(self.memory.capacity))
        self.listener.set_max_connections(clients)
        self._endpoint_table.connection_limit.set_max_open(servers)

    def set_memory_limit(self, limit_bytes: int | None) -> None:
        """Set this process's part of the memory budget; None: all of it."""
        self.memory.limit_bytes = limit_bytes or self.memory.capacity
        if self._is_running and self._memory_timer is None:
            self._shrink()

    def _shrink(self) -> None:
        """Keep within a part of the memory budget: another process of this sidecar uses the rest."""
        self._memory_timer = None
        if self.memory.limit_bytes >= self.memory.capacity:
            return
        self.listener.table.make_memory_room()
        release_free_memory()
        self._memory_timer = asyncio.get_running_loop().call_later(_SHRINK_INTERVAL_S, self._shrink)

    def move_discovery(self, address: Address) -> None:
        """Switch to the discovery service at `address`; if it is the current one, poll it again."""
        self.endpoint_watcher.move(address)

    def replace_source(self, config: SidecarConfig, components: Components) -> None:
        """Replace the endpoint source; the current list stays in use until the new source has delivered a snapshot."""
        log.info("endpoint sources replaced")
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
