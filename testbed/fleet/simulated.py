"""A fleet in simulated time: real balancers, plan followers and planners, and simulated servers; no I/O.

One seed reproduces a run.  Forwarders, servers and planners exchange what they would over sockets, each way after a
delay; a scenario may cut any forwarder off from any planner, stall planners, and start servers without warm caches.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from testbed.fleet.simulated_server import US_PER_S, WARMUP_US, Attempt, SimulatedServer
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

US_PER_MS = 1_000
START = 100 * US_PER_S
SERVER_DELAY_US = 300  # one way, between forwarder and server
PLANNER_DELAY_US = US_PER_MS  # one way, between forwarder and planner


@dataclass(slots=True, eq=False)
class SimulatedRequest:
    """A request of the trace and what came of it."""

    request_class: str
    work_s: float
    arrived_at: int
    deadline_us: int
    result: str = ""
    ended_at: int = 0
    attempts: int = 0
    attempts_in_flight: set[int] = field(default_factory=set)


class SimulatedForwarder:
    """One forwarder: a balancer, and a plan follower if there are planners."""

    def __init__(self, fleet: Fleet, number: int, seed: int, planned: bool) -> None:
        self.name = f"f-{number:04}"
        self.fleet = fleet
        self.incarnation = f"{self.name}-{seed}"
        self.follower = PlanFollower(self.name, self.incarnation) if planned else None
        self.collector = SummaryCollector()
        self.balancer = Balancer(fleet.settings, seed, self.follower)
        self.requests: dict[int, SimulatedRequest] = {}
        self.ready: set[str] = set()
        self._idents = itertools.count(1)

    def listed(self, entries: list[ServerDescription], kind: UpdateKind = UpdateKind.DELTA) -> None:
        """Take entries of the endpoint list."""
        for entry in entries:
            (self.ready.add if entry.state is ServerState.READY else self.ready.discard)(entry.name)
        if self.follower is not None:
            self.follower.update_ready_servers(self.ready)
        self.handle(EndpointsUpdated(kind, entries, 1))

    def accept(self, request: SimulatedRequest) -> None:
        """Take a client's request."""
        ident = next(self._idents)
        self.requests[ident] = request
        self.collector.request_arrived(request.request_class)
        self.fleet.at(request.arrived_at + request.deadline_us, self._on_deadline, ident)
        self.handle(
            RequestArrived(ident, request.request_class, None, None, request.deadline_us, None, False)
        )

    def _on_deadline(self, ident: int) -> None:
        request = self.requests.get(ident)
        if request is not None and not request.result:
            self._answer(request, "failed")

    def handle(self, event: Event) -> None:
        """Hand an event to the balancer and execute its actions."""
        waiting: deque[Event] = deque([event])
        while waiting:
            for action in self.balancer.handle(self.fleet.now, waiting.popleft()):
                followup = self._execute(action)
                if followup is not None:
                    waiting.append(followup)

    def _execute(self, action: Action) -> Event | None:
        if isinstance(action, SendAttempt):
            self._send(action)
        elif isinstance(action, SetTimer):
            self.fleet.at(self.fleet.now + max(action.in_us, 1), self.handle, TimerFired(action.token))
        elif isinstance(action, Reject | Fail):
            request = self.requests.get(action.request)
            if request is not None and not request.result:
                self._answer(request, "refused" if isinstance(action, Reject) else "failed")
        elif isinstance(action, CancelAttempt):
            request = self.requests.get(action.request)
            if request is not None and action.attempt in request.attempts_in_flight:
                request.attempts_in_flight.discard(action.attempt)
                return AttemptEnded(
                    action.request, action.attempt, "", Outcome.CANCELLED, 0, bool(request.result)
                )
        return None

    def _answer(self, request: SimulatedRequest, result: str) -> None:
        request.result, request.ended_at = result, self.fleet.now
        (self.collector.request_served if result == "served" else self.collector.request_rejected)(
            request.request_class
        )

    def _send(self, action: SendAttempt) -> None:
        request = self.requests[action.request]
        index, request.attempts = request.attempts, request.attempts + 1
        request.attempts_in_flight.add(index)
        self.collector.attempt_sent(action.server)
        sent_at = self.fleet.now

        def ended(outcome: Outcome, report: dict[str, float] | None) -> None:
            if outcome is not Outcome.TIMED_OUT:
                self.fleet.at(self.fleet.now + SERVER_DELAY_US, over, outcome, report)
            else:
                over(outcome, report)

        def over(outcome: Outcome, report: dict[str, float] | None) -> None:
            if index not in request.attempts_in_flight:
                return
            request.attempts_in_flight.discard(index)
            elapsed = self.fleet.now - sent_at
            self.collector.attempt_ended(
                self.fleet.now, action.server, outcome is Outcome.DELIVERED, elapsed, report
            )
            if outcome is Outcome.DELIVERED and not request.result:
                self._answer(request, "served")
            self.handle(
                AttemptEnded(
                    action.request, index, action.server, outcome, elapsed, bool(request.result), report
                )
            )
            if request.result and not request.attempts_in_flight:
                self.requests.pop(action.request, None)

        server = self.fleet.servers[action.server]
        self.fleet.at(self.fleet.now + SERVER_DELAY_US, server.receive, Attempt(request.work_s, ended))
        self.fleet.at(
            max(action.give_up_at or 0, self.fleet.now) or request.arrived_at + request.deadline_us,
            ended,
            Outcome.TIMED_OUT,
            None,
        )

    # -- Planners --------------------------------------------------------------------------------------

    def send_summary_report(self) -> None:
        """Send a summary to every planner that can be reached, and again after the period."""
        fleet, follower = self.fleet, self.follower
        assert follower is not None
        following = follower.status(fleet.now)
        ejected = frozenset(each.name for each in self.balancer.ejected if each.ejected_until is not None)
        summary = self.collector.collect(
            fleet.now,
            self.name,
            self.incarnation,
            FollowedPlan(following.epoch, following.planner, following.sequence),
            ejected,
        )
        for planner in fleet.planners:
            fleet.send_summary(self, planner, summary)
        fleet.at(fleet.now + fleet.period(), self.send_summary_report)

    def on_plan(self, requested_at: int, plan: Plan) -> None:
        """Take a planner's plan."""
        if self.follower is not None:
            self.follower.offer(self.fleet.now, requested_at, plan, self.ready)


class Fleet:
    """The whole fleet; `now` is simulated time in microseconds."""

    def __init__(
        self,
        settings: Settings,
        *,
        forwarders: int,
        servers: list[tuple[str, float, int, int]],
        planners: int = 0,
        seed: int = 1,
    ) -> None:
        """`servers`: name, speed, concurrency and pod of each."""
        self.settings = settings
        self.now = START
        self.random = random.Random(seed)
        self.servers = {
            name: SimulatedServer(self, name, speed, concurrency, pod)
            for name, speed, concurrency, pod in servers
        }
        self.planners = [Planner(f"p-{number}", str(seed)) for number in range(planners)]
        self.cut_links: set[tuple[str, str]] = (
            set()
        )  # forwarder (or "*") and planner that can't reach each other
        self.stalled: set[str] = set()  # planners that pause: they get afterwards what comes meanwhile
        self._delayed_summaries: list[tuple[Planner, SimulatedForwarder, SummaryReport, int]] = []
        self.requests: list[SimulatedRequest] = []
        self._agenda: list[tuple[int, int, Callable[..., object], tuple[object, ...]]] = []
        self._order = itertools.count()
        self.forwarders = [
            SimulatedForwarder(self, number, seed * 100_003 + number, planners > 0)
            for number in range(forwarders)
        ]
        entries = [self._description(each) for each in self.servers.values()]
        for forwarder in self.forwarders:
            forwarder.listed(entries, UpdateKind.CACHED)
            if planners:
                self.at(self.now + self.random.randrange(US_PER_S // 4), forwarder.send_summary_report)
        for planner in self.planners:
            planner.update_servers(self.now, self._planned_servers())
        if self.planners:
            self.planners[0].start_leading(1)

    def _description(self, server: SimulatedServer) -> ServerDescription:
        state = ServerState.READY if server.up else ServerState.REMOVED
        return ServerDescription(server.name, "a", "std", server.pod, state, server.speed, server.started_at)

    def _planned_servers(self) -> dict[str, PlannedServer]:
        return {
            server.name: PlannedServer(
                server.name, server.speed, 0 if server.started_at is None else server.started_at + WARMUP_US
            )
            for server in self.servers.values()
            if server.up
        }

    def at(self, when: int, callback: Callable[..., object], *arguments: object) -> None:
        heapq.heappush(self._agenda, (when, next(self._order), callback, arguments))

    def run(self, until: int) -> None:
        """Run all events up to a time."""
        while self._agenda and self._agenda[0][0] <= until:
            self.now, _, callback, arguments = heapq.heappop(self._agenda)
            callback(*arguments)
        self.now = until

    def announce(self, *names: str, after: int = 20 * US_PER_MS) -> None:
        """Send the present state of these servers to all forwarders and planners."""

        def update() -> None:
            entries = [self._description(self.servers[name]) for name in names]
            for forwarder in self.forwarders:
                forwarder.listed(entries)
            for planner in self.planners:
                planner.update_servers(self.now, self._planned_servers())

        self.at(self.now + after, update)

    # -- Load ------------------------------------------------------------------------------------------

    def offer_load(self, rate: float, seconds: float, mean_work: float, seed: int) -> None:
        """Schedule a trace of requests, the same for one seed: Poisson arrivals, each at a random forwarder.

        `rate`: requests a second; `mean_work`: seconds at a server of speed 1.
        """
        chance = random.Random(seed)
        kinds = {each.name: each for each in self.settings.classes}
        at = float(self.now)
        while at < self.now + seconds * US_PER_S:
            at += chance.expovariate(rate) * US_PER_S
            kind = chance.choices(("check", "lodge"), (7, 3))[0]
            work = chance.gammavariate(3.0, mean_work / 3.0)
            request = SimulatedRequest(kind, work, int(at), kinds[kind].deadline_us)
            self.requests.append(request)
            self.at(int(at), self.forwarders[chance.randrange(len(self.forwarders))].accept, request)

    # -- Between forwarders and planners ---------------------------------------------------------------

    def period(self) -> int:
        return max(each.summary_period_us() for each in self.planners)

    def _reach(self, forwarder: SimulatedForwarder, planner: Planner) -> bool:
        return not {("*", planner.name), (forwarder.name, planner.name)} & self.cut_links

    def send_summary(self, forwarder: SimulatedForwarder, planner: Planner, summary: SummaryReport) -> None:
        if self._reach(forwarder, planner):
            self.at(self.now + PLANNER_DELAY_US, self._arrive, planner, forwarder, summary, self.now)

    def _arrive(
        self, planner: Planner, forwarder: SimulatedForwarder, summary: SummaryReport, requested_at: int
    ) -> None:
        if planner.name in self.stalled:
            self._delayed_summaries.append((planner, forwarder, summary, requested_at))
            return
        plan = planner.handle_summary(self.now, summary)
        if plan is not None and self._reach(forwarder, planner):
            self.at(self.now + PLANNER_DELAY_US, forwarder.on_plan, requested_at, plan)

    def resume(self, planner: Planner) -> None:
        """Let a stalled planner go on: it answers, late, all summaries that it received meanwhile."""
        self.stalled.discard(planner.name)
        delayed, self._delayed_summaries = self._delayed_summaries, []
        for each in delayed:
            if each[0] is planner:
                self._arrive(*each)
            else:
                self._delayed_summaries.append(each)


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """What clients received, for requests sent within a span."""

    calls: int
    served: float  # ratio
    late: float  # ratio not served within the latency objective of its class
    p50: float  # seconds, of what was served
    p99: float


def service_level(fleet: Fleet, since: int, until: int) -> ServiceLevel:
    objectives_us = {each.name: each.latency_objective_us for each in fleet.settings.classes}
    calls = [each for each in fleet.requests if since <= each.arrived_at < until]
    verdicts = Counter(each.result for each in calls)
    times = sorted(each.ended_at - each.arrived_at for each in calls if each.result == "served")
    late = sum(
        each.result != "served" or each.ended_at - each.arrived_at > objectives_us[each.request_class]
        for each in calls
    )

    def quantile(part: float) -> float:
        return times[min(int(part * len(times)), len(times) - 1)] / US_PER_S if times else 0.0

    return ServiceLevel(
        len(calls), verdicts["served"] / len(calls), late / len(calls), quantile(0.5), quantile(0.99)
    )
