"""Upgrades and drains of real processes under load, started and ended as the platform does."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from loopback import PATIENCE_S, FakeDiscovery, FakeServer, answer, ask, play, read_answer, request, until
from test_life import ROOT, SETTINGS

from topazbank.core.net import Address
from topazbank.operations.handover import take_over


def reserved_port() -> socket.socket:
    """Return a bound socket that doesn't listen: it reserves the port, and another process can still listen at it."""
    sock = socket.socket()
    for option in (socket.SO_REUSEADDR, socket.SO_REUSEPORT):
        sock.setsockopt(socket.SOL_SOCKET, option, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


class Sidecars:
    """The processes of one sidecar by number; each has its own admin address."""

    def __init__(self, folder: Path, server: FakeServer, discovery: FakeDiscovery) -> None:
        self._folder = folder
        self._reserved = [reserved_port()]
        self.listen: Address = self._reserved[0].getsockname()
        self._config = {
            "listen": f"127.0.0.1:{self.listen[1]}",
            "discovery": "{}:{}".format(*discovery.address),
            "seed": "8c1f",
            "known": {"index": 1, "snapshot": True, "endpoints": [server.entry()]},
            "settings": SETTINGS,
        }
        self.processes: list[asyncio.subprocess.Process] = []
        self.admin_addresses: list[Address] = []

    async def start(self, **changes: Any) -> asyncio.subprocess.Process:
        self._reserved.append(reserved_port())
        admin: Address = self._reserved[-1].getsockname()
        path = self._folder / f"config{len(self.processes)}.json"
        path.write_text(json.dumps(self._config | changes), encoding="utf-8")
        environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        environ |= {
            "RELAY_CONFIG": str(path),
            "RELAY_OPERATOR": f"127.0.0.1:{admin[1]}",
            "TMPDIR": str(self._folder),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "topazbank", cwd=ROOT, env=environ, stderr=asyncio.subprocess.DEVNULL
        )
        self.processes.append(process)
        self.admin_addresses.append(admin)
        return process

    def stop(self) -> None:
        for sock in self._reserved:
            sock.close()

    async def command(self, number: int, name: str) -> str:
        reader, writer = await asyncio.open_connection(*self.admin_addresses[number])
        writer.write(name.encode() + b"\n")
        line = await asyncio.wait_for(reader.read(), PATIENCE_S)
        writer.close()
        return line.decode()

    async def wait_until_serving(self, number: int) -> None:
        """Wait until the process answers `status` with 200."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                with contextlib.suppress(OSError):
                    if (await self.command(number, "status")).startswith("200"):
                        return
                await asyncio.sleep(0.01)


class Load:
    """Clients that continuously send requests on persistent and on new connections, and record failures."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._stopped = False
        self.served = 0
        self.failures: list[str] = []
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        self._tasks = [asyncio.create_task(self._send_requests(number)) for number in range(8)]

    async def stop(self) -> None:
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def _send_requests(self, number: int) -> None:
        """Every other client reuses its connection; a request lost to the close of a reused connection is retried."""
        count = 0
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while not self._stopped:
            count += 1
            data = request("pay", body=b"x", X_Call_Id=f"{number}-{count}")
            is_new = connection is None
            try:
                connection = connection or await asyncio.open_connection(*self._address)
                connection[1].write(data)
                status, headers, _ = await read_answer(connection[0])
            except (OSError, asyncio.IncompleteReadError) as error:
                connection = None
                if is_new:
                    self.failures.append(f"{number}-{count}: {error!r}")
                count -= not is_new
                continue
            self.served += status == 200
            if status != 200:
                self.failures.append(f"{number}-{count}: {status}")
            if number % 2 or headers.get("connection") == "close":
                connection[1].close()
                connection = None
            await asyncio.sleep(0.002)
        if connection is not None:
            connection[1].close()


@contextlib.asynccontextmanager
async def running(folder: Path) -> AsyncIterator[tuple[Sidecars, Load, FakeServer]]:
    server, discovery = FakeServer("s-0", lambda *_: answer(200, b"served")), FakeDiscovery()
    await server.start()
    await discovery.start()
    sidecars = Sidecars(folder, server, discovery)
    load = Load(sidecars.listen)
    try:
        yield sidecars, load, server
    finally:
        for process in sidecars.processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        sidecars.stop()
        server.stop()
        discovery.stop()


def test_no_request_fails_or_runs_twice_over_upgrades_in_a_row(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(tmp_path) as (sidecars, load, server):
            await sidecars.start()
            await sidecars.wait_until_serving(0)
            load.start()
            for number in range(1, 4):
                await sidecars.start()
                await sidecars.wait_until_serving(number)
                predecessor = sidecars.processes[number - 1]
                predecessor.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(predecessor.wait(), PATIENCE_S) == 0
                target = load.served + 50
                await until(lambda target=target: load.served > target)  # type: ignore[misc]
            await load.stop()
            assert not load.failures
            handled_ids = [headers["x-call-id"] for _, headers, _ in server.requests]
            assert len(handled_ids) == len(set(handled_ids)) == load.served

    play(scenario())


@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.25, 0.4])
def test_a_new_process_killed_during_its_start_does_not_harm_the_old_one(
    tmp_path: Path, after_s: float
) -> None:
    """A second process is killed during its startup, possibly while it holds the listening socket.

    The old process continues alone.  A third process takes over from it, and the old one exits on SIGTERM.
    """

    async def scenario() -> None:
        async with running(tmp_path) as (sidecars, load, _):
            await sidecars.start()
            await sidecars.wait_until_serving(0)
            load.start()
            killed = await sidecars.start()
            await asyncio.sleep(after_s + 0.05 * random.Random(after_s).random())
            killed.kill()
            await killed.wait()
            await sidecars.start()
            await sidecars.wait_until_serving(2)
            sidecars.processes[0].send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(sidecars.processes[0].wait(), PATIENCE_S) == 0
            target = load.served + 50
            await until(lambda: load.served > target)
            await load.stop()
            # Only connections that the killed process had accepted may fail: at most one per client.
            assert len(load.failures) <= 8

    play(scenario())


def test_a_new_process_with_a_bad_configuration_changes_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(tmp_path) as (sidecars, load, _):
            await sidecars.start()
            await sidecars.wait_until_serving(0)
            load.start()
            misconfigured = await sidecars.start(settings=None)
            assert await asyncio.wait_for(misconfigured.wait(), PATIENCE_S) == 2
            target = load.served + 50
            await until(lambda: load.served > target)
            await load.stop()
            assert not load.failures and (await sidecars.command(0, "status")) == "200 serving\n"

    play(scenario())


def test_a_hung_old_process_and_a_stale_socket_do_not_stop_a_start(tmp_path: Path) -> None:
    """The old process is suspended and never answers at the hand-over socket; a second process starts beside it.

    Both are then killed and leave the socket's path behind; a third process starts.
    """

    async def scenario() -> None:
        async with running(tmp_path) as (sidecars, _, _):
            await sidecars.start()
            await sidecars.wait_until_serving(0)
            sidecars.processes[0].send_signal(signal.SIGSTOP)
            await sidecars.start()
            await sidecars.wait_until_serving(1)  # with SO_REUSEPORT, beside the hung process
            sidecars.processes[0].send_signal(signal.SIGCONT)
            for process in sidecars.processes:
                process.kill()
                await process.wait()
            assert list(tmp_path.glob("*.sock"))  # the stale path of the killed processes
            await sidecars.start()
            await sidecars.wait_until_serving(2)
            assert (await ask(sidecars.listen, request()))[0] == 200

    play(scenario())


def test_a_drain_by_standby_ends_in_time_and_active_cancels_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(tmp_path) as (sidecars, load, _):
            await sidecars.start()
            await sidecars.wait_until_serving(0)
            reader, writer = await asyncio.open_connection(*sidecars.listen)
            writer.write(request())
            assert (await read_answer(reader))[0] == 200
            load.start()
            assert await sidecars.command(0, "standby") == "200 emptying\n"
            assert (await ask(sidecars.listen, request(path="/health/ready")))[0] == 503
            assert await asyncio.wait_for(reader.read(), PATIENCE_S) == b""  # the idle connection is closed
            await load.stop()
            async with asyncio.timeout(4.0):
                while await sidecars.command(0, "status") != "200 empty\n":
                    await asyncio.sleep(0.02)
            assert await sidecars.command(0, "active") == "200 serving\n"
            assert (await ask(sidecars.listen, request(path="/health/ready")))[0] == 200
            assert sidecars.processes[0].returncode is None and not load.failures
            writer.close()

    play(scenario())


def test_a_socket_that_cannot_be_connected_to_gives_an_empty_state(tmp_path: Path) -> None:
    assert take_over(None).client_socket is None
    assert take_over(tmp_path / "none.sock").client_socket is None
    (tmp_path / "file.sock").write_text("x", encoding="utf-8")
    assert take_over(tmp_path / "file.sock").client_socket is None
    long_folder = tmp_path / ("d" * 100) / ("e" * 100)
    long_folder.mkdir(parents=True)
    with socket.socket(socket.AF_UNIX) as sock:
        folder = os.open(long_folder, os.O_RDONLY)
        sock.bind(f"/proc/self/fd/{folder}/hung.sock")
        os.close(folder)
        sock.listen(1)
        assert take_over(long_folder / "hung.sock").client_socket is None  # nothing answers
