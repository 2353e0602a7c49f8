"""What a lodge node does with a request; no sockets.  Times are seconds of a clock that is given."""

from __future__ import annotations

import asyncio
import json
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field
from typing import IO

from testbed.wire import Message, Reply

SPEED_RATIOS = {"slow": 0.5, "std": 1.0, "fast": 2.0}  # work done in a second, by kind of machine
WARMUP_START_RATIO, WARMUP_S = (
    0.14,
    22.0,
)  # a node that starts can do this part of its work, and all of it so much later
_COLLAPSE_MULTIPLE, _COLLAPSE_WINDOW_S = (
    3.0,
    2.0,
)  # a cold node falls over under so many times its capacity for so long
_IDEMPOTENCY_WINDOW_S = 2.0  # how long a pod drops the repeats of a keyed request
REJECTED = Reply(503, b"", {"X-Rejected": "1"})


@dataclass(slots=True)
class Run:
    """One run of a request at a node; `ended` is None while it lasts and where the node died under it."""

    node: str
    ident: str
    kind: str
    key: str | None
    began: float
    ended: float | None = None


class RunLog:
    """What ran, in the order it began; tests judge by it.  Grows with the traffic: stand-ins live for minutes."""

    def __init__(self, file: IO[str] | None = None) -> None:
        self.runs: list[Run] = []
        self.arrived: Counter[str] = Counter()  # requests that reached a node, by id, run or not
        self._file = file

    def begin(self, run: Run) -> None:
        self.runs.append(run)
        if self._file is not None:
            self._file.write(json.dumps(asdict(run)) + "\n")
            self._file.flush()

    def twice(self, kinds: Iterable[str]) -> list[str]:
        """The requests of these classes that had their effect more than once."""
        wanted = set(kinds)
        effects = Counter(run.key or run.ident for run in self.runs if run.kind in wanted)
        return [effect for effect, count in effects.items() if count > 1]


class IdempotencyCache:
    """A pod's memory of keyed requests: a repeat within 2 s is dropped and gets the first one's answer."""

    def __init__(self) -> None:
        self._kept: dict[str, tuple[float, asyncio.Future[Reply]]] = {}

    def recall(self, key: str, now: float) -> asyncio.Future[Reply] | None:
        self._kept = {
            each: kept for each, kept in self._kept.items() if kept[0] + _IDEMPOTENCY_WINDOW_S > now
        }
        return self._kept[key][1] if key in self._kept else None

    def keep(self, key: str, now: float, reply: asyncio.Future[Reply]) -> None:
        self._kept[key] = (now, reply)


WorkModel = Callable[[Message], float]  # seconds of a standard machine that a request takes


@dataclass(slots=True, eq=False)
class Backend:
    """One node's process."""

    name: str
    log: RunLog
    clock: Callable[[], float]
    speed: float = 1.0
    slots: int = 8  # requests in work
    queue: int = 32  # and waiting; beyond it they are turned away unseen
    cold_s: float = 0.0  # 0: it starts warm
    work: WorkModel = lambda asked: 0.005
    memory: IdempotencyCache = field(default_factory=IdempotencyCache)
    draining: bool = False
    fallen: bool = False  # pushed over while cold: it stays down
    hung: bool = False  # takes requests and answers nothing
    began: float = 0.0
    held: int = 0
    _free: asyncio.Semaphore = field(init=False)
    _offered: deque[tuple[float, float]] = field(default_factory=deque)  # (when, work) of the last 2 s

    def __post_init__(self) -> None:
        self.began = self.clock()
        self._free = asyncio.Semaphore(self.slots)

    def capacity(self) -> float:
        """The part of its work that it can do by now."""
        if self.cold_s <= 0.0:
            return 1.0
        return min(
            1.0, WARMUP_START_RATIO + (1.0 - WARMUP_START_RATIO) * (self.clock() - self.began) / self.cold_s
        )

    def _offer(self, work: float) -> None:
        now = self.clock()
        self._offered.append((now, work))
        while self._offered[0][0] < now - _COLLAPSE_WINDOW_S:
            self._offered.popleft()
        able = self.capacity()
        bearable = _COLLAPSE_MULTIPLE * able * self.speed * self.slots * _COLLAPSE_WINDOW_S
        if able < 1.0 and sum(each for _, each in self._offered) > bearable:
            self.fallen = True

    async def serve(self, asked: Message) -> Reply | None:
        """Run a request, or turn it away; None is silence, from a node that has fallen over."""
        work = self.work(asked)
        self.log.arrived[asked.ident] += 1
        self._offer(work)
        if self.fallen or self.hung:
            return None
        if self.draining or self.held >= self.slots + self.queue:
            return REJECTED
        key = asked.headers.get("idempotency-key")
        known = self.memory.recall(key, self.clock()) if key is not None else None
        if known is not None:
            return await asyncio.shield(known)
        if key is None:
            return await self._run(asked, key, work)
        reply: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self.memory.keep(key, self.clock(), reply)
        made = Reply(200, f"{self.name} did {asked.kind} {asked.ident}".encode())
        try:
            made = await self._run(asked, key, work)
            return made
        finally:
            # A process that dies under the run has had its effect, and the pod remembers that.
            reply.set_result(made)

    async def _run(self, asked: Message, key: str | None, work: float) -> Reply:
        self.held += 1
        try:
            async with self._free:
                run = Run(self.name, asked.ident, asked.kind, key, self.clock())
                self.log.begin(run)
                await asyncio.sleep(work / (self.speed * self.capacity()))
                run.ended = self.clock()
        finally:
            self.held -= 1
        util = min(self.held / self.slots, 1.0)
        report = f"TEXT inflight={min(self.held, self.slots)}, queue={max(self.held - self.slots, 0)}, util={util:.2f}"
        body = f"{self.name} did {asked.kind} {asked.ident}".encode()
        return Reply(200, body, {"X-Load-Report": report})
