"""A tier of real processes: the program as `run` starts it, N times, with nodes, the registry and honest clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from testbed.backend import Backend, BackendServer, IdempotencyCache, RunLog
from testbed.cluster.invariants import Done, Found, Looked, Noted, judge
from testbed.cluster.relay import Relay
from testbed.cluster.scenarios import NODES, PAUSE_BORNE_S, REGISTRY, Script, Step
from testbed.fleet.invariants import AttemptArrival, EndpointNotice, InvariantReport
from testbed.fleet.invariants import check_invariants as judge_rules
from testbed.fleet.load_generator import LoadGenerator
from testbed.fleet.proxy import Proxy
from testbed.ports import free_addresses, private_loopback_host
from testbed.registry import Registry
from testbed.wire import HTTP, MSGPACK_RPC, Address, Message, format_address
from topazbank.cluster.__main__ import ask_tier

ROOT = Path(__file__).parent.parent.parent
EXAMPLE = ROOT / "deploy" / "example.json"
COMPILED = ROOT / ".venv" / "compiled"
START_S = 60.0  # for a process to come up, on a machine that is busy
LOOK_S = 0.25  # between two accounts of each process's view
WORK_S = {"check": 0.004, "amend": 0.006, "lodge": 0.010}
HUNG_S = 2.0  # that a process stands still which came to take over
TOLD_S = 0.3  # from a node's drain until all are counted as told of it
OPERATOR = """
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
    return time.monotonic()


def _interrupts(step: Step) -> bool:
    """Whether calls under way may rightly be lost by it: a pause shorter than their time loses none."""
    return step.do in ("kill", "leave", "old_dies", "new_dies", "new_hangs") or (
        step.do == "stop" and step.value > PAUSE_BORNE_S
    )


class Noting(Backend):
    """A node that notes what reaches it, run or not."""

    note: Callable[[str, str], None]

    async def serve(self, asked: Message) -> Any:
        self.note(self.name, asked.request_id)
        return await super().serve(asked)


@dataclass(slots=True, eq=False)
class Member:
    """One sidecar: where it is, and its process of now."""

    number: int
    listen: Address
    hears: Address
    operators: list[Address]  # of two processes, by turns
    folder: Path
    process: asyncio.subprocess.Process | None = None
    stopped: bool = False
    busy: bool = False  # a change of process is under way: it is not asked


class Rig:
    """The processes, what surrounds them, and what was done and seen."""

    node_class: type[Noting] = Noting

    def __init__(
        self,
        members: int,
        seed: int,
        on: bool = True,
        rate: float = 60.0,
        more: str = "",
        hammer: float = 0.0,
    ) -> None:
        """`on`: whether membership is; `rate`: calls a second, over all sidecars that no fault touches.

        `more`: of the operator file.  `hammer`: calls a second to all sidecars, whose answers nobody looks at.
        """
        self._more, self._hammer = more, hammer
        self.count, self.seed, self.on, self._rate = members, seed, on, rate
        self.fleet_size = members  # as the settings tell it
        self._folder = tempfile.TemporaryDirectory(prefix="tier-")
        root, host = Path(self._folder.name), private_loopback_host()
        listens = free_addresses(host, 3 * members)  # for clients, and for operators of two processes
        hears = free_addresses(host, members, socket.SOCK_DGRAM)
        self.members = []
        for number in range(members):
            folder = root / str(number)
            folder.mkdir()
            self.members.append(
                Member(number, listens[number], hears[number], listens[members + number :: members], folder)
            )
        self.relay = Relay([each.hears for each in self.members], seed)
        self.registry = Registry()
        self.nodes: list[BackendServer] = []
        self.ways: dict[int, Proxy] = {}  # to nodes by number, and to REGISTRY
        self._words: list[EndpointNotice] = []  # of nodes that drain
        self.log = RunLog()
        self._reached: list[AttemptArrival] = []
        self.done: list[Done] = []
        self._noted: set[Noted] = set()
        self.looks: list[Looked] = []
        self.lives: dict[int, int] = {}
        self._began = now()
        self._tasks: set[asyncio.Task[None]] = set()
        self.clients = LoadGenerator(random.Random(seed), protocols=(HTTP, MSGPACK_RPC))
        self.hammers = LoadGenerator(random.Random(seed + 1), "x")
        self._burners: list[asyncio.subprocess.Process] = []

    # -- Life ------------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start all, and wait until each serves and sees all others."""
        await self.relay.start()
        await self.registry.start()
        await self._way(REGISTRY, self.registry.address)
        memories = [IdempotencyCache(), IdempotencyCache()]
        for number in range(NODES):
            pod = number % 2
            lodge = self.node_class(
                f"n-{number}",
                self.log,
                now,
                1.0,
                work=lambda a: WORK_S[a.request_class],
                idempotency_cache=memories[pod],
            )
            lodge.note = lambda node, ident: self._reached.append(AttemptArrival(now(), node, ident))
            server = BackendServer(lodge, (HTTP, MSGPACK_RPC)[pod], pod + 1)
            await server.start()
            self.nodes.append(server)
            await self._way(number, server.address)
            self.registry.put(self._entry(number))
        (Path(self._folder.name) / "operator.toml").write_text(
            OPERATOR.format(on="true" if self.on else "false", ledger=self._folder.name) + self._more
        )
        await asyncio.gather(*(self._launch(each) for each in self.members))
        if self.on and not await self.until_equal(START_S):
            raise RuntimeError(f"not all see one another: {self.looks[-self.count :]}")

    async def _way(self, to: int, address: Address) -> None:
        """A proxy before it, which TCP's faults are done to."""
        self.ways[to] = Proxy(address)
        await self.ways[to].start()

    def _entry(self, node: int) -> dict[str, Any]:
        return self.nodes[node].registry_entry(address=format_address(self.ways[node].address))

    async def stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        self.clients.stop()
        self.hammers.stop()
        for each in self._burners:
            with contextlib.suppress(ProcessLookupError):
                each.kill()
        for member in self.members:
            if member.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    member.process.kill()
                await member.process.wait()
        self.relay.stop()
        for way in self.ways.values():
            way.stop()
        self.registry.stop()
        for node in self.nodes:
            node.kill()
        self._folder.cleanup()

    def _configuration(self, member: Member) -> Path:
        peers = [format_address(each) for each in self.relay.doors]
        peers[member.number] = format_address(member.hears)
        given = json.loads(EXAMPLE.read_text(encoding="utf-8"))
        given["settings"] |= {"groupSize": self.fleet_size, "me": member.number}
        given["settings"]["bounds"] |= {"mayTell": True}
        given |= {
            "listen": format_address(member.listen),
            "discovery": format_address(self.ways[REGISTRY].address),
        }
        given |= {
            "peer_listen": format_address(member.hears),
            "peers": peers,
            "seed": f"{member.number + 1:016x}",
        }
        given |= self._more_configuration(member)
        path = member.folder / "relay.json"
        path.write_text(json.dumps(given), encoding="utf-8")
        return path

    def _more_configuration(self, member: Member) -> dict[str, Any]:
        """What a rig of another kind tells its sidecars beyond that, or in its place."""
        return {}

    async def _launch(self, member: Member) -> None:
        """Start a process of this member and wait until it says that it serves."""
        process = await self._spawn(member)
        member.process, member.stopped = process, False
        if self.on:
            await self._until_up(member, process)
        else:
            await self._until_ready(member)

    async def _spawn(self, member: Member) -> asyncio.subprocess.Process:
        env = os.environ | {
            "RELAY_CONFIG": str(self._configuration(member)),
            "RELAY_LISTEN": format_address(member.listen),
            "RELAY_OPERATOR": format_address(member.operators[0]),
            "TMPDIR": str(member.folder),
        }
        member.operators.reverse()  # the next process beside this one has the other
        command = [sys.executable]
        if (COMPILED / "stamp").exists():
            env["PYTHONPATH"] = str(COMPILED)
            command.append("-P")
        operator = Path(self._folder.name) / "operator.toml"
        with open(member.folder / "log.txt", "ab") as log:
            return await asyncio.create_subprocess_exec(
                *command, "-m", "topazbank", "--operator", str(operator), cwd=ROOT, env=env, stderr=log
            )

    async def _until_ready(self, member: Member) -> None:
        async with asyncio.timeout(START_S):
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(*member.listen)
                    writer.write(b"GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                    line = await reader.readline()
                    writer.close()
                    if b" 200 " in line:
                        return
                await asyncio.sleep(0.05)

    async def _until_up(self, member: Member, process: asyncio.subprocess.Process) -> None:
        """Wait for its first account; a scene may kill it before."""
        async with asyncio.timeout(START_S):
            while process.returncode is None:
                told = await self._ask(member)
                if told is not None and told.get("pid") == process.pid:
                    return
                await asyncio.sleep(0.05)
        if process is member.process:  # no scene has killed it
            raise RuntimeError(f"member {member.number} ended: {self.logs(member.number)[-300:]}")

    # -- What the processes say ------------------------------------------------------------------------

    async def _ask(self, member: Member) -> dict[str, Any] | None:
        """A process's account; None while it gives none."""
        try:
            async with asyncio.timeout(3.0):
                return await asyncio.to_thread(ask_tier, format_address(member.listen))
        except (OSError, ValueError, TimeoutError):
            return None

    def _there(self) -> list[Member]:
        return [each for each in self.members if each.process is not None and not each.stopped]

    async def look(self) -> dict[int, dict[str, Any]]:
        """Ask all that run for their account, and note it."""
        asked = [each for each in self._there() if not each.busy]
        told = await asyncio.gather(*(self._ask(each) for each in asked))
        found = {}
        for member, account in zip(asked, told, strict=True):
            if account is None:
                continue
            found[member.number] = account
            here = {
                int(each["name"]): int(each["life"])
                for each in account["members"]
                if each["state"] in ("here", "suspected") and each["name"].isdecimal()
            }
            here[member.number] = account["life"]
            doubted = sum(each["state"] == "suspected" for each in account["members"])
            self.looks.append(Looked(now() - self._began, member.number, here, account["cut_off"], doubted))
            for each in account["changes"]:
                at = each["at"] / 1e6 - self._began
                if at >= 0.0 and each["member"].isdecimal():
                    old, new, life = each["old"], each["new"], each["life"]
                    self._noted.add(Noted(at, member.number, int(each["member"]), old, new, life))
        self.lives = {number: account["life"] for number, account in found.items()}
        return found

    def _equal(self, found: dict[int, dict[str, Any]]) -> bool:
        doubted = {each.by: each.doubted for each in self.looks}
        if any(doubted[number] for number in found):
            return False
        running = {each.number for each in self._there()}
        if set(found) != running or any(each["cut_off"] for each in found.values()):
            return False
        last = {each.by: dict(each.here) for each in self.looks}
        return all(last[number] == self.lives for number in running)

    async def until_equal(self, seconds: float) -> bool:
        """Wait until all views are equal to the truth; whether they became so."""
        end = now() + seconds
        while now() < end:
            if self._equal(await self.look()):
                return True
            await asyncio.sleep(LOOK_S / 2)
        return False

    # -- Faults ----------------------------------------------------------------------------------------

    async def do(self, step: Step) -> None:
        self.done.append(Done(now() - self._began, step.do, step.who, step.to, step.value))
        if step.do in ("loss", "delay", "doubled"):
            setattr(self.relay, {"delay": "delay_s"}.get(step.do, step.do), step.value)
        elif step.do == "cut":
            self.relay.cuts |= {(a, b) for a in step.who for b in step.to}
        elif step.do == "heal":
            self.relay.cuts.clear()
        elif step.do.startswith("tcp_"):
            for each in step.to:
                self._tcp(self.ways[each], step.do)
        elif step.do in ("refuse", "accept"):
            for each in step.to:
                self.nodes[each].backend.draining = step.do == "refuse"
        elif step.do in ("drain", "undrain"):
            for each in step.to:
                self._drain(each, step.do == "drain")
        elif step.do == "busy":
            self._later(self._burn(step.value))
        elif step.do in ("stop", "kill"):
            for number in step.who:  # all at once
                self._signal(self.members[number], step)
        else:
            for number in step.who:
                self._later(self._change(self.members[number], step))

    def _later(self, doing: Any) -> None:
        task = asyncio.get_running_loop().create_task(doing)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _signal(self, member: Member, step: Step) -> None:
        process = member.process
        if process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            if step.do == "kill":
                process.kill()
                member.process = None
                self.clients.close_idle(member.number)
                self._later(self._reap(process))
                return
            process.send_signal(signal.SIGSTOP)
            member.stopped = True
            self._later(self._wake(member, process, step.value))

    @staticmethod
    async def _reap(process: asyncio.subprocess.Process) -> None:
        await process.wait()

    async def _wake(self, member: Member, process: asyncio.subprocess.Process, after_s: float) -> None:
        await asyncio.sleep(after_s)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
        member.stopped = False

    async def _change(self, member: Member, step: Step) -> None:
        if step.do == "start" and member.process is None:
            member.busy = True
            try:
                await self._launch(member)
            finally:
                member.busy = False
        elif step.do == "leave" and member.process is not None:
            process, member.process = member.process, None
            self.clients.close_idle(member.number)
            process.send_signal(signal.SIGTERM)
            await process.wait()
        elif member.process is not None and not member.busy:
            member.busy = True
            try:
                await self._upgrade(member, step)
            finally:
                member.busy = False

    async def _upgrade(self, member: Member, step: Step) -> None:
        """A second process beside the first; then the first ends, or what the step says."""
        old = member.process
        assert old is not None
        new = await self._spawn(member)
        if step.do != "upgrade":
            await asyncio.sleep(step.value)
        if step.do in ("upgrade", "old_dies"):
            member.process = new
            if step.do == "old_dies":
                old.kill()
                self.clients.close_idle(member.number)
            await self._until_up(member, new)
            if step.do == "upgrade":
                old.send_signal(signal.SIGTERM)
            await old.wait()
            return
        if step.do == "new_hangs":
            new.send_signal(signal.SIGSTOP)
            await asyncio.sleep(HUNG_S)
        with contextlib.suppress(ProcessLookupError):
            new.kill()
        await new.wait()
        member.operators.reverse()  # the old one keeps its own
        await self._until_up(member, old)

    @staticmethod
    def _tcp(way: Proxy, do: str) -> None:
        if do == "tcp_cut":
            way.cut()
        elif do == "tcp_hold":
            way.hold(forth=False)  # a request held on its way would reach its node after its final answer
        else:
            way.heal()

    def _drain(self, node: int, drains: bool) -> None:
        self.nodes[node].backend.draining = drains
        self.registry.put(self._entry(node))
        name = self.nodes[node].backend.name
        at = now() + (TOLD_S if drains else 0.0)
        self._words += [EndpointNotice(at, each, name, not drains) for each in range(self.count)]

    async def _burn(self, seconds: float) -> None:
        """Keep every core busy beside the processes."""
        code = f"import time\nend=time.monotonic()+{seconds}\nwhile time.monotonic()<end: pass"
        for _ in range(os.cpu_count() or 1):
            self._burners.append(await asyncio.create_subprocess_exec(sys.executable, "-c", code))
        for each in self._burners:
            await each.wait()
        self._burners.clear()

    # -- Plays -----------------------------------------------------------------------------------------

    async def play(self, script: Script) -> tuple[Found, InvariantReport]:
        """Play a scene under load and judge it; afterwards all run again and see one another."""
        self._begin()
        over = asyncio.Event()
        touched = {n for step in script.steps if _interrupts(step) for n in step.who}
        served = [each.number for each in self.members if each.number not in touched]
        load = asyncio.get_running_loop().create_task(
            self.clients.run(self._rate, over, lambda: served, lambda n: self.members[n].listen)
        )
        hammering = asyncio.get_running_loop().create_task(self._hammering(over))
        watching = asyncio.get_running_loop().create_task(self._watch()) if self.on else None
        for step in script.steps:
            await asyncio.sleep(max(self._began + step.at - now(), 0.0))
            await self.do(step)
        await asyncio.sleep(max(self._began + script.faults_end_s - now(), 0.0))
        while self._tasks:
            await asyncio.gather(*list(self._tasks))
        ended = now() - self._began
        if watching is not None:
            watching.cancel()
            self.looks.clear()
            await self.until_equal(script.waits)
        over.set()
        hammering.cancel()
        await load
        noted = sorted(self._noted, key=lambda each: each.at)
        ended_script = replace(script, faults_end_s=ended)
        found = judge(ended_script, self.done, noted, self.looks, self.lives) if self.on else Found()
        lives = {each: [(0.0, now())] for each in range(self.count)}
        reached = [each for each in self._reached if not each.request_id.startswith("x-")]
        runs = [each for each in self.log.runs if not each.request_id.startswith("x-")]
        verdicts = judge_rules(self.clients.calls, reached, runs, self._words, lives, [])
        await self._restore()
        return found, verdicts

    async def _hammering(self, over: asyncio.Event) -> None:
        if self._hammer:
            there = lambda: [each.number for each in self._there()]  # noqa: E731
            await self.hammers.run(self._hammer, over, there, lambda n: self.members[n].listen)

    def extras(self) -> list[float]:
        """When attempts after a request's first reached a node, by the nodes' own notes."""
        seen: set[str] = set()
        found = []
        for each in self._reached:
            if each.request_id in seen:
                found.append(each.at)
            seen.add(each.request_id)
        return found

    @property
    def folder(self) -> Path:
        return Path(self._folder.name)

    def _begin(self) -> None:
        """What was noted of a former scene is not this one's."""
        self._began = now()
        self.done.clear()
        self._noted.clear()
        self.looks.clear()
        self.log.runs.clear()
        self._reached.clear()
        self._words.clear()
        self.clients.calls.clear()
        self.hammers.calls.clear()

    async def _watch(self) -> None:
        while True:
            await self.look()
            await asyncio.sleep(2 * LOOK_S)

    async def _restore(self) -> None:
        self.relay.cuts.clear()
        self.relay.loss = self.relay.delay_s = self.relay.doubled = 0.0
        for way in self.ways.values():
            way.heal()
        missing = [each for each in self.members if each.process is None]
        await asyncio.gather(*(self._launch(each) for each in missing))
        if missing and self.on:
            await self.until_equal(START_S)

    def logs(self, number: int) -> str:
        """What a member's processes have logged."""
        return (self.members[number].folder / "log.txt").read_text(errors="replace")
