"""A planner's statistics of each server, from all forwarders' reports; no I/O, times in microseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from topazbank.planning.plan import US_PER_S
from topazbank.planning.summary import ServerUsage

AVERAGING_US = 2 * US_PER_S  # time constant of the decaying sums
RESPONSES_MIN = 4.0  # with fewer the correction is unchanged, as they don't indicate a server's speed
CORRECTION_GAIN = 0.003  # relative decrease per step for a server e times slower than expected
CORRECTION_MIN, CORRECTION_MAX = 0.1, 4.0
WARMUP_US = 22 * US_PER_S
WARMUP_RATIO_MIN = 0.14  # part of a server's capacity at its start; increases linearly over WARMUP_US
_CAPACITY_MIN = 1e-6  # avoids division by zero
_SLOWNESS_MIN = 0.1  # lower bound of the ratio whose logarithm is taken


@dataclass(frozen=True, slots=True)
class PlannedServer:
    """A server of the endpoint list."""

    name: str
    weight: float = 1.0
    warm_at_us: int = 0  # the end of its warm-up


@dataclass(slots=True)
class ServerStats:
    """One server's load and speed, as reported by all forwarders.

    Statistics are valid for one process of the server: a changed entry of the endpoint list gets new statistics.
    """

    server: PlannedServer
    correction: float = 1.0  # factor on the nominal weight, from the server's response times
    responses: float = 0.0  # this and the next two sums decay over AVERAGING_US
    response_time_us: float = 0.0
    expected_waits: float = 0.0  # sum over those responses, in units of a lone request at weight 1
    decayed_at_us: int = 0
    in_flight: float = 0.0  # from the newest report, including queued requests
    reported_at_us: int = -1
    warmup_ratio: float = 1.0
    concurrency: float = 1.0  # requests that it processes in parallel: the largest value reported
    ejected_by: set[str] = field(default_factory=set)  # names of forwarders

    def decay(self, now: int) -> None:
        """Decay the sums up to `now`."""
        if now > self.decayed_at_us:
            remaining = math.exp((self.decayed_at_us - now) / AVERAGING_US)
            self.responses *= remaining
            self.response_time_us *= remaining
            self.expected_waits *= remaining
            self.decayed_at_us = now

    def capacity(self) -> float:
        """Its capacity, relative to a warm server of weight 1."""
        return self.server.weight * self.correction * self.warmup_ratio

    def wait(self, in_flight: float) -> float:
        """Response time of one more request behind `in_flight` others, in units of a lone request at weight 1."""
        queued = max(in_flight + 1.0 - self.concurrency, 0.0)
        return (1.0 + queued / self.concurrency) / max(self.capacity(), _CAPACITY_MIN)

    def in_flight_now(self, now: int, unit_time_us: float) -> float:
        """Requests in flight, estimated from the newest report less the requests answered since.

        `unit_time_us`: response time of a lone request at weight 1.
        """
        if self.reported_at_us < 0 or self.in_flight <= 0.0:
            return 0.0
        request_time_us = unit_time_us / max(self.capacity(), _CAPACITY_MIN)
        running = min(self.in_flight, self.concurrency)
        answered = running * (now - self.reported_at_us) / max(request_time_us, 1.0)
        return max(self.in_flight - answered, 0.0)

    def record(self, now: int, forwarder: str, usage: ServerUsage) -> None:
        """Record one forwarder's report."""
        self.decay(now)
        self.responses += usage.answered
        self.response_time_us += usage.response_time_us
        self.expected_waits += usage.answered * self.wait(max(self.in_flight - 1.0, 0.0))
        if usage.reported_in_flight is not None and usage.reported_at_us > self.reported_at_us:
            self.in_flight = usage.reported_in_flight
            self.reported_at_us = min(usage.reported_at_us, now)
            self.concurrency = max(self.concurrency, usage.concurrency)
        if usage.ejected:
            self.ejected_by.add(forwarder)
        else:
            self.ejected_by.discard(forwarder)

    def update_warmup(self, now: int) -> None:
        """Update the part of its capacity that the server has at `now`."""
        remaining = max(self.server.warm_at_us - now, 0) / WARMUP_US
        self.warmup_ratio = max(1.0 - (1.0 - WARMUP_RATIO_MIN) * remaining, WARMUP_RATIO_MIN)

    def correct(self, unit_time_us: float) -> None:
        """Move the correction one step towards the speed that the responses indicate."""
        if self.responses < RESPONSES_MIN or self.expected_waits <= 0.0:
            return
        slowness = self.response_time_us / self.expected_waits / unit_time_us
        step = max(-1.0, min(math.log(max(slowness, _SLOWNESS_MIN)), 1.0))
        self.correction *= math.exp(-CORRECTION_GAIN * step)
        self.correction = max(CORRECTION_MIN, min(self.correction, CORRECTION_MAX))
