"""Tests of the share of requests that servers in slow start receive, when all counters of this sidecar are zero."""

from __future__ import annotations

from helpers import MS, S, Stage, names, settings

from topazbank.balancing.events import ServerDescription


def test_servers_halfway_through_slow_start_receive_nearly_half_the_requests_of_warm_servers() -> None:
    # A zone restarts.  Its servers must not stay idle because both the order of ties and the selection weights put
    # them at a disadvantage.
    mean_ratio = 0.0
    seeds = 6
    for seed in range(seeds):
        stage = Stage(settings(), seed=seed)
        warm_servers = [ServerDescription(name, "east") for name in names(8)]
        stage.servers(warm_servers)
        stage.serve(200, every_us=20 * MS, taking_us=15 * MS)
        cold_servers = [
            ServerDescription(f"10.0.1.{number}:80", "east", started_at=stage.now) for number in range(8)
        ]
        stage.servers([*warm_servers, *cold_servers])
        stage.wait(2 * S)
        since = stage.now
        stage.serve(300, every_us=20 * MS, taking_us=15 * MS)  # warmth rises from 0.36 to 0.84
        sent = [attempt.server for sent_at, attempt in stage.sends() if sent_at >= since]
        to_cold = sum(server.startswith("10.0.1.") for server in sent)
        mean_ratio += to_cold / (len(sent) - to_cold) / seeds
    assert mean_ratio >= 0.45


def test_ties_are_ordered_by_pace_and_not_by_the_progress_of_slow_start() -> None:
    stage = Stage()
    stage.servers([ServerDescription("10.0.1.1:80", "east", started_at=stage.now), *names(1)])
    cold, warm = stage.balancer.servers.by_name["10.0.1.1:80"], stage.balancer.servers.by_name[names(1)[0]]
    assert stage.balancer.selection._rank(cold) == stage.balancer.selection._rank(warm)
    assert stage.balancer.selection._weight(cold, 1.0) < stage.balancer.selection._weight(warm, 1.0)
    stage.wait(4 * S)
    stage.request()  # warmth is 0.52 by now, with the same weight as a warm server
    assert stage.balancer.selection._weight(cold, 1.0) == stage.balancer.selection._weight(warm, 1.0)
