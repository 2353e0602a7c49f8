"""The routing weights of servers: how many of the next requests each is to get; no I/O, times in microseconds.

The requests expected within HORIZON_US are assigned one portion at a time to the server that would answer soonest,
given what it has in flight and what was assigned to it before.  A server's speed is corrected by how long requests take
there compared with what its weight and its load lead one to expect.

The horizon is longer than the period of reports on purpose: with a shorter one all requests of a period would go where
one report showed little load (herding; Mitzenmacher, How useful is old information?, 2000).
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping

from topazbank.planning.plan import US_PER_S
from topazbank.planning.server_model import PlannedServer, ServerStats

RECALCULATION_US = US_PER_S // 20
HORIZON_US = US_PER_S
PORTIONS = 128  # into which the expected requests are divided
WEIGHT_RATIO_MIN = 0.05  # of its proportional share, so that what is known of a server stays current
_UNIT_TIME_US_DEFAULT = 0.1 * US_PER_S
_TOTAL_CAPACITY_MIN = 1e-9  # against division by zero


class ServerWeights:
    """The servers of the endpoint list, their statistics and their weights."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerStats] = {}
        self.weights: dict[str, float] = {}
        self.waits: dict[str, float] = {}  # of one more request, relative to one alone at weight 1
        self._unit_time_us = _UNIT_TIME_US_DEFAULT  # of a request alone at a server of weight 1
        self._recalculated_at_us = 0

    def update_servers(self, now: int, servers: Mapping[str, PlannedServer]) -> None:
        """Take the ready servers; one whose entry has changed is another process and starts without statistics."""
        for name in self.servers.keys() - servers.keys():
            del self.servers[name]
        for name, server in servers.items():
            stats = self.servers.get(name)
            if stats is None or stats.server != server:
                self.servers[name] = ServerStats(server, decayed_at_us=now)

    def forget_forwarder(self, forwarder: str) -> None:
        """A forwarder's ejections no longer count."""
        for stats in self.servers.values():
            stats.ejected_by.discard(forwarder)

    def is_due(self, now: int) -> bool:
        """Whether the weights are old enough to be calculated again."""
        return now >= self._recalculated_at_us + RECALCULATION_US

    def recalculate(self, now: int, requests_per_second: float, forwarders: int) -> None:
        """Calculate all weights for this rate of requests; `forwarders`: how many may have ejected a server."""
        self._recalculated_at_us = now
        self._update_speeds(now)
        usable = {
            name: stats
            for name, stats in self.servers.items()
            # Ejected by no more than half of the forwarders; their own trial requests find out when it is back.
            if 2 * len(stats.ejected_by) <= max(forwarders, 1)
        }
        expected = max(requests_per_second * HORIZON_US / US_PER_S, 1.0)
        assigned = self._assign(now, usable, expected)
        total = max(sum(stats.capacity() for stats in self.servers.values()), _TOTAL_CAPACITY_MIN)
        self.weights = {
            name: max(assigned[name], WEIGHT_RATIO_MIN * expected * stats.capacity() / total)
            if name in usable
            else 0.0
            for name, stats in self.servers.items()
        }

    def _assign(self, now: int, usable: Mapping[str, ServerStats], expected: float) -> dict[str, float]:
        """Assign the expected requests, portion by portion, to the server with the shortest wait then."""
        in_flight = {name: stats.in_flight_now(now, self._unit_time_us) for name, stats in usable.items()}
        self.waits = {name: stats.wait(in_flight[name]) for name, stats in usable.items()}
        assigned = dict.fromkeys(usable, 0.0)
        by_wait = [(wait, name) for name, wait in self.waits.items()]
        heapq.heapify(by_wait)
        portion = expected / PORTIONS
        for _ in range(PORTIONS if by_wait else 0):
            _, name = by_wait[0]
            assigned[name] += portion
            in_flight[name] += portion
            heapq.heapreplace(by_wait, (usable[name].wait(in_flight[name]), name))
        return assigned

    def _update_speeds(self, now: int) -> None:
        expected_waits = response_time_us = 0.0
        for stats in self.servers.values():
            stats.decay(now)
            stats.update_warmup(now)
            expected_waits += stats.expected_waits
            response_time_us += stats.response_time_us
        if expected_waits <= 0.0:
            return
        self._unit_time_us = response_time_us / expected_waits
        for stats in self.servers.values():
            stats.correct(self._unit_time_us)
