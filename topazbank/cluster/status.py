"""The cluster status that the admin endpoint returns; no I/O.

The keys and labels in this JSON are a stable interface and may differ from the names in the code.
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
    """Return the state with this status label, ignoring case; raise KeyError if the label is unknown."""
    return _STATES[label.lower()]


def member_status(member: MemberView, name: str, reporter_name: Callable[[int], str]) -> dict[str, Any]:
    """Return the status entry of a member; `reporter_name` maps a short ident to a name."""
    record = member.record
    return {
        "name": name,
        "answer": _PRESENCE_LABELS[member.presence],
        "state": _STATE_LABELS[record.state],
        "life": record.generation,
        "incarnation": record.incarnation,
        "address": "{}:{}".format(*record.address) if record.address else "",
        "age_s": _seconds(member.last_heard_age_us),
        "suspected_s": _seconds(member.suspected_us),
        "by": [reporter_name(reporter) for reporter in member.reporters],
    }


def _seconds(duration_us: int | None) -> float | None:
    return None if duration_us is None else round(duration_us / 1e6, 3)


def change_status(change: MemberChange, name: str) -> dict[str, Any]:
    """Return the status entry of a change."""
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
