"""Judges a run by the four rules, from what clients got and the nodes' own logs; no I/O, times in seconds.

The program under test is not asked: what counts is what reached a node, what ran there and what a client was answered.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from testbed.backend import Run

ATTEMPTS_MAX = 3
DRAIN_GRACE_S = 0.5  # after being told that a node drains or is gone
EVENT_LOOP_SLACK_S = 0.25  # all parts of a rig share one loop: its turns are not the program's
LATENCY_OBJECTIVES_S = {"check": 0.5, "amend": 0.5, "lodge": 0.8}  # answered within it, a call counts in full


@dataclass(slots=True)
class CallRecord:
    """A call as its client saw it."""

    ident: str
    kind: str
    key: str | None
    sent_at: float
    budget_s: float
    verdict: str = (
        "lost"  # served, refused, failed or lost; crossed by an end of its connection, and not sent again
    )
    answered_at: float | None = None
    body: bytes = b""
    sidecar: int | None = None  # by which it goes; None: by any


@dataclass(frozen=True, slots=True)
class AttemptArrival:
    """A request that reached a node, run or not."""

    at: float
    node: str
    ident: str


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """What a sidecar was told of a node; `known` is its start's list."""

    at: float
    sidecar: int
    node: str
    ready: bool


@dataclass(slots=True)
class InvariantReport:
    """What came of a run."""

    broken: list[str] = field(default_factory=list)  # rules, with what broke them
    counts: Counter[str] = field(default_factory=Counter)  # calls by verdict
    calls: int = 0
    late: int = 0  # served, after the aim

    @property
    def served(self) -> float:
        """The part of the calls that were served."""
        return self.counts["served"] / max(self.calls, 1)

    @property
    def in_aim(self) -> float:
        return (self.counts["served"] - self.late) / max(self.calls, 1)


def check_invariants(
    calls: Iterable[CallRecord],
    reached: Sequence[AttemptArrival],
    runs: Sequence[Run],
    words: Sequence[EndpointNotice],
    lives: Mapping[int, Sequence[tuple[float, float]]],
    fallen: Iterable[str],
) -> InvariantReport:
    """Hold a run against the rules.  `lives`: when each sidecar was there; `fallen`: cold nodes pushed over."""
    verdicts = InvariantReport()
    by_ident = {each.ident: each for each in calls}
    _check_answers(verdicts, by_ident, reached, runs)
    _check_effects(verdicts, by_ident, reached, runs)
    by = {each.ident: each.sidecar for each in by_ident.values() if each.sidecar is not None}
    verdicts.broken += _check_drains(reached, words, lives, by)
    verdicts.broken += [f"cold node pushed over: {name}" for name in fallen]
    return verdicts


def _check_answers(
    verdicts: InvariantReport,
    calls: Mapping[str, CallRecord],
    reached: Sequence[AttemptArrival],
    runs: Sequence[Run],
) -> None:
    ran = {(run.node, run.ident) for run in runs} | {(run.node, run.key) for run in runs if run.key}
    for call in calls.values():
        verdicts.calls += 1
        verdicts.counts[call.verdict] += 1
        if call.verdict == "lost" or call.answered_at is None:
            verdicts.broken.append(f"request lost: {call.ident} ({call.kind})")
            continue
        took = call.answered_at - call.sent_at
        if took > call.budget_s + EVENT_LOOP_SLACK_S:
            verdicts.broken.append(f"answered after its time: {call.ident}, {took:.3f} s")
        if call.verdict == "served":
            verdicts.late += took > LATENCY_OBJECTIVES_S[call.kind]
            node = call.body.decode(errors="replace").split(" ")[0]
            if (node, call.ident) not in ran and (node, call.key) not in ran:
                verdicts.broken.append(f"served, though no node made it: {call.ident}")
    for each in reached:
        call = calls[each.ident]
        if call.verdict == "crossed":
            verdicts.broken.append(f"read, and its connection ended without an answer: {each.ident}")
        if call.answered_at is not None and each.at > call.answered_at + EVENT_LOOP_SLACK_S:
            verdicts.broken.append(f"sent after its final answer: {each.ident} to {each.node}")


def _check_effects(
    verdicts: InvariantReport,
    calls: Mapping[str, CallRecord],
    reached: Sequence[AttemptArrival],
    runs: Sequence[Run],
) -> None:
    attempts = Counter(each.ident for each in reached)
    verdicts.broken += [
        f"{count} attempts: {ident}" for ident, count in attempts.items() if count > ATTEMPTS_MAX
    ]
    effects: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        if run.kind in ("lodge", "amend"):
            effects[run.key or run.ident].append(run)
    verdicts.broken += [f"ran twice: {name}" for name, found in effects.items() if len(found) > 1]
    for run in runs:
        refused = calls[run.ident].verdict == "refused" and run.kind != "check"
        if refused:
            verdicts.broken.append(f"refused, though it ran: {run.ident}")


def _check_drains(
    reached: Sequence[AttemptArrival],
    words: Sequence[EndpointNotice],
    lives: Mapping[int, Sequence[tuple[float, float]]],
    by: Mapping[str, int],
) -> list[str]:
    """Requests that reached a node that every sidecar had been told of for longer than the grace.

    Where it is not known which sidecar a request came by, one is counted as broken only where none may have sent it:
    a sidecar may where it was not told, or not for so long, or where it was told since that the node is ready.
    """
    told: dict[str, list[EndpointNotice]] = defaultdict(list)
    for word in sorted(words, key=lambda each: each.at):
        told[word.node].append(word)
    broken = []
    for each in reached:
        since: dict[int, float | None] = {}
        for word in told[each.node]:
            if word.at > each.at:
                break
            if word.ready:
                since[word.sidecar] = None
            elif since.get(word.sidecar) is None:
                since[word.sidecar] = word.at
        alive = [
            number
            for number, spans in lives.items()
            if by.get(each.ident, number) == number
            and any(began <= each.at <= ended + EVENT_LOOP_SLACK_S for began, ended in spans)
        ]
        may = [
            number
            for number in alive
            if (at := since.get(number, each.at)) is None or each.at <= at + DRAIN_GRACE_S
        ]
        if alive and not may:
            by_whom = f" by {by[each.ident]}" if each.ident in by else ""
            broken.append(
                f"sent to {each.node} after it was told of: {each.ident}{by_whom}, at {each.at:.2f}"
            )
    return broken
