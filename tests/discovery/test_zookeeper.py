"""The whole sidecar over the stand-in ensemble: failures caused there, judged by the nodes' own logs."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from functools import partial
from typing import Any

import pytest
from loopback import FakeServer, World, answer, ask, client, pair, play, request, until, world

from testbed.zookeeper import Ensemble
from testbed.zookeeper.jute import OPEN
from testbed.zookeeper.tree import Asker, Draft
from topazbank.balancing.events import ServerState
from topazbank.core.driver import SidecarConfig
from topazbank.core.endpoint_source import EndpointList
from topazbank.discovery.registrar import Registrar, Standing
from topazbank.discovery.roster import Registration
from topazbank.discovery.zkclient import Disconnected, Session, State
from topazbank.discovery.zkclient import Ensemble as Where
from topazbank.discovery.zkwire import OPEN_ACL
from topazbank.discovery.zookeeper import ZooKeeperSource
from topazbank.operator_config import REGISTRY, ZOOKEEPER, DiscoveryConfig, OperatorConfig, ZooKeeperConfig
from topazbank.roster import table
from topazbank.wiring import build_components

pytestmark = pytest.mark.usefixtures("each_node")
PATH = "/lodge/nodes"
Script = Callable[..., bytes | None]


def served(*_: object) -> bytes:
    return answer(200, b"served")


def more_than(statuses: list[int], count: int) -> bool:
    return len(statuses) > count


def hung(*_: object) -> None:
    return None


def where(ensemble: Ensemble, timeout_s: float = 20.0) -> Where:
    members = ensemble.addresses
    return Where(members, timeout_s)


def membership(ensemble: Ensemble, *sources: str, timeout_s: float = 20.0) -> DiscoveryConfig:
    at = where(ensemble, timeout_s)
    return DiscoveryConfig(sources or (ZOOKEEPER,), ZooKeeperConfig(at.members, PATH, "", timeout_s))


def registrar(ensemble: Ensemble, server: FakeServer, life: str = "life-1", **changes: Any) -> Registrar:
    given: dict[str, Any] = {
        "pod": 1,
        "kind": "m",
        "zone": "east",
        "protocol": server.protocol,
        "weight": 1.0,
    }
    given |= {"incarnation": life, "started_ms": 0} | changes
    return Registrar(where(ensemble), PATH, server.name, Registration(server.address, **given), seed=3)


class Stage:
    def __init__(self, ensemble: Ensemble, w: World, registrars: list[Registrar]) -> None:
        self.ensemble = ensemble
        self.w = w
        self.registrars = registrars

    @property
    def ready(self) -> set[str]:
        servers = self.w.sidecar._balancer.servers.by_name.values()
        return {each.name for each in servers if each.state is ServerState.READY}

    @property
    def source(self) -> ZooKeeperSource:
        several: Any = self.w.sidecar.server_list.source
        made = several._sources[ZOOKEEPER]
        assert isinstance(made, ZooKeeperSource)
        return made

    def session_of(self, number: int) -> int:
        return self.registrars[number]._session.ident


@contextlib.asynccontextmanager
async def stage(*scripts: Script, sources: tuple[str, ...] = (), wait: bool = True) -> AsyncIterator[Stage]:
    """An ensemble of three, nodes that register there, and a sidecar that follows it."""
    ensemble = Ensemble(3)
    await ensemble.start()
    registrars: list[Registrar] = []
    try:
        async with world(*scripts, membership=membership(ensemble, *sources)) as w:
            made = Stage(ensemble, w, registrars)
            for server in w.servers:
                registrars.append(registrar(ensemble, server))
                registrars[-1].start()
            if wait:
                await until(lambda: made.ready == {each.name for each in w.servers})
            try:
                yield made
            finally:
                for each in registrars:
                    each.crash()
    finally:
        ensemble.stop()


def test_nodes_that_register_are_served_by_and_their_protocol_is_taken_from_their_data() -> None:
    async def scene() -> None:
        async with stage(served, served) as s:
            for number in range(10):
                assert (await s.w.ask(X_Call_Id=f"c-{number}"))[0] == 200
            assert {each.protocol for each in s.w.sidecar._nodes.endpoints.values()} == {pair().nodes}
            assert not s.w.discovery.targets  # the registry is not asked

    play(scene())


def test_a_session_that_expires_under_a_running_lodge_takes_nothing_from_it_and_brings_nothing_new() -> None:
    async def scene() -> None:
        async with stage(hung) as s:
            one = await client(s.w.sidecar.frontend.address)
            one.send(request("pay", body=b"x", X_Call_Id="lodge"))
            await until(s.w.sent)
            s.registrars[0]._task.cancel()  # type: ignore[union-attr]  # it does not register again
            s.ensemble.expire(s.session_of(0))
            await until(lambda: not s.ready)
            assert (await s.w.ask(kind="pay", body=b"y", X_Call_Id="other"))[0] == 503
            assert [given["x-call-id"] for _, given, _ in s.w.sent()] == [
                "lodge"
            ]  # neither resent nor followed
            s.w.servers[0].answer_held(answer(200, b"late"))
            assert (await one.answer())[2] == b"late"
            one.close()

    play(scene())


def test_a_node_that_lost_its_session_registers_again_as_the_same_and_is_not_cold() -> None:
    async def scene() -> None:
        async with stage(served) as s:
            heard: list[Standing] = []
            s.registrars[0]._told = heard.append
            s.ensemble.expire(s.session_of(0))
            await until(lambda: s.registrars[0].registered == 2 and s.ready == {"s-0"})
            assert heard[0] is Standing.OUT or heard[:2] == [Standing.UNKNOWN, Standing.OUT]
            assert heard[-1] is Standing.IN
            server = s.w.sidecar._balancer.servers.by_name["s-0"]
            assert not s.w.sidecar._balancer.slow_start.is_warming(server)

    play(scene())


def test_a_node_that_crashed_and_started_again_waits_its_former_session_out_and_is_cold() -> None:
    async def scene() -> None:
        async with stage(served) as s:
            former = s.session_of(0)
            s.registrars[0].crash()
            started_ms = s.w.sidecar._clock.now() // 1000 - 10
            again = registrar(s.ensemble, s.w.servers[0], "life-2", started_ms=started_ms)
            again.start()
            s.registrars.append(again)
            await until(lambda: again._session.state is State.LIVE)
            await asyncio.sleep(0.5)
            assert again.registered == 0 and again.standing is Standing.OUT
            s.ensemble.expire(former)
            await until(lambda: again.standing is Standing.IN and s.ready == {"s-0"})
            server = s.w.sidecar._balancer.servers.by_name["s-0"]
            assert server.started_at == started_ms * 1000 and s.w.sidecar._balancer.slow_start.is_warming(
                server
            )

    play(scene())


def test_a_node_that_says_it_leaves_gets_nothing_new_and_its_end_is_no_loss() -> None:
    async def scene() -> None:
        async with stage(served, served) as s:
            await s.registrars[0].leave()
            assert s.registrars[0].standing is Standing.LEAVING
            await until(lambda: s.ready == {"s-1"})
            before = len(s.w.servers[0].requests)
            for number in range(10):
                assert (await s.w.ask(X_Call_Id=f"c-{number}"))[0] == 200
            assert len(s.w.servers[0].requests) == before
            await s.registrars[0].stop()
            await until(lambda: set(s.w.sidecar._balancer.servers.by_name) == {"s-1"})

    play(scene())


def test_through_an_outage_the_last_list_holds_and_no_change_made_meanwhile_is_missed() -> None:
    async def scene() -> None:
        async with stage(served, served) as s:
            ident = s.source.session.ident
            s.ensemble.outage()
            await until(lambda: s.source.session.state is State.SUSPENDED)
            for number in range(10):
                assert (await s.w.ask(X_Call_Id=f"c-{number}"))[0] == 200
            assert s.ready == {"s-0", "s-1"}
            standing = s.w.sidecar.server_list.source.standing()[0]
            assert not standing.can_know and standing.heard_at is not None
            s.ensemble.restore()
            # While it was away one node ended; the ensemble says so before the sidecar is back.
            await until(lambda: s.ensemble.leader is not None)
            s.registrars[0].crash()
            s.ensemble.expire(s.session_of(0))
            await until(lambda: s.ready == {"s-1"})
            assert s.source.session.ident == ident  # the session lived through it

    play(scene())


def test_an_expired_session_of_the_sidecar_s_own_keeps_the_list_and_reads_all_anew() -> None:
    async def scene() -> None:
        async with stage(served, served) as s:
            ident = s.source.session.ident
            s.ensemble.expire(ident)
            await until(lambda: s.source.session.state is State.LIVE and s.source.session.ident != ident)
            assert s.ready == {"s-0", "s-1"}
            await until(lambda: not any(map(s.source.roster.is_unread, s.source.roster.entries)))
            await s.registrars[1].leave()  # its watch is there again
            await until(lambda: s.ready == {"s-0"})

    play(scene())


def test_an_empty_list_of_a_member_without_quorum_is_nobody_knows() -> None:
    async def scene() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        empty = next(each for each in ensemble.members if each is not ensemble.leader)
        ensemble.cut(empty.number)  # before anything is registered
        empty.noticed, empty.read_only = False, True
        node = FakeServer("s-0", served)
        await node.start()
        registered = registrar(ensemble, node)
        registered.start()
        await until(lambda: registered.standing is Standing.IN)
        told: list[EndpointList | None] = []
        assert empty.server is not None
        source = ZooKeeperSource(Where((empty.server.address,), 2.0), PATH, told.append, 1)
        source.follow(True)
        await asyncio.sleep(0.6)
        assert not told and not source.roster.entries
        ensemble.heal(empty.number)
        await until(lambda: told)
        assert told[0] is not None and [each.server.name for each in told[0].lines] == ["s-0"]
        source.stop()
        registered.crash()
        node.stop()
        ensemble.stop()

    play(scene())


def test_all_sessions_lost_at_once_are_obeyed_and_come_back_warm() -> None:
    async def scene() -> None:
        async with stage(served, served, served) as s:
            mine = s.source.session.ident
            for ident in [each for each in s.ensemble.sessions if each != mine]:
                s.ensemble.expire(ident)
            await until(
                lambda: s.ready == {"s-0", "s-1", "s-2"} and all(r.registered == 2 for r in s.registrars)
            )
            assert (await s.w.ask())[0] == 200

    play(scene())


def test_a_member_that_answers_from_before_what_was_seen_is_left_for_another() -> None:
    async def scene() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        states: list[State] = []
        session = Session(where(ensemble), states.append, lambda *_: None, seed=1)
        session.start()
        await until(lambda: session.state is State.LIVE)
        await session.make_path("/x", OPEN_ACL)
        session.zxid += 1000  # as if another member had told it of more
        with contextlib.suppress(Disconnected):
            await session.exists("/x")
        await until(lambda: session.older == 1)
        await until(lambda: ensemble.refused_zxid >= 3)  # each member turns the handshake away
        assert session.state is State.SUSPENDED
        ensemble._counter += 2000
        one = Session(where(ensemble), lambda _: None, lambda *_: None, seed=2)
        one.start()
        await until(lambda: one.state is State.LIVE)
        await one.make_path("/now", OPEN_ACL)
        await until(lambda: session.state is State.LIVE)
        session.stop()
        one.stop()
        ensemble.stop()

    play(scene())


def test_a_thousand_nodes_deleted_in_one_transaction_are_gone_at_once() -> None:
    async def scene() -> None:
        async with stage(served) as s:
            asker = Asker(s.session_of(0), frozenset({("world", "anyone")}))
            data = [
                Registration(("127.0.0.1", 20_000 + n), 1, "m", "east", "http", 1.0, f"l{n}", 0).encode()
                for n in range(1000)
            ]

            def create(draft: Draft) -> None:
                for number, each in enumerate(data):
                    draft.create(f"{PATH}/n-{number}", each, OPEN, 0)

            def delete(draft: Draft) -> None:
                for number in range(1000):
                    draft.delete(f"{PATH}/n-{number}", -1)

            member = s.ensemble.members[0]
            await s.ensemble.submit(member, asker, create)
            await until(lambda: len(s.ready) == 1001)
            await s.ensemble.submit(member, asker, delete)
            await until(lambda: s.ready == {"s-0"})

    play(scene())


def test_the_list_moves_from_the_registry_to_the_ensemble_and_back_under_load() -> None:
    async def scene() -> None:
        async with stage(served, served, sources=(REGISTRY, ZOOKEEPER), wait=False) as s:
            s.w.discovery.say(42, [each.entry() for each in s.w.servers], snapshot=True)
            await until(lambda: s.ready == {"s-0", "s-1"})
            statuses: list[int] = []
            stop = asyncio.Event()

            async def load(number: int) -> None:
                while not stop.is_set():
                    ident = f"l-{number}-{len(statuses)}"
                    statuses.append((await s.w.ask(X_Call_Id=ident))[0])

            running = [asyncio.create_task(load(number)) for number in range(4)]
            # Moved before its nodes are there, the ensemble's word would be that nothing runs.
            await until(lambda: all(each.standing is Standing.IN for each in s.registrars))
            config = SidecarConfig(
                ("127.0.0.1", 0),
                s.w.discovery.address,
                7,
                256,
                s.w.sidecar._settings,
                EndpointList(0, True, []),
            )
            for sources in ((ZOOKEEPER, REGISTRY), (ZOOKEEPER,), (ZOOKEEPER, REGISTRY), (REGISTRY,)):
                count = len(statuses)
                if REGISTRY in sources:
                    s.w.discovery.say(50, [each.entry() for each in s.w.servers], snapshot=True)
                operator = OperatorConfig(discovery=membership(s.ensemble, *sources))
                s.w.sidecar.replace_source(config, build_components(operator))
                await until(partial(more_than, statuses, count + 50))
                assert s.ready == {"s-0", "s-1"}
            stop.set()
            await asyncio.gather(*running)
            assert set(statuses) == {200}

    play(scene())


def test_the_roster_is_shown_with_the_source_and_the_age_of_each_entry() -> None:
    async def scene() -> None:
        async with stage(served, served) as s:
            status, _, body = await ask(
                s.w.sidecar.frontend.address, b"GET /admin/roster HTTP/1.1\r\nHost: x\r\n\r\n"
            )
            told = json.loads(body)
            assert status == 200 and [each["name"] for each in told["nodes"]] == ["s-0", "s-1"]
            assert {each["source"] for each in told["nodes"]} == {"zookeeper"}
            assert told["sources"][0]["can_know"] and told["nodes"][0]["age_s"] >= 0
            assert any("s-0" in each and "zookeeper" in each for each in table(told))

    play(scene())
