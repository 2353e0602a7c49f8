"""What a sidecar decided, event by event, for accounts made afterwards: one line of JSON each, beside the log.

Off unless the operator file asks for it (`[trace]`).  No request's content, id or key is in a line; requests go by the
sidecar's own numbers.  A line is a list whose first entry says what it is, and whose second is the clock time in
microseconds; `FIELDS` names the rest.  The lines of one second are bounded: beyond that they are counted, and the count
is the next line's business.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Sequence
from typing import Any

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
    UpdateKind,
)

MARK = "@"  # begins each line, so that they are told from the log's
VERSION = 1
FIELDS = {
    "start": ("version", "classes", "group"),  # classes: name, worth, aim in microseconds
    "arrived": ("request", "class", "tenant", "again", "remaining_us"),
    "gone": ("request",),
    "ended": ("request", "attempt", "server", "outcome", "elapsed_us", "answered"),
    "send": ("request", "server", "cold", "busy"),  # as `standing` gives them, the attempt counted
    "refuse": ("request", "view"),
    "fail": ("request", "view"),
    "probe": ("server",),
    "probed": ("server", "outcome", "elapsed_us", "report"),
    "tell": ("bytes",),
    "follow": (),
    "listed": ("kind", "lines", "ready"),
    "close": ("server",),
    "dropped": ("lines",),  # of the second before: more than the bound
}


def view(balancer: Balancer) -> dict[str, float | None]:
    """The decision module's beliefs of now, by the names that records have."""
    snapshot = balancer.snapshot()
    found = {
        "window": snapshot.concurrency_limit if snapshot.concurrency_limit < 1e9 else None,
        "load": snapshot.in_objective,
        "mean": snapshot.mean_in_objective,
        "over": snapshot.over_level_ratio,
        "hopeless": snapshot.hopeless_ratio,
        "spent": snapshot.median_spent_ratio,
        "late": snapshot.late_ratio,
        "floor": snapshot.unloaded_spent_ratio,
        "cores": snapshot.cpu_ratio,
        "reach": snapshot.subset_size,
        "ready": snapshot.ready,
        "ejected": snapshot.ejected,
    }
    return {name: None if value is None else round(value, 3) for name, value in found.items()}


def standing(balancer: Balancer, name: str) -> tuple[bool, int]:
    """Of a server: whether it is warming up, and the own requests that it holds, one just sent among them."""
    server = balancer.server(name)
    return (False, 0) if server is None else (server.is_warming, server.load)


def to_stderr(text: str) -> None:
    """Beside the log, and at once: a sidecar may be killed."""
    sys.stderr.write(text)
    sys.stderr.flush()


class Trace:
    """Writes what happened; `lines_per_second` bounds it."""

    def __init__(
        self, balancer: Balancer, lines_per_second: int, write: Callable[[str], None] = to_stderr
    ) -> None:
        self._balancer = balancer
        self._most = lines_per_second
        self._write = write
        self._second = 0
        self._lines = 0

    def record_start(self, now: int, classes: Sequence[tuple[str, float, int]], group: int) -> None:
        self._line("start", now, VERSION, [list(each) for each in classes], group)

    def record(self, now: int, event: Event, actions: Sequence[Action]) -> None:
        """Note an event and what was decided on it."""
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
            ready = sum(each.state is ServerState.READY for each in event.servers)
            kind = "failed" if event.kind is UpdateKind.FAILED else event.kind.value
            self._line("listed", now, kind, len(event.servers), ready)
        for action in actions:
            self._decided(now, action)

    def _decided(self, now: int, action: Action) -> None:
        if isinstance(action, SendAttempt):
            self._line("send", now, action.request, action.server, *standing(self._balancer, action.server))
        elif isinstance(action, Reject | Fail):
            what = "refuse" if isinstance(action, Reject) else "fail"
            self._line(what, now, action.request, view(self._balancer))
        elif isinstance(action, CheckHealth):
            self._line("probe", now, action.server)
        elif isinstance(action, SendGossip):
            self._line("tell", now, len(action.payload))
        elif isinstance(action, WatchEndpoints):
            self._line("follow", now)
        elif isinstance(action, CloseIdleConnections):
            self._line("close", now, action.server)

    def _line(self, what: str, now: int, *fields: Any) -> None:
        second = now // 1_000_000
        if second != self._second:
            over = self._lines - self._most
            self._second, self._lines = second, 0
            if over > 0:
                self._write(MARK + json.dumps(["dropped", now, over]) + "\n")
        self._lines += 1
        if self._lines <= self._most:
            self._write(MARK + json.dumps([what, now, *fields], separators=(",", ":")) + "\n")
