"""Decisions stay what they were, to the last digit.

The story: a change that should only move or rename code may reorder two sums of floating-point numbers or one draw of
a random number, and from then on every choice is another.  No single rule breaks, so no other test sees it.  Here 88
runs of a small fleet under faults are compared with digests of the decisions that were recorded before such a change.
A change that is meant to alter decisions records them anew: `python tests/recorded_fleet.py`.
"""

from __future__ import annotations

import json

import pytest
from recorded_fleet import DIGESTS, LOADS, SEEDS, VARIANTS, RecordedFleet, run_name


@pytest.mark.parametrize("variant", list(VARIANTS))
def test_decisions_are_those_on_record(variant: str) -> None:
    recorded = json.loads(DIGESTS.read_text(encoding="utf-8"))
    for load in LOADS:
        for seed in SEEDS:
            assert RecordedFleet(variant, load, seed).digest() == recorded[run_name(variant, load, seed)], (
                load,
                seed,
            )


def test_the_runs_on_record_take_every_kind_of_decision() -> None:
    decisions: set[str] = set()
    for variant in VARIANTS:
        for load in (LOADS[0], LOADS[1]):
            fleet = RecordedFleet(variant, load, SEEDS[0])
            fleet.digest()
            decisions |= fleet.decisions.keys()
    expected = {
        "SendAttempt",
        "Reject",
        "Fail",
        "CancelAttempt",
        "SetTimer",
        "CheckHealth",
        "SendGossip",
        "WatchEndpoints",
        "LogMessage",
        "CloseIdleConnections",
    }
    assert decisions == expected
