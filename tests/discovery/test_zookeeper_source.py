"""The whole sidecar with an emulated ensemble: failures caused there, judged by the nodes' own request logs."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from functools import partial
from typing import Any

import pytest
from loopback import FakeServer, World, answer, ask, client, pair, play, request, until, world

from testbed.zookeeper import Ensemble, jute
from testbed.zookeeper.transactions import Requester, TransactionBuilder
from topazbank.balancing.events import ServerState
from topazbank.core.components import SidecarConfig
from topazbank.core.endpoint_source import EndpointList
from topazbank.discovery.registrar import Registrar, RegistrationState
from topazbank.discovery.registration import Registration
from topazbank.discovery.zkclient import ConnectionLossError, EnsembleConfig, Session, SessionState
from topazbank.discovery.zkwire import OPEN_ACL
from topazbank.discovery.zookeeper import ZooKeeperSource
from topazbank.operator_config import REGISTRY, ZOOKEEPER, DiscoveryConfig, OperatorConfig, ZooKeeperConfig
from topazbank.roster import format_endpoint_table
from topazbank.wiring import build_components

pytestmark = pytest.mark.usefixtures("each_node")
PATH = "/lodge/nodes"
Script = Callable[..., bytes | None]


def answer_ok(*_: object) -> bytes:
    return answer(200, b"served")


def answer_nothing(*_: object) -> None:
    return None


def has_more_than(statuses: list[int], count: int) -> bool:
    return len(statuses) > count


def config_of(ensemble: Ensemble, timeout_s: float = 20.0) -> EnsembleConfig:
    return EnsembleConfig(ensemble.addresses, timeout_s)


def membership(ensemble: Ensemble, *sources: str, timeout_s: float = 20.0) -> DiscoveryConfig:
    return DiscoveryConfig(sources or (ZOOKEEPER,), ZooKeeperConfig(ensemble.addresses, PATH, "", timeout_s))


def registrar_of(
    ensemble: Ensemble, server: FakeServer, incarnation: str = "incarnation-1", started_ms: int = 0
) -> Registrar:
    registration = Registration(
        server.address,
        pod=1,
        kind="m",
        zone="east",
        protocol=server.protocol,
        weight=1.0,
        incarnation=incarnation,
        started_ms=started_ms,
    )
    return Registrar(config_of(ensemble), PATH, server.name, registration, seed=3)


class Fixture:
    """An ensemble, nodes that are registered there, and a sidecar that follows it."""

    def __init__(self, ensemble: Ensemble, world: World, registrars: list[Registrar]) -> None:
        self.ensemble = ensemble
        self.world = world
        self.registrars = registrars

    @property
    def ready(self) -> set[str]:
        servers = self.world.sidecar._balancer.servers.by_name.values()
        return {server.name for server in servers if server.state is ServerState.READY}

    @property
    def source(self) -> ZooKeeperSource:
        combined: Any = self.world.sidecar.endpoint_watcher.source
        source = combined._sources[ZOOKEEPER]
        assert isinstance(source, ZooKeeperSource)
        return source

    def session_of(self, number: int) -> int:
        return self.registrars[number]._session.session_id

    async def statuses(self, count: int = 10) -> set[int]:
        """The statuses of some requests, one after the other."""
        return {(await self.world.ask(X_Call_Id=f"c-{number}"))[0] for number in range(count)}


@contextlib.asynccontextmanager
async def running(
    *scripts: Script, sources: tuple[str, ...] = (), wait: bool = True
) -> AsyncIterator[Fixture]:
    """Three members, and a node for each script; wait until the sidecar has them all."""
    ensemble = Ensemble(3)
    await ensemble.start()
    registrars: list[Registrar] = []
    try:
        async with world(*scripts, membership=membership(ensemble, *sources)) as one_world:
            fixture = Fixture(ensemble, one_world, registrars)
            for server in one_world.servers:
                registrars.append(registrar_of(ensemble, server))
                registrars[-1].start()
            if wait:
                await until(lambda: fixture.ready == {server.name for server in one_world.servers})
            try:
                yield fixture
            finally:
                for registrar in registrars:
                    registrar.crash()
    finally:
        ensemble.stop()


def test_registered_nodes_serve_requests_in_the_protocol_of_their_record() -> None:
    async def scenario() -> None:
        async with running(answer_ok, answer_ok) as fixture:
            assert await fixture.statuses() == {200}
            endpoints = fixture.world.sidecar._endpoint_table.endpoints.values()
            assert {endpoint.protocol for endpoint in endpoints} == {pair().nodes}
            assert not fixture.world.discovery.targets  # the registry is not called

    play(scenario())


def test_an_expired_session_of_a_working_node_ends_no_request_and_sends_it_no_other() -> None:
    """A node's session expires while it works on a request, and it does not register again.

    The request in flight is neither repeated nor lost; the next one finds no server.
    """

    async def scenario() -> None:
        async with running(answer_nothing) as fixture:
            first = await client(fixture.world.sidecar.listener.address)
            first.send(request("pay", body=b"x", X_Call_Id="first"))
            await until(fixture.world.sent)
            fixture.registrars[0]._task.cancel()  # type: ignore[union-attr]
            fixture.ensemble.expire(fixture.session_of(0))
            await until(lambda: not fixture.ready)
            assert (await fixture.world.ask(kind="pay", body=b"y", X_Call_Id="second"))[0] == 503
            assert [headers["x-call-id"] for _, headers, _ in fixture.world.sent()] == ["first"]
            fixture.world.servers[0].answer_held(answer(200, b"late"))
            assert (await first.answer())[2] == b"late"
            first.close()

    play(scenario())


def test_a_node_whose_session_expired_registers_again_and_is_not_warming_up() -> None:
    async def scenario() -> None:
        async with running(answer_ok) as fixture:
            registrar = fixture.registrars[0]
            states: list[RegistrationState] = []
            registrar._on_state_change = states.append
            fixture.ensemble.expire(fixture.session_of(0))
            await until(lambda: registrar.registrations == 2 and fixture.ready == {"s-0"})
            unregistered = RegistrationState.UNREGISTERED
            assert states[0] is unregistered or states[:2] == [RegistrationState.UNKNOWN, unregistered]
            assert states[-1] is RegistrationState.REGISTERED
            server = fixture.world.sidecar._balancer.servers.by_name["s-0"]
            assert not fixture.world.sidecar._balancer.slow_start.is_warming(server)

    play(scenario())


def test_a_restarted_node_waits_for_its_former_session_to_expire_and_is_warming_up() -> None:
    """A node's process dies and starts again before its former session has expired.

    Its data in the former session's znode would be deleted with that session, so it must wait for the expiry.
    """

    async def scenario() -> None:
        async with running(answer_ok) as fixture:
            former_session = fixture.session_of(0)
            fixture.registrars[0].crash()
            started_ms = fixture.world.sidecar._clock.now() // 1000 - 10
            restarted = registrar_of(
                fixture.ensemble, fixture.world.servers[0], "incarnation-2", started_ms=started_ms
            )
            restarted.start()
            fixture.registrars.append(restarted)
            await until(lambda: restarted._session.state is SessionState.CONNECTED)
            await asyncio.sleep(0.5)
            assert restarted.registrations == 0
            assert restarted.state is RegistrationState.UNREGISTERED
            fixture.ensemble.expire(former_session)
            await until(lambda: restarted.state is RegistrationState.REGISTERED and fixture.ready == {"s-0"})
            server = fixture.world.sidecar._balancer.servers.by_name["s-0"]
            assert server.started_at == started_ms * 1000
            assert fixture.world.sidecar._balancer.slow_start.is_warming(server)

    play(scenario())


def test_a_draining_node_gets_no_new_request_and_its_end_loses_none() -> None:
    async def scenario() -> None:
        async with running(answer_ok, answer_ok) as fixture:
            await fixture.registrars[0].drain()
            assert fixture.registrars[0].state is RegistrationState.DRAINING
            await until(lambda: fixture.ready == {"s-1"})
            before = len(fixture.world.servers[0].requests)
            assert await fixture.statuses() == {200}
            assert len(fixture.world.servers[0].requests) == before
            await fixture.registrars[0].stop()
            await until(lambda: set(fixture.world.sidecar._balancer.servers.by_name) == {"s-1"})

    play(scenario())


def test_an_outage_of_the_ensemble_keeps_the_list_and_no_change_made_meanwhile_is_missed() -> None:
    """All members stop and come back; one node ends before the sidecar has reconnected.

    Through the outage the last list stays in force.  After it, the watches that are set again report the change.
    """

    async def scenario() -> None:
        async with running(answer_ok, answer_ok) as fixture:
            session_id = fixture.source.session.session_id
            fixture.ensemble.outage()
            await until(lambda: fixture.source.session.state is SessionState.SUSPENDED)
            assert await fixture.statuses() == {200}
            assert fixture.ready == {"s-0", "s-1"}
            status = fixture.world.sidecar.endpoint_watcher.source.status()[0]
            assert not status.is_connected
            assert status.last_contact_at is not None
            fixture.ensemble.restore()
            await until(lambda: fixture.ensemble.leader is not None)
            fixture.registrars[0].crash()
            fixture.ensemble.expire(fixture.session_of(0))
            await until(lambda: fixture.ready == {"s-1"})
            assert fixture.source.session.session_id == session_id

    play(scenario())


def test_an_expired_session_of_the_sidecar_keeps_the_list_and_reads_every_node_again() -> None:
    async def scenario() -> None:
        async with running(answer_ok, answer_ok) as fixture:
            session, view = fixture.source.session, fixture.source.view
            expired_id = session.session_id
            fixture.ensemble.expire(expired_id)
            await until(lambda: session.state is SessionState.CONNECTED and session.session_id != expired_id)
            assert fixture.ready == {"s-0", "s-1"}
            await until(lambda: not any(map(view.is_unread, view.nodes)))
            await fixture.registrars[1].drain()  # reported by a watch of the new session
            await until(lambda: fixture.ready == {"s-0"})

    play(scenario())


def test_an_empty_list_of_a_member_without_a_quorum_removes_no_node() -> None:
    """A member was partitioned before any node registered, and serves read-only clients.

    What it lists is empty and means nothing.  Nothing may be published until it has a quorum again.
    """

    async def scenario() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        stale = next(member for member in ensemble.members if member is not ensemble.leader)
        ensemble.cut(stale.number)
        stale.leaderless, stale.read_only = False, True
        node = FakeServer("s-0", answer_ok)
        await node.start()
        registrar = registrar_of(ensemble, node)
        registrar.start()
        await until(lambda: registrar.state is RegistrationState.REGISTERED)
        updates: list[EndpointList | None] = []
        assert stale.server is not None
        source = ZooKeeperSource(EnsembleConfig((stale.server.address,), 2.0), PATH, updates.append, 1)
        source.watch(True)
        await asyncio.sleep(0.6)
        assert not updates
        assert not source.view.nodes
        ensemble.heal(stale.number)
        await until(lambda: updates)
        assert updates[0] is not None
        assert [line.server.name for line in updates[0].entries] == ["s-0"]
        source.stop()
        registrar.crash()
        node.stop()
        ensemble.stop()

    play(scenario())


def test_all_nodes_register_again_after_all_their_sessions_expired_at_once() -> None:
    async def scenario() -> None:
        async with running(answer_ok, answer_ok, answer_ok) as fixture:
            own_session = fixture.source.session.session_id
            for session_id in list(fixture.ensemble.sessions):
                if session_id != own_session:
                    fixture.ensemble.expire(session_id)
            await until(
                lambda: (
                    fixture.ready == {"s-0", "s-1", "s-2"}
                    and all(registrar.registrations == 2 for registrar in fixture.registrars)
                )
            )
            assert (await fixture.world.ask())[0] == 200

    play(scenario())


def test_a_member_with_an_older_state_than_was_read_is_left_for_another() -> None:
    """A client has read a newer state from one member than the others have.

    Its requests and handshakes there must fail until one of them has caught up: reads never go back.
    """

    async def scenario() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        states: list[SessionState] = []
        session = Session(config_of(ensemble), states.append, lambda *_: None, seed=1)
        session.start()
        await until(lambda: session.state is SessionState.CONNECTED)
        await session.ensure_path("/x", OPEN_ACL)
        session.zxid += 1000  # as if another member had answered with it
        with contextlib.suppress(ConnectionLossError):
            await session.exists("/x")
        await until(lambda: session.stale_replies == 1)
        await until(lambda: ensemble.rejected_handshakes >= 3)
        assert session.state is SessionState.SUSPENDED
        ensemble._counter += 2000
        other = Session(config_of(ensemble), lambda _: None, lambda *_: None, seed=2)
        other.start()
        await until(lambda: other.state is SessionState.CONNECTED)
        await other.ensure_path("/now", OPEN_ACL)
        await until(lambda: session.state is SessionState.CONNECTED)
        session.stop()
        other.stop()
        ensemble.stop()

    play(scenario())


def test_a_thousand_nodes_deleted_in_one_transaction_are_removed() -> None:
    count = 1000

    def create(builder: TransactionBuilder) -> None:
        for number in range(count):
            address = ("127.0.0.1", 20_000 + number)
            record = Registration(address, 1, "m", "east", "http", 1.0, f"l{number}", 0).encode()
            builder.create(f"{PATH}/n-{number}", record, jute.OPEN_ACL, 0)

    def delete(builder: TransactionBuilder) -> None:
        for number in range(count):
            builder.delete(f"{PATH}/n-{number}", jute.ANY_VERSION)

    async def scenario() -> None:
        async with running(answer_ok) as fixture:
            requester = Requester(fixture.session_of(0), frozenset({("world", "anyone")}))
            member = fixture.ensemble.members[0]
            await fixture.ensemble.submit(member, requester, create)
            await until(lambda: len(fixture.ready) == count + 1)
            await fixture.ensemble.submit(member, requester, delete)
            await until(lambda: fixture.ready == {"s-0"})

    play(scenario())


def test_moving_between_the_registry_and_the_ensemble_under_load_fails_no_request() -> None:
    async def scenario() -> None:
        async with running(answer_ok, answer_ok, sources=(REGISTRY, ZOOKEEPER), wait=False) as fixture:
            one_world = fixture.world
            entries = [server.entry() for server in one_world.servers]
            one_world.discovery.say(42, entries, snapshot=True)
            await until(lambda: fixture.ready == {"s-0", "s-1"})
            statuses: list[int] = []
            stop = asyncio.Event()

            async def load(number: int) -> None:
                while not stop.is_set():
                    call_id = f"l-{number}-{len(statuses)}"
                    statuses.append((await one_world.ask(X_Call_Id=call_id))[0])

            clients = [asyncio.create_task(load(number)) for number in range(4)]
            # Moved earlier, the ensemble would list no node.
            await until(
                lambda: all(
                    registrar.state is RegistrationState.REGISTERED for registrar in fixture.registrars
                )
            )
            config = SidecarConfig(
                ("127.0.0.1", 0),
                one_world.discovery.address,
                7,
                256,
                one_world.sidecar._settings,
                EndpointList(0, True, []),
            )
            for sources in ((ZOOKEEPER, REGISTRY), (ZOOKEEPER,), (ZOOKEEPER, REGISTRY), (REGISTRY,)):
                count = len(statuses)
                if REGISTRY in sources:
                    one_world.discovery.say(50, entries, snapshot=True)
                operator = OperatorConfig(discovery=membership(fixture.ensemble, *sources))
                one_world.sidecar.replace_source(config, build_components(operator))
                await until(partial(has_more_than, statuses, count + 50))
                assert fixture.ready == {"s-0", "s-1"}
            stop.set()
            await asyncio.gather(*clients)
            assert set(statuses) == {200}

    play(scenario())


def test_the_admin_report_has_the_source_and_the_age_of_each_endpoint() -> None:
    async def scenario() -> None:
        async with running(answer_ok, answer_ok) as fixture:
            status, _, body = await ask(
                fixture.world.sidecar.listener.address, b"GET /admin/roster HTTP/1.1\r\nHost: x\r\n\r\n"
            )
            report = json.loads(body)
            assert status == 200
            assert [endpoint["name"] for endpoint in report["nodes"]] == ["s-0", "s-1"]
            assert {endpoint["source"] for endpoint in report["nodes"]} == {"zookeeper"}
            assert report["sources"][0]["can_know"]
            assert report["nodes"][0]["age_s"] >= 0
            assert any("s-0" in row and "zookeeper" in row for row in format_endpoint_table(report))

    play(scenario())
