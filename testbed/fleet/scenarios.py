"""The failure cases, as scripts over a rig: each takes `pace`, seconds that one of its steps lasts."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from testbed.fleet.harness import FleetHarness, wait_until

WARMUP_S = 22.0  # a node that starts is at 14% of its work, and warm so much later
Scenario = Callable[[FleetHarness, float], Awaitable[None]]


async def crash_and_cold_return(rig: FleetHarness, pace: float) -> None:
    """A node dies; its session ends later; it comes back cold under another incarnation."""
    rig.die("n-4")
    await asyncio.sleep(2 * pace)
    await rig.launch("n-4", cold_s=WARMUP_S)
    await asyncio.sleep(2 * pace)


async def hang(rig: FleetHarness, pace: float) -> None:
    """A node takes requests and answers nothing, its session alive: a live session is not a healthy one."""
    rig.nodes["n-2"].lodge.hung = True
    await asyncio.sleep(3 * pace)
    rig.nodes["n-2"].lodge.hung = False
    await asyncio.sleep(pace)


async def stale_list(rig: FleetHarness, pace: float) -> None:
    """Watches are held back, so sidecars go by an old list: one node dies meanwhile, another leaves and ends."""
    held = [each.session.session_id for each in rig.sources()]
    for ident in held:
        connection = rig.ensemble.connection_of(ident)
        assert connection is not None
        connection.hold_watches()
    rig.die("n-1")
    await rig.leave("n-4", after_s=0.5)
    await asyncio.sleep(pace)
    for ident in held:
        connection = rig.ensemble.connection_of(ident)
        if connection is not None:
            connection.release()
    await asyncio.sleep(pace)
    await rig.launch("n-1", cold_s=WARMUP_S)
    await asyncio.sleep(pace)


async def drains(rig: FleetHarness, pace: float) -> None:
    """Nodes leave one after the other and come back as new processes."""
    for name in ("n-0", "n-3", "n-5"):
        await rig.leave(name)
        await rig.launch(name, cold_s=WARMUP_S)
        await asyncio.sleep(pace / 2)


async def restarts_with_the_last_list(rig: FleetHarness, pace: float) -> None:
    """Sidecars restart while nobody can say who is there; a node has died since the list was made."""
    rig.ensemble.outage()
    await asyncio.sleep(pace / 2)
    rig.die("n-2")
    for number in range(len(rig.processes)):
        await rig.restart_sidecar(number)
        await asyncio.sleep(pace / 2)
    rig.ensemble.restore()
    await wait_until(lambda: all("n-2" not in rig.ready(number) for number in range(len(rig.processes))))


async def sessions_expire(rig: FleetHarness, pace: float) -> None:
    """One session expires under a running node, then all nodes' at once: they register again, warm."""
    rig.ensemble.expire(rig.session_of("n-0"))
    await asyncio.sleep(pace)
    for name in rig.nodes:
        rig.ensemble.expire(rig.session_of(name))
    everyone = set(rig.nodes)
    await wait_until(lambda: all(rig.ready(number) == everyone for number in range(len(rig.processes))))
    await asyncio.sleep(pace)


async def own_sessions_expire(rig: FleetHarness, pace: float) -> None:
    """The sidecars' own sessions expire and are cut off; a node leaves meanwhile."""
    for each in rig.sources():
        rig.ensemble.expire(each.session.session_id)
    await rig.leave("n-5", after_s=0.5)
    for each in rig.sources():
        connection = rig.ensemble.connection_of(each.session.session_id)
        if connection is not None:
            connection.stall()
    await asyncio.sleep(3 * pace)


async def ensemble_in_trouble(rig: FleetHarness, pace: float) -> None:
    """The leader is lost, members are cut off, lag and crash, the disk is slow, the clock runs fast."""
    ensemble = rig.ensemble
    ensemble.lose_leader(0.3)
    await asyncio.sleep(pace)
    ensemble.members[0].apply_delay_s, ensemble.commit_delay_s = 0.1, 0.05
    ensemble.cut(1)
    await rig.leave("n-3", after_s=0.6)
    ensemble.heal(1)
    ensemble.crash(0)
    rig.die("n-0")
    await asyncio.sleep(pace)
    ensemble.restart(0)
    ensemble.run_clock(3.0)
    await asyncio.sleep(pace)
    ensemble.run_clock(1.0)
    ensemble.members[0].apply_delay_s = ensemble.commit_delay_s = 0.0
    await rig.launch("n-0", cold_s=WARMUP_S)
    await asyncio.sleep(pace)


# -- With planners ------------------------------------------------------------------------------------


async def planners_die(rig: FleetHarness, pace: float) -> None:
    """The leader dies, then the other, while a node dies too; both come back having forgotten all."""
    await wait_until(lambda: rig.leader() is not None and min(rig.trusts()) > 0.3)
    first = rig.leader()
    assert first is not None
    rig.kill_planner(first)
    await wait_until(lambda: rig.leader() not in (None, first))
    await asyncio.sleep(pace)
    rig.kill_planner(1 - first)
    rig.die("n-1")
    await wait_until(lambda: max(rig.trusts()) == 0.0)
    await asyncio.sleep(pace)
    for number in (0, 1):
        await rig.start_planner(number)
    await wait_until(lambda: min(rig.trusts()) > 0.3)


async def planner_stalls(rig: FleetHarness, pace: float) -> None:
    """The leader stands still and goes on with what it was told before; a node leaves meanwhile."""
    await wait_until(lambda: rig.leader() is not None and min(rig.trusts()) > 0.3)
    leader = rig.leader()
    ways = [way for (_, planner), way in rig.ways.items() if planner == leader]
    for way in ways:
        way.hold()
    await rig.leave("n-4", after_s=0.6)
    await asyncio.sleep(2 * pace)
    for way in ways:
        way.heal()
    await asyncio.sleep(pace)


async def planners_partitioned(rig: FleetHarness, pace: float) -> None:
    """One sidecar can't reach the leader, then its answers don't come back, then the leader loses the ensemble."""
    await wait_until(lambda: rig.leader() is not None and min(rig.trusts()) > 0.3)
    leader = rig.leader()
    assert leader is not None
    rig.ways[0, leader].cut()
    await asyncio.sleep(pace)
    rig.ways[0, leader].heal()
    rig.ways[1, leader].hold(forth=False)
    await asyncio.sleep(pace)
    rig.ways[1, leader].heal()
    election = rig.elections[leader]
    if election is not None:
        rig.ensemble.expire(election._session.session_id)
        await wait_until(lambda: rig.leader() not in (None, leader))
    rig.die("n-2")
    await asyncio.sleep(pace)


async def all_restart(rig: FleetHarness, pace: float) -> None:
    """All planners at once, then all sidecars."""
    await wait_until(lambda: rig.leader() is not None and min(rig.trusts()) > 0.3)
    for number in (0, 1):
        rig.kill_planner(number)
    for number in (0, 1):
        await rig.start_planner(number)
    await asyncio.sleep(pace)
    await asyncio.gather(*(rig.restart_sidecar(number) for number in range(len(rig.processes))))
    await wait_until(lambda: len(rig.trusts()) == len(rig.processes) and min(rig.trusts()) > 0.3)


PLANNER_SCENARIOS: dict[str, Scenario] = {
    each.__name__: each for each in (planners_die, planner_stalls, planners_partitioned, all_restart)
}
SCENARIOS: dict[str, Scenario] = {
    each.__name__: each
    for each in (
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
    """One scene under load, from a calm second to one after it; the rig is stopped, its logs are there."""
    rig = FleetHarness(seed=seed, planners=2 if name in PLANNER_SCENARIOS else 0, by_rank=by_rank)
    await rig.start()
    try:
        over = asyncio.Event()
        load = asyncio.get_running_loop().create_task(rig.load(rate, over))
        await asyncio.sleep(pace / 2)
        await (SCENARIOS | PLANNER_SCENARIOS)[name](rig, pace)
        await asyncio.sleep(pace / 2)
        over.set()
        await load
    finally:
        await rig.stop()
    return rig


async def outage_beside_fixed_list(
    seconds: float, rate: float, seed: int
) -> tuple[FleetHarness, FleetHarness]:
    """The same load and the same node failures, over an ensemble that is out all the time and over a fixed list.

    Both at once in one process, so that what the machine does to one it does to the other.
    """
    rigs = FleetHarness(seed=seed), FleetHarness(seed=seed, fixed=True)
    for rig in rigs:
        await rig.start()
    rigs[0].ensemble.outage()
    try:
        await asyncio.gather(*(_through_outage(rig, seconds, rate) for rig in rigs))
    finally:
        for rig in rigs:
            await rig.stop()
    return rigs


async def _through_outage(rig: FleetHarness, seconds: float, rate: float) -> None:
    """What lists don't tell anyway: a node hangs for a while, and one dies and stays away."""
    over = asyncio.Event()
    load = asyncio.get_running_loop().create_task(rig.load(rate, over))
    await asyncio.sleep(seconds * 0.2)
    rig.nodes["n-2"].lodge.hung = True
    await asyncio.sleep(seconds * 0.2)
    rig.nodes["n-2"].lodge.hung = False
    await asyncio.sleep(seconds * 0.2)
    rig.die("n-1")
    await asyncio.sleep(seconds * 0.4)
    over.set()
    await load
