"""The simulator adapter: accepted messages, errors for invalid input, and deterministic replies."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from topazbank.platform_names import settings_from_wire
from topazbank.simulator_adapter import run

WIRE_SETTINGS: dict[str, Any] = {
    "bounds": {"sendCap": 3, "secondCopies": True, "mayCancel": True, "streamsPerConn": 1},
    "discovery": "on_request",
    "guarantees": {"askWithinUs": 10_000_000, "coldFrom": 0.3, "coldUs": 8_000_000},
    "lanes": [
        {"name": "look", "giveUpUs": 2_000_000, "promiseUs": 500_000, "repeat": "read_like", "group": "all"}
    ],
    "report": {"source": "piggyback", "columns": ["util"]},
    "something_new": [1, 2],
}
PAGE = [
    "PAGE",
    0,
    [["10.0.0.1:80", "east", "box", 0, "ready", 1, None], ["10.0.0.2:80", "east", "box", 0, "ready", 1]],
]


def begin(instance: str = "sidecar-1", wire_settings: Any = None) -> list[list[Any]]:
    return [
        ["BEGIN", instance, 7, WIRE_SETTINGS if wire_settings is None else wire_settings],
        PAGE,
        ["TARGETS", instance, "cached", 0, 1],
    ]


def play(*batches: list[list[Any]]) -> tuple[int, list[list[Any]], str]:
    lines = []
    for index, batch in enumerate(batches):
        lines += [["FRAME", 1_000_000 + 5_000 * index], *batch, ["COMMIT"]]
    return play_text("".join(json.dumps(message) + "\n" for message in lines))


def play_text(text: str) -> tuple[int, list[list[Any]], str]:
    out, err = io.StringIO(), io.StringIO()
    code = run(io.StringIO(text), out, err)
    return code, [json.loads(line) for line in out.getvalue().splitlines()], err.getvalue()


def test_the_reply_to_an_empty_batch_is_done() -> None:
    assert play([]) == (0, [["DONE"]], "")


def test_a_request_is_assigned() -> None:
    request = ["WORK_ITEM", "sidecar-1", 5, "look", 0, None, 900_000, 12_000, 1, "a field to come"]
    code, reply, _ = play(begin(), [request])
    sends = [message for message in reply if message[0] == "ASSIGN"]
    assert code == 0
    assert (
        len(sends) == 1
        and sends[0][1:3] == ["sidecar-1", 5]
        and sends[0][3] in ("10.0.0.1:80", "10.0.0.2:80")
    )


def test_an_instance_restarted_in_the_same_batch_keeps_no_state() -> None:
    request = ["WORK_ITEM", "sidecar-1", 5, "look", None, None, 900_000, None, 0]
    attempt_end = ["ATTEMPT_END", "sidecar-1", 5, 0, "10.0.0.1:80", "delivered", 100, True, {"util": 0.5}]
    code, reply, _ = play(begin(), [request, ["EXIT", "sidecar-1"], *begin()], [attempt_end])
    assert code == 0
    assert [message[0] for message in reply].count("FOLLOW") == 2


def test_a_page_number_may_be_reused_within_a_batch() -> None:
    other_page = ["PAGE", 0, [["10.0.0.9:80", "east", "box", 0, "ready", 1, None]]]
    requests = [["WORK_ITEM", f"sidecar-{n}", n, "look", None, None, 900_000, None, 0] for n in (1, 2)]
    batch = [
        *begin(),
        ["BEGIN", "sidecar-2", 8, WIRE_SETTINGS],
        other_page,
        ["TARGETS", "sidecar-2", "cached", 0, 1],
        *requests,
    ]
    _, reply, _ = play(batch)
    targets = {message[1]: message[3] for message in reply if message[0] == "ASSIGN"}
    assert targets["sidecar-2"] == "10.0.0.9:80" and targets["sidecar-1"] != "10.0.0.9:80"


@pytest.mark.parametrize(
    ("line", "error"),
    [
        ("nonsense", "expected JSON"),
        ("[" * 100_000, "expected JSON"),
        ("{}", "expected an array"),
        ("[]", "array"),
        ('["NEWS","sidecar-1"]', "unknown message"),
        ('["FRAME"]', "inside a batch"),
        ('["WORK_ITEM","sidecar-1",5]', "WORK_ITEM: expected at least 8 values, not 2"),
        ('["WAKE","sidecar-9","x"]', "unknown instance 'sidecar-9'"),
        ('["CLIENT_GONE","sidecar-1","five"]', "expected an integer"),
        ('["TARGETS","sidecar-1","rumour",0,1]', "unknown name"),
        ('["TARGETS","sidecar-1","full",9,1]', "unknown list 9"),
        ('["ATTEMPT_END","sidecar-1",5,0,"a:1","lost",1,true,null]', "unknown name"),
        ('["PAGE",0,[["a:1"]]]', "at least 6"),
        ('["MEMO","sidecar-1",0,"xyz"]', "expected a string of hex digits"),
        ('["BEGIN","sidecar-2",1,{"lanes":[]}]', "classes"),
        ('["BEGIN","sidecar-2",1,{"lanes":[{"name":"a","giveUpUs":-1}]}]', "classes[0].deadline_us"),
    ],
)
def test_invalid_input_is_reported_with_its_line_and_ends_the_run(line: str, error: str) -> None:
    valid_input = "".join(json.dumps(message) + "\n" for message in (["FRAME", 1], *begin()))
    code, _, err = play_text(valid_input + line + "\n")
    assert code != 0
    assert err.startswith("line 5: ") and error in err and err.count("\n") == 1


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.one_of(
            st.text(max_size=30),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
                lambda inner: (
                    st.lists(inner, max_size=6) | st.dictionaries(st.text(max_size=5), inner, max_size=3)
                ),
            ).map(json.dumps),
            st.tuples(
                st.sampled_from(
                    ["WORK_ITEM", "ATTEMPT_END", "TARGETS", "PAGE", "BEGIN", "WAKE", "FIRST", "SAMPLED"]
                ),
                st.lists(
                    st.sampled_from(
                        ["sidecar-1", "look", "full", "delivered", 0, 1, -5, 2**70, None, True, 1.5, {}, []]
                    ),
                    max_size=9,
                ),
            ).map(lambda message: json.dumps([message[0], *message[1]])),
        ),
        max_size=5,
    )
)
def test_no_input_line_causes_a_traceback(lines: list[str]) -> None:
    start = "".join(json.dumps(message) + "\n" for message in (["FRAME", 1], *begin()))
    body = "".join(line.replace("\n", " ").replace("\r", " ") + "\n" for line in lines)
    code, _, err = play_text(start + body + '["COMMIT"]\n')
    assert (code == 0) == (err == "")


def test_the_same_events_give_the_same_actions_whatever_the_hash_seed() -> None:
    script = [["FRAME", 1_000_000], *begin(), ["COMMIT"]]
    for number in range(60):
        request = ["WORK_ITEM", "sidecar-1", number, "look", None, None, 900_000, None, 0]
        script += [["FRAME", 1_000_000 + 5_000 * number], request, ["COMMIT"]]
    text = "".join(json.dumps(message) + "\n" for message in script)
    replies = [
        subprocess.run(
            [sys.executable, "-m", "topazbank.simulator_adapter"],
            input=text,
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).parent.parent,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        ).stdout
        for hash_seed in ("1", "2")
    ]
    assert replies[0] == replies[1] and replies[0].count("ASSIGN") == 60


def test_optional_rules_and_prices_in_a_message_reach_the_settings() -> None:
    lane = {**WIRE_SETTINGS["lanes"][0], "byArrival": True}
    read = settings_from_wire(
        {
            **WIRE_SETTINGS,
            "lanes": [lane],
            "guarantees": {"lateShedding": True, "turnGapUs": 100_000},
            "prices": {"connection": 0.08, "handshake": 0.07, "lateFail": 0.05},
            "domain": {"warmKeys": True, "passesDeadline": True},
            "clientHabits": {"marksRetry": True},
            "goal": {"whole": 1.0},
        }
    )
    assert read.classes[0].ordered_by_key
    assert read.rules.rejects_after_start and read.rules.ordering_pause_us == 100_000
    assert (read.prices.connection, read.prices.handshake) == (0.08, 0.07)
    plain = settings_from_wire(WIRE_SETTINGS)
    assert not (plain.classes[0].ordered_by_key or plain.rules.rejects_after_start)


def test_invalid_optional_rules_are_reported_by_field() -> None:
    for wire_settings, key in (
        ({**WIRE_SETTINGS, "guarantees": {"lateShedding": "yes"}}, "rejects_after_start"),
        ({**WIRE_SETTINGS, "guarantees": {"turnGapUs": -1}}, "ordering_pause_us"),
        ({**WIRE_SETTINGS, "lanes": [{**WIRE_SETTINGS["lanes"][0], "byArrival": 3}]}, "ordered_by_key"),
    ):
        code, _, err = play(begin(wire_settings=wire_settings))
        assert code == 2 and key in err and err.count("\n") == 1
