"""What a whole fleet of sidecars may open, probe, ask and tell, as formulas in its size; no I/O.

Each bound names its owner, the code that keeps it.  docs/design/size.md derives them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from topazbank.balancing.balancer import (
    EXTRA_PER_REQUEST,
    EXTRA_SAVED,
    REACH,
    REACH_PER_BUSY,
)
from topazbank.balancing.settings import Settings
from topazbank.cluster.settings import (
    INDIRECT_PROBES,
    RECONNECT_PERIODS,
    SUSPECT_PROBES_PER_PERIOD,
    ProtocolSettings,
)
from topazbank.estimation import poll_schedule
from topazbank.estimation.load_gossip import EVERY_LEAST_US, SENDERS_MOST
from topazbank.estimation.startup_probes import ASKED, can_tell

CHANCE = 4.0  # standard deviations allowed to what comes by chance
PEAK_SPAN_S = 60.0
PEAK_MISSED = 0.001  # the peak is passed once in so many such spans


@dataclass(frozen=True, slots=True)
class Fleet:
    """The size of a fleet."""

    settings: Settings
    sidecars: int
    servers: int
    rate: float  # first tries a second at each sidecar
    answer_s: float  # what the typical answer takes

    @property
    def in_flight(self) -> float:
        """Own requests in flight at one sidecar, in the mean (Little's law)."""
        return self.rate * self.answer_s

    @property
    def peak(self) -> float:
        """And the most that is there by chance at any of them in a minute or so, at any moment of it."""
        moments = self.sidecars * PEAK_SPAN_S / max(self.answer_s, 1e-3)
        most, left, term = 0, 1.0, math.exp(-self.in_flight)
        while moments * (left := left - term) > PEAK_MISSED and most < 1000:
            most += 1
            term *= self.in_flight / most
        return float(max(most, 1))


def connections_each(fleet: Fleet) -> float:
    """Open at one sidecar: one to each server within its reach, and one more for each request in flight.

    Owner: `Balancer._reach`, over which idle connections end by `HttpCarrier` after the settings' idle time; never more
    than half of the sidecar's sockets (`core.nodes.Slots`).
    """
    reach = min(REACH + REACH_PER_BUSY * fleet.peak, float(fleet.servers))
    return max(reach, float(ASKED) if can_tell(fleet.settings) else 0.0) + fleet.peak


def list_calls_a_second(fleet: Fleet, outage: bool) -> float:
    """At the busiest, in the mean of a second: watches that run out, or in an outage calls made again.

    Owners: `sight.poll_schedule`.
    """
    if outage:
        return fleet.sidecars / (0.5 * again_most_s(fleet))
    return fleet.sidecars / max(
        (1.0 - poll_schedule.WATCH_CHANCE) * poll_schedule.watch_s(fleet.sidecars),
        poll_schedule.WATCH_LEAST_S,
    )


def busiest_second(fleet: Fleet, outage: bool) -> float:
    """List calls in the busiest second: all start at once, and each watches as soon as it has heard.

    Owner: `Balancer.handle`, which spreads the first call over what is left of the time allowed without one.  News
    goes to every watch, and so each news costs a call of each sidecar.
    """
    spread_s = max(
        poll_schedule.first_call_spread(fleet.sidecars, fleet.settings.rules.poll_within_us) / 1e6, 1.0
    )
    starting = 2.0 * fleet.sidecars / spread_s
    news = float(fleet.sidecars) if outage else 0.0
    steady = list_calls_a_second(fleet, outage)
    return news + steady + starting + CHANCE * math.sqrt(starting + steady)


def again_most_s(fleet: Fleet) -> float:
    """The longest wait between calls to a registry that fails, seconds."""
    return poll_schedule.retry_gap_most(fleet.sidecars, fleet.settings.rules.poll_within_us) / 1e6


def bounds(fleet: Fleet, seconds: float, starts: int = 0, outage: bool = False) -> dict[str, float]:
    """The most of each over this span, in which all sidecars start so many times; all sidecars together."""
    n, tries = fleet.sidecars, fleet.sidecars * fleet.rate * seconds
    some = CHANCE * math.sqrt(max(tries, 1.0))  # more tries than the mean, by chance
    attempts = (tries + some) * (1.0 + EXTRA_PER_REQUEST) + starts * n * EXTRA_PER_REQUEST * EXTRA_SAVED / 2
    each = connections_each(fleet)
    probes = (1 + starts) * n * ASKED if can_tell(fleet.settings) else 0.0
    waits = list_calls_a_second(fleet, False) * seconds + 2.0 * n * (1 + starts)
    failing = 0.0
    if outage:
        doublings = math.log2(1.0 / poll_schedule.FIRST_GAP) + 1.0
        failing = n * (1.0 + doublings) + list_calls_a_second(fleet, True) * seconds
    listeners = n - 1
    told = 0.0
    if fleet.settings.limits.gossip and 0 < listeners < SENDERS_MOST:
        told = n * seconds * 1e6 / EVERY_LEAST_US
    return {
        "sends": attempts,
        "accepted": attempts + probes,
        "held": n * each,
        "most open": each,
        "probes": probes,
        "list calls": waits + failing,
        "list calls a second, most": busiest_second(fleet, outage),
        "tells": told,
    }


def tier_messages_a_second(rules: ProtocolSettings, trouble: bool = False) -> float:
    """Datagrams that one sidecar sends for membership, whatever the cluster's size; each of `datagram_bytes` at most.

    In calm a ping and an ack in each period, and now and then a ping to a dead member and one to an unanswered seed.
    `trouble`: every probe fails, and so do others': helpers are asked and ask in turn, and suspects are pinged again.
    Owner: `cluster.failure_detector`; anti-entropy is bounded by `cluster.anti_entropy.REPLY_DATAGRAMS_MAX`.
    """
    each = 2.0 + 2.0 / RECONNECT_PERIODS
    if trouble:
        each += 1.0 + 4.0 * INDIRECT_PROBES + 2.0 * SUSPECT_PROBES_PER_PERIOD
    return each * 1e6 / rules.probe_period_us
