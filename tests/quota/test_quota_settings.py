"""Quotas in the operator file: an invalid value is rejected with a message that names its key."""

from __future__ import annotations

import tomllib

import pytest

from topazbank.operator_config import operator_config_from

VALID = 'of = "retries"\nwhole = 40\nburst = 160\nfloor = 0.25\nmembers = 80\nkeepers = ["0", "1"]\n'


@pytest.mark.parametrize(
    ("original", "replacement", "message"),
    [
        ("whole = 40", "whole = -1", "budgets.b.whole: expected an integer from 0"),
        ("whole = 40", "hole = 40", "budgets.b.hole: unknown key"),
        ('"retries"', '"lodges"', "budgets.b.of: expected retries, probes or tenant, not 'lodges'"),
        ('"retries"', '"tenant"', "budgets.b.tenant: required in a tenant's budget"),
        (
            "burst = 160",
            "burst = 79",
            "budgets.b.burst: expected at least 80, one unit for each member, not 79",
        ),
        ("floor = 0.25", "floor = 0.6", "budgets.b.floor: expected at most whole / members (40 / 80)"),
        ('"0", "1"', '"0", "0"', "budgets.b.keepers: expected at most 16 distinct names, not ['0', '0']"),
        ("members = 80", "members = 80\nlease_s = 0.1", "budgets.b.lease_s: expected a number from 1 to 600"),
        (
            "members = 80",
            "members = 80\ndrift_percent = 50",
            "budgets.b.drift_percent: expected a number from 0.01",
        ),
    ],
)
def test_invalid_quota_is_rejected_with_its_key_and_the_expected_value(
    original: str, replacement: str, message: str
) -> None:
    def read(text: str) -> object:
        return operator_config_from(tomllib.loads(f"[tier]\non = true\n[budgets.b]\n{text}"))

    read(VALID)
    with pytest.raises(ValueError) as error:
        read(VALID.replace(original, replacement))
    assert message in str(error.value)


def test_quotas_without_a_cluster_and_duplicate_resources_are_rejected() -> None:
    table = {"of": "retries", "whole": 1, "burst": 1}
    with pytest.raises(ValueError, match=r"budgets: expected tier\.on = true"):
        operator_config_from({"budgets": {"b": table}})
    with pytest.raises(ValueError, match=r"budgets\.b\.of: duplicate resource and tenant"):
        operator_config_from({"tier": {"on": True}, "budgets": {"b": table, "c": table}})
