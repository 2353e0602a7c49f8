"""The judge finds what breaks each rule, and nothing where none is broken."""

from __future__ import annotations

from dataclasses import replace

import pytest

from testbed.backend import Run
from testbed.fleet.invariants import AttemptArrival, CallRecord, EndpointNotice, check_invariants

LIVES = {0: [(0.0, 100.0)], 1: [(0.0, 100.0)]}
SERVED = CallRecord("c", "lodge", None, 10.0, 2.0, "served", 10.1, b"n did lodge c")
RUN = Run("n", "c", "lodge", None, 10.02, 10.05)
REACHED = AttemptArrival(10.01, "n", "c")


def broken(
    calls: list[CallRecord],
    reached: list[AttemptArrival] | None = None,
    runs: list[Run] | None = None,
    words: list[EndpointNotice] | None = None,
    fallen: list[str] | None = None,
    lives: dict[int, list[tuple[float, float]]] | None = None,
) -> list[str]:
    return check_invariants(
        calls, reached or [], runs or [], words or [], lives or LIVES, fallen or []
    ).broken


def test_a_call_that_was_served_once_breaks_nothing() -> None:
    verdicts = check_invariants([SERVED], [REACHED], [RUN], [], LIVES, [])
    assert not verdicts.broken and verdicts.served == verdicts.in_aim == 1.0


@pytest.mark.parametrize(
    ("changes", "found"),
    [
        ({"verdict": "lost", "answered_at": None}, "request lost"),
        ({"answered_at": 12.5}, "answered after its time"),
        ({"body": b"other did lodge c"}, "no node made it"),
        ({"verdict": "refused"}, "refused, though it ran"),
    ],
)
def test_an_answer_that_breaks_a_rule_is_found(changes: dict[str, object], found: str) -> None:
    called = replace(SERVED, **changes)  # type: ignore[arg-type]
    assert any(found in each for each in broken([called], [REACHED], [RUN]))


def test_a_refused_check_that_ran_is_no_matter() -> None:
    assert not broken([replace(SERVED, kind="check", verdict="refused")], [], [replace(RUN, kind="check")])


def test_what_is_sent_after_the_final_answer_is_found() -> None:
    assert broken([SERVED], [REACHED, AttemptArrival(10.5, "m", "c")], [RUN]) == [
        "sent after its final answer: c to m"
    ]


def test_an_effect_that_was_had_twice_is_found_by_key_and_by_id() -> None:
    assert "ran twice: c" in broken([SERVED], [REACHED], [RUN, replace(RUN, node="m")])
    keyed = replace(SERVED, kind="amend", key="k")
    runs = [replace(RUN, kind="amend", key="k"), replace(RUN, kind="amend", key="k", node="m")]
    assert "ran twice: k" in broken([keyed], [REACHED], runs)


def test_more_than_three_attempts_are_found() -> None:
    four = [AttemptArrival(10.01 + number / 100, f"n-{number}", "c") for number in range(4)]
    assert "4 attempts: c" in broken([SERVED], four, [RUN])


def test_a_cold_node_that_fell_is_found() -> None:
    assert broken([], fallen=["n"]) == ["cold node pushed over: n"]


LATE = CallRecord("c", "check", None, 12.0, 2.0, "refused", 12.3)
SENT = [AttemptArrival(12.1, "n", "c")]


@pytest.mark.parametrize(
    ("words", "is_broken"),
    [
        ([EndpointNotice(11.0, 0, "n", False), EndpointNotice(11.0, 1, "n", False)], True),
        ([EndpointNotice(11.0, 0, "n", False)], False),  # the other one was not told
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
        ),  # of another node
    ],
)
def test_what_is_sent_to_a_node_that_all_were_told_of_is_found(
    words: list[EndpointNotice], is_broken: bool
) -> None:
    assert broken([LATE], SENT, words=words) == (
        ["sent to n after it was told of: c, at 12.10"] if is_broken else []
    )


def test_a_sidecar_that_was_not_there_sent_nothing() -> None:
    words = [EndpointNotice(11.0, 0, "n", False)]
    assert broken([LATE], SENT, words=words, lives={0: [(0.0, 100.0)], 1: [(0.0, 11.0)]})


def test_where_it_is_known_by_whom_a_request_came_no_other_excuses_it() -> None:
    words = [EndpointNotice(11.0, 0, "n", False)]  # the other one was not told
    assert broken([replace(LATE, sidecar=0)], SENT, words=words) == [
        "sent to n after it was told of: c by 0, at 12.10"
    ]
    assert broken([replace(LATE, sidecar=1)], SENT, words=words) == []


def test_a_request_that_an_end_has_crossed_was_not_read() -> None:
    crossed = replace(LATE, verdict="crossed", sidecar=1)
    assert broken([crossed], []) == []
    assert broken([crossed], SENT) == ["read, and its connection ended without an answer: c"]
