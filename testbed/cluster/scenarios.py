"""The failure scenarios of a cluster, as data for real processes and for virtual time alike, drawn from a seed."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

TOLERATED_PAUSE_S = 1.0  # by the protocol's default settings
REGISTRY = -1  # among `targets` of TCP faults
NODES = 4


@dataclass(frozen=True, slots=True)
class Step:
    """One fault, or its end.

    `action` of members: kill, start, stop and busy (for `value` s), leave, upgrade; of upgrades that fail `value` s
    after the successor's start: old_dies, new_dies, new_hangs (for 2 s, then it is killed).  Of datagrams: cut, heal,
    loss, delay, doubled.  Of TCP to `targets`, nodes by number or REGISTRY: tcp_hold (their answers), tcp_cut,
    tcp_heal.  Of nodes: drain, undrain, refuse and accept (these two without a notice).
    """

    at: float  # seconds from the scenario's beginning
    action: str
    members: tuple[int, ...] = ()
    targets: tuple[int, ...] = ()  # of cut: what goes from `members` to these is lost
    value: float = 0.0


@dataclass(slots=True)
class Scenario:
    """The steps of one run, and what is expected of it; times in seconds."""

    steps: list[Step]
    faults_end_s: float
    excused: set[int] = field(default_factory=set)  # members that others may declare dead while they live
    forbids_deaths: bool = True  # whether a death of any other live member is a violation
    convergence_s: float = 5.0  # from the end of the faults until all views are true

    @property
    def ends_s(self) -> float:
        """When the run is over."""
        return self.faults_end_s + self.convergence_s


ScenarioFactory = Callable[[int, random.Random, float], Scenario]  # members, random source, pace
SCENARIOS: dict[str, ScenarioFactory] = {}


def _scenario(make: ScenarioFactory) -> ScenarioFactory:
    SCENARIOS[make.__name__] = make
    return make


def _sample(rng: random.Random, members: int, count: int) -> tuple[int, ...]:
    return tuple(sorted(rng.sample(range(members), min(count, members))))


def _others(members: int, excluded: Iterable[int]) -> tuple[int, ...]:
    excluded = set(excluded)
    return tuple(number for number in range(members) if number not in excluded)


@_scenario
def calm(members: int, rng: random.Random, pace: float) -> Scenario:
    """Nothing happens."""
    return Scenario([], 4.0 * pace)


@_scenario
def killed(members: int, rng: random.Random, pace: float) -> Scenario:
    """One member is killed and stays dead."""
    (victim,) = _sample(rng, members, 1)
    return Scenario([Step(pace * (1.0 + rng.random()), "kill", (victim,))], 2.0 * pace, {victim})


@_scenario
def pauses(members: int, rng: random.Random, pace: float) -> Scenario:
    """Processes stop for 0.1 s up to the tolerated pause, one after another."""
    steps, at = [], 1.0
    while at < 1.0 + 5.0 * pace:
        span = rng.uniform(0.1, 0.95 * TOLERATED_PAUSE_S)
        steps.append(Step(at, "stop", _sample(rng, members, 1), value=span))
        at += span + rng.uniform(0.1, 0.6)
    return Scenario(steps, at + TOLERATED_PAUSE_S)


@_scenario
def long_stop(members: int, rng: random.Random, pace: float) -> Scenario:
    """One stops for much longer than is tolerated: it is declared dead, and is back soon after it resumes."""
    (victim,) = _sample(rng, members, 1)
    span = 6.0 + 6.0 * pace * rng.random()
    steps = [Step(1.0, "stop", (victim,), value=span)]
    return Scenario(steps, 1.0 + span, {victim}, convergence_s=3.0)


@_scenario
def stopped_together(members: int, rng: random.Random, pace: float) -> Scenario:
    """Three of five stop together; when they resume they distrust themselves."""
    victims = _sample(rng, members, max(3 * members // 5, 1))
    return Scenario([Step(1.0, "stop", victims, value=5.0)], 6.0, set(victims))


@_scenario
def stopped_each_second(members: int, rng: random.Random, pace: float) -> Scenario:
    """One is stopped and resumed every second."""
    (victim,) = _sample(rng, members, 1)
    turns = int(4 * pace) or 1
    steps = [Step(1.0 + 2.0 * turn, "stop", (victim,), value=1.0) for turn in range(turns)]
    return Scenario(steps, steps[-1].at + 1.0)


@_scenario
def one_way_pair(members: int, rng: random.Random, pace: float) -> Scenario:
    """Nothing gets from one member to another one, and all the way back."""
    sender, receiver = rng.sample(range(members), 2)
    end = 1.0 + 6.0 * pace
    return Scenario([Step(1.0, "cut", (sender,), (receiver,)), Step(end, "heal")], end)


@_scenario
def pair_both_ways(members: int, rng: random.Random, pace: float) -> Scenario:
    """Two can't reach one another, while both reach the others."""
    one, other = rng.sample(range(members), 2)
    steps = [Step(1.0, "cut", (one,), (other,)), Step(1.0, "cut", (other,), (one,))]
    end = 1.0 + 6.0 * pace
    return Scenario([*steps, Step(end, "heal")], end)


@_scenario
def one_hears_nobody(members: int, rng: random.Random, pace: float) -> Scenario:
    """One that sends and does not receive stays suspect to the others, and reports that it is isolated."""
    (deaf,) = _sample(rng, members, 1)
    end = 1.0 + 6.0 * pace
    return Scenario([Step(1.0, "cut", _others(members, (deaf,)), (deaf,)), Step(end, "heal")], end)


@_scenario
def one_is_unheard(members: int, rng: random.Random, pace: float) -> Scenario:
    """One that receives and is not heard is declared dead by the others, and declares nobody dead."""
    (mute,) = _sample(rng, members, 1)
    end = 1.0 + 6.0 * pace
    return Scenario([Step(1.0, "cut", (mute,), _others(members, (mute,))), Step(end, "heal")], end, {mute})


@_scenario
def ring(members: int, rng: random.Random, pace: float) -> Scenario:
    """Each is cut off one way from the next in a ring."""
    order = list(range(members))
    rng.shuffle(order)
    successors = order[1:] + order[:1]
    cuts = [Step(1.0, "cut", (one,), (after,)) for one, after in zip(order, successors, strict=True)]
    end = 1.0 + 6.0 * pace
    return Scenario([*cuts, Step(end, "heal")], end)


@_scenario
def half_hears_not(members: int, rng: random.Random, pace: float) -> Scenario:
    """Nothing gets from one half to the other, and all the way back."""
    half = _sample(rng, members, members // 2)
    end = 1.0 + 6.0 * pace
    steps = [Step(1.0, "cut", half, _others(members, half)), Step(end, "heal")]
    excused = set(half) if 2 * len(half) < members else set()
    return Scenario(steps, end, excused)


@_scenario
def lossy(members: int, rng: random.Random, pace: float) -> Scenario:
    """A fifth is lost each way, and processes stop for less than is tolerated."""
    steps = [Step(0.5, "loss", value=0.2), *pauses(members, rng, pace).steps]
    end = max(step.at for step in steps) + 2.0
    return Scenario([*steps, Step(end, "loss")], end)


@_scenario
def very_lossy(members: int, rng: random.Random, pace: float) -> Scenario:
    """Two fifths are lost each way, with delays of up to 2 s, and duplicates."""
    steps = [Step(0.5, "loss", value=0.4), Step(0.5, "delay", value=2.0), Step(0.5, "doubled", value=0.1)]
    end = 1.0 + 8.0 * pace
    steps += [Step(end, "loss"), Step(end, "delay"), Step(end, "doubled")]
    return Scenario(steps, end + 2.0)


@_scenario
def split(members: int, rng: random.Random, pace: float) -> Scenario:
    """Two halves for some time, with a restart in each."""
    half = _sample(rng, members, members // 2)
    rest = _others(members, half)
    span = 10.0 * pace
    steps = [Step(1.0, "cut", half, rest), Step(1.0, "cut", rest, half)]
    restarted = set()
    for side in (half, rest):
        if len(side) > 1:
            victim = rng.choice(side)
            restarted.add(victim)
            steps.append(Step(1.0 + span * 0.3, "kill", (victim,)))
            steps.append(Step(1.0 + span * 0.6, "start", (victim,)))
    steps.append(Step(1.0 + span, "heal"))
    minority = set(half) if len(half) < len(rest) else set()
    return Scenario(sorted(steps, key=lambda step: step.at), 1.0 + span, minority | restarted)


@_scenario
def split_single(members: int, rng: random.Random, pace: float) -> Scenario:
    """One alone on its side."""
    (lone,) = _sample(rng, members, 1)
    rest = _others(members, (lone,))
    end = 1.0 + 8.0 * pace
    steps = [Step(1.0, "cut", (lone,), rest), Step(1.0, "cut", rest, (lone,)), Step(end, "heal")]
    return Scenario(steps, end, {lone})


@_scenario
def most_killed(members: int, rng: random.Random, pace: float) -> Scenario:
    """Seven in ten are killed at once, and come back soon under their old names."""
    victims = _sample(rng, members, max(7 * members // 10, 1))
    starts = [Step(1.5 + 1.5 * rng.random(), "start", (victim,)) for victim in victims]
    steps = [Step(1.0, "kill", victims), *sorted(starts, key=lambda step: step.at)]
    return Scenario(steps, 3.0, set(victims))


@_scenario
def restarts(members: int, rng: random.Random, pace: float) -> Scenario:
    """Ten restarts of one member in a row."""
    (victim,) = _sample(rng, members, 1)
    steps, at = [], 1.0
    for _ in range(10):
        steps += [Step(at, "kill", (victim,)), Step(at + 0.15, "start", (victim,))]
        at += 0.9 * max(pace, 0.5)
    return Scenario(steps, at, {victim})


@_scenario
def leaves_and_joins(members: int, rng: random.Random, pace: float) -> Scenario:
    """Some leave by SIGTERM, and start again later."""
    leavers = _sample(rng, members, max(members // 4, 1))
    steps = [Step(1.0 + 0.2 * turn, "leave", (leaver,)) for turn, leaver in enumerate(leavers)]
    back = 1.0 + 0.2 * len(leavers) + 2.0 * pace
    steps += [Step(back + 0.1 * turn, "start", (leaver,)) for turn, leaver in enumerate(leavers)]
    return Scenario(steps, back + 0.1 * len(leavers))


@_scenario
def upgrades(members: int, rng: random.Random, pace: float) -> Scenario:
    """Some are followed by a second process of theirs: nobody is ever suspected for it."""
    upgraded = _sample(rng, members, max(members // 4, 1))
    steps = [Step(1.0 + 2.5 * turn, "upgrade", (member,)) for turn, member in enumerate(upgraded)]
    return Scenario(steps, steps[-1].at + 3.0)


@_scenario
def busy(members: int, rng: random.Random, pace: float) -> Scenario:
    """The whole machine is so busy that all processes are late: nobody is declared dead for that."""
    step = Step(1.0, "busy", tuple(range(members)), value=4.0 * pace)
    return Scenario([step], 1.0 + 4.0 * pace)


@_scenario
def upgrades_broken(members: int, rng: random.Random, pace: float) -> Scenario:
    """Upgrades of which the old or the new process is killed, or the new one stopped, at any moment."""
    failures = ("old_dies", "new_dies", "new_hangs", "new_dies", "old_dies")
    steps, at = [], 1.0
    for failure in failures[: max(int(len(failures) * pace), 3)]:
        steps.append(Step(at, failure, _sample(rng, members, 1), value=rng.uniform(0.0, 0.8)))
        at += 4.0
    # A successor that hangs as it takes over stalls for longer than is tolerated.
    hanging = {member for step in steps if step.action == "new_hangs" for member in step.members}
    return Scenario(steps, at, hanging)


@_scenario
def nodes_cut(members: int, rng: random.Random, pace: float) -> Scenario:
    """TCP to one node breaks and to another stalls, one drains, while two sidecars are cut one way."""
    sender, receiver = rng.sample(range(members), 2)
    broken, stalled, drained = rng.sample(range(NODES), 3)
    steps = [
        Step(1.0, "cut", (sender,), (receiver,)),
        Step(1.0, "tcp_cut", (), (broken,)),
        Step(1.5, "tcp_hold", (), (stalled,)),
        Step(2.0, "drain", (), (drained,)),
        Step(3.0 + 2.0 * pace, "tcp_heal", (), (broken, stalled)),
        Step(3.5 + 2.0 * pace, "undrain", (), (drained,)),
        Step(4.0 + 4.0 * pace, "heal"),
    ]
    return Scenario(steps, 4.0 + 4.0 * pace)


@_scenario
def registry_silent(members: int, rng: random.Random, pace: float) -> Scenario:
    """The registry stalls while one sidecar is killed and started, and all continue with the list that they have."""
    (victim,) = _sample(rng, members, 1)
    end = 2.0 + 4.0 * pace
    steps = [
        Step(1.0, "tcp_hold", (), (REGISTRY,)),
        Step(1.5, "kill", (victim,)),
        Step(2.0, "start", (victim,)),
        Step(end, "tcp_heal", (), (REGISTRY,)),
    ]
    return Scenario(steps, end, {victim})
