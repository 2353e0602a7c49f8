"""Server selection: best of k, subsets, zones, and servers that rejected a flow."""

from __future__ import annotations

from collections import Counter

import pytest
from helpers import MS, S, Stage, names, serve_singly, settings

from topazbank.balancing.actions import (
    Reject,
)
from topazbank.balancing.events import (
    Outcome,
    ServerDescription,
)
from topazbank.balancing.servers import Server


def test_the_least_loaded_of_the_sampled_servers_is_chosen() -> None:
    stage = Stage()
    stage.servers(names(4))  # all are drawn
    for _ in range(40):
        stage.request()
    assert set(Counter(each.server for _, each in stage.sends()).values()) == {10}


def test_a_server_that_rejected_is_left_out_and_the_last_redraw_samples_all_others() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    for _ in range(4):
        stage.end(request, Outcome.REJECTED)
    targets = [each.server for _, each in stage.sends(request)]
    assert sorted(targets) == names(5)
    stage.end(request, Outcome.REJECTED)
    assert [each.request for each in stage.said(Reject)] == [request]


def test_the_only_server_left_is_used() -> None:
    stage = Stage()
    stage.servers(names(1))
    assert stage.target(stage.request()) == names(1)[0]


def test_slower_servers_are_sampled_less() -> None:
    stage = Stage()
    stage.servers(names(12))
    slow = names(12)[0]
    for _ in range(1_500):
        request = stage.request()
        stage.wait(90 * MS if stage.target(request) == slow else 30 * MS)
        stage.end(request)
    late = Counter(each.server for _, each in stage.sends()[500:])
    assert late[slow] < 0.6 * sum(late.values()) / 12


def test_nominal_capacity_stands_in_for_latency_until_responses_tell() -> None:
    stage = Stage()
    stage.servers(
        [
            ServerDescription(name, "east", nominal_capacity=4.0 if name == names(8)[0] else 1.0)
            for name in names(8)
        ]
    )
    for _ in range(200):
        request = stage.request()
        stage.end(request)
    first = Counter(each.server for _, each in stage.sends()[:40])
    assert first[names(8)[0]] > 40 / 8


def test_an_abandoned_attempt_still_counts_as_load_for_a_while() -> None:
    stage = Stage()
    stage.servers(names(2))
    request = stage.request("pay", remaining_us=400 * MS)
    hung = stage.target(request)
    stage.wait(395 * MS)  # answered by then, and called off
    stage.end(request, Outcome.CANCELLED, answered=True)
    other = stage.request("pay")
    assert stage.target(other) != hung
    again = stage.request("pay")
    assert stage.target(again) in names(2)
    stage.wait(S)
    assert stage.balancer.servers.by_name[hung].load(stage.now) <= 1


def test_quick_errors_do_not_attract_more_requests() -> None:
    stage = Stage()
    stage.servers(names(6))
    bad = names(6)[2]
    for _ in range(300):
        stage.wait(10 * MS)
        request = stage.request("pay")
        if stage.target(request) == bad:
            stage.end(request, Outcome.ERROR)
        else:
            stage.wait(40 * MS)
            stage.end(request)
    assert sum(1 for _, each in stage.sends() if each.server == bad) < 300 / 6


def zones() -> list[ServerDescription]:
    return [ServerDescription(name, "east" if index < 4 else "west") for index, name in enumerate(names(8))]


def _crossings(stage: Stage, near_us: int, far_us: int) -> float:
    stage.servers(zones())
    near = set(names(8)[:4])
    for _ in range(600):
        request = stage.request()
        stage.wait(near_us if stage.target(request) in near else far_us)
        stage.end(request)
    late = stage.sends()[300:]
    return sum(1 for _, each in late if each.server not in near) / len(late)


def test_the_own_zone_is_preferred_while_it_is_as_quick_and_crossings_cost() -> None:
    spared = sum(
        _crossings(Stage(settings(prices={"cross_zone": 0.03}), seed=seed), 40 * MS, 44 * MS)
        for seed in range(5)
    )
    assert spared < 5 * 0.3


def test_a_slow_own_zone_is_left() -> None:
    assert _crossings(Stage(settings(prices={"cross_zone": 0.03})), 90 * MS, 40 * MS) > 0.5


@pytest.mark.interpreted
def test_heavy_requests_sample_slow_servers_less_than_light_ones_do(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = Stage()
    stage.servers(
        [
            ServerDescription(name, "east", nominal_capacity=0.5 if name == names(5)[0] else 1.0)
            for name in names(5)
        ]
    )
    seen: list[float] = []
    drawn = stage.balancer.selection._sample

    def watch(pool: list[Server], odds: list[float], count: int) -> list[Server]:
        seen.append(odds[0] / odds[1])
        return drawn(pool, odds, count)

    monkeypatch.setattr(stage.balancer.selection, "_sample", watch)
    for cost in (20 * MS, 20 * MS, 100 * MS):
        stage.end(stage.request(cost_us=cost))
    assert seen[2] < 0.5 * seen[0]


def test_a_server_that_answers_every_other_request_with_a_quick_error_is_sampled_less() -> None:
    stage = Stage()
    stage.servers(names(12))
    bad = names(12)[3]
    errors = 0
    for _ in range(1_200):
        request = stage.request("pay")
        target = stage.target(request)
        stage.wait(5 * MS if target == bad else 40 * MS)
        errors += target == bad
        stage.end(request, Outcome.ERROR if target == bad and errors % 2 else Outcome.DELIVERED)
    assert sum(1 for _, each in stage.sends()[400:] if each.server == bad) < 0.5 * 800 / 12


def test_a_small_balancer_selects_from_few_of_many_servers_and_from_others_when_those_are_removed() -> None:
    stage = Stage()
    stage.servers(names(60))
    serve_singly(stage, 200)
    met = {each.server for _, each in stage.sends()}
    assert 2 <= len(met) <= 8
    for gone in met:
        stage.drain(gone)
    serve_singly(stage, 50)
    later = {each.server for _, each in stage.sends()[200:]}
    assert later and not later & met


def test_a_busy_balancer_selects_from_all_servers() -> None:
    stage = Stage()
    stage.servers(names(30))
    stage.serve(2_000, every_us=5 * MS, taking_us=250 * MS)
    assert len({each.server for _, each in stage.sends()}) == 30


def test_small_balancers_select_from_different_servers() -> None:
    first: set[str] = set()
    for seed in range(12):
        stage = Stage(seed=seed)
        stage.servers(names(60))
        serve_singly(stage, 20)
        first |= {each.server for _, each in stage.sends()}
    assert len(first) > 25


def test_the_latency_ratio_moves_faster_where_responses_are_few() -> None:
    def change(every_us: int, taking_us: int, singly: bool) -> float:
        stage = Stage()
        stage.servers(names(4))
        if singly:
            serve_singly(stage, 400, taking_us, every_us)
        else:
            stage.serve(400, every_us, taking_us)
        request = stage.request()
        server = stage.balancer.servers.by_name[stage.target(request)]
        stage.wait(2 * taking_us)
        before = server.latency_ratio
        stage.end(request)
        return server.latency_ratio - before

    assert change(400 * MS, 60 * MS, True) > 2 * change(5 * MS, 60 * MS, False) > 0.0


def test_a_rejection_keeps_requests_of_that_class_away_and_no_others() -> None:
    stage = Stage(settings(rules={"rejects_after_start": True}))
    stage.servers(names(5))  # four without it: a full draw
    lost = stage.request("pay")
    full = stage.target(lost)
    stage.end(lost, Outcome.REJECTED, report={"util": 0.3})
    for _ in range(24):
        stage.request("pay")
        stage.request("look")
    pays = {each.server for _, each in stage.sends() if each.request % 2 == 0}
    looks = {each.server for _, each in stage.sends() if each.request % 2 == 1 and each.request != lost}
    assert full in looks and full not in pays


def test_servers_that_reject_a_class_are_left_alone_while_two_others_admit_it() -> None:
    stage = Stage()
    stage.servers(names(6))
    admit = {each.name for each in stage.balancer.servers.ready[:2]}
    fulls = 0
    for _ in range(60):
        stage.wait(40 * MS)
        request, seen = stage.request("look"), 0
        while len(stage.sends(request)) > seen:
            seen = len(stage.sends(request))
            stage.wait(20 * MS)
            refused = stage.target(request) not in admit
            fulls += refused
            stage.end(request, Outcome.REJECTED if refused else Outcome.DELIVERED, report={"util": 0.3})
    assert fulls <= 12  # one from each of the four, and again after one second and after three


def test_a_server_that_rejected_long_ago_is_selected_again() -> None:
    stage = Stage()
    stage.servers(names(5))  # four without it: a full draw
    request = stage.request("amend")
    full = stage.target(request)
    stage.end(request, Outcome.REJECTED, report={"util": 0.3})
    stage.end(request)
    for wait, drawn in ((100 * MS, False), (20 * S, True)):
        stage.wait(wait)
        targets = {stage.target(stage.request("amend")) for _ in range(4)}  # each to the least busy
        assert (full in targets) is drawn
        for number in range(stage.sends()[-1][1].request - 3, stage.sends()[-1][1].request + 1):
            stage.end(number)


def test_where_all_reject_a_class_its_requests_are_attempted_all_the_same() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay")
    for _ in range(3):
        stage.end(request, Outcome.REJECTED, report={"util": 0.3})
    assert [each.request for each in stage.said(Reject)] == [request]
    assert len(stage.sends(stage.request("pay"))) == 1
