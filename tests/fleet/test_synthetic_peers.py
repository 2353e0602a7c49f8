"""Many quiet sidecars on loopback: their totals stay within the computed limits while calls are served."""

from __future__ import annotations

import asyncio

import pytest

from testbed.fleet import synthetic_peers
from topazbank.core.bounds import Fleet, connections_per_sidecar, endpoint_polls_per_s, fleet_bounds
from topazbank.estimation.poll_schedule import WATCH_TIMEOUT_MAX_S, WATCH_TIMEOUT_MIN_S, watch_timeout_s
from topazbank.platform_names import settings_from_wire


def test_a_thousand_sidecars_stay_within_the_computed_limits() -> None:
    """A thousand sidecars run calmly, restart all at once and lose their registry; their totals stay within limits."""
    results = asyncio.run(
        asyncio.wait_for(
            synthetic_peers.run(
                synthetic_peers.SCENARIOS, sidecars=1000, workers=2, backends=40, rate=0.1, seconds=7.0
            ),
            280.0,
        )
    )
    for result in results:
        assert result.violations() == [], result.scenario
        assert result.counts["served"] > 400, result.scenario
        assert result.counts["attempts"] > 400, result.scenario  # decisions are counted
        assert result.served_ratio > 0.97, result.scenario


def fleet(sidecars: int, servers: int = 60, rate: float = 0.2) -> Fleet:
    given = {"lanes": [{"name": "check", "giveUpUs": 2_000_000, "promiseUs": 500_000, "repeat": "read_like"}]}
    return Fleet(settings_from_wire(given), sidecars, servers, rate, 0.05)


def test_connections_of_one_sidecar_hardly_grow_with_the_fleet() -> None:
    """Among more sidecars the largest deviation from the mean is larger."""
    assert (
        connections_per_sidecar(fleet(40))
        <= connections_per_sidecar(fleet(5000))
        <= connections_per_sidecar(fleet(40)) + 2
    )


def test_endpoint_polls_grow_far_less_than_the_fleet() -> None:
    small, large = endpoint_polls_per_s(fleet(40), False), endpoint_polls_per_s(fleet(5000), False)
    assert large < 5000 / 40 * small / 5


def test_a_fleet_too_large_for_gossip_sends_no_gossip_messages() -> None:
    given = {
        "lanes": [{"name": "check", "giveUpUs": 2_000_000, "promiseUs": 500_000, "repeat": "read_like"}],
        "bounds": {"mayTell": True},
    }
    settings = settings_from_wire(given)
    assert fleet_bounds(Fleet(settings, 40, 60, 1.0, 0.05), 10.0).gossip_messages > 0
    assert fleet_bounds(Fleet(settings, 5000, 60, 1.0, 0.05), 10.0).gossip_messages == 0


@pytest.mark.parametrize(
    ("sidecars", "timeout_s"),
    [(1, WATCH_TIMEOUT_MIN_S), (40, WATCH_TIMEOUT_MIN_S), (100, 20.0), (5000, WATCH_TIMEOUT_MAX_S)],
)
def test_watch_timeouts_grow_with_the_fleet_up_to_the_platforms_maximum(
    sidecars: int, timeout_s: float
) -> None:
    assert watch_timeout_s(sidecars) == timeout_s
