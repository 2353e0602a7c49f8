"""`make demo`: declarations through one sidecar while a node dies and another drains.

Six lodge nodes of three speeds, three in a pod that speaks HTTP and three in one that speaks MessagePack-RPC, and
clients of both protocols.  A third of the way in one node dies, later it comes back cold; at half time another
drains.  The table at the end is made of what clients got and of the nodes' own logs.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from testbed.backend import SPEED_RATIOS, Backend, BackendServer, IdempotencyCache, RunLog
from testbed.clients import Client, ClientCall, new_client
from testbed.ports import free_addresses, private_loopback_host
from testbed.registry import Registry
from testbed.wire import HTTP, MSGPACK_RPC, Address, Message, format_address
from testbed.zookeeper import Ensemble
from topazbank.discovery.registrar import Registrar
from topazbank.discovery.registration import Registration
from topazbank.discovery.zkclient import EnsembleConfig

ROOT = Path(__file__).parent.parent.parent
EXAMPLE = ROOT / "deploy" / "example.json"
OPERATOR = ROOT / "deploy" / "operator.toml"
PROTOCOLS = (HTTP, MSGPACK_RPC)
KINDS = ("check", "amend", "lodge")
WORK_S = {"check": 0.008, "amend": 0.012, "lodge": 0.020}  # on a standard machine
RATE = 700  # calls a second, of both protocols together
NODES = "/lodge/nodes"  # where nodes register, with --membership zookeeper
SESSION_S = 1.5  # the time-out of their sessions
SLOTS = 2  # of each node: some seven tenths of what the six can do is asked for
RPC_CONNECTIONS = 2  # that all MessagePack-RPC clients share
HTTP_CONNECTIONS = 64


def work(asked: Message) -> float:
    return WORK_S[asked.kind]


class Fleet:
    """The nodes, and the registry or the ensemble that lists them."""

    def __init__(self, membership: str) -> None:
        self.log = RunLog()
        self.registry = Registry()
        self.ensemble = Ensemble(3) if membership == "zookeeper" else None
        self._registrars: dict[str, Registrar] = {}
        self.servers: dict[str, BackendServer] = {}
        self._memories = {protocol: IdempotencyCache() for protocol in PROTOCOLS}

    async def start(self) -> None:
        await self.registry.start()
        if self.ensemble is not None:
            await self.ensemble.start()
        for pod, protocol in enumerate(PROTOCOLS, start=1):
            for speed in SPEED_RATIOS:
                await self.launch(f"{speed}-{pod}", protocol, pod, speed)

    async def launch(self, name: str, protocol: str, pod: int, speed: str, cold_s: float = 0.0) -> None:
        memory = self._memories[protocol]
        lodge = Backend(
            name,
            self.log,
            time.monotonic,
            SPEED_RATIOS[speed],
            cold_s=cold_s,
            slots=SLOTS,
            work=work,
            memory=memory,
        )
        server = BackendServer(lodge, protocol, pod, speed)
        server.started_ms = int(time.time() * 1000) if cold_s else 0
        await server.start()
        self.servers[name] = server
        if self.ensemble is None:
            self.registry.put(server.entry())
        else:
            self._register(server)

    def _register(self, server: BackendServer) -> None:
        assert self.ensemble is not None
        lodge = server.lodge
        registration = Registration(
            server.address,
            server.pod,
            server.kind,
            "a",
            server.protocol,
            lodge.speed,
            f"{lodge.name}-{server.started_ms}",
            server.started_ms,
        )
        registrar = Registrar(
            EnsembleConfig(self.ensemble.addresses, SESSION_S), NODES, lodge.name, registration
        )
        self._registrars[lodge.name] = registrar
        registrar.start()

    def die(self, name: str) -> None:
        """The node's process is killed: its connections break, and its session with them a while later."""
        self.servers[name].die()
        if name in self._registrars:
            self._registrars[name].crash()

    def operator_file(self, folder: Path) -> Path:
        """The deployed operator file, with the ensemble where there is one."""
        path = folder / "operator.toml"
        text = OPERATOR.read_text(encoding="utf-8")
        if self.ensemble is not None:
            members = ", ".join(f'"{format_address(each)}"' for each in self.ensemble.addresses)
            text += (
                f'\n[membership]\nsources = ["zookeeper"]\n[membership.zookeeper]\nmembers = [{members}]\n'
            )
            text += f'path = "{NODES}"\n[admin]\nroster = true\n'
        path.write_text(text, encoding="utf-8")
        return path

    def drain(self, name: str) -> None:
        """The node says that it leaves, and takes nothing new from half a second later on."""
        server = self.servers[name]
        if name in self._registrars:
            self._leaving = asyncio.get_running_loop().create_task(self._registrars[name].drain())
        else:
            self.registry.put(server.entry(status="leaving"))
        asyncio.get_running_loop().call_later(0.5, server.drain)

    def stop(self) -> None:
        for name in self.servers:
            self.die(name)
        self.registry.stop()
        if self.ensemble is not None:
            self.ensemble.stop()


@contextlib.asynccontextmanager
async def sidecar(fleet: Fleet, folder: Path) -> AsyncIterator[Address]:
    """The real program, with the example configuration made to fit; its log goes to a file in `folder`."""
    (listen,) = free_addresses(private_loopback_host(), 1)
    given: dict[str, Any] = json.loads(EXAMPLE.read_text(encoding="utf-8"))
    given |= {
        "listen": format_address(listen),
        "discovery": format_address(fleet.registry.address),
        "known": fleet.registry.snapshot(),
    }
    path = folder / "config.json"
    path.write_text(json.dumps(given), encoding="utf-8")
    environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    with open(folder / "sidecar.log", "wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "topazbank",
            "--operator",
            str(fleet.operator_file(folder)),
            cwd=ROOT,
            env=environ | {"RELAY_CONFIG": str(path)},
            stderr=log,
        )
    try:
        async with asyncio.timeout(20.0):
            while True:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(*listen)
                    writer.close()
                    break
                await asyncio.sleep(0.05)
        yield listen
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGTERM)
        await process.wait()


class Clients:
    """Calls of both protocols at a steady rate; what each got is counted."""

    def __init__(self, target: Address, seed: int) -> None:
        self._random = random.Random(seed)
        self._target = target
        self._callers: dict[str, list[Client]] = {
            HTTP: [new_client(HTTP, target) for _ in range(HTTP_CONNECTIONS)],
            MSGPACK_RPC: [new_client(MSGPACK_RPC, target) for _ in range(RPC_CONNECTIONS)],
        }
        self._out: set[asyncio.Task[None]] = set()
        self.got: Counter[tuple[str, str, str]] = Counter()  # by protocol, class and verdict
        self.of: dict[str, tuple[str, str]] = {}  # protocol and class by id
        self.count = 0

    async def send(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        while loop.time() < began + seconds:
            self.one()
            await asyncio.sleep(max(began + self.count / RATE - loop.time(), 0))
        await asyncio.gather(*self._out)

    def one(self) -> None:
        self.count += 1
        protocol = PROTOCOLS[self.count % 2]
        kind = self._random.choices(KINDS, (6, 1, 3))[0]
        ident = f"{protocol[0]}{self.count:07x}"
        key = f"key-{ident}" if kind == "amend" else None
        body = b"" if kind == "check" else b"declaration " + ident.encode()
        self.of[ident] = (protocol, kind)
        wish = ClientCall(kind, ident, f"/api/{self._random.getrandbits(64):016x}", body, 2.0, None, key)
        task = asyncio.get_running_loop().create_task(self._call(protocol, wish))
        self._out.add(task)
        task.add_done_callback(self._out.discard)

    async def _call(self, protocol: str, wish: ClientCall) -> None:
        callers = self._callers[protocol]
        if protocol == HTTP:  # one call at a time on a connection: take one that is free, or a new one
            one = callers.pop() if callers else new_client(HTTP, self._target)
        else:
            one = callers[int(wish.ident[1:], 16) // 2 % len(callers)]
        got = await one.call(wish)
        if protocol == HTTP:
            callers.append(one)
        self.got[protocol, wish.kind, got.verdict] += 1

    def close(self) -> None:
        for callers in self._callers.values():
            for each in callers:
                each.close()


async def troubles(fleet: Fleet, seconds: float) -> None:
    """One node dies and comes back cold; one drains."""
    await asyncio.sleep(seconds / 3)
    dying = fleet.servers["fast-2"]
    for _ in range(1000):  # 2 s at most, until it holds enough to show what becomes of it
        if dying.lodge.held >= 3:
            break
        await asyncio.sleep(0.002)
    say(f"fast-2 (msgpack-rpc) dies under {dying.lodge.held} calls")
    fleet.die("fast-2")
    await asyncio.sleep(seconds / 6)
    say("slow-1 (http) says that it leaves")
    fleet.drain("slow-1")
    await asyncio.sleep(seconds / 6)
    say("fast-2 is back, cold")
    await fleet.launch("fast-2", MSGPACK_RPC, 2, "fast", cold_s=5.0)


def say(text: str) -> None:
    print(f"  {text}", flush=True)


async def progress(clients: Clients, fleet: Fleet) -> None:
    before: Counter[str] = Counter()
    for second in range(1, 10_000):
        await asyncio.sleep(1.0)
        now: Counter[str] = Counter()
        for (_, _, verdict), count in clients.got.items():
            now[verdict] += count
        new = now - before
        told = ", ".join(
            f"{new[each]} {each}" for each in ("served", "refused", "failed", "lost") if new[each]
        )
        print(f"{second:>3} s: {told}; {len(fleet.log.runs)} runs so far", flush=True)
        before = now


def table(clients: Clients, fleet: Fleet) -> list[str]:
    """By class and the clients' protocol; `resent` and `run twice` are counted from the nodes' logs."""
    resent: dict[tuple[str, str], int] = defaultdict(int)
    for ident, count in fleet.log.arrived.items():
        resent[clients.of[ident]] += count - 1
    twice: dict[tuple[str, str], int] = defaultdict(int)
    for effect in fleet.log.twice(("lodge", "amend")):
        twice[clients.of[effect.removeprefix("key-")]] += 1
    heads = ("served", "refused", "failed", "lost", "resent", "run twice")
    lines = [f"{'class':<8}{'clients':<14}" + "".join(f"{head:>11}" for head in heads)]
    for kind in KINDS:
        for protocol in PROTOCOLS:
            counts = [clients.got[protocol, kind, verdict] for verdict in heads[:4]]
            counts += [resent[protocol, kind], twice[protocol, kind]]
            lines.append(f"{kind:<8}{protocol:<14}" + "".join(f"{count:>11}" for count in counts))
    return lines


async def run(seconds: float, seed: int, membership: str = "registry") -> int:
    fleet = Fleet(membership)
    await fleet.start()
    with tempfile.TemporaryDirectory() as folder:
        async with sidecar(fleet, Path(folder)) as listen:
            print(f"sidecar at {format_address(listen)}; {RATE} calls a second for {seconds:g} s")
            clients = Clients(listen, seed)
            if fleet.ensemble is not None:
                await asyncio.sleep(1.0)  # the ensemble's first list: nothing is known before it
            showing = asyncio.create_task(progress(clients, fleet))
            trouble = asyncio.create_task(troubles(fleet, seconds))
            await clients.send(seconds)
            showing.cancel()
            await trouble
            clients.close()
    fleet.stop()
    print("\n".join(table(clients, fleet)))
    lost = sum(count for (_, _, verdict), count in clients.got.items() if verdict == "lost")
    twice = len(fleet.log.twice(("lodge", "amend")))
    print(f"{clients.count} calls, {lost} lost, {twice} lodges or amends run twice")
    return 1 if lost or twice else 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="testbed.demo", description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--membership", choices=("registry", "zookeeper"), default="registry")
    given = parser.parse_args()
    return asyncio.run(run(given.seconds, given.seed, given.membership))


if __name__ == "__main__":
    sys.exit(main())
