"""Virtual time: events run in order of their time, and a network has faults, all determined by one seed.

Times are seconds of virtual time.  The order of draws from the generator is part of the contract: a seed has to give
the same run in every version.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

DATAGRAM_DELAY_S = (0.0002, 0.002)  # range on a network without faults


@dataclass(slots=True)
class NetworkFaults:
    """What the network does to a datagram."""

    loss: float = 0.0  # ratio of datagrams lost
    delay_s: float = 0.0  # maximum of an extra delay
    doubled: float = 0.0  # ratio of datagrams delivered twice
    cuts: set[tuple[int, int]] = field(default_factory=set)  # (sender, receiver) pairs that are cut off


class VirtualTime:
    """A clock that jumps from one event to the next."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.faults = NetworkFaults()
        self._events: list[
            tuple[float, int, Callable[[], None]]
        ] = []  # a heap: time, insertion order, callback
        self._order = itertools.count()

    def schedule(self, when: float, callback: Callable[[], None]) -> None:
        """Call back at a time; callbacks of one time run in the order in which they were scheduled."""
        heapq.heappush(self._events, (when, next(self._order), callback))

    def run(self, until: float) -> None:
        """Run all events up to a time, that time included."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until

    def send(self, sender: int, receiver: int, deliver: Callable[[], None]) -> None:
        """Schedule the delivery of a datagram, subject to the faults of this moment."""
        faults = self.faults
        if (sender, receiver) in faults.cuts or (faults.loss and self.random.random() < faults.loss):
            return
        copies = 2 if faults.doubled and self.random.random() < faults.doubled else 1
        for _ in range(copies):
            delay_s = self.random.uniform(*DATAGRAM_DELAY_S) + faults.delay_s * self.random.random()
            self.schedule(self.now + delay_s, deliver)
