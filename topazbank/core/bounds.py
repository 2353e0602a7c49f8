"""Upper bounds on what an entire fleet of sidecars opens, sends and polls, as formulas in its size; no I/O.

Each function names the owner of its bound: the code that enforces it.  docs/design/size.md derives the formulas.
Assumption: each sidecar gets the same rate of requests, at random times.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from topazbank.balancing.load import SUBSET_IDLE_SIZE, SUBSET_PER_REQUEST
from topazbank.balancing.retry_policy import RETRIES_PER_REQUEST, RETRY_BUDGET_REQUESTS
from topazbank.balancing.settings import Settings
from topazbank.cluster.settings import (
    INDIRECT_PROBES,
    RECONNECT_PERIODS,
    SUSPECT_PROBES_PER_PERIOD,
    ProtocolSettings,
)
from topazbank.estimation import poll_schedule
from topazbank.estimation.load_gossip import SEND_INTERVAL_MIN_US, SENDERS_MAX
from topazbank.estimation.startup_probes import PROBES_MAX, supports_startup_probes

STANDARD_DEVIATIONS = 4.0  # allowed above the mean of a random count
PEAK_SPAN_S = 60.0
PEAK_EXCEEDED_RATIO = 0.001  # of such spans: the share in which the peak is exceeded


@dataclass(frozen=True, slots=True)
class Fleet:
    """The size of a fleet and its load."""

    settings: Settings
    sidecars: int
    servers: int
    requests_per_s: float  # first attempts at each sidecar
    response_time_s: float  # of the typical response

    @property
    def mean_in_flight(self) -> float:
        """Requests in flight at one sidecar, in the mean (Little's law)."""
        return self.requests_per_s * self.response_time_s

    @property
    def peak_in_flight(self) -> float:
        """The most requests in flight at any one sidecar within `PEAK_SPAN_S`: a tail of the Poisson distribution."""
        moments = self.sidecars * PEAK_SPAN_S / max(self.response_time_s, 1e-3)
        peak, tail, term = 0, 1.0, math.exp(-self.mean_in_flight)
        while moments * (tail := tail - term) > PEAK_EXCEEDED_RATIO and peak < 1000:
            peak += 1
            term *= self.mean_in_flight / peak
        return float(max(peak, 1))


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """The most of each count in a span of time, for all sidecars together unless its name says otherwise."""

    attempts: float
    connections_accepted: float
    connections_open: float  # at any moment
    connections_open_per_sidecar: float  # at any moment
    health_checks: float
    endpoint_polls: float
    endpoint_polls_per_s: float  # in the busiest second
    gossip_messages: float


def connections_per_sidecar(fleet: Fleet) -> float:
    """Return the connections open at one sidecar: to each server in its subset, and one for each request in flight.

    Owner: `OwnLoad.subset_size`, over which idle connections are closed after the settings' idle time; never more than
    half of the sidecar's sockets (`core.endpoints`).
    """
    subset = min(SUBSET_IDLE_SIZE + SUBSET_PER_REQUEST * fleet.peak_in_flight, float(fleet.servers))
    probed = float(PROBES_MAX) if supports_startup_probes(fleet.settings) else 0.0
    return max(subset, probed) + fleet.peak_in_flight


def endpoint_polls_per_s(fleet: Fleet, outage: bool) -> float:
    """Return the mean rate of polls: watches that time out, or in an outage of the registry polls that are retried.

    Owner: `estimation.poll_schedule`.
    """
    if outage:
        return fleet.sidecars / (0.5 * retry_interval_max_s(fleet))
    return fleet.sidecars / max(
        (1.0 - poll_schedule.WATCH_JITTER_RATIO) * poll_schedule.watch_timeout_s(fleet.sidecars),
        poll_schedule.WATCH_TIMEOUT_MIN_S,
    )


def endpoint_polls_in_busiest_second(fleet: Fleet, outage: bool) -> float:
    """Return the polls in the busiest second: all sidecars start at once, and each opens a watch after its first poll.

    Owner: `estimation.poll_schedule.first_poll_spread_us`.  An update answers every watch, so each update costs one
    poll of each sidecar.
    """
    spread_us = poll_schedule.first_poll_spread_us(fleet.sidecars, fleet.settings.rules.poll_within_us)
    spread_s = max(spread_us / 1e6, 1.0)
    starting = 2.0 * fleet.sidecars / spread_s
    update = float(fleet.sidecars) if outage else 0.0
    steady = endpoint_polls_per_s(fleet, outage)
    return update + steady + starting + STANDARD_DEVIATIONS * math.sqrt(starting + steady)


def retry_interval_max_s(fleet: Fleet) -> float:
    """Return the longest time between two polls of a registry that fails, seconds."""
    return poll_schedule.retry_interval_max_us(fleet.sidecars, fleet.settings.rules.poll_within_us) / 1e6


def fleet_bounds(fleet: Fleet, seconds: float, starts: int = 0, outage: bool = False) -> FleetBounds:
    """Return the bounds over a span in which all sidecars start `starts` times; `outage`: of the registry."""
    attempts = _attempts(fleet, seconds, starts)
    per_sidecar = connections_per_sidecar(fleet)
    probed = supports_startup_probes(fleet.settings)
    health_checks = (1 + starts) * fleet.sidecars * PROBES_MAX if probed else 0.0
    return FleetBounds(
        attempts=attempts,
        connections_accepted=attempts + health_checks,
        connections_open=fleet.sidecars * per_sidecar,
        connections_open_per_sidecar=per_sidecar,
        health_checks=health_checks,
        endpoint_polls=_endpoint_polls(fleet, seconds, starts, outage),
        endpoint_polls_per_s=endpoint_polls_in_busiest_second(fleet, outage),
        gossip_messages=_gossip_messages(fleet, seconds),
    )


def _attempts(fleet: Fleet, seconds: float, starts: int) -> float:
    """Return the attempts of all sidecars, retries included; a start grants each its initial retry allowance anew."""
    requests = fleet.sidecars * fleet.requests_per_s * seconds
    deviation = STANDARD_DEVIATIONS * math.sqrt(max(requests, 1.0))
    at_starts = starts * fleet.sidecars * RETRIES_PER_REQUEST * RETRY_BUDGET_REQUESTS / 2
    return (requests + deviation) * (1.0 + RETRIES_PER_REQUEST) + at_starts


def _endpoint_polls(fleet: Fleet, seconds: float, starts: int, outage: bool) -> float:
    watches = endpoint_polls_per_s(fleet, False) * seconds + 2.0 * fleet.sidecars * (1 + starts)
    if not outage:
        return watches
    doublings = math.log2(1.0 / poll_schedule.BACKOFF_INITIAL_RATIO) + 1.0
    retries = fleet.sidecars * (1.0 + doublings) + endpoint_polls_per_s(fleet, True) * seconds
    return watches + retries


def _gossip_messages(fleet: Fleet, seconds: float) -> float:
    if not fleet.settings.limits.gossip or not 0 < fleet.sidecars - 1 < SENDERS_MAX:
        return 0.0
    return fleet.sidecars * seconds * 1e6 / SEND_INTERVAL_MIN_US


def membership_datagrams_per_s(settings: ProtocolSettings, fault: bool = False) -> float:
    """Return the datagrams that one sidecar sends for membership, whatever the size of its cluster.

    Each has `settings.datagram_bytes` at most.  Without a fault these are a probe and an answer in each period, and at
    intervals one to a removed member and one to a silent seed.  `fault`: every probe fails, and so do those of others:
    helpers are asked and ask in turn, and suspects are probed again.  Owner: `cluster.failure_detector`;
    anti-entropy is bounded by `cluster.anti_entropy.REPLY_DATAGRAMS_MAX`.
    """
    per_period = 2.0 + 2.0 / RECONNECT_PERIODS
    if fault:
        per_period += 1.0 + 4.0 * INDIRECT_PROBES + 2.0 * SUSPECT_PROBES_PER_PERIOD
    return per_period * 1e6 / settings.probe_period_us
