"""Quotas in the operator file: a bad one stops the start with a line that names the key."""

from __future__ import annotations

import tomllib

import pytest

from topazbank.operator_config import operator_config_from

GOOD = 'of = "retries"\nwhole = 40\nburst = 160\nfloor = 0.25\nmembers = 80\nkeepers = ["0", "1"]\n'


@pytest.mark.parametrize(
    ("was", "now", "complaint"),
    [
        ("whole = 40", "whole = -1", "budgets.b.whole: a whole number from 0"),
        ("whole = 40", "hole = 40", "budgets.b.hole: not known"),
        ('"retries"', '"lodges"', "budgets.b.of: retries, probes or tenant is wanted, not 'lodges'"),
        ('"retries"', '"tenant"', "budgets.b.tenant: wanted of a tenant's budget"),
        ("burst = 160", "burst = 79", "budgets.b.burst: 80 at least is wanted"),
        ("floor = 0.25", "floor = 0.6", "budgets.b.floor: the floors of 80 members are more than the whole"),
        ('"0", "1"', '"0", "0"', "budgets.b.keepers: 16 different names at most"),
        ("members = 80", "members = 80\nlease_s = 0.1", "budgets.b.lease_s: a number from 1 to 600"),
        ("members = 80", "members = 80\ndrift_percent = 50", "budgets.b.drift_percent: a number from 0.01"),
    ],
)
def test_a_bad_quota_stops_the_start_with_its_key_and_the_remedy(was: str, now: str, complaint: str) -> None:
    def read(text: str) -> object:
        return operator_config_from(tomllib.loads(f"[tier]\non = true\n[budgets.b]\n{text}"))

    read(GOOD)
    with pytest.raises(ValueError) as bad:
        read(GOOD.replace(was, now))
    assert complaint in str(bad.value)


def test_quotas_without_a_cluster_and_two_quotas_of_one_resource_stop_the_start() -> None:
    table = {"of": "retries", "whole": 1, "burst": 1}
    with pytest.raises(ValueError, match=r"budgets: tier\.on is wanted"):
        operator_config_from({"budgets": {"b": table}})
    with pytest.raises(ValueError, match="another budget is of the same"):
        operator_config_from({"tier": {"on": True}, "budgets": {"b": table, "c": table}})
