"""Seeded histories of nodes, sessions, members and reads: what was told gone is not kept, silence empties nothing.

TOPAZBANK_HISTORIES=1000 runs as many, with other seeds than CI's.
"""

from __future__ import annotations

import asyncio
import os
import random

import pytest
from loopback import PATIENCE_S, play

from testbed.zookeeper import Ensemble
from testbed.zookeeper.ensemble import UnavailableError
from testbed.zookeeper.jute import OPEN_ACL
from testbed.zookeeper.transactions import Requester, TransactionBuilder
from testbed.zookeeper.tree import RequestError
from topazbank.balancing.events import ServerState
from topazbank.core.endpoint_source import EndpointList
from topazbank.discovery.registration import Registration
from topazbank.discovery.zkclient import EnsembleConfig, SessionState
from topazbank.discovery.zookeeper import ZooKeeperSource

PATH = "/nodes"
MANY = os.environ.get("TOPAZBANK_HISTORIES")
SEEDS = range(1000, 1000 + int(MANY)) if MANY else range(6)
STEPS = 30
TOLD_S = 0.5  # the rule: so long after a live quorum's word nothing is ready that it told gone
LATELY_S = 1.0  # what a client hears late is no older: watches are held for 0.1 s
MOVES = (
    "create create create delete delete leave bad expire cut heal crash restart leader outage restore hold wait wait"
).split()
ANYONE = frozenset({("world", "anyone")})


class History:
    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.ensemble = Ensemble(3, seed, election_s=0.03)
        self.states: dict[str, ServerState] = {}
        self.gone_at: dict[str, float] = {}
        self.deleted_at: dict[str, float] = {}  # when each name was last deleted, whatever it is now
        self.live_since: float | None = None
        self.out = False  # whether the ensemble is in an outage

    async def start(self) -> None:
        await self.ensemble.start()
        await self.change(lambda draft: draft.create(PATH, b"", OPEN_ACL, 0))
        members = self.ensemble.addresses
        self.source = ZooKeeperSource(
            EnsembleConfig(members, 1.0), PATH, self.told, self.random.randrange(10**6)
        )
        self.source.follow(True)

    def stop(self) -> None:
        self.source.stop()
        self.ensemble.stop()

    def told(self, told: EndpointList | None) -> None:
        assert told is not None
        if self.out:
            assert not told.complete or told.lines, "emptied by an outage"
        if told.complete:
            self.states = {}
        for line in told.lines:
            self.states[line.server.name] = line.server.state
            if line.server.state is ServerState.REMOVED:
                del self.states[line.server.name]

    async def change(self, build: object) -> None:
        """Commit a change as some other client would; a refusal or a lost leader is no matter."""
        ensemble = self.ensemble
        session = None
        try:
            member = next(each for each in ensemble.members if ensemble.may_write(each))
            session = await ensemble.open_session(member, 60.0)
            await ensemble.submit(member, Requester(session.session_id, ANYONE), build)  # type: ignore[arg-type]
        except (StopIteration, UnavailableError, RequestError):
            pass
        finally:
            if session is not None:
                ensemble.sessions.pop(
                    session.session_id, None
                )  # its nodes are plain ones: nothing goes with it

    async def step(self) -> None:
        pick, ensemble = self.random, self.ensemble
        name = f"n-{pick.randrange(6)}"
        what = pick.choice(MOVES)
        port = 1000 + int(name[2:])
        registration = Registration(
            ("127.0.0.1", port), 1, "m", "a", "http", 1.0, f"{name}-{pick.random()}", 0
        )
        if what == "create":
            self.gone_at.pop(name, None)
            await self.change(
                lambda draft: draft.create(f"{PATH}/{name}", registration.encode(), OPEN_ACL, 0)
            )
        elif what == "delete":
            self.deleted_at[name] = asyncio.get_running_loop().time()
            await self.change(lambda draft: draft.delete(f"{PATH}/{name}", -1))
        elif what in ("leave", "bad"):
            data = b"?" if what == "bad" else registration.encode().replace(b"active", b"leaving")
            await self.change(lambda draft: _set(draft, name, data))
        elif what == "expire":
            ensemble.expire(self.source.session.session_id)
        elif what in ("cut", "heal", "crash", "restart"):
            getattr(ensemble, what)(pick.randrange(3))
        elif what == "leader":
            ensemble.lose_leader()
        elif what == "outage":
            before = dict(self.states)
            self.out = True
            ensemble.outage()
            await asyncio.sleep(0.05)
            # What was on its way when it began may still come; nothing goes that no quorum ever told gone.
            lately = asyncio.get_running_loop().time() - LATELY_S
            for name in (before.keys() - self.states.keys()) & self.registered():
                assert self.deleted_at.get(name, 0.0) > lately, f"{name} was lost to an outage"
        elif what == "restore":
            self.out = False
            ensemble.restore()
        elif what == "hold":
            connection = ensemble.connection_of(self.source.session.session_id)
            if connection is not None:
                connection.hold_watches()
                asyncio.get_running_loop().call_later(0.1, connection.release)
        await asyncio.sleep(pick.choice([0.0, 0.0, 0.01, 0.05]))

    def check(self) -> None:
        """Nothing is ready that a live quorum has told gone for longer than the rule allows."""
        now = asyncio.get_running_loop().time()
        ensemble = self.ensemble
        live = (
            self.source.session.state is SessionState.CONNECTED
            and ensemble.leader is not None
            and not self.out
        )
        self.live_since = (self.live_since or now) if live else None
        there = self.registered()
        for name in self.states.keys() - there:
            self.gone_at.setdefault(name, now)
        for name in there:
            self.gone_at.pop(name, None)
        for name, state in self.states.items():
            gone = self.gone_at.get(name)
            if state is ServerState.READY and gone is not None and self.live_since is not None:
                assert now - max(gone, self.live_since) < TOLD_S, name

    def registered(self) -> set[str]:
        leader = self.ensemble.leader
        tree = (
            leader.tree
            if leader is not None
            else max(self.ensemble.members, key=lambda each: each.tree.zxid).tree
        )
        return set(tree.nodes[PATH].children) if PATH in tree.nodes else set()

    def readable(self) -> set[str]:
        leader = self.ensemble.leader
        assert leader is not None
        return {each for each in self.registered() if leader.tree.nodes[f"{PATH}/{each}"].data != b"?"}

    async def settle(self) -> None:
        """All comes back, and the roster is what the ensemble says."""
        self.out = False
        self.ensemble.restore()
        for member in self.ensemble.members:
            self.ensemble.heal(member.number)
        end = asyncio.get_running_loop().time() + PATIENCE_S
        while True:
            known = set(self.states)
            if self.ensemble.leader is not None and known <= self.registered() and self.readable() <= known:
                return
            assert asyncio.get_running_loop().time() < end, (self.states, self.registered())
            await asyncio.sleep(0.01)


def _set(draft: TransactionBuilder, name: str, data: bytes) -> None:
    draft.set_data(f"{PATH}/{name}", data, -1)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_history_keeps_the_roster_true(seed: int) -> None:
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
