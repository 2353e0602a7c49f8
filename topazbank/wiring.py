"""Puts a sidecar's parts together, as its operator file says; what is off is not imported."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

from topazbank.balancing.settings import Settings
from topazbank.core.driver import ClusterMembership, Components, RequestObserver, SidecarConfig
from topazbank.core.endpoint_source import EndpointList, EndpointSource, ProtocolDefaults
from topazbank.core.endpoints import HTTP, MSGPACK_RPC, ConnectionLimit, UpstreamClient
from topazbank.core.listener import ConnectionFactory
from topazbank.core.net import Address
from topazbank.core.trace import Trace
from topazbank.discovery.combined import CombinedSource
from topazbank.discovery.registry import RegistrySource
from topazbank.estimation.fleet_size import FleetSize
from topazbank.http.client import HttpUpstreamClient
from topazbank.http.server import HttpConnection
from topazbank.operator_config import (
    REGISTRY,
    ZOOKEEPER,
    DiscoveryConfig,
    OperatorConfig,
    PlanningConfig,
    ZooKeeperConfig,
)


def build_components(operator: OperatorConfig) -> Components:
    """The parts that the operator file asks for; raise ImportError where one's library is not installed."""
    rpc = operator.msgpack_rpc
    binary: ConnectionFactory | None = None
    if rpc.accepts_clients:
        from topazbank.msgpackrpc.server import RpcConnection

        binary = RpcConnection

    if rpc.calls_servers:
        import topazbank.msgpackrpc.client  # noqa: F401  # now, so that a library that lacks ends the start

    def carriers(settings: Settings, slots: ConnectionLimit) -> Mapping[str, UpstreamClient]:
        limits, columns = settings.limits, settings.report_columns
        dial_s, idle_s = limits.connect_timeout_us / 1e6, limits.idle_timeout_us / 1e6
        made: dict[str, UpstreamClient] = {HTTP: HttpUpstreamClient(dial_s, idle_s, slots, columns)}
        if rpc.calls_servers:
            from topazbank.msgpackrpc.client import RpcUpstreamClient, Sharing

            sharing = Sharing(
                rpc.unsafe_calls_per_connection, rpc.safe_calls_per_connection, rpc.connections_per_server
            )
            made[MSGPACK_RPC] = RpcUpstreamClient(dial_s, idle_s, slots, columns, sharing)
        return made

    dialects = ProtocolDefaults(operator.default_protocol, operator.pod_protocols)
    return Components(
        HttpConnection,
        binary,
        carriers,
        partial(_source, operator.discovery),
        operator.status_page_enabled,
        dialects,
        partial(_forwarding, operator.planning) if operator.planning.planners else None,
        partial(Trace, lines_per_second=operator.trace_lines_per_second)
        if operator.trace_lines_per_second
        else None,
        partial(_tier_part, operator) if operator.cluster.enabled else None,
    )


def _forwarding(given: PlanningConfig, config: SidecarConfig, now: Callable[[], int]) -> RequestObserver:
    from topazbank.planning.forwarder import PlanningClient

    name = given.name or f"f-{config.seed & 0xFFFFFFFFFFFFFFFF:016x}"
    return PlanningClient(name, given.planners, now, config.seed)


def _tier_part(
    given: OperatorConfig, config: SidecarConfig, others: FleetSize, known: Mapping[str, Any]
) -> ClusterMembership:
    from topazbank.cluster.service import ClusterService

    service = ClusterService(given.cluster, config, others, known)
    if given.budgets:
        from topazbank.quota.service import QuotaService

        service.budgets = QuotaService(
            [(each.budget, each.of, each.tenant) for each in given.budgets],
            service.name,
            service.address_of,
            lambda: time.monotonic_ns() // 1000,
            config.folder,
            given.cluster.key.encode(),
            given.ledger,
            given.store,
        )
    return service


Hear = Callable[[EndpointList | None], None]


def _source(membership: DiscoveryConfig, config: SidecarConfig, told: Hear) -> EndpointSource:
    return build_endpoint_source(
        membership, config.discovery, told, config.known.version, config.seed, config.others
    )


def build_endpoint_source(
    membership: DiscoveryConfig,
    registry: Address | None,
    told: Hear,
    version: int = 0,
    seed: int | None = None,
    others: FleetSize | None = None,
) -> EndpointSource:
    """The sources that an operator file names; the registry alone is itself, as the platform has it."""
    makers: dict[str, Callable[[Hear], EndpointSource]] = {
        REGISTRY: partial(_registry, registry, version, others, seed),
        ZOOKEEPER: partial(_zookeeper, membership.zookeeper, seed),
    }
    if membership.sources == (REGISTRY,):
        return makers[REGISTRY](told)
    return CombinedSource({name: makers[name] for name in membership.sources}, told)


def _registry(
    address: Address | None, version: int, others: FleetSize | None, seed: int | None, told: Hear
) -> EndpointSource:
    assert address is not None
    return RegistrySource(address, version, told, others, seed)


def _zookeeper(given: ZooKeeperConfig, seed: int | None, told: Hear) -> EndpointSource:
    from topazbank.discovery.zkclient import Ensemble
    from topazbank.discovery.zookeeper import ZooKeeperSource

    ensemble = Ensemble(given.addresses, given.session_timeout_s, given.chroot, given.credentials)
    return ZooKeeperSource(ensemble, given.path, told, seed)
