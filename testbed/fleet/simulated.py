"""A fleet in played time: the real decision module, followers and planners, and nodes that are numbers; no I/O.

One seed replays a run.  Forwarders, nodes and planners exchange what they would over sockets, each way after a delay;
a script may cut any forwarder off from any planner, stall planners, and start nodes cold.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from topazbank import Balancer
from topazbank.balancing.actions import Action, CancelAttempt, Fail, Reject, SendAttempt, SetTimer
from topazbank.balancing.events import (
    AttemptEnded,
    EndpointsUpdated,
    Event,
    Outcome,
    RequestArrived,
    ServerDescription,
    ServerState,
    TimerFired,
    UpdateKind,
)
from topazbank.balancing.settings import Settings
from topazbank.planning.follower import PlanFollower
from topazbank.planning.plan import Plan
from topazbank.planning.planner import Planner
from topazbank.planning.server_model import PlannedServer
from topazbank.planning.summary import FollowedPlan, SummaryCollector, SummaryReport

S = 1_000_000
MS = 1_000
START = 100 * S
NET = 300  # one way, between forwarder and node
LINK = MS  # one way, between forwarder and planner
FALL_MULTIPLE, FALL_S = 3.0, 2.0  # offered to a cold node over what it can do, and it falls
COLD_FROM, COLD = 0.14, 22 * S


@dataclass(slots=True, eq=False)
class Job:
    """An attempt at a node."""

    work: float  # seconds of a standard machine
    done: Callable[[Outcome, dict[str, float] | None], None]


class Node:
    """So many slots of a speed; what finds none free waits."""

    def __init__(self, fleet: Fleet, name: str, speed: float, slots: int, pod: int) -> None:
        self.name, self.speed, self.slots, self.pod = name, speed, slots, pod
        self.began: int | None = None  # when it started cold; None: warm
        self.up = True
        self.fallen = False
        self.busy = 0
        self.served = 0
        self.worked = 0.0
        self._fleet = fleet
        self._waiting: deque[Job] = deque()
        self._offered: deque[tuple[int, float]] = deque()  # of the last FALL_S

    def capacity(self) -> float:
        if self.began is None:
            return 1.0
        return min(1.0, COLD_FROM + (1.0 - COLD_FROM) * (self._fleet.now - self.began) / COLD)

    def start_cold(self) -> None:
        self.began, self.up, self.fallen, self.busy = self._fleet.now, True, False, 0
        self._waiting.clear()
        self._offered.clear()

    def stop(self) -> None:
        self.up = False

    def take(self, job: Job) -> None:
        if not self.up or self.fallen:
            if not self.up:
                job.done(Outcome.CONNECT_FAILED, None)
            return  # a node that fell says nothing
        self._offer(job.work)
        if len(self._waiting) >= 20 * self.slots:
            job.done(Outcome.REJECTED, self._report())
        elif self.busy < self.slots:
            self._begin(job)
        else:
            self._waiting.append(job)

    def _offer(self, work: float) -> None:
        now = self._fleet.now
        self._offered.append((now, work))
        while self._offered[0][0] < now - int(FALL_S * S):
            self._offered.popleft()
        able = self.capacity()
        if able < 1.0:
            bearable = FALL_MULTIPLE * able * self.speed * self.slots * FALL_S
            if sum(each for _, each in self._offered) > bearable:
                self.fallen = True

    def _begin(self, job: Job) -> None:
        self.busy += 1
        took = job.work / (self.speed * self.capacity())
        self._fleet.at(self._fleet.now + max(int(took * S), 1), self._end, job, self.began)

    def _end(self, job: Job, life: int | None) -> None:
        if life != self.began or not self.up:
            job.done(Outcome.CONNECTION_LOST, None)
            return
        self.busy -= 1
        self.served += 1
        self.worked += job.work
        if self._waiting:
            self._begin(self._waiting.popleft())
        if not self.fallen:
            job.done(Outcome.DELIVERED, self._report())

    def _report(self) -> dict[str, float]:
        return {
            "inflight": float(self.busy),
            "queue": float(len(self._waiting)),
            "util": min(self.busy / self.slots, 1.0),
        }


@dataclass(slots=True, eq=False)
class Asked:
    """A request of the trace and what came of it."""

    kind: str
    work: float
    sent_at: int
    budget: int
    verdict: str = ""
    ended_at: int = 0
    attempts: int = 0
    out: set[int] = field(default_factory=set)


class Forwarder:
    """One forwarder: a decision module, and a follower if there are planners."""

    def __init__(self, fleet: Fleet, number: int, seed: int, planned: bool) -> None:
        self.name = f"f-{number:04}"
        self.fleet = fleet
        self.life = f"{self.name}-{seed}"
        self.follower = PlanFollower(self.name, self.life) if planned else None
        self.collector = SummaryCollector()
        self.balancer = Balancer(fleet.settings, seed, self.follower)
        self.asked: dict[int, Asked] = {}
        self.ready: set[str] = set()
        self._idents = itertools.count(1)

    def listed(self, lines: list[ServerDescription], kind: UpdateKind = UpdateKind.DELTA) -> None:
        for line in lines:
            (self.ready.add if line.state is ServerState.READY else self.ready.discard)(line.name)
        if self.follower is not None:
            self.follower.update_ready_servers(self.ready)
        self.play(EndpointsUpdated(kind, lines, 1))

    def ask(self, asked: Asked) -> None:
        ident = next(self._idents)
        self.asked[ident] = asked
        self.collector.request_arrived(asked.kind)
        self.fleet.at(asked.sent_at + asked.budget, self._time_up, ident)
        self.play(RequestArrived(ident, asked.kind, None, None, asked.budget, None, False))

    def _time_up(self, ident: int) -> None:
        asked = self.asked.get(ident)
        if asked is not None and not asked.verdict:
            self._answer(asked, "failed")

    def play(self, event: Event) -> None:
        waiting: deque[Event] = deque([event])
        while waiting:
            for action in self.balancer.handle(self.fleet.now, waiting.popleft()):
                caused = self._carry(action)
                if caused is not None:
                    waiting.append(caused)

    def _carry(self, action: Action) -> Event | None:
        if isinstance(action, SendAttempt):
            self._send(action)
        elif isinstance(action, SetTimer):
            self.fleet.at(self.fleet.now + max(action.in_us, 1), self.play, TimerFired(action.token))
        elif isinstance(action, Reject | Fail):
            asked = self.asked.get(action.request)
            if asked is not None and not asked.verdict:
                self._answer(asked, "refused" if isinstance(action, Reject) else "failed")
        elif isinstance(action, CancelAttempt):
            asked = self.asked.get(action.request)
            if asked is not None and action.attempt in asked.out:
                asked.out.discard(action.attempt)
                return AttemptEnded(
                    action.request, action.attempt, "", Outcome.CANCELLED, 0, bool(asked.verdict)
                )
        return None

    def _answer(self, asked: Asked, verdict: str) -> None:
        asked.verdict, asked.ended_at = verdict, self.fleet.now
        (self.collector.request_served if verdict == "served" else self.collector.request_rejected)(
            asked.kind
        )

    def _send(self, action: SendAttempt) -> None:
        asked = self.asked[action.request]
        index, asked.attempts = asked.attempts, asked.attempts + 1
        asked.out.add(index)
        self.collector.attempt_sent(action.server)
        sent_at = self.fleet.now

        def ended(outcome: Outcome, report: dict[str, float] | None) -> None:
            if outcome is not Outcome.TIMED_OUT:
                self.fleet.at(self.fleet.now + NET, over, outcome, report)
            else:
                over(outcome, report)

        def over(outcome: Outcome, report: dict[str, float] | None) -> None:
            if index not in asked.out:
                return
            asked.out.discard(index)
            elapsed = self.fleet.now - sent_at
            self.collector.attempt_ended(
                self.fleet.now, action.server, outcome is Outcome.DELIVERED, elapsed, report
            )
            if outcome is Outcome.DELIVERED and not asked.verdict:
                self._answer(asked, "served")
            self.play(
                AttemptEnded(
                    action.request, index, action.server, outcome, elapsed, bool(asked.verdict), report
                )
            )
            if asked.verdict and not asked.out:
                self.asked.pop(action.request, None)

        node = self.fleet.nodes[action.server]
        self.fleet.at(self.fleet.now + NET, node.take, Job(asked.work, ended))
        self.fleet.at(
            max(action.give_up_at or 0, self.fleet.now) or asked.sent_at + asked.budget,
            ended,
            Outcome.TIMED_OUT,
            None,
        )

    # -- Planners --------------------------------------------------------------------------------------

    def tell(self) -> None:
        """Send a summary to every planner that it reaches, and come back after the period that one said."""
        fleet, follower = self.fleet, self.follower
        assert follower is not None
        following = follower.status(fleet.now)
        ejected = frozenset(each.name for each in self.balancer.ejected if each.ejected_until is not None)
        summary = self.collector.collect(
            fleet.now,
            self.name,
            self.life,
            FollowedPlan(following.epoch, following.planner, following.sequence),
            ejected,
        )
        for place in fleet.planners:
            fleet.carry(self, place, summary)
        fleet.at(fleet.now + fleet.period(), self.tell)

    def hear(self, asked_at: int, plan: Plan) -> None:
        if self.follower is not None:
            self.follower.offer(self.fleet.now, asked_at, plan, self.ready)


class Fleet:
    """All of it; `now` is played time in microseconds."""

    def __init__(
        self,
        settings: Settings,
        *,
        forwarders: int,
        nodes: list[tuple[str, float, int, int]],
        planners: int = 0,
        seed: int = 1,
    ) -> None:
        """`nodes`: name, speed, slots and pod of each."""
        self.settings = settings
        self.now = START
        self.random = random.Random(seed)
        self.nodes = {name: Node(self, name, speed, slots, pod) for name, speed, slots, pod in nodes}
        self.planners = [Planner(f"p-{number}", str(seed)) for number in range(planners)]
        self.cut: set[tuple[str, str]] = set()  # forwarder (or "*") and planner that don't reach one another
        self.stalled: set[str] = set()  # planners that stand still: what comes meanwhile they get afterwards
        self._held: list[tuple[Planner, Forwarder, SummaryReport, int]] = []
        self.done: list[Asked] = []
        self._agenda: list[tuple[int, int, Callable[..., object], tuple[object, ...]]] = []
        self._order = itertools.count()
        self.forwarders = [
            Forwarder(self, number, seed * 100_003 + number, planners > 0) for number in range(forwarders)
        ]
        lines = [self._line(each) for each in self.nodes.values()]
        for forwarder in self.forwarders:
            forwarder.listed(lines, UpdateKind.CACHED)
            if planners:
                self.at(self.now + self.random.randrange(S // 4), forwarder.tell)
        for planner in self.planners:
            planner.update_servers(self.now, self._members())
        if self.planners:
            self.planners[0].start_leading(1)

    def _line(self, node: Node) -> ServerDescription:
        state = ServerState.READY if node.up else ServerState.REMOVED
        return ServerDescription(node.name, "a", "std", node.pod, state, node.speed, node.began)

    def _members(self) -> dict[str, PlannedServer]:
        return {
            node.name: PlannedServer(node.name, node.speed, 0 if node.began is None else node.began + COLD)
            for node in self.nodes.values()
            if node.up
        }

    def at(self, when: int, work: Callable[..., object], *given: object) -> None:
        heapq.heappush(self._agenda, (when, next(self._order), work, given))

    def run(self, until: int) -> None:
        while self._agenda and self._agenda[0][0] <= until:
            self.now, _, work, given = heapq.heappop(self._agenda)
            work(*given)
        self.now = until

    def relist(self, *names: str, after: int = 20 * MS) -> None:
        """Tell all forwarders and planners how these nodes stand."""

        def tell() -> None:
            lines = [self._line(self.nodes[name]) for name in names]
            for forwarder in self.forwarders:
                forwarder.listed(lines)
            for planner in self.planners:
                planner.update_servers(self.now, self._members())

        self.at(self.now + after, tell)

    # -- Load ------------------------------------------------------------------------------------------

    def load(self, rate: float, seconds: float, mean_work: float, seed: int) -> None:
        """A trace of its own seed, the same whatever serves it: Poisson arrivals, each at a forwarder by chance."""
        chance = random.Random(seed)
        kinds = {each.name: each for each in self.settings.classes}
        at = float(self.now)
        while at < self.now + seconds * S:
            at += chance.expovariate(rate) * S
            kind = chance.choices(("check", "lodge"), (7, 3))[0]
            work = chance.gammavariate(3.0, mean_work / 3.0)
            asked = Asked(kind, work, int(at), kinds[kind].deadline_us)
            self.done.append(asked)
            self.at(int(at), self.forwarders[chance.randrange(len(self.forwarders))].ask, asked)

    # -- Between forwarders and planners ---------------------------------------------------------------

    def period(self) -> int:
        return max(each.summary_period_us() for each in self.planners)

    def _reach(self, forwarder: Forwarder, planner: Planner) -> bool:
        return not {("*", planner.name), (forwarder.name, planner.name)} & self.cut

    def carry(self, forwarder: Forwarder, planner: Planner, summary: SummaryReport) -> None:
        if self._reach(forwarder, planner):
            self.at(self.now + LINK, self._arrive, planner, forwarder, summary, self.now)

    def _arrive(self, planner: Planner, forwarder: Forwarder, summary: SummaryReport, asked_at: int) -> None:
        if planner.name in self.stalled:
            self._held.append((planner, forwarder, summary, asked_at))
            return
        plan = planner.handle_summary(self.now, summary)
        if plan is not None and self._reach(forwarder, planner):
            self.at(self.now + LINK, forwarder.hear, asked_at, plan)

    def resume(self, planner: Planner) -> None:
        """A stalled planner goes on: it answers all that waited, late."""
        self.stalled.discard(planner.name)
        held, self._held = self._held, []
        for each in held:
            if each[0] is planner:
                self._arrive(*each)
            else:
                self._held.append(each)


@dataclass(frozen=True, slots=True)
class Service:
    """What clients got, of requests sent within a span."""

    calls: int
    served: float  # part
    late: float  # part that was not served within the aim of its class
    p50: float  # seconds, of what was served
    p99: float


def service(fleet: Fleet, since: int, until: int) -> Service:
    aims = {each.name: each.latency_objective_us for each in fleet.settings.classes}
    calls = [each for each in fleet.done if since <= each.sent_at < until]
    verdicts = Counter(each.verdict for each in calls)
    times = sorted(each.ended_at - each.sent_at for each in calls if each.verdict == "served")
    late = sum(each.verdict != "served" or each.ended_at - each.sent_at > aims[each.kind] for each in calls)

    def quantile(part: float) -> float:
        return times[min(int(part * len(times)), len(times) - 1)] / S if times else 0.0

    return Service(
        len(calls), verdicts["served"] / len(calls), late / len(calls), quantile(0.5), quantile(0.99)
    )
