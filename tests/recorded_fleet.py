"""Simulates one balancer with a small fleet in virtual time and computes a digest of all its decisions.

A seed determines the fleet and its faults: servers of different speed that drain, restart, hang, reject, fail or drop
connections, clients that disconnect, polls that fail, and a process that stalls.  Equal digests mean that two versions
of the balancer made the same decisions at the same times for the same events.
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
import json
import random
import struct
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from topazbank import Balancer, Settings
from topazbank.balancing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    LogMessage,
    Reject,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from topazbank.balancing.events import (
    AttemptEnded,
    EndpointsUpdated,
    Event,
    GossipReceived,
    HealthCheckEnded,
    Outcome,
    RequestArrived,
    RequestCancelled,
    ResponseStarted,
    ServerDescription,
    ServerState,
    TimerFired,
    UpdateKind,
)
from topazbank.balancing.fleet import FleetQuota, RoutingPlan

MS = 1_000
S = 1_000_000
START = 1_000 * S
RUN_US = 20 * S
ZONES = ("east", "west", "north")

CLASSES: list[dict[str, Any]] = [
    {"name": "look", "deadline_us": 2 * S, "latency_objective_us": 500 * MS, "idempotency": "idempotent"},
    {"name": "pay", "deadline_us": 2 * S, "latency_objective_us": 600 * MS, "priority_weight": 10},
    {
        "name": "amend",
        "deadline_us": 3 * S,
        "latency_objective_us": 400 * MS,
        "priority_weight": 3,
        "late_value_ratio": 0.4,
        "idempotency": "keyed",
        "idempotency_scope": "zone",
        "idempotency_window_us": 2 * S,
    },
]
LIMITS = {"max_attempts": 4, "hedging": True, "cancellation": True}
RULES = {
    "warmup_start_ratio": 0.2,
    "warmup_us": 6 * S,
    "overload_multiple": 2,
    "overload_window_us": 2 * S,
    "poll_within_us": 6 * S,
    "drain_grace_us": 500 * MS,
}
COLUMNS = ["inflight", "queue", "latency_ms", "util"]
# Settings of each variant, added to the common ones.
VARIANTS: dict[str, dict[str, Any]] = {
    "plain": {},
    "no hedging": {
        "limits": {"hedging": False, "cancellation": False, "max_attempts": 3, "retry_after": True}
    },
    "late rejections": {"rules": {"rejects_after_start": True}, "limits": {"hedging": False}},
    "pushed": {"discovery": "pushed", "prices": {"cross_zone": 0.03, "handshake": 0.05, "connection": 0.08}},
    "health checks": {
        "report": {"source": "health_checks", "columns": COLUMNS},
        "limits": {"health_checks": True},
        "prices": {"health_check": 0.001, "cross_zone": 0.1, "handshake": 0.05},
    },
    "startup probes": {
        "report": {"source": "health_checks", "columns": COLUMNS},
        "limits": {"health_checks": True},
        "prices": {"health_check": 0.5},
        "fleet_size": 40,
    },
    "gossip": {"limits": {"gossip": True}, "fleet_size": 5, "prices": {"gossip": 0.002}},
    "ordered": {"rules": {"ordering_pause_us": 100 * MS}, "ordered": True},
    "tenants": {
        "tenants": [{"name": "a", "share": 3}, {"name": "b", "share": 1}],
        "over_share_weight": 0.3,
        "fleet_size": 20,
    },
    "no idempotent class": {"only": ("pay", "amend"), "limits": {"health_checks": True}},
    "planned": {"planned": True, "limited": True, "tenants": [{"name": "a"}, {"name": "b"}]},
}
# Load and fault level of the fleet: requests per second, and ratio of attempts that fail.
LOADS = ((8.0, 0.02), (60.0, 0.05), (220.0, 0.02), (25.0, 0.3))
SEEDS = (1, 2)
DIGESTS = Path(__file__).with_name("recorded_decisions.json")


@dataclass(slots=True)
class FleetServer:
    """The true state of a server.  The balancer sees only its entry on the endpoint list, its outcomes and reports."""

    name: str
    zone: str
    cell: int
    service_us: int
    nominal_capacity: float
    state: ServerState = ServerState.READY
    started_at: int | None = None
    in_flight: int = 0
    hangs_until: int = 0
    unreachable_until: int = 0

    def describe(self) -> ServerDescription:
        return ServerDescription(
            self.name, self.zone, "box", self.cell, self.state, self.nominal_capacity, self.started_at
        )


class SampledPlan(RoutingPlan):
    """A plan that names two servers for every third request."""

    def __init__(self, names: Sequence[str]) -> None:
        self._names = names
        self._calls = 0

    def sample(self, now: int, chance: Callable[[], float]) -> Sequence[str]:
        self._calls += 1
        if self._calls % 3:
            return ()
        return [self._names[int(chance() * len(self._names))] for _ in range(2)]

    def capacity(self, server: str) -> float:
        return 4.0

    def slow_start_ratio(self, server: str, now: int) -> float:
        return 0.5


class RationedQuota(FleetQuota):
    """A quota that refuses every fourth unit."""

    def __init__(self) -> None:
        self._calls = 0

    def acquire(self, resource: str, tenant: str | None, now: int) -> bool:
        self._calls += 1
        return self._calls % 4 != 0


class RecordedFleet:
    """One simulated run; `digest` covers all its decisions."""

    def __init__(self, variant: str, load: tuple[float, float], seed: int) -> None:
        variant_settings = VARIANTS[variant]
        self._random = random.Random(f"{variant} {load} {seed}")
        self._rate, self._fault_ratio = load
        self._settings = _settings(variant_settings)
        self._servers = {
            server.name: server for server in (self._create_server(number) for number in range(12))
        }
        plan = SampledPlan(list(self._servers)) if variant_settings.get("planned") else None
        self.balancer = Balancer(self._settings, seed, plan)
        if variant_settings.get("limited"):
            self.balancer.set_fleet_quota(RationedQuota())
        self._tenants = [tenant.name for tenant in self._settings.tenants]
        self._now = START
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._requests = itertools.count(1)
        self._in_flight: dict[tuple[int, int], str] = {}
        self._sent: dict[int, int] = {}
        self._answered: set[int] = set()
        self._hash = hashlib.sha256()
        self.decisions: dict[str, int] = {}

    def digest(self) -> str:
        """Simulate the run to its end and return the digest of its decisions."""
        self._handle(EndpointsUpdated(UpdateKind.CACHED, [server.describe() for server in self._listed()], 1))
        self._schedule(START + 300 * MS, self._poll)
        self._schedule(START, self._arrive)
        self._schedule(START + 2 * S, self._change_server)
        self._schedule(START + 9 * S, self._stall)
        if self._settings.limits.gossip:
            self._schedule(START + 100 * MS, self._gossip)
        while self._events and self._events[0][0] < START + RUN_US:
            due, _, step = heapq.heappop(self._events)
            self._now = max(self._now, due)
            step()
        return self._hash.hexdigest()

    # -- Scheduled events -----------------------------------------------------------------------------

    def _arrive(self) -> None:
        burst = 3.0 if 5 * S <= self._now - START < 7 * S else 1.0
        self._schedule(self._now + 1 + int(self._random.expovariate(self._rate * burst) * S), self._arrive)
        number = next(self._requests)
        request_class = self._random.choice(self._settings.classes)
        self._handle(
            RequestArrived(
                number,
                request_class.name if self._random.random() < 0.98 else "unknown",
                self._random.choice(self._tenants) if self._tenants else None,
                self._random.randrange(20) if self._random.random() < 0.5 else None,
                int(request_class.deadline_us * self._random.choice((1.0, 1.0, 0.6, 0.2))),
                self._random.choice((None, 2_000, 10_000, 60_000)),
                self._random.random() < 0.1,
            )
        )
        if self._random.random() < 0.03:
            self._schedule(self._now + self._random.randrange(300 * MS), lambda: self._cancel(number))

    def _cancel(self, number: int) -> None:
        if number not in self._answered:
            self._answered.add(number)
            self._handle(RequestCancelled(number))

    def _change_server(self) -> None:
        """Change one server: drain, restart, hang, disconnect, remove or return it; or send a snapshot of the list."""
        self._schedule(self._now + self._random.randrange(200 * MS, 1_500 * MS), self._change_server)
        server = self._random.choice(list(self._servers.values()))
        change = self._random.choice(("drain", "restart", "hang", "cut", "remove", "return", "snapshot"))
        if change == "drain":
            server.state = ServerState.DRAINING
        elif change == "restart":
            server.state, server.started_at = ServerState.READY, self._now
        elif change == "hang":
            server.hangs_until = self._now + self._random.randrange(1 * S, 4 * S)
        elif change == "cut":
            server.unreachable_until = self._now + self._random.randrange(1 * S, 5 * S)
        elif change == "remove":
            server.state = ServerState.REMOVED
        elif change == "return":
            server.state = ServerState.READY
        if change == "snapshot":
            self._update(UpdateKind.SNAPSHOT, self._listed())
        elif change not in ("hang", "cut"):
            self._update(UpdateKind.DELTA, [server])

    def _stall(self) -> None:
        """Stall the process: time passes, and all events that fall due meanwhile are late."""
        self._now += 700 * MS
        self._schedule(self._now + 5 * S, self._stall)

    def _gossip(self) -> None:
        self._schedule(self._now + 100 * MS, self._gossip)
        sender = self._random.randrange(6)
        tags = [self._random.randrange(1 << 16) for _ in range(self._random.randrange(5))]
        payload = b"\x01" + b"".join(struct.pack("<HB", tag, 3) for tag in tags)
        self._handle(GossipReceived(sender, payload if self._random.random() < 0.9 else b"\x07junk"))

    def _poll(self) -> None:
        if self._random.random() < 0.3:
            self._handle(EndpointsUpdated(UpdateKind.FAILED))
        else:
            self._update(UpdateKind.SNAPSHOT, self._listed())

    # -- Execution of the balancer's actions ----------------------------------------------------------

    def _handle(self, event: Event) -> None:
        actions = self.balancer.handle(self._now, event)
        for action in actions:
            self._record(action)
        for action in actions:
            self._execute(action)

    def _record(self, action: Action) -> None:
        name = type(action).__name__
        self.decisions[name] = self.decisions.get(name, 0) + 1
        if isinstance(action, LogMessage):
            return  # texts of log lines are not part of the digest
        values = [_json_value(getattr(action, action_field.name)) for action_field in fields(action)]
        self._hash.update(json.dumps([self._now, name, *values]).encode() + b"\n")

    def _execute(self, action: Action) -> None:
        if isinstance(action, SendAttempt):
            self._send_attempt(action)
        elif isinstance(action, CancelAttempt):
            self._schedule(
                self._now,
                lambda: self._end_attempt(action.request, action.attempt, Outcome.CANCELLED, self._now),
            )
        elif isinstance(action, Reject | Fail):
            self._answered.add(action.request)
        elif isinstance(action, SetTimer):
            self._schedule(self._now + action.in_us, lambda: self._handle(TimerFired(action.token)))
        elif isinstance(action, CheckHealth):
            self._check_health(action.server)
        elif isinstance(action, WatchEndpoints):
            self._schedule(self._now + self._random.randrange(50 * MS, 3 * S), self._poll)

    def _send_attempt(self, action: SendAttempt) -> None:
        server = self._servers[action.server]
        index = self._sent.get(action.request, 0)
        self._sent[action.request] = index + 1
        self._in_flight[action.request, index] = action.server
        server.in_flight += 1
        sent_at, outcome = self._now, self._draw_outcome(server)
        elapsed_us = int(server.service_us * (0.5 + self._random.random()) * (1.0 + 0.3 * server.in_flight))
        if outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.UNSENT):
            elapsed_us = self._random.randrange(1 * MS, 20 * MS)
        if server.hangs_until > sent_at or sent_at + elapsed_us >= action.give_up_at:
            elapsed_us, outcome = action.give_up_at - sent_at, Outcome.TIMED_OUT
        elif outcome is Outcome.DELIVERED and self._random.random() < 0.05:
            self._schedule(
                sent_at + elapsed_us // 2, lambda: self._start_response(action.request, index, sent_at)
            )
        self._schedule(
            sent_at + elapsed_us, lambda: self._end_attempt(action.request, index, outcome, sent_at)
        )

    def _draw_outcome(self, server: FleetServer) -> Outcome:
        if server.unreachable_until > self._now:
            return Outcome.CONNECT_FAILED
        if server.in_flight > 12 * server.nominal_capacity:
            return Outcome.REJECTED
        if self._random.random() >= self._fault_ratio:
            return Outcome.DELIVERED
        return self._random.choice(
            (Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.CONNECTION_LOST, Outcome.UNSENT)
        )

    def _start_response(self, request: int, index: int, sent_at: int) -> None:
        server = self._in_flight.get((request, index))
        if server is not None and request not in self._answered:
            self._answered.add(request)
            self._handle(ResponseStarted(request, index, server, self._now - sent_at))

    def _end_attempt(self, request: int, index: int, outcome: Outcome, sent_at: int) -> None:
        name = self._in_flight.pop((request, index), None)
        if name is None:
            return
        server = self._servers[name]
        server.in_flight -= 1
        if outcome is Outcome.DELIVERED:
            self._answered.add(request)
        report = None
        if outcome in (Outcome.DELIVERED, Outcome.REJECTED) and self._random.random() < 0.7:
            report = self._report(server)
        answered = request in self._answered
        self._handle(AttemptEnded(request, index, name, outcome, self._now - sent_at, answered, report))

    def _check_health(self, name: str) -> None:
        server, sent_at = self._servers[name], self._now
        failed = server.unreachable_until > sent_at or self._random.random() < self._fault_ratio
        outcome = Outcome.CONNECT_FAILED if failed else Outcome.DELIVERED
        report = None if failed else self._report(server)
        elapsed_us = self._random.randrange(1 * MS, 30 * MS)
        self._schedule(
            sent_at + elapsed_us, lambda: self._handle(HealthCheckEnded(name, outcome, elapsed_us, report))
        )

    # -- Helpers --------------------------------------------------------------------------------------

    def _create_server(self, number: int) -> FleetServer:
        return FleetServer(
            f"10.0.0.{number + 1}:80",
            ZONES[number % 3],
            number % 2,
            self._random.choice((20, 30, 40, 90)) * MS,
            self._random.choice((0.5, 1.0, 1.0, 2.0)),
            started_at=START - 2 * S if number == 11 else None,
        )

    def _listed(self) -> list[FleetServer]:
        return [server for server in self._servers.values() if server.state is not ServerState.REMOVED]

    def _update(self, kind: UpdateKind, servers: Sequence[FleetServer]) -> None:
        self._handle(EndpointsUpdated(kind, [server.describe() for server in servers], self._now // MS))

    def _report(self, server: FleetServer) -> dict[str, float]:
        load = server.in_flight / (6.0 * server.nominal_capacity)
        return {
            "util": min(load, 1.0) if self._random.random() < 0.95 else 7.0,
            "inflight": float(server.in_flight),
            "queue": max(load - 1.0, 0.0) * 10,
            "latency_ms": server.service_us / MS * (1.0 + load),
        }

    def _schedule(self, due: int, step: Callable[[], None]) -> None:
        heapq.heappush(self._events, (due, next(self._sequence), step))


def _settings(variant_settings: Mapping[str, Any]) -> Settings:
    included = variant_settings.get("only")
    classes = [
        {**request_class, "ordered_by_key": bool(variant_settings.get("ordered"))}
        for request_class in CLASSES
    ]
    overrides = {
        key: value
        for key, value in variant_settings.items()
        if key not in ("only", "ordered", "planned", "limited")
    }
    return Settings.from_mapping(
        {
            "zone": "east",
            "tick_us": 5 * MS,
            "instance": 2,
            **overrides,
            "classes": [
                request_class
                for request_class in classes
                if included is None or request_class["name"] in included
            ],
            "limits": {**LIMITS, **variant_settings.get("limits", {})},
            "rules": {**RULES, **variant_settings.get("rules", {})},
        }
    )


def _json_value(value: object) -> object:
    return value.hex() if isinstance(value, bytes) else value


def run_name(variant: str, load: tuple[float, float], seed: int) -> str:
    """The key of a run in the file of recorded digests."""
    return f"{variant}/{load[0]:g}/{load[1]:g}/{seed}"


def main() -> None:
    """Record the digests of the current program."""
    runs = [(variant, load, seed) for variant in VARIANTS for load in LOADS for seed in SEEDS]
    digests = {run_name(*run): RecordedFleet(*run).digest() for run in runs}
    DIGESTS.write_text(json.dumps(digests, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
