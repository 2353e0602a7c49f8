"""A planner's decisions: plans from summary reports; no I/O, times in microseconds.

A planner's only state is the endpoint list and the newest summaries, so a new planner is up to date after one round of
summaries.  In a fleet of many forwarders, each observes only a small part of the servers' load.  A plan therefore holds

- *weights* for distributing requests, the same for all forwarders (topazbank.planning.weights);
- a *subset* of the servers for each forwarder (topazbank.planning.subset);
- *in-flight limits* and *slow-start ratios* in proportion to the requests that the forwarder receives.

docs/design/planning.md compares this design with alternatives.
"""

from __future__ import annotations

from collections.abc import Mapping

from topazbank.planning.forwarder_table import ForwarderState, ForwarderTable, SummaryRateLimit
from topazbank.planning.plan import LEASE_US_MAX, LEASE_US_MIN, US_PER_S, Plan, ServerShare
from topazbank.planning.server_model import AVERAGING_US, PlannedServer, ServerStats
from topazbank.planning.subset import choose_subset
from topazbank.planning.summary import QuantileSketch, SummaryReport
from topazbank.planning.weights import ServerWeights

# Two plans may be lost before confidence falls; a longer lease would keep an unrenewed plan in use for too long.
LEASE_PERIODS = 6.0
# Some requests never follow a plan, so that the forwarders' local statistics stay current.
CONFIDENCE_MAX = 0.9
FULL_CONFIDENCE_PERIOD_US = 3 * US_PER_S // 20  # with a longer period plans are older, so confidence is lower
IN_FLIGHT_SLACK_RATIO = 3.0  # a forwarder's limit, relative to its proportional part of those in flight
IN_FLIGHT_LIMIT_MIN = 2.0
_SERVER_IN_FLIGHT_MIN = 8.0  # a lower reported load does not lower the limit further


class Planner:
    """Makes plans while it leads; a standby records the same summaries and returns no plans."""

    def __init__(self, name: str, seed: str = "") -> None:
        """`seed` determines the subsets; all planners of a fleet share it."""
        self.name = name
        self.epoch: int | None = None  # set while it leads
        self.highest_epoch = -1  # the highest reported by a forwarder
        self.summaries_shed = 0
        self.response_times = QuantileSketch()  # reported by all forwarders since the last `status`
        self._seed = seed
        self._forwarders = ForwarderTable()
        self._weights = ServerWeights()
        self._rate_limit = SummaryRateLimit()
        self._summary_received_at_us = -1  # arrival of the newest summary

    # -- Leadership ------------------------------------------------------------------------------------

    def start_leading(self, epoch: int) -> None:
        """Start to make plans, under this epoch."""
        self.epoch = epoch

    def stop_leading(self) -> None:
        """Stop making plans."""
        self.epoch = None

    # -- Input -----------------------------------------------------------------------------------------

    def update_servers(self, now: int, servers: Mapping[str, PlannedServer]) -> None:
        """Replace the servers by those that are ready in the endpoint list."""
        self._weights.update_servers(now, servers)
        self._update_weights(now)

    def handle_summary(self, now: int, summary: SummaryReport) -> Plan | None:
        """Record a summary; return the forwarder's plan, or None if this planner does not lead or sheds the summary."""
        self._observe_epoch(summary.epoch)
        forwarder = self._admit(now, summary)
        if forwarder is None:
            self.summaries_shed += 1
            return None
        ended = self._forwarders.remove_ended(now, summary.forwarder, summary.generations)
        self._forget_ejections(ended)
        is_duplicate = (summary.incarnation, summary.number) == (forwarder.incarnation, forwarder.number)
        if not is_duplicate:
            self._record(now, summary, forwarder)
        return self._make_plan(now, summary, forwarder)

    def summary_period_us(self) -> int:
        """The period at which forwarders should send summaries."""
        return self._forwarders.summary_period_us()

    def _observe_epoch(self, epoch: int) -> None:
        """Stop leading on an epoch higher than this planner's: another planner was elected later."""
        self.highest_epoch = max(self.highest_epoch, epoch)
        if self.epoch is not None and self.highest_epoch > self.epoch:
            self.stop_leading()

    def _admit(self, now: int, summary: SummaryReport) -> ForwarderState | None:
        """The state of the summary's forwarder; None if the summary is shed."""
        if not self._rate_limit.admit(now):
            return None
        self._forget_ejections(self._forwarders.expire(now))
        return self._forwarders.get_or_add(summary.forwarder)

    def _forget_ejections(self, forwarders: list[str]) -> None:
        for name in forwarders:
            self._weights.forget_forwarder(name)

    def _record(self, now: int, summary: SummaryReport, forwarder: ForwarderState) -> None:
        if not forwarder.update(now, summary):
            return
        self._summary_received_at_us = now
        self.response_times.merge(summary.response_times)
        servers = self._weights.servers
        for name in forwarder.servers - summary.servers.keys():
            if name in servers:
                servers[name].ejected_by.discard(summary.forwarder)
        forwarder.servers = frozenset(summary.servers)
        for name, usage in summary.servers.items():
            if name in servers:
                servers[name].record(now, summary.forwarder, usage)

    def _update_weights(self, now: int) -> None:
        self._weights.recalculate(now, self._forwarders.requests_per_second(), len(self._forwarders))

    # -- Plans -----------------------------------------------------------------------------------------

    def _make_plan(self, now: int, summary: SummaryReport, forwarder: ForwarderState) -> Plan | None:
        if self.epoch is None or not self._weights.servers:
            return None
        if self._weights.is_due(now):
            self._update_weights(now)
        shares = self._shares(now, summary.forwarder, forwarder)
        follows_this_planner = summary.epoch == self.epoch and summary.planner == self.name
        base_sequence = None
        if follows_this_planner and summary.sequence == forwarder.sequence:
            base_sequence = forwarder.sequence
        changes = _changed_shares(forwarder.shares, shares) if base_sequence is not None else dict(shares)
        # The sequence must also exceed the followed one, which an earlier process of this planner may have sent.
        followed_sequence = summary.sequence if follows_this_planner else -1
        forwarder.sequence = max(forwarder.sequence, followed_sequence) + 1
        forwarder.shares = shares
        period_us = self.summary_period_us()
        forwarder.lease_us = max(LEASE_US_MIN, min(int(LEASE_PERIODS * period_us), LEASE_US_MAX))
        return Plan(
            summary.forwarder,
            summary.incarnation,
            self.epoch,
            self.name,
            forwarder.sequence,
            forwarder.lease_us,
            max(now - self._summary_received_at_us, 0),
            changes,
            base_sequence,
            min(CONFIDENCE_MAX, FULL_CONFIDENCE_PERIOD_US / period_us),
        )

    def _shares(self, now: int, name: str, forwarder: ForwarderState) -> dict[str, ServerShare]:
        request_ratio = self._forwarders.share_of_requests(forwarder)
        return {
            server: self._share(server, self._weights.servers[server], request_ratio)
            for server in self._subset(name)
        }

    def _share(self, name: str, stats: ServerStats, request_ratio: float) -> ServerShare:
        in_flight = max(stats.in_flight, _SERVER_IN_FLIGHT_MIN)
        in_flight_limit = max(IN_FLIGHT_LIMIT_MIN, IN_FLIGHT_SLACK_RATIO * request_ratio * in_flight)
        # A forwarder's slow-start limit is already in proportion to its requests.  A ratio below 1 makes all forwarders
        # send less to an overloaded cold server.
        slow_start_ratio = 1.0
        if stats.warmup_ratio < 1.0:
            slow_start_ratio = min(1.0, stats.concurrency / max(stats.in_flight, 1.0))
        return ServerShare(
            round(self._weights.weights.get(name, 0.0), 4),
            round(self._weights.waits.get(name, 0.0), 4),
            round(in_flight_limit, 1),
            round(slow_start_ratio, 4),
        )

    def _subset(self, forwarder: str) -> list[str]:
        return choose_subset(forwarder, self._weights.servers, self._seed)

    # -- Status ----------------------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, object]:
        """This planner's status as plain data; recorded runs use the same keys, so they must not change."""
        times, self.response_times = self.response_times, QuantileSketch()
        return {
            "planner": self.name,
            "epoch": self.epoch,
            "highest_epoch_seen": self.highest_epoch,
            "forwarders": len(self._forwarders),
            "period_us": self.summary_period_us(),
            "summaries_shed": self.summaries_shed,
            "p50_us": times.quantile(0.5),
            "p99_us": times.quantile(0.99),
            "nodes": [
                self._server_status(now, name, stats) for name, stats in sorted(self._weights.servers.items())
            ],
        }

    def _server_status(self, now: int, name: str, stats: ServerStats) -> dict[str, object]:
        return {
            "name": name,
            "odds": round(self._weights.weights.get(name, 0.0), 4),
            "nominal": stats.server.weight,
            "factor": round(stats.correction, 4),
            "capacity": round(stats.capacity(), 4),
            "held": stats.in_flight,
            "answered_a_second": round(stats.responses / (AVERAGING_US / US_PER_S), 3),
            "ejected_by": len(stats.ejected_by),
            "cold": now < stats.server.warm_at_us,
        }


def _changed_shares(
    former: Mapping[str, ServerShare], current: Mapping[str, ServerShare]
) -> dict[str, ServerShare | None]:
    """The shares that differ; None for a server that was removed from the plan."""
    changes: dict[str, ServerShare | None] = {
        name: share for name, share in current.items() if former.get(name) != share
    }
    return changes | dict.fromkeys(former.keys() - current.keys())
