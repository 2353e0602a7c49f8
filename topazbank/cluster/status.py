"""The cluster's status as the admin endpoint gives it: names in this JSON are stable, whatever the code's own are.

No I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from topazbank.cluster.changes import MemberChange
from topazbank.cluster.member import MemberState
from topazbank.cluster.view import MemberView, Presence

_STATE_LABELS = {
    MemberState.ALIVE: "here",
    MemberState.SUSPECT: "suspected",
    MemberState.DEAD: "gone",
    MemberState.LEFT: "left",
    MemberState.LAST_HEARD: "heard",
}
_STATES = {label: state for state, label in _STATE_LABELS.items()}
_PRESENCE_LABELS = {Presence.PRESENT: "here", Presence.ABSENT: "not here", Presence.UNKNOWN: "can't tell"}


def state_of_label(label: str) -> MemberState:
    """Return the state that a status names, in either case; raise KeyError where there is none."""
    return _STATES[label.lower()]


def member_status(member: MemberView, name: str, reporter_name: Callable[[int], str]) -> dict[str, Any]:
    """Return one member's entry; `reporter_name`: of a short ident."""
    record = member.record
    return {
        "name": name,
        "answer": _PRESENCE_LABELS[member.presence],
        "state": _STATE_LABELS[record.state],
        "life": record.generation,
        "incarnation": record.incarnation,
        "address": "{}:{}".format(*record.address) if record.address else "",
        "age_s": _seconds(member.unheard_us),
        "suspected_s": _seconds(member.suspected_us),
        "by": [reporter_name(reporter) for reporter in member.reporters],
    }


def _seconds(span_us: int | None) -> float | None:
    return None if span_us is None else round(span_us / 1e6, 3)


def change_status(change: MemberChange, name: str) -> dict[str, Any]:
    """Return one change's entry."""
    return {
        "at": change.at,
        "member": name,
        "old": _change_label(change.old),
        "new": _change_label(change.new),
        "life": change.record.generation,
        "why": change.reason.value,
    }


def _change_label(state: MemberState | None) -> str | None:
    return None if state is None else _STATE_LABELS[state].upper()
