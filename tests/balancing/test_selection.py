"""Server selection: best of k, subsets, zones, and backoff after rejections."""

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
    stage.servers(names(4))  # all are sampled
    for _ in range(40):
        stage.request()
    assert set(Counter(send.server for _, send in stage.sends()).values()) == {10}


def test_servers_that_rejected_are_excluded_and_the_last_retry_samples_all_others() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    for _ in range(4):
        stage.end(request, Outcome.REJECTED)
    targets = [send.server for _, send in stage.sends(request)]
    assert sorted(targets) == names(5)
    stage.end(request, Outcome.REJECTED)
    assert [action.request for action in stage.said(Reject)] == [request]


def test_a_single_server_is_used() -> None:
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
    late = Counter(send.server for _, send in stage.sends()[500:])
    assert late[slow] < 0.6 * sum(late.values()) / 12


def test_nominal_capacity_replaces_the_latency_ratio_until_responses_arrive() -> None:
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
    first = Counter(send.server for _, send in stage.sends()[:40])
    assert first[names(8)[0]] > 40 / 8


def test_an_abandoned_attempt_still_counts_as_load_for_a_while() -> None:
    stage = Stage()
    stage.servers(names(2))
    request = stage.request("pay", remaining_us=400 * MS)
    hung = stage.target(request)
    stage.wait(395 * MS)  # the client was answered by then, so the attempt is cancelled
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
    assert sum(1 for _, send in stage.sends() if send.server == bad) < 300 / 6


def servers_in_two_zones() -> list[ServerDescription]:
    return [ServerDescription(name, "east" if index < 4 else "west") for index, name in enumerate(names(8))]


def _crossings(stage: Stage, local_us: int, remote_us: int) -> float:
    stage.servers(servers_in_two_zones())
    local = set(names(8)[:4])
    for _ in range(600):
        request = stage.request()
        stage.wait(local_us if stage.target(request) in local else remote_us)
        stage.end(request)
    late = stage.sends()[300:]
    return sum(1 for _, send in late if send.server not in local) / len(late)


def test_the_local_zone_is_preferred_while_it_is_as_fast_and_crossings_have_a_price() -> None:
    crossings = sum(
        _crossings(Stage(settings(prices={"cross_zone": 0.03}), seed=seed), 40 * MS, 44 * MS)
        for seed in range(5)
    )
    assert crossings < 5 * 0.3


def test_other_zones_are_preferred_while_the_local_zone_is_slow() -> None:
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
    weight_ratios: list[float] = []
    original_sample = stage.balancer.selection._sample

    def record_weights(candidates: list[Server], weights: list[float], count: int) -> list[Server]:
        weight_ratios.append(weights[0] / weights[1])
        return original_sample(candidates, weights, count)

    monkeypatch.setattr(stage.balancer.selection, "_sample", record_weights)
    for cost in (20 * MS, 20 * MS, 100 * MS):
        stage.end(stage.request(cost_us=cost))
    assert weight_ratios[2] < 0.5 * weight_ratios[0]


def test_a_server_that_fails_every_second_request_quickly_is_sampled_less() -> None:
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
    assert sum(1 for _, send in stage.sends()[400:] if send.server == bad) < 0.5 * 800 / 12


def test_a_small_balancer_selects_from_a_subset_and_from_other_servers_after_their_removal() -> None:
    stage = Stage()
    stage.servers(names(60))
    serve_singly(stage, 200)
    selected = {send.server for _, send in stage.sends()}
    assert 2 <= len(selected) <= 8
    for name in selected:
        stage.drain(name)
    serve_singly(stage, 50)
    later = {send.server for _, send in stage.sends()[200:]}
    assert later and not later & selected


def test_a_busy_balancer_selects_from_all_servers() -> None:
    stage = Stage()
    stage.servers(names(30))
    stage.serve(2_000, every_us=5 * MS, taking_us=250 * MS)
    assert len({send.server for _, send in stage.sends()}) == 30


def test_small_balancers_select_from_different_servers() -> None:
    selected: set[str] = set()
    for seed in range(12):
        stage = Stage(seed=seed)
        stage.servers(names(60))
        serve_singly(stage, 20)
        selected |= {send.server for _, send in stage.sends()}
    assert len(selected) > 25


def test_the_latency_ratio_adapts_faster_when_responses_are_few() -> None:
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


def test_a_rejection_diverts_requests_of_that_class_and_no_others() -> None:
    stage = Stage(settings(rules={"rejects_after_start": True}))
    stage.servers(names(5))  # four without the rejecting server: a full sample
    rejected_request = stage.request("pay")
    rejecting = stage.target(rejected_request)
    stage.end(rejected_request, Outcome.REJECTED, report={"util": 0.3})
    for _ in range(24):
        stage.request("pay")
        stage.request("look")
    pay_servers = {send.server for _, send in stage.sends() if send.request % 2 == 0}
    look_servers = {
        send.server for _, send in stage.sends() if send.request % 2 == 1 and send.request != rejected_request
    }
    assert rejecting in look_servers and rejecting not in pay_servers


def test_servers_that_reject_a_class_are_avoided_while_two_others_admit_it() -> None:
    stage = Stage()
    stage.servers(names(6))
    admitting = {server.name for server in stage.balancer.servers.ready[:2]}
    rejections = 0
    for _ in range(60):
        stage.wait(40 * MS)
        request, sent_count = stage.request("look"), 0
        while len(stage.sends(request)) > sent_count:
            sent_count = len(stage.sends(request))
            stage.wait(20 * MS)
            rejected = stage.target(request) not in admitting
            rejections += rejected
            stage.end(request, Outcome.REJECTED if rejected else Outcome.DELIVERED, report={"util": 0.3})
    assert rejections <= 12  # one from each of the four servers, and again after 1 s and after 3 s


def test_a_server_that_rejected_long_ago_is_selected_again() -> None:
    stage = Stage()
    stage.servers(names(5))  # four without the rejecting server: a full sample
    request = stage.request("amend")
    rejecting = stage.target(request)
    stage.end(request, Outcome.REJECTED, report={"util": 0.3})
    stage.end(request)
    for wait_us, is_selected in ((100 * MS, False), (20 * S, True)):
        stage.wait(wait_us)
        # Each request goes to the least loaded server.
        targets = {stage.target(stage.request("amend")) for _ in range(4)}
        assert (rejecting in targets) is is_selected
        for number in range(stage.sends()[-1][1].request - 3, stage.sends()[-1][1].request + 1):
            stage.end(number)


def test_a_request_is_still_attempted_when_all_servers_rejected_its_class() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay")
    for _ in range(3):
        stage.end(request, Outcome.REJECTED, report={"util": 0.3})
    assert [action.request for action in stage.said(Reject)] == [request]
    assert len(stage.sends(stage.request("pay"))) == 1
