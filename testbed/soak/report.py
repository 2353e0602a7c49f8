"""Checks a soak by what backends and clients recorded and by the processes' own logs; no I/O."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from testbed.backend import Run
from testbed.fleet.invariants import ATTEMPTS_MAX, EFFECT_CLASSES, AttemptArrival, InvariantReport
from testbed.soak.misbehaving_clients import (
    EVENT_LOOP_SLACK_S,
    SEND_AFTER_LEAVE_MAX_S,
    SLOW_CLIENT,
    MisbehavingClients,
)

_DEFECT = re.compile(
    r"^.*Traceback.*(?:\n[ \t].*)*(?:\n.*)?$"  # with its indented frames and the line of the exception
    r"|^.*(?:violation [a-z_]+:|Exception in callback).*$",
    re.MULTILINE,
)
_LINE_MAX = 200  # characters of a log line that are reported
_DEFECT_MAX = 4000  # characters of a violation or of a traceback that are reported


@dataclass(slots=True)
class SoakReport:
    """The result of one soak."""

    invariants: InvariantReport  # of the calls of well-behaved clients
    violations: list[str] = field(default_factory=list)  # of all rules
    misbehaving: Counter[str] = field(default_factory=Counter)  # clients by behaviour
    slowest_response_s: float = 0.0  # until a misbehaving client got an error or the end of its connection
    fault_count: int = 0
    persistent_calls: int = 0  # of clients that go on up to a kill
    crowds: list[str] = field(default_factory=list)  # the kinds of crowds that were played

    def add_misbehaving_clients(
        self, clients: MisbehavingClients, arrivals: Sequence[AttemptArrival], runs: Sequence[Run]
    ) -> None:
        """Check what the sidecars owe to misbehaving clients."""
        observations = clients.observations
        self.misbehaving.update(observation.behaviour for observation in observations)
        self.misbehaving["leaves"] = len(clients.abandoned)
        waits = (seen.waited_s for seen in observations if seen.behaviour != SLOW_CLIENT)
        self.slowest_response_s = max(waits, default=0.0)
        self.violations += [
            f"sidecar {seen.sidecar}, {seen.violation}" for seen in observations if seen.violation
        ]
        self.violations += attempts_after_client_left(clients, arrivals)
        self.violations += duplicate_effects(clients, arrivals, runs)


def attempts_after_client_left(clients: MisbehavingClients, arrivals: Sequence[AttemptArrival]) -> list[str]:
    """Find attempts that began after their client had left."""
    left_at = {request.request_id: request.at for request in clients.abandoned}
    return [
        f"sent {arrival.at - left_at[arrival.request_id]:.2f} s after its client left: "
        f"{arrival.request_id} to {arrival.node}"
        for arrival in arrivals
        if arrival.request_id in left_at
        and arrival.at > left_at[arrival.request_id] + SEND_AFTER_LEAVE_MAX_S + EVENT_LOOP_SLACK_S
    ]


def duplicate_effects(
    clients: MisbehavingClients, arrivals: Sequence[AttemptArrival], runs: Sequence[Run]
) -> list[str]:
    """Find misbehaving clients' requests that had their effect more than once, or too many attempts."""
    classes = clients.request_classes
    attempts = Counter(arrival.request_id for arrival in arrivals if arrival.request_id in classes)
    effects = Counter(run.request_id for run in runs if classes.get(run.request_id) in EFFECT_CLASSES)
    violations = [
        f"{count} attempts: {request_id}" for request_id, count in attempts.items() if count > ATTEMPTS_MAX
    ]
    return violations + [f"ran twice: {request_id}" for request_id, count in effects.items() if count > 1]


def defects_in_log(sidecar: int, log: str) -> list[str]:
    """Find rules that a process itself saw violated, and exceptions, in its log."""
    return [f"sidecar {sidecar}: {defect[:_DEFECT_MAX]}" for defect in _DEFECT.findall(log)]


def unexpected_exit(sidecar: int, exit_code: int, log: str) -> str:
    """Return the violation of a process that has ended although nobody ended it."""
    last_line = log.strip().rpartition("\n")[2]
    return f"sidecar {sidecar} ended with {exit_code}: {last_line[:_LINE_MAX]}"
