"""Builds the components of a sidecar from the operator file; modules of disabled features are not imported."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

from topazbank.balancing.settings import Settings
from topazbank.core.client_connection import ConnectionFactory
from topazbank.core.components import ClusterMembership, Components, RequestObserver, SidecarConfig
from topazbank.core.endpoint_source import EndpointList, EndpointSource, ProtocolDefaults
from topazbank.core.endpoints import HTTP, MSGPACK_RPC
from topazbank.core.net import Address
from topazbank.core.trace import Trace
from topazbank.core.upstream_client import ConnectionLimit, UpstreamClient
from topazbank.discovery.combined import CombinedSource
from topazbank.discovery.registry import RegistrySource
from topazbank.estimation.fleet_size import FleetSize
from topazbank.http.client import HttpUpstreamClient
from topazbank.http.server import HttpConnection
from topazbank.operator_config import (
    REGISTRY,
    ZOOKEEPER,
    DiscoveryConfig,
    MsgpackRpcConfig,
    OperatorConfig,
    PlanningConfig,
    ZooKeeperConfig,
)

UpstreamClients = Callable[[Settings, ConnectionLimit], Mapping[str, UpstreamClient]]
ListCallback = Callable[[EndpointList | None], None]

_SEED_MASK = 0xFFFFFFFFFFFFFFFF


def build_components(operator: OperatorConfig) -> Components:
    """Build the components that the operator file enables; raise ImportError if a required library is missing."""
    trace_lines = operator.trace_lines_per_second
    return Components(
        HttpConnection,
        _msgpack_rpc_connection(operator.msgpack_rpc),
        _upstream_clients(operator.msgpack_rpc),
        partial(_endpoint_source, operator.discovery),
        operator.status_page_enabled,
        ProtocolDefaults(operator.default_protocol, operator.pod_protocols),
        partial(_planning_client, operator.planning) if operator.planning.planners else None,
        partial(Trace, lines_per_second=trace_lines) if trace_lines else None,
        partial(_cluster_membership, operator) if operator.cluster.enabled else None,
    )


def _msgpack_rpc_connection(config: MsgpackRpcConfig) -> ConnectionFactory | None:
    if not config.accepts_clients:
        return None
    from topazbank.msgpackrpc.server import RpcConnection

    return RpcConnection


def _upstream_clients(config: MsgpackRpcConfig) -> UpstreamClients:
    if config.calls_servers:
        import topazbank.msgpackrpc.client  # noqa: F401  # a missing library fails startup, not a request

    def build(settings: Settings, connection_limit: ConnectionLimit) -> Mapping[str, UpstreamClient]:
        limits, columns = settings.limits, settings.report_columns
        connect_timeout_s, idle_timeout_s = limits.connect_timeout_us / 1e6, limits.idle_timeout_us / 1e6
        clients: dict[str, UpstreamClient] = {
            HTTP: HttpUpstreamClient(connect_timeout_s, idle_timeout_s, connection_limit, columns)
        }
        if config.calls_servers:
            from topazbank.msgpackrpc.client import ConnectionSharing, RpcUpstreamClient

            sharing = ConnectionSharing(
                config.unsafe_calls_per_connection,
                config.safe_calls_per_connection,
                config.connections_per_server,
            )
            clients[MSGPACK_RPC] = RpcUpstreamClient(
                connect_timeout_s, idle_timeout_s, connection_limit, columns, sharing
            )
        return clients

    return build


def _planning_client(
    planning: PlanningConfig, config: SidecarConfig, now_us: Callable[[], int]
) -> RequestObserver:
    from topazbank.planning.forwarder import PlanningClient

    name = planning.name or f"f-{config.seed & _SEED_MASK:016x}"
    return PlanningClient(name, planning.planners, now_us, config.seed)


def _cluster_membership(
    operator: OperatorConfig, config: SidecarConfig, fleet_size: FleetSize, inherited: Mapping[str, Any]
) -> ClusterMembership:
    from topazbank.cluster.service import ClusterService

    service = ClusterService(operator.cluster, config, fleet_size, inherited)
    if operator.quotas:
        from topazbank.quota.service import QuotaService

        service.quota = QuotaService(
            operator.quotas,
            service.name,
            service.address_of,
            _monotonic_us,
            config.handover_folder,
            operator.cluster.key.encode(),
            operator.quota_ledger_folder,
            operator.quota_store_folder,
        )
    return service


def _monotonic_us() -> int:
    return time.monotonic_ns() // 1000


def _endpoint_source(
    discovery: DiscoveryConfig, config: SidecarConfig, on_list: ListCallback
) -> EndpointSource:
    return build_endpoint_source(
        discovery, config.discovery, on_list, config.cached_endpoints.version, config.seed, config.fleet_size
    )


def build_endpoint_source(
    discovery: DiscoveryConfig,
    registry: Address | None,
    on_list: ListCallback,
    version: int = 0,
    seed: int | None = None,
    fleet_size: FleetSize | None = None,
) -> EndpointSource:
    """Build the source of the endpoint list; several sources are combined by precedence.

    `on_list` is called with each list, or with None after a failed poll; `version` is the cached list's version.
    """
    factories: dict[str, Callable[[ListCallback], EndpointSource]] = {
        REGISTRY: partial(_registry_source, registry, version, fleet_size, seed),
        ZOOKEEPER: partial(_zookeeper_source, discovery.zookeeper, seed),
    }
    if discovery.sources == (REGISTRY,):
        return factories[REGISTRY](on_list)
    return CombinedSource({name: factories[name] for name in discovery.sources}, on_list)


def _registry_source(
    address: Address | None,
    version: int,
    fleet_size: FleetSize | None,
    seed: int | None,
    on_list: ListCallback,
) -> EndpointSource:
    assert address is not None
    return RegistrySource(address, version, on_list, fleet_size, seed)


def _zookeeper_source(zookeeper: ZooKeeperConfig, seed: int | None, on_list: ListCallback) -> EndpointSource:
    from topazbank.discovery.zkclient import EnsembleConfig
    from topazbank.discovery.zookeeper import ZooKeeperSource

    ensemble = EnsembleConfig(
        zookeeper.addresses, zookeeper.session_timeout_s, zookeeper.chroot, zookeeper.credentials
    )
    return ZooKeeperSource(ensemble, zookeeper.path, on_list, seed)
