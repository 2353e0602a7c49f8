"""A fleet's budget of repeats under faults, on five processes: judged by the nodes' notes and the ledgers."""

from __future__ import annotations

import asyncio

import pytest

from testbed.quota.processes import SCENES, most_ahead, play

GROUPS = {
    "holders": ("demand", "holder_stopped", "most_killed"),
    "keepers": ("keeper_killed", "keepers_gone", "keeper_upgraded"),
    "cuts": ("halves", "one_way", "lossy"),
}


@pytest.mark.parametrize("group", GROUPS)
def test_no_more_repeats_reach_the_nodes_than_the_whole_allows(group: str) -> None:
    for name, result in asyncio.run(play(GROUPS[group], 5, seed=1)).items():
        assert not result.faults(), f"{name}: {result.faults()[:3]}"
        assert result.account is not None and result.account.most_held <= result.account.shared
        assert result.extras > 30, f"{name}: the budget was hardly used"


def test_without_the_budget_the_same_judge_finds_the_whole_passed() -> None:
    result = asyncio.run(play(("demand",), 5, seed=1, on=False))["demand"]
    assert any("repeats ahead of the whole" in each for each in result.faults())


def test_every_scene_is_played() -> None:
    assert {name for group in GROUPS.values() for name in group} == set(SCENES)


def test_the_judge_of_a_rate_goes_by_any_span() -> None:
    assert most_ahead([0.0, 1.0, 2.0, 3.0], 1.0) == 1.0
    assert most_ahead([0.0, 0.0, 0.0, 10.0, 10.0], 1.0) == 3.0
    assert most_ahead([], 1.0) == 0.0
