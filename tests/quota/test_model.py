"""Model checks: no order of events in a small model and no long random history exceeds the limit."""

from __future__ import annotations

import pytest

from testbed.quota.model import LIMIT, random_histories, search
from testbed.quota.planted_faults import FAULTS


def test_no_order_of_five_events_exceeds_the_limit() -> None:
    result = search(clients=2, depth=5)
    assert not result.violation, result.violation
    assert result.states > 15_000 and result.held_max == LIMIT


def test_no_long_history_exceeds_the_limit() -> None:
    result = random_histories(4_000)
    assert not result.violation, result.violation
    assert result.held_max == LIMIT


@pytest.mark.parametrize("fault", FAULTS)
def test_a_planted_fault_is_found_with_the_events_that_led_to_it(fault: str) -> None:
    result = random_histories(20_000, fault=FAULTS[fault])
    assert result.violation, "the fault was not found"
    assert result.violation[-1].startswith("now ")
