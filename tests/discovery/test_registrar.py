"""Registration as a process, with chroot and authentication; many sidecars' sources on one ensemble."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import sys
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path

import pytest
from loopback import play, until
from test_zookeeper_source import where

from testbed.zookeeper import Ensemble, jute
from testbed.zookeeper.transactions import Requester
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


@contextlib.asynccontextmanager
async def registered(ensemble: Ensemble) -> AsyncIterator[tuple[asyncio.subprocess.Process, list[str]]]:
    """The command, below a chroot and with a secret; and the lines that it prints."""
    command = [sys.executable, "-m", "topazbank.discovery.registrar", "--ensemble", ensemble.hosts]
    command += ["--chroot", "/site-a", "--name", "n-1", "--address", "127.0.0.1:4001", "--timeout-s", "1.0"]
    command += ["--pod", "3", "--incarnation", "life-1", "--started-ms", "7", "--linger-s", "0.3"]
    process = await asyncio.create_subprocess_exec(
        *command,
        cwd=ROOT,
        env={**os.environ, "TOPAZBANK_ENSEMBLE_SECRET": SECRET},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    lines: list[str] = []

    async def read() -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            lines.append(line.decode().strip())

    reading = asyncio.create_task(read())
    try:
        yield process, lines
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        await reading


def is_live(session: Session) -> bool:
    return session.state is SessionState.CONNECTED


def there(ensemble: Ensemble) -> bool:
    return ensemble.leader is not None and NODE in ensemble.leader.tree.nodes


def data(ensemble: Ensemble) -> Registration:
    assert ensemble.leader is not None
    return decode_registration(ensemble.leader.tree.nodes[NODE].data)


def test_the_command_registers_says_that_it_leaves_and_goes() -> None:
    async def scenario() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        states: list[ServerState] = []

        def told(what: EndpointList | None) -> None:
            assert what is not None
            states.extend(line.server.state for line in what.lines)

        async with registered(ensemble) as (process, lines):
            await until(lambda: "n-1 is in" in lines)
            assert data(ensemble) == Registration(
                ("127.0.0.1", 4001), 3, "", "", "http", 1.0, "life-1", 7, False
            )
            members = where(ensemble).members
            source = ZooKeeperSource(EnsembleConfig(members, 2.0, "/site-a"), "/lodge/nodes", told, 1)
            source.follow(True)
            await until(lambda: states == [ServerState.READY])
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            await until(lambda: states[-1] is ServerState.REMOVED)
            assert states == [ServerState.READY, ServerState.DRAINING, ServerState.REMOVED]
            source.stop()
        said = [line for line in lines if line.startswith("n-1 is")]
        assert said == ["n-1 is in", "n-1 is leaving", "n-1 is out"]
        assert not any("opensesame" in line for line in lines)
        ensemble.stop()

    play(scenario())


def test_a_killed_process_s_node_stays_until_its_session_ends() -> None:
    async def scenario() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        async with registered(ensemble) as (process, lines):
            await until(lambda: "n-1 is in" in lines)
            process.kill()
            await process.wait()
            assert there(ensemble) and not data(ensemble).draining
            await until(lambda: not there(ensemble))
            assert ensemble.expired
        ensemble.stop()

    play(scenario())


def test_nobody_else_may_write_or_delete_what_a_secret_protects() -> None:
    async def scenario() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        registration = Registration(("127.0.0.1", 4001), 1, "m", "a", "http", 1.0, "life", 0)
        members = where(ensemble).members
        owner = Registrar(
            EnsembleConfig(members, 5.0, "/site-a", SECRET), "/lodge/nodes", "n-1", registration, seed=1
        )
        owner.start()
        await until(lambda: owner.state is RegistrationState.REGISTERED)
        for secret in ("", "broker:wrong"):
            other = Session(
                EnsembleConfig(members, 5.0, "/site-a", secret), lambda _: None, lambda *_: None, 2
            )
            other.start()
            await until(partial(is_live, other))
            assert (await other.get("/lodge/nodes/n-1"))[0] == registration.encode()  # all may read
            for attempt in (other.set("/lodge/nodes/n-1", b"x"), other.delete("/lodge/nodes/n-1")):
                with pytest.raises(ZooKeeperError, match="NO_AUTH"):
                    await attempt
            other.stop()
        assert there(ensemble) and data(ensemble) == registration
        owner.crash()
        again = Session(EnsembleConfig(members, 5.0, "/site-a", SECRET), lambda _: None, lambda *_: None, 3)
        again.start()
        await until(lambda: again.state is SessionState.CONNECTED)
        await again.set("/lodge/nodes/n-1", b"mine")  # the same secret is the same owner
        again.stop()
        ensemble.stop()

    play(scenario())


def test_a_refused_write_says_why() -> None:
    async def scenario() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        session = Session(where(ensemble), lambda _: None, lambda *_: None, 1)
        session.start()
        await until(lambda: session.state is SessionState.CONNECTED)
        await session.create("/once", b"", OPEN_ACL)
        with pytest.raises(ZooKeeperError) as refused:
            await session.create("/once", b"", OPEN_ACL)
        assert refused.value.code == ErrorCode.NODE_EXISTS and str(refused.value) == "NODE_EXISTS"
        session.stop()
        ensemble.stop()

    play(scenario())


@pytest.mark.parametrize("wrong", [["--address", "nowhere"], ["--ensemble", "a:b,c"]])
def test_bad_arguments_end_the_command_with_one_line(
    wrong: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    good = ["--ensemble", "127.0.0.1:1", "--name", "n", "--address", "127.0.0.1:2"]
    assert registrar_command.main([*good, *wrong]) == 2
    assert len(capsys.readouterr().err.strip().splitlines()) == 1


# -- Many at once ------------------------------------------------------------------------------------

SOURCES, NODES = 40, 30


@contextlib.asynccontextmanager
async def crowd() -> AsyncIterator[tuple[Ensemble, list[ZooKeeperSource], list[dict[str, ServerState]]]]:
    """Many sources on one ensemble, all of which have its nodes."""
    logging.getLogger("topazbank.discovery").setLevel(logging.WARNING)
    ensemble = Ensemble(3)
    await ensemble.start()
    asker = await asker_of(ensemble)

    def create(draft: object) -> None:
        draft.create("/nodes", b"", jute.OPEN_ACL, 0)  # type: ignore[attr-defined]
        for number in range(NODES):
            draft.create(f"/nodes/n-{number}", registration(number), jute.OPEN_ACL, 0)  # type: ignore[attr-defined]

    await ensemble.submit(ensemble.members[0], asker, create)
    states: list[dict[str, ServerState]] = [{} for _ in range(SOURCES)]
    sources = []
    for number in range(SOURCES):

        def told(what: EndpointList | None, known: dict[str, ServerState] = states[number]) -> None:
            assert what is not None
            known.update({line.server.name: line.server.state for line in what.lines})

        sources.append(ZooKeeperSource(where(ensemble, 5.0), "/nodes", told, number))
        sources[-1].follow(True)
    await until(lambda: all(len(each) == NODES for each in states))
    try:
        yield ensemble, sources, states
    finally:
        for source in sources:
            source.stop()
        ensemble.stop()
        logging.getLogger("topazbank.discovery").setLevel(logging.NOTSET)


def registration(number: int, draining: bool = False) -> bytes:
    return Registration(
        ("127.0.0.1", 9000 + number), 1, "m", "a", "http", 1.0, f"l-{number}", 0, draining
    ).encode()


async def asker_of(ensemble: Ensemble) -> Requester:
    session = await ensemble.open_session(ensemble.members[0], 60.0)
    return Requester(session.session_id, frozenset({("world", "anyone")}))


def test_a_change_that_all_watches_tell_is_read_once_by_each() -> None:
    async def scenario() -> None:
        async with crowd() as (ensemble, _, states):
            before = ensemble.requests.copy()
            await ensemble.submit(
                ensemble.members[0],
                await asker_of(ensemble),
                lambda draft: draft.set_data("/nodes/n-3", registration(3, draining=True), -1),
            )
            await until(lambda: all(each["n-3"] is ServerState.DRAINING for each in states))
            asked = ensemble.requests - before
            assert asked[jute.GET_DATA] == SOURCES and asked[jute.GET_CHILDREN2] == 0

    play(scenario())


def test_after_an_outage_each_client_asks_little_and_no_member_is_overrun() -> None:
    """All come back to one ensemble: four requests each, since watches are set anew and nothing is read again."""

    async def scenario() -> None:
        async with crowd() as (ensemble, sources, _):
            ensemble.outage()
            await until(lambda: all(each.session.state is SessionState.SUSPENDED for each in sources))
            connections = [each.session.connections for each in sources]
            await asyncio.sleep(0.5)
            before = ensemble.requests.copy()
            ensemble.restore()
            await until(lambda: all(each.view.connectivity is Connectivity.CONNECTED for each in sources))
            asked = ensemble.requests - before
            assert asked[jute.SYNC] <= 2 * SOURCES and asked[jute.SET_WATCHES] <= 2 * SOURCES
            assert asked[jute.GET_DATA] == 0
            again = [
                each.session.connections - former for each, former in zip(sources, connections, strict=True)
            ]
            assert max(again) <= 2  # of those that reach a member before there is a leader

    play(scenario())
