"""Settings: what is skipped, what gets a default, and what is nonsense."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st

from topazbank import Balancer, Settings
from topazbank.balancing.events import RequestArrived
from topazbank.balancing.settings import DiscoveryMode, Idempotency

LEAST = {"classes": [{"name": "a", "deadline_us": 1_000_000}]}


def test_absent_keys_get_the_cautious_default() -> None:
    given = Settings.from_mapping(LEAST)
    assert given.classes[0].idempotency is Idempotency.NON_IDEMPOTENT
    assert given.classes[0].latency_objective_us == 1_000_000
    assert given.discovery is DiscoveryMode.ON_REQUEST
    assert not given.limits.hedging and given.limits.max_attempts == 1
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
        ({"classes": [{"name": "a", "deadline_us": 9, "idempotency": "maybe"}]}, "classes[0].idempotency"),
        ({"classes": [*LEAST["classes"], *LEAST["classes"]]}, "classes"),
        ({**LEAST, "limits": {"max_attempts": -1}}, "limits.max_attempts"),
        ({**LEAST, "limits": {"hedging": 1}}, "limits.hedging"),
        ({**LEAST, "rules": {"warmup_start_ratio": 2}}, "rules.warmup_start_ratio"),
        ({**LEAST, "rules": {"overload_window_us": "long"}}, "rules.overload_window_us"),
        ({**LEAST, "report": {"columns": "util"}}, "report.columns"),
        ({**LEAST, "tenants": [3]}, "tenants[0]"),
        ({**LEAST, "fleet_size": 0}, "fleet_size"),
        ({**LEAST, "prices": []}, "prices"),
    ],
)
def test_nonsense_is_named(given: dict[str, Any], key: str) -> None:
    with pytest.raises(ValueError) as complaint:
        Settings.from_mapping(given)
    assert str(complaint.value).startswith(key + ":")


values = (
    st.none()
    | st.booleans()
    | st.integers(-5, 10**9)
    | st.floats()
    | st.sampled_from(["idempotent", "cell", "x"])
)


@how(max_examples=200, deadline=None, derandomize=True)
@given(
    st.dictionaries(
        st.sampled_from(
            [
                "deadline_us",
                "latency_objective_us",
                "priority_weight",
                "idempotency",
                "idempotency_scope",
                "idempotency_window_us",
                "streaming",
            ]
        ),
        values,
    ),
    st.dictionaries(
        st.sampled_from(
            [
                "max_attempts",
                "hedging",
                "cancellation",
                "warmup_start_ratio",
                "warmup_us",
                "overload_window_us",
            ]
        ),
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
