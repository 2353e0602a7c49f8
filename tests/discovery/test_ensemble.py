"""The stand-in ensemble, driven by the published client (kazoo) with its recipes, in its own threads."""

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
PATIENCE_S = 20.0


class Running:
    """An ensemble on an event loop of its own thread."""

    def __init__(self, members: int) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.ensemble = self.do(lambda: Ensemble(members))
        asyncio.run_coroutine_threadsafe(self.ensemble.start(), self.loop).result(PATIENCE_S)
        self.clients: list[Any] = []

    def do(self, what: Callable[[], _Result]) -> _Result:
        """Run something on the ensemble's loop."""

        async def run() -> _Result:
            return what()

        return asyncio.run_coroutine_threadsafe(run(), self.loop).result(PATIENCE_S)

    def client(self, timeout: float = 4.0, **given: Any) -> Any:
        made = KazooClient(hosts=self.ensemble.hosts, timeout=timeout, **given)
        made.start(PATIENCE_S)
        self.clients.append(made)
        return made

    def stop(self) -> None:
        for each in self.clients:
            each.stop()
            each.close()
        self.do(self.ensemble.stop)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(PATIENCE_S)
        self.loop.close()


@pytest.fixture(params=[3, 5], ids=str)
def running(request: pytest.FixtureRequest) -> Iterator[Running]:
    made = Running(request.param)
    yield made
    made.stop()


def attempt(what: Callable[[], Any]) -> None:
    what()


def eventually(condition: Callable[[], object]) -> None:
    end = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.01)


def test_nodes_versions_and_errors_are_zookeeper_s(running: Running) -> None:
    one = running.client()
    assert one.create("/a", b"x") == "/a"
    data, stat = one.get("/a")
    assert (data, stat.version, stat.czxid) == (b"x", 0, stat.mzxid)
    changed = one.set("/a", b"longer", version=0)
    assert changed.version == 1 and changed.mzxid > changed.czxid and changed.data_length == 6
    one.create("/a/b")
    assert one.exists("/a").children_count == 1 and one.exists("/a").pzxid > changed.mzxid
    for wrong, error in (
        (lambda: one.create("/a"), NodeExistsError),
        (lambda: one.create("/nowhere/x"), NoNodeError),
        (lambda: one.get("/nowhere"), NoNodeError),
        (lambda: one.delete("/a"), NotEmptyError),
        (lambda: one.set("/a", b"", version=7), BadVersionError),
        (lambda: one.delete("/a/b", version=7), BadVersionError),
    ):
        with pytest.raises(error):
            attempt(wrong)
    assert one.exists("/nowhere") is None
    one.delete("/a", recursive=True)
    assert one.exists("/a") is None
    assert one.sync("/") == "/"


def test_ephemeral_and_sequential_nodes(running: Running) -> None:
    one, two = running.client(), running.client()
    one.create("/q")
    names = [each.create("/q/n-", b"", ephemeral=True, sequence=True) for each in (one, two, one)]
    assert names == [f"/q/n-{number:010d}" for number in range(3)]
    assert two.exists(names[0]).ephemeralOwner == one.client_id[0]
    with pytest.raises(NoChildrenForEphemeralsError):
        one.create(names[0] + "/below")
    one.stop()
    eventually(lambda: two.get_children("/q") == ["n-0000000001"])


def test_transactions_are_done_whole_or_not_at_all(running: Running) -> None:
    one = running.client()
    one.create("/a", b"0")
    done = one.transaction()
    done.create("/b", b"1")
    done.check("/a", version=0)
    done.set_data("/a", b"2")
    done.set_data("/a", b"3")
    done.delete("/b")
    results = done.commit()
    assert results[0] == "/b" and results[1] is True and results[4] is True
    assert one.get("/a")[0] == b"3" and one.get("/a")[1].version == 2 and one.exists("/b") is None
    undone = one.transaction()
    undone.create("/c", b"1")
    undone.check("/a", version=0)
    undone.create("/d", b"1")
    kinds = [type(each) for each in undone.commit()]
    assert kinds[:2] == [RolledBackError, BadVersionError] and one.exists("/c") is None


def test_watches_fire_once_and_before_the_change_can_be_read(running: Running) -> None:
    one, two = running.client(), running.client()
    one.create("/w")
    seen: list[tuple[str, str]] = []

    def watch(event: Any) -> None:
        seen.append((event.type, event.path))

    two.sync("/")
    two.get_children("/w", watch=watch)
    two.get("/w", watch=watch)
    two.exists("/later", watch=watch)
    one.create("/w/x")
    one.create("/w/y")
    one.set("/w", b"1")
    one.set("/w", b"2")
    one.create("/later")
    eventually(lambda: len(seen) == 3)
    time.sleep(0.1)
    assert sorted(seen) == [("CHANGED", "/w"), ("CHILD", "/w"), ("CREATED", "/later")]


def test_acls_with_digest_authentication(running: Running) -> None:
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


def test_the_client_s_recipes_run_lock_election_party_and_children_watch(running: Running) -> None:
    one, two = running.client(), running.client()
    order: list[str] = []

    def take() -> None:
        with two.Lock("/lock", "two"):
            order.append("two")

    with one.Lock("/lock", "one"):
        waiting = threading.Thread(target=take)
        waiting.start()
        eventually(lambda: len(one.get_children("/lock")) == 2)
        order.append("one")
    waiting.join(PATIENCE_S)
    assert order == ["one", "two"]

    led: list[str] = []
    elections = [each.Election("/election", name) for each, name in ((one, "one"), (two, "two"))]
    threads = [
        threading.Thread(target=election.run, args=(led.append, name))
        for election, name in zip(elections, ("one", "two"), strict=True)
    ]
    for each in threads:
        each.start()
    for each in threads:
        each.join(PATIENCE_S)
    assert sorted(led) == ["one", "two"]

    parties = [each.Party("/party", name) for each, name in ((one, "one"), (two, "two"))]
    for party in parties:
        party.join()
    eventually(lambda: sorted(parties[0]) == ["one", "two"])

    heard: list[list[str]] = []
    two.create("/kids")
    ChildrenWatch(two, "/kids", lambda names: heard.append(sorted(names)))
    for number in range(3):
        one.sync("/")
        one.create(f"/kids/{number}")
    eventually(lambda: heard and heard[-1] == ["0", "1", "2"])
    assert heard[0] == []


def test_an_expired_session_loses_its_nodes_and_a_live_one_moves_between_members(running: Running) -> None:
    one, two = running.client(timeout=2.0), running.client()
    states: list[str] = []
    one.add_listener(states.append)
    one.create("/e", ephemeral=True)
    ident = one.client_id[0]
    member = next(
        each for each in running.ensemble.members if any(c.session_id == ident for c in each.connections)
    )
    running.do(lambda: running.ensemble.crash(member.number))
    eventually(lambda: "SUSPENDED" in states and states[-1] == "CONNECTED")
    assert one.client_id[0] == ident and "LOST" not in states and two.retry(two.exists, "/e")
    running.do(lambda: running.ensemble.expire(ident))
    eventually(lambda: "LOST" in states and states[-1] == "CONNECTED")
    assert two.retry(two.exists, "/e") is None and one.client_id[0] != ident


def test_a_member_without_quorum_writes_nothing_and_comes_back_with_all(running: Running) -> None:
    one = running.client()
    one.create("/a", b"1")
    ensemble = running.ensemble
    leader = running.do(lambda: ensemble.leader)
    assert leader is not None
    cut = next(each.number for each in ensemble.members if each is not leader)
    running.do(lambda: ensemble.cut(cut))
    one.retry(one.set, "/a", b"2")
    assert running.do(lambda: ensemble.members[cut].tree.nodes["/a"].data) == b"1"
    running.do(lambda: ensemble.heal(cut))
    eventually(lambda: running.do(lambda: ensemble.members[cut].tree.nodes["/a"].data) == b"2")

    running.do(ensemble.lose_leader)
    one.retry(one.set, "/a", b"3")
    epochs = one.retry(one.exists, "/a").mzxid >> 32
    assert epochs == 2


def test_an_outage_of_all_keeps_sessions_that_come_back_in_time(running: Running) -> None:
    one = running.client(timeout=10.0)
    one.create("/e", ephemeral=True)
    ident = one.client_id[0]
    running.do(running.ensemble.outage)
    eventually(lambda: not one.connected)
    running.do(running.ensemble.restore)
    eventually(lambda: one.connected)
    assert one.retry(one.exists, "/e") is not None and one.client_id[0] == ident


def test_a_clock_that_runs_fast_expires_a_session_that_is_alive(running: Running) -> None:
    one = running.client(timeout=6.0)
    one.create("/e", ephemeral=True)
    ident = one.client_id[0]
    running.do(lambda: running.ensemble.run_clock(20.0))
    eventually(lambda: ident in running.do(lambda: list(running.ensemble.expired)))
    running.do(lambda: running.ensemble.run_clock(1.0))
    assert "/e" not in running.do(running.ensemble.snapshot).nodes


def test_a_held_watch_holds_what_comes_behind_it(running: Running) -> None:
    one, two = running.client(), running.client()
    one.create("/w")
    two.sync("/")
    seen: list[str] = []
    two.get("/w", watch=lambda event: seen.append(event.type))
    ident = two.client_id[0]

    def hold() -> None:
        connection = running.ensemble.connection_of(ident)
        assert connection is not None
        connection.hold_watches()

    running.do(hold)
    one.set("/w", b"new")
    read = two.get_async("/w")
    time.sleep(0.3)
    assert not seen and not read.ready()  # the new data can't be read before its watch has come
    running.do(lambda: running.ensemble.connection_of(ident).release())  # type: ignore[union-attr]
    assert read.get(timeout=PATIENCE_S)[0] == b"new"
    eventually(lambda: seen == ["CHANGED"])
