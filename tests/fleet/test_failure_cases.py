"""The failure cases over the stand-in ensemble, judged by the nodes' own logs; an outage beside a fixed list."""

from __future__ import annotations

import asyncio

import pytest

from testbed.fleet import FleetHarness, InvariantReport
from testbed.fleet.scenarios import SCENARIOS, outage_beside_fixed_list, run_scenario

RATE = 120.0
OUTAGE_S = 20.0  # `python -m testbed.fleet --outage 300` runs the long one


def verdicts_of(rig: FleetHarness) -> InvariantReport:
    verdicts = rig.verdicts()
    assert verdicts.calls > 100 and len(rig.log.runs) > 100
    return verdicts


@pytest.mark.parametrize("name", SCENARIOS)
def test_a_failure_case_breaks_no_rule(name: str) -> None:
    rig = asyncio.run(asyncio.wait_for(run_scenario(name, 0.5, RATE, seed=1), 60.0))
    verdicts = verdicts_of(rig)
    assert not verdicts.broken
    assert verdicts.served > 0.8  # five of six nodes are there at any time; all at once for an instant


def test_an_outage_of_the_ensemble_serves_as_a_fixed_list_does() -> None:
    rigs = asyncio.run(asyncio.wait_for(outage_beside_fixed_list(OUTAGE_S, RATE, seed=1), 90.0))
    out, fixed = map(verdicts_of, rigs)
    assert not out.broken and not fixed.broken
    assert abs(out.served - fixed.served) <= 0.01
