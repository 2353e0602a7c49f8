"""Every order of events of a small world, and long ones by chance: never more held than there is."""

from __future__ import annotations

import pytest

from testbed.quota.model import FAULTS, WHOLE, search, walks


def test_no_order_of_five_events_lets_more_be_held_than_there_is() -> None:
    found = search(holders=2, depth=5)
    assert not found.story, found.story
    assert found.states > 15_000 and found.most == WHOLE


def test_no_long_history_lets_more_be_held_than_there_is() -> None:
    found = walks(4_000)
    assert not found.story, found.story
    assert found.most == WHOLE


@pytest.mark.parametrize("fault", FAULTS)
def test_a_planted_fault_is_found_and_told_as_a_story(fault: str) -> None:
    found = walks(20_000, fault=FAULTS[fault])
    assert found.story, "nobody noticed"
    assert found.story[-1].startswith("now ")
