"""Arbitrary legal sequences of events, judged from outside by the actions alone."""

from __future__ import annotations

import itertools
from dataclasses import replace
from typing import Any

import pytest
from helpers import KEYED, MS, SAFE, START, UNSAFE, S, names, settings
from hypothesis import HealthCheck, given
from hypothesis import settings as how
from hypothesis import strategies as st

from topazbank import Balancer
from topazbank.balancing.actions import CancelAttempt, CheckHealth, Fail, Reject, SendAttempt, SetTimer
from topazbank.balancing.events import AttemptEnded as Ended
from topazbank.balancing.events import (
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
TICK = 5 * MS
GAP = 100 * MS
KEYS = (None, 1, 2)
MAY_RUN_ON = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CANCELLED)
CLASSES = [
    SAFE,
    UNSAFE,
    *({**KEYED, "name": f"amend-{group}", "idempotency_scope": group} for group in ("all", "zone", "cell")),
]


class Referee:
    """Keeps what a client, the servers and the list know, and checks every action against the rules."""

    def __init__(
        self,
        hedging: bool,
        attempts: int,
        rejects_after_start: bool,
        ordered: set[str],
        probing: bool,
        rng_seed: int,
    ) -> None:
        self.settings = settings(
            classes=[{**each, "ordered_by_key": each["name"] in ordered} for each in CLASSES],
            limits={"hedging": hedging, "max_attempts": attempts, "health_checks": probing},
            report={"source": "health_checks", "columns": ["inflight", "queue"]},
            prices={"cross_zone": 0.1},
            rules={"rejects_after_start": rejects_after_start, "ordering_pause_us": GAP},
        )
        self.proofs = [Outcome.CONNECT_FAILED, Outcome.UNSENT] + [Outcome.REJECTED] * (
            not rejects_after_start
        )
        self.balancer = Balancer(self.settings, rng_seed)
        self.kinds = {each.name: each for each in self.settings.classes}
        self.now = START
        self.timers: list[tuple[int, str]] = []
        self.requests: dict[int, dict[str, Any]] = {}
        self.probes: list[tuple[str, int]] = []
        self.listed: dict[str, ServerDescription] = {}
        self.next = 1

    def play(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            match action:
                case SendAttempt():
                    self.sent(action)
                case Reject() | Fail():
                    self.answered(action)
                case CancelAttempt():
                    assert action.attempt < len(self.requests[action.request]["attempts"])
                case SetTimer():
                    self.timers.append((self.now + action.in_us, action.token))
                case CheckHealth():
                    assert self.settings.limits.health_checks and action.server in self.listed
                    self.probes.append((action.server, self.now))
                case _:
                    pass
        self.check_counts()

    def sent(self, action: SendAttempt) -> None:
        request = self.requests[action.request]
        kind = request["kind"]
        assert not request["over"], "sent after the final answer"
        assert self.now < request["deadline"], "sent after the deadline"
        line = self.listed[action.server]
        assert line.state is ServerState.READY, "sent to a draining or gone server"
        earlier = request["attempts"]
        if request["key"] is not None and not earlier:
            self.check_order(action.request)
        assert len(earlier) < self.settings.limits.max_attempts, "more attempts than allowed"
        if not self.settings.limits.hedging:
            assert not any(each["pending"] for each in earlier), "two copies out at once"
        maybe = [each for each in earlier if each["pending"] or each["outcome"] not in self.proofs]
        if maybe and kind.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("an unsafe request was sent again")
        if maybe and kind.idempotency is Idempotency.KEYED:
            forgotten = maybe[0]["at"] + kind.idempotency_window_us
            assert self.now < action.write_by < forgotten, "sent, or to be written, after servers forgot"
            for each in maybe:
                assert kind.idempotency_scope.value != "zone" or each["line"].zone == line.zone, (
                    "left the zone"
                )
                assert kind.idempotency_scope.value != "cell" or each["line"].cell == line.cell, (
                    "left the cell"
                )
        earlier.append(
            {"server": action.server, "line": line, "at": self.now, "pending": True, "outcome": None}
        )

    def check_order(self, number: int) -> None:
        key = self.requests[number]["key"]
        for before, request in self.requests.items():
            if before < number and request["key"] == key:
                assert request["over"], "overtook a request with its key"
                for each in request["attempts"]:
                    assert not each["pending"], "sent beside an attempt with its key"
                    if each["outcome"] in MAY_RUN_ON:
                        assert self.now >= each["ended"] + GAP, "the key had no rest"

    def answered(self, action: Reject | Fail) -> None:
        request = self.requests[action.request]
        assert not request["over"], "two final answers"
        assert self.now < request["deadline"] or request["late"], "answered after the deadline"
        if isinstance(action, Reject) and request["kind"].idempotency is not Idempotency.IDEMPOTENT:
            maybe = [
                each for each in request["attempts"] if each["pending"] or each["outcome"] not in self.proofs
            ]
            whole = (
                request["kind"].idempotency is Idempotency.KEYED
                and request["kind"].idempotency_scope.value == "all"
            )
            assert not maybe or whole, "a refusal that may have run"
        request["over"] = True

    def check_counts(self) -> None:
        out: dict[str, int] = dict.fromkeys(SERVERS, 0)
        for request in self.requests.values():
            for each in request["attempts"]:
                out[each["server"]] += each["pending"]
        for name, server in self.balancer._servers.items():
            assert server.in_flight == out[name], "the count of requests in flight is off"
            assert 0 <= server.young <= server.in_flight, "the count of those whose aim is not past is off"
        awake = (each for each in self.balancer._servers.values() if each.ejected_until is None)
        assert self.balancer._young == sum(each.young for each in awake), "the running count is off"

    def arrive(self, name: str, remaining_us: int, key: int | None) -> None:
        number, self.next = self.next, self.next + 1
        self.requests[number] = {
            "kind": self.kinds[name],
            "deadline": self.now + remaining_us,
            "late": remaining_us <= 2 * TICK,
            "attempts": [],
            "over": False,
            "key": key if self.kinds[name].ordered_by_key else None,
        }
        self.play(RequestArrived(number, name, None, key, remaining_us))

    def end(self, choice: int, outcome: Outcome) -> None:
        out = [
            (number, index)
            for number, request in self.requests.items()
            for index, each in enumerate(request["attempts"])
            if each["pending"]
        ]
        if out:
            self.end_one(*out[choice % len(out)], outcome)

    def end_one(self, number: int, index: int, outcome: Outcome) -> None:
        request = self.requests[number]
        each = request["attempts"][index]
        each["pending"], each["outcome"], each["ended"] = False, outcome, self.now
        if outcome is Outcome.DELIVERED:
            request["over"] = True
        self.play(Ended(number, index, each["server"], outcome, self.now - each["at"], request["over"]))

    def probed(self, outcome: Outcome, held: float | None) -> None:
        if self.probes:
            server, sent = self.probes.pop(0)
            report = None if held is None else {"inflight": held}
            self.play(HealthCheckEnded(server, outcome, self.now - sent, report))

    def leave(self, choice: int) -> None:
        waiting = [number for number, request in self.requests.items() if not request["over"]]
        if waiting:
            number = waiting[choice % len(waiting)]
            self.requests[number]["over"] = True
            self.play(RequestCancelled(number))

    def list(self, kind: UpdateKind, lines: list[ServerDescription]) -> None:
        if kind is not UpdateKind.DELTA:
            for line in self.listed.values():
                line.state = ServerState.REMOVED
        for line in lines:
            self.listed[line.name] = line
        self.play(EndpointsUpdated(kind, lines, 1))

    def wait(self, span_us: int) -> None:
        until = self.now + span_us
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.play(TimerFired(due[1]))
            self.check_deadlines()
        self.now = until
        self.check_deadlines()

    def check_deadlines(self) -> None:
        for request in self.requests.values():
            assert request["over"] or self.now < request["deadline"], "a request was left unanswered"


lines = st.builds(
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
    st.sampled_from([str(each["name"]) for each in CLASSES]),
    st.integers(1, 2_500).map(lambda ms: ms * MS),
    st.sampled_from(KEYS),
)
steps = st.one_of(
    arrivals,
    arrivals,
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("end"), st.integers(0, 50), st.just(Outcome.DELIVERED)),
    st.tuples(
        st.just("probed"),
        st.sampled_from([Outcome.DELIVERED, Outcome.DELIVERED, Outcome.TIMED_OUT, Outcome.CONNECT_FAILED]),
        st.sampled_from([None, 0.0, 3.0, 50.0]),
    ),
    st.tuples(st.just("leave"), st.integers(0, 50)),
    st.tuples(st.just("wait"), st.integers(1, 1_500).map(lambda ms: ms * MS)),
    st.tuples(
        st.just("list"),
        st.sampled_from([UpdateKind.DELTA, UpdateKind.SNAPSHOT, UpdateKind.FAILED]),
        st.lists(lines, max_size=5, unique_by=lambda each: each.name),
    ),
)


@how(max_examples=250, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    st.booleans(),
    st.integers(0, 4),
    st.booleans(),
    st.sets(st.sampled_from([str(each["name"]) for each in CLASSES])),
    st.booleans(),
    st.integers(0, 1_000),
    st.lists(steps, min_size=5, max_size=60),
)
def test_no_sequence_breaks_a_rule(
    copies: bool,
    attempts: int,
    rejects_after_start: bool,
    ordered: set[str],
    probing: bool,
    rng: int,
    script: list[Any],
) -> None:
    referee = Referee(copies, attempts, rejects_after_start, ordered, probing, rng)
    ready = [ServerDescription(name, "east", "box", index % 3) for index, name in enumerate(SERVERS)]
    referee.list(UpdateKind.CACHED, ready)
    for step in script:
        match step:
            case ("arrive", name, remaining, key):
                referee.arrive(name, remaining, key)
            case ("end", choice, outcome):
                referee.end(choice, outcome)
            case ("probed", outcome, held):
                referee.probed(outcome, held)
            case ("leave", choice):
                referee.leave(choice)
            case ("wait", span):
                referee.wait(span)
            case ("list", kind, changed):
                if kind is UpdateKind.FAILED:
                    referee.play(EndpointsUpdated(kind))
                else:
                    referee.list(kind, changed)
    referee.wait(4 * S)


MOVED = [ServerDescription(name, "west", "box", 4 + index % 3) for index, name in enumerate(SERVERS)]
WAITS = (20 * MS, 2 * S - 3 * TICK, 2 * S - TICK, 2 * S)  # about the memory of the keyed classes


@pytest.mark.parametrize("rejects_after_start", [False, True])
@pytest.mark.parametrize("moves", [False, True])
@pytest.mark.parametrize("name", [str(each["name"]) for each in CLASSES])
def test_every_class_keeps_the_rules_through_every_outcome_at_every_attempt(
    name: str, moves: bool, rejects_after_start: bool
) -> None:
    """Also where all servers are in other zones and cells meanwhile, under their former names."""
    sent: set[tuple[Outcome, ...]] = set()  # after which outcomes a further attempt left
    for first, second, wait in itertools.product(Outcome, Outcome, WAITS):
        referee = Referee(False, 3, rejects_after_start, set(), False, 7)
        ready = [ServerDescription(each, "east", "box", index % 3) for index, each in enumerate(SERVERS)]
        referee.list(UpdateKind.CACHED, ready)
        referee.arrive(name, 4 * S, None)
        attempts = referee.requests[1]["attempts"]
        for outcome in (first, second):
            referee.wait(wait if outcome is first else 20 * MS)
            if moves:
                referee.list(UpdateKind.DELTA, [replace(each) for each in MOVED])
            before = len(attempts)
            referee.end(0, outcome)
            if len(attempts) > before:
                sent.add(tuple(each["outcome"] for each in attempts[:-1]))
        referee.wait(5 * S)
        assert referee.requests[1]["over"]
    proofs = set(referee.proofs)
    assert {(each,) for each in proofs} <= sent  # what provably never ran is tried again, whatever the class
    if name == UNSAFE["name"]:
        assert set(itertools.chain(*sent)) <= proofs
    elif not moves or name in (SAFE["name"], "amend-all"):
        assert (Outcome.CONNECTION_LOST,) in sent
    else:
        assert (Outcome.CONNECTION_LOST,) not in sent  # nobody is left where it may have run
