"""The roster's decisions, state by state: gone, leaving, unknown, empty, and what lies between two reads."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st

from topazbank.balancing.events import ServerState
from topazbank.core.endpoint_source import DiscoveredServer
from topazbank.discovery.roster import (
    FLAPS,
    STAY_S,
    BadData,
    Registration,
    Roster,
    Step,
    decode,
)

NOW_MS = 1_800_000_000_000
BASE = Registration(("10.0.0.1", 80), 1, "m", "a", "http", 1.0, "life-1", NOW_MS - 60_000)
READY, DRAINING, GONE = ServerState.READY, ServerState.DRAINING, ServerState.REMOVED


def at(port: int, **changes: Any) -> Registration:
    return replace(BASE, address=("10.0.0.1", port), **changes)


class Stage:
    """A roster, and what a listener makes of its steps."""

    def __init__(self) -> None:
        self.roster = Roster()
        self.now = 100.0
        self.zxid = 10
        self.states: dict[str, ServerState] = {}
        self.lines: dict[str, DiscoveredServer] = {}
        self.wholes = 0

    def take(self, step: Step) -> Step:
        if step.complete:
            self.wholes += 1
            self.states, self.lines = {}, {}
        for line in step.lines:
            name, state = line.server.name, line.server.state
            if state is GONE:
                self.states.pop(name, None)
            else:
                self.states[name], self.lines[name] = state, line
        return step

    def names(self, *names: str) -> Step:
        self.zxid += 1
        return self.take(self.roster.names_read(self.now, names, self.zxid))

    def data(
        self, name: str, registration: Registration | bytes, czxid: int = 1, mzxid: int | None = None
    ) -> Step:
        self.zxid += 1
        data = registration if isinstance(registration, bytes) else registration.encode()
        mzxid = self.zxid if mzxid is None else mzxid
        return self.take(self.roster.node_read(self.now, name, data, czxid, mzxid, NOW_MS))

    def up(self, *names: str) -> None:
        self.names(*names)
        for number, name in enumerate(names):
            self.data(name, at(80 + number), czxid=self.zxid)


def test_the_first_list_is_told_whole_once_all_of_it_is_read() -> None:
    s = Stage()
    assert s.names("a", "b").read == ["a", "b"]
    assert not s.data("a", at(1)).complete
    assert s.data("b", at(2)).complete
    assert s.states == {"a": READY, "b": READY}


def test_gone_is_a_live_quorum_s_word() -> None:
    s = Stage()
    s.up("a", "b")
    s.names("b")
    assert s.states == {"b": READY}
    s.take(s.roster.node_gone("b"))
    assert not s.states


def test_leaving_is_the_node_s_own_word_and_takes_nothing_new() -> None:
    s = Stage()
    s.up("a")
    s.data("a", at(80, leaving=True))
    assert s.states == {"a": DRAINING}


def test_unknown_changes_nothing_but_the_age() -> None:
    s = Stage()
    s.up("a", "b")
    s.now += 300
    s.roster.out_of_touch(s.now)
    assert s.states == {"a": READY, "b": READY}
    assert [each.age_s for each in s.roster.show(s.now)] == [300.0, 300.0]
    assert {each.source for each in s.roster.show(s.now)} == {"unknown"}
    s.names("a", "b")
    assert {each.source for each in s.roster.show(s.now)} == {"live"} and s.wholes == 1


def test_empty_is_a_live_quorum_s_word_and_empties_the_list() -> None:
    s = Stage()
    s.names()
    assert s.wholes == 1 and not s.states
    s.up("a", "b", "c")
    s.names()
    assert not s.states


def test_a_list_that_was_overtaken_by_a_newer_one_is_not_taken() -> None:
    s = Stage()
    s.up("a")
    assert not s.take(s.roster.names_read(s.now, (), 5)).lines and s.states == {"a": READY}


def test_data_that_was_overtaken_is_not_taken() -> None:
    s = Stage()
    s.up("a")
    s.data("a", at(80, leaving=True), mzxid=500)
    s.data("a", at(80), mzxid=400)
    assert s.states == {"a": DRAINING}


def test_a_node_made_again_between_two_reads_is_what_its_new_data_says() -> None:
    s = Stage()
    s.up("a")
    assert s.take(s.roster.node_changed("a")).read == ["a"]
    s.data("a", at(99, incarnation="life-2", started_ms=NOW_MS), czxid=900)
    assert s.lines["a"].address == ("10.0.0.1", 99) and s.lines["a"].server.started_at == NOW_MS * 1000


def test_the_same_incarnation_under_a_fresh_session_is_not_cold_and_another_is() -> None:
    s = Stage()
    s.up("a")
    started = s.lines["a"].server.started_at
    s.names()
    s.names("a")
    s.data("a", at(80), czxid=800)
    assert s.lines["a"].server.started_at == started and s.states == {"a": READY}
    s.data("a", at(80, incarnation="life-2", started_ms=NOW_MS - 5), czxid=801)
    assert s.lines["a"].server.started_at == (NOW_MS - 5) * 1000


def test_a_start_that_lies_ahead_counts_from_when_it_was_first_seen() -> None:
    s = Stage()
    s.names("a")
    ahead = at(80, started_ms=NOW_MS + 3_600_000)
    s.data("a", ahead)
    assert s.lines["a"].server.started_at == NOW_MS * 1000
    s.names()
    s.names("a")
    s.take(s.roster.node_read(s.now, "a", ahead.encode(), 7, 999, NOW_MS + 5_000))
    assert s.lines["a"].server.started_at == NOW_MS * 1000


def test_of_two_nodes_at_one_address_the_one_that_registered_last_is_there_until_it_goes() -> None:
    s = Stage()
    s.names("old", "new")
    s.data("old", at(80), czxid=5)
    s.data("new", at(80), czxid=6)
    assert s.states == {"old": DRAINING, "new": READY}
    s.take(s.roster.node_gone("new"))
    assert s.states == {"old": READY}


def test_a_node_that_moves_leaves_its_former_address_to_who_claims_it() -> None:
    s = Stage()
    s.names("a", "b")
    s.data("a", at(80), czxid=9)
    s.data("b", at(80), czxid=5)
    assert s.states == {"a": READY, "b": DRAINING}
    s.data("a", at(81), czxid=9)
    assert s.states == {"a": READY, "b": READY}


BAD = {
    "": "JSON",
    "nonsense": "JSON",
    "[" * 3000: "JSON",
    "[]": "an object",
    "{}": "v: 1 is wanted",
    '{"v": 2}': "v: 1 is wanted",
    json.dumps({"v": 1, "state": "resting"}): "state: active or leaving",
    json.dumps({"v": 1, "state": "active", "address": "nowhere"}): "address",
    json.dumps({"v": 1, "state": "active", "address": "a:1"}): "incarnation",
    json.dumps({"v": 1, "state": "active", "address": "a:1", "incarnation": "x", "pod": "y"}): "pod",
    json.dumps({"v": 1, "state": "active", "address": "a:1", "incarnation": "x", "weight": -1}): "weight",
    json.dumps(
        {"v": 1, "state": "active", "address": "a:1", "incarnation": "x", "started_ms": -1}
    ): "started_ms",
    json.dumps({"v": 1, "pad": "x" * 5000}): "at most",
}


@pytest.mark.parametrize("data", BAD, ids=range(len(BAD)))
def test_data_that_can_t_be_read_leaves_its_node_alone_out_with_one_line(
    data: str, caplog: pytest.LogCaptureFixture
) -> None:
    with pytest.raises(BadData, match=BAD[data]):
        decode(data.encode())
    s = Stage()
    s.names("bad", "good")
    s.data("bad", data.encode(), mzxid=50)
    s.data("bad", data.encode(), mzxid=50)
    s.data("good", at(81))
    assert s.states == {"good": READY} and s.wholes == 1
    assert len([each for each in caplog.records if "left out" in each.message]) == 1


def test_a_node_that_was_known_and_says_what_can_t_be_read_takes_nothing_new() -> None:
    s = Stage()
    s.up("a")
    s.data("a", b"\xff")
    assert s.states == {"a": DRAINING}
    s.data("a", at(80))
    assert s.states == {"a": READY}


def test_what_a_node_says_of_itself_survives_the_wire() -> None:
    for registration in (BASE, at(9, leaving=True, weight=2.5, protocol="msgpack-rpc", pod=-3)):
        assert decode(registration.encode()) == registration


def test_a_node_that_flaps_is_held_out_until_it_has_stayed() -> None:
    s = Stage()
    s.up("a")
    for number in range(FLAPS):
        assert s.states == {"a": READY}
        s.now += 1.0
        s.names()
        s.names("a")
        s.data("a", at(80), czxid=100 + number)
    assert s.states == {"a": DRAINING}
    wake = s.roster.next_wake()
    assert wake == s.now + STAY_S
    s.take(s.roster.woke(wake - 0.1))
    assert s.states == {"a": DRAINING}
    s.take(s.roster.woke(wake))
    assert s.states == {"a": READY} and s.roster.next_wake() is None


def test_after_an_expiry_every_node_is_read_again() -> None:
    s = Stage()
    s.up("a", "b")
    s.roster.unwatched()
    assert all(map(s.roster.is_unread, s.roster.entries)) and s.states == {"a": READY, "b": READY}


names_ = st.sampled_from(["a", "b", "c"])
moves = st.one_of(
    st.tuples(st.just("names"), st.sets(names_)),
    st.tuples(st.just("data"), names_, st.integers(80, 82), st.booleans()),
    st.tuples(st.just("gone"), names_),
    st.tuples(st.just("lost")),
    st.tuples(st.just("bad"), names_),
    st.tuples(st.just("wait"), st.floats(0.0, 5.0)),
)


@how(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(moves, max_size=40))
def test_no_history_holds_as_ready_what_was_told_gone_nor_empties_for_silence(script: list[Any]) -> None:
    s = Stage()
    s.up("a", "b", "c")
    there = {"a", "b", "c"}
    for name, *rest in script:
        before = dict(s.states)
        if name == "names":
            there = set(rest[0])
            for each in s.names(*there).read:
                s.data(each, at(80 + "abc".index(each)), czxid=s.zxid)
        elif name == "data":
            if rest[0] in there:
                s.data(rest[0], at(rest[1], leaving=rest[2]), czxid=s.zxid)
        elif name == "gone":
            there.discard(rest[0])
            s.take(s.roster.node_gone(rest[0]))
        elif name == "lost":
            s.roster.out_of_touch(s.now)
            assert s.states == before
        elif name == "bad":
            if rest[0] in there:
                s.data(rest[0], b"?")
        else:
            s.now += rest[0]
            s.take(s.roster.woke(s.now))
        assert set(s.states) <= there
        ready = [s.lines[each].address for each, state in s.states.items() if state is READY]
        assert len(set(ready)) == len(ready)
