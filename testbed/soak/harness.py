"""Plays a soak over real processes, and judges it by what servers and clients noted and by processes' own counters."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import signal
import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

from testbed.backend import Run
from testbed.cluster.harness import START_S, Member, Noting, Rig, now
from testbed.cluster.invariants import Done
from testbed.cluster.scenarios import REGISTRY, Step
from testbed.fleet.invariants import ATTEMPTS_MAX, AttemptArrival, InvariantReport
from testbed.fleet.invariants import check_invariants as judge_rules
from testbed.registry.faulty import Fault, FaultyRegistry
from testbed.soak.faults import FaultSchedule
from testbed.soak.misbehaving_clients import EVENT_LOOP_SLACK_S, SEND_AFTER_LEAVE_MAX_S, MisbehavingClients
from testbed.soak.restart_clients import ConnectionFlood, PersistentClients
from testbed.soak.update_deadlines import DisturbanceHistory, DrainChange, Interval, expected_notices
from testbed.wire import Address, Message, Reply, format_address, reset_connection

# Sidecars that share discovery by the settings, in soaks without membership: it sets the rate of polls.
CONFIGURED_FLEET_SIZE = 200
SECOND_PROXY = -2  # another address of the registry, among the rig's ways
FLOOD_CONNECTIONS = 300  # connections of a crowd
PERSISTENT_CONNECTIONS = 6  # connections that are used up to the kill
MISBEHAVING_CLIENT_MAX_S = 3.5  # unruly clients of a sidecar are through by then
KILL_AFTER_S = (
    2.5 + 0.7
)  # after SIGTERM: the longest deadline of the example's classes, and what the platform adds
SETTLE_S = 3.0  # after the last fault, while calls go on
_DEFECT = re.compile(r"^.*(?:violation [a-z_]+:|Traceback|Exception in callback).*$", re.MULTILINE)


@dataclass(slots=True)
class SoakReport:
    """What came of one soak."""

    verdicts: InvariantReport
    broken: list[str] = field(default_factory=list)
    unruly: Counter[str] = field(default_factory=Counter)
    slowest_s: float = 0.0  # until an unruly client heard something
    faults: int = 0
    lasting: int = 0  # calls of clients that go on up to a kill


class FaultyBackend(Noting):
    """A server that can be told to fail a part of what it gets, or to take its time."""

    failing = 0.0  # part of the requests that are answered with an error, after they have run
    slow_s = 0.0

    async def serve(self, asked: Message) -> Any:
        reply = await super().serve(asked)
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.failing and hash(asked.ident) % 1000 < 1000 * self.failing:
            return Reply(500)
        return reply


class SoakHarness(Rig):
    """A tier's rig with faults of servers, unruly clients and a judge for both."""

    node_class = FaultyBackend

    def __init__(self, sidecars: int, seed: int, rate: float = 100.0, unruly_rate: float = 12.0) -> None:
        super().__init__(sidecars, seed, on=seed % 2 == 0, rate=rate)
        self.registry = self._faulty = FaultyRegistry()
        self._honest_rate, self._unruly_rate = rate, unruly_rate
        self._chance = random.Random(seed + 2)
        self._history = DisturbanceHistory()
        self._changes: list[DrainChange] = []
        self._ending: set[int] = (
            set()
        )  # sidecars that are told to end, or not there yet: no new clients of theirs
        self._trouble_began = 0.0
        self._by_second_way: set[int] = set()  # sidecars whose configuration names it
        self._noted_faults: Counter[str] = Counter()
        self._operators: dict[asyncio.subprocess.Process, Address] = {}  # where each is called
        self._first_list: dict[str, Any] = {}
        if not self.on:
            self.fleet_size = CONFIGURED_FLEET_SIZE

    async def do(self, step: Step) -> None:
        if step.do.startswith(("registry_", "node_")) or step.do in ("reload", "restart", "crowd"):
            self.done.append(Done(now() - self._began, step.do, step.who, step.to, step.value))
        if step.do.startswith("registry_"):
            self._trouble(step)
        elif step.do.startswith("node_"):
            for each in step.to:
                await self._node_fault(each, step)
        elif step.do == "reload":
            for number in step.who:
                self._reload(self.members[number], moves=bool(step.value))
        elif step.do == "restart":
            for number in step.who:
                self._later(self._restart(self.members[number], step.value))
        elif step.do == "crowd":
            crowd = ConnectionFlood(self._chance)
            for number in step.who:
                self._later(
                    crowd.stay(self.members[number].listen, FLOOD_CONNECTIONS, step.value, self._note)
                )
        else:
            self._remember(step)
            await super().do(step)

    def _note(self, what: str) -> None:
        self._noted_faults[what] += 1

    def _remember(self, step: Step) -> None:
        """Note what delays notice of a drain."""
        if step.do in ("tcp_hold", "tcp_cut") and REGISTRY in step.to:
            self._trouble_began = now()
        elif step.do == "tcp_heal" and REGISTRY in step.to:
            self._history.troubles.append(Interval(self._trouble_began, now()))
        for number in step.who:
            if step.do in ("upgrade", "old_dies", "new_dies", "new_hangs"):
                self._history.upgrades[number].append(now())
            elif step.do == "stop":
                self._history.pauses[number].append(Interval(now(), now() + step.value))

    # -- Discovery, signals, restarts ------------------------------------------------------------------

    def _trouble(self, step: Step) -> None:
        trouble = Fault.NONE if step.do == "registry_well" else Fault(step.do.removeprefix("registry_"))
        if trouble is Fault.NONE:
            # What was begun in a trouble may last: a late or held call ends by then, or as its caller gives it up.
            self._history.troubles.append(Interval(self._trouble_began, now()))
        else:
            self._trouble_began = now()
            if trouble is not Fault.ANSWERED_LATE:
                self._faulty.end_watches()
        self._faulty.fault = trouble

    def _reload(self, member: Member, moves: bool) -> None:
        """SIGHUP, with a configuration that names another way to discovery, or the same."""
        process = member.process
        if process is None or member.stopped or member.busy:
            return
        if moves:
            self._by_second_way ^= {member.number}
        self._configuration(member)
        self._history.signals[member.number].append(now())
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGHUP)

    async def start(self) -> None:
        await super().start()
        await self._way(SECOND_PROXY, self.registry.address)
        self._first_list = self.registry.snapshot()

    def _more_configuration(self, member: Member) -> dict[str, Any]:
        """Where discovery is for this sidecar, and the list of the beginning, as old as that may be by now."""
        more: dict[str, Any] = {}
        if member.number in self._by_second_way:
            more["discovery"] = format_address(self.ways[SECOND_PROXY].address)
        if self._first_list:
            more["known"] = self._first_list
        return more

    async def _restart(self, member: Member, pause_s: float) -> None:
        """SIGTERM, more signals behind it, SIGKILL at the earliest, and a start with the list of the beginning."""
        process = member.process
        if process is None or member.busy:
            return
        member.busy = True
        self._ending.add(member.number)
        try:
            await asyncio.sleep(MISBEHAVING_CLIENT_MAX_S)
            lasting = PersistentClients(
                member.number, member.listen, self._chance.getrandbits(32), self.clients.calls
            )
            lasting.begin(PERSISTENT_CONNECTIONS)
            await asyncio.sleep(self._chance.uniform(0.0, 0.5))
            self.clients.leave(member.number)
            process.send_signal(signal.SIGTERM)
            lasting.told_to_end()
            killing = now() + KILL_AFTER_S
            for _ in range(self._chance.randrange(4)):
                await asyncio.sleep(self._chance.uniform(0.0, 0.3))
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(self._chance.choice((signal.SIGTERM, signal.SIGHUP)))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(process.wait(), max(killing - now(), 0.0))
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await lasting.end()
            await process.wait()
            await asyncio.sleep(pause_s)
            await self._launch(member)
            self._history.starts[member.number].append(now())
        finally:
            member.busy = False
            self._ending.discard(member.number)

    async def _spawn(self, member: Member) -> asyncio.subprocess.Process:
        address = member.operators[0]
        process = await super()._spawn(member)
        self._operators[process] = address
        return process

    async def _until_up(self, member: Member, process: asyncio.subprocess.Process) -> None:
        """Without membership, by the process's own address for operators."""
        if self.on:
            await super()._until_up(member, process)
            return
        async with asyncio.timeout(START_S):
            while process.returncode is None:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(*self._operators[process])
                    writer.write(b"status\n")
                    line = await reader.readline()
                    writer.close()
                    if line.startswith(b"200"):
                        return
                await asyncio.sleep(0.05)

    # -- Servers ---------------------------------------------------------------------------------------

    async def _node_fault(self, number: int, step: Step) -> None:
        server = self.nodes[number]
        lodge = server.lodge
        assert isinstance(lodge, FaultyBackend)
        if step.do == "node_hang":
            lodge.hung = True
        elif step.do == "node_fail":
            lodge.failing = step.value
        elif step.do == "node_slow":
            lodge.slow_s = step.value
        elif step.do == "node_reset":
            for writer in list(server._writers):
                reset_connection(writer)
        elif step.do == "node_die":
            server.die()
        else:
            lodge.hung, lodge.failing, lodge.slow_s = False, 0.0, 0.0
            if server._server is None or not server._server.is_serving():
                await server.start(*server.address)

    async def soak(self, soak: FaultSchedule) -> SoakReport:
        """Play it under load, and judge it; the rig can play no other after it."""
        self._begin()
        over = asyncio.Event()
        steady = soak.steady(self.count)
        there = lambda: [each for each in steady if each not in self._ending]  # noqa: E731
        unruly = MisbehavingClients(self.seed)
        where = lambda number: self.members[number].listen  # noqa: E731
        loads = [
            asyncio.create_task(self.clients.load(self._honest_rate, over, there, where)),
            asyncio.create_task(unruly.load(self._unruly_rate, over, there, where)),
        ]
        for step in soak.steps:
            await asyncio.sleep(max(self._began + step.at - now(), 0.0))
            await self.do(step)
        while self._tasks:
            await asyncio.gather(*list(self._tasks))
        await asyncio.sleep(SETTLE_S)
        over.set()
        await asyncio.gather(*loads)
        return self._judged(soak, unruly)

    def _judged(self, soak: FaultSchedule, unruly: MisbehavingClients) -> SoakReport:
        lives = {each: [(0.0, now())] for each in range(self.count)}
        honest = {each.ident for each in self.clients.calls}
        verdicts = judge_rules(
            self.clients.calls,
            [each for each in self._reached if each.ident in honest],
            [each for each in self.log.runs if each.ident in honest],
            expected_notices(self._changes, self._history, self.count),
            lives,
            [],
        )
        judged = SoakReport(verdicts, list(verdicts.broken), faults=len(soak.steps))
        judged.unruly.update(each.what for each in unruly.found)
        judged.unruly["leaves"] = len(unruly.left)
        judged.lasting = sum(each.ident.startswith("k") for each in self.clients.calls)
        judged.slowest_s = max(
            (each.waited_s for each in unruly.found if each.what != "is slow"), default=0.0
        )
        judged.broken += [f"sidecar {each.sidecar}, {each.broken}" for each in unruly.found if each.broken]
        judged.broken += attempts_after_client_left(unruly, self._reached)
        judged.broken += duplicate_effects(unruly, self._reached, self.log.runs)
        judged.broken += self._defects()
        return judged

    def keep_logs(self, folder: Path) -> None:
        """Copy what the processes have logged, a file a sidecar, and what was done to whom, by the logs' clock."""
        folder.mkdir(parents=True, exist_ok=True)
        for member in self.members:
            (folder / f"{member.number}.log").write_text(self.logs(member.number), encoding="utf-8")
        began = time.time() - (now() - self._began)
        lines = [
            f"{datetime.fromtimestamp(began + each.at):%H:%M:%S.%f} {each.do} {each.who} {each.to} {each.value}"
            for each in self.done
        ]
        (folder / "done").write_text("\n".join(lines), encoding="utf-8")

    def _defects(self) -> list[str]:
        """Broken promises that processes counted themselves, failures in their logs, and processes that ended."""
        found = []
        for member in self.members:
            found += [
                f"sidecar {member.number}: {line[:200]}" for line in _DEFECT.findall(self.logs(member.number))
            ]
            if member.process is not None and member.process.returncode is not None:
                last = self.logs(member.number).strip().rpartition("\n")[2]
                found.append(f"sidecar {member.number} ended with {member.process.returncode}: {last[:200]}")
        return found

    def _drain(self, node: int, drains: bool) -> None:
        self.nodes[node].lodge.draining = drains
        self.registry.put(self._entry(node))
        self._changes.append(DrainChange(now(), self.nodes[node].lodge.name, drains))


def attempts_after_client_left(unruly: MisbehavingClients, reached: Sequence[AttemptArrival]) -> list[str]:
    """Attempts that began after their client had left."""
    left = {each.ident: each.at for each in unruly.left}
    return [
        f"sent {each.at - left[each.ident]:.2f} s after its client left: {each.ident} to {each.node}"
        for each in reached
        if each.ident in left and each.at > left[each.ident] + SEND_AFTER_LEAVE_MAX_S + EVENT_LOOP_SLACK_S
    ]


def duplicate_effects(
    unruly: MisbehavingClients, reached: Sequence[AttemptArrival], runs: Sequence[Run]
) -> list[str]:
    """Unruly clients' requests that had their effect more than once, or too many attempts."""
    attempts = Counter(each.ident for each in reached if each.ident in unruly.kinds)
    found = [f"{count} attempts: {ident}" for ident, count in attempts.items() if count > ATTEMPTS_MAX]
    effects: dict[str, int] = defaultdict(int)
    for run in runs:
        if unruly.kinds.get(run.ident) in ("lodge", "amend"):
            effects[run.ident] += 1
    return found + [f"ran twice: {ident}" for ident, count in effects.items() if count > 1]
