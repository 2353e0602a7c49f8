"""What all parts of one balancer share: the settings, the moment of the current event, and the actions it leads to."""

from __future__ import annotations

import random

from topazbank.balancing.actions import Action
from topazbank.balancing.settings import Settings
from topazbank.estimation.fleet_size import FleetSize
from topazbank.estimation.stall_detector import StallDetector


class DecisionContext:
    """The clock, the random numbers and the pending actions of one balancer."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """`seed` decides every random choice but the jitter of polls."""
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0  # clock time of the event that is handled, microseconds
        self.actions: list[Action] = []  # decided so far on that event
        self.fleet_size = FleetSize(settings.fleet_size)
        self.longest_objective_us = settings.longest_objective_us()
        shortest_objective_us = min(each.latency_objective_us for each in settings.classes)
        self.stall = StallDetector(shortest_objective_us, settings.tick_us)

    def begin(self, now: int) -> None:
        """Begin to handle an event at clock time `now`."""
        self.now = now
        self.actions = []

    def jitter(self) -> float:
        """A random factor from 0.75 to 1.25, so that balancers do not act in step."""
        return 0.75 + 0.5 * self.random.random()
