"""The four rules, each by scripted events."""

from __future__ import annotations

import itertools

import pytest
from helpers import MS, START, S, Stage, names, settings

from topazbank.balancing.actions import CancelAttempt, Fail, Reject, WatchEndpoints
from topazbank.balancing.events import (
    AttemptEnded,
    EndpointsUpdated,
    Outcome,
    RequestCancelled,
    ServerDescription,
    ServerState,
    UpdateKind,
)

# Rule 1: one final answer in time


def test_an_unanswered_request_gets_its_final_answer_before_its_time_is_up() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay", remaining_us=900 * MS)
    stage.wait(899 * MS)
    assert [each.request for each in stage.said(Fail)] == [request]


def test_nothing_is_sent_or_answered_after_the_final_answer() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("look", remaining_us=300 * MS)
    stage.wait(300 * MS)
    answers = len(stage.said(Reject))
    stage.end(request, Outcome.CANCELLED, answered=True)
    stage.wait(5 * S)
    assert answers == 1
    assert len(stage.said(Reject)) == 1
    assert len([1 for at, _ in stage.sends(request) if at > START + 300 * MS]) == 0


def test_a_request_whose_time_is_up_on_arrival_is_refused_unsent() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay", remaining_us=0)
    assert stage.sends(request) == []
    assert [each.request for each in stage.said(Reject)] == [request]


def test_no_server_at_all_means_a_refusal_at_once() -> None:
    stage = Stage()
    request = stage.request("pay")
    assert [each.request for each in stage.said(Reject)] == [request]


def test_no_attempts_allowed_means_a_refusal() -> None:
    stage = Stage(settings(limits={"max_attempts": 0}))
    stage.servers(names(3))
    request = stage.request("look")
    assert stage.sends(request) == []
    assert [each.request for each in stage.said(Reject)] == [request]


def test_late_and_unknown_news_is_ignored() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request()
    stage.end(request)
    before = len(stage.log)
    stage.play(RequestCancelled(request))
    stage.play(RequestCancelled(99))
    stage.play(AttemptEnded(99, 0, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    stage.play(AttemptEnded(request, 7, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    assert len(stage.log) == before


def test_a_client_that_left_is_owed_nothing_and_its_attempt_is_called_off() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay")
    stage.play(RequestCancelled(request))
    stage.wait(3 * S)
    assert [each.request for each in stage.said(CancelAttempt)] == [request]
    assert stage.said(Fail) == [] and stage.said(Reject) == []


# Rule 2: no effect twice


@pytest.mark.parametrize(
    "outcome", [Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.TIMED_OUT, Outcome.CANCELLED]
)
def test_an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again(outcome: Outcome) -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    stage.wait(10 * MS)
    stage.end(request, outcome)
    assert len(stage.sends(request)) == 1
    assert [each.request for each in stage.said(Fail)] == [request]
    assert stage.said(Reject) == []


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.UNSENT])
def test_an_unsafe_request_that_never_ran_goes_to_another_server(outcome: Outcome) -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    stage.wait(10 * MS)
    stage.end(request, outcome)
    targets = [each.server for _, each in stage.sends(request)]
    assert len(targets) == 2 and targets[0] != targets[1]


def cells() -> list[ServerDescription]:
    return [ServerDescription(name, zone="east", cell=index % 2) for index, name in enumerate(names(8))]


def test_a_keyed_request_that_may_have_run_stays_in_its_cell() -> None:
    for seed in range(20):
        stage = Stage(seed=seed)
        stage.servers(cells())
        cell_of = {each.name: each.cell for each in cells()}
        request = stage.request("amend")
        for _ in range(3):
            stage.wait(10 * MS)
            stage.end(request, Outcome.CONNECTION_LOST)
        targets = [each.server for _, each in stage.sends(request)]
        assert len(targets) > 1
        assert len({cell_of[each] for each in targets}) == 1


def test_the_cell_of_a_keyed_request_is_that_of_its_first_server_when_it_was_sent_there() -> None:
    # Guards against a new process of the same name in another cell: what may have run, ran in the former one.
    stage = Stage()
    stage.servers([ServerDescription("a", zone="east", cell=0)])
    request = stage.request("amend")
    stage.servers(
        [
            ServerDescription("a", zone="east", cell=1, started_at=stage.now),
            ServerDescription("b", zone="east", cell=1),
            ServerDescription("c", zone="east", cell=0),
        ],
        UpdateKind.DELTA,
    )
    stage.wait(10 * MS)
    stage.end(request, Outcome.CONNECTION_LOST)
    assert [each.server for _, each in stage.sends(request)] == ["a", "c"]


def test_a_further_attempt_of_a_keyed_request_says_by_when_it_has_to_be_written() -> None:
    stage = Stage()
    stage.servers(cells())
    request = stage.request("amend", remaining_us=4 * S)
    stage.wait(100 * MS)
    stage.end(request, Outcome.CONNECTION_LOST)
    (_, first), (_, second) = stage.sends(request)
    assert first.write_by >= first.give_up_at
    assert START + 1 * S < second.write_by < START + 2 * S


def test_a_keyed_request_is_not_sent_again_once_servers_forget() -> None:
    stage = Stage()
    stage.servers(cells())
    request = stage.request("amend", remaining_us=4 * S)
    stage.wait(2 * S)
    stage.end(request, Outcome.CONNECTION_LOST)
    assert len(stage.sends(request)) == 1
    assert [each.request for each in stage.said(Fail)] == [request]


def test_a_second_copy_waits_for_the_first_where_only_one_may_be_out() -> None:
    stage = Stage(settings(limits={"hedging": False}))
    stage.servers(names(6))
    stage.serve(100)
    request = stage.request("look")
    hung = stage.target(request)
    for _ in range(60):
        stage.wait(10 * MS)
        other = stage.request("look")
        if stage.target(other) != hung:
            stage.end(other)
    assert [each.request for each in stage.said(CancelAttempt)][:1] == [request]
    assert len(stage.sends(request)) == 1
    stage.end(request, Outcome.CANCELLED, answered=False)
    assert len(stage.sends(request)) == 2


# Rule 3: drains are kept


def test_a_drained_or_vanished_server_gets_nothing_from_the_moment_of_hearing() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.drain("10.0.0.1:80")
    stage.servers([*names(3)[1:], "10.0.0.9:80"])
    for _ in range(100):
        stage.request()
    targets = {each.server for _, each in stage.sends()}
    assert targets == {"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"}


def test_a_list_that_brings_a_server_back_makes_it_ready_again() -> None:
    stage = Stage()
    stage.servers(["10.0.0.1:80"])
    stage.drain("10.0.0.1:80", ServerState.REMOVED)
    assert stage.sends(stage.request()) == []
    stage.servers(["10.0.0.1:80"], UpdateKind.DELTA)
    assert len(stage.sends(stage.request())) == 1


def test_the_list_is_followed_from_the_first_event() -> None:
    stage = Stage()
    stage.servers(names(2), UpdateKind.CACHED)
    assert stage.said(WatchEndpoints) == [WatchEndpoints(True)]


def test_nothing_is_asked_where_changes_come_unasked() -> None:
    stage = Stage(settings(discovery="pushed"))
    stage.servers(names(2), UpdateKind.CACHED)
    stage.wait(60 * S)
    assert stage.said(WatchEndpoints) == []


def test_failed_calls_are_repeated_with_growing_waits_and_never_given_up() -> None:
    stage = Stage()
    asked = []
    stage.servers(names(2), UpdateKind.CACHED)
    for _ in range(12):
        asked.append(stage.now)
        count = len(stage.said(WatchEndpoints))
        stage.play(EndpointsUpdated(UpdateKind.FAILED))
        while len(stage.said(WatchEndpoints)) == count:
            stage.wait(5 * MS)
    waits = [later - earlier for earlier, later in itertools.pairwise(asked)]
    assert max(waits) < 10 * S / 2
    assert waits[-1] > 2 * waits[0]


def test_a_call_that_is_never_answered_is_made_again_in_time() -> None:
    stage = Stage()
    stage.servers(names(2), UpdateKind.CACHED)
    stage.wait(10 * S)
    times = [at for at, each in stage.log if isinstance(each, WatchEndpoints)]
    assert len(times) > 1
    assert all(later - earlier < 10 * S for earlier, later in itertools.pairwise(times))


# Rule 4: a cold server is not pushed over


@pytest.mark.parametrize(("every_us", "burst"), [(10 * MS, 1), (200 * MS, 20), (500 * MS, 1)])
def test_a_cold_server_gets_no_more_than_its_part(every_us: int, burst: int) -> None:
    stage = Stage()
    stage.servers(names(6))
    stage.serve(300, every_us=10 * MS)
    warm_per_s = 100 / 6
    began = stage.now
    cold = ServerDescription("10.0.0.6:80", zone="east", started_at=began)
    stage.servers([cold], UpdateKind.DELTA)
    while stage.now < began + 10 * S:
        requests = [stage.request() for _ in range(burst)]
        stage.wait(every_us)
        for each in requests:
            if stage.sends(each):
                stage.end(each)
    times = [at for at, each in stage.sends() if each.server == "10.0.0.6:80" and at >= began]
    for end in times:
        warmth = 0.2 + 0.8 * max(end - 2 * S - began, 0) / (10 * S)
        inside = sum(1 for at in times if end - 2 * S < at <= end)
        assert inside <= max(1.0, 3 * warmth * warm_per_s * 2)
    assert times or burst == 1  # singly, the quickest known server takes all


def test_what_warm_peers_serve_is_counted_by_work_not_by_number() -> None:
    rates = []
    for served_us in (100_000, 20_000):  # overload refuses the heavy ones, and the rest is light
        stage = Stage()
        stage.servers(names(4))
        for _ in range(60):
            stage.wait(20 * MS)
            stage.end(stage.request(cost_us=served_us))
            stage.request(remaining_us=0, cost_us=200_000 - served_us)  # too late to be sent
        rates.append(stage.balancer.slow_start._bearable_by_mean())
    assert 0.0 < rates[1] < 0.5 * rates[0]


def test_a_warm_server_is_not_held_back() -> None:
    stage = Stage()
    stage.servers(names(2))
    for _ in range(50):
        stage.request()
    assert len({each.server for _, each in stage.sends()}) == 2


# The gate itself, whatever the code around it wishes


def test_the_gate_lets_nothing_out_to_a_draining_or_gone_server() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.balancer.lifecycle.requests[stage.request()]
    server = next(
        each for each in stage.balancer.servers.by_name.values() if each is not request.attempts[0].server
    )
    for state in (ServerState.DRAINING, ServerState.REMOVED):
        stage.drain(server.name, state)
        assert not stage.balancer.lifecycle._send(request, server)
    stage.servers([server.name], UpdateKind.DELTA)
    assert stage.balancer.lifecycle._send(request, stage.balancer.servers.by_name[server.name])


def test_what_has_gone_is_forgotten_once_nothing_of_it_is_out() -> None:
    # Guards memory where servers are replaced all day, and the share of the list that may be ejected.
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay")
    taken = stage.balancer.lifecycle.requests[request].attempts[0].server
    stage.balancer.ejection._eject(taken, "test")
    others = [each for each in names(3) if each != taken.name]
    stage.servers(others)
    assert set(stage.balancer.servers.by_name) == set(names(3)) and not stage.balancer.ejected
    stage.play(AttemptEnded(request, 0, taken.name, Outcome.CONNECTION_LOST, 1, False))
    stage.servers(others)
    assert (
        set(stage.balancer.servers.by_name)
        == set(others)
        == {s.name for s in stage.balancer.servers.by_number.values()}
    )
    assert stage.balancer.load.in_objective == 0


def test_the_gate_lets_no_second_copy_out_where_only_one_is_allowed() -> None:
    for allowed in (False, True):
        stage = Stage(settings(limits={"hedging": allowed}))
        stage.servers(names(3))
        request = stage.balancer.lifecycle.requests[stage.request()]
        server = next(
            each for each in stage.balancer.servers.by_name.values() if each is not request.attempts[0].server
        )
        assert stage.balancer.lifecycle._send(request, server) is allowed


# Order: requests with one key run one at a time, as taken

ORDERED = {
    "classes": [
        {"name": "save", "deadline_us": 2 * S, "idempotency": "idempotent", "ordered_by_key": True},
        {"name": "mark", "deadline_us": 2 * S, "idempotency": "idempotent", "ordered_by_key": True},
        {"name": "look", "deadline_us": 2 * S, "idempotency": "idempotent"},
    ],
    "rules": {"ordering_pause_us": 100 * MS},
}


def ordered_stage() -> Stage:
    stage = Stage(settings(**ORDERED))
    stage.servers(names(6))
    return stage


def test_requests_with_one_key_go_one_at_a_time_as_taken_across_classes() -> None:
    stage = ordered_stage()
    line = [stage.request(name, key=5) for name in ("save", "mark", "save")]
    for at, request in enumerate(line):
        assert [len(stage.sends(each)) for each in line] == [1] * (at + 1) + [0] * (2 - at)
        stage.wait(10 * MS)
        stage.end(request)


def test_requests_without_a_key_or_with_another_or_of_other_classes_are_free() -> None:
    stage = ordered_stage()
    stage.request("save", key=5)
    free = [stage.request("save"), stage.request("save", key=6), stage.request("look", key=5)]
    assert all(len(stage.sends(each)) == 1 for each in free)


@pytest.mark.parametrize("outcome", [Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CANCELLED])
def test_a_key_rests_after_an_attempt_that_may_still_run(outcome: Outcome) -> None:
    stage = ordered_stage()
    first, second = stage.request("save", key=5), stage.request("mark", key=5)
    stage.play(RequestCancelled(first))
    stage.wait(10 * MS)
    assert stage.sends(second) == []  # the first is over for the client, yet its attempt is still out
    stage.end(first, outcome, answered=True)
    ended = stage.now
    assert stage.sends(second) == []
    third = stage.request("mark", key=5)
    stage.wait(99 * MS)
    assert stage.sends(second) == [] and stage.sends(third) == []
    stage.wait(5 * MS)
    assert stage.sends(second)[0][0] >= ended + 100 * MS
    assert stage.sends(third) == []


def test_a_request_of_an_ordered_key_may_itself_be_sent_again_at_once() -> None:
    stage = ordered_stage()
    first = stage.request("save", key=5)
    stage.wait(10 * MS)
    stage.end(first, Outcome.CONNECTION_LOST)
    assert len(stage.sends(first)) == 2


def test_a_held_request_is_answered_in_time_and_one_that_left_is_passed_over() -> None:
    stage = ordered_stage()
    first = stage.request("save", key=5)
    held, left = (stage.request("mark", remaining_us=300 * MS, key=5) for _ in range(2))
    last = stage.request("save", key=5)
    stage.play(RequestCancelled(left))
    stage.wait(300 * MS)
    assert [each.request for each in stage.said(Reject)] == [held]
    stage.end(first)
    assert stage.sends(held) == [] and stage.sends(left) == []
    assert len(stage.sends(last)) == 1


def test_keys_that_are_not_in_use_cost_no_memory() -> None:
    stage = ordered_stage()
    for key in range(50):
        request = stage.request("save", key=key)
        stage.wait(10 * MS)
        stage.end(request, Outcome.DELIVERED if key % 2 else Outcome.CANCELLED, answered=True)
    stage.wait(200 * MS)
    assert not stage.balancer.ordering.queues


# Full is no proof, where that is stated


def test_where_full_is_no_proof_an_unsafe_request_fails_after_it_and_is_not_sent_again() -> None:
    stage = Stage(settings(rules={"rejects_after_start": True}))
    stage.servers(names(5))
    request = stage.request("pay")
    stage.wait(10 * MS)
    stage.end(request, Outcome.REJECTED)
    assert len(stage.sends(request)) == 1
    assert [each.request for each in stage.said(Fail)] == [request]
    assert stage.said(Reject) == []


def test_where_full_is_no_proof_a_keyed_request_stays_in_its_cell_and_time_after_it() -> None:
    for seed in range(20):
        stage = Stage(settings(rules={"rejects_after_start": True}), seed=seed)
        stage.servers(cells())
        cell_of = {each.name: each.cell for each in cells()}
        request = stage.request("amend", remaining_us=4 * S)
        for _ in range(2):
            stage.wait(10 * MS)
            stage.end(request, Outcome.REJECTED)
        targets = [each.server for _, each in stage.sends(request)]
        assert len(targets) == 3 and len({cell_of[each] for each in targets}) == 1
        stage.wait(2 * S)
        stage.end(request, Outcome.REJECTED)
        assert len(stage.sends(request)) == 3
        assert [each.request for each in stage.said(Fail)] == [request]


def test_the_gate_lets_nothing_out_of_turn() -> None:
    stage = ordered_stage()
    first, second = stage.request("save", key=5), stage.request("mark", key=5)
    waiting = stage.balancer.lifecycle.requests[second]
    server = next(iter(stage.balancer.servers.by_name.values()))
    assert not stage.balancer.lifecycle._send(waiting, server)
    stage.play(RequestCancelled(first))
    assert not stage.balancer.lifecycle._send(waiting, server)
    stage.end(first, Outcome.CANCELLED, answered=True)
    assert not stage.balancer.lifecycle._send(waiting, server)
    stage.balancer._context.now += 100 * MS
    assert stage.balancer.lifecycle._send(waiting, server)


def test_broken_connections_alone_do_not_make_a_server_cold_and_failed_dials_do() -> None:
    # Guards against a network that breaks connections by chance: in a while every server would be cold.
    for outcome, cold in ((Outcome.CONNECTION_LOST, False), (Outcome.CONNECT_FAILED, True)):
        stage = Stage()
        stage.servers(names(1))
        server = stage.balancer.servers.by_name[names(1)[0]]
        for _ in range(3):
            request = stage.request("pay")
            stage.play(AttemptEnded(request, 0, server.name, outcome, 1, False))
        assert server.failures_in_row == 3 and stage.balancer.slow_start.is_warming(server) is cold


def test_a_refusal_says_when_to_come_back_where_the_settings_allow_it() -> None:
    for limits, most in (({}, 0), ({"retry_after": True, "max_retry_after_us": 30 * MS}, 30 * MS)):
        stage = Stage(settings(limits=limits))
        for _ in range(20):
            stage.request()  # there is no server
        told = [each.retry_after_us for each in stage.said(Reject)]
        assert len(told) == 20 and max(told) <= most
        assert len(set(told)) > 1 if most else not any(told)  # spread out


def test_a_new_balancer_does_not_size_its_window_by_its_first_answers() -> None:
    # Guards against refusals after each restart: all connections are new, and the rates not full yet.
    stage = Stage()
    stage.servers(names(8))
    stage.serve(60, every_us=10 * MS, taking_us=250 * MS)
    assert stage.balancer.limit.limit == float("inf")


def test_a_new_balancer_in_a_jam_sizes_its_window_before_anything_is_late() -> None:
    # Guards against a restarted balancer that lets all in until late answers prove what silence told long before.
    stage = Stage()
    stage.servers(names(8))
    began = stage.now
    while stage.balancer.limit.limit == float("inf") and stage.now < began + 2 * S:
        stage.wait(10 * MS)
        stage.request()
    assert stage.now - began < 500 * MS


def test_a_fleet_that_is_all_released_anew_is_not_starved_while_it_warms() -> None:
    # Guards against cold budgets below what cold servers bear: a release of the whole fleet refused a third.
    stage = Stage(settings())
    stage.servers(names(8))
    stage.serve(200, every_us=20 * MS)
    stage.wait(S)
    successors = [ServerDescription(f"10.0.1.{each}:80", "east", started_at=stage.now) for each in range(8)]
    stage.servers(successors)
    for half, least in ((0, 0.3), (1, 0.65)):  # warmth goes from 0.2 to 1
        before, asked = len(stage.sends()), 250
        stage.serve(asked, every_us=20 * MS)
        sent = len(stage.sends()) - before
        assert sent >= least * asked, f"{sent} of {asked} in half {half}"
