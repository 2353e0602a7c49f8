"""Real sidecar processes with what surrounds them: nodes, the registry, and a relay for the datagrams between them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from testbed.backend import Backend, BackendServer, IdempotencyCache, RunLog
from testbed.cluster.relay import Relay
from testbed.cluster.scenarios import NODES, REGISTRY
from testbed.fleet.invariants import AttemptArrival
from testbed.fleet.proxy import Proxy
from testbed.ports import free_addresses, private_loopback_host
from testbed.registry import Registry
from testbed.wire import HTTP, MSGPACK_RPC, Address, Message, format_address
from topazbank.cluster.__main__ import fetch_status

ROOT = Path(__file__).parent.parent.parent
EXAMPLE = ROOT / "deploy" / "example.json"
COMPILED = ROOT / ".venv" / "compiled"
START_TIMEOUT_S = 60.0  # for a process to come up, on a busy machine
POLL_INTERVAL_S = 0.05  # of a process that is coming up
STATUS_TIMEOUT_S = 3.0
WORK_S = {"check": 0.004, "amend": 0.006, "lodge": 0.010}
OPERATOR_FILE = """
[msgpack_rpc]
clients = true
nodes = true
[admin]
roster = true
budgets_ledger = "{ledger}"
[tier]
on = {on}
"""


def now() -> float:
    """Return the harness's clock, in seconds."""
    return time.monotonic()


class RecordingBackend(Backend):
    """A node that records each request that reaches it, whether it runs or not."""

    record: Callable[[str, str], None]

    async def serve(self, asked: Message) -> Any:
        """Record the request and serve it."""
        self.record(self.name, asked.request_id)
        return await super().serve(asked)


@dataclass(slots=True, eq=False)
class Sidecar:
    """One member: its addresses, and its current process."""

    number: int
    listen: Address
    gossip_address: Address
    admin_addresses: list[Address]  # two, for an upgrade's two processes by turns
    folder: Path
    process: asyncio.subprocess.Process | None = None
    is_stopped: bool = False
    is_changing: bool = False  # a change of its process is under way: its status is not asked for


class SidecarProcesses:
    """Starts and ends the processes, and asks them for their status."""

    node_class: type[RecordingBackend] = RecordingBackend

    def __init__(self, members: int, seed: int, membership_on: bool = True, operator_extra: str = "") -> None:
        """`operator_extra`: appended to the operator file."""
        self.count, self.seed, self.membership_on = members, seed, membership_on
        self.configured_fleet_size = members
        self._operator_extra = operator_extra
        self._temporary_folder = tempfile.TemporaryDirectory(prefix="cluster-")
        self.members = self._sidecars(members)
        self.relay = Relay([member.gossip_address for member in self.members], seed)
        self.registry = Registry()
        self.nodes: list[BackendServer] = []
        self.proxies: dict[int, Proxy] = {}  # before the nodes by number, and before REGISTRY
        self.log = RunLog()
        self._reached: list[AttemptArrival] = []

    def _sidecars(self, members: int) -> list[Sidecar]:
        host = private_loopback_host()
        listens = free_addresses(host, 3 * members)  # for clients, and two for the admin addresses
        gossip_addresses = free_addresses(host, members, socket.SOCK_DGRAM)
        sidecars = []
        for number in range(members):
            folder = self.folder / str(number)
            folder.mkdir()
            admin_addresses = listens[members + number :: members]
            sidecars.append(
                Sidecar(number, listens[number], gossip_addresses[number], admin_addresses, folder)
            )
        return sidecars

    @property
    def folder(self) -> Path:
        """Where the processes' files are."""
        return Path(self._temporary_folder.name)

    def logs(self, number: int) -> str:
        """Return what a member's processes have logged."""
        return (self.members[number].folder / "log.txt").read_text(errors="replace")

    # -- Start and stop --------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start all, and wait until each sidecar serves."""
        await self.relay.start()
        await self.registry.start()
        await self._add_proxy(REGISTRY, self.registry.address)
        memories = [IdempotencyCache(), IdempotencyCache()]
        for number in range(NODES):
            await self._start_node(number, memories[number % 2])
        on = "true" if self.membership_on else "false"
        operator_file = OPERATOR_FILE.format(on=on, ledger=self.folder) + self._operator_extra
        (self.folder / "operator.toml").write_text(operator_file)
        await asyncio.gather(*(self._launch(member) for member in self.members))

    async def _start_node(self, number: int, memory: IdempotencyCache) -> None:
        pod = number % 2
        backend = self.node_class(
            f"n-{number}",
            self.log,
            now,
            1.0,
            work=lambda asked: WORK_S[asked.request_class],
            idempotency_cache=memory,
        )
        backend.record = lambda node, ident: self._reached.append(AttemptArrival(now(), node, ident))
        server = BackendServer(backend, (HTTP, MSGPACK_RPC)[pod], pod + 1)
        await server.start()
        self.nodes.append(server)
        await self._add_proxy(number, server.address)
        self.registry.put(self._entry(number))

    async def _add_proxy(self, target: int, address: Address) -> None:
        """Put a proxy before a node or the registry, through which TCP faults are injected."""
        self.proxies[target] = Proxy(address)
        await self.proxies[target].start()

    def _entry(self, node: int) -> dict[str, Any]:
        return self.nodes[node].registry_entry(address=format_address(self.proxies[node].address))

    async def stop(self) -> None:
        """End all processes and servers."""
        for member in self.members:
            if member.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    member.process.kill()
                await member.process.wait()
        self.relay.stop()
        for proxy in self.proxies.values():
            proxy.stop()
        self.registry.stop()
        for node in self.nodes:
            node.kill()
        self._temporary_folder.cleanup()

    # -- One process -----------------------------------------------------------------------------------

    def _configuration(self, member: Sidecar) -> Path:
        """Write a member's configuration; return its path."""
        peers = [format_address(address) for address in self.relay.addresses]
        peers[member.number] = format_address(member.gossip_address)
        configuration = json.loads(EXAMPLE.read_text(encoding="utf-8"))
        configuration["settings"] |= {"groupSize": self.configured_fleet_size, "me": member.number}
        configuration["settings"]["bounds"] |= {"mayTell": True}
        configuration |= {
            "listen": format_address(member.listen),
            "discovery": format_address(self.proxies[REGISTRY].address),
            "peer_listen": format_address(member.gossip_address),
            "peers": peers,
            "seed": f"{member.number + 1:016x}",
        }
        configuration |= self._extra_configuration(member)
        path = member.folder / "relay.json"
        path.write_text(json.dumps(configuration), encoding="utf-8")
        return path

    def _extra_configuration(self, member: Sidecar) -> dict[str, Any]:
        """Return what another kind of harness adds to a configuration, or replaces in it."""
        return {}

    async def _launch(self, member: Sidecar) -> None:
        """Start a process of a member and wait until it serves."""
        process = await self._spawn(member)
        member.process, member.is_stopped = process, False
        if self.membership_on:
            await self._wait_until_up(member, process)
        else:
            await self._wait_until_ready(member)

    async def _spawn(self, member: Sidecar) -> asyncio.subprocess.Process:
        env = os.environ | {
            "RELAY_CONFIG": str(self._configuration(member)),
            "RELAY_LISTEN": format_address(member.listen),
            "RELAY_OPERATOR": format_address(member.admin_addresses[0]),
            "TMPDIR": str(member.folder),
        }
        member.admin_addresses.reverse()  # the next process runs beside this one
        command = [sys.executable]
        if (COMPILED / "stamp").exists():
            env["PYTHONPATH"] = str(COMPILED)
            command.append("-P")
        command += ["-m", "topazbank", "--operator", str(self.folder / "operator.toml")]
        with open(member.folder / "log.txt", "ab") as log:
            return await asyncio.create_subprocess_exec(*command, cwd=ROOT, env=env, stderr=log)

    async def _wait_until_ready(self, member: Sidecar) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready(member):
                await asyncio.sleep(POLL_INTERVAL_S)

    @staticmethod
    async def _is_ready(member: Sidecar) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*member.listen)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def _wait_until_up(self, member: Sidecar, process: asyncio.subprocess.Process) -> None:
        """Wait for a process's first status; a scenario may kill it before that."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while process.returncode is None:
                status = await self._status(member)
                if status is not None and status.get("pid") == process.pid:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)
        if process is member.process:  # no scenario has killed it
            raise RuntimeError(f"member {member.number} ended: {self.logs(member.number)[-300:]}")

    async def _status(self, member: Sidecar) -> dict[str, Any] | None:
        """Return the cluster's status as a process gives it; None while it gives none."""
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                return await asyncio.to_thread(fetch_status, format_address(member.listen))
        except (OSError, ValueError, TimeoutError):
            return None

    def _running(self) -> list[Sidecar]:
        return [member for member in self.members if member.process is not None and not member.is_stopped]
