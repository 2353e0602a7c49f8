"""Tests the registrar command with chroot and authentication, and many endpoint sources with one ensemble."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import pytest
from loopback import play, until
from test_zookeeper_source import ensemble_config

from testbed.zookeeper import Ensemble, jute
from testbed.zookeeper.transactions import Requester, TransactionBuilder
from topazbank.balancing.events import ServerState
from topazbank.core.endpoint_source import EndpointList
from topazbank.discovery import registrar_command
from topazbank.discovery.registrar import Registrar, RegistrationState
from topazbank.discovery.registration import Registration, decode_registration
from topazbank.discovery.registration_view import Connectivity
from topazbank.discovery.zkclient import EnsembleConfig, Session, SessionState, ZooKeeperError
from topazbank.discovery.zkwire import OPEN_ACL, ErrorCode
from topazbank.discovery.zookeeper import ZooKeeperSource

ROOT = Path(__file__).parent.parent.parent
NODE = "/site-a/lodge/nodes/n-1"
SECRET = "broker:opensesame"


@dataclass(slots=True)
class Command:
    """A running command and its output lines."""

    process: asyncio.subprocess.Process
    lines: list[str]


@contextlib.asynccontextmanager
async def command(ensemble: Ensemble) -> AsyncIterator[Command]:
    """Run the command with a chroot and a secret."""
    arguments = ["--ensemble", ensemble.hosts, "--chroot", "/site-a", "--timeout-s", "1.0"]
    arguments += ["--name", "n-1", "--address", "127.0.0.1:4001", "--pod", "3"]
    arguments += ["--incarnation", "incarnation-1", "--started-ms", "7", "--linger-s", "0.3"]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "topazbank.discovery.registrar",
        *arguments,
        cwd=ROOT,
        env={**os.environ, "TOPAZBANK_ENSEMBLE_SECRET": SECRET},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    lines: list[str] = []

    async def read_lines() -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            lines.append(line.decode().strip())

    reading = asyncio.create_task(read_lines())
    try:
        yield Command(process, lines)
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        await reading


def is_connected(session: Session) -> bool:
    return session.state is SessionState.CONNECTED


def is_registered(ensemble: Ensemble) -> bool:
    return ensemble.leader is not None and NODE in ensemble.leader.tree.nodes


def stored_registration(ensemble: Ensemble) -> Registration:
    assert ensemble.leader is not None
    return decode_registration(ensemble.leader.tree.nodes[NODE].data)


def test_the_command_registers_drains_and_removes_its_node() -> None:
    async def scenario() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        states: list[ServerState] = []

        def on_update(update: EndpointList | None) -> None:
            assert update is not None
            states.extend(entry.server.state for entry in update.entries)

        async with command(ensemble) as running:
            await until(lambda: "n-1 is in" in running.lines)
            assert stored_registration(ensemble) == Registration(
                ("127.0.0.1", 4001), 3, "", "", "http", 1.0, "incarnation-1", 7, False
            )
            config = EnsembleConfig(ensemble.addresses, 2.0, "/site-a")
            source = ZooKeeperSource(config, "/lodge/nodes", on_update, 1)
            source.watch(True)
            await until(lambda: states == [ServerState.READY])
            running.process.send_signal(signal.SIGTERM)
            assert await running.process.wait() == 0
            await until(lambda: states[-1] is ServerState.REMOVED)
            assert states == [ServerState.READY, ServerState.DRAINING, ServerState.REMOVED]
            source.stop()
        printed = [line for line in running.lines if line.startswith("n-1 is")]
        assert printed == ["n-1 is in", "n-1 is leaving", "n-1 is out"]
        assert not any("opensesame" in line for line in running.lines)
        ensemble.stop()

    play(scenario())


def test_the_node_of_a_killed_process_remains_until_its_session_expires() -> None:
    async def scenario() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        async with command(ensemble) as running:
            await until(lambda: "n-1 is in" in running.lines)
            running.process.kill()
            await running.process.wait()
            assert is_registered(ensemble)
            assert not stored_registration(ensemble).draining
            await until(lambda: not is_registered(ensemble))
            assert ensemble.expired
        ensemble.stop()

    play(scenario())


def test_a_client_without_the_secret_can_neither_write_nor_delete_a_protected_node() -> None:
    async def scenario() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        registration = Registration(("127.0.0.1", 4001), 1, "m", "a", "http", 1.0, "incarnation", 0)
        members = ensemble.addresses
        owner_config = EnsembleConfig(members, 5.0, "/site-a", SECRET)
        owner = Registrar(owner_config, "/lodge/nodes", "n-1", registration, seed=1)
        owner.start()
        await until(lambda: owner.state is RegistrationState.REGISTERED)
        for secret in ("", "broker:wrong"):
            config = EnsembleConfig(members, 5.0, "/site-a", secret)
            other = Session(config, lambda _: None, lambda *_: None, 2)
            other.start()
            await until(partial(is_connected, other))
            data, _ = await other.get("/lodge/nodes/n-1")
            assert data == registration.encode()
            for rejected in (other.set("/lodge/nodes/n-1", b"x"), other.delete("/lodge/nodes/n-1")):
                with pytest.raises(ZooKeeperError, match="NO_AUTH"):
                    await rejected
            other.stop()
        assert is_registered(ensemble)
        assert stored_registration(ensemble) == registration
        owner.crash()
        same_secret = Session(owner_config, lambda _: None, lambda *_: None, 3)
        same_secret.start()
        await until(partial(is_connected, same_secret))
        await same_secret.set("/lodge/nodes/n-1", b"mine")
        same_secret.stop()
        ensemble.stop()

    play(scenario())


def test_a_rejected_write_raises_an_error_with_its_code_and_name() -> None:
    async def scenario() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        session = Session(ensemble_config(ensemble), lambda _: None, lambda *_: None, 1)
        session.start()
        await until(partial(is_connected, session))
        await session.create("/once", b"", OPEN_ACL)
        with pytest.raises(ZooKeeperError) as rejected:
            await session.create("/once", b"", OPEN_ACL)
        assert rejected.value.code == ErrorCode.NODE_EXISTS
        assert str(rejected.value) == "NODE_EXISTS"
        session.stop()
        ensemble.stop()

    play(scenario())


@pytest.mark.parametrize("invalid_arguments", [["--address", "nowhere"], ["--ensemble", "a:b,c"]])
def test_invalid_arguments_end_the_command_with_one_line(
    invalid_arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    valid_arguments = ["--ensemble", "127.0.0.1:1", "--name", "n", "--address", "127.0.0.1:2"]
    assert registrar_command.main([*valid_arguments, *invalid_arguments]) == 2
    assert len(capsys.readouterr().err.strip().splitlines()) == 1


# -- Many sources ------------------------------------------------------------------------------------

SOURCES, NODES = 40, 30


@dataclass(slots=True)
class ManySources:
    """Endpoint sources of one ensemble, and the node states that each has received."""

    ensemble: Ensemble
    sources: list[ZooKeeperSource]
    states: list[dict[str, ServerState]]


@contextlib.asynccontextmanager
async def many_sources() -> AsyncIterator[ManySources]:
    """Start the sources and wait until each has read all nodes."""
    logging.getLogger("topazbank.discovery").setLevel(logging.WARNING)
    ensemble = Ensemble(3)
    await ensemble.start()

    def create(builder: TransactionBuilder) -> None:
        builder.create("/nodes", b"", jute.OPEN_ACL, 0)
        for number in range(NODES):
            builder.create(f"/nodes/n-{number}", encode_record(number), jute.OPEN_ACL, 0)

    await ensemble.submit(ensemble.members[0], await open_requester(ensemble), create)
    states: list[dict[str, ServerState]] = [{} for _ in range(SOURCES)]
    sources = []
    for number in range(SOURCES):

        def on_update(
            update: EndpointList | None, known_states: dict[str, ServerState] = states[number]
        ) -> None:
            assert update is not None
            known_states.update({entry.server.name: entry.server.state for entry in update.entries})

        sources.append(ZooKeeperSource(ensemble_config(ensemble, 5.0), "/nodes", on_update, number))
        sources[-1].watch(True)
    await until(lambda: all(len(known_states) == NODES for known_states in states))
    try:
        yield ManySources(ensemble, sources, states)
    finally:
        for source in sources:
            source.stop()
        ensemble.stop()
        logging.getLogger("topazbank.discovery").setLevel(logging.NOTSET)


def encode_record(number: int, draining: bool = False) -> bytes:
    address = ("127.0.0.1", 9000 + number)
    return Registration(address, 1, "m", "a", "http", 1.0, f"l-{number}", 0, draining).encode()


async def open_requester(ensemble: Ensemble) -> Requester:
    session = await ensemble.open_session(ensemble.members[0], 60.0)
    return Requester(session.session_id, frozenset({("world", "anyone")}))


def test_a_changed_node_is_read_once_by_each_source() -> None:
    async def scenario() -> None:
        async with many_sources() as running:
            ensemble = running.ensemble
            requests_before = ensemble.requests.copy()
            await ensemble.submit(
                ensemble.members[0],
                await open_requester(ensemble),
                lambda builder: builder.set_data(
                    "/nodes/n-3", encode_record(3, draining=True), jute.ANY_VERSION
                ),
            )
            await until(
                lambda: all(known_states["n-3"] is ServerState.DRAINING for known_states in running.states)
            )
            requests = ensemble.requests - requests_before
            assert requests[jute.GET_DATA] == SOURCES
            assert requests[jute.GET_CHILDREN2] == 0

    play(scenario())


def test_after_an_outage_sources_send_few_requests_and_read_no_node_data_again() -> None:
    """All members stop and restart, and all sources reconnect at about the same time.

    The sources restore their watches and do not read every node again, so each sends only a few requests.
    """

    async def scenario() -> None:
        async with many_sources() as running:
            ensemble, sources = running.ensemble, running.sources
            ensemble.outage()
            await until(lambda: all(source.session.state is SessionState.SUSPENDED for source in sources))
            connections = [source.session.connections for source in sources]
            await asyncio.sleep(0.5)
            requests_before = ensemble.requests.copy()
            ensemble.restore()
            connected = Connectivity.CONNECTED
            await until(lambda: all(source.view.connectivity is connected for source in sources))
            requests = ensemble.requests - requests_before
            assert requests[jute.SYNC] <= 2 * SOURCES
            assert requests[jute.SET_WATCHES] <= 2 * SOURCES
            assert requests[jute.GET_DATA] == 0
            reconnections = [
                source.session.connections - previous_count
                for source, previous_count in zip(sources, connections, strict=True)
            ]
            assert max(reconnections) <= 2  # counts a connection to a member that has no leader yet

    play(scenario())
