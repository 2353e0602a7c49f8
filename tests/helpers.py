"""Scripted events for one balancer, with a log of the actions that it returns."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, TypeVar

from topazbank import Balancer, Settings
from topazbank.balancing.actions import Action, CheckHealth, SendAttempt, SetTimer
from topazbank.balancing.events import (
    AttemptEnded,
    EndpointsUpdated,
    Event,
    HealthCheckEnded,
    Outcome,
    RequestArrived,
    ServerDescription,
    ServerState,
    TimerFired,
    UpdateKind,
)

MS = 1_000
S = 1_000_000
START = 50 * S

SAFE = {
    "name": "look",
    "deadline_us": 2 * S,
    "latency_objective_us": 500 * MS,
    "priority_weight": 1,
    "idempotency": "idempotent",
}
UNSAFE = {
    "name": "pay",
    "deadline_us": 2 * S,
    "latency_objective_us": 500 * MS,
    "priority_weight": 10,
    "idempotency": "non_idempotent",
}
KEYED = {
    "name": "amend",
    "deadline_us": 4 * S,
    "latency_objective_us": 500 * MS,
    "priority_weight": 3,
    "idempotency": "keyed",
    "idempotency_scope": "cell",
    "idempotency_window_us": 2 * S,
}

_Kind = TypeVar("_Kind")


def settings(**changes: Any) -> Settings:
    """Return settings of a permissive deployment; `limits` and `rules` are merged, the rest replaced."""
    fields: dict[str, Any] = {
        "classes": [SAFE, UNSAFE, KEYED],
        "zone": "east",
        "tick_us": 5 * MS,
        "limits": {"max_attempts": 5, "hedging": True, "cancellation": True},
        "rules": {
            "warmup_start_ratio": 0.2,
            "warmup_us": 10 * S,
            "drain_grace_us": 500 * MS,
            "overload_multiple": 3,
            "overload_window_us": 2 * S,
            "poll_within_us": 10 * S,
        },
    }
    for key, value in changes.items():
        fields[key] = {**fields[key], **value} if isinstance(fields.get(key), dict) else value
    return Settings.from_mapping(fields)


def names(count: int) -> list[str]:
    """Return the names of so many servers."""
    return [f"10.0.0.{number}:80" for number in range(1, count + 1)]


class Stage:
    """Feeds events to one balancer in virtual time, microseconds; timers fire as time moves on."""

    def __init__(self, config: Settings | None = None, seed: int = 7, now: int = START) -> None:
        self.now = now
        self.balancer = Balancer(config or settings(), seed)
        self.log: list[tuple[int, Action]] = []
        self._timers: list[tuple[int, str]] = []
        self._next = 1

    def play(self, event: Event) -> list[Action]:
        """Feed an event; return and log the actions."""
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SetTimer):
                self._timers.append((self.now + action.in_us, action.token))
        return actions

    def servers(
        self, listed: Iterable[str | ServerDescription], kind: UpdateKind = UpdateKind.SNAPSHOT
    ) -> list[Action]:
        """Feed an update of the endpoint list; a name stands for a ready server in the own zone."""
        servers = [
            ServerDescription(server, zone="east") if isinstance(server, str) else server for server in listed
        ]
        return self.play(EndpointsUpdated(kind, servers, 1))

    def drain(self, server: str, state: ServerState = ServerState.DRAINING) -> list[Action]:
        """Feed a change of one server's state."""
        return self.servers([ServerDescription(server, zone="east", state=state)], UpdateKind.DELTA)

    def request(
        self,
        name: str = "look",
        remaining_us: int = 2 * S,
        cost_us: int | None = None,
        key: int | None = None,
        tenant: str | None = None,
    ) -> int:
        """Let a request arrive and return its number."""
        number, self._next = self._next, self._next + 1
        self.play(RequestArrived(number, name, tenant, key, remaining_us, cost_us))
        return number

    def end(
        self,
        request: int,
        outcome: Outcome = Outcome.DELIVERED,
        attempt: int | None = None,
        answered: bool | None = None,
        report: dict[str, float] | None = None,
    ) -> list[Action]:
        """End an attempt of a request, the last one unless `attempt` names another."""
        sends = self.sends(request)
        index = len(sends) - 1 if attempt is None else attempt
        sent_at, send = sends[index]
        is_answered = outcome is Outcome.DELIVERED if answered is None else answered
        took_us = self.now - sent_at
        return self.play(AttemptEnded(request, index, send.server, outcome, took_us, is_answered, report))

    def wait(self, span_us: int) -> None:
        """Let time pass; due timers fire on the way."""
        until = self.now + span_us
        while True:
            due = sorted(timer for timer in self._timers if timer[0] <= until)
            if not due:
                break
            self._timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.play(TimerFired(due[0][1]))
        self.now = until

    def sends(self, request: int | None = None) -> list[tuple[int, SendAttempt]]:
        """Return the attempts so far with their times, of one request or of all."""
        return [
            (at, action)
            for at, action in self.log
            if isinstance(action, SendAttempt) and (request is None or action.request == request)
        ]

    def target(self, request: int) -> str:
        """Return the server of a request's last attempt."""
        return self.sends(request)[-1][1].server

    def said(self, kind: type[_Kind]) -> list[_Kind]:
        """Return all actions of a type so far."""
        return [action for _, action in self.log if isinstance(action, kind)]

    def serve(
        self, count: int, every_us: int = 20 * MS, taking_us: int = 50 * MS, name: str = "look"
    ) -> None:
        """Let requests arrive at a steady rate, each answered after the same time."""
        pending: list[tuple[int, int]] = []
        for _ in range(count):
            self.wait(every_us)
            pending.append((self.now + taking_us, self.request(name)))
            while pending and pending[0][0] <= self.now:
                request = pending.pop(0)[1]
                if self.sends(request):
                    self.end(request)
        for _, request in pending:
            self.wait(every_us)
            if self.sends(request):
                self.end(request)


# Settings with health checks that report the load.
CHECKED = {
    "limits": {"health_checks": True},
    "report": {"source": "health_checks", "columns": ["inflight"]},
}


def answer_health_checks(stage: Stage, in_flight: dict[str, float], silent: str = "") -> None:
    """Answer the health checks sent at this moment, each with what its server has in flight."""
    stage.wait(2 * MS)
    checked = [
        action.server
        for at, action in stage.log
        if isinstance(action, CheckHealth) and at == stage.now - 2 * MS
    ]
    for server in checked:
        if server != silent:
            report = {"inflight": in_flight.get(server, 0.0)}
            stage.play(HealthCheckEnded(server, Outcome.DELIVERED, 2 * MS, report))


def two_zones() -> list[ServerDescription]:
    """Return six servers in two zones, three in the own one."""
    return [
        ServerDescription(name, zone="east" if index < 3 else "west") for index, name in enumerate(names(6))
    ]


def serve_singly(stage: Stage, count: int, taking_us: int = 50 * MS, every_us: int = 400 * MS) -> None:
    """Let requests arrive one at a time, each answered before the next arrives."""
    for _ in range(count):
        request = stage.request()
        stage.wait(taking_us)
        if stage.sends(request):
            stage.end(request)
        stage.wait(every_us - taking_us)
