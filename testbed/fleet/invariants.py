"""Checks a run against four invariants, from what clients got and backends logged; no I/O, times in seconds.

1. Every call gets a final response in time, and nothing is sent for it afterwards.
2. No request has its effect twice, or more attempts than allowed, or an effect though it was rejected.
3. No request reaches a backend after every sidecar that may have sent it was notified that the backend drains.
4. No cold backend is overloaded until it collapses.

The program under test is not asked: what counts is what reached a backend, what ran there and what clients got.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from testbed.backend import Run

ATTEMPTS_MAX = 3
DRAIN_GRACE_S = 0.5  # after the notice that a backend drains or is removed
EVENT_LOOP_SLACK_S = 0.25  # the parts of a harness share one event loop, whose delays are not the program's
LATENCY_OBJECTIVES_S = {"check": 0.5, "amend": 0.5, "lodge": 0.8}  # by class; a later response counts in part
EFFECT_CLASSES = ("lodge", "amend")  # must not run twice


@dataclass(slots=True)
class CallRecord:
    """A call as its client saw it."""

    request_id: str
    request_class: str
    idempotency_key: str | None
    sent_at: float
    deadline_s: float
    # served, refused, failed or lost; crossed: its connection ended under it, and it was not sent again.
    outcome: str = "lost"
    answered_at: float | None = None
    body: bytes = b""
    sidecar: int | None = None  # that it was sent to; None: not known
    reason: str = ""  # why there is no response
    shut_unread: bool = False  # whether a new connection ended without an answer, so that it was sent again


@dataclass(frozen=True, slots=True)
class AttemptArrival:
    """A request that reached a backend, run or not."""

    at: float
    node: str
    request_id: str


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """A sidecar's notice of a backend's state, from its first list on."""

    at: float
    sidecar: int
    node: str
    ready: bool


@dataclass(slots=True)
class InvariantReport:
    """The result of a run."""

    violations: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)  # number of calls by outcome
    call_count: int = 0
    served_late: int = 0  # served, after the latency objective

    @property
    def served_ratio(self) -> float:
        """The served calls' part of all calls."""
        return self.outcomes["served"] / max(self.call_count, 1)

    @property
    def in_objective_ratio(self) -> float:
        """The part of all calls that were served within the latency objective."""
        return (self.outcomes["served"] - self.served_late) / max(self.call_count, 1)


Lifetimes = Mapping[
    int, Sequence[tuple[float, float]]
]  # when each sidecar ran: (start, end) of its processes


def check_invariants(
    calls: Iterable[CallRecord],
    arrivals: Sequence[AttemptArrival],
    runs: Sequence[Run],
    notices: Sequence[EndpointNotice],
    lifetimes: Lifetimes,
    collapsed: Iterable[str],
) -> InvariantReport:
    """Check a run.  `collapsed`: the cold backends that were overloaded."""
    report = InvariantReport()
    calls_by_id = {call.request_id: call for call in calls}
    _check_answers(report, calls_by_id, arrivals, runs)
    _check_effects(report, calls_by_id, arrivals, runs)
    sidecar_of = {call.request_id: call.sidecar for call in calls_by_id.values() if call.sidecar is not None}
    report.violations += _check_drains(arrivals, notices, lifetimes, sidecar_of)
    report.violations += [f"cold backend collapsed: {name}" for name in collapsed]
    return report


def _check_answers(
    report: InvariantReport,
    calls: Mapping[str, CallRecord],
    arrivals: Sequence[AttemptArrival],
    runs: Sequence[Run],
) -> None:
    ran = {(run.node, run.request_id) for run in runs} | {(run.node, run.key) for run in runs if run.key}
    for call in calls.values():
        report.call_count += 1
        report.outcomes[call.outcome] += 1
        _check_answer(report, call, ran)
    for arrival in arrivals:
        call = calls[arrival.request_id]
        if call.outcome == "crossed":
            report.violations.append(
                f"read, and its connection ended without a response: {arrival.request_id}"
            )
        if call.answered_at is not None and arrival.at > call.answered_at + EVENT_LOOP_SLACK_S:
            report.violations.append(f"sent after its final response: {arrival.request_id} to {arrival.node}")


def _describe_loss(call: CallRecord) -> str:
    """Return what the client of a lost request has seen, for the violation's text."""
    if not call.reason or call.answered_at is None:
        return ""
    return f" at sidecar {call.sidecar}, {call.answered_at - call.sent_at:.3f} s after it was sent: {call.reason}"


def _check_answer(report: InvariantReport, call: CallRecord, ran: set[tuple[str, str]]) -> None:
    """Check one call's response; `ran`: backends with the ids and keys of what ran there."""
    if call.outcome == "lost" or call.answered_at is None:
        report.violations.append(
            f"request lost: {call.request_id} ({call.request_class}){_describe_loss(call)}"
        )
        return
    took_s = call.answered_at - call.sent_at
    if took_s > call.deadline_s + EVENT_LOOP_SLACK_S:
        report.violations.append(f"answered after its deadline: {call.request_id}, {took_s:.3f} s")
    if call.outcome != "served":
        return
    report.served_late += took_s > LATENCY_OBJECTIVES_S[call.request_class]
    node = call.body.decode(errors="replace").split(" ")[0]
    if (node, call.request_id) not in ran and (node, call.idempotency_key) not in ran:
        report.violations.append(f"served, though no backend ran it: {call.request_id}")


def _check_effects(
    report: InvariantReport,
    calls: Mapping[str, CallRecord],
    arrivals: Sequence[AttemptArrival],
    runs: Sequence[Run],
) -> None:
    attempts = Counter(arrival.request_id for arrival in arrivals)
    report.violations += [
        f"{count} attempts: {request_id}" for request_id, count in attempts.items() if count > ATTEMPTS_MAX
    ]
    effects = Counter(run.key or run.request_id for run in runs if run.request_class in EFFECT_CLASSES)
    report.violations += [f"ran twice: {effect}" for effect, count in effects.items() if count > 1]
    for run in runs:
        if calls[run.request_id].outcome == "refused" and run.request_class != "check":
            report.violations.append(f"rejected, though it ran: {run.request_id}")


def _check_drains(
    arrivals: Sequence[AttemptArrival],
    notices: Sequence[EndpointNotice],
    lifetimes: Lifetimes,
    sidecar_of: Mapping[str, int],
) -> list[str]:
    """Find requests that reached a backend after every sidecar's notice of its drain, and the grace.

    `sidecar_of`: the sidecar of each request, where that is known.  Where it is not, a request is a violation only if
    none of the sidecars may have sent it.
    """
    notices_of: dict[str, list[EndpointNotice]] = defaultdict(list)
    for notice in sorted(notices, key=lambda notice: notice.at):
        notices_of[notice.node].append(notice)
    violations = []
    for arrival in arrivals:
        drained_since = _drained_since(notices_of[arrival.node], arrival.at)
        sidecar = sidecar_of.get(arrival.request_id)
        running = [
            number
            for number, spans in lifetimes.items()
            if sidecar in (None, number) and _ran_at(spans, arrival.at)
        ]
        if running and not any(_may_send(drained_since, number, arrival.at) for number in running):
            sender = f" by {sidecar}" if sidecar is not None else ""
            violations.append(
                f"sent to {arrival.node} after notice of its drain: {arrival.request_id}{sender}, at {arrival.at:.2f}"
            )
    return violations


def _drained_since(notices: Sequence[EndpointNotice], at: float) -> dict[int, float | None]:
    """Return when each sidecar was first notified that a backend drains; None: its last notice is that it is ready.

    `notices`: those of the backend, in order of time; later ones than `at` do not count.
    """
    since: dict[int, float | None] = {}
    for notice in notices:
        if notice.at > at:
            break
        if notice.ready:
            since[notice.sidecar] = None
        elif since.get(notice.sidecar) is None:
            since[notice.sidecar] = notice.at
    return since


def _ran_at(spans: Sequence[tuple[float, float]], at: float) -> bool:
    return any(start <= at <= end + EVENT_LOOP_SLACK_S for start, end in spans)


def _may_send(drained_since: Mapping[int, float | None], sidecar: int, at: float) -> bool:
    """Whether a sidecar may send to a backend: it was not notified of its drain, or within the grace."""
    since = drained_since.get(sidecar, at)
    return since is None or at <= since + DRAIN_GRACE_S
