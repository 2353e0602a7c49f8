"""Tests the emulated ensemble with the published client kazoo and its recipes, which run in threads."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import pytest
from kazoo.client import KazooClient
from kazoo.exceptions import (
    BadVersionError,
    NoAuthError,
    NoChildrenForEphemeralsError,
    NodeExistsError,
    NoNodeError,
    NotEmptyError,
    RolledBackError,
)
from kazoo.recipe.watchers import ChildrenWatch
from kazoo.security import make_digest_acl

from testbed.zookeeper import Ensemble

_Result = TypeVar("_Result")
TIMEOUT_S = 20.0


class RunningEnsemble:
    """An ensemble on an event loop in a separate thread."""

    def __init__(self, members: int) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.ensemble = self.call(lambda: Ensemble(members))
        asyncio.run_coroutine_threadsafe(self.ensemble.start(), self.loop).result(TIMEOUT_S)
        self.clients: list[Any] = []

    def call(self, function: Callable[[], _Result]) -> _Result:
        """Call a function on the ensemble's event loop."""

        async def run() -> _Result:
            return function()

        return asyncio.run_coroutine_threadsafe(run(), self.loop).result(TIMEOUT_S)

    def client(self, timeout: float = 4.0, **options: Any) -> Any:
        client = KazooClient(hosts=self.ensemble.hosts, timeout=timeout, **options)
        client.start(TIMEOUT_S)
        self.clients.append(client)
        return client

    def stop(self) -> None:
        for client in self.clients:
            client.stop()
            client.close()
        self.call(self.ensemble.stop)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(TIMEOUT_S)
        self.loop.close()


@pytest.fixture(params=[3, 5], ids=str)
def running(request: pytest.FixtureRequest) -> Iterator[RunningEnsemble]:
    ensemble = RunningEnsemble(request.param)
    yield ensemble
    ensemble.stop()


def eventually(condition: Callable[[], object]) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def test_znodes_versions_and_errors_match_zookeeper(running: RunningEnsemble) -> None:
    client = running.client()
    assert client.create("/a", b"x") == "/a"
    data, stat = client.get("/a")
    assert (data, stat.version, stat.czxid) == (b"x", 0, stat.mzxid)
    changed = client.set("/a", b"longer", version=0)
    assert changed.version == 1 and changed.mzxid > changed.czxid and changed.data_length == 6
    client.create("/a/b")
    assert client.exists("/a").children_count == 1 and client.exists("/a").pzxid > changed.mzxid
    rejected: list[tuple[Callable[[], Any], type[Exception]]] = [
        (lambda: client.create("/a"), NodeExistsError),
        (lambda: client.create("/nowhere/x"), NoNodeError),
        (lambda: client.get("/nowhere"), NoNodeError),
        (lambda: client.delete("/a"), NotEmptyError),
        (lambda: client.set("/a", b"", version=7), BadVersionError),
        (lambda: client.delete("/a/b", version=7), BadVersionError),
    ]
    for operation, error in rejected:
        with pytest.raises(error):
            operation()
    assert client.exists("/nowhere") is None
    client.delete("/a", recursive=True)
    assert client.exists("/a") is None
    assert client.sync("/") == "/"


def test_ephemeral_and_sequential_znodes(running: RunningEnsemble) -> None:
    first_client, second_client = running.client(), running.client()
    first_client.create("/q")
    names = [
        client.create("/q/n-", b"", ephemeral=True, sequence=True)
        for client in (first_client, second_client, first_client)
    ]
    assert names == [f"/q/n-{number:010d}" for number in range(3)]
    assert second_client.exists(names[0]).ephemeralOwner == first_client.client_id[0]
    with pytest.raises(NoChildrenForEphemeralsError):
        first_client.create(names[0] + "/below")
    first_client.stop()
    eventually(lambda: second_client.get_children("/q") == ["n-0000000001"])


def test_a_transaction_applies_all_operations_or_none(running: RunningEnsemble) -> None:
    client = running.client()
    client.create("/a", b"0")
    committed = client.transaction()
    committed.create("/b", b"1")
    committed.check("/a", version=0)
    committed.set_data("/a", b"2")
    committed.set_data("/a", b"3")
    committed.delete("/b")
    results = committed.commit()
    assert results[0] == "/b" and results[1] is True and results[4] is True
    assert client.get("/a")[0] == b"3" and client.get("/a")[1].version == 2 and client.exists("/b") is None
    rejected = client.transaction()
    rejected.create("/c", b"1")
    rejected.check("/a", version=0)
    rejected.create("/d", b"1")
    kinds = [type(result) for result in rejected.commit()]
    assert kinds[:2] == [RolledBackError, BadVersionError] and client.exists("/c") is None


def test_a_watch_fires_once_and_before_the_change_can_be_read(running: RunningEnsemble) -> None:
    first_client, second_client = running.client(), running.client()
    first_client.create("/w")
    events: list[tuple[str, str]] = []

    def watch(event: Any) -> None:
        events.append((event.type, event.path))

    second_client.sync("/")
    second_client.get_children("/w", watch=watch)
    second_client.get("/w", watch=watch)
    second_client.exists("/later", watch=watch)
    first_client.create("/w/x")
    first_client.create("/w/y")
    first_client.set("/w", b"1")
    first_client.set("/w", b"2")
    first_client.create("/later")
    eventually(lambda: len(events) == 3)
    time.sleep(0.1)
    assert sorted(events) == [("CHANGED", "/w"), ("CHILD", "/w"), ("CREATED", "/later")]


def test_access_control_with_digest_authentication(running: RunningEnsemble) -> None:
    owner = running.client(auth_data=[("digest", "broker:secret")])
    other = running.client()
    owner.create("/mine", b"x", acl=[make_digest_acl("broker", "secret", all=True)])
    other.sync("/")
    with pytest.raises(NoAuthError):
        other.get("/mine")
    with pytest.raises(NoAuthError):
        other.create("/mine/x")
    other.add_auth("digest", "broker:secret")
    assert other.get("/mine")[0] == b"x"
    assert other.get_acls("/mine")[0][0].id.scheme == "digest"


def test_kazoo_lock_election_party_and_children_watch_work(running: RunningEnsemble) -> None:
    first_client, second_client = running.client(), running.client()
    acquisitions: list[str] = []

    def acquire_second_lock() -> None:
        with second_client.Lock("/lock", "two"):
            acquisitions.append("two")

    with first_client.Lock("/lock", "one"):
        second_thread = threading.Thread(target=acquire_second_lock)
        second_thread.start()
        eventually(lambda: len(first_client.get_children("/lock")) == 2)
        acquisitions.append("one")
    second_thread.join(TIMEOUT_S)
    assert acquisitions == ["one", "two"]

    leaders: list[str] = []
    elections = [
        client.Election("/election", name) for client, name in ((first_client, "one"), (second_client, "two"))
    ]
    threads = [
        threading.Thread(target=election.run, args=(leaders.append, name))
        for election, name in zip(elections, ("one", "two"), strict=True)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(TIMEOUT_S)
    assert sorted(leaders) == ["one", "two"]

    parties = [
        client.Party("/party", name) for client, name in ((first_client, "one"), (second_client, "two"))
    ]
    for party in parties:
        party.join()
    eventually(lambda: sorted(parties[0]) == ["one", "two"])

    lists: list[list[str]] = []
    second_client.create("/children")
    ChildrenWatch(second_client, "/children", lambda names: lists.append(sorted(names)))
    for number in range(3):
        first_client.sync("/")
        first_client.create(f"/children/{number}")
    eventually(lambda: lists and lists[-1] == ["0", "1", "2"])
    assert lists[0] == []


def test_an_expired_session_loses_its_znodes_and_a_live_session_moves_between_members(
    running: RunningEnsemble,
) -> None:
    first_client, second_client = running.client(timeout=2.0), running.client()
    states: list[str] = []
    first_client.add_listener(states.append)
    first_client.create("/e", ephemeral=True)
    session_id = first_client.client_id[0]
    member = next(
        member
        for member in running.ensemble.members
        if any(connection.session_id == session_id for connection in member.connections)
    )
    running.call(lambda: running.ensemble.crash(member.number))
    eventually(lambda: "SUSPENDED" in states and states[-1] == "CONNECTED")
    assert (
        first_client.client_id[0] == session_id
        and "LOST" not in states
        and second_client.retry(second_client.exists, "/e")
    )
    running.call(lambda: running.ensemble.expire(session_id))
    eventually(lambda: "LOST" in states and states[-1] == "CONNECTED")
    assert second_client.retry(second_client.exists, "/e") is None and first_client.client_id[0] != session_id


def test_a_partitioned_member_commits_nothing_and_catches_up_afterwards(running: RunningEnsemble) -> None:
    client = running.client()
    client.create("/a", b"1")
    ensemble = running.ensemble
    leader = running.call(lambda: ensemble.leader)
    assert leader is not None
    partitioned = next(member.number for member in ensemble.members if member is not leader)
    running.call(lambda: ensemble.cut(partitioned))
    client.retry(client.set, "/a", b"2")
    assert running.call(lambda: ensemble.members[partitioned].tree.nodes["/a"].data) == b"1"
    running.call(lambda: ensemble.heal(partitioned))
    eventually(lambda: running.call(lambda: ensemble.members[partitioned].tree.nodes["/a"].data) == b"2")

    running.call(ensemble.lose_leader)
    client.retry(client.set, "/a", b"3")
    epoch = client.retry(client.exists, "/a").mzxid >> 32
    assert epoch == 2


def test_a_session_survives_an_outage_shorter_than_its_timeout(running: RunningEnsemble) -> None:
    client = running.client(timeout=10.0)
    client.create("/e", ephemeral=True)
    session_id = client.client_id[0]
    running.call(running.ensemble.outage)
    eventually(lambda: not client.connected)
    running.call(running.ensemble.restore)
    eventually(lambda: client.connected)
    assert client.retry(client.exists, "/e") is not None and client.client_id[0] == session_id


def test_a_fast_clock_expires_a_session_that_sends_heartbeats(running: RunningEnsemble) -> None:
    client = running.client(timeout=6.0)
    client.create("/e", ephemeral=True)
    session_id = client.client_id[0]
    running.call(lambda: running.ensemble.run_clock(20.0))
    eventually(lambda: session_id in running.call(lambda: list(running.ensemble.expired)))
    running.call(lambda: running.ensemble.run_clock(1.0))
    assert "/e" not in running.call(running.ensemble.snapshot).nodes


def test_a_held_watch_event_delays_the_replies_after_it(running: RunningEnsemble) -> None:
    first_client, second_client = running.client(), running.client()
    first_client.create("/w")
    second_client.sync("/")
    events: list[str] = []
    second_client.get("/w", watch=lambda event: events.append(event.type))
    session_id = second_client.client_id[0]

    def hold() -> None:
        connection = running.ensemble.connection_of(session_id)
        assert connection is not None
        connection.hold_watches()

    running.call(hold)
    first_client.set("/w", b"new")
    read = second_client.get_async("/w")
    time.sleep(0.3)
    assert not events  # the new data must not become readable before its event
    assert not read.ready()
    running.call(lambda: running.ensemble.connection_of(session_id).release())  # type: ignore[union-attr]
    assert read.get(timeout=TIMEOUT_S)[0] == b"new"
    eventually(lambda: events == ["CHANGED"])
