"""Compatibility of hand-over state and status: their keys and labels stay stable for other processes and tools."""

from __future__ import annotations

import json
from typing import Any

import pytest

from topazbank.cluster.changes import ChangeReason, MemberChange
from topazbank.cluster.handover import HandoverState, handover_from_json, handover_to_json
from topazbank.cluster.member import MemberRecord, MemberState
from topazbank.cluster.status import change_status, member_status, state_of_label
from topazbank.cluster.view import MemberView, Presence

RECORD = MemberRecord(5, 1_800_000_000_000, 2, MemberState.SUSPECT, ("127.0.0.1", 9), 77)
HANDED_OVER = {
    "life": 1_800_000_000_001,
    "incarnation": 3,
    "count": 40,
    "records": [
        [5, 1_800_000_000_000, 2, 1, ["127.0.0.1", 9], 77],
        [6, 7, 0, 2, None, 0],
    ],
}


def test_a_successor_decodes_hand_over_state_of_an_older_version() -> None:
    state = handover_from_json(HANDED_OVER)
    other = MemberRecord(6, 7, 0, MemberState.DEAD)
    assert state == HandoverState(1_800_000_000_001, 3, 40, (RECORD, other))
    assert json.loads(json.dumps(handover_to_json(state))) == HANDED_OVER


@pytest.mark.parametrize(
    "data",
    [
        {},
        {key: value for key, value in HANDED_OVER.items() if key != "count"},
        HANDED_OVER | {"life": "soon"},
        HANDED_OVER | {"records": [[1, 2, 3]]},
        HANDED_OVER | {"records": [[1, 2, 3, 99, None, 0]]},
        HANDED_OVER | {"records": 7},
    ],
)
def test_malformed_hand_over_state_is_ignored_as_a_whole(data: dict[str, Any]) -> None:
    assert handover_from_json(data) is None


def test_status_keys_and_labels_are_stable() -> None:
    view = MemberView(5, Presence.UNKNOWN, RECORD, 1_500_000, 250_000, (77,))
    assert member_status(view, "b", lambda reporter: f"{reporter:04x}") == {
        "name": "b",
        "answer": "can't tell",
        "state": "suspected",
        "life": 1_800_000_000_000,
        "incarnation": 2,
        "address": "127.0.0.1:9",
        "age_s": 1.5,
        "suspected_s": 0.25,
        "by": ["004d"],
    }
    change = MemberChange(9, 5, None, MemberState.ALIVE, RECORD, ChangeReason.OWN_MESSAGE)
    assert change_status(change, "b") == {
        "at": 9,
        "member": "b",
        "old": None,
        "new": "HERE",
        "life": 1_800_000_000_000,
        "why": "its own message",
    }
    labels = ("here", "suspected", "gone", "left", "heard")
    assert [state_of_label(label) for label in labels] == list(MemberState)
    assert [state_of_label(label.upper()) for label in labels] == list(MemberState)
