"""Tests a sidecar with an emulated ensemble: injects faults there and checks the requests that the nodes received."""

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


def ensemble_config(ensemble: Ensemble, timeout_s: float = 20.0) -> EnsembleConfig:
    return EnsembleConfig(ensemble.addresses, timeout_s)


def discovery_config(ensemble: Ensemble, *sources: str, timeout_s: float = 20.0) -> DiscoveryConfig:
    return DiscoveryConfig(sources or (ZOOKEEPER,), ZooKeeperConfig(ensemble.addresses, PATH, "", timeout_s))


def create_registrar(
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
    return Registrar(ensemble_config(ensemble), PATH, server.name, registration, seed=3)


class RegisteredFleet:
    """An ensemble, nodes registered in it, and a sidecar that watches it."""

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
        """Send `count` requests one after another and return their distinct statuses."""
        return {(await self.world.ask(X_Call_Id=f"c-{number}"))[0] for number in range(count)}


@contextlib.asynccontextmanager
async def running(
    *scripts: Script, sources: tuple[str, ...] = (), wait: bool = True
) -> AsyncIterator[RegisteredFleet]:
    """Start three members and a node for each script; wait until the sidecar has all nodes."""
    ensemble = Ensemble(3)
    await ensemble.start()
    registrars: list[Registrar] = []
    try:
        async with world(*scripts, membership=discovery_config(ensemble, *sources)) as sidecar_world:
            fleet = RegisteredFleet(ensemble, sidecar_world, registrars)
            for server in sidecar_world.servers:
                registrars.append(create_registrar(ensemble, server))
                registrars[-1].start()
            if wait:
                await until(lambda: fleet.ready == {server.name for server in sidecar_world.servers})
            try:
                yield fleet
            finally:
                for registrar in registrars:
                    registrar.crash()
    finally:
        ensemble.stop()


def test_registered_nodes_serve_requests_in_the_protocol_of_their_record() -> None:
    async def scenario() -> None:
        async with running(answer_ok, answer_ok) as fleet:
            assert await fleet.statuses() == {200}
            endpoints = fleet.world.sidecar._endpoint_table.endpoints.values()
            assert {endpoint.protocol for endpoint in endpoints} == {pair().nodes}
            assert not fleet.world.discovery.targets  # the registry receives no request

    play(scenario())


def test_a_node_with_an_expired_session_finishes_its_request_and_receives_no_other() -> None:
    """A node's session expires while a request is in flight, and the node does not register again.

    The request in flight must be neither retried nor lost.  The next request must find no server.
    """

    async def scenario() -> None:
        async with running(answer_nothing) as fleet:
            first_client = await client(fleet.world.sidecar.listener.address)
            first_client.send(request("pay", body=b"x", X_Call_Id="first"))
            await until(fleet.world.sent)
            fleet.registrars[0]._task.cancel()  # type: ignore[union-attr]
            fleet.ensemble.expire(fleet.session_of(0))
            await until(lambda: not fleet.ready)
            assert (await fleet.world.ask(kind="pay", body=b"y", X_Call_Id="second"))[0] == 503
            assert [headers["x-call-id"] for _, headers, _ in fleet.world.sent()] == ["first"]
            fleet.world.servers[0].answer_held(answer(200, b"late"))
            assert (await first_client.answer())[2] == b"late"
            first_client.close()

    play(scenario())


def test_a_node_whose_session_expired_registers_again_and_is_not_warming_up() -> None:
    async def scenario() -> None:
        async with running(answer_ok) as fleet:
            registrar = fleet.registrars[0]
            states: list[RegistrationState] = []
            registrar._on_state_change = states.append
            fleet.ensemble.expire(fleet.session_of(0))
            await until(lambda: registrar.registrations == 2 and fleet.ready == {"s-0"})
            unregistered = RegistrationState.UNREGISTERED
            assert states[0] is unregistered or states[:2] == [RegistrationState.UNKNOWN, unregistered]
            assert states[-1] is RegistrationState.REGISTERED
            server = fleet.world.sidecar._balancer.servers.by_name["s-0"]
            assert not fleet.world.sidecar._balancer.slow_start.is_warming(server)

    play(scenario())


def test_a_restarted_node_waits_for_its_previous_session_to_expire_and_is_warming_up() -> None:
    """A node's process is killed and restarts before its previous session has expired.

    Data written to the previous session's znode would be deleted with that session, so the node must wait for the
    expiry.
    """

    async def scenario() -> None:
        async with running(answer_ok) as fleet:
            previous_session = fleet.session_of(0)
            fleet.registrars[0].crash()
            started_ms = fleet.world.sidecar._clock.now() // 1000 - 10
            restarted = create_registrar(
                fleet.ensemble, fleet.world.servers[0], "incarnation-2", started_ms=started_ms
            )
            restarted.start()
            fleet.registrars.append(restarted)
            await until(lambda: restarted._session.state is SessionState.CONNECTED)
            await asyncio.sleep(0.5)
            assert restarted.registrations == 0
            assert restarted.state is RegistrationState.UNREGISTERED
            fleet.ensemble.expire(previous_session)
            await until(lambda: restarted.state is RegistrationState.REGISTERED and fleet.ready == {"s-0"})
            server = fleet.world.sidecar._balancer.servers.by_name["s-0"]
            assert server.started_at == started_ms * 1000
            assert fleet.world.sidecar._balancer.slow_start.is_warming(server)

    play(scenario())


def test_a_draining_node_receives_no_new_request_and_stopping_it_loses_none() -> None:
    async def scenario() -> None:
        async with running(answer_ok, answer_ok) as fleet:
            await fleet.registrars[0].drain()
            assert fleet.registrars[0].state is RegistrationState.DRAINING
            await until(lambda: fleet.ready == {"s-1"})
            requests_before = len(fleet.world.servers[0].requests)
            assert await fleet.statuses() == {200}
            assert len(fleet.world.servers[0].requests) == requests_before
            await fleet.registrars[0].stop()
            await until(lambda: set(fleet.world.sidecar._balancer.servers.by_name) == {"s-1"})

    play(scenario())


def test_an_outage_of_the_ensemble_keeps_the_list_and_misses_no_change() -> None:
    """All members stop and restart; one node fails before the sidecar has reconnected.

    During the outage the last list stays in use.  Afterwards the restored watches report the change.
    """

    async def scenario() -> None:
        async with running(answer_ok, answer_ok) as fleet:
            session_id = fleet.source.session.session_id
            fleet.ensemble.outage()
            await until(lambda: fleet.source.session.state is SessionState.SUSPENDED)
            assert await fleet.statuses() == {200}
            assert fleet.ready == {"s-0", "s-1"}
            status = fleet.world.sidecar.endpoint_watcher.source.status()[0]
            assert not status.is_connected
            assert status.last_contact_at is not None
            fleet.ensemble.restore()
            await until(lambda: fleet.ensemble.leader is not None)
            fleet.registrars[0].crash()
            fleet.ensemble.expire(fleet.session_of(0))
            await until(lambda: fleet.ready == {"s-1"})
            assert fleet.source.session.session_id == session_id

    play(scenario())


def test_an_expired_session_of_the_sidecar_keeps_the_list_and_reads_every_node_again() -> None:
    async def scenario() -> None:
        async with running(answer_ok, answer_ok) as fleet:
            session, view = fleet.source.session, fleet.source.view
            expired_session_id = session.session_id
            fleet.ensemble.expire(expired_session_id)
            await until(
                lambda: session.state is SessionState.CONNECTED and session.session_id != expired_session_id
            )
            assert fleet.ready == {"s-0", "s-1"}
            await until(lambda: not any(map(view.is_unread, view.nodes)))
            await fleet.registrars[1].drain()  # reported by a watch of the new session
            await until(lambda: fleet.ready == {"s-0"})

    play(scenario())


def test_an_empty_list_of_a_member_without_a_quorum_removes_no_node() -> None:
    """A member was partitioned before any node registered, and serves read-only clients.

    Its list of nodes is empty, and no quorum has confirmed it.  Nothing may be published until the member has a quorum
    again.
    """

    async def scenario() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        stale_member = next(member for member in ensemble.members if member is not ensemble.leader)
        ensemble.cut(stale_member.number)
        stale_member.leaderless, stale_member.read_only = False, True
        node = FakeServer("s-0", answer_ok)
        await node.start()
        registrar = create_registrar(ensemble, node)
        registrar.start()
        await until(lambda: registrar.state is RegistrationState.REGISTERED)
        updates: list[EndpointList | None] = []
        assert stale_member.server is not None
        source = ZooKeeperSource(EnsembleConfig((stale_member.server.address,), 2.0), PATH, updates.append, 1)
        source.watch(True)
        await asyncio.sleep(0.6)
        assert not updates
        assert not source.view.nodes
        ensemble.heal(stale_member.number)
        await until(lambda: updates)
        assert updates[0] is not None
        assert [entry.server.name for entry in updates[0].entries] == ["s-0"]
        source.stop()
        registrar.crash()
        node.stop()
        ensemble.stop()

    play(scenario())


def test_all_nodes_register_again_after_all_their_sessions_expired_at_once() -> None:
    async def scenario() -> None:
        async with running(answer_ok, answer_ok, answer_ok) as fleet:
            sidecar_session = fleet.source.session.session_id
            for session_id in list(fleet.ensemble.sessions):
                if session_id != sidecar_session:
                    fleet.ensemble.expire(session_id)
            await until(
                lambda: (
                    fleet.ready == {"s-0", "s-1", "s-2"}
                    and all(registrar.registrations == 2 for registrar in fleet.registrars)
                )
            )
            assert (await fleet.world.ask())[0] == 200

    play(scenario())


def test_a_client_leaves_a_member_whose_state_is_older_than_one_it_has_read() -> None:
    """A client has read a newer state from one member than the other members have.

    Its requests and handshakes at these members must fail until one of them has caught up: reads never go back in time.
    """

    async def scenario() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        states: list[SessionState] = []
        session = Session(ensemble_config(ensemble), states.append, lambda *_: None, seed=1)
        session.start()
        await until(lambda: session.state is SessionState.CONNECTED)
        await session.ensure_path("/x", OPEN_ACL)
        session.zxid += 1000  # simulates a reply from a member that is ahead
        with contextlib.suppress(ConnectionLossError):
            await session.exists("/x")
        await until(lambda: session.stale_replies == 1)
        await until(lambda: ensemble.rejected_handshakes >= 3)
        assert session.state is SessionState.SUSPENDED
        ensemble._counter += 2000
        other_session = Session(ensemble_config(ensemble), lambda _: None, lambda *_: None, seed=2)
        other_session.start()
        await until(lambda: other_session.state is SessionState.CONNECTED)
        await other_session.ensure_path("/now", OPEN_ACL)
        await until(lambda: session.state is SessionState.CONNECTED)
        session.stop()
        other_session.stop()
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
        async with running(answer_ok) as fleet:
            requester = Requester(fleet.session_of(0), frozenset({("world", "anyone")}))
            member = fleet.ensemble.members[0]
            await fleet.ensemble.submit(member, requester, create)
            await until(lambda: len(fleet.ready) == count + 1)
            await fleet.ensemble.submit(member, requester, delete)
            await until(lambda: fleet.ready == {"s-0"})

    play(scenario())


def test_moving_between_the_registry_and_the_ensemble_under_load_fails_no_request() -> None:
    async def scenario() -> None:
        async with running(answer_ok, answer_ok, sources=(REGISTRY, ZOOKEEPER), wait=False) as fleet:
            sidecar_world = fleet.world
            entries = [server.entry() for server in sidecar_world.servers]
            sidecar_world.discovery.say(42, entries, snapshot=True)
            await until(lambda: fleet.ready == {"s-0", "s-1"})
            statuses: list[int] = []
            stop = asyncio.Event()

            async def load(number: int) -> None:
                while not stop.is_set():
                    call_id = f"l-{number}-{len(statuses)}"
                    statuses.append((await sidecar_world.ask(X_Call_Id=call_id))[0])

            clients = [asyncio.create_task(load(number)) for number in range(4)]
            # Before the nodes have registered, the ensemble's list is empty.
            await until(
                lambda: all(registrar.state is RegistrationState.REGISTERED for registrar in fleet.registrars)
            )
            config = SidecarConfig(
                ("127.0.0.1", 0),
                sidecar_world.discovery.address,
                7,
                256,
                sidecar_world.sidecar._settings,
                EndpointList(0, True, []),
            )
            for sources in ((ZOOKEEPER, REGISTRY), (ZOOKEEPER,), (ZOOKEEPER, REGISTRY), (REGISTRY,)):
                count = len(statuses)
                if REGISTRY in sources:
                    sidecar_world.discovery.say(50, entries, snapshot=True)
                operator = OperatorConfig(discovery=discovery_config(fleet.ensemble, *sources))
                sidecar_world.sidecar.replace_source(config, build_components(operator))
                await until(partial(has_more_than, statuses, count + 50))
                assert fleet.ready == {"s-0", "s-1"}
            stop.set()
            await asyncio.gather(*clients)
            assert set(statuses) == {200}

    play(scenario())


def test_the_admin_report_has_the_source_and_the_age_of_each_endpoint() -> None:
    async def scenario() -> None:
        async with running(answer_ok, answer_ok) as fleet:
            status, _, body = await ask(
                fleet.world.sidecar.listener.address, b"GET /admin/roster HTTP/1.1\r\nHost: x\r\n\r\n"
            )
            report = json.loads(body)
            assert status == 200
            assert [endpoint["name"] for endpoint in report["nodes"]] == ["s-0", "s-1"]
            assert {endpoint["source"] for endpoint in report["nodes"]} == {"zookeeper"}
            assert report["sources"][0]["can_know"]
            assert report["nodes"][0]["age_s"] >= 0
            assert any("s-0" in row and "zookeeper" in row for row in format_endpoint_table(report))

    play(scenario())
