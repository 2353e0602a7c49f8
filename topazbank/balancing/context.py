"""State shared by all components of one balancer: the settings, the time of the current event, and its actions."""

from __future__ import annotations

import random

from topazbank.balancing.actions import Action
from topazbank.balancing.settings import Settings
from topazbank.estimation.fleet_size import FleetSize
from topazbank.estimation.stall_detector import StallDetector


class DecisionContext:
    """The clock, random generator and pending actions of one balancer."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """`seed` determines every random choice except the jitter of polls."""
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0  # clock time of the current event, in microseconds
        self.actions: list[Action] = []  # actions for the current event so far
        self.fleet_size = FleetSize(settings.fleet_size)
        self.longest_objective_us = settings.longest_objective_us()
        shortest_objective_us = min(request_class.latency_objective_us for request_class in settings.classes)
        self.stall = StallDetector(shortest_objective_us, settings.tick_us)

    def begin(self, now: int) -> None:
        """Start the handling of an event at clock time `now`."""
        self.now = now
        self.actions = []

    def jitter(self) -> float:
        """A random factor from 0.75 to 1.25, which keeps balancers from acting in step."""
        return 0.75 + 0.5 * self.random.random()
