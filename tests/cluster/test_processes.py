"""Five processes of the program with faults between them: the short form of each hard case, on one rig a group."""

from __future__ import annotations

import asyncio
import random

import pytest

from testbed.cluster.harness import Rig
from testbed.cluster.scenarios import SCENES

SIDECARS, PACE = 5, 0.5
# Side by side, each on a rig of its own; a group's scenes follow one another among the same processes.
GROUPS = {
    "deaths": ("killed", "most_killed", "restarts", "leaves_and_joins"),
    "pauses": ("pauses", "long_stop", "stopped_together", "stopped_each_second"),
    "one-sided cuts": ("one_way_pair", "one_hears_nobody", "one_is_unheard", "ring", "half_hears_not"),
    "splits and losses": ("pair_both_ways", "split", "split_single", "lossy", "very_lossy"),
    "upgrades": ("calm", "upgrades", "upgrades_broken"),
    "nodes and registry": ("nodes_cut", "registry_silent"),
}


@pytest.mark.parametrize("group", GROUPS)
def test_processes_keep_the_promise_and_the_four_rules(group: str) -> None:
    asyncio.run(_play(GROUPS[group]))


async def _play(names: tuple[str, ...]) -> None:
    rig = Rig(SIDECARS, seed=1, rate=40.0)
    try:
        await rig.start()
        for name in names:
            found, verdicts = await rig.play(SCENES[name](SIDECARS, random.Random(1), PACE))
            assert not found.faults, f"{name}: {found.faults[:3]}"
            assert not verdicts.violations, f"{name}: {verdicts.violations[:3]}"
    finally:
        await rig.stop()


def test_every_scene_but_the_busy_machine_is_played_by_processes() -> None:
    """That one keeps all cores busy, and with them the tests beside it: `python -m testbed.cluster busy` plays it."""
    assert {name for group in GROUPS.values() for name in group} == set(SCENES) - {"busy"}
