"""Settings: what is skipped, what gets a default, and what is nonsense."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st

from topazbank import Balancer, Settings
from topazbank.interface import Discovery, Repeat, RequestArrived

LEAST = {"classes": [{"name": "a", "deadline_us": 1_000_000}]}


def test_absent_keys_get_the_cautious_default() -> None:
    given = Settings.from_mapping(LEAST)
    assert given.classes[0].repeat is Repeat.UNSAFE
    assert given.classes[0].aim_us == 1_000_000
    assert given.discovery is Discovery.ON_REQUEST
    assert not given.limits.second_copies and given.limits.max_attempts == 1
    assert given.rules.drain_grace_us == 0


def test_unknown_keys_are_skipped_and_null_counts_as_absent() -> None:
    assert Settings.from_mapping(
        {**LEAST, "news": 1, "limits": {"x": 2}, "rules": None}
    ) == Settings.from_mapping(LEAST)


@pytest.mark.parametrize(
    ("given", "key"),
    [
        ({}, "classes"),
        ({"classes": 5}, "classes"),
        ({"classes": [{"name": "a"}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": 0}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": float("nan")}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": 9, "repeat": "maybe"}]}, "classes[0].repeat"),
        ({"classes": [*LEAST["classes"], *LEAST["classes"]]}, "classes"),
        ({**LEAST, "limits": {"max_attempts": -1}}, "limits.max_attempts"),
        ({**LEAST, "limits": {"second_copies": 1}}, "limits.second_copies"),
        ({**LEAST, "rules": {"cold_from": 2}}, "rules.cold_from"),
        ({**LEAST, "rules": {"fall_us": "long"}}, "rules.fall_us"),
        ({**LEAST, "report": {"columns": "util"}}, "report.columns"),
        ({**LEAST, "tenants": [3]}, "tenants[0]"),
        ({**LEAST, "group_size": 0}, "group_size"),
        ({**LEAST, "prices": []}, "prices"),
    ],
)
def test_nonsense_is_named(given: dict[str, Any], key: str) -> None:
    with pytest.raises(ValueError) as complaint:
        Settings.from_mapping(given)
    assert str(complaint.value).startswith(key + ":")


values = (
    st.none() | st.booleans() | st.integers(-5, 10**9) | st.floats() | st.sampled_from(["safe", "cell", "x"])
)


@how(max_examples=200, deadline=None, derandomize=True)
@given(
    st.dictionaries(
        st.sampled_from(["deadline_us", "aim_us", "worth", "repeat", "group", "memory_us", "streaming"]),
        values,
    ),
    st.dictionaries(
        st.sampled_from(["max_attempts", "second_copies", "may_cancel", "cold_from", "cold_us", "fall_us"]),
        values,
    ),
)
def test_any_settings_give_a_working_balancer_or_a_complaint(
    kind: dict[str, Any], rest: dict[str, Any]
) -> None:
    try:
        given = Settings.from_mapping({"classes": [{"name": "a", **kind}], "limits": rest, "rules": rest})
    except ValueError:
        return
    balancer = Balancer(given, 1)
    assert len(balancer.handle(5_000_000, RequestArrived(1, "a", None, None, 500_000))) > 0
