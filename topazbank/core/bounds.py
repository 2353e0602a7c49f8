"""Upper bounds on the connections, messages and polls of an entire fleet, as functions of its size; no I/O.

Each function names the code that enforces its bound.  docs/design/size.md derives the formulas.  Assumes that all
sidecars receive requests at the same rate, at random times.
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

STANDARD_DEVIATIONS = 4.0  # margin above the mean of a random count
PEAK_SPAN_S = 60.0
PEAK_EXCEEDED_RATIO = 0.001  # share of such spans in which the peak may be exceeded


@dataclass(frozen=True, slots=True)
class Fleet:
    """The size of a fleet and its load."""

    settings: Settings
    sidecars: int
    servers: int
    requests_per_s: float  # first attempts at each sidecar
    response_time_s: float  # of a typical response

    @property
    def mean_in_flight(self) -> float:
        """The mean number of requests in flight at one sidecar (Little's law)."""
        return self.requests_per_s * self.response_time_s

    @property
    def peak_in_flight(self) -> float:
        """The peak number of requests in flight at any sidecar within `PEAK_SPAN_S`, from the Poisson distribution."""
        samples = self.sidecars * PEAK_SPAN_S / max(self.response_time_s, 1e-3)
        peak, tail, term = 0, 1.0, math.exp(-self.mean_in_flight)
        while samples * (tail := tail - term) > PEAK_EXCEEDED_RATIO and peak < 1000:
            peak += 1
            term *= self.mean_in_flight / peak
        return float(max(peak, 1))


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """Upper bounds over a span of time, for all sidecars together unless the name indicates otherwise."""

    attempts: float
    connections_accepted: float
    connections_open: float  # at any one time
    connections_open_per_sidecar: float  # at any one time
    health_checks: float
    endpoint_polls: float
    endpoint_polls_per_s: float  # in the busiest second
    gossip_messages: float


def connections_per_sidecar(fleet: Fleet) -> float:
    """Return the connections open at one sidecar: to each server in its subset, and one for each request in flight.

    Enforced by `OwnLoad.subset_size`; idle connections beyond it are closed after the configured idle time.  The number
    never exceeds half of the sidecar's sockets (`core.endpoints`).
    """
    subset = min(SUBSET_IDLE_SIZE + SUBSET_PER_REQUEST * fleet.peak_in_flight, float(fleet.servers))
    probe_connections = float(PROBES_MAX) if supports_startup_probes(fleet.settings) else 0.0
    return max(subset, probe_connections) + fleet.peak_in_flight


def endpoint_polls_per_s(fleet: Fleet, outage: bool) -> float:
    """Return the mean rate of polls: watches that time out, or retried polls during a registry outage.

    Enforced by `estimation.poll_schedule`.
    """
    if outage:
        return fleet.sidecars / (0.5 * retry_interval_max_s(fleet))
    return fleet.sidecars / max(
        (1.0 - poll_schedule.WATCH_JITTER_RATIO) * poll_schedule.watch_timeout_s(fleet.sidecars),
        poll_schedule.WATCH_TIMEOUT_MIN_S,
    )


def endpoint_polls_in_busiest_second(fleet: Fleet, outage: bool) -> float:
    """Return the polls in the busiest second: all sidecars start together, and each opens a watch after its first poll.

    Enforced by `estimation.poll_schedule.first_poll_spread_us`.  An update completes every watch, so each update causes
    one poll per sidecar.
    """
    spread_us = poll_schedule.first_poll_spread_us(fleet.sidecars, fleet.settings.rules.poll_within_us)
    spread_s = max(spread_us / 1e6, 1.0)
    startup_polls = 2.0 * fleet.sidecars / spread_s
    update_polls = float(fleet.sidecars) if outage else 0.0
    steady_polls = endpoint_polls_per_s(fleet, outage)
    return (
        update_polls
        + steady_polls
        + startup_polls
        + STANDARD_DEVIATIONS * math.sqrt(startup_polls + steady_polls)
    )


def retry_interval_max_s(fleet: Fleet) -> float:
    """Return the longest interval between two polls of a failing registry, in seconds."""
    return poll_schedule.retry_interval_max_us(fleet.sidecars, fleet.settings.rules.poll_within_us) / 1e6


def fleet_bounds(fleet: Fleet, seconds: float, starts: int = 0, outage: bool = False) -> FleetBounds:
    """Return the bounds over a span with `starts` starts of all sidecars; `outage`: whether the registry is down."""
    attempts = _attempts(fleet, seconds, starts)
    per_sidecar = connections_per_sidecar(fleet)
    has_startup_probes = supports_startup_probes(fleet.settings)
    health_checks = (1 + starts) * fleet.sidecars * PROBES_MAX if has_startup_probes else 0.0
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
    """Return the attempts of all sidecars, including retries; each start renews the initial retry allowance."""
    requests = fleet.sidecars * fleet.requests_per_s * seconds
    deviation = STANDARD_DEVIATIONS * math.sqrt(max(requests, 1.0))
    start_retries = starts * fleet.sidecars * RETRIES_PER_REQUEST * RETRY_BUDGET_REQUESTS / 2
    return (requests + deviation) * (1.0 + RETRIES_PER_REQUEST) + start_retries


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
    """Return the rate of membership datagrams that one sidecar sends, independent of the size of its cluster.

    A datagram has at most `settings.datagram_bytes`.  Without a fault, a sidecar sends a probe and a reply per period,
    and less often one datagram to a removed member and one to an unresponsive seed.  `fault`: all probes fail, so all
    members send and relay indirect probes and probe suspects again.  Enforced by `cluster.failure_detector`;
    `cluster.anti_entropy.REPLY_DATAGRAMS_MAX` bounds anti-entropy.
    """
    per_period = 2.0 + 2.0 / RECONNECT_PERIODS
    if fault:
        per_period += 1.0 + 4.0 * INDIRECT_PROBES + 2.0 * SUSPECT_PROBES_PER_PERIOD
    return per_period * 1e6 / settings.probe_period_us
