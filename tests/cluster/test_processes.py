"""Failure scenarios on five real processes, in shortened form; one harness runs each group of scenarios."""

from __future__ import annotations

import asyncio
import random

import pytest

from testbed.cluster.harness import ClusterHarness
from testbed.cluster.scenarios import SCENARIOS

SIDECARS, PACE = 5, 0.5
# Each group has its own harness; its scenarios run one after another on the same processes.
GROUPS = {
    "deaths": ("killed", "most_killed", "restarts", "leaves_and_joins"),
    "pauses": ("pauses", "long_stop", "stopped_together", "stopped_each_second"),
    "one-sided cuts": ("one_way_pair", "one_hears_nobody", "one_is_unheard", "ring", "half_hears_not"),
    "splits and losses": ("pair_both_ways", "split", "split_single", "lossy", "very_lossy"),
    "upgrades": ("calm", "upgrades", "upgrades_broken"),
    "nodes and registry": ("nodes_cut", "registry_silent"),
}


@pytest.mark.parametrize("group", GROUPS)
def test_scenarios_on_processes_violate_no_invariant(group: str) -> None:
    asyncio.run(run_group(GROUPS[group]))


async def run_group(names: tuple[str, ...]) -> None:
    harness = ClusterHarness(SIDECARS, seed=1, rate=40.0)
    try:
        await harness.start()
        for name in names:
            scenario = SCENARIOS[name](SIDECARS, random.Random(1), PACE)
            outcome, verdicts = await harness.run_scenario(scenario)
            assert not outcome.violations, f"{name}: {outcome.violations[:3]}"
            assert not verdicts.violations, f"{name}: {verdicts.violations[:3]}"
    finally:
        await harness.stop()


def test_the_groups_cover_every_scenario_except_busy() -> None:
    """`busy` keeps all cores busy and would disturb parallel tests; `python -m testbed.cluster busy` runs it."""
    assert {name for group in GROUPS.values() for name in group} == set(SCENARIOS) - {"busy"}
