"""Injects a scenario's faults into real processes, their datagrams and their TCP connections."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Coroutine
from typing import Any

from testbed.cluster.invariants import FaultRecord
from testbed.cluster.processes import Sidecar, SidecarProcesses, now
from testbed.cluster.scenarios import TOLERATED_PAUSE_S, Step
from testbed.fleet.invariants import EndpointNotice
from testbed.fleet.load_generator import LoadGenerator
from testbed.fleet.proxy import Proxy

HANG_S = 2.0  # for which a successor that hangs is stopped
DRAIN_NOTICE_S = 0.3  # from a node's drain until all sidecars count as notified


def interrupts_calls(step: Step) -> bool:
    """Whether a step may rightly lose calls in flight; a tolerated pause loses none."""
    if step.action == "stop":
        return step.value > TOLERATED_PAUSE_S
    return step.action in ("kill", "leave", "old_dies", "new_dies", "new_hangs")


class FaultyProcesses(SidecarProcesses):
    """Processes with the faults that a scenario names."""

    def __init__(
        self,
        members: int,
        seed: int,
        clients: LoadGenerator,
        membership_on: bool = True,
        operator_extra: str = "",
    ) -> None:
        """`clients`: told which sidecars end."""
        super().__init__(members, seed, membership_on, operator_extra)
        self.clients = clients
        self.applied: list[FaultRecord] = []
        self._began_at = now()
        self._drain_notices: list[EndpointNotice] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._burners: list[asyncio.subprocess.Process] = []

    async def stop(self) -> None:
        """End all that runs."""
        for task in list(self._tasks):
            task.cancel()
        for burner in self._burners:
            with contextlib.suppress(ProcessLookupError):
                burner.kill()
        await super().stop()

    async def apply(self, step: Step) -> None:
        """Inject a fault, or end one."""
        self.applied.append(FaultRecord.of(step, now() - self._began_at))
        if step.action in ("loss", "delay", "doubled"):
            setattr(self.relay, {"delay": "delay_s"}.get(step.action, step.action), step.value)
        elif step.action == "cut":
            self.relay.cuts |= {(sender, receiver) for sender in step.members for receiver in step.targets}
        elif step.action == "heal":
            self.relay.cuts.clear()
        elif step.action == "busy":
            self._run_beside(self._burn(step.value))
        elif step.targets:
            self._apply_to_targets(step)
        elif step.action in ("stop", "kill"):
            for number in step.members:  # all at once
                self._signal(self.members[number], step)
        else:
            for number in step.members:
                self._run_beside(self._change(self.members[number], step))

    def _apply_to_targets(self, step: Step) -> None:
        """Inject a fault of nodes, or of TCP to nodes or the registry."""
        for target in step.targets:
            if step.action.startswith("tcp_"):
                self._apply_tcp(self.proxies[target], step.action)
            elif step.action in ("refuse", "accept"):
                self.nodes[target].backend.draining = step.action == "refuse"
            elif step.action in ("drain", "undrain"):
                self._drain(target, step.action == "drain")

    def _run_beside(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- Processes -------------------------------------------------------------------------------------

    def _signal(self, member: Sidecar, step: Step) -> None:
        process = member.process
        if process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            if step.action == "kill":
                process.kill()
                member.process = None
                self.clients.close_idle(member.number)
                self._run_beside(self._reap(process))
                return
            process.send_signal(signal.SIGSTOP)
            member.is_stopped = True
            self._run_beside(self._resume(member, process, step.value))

    @staticmethod
    async def _reap(process: asyncio.subprocess.Process) -> None:
        await process.wait()

    @staticmethod
    async def _resume(member: Sidecar, process: asyncio.subprocess.Process, after_s: float) -> None:
        await asyncio.sleep(after_s)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
        member.is_stopped = False

    async def _change(self, member: Sidecar, step: Step) -> None:
        """Start a member, let it leave, or upgrade it."""
        if step.action == "leave" and member.process is not None:
            await self._leave(member, member.process)
            return
        is_start = step.action == "start" and member.process is None
        is_upgrade = (
            step.action not in ("start", "leave") and member.process is not None and not member.is_changing
        )
        if not is_start and not is_upgrade:
            return
        member.is_changing = True
        try:
            await (self._launch(member) if is_start else self._upgrade(member, step))
        finally:
            member.is_changing = False

    async def _leave(self, member: Sidecar, process: asyncio.subprocess.Process) -> None:
        member.process = None
        self.clients.close_idle(member.number)
        process.send_signal(signal.SIGTERM)
        await process.wait()

    async def _upgrade(self, member: Sidecar, step: Step) -> None:
        """Start a second process beside the first; then the first ends, or the step's failure happens."""
        old = member.process
        assert old is not None
        new = await self._spawn(member)
        if step.action != "upgrade":
            await asyncio.sleep(step.value)
        if step.action in ("upgrade", "old_dies"):
            await self._succeed(member, old, new, kill_old=step.action == "old_dies")
            return
        if step.action == "new_hangs":
            new.send_signal(signal.SIGSTOP)
            await asyncio.sleep(HANG_S)
        with contextlib.suppress(ProcessLookupError):
            new.kill()
        await new.wait()
        member.admin_addresses.reverse()  # the old process keeps its own
        await self._wait_until_up(member, old)

    async def _succeed(
        self,
        member: Sidecar,
        old: asyncio.subprocess.Process,
        new: asyncio.subprocess.Process,
        kill_old: bool,
    ) -> None:
        member.process = new
        if kill_old:
            old.kill()
            self.clients.close_idle(member.number)
        await self._wait_until_up(member, new)
        if not kill_old:
            old.send_signal(signal.SIGTERM)
        await old.wait()

    async def _burn(self, seconds: float) -> None:
        """Keep all cores busy beside the processes."""
        code = f"import time\nend=time.monotonic()+{seconds}\nwhile time.monotonic()<end: pass"
        for _ in range(os.cpu_count() or 1):
            self._burners.append(await asyncio.create_subprocess_exec(sys.executable, "-c", code))
        for burner in self._burners:
            await burner.wait()
        self._burners.clear()

    # -- TCP and nodes ---------------------------------------------------------------------------------

    @staticmethod
    def _apply_tcp(proxy: Proxy, action: str) -> None:
        if action == "tcp_cut":
            proxy.cut()
        elif action == "tcp_hold":
            proxy.hold(forth=False)  # a request held on its way would reach its node after its final answer
        else:
            proxy.heal()

    def _drain(self, node: int, is_draining: bool) -> None:
        self.nodes[node].backend.draining = is_draining
        self.registry.put(self._entry(node))
        name = self.nodes[node].backend.name
        notified_at = now() + (DRAIN_NOTICE_S if is_draining else 0.0)
        self._drain_notices += [
            EndpointNotice(notified_at, sidecar, name, not is_draining) for sidecar in range(self.count)
        ]

    def _end_faults(self) -> None:
        """End all faults of the network."""
        self.relay.cuts.clear()
        self.relay.loss = self.relay.delay_s = self.relay.doubled = 0.0
        for proxy in self.proxies.values():
            proxy.heal()
