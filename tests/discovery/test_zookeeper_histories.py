"""Seeded random histories of nodes, sessions, members and faults: removed nodes do not stay ready, outages remove none.

TOPAZBANK_HISTORIES=1000 runs 1000 histories, with other seeds than those of CI.
"""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Callable

import pytest
from loopback import PATIENCE_S, play

from testbed.zookeeper import Ensemble
from testbed.zookeeper.ensemble import UnavailableError
from testbed.zookeeper.jute import ANY_VERSION, OPEN_ACL
from testbed.zookeeper.transactions import Requester, TransactionBuilder
from testbed.zookeeper.tree import RequestError, Tree
from topazbank.balancing.events import ServerState
from topazbank.core.endpoint_source import EndpointList
from topazbank.discovery.registration import Registration
from topazbank.discovery.zkclient import EnsembleConfig, SessionState
from topazbank.discovery.zookeeper import ZooKeeperSource

PATH = "/nodes"
HISTORIES = os.environ.get("TOPAZBANK_HISTORIES")
SEEDS = range(1000, 1000 + int(HISTORIES)) if HISTORIES else range(6)
STEPS = 30
REMOVAL_S = 0.5  # limit for a node to stay ready after a quorum has removed it
DELIVERY_S = 1.0  # maximum age of a received update; watch events are delayed by WATCH_HOLD_S
WATCH_HOLD_S = 0.1
PAUSES_S = [0.0, 0.0, 0.01, 0.05]
# Each step picks one at random; repeated actions are more likely.
ACTIONS = (
    "create create create delete delete leave bad expire cut heal crash restart leader outage restore hold wait wait"
).split()
ANYONE = frozenset({("world", "anyone")})
UNREADABLE = b"?"


class History:
    """An ensemble, an endpoint source that watches it, and the endpoint list received from the source."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.ensemble = Ensemble(3, seed, election_s=0.03)
        self.states: dict[str, ServerState] = {}
        self.unregistered_at: dict[str, float] = {}  # for names in `states`
        self.deleted_at: dict[str, float] = {}  # time of the last `delete`, even if registered again
        self.connected_since: float | None = None
        self.in_outage = False

    async def start(self) -> None:
        await self.ensemble.start()
        await self.commit(lambda builder: builder.create(PATH, b"", OPEN_ACL, 0))
        config = EnsembleConfig(self.ensemble.addresses, 1.0)
        self.source = ZooKeeperSource(config, PATH, self.on_update, self.random.randrange(10**6))
        self.source.watch(True)

    def stop(self) -> None:
        self.source.stop()
        self.ensemble.stop()

    def on_update(self, update: EndpointList | None) -> None:
        assert update is not None
        if self.in_outage:
            assert not update.complete or update.entries, "an outage emptied the endpoint list"
        if update.complete:
            self.states = {}
        for entry in update.entries:
            self.states[entry.server.name] = entry.server.state
            if entry.server.state is ServerState.REMOVED:
                del self.states[entry.server.name]

    async def commit(self, build: Callable[[TransactionBuilder], None]) -> None:
        """Commit a change by another client; skip it if it is rejected or no quorum is available."""
        ensemble = self.ensemble
        session = None
        try:
            member = next(member for member in ensemble.members if ensemble.may_write(member))
            session = await ensemble.open_session(member, 60.0)
            await ensemble.submit(member, Requester(session.session_id, ANYONE), build)
        except (StopIteration, UnavailableError, RequestError):
            pass
        finally:
            if session is not None:
                ensemble.sessions.pop(session.session_id, None)  # it owns no ephemeral znode

    async def step(self) -> None:
        name = f"n-{self.random.randrange(6)}"
        action = self.random.choice(ACTIONS)
        address = ("127.0.0.1", 1000 + int(name[2:]))
        incarnation = f"{name}-{self.random.random()}"
        record = Registration(address, 1, "m", "a", "http", 1.0, incarnation, 0).encode()
        if action in ("create", "delete", "leave", "bad"):
            await self.change_node(action, name, record)
        elif action in ("cut", "heal", "crash", "restart"):
            getattr(self.ensemble, action)(self.random.randrange(3))
        else:
            await self.disturb(action)
        await asyncio.sleep(self.random.choice(PAUSES_S))

    async def change_node(self, action: str, name: str, record: bytes) -> None:
        path = f"{PATH}/{name}"
        if action == "create":
            self.unregistered_at.pop(name, None)
            await self.commit(lambda builder: builder.create(path, record, OPEN_ACL, 0))
        elif action == "delete":
            self.deleted_at[name] = asyncio.get_running_loop().time()
            await self.commit(lambda builder: builder.delete(path, ANY_VERSION))
        else:
            data = UNREADABLE if action == "bad" else record.replace(b"active", b"leaving")
            await self.commit(lambda builder: builder.set_data(path, data, ANY_VERSION))

    async def disturb(self, action: str) -> None:
        ensemble = self.ensemble
        if action == "expire":
            ensemble.expire(self.source.session.session_id)
        elif action == "leader":
            ensemble.lose_leader()
        elif action == "outage":
            await self.outage()
        elif action == "restore":
            self.in_outage = False
            ensemble.restore()
        elif action == "hold":
            connection = ensemble.connection_of(self.source.session.session_id)
            if connection is not None:
                connection.hold_watches()
                asyncio.get_running_loop().call_later(WATCH_HOLD_S, connection.release)

    async def outage(self) -> None:
        """Stop all members; only updates from before the outage may remove a node."""
        states_before = dict(self.states)
        self.in_outage = True
        self.ensemble.outage()
        await asyncio.sleep(0.05)
        oldest_update = asyncio.get_running_loop().time() - DELIVERY_S
        for name in (states_before.keys() - self.states.keys()) & self.registered():
            assert self.deleted_at.get(name, 0.0) > oldest_update, f"{name} was removed by an outage"

    def check(self) -> None:
        """Check that no node stays ready longer than REMOVAL_S after its removal, while the source is connected."""
        now = asyncio.get_running_loop().time()
        connected = (
            self.source.session.state is SessionState.CONNECTED
            and self.ensemble.leader is not None
            and not self.in_outage
        )
        self.connected_since = (self.connected_since or now) if connected else None
        registered = self.registered()
        for name in self.states.keys() - registered:
            self.unregistered_at.setdefault(name, now)
        for name in registered:
            self.unregistered_at.pop(name, None)
        for name, state in self.states.items():
            unregistered_at = self.unregistered_at.get(name)
            if state is not ServerState.READY or unregistered_at is None or self.connected_since is None:
                continue
            assert now - max(unregistered_at, self.connected_since) < REMOVAL_S, name

    def newest_tree(self) -> Tree:
        if self.ensemble.leader is not None:
            return self.ensemble.leader.tree
        return max(self.ensemble.members, key=lambda member: member.tree.zxid).tree

    def registered(self) -> set[str]:
        tree = self.newest_tree()
        return set(tree.nodes[PATH].children) if PATH in tree.nodes else set()

    def readable(self) -> set[str]:
        leader = self.ensemble.leader
        assert leader is not None
        return {name for name in self.registered() if leader.tree.nodes[f"{PATH}/{name}"].data != UNREADABLE}

    async def settle(self) -> None:
        """End all faults, and wait until the endpoint list matches the ensemble."""
        self.in_outage = False
        self.ensemble.restore()
        for member in self.ensemble.members:
            self.ensemble.heal(member.number)
        deadline = asyncio.get_running_loop().time() + PATIENCE_S
        while not self.is_settled():
            assert asyncio.get_running_loop().time() < deadline, (self.states, self.registered())
            await asyncio.sleep(0.01)

    def is_settled(self) -> bool:
        if self.ensemble.leader is None:
            return False
        listed = set(self.states)
        return listed <= self.registered() and self.readable() <= listed


@pytest.mark.parametrize("seed", SEEDS)
def test_faults_keep_no_removed_node_ready_and_remove_no_registered_node(seed: int) -> None:
    """Nodes register, drain, disappear and store unreadable data while members and sessions fail at random.

    A removed node must not stay ready for longer than REMOVAL_S, and an outage must not remove nodes.  After all faults
    have ended, the endpoint list must match the ensemble.
    """

    async def scenario() -> None:
        history = History(seed)
        await history.start()
        try:
            for _ in range(STEPS):
                await history.step()
                history.check()
            await history.settle()
        finally:
            history.stop()

    play(scenario())
