"""Two processes that are one sidecar, as the platform starts and ends them, with clients that go on meanwhile."""

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


def kept_port() -> socket.socket:
    """Bound and not listening: a program may listen there, and no connection is given the port meanwhile."""
    sock = socket.socket()
    for each in (socket.SO_REUSEADDR, socket.SO_REUSEPORT):
        sock.setsockopt(socket.SOL_SOCKET, each, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


class Sidecars:
    """The processes of one sidecar, by number; each has an operators' address of its own."""

    def __init__(self, folder: Path, server: FakeServer, discovery: FakeDiscovery) -> None:
        self._folder = folder
        self._kept = [kept_port()]
        self.listen: Address = self._kept[0].getsockname()
        self._given = {
            "listen": f"127.0.0.1:{self.listen[1]}",
            "discovery": "{}:{}".format(*discovery.address),
            "seed": "8c1f",
            "known": {"index": 1, "snapshot": True, "endpoints": [server.entry()]},
            "settings": SETTINGS,
        }
        self.processes: list[asyncio.subprocess.Process] = []
        self.desks: list[Address] = []

    async def start(self, **given: Any) -> asyncio.subprocess.Process:
        self._kept.append(kept_port())
        desk: Address = self._kept[-1].getsockname()
        path = self._folder / f"config{len(self.processes)}.json"
        path.write_text(json.dumps(self._given | given), encoding="utf-8")
        environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        environ |= {
            "RELAY_CONFIG": str(path),
            "RELAY_OPERATOR": f"127.0.0.1:{desk[1]}",
            "TMPDIR": str(self._folder),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "topazbank", cwd=ROOT, env=environ, stderr=asyncio.subprocess.DEVNULL
        )
        self.processes.append(process)
        self.desks.append(desk)
        return process

    def stop(self) -> None:
        for each in self._kept:
            each.close()

    async def call(self, number: int, word: str) -> str:
        reader, writer = await asyncio.open_connection(*self.desks[number])
        writer.write(word.encode() + b"\n")
        line = await asyncio.wait_for(reader.read(), PATIENCE_S)
        writer.close()
        return line.decode()

    async def serves(self, number: int) -> None:
        """Wait for this process's yes."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                with contextlib.suppress(OSError):
                    if (await self.call(number, "status")).startswith("200"):
                        return
                await asyncio.sleep(0.01)


class Load:
    """Clients that go on asking, on kept connections and on new ones; whatever goes wrong at the door is counted."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._stopped = False
        self.served = 0
        self.lost: list[str] = []
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        self._tasks = [asyncio.create_task(self._ask(number)) for number in range(8)]

    async def stop(self) -> None:
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def _ask(self, number: int) -> None:
        """Every other client keeps its connection; a close that crosses a request is asked again once, as told."""
        count = 0
        link: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while not self._stopped:
            count += 1
            data = request("pay", body=b"x", X_Call_Id=f"{number}-{count}")
            fresh = link is None
            try:
                link = link or await asyncio.open_connection(*self._address)
                link[1].write(data)
                status, headers, _ = await read_answer(link[0])
            except (OSError, asyncio.IncompleteReadError) as broken:
                link = None
                if fresh:
                    self.lost.append(f"{number}-{count}: {broken!r}")
                count -= not fresh
                continue
            self.served += status == 200
            if status != 200:
                self.lost.append(f"{number}-{count}: {status}")
            if number % 2 or headers.get("connection") == "close":
                link[1].close()
                link = None
            await asyncio.sleep(0.002)
        if link is not None:
            link[1].close()


@contextlib.asynccontextmanager
async def sidecars(folder: Path) -> AsyncIterator[tuple[Sidecars, Load, FakeServer]]:
    server, discovery = FakeServer("s-0", lambda *_: answer(200, b"served")), FakeDiscovery()
    await server.start()
    await discovery.start()
    made = Sidecars(folder, server, discovery)
    load = Load(made.listen)
    try:
        yield made, load, server
    finally:
        for each in made.processes:
            with contextlib.suppress(ProcessLookupError):
                each.send_signal(signal.SIGCONT)
                each.kill()
            await each.wait()
        made.stop()
        server.stop()
        discovery.stop()


def test_upgrades_in_a_row_lose_nothing_and_run_nothing_twice(tmp_path: Path) -> None:
    async def scene() -> None:
        async with sidecars(tmp_path) as (made, load, server):
            await made.start()
            await made.serves(0)
            load.start()
            for number in range(1, 4):
                await made.start()
                await made.serves(number)
                before = made.processes[number - 1]
                before.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(before.wait(), PATIENCE_S) == 0
                reached = load.served + 50
                await until(lambda reached=reached: load.served > reached)  # type: ignore[misc]
            await load.stop()
            assert not load.lost
            ran = [headers["x-call-id"] for _, headers, _ in server.requests]
            assert len(ran) == len(set(ran)) == load.served

    play(scene())


@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.25, 0.4])
def test_a_new_process_that_is_killed_leaves_the_old_one_whole_and_the_next_takes_over(
    tmp_path: Path, after_s: float
) -> None:
    async def scene() -> None:
        async with sidecars(tmp_path) as (made, load, _):
            await made.start()
            await made.serves(0)
            load.start()
            killed = await made.start()
            await asyncio.sleep(after_s + 0.05 * random.Random(after_s).random())
            killed.kill()
            await killed.wait()
            await made.start()
            await made.serves(2)
            made.processes[0].send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(made.processes[0].wait(), PATIENCE_S) == 0
            reached = load.served + 50
            await until(lambda: load.served > reached)
            await load.stop()
            # What the killed process had accepted breaks with it; nothing else may.
            assert len(load.lost) <= 8

    play(scene())


def test_a_new_process_with_a_bad_configuration_changes_nothing(tmp_path: Path) -> None:
    async def scene() -> None:
        async with sidecars(tmp_path) as (made, load, _):
            await made.start()
            await made.serves(0)
            load.start()
            bad = await made.start(settings=None)
            assert await asyncio.wait_for(bad.wait(), PATIENCE_S) == 2
            reached = load.served + 50
            await until(lambda: load.served > reached)
            await load.stop()
            assert not load.lost and (await made.call(0, "status")) == "200 serving\n"

    play(scene())


def test_a_hung_old_process_and_a_stale_path_are_done_without(tmp_path: Path) -> None:
    async def scene() -> None:
        async with sidecars(tmp_path) as (made, _, _):
            await made.start()
            await made.serves(0)
            made.processes[0].send_signal(signal.SIGSTOP)
            await made.start()
            await made.serves(1)  # it listens beside the hung one
            made.processes[0].send_signal(signal.SIGCONT)
            for each in made.processes:
                each.kill()
                await each.wait()
            assert list(tmp_path.glob("*.sock"))  # left behind by both
            await made.start()
            await made.serves(2)
            assert (await ask(made.listen, request()))[0] == 200

    play(scene())


def test_a_drain_by_standby_is_over_in_time_and_active_ends_it(tmp_path: Path) -> None:
    async def scene() -> None:
        async with sidecars(tmp_path) as (made, load, _):
            await made.start()
            await made.serves(0)
            reader, writer = await asyncio.open_connection(*made.listen)
            writer.write(request())
            assert (await read_answer(reader))[0] == 200
            load.start()
            assert await made.call(0, "standby") == "200 emptying\n"
            assert (await ask(made.listen, request(path="/health/ready")))[0] == 503
            assert await asyncio.wait_for(reader.read(), PATIENCE_S) == b""  # one that sits idle is let go
            await load.stop()
            async with asyncio.timeout(4.0):
                while await made.call(0, "status") != "200 empty\n":
                    await asyncio.sleep(0.02)
            assert await made.call(0, "active") == "200 serving\n"
            assert (await ask(made.listen, request(path="/health/ready")))[0] == 200
            assert made.processes[0].returncode is None and not load.lost
            writer.close()

    play(scene())


def test_a_path_that_cannot_be_connected_to_gives_nothing(tmp_path: Path) -> None:
    assert take_over(None).client_socket is None
    assert take_over(tmp_path / "none.sock").client_socket is None
    (tmp_path / "file.sock").write_text("x", encoding="utf-8")
    assert take_over(tmp_path / "file.sock").client_socket is None
    deep = tmp_path / ("d" * 100) / ("e" * 100)
    deep.mkdir(parents=True)
    with socket.socket(socket.AF_UNIX) as sock:
        folder = os.open(deep, os.O_RDONLY)
        sock.bind(f"/proc/self/fd/{folder}/hung.sock")
        os.close(folder)
        sock.listen(1)
        assert take_over(deep / "hung.sock").client_socket is None  # nobody answers there
