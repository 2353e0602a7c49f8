"""The failure scenes of a tier, as data: who does what when, by a seed, for processes and for played time alike.

A step's times are seconds from the scene's beginning.  `excused` are members that others may rightly call gone; every
other verdict "gone" on a member that lives is counted as false.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

TOLERATED_PAUSE_S = 1.0  # by the rules' default
REGISTRY = -1  # in `to` of TCP's faults
NODES = 4


@dataclass(frozen=True, slots=True)
class Step:
    """`do`: kill, start, stop or busy (for `value` s), leave, upgrade, cut, heal, loss, delay, doubled.

    Of an upgrade, `value` s after the new process was begun: old_dies, new_dies, new_hangs (for 2 s, then killed).
    Of TCP, `to` nodes by number or REGISTRY: tcp_hold (what they answer), tcp_cut, tcp_heal; of nodes: drain, undrain,
    refuse and accept (untold).
    """

    at: float
    do: str
    who: tuple[int, ...] = ()
    to: tuple[int, ...] = ()  # of cut and heal: what goes from `who` to these
    value: float = 0.0


@dataclass(slots=True)
class Scenario:
    """One play of a scene."""

    steps: list[Step]
    faults_end_s: float  # from then on all is well; views are equal 5 s later
    excused: set[int] = field(default_factory=set)
    nobody_gone: bool = True  # whether "gone" of one that lives is counted
    waits: float = 5.0  # for views to be equal

    @property
    def ends_s(self) -> float:
        return self.faults_end_s + self.waits


ScenarioFactory = Callable[[int, random.Random, float], Scenario]
SCENARIOS: dict[str, ScenarioFactory] = {}


def _scene(make: ScenarioFactory) -> ScenarioFactory:
    SCENARIOS[make.__name__] = make
    return make


def _some(chance: random.Random, n: int, count: int) -> tuple[int, ...]:
    return tuple(sorted(chance.sample(range(n), min(count, n))))


def _others(n: int, without: Iterable[int]) -> tuple[int, ...]:
    barred = set(without)
    return tuple(each for each in range(n) if each not in barred)


@_scene
def calm(n: int, chance: random.Random, pace: float) -> Scenario:
    """Nothing happens."""
    return Scenario([], 4.0 * pace)


@_scene
def killed(n: int, chance: random.Random, pace: float) -> Scenario:
    """One is killed and stays away."""
    (one,) = _some(chance, n, 1)
    return Scenario([Step(pace * (1.0 + chance.random()), "kill", (one,))], 2.0 * pace, {one})


@_scene
def pauses(n: int, chance: random.Random, pace: float) -> Scenario:
    """Processes stop for 0.1 s up to the pause that is borne, one after another."""
    steps, at = [], 1.0
    while at < 1.0 + 5.0 * pace:
        span = chance.uniform(0.1, 0.95 * TOLERATED_PAUSE_S)
        steps.append(Step(at, "stop", _some(chance, n, 1), value=span))
        at += span + chance.uniform(0.1, 0.6)
    return Scenario(steps, at + TOLERATED_PAUSE_S)


@_scene
def long_stop(n: int, chance: random.Random, pace: float) -> Scenario:
    """One stops for much longer than is borne: it is gone, and back within 2 s of its waking."""
    (one,) = _some(chance, n, 1)
    span = 6.0 + 6.0 * pace * chance.random()
    return Scenario([Step(1.0, "stop", (one,), value=span)], 1.0 + span, {one}, waits=3.0)


@_scene
def stopped_together(n: int, chance: random.Random, pace: float) -> Scenario:
    """Three of five stop together; on waking they doubt themselves."""
    who = _some(chance, n, max(3 * n // 5, 1))
    return Scenario([Step(1.0, "stop", who, value=5.0)], 6.0, set(who))


@_scene
def stopped_each_second(n: int, chance: random.Random, pace: float) -> Scenario:
    """One that is stopped and woken every second."""
    (one,) = _some(chance, n, 1)
    steps = [Step(1.0 + 2.0 * turn, "stop", (one,), value=1.0) for turn in range(int(4 * pace) or 1)]
    return Scenario(steps, steps[-1].at + 1.0)


@_scene
def one_way_pair(n: int, chance: random.Random, pace: float) -> Scenario:
    """A hears B, and B not A."""
    a, b = chance.sample(range(n), 2)
    return Scenario([Step(1.0, "cut", (a,), (b,)), Step(1.0 + 6.0 * pace, "heal")], 1.0 + 6.0 * pace)


@_scene
def pair_both_ways(n: int, chance: random.Random, pace: float) -> Scenario:
    """Two that can't hear one another, while both reach the others."""
    a, b = chance.sample(range(n), 2)
    steps = [Step(1.0, "cut", (a,), (b,)), Step(1.0, "cut", (b,), (a,))]
    return Scenario([*steps, Step(1.0 + 6.0 * pace, "heal")], 1.0 + 6.0 * pace)


@_scene
def one_hears_nobody(n: int, chance: random.Random, pace: float) -> Scenario:
    """One that speaks and does not hear is unsure to the others, and knows that it is cut off."""
    (one,) = _some(chance, n, 1)
    steps = [Step(1.0, "cut", _others(n, (one,)), (one,)), Step(1.0 + 6.0 * pace, "heal")]
    return Scenario(steps, 1.0 + 6.0 * pace)


@_scene
def one_is_unheard(n: int, chance: random.Random, pace: float) -> Scenario:
    """One that hears and is not heard is gone to the others, and calls nobody gone."""
    (one,) = _some(chance, n, 1)
    steps = [Step(1.0, "cut", (one,), _others(n, (one,))), Step(1.0 + 6.0 * pace, "heal")]
    return Scenario(steps, 1.0 + 6.0 * pace, {one})


@_scene
def ring(n: int, chance: random.Random, pace: float) -> Scenario:
    """Each is cut off one way from the next in a ring."""
    order = list(range(n))
    chance.shuffle(order)
    cuts = [Step(1.0, "cut", (a,), (b,)) for a, b in zip(order, order[1:] + order[:1], strict=True)]
    return Scenario([*cuts, Step(1.0 + 6.0 * pace, "heal")], 1.0 + 6.0 * pace)


@_scene
def half_hears_not(n: int, chance: random.Random, pace: float) -> Scenario:
    """Nothing gets from one half to the other, and all the way back."""
    half = _some(chance, n, n // 2)
    steps = [Step(1.0, "cut", half, _others(n, half)), Step(1.0 + 6.0 * pace, "heal")]
    excused = set(half) if 2 * len(half) < n else set()
    return Scenario(steps, 1.0 + 6.0 * pace, excused)


@_scene
def lossy(n: int, chance: random.Random, pace: float) -> Scenario:
    """A fifth is lost each way, and processes stop for less than is borne."""
    steps = [Step(0.5, "loss", value=0.2), *pauses(n, chance, pace).steps]
    end = max(each.at for each in steps) + 2.0
    return Scenario([*steps, Step(end, "loss")], end)


@_scene
def very_lossy(n: int, chance: random.Random, pace: float) -> Scenario:
    """Two fifths are lost each way, with delays of up to 2 s, and doubles."""
    steps = [Step(0.5, "loss", value=0.4), Step(0.5, "delay", value=2.0), Step(0.5, "doubled", value=0.1)]
    end = 1.0 + 8.0 * pace
    steps += [Step(end, "loss"), Step(end, "delay"), Step(end, "doubled")]
    return Scenario(steps, end + 2.0)


@_scene
def split(n: int, chance: random.Random, pace: float) -> Scenario:
    """Two halves for a while, with a restart and a leave in each, and joins."""
    half = _some(chance, n, n // 2)
    rest = _others(n, half)
    span = 10.0 * pace
    steps = [Step(1.0, "cut", half, rest), Step(1.0, "cut", rest, half)]
    for side in (half, rest):
        if len(side) > 1:
            one = chance.choice(side)
            steps += [Step(1.0 + span * 0.3, "kill", (one,)), Step(1.0 + span * 0.6, "start", (one,))]
    steps.append(Step(1.0 + span, "heal"))
    small = half if len(half) < len(rest) else ()
    killed = {who for step in steps if step.do == "kill" for who in step.who}
    return Scenario(sorted(steps, key=lambda each: each.at), 1.0 + span, set(small) | killed)


@_scene
def split_single(n: int, chance: random.Random, pace: float) -> Scenario:
    """One alone on its side."""
    (one,) = _some(chance, n, 1)
    rest = _others(n, (one,))
    steps = [Step(1.0, "cut", (one,), rest), Step(1.0, "cut", rest, (one,)), Step(1.0 + 8.0 * pace, "heal")]
    return Scenario(steps, 1.0 + 8.0 * pace, {one})


@_scene
def most_killed(n: int, chance: random.Random, pace: float) -> Scenario:
    """Seven in ten are killed at once, and come back soon under their old names."""
    who = _some(chance, n, max(7 * n // 10, 1))
    steps = [Step(1.0, "kill", who)]
    back = [Step(1.5 + 1.5 * chance.random(), "start", (each,)) for each in who]
    return Scenario([*steps, *sorted(back, key=lambda each: each.at)], 3.0, set(who))


@_scene
def restarts(n: int, chance: random.Random, pace: float) -> Scenario:
    """Ten restarts in a row of one."""
    (one,) = _some(chance, n, 1)
    steps, at = [], 1.0
    for _ in range(10):
        steps += [Step(at, "kill", (one,)), Step(at + 0.15, "start", (one,))]
        at += 0.9 * max(pace, 0.5)
    return Scenario(steps, at, {one})


@_scene
def leaves_and_joins(n: int, chance: random.Random, pace: float) -> Scenario:
    """Some leave by SIGTERM, told, and start again later."""
    who = _some(chance, n, max(n // 4, 1))
    steps = [Step(1.0 + 0.2 * k, "leave", (each,)) for k, each in enumerate(who)]
    back = 1.0 + 0.2 * len(who) + 2.0 * pace
    steps += [Step(back + 0.1 * k, "start", (each,)) for k, each in enumerate(who)]
    return Scenario(steps, back + 0.1 * len(who))


@_scene
def upgrades(n: int, chance: random.Random, pace: float) -> Scenario:
    """Some are upgraded by a second process: nobody is ever suspected for it."""
    who = _some(chance, n, max(n // 4, 1))
    steps = [Step(1.0 + 2.5 * k, "upgrade", (each,)) for k, each in enumerate(who)]
    return Scenario(steps, steps[-1].at + 3.0)


@_scene
def busy(n: int, chance: random.Random, pace: float) -> Scenario:
    """The whole machine is so busy that everyone is late: nobody goes for that."""
    return Scenario([Step(1.0, "busy", tuple(range(n)), value=4.0 * pace)], 1.0 + 4.0 * pace)


@_scene
def upgrades_broken(n: int, chance: random.Random, pace: float) -> Scenario:
    """Upgrades of which the old or the new process is killed, or the new one stopped, at whatever moment."""
    ways = ("old_dies", "new_dies", "new_hangs", "new_dies", "old_dies")
    steps, at = [], 1.0
    for way in ways[: max(int(len(ways) * pace), 3)]:
        steps.append(Step(at, way, _some(chance, n, 1), value=chance.uniform(0.0, 0.8)))
        at += 4.0
    # Who hangs as it takes over stands still for longer than is borne.
    return Scenario(steps, at, {who for each in steps if each.do == "new_hangs" for who in each.who})


@_scene
def nodes_cut(n: int, chance: random.Random, pace: float) -> Scenario:
    """TCP to one node breaks and to another stands still, one drains, while two sidecars are cut one way."""
    a, b = chance.sample(range(n), 2)
    cut, held, drained = chance.sample(range(NODES), 3)
    steps = [
        Step(1.0, "cut", (a,), (b,)),
        Step(1.0, "tcp_cut", (), (cut,)),
        Step(1.5, "tcp_hold", (), (held,)),
        Step(2.0, "drain", (), (drained,)),
        Step(3.0 + 2.0 * pace, "tcp_heal", (), (cut, held)),
        Step(3.5 + 2.0 * pace, "undrain", (), (drained,)),
        Step(4.0 + 4.0 * pace, "heal"),
    ]
    return Scenario(steps, 4.0 + 4.0 * pace)


@_scene
def registry_silent(n: int, chance: random.Random, pace: float) -> Scenario:
    """The registry stands still while one sidecar is killed and started, and all go on by the list that they have."""
    (one,) = _some(chance, n, 1)
    steps = [
        Step(1.0, "tcp_hold", (), (REGISTRY,)),
        Step(1.5, "kill", (one,)),
        Step(2.0, "start", (one,)),
        Step(2.0 + 4.0 * pace, "tcp_heal", (), (REGISTRY,)),
    ]
    return Scenario(steps, 2.0 + 4.0 * pace, {one})
