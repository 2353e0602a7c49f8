"""Discrete-event simulation of time and of a faulty network, deterministic for a given seed.

Times are seconds of virtual time.  The order of draws from the random generator is part of the contract: a seed must
produce the same run in every version.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

DATAGRAM_DELAY_S = (0.0002, 0.002)  # minimum and maximum without injected faults


@dataclass(slots=True)
class NetworkFaults:
    """Faults that the network injects into datagrams."""

    loss: float = 0.0  # ratio of datagrams lost
    delay_s: float = 0.0  # maximum extra delay
    doubled: float = 0.0  # ratio of datagrams delivered twice
    cuts: set[tuple[int, int]] = field(default_factory=set)  # partitioned (sender, receiver) pairs


class VirtualTime:
    """A clock that jumps from one event to the next."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.faults = NetworkFaults()
        self._events: list[
            tuple[float, int, Callable[[], None]]
        ] = []  # heap of (time, insertion order, callback)
        self._order = itertools.count()

    def schedule(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a callback; callbacks with equal times run in insertion order."""
        heapq.heappush(self._events, (when, next(self._order), callback))

    def run(self, until: float) -> None:
        """Run all events up to and including a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until

    def send(self, sender: int, receiver: int, deliver: Callable[[], None]) -> None:
        """Schedule the delivery of a datagram, subject to the current faults."""
        faults = self.faults
        if (sender, receiver) in faults.cuts or (faults.loss and self.random.random() < faults.loss):
            return
        copies = 2 if faults.doubled and self.random.random() < faults.doubled else 1
        for _ in range(copies):
            delay_s = self.random.uniform(*DATAGRAM_DELAY_S) + faults.delay_s * self.random.random()
            self.schedule(self.now + delay_s, deliver)
