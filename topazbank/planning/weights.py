"""The routing weights of servers: each one's share of the next requests; no I/O, times in microseconds.

The requests expected within HORIZON_US are assigned, one portion at a time, to the server with the shortest expected
response time, given its requests in flight and the portions already assigned to it.  A server's speed is corrected by
its observed response times, relative to those expected from its weight and load.

The horizon is deliberately longer than the reporting period.  With a shorter one, all requests of a period would go to
the servers whose last report showed little load (herding; Mitzenmacher, How useful is old information?, 2000).
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping

from topazbank.planning.plan import US_PER_S
from topazbank.planning.server_model import PlannedServer, ServerStats

RECALCULATION_US = US_PER_S // 20
HORIZON_US = US_PER_S
PORTIONS = 128  # number of parts that the expected requests are divided into
WEIGHT_RATIO_MIN = 0.05  # minimum, relative to a server's proportional share; keeps its statistics current
_UNIT_TIME_US_DEFAULT = 0.1 * US_PER_S
_TOTAL_CAPACITY_MIN = 1e-9  # avoids division by zero


class ServerWeights:
    """The servers of the endpoint list, their statistics and their weights."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerStats] = {}
        self.weights: dict[str, float] = {}
        self.waits: dict[str, float] = {}  # of one more request, relative to a lone request at weight 1
        self._unit_time_us = _UNIT_TIME_US_DEFAULT  # response time of a lone request at weight 1
        self._recalculated_at_us = 0

    def update_servers(self, now: int, servers: Mapping[str, PlannedServer]) -> None:
        """Replace the ready servers; a changed entry is a new process, and starts without statistics."""
        for name in self.servers.keys() - servers.keys():
            del self.servers[name]
        for name, server in servers.items():
            stats = self.servers.get(name)
            if stats is None or stats.server != server:
                self.servers[name] = ServerStats(server, decayed_at_us=now)

    def forget_forwarder(self, forwarder: str) -> None:
        """Remove a forwarder's ejections."""
        for stats in self.servers.values():
            stats.ejected_by.discard(forwarder)

    def is_due(self, now: int) -> bool:
        """Whether the weights are due for recalculation."""
        return now >= self._recalculated_at_us + RECALCULATION_US

    def recalculate(self, now: int, requests_per_second: float, forwarders: int) -> None:
        """Calculate all weights for this request rate; `forwarders`: the number of known forwarders."""
        self._recalculated_at_us = now
        self._update_speeds(now)
        usable = {
            name: stats
            for name, stats in self.servers.items()
            # Ejected by at most half of the forwarders; their probe requests detect its recovery.
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
        """Assign the expected requests, portion by portion, to the server with the shortest wait at that point."""
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
