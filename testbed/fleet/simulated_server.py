"""Simulated servers: no sockets, only numbers; times in microseconds of simulated time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from topazbank.balancing.events import Outcome

if TYPE_CHECKING:
    from testbed.fleet.simulated import Fleet

US_PER_S = 1_000_000
# A server that is warming up crashes when more work is offered to it within OVERLOAD_SPAN_S than so many times what it
# can do.
OVERLOAD_RATIO, OVERLOAD_SPAN_S = 3.0, 2.0
WARMUP_RATIO_MIN, WARMUP_US = 0.14, 22 * US_PER_S
QUEUE_RATIO_MAX = 20  # attempts in the queue for each that runs; further ones are rejected


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt as a server sees it."""

    work_s: float  # seconds of a standard machine
    on_end: Callable[[Outcome, dict[str, float] | None], None]


class SimulatedServer:
    """A server that runs so many attempts at once at a speed, and queues the others."""

    def __init__(self, fleet: Fleet, name: str, speed: float, concurrency: int, pod: int) -> None:
        self.name, self.speed, self.concurrency, self.pod = name, speed, concurrency, pod
        self.started_at: int | None = None  # when it started without warm caches; None: it is warm
        self.up = True
        self.crashed = False
        self.running = 0
        self.served = 0
        self.work_done_s = 0.0
        self._fleet = fleet
        self._waiting: deque[Attempt] = deque()
        self._offered: deque[tuple[int, float]] = deque()  # time and work, of the last OVERLOAD_SPAN_S

    def capacity(self) -> float:
        if self.started_at is None:
            return 1.0
        return min(
            1.0, WARMUP_RATIO_MIN + (1.0 - WARMUP_RATIO_MIN) * (self._fleet.now - self.started_at) / WARMUP_US
        )

    def start_cold(self) -> None:
        self.started_at, self.up, self.crashed, self.running = self._fleet.now, True, False, 0
        self._waiting.clear()
        self._offered.clear()

    def stop(self) -> None:
        self.up = False

    def receive(self, attempt: Attempt) -> None:
        if not self.up or self.crashed:
            if not self.up:
                attempt.on_end(Outcome.CONNECT_FAILED, None)
            return  # a crashed server never answers
        self._count_offered_work(attempt.work_s)
        if len(self._waiting) >= QUEUE_RATIO_MAX * self.concurrency:
            attempt.on_end(Outcome.REJECTED, self._report())
        elif self.running < self.concurrency:
            self._start(attempt)
        else:
            self._waiting.append(attempt)

    def _count_offered_work(self, work_s: float) -> None:
        now = self._fleet.now
        self._offered.append((now, work_s))
        while self._offered[0][0] < now - int(OVERLOAD_SPAN_S * US_PER_S):
            self._offered.popleft()
        capacity = self.capacity()
        if capacity < 1.0:
            limit = OVERLOAD_RATIO * capacity * self.speed * self.concurrency * OVERLOAD_SPAN_S
            if sum(work for _, work in self._offered) > limit:
                self.crashed = True

    def _start(self, attempt: Attempt) -> None:
        self.running += 1
        duration_s = attempt.work_s / (self.speed * self.capacity())
        self._fleet.at(
            self._fleet.now + max(int(duration_s * US_PER_S), 1), self._end, attempt, self.started_at
        )

    def _end(self, attempt: Attempt, generation: int | None) -> None:
        if generation != self.started_at or not self.up:
            attempt.on_end(Outcome.CONNECTION_LOST, None)
            return
        self.running -= 1
        self.served += 1
        self.work_done_s += attempt.work_s
        if self._waiting:
            self._start(self._waiting.popleft())
        if not self.crashed:
            attempt.on_end(Outcome.DELIVERED, self._report())

    def _report(self) -> dict[str, float]:
        return {
            "inflight": float(self.running),
            "queue": float(len(self._waiting)),
            "util": min(self.running / self.concurrency, 1.0),
        }
