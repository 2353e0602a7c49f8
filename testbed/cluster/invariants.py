"""Whether a cluster kept the promise: each process's view, compared with what the harness knows to be true."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from testbed.cluster.scenarios import Scenario, Step
from topazbank.cluster.member import MemberState

DETECTION_S = 4.0  # within which all know of a death
_UNDISTURBED_BY = ("cut", "stop", "busy", "loss", "delay")  # deaths are timed only without these faults


@dataclass(frozen=True, slots=True)
class StateChange:
    """One process found a member in another state, at `at` seconds."""

    at: float
    observer: int
    member: int
    old: MemberState | None  # None: it was unknown
    new: MemberState | None  # None: it is forgotten
    generation: int = 0


@dataclass(frozen=True, slots=True)
class FaultRecord:
    """A step that was applied, at `at` seconds."""

    at: float
    action: str
    members: tuple[int, ...]
    targets: tuple[int, ...] = ()
    value: float = 0.0

    @classmethod
    def of(cls, step: Step, at: float) -> FaultRecord:
        """Record that a step was applied at this time."""
        return cls(at, step.action, step.members, step.targets, step.value)


@dataclass(frozen=True, slots=True)
class ViewSample:
    """One process's view at `at` seconds."""

    at: float
    observer: int
    live: Mapping[int, int]  # generations of the members that it counts as live
    is_isolated: bool
    suspects: int = 0


@dataclass(slots=True)
class Outcome:
    """The judgement of one scenario."""

    violations: list[str] = field(default_factory=list)
    false_deaths: int = 0
    detection_s: list[float] = field(default_factory=list)  # from a kill until each other member knew
    flaps: int = 0  # returns from the dead
    suspicions: int = 0
    convergence_s: float | None = None  # from the end of all faults until all views were true


def judge(
    scenario: Scenario,
    applied: Sequence[FaultRecord],
    changes: Sequence[StateChange],
    samples: Sequence[ViewSample],
    generations: Mapping[int, int],
    detection_s: float = DETECTION_S,
) -> Outcome:
    """`generations`: of the members that run at the end; `samples`: after the end of the faults, in order of time."""
    outcome = Outcome()
    killed = {member: record.at for record in applied if record.action == "kill" for member in record.members}
    started = {member for record in applied if record.action == "start" for member in record.members}
    stayed_dead = {member: at for member, at in killed.items() if member not in started}
    for change in changes:
        _judge_change(outcome, scenario, change)
    _judge_resurrections(outcome, changes, stayed_dead)
    is_disturbed = any(record.action in _UNDISTURBED_BY for record in applied)
    if len(killed) == 1 and not is_disturbed:
        for member, at in stayed_dead.items():
            _judge_detection(outcome, changes, member, at, detection_s)
    _judge_convergence(outcome, scenario, samples, generations)
    return outcome


def _judge_change(outcome: Outcome, scenario: Scenario, change: StateChange) -> None:
    outcome.suspicions += change.new is MemberState.SUSPECT
    outcome.flaps += change.old is MemberState.DEAD and change.new is MemberState.ALIVE
    is_dead = change.new is MemberState.DEAD
    if is_dead and scenario.forbids_deaths and change.member not in scenario.excused:
        outcome.false_deaths += 1
        outcome.violations.append(
            f"{change.observer} declared {change.member} dead at {change.at:.2f} s, and it was alive"
        )


def _judge_resurrections(
    outcome: Outcome, changes: Sequence[StateChange], stayed_dead: Mapping[int, float]
) -> None:
    """No member that knew of a death may count the dead member as alive again."""
    informed: set[tuple[int, int]] = set()
    for change in changes:
        if change.member not in stayed_dead or change.at < stayed_dead[change.member]:
            continue
        if change.new in (MemberState.DEAD, None):
            informed.add((change.observer, change.member))
        elif change.new is MemberState.ALIVE and (change.observer, change.member) in informed:
            outcome.violations.append(
                f"{change.observer} counted the dead {change.member} as alive at {change.at:.2f} s"
            )


def _judge_detection(
    outcome: Outcome, changes: Sequence[StateChange], member: int, killed_at: float, detection_s: float
) -> None:
    """All others must know of a death in time."""
    detected: dict[int, float] = {}
    for change in changes:
        if change.member == member and change.new is MemberState.DEAD and change.at >= killed_at:
            detected.setdefault(change.observer, change.at - killed_at)
    outcome.detection_s += detected.values()
    outcome.violations += [
        f"{observer} knew of the death of {member} after {took:.2f} s"
        for observer, took in detected.items()
        if took > detection_s
    ]


def _judge_convergence(
    outcome: Outcome, scenario: Scenario, samples: Sequence[ViewSample], generations: Mapping[int, int]
) -> None:
    """All views must be true at the end; the time counts from which all stay true."""
    last: dict[int, ViewSample] = {}
    wrong_at: float | None = None
    for sample in samples:
        last[sample.observer] = sample
        if sample.is_isolated or sample.suspects or dict(sample.live) != dict(generations):
            wrong_at = sample.at
    for observer in generations:
        wrong = _wrong_view(observer, last.get(observer), generations)
        if wrong is not None:
            outcome.violations.append(wrong)
    if not outcome.violations or wrong_at is not None:
        outcome.convergence_s = max((wrong_at or 0.0) - scenario.faults_end_s, 0.0)


def _wrong_view(observer: int, sample: ViewSample | None, generations: Mapping[int, int]) -> str | None:
    """Return what is wrong with a member's last view; None where it is true."""
    if sample is None:
        return f"{observer} gave no view"
    if sample.is_isolated:
        return f"{observer} reports that it is isolated, and is not"
    if sample.suspects:
        return f"{observer} still suspects {sample.suspects} live members"
    if dict(sample.live) == dict(generations):
        return None
    missing = sorted(set(generations) - set(sample.live))
    surplus = sorted(set(sample.live) - set(generations))
    return f"{observer} misses {missing[:5]} and counts {surplus[:5]} too many"
