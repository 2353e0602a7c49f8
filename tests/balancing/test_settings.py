"""Settings: ignored keys, defaults and invalid values."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from topazbank import Balancer, Settings
from topazbank.balancing.events import RequestArrived
from topazbank.balancing.settings import DiscoveryMode, Idempotency

MINIMAL_SETTINGS = {"classes": [{"name": "a", "deadline_us": 1_000_000}]}


def test_absent_keys_get_a_conservative_default() -> None:
    parsed = Settings.from_mapping(MINIMAL_SETTINGS)
    assert parsed.classes[0].idempotency is Idempotency.NON_IDEMPOTENT
    assert parsed.classes[0].latency_objective_us == 1_000_000
    assert parsed.discovery is DiscoveryMode.ON_REQUEST
    assert not parsed.limits.hedging and parsed.limits.max_attempts == 1
    assert parsed.rules.drain_grace_us == 0


def test_unknown_keys_are_ignored_and_null_is_treated_as_absent() -> None:
    assert Settings.from_mapping(
        {**MINIMAL_SETTINGS, "news": 1, "limits": {"x": 2}, "rules": None}
    ) == Settings.from_mapping(MINIMAL_SETTINGS)


@pytest.mark.parametrize(
    ("mapping", "key"),
    [
        ({}, "classes"),
        ({"classes": 5}, "classes"),
        ({"classes": [{"name": "a"}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": 0}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": float("nan")}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": 9, "idempotency": "maybe"}]}, "classes[0].idempotency"),
        ({"classes": [*MINIMAL_SETTINGS["classes"], *MINIMAL_SETTINGS["classes"]]}, "classes"),
        ({**MINIMAL_SETTINGS, "limits": {"max_attempts": -1}}, "limits.max_attempts"),
        ({**MINIMAL_SETTINGS, "limits": {"hedging": 1}}, "limits.hedging"),
        ({**MINIMAL_SETTINGS, "rules": {"warmup_start_ratio": 2}}, "rules.warmup_start_ratio"),
        ({**MINIMAL_SETTINGS, "rules": {"overload_window_us": "long"}}, "rules.overload_window_us"),
        ({**MINIMAL_SETTINGS, "report": {"columns": "util"}}, "report.columns"),
        ({**MINIMAL_SETTINGS, "tenants": [3]}, "tenants[0]"),
        ({**MINIMAL_SETTINGS, "fleet_size": 0}, "fleet_size"),
        ({**MINIMAL_SETTINGS, "prices": []}, "prices"),
    ],
)
def test_an_invalid_value_is_reported_with_its_key(mapping: dict[str, Any], key: str) -> None:
    with pytest.raises(ValueError) as error:
        Settings.from_mapping(mapping)
    assert str(error.value).startswith(key + ":")


scalar_values = (
    st.none()
    | st.booleans()
    | st.integers(-5, 10**9)
    | st.floats()
    | st.sampled_from(["idempotent", "cell", "x"])
)


@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
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
        scalar_values,
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
        scalar_values,
    ),
)
def test_any_settings_give_a_working_balancer_or_an_error(
    class_fields: dict[str, Any], other_fields: dict[str, Any]
) -> None:
    try:
        parsed = Settings.from_mapping(
            {"classes": [{"name": "a", **class_fields}], "limits": other_fields, "rules": other_fields}
        )
    except ValueError:
        return
    balancer = Balancer(parsed, 1)
    assert len(balancer.handle(5_000_000, RequestArrived(1, "a", None, None, 500_000))) > 0
