"""Played time: what is due, in order, and a network that loses, delays, doubles and cuts, all by one seed."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

DATAGRAM_DELAY_S = (0.0002, 0.002)  # of a datagram on a quiet network


@dataclass(slots=True)
class NetworkFaults:
    """What the network does to a datagram."""

    loss: float = 0.0
    delay_s: float = 0.0
    doubled: float = 0.0
    cuts: set[tuple[int, int]] = field(default_factory=set)


class VirtualTime:
    """A clock that goes from one event to the next."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.faults = NetworkFaults()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, do: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (when, next(self._order), do))

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, do = heapq.heappop(self._heap)
            do()
        self.now = until

    def carry(self, sender: int, to: int, deliver: Callable[[], None]) -> None:
        """Bring a datagram from one to another, as the faults of the time have it."""
        faults = self.faults
        if (sender, to) in faults.cuts or (faults.loss and self.random.random() < faults.loss):
            return
        for _ in range(2 if faults.doubled and self.random.random() < faults.doubled else 1):
            lag = self.random.uniform(*DATAGRAM_DELAY_S) + faults.delay_s * self.random.random()
            self.at(self.now + lag, deliver)
