"""Failure scenarios over the emulated ensemble, checked by the backends' logs; an outage beside a fixed list."""

from __future__ import annotations

import asyncio

import pytest

from testbed.fleet import FleetHarness, InvariantReport
from testbed.fleet.scenarios import SCENARIOS, outage_beside_fixed_list, run_scenario

RATE = 120.0
OUTAGE_S = 20.0  # `python -m testbed.fleet --outage 300` runs the long one


def report_of(fleet: FleetHarness) -> InvariantReport:
    report = fleet.check()
    assert report.call_count > 100 and len(fleet.log.runs) > 100
    return report


@pytest.mark.parametrize("name", SCENARIOS)
def test_a_failure_scenario_violates_no_invariant(name: str) -> None:
    """Backends die, hang, drain and come back cold; sidecars restart; sessions expire; the ensemble fails."""
    fleet = asyncio.run(asyncio.wait_for(run_scenario(name, 0.5, RATE, seed=1), 60.0))
    report = report_of(fleet)
    assert not report.violations
    assert report.served_ratio > 0.8  # five of six backends run at any time


def test_during_an_outage_of_the_ensemble_as_many_calls_are_served_as_with_a_fixed_list() -> None:
    fleets = asyncio.run(asyncio.wait_for(outage_beside_fixed_list(OUTAGE_S, RATE, seed=1), 90.0))
    out, fixed = map(report_of, fleets)
    assert not out.violations and not fixed.violations
    assert abs(out.served_ratio - fixed.served_ratio) <= 0.01
