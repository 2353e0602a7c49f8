"""Puts a sidecar's parts together, as its operator file says; what is off is not imported."""

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
from topazbank.operator_config import REGISTRY, ZOOKEEPER, Membership, OperatorConfig, Planning, ZooKeeper


def wire(operator: OperatorConfig) -> Components:
    """The parts that the operator file asks for; raise ImportError where one's library is not installed."""
    rpc = operator.msgpack_rpc
    binary: ConnectionFactory | None = None
    if rpc.clients:
        from topazbank.msgpackrpc.server import RpcConnection

        binary = RpcConnection

    if rpc.nodes:
        import topazbank.msgpackrpc.client  # noqa: F401  # now, so that a library that lacks ends the start

    def carriers(settings: Settings, slots: ConnectionLimit) -> Mapping[str, UpstreamClient]:
        limits, columns = settings.limits, settings.report_columns
        dial_s, idle_s = limits.connect_timeout_us / 1e6, limits.idle_timeout_us / 1e6
        made: dict[str, UpstreamClient] = {HTTP: HttpUpstreamClient(dial_s, idle_s, slots, columns)}
        if rpc.nodes:
            from topazbank.msgpackrpc.client import ConnectionSharing, RpcUpstreamClient

            sharing = ConnectionSharing(
                rpc.lodges_per_connection, rpc.others_per_connection, rpc.connections_per_node
            )
            made[MSGPACK_RPC] = RpcUpstreamClient(dial_s, idle_s, slots, columns, sharing)
        return made

    dialects = ProtocolDefaults(operator.protocol, operator.pods)
    return Components(
        HttpConnection,
        binary,
        carriers,
        partial(_source, operator.membership),
        operator.show_roster,
        dialects,
        partial(_forwarding, operator.planning) if operator.planning.planners else None,
        partial(Trace, lines_per_second=operator.trace_lines) if operator.trace_lines else None,
        partial(_tier_part, operator) if operator.tier.on else None,
    )


def _forwarding(given: Planning, config: SidecarConfig, now: Callable[[], int]) -> RequestObserver:
    from topazbank.planning.forwarder import Forwarding

    name = given.name or f"f-{config.seed & 0xFFFFFFFFFFFFFFFF:016x}"
    return Forwarding(name, given.planners, now, config.seed)


def _tier_part(
    given: OperatorConfig, config: SidecarConfig, others: FleetSize, known: Mapping[str, Any]
) -> ClusterMembership:
    from topazbank.cluster.service import ClusterService

    service = ClusterService(given.tier, config, others, known)
    if given.quotas:
        from topazbank.quota.service import QuotaService

        service.quota = QuotaService(
            given.quotas,
            service.name,
            service.address_of,
            lambda: time.monotonic_ns() // 1000,
            config.handover_folder,
            given.tier.key.encode(),
            given.quota_ledger_folder,
            given.quota_store_folder,
        )
    return service


Hear = Callable[[EndpointList | None], None]


def _source(membership: Membership, config: SidecarConfig, told: Hear) -> EndpointSource:
    return membership_source(
        membership, config.discovery, told, config.cached_endpoints.version, config.seed, config.fleet_size
    )


def membership_source(
    membership: Membership,
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


def _zookeeper(given: ZooKeeper, seed: int | None, told: Hear) -> EndpointSource:
    from topazbank.discovery.zkclient import EnsembleConfig
    from topazbank.discovery.zookeeper import ZooKeeperSource

    ensemble = EnsembleConfig(given.members, given.session_timeout_s, given.chroot, given.secret)
    return ZooKeeperSource(ensemble, given.path, told, seed)
