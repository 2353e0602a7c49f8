"""The balancer keeps its rules in any legal sequence of events; its actions and counts are checked."""

from __future__ import annotations

import itertools
from dataclasses import replace
from typing import Any

import pytest
from helpers import KEYED, MS, SAFE, START, UNSAFE, S, names, settings
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from topazbank import Balancer
from topazbank.balancing.actions import CancelAttempt, CheckHealth, Fail, Reject, SendAttempt, SetTimer
from topazbank.balancing.events import (
    AttemptEnded,
    EndpointsUpdated,
    Event,
    HealthCheckEnded,
    Outcome,
    RequestArrived,
    RequestCancelled,
    ServerDescription,
    ServerState,
    TimerFired,
    UpdateKind,
)
from topazbank.balancing.settings import Idempotency

SERVERS = names(7)
ZONES = ("east", "west")
TICK_US = 5 * MS
KEY_PAUSE_US = 100 * MS
KEYS = (None, 1, 2)
MAY_STILL_RUN = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CANCELLED)
CLASSES = [
    SAFE,
    UNSAFE,
    *({**KEYED, "name": f"amend-{scope}", "idempotency_scope": scope} for scope in ("all", "zone", "cell")),
]


class RuleChecker:
    """Tracks the state of clients, servers and the endpoint list, and checks every action against the rules."""

    def __init__(
        self,
        hedging: bool,
        max_attempts: int,
        rejects_after_start: bool,
        ordered: set[str],
        health_checks: bool,
        seed: int,
    ) -> None:
        self.settings = settings(
            classes=[
                {**request_class, "ordered_by_key": request_class["name"] in ordered}
                for request_class in CLASSES
            ],
            limits={"hedging": hedging, "max_attempts": max_attempts, "health_checks": health_checks},
            report={"source": "health_checks", "columns": ["inflight", "queue"]},
            prices={"cross_zone": 0.1},
            rules={"rejects_after_start": rejects_after_start, "ordering_pause_us": KEY_PAUSE_US},
        )
        self.never_run_outcomes = [Outcome.CONNECT_FAILED, Outcome.UNSENT] + [Outcome.REJECTED] * (
            not rejects_after_start
        )
        self.balancer = Balancer(self.settings, seed)
        self.classes = {request_class.name: request_class for request_class in self.settings.classes}
        self.now = START
        self.timers: list[tuple[int, str]] = []  # due time, token
        self.requests: dict[int, dict[str, Any]] = {}
        self.health_checks: list[tuple[str, int]] = []  # server, time of sending
        self.listed: dict[str, ServerDescription] = {}
        self.next_number = 1

    def play(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            match action:
                case SendAttempt():
                    self.check_attempt(action)
                case Reject() | Fail():
                    self.check_final_answer(action)
                case CancelAttempt():
                    assert action.attempt < len(self.requests[action.request]["attempts"])
                case SetTimer():
                    self.timers.append((self.now + action.in_us, action.token))
                case CheckHealth():
                    assert self.settings.limits.health_checks and action.server in self.listed
                    self.health_checks.append((action.server, self.now))
                case _:
                    pass
        self.check_counts()

    def check_attempt(self, action: SendAttempt) -> None:
        request = self.requests[action.request]
        request_class = request["class"]
        assert not request["finished"], "sent after the final answer"
        assert self.now < request["deadline"], "sent after the deadline"
        description = self.listed[action.server]
        assert description.state is ServerState.READY, "sent to a draining or removed server"
        earlier = request["attempts"]
        if request["key"] is not None and not earlier:
            self.check_order(action.request)
        assert len(earlier) < self.settings.limits.max_attempts, "attempts exceed max_attempts"
        if not self.settings.limits.hedging:
            assert not any(attempt["pending"] for attempt in earlier), (
                "attempt sent while another is pending, but hedging is disabled"
            )
        possibly_run = [
            attempt
            for attempt in earlier
            if attempt["pending"] or attempt["outcome"] not in self.never_run_outcomes
        ]
        if possibly_run and request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("retried a non-idempotent request that may have run")
        if possibly_run and request_class.idempotency is Idempotency.KEYED:
            window_end = possibly_run[0]["sent_at"] + request_class.idempotency_window_us
            assert self.now < action.write_by < window_end, (
                "sent or to be written after the idempotency window"
            )
            for attempt in possibly_run:
                assert (
                    request_class.idempotency_scope.value != "zone"
                    or attempt["description"].zone == description.zone
                ), "retried in another zone"
                assert (
                    request_class.idempotency_scope.value != "cell"
                    or attempt["description"].cell == description.cell
                ), "retried in another cell"
        earlier.append(
            {
                "server": action.server,
                "description": description,
                "sent_at": self.now,
                "pending": True,
                "outcome": None,
            }
        )

    def check_order(self, number: int) -> None:
        key = self.requests[number]["key"]
        for earlier_number, request in self.requests.items():
            if earlier_number < number and request["key"] == key:
                assert request["finished"], "sent before an earlier request with the same key finished"
                for attempt in request["attempts"]:
                    assert not attempt["pending"], "sent while an attempt with the same key is pending"
                    if attempt["outcome"] in MAY_STILL_RUN:
                        assert self.now >= attempt["ended_at"] + KEY_PAUSE_US, (
                            "sent during the pause of its key"
                        )

    def check_final_answer(self, action: Reject | Fail) -> None:
        request = self.requests[action.request]
        assert not request["finished"], "two final answers"
        assert self.now < request["deadline"] or request["arrived_late"], "answered after the deadline"
        if isinstance(action, Reject) and request["class"].idempotency is not Idempotency.IDEMPOTENT:
            possibly_run = [
                attempt
                for attempt in request["attempts"]
                if attempt["pending"] or attempt["outcome"] not in self.never_run_outcomes
            ]
            keyed_on_all_servers = (
                request["class"].idempotency is Idempotency.KEYED
                and request["class"].idempotency_scope.value == "all"
            )
            assert not possibly_run or keyed_on_all_servers, "rejected a request that may have run"
        request["finished"] = True

    def check_counts(self) -> None:
        in_flight: dict[str, int] = dict.fromkeys(SERVERS, 0)
        for request in self.requests.values():
            for attempt in request["attempts"]:
                in_flight[attempt["server"]] += attempt["pending"]
        for name, server in self.balancer.servers.by_name.items():
            assert server.in_flight == in_flight[name], "in_flight differs from the pending attempts"
            assert 0 <= server.in_objective <= server.in_flight, "in_objective is not between 0 and in_flight"
        available = (
            server for server in self.balancer.servers.by_name.values() if server.ejected_until is None
        )
        assert self.balancer.load.in_objective == sum(server.in_objective for server in available), (
            "total in_objective differs from the sum over servers that are not ejected"
        )

    def arrive(self, name: str, remaining_us: int, key: int | None) -> None:
        number, self.next_number = self.next_number, self.next_number + 1
        self.requests[number] = {
            "class": self.classes[name],
            "deadline": self.now + remaining_us,
            "arrived_late": remaining_us <= 2 * TICK_US,
            "attempts": [],
            "finished": False,
            "key": key if self.classes[name].ordered_by_key else None,
        }
        self.play(RequestArrived(number, name, None, key, remaining_us))

    def end(self, choice: int, outcome: Outcome) -> None:
        pending = [
            (number, index)
            for number, request in self.requests.items()
            for index, attempt in enumerate(request["attempts"])
            if attempt["pending"]
        ]
        if pending:
            self.end_attempt(*pending[choice % len(pending)], outcome)

    def end_attempt(self, number: int, index: int, outcome: Outcome) -> None:
        request = self.requests[number]
        attempt = request["attempts"][index]
        attempt["pending"], attempt["outcome"], attempt["ended_at"] = False, outcome, self.now
        if outcome is Outcome.DELIVERED:
            request["finished"] = True
        self.play(
            AttemptEnded(
                number, index, attempt["server"], outcome, self.now - attempt["sent_at"], request["finished"]
            )
        )

    def end_health_check(self, outcome: Outcome, in_flight: float | None) -> None:
        if self.health_checks:
            server, sent_at = self.health_checks.pop(0)
            report = None if in_flight is None else {"inflight": in_flight}
            self.play(HealthCheckEnded(server, outcome, self.now - sent_at, report))

    def cancel(self, choice: int) -> None:
        unanswered = [number for number, request in self.requests.items() if not request["finished"]]
        if unanswered:
            number = unanswered[choice % len(unanswered)]
            self.requests[number]["finished"] = True
            self.play(RequestCancelled(number))

    def update_endpoints(self, kind: UpdateKind, descriptions: list[ServerDescription]) -> None:
        if kind is not UpdateKind.DELTA:
            for description in self.listed.values():
                description.state = ServerState.REMOVED
        for description in descriptions:
            self.listed[description.name] = description
        self.play(EndpointsUpdated(kind, descriptions, 1))

    def wait(self, duration_us: int) -> None:
        until = self.now + duration_us
        while self.timers and min(self.timers)[0] <= until:
            earliest = min(self.timers)
            self.timers.remove(earliest)
            self.now = max(self.now, earliest[0])
            self.play(TimerFired(earliest[1]))
            self.check_deadlines()
        self.now = until
        self.check_deadlines()

    def check_deadlines(self) -> None:
        for request in self.requests.values():
            assert request["finished"] or self.now < request["deadline"], "request unanswered at its deadline"


descriptions = st.builds(
    ServerDescription,
    name=st.sampled_from(SERVERS),
    zone=st.sampled_from(ZONES),
    kind=st.just("box"),
    cell=st.integers(0, 2),
    state=st.sampled_from([ServerState.READY, ServerState.READY, ServerState.DRAINING, ServerState.REMOVED]),
    nominal_capacity=st.sampled_from([0.0, 1.0, 3.0]),
    started_at=st.sampled_from([None, START - 5 * S, START, START + 2 * S]),
)
arrivals = st.tuples(
    st.just("arrive"),
    st.sampled_from([str(request_class["name"]) for request_class in CLASSES]),
    st.integers(1, 2_500).map(lambda ms: ms * MS),
    st.sampled_from(KEYS),
)
steps = st.one_of(
    arrivals,
    arrivals,
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("end"), st.integers(0, 50), st.just(Outcome.DELIVERED)),
    st.tuples(
        st.just("health_check"),
        st.sampled_from([Outcome.DELIVERED, Outcome.DELIVERED, Outcome.TIMED_OUT, Outcome.CONNECT_FAILED]),
        st.sampled_from([None, 0.0, 3.0, 50.0]),
    ),
    st.tuples(st.just("cancel"), st.integers(0, 50)),
    st.tuples(st.just("wait"), st.integers(1, 1_500).map(lambda ms: ms * MS)),
    st.tuples(
        st.just("update_endpoints"),
        st.sampled_from([UpdateKind.DELTA, UpdateKind.SNAPSHOT, UpdateKind.FAILED]),
        st.lists(descriptions, max_size=5, unique_by=lambda description: description.name),
    ),
)


@hypothesis_settings(
    max_examples=250, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
@given(
    st.booleans(),
    st.integers(0, 4),
    st.booleans(),
    st.sets(st.sampled_from([str(request_class["name"]) for request_class in CLASSES])),
    st.booleans(),
    st.integers(0, 1_000),
    st.lists(steps, min_size=5, max_size=60),
)
def test_no_sequence_breaks_a_rule(
    hedging: bool,
    max_attempts: int,
    rejects_after_start: bool,
    ordered: set[str],
    health_checks: bool,
    seed: int,
    sequence: list[Any],
) -> None:
    checker = RuleChecker(hedging, max_attempts, rejects_after_start, ordered, health_checks, seed)
    ready = [ServerDescription(name, "east", "box", index % 3) for index, name in enumerate(SERVERS)]
    checker.update_endpoints(UpdateKind.CACHED, ready)
    for step in sequence:
        match step:
            case ("arrive", name, remaining_us, key):
                checker.arrive(name, remaining_us, key)
            case ("end", choice, outcome):
                checker.end(choice, outcome)
            case ("health_check", outcome, in_flight):
                checker.end_health_check(outcome, in_flight)
            case ("cancel", choice):
                checker.cancel(choice)
            case ("wait", duration_us):
                checker.wait(duration_us)
            case ("update_endpoints", kind, changed):
                if kind is UpdateKind.FAILED:
                    checker.play(EndpointsUpdated(kind))
                else:
                    checker.update_endpoints(kind, changed)
    checker.wait(4 * S)


MOVED_SERVERS = [ServerDescription(name, "west", "box", 4 + index % 3) for index, name in enumerate(SERVERS)]
# Delays before the first outcome; the longer ones are around the idempotency window of the keyed classes.
FIRST_WAITS_US = (20 * MS, 2 * S - 3 * TICK_US, 2 * S - TICK_US, 2 * S)


@pytest.mark.parametrize("rejects_after_start", [False, True])
@pytest.mark.parametrize("moves", [False, True])
@pytest.mark.parametrize("name", [str(request_class["name"]) for request_class in CLASSES])
def test_every_class_keeps_the_rules_through_every_outcome_at_every_attempt(
    name: str, moves: bool, rejects_after_start: bool
) -> None:
    """`moves`: all servers move to other zones and cells between attempts and keep their names."""
    retried_after: set[tuple[Outcome, ...]] = set()  # outcomes after which another attempt was sent
    for first, second, first_wait_us in itertools.product(Outcome, Outcome, FIRST_WAITS_US):
        checker = RuleChecker(False, 3, rejects_after_start, set(), False, 7)
        ready = [ServerDescription(server, "east", "box", index % 3) for index, server in enumerate(SERVERS)]
        checker.update_endpoints(UpdateKind.CACHED, ready)
        checker.arrive(name, 4 * S, None)
        attempts = checker.requests[1]["attempts"]
        for outcome in (first, second):
            checker.wait(first_wait_us if outcome is first else 20 * MS)
            if moves:
                checker.update_endpoints(
                    UpdateKind.DELTA, [replace(description) for description in MOVED_SERVERS]
                )
            attempts_before = len(attempts)
            checker.end(0, outcome)
            if len(attempts) > attempts_before:
                retried_after.add(tuple(attempt["outcome"] for attempt in attempts[:-1]))
        checker.wait(5 * S)
        assert checker.requests[1]["finished"]
    never_run_outcomes = set(checker.never_run_outcomes)
    assert {(outcome,) for outcome in never_run_outcomes} <= retried_after  # retried in every class
    if name == UNSAFE["name"]:
        assert set(itertools.chain(*retried_after)) <= never_run_outcomes
    elif not moves or name in (SAFE["name"], "amend-all"):
        assert (Outcome.CONNECTION_LOST,) in retried_after
    else:
        # No server is left in the scope of the first attempt.
        assert (Outcome.CONNECTION_LOST,) not in retried_after
