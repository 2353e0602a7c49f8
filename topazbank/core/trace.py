"""A trace of a sidecar's events and decisions for later analysis, one JSON line each, written next to the log.

The trace is off unless the operator file enables it (`[trace]`).  No line contains a request's content, id or key;
requests are identified by the sidecar's own numbers.  Each line is a list: its kind, the clock time in microseconds,
and the fields listed in `FIELDS`.  The number of lines per second is limited.  If lines were dropped, a line with their
count precedes the lines of the next second.
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

LINE_PREFIX: Final = "@"  # starts each trace line; no log line starts with it
VERSION: Final = 1
# Fields by kind of line.  Kinds and field names are part of the trace format.
FIELDS: Final = {
    # "classes": name, priority weight and latency objective (microseconds) of each class; "group": the fleet size.
    "start": ("version", "classes", "group"),
    "arrived": ("request", "class", "tenant", "again", "remaining_us"),
    "gone": ("request",),
    "ended": ("request", "attempt", "server", "outcome", "elapsed_us", "answered"),
    "send": ("request", "server", "cold", "busy"),  # last two: `warmup_and_load`, including this attempt
    "refuse": ("request", "view"),
    "fail": ("request", "view"),
    "probe": ("server",),
    "probed": ("server", "outcome", "elapsed_us", "report"),
    "tell": ("bytes",),
    "follow": (),
    "listed": ("kind", "lines", "ready"),
    "close": ("server",),
    "dropped": ("lines",),  # lines over the limit in the previous second
}


def balancer_estimates(balancer: Balancer) -> dict[str, float | None]:
    """Return the balancer's current estimates, by their names in the trace."""
    snapshot = balancer.snapshot()
    estimates = {
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
    return {name: None if value is None else round(value, 3) for name, value in estimates.items()}


def warmup_and_load(balancer: Balancer, name: str) -> tuple[bool, int]:
    """Return whether a server is warming up, and how many of this sidecar's requests are in flight at it."""
    server = balancer.server(name)
    return (False, 0) if server is None else (server.is_warming, server.load)


def write_to_stderr(text: str) -> None:
    """Write to standard error, next to the log; flush, because a sidecar may be killed."""
    sys.stderr.write(text)
    sys.stderr.flush()


class Trace:
    """Writes the trace, with at most `lines_per_second` lines per second."""

    def __init__(
        self, balancer: Balancer, lines_per_second: int, write: Callable[[str], None] = write_to_stderr
    ) -> None:
        self._balancer = balancer
        self._lines_per_second = lines_per_second
        self._write = write
        self._current_second = 0
        self._line_count = 0  # in the current second, dropped ones included

    def record_start(self, now: int, classes: Sequence[tuple[str, float, int]], fleet_size: int) -> None:
        """Write the first line; `classes`: name, priority weight and latency objective (microseconds) of each class."""
        self._write_line(
            "start", now, VERSION, [list(request_class) for request_class in classes], fleet_size
        )

    def record(self, now: int, event: Event, actions: Sequence[Action]) -> None:
        """Write an event and the actions that the balancer returned for it; `now`: microseconds."""
        self._record_event(now, event)
        for action in actions:
            self._record_action(now, action)

    def _record_event(self, now: int, event: Event) -> None:
        if isinstance(event, RequestArrived):
            self._write_line(
                "arrived",
                now,
                event.request,
                event.request_class,
                event.tenant,
                event.client_retry,
                event.remaining_us,
            )
        elif isinstance(event, AttemptEnded):
            self._write_line(
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
            self._write_line("gone", now, event.request)
        elif isinstance(event, HealthCheckEnded):
            self._write_line("probed", now, event.server, event.outcome.value, event.elapsed_us, event.report)
        elif isinstance(event, EndpointsUpdated):
            ready = sum(server.state is ServerState.READY for server in event.servers)
            self._write_line("listed", now, event.kind.value, len(event.servers), ready)

    def _record_action(self, now: int, action: Action) -> None:
        if isinstance(action, SendAttempt):
            self._write_line(
                "send", now, action.request, action.server, *warmup_and_load(self._balancer, action.server)
            )
        elif isinstance(action, Reject):
            self._write_line("refuse", now, action.request, balancer_estimates(self._balancer))
        elif isinstance(action, Fail):
            self._write_line("fail", now, action.request, balancer_estimates(self._balancer))
        elif isinstance(action, CheckHealth):
            self._write_line("probe", now, action.server)
        elif isinstance(action, SendGossip):
            self._write_line("tell", now, len(action.payload))
        elif isinstance(action, WatchEndpoints):
            self._write_line("follow", now)
        elif isinstance(action, CloseIdleConnections):
            self._write_line("close", now, action.server)

    def _write_line(self, kind: str, now: int, *fields: Any) -> None:
        second = now // 1_000_000
        if second != self._current_second:
            dropped = self._line_count - self._lines_per_second
            self._current_second, self._line_count = second, 0
            if dropped > 0:
                self._write(LINE_PREFIX + json.dumps(["dropped", now, dropped]) + "\n")
        self._line_count += 1
        if self._line_count <= self._lines_per_second:
            self._write(LINE_PREFIX + json.dumps([kind, now, *fields], separators=(",", ":")) + "\n")
