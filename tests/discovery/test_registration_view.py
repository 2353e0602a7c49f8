"""RegistrationView in each state (removed, draining, unknown, empty), and changes between two reads."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from topazbank.balancing.events import ServerState
from topazbank.core.endpoint_source import DiscoveredServer
from topazbank.discovery.flap_damper import FLAP_HOLD_S, FLAP_RETURNS
from topazbank.discovery.registration import Registration, RegistrationError, decode_registration
from topazbank.discovery.registration_view import Connectivity, RegistrationView, ViewChange

NOW_MS = 1_800_000_000_000
BASE = Registration(("10.0.0.1", 80), 1, "m", "a", "http", 1.0, "incarnation-1", NOW_MS - 60_000)
READY, DRAINING, REMOVED = ServerState.READY, ServerState.DRAINING, ServerState.REMOVED


def registration_at(port: int, **changes: Any) -> Registration:
    return replace(BASE, address=("10.0.0.1", port), **changes)


class Receiver:
    """A receiver of a view's changes, with the endpoint list that results from them."""

    def __init__(self) -> None:
        self.view = RegistrationView()
        self.now = 100.0
        self.zxid = 10
        self.states: dict[str, ServerState] = {}
        self.endpoints: dict[str, DiscoveredServer] = {}
        self.snapshots = 0

    def apply(self, change: ViewChange) -> ViewChange:
        if change.is_snapshot:
            self.snapshots += 1
            self.states, self.endpoints = {}, {}
        for endpoint in change.updates:
            name, state = endpoint.server.name, endpoint.server.state
            if state is REMOVED:
                self.states.pop(name, None)
            else:
                self.states[name], self.endpoints[name] = state, endpoint
        return change

    def connectivity(self) -> Connectivity:
        return self.view.connectivity

    def list_names(self, *names: str) -> ViewChange:
        self.zxid += 1
        return self.apply(self.view.names_listed(self.now, names, self.zxid))

    def read_node(
        self, name: str, registration: Registration | bytes, czxid: int = 1, mzxid: int | None = None
    ) -> ViewChange:
        self.zxid += 1
        data = registration if isinstance(registration, bytes) else registration.encode()
        mzxid = self.zxid if mzxid is None else mzxid
        return self.apply(self.view.node_read(self.now, name, data, czxid, mzxid, NOW_MS))

    def register(self, *names: str) -> None:
        """List and read nodes, with consecutive ports from 80."""
        self.list_names(*names)
        for number, name in enumerate(names):
            self.read_node(name, registration_at(80 + number), czxid=self.zxid)


def test_the_first_list_is_a_snapshot_published_once_every_node_is_read() -> None:
    receiver = Receiver()
    assert receiver.list_names("a", "b").nodes_to_read == ["a", "b"]
    assert not receiver.read_node("a", registration_at(1)).is_snapshot
    assert receiver.read_node("b", registration_at(2)).is_snapshot
    assert receiver.states == {"a": READY, "b": READY}


def test_a_node_that_a_quorum_no_longer_lists_is_removed() -> None:
    receiver = Receiver()
    receiver.register("a", "b")
    receiver.list_names("b")
    assert receiver.states == {"b": READY}
    receiver.apply(receiver.view.node_removed("b"))
    assert not receiver.states


def test_a_node_whose_record_has_the_state_leaving_is_draining() -> None:
    receiver = Receiver()
    receiver.register("a")
    receiver.read_node("a", registration_at(80, draining=True))
    assert receiver.states == {"a": DRAINING}


def test_losing_the_quorum_changes_only_the_age_of_the_list() -> None:
    receiver = Receiver()
    receiver.register("a", "b")
    receiver.now += 300
    receiver.view.quorum_lost(receiver.now)
    assert receiver.states == {"a": READY, "b": READY}
    ages_s = [receiver.now - node.updated_at for node in receiver.view.nodes.values()]
    assert ages_s == [300.0, 300.0]
    assert receiver.connectivity() is Connectivity.UNKNOWN
    receiver.list_names("a", "b")
    assert receiver.connectivity() is Connectivity.CONNECTED
    assert receiver.snapshots == 1


def test_an_empty_list_from_a_quorum_removes_every_node() -> None:
    receiver = Receiver()
    receiver.list_names()
    assert receiver.snapshots == 1
    assert not receiver.states
    receiver.register("a", "b", "c")
    receiver.list_names()
    assert not receiver.states


def test_a_list_of_names_older_than_the_newest_is_ignored() -> None:
    receiver = Receiver()
    receiver.register("a")
    assert not receiver.apply(receiver.view.names_listed(receiver.now, (), 5)).updates
    assert receiver.states == {"a": READY}


def test_data_older_than_the_last_read_is_ignored() -> None:
    receiver = Receiver()
    receiver.register("a")
    receiver.read_node("a", registration_at(80, draining=True), mzxid=500)
    receiver.read_node("a", registration_at(80), mzxid=400)
    assert receiver.states == {"a": DRAINING}


def test_a_node_recreated_between_two_reads_gets_its_new_address_and_start_time() -> None:
    receiver = Receiver()
    receiver.register("a")
    assert receiver.apply(receiver.view.node_changed("a")).nodes_to_read == ["a"]
    restarted = registration_at(99, incarnation="incarnation-2", started_ms=NOW_MS)
    receiver.read_node("a", restarted, czxid=900)
    assert receiver.endpoints["a"].address == ("10.0.0.1", 99)
    assert receiver.endpoints["a"].server.started_at == NOW_MS * 1000


def test_a_new_session_of_the_same_incarnation_keeps_the_start_time_and_a_new_incarnation_does_not() -> None:
    receiver = Receiver()
    receiver.register("a")
    started_at = receiver.endpoints["a"].server.started_at
    receiver.list_names()
    receiver.list_names("a")
    receiver.read_node("a", registration_at(80), czxid=800)
    assert receiver.endpoints["a"].server.started_at == started_at
    assert receiver.states == {"a": READY}
    restarted = registration_at(80, incarnation="incarnation-2", started_ms=NOW_MS - 5)
    receiver.read_node("a", restarted, czxid=801)
    assert receiver.endpoints["a"].server.started_at == (NOW_MS - 5) * 1000


def test_a_start_in_the_future_is_replaced_by_the_time_of_the_first_read() -> None:
    receiver = Receiver()
    receiver.list_names("a")
    future = registration_at(80, started_ms=NOW_MS + 3_600_000)
    receiver.read_node("a", future)
    assert receiver.endpoints["a"].server.started_at == NOW_MS * 1000
    receiver.list_names()
    receiver.list_names("a")
    later_ms = NOW_MS + 5_000
    receiver.apply(receiver.view.node_read(receiver.now, "a", future.encode(), 7, 999, later_ms))
    assert receiver.endpoints["a"].server.started_at == NOW_MS * 1000


def test_the_later_of_two_registrations_at_one_address_is_ready_until_it_is_removed() -> None:
    receiver = Receiver()
    receiver.list_names("old", "new")
    receiver.read_node("old", registration_at(80), czxid=5)
    receiver.read_node("new", registration_at(80), czxid=6)
    assert receiver.states == {"old": DRAINING, "new": READY}
    receiver.apply(receiver.view.node_removed("new"))
    assert receiver.states == {"old": READY}


def test_a_node_that_changes_its_address_releases_the_previous_one_to_the_other_claimant() -> None:
    receiver = Receiver()
    receiver.list_names("a", "b")
    receiver.read_node("a", registration_at(80), czxid=9)
    receiver.read_node("b", registration_at(80), czxid=5)
    assert receiver.states == {"a": READY, "b": DRAINING}
    receiver.read_node("a", registration_at(81), czxid=9)
    assert receiver.states == {"a": READY, "b": READY}


VALID_RECORD = {"v": 1, "state": "active", "address": "a:1", "incarnation": "x"}
INVALID_RECORDS = {
    "": "record: expected JSON",
    "nonsense": "record: expected JSON",
    "[" * 3000: "record: expected JSON",
    "[]": "expected a JSON object",
    "{}": "v: expected 1, not None",
    '{"v": 2}': "v: expected 1, not 2",
    json.dumps({"v": 1, "state": "resting"}): "state: expected active or leaving",
    json.dumps({"v": 1, "state": "active", "address": "nowhere"}): "address",
    json.dumps({"v": 1, "state": "active", "address": "a:1"}): "incarnation",
    json.dumps(VALID_RECORD | {"pod": "y"}): "pod",
    json.dumps(VALID_RECORD | {"weight": -1}): "weight",
    json.dumps(VALID_RECORD | {"started_ms": -1}): "started_ms",
    json.dumps({"v": 1, "pad": "x" * 5000}): "exceeds 4096 bytes",
}


@pytest.mark.parametrize("data", INVALID_RECORDS, ids=range(len(INVALID_RECORDS)))
def test_an_invalid_record_omits_only_its_node_and_is_logged_once(
    data: str, caplog: pytest.LogCaptureFixture
) -> None:
    with pytest.raises(RegistrationError, match=INVALID_RECORDS[data]):
        decode_registration(data.encode())
    receiver = Receiver()
    receiver.list_names("bad", "good")
    receiver.read_node("bad", data.encode(), mzxid=50)
    receiver.read_node("bad", data.encode(), mzxid=50)
    receiver.read_node("good", registration_at(81))
    assert receiver.states == {"good": READY}
    assert receiver.snapshots == 1
    assert (
        len([record for record in caplog.records if "node bad has an invalid record" in record.message]) == 1
    )


def test_a_listed_node_whose_record_becomes_invalid_is_draining() -> None:
    receiver = Receiver()
    receiver.register("a")
    receiver.read_node("a", b"\xff")
    assert receiver.states == {"a": DRAINING}
    receiver.read_node("a", registration_at(80))
    assert receiver.states == {"a": READY}


def test_decoding_an_encoded_record_restores_it() -> None:
    other = registration_at(9, draining=True, weight=2.5, protocol="msgpack-rpc", pod=-3)
    for registration in (BASE, other):
        assert decode_registration(registration.encode()) == registration


def test_a_flapping_node_is_held_until_it_has_stayed_registered() -> None:
    receiver = Receiver()
    receiver.register("a")
    for number in range(FLAP_RETURNS):
        assert receiver.states == {"a": READY}
        receiver.now += 1.0
        receiver.list_names()
        receiver.list_names("a")
        receiver.read_node("a", registration_at(80), czxid=100 + number)
    assert receiver.states == {"a": DRAINING}
    release_at = receiver.view.next_release_at()
    assert release_at == receiver.now + FLAP_HOLD_S
    receiver.apply(receiver.view.release_held(release_at - 0.1))
    assert receiver.states == {"a": DRAINING}
    receiver.apply(receiver.view.release_held(release_at))
    assert receiver.states == {"a": READY}
    assert receiver.view.next_release_at() is None


def test_after_an_expired_session_every_node_must_be_read_again() -> None:
    receiver = Receiver()
    receiver.register("a", "b")
    receiver.view.watches_lost()
    assert all(map(receiver.view.is_unread, receiver.view.nodes))
    assert receiver.states == {"a": READY, "b": READY}


NAMES = st.sampled_from(["a", "b", "c"])
STEPS = st.one_of(
    st.tuples(st.just("names"), st.sets(NAMES)),
    st.tuples(st.just("data"), NAMES, st.integers(80, 82), st.booleans()),
    st.tuples(st.just("removed"), NAMES),
    st.tuples(st.just("quorum lost")),
    st.tuples(st.just("unreadable"), NAMES),
    st.tuples(st.just("wait"), st.floats(0.0, 5.0)),
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(STEPS, max_size=40))
def test_no_history_keeps_a_removed_node_or_removes_a_node_when_the_quorum_is_lost(
    history: list[Any],
) -> None:
    receiver = Receiver()
    receiver.register("a", "b", "c")
    registered = {"a", "b", "c"}
    for step, *arguments in history:
        before = dict(receiver.states)
        if step == "names":
            registered = set(arguments[0])
            for name in receiver.list_names(*registered).nodes_to_read:
                receiver.read_node(name, registration_at(80 + "abc".index(name)), czxid=receiver.zxid)
        elif step == "data":
            name, port, draining = arguments
            if name in registered:
                receiver.read_node(name, registration_at(port, draining=draining), czxid=receiver.zxid)
        elif step == "removed":
            registered.discard(arguments[0])
            receiver.apply(receiver.view.node_removed(arguments[0]))
        elif step == "quorum lost":
            receiver.view.quorum_lost(receiver.now)
            assert receiver.states == before
        elif step == "unreadable":
            if arguments[0] in registered:
                receiver.read_node(arguments[0], b"?")
        else:
            receiver.now += arguments[0]
            receiver.apply(receiver.view.release_held(receiver.now))
        assert set(receiver.states) <= registered
        ready = [
            receiver.endpoints[name].address for name, state in receiver.states.items() if state is READY
        ]
        assert len(set(ready)) == len(ready)
