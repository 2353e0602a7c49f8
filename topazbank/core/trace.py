"""A trace of what a sidecar decided, event by event, for later analysis: one line of JSON each, beside the log.

Off unless the operator file asks for it (`[trace]`).  No line holds a request's content, id or key; requests go by the
sidecar's own numbers.  A line is a list: its kind, the clock time in microseconds, and the fields in `FIELDS`.
The lines of one second are bounded; how many were dropped beyond that stands before the next second's lines.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Sequence
from typing import Any, Final

from topazbank.balancing.actions import (
    Action,
    CheckHealth,
    CloseIdleConnections,
    Fail,
    Reject,
    SendAttempt,
    SendGossip,
    WatchEndpoints,
)
from topazbank.balancing.balancer import Balancer
from topazbank.balancing.events import (
    AttemptEnded,
    EndpointsUpdated,
    Event,
    HealthCheckEnded,
    RequestArrived,
    RequestCancelled,
    ServerState,
)

MARK: Final = "@"  # begins each line, and no line of the log
VERSION: Final = 1
# By the kind of a line; these names are the trace's own format.
FIELDS: Final = {
    # Of each class its name, priority weight and latency objective (microseconds); the group is the fleet's sidecars.
    "start": ("version", "classes", "group"),
    "arrived": ("request", "class", "tenant", "again", "remaining_us"),
    "gone": ("request",),
    "ended": ("request", "attempt", "server", "outcome", "elapsed_us", "answered"),
    "send": ("request", "server", "cold", "busy"),  # as `server_state` returns them, this attempt included
    "refuse": ("request", "view"),
    "fail": ("request", "view"),
    "probe": ("server",),
    "probed": ("server", "outcome", "elapsed_us", "report"),
    "tell": ("bytes",),
    "follow": (),
    "listed": ("kind", "lines", "ready"),
    "close": ("server",),
    "dropped": ("lines",),  # in the second before, beyond the bound
}


def beliefs(balancer: Balancer) -> dict[str, float | None]:
    """The balancer's estimates now."""
    snapshot = balancer.snapshot()
    found = {
        "window": snapshot.concurrency_limit if snapshot.concurrency_limit < 1e9 else None,
        "load": snapshot.in_objective,
        "mean": snapshot.mean_in_objective,
        "over": snapshot.slow_share,
        "hopeless": snapshot.overload_share,
        "spent": snapshot.median_ratio,
        "late": snapshot.late_share,
        "floor": snapshot.floor_ratio,
        "cores": snapshot.cpu_utilization,
        "reach": snapshot.subset_size,
        "ready": snapshot.ready,
        "ejected": snapshot.ejected,
    }
    return {name: None if value is None else round(value, 3) for name, value in found.items()}


def server_state(balancer: Balancer, name: str) -> tuple[bool, int]:
    """Whether a server is warming up, and how many of this sidecar's requests are in flight there."""
    server = balancer.server(name)
    return (False, 0) if server is None else (server.is_warming, server.load)


def to_stderr(text: str) -> None:
    """Write beside the log, unbuffered: a sidecar may be killed."""
    sys.stderr.write(text)
    sys.stderr.flush()


class Trace:
    """Writes the trace, at most `lines_per_second` lines a second."""

    def __init__(
        self, balancer: Balancer, lines_per_second: int, write: Callable[[str], None] = to_stderr
    ) -> None:
        self._balancer = balancer
        self._lines_per_second = lines_per_second
        self._write = write
        self._second = 0
        self._lines = 0  # in this second

    def record_start(self, now: int, classes: Sequence[tuple[str, float, int]], fleet_size: int) -> None:
        """Write the first line; `classes`: name, priority weight and latency objective (microseconds) of each."""
        self._line("start", now, VERSION, [list(each) for each in classes], fleet_size)

    def record(self, now: int, event: Event, actions: Sequence[Action]) -> None:
        """Write an event and what was decided on it; `now`: microseconds."""
        self._record_event(now, event)
        for action in actions:
            self._record_action(now, action)

    def _record_event(self, now: int, event: Event) -> None:
        if isinstance(event, RequestArrived):
            self._line(
                "arrived",
                now,
                event.request,
                event.request_class,
                event.tenant,
                event.client_retry,
                event.remaining_us,
            )
        elif isinstance(event, AttemptEnded):
            self._line(
                "ended",
                now,
                event.request,
                event.attempt,
                event.server,
                event.outcome.value,
                event.elapsed_us,
                event.answered,
            )
        elif isinstance(event, RequestCancelled):
            self._line("gone", now, event.request)
        elif isinstance(event, HealthCheckEnded):
            self._line("probed", now, event.server, event.outcome.value, event.elapsed_us, event.report)
        elif isinstance(event, EndpointsUpdated):
            ready = sum(server.state is ServerState.READY for server in event.servers)
            self._line("listed", now, event.kind.value, len(event.servers), ready)

    def _record_action(self, now: int, action: Action) -> None:
        if isinstance(action, SendAttempt):
            self._line(
                "send", now, action.request, action.server, *server_state(self._balancer, action.server)
            )
        elif isinstance(action, Reject):
            self._line("refuse", now, action.request, beliefs(self._balancer))
        elif isinstance(action, Fail):
            self._line("fail", now, action.request, beliefs(self._balancer))
        elif isinstance(action, CheckHealth):
            self._line("probe", now, action.server)
        elif isinstance(action, SendGossip):
            self._line("tell", now, len(action.payload))
        elif isinstance(action, WatchEndpoints):
            self._line("follow", now)
        elif isinstance(action, CloseIdleConnections):
            self._line("close", now, action.server)

    def _line(self, kind: str, now: int, *fields: Any) -> None:
        second = now // 1_000_000
        if second != self._second:
            dropped = self._lines - self._lines_per_second
            self._second, self._lines = second, 0
            if dropped > 0:
                self._write(MARK + json.dumps(["dropped", now, dropped]) + "\n")
        self._lines += 1
        if self._lines <= self._lines_per_second:
            self._write(MARK + json.dumps([kind, now, *fields], separators=(",", ":")) + "\n")
