"""Planners killed, stalled and cut off under load, checked by the backends' logs; and fleets in simulated time."""

from __future__ import annotations

import asyncio
import json

import pytest

from testbed.fleet.scenarios import PLANNER_SCENARIOS, run_scenario
from testbed.fleet.simulated import START, Fleet, service_level
from testbed.fleet.simulated_server import US_PER_S, SimulatedServer
from topazbank.balancing.settings import Settings
from topazbank.planning import leadership
from topazbank.planning.plan import ServerShare
from topazbank.platform_names import settings_from_wire


@pytest.mark.parametrize("name", PLANNER_SCENARIOS)
def test_no_rule_is_broken_while_planners_fail(name: str) -> None:
    harness = asyncio.run(asyncio.wait_for(run_scenario(name, 0.5, 120.0, seed=1), 60.0))
    report = harness.check()
    assert report.call_count > 100 and not report.violations and report.served_ratio > 0.9


def test_no_rule_is_broken_while_planners_elected_by_rank_fail(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(leadership, "TAKEOVER_DELAY_US", US_PER_S // 2)
    monkeypatch.setattr(leadership, "TAKEOVER_DELAY_PER_RANK_US", US_PER_S // 2)
    monkeypatch.setattr(leadership, "FRESH_PLAN_AGE_US_MAX", US_PER_S // 2)
    harness = asyncio.run(
        asyncio.wait_for(run_scenario("planners_die", 0.5, 120.0, seed=2, by_rank=True), 60.0)
    )
    report = harness.check()
    assert not report.violations and report.served_ratio > 0.9


# -- In simulated time ----------------------------------------------------------------------------------


def example() -> Settings:
    with open("deploy/example.json", encoding="utf-8") as file:
        return settings_from_wire(json.load(file)["settings"])


def fleet(forwarders: int, planners: int, seed: int = 1) -> Fleet:
    servers = [(f"n-{each:02}", (0.5, 1.0, 2.0)[each % 3], 2, each // 5) for each in range(15)]
    return Fleet(example(), forwarders=forwarders, servers=servers, planners=planners, seed=seed)


def total_capacity(simulation: Fleet) -> float:
    return sum(each.speed * each.concurrency for each in simulation.servers.values())


def loaded(simulation: Fleet, load: float, seconds: float, seed: int = 1) -> Fleet:
    rate = 120.0
    simulation.offer_load(rate, seconds, load * total_capacity(simulation) / rate, seed)
    return simulation


def test_a_fleet_that_lost_all_planners_serves_as_independent_sidecars_do() -> None:
    abandoned, alone = (loaded(fleet(200, planners), 0.6, 30.0) for planners in (2, 0))
    abandoned.run(START + 10 * US_PER_S)
    assert (
        min(each.follower.confidence(abandoned.now) for each in abandoned.forwarders if each.follower) > 0.8
    )
    abandoned.cut_links |= {("*", "p-0"), ("*", "p-1")}
    for simulation in (abandoned, alone):
        simulation.run(START + 33 * US_PER_S)
    span = START + 10 * US_PER_S, START + 30 * US_PER_S
    with_lost_planners, without_planners = service_level(abandoned, *span), service_level(alone, *span)
    assert with_lost_planners.calls == without_planners.calls > 2000
    assert (
        abs(with_lost_planners.served - without_planners.served) < 0.01
        and with_lost_planners.late - without_planners.late < 0.01
    )


def break_plans(simulation: Fleet) -> None:
    """The leader puts all on one slow server, and says so with every plan."""

    def shares(now: int, name: str, forwarder: object) -> dict[str, ServerShare]:
        return {
            each: ServerShare(1e6 if each == "n-00" else 1e-6, 0.0 if each == "n-00" else 9.0)
            for each in simulation.servers
        }

    simulation.planners[0]._shares = shares  # type: ignore[method-assign]


def test_a_wrong_planner_cannot_send_everything_to_one_server() -> None:
    simulation = loaded(fleet(40, 1), 0.4, 25.0)
    break_plans(simulation)
    simulation.run(START + 28 * US_PER_S)
    assert service_level(simulation, START, START + 25 * US_PER_S).served > 0.9


def test_a_planner_that_resumes_with_old_summaries_does_no_harm() -> None:
    simulation = loaded(fleet(40, 1), 0.6, 30.0)
    simulation.run(START + 8 * US_PER_S)
    simulation.stalled.add("p-0")
    simulation.servers["n-02"].stop()
    simulation.announce("n-02")
    simulation.run(START + 14 * US_PER_S)
    assert (
        max(each.follower.confidence(simulation.now) for each in simulation.forwarders if each.follower)
        == 0.0
    )
    simulation.resume(simulation.planners[0])
    simulation.run(START + 33 * US_PER_S)
    rejected = {name for each in simulation.forwarders if each.follower for name in each.follower.rejected}
    assert "LAPSED" in rejected
    assert service_level(simulation, START, START + 30 * US_PER_S).served > 0.97


@pytest.mark.parametrize("planned", ["planned", "alone", "change"])
def test_a_pod_that_restarts_under_many_forwarders_is_not_overloaded(planned: str) -> None:
    """200 forwarders: with plans, without, and with the planners gone as the nodes return."""
    simulation = fleet(200, 0 if planned == "alone" else 1)
    pod: list[SimulatedServer] = [each for each in simulation.servers.values() if each.pod == 1]
    loaded(simulation, 0.5, 14.0)
    simulation.run(START + 2 * US_PER_S)
    for server in pod:
        server.stop()
    simulation.announce(*(each.name for each in pod))
    simulation.run(START + 4 * US_PER_S)
    for server in pod:
        server.start_cold()
    simulation.announce(*(each.name for each in pod))
    if planned == "change":
        simulation.run(START + 5 * US_PER_S)
        simulation.cut_links.add(("*", "p-0"))
    simulation.run(START + 17 * US_PER_S)
    assert not any(each.crashed for each in pod)
    assert sum(each.served for each in pod) > 10
    assert service_level(simulation, START + 5 * US_PER_S, START + 14 * US_PER_S).served > 0.9
