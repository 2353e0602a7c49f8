"""The share of requests that servers in slow start get beside warm ones, when all counters of this sidecar are zero."""

from __future__ import annotations

from helpers import MS, S, Stage, names, settings

from topazbank.balancing.events import ServerDescription


def test_servers_halfway_through_slow_start_get_nearly_half_of_what_warm_ones_get() -> None:
    # A zone restarts.  Its servers must not stay idle because both the order of ties and the odds disfavour them.
    share = 0.0
    seeds = 6
    for seed in range(seeds):
        stage = Stage(settings(), seed=seed)
        warm = [ServerDescription(name, "east") for name in names(8)]
        stage.servers(warm)
        stage.serve(200, every_us=20 * MS, taking_us=15 * MS)
        cold = [ServerDescription(f"10.0.1.{each}:80", "east", started_at=stage.now) for each in range(8)]
        stage.servers([*warm, *cold])
        stage.wait(2 * S)
        since = stage.now
        stage.serve(300, every_us=20 * MS, taking_us=15 * MS)  # warmth goes from 0.36 to 0.84
        sent = [each.server for at, each in stage.sends() if at >= since]
        to_cold = sum(each.startswith("10.0.1.") for each in sent)
        share += to_cold / (len(sent) - to_cold) / seeds
    assert share >= 0.45


def test_ties_are_ordered_by_pace_and_not_by_the_progress_of_slow_start() -> None:
    stage = Stage()
    stage.servers([ServerDescription("10.0.1.1:80", "east", started_at=stage.now), *names(1)])
    cold, warm = stage.balancer.servers.by_name["10.0.1.1:80"], stage.balancer.servers.by_name[names(1)[0]]
    assert stage.balancer.selection._rank(cold) == stage.balancer.selection._rank(warm)
    assert stage.balancer.selection._weight(cold, 1.0) < stage.balancer.selection._weight(warm, 1.0)
    stage.wait(4 * S)
    stage.request()  # warmth 0.52 by now: as likely as a warm one
    assert stage.balancer.selection._weight(cold, 1.0) == stage.balancer.selection._weight(warm, 1.0)
