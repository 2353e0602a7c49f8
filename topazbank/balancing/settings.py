"""What a balancer is configured with.  The platform's own names are translated in `platform_names.py`.

Times are integer microseconds.  The defaults are the cautious ends.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any

from topazbank.balancing.settings_reader import SettingsError, SettingsReader


@unique
class Idempotency(Enum):
    """Whether a request of a class may be attempted again once an attempt may have run."""

    IDEMPOTENT = "idempotent"  # may run any number of times
    KEYED = "keyed"  # servers drop a repeat by its idempotency key, within a scope and for a while
    NON_IDEMPOTENT = "non_idempotent"  # must never run twice


@unique
class IdempotencyScope(Enum):
    """Which servers drop the repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@unique
class DiscoveryMode(Enum):
    """Whether changes of the endpoint list are pushed or have to be polled for."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


@unique
class ReportSource(Enum):
    """Where servers' load reports come from."""

    RESPONSES = "responses"
    HEALTH_CHECKS = "health_checks"
    NONE = "silent"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    deadline_us: int
    latency_objective_us: int
    priority_weight: float = 1.0
    late_value_ratio: float = 0.0  # the part of its value that an answer after the objective keeps
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    idempotency_scope: IdempotencyScope = IdempotencyScope.CELL
    idempotency_window_us: int = 0  # how long servers remember an idempotency key
    ordered_by_key: bool = False  # requests with one key run one at a time, in order of arrival

    @staticmethod
    def read(given: SettingsReader) -> RequestClass:
        """Read a class of requests; raise `SettingsError` on a bad value."""
        deadline_us = given.integer("deadline_us", None, low=1)
        objective_us = given.integer("latency_objective_us", deadline_us, low=1)
        return RequestClass(
            name=given.text("name"),
            deadline_us=deadline_us,
            latency_objective_us=min(objective_us, deadline_us),
            priority_weight=given.number("priority_weight", 1.0),
            late_value_ratio=given.number("late_value_ratio", 0.0),
            idempotency=given.choice("idempotency", Idempotency, Idempotency.NON_IDEMPOTENT),
            idempotency_scope=given.choice("idempotency_scope", IdempotencyScope, IdempotencyScope.CELL),
            idempotency_window_us=given.integer("idempotency_window_us", 0),
            ordered_by_key=given.flag("ordered_by_key", False),
        )


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and its share of the entire fleet."""

    name: str
    share: float = 1.0

    @staticmethod
    def read(given: SettingsReader) -> Tenant:
        """Read a tenant; raise `SettingsError` on a bad value."""
        return Tenant(given.text("name"), given.number("share", 1.0))


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits."""

    max_attempts: int = 1
    hedging: bool = False  # a second attempt may be in flight beside the first
    cancellation: bool = False  # an attempt in flight may be cancelled
    health_checks: bool = False
    gossip: bool = False  # sidecars may send one another messages
    retry_after: bool = False  # a rejection may tell when to come back
    max_retry_after_us: int = 0
    connect_timeout_us: int = 250_000
    idle_timeout_us: int = 15_000_000
    streams_per_connection: int = 1

    @staticmethod
    def read(given: SettingsReader) -> Limits:
        """Read the limits; raise `SettingsError` on a bad value."""
        return Limits(
            max_attempts=given.integer("max_attempts", 1),
            hedging=given.flag("hedging", False),
            cancellation=given.flag("cancellation", False),
            health_checks=given.flag("health_checks", False),
            gossip=given.flag("gossip", False),
            retry_after=given.flag("retry_after", False),
            max_retry_after_us=given.integer("max_retry_after_us", 0),
            connect_timeout_us=given.integer("connect_timeout_us", 250_000),
            idle_timeout_us=given.integer("idle_timeout_us", 15_000_000),
            streams_per_connection=given.integer("streams_per_connection", 1, low=1),
        )


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the rules that hold whatever else happens."""

    poll_within_us: int = 10_000_000  # the endpoint list is polled at least this often
    drain_grace_us: int = 0
    warmup_start_ratio: float = 0.1  # the part of its capacity that a server has as it starts
    warmup_us: int = 30_000_000  # from its start until it has all of it
    overload_multiple: float = 1.0  # of the capacity of that moment, at which a warming server collapses
    overload_window_us: int = 2_000_000  # over which that load is counted
    rejects_after_start: bool = False  # servers also reject requests that they had begun
    ordering_pause_us: int = 0  # how long a key waits after an attempt that may still be running

    @staticmethod
    def read(given: SettingsReader) -> Rules:
        """Read the rules' figures; raise `SettingsError` on a bad value."""
        return Rules(
            poll_within_us=given.integer("poll_within_us", 10_000_000, low=1),
            drain_grace_us=given.integer("drain_grace_us", 0),
            warmup_start_ratio=given.number("warmup_start_ratio", 0.1, low=0.001, high=1.0),
            warmup_us=given.integer("warmup_us", 30_000_000),
            overload_multiple=given.number("overload_multiple", 1.0, low=0.001),
            overload_window_us=given.integer("overload_window_us", 2_000_000, low=1),
            rejects_after_start=given.flag("rejects_after_start", False),
            ordering_pause_us=given.integer("ordering_pause_us", 0),
        )


@dataclass(frozen=True, slots=True)
class Prices:
    """What extra traffic costs, in points of service for one a request."""

    cross_zone: float = 0.0
    health_check: float = 0.0
    gossip: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0  # for a hundred open connections a server

    @staticmethod
    def read(given: SettingsReader) -> Prices:
        """Read the prices; raise `SettingsError` on a bad value."""
        return Prices(
            cross_zone=given.number("cross_zone", 0.0),
            health_check=given.number("health_check", 0.0),
            gossip=given.number("gossip", 0.0),
            handshake=given.number("handshake", 0.0),
            connection=given.number("connection", 0.0),
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """The complete configuration of a balancer."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    instance: int = 0  # this balancer's number in its fleet
    fleet_size: int = 1
    tick_us: int = 1_000  # the resolution of the clock
    discovery: DiscoveryMode = DiscoveryMode.ON_REQUEST
    over_share_weight: float = 1.0  # the part of its weight that a request beyond its tenant's share keeps
    report_source: ReportSource = ReportSource.NONE
    report_columns: tuple[str, ...] = ()
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)

    def mean_late_value_ratio(self) -> float:
        """The part of its value that a late answer keeps, in the mean of the classes."""
        return sum(each.late_value_ratio for each in self.classes) / len(self.classes)

    def longest_objective_us(self) -> int:
        """The longest latency objective of any class."""
        return max(each.latency_objective_us for each in self.classes)

    @staticmethod
    def from_mapping(given: Mapping[str, Any]) -> Settings:
        """Read settings from nested mappings of plain values.

        Raises `SettingsError`, a `ValueError` that names the key, on a value that is not allowed.
        """
        top = SettingsReader(given)
        report = top.section("report")
        return Settings(
            classes=_classes(top),
            tenants=_tenants(top),
            zone=top.text("zone", ""),
            instance=top.integer("instance", 0),
            fleet_size=top.integer("fleet_size", 1, low=1),
            tick_us=top.integer("tick_us", 1_000, low=1),
            discovery=top.choice("discovery", DiscoveryMode, DiscoveryMode.ON_REQUEST),
            over_share_weight=top.number("over_share_weight", 1.0, high=1.0),
            report_source=report.choice("source", ReportSource, ReportSource.NONE),
            report_columns=report.texts("columns"),
            limits=Limits.read(top.section("limits")),
            rules=Rules.read(top.section("rules")),
            prices=Prices.read(top.section("prices")),
        )


def _classes(top: SettingsReader) -> tuple[RequestClass, ...]:
    classes = tuple(RequestClass.read(each) for each in top.sections("classes"))
    if not classes:
        raise SettingsError("classes: at least one class of requests is needed")
    _check_names("classes", [each.name for each in classes])
    return classes


def _tenants(top: SettingsReader) -> tuple[Tenant, ...]:
    tenants = tuple(Tenant.read(each) for each in top.sections("tenants"))
    _check_names("tenants", [each.name for each in tenants])
    return tenants


def _check_names(key: str, names: Sequence[str]) -> None:
    if len(set(names)) != len(names):
        raise SettingsError(f"{key}: a name stands twice")
