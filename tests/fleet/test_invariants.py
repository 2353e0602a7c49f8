"""The invariants find what violates each rule, and nothing in a run that keeps them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from testbed.backend import Run
from testbed.fleet.invariants import AttemptArrival, CallRecord, EndpointNotice, check_invariants

LIFETIMES = {0: [(0.0, 100.0)], 1: [(0.0, 100.0)]}
SERVED = CallRecord("c", "lodge", None, 10.0, 2.0, "served", 10.1, b"n did lodge c")
RUN = Run("n", "c", "lodge", None, 10.02, 10.05)
ARRIVAL = AttemptArrival(10.01, "n", "c")


def violations(
    calls: list[CallRecord],
    arrivals: list[AttemptArrival] | None = None,
    runs: list[Run] | None = None,
    notices: list[EndpointNotice] | None = None,
    collapsed: list[str] | None = None,
    lifetimes: dict[int, list[tuple[float, float]]] | None = None,
) -> list[str]:
    return check_invariants(
        calls, arrivals or [], runs or [], notices or [], lifetimes or LIFETIMES, collapsed or []
    ).violations


def test_a_call_served_once_violates_nothing() -> None:
    report = check_invariants([SERVED], [ARRIVAL], [RUN], [], LIFETIMES, [])
    assert not report.violations and report.served_ratio == report.in_objective_ratio == 1.0


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"outcome": "lost", "answered_at": None}, "request lost"),
        ({"answered_at": 12.5}, "answered after its deadline"),
        ({"body": b"other did lodge c"}, "no backend ran it"),
        ({"outcome": "refused"}, "rejected, though it ran"),
    ],
)
def test_a_response_that_violates_a_rule_is_found(changes: dict[str, object], expected: str) -> None:
    record = replace(SERVED, **changes)  # type: ignore[arg-type]
    assert any(expected in violation for violation in violations([record], [ARRIVAL], [RUN]))


def test_a_rejected_idempotent_request_may_have_run() -> None:
    assert not violations(
        [replace(SERVED, request_class="check", outcome="refused")], [], [replace(RUN, request_class="check")]
    )


def test_an_attempt_after_the_final_response_is_found() -> None:
    assert violations([SERVED], [ARRIVAL, AttemptArrival(10.5, "m", "c")], [RUN]) == [
        "sent after its final response: c to m"
    ]


def test_a_duplicate_effect_is_found_by_key_and_by_id() -> None:
    assert "ran twice: c" in violations([SERVED], [ARRIVAL], [RUN, replace(RUN, node="m")])
    keyed = replace(SERVED, request_class="amend", idempotency_key="k")
    runs = [
        replace(RUN, request_class="amend", key="k"),
        replace(RUN, request_class="amend", key="k", node="m"),
    ]
    assert "ran twice: k" in violations([keyed], [ARRIVAL], runs)


def test_more_than_three_attempts_are_found() -> None:
    four = [AttemptArrival(10.01 + number / 100, f"n-{number}", "c") for number in range(4)]
    assert "4 attempts: c" in violations([SERVED], four, [RUN])


def test_a_cold_backend_that_collapsed_is_found() -> None:
    assert violations([], collapsed=["n"]) == ["cold backend collapsed: n"]


LATE = CallRecord("c", "check", None, 12.0, 2.0, "refused", 12.3)
SENT = [AttemptArrival(12.1, "n", "c")]


@pytest.mark.parametrize(
    ("notices", "is_violation"),
    [
        ([EndpointNotice(11.0, 0, "n", False), EndpointNotice(11.0, 1, "n", False)], True),
        ([EndpointNotice(11.0, 0, "n", False)], False),  # the other one was not notified
        (
            [EndpointNotice(11.0, 0, "n", False), EndpointNotice(11.7, 1, "n", False)],
            False,
        ),  # within the grace
        (
            [
                EndpointNotice(11.0, 0, "n", False),
                EndpointNotice(11.0, 1, "n", False),
                EndpointNotice(11.9, 1, "n", True),
            ],
            False,
        ),
        (
            [
                EndpointNotice(11.0, 0, "n", False),
                EndpointNotice(11.0, 1, "n", False),
                EndpointNotice(11.9, 1, "n", False),
            ],
            True,
        ),
        (
            [EndpointNotice(11.0, 0, "m", False), EndpointNotice(11.0, 1, "m", False)],
            False,
        ),  # of another backend
    ],
)
def test_a_request_to_a_backend_that_all_sidecars_know_to_drain_is_found(
    notices: list[EndpointNotice], is_violation: bool
) -> None:
    assert violations([LATE], SENT, notices=notices) == (
        ["sent to n after notice of its drain: c, at 12.10"] if is_violation else []
    )


def test_a_sidecar_that_did_not_run_excuses_no_request() -> None:
    notices = [EndpointNotice(11.0, 0, "n", False)]
    assert violations([LATE], SENT, notices=notices, lifetimes={0: [(0.0, 100.0)], 1: [(0.0, 11.0)]})


def test_a_request_of_a_known_sidecar_is_checked_against_its_own_notices_alone() -> None:
    notices = [EndpointNotice(11.0, 0, "n", False)]  # the other one was not notified
    assert violations([replace(LATE, sidecar=0)], SENT, notices=notices) == [
        "sent to n after notice of its drain: c by 0, at 12.10"
    ]
    assert violations([replace(LATE, sidecar=1)], SENT, notices=notices) == []


def test_a_request_crossed_by_the_end_of_its_connection_was_not_read() -> None:
    crossed = replace(LATE, outcome="crossed", sidecar=1)
    assert violations([crossed], []) == []
    assert violations([crossed], SENT) == ["read, and its connection ended without a response: c"]
