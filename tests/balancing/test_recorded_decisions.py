"""The balancer's decisions are identical to the recorded ones.

Guards against a refactoring that reorders floating-point sums or draws of random numbers.  All later decisions then
differ, but no rule is broken, so no other test fails.  88 runs of a small fleet with faults are compared with recorded
digests.  After an intended change of decisions, record them again with `python tests/recorded_fleet.py`.
"""

from __future__ import annotations

import json

import pytest
from recorded_fleet import DIGESTS, LOADS, SEEDS, VARIANTS, RecordedFleet, run_name


@pytest.mark.parametrize("variant", list(VARIANTS))
def test_decisions_match_the_recorded_digests(variant: str) -> None:
    recorded = json.loads(DIGESTS.read_text(encoding="utf-8"))
    for load in LOADS:
        for seed in SEEDS:
            assert RecordedFleet(variant, load, seed).digest() == recorded[run_name(variant, load, seed)], (
                load,
                seed,
            )


def test_the_recorded_runs_contain_every_kind_of_action() -> None:
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
