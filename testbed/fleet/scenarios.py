"""Failure scenarios as scripts over a fleet; `pace` is the time that one of their steps lasts, in seconds."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from testbed.backend.model import WARMUP_S
from testbed.fleet.harness import FleetHarness, wait_until

Scenario = Callable[[FleetHarness, float], Awaitable[None]]


async def crash_and_cold_return(fleet: FleetHarness, pace: float) -> None:
    """A backend dies; its session ends later; it comes back cold, as another incarnation."""
    fleet.kill_backend("n-4")
    await asyncio.sleep(2 * pace)
    await fleet.start_backend("n-4", warmup_s=WARMUP_S)
    await asyncio.sleep(2 * pace)


async def hang(fleet: FleetHarness, pace: float) -> None:
    """A backend accepts requests and answers none, while its session lives: a live session is not a healthy backend."""
    fleet.backends["n-2"].backend.hung = True
    await asyncio.sleep(3 * pace)
    fleet.backends["n-2"].backend.hung = False
    await asyncio.sleep(pace)


async def stale_list(fleet: FleetHarness, pace: float) -> None:
    """Watch events are held back, so that lists are stale: one backend dies meanwhile, another drains and ends."""
    session_ids = [source.session.session_id for source in fleet.sources()]
    for session_id in session_ids:
        connection = fleet.ensemble.connection_of(session_id)
        assert connection is not None
        connection.hold_watches()
    fleet.kill_backend("n-1")
    await fleet.drain_backend("n-4", rejects_after_s=0.5)
    await asyncio.sleep(pace)
    for session_id in session_ids:
        connection = fleet.ensemble.connection_of(session_id)
        if connection is not None:
            connection.release()
    await asyncio.sleep(pace)
    await fleet.start_backend("n-1", warmup_s=WARMUP_S)
    await asyncio.sleep(pace)


async def drains(fleet: FleetHarness, pace: float) -> None:
    """Backends drain one after the other and come back as new processes."""
    for name in ("n-0", "n-3", "n-5"):
        await fleet.drain_backend(name)
        await fleet.start_backend(name, warmup_s=WARMUP_S)
        await asyncio.sleep(pace / 2)


async def restarts_with_the_last_list(fleet: FleetHarness, pace: float) -> None:
    """Sidecars restart during an outage of discovery; a backend has died since their cached list."""
    fleet.ensemble.outage()
    await asyncio.sleep(pace / 2)
    fleet.kill_backend("n-2")
    for number in range(len(fleet.processes)):
        await fleet.restart_sidecar(number)
        await asyncio.sleep(pace / 2)
    fleet.ensemble.restore()
    await wait_until(lambda: all("n-2" not in fleet.ready(number) for number in range(len(fleet.processes))))


async def sessions_expire(fleet: FleetHarness, pace: float) -> None:
    """The session of one running backend expires, then those of all at once: they register again, warm."""
    fleet.ensemble.expire(fleet.session_of("n-0"))
    await asyncio.sleep(pace)
    for name in fleet.backends:
        fleet.ensemble.expire(fleet.session_of(name))
    everyone = set(fleet.backends)
    await wait_until(lambda: all(fleet.ready(number) == everyone for number in range(len(fleet.processes))))
    await asyncio.sleep(pace)


async def own_sessions_expire(fleet: FleetHarness, pace: float) -> None:
    """The sidecars' own sessions expire and their connections stall; a backend drains meanwhile."""
    for source in fleet.sources():
        fleet.ensemble.expire(source.session.session_id)
    await fleet.drain_backend("n-5", rejects_after_s=0.5)
    for source in fleet.sources():
        connection = fleet.ensemble.connection_of(source.session.session_id)
        if connection is not None:
            connection.stall()
    await asyncio.sleep(3 * pace)


async def ensemble_in_trouble(fleet: FleetHarness, pace: float) -> None:
    """The ensemble loses its leader; members are cut off, lag and crash; the disk is slow, the clock runs fast."""
    ensemble = fleet.ensemble
    ensemble.lose_leader(0.3)
    await asyncio.sleep(pace)
    ensemble.members[0].apply_delay_s, ensemble.commit_delay_s = 0.1, 0.05
    ensemble.cut(1)
    await fleet.drain_backend("n-3", rejects_after_s=0.6)
    ensemble.heal(1)
    ensemble.crash(0)
    fleet.kill_backend("n-0")
    await asyncio.sleep(pace)
    ensemble.restart(0)
    ensemble.run_clock(3.0)
    await asyncio.sleep(pace)
    ensemble.run_clock(1.0)
    ensemble.members[0].apply_delay_s = ensemble.commit_delay_s = 0.0
    await fleet.start_backend("n-0", warmup_s=WARMUP_S)
    await asyncio.sleep(pace)


# -- With planners ------------------------------------------------------------------------------------


async def planners_die(fleet: FleetHarness, pace: float) -> None:
    """The leading planner dies, then the other, while a backend dies too; both come back without their state."""
    await wait_until(lambda: fleet.leader() is not None and min(fleet.plan_trusts()) > 0.3)
    first = fleet.leader()
    assert first is not None
    fleet.kill_planner(first)
    await wait_until(lambda: fleet.leader() not in (None, first))
    await asyncio.sleep(pace)
    fleet.kill_planner(1 - first)
    fleet.kill_backend("n-1")
    await wait_until(lambda: max(fleet.plan_trusts()) == 0.0)
    await asyncio.sleep(pace)
    for number in (0, 1):
        await fleet.start_planner(number)
    await wait_until(lambda: min(fleet.plan_trusts()) > 0.3)


async def planner_stalls(fleet: FleetHarness, pace: float) -> None:
    """The leading planner is cut off and goes on with old reports; a backend drains meanwhile."""
    await wait_until(lambda: fleet.leader() is not None and min(fleet.plan_trusts()) > 0.3)
    leader = fleet.leader()
    proxies = [proxy for (_, planner), proxy in fleet.proxies.items() if planner == leader]
    for proxy in proxies:
        proxy.hold()
    await fleet.drain_backend("n-4", rejects_after_s=0.6)
    await asyncio.sleep(2 * pace)
    for proxy in proxies:
        proxy.heal()
    await asyncio.sleep(pace)


async def planners_partitioned(fleet: FleetHarness, pace: float) -> None:
    """One sidecar can't reach the leading planner, then gets no answers, then the leader loses the ensemble."""
    await wait_until(lambda: fleet.leader() is not None and min(fleet.plan_trusts()) > 0.3)
    leader = fleet.leader()
    assert leader is not None
    fleet.proxies[0, leader].cut()
    await asyncio.sleep(pace)
    fleet.proxies[0, leader].heal()
    fleet.proxies[1, leader].hold(forth=False)
    await asyncio.sleep(pace)
    fleet.proxies[1, leader].heal()
    election = fleet.elections[leader]
    if election is not None:
        fleet.ensemble.expire(election._session.session_id)
        await wait_until(lambda: fleet.leader() not in (None, leader))
    fleet.kill_backend("n-2")
    await asyncio.sleep(pace)


async def all_restart(fleet: FleetHarness, pace: float) -> None:
    """All planners at once, then all sidecars."""
    await wait_until(lambda: fleet.leader() is not None and min(fleet.plan_trusts()) > 0.3)
    for number in (0, 1):
        fleet.kill_planner(number)
    for number in (0, 1):
        await fleet.start_planner(number)
    await asyncio.sleep(pace)
    await asyncio.gather(*(fleet.restart_sidecar(number) for number in range(len(fleet.processes))))
    await wait_until(
        lambda: len(fleet.plan_trusts()) == len(fleet.processes) and min(fleet.plan_trusts()) > 0.3
    )


PLANNER_SCENARIOS: dict[str, Scenario] = {
    scenario.__name__: scenario
    for scenario in (planners_die, planner_stalls, planners_partitioned, all_restart)
}
SCENARIOS: dict[str, Scenario] = {
    scenario.__name__: scenario
    for scenario in (
        crash_and_cold_return,
        hang,
        stale_list,
        drains,
        restarts_with_the_last_list,
        sessions_expire,
        own_sessions_expire,
        ensemble_in_trouble,
    )
}


async def run_scenario(name: str, pace: float, rate: float, seed: int, by_rank: bool = False) -> FleetHarness:
    """Run one scenario under load, with half a step before and after it; return the stopped fleet with its logs."""
    fleet = FleetHarness(seed=seed, planners=2 if name in PLANNER_SCENARIOS else 0, by_rank=by_rank)
    await fleet.start()
    try:
        over = asyncio.Event()
        load = asyncio.get_running_loop().create_task(fleet.run_load(rate, over))
        await asyncio.sleep(pace / 2)
        await (SCENARIOS | PLANNER_SCENARIOS)[name](fleet, pace)
        await asyncio.sleep(pace / 2)
        over.set()
        await load
    finally:
        await fleet.stop()
    return fleet


async def outage_beside_fixed_list(
    seconds: float, rate: float, seed: int
) -> tuple[FleetHarness, FleetHarness]:
    """Run two fleets with the same load and failures: one during an outage of its ensemble, one on a fixed list.

    Both run at once in one process, so that a busy machine affects both alike.
    """
    fleets = FleetHarness(seed=seed), FleetHarness(seed=seed, fixed_list=True)
    for fleet in fleets:
        await fleet.start()
    fleets[0].ensemble.outage()
    try:
        await asyncio.gather(*(_through_outage(fleet, seconds, rate) for fleet in fleets))
    finally:
        for fleet in fleets:
            await fleet.stop()
    return fleets


async def _through_outage(fleet: FleetHarness, seconds: float, rate: float) -> None:
    """Cause failures that no list tells: a backend hangs for a while, and another dies."""
    over = asyncio.Event()
    load = asyncio.get_running_loop().create_task(fleet.run_load(rate, over))
    await asyncio.sleep(seconds * 0.2)
    fleet.backends["n-2"].backend.hung = True
    await asyncio.sleep(seconds * 0.2)
    fleet.backends["n-2"].backend.hung = False
    await asyncio.sleep(seconds * 0.2)
    fleet.kill_backend("n-1")
    await asyncio.sleep(seconds * 0.4)
    over.set()
    await load
