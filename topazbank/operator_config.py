"""The operator file (TOML): an installation's settings beyond the platform's configuration, validated at startup.

Table and field names in the file are older than the names in the code and stay stable; this module maps them.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from topazbank.balancing.fleet import HEALTH_CHECKS, RETRIES, TENANT_REQUESTS
from topazbank.config_table import ConfigError, ConfigTable
from topazbank.core.endpoints import HTTP, MSGPACK_RPC
from topazbank.core.net import Address
from topazbank.quota.rules import MILLIUNITS_PER_UNIT, InvalidQuota, Quota, QuotaBinding, QuotaKind

REGISTRY, ZOOKEEPER = "registry", "zookeeper"
SOURCES = (REGISTRY, ZOOKEEPER)
STATIC = "static"
ELECTIONS = (STATIC, ZOOKEEPER)
PLANNERS_MAX = 7  # per forwarder, which sends each summary to every planner
TRACE_LINES_PER_SECOND_MAX = 100_000
DATAGRAM_BYTES_MIN, DATAGRAM_BYTES_MAX = 256, 1200  # the platform's limit, and a size safe on any network
CLUSTER_KEY_BYTES_MAX = 64
_FORGET_TO_PAUSE_RATIO_MIN = 20  # keeps a dead member remembered while it is still likely to return
QUOTAS_MAX = 64
QUOTA_LIMIT_MAX = 10**9
TOP_KEYS = ("msgpack_rpc", "nodes", "membership", "planning", "tier", "budgets", "admin", "trace")
MSGPACK_RPC_KEYS = (
    "clients", "nodes", "lodges_per_connection", "others_per_connection", "connections_per_node",
)  # fmt: skip
SERVER_KEYS = ("protocol", "pods")
DISCOVERY_KEYS = ("sources", "zookeeper")
ZOOKEEPER_KEYS = ("members", "path", "chroot", "session_timeout_s", "secret")
PLANNING_KEYS = ("planners", "name", "listen", "elect", "rank")
CLUSTER_KEYS = ("on", "name", "period_ms", "pause_ms", "forget_s", "datagram", "key")
ADMIN_KEYS = ("roster", "budgets_ledger", "budgets_store")
TRACE_KEYS = ("lines_per_second",)
QUOTA_KEYS = (
    "of", "tenant", "whole", "burst", "floor", "members", "keepers", "lease_s", "silence_s", "drift_percent",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class MsgpackRpcConfig:
    """MessagePack-RPC: whether clients and servers use it, and how many calls share a connection to a server."""

    accepts_clients: bool = False
    calls_servers: bool = False
    # Unsafe calls must not be retried; they never share a connection with safe calls.
    unsafe_calls_per_connection: int = 32
    # Abandoning a call closes its connection, which interrupts up to this number minus one other calls.
    safe_calls_per_connection: int = 4
    connections_per_server: int = 64


@dataclass(frozen=True, slots=True)
class ZooKeeperConfig:
    """The ZooKeeper ensemble that holds the endpoint list."""

    addresses: tuple[Address, ...] = ()
    path: str = "/lodge/nodes"
    chroot: str = ""
    session_timeout_s: float = 6.0
    credentials: str = field(default="", repr=False)  # user:password for digest authentication; never logged


@dataclass(frozen=True, slots=True)
class DiscoveryConfig:
    """The sources of the endpoint list."""

    sources: tuple[str, ...] = (REGISTRY,)  # highest precedence first
    zookeeper: ZooKeeperConfig = field(default_factory=ZooKeeperConfig)

    @property
    def needs_registry(self) -> bool:
        """Whether the registry is one of the sources."""
        return REGISTRY in self.sources


@dataclass(frozen=True, slots=True)
class PlanningConfig:
    """A forwarder's planners, to which it reports and whose plans it follows; a planner's own address and election."""

    planners: tuple[Address, ...] = ()  # empty: this forwarder decides without a plan
    name: str = ""  # this forwarder's or planner's; by default derived from the configuration
    listen: Address | None = None  # planner only
    election: str = STATIC  # planner only: one of ELECTIONS
    rank: int = 0  # planner only, with STATIC: the planner with the lowest rank leads first


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """Cluster membership among the sidecars: docs/operators/cluster.md."""

    enabled: bool = False
    name: str = ""  # this member's; by default its index in the configuration's `peers`
    probe_period_ms: int = 200
    tolerated_pause_ms: int = 1000  # members never declare a process dead for a shorter pause
    forget_after_s: int = 600  # how long a dead member stays in the member list
    datagram_bytes_max: int = 256
    # Shared by all members; with a key, members that `peers` does not list may join.
    key: str = field(default="", repr=False)


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """All settings of the operator file."""

    msgpack_rpc: MsgpackRpcConfig = field(default_factory=MsgpackRpcConfig)
    default_protocol: str = HTTP  # for servers with no protocol in the endpoint list or by pod
    pod_protocols: Mapping[int, str] = field(default_factory=dict)
    discovery: DiscoveryConfig = field(default_factory=DiscoveryConfig)
    planning: PlanningConfig = field(default_factory=PlanningConfig)
    cluster: ClusterConfig = field(default_factory=ClusterConfig)
    quotas: tuple[QuotaBinding, ...] = ()  # at most QUOTAS_MAX
    quota_ledger_folder: str = ""  # "": no ledger
    quota_store_folder: str = ""  # on a disk that survives a restart; "": no grant store
    trace_lines_per_second: int = 0  # in the decision trace; 0: no trace
    status_page_enabled: bool = False  # GET /admin/roster at the client listen address


def read_operator_config(path: str | None) -> OperatorConfig:
    """Read the operator file, or the defaults for None; raise OSError, or ValueError naming the file and field."""
    if path is None:
        return OperatorConfig()
    with open(path, "rb") as file:
        try:
            return operator_config_from(tomllib.load(file))
        except ValueError as error:
            raise ValueError(f"{path}: {error}") from None


def operator_config_from(values: Mapping[str, Any]) -> OperatorConfig:
    """Validate the operator file's values; raise ValueError (mostly ConfigError) naming the field."""
    top = ConfigTable("", values, TOP_KEYS)
    admin = top.table("admin", ADMIN_KEYS)
    trace = top.table("trace", TRACE_KEYS)
    servers = top.table("nodes", SERVER_KEYS)
    operator = OperatorConfig(
        _msgpack_rpc(top),
        servers.protocol("protocol", HTTP),
        servers.protocols_by_pod("pods"),
        _discovery(top),
        _planning(top),
        _cluster(top),
        _quotas(values.get("budgets", {})),
        admin.text("budgets_ledger", ""),
        admin.text("budgets_store", ""),
        trace.integer("lines_per_second", 0, 0, TRACE_LINES_PER_SECOND_MAX),
        status_page_enabled=admin.flag("roster"),
    )
    _check_dependencies(operator)
    return operator


def _check_dependencies(operator: OperatorConfig) -> None:
    """Validate requirements that span several tables."""
    if operator.quotas and not operator.cluster.enabled:
        raise ConfigError("budgets", "expected tier.on = true, as cluster members exchange quota shares")
    protocols = {operator.default_protocol, *operator.pod_protocols.values()}
    if MSGPACK_RPC in protocols and not operator.msgpack_rpc.calls_servers:
        raise ConfigError("nodes", f"expected msgpack_rpc.nodes = true for protocol {MSGPACK_RPC}")


def _msgpack_rpc(top: ConfigTable) -> MsgpackRpcConfig:
    table = top.table("msgpack_rpc", MSGPACK_RPC_KEYS)
    return MsgpackRpcConfig(
        accepts_clients=table.flag("clients"),
        calls_servers=table.flag("nodes"),
        unsafe_calls_per_connection=table.integer("lodges_per_connection", 32, 1, 1024),
        safe_calls_per_connection=table.integer("others_per_connection", 4, 1, 1024),
        connections_per_server=table.integer("connections_per_node", 64, 1, 4096),
    )


def _discovery(top: ConfigTable) -> DiscoveryConfig:
    table = top.table("membership", DISCOVERY_KEYS)
    zookeeper = table.table("zookeeper", ZOOKEEPER_KEYS)
    sources = table.texts("sources", (REGISTRY,))
    if not sources or len(set(sources)) != len(sources) or not set(sources) <= set(SOURCES):
        expected = f"{', '.join(SOURCES)}, each at most once"
        raise ConfigError("membership.sources", f"expected one or more of {expected}, not {sources}")
    ensemble = ZooKeeperConfig(
        zookeeper.addresses("members"),
        zookeeper.path("path", "/lodge/nodes"),
        zookeeper.path("chroot", ""),
        zookeeper.number("session_timeout_s", 6.0, 0.5, 120.0),
        zookeeper.credentials("secret"),
    )
    if ZOOKEEPER in sources and not ensemble.addresses:
        raise ConfigError("membership.zookeeper.members", "missing addresses of the ensemble")
    return DiscoveryConfig(sources, ensemble)


def _planning(top: ConfigTable) -> PlanningConfig:
    table = top.table("planning", PLANNING_KEYS)
    listen = table.address("listen")
    election = table.choice("elect", STATIC, ELECTIONS)
    planners = table.addresses("planners")
    config = PlanningConfig(
        planners, table.text("name", ""), listen, election, table.integer("rank", 0, 0, 255)
    )
    if len(planners) > PLANNERS_MAX:
        raise ConfigError("planning.planners", f"exceeds {PLANNERS_MAX} entries")
    return config


def _cluster(top: ConfigTable) -> ClusterConfig:
    table = top.table("tier", CLUSTER_KEYS)
    config = ClusterConfig(
        table.flag("on"),
        table.text("name", ""),
        table.integer("period_ms", 200, 50, 10_000),
        table.integer("pause_ms", 1000, 100, 60_000),
        table.integer("forget_s", 600, 60, 86_400),
        table.integer("datagram", 256, DATAGRAM_BYTES_MIN, DATAGRAM_BYTES_MAX),
        table.masked_text("key", CLUSTER_KEY_BYTES_MAX),
    )
    if config.forget_after_s * 1000 < _FORGET_TO_PAUSE_RATIO_MIN * config.tolerated_pause_ms:
        raise ConfigError("tier.forget_s", "expected at least 20 times pause_ms")
    return config


def _quotas(tables: Any) -> tuple[QuotaBinding, ...]:
    if not isinstance(tables, Mapping) or len(tables) > QUOTAS_MAX:
        raise ValueError(f"budgets: expected at most {QUOTAS_MAX} tables")
    bindings = tuple(_quota(name, values) for name, values in tables.items())
    limited_resources = [(binding.resource, binding.tenant) for binding in bindings]
    for binding in bindings:
        if limited_resources.count((binding.resource, binding.tenant)) > 1:
            raise ValueError(f"budgets.{binding.quota.name}.of: duplicate resource and tenant")
    return bindings


def _quota(name: str, values: Any) -> QuotaBinding:
    table = ConfigTable(f"budgets.{name}.", values, QUOTA_KEYS)
    resource = table.text("of", "")
    if resource not in (RETRIES, HEALTH_CHECKS, TENANT_REQUESTS):
        expected = f"{RETRIES}, {HEALTH_CHECKS} or {TENANT_REQUESTS}"
        raise ValueError(f"budgets.{name}.of: expected {expected}, not {resource!r:.40}")
    tenant = table.text("tenant", "")
    if (resource == TENANT_REQUESTS) is not bool(tenant):
        raise ValueError(f"budgets.{name}.tenant: required in a tenant's budget, not allowed in any other")
    floor_units = table.number("floor", 0.0, 0.0, float(QUOTA_LIMIT_MAX))
    quota = Quota(
        name,
        QuotaKind.RATE,
        limit=table.integer("whole", 0, 0, QUOTA_LIMIT_MAX),
        burst=table.integer("burst", 0, 0, QUOTA_LIMIT_MAX),
        floor=round(floor_units * MILLIUNITS_PER_UNIT),
        members=table.integer("members", 1, 1, 100_000),
        lease_servers=table.texts("keepers"),
        lease_us=round(table.number("lease_s", 5.0, 1.0, 600.0) * 1e6),
        former_lease_us=round(table.number("silence_s", 0.0, 0.0, 3600.0) * 1e6),
        drift_ppm=round(table.number("drift_percent", 1.0, 0.01, 20.0) * 1e4),
    )
    try:
        quota.validate()
    except InvalidQuota as error:
        raise ValueError(f"budgets.{name}.{error}") from None
    return QuotaBinding(quota, resource, tenant or None)
