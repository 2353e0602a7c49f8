"""What one balancer knows of each server, and the table of those on the endpoint list."""

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
    """How long requests of one flow avoid a server that rejected one."""

    until: int  # clock time
    rejections: int  # in a row


@dataclass(slots=True, eq=False)
class Server:
    """One server as this balancer sees it.  Clock times are microseconds."""

    name: str
    number: int  # in order of first appearance
    order: float  # random, drawn once: this balancer's own order of the servers
    gossip_tag: int  # names it in gossip
    zone: str = ""
    cell: int = 0
    nominal_capacity: float = 1.0
    latency_ratio: float = 1.0  # how long it takes, relative to the usual; 0: to be set by its capacity
    state: ServerState = ServerState.REMOVED
    started_at: int | None = None
    warming_since: int | None = None
    slow_start_tokens: float = 0.0  # while it warms up: requests of mean cost that may be sent now
    slow_start_refilled_at: int = 0
    in_flight: int = 0  # this balancer's own attempts
    in_objective: int = 0  # of these, the ones whose latency objective has not passed
    idle_connections: int = 0  # by this balancer's own reckoning
    idle_since: int = 0
    close_idle_at: int = 0
    reported_in_flight: float | None = None  # by its last health check; None: that was not answered
    check_sent_at: int | None = None  # when the health check in flight was sent
    abandoned_until: list[int] = field(default_factory=list)  # for each abandoned attempt that still counts
    last_response_at: int = -1
    failures_in_row: int = 0
    connect_failures_in_row: int = 0
    error_score: float = 0.0  # recent errors, decaying with each response
    ejections: int = 0
    ejected_until: int | None = None  # None: not ejected
    backoffs: dict[Flow, RejectionBackoff] = field(default_factory=dict)
    on_probation: bool = False  # whether a single attempt that may bring it back is in flight

    def load(self, now: int) -> int:
        """This balancer's attempts that may occupy the server, abandoned ones included.

        Guards against a slow or hung server that looks empty because the attempts there were abandoned: they may
        well still run.
        """
        if self.abandoned_until:
            self.abandoned_until = [until for until in self.abandoned_until if until > now]
        return self.in_flight + len(self.abandoned_until)


class ServerTable:
    """The servers on the endpoint list, and removed ones to which attempts are still in flight."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._zone = context.settings.zone
        self._numbers = 0
        self.by_name: dict[str, Server] = {}
        self.by_number: dict[int, Server] = {}
        self.ready: list[Server] = []  # in this balancer's own order
        self.ready_in_zone: list[Server] = []  # of these, the ones in its own zone
        self.ready_capacity = 0.0  # nominal, of all ready servers
        self.removed: list[Server] = []  # with attempts in flight when they were last looked at

    def get_or_add(self, name: str) -> Server:
        """The server of this name, added if it is new."""
        server = self.by_name.get(name)
        if server is None:
            self._numbers += 1
            server = Server(name, self._numbers, self._context.random.random(), server_tag(name))
            self.by_name[name] = self.by_number[server.number] = server
        return server

    def add_ready(self, server: Server) -> None:
        """Put a server among the ready ones, in this balancer's own order."""
        self.ready_capacity += server.nominal_capacity
        for servers in self._lists_of(server):
            servers.insert(_position(servers, server), server)

    def remove_ready(self, server: Server) -> None:
        """Take a server out of the ready ones."""
        self.ready_capacity -= server.nominal_capacity
        for servers in self._lists_of(server):
            del servers[_position(servers, server)]

    def drop(self, server: Server) -> None:
        """Drop a removed server once nothing is in flight to it; until then it is kept for what is."""
        if not server.load(self._context.now) and server.check_sent_at is None:
            del self.by_name[server.name], self.by_number[server.number]
        else:
            self.removed.append(server)

    def missing_from(self, listed: Iterable[str]) -> set[str]:
        """Names of known servers that a snapshot of the endpoint list does not have."""
        return self.by_name.keys() - set(listed)

    def mean_ready_capacity(self) -> float:
        """Nominal capacity of the ready servers, in the mean; 0 where there is none."""
        return self.ready_capacity / max(len(self.ready), 1)

    def _lists_of(self, server: Server) -> tuple[list[Server], ...]:
        return (self.ready, self.ready_in_zone) if server.zone == self._zone else (self.ready,)


def _position(servers: list[Server], server: Server) -> int:
    return bisect.bisect_left(servers, server.order, key=_order_of)


def _order_of(server: Server) -> float:
    return server.order
