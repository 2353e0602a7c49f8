"""Runs a retry quota on five processes under faults and checks it by the servers' logs and the ledgers."""

from __future__ import annotations

import asyncio

import pytest

from testbed.quota.processes import SCENARIOS, max_ahead, run

GROUPS = {
    "clients": ("demand", "client_paused", "most_killed"),
    "lease_servers": ("server_killed", "all_servers_killed", "server_upgraded"),
    "network": ("partitioned", "one_way", "lossy"),
}


@pytest.mark.parametrize("group", GROUPS)
def test_no_more_retries_reach_the_servers_than_the_limit_allows(group: str) -> None:
    """All servers reject requests and all sidecars try to retry, while the scenario's faults occur."""
    for name, result in asyncio.run(run(GROUPS[group], 5, seed=1)).items():
        assert not result.faults(), f"{name}: {result.faults()[:3]}"
        assert result.audit is not None and result.audit.held_max <= result.audit.shared
        assert result.retries > 30, f"{name}: the quota was hardly used"


def test_without_the_quota_the_same_checks_find_the_limit_exceeded() -> None:
    result = asyncio.run(run(("demand",), 5, seed=1, has_quota=False))["demand"]
    assert any("retries ahead of the limit" in fault for fault in result.faults())


def test_every_scenario_is_run() -> None:
    assert {name for group in GROUPS.values() for name in group} == set(SCENARIOS)


def test_use_ahead_of_a_rate_is_measured_over_any_span() -> None:
    assert max_ahead([0.0, 1.0, 2.0, 3.0], 1.0) == 1.0
    assert max_ahead([0.0, 0.0, 0.0, 10.0, 10.0], 1.0) == 3.0
    assert max_ahead([], 1.0) == 0.0
