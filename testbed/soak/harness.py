"""Runs a soak over real processes: applies the schedule's faults under load and checks the result."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections import Counter, defaultdict
from datetime import datetime
from pathlib import Path
from typing import Any

from testbed.cluster.harness import ClusterHarness
from testbed.cluster.invariants import FaultRecord
from testbed.cluster.processes import START_TIMEOUT_S, RecordingBackend, Sidecar, now
from testbed.cluster.scenarios import REGISTRY, Step
from testbed.crowds.harness import run_crowd
from testbed.crowds.memory_watch import MemoryWatch
from testbed.fleet.invariants import check_invariants
from testbed.registry.faulty import Fault, FaultyRegistry
from testbed.soak import crowds
from testbed.soak.crowds import WatchedSidecar
from testbed.soak.faults import FaultSchedule
from testbed.soak.misbehaving_clients import MisbehavingClients
from testbed.soak.report import SoakReport, defects_in_log, unexpected_exit
from testbed.soak.restart_clients import ConnectionFlood, PersistentClients
from testbed.soak.update_deadlines import DisturbanceHistory, DrainChange, Interval, expected_notices
from testbed.wire import Address, Message, Reply, format_address

# Sidecars that share discovery by the settings, in soaks without membership: it sets the rate of polls.
CONFIGURED_FLEET_SIZE = 200
SECOND_PROXY = -2  # the harness's number of a second address of the registry
FLOOD_CONNECTIONS = 300
PERSISTENT_CONNECTIONS = 6  # used up to the kill of their sidecar
MISBEHAVING_CLIENT_MAX_S = 3.5  # a sidecar's misbehaving clients have ended so long after the last one began
KILL_AFTER_S = (
    2.5 + 0.7
)  # after SIGTERM: the longest deadline of the example's classes, and the platform's margin
SETTLE_S = 3.0  # after the last fault, while calls go on
_START_POLL_S = 0.05
_OWN_ACTIONS = ("reload", "restart", "connection_flood")


class FaultyBackend(RecordingBackend):
    """A backend that can be made to fail a part of its requests, or to delay its responses."""

    failing_ratio = 0.0  # of the requests that are answered with an error after they have run
    delay_s = 0.0

    async def serve(self, request: Message) -> Any:
        """Run or reject a request, subject to the faults."""
        reply = await super().serve(request)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.failing_ratio and hash(request.request_id) % 1000 < 1000 * self.failing_ratio:
            return Reply(500)
        return reply

    def end_faults(self) -> None:
        """Serve normally again."""
        self.hung, self.failing_ratio, self.delay_s = False, 0.0, 0.0


class SoakHarness(ClusterHarness):
    """A cluster's harness with faults of backends and the registry, restarts and misbehaving clients."""

    node_class = FaultyBackend

    def __init__(self, sidecars: int, seed: int, rate: float = 100.0, misbehaving_rate: float = 12.0) -> None:
        """Rates are calls or clients a second; sidecars with odd seeds run without membership."""
        super().__init__(sidecars, seed, membership_on=seed % 2 == 0, rate=rate)
        self.registry = self._faulty_registry = FaultyRegistry()
        self._call_rate, self._misbehaving_rate = rate, misbehaving_rate
        self.clients.resends_unread = True  # judged by `connections_shut_unread`
        self._chance = random.Random(seed + 2)
        self._history = DisturbanceHistory()
        self._drain_changes: list[DrainChange] = []
        self._restarting: set[int] = set()  # sidecars that get no new clients
        self._outage_started_at = 0.0
        self._at_second_address: set[int] = (
            set()
        )  # sidecars whose configuration names the registry's second address
        self._failed_connections: Counter[str] = Counter()
        self._operators: dict[asyncio.subprocess.Process, Address] = {}  # each process's admin address
        self._memory_mb = crowds.draw_memory_mb(seed)
        self._pids: defaultdict[int, list[int]] = defaultdict(list)  # of all processes of a sidecar so far
        self._watched: dict[int, WatchedSidecar] = {}  # by number
        self._first_list: dict[str, Any] = {}
        if not self.membership_on:
            self.configured_fleet_size = CONFIGURED_FLEET_SIZE

    async def start(self) -> None:
        """Start all processes; they know the endpoint list of this moment after each start."""
        await super().start()
        await self._add_proxy(SECOND_PROXY, self.registry.address)
        self._first_list = self.registry.snapshot()

    # -- Faults ----------------------------------------------------------------------------------------

    async def apply(self, step: Step) -> None:
        """Apply one step of the schedule."""
        is_crowd = step.action.startswith(crowds.ACTION_PREFIX)
        if step.action.startswith(("registry_", "node_")) or step.action in _OWN_ACTIONS or is_crowd:
            self.applied.append(FaultRecord.of(step, now() - self._began_at))
        if step.action.startswith("registry_"):
            self._apply_registry_fault(step)
        elif step.action.startswith("node_"):
            for backend in step.targets:
                await self._apply_backend_fault(backend, step)
        elif is_crowd:
            for number in step.members:
                self._run_beside(self._run_crowd(self.members[number], step))
        elif step.action in _OWN_ACTIONS:
            for number in step.members:
                self._apply_to_sidecar(self.members[number], step)
        else:
            self._note_disturbance(step)
            await super().apply(step)

    def _apply_to_sidecar(self, member: Sidecar, step: Step) -> None:
        if step.action == "reload":
            self._reload(member, moves_discovery=bool(step.value))
        elif step.action == "restart":
            self._run_beside(self._restart(member, step.value))
        else:
            flood = ConnectionFlood(self._chance)
            self._run_beside(
                flood.hold(member.listen, FLOOD_CONNECTIONS, step.value, self._note_failed_connection)
            )

    async def _run_crowd(self, member: Sidecar, step: Step) -> None:
        """Play a crowd at a sidecar, and watch its processes from then on."""
        if member.number not in self._watched:
            watch = MemoryWatch(self._pids[member.number])
            self._watched[member.number] = WatchedSidecar(member.number, self._memory_mb, watch)
            await watch.__aenter__()
        kind = step.action.removeprefix(crowds.ACTION_PREFIX)
        made = await run_crowd(member.listen, kind, step.value, self.seed, crowds.CONNECTIONS)
        self._watched[member.number].crowd_connections += made

    def _note_failed_connection(self, reason: str) -> None:
        self._failed_connections[reason] += 1

    def _note_disturbance(self, step: Step) -> None:
        """Note what delays the notice of a drain."""
        if step.action in ("tcp_hold", "tcp_cut") and REGISTRY in step.targets:
            self._outage_started_at = now()
        elif step.action == "tcp_heal" and REGISTRY in step.targets:
            self._history.outages.append(Interval(self._outage_started_at, now()))
        for number in step.members:
            if step.action in ("upgrade", "old_dies", "new_dies", "new_hangs"):
                self._history.upgrades[number].append(now())
            elif step.action == "stop":
                self._history.pauses[number].append(Interval(now(), now() + step.value))

    def _apply_registry_fault(self, step: Step) -> None:
        fault = Fault.NONE if step.action == "registry_well" else Fault(step.action.removeprefix("registry_"))
        if fault is Fault.NONE:
            # A call that began during a fault may last longer: it ends by then, or when its caller gives it up.
            self._history.outages.append(Interval(self._outage_started_at, now()))
        else:
            self._outage_started_at = now()
            if fault is not Fault.ANSWERED_LATE:
                self._faulty_registry.end_watches()
        self._faulty_registry.fault = fault

    async def _apply_backend_fault(self, number: int, step: Step) -> None:
        server = self.nodes[number]
        backend = server.backend
        assert isinstance(backend, FaultyBackend)
        if step.action == "node_hang":
            backend.hung = True
        elif step.action == "node_fail":
            backend.failing_ratio = step.value
        elif step.action == "node_slow":
            backend.delay_s = step.value
        elif step.action == "node_reset":
            server.reset_connections()
        elif step.action == "node_die":
            server.kill()
        else:
            backend.end_faults()
            if not server.is_listening():
                await server.start(*server.address)

    def _drain(self, node: int, drains: bool) -> None:
        backend = self.nodes[node].backend
        backend.draining = drains
        self.registry.put(self._entry(node))
        self._drain_changes.append(DrainChange(now(), backend.name, drains))

    # -- Reloads and restarts --------------------------------------------------------------------------

    def _reload(self, member: Sidecar, moves_discovery: bool) -> None:
        """SIGHUP, with a configuration that names the registry's other address, or the same."""
        process = member.process
        if process is None or member.is_stopped or member.is_changing:
            return
        if moves_discovery:
            self._at_second_address ^= {member.number}
        self._configuration(member)
        self._history.reloads[member.number].append(now())
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGHUP)

    def _extra_configuration(self, member: Sidecar) -> dict[str, Any]:
        """Return the sidecar's address of the registry, and the first endpoint list, as old as that may be."""
        limits = {"cores": 1.0, "memory_mb": self._memory_mb, "sockets": crowds.DESCRIPTORS}
        more: dict[str, Any] = {"limits": limits}
        if member.number in self._at_second_address:
            more["discovery"] = format_address(self.proxies[SECOND_PROXY].address)
        if self._first_list:
            more["known"] = self._first_list
        return more

    async def _restart(self, member: Sidecar, pause_s: float) -> None:
        """SIGTERM, more signals after it, SIGKILL at the platform's earliest, a pause and a start."""
        process = member.process
        if process is None or member.is_changing:
            return
        member.is_changing = True
        self._restarting.add(member.number)
        try:
            await asyncio.sleep(MISBEHAVING_CLIENT_MAX_S)
            clients = PersistentClients(
                member.number, member.listen, self._chance.getrandbits(32), self.clients.calls
            )
            clients.start(PERSISTENT_CONNECTIONS)
            await asyncio.sleep(self._chance.uniform(0.0, 0.5))
            self.clients.close_idle(member.number)
            process.send_signal(signal.SIGTERM)
            clients.note_sigterm()
            await self._signal_and_kill(process, now() + KILL_AFTER_S)
            await clients.stop()
            await process.wait()
            await asyncio.sleep(pause_s)
            await self._launch(member)
            self._history.starts[member.number].append(now())
        finally:
            member.is_changing = False
            self._restarting.discard(member.number)

    async def _signal_and_kill(self, process: asyncio.subprocess.Process, kill_at: float) -> None:
        """Send a few more signals to a process that is ending, and SIGKILL if it has not ended in time."""
        for _ in range(self._chance.randrange(4)):
            await asyncio.sleep(self._chance.uniform(0.0, 0.3))
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(self._chance.choice((signal.SIGTERM, signal.SIGHUP)))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), max(kill_at - now(), 0.0))
        with contextlib.suppress(ProcessLookupError):
            process.kill()

    async def _spawn(self, member: Sidecar) -> asyncio.subprocess.Process:
        address = member.admin_addresses[0]
        process = await super()._spawn(member)
        self._operators[process] = address
        self._pids[member.number].append(process.pid)
        return process

    async def _wait_until_up(self, member: Sidecar, process: asyncio.subprocess.Process) -> None:
        """Without membership, ask the process itself at its admin address."""
        if self.membership_on:
            await super()._wait_until_up(member, process)
            return
        async with asyncio.timeout(START_TIMEOUT_S):
            while process.returncode is None:
                with contextlib.suppress(OSError):
                    if await _answers_status(self._operators[process]):
                        return
                await asyncio.sleep(_START_POLL_S)

    # -- The soak --------------------------------------------------------------------------------------

    async def soak(self, schedule: FaultSchedule) -> SoakReport:
        """Apply a schedule under load and check the result; a harness runs one soak."""
        self._reset_records()
        over = asyncio.Event()
        steady = schedule.steady_sidecars(self.count)

        def running_sidecars() -> list[int]:
            return [number for number in steady if number not in self._restarting]

        def address(number: int) -> Address:
            return self.members[number].listen

        misbehaving = MisbehavingClients(self.seed)
        loads = [
            asyncio.create_task(self.clients.run(self._call_rate, over, running_sidecars, address)),
            asyncio.create_task(misbehaving.run(self._misbehaving_rate, over, running_sidecars, address)),
        ]
        for step in schedule.steps:
            await asyncio.sleep(max(self._began_at + step.at - now(), 0.0))
            await self.apply(step)
        while self._tasks:
            await asyncio.gather(*list(self._tasks))
        await asyncio.sleep(SETTLE_S)
        over.set()
        await asyncio.gather(*loads)
        return self._check(schedule, misbehaving)

    def _check(self, schedule: FaultSchedule, misbehaving: MisbehavingClients) -> SoakReport:
        calls = self.clients.calls
        request_ids = {call.request_id for call in calls}
        invariants = check_invariants(
            calls,
            [arrival for arrival in self._reached if arrival.request_id in request_ids],
            [run for run in self.log.runs if run.request_id in request_ids],
            expected_notices(self._drain_changes, self._history, self.count),
            {number: [(0.0, now())] for number in range(self.count)},
            [],
        )
        report = SoakReport(invariants, list(invariants.violations), fault_count=len(schedule.steps))
        report.persistent_calls = sum(call.request_id.startswith("k") for call in calls)
        report.add_misbehaving_clients(misbehaving, self._reached, self.log.runs)
        report.violations += self._process_defects()
        for watched in self._watched.values():
            report.violations += watched.violations()
        accepted = {number: watched.crowd_connections for number, watched in self._watched.items()}
        report.violations += crowds.connections_shut_unread(calls, accepted)
        report.crowds = [
            step.action.removeprefix(crowds.ACTION_PREFIX)
            for step in schedule.steps
            if step.action.startswith(crowds.ACTION_PREFIX)
        ]
        return report

    def _process_defects(self) -> list[str]:
        """Return rules that processes saw violated, exceptions in their logs, and unexpected exits."""
        defects = []
        for member in self.members:
            log = self.logs(member.number)
            defects += defects_in_log(member.number, log)
            if member.process is not None and member.process.returncode is not None:
                defects.append(unexpected_exit(member.number, member.process.returncode, log))
        return defects

    def save_logs(self, folder: Path) -> None:
        """Write each sidecar's log to a file, and the steps applied, by the logs' clock, to the file `done`."""
        folder.mkdir(parents=True, exist_ok=True)
        for member in self.members:
            (folder / f"{member.number}.log").write_text(self.logs(member.number), encoding="utf-8")
        started_at = time.time() - (now() - self._began_at)
        lines = [
            f"{datetime.fromtimestamp(started_at + done.at):%H:%M:%S.%f} "
            f"{done.action} {done.members} {done.targets} {done.value}"
            for done in self.applied
        ]
        (folder / "done").write_text("\n".join(lines), encoding="utf-8")


async def _answers_status(address: Address) -> bool:
    """Whether a process answers at its admin address that it serves; raise OSError if nothing listens."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"status\n")
    line = await reader.readline()
    writer.close()
    return line.startswith(b"200")
