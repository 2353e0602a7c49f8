"""Whether a tier kept its promise: each process's account of its view, held against what the rig knows to be true."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from testbed.cluster.scenarios import Scenario

REFOUND_S = 2.0  # a process that wakes or is reached again is back by then
KNOWN_S = 4.0  # a killed one is known to all by then


@dataclass(frozen=True, slots=True)
class StateChange:
    """One process's account: at this time it found another in another state."""

    at: float
    by: int
    whom: int
    old: str | None
    new: str | None
    life: int = 0


@dataclass(frozen=True, slots=True)
class FaultRecord:
    """What the rig did to whom, and when."""

    at: float
    do: str
    who: tuple[int, ...]
    to: tuple[int, ...] = ()
    value: float = 0.0


@dataclass(frozen=True, slots=True)
class ViewSample:
    """One process's view at a moment: who is here to it, by life; whether it says that it is cut off."""

    at: float
    by: int
    here: Mapping[int, int]
    cut_off: bool
    doubted: int = 0  # members that it suspects


@dataclass(slots=True)
class Outcome:
    """What came of one play."""

    faults: list[str] = field(default_factory=list)
    false_gone: int = 0
    known_s: list[float] = field(default_factory=list)  # from a kill to each other's knowing
    first_s: list[float] = field(default_factory=list)  # and to the first's
    flaps: int = 0  # returns from the gone
    suspected: int = 0
    equal_s: float | None = None  # from the end of all faults until all views were equal to the truth


def judge(
    script: Scenario,
    done: Sequence[FaultRecord],
    noted: Sequence[StateChange],
    looks: Sequence[ViewSample],
    lives: Mapping[int, int],
    known_s: float = KNOWN_S,
) -> Outcome:
    """`lives`: who runs at the end, and its life; `looks`: views after the faults' end, in the order of time."""
    found = Outcome()
    killed = {who: each.at for each in done if each.do == "kill" for who in each.who}
    for each in noted:
        gone = each.new == "GONE"
        found.suspected += each.new == "SUSPECTED"
        found.flaps += each.old == "GONE" and each.new == "HERE"
        if gone and script.nobody_gone and each.whom not in script.excused:
            found.false_gone += 1
            found.faults.append(f"{each.by} called {each.whom} gone at {each.at:.2f} s, and it lived")
    _risen(found, done, noted, killed)
    _kills(found, done, noted, killed, known_s)
    _equal(found, script, looks, lives)
    return found


def _risen(
    found: Outcome, done: Sequence[FaultRecord], noted: Sequence[StateChange], killed: Mapping[int, float]
) -> None:
    """Of who was killed and stays away: nobody that knew sees it here again."""
    started = {who for each in done if each.do == "start" for who in each.who}
    knew: set[tuple[int, int]] = set()
    for each in noted:
        if each.whom in killed and each.whom not in started and each.at >= killed[each.whom]:
            if each.new in ("GONE", None):
                knew.add((each.by, each.whom))
            elif each.new == "HERE" and (each.by, each.whom) in knew:
                found.faults.append(f"{each.by} saw {each.whom} back from the dead at {each.at:.2f} s")


def _kills(
    found: Outcome,
    done: Sequence[FaultRecord],
    noted: Sequence[StateChange],
    killed: Mapping[int, float],
    known_s: float,
) -> None:
    """Of each that was killed and stayed away: by when each other that lived on knew."""
    started = {who for each in done if each.do == "start" for who in each.who}
    disturbed = any(each.do in ("cut", "stop", "busy", "loss", "delay") for each in done)
    for whom, at in killed.items():
        if whom in started or disturbed or len(killed) > 1:
            continue
        knew: dict[int, float] = {}
        for each in noted:
            if each.whom == whom and each.new == "GONE" and each.at >= at:
                knew.setdefault(each.by, each.at - at)
        found.known_s += knew.values()
        found.first_s += [min(knew.values())] if knew else []
        found.faults += [
            f"{by} knew of {whom}'s death after {took:.2f} s" for by, took in knew.items() if took > known_s
        ]


def _equal(found: Outcome, script: Scenario, looks: Sequence[ViewSample], lives: Mapping[int, int]) -> None:
    """Views count as equal from when on all are, to the end."""
    last: dict[int, ViewSample] = {}
    wrong_at: float | None = None
    for each in looks:
        last[each.by] = each
        if each.cut_off or each.doubted or dict(each.here) != dict(lives):
            wrong_at = each.at
    for by in lives:
        look = last.get(by)
        if look is None:
            found.faults.append(f"{by} gave no account of its view")
        elif look.cut_off:
            found.faults.append(f"{by} says that it is cut off, and is not")
        elif look.doubted:
            found.faults.append(f"{by} still suspects {look.doubted} that are here")
        elif dict(look.here) != dict(lives):
            missed, more = set(lives) - set(look.here), set(look.here) - set(lives)
            found.faults.append(f"{by} misses {sorted(missed)[:5]} and sees {sorted(more)[:5]} too many")
    if not found.faults or wrong_at is not None:
        found.equal_s = max((wrong_at or 0.0) - script.faults_end_s, 0.0)
