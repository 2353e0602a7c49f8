"""Planner processes stopped and killed under forwarders in other processes, judged by the nodes' own logs."""

from __future__ import annotations

import asyncio

import pytest

from testbed.fleet import process_fleet


@pytest.mark.parametrize("scene", ["leader_stopped", "all_stopped", "all_killed"])
def test_planner_processes_that_are_stopped_or_killed_break_no_rule(scene: str) -> None:
    """The scenes wait for trust to be there, to be gone and to be back; what they never see fails them."""
    fleet = asyncio.run(
        asyncio.wait_for(process_fleet.run(scene, 0.4, forwarders=30, workers=2, rate=4.0, load=0.4), 120.0)
    )
    verdicts = fleet.verdicts()
    assert verdicts.calls > 200 and not verdicts.broken
    assert verdicts.served > 0.97
