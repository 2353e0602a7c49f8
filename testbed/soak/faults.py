"""Draws the faults of one soak by a seed: which, when, on what, for how long; they overlap.  No I/O.

Half of the sidecars are victims: their processes are killed, stopped, ended and upgraded in ways that go wrong, and
what their clients lose meanwhile is not checked.  The others are steady: they are upgraded and restarted in order and
are stopped for no longer than the platform tolerates, and their clients' calls are checked in full.

The order of draws from the generator is part of the contract: a seed has to give the same schedule in every version.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from testbed.cluster.scenarios import NODES, REGISTRY, Step
from testbed.soak.crowds import draw_crowds

TOLERATED_STOP_S = 0.12  # the platform tolerates 0.15 s; the rest is for the signals' delivery
MEAN_FAULT_INTERVAL_S = 0.9
BACKENDS_OUT_MAX = 2  # out of order at a time: with none left there is nothing to check
REGISTRY_FAULTS = (
    "registry_refused",
    "registry_held",
    "registry_swallowed",
    "registry_reset",
    "registry_late",
)
BACKEND_FAULTS = ("hang", "die", "fail", "slow", "tcp_cut", "tcp_hold")
DRAIN_S = 9.5  # a drain after an outage lasts until every sidecar counts as notified
RESERVED_AFTER_FAULT_S = 0.5  # before the same target may have another fault
LONG_OUTAGE_RATIO = (
    0.5  # of soaks that begin with an outage of the registry, longer than any backoff between polls
)
CONNECTION_FLOOD_RATIO = 0.4  # of soaks with floods of connections


@dataclass(slots=True)
class FaultSchedule:
    """One soak's faults, in order of time."""

    seconds: float
    victims: frozenset[int]
    steps: list[Step] = field(default_factory=list)

    def steady_sidecars(self, sidecars: int) -> list[int]:
        """Return the sidecars, out of so many, that are no victims."""
        return [number for number in range(sidecars) if number not in self.victims]


class _Reservations:
    """Which targets have a fault, and until when."""

    def __init__(self) -> None:
        self._until: dict[int, float] = {}

    def free(self, among: Iterable[int], at: float) -> list[int]:
        return [target for target in among if self._until.get(target, -1.0) < at]

    def reserve(self, target: int, until: float) -> None:
        self._until[target] = until

    def count(self, at: float) -> int:
        return sum(until >= at for until in self._until.values())


class _ScheduleBuilder:
    """A schedule while it is drawn."""

    def __init__(self, sidecars: int, seed: int, seconds: float) -> None:
        self.chance = random.Random(seed)
        self.seconds = seconds
        order = list(range(sidecars))
        self.chance.shuffle(order)
        self.victims, self.steady = order[: sidecars // 2], order[sidecars // 2 :]
        self.steps: list[Step] = []
        self.processes, self.backends = _Reservations(), _Reservations()
        self.registry_outages: list[tuple[float, float]] = []  # (start, end)
        self.sidecars = sidecars
        self.has_connection_floods = self.chance.random() < CONNECTION_FLOOD_RATIO

    def duration(self, at: float, min_s: float, max_s: float) -> float:
        """Draw how long a fault lasts that ends within the soak."""
        return min(self.chance.uniform(min_s, max_s), max(self.seconds - at, 0.1))

    def add(
        self,
        at: float,
        action: str,
        sidecar: int | None = None,
        target: int | None = None,
        value: float = 0.0,
    ) -> None:
        sidecars = () if sidecar is None else (sidecar,)
        targets = () if target is None else (target,)
        self.steps.append(Step(at, action, sidecars, targets, round(value, 3)))

    def reserve_victim(self, at: float, busy_s: float) -> int | None:
        """Draw a victim without a fault, or return None if there is none."""
        return self._reserve(self.processes, self.victims, at, busy_s)

    def reserve_steady_sidecar(self, at: float, busy_s: float) -> int | None:
        """Draw a steady sidecar without a fault, or return None if there is none."""
        return self._reserve(self.processes, self.steady, at, busy_s)

    def reserve_backend(self, at: float, busy_s: float) -> int | None:
        """Draw a backend without a fault, or return None if there is none or too many have one."""
        if self.backends.count(at) >= BACKENDS_OUT_MAX:
            return None
        return self._reserve(self.backends, range(NODES), at, busy_s)

    def _reserve(
        self, reservations: _Reservations, among: Iterable[int], at: float, busy_s: float
    ) -> int | None:
        free = reservations.free(among, at)
        if not free:
            return None
        target = self.chance.choice(free)
        reservations.reserve(target, at + busy_s)
        return target


Fault = Callable[[_ScheduleBuilder, float], None]


def _kill(builder: _ScheduleBuilder, at: float) -> None:
    down_s = builder.chance.uniform(0.2, 3.0)
    victim = builder.reserve_victim(at, down_s + 6.0)
    if victim is not None:
        builder.add(at, builder.chance.choice(("kill", "leave")), victim)
        builder.add(at + 4.0 + down_s, "start", victim)


def _stop(builder: _ScheduleBuilder, at: float) -> None:
    stopped_s = builder.chance.uniform(0.3, 3.0)
    victim = builder.reserve_victim(at, stopped_s + 1.0)
    if victim is not None:
        builder.add(at, "stop", victim, value=stopped_s)


def _failed_upgrade(builder: _ScheduleBuilder, at: float) -> None:
    victim = builder.reserve_victim(at, 8.0)
    if victim is not None:
        action = builder.chance.choice(("old_dies", "new_dies", "new_hangs"))
        builder.add(at, action, victim, value=builder.chance.uniform(0.0, 0.8))


def _upgrade(builder: _ScheduleBuilder, at: float) -> None:
    sidecar = builder.reserve_steady_sidecar(at, 8.0)
    if sidecar is not None:
        builder.add(at, "upgrade", sidecar)


def _short_stop(builder: _ScheduleBuilder, at: float) -> None:
    sidecar = builder.reserve_steady_sidecar(at, 1.0)
    if sidecar is not None:
        builder.add(at, "stop", sidecar, value=builder.chance.uniform(0.02, TOLERATED_STOP_S))


def _network_cut(builder: _ScheduleBuilder, at: float) -> None:
    one, other = builder.chance.sample(range(builder.sidecars), 2)
    builder.add(at, "cut", one, other)
    if builder.chance.random() < 0.3:
        builder.add(at + builder.duration(at, 0.5, 4.0), "heal")


def _network_loss(builder: _ScheduleBuilder, at: float) -> None:
    builder.add(at, "loss", value=builder.chance.uniform(0.1, 0.4))
    builder.add(at + builder.duration(at, 1.0, 4.0), "loss")


def _backend_outage(builder: _ScheduleBuilder, at: float) -> None:
    duration_s = builder.duration(at, 0.3, 5.0)
    backend = builder.reserve_backend(at, duration_s + RESERVED_AFTER_FAULT_S)
    if backend is None:
        return
    fault = builder.chance.choice(BACKEND_FAULTS)
    if fault.startswith("tcp_"):
        builder.add(at, fault, target=backend)
        builder.add(at + duration_s, "tcp_heal", target=backend)
    else:
        builder.add(at, f"node_{fault}", target=backend, value=builder.chance.uniform(0.1, 0.9))
        builder.add(at + duration_s, "node_well", target=backend)


def _outage_of_all_backends(builder: _ScheduleBuilder, at: float) -> None:
    """For a moment there is no server to send to: requests are rejected on arrival."""
    duration_s = builder.duration(at, 0.3, 1.2)
    if builder.backends.count(at):
        return
    for backend in range(NODES):
        builder.backends.reserve(backend, at + duration_s + 1.5)
        builder.add(at, "node_die", target=backend)
        builder.add(at + duration_s, "node_well", target=backend)


def _backend_reset(builder: _ScheduleBuilder, at: float) -> None:
    builder.add(at, "node_reset", target=builder.chance.randrange(NODES))


def _backend_drain(builder: _ScheduleBuilder, at: float) -> None:
    duration_s = builder.duration(at, 1.0, 6.0)
    backend = builder.reserve_backend(at, duration_s + RESERVED_AFTER_FAULT_S)
    if backend is not None:
        builder.add(at, "drain", target=backend)
        builder.add(at + duration_s, "undrain", target=backend)


def _registry_outage(builder: _ScheduleBuilder, at: float) -> None:
    if builder.registry_outages and builder.registry_outages[-1][1] >= at:
        return
    _add_registry_outage(builder, at, builder.duration(at, 0.5, 6.0))


def _add_registry_outage(builder: _ScheduleBuilder, at: float, duration_s: float) -> None:
    """The registry is cut off, or some of its calls fail, get lost or wait; a drain may follow at once."""
    end = at + duration_s
    builder.registry_outages.append((at, end))
    fault = builder.chance.choice(("tcp_hold", "tcp_cut", *REGISTRY_FAULTS, *REGISTRY_FAULTS))
    builder.add(at, fault, target=REGISTRY)
    builder.add(end, "tcp_heal" if fault.startswith("tcp_") else "registry_well", target=REGISTRY)
    if builder.chance.random() < 0.5:
        backend = builder.reserve_backend(end, DRAIN_S + RESERVED_AFTER_FAULT_S)
        if backend is not None:
            # Shortly before or after the registry is back.
            builder.add(end + builder.chance.uniform(-0.3, 0.3), "drain", target=backend)
            builder.add(end + DRAIN_S, "undrain", target=backend)


def _reloads(builder: _ScheduleBuilder, at: float) -> None:
    """New configurations in quick succession, at one sidecar or at many; some move discovery to another address."""
    count, interval_s = builder.chance.randrange(1, 12), builder.chance.uniform(0.01, 0.5)
    sidecar_count = builder.chance.choice((1, 1, 1, builder.sidecars // 3))
    sidecars = builder.chance.sample(range(builder.sidecars), sidecar_count)
    for number in range(count):
        for sidecar in sidecars:
            moves_discovery = float(builder.chance.random() < 0.5)
            builder.add(at + number * interval_s, "reload", sidecar, value=moves_discovery)


def _restart(builder: _ScheduleBuilder, at: float) -> None:
    """SIGTERM, SIGKILL at the platform's earliest, and a start with an old endpoint list."""
    sidecar = builder.reserve_steady_sidecar(at, 12.0)
    if sidecar is not None:
        builder.add(at, "restart", sidecar, value=builder.chance.uniform(0.0, 2.0))


def _connection_flood(builder: _ScheduleBuilder, at: float) -> None:
    if not builder.has_connection_floods:
        return
    sidecar = builder.chance.choice(builder.steady)
    builder.add(at, "connection_flood", sidecar, value=builder.chance.uniform(1.0, 5.0))


# A fault that stands twice is drawn twice as often.
FAULTS: tuple[Fault, ...] = (
    _kill, _stop, _failed_upgrade, _upgrade, _short_stop, _short_stop, _network_cut, _network_loss,
    _backend_outage, _backend_outage, _outage_of_all_backends, _backend_reset, _backend_drain, _backend_drain,
    _registry_outage, _registry_outage, _reloads, _reloads, _restart, _restart, _connection_flood,
)  # fmt: skip


def draw_schedule(sidecars: int, seed: int, seconds: float) -> FaultSchedule:
    """Draw the faults of one soak; faults that would last are ended with it."""
    builder = _ScheduleBuilder(sidecars, seed, seconds)
    at = 1.0
    if builder.chance.random() < LONG_OUTAGE_RATIO:
        _add_registry_outage(builder, at, builder.duration(at, 8.0, 14.0))
    while at < seconds:
        builder.chance.choice(FAULTS)(builder, at)
        at += builder.chance.expovariate(1.0 / MEAN_FAULT_INTERVAL_S)
    builder.add(seconds, "heal")
    builder.add(seconds, "loss")
    crowds = draw_crowds(seed, seconds, builder.steady)
    steps = sorted(builder.steps + crowds, key=lambda step: step.at)
    return FaultSchedule(seconds, frozenset(builder.victims), steps)
