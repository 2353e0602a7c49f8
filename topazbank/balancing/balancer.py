"""All decisions of a sidecar balancer, by best-of-k with redraw.

Types, events and actions: topazbank/interface.py.  The reasons for each departure: docs/design.md.

Per request: draw k random distinct ready servers and send to the one with the fewest of this balancer's own
requests in flight; on a full answer draw again, wider.  Every attempt leaves through `_send` and every final
answer through `_finish`; those two enforce the rules, whatever the code around them decides.
"""

from __future__ import annotations

import bisect
import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from topazbank.balancing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    Fail,
    LogMessage,
    Reject,
    SendAttempt,
    SendGossip,
    SetTimer,
    WatchEndpoints,
)
from topazbank.balancing.events import (
    AttemptEnded,
    EndpointsUpdated,
    Event,
    GossipReceived,
    HealthCheckEnded,
    Outcome,
    RequestArrived,
    RequestCancelled,
    ResponseStarted,
    ServerDescription,
    ServerState,
    TimerFired,
    UpdateKind,
)
from topazbank.balancing.fleet import HEALTH_CHECKS, RETRIES, TENANT_REQUESTS, FleetQuota, RoutingPlan
from topazbank.balancing.settings import (
    DiscoveryMode,
    Idempotency,
    IdempotencyScope,
    ReportSource,
    RequestClass,
    Settings,
)
from topazbank.estimation import poll_schedule
from topazbank.estimation.decaying_sum import DecayingLinearFit, DecayingRate
from topazbank.estimation.fleet_size import FleetSize
from topazbank.estimation.load_estimator import LatencyCheck, LoadEstimator, SustainedThroughput
from topazbank.estimation.load_gossip import LoadGossip, server_tag
from topazbank.estimation.stall_detector import StallDetector
from topazbank.estimation.startup_probes import StartupProbes, supports_startup_probes
from topazbank.estimation.traffic_mix import TrafficMix

# -- Constants: ratios of what the settings give or of what was observed ------------------------------

DRAWN = 4  # k: counts are mostly small here, where two looks find too little
OPEN_LEAST = 2  # servers that admit a class are enough: those that said full of it are not tried beside them
REACH = 4.0  # a balancer at rest draws from this many servers: a choice, yet few enough to know them
REACH_PER_BUSY = 1.0  # and from one more for each request in flight: as many again may be empty
PROBE_SPEND = 0.01  # probes for a request may cost this part of its worth: they settle ties between zeros
PROBE_WAIT = 3.0  # a tie waits this many usual probe times for its probes
PROBE_AIMS = 0.05  # and never longer than this part of the aim: the usual probe time is not known at first
BEARABLE_SPENT = 0.5  # a probed server may be expected to take this part of the aim, for the most worthy
BEARABLE_SPREAD = 0.3  # and this much less of it for the least worthy
LEAST_SIZE = 0.1  # of the mean: a nominal size of zero is junk
CROWDED_LEAST = 1.0  # a server that holds less, for its size, is idle: late answers came of something else
FIT_CLIP = 3.0  # one answer counts for at most this many times what was expected: a jam is no rule
FIT_FLOOR = 0.2  # but for this part of the aim at any rate
TRICKLE = 0.01  # part let in where probes tell of overload: what they foretell must stay checked
PROBE_STEP = 0.1  # the usual probe time follows the last ten or so
TICKS_EARLY = 2  # a final answer leaves this many ticks before the client's time is up
COLD_SHARE = 0.4  # part of the pushing-over load at which a cold budget fills: about what its warmth can bear
COLD_BURST = 0.18  # part of that load that may come at once
COLD_ODDS = 2.0  # drawn by this many times its least warmth: it is mostly warmer, and its budget guards it
FRESH_COST = 1.5  # where connections are priced, a server without one counts as slower by this in ties
RATE_SPANS = 2.0  # rates are averaged over this many fall times
REMOTE_LEAST = 0.25  # odds of a server in another zone while the own zone is as quick
CROSS_GAIN = 2.0  # a crossing must spare this many times its price, in parts of the aim
CROSS_LEAST = 0.1  # less than this part of the aim is lost in what is expected: such crossings go by odds
REMOTE_EVEN = 0.3  # the own zone this far behind the others' pace, all zones are drawn alike
EXTRA_PER_REQUEST = 0.2  # further attempts after failures, for each first attempt: no retry storms
EXTRA_SAVED = 50.0  # first attempts whose allowance may be saved up
STRIKES = 3  # failures in a row, none answered between, that eject a server: networks break a few by chance
ERRED = 1.6  # errors that eject a server, each counting less with each answer since: two close by
ERRED_KEPT = 0.7  # of an error's count, with each answer
EJECT_AIMS = 2.0  # first ejection lasts this many of the longest aim; it doubles with each failed trial
EJECT_AIMS_MOST = 16.0  # and never lasts longer: a server that came back is found again
SILENT_MOST = 0.34  # no more than this share is ejected for silence alone: more is overload, not sickness
EJECTED_MOST = 0.6  # never more than this share of the list is ejected: the rest would drown
PATIENCE = 2.5  # usual times (at this server's pace) after which an attempt is overdue
PATIENCE_AIMS = 0.1  # but never less than this part of the aim: short times are all jitter
QUIET_PEERS = 4  # answers from others, since the overdue attempt left, that make its server's silence its own
SILENCE = 2.0  # overdue again by this factor, an unanswering server is taken for silent
SILENT_AIMS = 0.5  # but never before this part of the aim
GHOST_LIFE = 1.0  # an attempt given up on counts as in flight for as long again as it was waited for
HEAVY_POWER = 3.0  # of pace, in the odds for a request of four times the mean cost or more
GUIDED_PACE = 2.5  # a guide is not followed to a server that is so slow by this balancer's own answers
PACE_STEP = 0.1  # a server's pace follows its last ten answers or so, or fewer where few are in flight
PACE_CLIP = 4.0  # one answer counts for at most this many usual ones: heavy requests say little of a server
NORM_STEP = 0.02  # the usual time and cost of a class follow its last fifty requests or so
UNSEEN_AIMS = 0.3  # the usual time before any answer, in aims
NEW_AIMS = 2.0  # the window is first sized this many of the longest aim after the first answer
BACK_AIMS = 0.1  # a refused client should come back after about this part of its aim
LEAST_WINDOW = 0.1  # a trickle passes at any time, so that relief is seen
MANY = 8.0  # fewer own requests in flight than this are chance for a good part
STRETCH_MOST = 4.0  # so the fewer, the longer loads are averaged and the larger the steps, up to this
SPARSE_AIMS = 4.0  # where few requests come, overload is judged by counts over this many of the longest aim
SPARSE_ROOM = 1.2  # and this many times what was answered in time is let in
SPARSE_PRIOR = 2.0  # requests taken as answered in time beforehand: fewer are chance
LATE_ALLOWED = 0.05  # nor is a fleet overloaded that answers all but this part in time
CORES_BUSY = 0.85  # while servers report their cores less busy than this, there is room for more
CORES_IDLE = 0.6  # cores this idle tell that late answers come from a few slow servers
CORES_SPARE = 0.4  # and this idle tell so to a busy balancer too: more may be crowded before reports say so
CORES_SATURATED = 0.95  # cores this busy tell of overload before late answers do
UTIL_MOST = 2.0  # a report of more than noise can make of a share is junk
LOST_SPENT = 2.0  # what a full answer counts as, in aims: it would have been late by far
WINDOW_AIMS = 0.5  # at twice the level the window shrinks e-fold in this many of the longest aim
REOPEN_AIMS = 0.2  # and while all is answered in time it grows e-fold in this many
GROWTH_MOST = 1.5  # by one verdict: a single one may be chance
FREE = 0.5  # up to this part of the window all are let in, and the window does not grow
STEEP = 4.0  # pressure at a full window: of the typical requests one in fifty is let in
SLANT = 2.0  # the least worthy feel this many times the pressure, the most worthy almost none

CALLS_COUNTED_MOST = 8  # calls for the list since its last answer: from some on all gaps are the longest

# -- Records ------------------------------------------------------------------------------------------


Flow = tuple[str, str | None]  # the class and tenant of a request


@dataclass(slots=True, eq=False)
class Server:
    """What this balancer knows of one server."""

    name: str
    number: int  # in the order heard of
    place: float  # chance, drawn once: this balancer's order of the servers
    tag: int  # by which other balancers tell of it
    zone: str = ""
    cell: int = 0
    nominal: float = 1.0
    pace: float = 1.0  # how long it takes, relative to the usual
    state: ServerState = ServerState.REMOVED
    started_at: int | None = None
    cold_since: int | None = None
    allowance: float = 0.0  # of a cold server: what may be sent to it now, in requests of mean cost
    allowance_at: int = 0
    in_flight: int = 0
    young: int = 0  # of these, the ones whose aim is not past
    idle: int = 0  # connections that are open and carry nothing, by this balancer's own reckoning
    idle_since: int = 0
    close_due: int = 0  # when they are to be closed
    reported: float | None = None  # requests it holds, by its last probe; None: that was not answered
    probed_at: int | None = None  # when the probe that is out left
    ghosts: list[int] = field(default_factory=list)  # when each attempt given up on stops counting
    last_answer_at: int = -1
    strikes: int = 0
    unreached: int = 0  # failed dials in a row
    erred: float = 0.0  # errors of late
    ejections: int = 0
    ejected_until: int | None = None  # None: not ejected
    turned_away: dict[Flow, tuple[int, int]] = field(default_factory=dict)  # until when, how often in a row
    trial: Attempt | None = None  # the single attempt that may bring it back


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; it is pending until it has an outcome."""

    index: int
    server: Server
    home: tuple[str, int]  # the server's zone and cell then: a new process of its name may be elsewhere
    sent_at: int
    absent_before: int  # how long the balancer had stalled by then
    answers_before: int  # how many answers had come by then, from all servers
    verdict: LatencyCheck  # on how long it takes
    pending: bool = True
    young: bool = True  # out, and its aim not past
    may_have_run: bool = True  # until an outcome proves that it did not
    started: bool = False
    held: float | None = None  # what its server held when it was sent, by a probe
    felt: bool = False  # whether its lateness was counted as a sign of overload


@dataclass(slots=True, eq=False)
class Request:
    """A request taken; it is kept until it is answered and its last attempt has ended."""

    ident: int
    kind: RequestClass
    answer_by: int
    cost: float  # relative to the mean of its class
    flow: Flow
    spread: bool  # whether it is drawn over all zones
    size: int = 0  # cost by powers of two
    attempts: list[Attempt] = field(default_factory=list)
    tried: list[Server] = field(default_factory=list)  # servers that failed it, full ones included
    said_full: int = 0
    answered: bool = False
    asked: list[Server] = field(default_factory=list)  # the tied candidates that are probed for it
    asked_until: int = 0
    standing: float = 0.5  # the part of the traffic that is worth less
    queue: Queue | None = None  # of its key, where requests of its class run in turn

    def __post_init__(self) -> None:
        self.size = max(-3, min(math.frexp(self.cost)[1], 4))

    def is_out(self) -> bool:
        """Whether an attempt has not ended yet."""
        return any(each.pending for each in self.attempts)

    def is_over(self) -> bool:
        """Whether it is answered and nothing of it is out."""
        return self.answered and not self.is_out()


@dataclass(slots=True, eq=False)
class Queue:
    """The requests of one key that run in turn, as they were taken; kept while the key is in use or rests."""

    key: int
    requests: deque[Request] = field(default_factory=deque)
    rests_until: int = 0


# -- The balancer -------------------------------------------------------------------------------------


class Balancer:
    """The decisions of one instance.  Feed it events in order; carry out the actions it returns in order."""

    def __init__(self, settings: Settings, seed: int, guide: RoutingPlan | None = None) -> None:
        """`guide`: whose word on what all balancers do is followed for as far as it goes."""
        self._settings = settings
        self.others = FleetSize(settings.fleet_size)  # what is seen of the tier goes in here
        self._guide = guide
        self.spending: FleetQuota | None = None  # what the whole fleet has left: it can only tighten
        self._random = random.Random(seed)
        # Of its own: how often the list is asked for changes no choice of servers.
        self._poll_chance = random.Random(str(seed))
        self._classes = {each.name: each for each in settings.classes}
        self._traffic = TrafficMix(settings)
        self._longest_aim = max(each.latency_objective_us for each in settings.classes)
        self._now = 0
        self._actions: list[Action] = []
        self._servers: dict[str, Server] = {}  # those listed, and those gone of which something is out
        self._numbered: dict[int, Server] = {}  # the same, by number
        self._heard_of = 0  # servers so far
        self._ready: list[Server] = []
        self._near: list[Server] = []  # of these, the ones in the own zone
        self._gone: list[Server] = []  # of which something was out when they were last looked at
        self._ready_size = 0.0  # of the ready ones, nominally
        self._requests: dict[int, Request] = {}
        self._queues: dict[int, Queue] = {}  # by key
        self._moved: deque[Queue] = deque()  # queues whose head may have changed
        self._asking: dict[int, Request] = {}  # requests that wait for probes, by number
        self._by_held = (
            DecayingLinearFit()
        )  # part of its aim that an answer takes, by what the server held for its size
        self._probe_time = math.inf  # the usual time of a probe; at first it is not known
        self._probes = self._probes_a_request()
        # Trials are with requests that may be repeated; else with keyed ones, and with probes where a dial would fail.
        self._tries_safely = any(each.idempotency is Idempotency.IDEMPOTENT for each in settings.classes)
        sounds = self._probes <= 1 and supports_startup_probes(settings)
        self._soundings = StartupProbes(settings, self.others) if sounds else None
        self._crossing = CROSS_GAIN * settings.prices.cross_zone
        self._connecting = CROSS_GAIN * settings.prices.handshake
        self._near_first = self._probes > 1 and self._crossing >= CROSS_LEAST
        self._in_order = any(each.ordered_by_key for each in settings.classes)
        full_proves = () if settings.rules.rejects_after_start else (Outcome.REJECTED,)
        self._proves_unrun = (Outcome.CONNECT_FAILED, Outcome.UNSENT, *full_proves)
        # Of each entry: due, order, request (or key, or _ASK), attempt (or _WHOLE, or _TURN).
        self._agenda: list[tuple[int, int, int, int]] = []
        self._agenda_order = 0
        self._timer_due: int | None = None
        self._stall = StallDetector(
            min(each.latency_objective_us for each in settings.classes), settings.tick_us
        )
        self._begun = False
        self._failed_calls = 0  # calls for the list, since the last answer
        self._calls_begun = 0  # likewise
        self._ask_due: int | None = None  # when discovery is asked next; None while the list is followed
        self._pending = 0  # attempts out
        self._young = 0  # the load: attempts out whose aim is not past, at servers that are not ejected
        self.ejected: list[Server] = []
        self._remote = 1.0  # odds of a server in another zone, as of _remote_at
        self._remote_at = -1
        self._bearable = 0.0  # what a warm server of mean size serves for this balancer, as of _bearable_at
        self._mean_size = 1.0
        self._bearable_at = -1
        self._answers = 0  # answers so far, from all servers
        self._cut_off_at = -self._longest_aim - 1  # when a server was last found out of reach
        self._extra = EXTRA_PER_REQUEST * EXTRA_SAVED / 2
        self._longest_try: dict[str, int] = {}  # the most time left that a request of a class came with
        self._mean_cost: dict[str, float] = {}
        self._arrivals = DecayingRate(RATE_SPANS * settings.rules.overload_window_us)
        self._served_warm = DecayingRate(RATE_SPANS * settings.rules.overload_window_us)
        self._norms: dict[tuple[str, int], float] = {}  # usual time of a class and size, over all servers
        self._strain = LoadEstimator(self._longest_aim, settings.mean_late_value_ratio())
        self._borne = SustainedThroughput(self._longest_aim)
        messages = settings.limits.gossip and settings.fleet_size > 1
        self._hearsay = LoadGossip(settings.prices.gossip, self.others) if messages else None
        self._heard_at = 0  # when what others told was last gone through
        self._window = math.inf  # how many own requests in flight the fleet bears in time
        self._served_aims = DecayingRate(self._longest_aim)  # time allowed to what was answered, per time
        span = SPARSE_AIMS * self._longest_aim
        self._in_time, self._too_late, self._shed = DecayingRate(span), DecayingRate(span), DecayingRate(span)
        self._able, self._capacity_due = 0.0, 0  # what ready servers can do, and when that is looked at again
        self._bound = False  # whether the window refused anything since it was last sized
        self._mean_load, self._load_at = 0.0, 0  # own requests in flight, averaged, and when
        self._sized_at = self._sized_from = 0
        self._take: dict[type[Any], Callable[[Any], None]] = {
            AttemptEnded: self._attempt_ended,
            RequestArrived: self._request_arrived,
            TimerFired: self._timer_fired,
            EndpointsUpdated: self._servers_listed,
            RequestCancelled: self._request_gone,
            ResponseStarted: self._answer_started,
            HealthCheckEnded: self._probe_ended,
            GossipReceived: self._message_received,
        }

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at clock time `now`; return what to do, in order."""
        self._now = now
        self._actions = []
        self._follow_load()
        self._stall.observe(now, isinstance(event, TimerFired))
        if not self._stall.catching_up and self._strain.expire_checks(now):
            self._size_window()
        if not self._begun:
            self._begun = True
            spread = poll_schedule.first_poll_spread_us(
                self.others.upper_bound, self._settings.rules.poll_within_us
            )
            self._ask_in(spread * self._poll_chance.random()) if spread > 0.0 else self._ask()
        self._take[type(event)](event)
        self._take_turns()
        self._tell_others()
        self._keep_beat()
        self._arm_timer()
        return self._actions

    def _keep_beat(self) -> None:
        if self._pending and not self._stall.heartbeat_due_at:
            self._stall.heartbeat_due_at = self._now + self._stall.heartbeat_interval_us
            self._schedule(self._stall.heartbeat_due_at, _BEAT, _WHOLE)  # when it fires, it has done its work

    # -- The server list ------------------------------------------------------------------------------

    def _ask(self) -> None:
        """Follow the list where it must be asked for, and again after a gap unless an answer comes first."""
        if self._settings.discovery is DiscoveryMode.ON_REQUEST:
            self._actions.append(WatchEndpoints(True))
            self._ask_after_gap()

    def _ask_in(self, wait: float) -> None:
        """Ask after this wait, in place of any earlier plan."""
        self._ask_due = self._now + int(wait)
        self._schedule(self._ask_due, _ASK, _WHOLE)

    def _ask_after_gap(self) -> None:
        """Ask again after a gap that grows with each call since the last answer, however those calls end."""
        allowed_us = self._settings.rules.poll_within_us
        gap = poll_schedule.retry_interval_us(
            self._calls_begun, self.others.upper_bound, allowed_us, self._poll_chance.random()
        )
        self._calls_begun = min(self._calls_begun + 1, CALLS_COUNTED_MOST)
        self._ask_in(gap)

    def _list_call_failed(self) -> None:
        """Plan the next call, unless it is planned already: a call's failure puts off none."""
        self._failed_calls = min(self._failed_calls + 1, CALLS_COUNTED_MOST)
        if self._settings.discovery is not DiscoveryMode.ON_REQUEST:
            return
        if self._ask_due is None:
            self._ask_after_gap()
        wait_s = max((self._ask_due or 0) - self._now, 0) / 1e6
        self._actions.append(
            LogMessage(f"list asked for again in {wait_s:.2f} s: {self._failed_calls} calls failed")
        )

    def _servers_listed(self, event: EndpointsUpdated) -> None:
        if event.kind is UpdateKind.FAILED:
            self._list_call_failed()
            return
        if event.kind is not UpdateKind.CACHED:
            self._failed_calls = self._calls_begun = 0
            self._ask_due = None
        touched = self._gone + [self._server_listed(line) for line in event.servers]
        if event.kind is not UpdateKind.DELTA:
            missing = self._servers.keys() - {line.name for line in event.servers}
            touched += [
                self._server_listed(ServerDescription(name, state=ServerState.REMOVED)) for name in missing
            ]
        if self._soundings is not None and self._ready:
            for server in self._ready[: self._soundings.start(self._now, len(self._ready))]:
                self._probe(server)
        mean_size = self._ready_size / max(len(self._ready), 1)
        self._gone = []
        for server in dict.fromkeys(touched):
            if server.state is ServerState.REMOVED:
                self._forget_gone(server)
            elif server.state is ServerState.READY and server.pace <= 0.0:
                # Until answers tell, a server is as quick as its nominal size.
                server.pace = mean_size / server.nominal if server.nominal > 0.0 else 1.0

    def _server_listed(self, line: ServerDescription) -> Server:
        """Note a line of the list, at a cost that hardly grows with the list."""
        server = self._servers.get(line.name)
        if server is None:
            self._heard_of += 1
            server = Server(line.name, self._heard_of, self._random.random(), server_tag(line.name))
            self._servers[line.name] = self._numbered[server.number] = server
        if server.state is ServerState.READY:
            self._stand(server, False)
        before, server.state = server.state, line.state
        if line.state is ServerState.REMOVED:
            return server  # its place is kept: what is out there still counts by it
        server.zone, server.cell = line.zone, line.cell
        if before is ServerState.REMOVED or line.nominal_capacity != server.nominal:
            server.pace = 0.0  # to be set by its nominal size
        server.nominal = max(line.nominal_capacity, 0.0)
        if line.state is ServerState.READY:
            self._stand(server, True)
        if line.started_at is not None and line.started_at != server.started_at:
            server.started_at = line.started_at
            self._turned_cold(server, line.started_at)
            if server.ejected_until is not None and line.state is ServerState.READY:
                self._readmit(server)  # a new process: what the old one did is history
        return server

    def _stand(self, server: Server, ready: bool) -> None:
        """Put a server among the ready ones, in this balancer's own order, or take it out."""
        self._ready_size += server.nominal if ready else -server.nominal
        for servers in (self._ready, self._near) if server.zone == self._settings.zone else (self._ready,):
            at = bisect.bisect_left(servers, server.place, key=lambda each: each.place)
            servers[at : at + (not ready)] = [server] * ready

    def _forget_gone(self, server: Server) -> None:
        """A server that has gone is no longer ejected: it would keep others from that; nor kept for long."""
        if server.ejected_until is not None:
            self.ejected.remove(server)
            self._young += server.young
            server.ejected_until = None
        if not self._busy(server) and server.probed_at is None:
            del self._servers[server.name], self._numbered[server.number]
        else:
            self._gone.append(server)

    # -- Requests -------------------------------------------------------------------------------------

    def _request_arrived(self, event: RequestArrived) -> None:
        kind = self._classes.get(event.request_class)
        if kind is None:
            # A class that the settings do not name: the least is assumed of it.
            allowed = max(event.remaining_us, 1)
            kind = RequestClass(event.request_class, allowed, allowed, ordered_by_key=self._in_order)
        self._arrivals.add(self._now, 1.0)
        if self._hearsay is not None and not event.client_retry:
            self._hearsay.note_request()
        self._extra = min(self._extra + EXTRA_PER_REQUEST, EXTRA_PER_REQUEST * EXTRA_SAVED)
        answer_by = self._now + event.remaining_us - TICKS_EARLY * self._settings.tick_us
        cost = self._relative_cost(kind, event.cost_us)
        flow = (kind.name, event.tenant)
        request = Request(event.request, kind, answer_by, cost, flow, not self._near_first)
        self._requests[event.request] = request
        self._schedule(answer_by, event.request, _WHOLE)
        if self._overloaded_for(request, event.tenant) or self._is_stale(kind, event.remaining_us):
            self._finish(request)
        elif event.tenant is not None and not self._may_spend(TENANT_REQUESTS, event.tenant):
            self._finish(request)
        elif kind.ordered_by_key and event.key is not None:
            self._line_up(request, event.key)
        else:
            self._place(request)

    def _is_stale(self, kind: RequestClass, remaining_us: int) -> bool:
        """Whether a request waited out its aim in an own stall, and a late answer is worth nothing.

        A try starts with the same time at all clients, more or less: what is missing of it was waited.
        """
        longest = max(self._longest_try.get(kind.name, 0), remaining_us)
        self._longest_try[kind.name] = longest
        return (
            self._stall.just_resumed
            and kind.late_value_ratio <= 0.0
            and longest - remaining_us >= kind.latency_objective_us
        )

    def _relative_cost(self, kind: RequestClass, cost_us: int | None) -> float:
        if not cost_us or cost_us < 0:
            return 1.0
        mean = self._mean_cost.get(kind.name, float(cost_us))
        self._mean_cost[kind.name] = mean + NORM_STEP * (cost_us - mean)
        return cost_us / mean if mean > 0 else 1.0

    def _place(self, request: Request) -> None:
        """Send the request to the best of k, or answer it where nothing is left to try."""
        server, tied = self._choose(request)
        if tied:
            self._ask_tied(request, tied)
        elif (server is None or not self._send(request, server)) and not request.is_out():
            self._finish(request)

    def _request_gone(self, event: RequestCancelled) -> None:
        request = self._requests.get(event.request)
        if request is not None and not request.answered:
            self._close(request)

    def _answer_started(self, event: ResponseStarted) -> None:
        request = self._requests.get(event.request)
        if request is not None and event.attempt < len(request.attempts):
            attempt = request.attempts[event.attempt]
            attempt.started = True
            attempt.server.last_answer_at = self._now  # it is not silent, however long the rest takes
            self._age(attempt)

    # -- Order: where a class asks for it, requests with one key run one at a time --------------------

    def _line_up(self, request: Request, key: int) -> None:
        request.queue = queue = self._queues.setdefault(key, Queue(key))
        queue.requests.append(request)
        self._moved.append(queue)

    def _take_turns(self) -> None:
        """Place each request that has come to the head of its queue; one at rest is looked at again later.

        A queue is forgotten once it is empty and rested, so keys that are not in use cost nothing.
        """
        while self._moved:
            queue = self._moved.popleft()
            while queue.requests and queue.requests[0].is_over():
                queue.requests.popleft()
            if self._now < queue.rests_until:
                self._schedule(queue.rests_until, queue.key, _TURN)
            elif not queue.requests:
                self._queues.pop(queue.key, None)
            elif not (head := queue.requests[0]).attempts and not head.answered and not head.asked:
                self._place(head)  # if that ends it, its queue moves once more

    def _has_turn(self, request: Request) -> bool:
        """Whether the order of its key lets this request out now; its own further attempts may always go."""
        queue = request.queue
        if queue is None or request.attempts:
            return True
        while queue.requests and queue.requests[0].is_over():
            queue.requests.popleft()
        return queue.requests[0] is request and self._now >= queue.rests_until

    # -- Overload: refuse early, the least worthy first -----------------------------------------------

    def _feel(self, spent: float) -> None:
        """Follow how much of its aim the typical answer takes, and size the window by it."""
        (self._in_time if spent <= 1.0 else self._too_late).add(self._now, 1.0)
        if self._strain.floor_ratio is None and self._window == math.inf:
            self._sized_from = self._now + int(NEW_AIMS * self._longest_aim)
        self._strain.add_latency(self._now, spent, self._young <= FREE * self._window)
        self._size_window()

    def _chance(self) -> float:
        """The fewer answers there are, the more of the median is chance: it must be further off to count."""
        return (self._stretch() - 1.0) / (STRETCH_MOST - 1.0)

    def _stretch(self) -> float:
        """How much longer than in a busy balancer it takes here to tell a change from chance."""
        return max(1.0, min(MANY / max(self._mean_load, 1e-9), STRETCH_MOST))

    def _follow_load(self) -> None:
        lapse = self._now - self._load_at
        if lapse > 0:
            self._load_at = self._now
            span = self._stretch() * self._longest_aim
            self._mean_load = min(self._mean_load, max(self._young, self._window, 1.0))  # more delays relief
            self._mean_load += (self._young - self._mean_load) * (1.0 - math.exp(-lapse / span))

    def _size_window(self) -> None:
        """Shrink or grow the window by how far the typical answer is from the allowed level.

        In flight is what the window bounds, not arrivals: a surge meets it at once.  By Little's law, what is answered
        at this rate within the level needs rate times time in flight; below that, late news would shut the window.
        """
        strain = self._strain
        if self._probes > 1:
            return  # probes tell
        over = (
            -1.0
            if strain.cpu_utilization is None
            else (strain.cpu_utilization - CORES_BUSY) / (1.0 - CORES_BUSY)
        )
        fresh = self._now < self._sized_from
        dear = self._connecting > 0.0 and over > 0.0  # what is too much costs connections on top
        if fresh and strain.late_share < 10 * LATE_ALLOWED and not strain.is_overload_evident() and not dear:
            return  # every connection is new, the rates are not full: less than half late may be chance
        stretch = self._stretch()
        lapse = min(self._now - self._sized_at, stretch * self._longest_aim / 4)
        self._sized_at = self._now
        level = strain.acceptable_ratio(self._chance())
        excess = strain.overload_excess()
        if strain.cpu_utilization is not None and (stretch > 1.0 or strain.cpu_utilization < CORES_SPARE):
            # Late answers from servers with idle cores tell of a few slow ones, of broken connections or of
            # this balancer's own lag, not of too many requests: refusing would only bring clients back.
            # Harm: overload that cores don't show.  Else a busy balancer goes by answers, which come sooner.
            excess = min(excess, over)
        least = -1.0 if not dear else over if fresh else 0.0
        excess = max(least, min(excess, 1.0))
        saturated = (
            (dear and fresh)
            or (strain.cpu_utilization or 0.0) >= CORES_SATURATED
            or strain.is_overload_evident()
        )
        if excess > 0.0 and strain.late_share < LATE_ALLOWED and not saturated:
            return  # slower than usual, yet in time
        if excess > 0.0:
            self._window = min(self._window, max(self._young, self._mean_load / FREE))
        elif not self._bound:
            return  # it refused nothing, so nothing says that it is too small
        self._bound = False
        aims = WINDOW_AIMS if excess > 0.0 else REOPEN_AIMS
        change = min(math.exp(-excess * lapse / (aims * self._longest_aim)), GROWTH_MOST)
        self._served_aims.set_window_us(stretch * self._longest_aim)
        borne = level * self._served_aims.per_us(self._now)
        least = level * self._borne.admissible_load(self._now, self._capacity())
        self._window = max(self._window * change, min(max(borne, least), self._window), LEAST_WINDOW)

    def _capacity(self) -> float:
        """What the ready servers can do by now, nominally; looked at once a beat."""
        if self._now >= self._capacity_due:
            self._capacity_due = self._now + self._stall.heartbeat_interval_us
            self._able = sum(s.nominal * self._warmth(s) for s in self._ready if s.ejected_until is None)
        return self._able

    def _age(self, attempt: Attempt) -> None:
        """An attempt has ended, or its aim is past: it counts no more for what all servers hold."""
        if attempt.young:
            attempt.young = False
            attempt.server.young -= 1
            self._young -= attempt.server.ejected_until is None

    def _fill(self) -> float:
        """How much of the window is taken; where it holds few, the mean counts, as two at once are chance."""
        certain = min(self._window / MANY, 1.0)
        return (self._mean_load + certain * (self._young - self._mean_load)) / self._window

    def _overloaded_for(self, request: Request, tenant: str | None) -> bool:
        """Whether to refuse a new request: likelier under more pressure, and for less worth.

        Guards against collapse: a fleet that answers all too late serves nobody, and clients repeat
        what fails late.  As the window fills, the part let in falls by powers, sooner for the less worthy.
        """
        mine = self._traffic.note_request(self._now, request.kind, tenant)
        if self._probes > 1:
            request.standing = self._traffic.rank(self._now, mine)
            return False  # probes will tell
        if max(self._arrivals.per_us(self._now) * self._longest_aim, self._young) < MANY / 2:
            return self._sheds_by_count(self._traffic.rank(self._now, mine))
        fill = self._fill()
        if fill <= FREE:
            return False
        pressure = STEEP * (fill - FREE) / (1.0 - FREE)
        let_in = math.exp(-SLANT * pressure * (1.0 - self._traffic.rank(self._now, mine)))
        if fill < 1.0 and self._random.random() < let_in:
            return False
        self._bound = True
        return not self._strain.claim_probe_admission(
            self._now
        )  # who refuses all hears nothing of the end of a jam

    def _sheds_by_count(self, standing: float) -> bool:
        """Whether to refuse where few requests come: by counts over a fixed time, so that relief is seen."""
        if self._strain.cpu_utilization is not None and self._strain.cpu_utilization < CORES_IDLE:
            return False  # late answers from servers with idle cores tell of a few slow ones
        span = SPARSE_AIMS * self._longest_aim
        in_time = self._in_time.per_us(self._now) * span + SPARSE_PRIOR
        missed = (self._too_late.per_us(self._now) + self._shed.per_us(self._now)) * span
        # What is out tells of a surge before any of it is late; by itself it may be a burst and no more.
        short = 1.0 - SPARSE_ROOM * in_time / (in_time + missed + min(missed, 1.0) * self._young)
        if short > 0.0 and self._random.random() < 2.0 * short * (1.0 - standing):
            self._shed.add(self._now, 1.0)
            return True
        return False

    # -- The draw -------------------------------------------------------------------------------------

    def _choose(self, request: Request) -> tuple[Server | None, list[Server]]:
        """Best of k: of k random distinct servers, the one with the fewest own requests in flight.

        Gives those that tie with it too, where probes are cheap enough to settle that.
        """
        trial = self._trial_due(request)
        if trial is None and self._guide is not None and not request.attempts:
            trial = self._guided(request, self._guide)
        if trial is not None:
            return trial, []
        request.spread = request.spread or self._stall.just_resumed
        pool = self._within_reach(self._ready if request.spread else self._near, request)
        if len(pool) < 2 and not request.spread:
            request.spread = True
            pool = self._within_reach(self._ready, request)
        if not pool:
            return None, []
        if self._remote_at != self._now:
            self._remote_at, self._remote = self._now, 1.0 if self._near_first else self._weigh_zones()
        power = min(max(1.0, float(request.size)), HEAVY_POWER)
        odds = [self._odds(each, power) for each in pool]
        drawn = self._drawn(pool, odds, DRAWN << request.said_full)
        best = min(drawn, key=self._rank)
        if (
            self._probes > 1 and not self._stall.just_resumed
        ):  # others that stalled with it would hear the same
            return best, sorted(drawn, key=self._busy)[: self._probes]
        return best, []

    def _rank(self, server: Server) -> tuple[int, float]:
        """Own requests in flight, then what all others are known to have there by how quick it is."""
        others = self._hearsay.requests_at(server.tag) if self._hearsay is not None else 0
        fresh = FRESH_COST if self._connecting > 0.0 and not server.idle else 1.0
        return self._busy(server), (others + 1) * max(server.pace, 1.0 / PACE_CLIP) * fresh

    def _message_received(self, event: GossipReceived) -> None:
        if self._hearsay is not None and event.sender != self._settings.instance:
            self._hearsay.receive(self._now, event.sender, event.payload)

    def _tell_others(self) -> None:
        """Tell the other balancers what is in flight here, as often as that is worth its price."""
        if self._hearsay is None or not self._hearsay.is_due(self._now):
            return
        if self._now - self._heard_at >= self._stall.heartbeat_interval_us:
            self._heard_at = self._now
            self._hearsay.expire(self._now)
        if told := self._hearsay.build_message(
            self._now, [(s.tag, self._busy(s)) for s in self._servers.values()]
        ):
            self._actions.append(SendGossip(None, told))

    def _guided(self, request: Request, guide: RoutingPlan) -> Server | None:
        """Best of the few that the guide draws; none where it draws none, or none of them can be sent to."""
        drawn = [self._servers.get(name) for name in guide.sample(self._now, self._random.random)]
        able = [s for s in drawn if s and s.state is ServerState.READY and s.pace < GUIDED_PACE]
        fit = [s for s in able if self._eligible(s, request)]
        return min((s for s in fit if self._busy(s) < guide.capacity(s.name)), key=self._busy, default=None)

    def _within_reach(self, servers: list[Server], request: Request) -> list[Server]:
        """The first eligible servers in this balancer's own order, as many as its traffic can know.

        Guards against a large fleet seen from many small balancers: each would hold a connection to each
        server, more than servers accept, and learn next to nothing of any.  A busy balancer reaches all.
        """
        reach = self._reach()
        pool, shut = list[Server](), list[Server]()
        for each in servers:
            if self._eligible(each, request):
                away = each.turned_away.get(request.flow)
                (pool if away is None or away[0] <= self._now else shut).append(each)
                if len(pool) >= reach:
                    break
        return pool if len(pool) >= min(OPEN_LEAST, reach) else pool + shut[: reach - len(pool)]

    def _reach(self) -> int:
        return int(REACH + REACH_PER_BUSY * self._mean_load)

    def _busy(self, server: Server) -> int:
        """Own requests in flight at a server, with those given up on: they may well run on there.

        Guards against a slow or hung server that looks empty because its attempts were called off.
        """
        if server.ghosts:
            server.ghosts = [until for until in server.ghosts if until > self._now]
        return server.in_flight + len(server.ghosts)

    def _drawn(self, pool: list[Server], odds: list[float], count: int) -> list[Server]:
        """Draw distinct servers by their odds; the order is random too, so the first of equals is chance."""
        drawn = []
        left = list(range(len(pool)))
        total = sum(odds)
        for _ in range(min(count, len(pool))):
            point = self._random.random() * total
            at = 0
            while at < len(left) - 1 and point >= odds[left[at]]:
                point -= odds[left[at]]
                at += 1
            index = left.pop(at)
            total -= odds[index]
            drawn.append(pool[index])
        return drawn

    def _odds(self, server: Server, power: float) -> float:
        """Slower servers are drawn less: with few requests most counters are zero, and the draw decides.

        Still less for heavy requests, which only quick servers can answer in time.
        """
        near = 1.0 if server.zone == self._settings.zone else self._remote
        pace = math.pow(max(server.pace, 1.0 / PACE_CLIP), power)
        warmth = 1.0 if server.cold_since is None else min(COLD_ODDS * self._warmth(server), 1.0)
        return near * warmth / pace

    def _weigh_zones(self) -> float:
        """Odds of servers in other zones: less while the own zone is as quick as theirs.

        Spares crossings without the trap of a zone that has more traffic than servers: as the own zone's pace
        falls behind, or answers come late anywhere, the odds even out.
        """
        crowded = self._strain.late_share >= LATE_ALLOWED or self._fill() > FREE
        if self._settings.prices.cross_zone <= 0.0 or crowded:
            return 1.0  # room anywhere is worth more than a crossing
        awake = [each for each in self._ready if each.ejected_until is None]
        near = [each.pace for each in awake if each.zone == self._settings.zone]
        far = [each.pace for each in awake if each.zone != self._settings.zone]
        if not near or sum(far) <= 0.0:
            return 1.0
        behind = (sum(near) / len(near)) / (sum(far) / len(far)) - 1.0
        return max(REMOTE_LEAST, min(behind / REMOTE_EVEN, 1.0))

    def _eligible(self, server: Server, request: Request) -> bool:
        if server.ejected_until is not None:
            return False
        if request.attempts:
            out = [each.server for each in request.attempts if each.pending]  # a second copy goes elsewhere
            if server in request.tried or server in out or not self._in_group(request, server):
                return False
        return server.cold_since is None or self._cold_room(server, request.cost)

    # -- Probes: what settles a tie -------------------------------------------------------------------

    def _probes_a_request(self) -> int:
        settings = self._settings
        probed = settings.report_source is ReportSource.HEALTH_CHECKS and settings.limits.health_checks
        if not probed or "inflight" not in settings.report_columns:
            return 0
        return int(min(PROBE_SPEND / max(settings.prices.health_check, 1e-9), DRAWN))

    def _ask_tied(self, request: Request, tied: list[Server]) -> None:
        """Ask tied candidates how many requests they hold, and hold the request till they say.

        With many balancers of few requests nearly all counters are zero, and the tie-break is the whole
        choice.  A server that does not answer in the time that others do is passed over.
        """
        wait = min(PROBE_AIMS * request.kind.latency_objective_us, PROBE_WAIT * self._probe_time)
        request.asked = tied
        request.asked_until = self._now + int(wait)
        self._asking[request.ident] = request
        for server in tied:
            if server.probed_at is None:
                self._probe(server)
        self._schedule(request.asked_until, request.ident, _ASKED)

    def _probe_ended(self, event: HealthCheckEnded) -> None:
        server = self._servers.get(event.server)
        if server is None:
            return
        server.probed_at = server.reported = None
        if server.ejected_until is not None and event.outcome in (Outcome.DELIVERED, Outcome.CONNECT_FAILED):
            self._readmit(server) if event.outcome is Outcome.DELIVERED else self._eject(server, "unreached")
        if self._soundings is not None:
            self._sounded(self._soundings, event.report)
        if event.outcome is Outcome.DELIVERED:
            usual = self._probe_time if self._probe_time < math.inf else float(event.elapsed_us)
            self._probe_time = usual + PROBE_STEP * (event.elapsed_us - usual)
            server.reported = (event.report or {}).get("inflight")
        for request in list(self._asking.values()):
            if all(each.probed_at is None for each in request.asked):
                self._settle(request)

    def _sounded(self, soundings: StartupProbes, report: Mapping[str, float] | None) -> None:
        """Begin with a fair share of what the fleet holds where it is full already, not with all that comes."""
        soundings.add_result(report, self._strain.acceptable_ratio(1.0))
        share = soundings.fair_share(self._now, len(self._ready))
        if share is not None and self._window == math.inf:
            self._window = max(share, 1.0)
            self._sized_at = self._sized_from = self._now
            self._strain.assume_at_capacity(self._now)

    def _settle(self, request: Request) -> None:
        """Send a request whose probes are back, or were waited for long enough, to the least loaded."""
        self._asking.pop(request.ident, None)
        tied, request.asked = request.asked, []
        if request.answered:
            return
        able = [each for each in tied if self._eligible(each, request)]
        heard = [each for each in able if each.probed_at is None and each.reported is not None]
        best = min(heard, key=self._probed_rank, default=None)
        if not request.spread:
            here, idle = None if best is None else self._expected(best), self._by_held.predict(0.0)
            if best is None or (here is not None and idle is not None and here - idle > self._crossing):
                request.spread = True
                self._place(request)
                return
        best = best or next(iter(able), None)
        if best is not None and not request.attempts:
            ratio = self._expected(best) if (self._held(best) or 0.0) >= CROWDED_LEAST else None
            bearable = BEARABLE_SPENT - BEARABLE_SPREAD * (1.0 - request.standing)
            if ratio is not None and ratio > bearable and self._random.random() >= TRICKLE:
                best = None
        if best is None or not self._send(request, best):
            if not request.is_out():
                self._finish(request)
        elif best.probed_at is None:
            request.attempts[-1].held = self._held(best)

    def _held(self, server: Server) -> float | None:
        """What its last probe says it holds, for its size: a large server bears more; None: not known."""
        size = server.nominal * len(self._ready) / max(self._ready_size, 1e-9)
        return None if server.reported is None else server.reported / max(size, LEAST_SIZE)

    def _expected(self, server: Server) -> float | None:
        """The part of its aim that an answer is expected to take there; None: not known."""
        held = self._held(server)
        return None if held is None else self._by_held.predict(held)

    def _probed_rank(self, server: Server) -> tuple[int, float, float]:
        away = self._crossing if server.zone != self._settings.zone else 0.0
        if not server.idle or self._now - server.idle_since >= self._settings.limits.idle_timeout_us:
            away += self._connecting
        held = ((server.reported or 0.0) + 1.0) * server.pace / self._warmth(server)  # cold ones look idle
        return self._busy(server), (self._by_held.predict(held) or 0.0) + away, held

    # -- Connections: where they are priced, few are opened and idle ones closed ----------------------

    def _connection_idle(self, server: Server) -> None:
        """Close the connections to a server once holding them idle has cost as much as opening one.

        Guards against many small balancers that each hold a few connections hardly used: servers accept
        only so many, and a fuller table takes of their capacity.
        """
        prices, limits = self._settings.prices, self._settings.limits
        if self._now - server.idle_since >= limits.idle_timeout_us:
            server.idle = 0
        server.idle += 1
        server.idle_since = self._now
        if prices.connection <= 0.0 or limits.streams_per_connection > 1:
            return
        # A connection costs its price a hundredth part a request that a server gets meanwhile.
        worth_holding = 100.0 * prices.handshake / prices.connection / max(self._server_rate(), 1e-9)
        if worth_holding < limits.idle_timeout_us:
            server.close_due = self._now + int(worth_holding) + 1
            self._schedule(server.close_due, server.number, _IDLE)

    def _server_rate(self) -> float:
        """Requests a microsecond that a server gets, from all balancers."""
        from_all = self._arrivals.per_us(self._now) * self.others.upper_bound
        return self._by_held.throughput(self._longest_aim) or from_all / max(len(self._ready), 1)

    # -- The send gate --------------------------------------------------------------------------------

    def _send(self, request: Request, server: Server) -> bool:
        """The one way out for an attempt.  Says whether the attempt was allowed and sent."""
        limits = self._settings.limits
        if request.answered or self._now >= request.answer_by:
            return False  # rule 1: nothing after the final answer, nothing that cannot be answered in time
        if len(request.attempts) >= limits.max_attempts:
            return False
        if not self._has_turn(request):
            return False  # order
        if not limits.hedging and request.is_out():
            return False  # rule 2
        write_by = self._repeat_by(request)
        if self._now >= write_by or not self._in_group(request, server):
            return False  # rule 2
        if server.state is not ServerState.READY:
            return False  # rule 3: at once on hearing, without use of the grace
        if not self._cold_room(server, request.cost):
            return False  # rule 4
        if request.attempts and not self._may_spend(RETRIES):
            return False  # the fleet's budget
        if self._is_cold(server):
            server.allowance -= request.cost
        verdict = self._strain.start_check(self._now, request.kind.latency_objective_us, self._chance())
        number, home = len(request.attempts), (server.zone, server.cell)
        attempt = Attempt(
            number, server, home, self._now, self._stall.stalled_total_us, self._answers, verdict
        )
        request.attempts.append(attempt)
        server.in_flight += 1
        server.young += 1
        server.idle = max(server.idle - 1, 0)
        self._pending += 1
        if server.ejected_until is None:
            self._young += 1
        else:
            server.trial = attempt
        self._schedule(self._now + self._patience(request, server), request.ident, attempt.index)
        self._actions.append(SendAttempt(request.ident, server.name, request.answer_by, write_by))
        return True

    def _may_spend(self, what: str, tenant: str | None = None) -> bool:
        return self.spending is None or self.spending.acquire(what, tenant, self._now)

    def _may_run_again(self, request: Request) -> bool:
        """Whether the request's class lets another attempt out now."""
        return self._now < self._repeat_by(request)

    def _repeat_by(self, request: Request) -> int:
        """By when another attempt has to be written whole, by the request's class."""
        first_maybe = next((each for each in request.attempts if each.may_have_run), None)
        if first_maybe is None or request.kind.idempotency is Idempotency.IDEMPOTENT:
            return max(request.answer_by, self._now + 1)
        if request.kind.idempotency is Idempotency.NON_IDEMPOTENT:
            return 0
        # Keyed: servers forget; one tick less, since the clock is read once a tick.
        return first_maybe.sent_at + request.kind.idempotency_window_us - self._settings.tick_us

    @staticmethod
    def _in_group(request: Request, server: Server) -> bool:
        """Whether a keyed request that may have run would have its repeat dropped at this server."""
        if (
            request.kind.idempotency is not Idempotency.KEYED
            or request.kind.idempotency_scope is IdempotencyScope.ALL
        ):
            return True
        here = (server.zone, server.cell)
        zone, cell = next((each.home for each in request.attempts if each.may_have_run), here)
        return (
            zone == server.zone
            if request.kind.idempotency_scope is IdempotencyScope.ZONE
            else cell == server.cell
        )

    # -- The final answer gate ------------------------------------------------------------------------

    def _finish(self, request: Request) -> None:
        """The one way out for an answer that is not a server's: a refusal where legal, else a failure."""
        if request.answered:
            return
        kind = request.kind
        harmless = kind.idempotency is Idempotency.IDEMPOTENT or (
            kind.idempotency is Idempotency.KEYED and kind.idempotency_scope is IdempotencyScope.ALL
        )
        harmless = harmless or not any(each.may_have_run for each in request.attempts)
        limits = self._settings.limits  # spread out, or those refused at once would be back at once
        back = min(
            BACK_AIMS * kind.latency_objective_us * (0.5 + self._random.random()), limits.max_retry_after_us
        )
        refusal = Reject(request.ident, int(back) if limits.retry_after else 0)
        self._actions.append(refusal if harmless else Fail(request.ident))
        self._close(request)

    def _close(self, request: Request) -> None:
        """Nothing is owed any more; attempts still out are called off where that is permitted."""
        request.answered = True
        for attempt in request.attempts:
            if attempt.pending and not attempt.started and self._settings.limits.cancellation:
                self._actions.append(CancelAttempt(request.ident, attempt.index))
        self._forget_if_over(request)

    def _forget_if_over(self, request: Request) -> None:
        if request.is_over():
            self._requests.pop(request.ident, None)
            if request.queue is not None:
                self._moved.append(request.queue)

    # -- How attempts end -----------------------------------------------------------------------------

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self._requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.pending:
            return
        attempt.pending = False
        if event.outcome is Outcome.DELIVERED:
            self._strain.complete_check(self._now, attempt.verdict)
        elif event.outcome is not Outcome.TIMED_OUT:
            attempt.verdict.pending = False
        attempt.may_have_run = event.outcome not in self._proves_unrun
        if request.queue is not None and event.outcome in _MAY_RUN_ON:
            request.queue.rests_until = self._now + self._settings.rules.ordering_pause_us
        attempt.server.in_flight -= 1
        self._pending -= 1
        self._age(attempt)
        if event.outcome in _CONNECTED:
            self._connection_idle(attempt.server)
        self._judge(request, attempt, event.outcome)
        if event.report and event.report.get("util", UTIL_MOST) < UTIL_MOST:
            self._strain.add_cpu_report(min(max(event.report["util"], 0.0), 1.0))
        if event.outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            if not (attempt.felt or request.answered or event.answered):
                self._too_late.add(self._now, 1.0)
            until = self._now + int(GHOST_LIFE * event.elapsed_us)
            attempt.server.ghosts.append(until)
            if event.elapsed_us > self._usual(request) * attempt.server.pace and not self._stall.catching_up:
                self._pace(attempt.server, request, event.elapsed_us)
        if event.outcome is Outcome.ERROR:
            # A quick error must not look like a quick server: it counts as the slowest answer there is.
            self._pace(attempt.server, request, int(PACE_CLIP * self._usual(request)))
        if event.outcome is Outcome.DELIVERED:
            self._served_aims.add(self._now, request.kind.latency_objective_us)
            if event.elapsed_us <= request.kind.latency_objective_us:
                self._borne.note_timely_response(self._now, request.kind.latency_objective_us)
        if event.outcome is Outcome.DELIVERED and not self._stall.catching_up:
            if attempt.held is not None:
                expected = self._by_held.predict(attempt.held)
                most = LOST_SPENT if expected is None else max(FIT_CLIP * expected, FIT_FLOOR)
                self._by_held.add(
                    attempt.held, min(event.elapsed_us / request.kind.latency_objective_us, most)
                )
            self._time(attempt.server, request, event.elapsed_us)
            if not attempt.felt:
                self._feel(event.elapsed_us / request.kind.latency_objective_us)
            attempt.server.turned_away.pop(request.flow, None)
        elif event.outcome is Outcome.REJECTED and not self._turned_away(
            request, attempt.server, event.report
        ):
            self._feel(LOST_SPENT)
        if event.answered:
            if not request.answered:
                self._close(request)
        elif not request.answered:
            request.tried.append(attempt.server)
            if event.outcome is Outcome.REJECTED:
                request.said_full += 1
                self._place(request)
            elif self._may_run_again(request) and self._extra >= 1.0:
                self._extra -= 1.0
                self._place(request)
            elif not request.is_out():
                self._finish(request)
        self._forget_if_over(request)

    def _turned_away(self, request: Request, server: Server, report: Mapping[str, float] | None) -> bool:
        """Learn from a full answer; say whether the server had room, so that it tells of no overload.

        Guards against servers that admit little of one class or tenant: its requests go elsewhere, for longer
        each time.  Where too few servers are left they are tried again.
        """
        times = server.turned_away.get(request.flow, (0, 0))[1]
        wait = min(EJECT_AIMS * 2**times, EJECT_AIMS_MOST) * self._longest_aim
        if not self._may_run_again(request):
            wait = EJECT_AIMS_MOST * self._longest_aim  # each further trial would fail a request
        until = self._now + int(wait * (0.75 + 0.5 * self._random.random()))
        server.turned_away[request.flow] = (until, min(times + 1, 8))
        return report is not None and report.get("util", 1.0) < CORES_BUSY

    # -- Pace: how long a server takes, relative to the usual for such requests -----------------------

    def _usual(self, request: Request) -> float:
        """The usual time of such a request, over all servers."""
        return self._norms.get(
            (request.kind.name, request.size), UNSEEN_AIMS * request.kind.latency_objective_us
        )

    def _pace(self, server: Server, request: Request, elapsed_us: int) -> None:
        ratio = min(elapsed_us / max(self._usual(request), 1.0), PACE_CLIP)
        server.pace += PACE_STEP * self._stretch() * (ratio - server.pace)

    def _time(self, server: Server, request: Request, elapsed_us: int) -> None:
        kind = (request.kind.name, request.size)
        usual = self._norms.setdefault(kind, float(elapsed_us))  # the first answer of its kind is usual
        self._pace(server, request, elapsed_us)
        self._norms[kind] = usual + NORM_STEP * (elapsed_us - usual)

    # -- Overdue attempts: silent servers are left, and repeatable requests saved ---------------------

    def _patience(self, request: Request, server: Server) -> int:
        usual = PATIENCE * self._usual(request) * max(server.pace, 1.0)
        return int(max(usual, PATIENCE_AIMS * request.kind.latency_objective_us, self._settings.tick_us))

    def _overdue(self, request: Request, attempt: Attempt) -> None:
        """An attempt takes far longer than usual.

        Guards against servers that take work and answer nothing, long before time-outs would tell.  A server
        that answered anything since is slow, not silent; if others were as silent, all are overloaded.
        """
        server = attempt.server
        silent, others = server.last_answer_at <= attempt.sent_at, self._answers - attempt.answers_before
        if self._stall.catching_up:
            # Its answer may be among what came meanwhile.
            self._schedule(
                self._stall.catching_up_until + self._settings.tick_us, request.ident, attempt.index
            )
            return
        waited = self._now - attempt.sent_at - (self._stall.stalled_total_us - attempt.absent_before)
        if waited < request.kind.latency_objective_us:
            self._schedule(
                self._now + request.kind.latency_objective_us - waited, request.ident, attempt.index
            )
        else:
            self._age(attempt)
        if waited >= request.kind.latency_objective_us and not attempt.felt and server.ejected_until is None:
            # Late already, though no answer says so yet: waiting for one would see a surge too late.
            attempt.felt = True
            if self._strain.cpu_utilization is not None and silent:
                self._strain.add_cpu_report(1.0)  # no answer, no report: reports alone flatter
            self._feel(LOST_SPENT)
        enough = max(
            SILENCE * self._patience(request, server), SILENT_AIMS * request.kind.latency_objective_us
        )
        if silent and waited < enough:
            self._schedule(self._now + int(enough) - waited, request.ident, attempt.index)
        elif silent and server.ejected_until is None and others >= QUIET_PEERS:
            self._eject(server, "silent", SILENT_MOST)
        silent = silent and server.ejected_until is not None
        limits = self._settings.limits
        spent = self._extra < 1.0 or len(request.attempts) >= limits.max_attempts
        if not silent or spent or not self._may_run_again(request):
            return  # waiting is all that is left
        if limits.hedging:
            self._extra -= 1.0
            self._place(request)
        elif limits.cancellation:
            self._actions.append(CancelAttempt(request.ident, attempt.index))  # its end draws again

    # -- Outlier ejection -----------------------------------------------------------------------------

    def _judge(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Learn of a server's health from the end of an attempt."""
        server = attempt.server
        trial = server.trial is attempt
        if trial:
            server.trial = None
        if outcome is Outcome.DELIVERED:
            server.strikes = server.unreached = 0
            server.erred *= ERRED_KEPT
            server.last_answer_at = self._now
            self._answers += 1
            if not self._is_cold(server):
                self._served_warm.add(self._now, request.cost)  # overload serves the light ones
            if server.ejected_until is not None:
                self._readmit(server)
        elif outcome in (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CONNECT_FAILED, Outcome.ERROR):
            if outcome is Outcome.TIMED_OUT and server.last_answer_at > attempt.sent_at:
                return  # it is slow, not sick: it answered others meanwhile
            if (
                outcome in (Outcome.TIMED_OUT, Outcome.CONNECT_FAILED)
                and self._stall.catching_up
                and not trial
            ):
                return  # this balancer was slow
            server.strikes += 1
            server.erred += outcome is Outcome.ERROR
            server.unreached = server.unreached + 1 if outcome is Outcome.CONNECT_FAILED else 0
            struck = server.strikes >= self._strikes(attempt) or server.erred >= ERRED
            if trial or (struck and server.ejected_until is None):
                self._eject(server, outcome.value)
                if server.unreached >= (1 if trial else self._strikes(attempt)):  # what broke proves nothing
                    self._cut_off_at = self._now
                    self._turned_cold(server, self._now)  # its process may come back before the list says so

    def _strikes(self, attempt: Attempt) -> int:
        """Failures in a row that eject a server: one failed dial, where another is out of reach just now.

        Zones are lost whole.  But not of a server that answers others meanwhile: it is full.
        """
        alike = self._now - self._cut_off_at <= self._longest_aim
        lost = attempt.server.unreached > 0 and attempt.server.last_answer_at <= attempt.sent_at
        return 1 if alike and lost else STRIKES

    def _eject(self, server: Server, reason: str, most: float = EJECTED_MOST) -> None:
        if server.state is ServerState.REMOVED:
            return
        if server.ejected_until is None:
            known = len(self._ready) if server.unreached else min(len(self._ready), self._reach())
            if len(self.ejected) + 1 > most * known:
                return
            self.ejected.append(server)
            self._young -= server.young
            self._actions.append(LogMessage(f"ejected {server.name}: {reason}"))
        aims = min(EJECT_AIMS * 2**server.ejections, EJECT_AIMS_MOST)
        server.ejections = min(server.ejections + 1, 8)
        wait = aims * self._longest_aim * (0.75 + 0.5 * self._random.random())
        server.ejected_until = self._now + int(wait)

    def _readmit(self, server: Server) -> None:
        server.ejected_until = None
        self.ejected.remove(server)
        self._young += server.young
        server.ejections = server.strikes = 0
        server.erred = 0.0
        if server.cold_since is not None and server.cold_since != server.started_at:
            self._turned_cold(server, self._now)
        self._actions.append(LogMessage(f"readmitted {server.name}"))

    def _trial_due(self, request: Request) -> Server | None:
        """An ejected server comes back by one trial at a time, with a request that may be repeated."""
        if request.attempts or not self.ejected:
            return None
        due = (each for each in self.ejected if self._now >= (each.ejected_until or 0) and not each.trial)
        fit = [s for s in due if s.state is ServerState.READY and self._cold_room(s, request.cost)]
        if self._settings.limits.health_checks and not self._tries_safely:
            lost = [each for each in fit if each.unreached]
            if lost and lost[0].probed_at is None and self._may_spend(HEALTH_CHECKS):
                self._probe(lost[0])  # its answer brings the server back
            fit = [each for each in fit if not each.unreached]
        repeat = Idempotency.IDEMPOTENT if self._tries_safely else Idempotency.KEYED
        return fit[0] if fit and request.kind.idempotency is repeat else None

    def _probe(self, server: Server) -> None:
        server.probed_at = self._now
        self._actions.append(CheckHealth(server.name))

    # -- Slow start -----------------------------------------------------------------------------------

    def _turned_cold(self, server: Server, since: int) -> None:
        server.cold_since = since
        server.allowance = 0.0
        server.allowance_at = self._now

    def _is_cold(self, server: Server) -> bool:
        return (
            server.cold_since is not None and self._now < server.cold_since + self._settings.rules.warmup_us
        )

    def _warmth(self, server: Server) -> float:
        """The least share of its capacity that the server has by now."""
        rules = self._settings.rules
        if server.cold_since is None or not self._is_cold(server):
            return 1.0
        age = max(self._now - server.cold_since, 0)
        return rules.warmup_start_ratio + (1.0 - rules.warmup_start_ratio) * age / rules.warmup_us

    def _cold_room(self, server: Server, cost: float) -> bool:
        """Whether a cold server's budget has room for a request of this cost.

        Guards rule 4.  The budget fills with a part of what would push the server over, judged by what this
        balancer's warm servers serve for it; all balancers doing so stay under the whole.  It starts empty.
        """
        if not self._is_cold(server):
            return True
        rules = self._settings.rules
        bearable = self._bearable_by_mean() * min(server.nominal / self._mean_size, 1.0)
        limit = rules.overload_multiple * self._warmth(server) * bearable
        most = max(1.0, COLD_BURST * limit * rules.overload_window_us)
        share = (
            COLD_SHARE
            if self._guide is None
            else COLD_SHARE * self._guide.slow_start_ratio(server.name, self._now)
        )
        filled = share * limit * max(self._now - server.allowance_at, 0)
        server.allowance = min(server.allowance + filled, most)
        server.allowance_at = self._now
        return server.allowance >= min(cost, most)

    def _bearable_by_mean(self) -> float:
        """What a warm server serves for this balancer; worked out once for each instant."""
        if self._bearable_at != self._now:
            self._bearable_at = self._now
            warm = [each for each in self._ready if not self._is_cold(each)]
            peers = warm or self._ready  # ejected ones too: they served a part of what is counted
            served = self._served_warm if warm else self._arrivals
            self._bearable = served.per_us(self._now) / max(min(len(peers), self._reach()), 1)
            self._mean_size = sum(each.nominal for each in peers) / max(len(peers), 1) or 1.0
        return self._bearable

    # -- Timers: one agenda, and one timer at a time for its head -------------------------------------

    def _schedule(self, due: int, what: int, index: int) -> None:
        self._agenda_order += 1
        heapq.heappush(self._agenda, (due, self._agenda_order, what, index))

    def _timer_fired(self, _event: TimerFired) -> None:
        if self._timer_due is not None and self._now >= self._timer_due:
            self._timer_due = None
        while self._agenda and self._agenda[0][0] <= self._now:
            due, _, what, index = heapq.heappop(self._agenda)
            if self._is_idle(due, what, index):
                continue
            if index == _TURN:
                self._moved.append(self._queues[what])
            elif index == _IDLE:
                server = self._numbered[what]
                server.idle = 0
                self._actions.append(CloseIdleConnections(server.name))
            elif what == _ASK:
                self._ask()
            elif what != _BEAT and not any(each.started for each in self._requests[what].attempts):
                self._waited(self._requests[what], index)

    def _waited(self, request: Request, index: int) -> None:
        if index == _WHOLE:
            self._finish(request)
        elif index == _ASKED:
            self._settle(request)
        else:
            self._overdue(request, request.attempts[index])

    def _is_idle(self, due: int, what: int, index: int) -> bool:
        """Whether nothing would be done when this entry falls due."""
        if index == _TURN:
            return what not in self._queues or due != self._queues[what].rests_until
        if index == _IDLE:
            server = self._numbered.get(what)
            return server is None or due != server.close_due or not server.idle
        if what in (_ASK, _BEAT):
            return due != (self._ask_due if what == _ASK else self._stall.heartbeat_due_at)
        request = self._requests.get(what)
        if request is None or request.answered:
            return True
        if index == _ASKED:
            return due != request.asked_until or not request.asked
        return index != _WHOLE and not request.attempts[index].pending

    def _arm_timer(self) -> None:
        agenda = self._agenda
        while agenda and self._is_idle(agenda[0][0], agenda[0][2], agenda[0][3]):
            heapq.heappop(agenda)
        if agenda and (self._timer_due is None or agenda[0][0] < self._timer_due):
            self._timer_due = agenda[0][0]
            self._actions.append(SetTimer(max(agenda[0][0] - self._now, 0), "agenda"))


_WHOLE = -1  # the agenda's mark for a request as a whole, not one of its attempts
_IDLE = -4  # the agenda's mark for a server whose idle connections are to be closed
_ASKED = -3  # the agenda's mark for a request whose probes were waited for long enough
_TURN = -2  # the agenda's mark for a key whose rest ends
_BEAT = -2  # the agenda's mark for the beat that tells of stalls
_ASK = -1  # the agenda's mark for discovery; requests are never negative
_CONNECTED = (Outcome.DELIVERED, Outcome.ERROR, Outcome.REJECTED)  # the connection is still there after these
_MAY_RUN_ON = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CANCELLED)  # the key rests after these
