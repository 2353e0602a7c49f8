"""Planner processes that are stopped and killed under forwarders in other processes."""

from __future__ import annotations

import asyncio

import pytest

from testbed.fleet import process_fleet


@pytest.mark.parametrize("scenario", ["leader_stopped", "all_stopped", "all_killed"])
def test_planner_processes_that_are_stopped_or_killed_violate_no_invariant(scenario: str) -> None:
    """Forwarders trust the plan, lose their planners, serve without a plan and trust the new one.

    The scenarios wait for each of these and fail if it does not come.
    """
    fleet = asyncio.run(
        asyncio.wait_for(
            process_fleet.run(scenario, 0.4, forwarders=30, workers=2, rate=4.0, load=0.4), 120.0
        )
    )
    report = fleet.check()
    assert report.call_count > 200 and not report.violations
    assert report.served_ratio > 0.97
