"""Plays a soak over real processes, and judges it by what servers and clients noted and by processes' own counters."""

from __future__ import annotations

import asyncio
import re
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from standins.fleet.judge import ATTEMPTS_MOST, Reached, Verdicts, Word
from standins.fleet.judge import judge as judge_rules
from standins.lodge import Run
from standins.soak.faults import Soak
from standins.soak.unruly import GONE_S, SLACK_S, Unruly
from standins.tier.rig import Noting, Rig, now
from standins.tier.scenes import Step
from standins.wire import Asked, Reply, reset

SETTLE_S = 3.0  # after the last fault, while calls go on
_DEFECT = re.compile(r"^.*(?:violation [a-z_]+:|Traceback|Exception in callback).*$", re.MULTILINE)


@dataclass(slots=True)
class Judged:
    """What came of one soak."""

    verdicts: Verdicts
    broken: list[str] = field(default_factory=list)
    unruly: Counter[str] = field(default_factory=Counter)
    slowest_s: float = 0.0  # until an unruly client heard something
    faults: int = 0


class FaultyNode(Noting):
    """A server that can be told to fail a part of what it gets, or to take its time."""

    failing = 0.0  # part of the requests that are answered with an error, after they have run
    slow_s = 0.0

    async def serve(self, asked: Asked) -> Any:
        reply = await super().serve(asked)
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.failing and hash(asked.ident) % 1000 < 1000 * self.failing:
            return Reply(500)
        return reply


class SoakRig(Rig):
    """A tier's rig with faults of servers, unruly clients and a judge for both."""

    node_class = FaultyNode

    def __init__(self, sidecars: int, seed: int, rate: float = 100.0, unruly_rate: float = 12.0) -> None:
        super().__init__(sidecars, seed, rate=rate)
        self._honest_rate, self._unruly_rate = rate, unruly_rate

    async def do(self, step: Step) -> None:
        if not step.do.startswith("node_") and step.do != "drain":
            await super().do(step)
            return
        for each in step.to:
            if step.do == "drain":
                self._told_s = step.value
                self._drain(each, True)
            else:
                await self._node_fault(each, step)

    async def _node_fault(self, number: int, step: Step) -> None:
        server = self.nodes[number]
        lodge = server.lodge
        assert isinstance(lodge, FaultyNode)
        if step.do == "node_hang":
            lodge.hung = True
        elif step.do == "node_fail":
            lodge.failing = step.value
        elif step.do == "node_slow":
            lodge.slow_s = step.value
        elif step.do == "node_reset":
            for writer in list(server._writers):
                reset(writer)
        elif step.do == "node_die":
            server.die()
        else:
            lodge.hung, lodge.failing, lodge.slow_s = False, 0.0, 0.0
            if server._server is None or not server._server.is_serving():
                await server.start(*server.address)

    async def soak(self, soak: Soak) -> Judged:
        """Play it under load, and judge it; the rig can play no other after it."""
        self._begin()
        over = asyncio.Event()
        steady = soak.steady(self.count)
        unruly = Unruly(self.seed)
        where = lambda number: self.members[number].listen  # noqa: E731
        loads = [
            asyncio.create_task(self.clients.load(self._honest_rate, over, lambda: steady, where)),
            asyncio.create_task(unruly.load(self._unruly_rate, over, steady, where)),
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

    def _judged(self, soak: Soak, unruly: Unruly) -> Judged:
        lives = {each: [(0.0, now())] for each in range(self.count)}
        honest = {each.ident for each in self.clients.calls}
        verdicts = judge_rules(
            self.clients.calls,
            [each for each in self._reached if each.ident in honest],
            [each for each in self.log.runs if each.ident in honest],
            self._words,
            lives,
            [],
        )
        judged = Judged(verdicts, list(verdicts.broken), faults=len(soak.steps))
        judged.unruly.update(each.what for each in unruly.found)
        judged.unruly["leaves"] = len(unruly.left)
        judged.slowest_s = max(
            (each.waited_s for each in unruly.found if each.what != "is slow"), default=0.0
        )
        judged.broken += [f"sidecar {each.sidecar}, {each.broken}" for each in unruly.found if each.broken]
        judged.broken += sent_for_nobody(unruly, self._reached)
        judged.broken += ran_twice(unruly, self._reached, self.log.runs)
        judged.broken += self._defects()
        return judged

    def _defects(self) -> list[str]:
        """Broken promises that processes counted themselves, failures in their logs, and processes that ended."""
        found = []
        for member in self.members:
            found += [
                f"sidecar {member.number}: {line[:200]}" for line in _DEFECT.findall(self.logs(member.number))
            ]
            if member.process is not None and member.process.returncode is not None:
                found.append(f"sidecar {member.number} ended with {member.process.returncode}")
        return found

    def _drain(self, node: int, drains: bool) -> None:
        """Tell of a drain or its end; one that ends before all count as told of it is nobody's fault."""
        self.nodes[node].lodge.draining = drains
        self.registry.put(self._entry(node))
        name = self.nodes[node].lodge.name
        self._words = [each for each in self._words if each.node != name or each.at <= now()]
        at = now() + (self._told_s if drains else 0.0)
        self._words += [Word(at, each, name, not drains) for each in range(self.count)]

    _told_s = 0.0  # from a drain until all sidecars count as told of it


def sent_for_nobody(unruly: Unruly, reached: Sequence[Reached]) -> list[str]:
    """Attempts that began after their client had left."""
    left = {each.ident: each.at for each in unruly.left}
    return [
        f"sent {each.at - left[each.ident]:.2f} s after its client left: {each.ident} to {each.node}"
        for each in reached
        if each.ident in left and each.at > left[each.ident] + GONE_S + SLACK_S
    ]


def ran_twice(unruly: Unruly, reached: Sequence[Reached], runs: Sequence[Run]) -> list[str]:
    """Unruly clients' requests that had their effect more than once, or too many attempts."""
    attempts = Counter(each.ident for each in reached if each.ident in unruly.kinds)
    found = [f"{count} attempts: {ident}" for ident, count in attempts.items() if count > ATTEMPTS_MOST]
    effects: dict[str, int] = defaultdict(int)
    for run in runs:
        if unruly.kinds.get(run.ident) in ("lodge", "amend"):
            effects[run.ident] += 1
    return found + [f"ran twice: {ident}" for ident, count in effects.items() if count > 1]
