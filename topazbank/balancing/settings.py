"""Configuration of a balancer.  `platform_names.py` translates the platform's names of these settings.

Times are integer microseconds.  Defaults are conservative.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any

from topazbank.balancing.settings_reader import SettingsError, SettingsReader


@unique
class Idempotency(Enum):
    """Whether a request may be retried after an attempt that may have been executed."""

    IDEMPOTENT = "idempotent"  # may be executed any number of times
    KEYED = "keyed"  # servers deduplicate by idempotency key, within a scope and a time window
    NON_IDEMPOTENT = "non_idempotent"  # must be executed at most once


@unique
class IdempotencyScope(Enum):
    """Servers among which requests with the same idempotency key are deduplicated."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@unique
class DiscoveryMode(Enum):
    """Whether changes of the endpoint list are pushed or must be polled."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


@unique
class ReportSource(Enum):
    """Source of servers' load reports."""

    RESPONSES = "responses"
    HEALTH_CHECKS = "health_checks"
    NONE = "silent"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with the same deadline, priority and retry rules."""

    name: str
    deadline_us: int
    latency_objective_us: int
    priority_weight: float = 1.0
    late_value_ratio: float = 0.0  # value of an answer after the objective, relative to one in time
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    idempotency_scope: IdempotencyScope = IdempotencyScope.CELL
    idempotency_window_us: int = 0  # how long servers remember an idempotency key
    ordered_by_key: bool = False  # requests with the same key are executed one at a time, in order of arrival

    @staticmethod
    def read(section: SettingsReader) -> RequestClass:
        """Read a class of requests; raise `SettingsError` on an invalid value."""
        deadline_us = section.integer("deadline_us", None, low=1)
        objective_us = section.integer("latency_objective_us", deadline_us, low=1)
        return RequestClass(
            name=section.text("name"),
            deadline_us=deadline_us,
            latency_objective_us=min(objective_us, deadline_us),
            priority_weight=section.number("priority_weight", 1.0),
            late_value_ratio=section.number("late_value_ratio", 0.0),
            idempotency=section.choice("idempotency", Idempotency, Idempotency.NON_IDEMPOTENT),
            idempotency_scope=section.choice("idempotency_scope", IdempotencyScope, IdempotencyScope.CELL),
            idempotency_window_us=section.integer("idempotency_window_us", 0),
            ordered_by_key=section.flag("ordered_by_key", False),
        )


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its share of the whole fleet."""

    name: str
    share: float = 1.0

    @staticmethod
    def read(section: SettingsReader) -> Tenant:
        """Read a tenant; raise `SettingsError` on an invalid value."""
        return Tenant(section.text("name"), section.number("share", 1.0))


@dataclass(frozen=True, slots=True)
class Limits:
    """Optional features that the deployment permits, and limits on connections and attempts."""

    max_attempts: int = 1
    hedging: bool = False  # a second attempt may be sent while the first is in flight
    cancellation: bool = False  # an attempt in flight may be cancelled
    health_checks: bool = False
    gossip: bool = False  # sidecars may send messages to one another
    retry_after: bool = False  # a rejection may indicate when to retry
    max_retry_after_us: int = 0
    connect_timeout_us: int = 250_000
    idle_timeout_us: int = 15_000_000
    streams_per_connection: int = 1

    @staticmethod
    def read(section: SettingsReader) -> Limits:
        """Read the limits; raise `SettingsError` on an invalid value."""
        return Limits(
            max_attempts=section.integer("max_attempts", 1),
            hedging=section.flag("hedging", False),
            cancellation=section.flag("cancellation", False),
            health_checks=section.flag("health_checks", False),
            gossip=section.flag("gossip", False),
            retry_after=section.flag("retry_after", False),
            max_retry_after_us=section.integer("max_retry_after_us", 0),
            connect_timeout_us=section.integer("connect_timeout_us", 250_000),
            idle_timeout_us=section.integer("idle_timeout_us", 15_000_000),
            streams_per_connection=section.integer("streams_per_connection", 1, low=1),
        )


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of the platform's guarantees about servers, draining and the endpoint list."""

    poll_within_us: int = 10_000_000  # longest time between two polls of the endpoint list
    drain_grace_us: int = 0
    warmup_start_ratio: float = 0.1  # capacity of a server at its start, relative to its full capacity
    warmup_us: int = 30_000_000  # time from a server's start until it has its full capacity
    overload_multiple: float = (
        1.0  # load at which a warming server collapses, in multiples of its current capacity
    )
    overload_window_us: int = 2_000_000  # time over which that load is measured
    rejects_after_start: bool = False  # servers may also reject requests after execution has started
    ordering_pause_us: int = 0  # delay before a key's next request if an attempt may still be running

    @staticmethod
    def read(section: SettingsReader) -> Rules:
        """Read the rules; raise `SettingsError` on an invalid value."""
        return Rules(
            poll_within_us=section.integer("poll_within_us", 10_000_000, low=1),
            drain_grace_us=section.integer("drain_grace_us", 0),
            warmup_start_ratio=section.number("warmup_start_ratio", 0.1, low=0.001, high=1.0),
            warmup_us=section.integer("warmup_us", 30_000_000),
            overload_multiple=section.number("overload_multiple", 1.0, low=0.001),
            overload_window_us=section.integer("overload_window_us", 2_000_000, low=1),
            rejects_after_start=section.flag("rejects_after_start", False),
            ordering_pause_us=section.integer("ordering_pause_us", 0),
        )


@dataclass(frozen=True, slots=True)
class Prices:
    """Cost of extra traffic, in service points for one unit per request."""

    cross_zone: float = 0.0
    health_check: float = 0.0
    gossip: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0  # for 100 open connections per server

    @staticmethod
    def read(section: SettingsReader) -> Prices:
        """Read the prices; raise `SettingsError` on an invalid value."""
        return Prices(
            cross_zone=section.number("cross_zone", 0.0),
            health_check=section.number("health_check", 0.0),
            gossip=section.number("gossip", 0.0),
            handshake=section.number("handshake", 0.0),
            connection=section.number("connection", 0.0),
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """The complete configuration of a balancer."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    instance: int = 0  # index of this balancer in its fleet
    fleet_size: int = 1
    tick_us: int = 1_000  # the resolution of the clock
    discovery: DiscoveryMode = DiscoveryMode.ON_REQUEST
    over_share_weight: float = 1.0  # factor on the priority of requests beyond their tenant's share
    report_source: ReportSource = ReportSource.NONE
    report_columns: tuple[str, ...] = ()
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)

    def mean_late_value_ratio(self) -> float:
        """The relative value of a late answer, averaged over the classes."""
        return sum(request_class.late_value_ratio for request_class in self.classes) / len(self.classes)

    def longest_objective_us(self) -> int:
        """The longest latency objective among the classes."""
        return max(request_class.latency_objective_us for request_class in self.classes)

    @staticmethod
    def from_mapping(values: Mapping[str, Any]) -> Settings:
        """Read settings from nested mappings of plain values.

        Raises `SettingsError`, a `ValueError` that names the key, on an invalid value.
        """
        top = SettingsReader(values)
        report = top.section("report")
        return Settings(
            classes=_read_classes(top),
            tenants=_read_tenants(top),
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


def _read_classes(top: SettingsReader) -> tuple[RequestClass, ...]:
    classes = tuple(RequestClass.read(section) for section in top.sections("classes"))
    if not classes:
        raise SettingsError("classes: expected at least one class")
    _check_unique_names("classes", [request_class.name for request_class in classes])
    return classes


def _read_tenants(top: SettingsReader) -> tuple[Tenant, ...]:
    tenants = tuple(Tenant.read(section) for section in top.sections("tenants"))
    _check_unique_names("tenants", [tenant.name for tenant in tenants])
    return tenants


def _check_unique_names(key: str, names: Sequence[str]) -> None:
    if len(set(names)) != len(names):
        raise SettingsError(
            f"{key}: duplicate name {next(name for name in names if names.count(name) > 1)!r:.60}"
        )
