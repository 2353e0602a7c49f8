"""Planners killed, stalled and cut off under load, checked by the backends' logs; and fleets in virtual time."""

from __future__ import annotations

import asyncio
import json

import pytest

from testbed.fleet.scenarios import PLANNER_SCENARIOS, run_scenario
from testbed.fleet.simulated import START, Fleet, Node, S, service
from topazbank.balancing.settings import Settings
from topazbank.planning import leadership
from topazbank.planning.plan import Share
from topazbank.platform_names import settings_from_wire


@pytest.mark.parametrize("name", PLANNER_SCENARIOS)
def test_planners_that_fail_violate_no_invariant(name: str) -> None:
    harness = asyncio.run(asyncio.wait_for(run_scenario(name, 0.5, 120.0, seed=1), 60.0))
    report = harness.check()
    assert report.call_count > 100 and not report.violations and report.served_ratio > 0.9


def test_planners_elected_by_rank_that_fail_violate_no_invariant(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(leadership, "PATIENCE", S // 2)
    monkeypatch.setattr(leadership, "PATIENCE_RANK", S // 2)
    monkeypatch.setattr(leadership, "FRESH", S // 2)
    harness = asyncio.run(
        asyncio.wait_for(run_scenario("planners_die", 0.5, 120.0, seed=2, by_rank=True), 60.0)
    )
    report = harness.check()
    assert not report.violations and report.served_ratio > 0.9


# -- In virtual time ----------------------------------------------------------------------------------


def example() -> Settings:
    with open("deploy/example.json", encoding="utf-8") as file:
        return settings_from_wire(json.load(file)["settings"])


def fleet(forwarders: int, planners: int, seed: int = 1) -> Fleet:
    nodes = [(f"n-{each:02}", (0.5, 1.0, 2.0)[each % 3], 2, each // 5) for each in range(15)]
    return Fleet(example(), forwarders=forwarders, nodes=nodes, planners=planners, seed=seed)


def able(made: Fleet) -> float:
    return sum(each.speed * each.slots for each in made.nodes.values())


def loaded(made: Fleet, load: float, seconds: float, seed: int = 1) -> Fleet:
    rate = 120.0
    made.load(rate, seconds, load * able(made) / rate, seed)
    return made


def test_a_fleet_whose_planners_are_all_gone_serves_as_independent_sidecars_do() -> None:
    gone, alone = (loaded(fleet(200, planners), 0.6, 30.0) for planners in (2, 0))
    gone.run(START + 10 * S)
    assert min(each.follower.trust(gone.now) for each in gone.forwarders if each.follower) > 0.8
    gone.cut |= {("*", "p-0"), ("*", "p-1")}
    for made in (gone, alone):
        made.run(START + 33 * S)
    spans = START + 10 * S, START + 30 * S
    ours, theirs = service(gone, *spans), service(alone, *spans)
    assert ours.calls == theirs.calls > 2000
    assert abs(ours.served - theirs.served) < 0.01 and ours.late - theirs.late < 0.01


def wrong(made: Fleet) -> None:
    """The leader puts all on one slow node, and says so with every plan."""

    def shares(now: int, name: str, forwarder: object) -> dict[str, Share]:
        return {
            each: Share(1e6 if each == "n-00" else 1e-6, 0.0 if each == "n-00" else 9.0)
            for each in made.nodes
        }

    made.planners[0]._shares = shares  # type: ignore[method-assign]


def test_a_planner_that_puts_all_on_one_node_is_held_in_check() -> None:
    made = loaded(fleet(40, 1), 0.4, 25.0)
    wrong(made)
    made.run(START + 28 * S)
    assert service(made, START, START + 25 * S).served > 0.9


def test_a_stalled_planner_that_goes_on_with_old_summaries_does_no_harm() -> None:
    made = loaded(fleet(40, 1), 0.6, 30.0)
    made.run(START + 8 * S)
    made.stalled.add("p-0")
    made.nodes["n-02"].stop()
    made.relist("n-02")
    made.run(START + 14 * S)
    assert max(each.follower.trust(made.now) for each in made.forwarders if each.follower) == 0.0
    made.resume(made.planners[0])
    made.run(START + 33 * S)
    refused = {name for each in made.forwarders if each.follower for name in each.follower.refused}
    assert "LAPSED" in refused
    assert service(made, START, START + 30 * S).served > 0.97


@pytest.mark.parametrize("planned", ["planned", "alone", "change"])
def test_a_pod_that_returns_cold_under_many_forwarders_is_not_pushed_over(planned: str) -> None:
    """200 forwarders: with plans, without, and with the planners gone as the nodes return."""
    made = fleet(200, 0 if planned == "alone" else 1)
    pod: list[Node] = [each for each in made.nodes.values() if each.pod == 1]
    loaded(made, 0.5, 14.0)
    made.run(START + 2 * S)
    for node in pod:
        node.stop()
    made.relist(*(each.name for each in pod))
    made.run(START + 4 * S)
    for node in pod:
        node.start_cold()
    made.relist(*(each.name for each in pod))
    if planned == "change":
        made.run(START + 5 * S)
        made.cut.add(("*", "p-0"))
    made.run(START + 17 * S)
    assert not any(each.fallen for each in pod)
    assert sum(each.served for each in pod) > 10
    assert service(made, START + 5 * S, START + 14 * S).served > 0.9
