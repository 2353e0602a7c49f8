"""The demonstration's backends, their discovery service, and the sidecar's process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from testbed.backend import SPEED_RATIOS, Backend, BackendServer, IdempotencyCache, RunLog
from testbed.ports import free_addresses, private_loopback_host
from testbed.registry import Registry
from testbed.wire import HTTP, MSGPACK_RPC, Address, Message, format_address
from testbed.zookeeper import Ensemble
from topazbank.discovery.registrar import Registrar
from topazbank.discovery.registration import Registration
from topazbank.discovery.zkclient import EnsembleConfig

ROOT = Path(__file__).parent.parent.parent
EXAMPLE_DEPLOYMENT = ROOT / "deploy" / "example.json"
OPERATOR_FILE = ROOT / "deploy" / "operator.toml"
PROTOCOLS = (HTTP, MSGPACK_RPC)
REGISTRATION_PATH = "/lodge/nodes"  # znode path, used with --membership zookeeper
SESSION_S = 1.5  # session timeout of the backends
SLOTS = 2  # per backend; the load is about 70% of the total capacity of all six
REJECTS_AFTER_DRAIN_S = 0.5
START_TIMEOUT_S = 20.0
START_POLL_S = 0.05
WORK_S = {"check": 0.008, "amend": 0.012, "lodge": 0.020}  # by class, on a standard machine


def _work(request: Message) -> float:
    return WORK_S[request.request_class]


class DemoFleet:
    """Backends of three speeds for each protocol, and the registry or ensemble that lists them."""

    def __init__(self, discovery: str) -> None:
        """`discovery`: `registry` or `zookeeper`."""
        self.log = RunLog()
        self.registry = Registry()
        self.ensemble = Ensemble(3) if discovery == "zookeeper" else None
        self.servers: dict[str, BackendServer] = {}
        self._registrars: dict[str, Registrar] = {}
        self._idempotency_caches = {protocol: IdempotencyCache() for protocol in PROTOCOLS}
        self._draining: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start discovery and all backends."""
        await self.registry.start()
        if self.ensemble is not None:
            await self.ensemble.start()
        for pod, protocol in enumerate(PROTOCOLS, start=1):
            for speed in SPEED_RATIOS:
                await self.start_backend(f"{speed}-{pod}", protocol, pod, speed)

    async def start_backend(
        self, name: str, protocol: str, pod: int, speed: str, warmup_s: float = 0.0
    ) -> None:
        """Start and register a backend; `warmup_s`: time from a cold start to full capacity, 0 for a warm start."""
        backend = Backend(
            name,
            self.log,
            time.monotonic,
            SPEED_RATIOS[speed],
            warmup_s=warmup_s,
            slots=SLOTS,
            work=_work,
            idempotency_cache=self._idempotency_caches[protocol],
        )
        server = BackendServer(backend, protocol, pod, speed)
        server.started_ms = int(time.time() * 1000) if warmup_s else 0
        await server.start()
        self.servers[name] = server
        if self.ensemble is None:
            self.registry.put(server.registry_entry())
        else:
            self._register(server, self.ensemble)

    def _register(self, server: BackendServer, ensemble: Ensemble) -> None:
        backend = server.backend
        registration = Registration(
            server.address,
            server.pod,
            server.machine_type,
            "a",
            server.protocol,
            backend.speed,
            f"{backend.name}-{server.started_ms}",
            server.started_ms,
        )
        config = EnsembleConfig(ensemble.addresses, SESSION_S)
        registrar = Registrar(config, REGISTRATION_PATH, backend.name, registration)
        self._registrars[backend.name] = registrar
        registrar.start()

    def kill_backend(self, name: str) -> None:
        """Emulate a crash of a backend: its connections are reset, and its session expires after the timeout."""
        self.servers[name].kill()
        if name in self._registrars:
            self._registrars[name].crash()

    def drain_backend(self, name: str) -> None:
        """Announce that a backend drains; it starts to reject new requests half a second later."""
        server = self.servers[name]
        if name in self._registrars:
            self._draining = asyncio.get_running_loop().create_task(self._registrars[name].drain())
        else:
            self.registry.put(server.registry_entry(status="leaving"))
        asyncio.get_running_loop().call_later(REJECTS_AFTER_DRAIN_S, server.start_draining)

    def write_operator_file(self, folder: Path) -> Path:
        """Write the deployed operator file, extended by the ensemble if one runs, and return its path."""
        path = folder / "operator.toml"
        text = OPERATOR_FILE.read_text(encoding="utf-8")
        if self.ensemble is not None:
            members = ", ".join(f'"{format_address(address)}"' for address in self.ensemble.addresses)
            text += (
                f'\n[membership]\nsources = ["zookeeper"]\n[membership.zookeeper]\nmembers = [{members}]\n'
            )
            text += f'path = "{REGISTRATION_PATH}"\n[admin]\nroster = true\n'
        path.write_text(text, encoding="utf-8")
        return path

    def stop(self) -> None:
        """Stop all backends and discovery."""
        for name in self.servers:
            self.kill_backend(name)
        self.registry.stop()
        if self.ensemble is not None:
            self.ensemble.stop()


@contextlib.asynccontextmanager
async def running_sidecar(fleet: DemoFleet, folder: Path) -> AsyncIterator[Address]:
    """Run a sidecar with the example deployment, adapted to the fleet; it logs to a file in `folder`."""
    (listen,) = free_addresses(private_loopback_host(), 1)
    deployment: dict[str, Any] = json.loads(EXAMPLE_DEPLOYMENT.read_text(encoding="utf-8"))
    deployment |= {
        "listen": format_address(listen),
        "discovery": format_address(fleet.registry.address),
        "known": fleet.registry.snapshot(),
    }
    path = folder / "config.json"
    path.write_text(json.dumps(deployment), encoding="utf-8")
    environment = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    command = (sys.executable, "-m", "topazbank", "--operator", str(fleet.write_operator_file(folder)))
    with open(folder / "sidecar.log", "wb") as log:
        process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment | {"RELAY_CONFIG": str(path)}, stderr=log
        )
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            await _wait_until_listening(listen)
        yield listen
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGTERM)
        await process.wait()


async def _wait_until_listening(address: Address) -> None:
    while True:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*address)
            writer.close()
            return
        await asyncio.sleep(START_POLL_S)
