"""The state that one balancer keeps for each server, and the table of servers on the endpoint list."""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from dataclasses import dataclass, field

from topazbank.balancing.context import DecisionContext
from topazbank.balancing.events import ServerState
from topazbank.estimation.load_gossip import server_tag

Flow = tuple[str, str | None]  # the class and tenant of a request


@dataclass(frozen=True, slots=True)
class RejectionBackoff:
    """How long requests of one flow avoid a server that rejected one of them."""

    until: int  # clock time
    rejections: int  # consecutive


@dataclass(slots=True, eq=False)
class Server:
    """One server as seen by this balancer.  Clock times are in microseconds."""

    name: str
    number: int  # assigned in order of first appearance
    order: float  # random sort key, drawn once: each balancer orders the servers differently
    gossip_tag: int  # identifies the server in gossip
    zone: str = ""
    cell: int = 0
    nominal_capacity: float = 1.0
    latency_ratio: float = 1.0  # response time relative to the usual; 0: not yet set from the capacity
    state: ServerState = ServerState.REMOVED
    started_at: int | None = None
    warming_since: int | None = None
    slow_start_tokens: float = 0.0  # while warming up: requests of mean cost that may be sent now
    slow_start_refilled_at: int = 0
    in_flight: int = 0  # this balancer's attempts
    in_objective: int = 0  # attempts in flight whose latency objective has not passed
    idle_connections: int = 0  # this balancer's estimate
    idle_since: int = 0
    close_idle_at: int = 0
    reported_in_flight: float | None = None  # from the last health check; None: it was not answered
    check_sent_at: int | None = None  # when the health check in flight was sent
    abandoned_until: list[int] = field(default_factory=list)  # when each abandoned attempt stops counting
    last_response_at: int = -1
    failures_in_row: int = 0
    connect_failures_in_row: int = 0
    error_score: float = 0.0  # recent errors, decaying with each response
    ejections: int = 0
    ejected_until: int | None = None  # None: not ejected
    backoffs: dict[Flow, RejectionBackoff] = field(default_factory=dict)
    on_probation: bool = False  # whether the one attempt that may end the ejection is in flight

    def load(self, now: int) -> int:
        """This balancer's attempts that may occupy the server, including abandoned ones.

        Abandoned attempts may still be running.  Without them a slow or hung server would look idle.
        """
        if self.abandoned_until:
            self.abandoned_until = [until for until in self.abandoned_until if until > now]
        return self.in_flight + len(self.abandoned_until)


class ServerTable:
    """The servers on the endpoint list, and removed servers that still have attempts in flight."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._zone = context.settings.zone
        self._last_number = 0
        self.by_name: dict[str, Server] = {}
        self.by_number: dict[int, Server] = {}
        self.ready: list[Server] = []  # sorted by `Server.order`
        self.ready_in_zone: list[Server] = []  # the ready servers in the local zone, in the same order
        self.ready_capacity = 0.0  # total nominal capacity of the ready servers
        self.removed: list[Server] = []  # had attempts or a health check in flight when last checked

    def get_or_add(self, name: str) -> Server:
        """Return the server with this name; add it if it is unknown."""
        server = self.by_name.get(name)
        if server is None:
            self._last_number += 1
            server = Server(name, self._last_number, self._context.random.random(), server_tag(name))
            self.by_name[name] = self.by_number[server.number] = server
        return server

    def add_ready(self, server: Server) -> None:
        """Add a server to the ready servers, in this balancer's server order."""
        self.ready_capacity += server.nominal_capacity
        for servers in self._ready_lists_for(server):
            servers.insert(_index_by_order(servers, server), server)

    def remove_ready(self, server: Server) -> None:
        """Remove a server from the ready servers."""
        self.ready_capacity -= server.nominal_capacity
        for servers in self._ready_lists_for(server):
            del servers[_index_by_order(servers, server)]

    def drop(self, server: Server) -> None:
        """Delete a removed server, or keep it in `removed` while an attempt or a health check is in flight."""
        if not server.load(self._context.now) and server.check_sent_at is None:
            del self.by_name[server.name], self.by_number[server.number]
        else:
            self.removed.append(server)

    def missing_from(self, listed: Iterable[str]) -> set[str]:
        """Names of known servers that are absent from a snapshot of the endpoint list."""
        return self.by_name.keys() - set(listed)

    def mean_ready_capacity(self) -> float:
        """Mean nominal capacity of the ready servers; 0 if there are none."""
        return self.ready_capacity / max(len(self.ready), 1)

    def _ready_lists_for(self, server: Server) -> tuple[list[Server], ...]:
        return (self.ready, self.ready_in_zone) if server.zone == self._zone else (self.ready,)


def _index_by_order(servers: list[Server], server: Server) -> int:
    return bisect.bisect_left(servers, server.order, key=_order_of)


def _order_of(server: Server) -> float:
    return server.order
