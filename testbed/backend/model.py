"""Request handling of a backend server, without sockets.  Times are seconds on the injected clock."""

from __future__ import annotations

import asyncio
import json
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import IO

from testbed.wire import Message, Reply

SPEED_RATIOS = {"slow": 0.5, "std": 1.0, "fast": 2.0}  # speed relative to a standard machine, by machine type
WARMUP_START_RATIO = 0.14  # capacity right after a cold start, relative to full capacity
WARMUP_S = 22.0  # from a cold start to full capacity
_COLLAPSE_MULTIPLE = 3.0  # a cold backend collapses if offered work exceeds this multiple of its capacity ...
_COLLAPSE_WINDOW_S = 2.0  # ... within this window
_IDEMPOTENCY_WINDOW_S = 2.0  # a pod deduplicates an idempotency key for this long
REJECTED = Reply(503, b"", {"X-Rejected": "1"})


@dataclass(slots=True)
class Run:
    """One run of a request at a backend; `ended_at` is None while it runs or if the backend died during the run."""

    node: str
    request_id: str
    request_class: str
    key: str | None
    started_at: float
    ended_at: float | None = None


class RunLog:
    """All runs in start order, the input of the invariant checks.  It grows with the traffic."""

    def __init__(self, file: IO[str] | None = None) -> None:
        """`file`: receives one line of JSON per run, written when the run starts."""
        self.runs: list[Run] = []
        self.arrived: Counter[str] = Counter()  # requests received by any backend, run or not, by id
        self._file = file

    def begin(self, run: Run) -> None:
        """Record the start of a run."""
        self.runs.append(run)
        if self._file is not None:
            line = {
                "node": run.node,
                "ident": run.request_id,
                "kind": run.request_class,
                "key": run.key,
                "began": run.started_at,
                "ended": run.ended_at,
            }
            self._file.write(json.dumps(line) + "\n")
            self._file.flush()

    def duplicate_effects(self, request_classes: Iterable[str]) -> list[str]:
        """Return the keys or ids of requests of these classes that ran more than once."""
        included_classes = set(request_classes)
        effects = Counter(
            run.key or run.request_id for run in self.runs if run.request_class in included_classes
        )
        return [effect for effect, count in effects.items() if count > 1]


class IdempotencyCache:
    """A pod's cache of idempotency keys: a repeat within 2 s does not run and receives the first request's reply."""

    def __init__(self) -> None:
        self._replies: dict[
            str, tuple[float, asyncio.Future[Reply]]
        ] = {}  # by key: time of the first request, and its reply

    def lookup(self, key: str, now: float) -> asyncio.Future[Reply] | None:
        """Return the reply of the first request with this key, or None if there is none within the window."""
        self._replies = {
            cached_key: (stored_at, reply)
            for cached_key, (stored_at, reply) in self._replies.items()
            if stored_at + _IDEMPOTENCY_WINDOW_S > now
        }
        return self._replies[key][1] if key in self._replies else None

    def store(self, key: str, now: float, reply: asyncio.Future[Reply]) -> None:
        """Record the first request with this key."""
        self._replies[key] = (now, reply)


WorkModel = Callable[[Message], float]  # seconds that a request takes on a standard machine


@dataclass(slots=True, eq=False)
class Backend:
    """One backend server's process, from its start to its end."""

    name: str
    log: RunLog
    clock: Callable[[], float]
    speed: float = 1.0  # relative to a standard machine
    slots: int = 8  # requests that run concurrently
    queue: int = 32  # maximum number of waiting requests; more are rejected
    warmup_s: float = 0.0  # 0: starts at full capacity
    work: WorkModel = lambda request: 0.005
    idempotency_cache: IdempotencyCache = field(default_factory=IdempotencyCache)
    draining: bool = False
    collapsed: bool = False  # overloaded while cold; never answers again
    hung: bool = False  # accepts requests and answers none
    started_at: float = 0.0
    in_flight: int = 0  # running and waiting
    _free_slots: asyncio.Semaphore = field(init=False)
    _offered: deque[tuple[float, float]] = field(
        default_factory=deque
    )  # (time, work) within the collapse window

    def __post_init__(self) -> None:
        self.started_at = self.clock()
        self._free_slots = asyncio.Semaphore(self.slots)

    def capacity(self) -> float:
        """Return the current capacity relative to full capacity."""
        if self.warmup_s <= 0.0:
            return 1.0
        warm_ratio = (self.clock() - self.started_at) / self.warmup_s
        return min(1.0, WARMUP_START_RATIO + (1.0 - WARMUP_START_RATIO) * warm_ratio)

    def offer(self, work_s: float) -> None:
        """Record offered work; too much of it collapses a cold backend."""
        now = self.clock()
        self._offered.append((now, work_s))
        while self._offered[0][0] < now - _COLLAPSE_WINDOW_S:
            self._offered.popleft()
        capacity = self.capacity()
        sustainable_s = _COLLAPSE_MULTIPLE * capacity * self.speed * self.slots * _COLLAPSE_WINDOW_S
        if capacity < 1.0 and sum(work for _, work in self._offered) > sustainable_s:
            self.collapsed = True

    async def serve(self, request: Message) -> Reply | None:
        """Run a request or reject it; None if the backend hangs or has collapsed and sends no response."""
        work_s = self.work(request)
        self.log.arrived[request.request_id] += 1
        self.offer(work_s)
        if self.collapsed or self.hung:
            return None
        if self.draining or self.in_flight >= self.slots + self.queue:
            return REJECTED
        key = request.headers.get("idempotency-key")
        if key is None:
            return await self._run(request, key, work_s)
        cached_reply = self.idempotency_cache.lookup(key, self.clock())
        if cached_reply is not None:
            return await asyncio.shield(cached_reply)
        return await self._run_keyed(request, key, work_s)

    async def _run_keyed(self, request: Message, key: str, work_s: float) -> Reply:
        reply: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self.idempotency_cache.store(key, self.clock(), reply)
        result = self._success(request)
        try:
            result = await self._run(request, key, work_s)
            return result
        finally:
            # The effect counts as applied even if the process dies during the run: the pod keeps the key.
            reply.set_result(result)

    def _success(self, request: Message, headers: dict[str, str] | None = None) -> Reply:
        body = f"{self.name} did {request.request_class} {request.request_id}".encode()
        return Reply(200, body, headers or {})

    async def _run(self, request: Message, key: str | None, work_s: float) -> Reply:
        self.in_flight += 1
        try:
            async with self._free_slots:
                run = Run(self.name, request.request_id, request.request_class, key, self.clock())
                self.log.begin(run)
                await asyncio.sleep(work_s / (self.speed * self.capacity()))
                run.ended_at = self.clock()
        finally:
            self.in_flight -= 1
        return self._success(request, {"X-Load-Report": self._load_report()})

    def _load_report(self) -> str:
        utilization = min(self.in_flight / self.slots, 1.0)
        running = min(self.in_flight, self.slots)
        waiting = max(self.in_flight - self.slots, 0)
        return f"TEXT inflight={running}, queue={waiting}, util={utilization:.2f}"
