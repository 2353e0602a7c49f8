"""A cluster of real processes under load: runs scenarios and judges them, by views and by what reached the nodes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

from testbed.cluster.invariants import Outcome, StateChange, ViewSample, judge
from testbed.cluster.process_faults import FaultyProcesses, interrupts_calls
from testbed.cluster.processes import START_TIMEOUT_S, now
from testbed.cluster.scenarios import Scenario
from testbed.fleet.invariants import InvariantReport
from testbed.fleet.invariants import check_invariants as judge_rules
from testbed.fleet.load_generator import LoadGenerator
from testbed.wire import HTTP, MSGPACK_RPC
from topazbank.cluster.member import MemberState
from topazbank.cluster.status import state_of_label

SAMPLE_INTERVAL_S = 0.5  # between two samples of each process's view
CONVERGENCE_POLL_S = 0.125
_HAMMER_PREFIX = "x"  # of the requests whose answers nobody looks at
_LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


class ClusterHarness(FaultyProcesses):
    """The processes, honest clients, and what was observed."""

    def __init__(
        self,
        members: int,
        seed: int,
        membership_on: bool = True,
        rate: float = 60.0,
        operator_extra: str = "",
        hammer_rate: float = 0.0,
    ) -> None:
        """`rate`: calls a second, over all sidecars that no fault touches; `operator_extra`: of the operator file.

        `hammer_rate`: calls a second to all sidecars, whose answers nobody looks at.
        """
        clients = LoadGenerator(random.Random(seed), protocols=(HTTP, MSGPACK_RPC))
        super().__init__(members, seed, clients, membership_on, operator_extra)
        self._rate, self._hammer_rate = rate, hammer_rate
        self.hammer_clients = LoadGenerator(random.Random(seed + 1), _HAMMER_PREFIX)
        self._view_changes: set[StateChange] = set()
        self.samples: list[ViewSample] = []
        self.generations: dict[int, int] = {}  # of the members that run, by their own status

    async def start(self) -> None:
        """Start all, and wait until each sidecar sees all others."""
        await super().start()
        if self.membership_on and not await self.wait_until_converged(START_TIMEOUT_S):
            raise RuntimeError(f"not all see one another: {self.samples[-self.count :]}")

    async def stop(self) -> None:
        """End all that runs."""
        self.clients.stop()
        self.hammer_clients.stop()
        await super().stop()

    # -- Views -----------------------------------------------------------------------------------------

    async def sample(self) -> dict[int, dict[str, Any]]:
        """Ask all running processes for their status, and record it; return it by member."""
        asked = [member for member in self._running() if not member.is_changing]
        answers = await asyncio.gather(*(self._status(member) for member in asked))
        statuses = {
            member.number: status for member, status in zip(asked, answers, strict=True) if status is not None
        }
        for number, status in statuses.items():
            self.samples.append(_view_sample(now() - self._began_at, number, status))
            self._view_changes.update(_state_changes(self._began_at, number, status))
        self.generations = {number: status["life"] for number, status in statuses.items()}
        return statuses

    def _has_converged(self, statuses: dict[int, dict[str, Any]]) -> bool:
        """Whether all views are true, by the last samples."""
        last = {sample.observer: sample for sample in self.samples}
        running = {member.number for member in self._running()}
        if set(statuses) != running:
            return False
        return all(
            not last[number].suspects
            and not last[number].is_isolated
            and dict(last[number].live) == self.generations
            for number in running
        )

    async def wait_until_converged(self, timeout_s: float) -> bool:
        """Wait until all views are true; return whether they became so in time."""
        end = now() + timeout_s
        while now() < end:
            if self._has_converged(await self.sample()):
                return True
            await asyncio.sleep(CONVERGENCE_POLL_S)
        return False

    async def _sample_repeatedly(self) -> None:
        while True:
            await self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    # -- Scenarios -------------------------------------------------------------------------------------

    async def run_scenario(self, scenario: Scenario) -> tuple[Outcome, InvariantReport]:
        """Run a scenario under load and judge it; afterwards all members run again and see one another."""
        self._reset_records()
        load_ended = asyncio.Event()
        load = asyncio.create_task(self._load(scenario, load_ended))
        hammering = asyncio.create_task(self._hammer(load_ended))
        sampling = asyncio.create_task(self._sample_repeatedly()) if self.membership_on else None
        await self._apply_steps(scenario)
        faults_ended_at = now() - self._began_at
        if sampling is not None:
            sampling.cancel()
            self.samples.clear()
            await self.wait_until_converged(scenario.convergence_s)
        load_ended.set()
        hammering.cancel()
        await load
        outcome = self._judge_views(replace(scenario, faults_end_s=faults_ended_at))
        verdicts = self._judge_calls()
        await self._restore()
        return outcome, verdicts

    def _reset_records(self) -> None:
        """Forget what former scenarios left."""
        self._began_at = now()
        self.applied.clear()
        self._view_changes.clear()
        self.samples.clear()
        self.log.runs.clear()
        self._reached.clear()
        self._drain_notices.clear()
        self.clients.calls.clear()
        self.hammer_clients.calls.clear()

    async def _apply_steps(self, scenario: Scenario) -> None:
        for step in scenario.steps:
            await asyncio.sleep(max(self._began_at + step.at - now(), 0.0))
            await self.apply(step)
        await asyncio.sleep(max(self._began_at + scenario.faults_end_s - now(), 0.0))
        while self._tasks:
            await asyncio.gather(*list(self._tasks))

    async def _load(self, scenario: Scenario, ended: asyncio.Event) -> None:
        """Call the sidecars that no step touches."""
        touched = {number for step in scenario.steps if interrupts_calls(step) for number in step.members}
        untouched = [member.number for member in self.members if member.number not in touched]
        await self.clients.run(self._rate, ended, lambda: untouched, self._listen_address)

    async def _hammer(self, ended: asyncio.Event) -> None:
        if self._hammer_rate:
            running: Callable[[], list[int]] = lambda: [member.number for member in self._running()]  # noqa: E731
            await self.hammer_clients.run(self._hammer_rate, ended, running, self._listen_address)

    def _listen_address(self, number: int) -> tuple[str, int]:
        return self.members[number].listen

    def _judge_views(self, scenario: Scenario) -> Outcome:
        if not self.membership_on:
            return Outcome()
        changes = sorted(self._view_changes, key=lambda change: change.at)
        return judge(scenario, self.applied, changes, self.samples, self.generations)

    def _judge_calls(self) -> InvariantReport:
        lifetimes = {number: [(0.0, now())] for number in range(self.count)}
        hammer = f"{_HAMMER_PREFIX}-"
        reached = [attempt for attempt in self._reached if not attempt.request_id.startswith(hammer)]
        runs = [run for run in self.log.runs if not run.request_id.startswith(hammer)]
        return judge_rules(self.clients.calls, reached, runs, self._drain_notices, lifetimes, [])

    def retry_times(self) -> list[float]:
        """Return when attempts after a request's first one reached a node, by the nodes' own records."""
        seen: set[str] = set()
        times = []
        for attempt in self._reached:
            if attempt.request_id in seen:
                times.append(attempt.at)
            seen.add(attempt.request_id)
        return times

    async def _restore(self) -> None:
        self._end_faults()
        missing = [member for member in self.members if member.process is None]
        await asyncio.gather(*(self._launch(member) for member in missing))
        if missing and self.membership_on:
            await self.wait_until_converged(START_TIMEOUT_S)


def _view_sample(at: float, observer: int, status: dict[str, Any]) -> ViewSample:
    states = [(member, state_of_label(member["state"])) for member in status["members"]]
    live = {
        int(member["name"]): int(member["life"])
        for member, state in states
        if state in _LIVE_STATES and member["name"].isdecimal()
    }
    live[observer] = status["life"]
    suspects = sum(state is MemberState.SUSPECT for _, state in states)
    return ViewSample(at, observer, live, status["cut_off"], suspects)


def _state_changes(began_at: float, observer: int, status: dict[str, Any]) -> Iterator[StateChange]:
    """Yield the changes of a status since a scenario's beginning."""
    for change in status["changes"]:
        at = change["at"] / 1e6 - began_at
        if at >= 0.0 and change["member"].isdecimal():
            old, new = (
                None if label is None else state_of_label(label) for label in (change["old"], change["new"])
            )
            yield StateChange(at, observer, int(change["member"]), old, new, change["life"])
