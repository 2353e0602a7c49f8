"""Draws the faults of one soak by a seed: which, when, to whom, for how long; they overlap.  No I/O.

Half of the sidecars are victims: their processes are killed, stopped, ended and upgraded in ways that go wrong, and
what clients of theirs lose meanwhile is not judged.  The others are upgraded and restarted in order and stand still for
no longer than the platform assumes; every client of theirs is owed all.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from testbed.cluster.scenarios import NODES, REGISTRY, Step

TOLERATED_STOP_S = (
    0.12  # a process may be held up for 0.15 s, by the platform's terms; the rest is for the signals' way
)
MEAN_FAULT_INTERVAL_S = 0.9  # between two faults, in the mean
BACKENDS_OUT_MAX = 2  # servers that are out of order at a time: with none left there is nothing to judge
REGISTRY_FAULTS = (
    "registry_refused",
    "registry_held",
    "registry_swallowed",
    "registry_reset",
    "registry_late",
)
DRAIN_S = 9.5  # a drain behind an outage: for so long that every sidecar counts as notified
LONG_OUTAGE_RATIO = (
    0.5  # part of the soaks that begin with one of the registry, longer than waits between calls may grow
)
CONNECTION_FLOOD_RATIO = 0.4  # part of the soaks in which crowds come


@dataclass(slots=True)
class FaultSchedule:
    """One soak's faults, in the order of time."""

    seconds: float
    victims: frozenset[int]
    steps: list[Step] = field(default_factory=list)

    def steady(self, sidecars: int) -> list[int]:
        return [each for each in range(sidecars) if each not in self.victims]


class _Reservations:
    """Whom a fault holds, until when."""

    def __init__(self) -> None:
        self._until: dict[int, float] = {}

    def free(self, among: Iterable[int], at: float) -> list[int]:
        return [each for each in among if self._until.get(each, -1.0) < at]

    def take(self, who: int, until: float) -> None:
        self._until[who] = until

    def count(self, at: float) -> int:
        return sum(until >= at for until in self._until.values())


class _ScheduleBuilder:
    """The state of one drawing."""

    def __init__(self, sidecars: int, seed: int, seconds: float) -> None:
        self.chance = random.Random(seed)
        self.seconds = seconds
        order = list(range(sidecars))
        self.chance.shuffle(order)
        self.victims, self.steady = order[: sidecars // 2], order[sidecars // 2 :]
        self.steps: list[Step] = []
        self.processes, self.nodes = _Reservations(), _Reservations()
        self.silent: list[tuple[float, float]] = []  # when the registry could not be reached
        self.sidecars = sidecars
        self.crowds = self.chance.random() < CONNECTION_FLOOD_RATIO

    def span(self, at: float, least_s: float, most_s: float) -> float:
        """A fault's length, so that it ends within the soak."""
        return min(self.chance.uniform(least_s, most_s), max(self.seconds - at, 0.1))

    def add(
        self, at: float, do: str, who: int | None = None, to: int | None = None, value: float = 0.0
    ) -> None:
        self.steps.append(
            Step(at, do, () if who is None else (who,), () if to is None else (to,), round(value, 3))
        )

    def a_victim(self, at: float, busy_s: float) -> int | None:
        return self._one(self.processes, self.victims, at, busy_s)

    def a_steady_one(self, at: float, busy_s: float) -> int | None:
        return self._one(self.processes, self.steady, at, busy_s)

    def a_node(self, at: float, busy_s: float) -> int | None:
        if self.nodes.count(at) >= BACKENDS_OUT_MAX:
            return None
        return self._one(self.nodes, range(NODES), at, busy_s)

    def _one(self, busy: _Reservations, among: Iterable[int], at: float, busy_s: float) -> int | None:
        free = busy.free(among, at)
        if not free:
            return None
        one = self.chance.choice(free)
        busy.take(one, at + busy_s)
        return one


Fault = Callable[[_ScheduleBuilder, float], None]


def _kill(drawing: _ScheduleBuilder, at: float) -> None:
    down_s = drawing.chance.uniform(0.2, 3.0)
    one = drawing.a_victim(at, down_s + 6.0)
    if one is not None:
        drawing.add(at, drawing.chance.choice(("kill", "leave")), one)
        drawing.add(at + 4.0 + down_s, "start", one)


def _stop(drawing: _ScheduleBuilder, at: float) -> None:
    span = drawing.chance.uniform(0.3, 3.0)
    one = drawing.a_victim(at, span + 1.0)
    if one is not None:
        drawing.add(at, "stop", one, value=span)


def _failed_upgrade(drawing: _ScheduleBuilder, at: float) -> None:
    one = drawing.a_victim(at, 8.0)
    if one is not None:
        way = drawing.chance.choice(("old_dies", "new_dies", "new_hangs"))
        drawing.add(at, way, one, value=drawing.chance.uniform(0.0, 0.8))


def _upgrade(drawing: _ScheduleBuilder, at: float) -> None:
    one = drawing.a_steady_one(at, 8.0)
    if one is not None:
        drawing.add(at, "upgrade", one)


def _short_stop(drawing: _ScheduleBuilder, at: float) -> None:
    one = drawing.a_steady_one(at, 1.0)
    if one is not None:
        drawing.add(at, "stop", one, value=drawing.chance.uniform(0.02, TOLERATED_STOP_S))


def _network_cut(drawing: _ScheduleBuilder, at: float) -> None:
    a, b = drawing.chance.sample(range(drawing.sidecars), 2)
    drawing.add(at, "cut", a, b)
    if drawing.chance.random() < 0.3:
        drawing.add(at + drawing.span(at, 0.5, 4.0), "heal")


def _network_loss(drawing: _ScheduleBuilder, at: float) -> None:
    drawing.add(at, "loss", value=drawing.chance.uniform(0.1, 0.4))
    drawing.add(at + drawing.span(at, 1.0, 4.0), "loss")


def _backend_outage(drawing: _ScheduleBuilder, at: float) -> None:
    span = drawing.span(at, 0.3, 5.0)
    one = drawing.a_node(at, span + 0.5)
    if one is None:
        return
    way = drawing.chance.choice(("hang", "die", "fail", "slow", "tcp_cut", "tcp_hold"))
    if way.startswith("tcp_"):
        drawing.add(at, way, to=one)
        drawing.add(at + span, "tcp_heal", to=one)
    else:
        drawing.add(at, f"node_{way}", to=one, value=drawing.chance.uniform(0.1, 0.9))
        drawing.add(at + span, "node_well", to=one)


def _outage_of_all_backends(drawing: _ScheduleBuilder, at: float) -> None:
    """For a moment nobody is left to send to: requests are refused as they come."""
    span = drawing.span(at, 0.3, 1.2)
    if drawing.nodes.count(at):
        return
    for number in range(NODES):
        drawing.nodes.take(number, at + span + 1.5)
        drawing.add(at, "node_die", to=number)
        drawing.add(at + span, "node_well", to=number)


def _backend_reset(drawing: _ScheduleBuilder, at: float) -> None:
    drawing.add(at, "node_reset", to=drawing.chance.randrange(NODES))


def _backend_drain(drawing: _ScheduleBuilder, at: float) -> None:
    span = drawing.span(at, 1.0, 6.0)
    one = drawing.a_node(at, span + 0.5)
    if one is not None:
        drawing.add(at, "drain", to=one)
        drawing.add(at + span, "undrain", to=one)


def _registry_outage(drawing: _ScheduleBuilder, at: float) -> None:
    """Cut off, or with a trouble of its own: some of its calls fail, are lost or wait."""
    if drawing.silent and drawing.silent[-1][1] >= at:
        return
    _add_registry_outage(drawing, at, drawing.span(at, 0.5, 6.0))


def _add_registry_outage(drawing: _ScheduleBuilder, at: float, span: float) -> None:
    drawing.silent.append((at, at + span))
    way = drawing.chance.choice(("tcp_hold", "tcp_cut", *REGISTRY_FAULTS, *REGISTRY_FAULTS))
    drawing.add(at, way, to=REGISTRY)
    drawing.add(at + span, "tcp_heal" if way.startswith("tcp_") else "registry_well", to=REGISTRY)
    if drawing.chance.random() < 0.5:  # just behind its return, or a moment before
        drawn = drawing.a_node(at + span, DRAIN_S + 0.5)
        if drawn is not None:
            drawing.add(at + span + drawing.chance.uniform(-0.3, 0.3), "drain", to=drawn)
            drawing.add(at + span + DRAIN_S, "undrain", to=drawn)


def _reloads(drawing: _ScheduleBuilder, at: float) -> None:
    """New configurations in quick succession, at one sidecar or at many; discovery moves with some."""
    count, gap_s = drawing.chance.randrange(1, 12), drawing.chance.uniform(0.01, 0.5)
    them = drawing.chance.sample(
        range(drawing.sidecars), drawing.chance.choice((1, 1, 1, drawing.sidecars // 3))
    )
    for number in range(count):
        for one in them:
            drawing.add(at + number * gap_s, "reload", one, value=float(drawing.chance.random() < 0.5))


def _restart(drawing: _ScheduleBuilder, at: float) -> None:
    """Told to end, killed at the platform's earliest, and started again with an old list."""
    one = drawing.a_steady_one(at, 12.0)
    if one is not None:
        drawing.add(at, "restart", one, value=drawing.chance.uniform(0.0, 2.0))


def _connection_flood(drawing: _ScheduleBuilder, at: float) -> None:
    if not drawing.crowds:
        return
    one = drawing.chance.choice(drawing.steady)
    drawing.add(at, "crowd", one, value=drawing.chance.uniform(1.0, 5.0))


FAULTS: tuple[Fault, ...] = (
    _kill, _stop, _failed_upgrade, _upgrade, _short_stop, _short_stop, _network_cut, _network_loss,
    _backend_outage, _backend_outage, _outage_of_all_backends, _backend_reset, _backend_drain, _backend_drain,
    _registry_outage, _registry_outage, _reloads, _reloads, _restart, _restart, _connection_flood,
)  # fmt: skip


def draw_schedule(sidecars: int, seed: int, seconds: float) -> FaultSchedule:
    """The faults of one soak; all that lasts ends with it."""
    drawing = _ScheduleBuilder(sidecars, seed, seconds)
    at = 1.0
    if drawing.chance.random() < LONG_OUTAGE_RATIO:
        _add_registry_outage(drawing, at, drawing.span(at, 8.0, 14.0))
    while at < seconds:
        drawing.chance.choice(FAULTS)(drawing, at)
        at += drawing.chance.expovariate(1.0 / MEAN_FAULT_INTERVAL_S)
    drawing.add(seconds, "heal")
    drawing.add(seconds, "loss")
    steps = sorted(drawing.steps, key=lambda each: each.at)
    return FaultSchedule(seconds, frozenset(drawing.victims), steps)
