"""The operator file: what an installation sets beyond what the platform tells.  TOML, checked whole at the start."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from topazbank.balancing.fleet import HEALTH_CHECKS, RETRIES, TENANT_REQUESTS
from topazbank.core.endpoints import HTTP, MSGPACK_RPC, PROTOCOLS
from topazbank.core.net import Address, parse_address
from topazbank.quota.rules import RATE, THOUSANDTHS, Quota


@dataclass(frozen=True, slots=True)
class MsgpackRpcConfig:
    """MessagePack-RPC: whether clients and nodes may speak it, and how many calls share a connection to a node."""

    accepts_clients: bool = False
    calls_servers: bool = False
    unsafe_calls_per_connection: int = 32  # calls of unsafe classes: no other goes with them
    safe_calls_per_connection: int = 4  # giving one up closes its connection under so many others, less one
    connections_per_server: int = 64


REGISTRY, ZOOKEEPER = "registry", "zookeeper"
SOURCES = (REGISTRY, ZOOKEEPER)
PLANNERS_MAX = 7  # that a forwarder tells: each hears each summary
TEXT_CHARACTERS_MAX = 200
TRACE_LINES_PER_SECOND_MAX = 100_000  # a second
DATAGRAM_BYTES_MIN, DATAGRAM_BYTES_MAX = 256, 1200  # bytes: the platform's bound, and what passes everywhere
CLUSTER_KEY_BYTES_MAX = 64  # bytes
BUDGETS_MOST = 64
AMOUNT_MOST = 10**9
MSGPACK_RPC_KEYS = (
    "clients", "nodes", "lodges_per_connection", "others_per_connection", "connections_per_node",
)  # fmt: skip
ZOOKEEPER_KEYS = ("members", "path", "chroot", "session_timeout_s", "secret")
PLANNING_KEYS = ("planners", "name", "listen", "elect", "rank")
CLUSTER_KEYS = ("on", "name", "period_ms", "pause_ms", "forget_s", "datagram", "key")
BUDGET_FIELDS = (
    "of", "tenant", "whole", "burst", "floor", "members", "keepers", "lease_s", "silence_s", "drift_percent",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class ZooKeeperConfig:
    """The ensemble that keeps the roster."""

    addresses: tuple[Address, ...] = ()
    path: str = "/lodge/nodes"
    chroot: str = ""
    session_timeout_s: float = 6.0
    credentials: str = field(default="", repr=False)  # digest authentication, user:password; never logged


@dataclass(frozen=True, slots=True)
class DiscoveryConfig:
    """Where the list of nodes comes from."""

    sources: tuple[str, ...] = (REGISTRY,)  # in their precedence
    zookeeper: ZooKeeperConfig = field(default_factory=ZooKeeperConfig)

    @property
    def needs_registry(self) -> bool:
        return REGISTRY in self.sources


@dataclass(frozen=True, slots=True)
class PlanningConfig:
    """Planners that this forwarder tells and follows; with none it decides alone."""

    planners: tuple[Address, ...] = ()
    name: str = ""  # of this forwarder among them; by default from the configuration's seed
    listen: Address | None = None  # of a planner: where it listens
    election: str = "static"  # how planners tell who leads: static, or zookeeper
    rank: int = 0  # of a planner, with static: 0 leads first


ELECTIONS = ("static", ZOOKEEPER)


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """Membership among the sidecars: docs/operators/cluster.md."""

    enabled: bool = False
    name: str = ""  # of this sidecar among them; by default its number in the configuration's `peers`
    probe_period_ms: int = 200  # between two probes
    tolerated_pause_ms: int = 1000  # a process that stands still for less is taken for gone by nobody
    forget_after_s: int = 600  # how long the gone are remembered
    datagram_bytes_max: int = 256
    key: str = field(
        default="", repr=False
    )  # shared by all; with it also those may join whom `peers` don't name


@dataclass(frozen=True, slots=True)
class Budgeted:
    """One budget of the whole fleet, and what it is of: docs/operators/quotas.md."""

    budget: Quota
    of: str
    tenant: str | None = None


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """All that the operator file sets."""

    msgpack_rpc: MsgpackRpcConfig = field(default_factory=MsgpackRpcConfig)
    default_protocol: str = HTTP  # of nodes whose entry and pod do not say
    pod_protocols: Mapping[int, str] = field(default_factory=dict)
    discovery: DiscoveryConfig = field(default_factory=DiscoveryConfig)
    planning: PlanningConfig = field(default_factory=PlanningConfig)
    cluster: ClusterConfig = field(default_factory=ClusterConfig)
    budgets: tuple[Budgeted, ...] = ()  # BUDGETS_MOST
    ledger: str = ""  # a folder: what came of the budgets is written there
    store: str = ""  # a folder that lasts: what keepers gave is remembered there
    trace_lines_per_second: int = 0  # a second, beside the log: what was decided, event by event; 0: none
    status_page_enabled: bool = False  # GET /admin/roster on the one listener


def read_operator_config(path: str | None) -> OperatorConfig:
    """Read the operator file; raise ValueError or OSError, naming the field and what was wanted."""
    if path is None:
        return OperatorConfig()
    with open(path, "rb") as file:
        try:
            return operator_config_from(tomllib.load(file))
        except ValueError as bad:
            raise ValueError(f"{path}: {bad}") from None


def operator_config_from(given: Mapping[str, Any]) -> OperatorConfig:
    """Check what the file holds; a name that is not known is an error, since it would set nothing."""
    known = ("msgpack_rpc", "nodes", "membership", "planning", "tier", "budgets", "admin", "trace")
    top = _Table("", given, known)
    admin = top.table("admin", ("roster", "budgets_ledger", "budgets_store"))
    trace = top.table("trace", ("lines_per_second",))
    rpc = top.table("msgpack_rpc", MSGPACK_RPC_KEYS)
    nodes = top.table("nodes", ("protocol", "pods"))
    made = MsgpackRpcConfig(
        accepts_clients=rpc.flag("clients"),
        calls_servers=rpc.flag("nodes"),
        unsafe_calls_per_connection=rpc.whole("lodges_per_connection", 32, 1, 1024),
        safe_calls_per_connection=rpc.whole("others_per_connection", 4, 1, 1024),
        connections_per_server=rpc.whole("connections_per_node", 64, 1, 4096),
    )
    default, pods = nodes.protocol("protocol", HTTP), nodes.pods("pods")
    operator = OperatorConfig(
        made,
        default,
        pods,
        _membership(top),
        _planning(top),
        _tier(top),
        _budgets(given.get("budgets", {})),
        admin.text("budgets_ledger", ""),
        admin.text("budgets_store", ""),
        trace.whole("lines_per_second", 0, 0, TRACE_LINES_PER_SECOND_MAX),
        status_page_enabled=admin.flag("roster"),
    )
    if operator.budgets and not operator.cluster.enabled:
        raise ValueError("budgets: tier.on is wanted, as parts go between members of a tier")
    named = {operator.default_protocol, *operator.pod_protocols.values()}
    if MSGPACK_RPC in named and not made.calls_servers:
        raise ValueError(f"nodes: {MSGPACK_RPC} is named, but msgpack_rpc.nodes is not true")
    return operator


def _membership(top: _Table) -> DiscoveryConfig:
    given = top.table("membership", ("sources", "zookeeper"))
    zookeeper = given.table("zookeeper", ZOOKEEPER_KEYS)
    sources = given.texts("sources", (REGISTRY,))
    if not sources or len(set(sources)) != len(sources) or not set(sources) <= set(SOURCES):
        raise ValueError(
            f"membership.sources: each of {', '.join(SOURCES)} once at most is wanted, not {sources}"
        )
    made = ZooKeeperConfig(
        zookeeper.addresses("members"),
        zookeeper.path("path", "/lodge/nodes"),
        zookeeper.path("chroot", ""),
        zookeeper.number("session_timeout_s", 6.0, 0.5, 120.0),
        zookeeper.secret("secret"),
    )
    if ZOOKEEPER in sources and not made.addresses:
        raise ValueError("membership.zookeeper.members: the ensemble's addresses are wanted")
    return DiscoveryConfig(sources, made)


def _planning(top: _Table) -> PlanningConfig:
    given = top.table("planning", PLANNING_KEYS)
    listen = given.text("listen", "")
    try:
        address = parse_address(listen) if listen else None
    except ValueError as bad:
        raise ValueError(f"planning.listen: {bad}") from None
    elect = given.text("elect", "static")
    if elect not in ELECTIONS:
        raise ValueError(f"planning.elect: {' or '.join(ELECTIONS)} is wanted, not {elect!r:.40}")
    made = PlanningConfig(
        given.addresses("planners"), given.text("name", ""), address, elect, given.whole("rank", 0, 0, 255)
    )
    if len(made.planners) > PLANNERS_MAX:
        raise ValueError(f"planning.planners: {PLANNERS_MAX} at most are wanted")
    return made


def _tier(top: _Table) -> ClusterConfig:
    given = top.table("tier", CLUSTER_KEYS)
    made = ClusterConfig(
        given.flag("on"),
        given.text("name", ""),
        given.whole("period_ms", 200, 50, 10_000),
        given.whole("pause_ms", 1000, 100, 60_000),
        given.whole("forget_s", 600, 60, 86_400),
        given.whole("datagram", 256, DATAGRAM_BYTES_MIN, DATAGRAM_BYTES_MAX),
        given.hidden("key", CLUSTER_KEY_BYTES_MAX),
    )
    if made.forget_after_s * 1000 < 20 * made.tolerated_pause_ms:
        raise ValueError("tier.forget_s: twenty times pause_ms at least is wanted")
    return made


def _budgets(given: Any) -> tuple[Budgeted, ...]:
    if not isinstance(given, Mapping) or len(given) > BUDGETS_MOST:
        raise ValueError(f"budgets: {BUDGETS_MOST} tables at most are wanted")
    made = tuple(_budget(name, each) for name, each in given.items())
    uses = [(each.of, each.tenant) for each in made]
    for each, use in zip(made, uses, strict=True):
        if uses.count(use) > 1:
            raise ValueError(f"budgets.{each.budget.name}.of: another budget is of the same")
    return made


def _budget(name: str, given: Any) -> Budgeted:
    table = _Table(f"budgets.{name}.", given, BUDGET_FIELDS)
    of = table.text("of", "")
    if of not in (RETRIES, HEALTH_CHECKS, TENANT_REQUESTS):
        raise ValueError(
            f"budgets.{name}.of: {RETRIES}, {HEALTH_CHECKS} or {TENANT_REQUESTS} is wanted, not {of!r:.40}"
        )
    tenant = table.text("tenant", "")
    if (of == TENANT_REQUESTS) is not bool(tenant):
        raise ValueError(f"budgets.{name}.tenant: wanted of a tenant's budget, and of no other")
    budget = Quota(
        name,
        RATE,
        table.whole("whole", 0, 0, AMOUNT_MOST),
        table.whole("burst", 0, 0, AMOUNT_MOST),
        round(table.number("floor", 0.0, 0.0, float(AMOUNT_MOST)) * THOUSANDTHS),
        table.whole("members", 1, 1, 100_000),
        table.texts("keepers"),
        round(table.number("lease_s", 5.0, 1.0, 600.0) * 1e6),
        round(table.number("silence_s", 0.0, 0.0, 3600.0) * 1e6),
        drift_ppm=round(table.number("drift_percent", 1.0, 0.01, 20.0) * 1e4),
    )
    try:
        budget.check()
    except ValueError as bad:
        raise ValueError(f"budgets.{name}.{bad}") from None
    return Budgeted(budget, of, tenant or None)


class _Table:
    """One table of the file; each complaint names the path of the field."""

    def __init__(self, path: str, given: Any, known: Iterable[str]) -> None:
        self._path = path
        if not isinstance(given, Mapping):
            raise ValueError(f"{path.rstrip('.')}: a table is wanted, not {given!r:.40}")
        self._given = given
        for name in given:
            if name not in known:
                raise ValueError(f"{path}{name}: not known; one of {', '.join(known)} is wanted")

    def _wanted(self, name: str, wanted: str) -> ValueError:
        return ValueError(f"{self._path}{name}: {wanted} is wanted, not {self._given[name]!r:.40}")

    def table(self, name: str, known: Iterable[str]) -> _Table:
        return _Table(f"{self._path}{name}.", self._given.get(name, {}), known)

    def flag(self, name: str, default: bool = False) -> bool:
        value = self._given.get(name, default)
        if not isinstance(value, bool):
            raise self._wanted(name, "true or false")
        return value

    def whole(self, name: str, default: int, low: int, high: int) -> int:
        value = self._given.get(name, default)
        if type(value) is not int or not low <= value <= high:
            raise self._wanted(name, f"a whole number from {low} to {high}")
        return value

    def protocol(self, name: str, default: str) -> str:
        value = self._given.get(name, default)
        if value not in PROTOCOLS:
            raise self._wanted(name, " or ".join(PROTOCOLS))
        return str(value)

    def pods(self, name: str) -> dict[int, str]:
        """Pod number to protocol; TOML's keys are texts."""
        given = self._given.get(name, {})
        if not isinstance(given, Mapping):
            raise self._wanted(name, "a table of pod numbers")
        pods = {}
        inner = _Table(f"{self._path}{name}.", given, given)
        for pod in given:
            if not pod.lstrip("-").isdecimal():
                raise ValueError(f"{self._path}{name}.{pod}: a pod's number is wanted")
            pods[int(pod)] = inner.protocol(pod, HTTP)
        return pods

    def text(self, name: str, default: str) -> str:
        value = self._given.get(name, default)
        if not isinstance(value, str) or len(value) > TEXT_CHARACTERS_MAX:
            raise self._wanted(name, f"a text of {TEXT_CHARACTERS_MAX} characters at most")
        return value

    def texts(self, name: str, default: tuple[str, ...] = ()) -> tuple[str, ...]:
        value = self._given.get(name, list(default))
        if not isinstance(value, list) or not all(isinstance(each, str) for each in value):
            raise self._wanted(name, "a list of texts")
        return tuple(value)

    def addresses(self, name: str) -> tuple[Address, ...]:
        try:
            return tuple(parse_address(each) for each in self.texts(name))
        except ValueError as bad:
            raise ValueError(f"{self._path}{name}: {bad}") from None

    def path(self, name: str, default: str) -> str:
        value = self._given.get(name, default)
        parts = value.split("/")[1:] if isinstance(value, str) else [""]
        good = (
            value == "" if not default and not value else all(part not in ("", ".", "..") for part in parts)
        )
        if not isinstance(value, str) or not good or (value and not value.startswith("/")):
            raise self._wanted(name, "a path such as /lodge/nodes")
        return value

    def number(self, name: str, default: float, low: float, high: float) -> float:
        value = self._given.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise self._wanted(name, f"a number from {low:g} to {high:g}")
        return float(value)

    def hidden(self, name: str, most: int) -> str:
        """A text that no complaint shows."""
        value = self._given.get(name, "")
        if not isinstance(value, str) or len(value.encode()) > most:
            raise ValueError(f"{self._path}{name}: a text of {most} bytes at most is wanted")
        return value

    def secret(self, name: str) -> str:
        """A user and a password; no complaint shows them."""
        value = self._given.get(name, "")
        if not isinstance(value, str) or (value and not value.partition(":")[2]):
            raise ValueError(f"{self._path}{name}: user:password is wanted")
        return value
