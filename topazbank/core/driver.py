"""The driver: hands events to the balancer and carries its actions out.  It has no opinions of its own.

It owns the clock, the balancer, the requests that are live and the timers.  Nothing is awaited between a
decision and its effect.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
import socket
import time
from collections import deque
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any, Protocol

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
from topazbank.balancing.balancer import Balancer
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
    TimerFired,
    UpdateKind,
)
from topazbank.balancing.fleet import FleetQuota, RoutingPlan
from topazbank.balancing.settings import DiscoveryMode, Settings
from topazbank.cluster.member import Generations
from topazbank.core.body import Spool
from topazbank.core.call import FAILED, Call, FinalAnswer, RequestCallbacks, RequestClasses, Response, Verdict
from topazbank.core.counters import Counters
from topazbank.core.endpoint_source import EndpointList, EndpointSource, ProtocolDefaults
from topazbank.core.endpoint_watcher import EndpointWatcher
from topazbank.core.endpoints import Attempt, AttemptDeadlines, ConnectionLimit, EndpointTable, UpstreamClient
from topazbank.core.gossip_transport import GossipAddresses, GossipTransport
from topazbank.core.listener import ConnectionFactory, Listener
from topazbank.core.net import Address
from topazbank.core.request_rules import Denied, RequestRules
from topazbank.core.timers import Timer, Timers
from topazbank.core.trace import Trace
from topazbank.estimation.fleet_size import FleetSize
from topazbank.operations.drain import Drain

log = logging.getLogger(__name__)

_DRAIN_STEP_S = 0.02  # how often a drain looks at what is left
_LAG_EVERY_S = 0.25  # how often the event loop's lag is looked at
_LAG_TOLD_S = 0.05  # and from when on it is logged
_PROBE_DIALS = 4.0  # a probe may take this many dial time limits
_FDS_KEPT = (
    48  # descriptors left for discovery, operators, logs and the runtime, of two processes in an upgrade
)


class Clock:
    """Microseconds of Unix time, anchored once: monotonic, and comparable with discovery's `since_ms`."""

    def __init__(self, monotonic_ns: Callable[[], int] = time.monotonic_ns) -> None:
        """`monotonic_ns` reads the clock that the event loop keeps."""
        self._monotonic_ns = monotonic_ns
        self._offset_us = time.time_ns() // 1000 - monotonic_ns() // 1000

    @property
    def offset_us(self) -> int:
        """How far it is beyond the monotonic clock."""
        return self._offset_us

    def now(self) -> int:
        return self._monotonic_ns() // 1000 + self._offset_us

    def on_loop(self, at_us: int) -> float:
        """A clock time as the event loop counts it."""
        return (at_us - self._offset_us) / 1e6


@dataclass(slots=True, eq=False)
class Live:
    """A request that is not over: unanswered, or with attempts still out."""

    ident: int
    call: Call
    answer_by: int
    answered: bool = False
    sent: int = 0  # attempts so far
    out: dict[int, Attempt | None] = field(default_factory=dict)  # those that have not ended, by number
    backstop: Timer | None = None
    began: tuple[int, int] | None = (
        None  # the attempt whose large answer is passed on, and when its first bytes came
    )


@dataclass(frozen=True, slots=True)
class SidecarConfig:
    """All that a sidecar is told."""

    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: Settings
    known: EndpointList
    tier: GossipAddresses | None = None  # None: sidecars do not hear one another
    operator: Address | None = None  # where operators call; None: nowhere
    others: FleetSize | None = None  # the size of the tier, as it is seen; None: nobody looks
    folder: str | None = None  # where one process of a sidecar hands over to the next; None: nowhere
    inherited: bool = False  # whether `known` is from the process before, in an upgrade


class RequestObserver(RoutingPlan, Protocol):
    """What watches the sidecar's requests and may guide its decision module; none costs nothing."""

    def start(
        self, ejected: Callable[[], Collection[str]], lives: Callable[[], Generations | None]
    ) -> None: ...

    def stop(self) -> None: ...

    def listed(self, servers: Sequence[ServerDescription]) -> None: ...

    def arrived(self, kind: str) -> None: ...

    def answered(self, kind: str, served: bool) -> None: ...

    def sent(self, server: str) -> None: ...

    def ended(
        self, server: str, delivered: bool, elapsed_us: int, report: Mapping[str, float] | None
    ) -> None: ...

    def show(self) -> dict[str, Any]: ...


class ClusterMembership(Protocol):
    """What finds out who of the tier is here; none costs nothing."""

    def start(self, send: Callable[[Address, bytes], None]) -> None: ...

    def datagram(self, data: bytes, source: Address) -> None: ...

    def leave(self) -> None: ...

    def rest(self) -> None: ...

    def resume(self) -> None: ...

    def stop(self) -> None: ...

    def lives(self) -> Generations: ...

    def spending(self, offset_us: int) -> FleetQuota | None: ...

    def show(self) -> dict[str, Any]: ...

    def handed(self) -> dict[str, Any]: ...


@dataclass(frozen=True, slots=True)
class Components:
    """The protocols that a sidecar speaks: what makes its clients' connections, and its carriers by name."""

    text: ConnectionFactory
    binary: ConnectionFactory | None
    carriers: Callable[[Settings, ConnectionLimit], Mapping[str, UpstreamClient]]
    source: Callable[[SidecarConfig, Callable[[EndpointList | None], None]], EndpointSource]
    show_roster: bool = False  # whether clients may ask for the list as it stands
    dialects: ProtocolDefaults = field(default_factory=ProtocolDefaults)
    observer: Callable[[SidecarConfig, Callable[[], int]], RequestObserver] | None = None
    trace: Callable[[Balancer], Trace] | None = None
    tier_part: Callable[[SidecarConfig, FleetSize, Mapping[str, Any]], ClusterMembership] | None = None


class Sidecar:
    """One sidecar: a balancer and the sockets round it."""

    def __init__(
        self,
        config: SidecarConfig,
        wiring: Components,
        clock: Clock | None = None,
        clients: socket.socket | None = None,
        peers: socket.socket | None = None,
        tier: Mapping[str, Any] | None = None,
    ) -> None:
        """`clients`, `peers`: sockets that listen already, from a process of the same sidecar that is still there.

        `tier`: what that process knows of the others.
        """
        self._settings = settings = config.settings
        self.counters = Counters()
        self._request_rules = RequestRules(self.counters, settings.rules)
        self._clock = clock or Clock()
        self._observer = wiring.observer(config, self._clock.now) if wiring.observer is not None else None
        self._balancer = Balancer(settings, config.seed, self._observer)
        self._trace = wiring.trace(self._balancer) if wiring.trace is not None else None
        self._timers = Timers()
        self._live: dict[int, Live] = {}
        self._by_call: dict[Call, Live] = {}
        self._out: set[str] = set()  # the ids that the application gave to what is live
        self._idents = itertools.count(1)
        self._events: deque[Event] = deque()
        self._handling = False
        self.connections_most = half = max((config.sockets - _FDS_KEPT) // 2, 1)
        self._nodes = EndpointTable(
            ConnectionLimit(half), _PROBE_DIALS * settings.limits.connect_timeout_us / 1e6
        )
        for protocol, carrier in wiring.carriers(settings, self._nodes.slots).items():
            self._nodes.add(protocol, carrier)
        self._known = config.known
        self._inherited = config.inherited
        pushed = settings.discovery is DiscoveryMode.PUSHED
        self.server_list = EndpointWatcher(config.known, pushed, self._nodes, self._servers_listed)
        self.server_list.come_from(partial(wiring.source, self._with_others(config)), wiring.dialects)
        told = config.tier is not None and settings.limits.gossip
        self._peers = None
        self._tier_part: ClusterMembership | None = None
        if told and config.tier is not None:
            member = None
            if wiring.tier_part is not None:
                self._tier_part = wiring.tier_part(config, self._balancer.fleet_size, tier or {})
                member = self._tier_part.datagram
                self._balancer.set_fleet_quota(self._tier_part.spending(self._clock.offset_us))
            self._peers = GossipTransport(config.tier, self._message, peers, member)
        roster = self._show_roster if wiring.show_roster else None
        self.drain = Drain(max(each.deadline_us for each in settings.classes) / 1e6)
        self._looking: asyncio.TimerHandle | None = None  # at what holds, while the sidecar is emptied
        self._over = asyncio.Event()
        self._spool = Spool(config.folder)
        ready = self.drain.is_ready
        hooks = RequestCallbacks(self._taken, self._gone, self._out.__contains__, ready, roster, self._spool)
        rules = RequestClasses(settings)
        self.frontend = Listener(
            config.listen, half, hooks, rules, wiring.text, wiring.binary, clients, self.counters
        )
        self._carry: dict[type[Any], Callable[[Any], None]] = {
            SendAttempt: self._send,
            Reject: self._refuse,
            Fail: self._fail,
            CancelAttempt: self._cancel,
            SetTimer: self._set_timer,
            CheckHealth: self._probe,
            CloseIdleConnections: lambda action: self._nodes.close_idle(action.server),
            WatchEndpoints: lambda action: self.server_list.source.follow(action.wanted),
            SendGossip: self._tell,
            LogMessage: lambda action: log.info("%s", action.text),
        }

    # -- Life -----------------------------------------------------------------------------------------

    async def run(
        self,
        stop: asyncio.Event,
        began: Callable[[], None] = lambda: None,
        succeeded: Callable[[], bool] = lambda: False,
    ) -> None:
        """Serve until `stop`, then answer all that is held and return.

        `began` is called once requests are taken; `succeeded` says whether another process takes what is new.
        """
        if self._trace is not None:
            classes = [
                (each.name, each.priority_weight, each.latency_objective_us)
                for each in self._settings.classes
            ]
            self._trace.begin(self._clock.now(), classes, self._settings.fleet_size)
        rules = self._settings.rules
        log.info(
            "list at the start: version %d, %d servers; ask within %.1f s, drain grace %.2f s, %d sidecars",
            self._known.version,
            len(self._known.lines),
            rules.poll_within_us / 1e6,
            rules.drain_grace_us / 1e6,
            self._settings.fleet_size,
        )
        self.server_list.begin(at_once=self._inherited)
        if self._peers is not None:
            await self._peers.start()
            if self._tier_part is not None:
                self._tier_part.start(self._peers.send)
        self.frontend.start()
        if self._observer is not None:
            part = self._tier_part
            lives = part.lives if part is not None else lambda: None
            self._observer.start(lambda: [each.name for each in self._balancer.ejected], lives)
        lag = asyncio.get_running_loop().create_task(self._watch_lag())
        began()
        self.drain.mark_started()
        self.carry_out()  # an operator may have called already
        await stop.wait()
        await self._end(succeeded())
        lag.cancel()
        if self._observer is not None:
            self._observer.stop()
        self.server_list.stop()
        if self._tier_part is not None:
            self._tier_part.leave()
            self._tier_part.stop()
        if self._peers is not None:
            self._peers.stop()
        await self._nodes.close()
        self._spool.close()

    def rest_in_tier(self) -> None:
        """Another process is this member of the tier from now on."""
        if self._tier_part is not None and self._peers is not None:
            self._tier_part.rest()
            self._peers.rest()

    def resume_in_tier(self) -> None:
        """That process has ended, and this one is the member again."""
        if self._tier_part is not None and self._peers is not None:
            asyncio.get_running_loop().create_task(self._resume(self._peers, self._tier_part))

    @staticmethod
    async def _resume(peers: GossipTransport, part: ClusterMembership) -> None:
        await peers.resume()
        part.resume()

    @property
    def tier(self) -> dict[str, Any]:
        """What the next process is told of the others."""
        return self._tier_part.handed() if self._tier_part is not None else {}

    def move_discovery(self, address: Address) -> None:
        """Go on with discovery at another address; also where it is the same, asked for by name."""
        self.server_list.move(address)

    def replace_source(self, config: SidecarConfig, wiring: Components) -> None:
        """Turn to another source of the list; the list as it is holds until the new one has told a whole one."""
        log.info("the list comes from other sources now")
        self.server_list.come_from(partial(wiring.source, self._with_others(config)), wiring.dialects)
        self.server_list.replaced()

    def _with_others(self, config: SidecarConfig) -> SidecarConfig:
        return replace(config, others=self._balancer.fleet_size)

    def carry_out(self) -> None:
        """Carry out what holds of the sidecar as a whole, and look again while it is emptied."""
        orders = self.drain.decide(asyncio.get_running_loop().time(), self.frontend.held)
        self.frontend.follow(orders)
        if self._looking is not None:
            self._looking.cancel()
            self._looking = None
        if orders.finished:
            self._over.set()
        elif orders.closes_idle:
            self._looking = asyncio.get_running_loop().call_later(_DRAIN_STEP_S, self.carry_out)

    async def _end(self, succeeded: bool) -> None:
        """Answer all that is held, in the time that the platform gives."""
        log.info("draining: %d requests held", len(self._by_call))
        self.drain.terminate(asyncio.get_running_loop().time(), succeeded)
        self.carry_out()
        await self._over.wait()
        for live in list(self._by_call.values()):
            self._answer(live, FAILED)
        log.info("drained; counters %s", json.dumps(self.counters.show()))

    @property
    def listening(self) -> list[socket.socket]:
        """What a process that takes this one's place needs to listen there: for clients, and for other sidecars."""
        peers = self._peers.sock if self._peers is not None else None
        return [self.frontend.sock, *([peers] if peers is not None else [])]

    @property
    def known(self) -> EndpointList:
        """The list as it was taken so far."""
        return self.server_list.known

    @property
    def open(self) -> tuple[int, int]:
        """Connections with clients and with nodes."""
        return self.frontend.held, self._nodes.slots.open

    def bound(self, clients: int | None, nodes: int | None) -> None:
        """Hold so many connections from now on; None: as many as the limits allow."""
        self.frontend.bound(clients or self.connections_most)
        self._nodes.slots.most = nodes or self.connections_most

    async def _watch_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + _LAG_EVERY_S
            await asyncio.sleep(_LAG_EVERY_S)
            late = loop.time() - due
            if late > _LAG_TOLD_S:
                log.warning("the event loop was %.0f ms late", late * 1000)

    # -- Events in, actions out -----------------------------------------------------------------------

    def handle(self, event: Event) -> None:
        """Play an event, and those that its actions cause, in order."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._play(self._events.popleft())
        finally:
            self._handling = False

    def _play(self, event: Event) -> None:
        try:
            actions: Sequence[Action] = self._balancer.handle(self._clock.now(), event)
        except Exception:
            log.exception("the balancer failed on %.200r", event)
            self._give_up(getattr(event, "request", None))
            return
        if self._trace is not None:
            self._trace.noted(self._clock.now(), event, actions)
        for action in actions:
            try:
                self._carry[type(action)](action)
            except Exception:
                log.exception("could not carry out %.200r", action)
                self._give_up(getattr(action, "request", None))

    def _give_up(self, ident: int | None) -> None:
        """Guards against a defect that would leave its request unanswered: it fails."""
        live = self._live.get(ident) if ident is not None else None
        if live is not None:
            self._answer(live, FAILED)
            for attempt in list(live.out.values()):
                if attempt is not None:
                    attempt.cancel(final=True)

    # -- Requests -------------------------------------------------------------------------------------

    def _taken(self, call: Call) -> None:
        live = Live(next(self._idents), call, self._clock.now() + call.budget_us)
        self._live[live.ident] = self._by_call[call] = live
        self._out.add(call.ident)
        if self._observer is not None:
            self._observer.arrived(call.kind.name)
        at = call.answer_by = self._clock.on_loop(live.answer_by)
        live.backstop = self._timers.at(at, self._give_up, live.ident)
        self.handle(
            RequestArrived(
                live.ident,
                call.kind.name,
                call.tenant,
                call.key,
                call.budget_us,
                call.cost_us,
                call.again,
            )
        )

    def _gone(self, calls: Sequence[Call]) -> None:
        """Clients have left.  All are noted before any is told of: giving one up can end others' attempts."""
        lives = [live for call in calls if (live := self._by_call.pop(call, None)) and not live.answered]
        for live in lives:
            live.answered = live.call.over = True
        for live in lives:
            self._mark_answered(live)
            self.handle(RequestCancelled(live.ident))

    def _answer(self, live: Live, answer: FinalAnswer) -> None:
        if live.answered:
            return
        if self._observer is not None:
            self._observer.answered(live.call.kind.name, answer.verdict is Verdict.SERVED)
        self._mark_answered(live)
        self._request_rules.answered(live.call, asyncio.get_running_loop().time())
        live.call.answer(answer)

    def _mark_answered(self, live: Live) -> None:
        live.answered = live.call.over = True
        self._by_call.pop(live.call, None)
        if live.backstop is not None:
            live.backstop.cancel()
        for attempt in list(live.out.values()):
            if attempt is not None:
                attempt.unsend()  # nothing is sent for a request that is over
        self._forget_if_over(live)

    def _forget_if_over(self, live: Live) -> None:
        if live.answered and not live.out:
            self._live.pop(live.ident, None)
            self._out.discard(live.call.ident)
            live.call.release()

    def _refuse(self, action: Reject) -> None:
        live = self._live.get(action.request)
        if live is not None:
            self._answer(live, FinalAnswer(Verdict.REFUSED, retry_after_us=action.retry_after_us))

    def _fail(self, action: Fail) -> None:
        live = self._live.get(action.request)
        if live is not None:
            self._answer(live, FAILED)

    # -- Attempts -------------------------------------------------------------------------------------

    def _send(self, action: SendAttempt) -> None:
        live = self._live.get(action.request)
        denied: Denied | None = Denied.OVER
        if live is not None:
            denied = self._request_rules.denied(live.call, asyncio.get_running_loop().time())
            if denied is Denied.CLIENT_LEFT:
                self._gone([live.call])
        index = live.sent if live is not None else 0
        if live is None or denied is not None:
            if live is not None:
                live.sent += 1
            self.handle(AttemptEnded(action.request, index, action.server, Outcome.UNSENT, 0, True))
            return
        live.sent += 1
        live.out[index] = None
        if self._observer is not None:
            self._observer.sent(action.server)
        last = not 0 < action.give_up_at < live.answer_by
        until = self._clock.on_loop(live.answer_by if last else action.give_up_at)
        ended = partial(self._attempt_ended, live, index, action.server, self._clock.now())
        try:
            terms = AttemptDeadlines(until, last, self._clock.on_loop(action.write_by), self._request_rules)
            attempt = self._nodes.send(action.server, live.call, terms, ended)
        except Exception:
            ended(Outcome.CONNECTION_LOST, None)  # a defect; nobody knows how far it went
            raise
        if index in live.out:
            live.out[index] = attempt
            attempt.began = partial(self._answer_began, live, index, action.server, self._clock.now())

    def _answer_began(self, live: Live, index: int, server: str, sent_at: int, response: Response) -> None:
        """The first bytes of a large answer are here: that is its time, however long the rest takes."""
        if live.answered:  # by another attempt, or its client has left
            if response.stream is not None:
                response.stream.give_up()
            return
        elapsed = self._clock.now() - sent_at
        live.began = (index, elapsed)
        self._answer(live, FinalAnswer(Verdict.SERVED, response.body, response.about, stream=response.stream))
        self.handle(ResponseStarted(live.ident, index, server, elapsed))

    def _attempt_ended(
        self, live: Live, index: int, server: str, sent_at: int, outcome: Outcome, response: Response | None
    ) -> None:
        if index not in live.out:
            return
        del live.out[index]
        if outcome is Outcome.DELIVERED and response is not None:
            self._answer(live, FinalAnswer(Verdict.SERVED, response.body, response.about))
        elapsed = self._clock.now() - sent_at
        if live.began is not None and live.began[0] == index:
            elapsed = live.began[1]
        report = response.report if response is not None else None
        if self._observer is not None:
            self._observer.ended(server, outcome is Outcome.DELIVERED, elapsed, report)
        self._forget_if_over(live)
        self.handle(AttemptEnded(live.ident, index, server, outcome, elapsed, live.answered, report))

    def _cancel(self, action: CancelAttempt) -> None:
        live = self._live.get(action.request)
        attempt = live.out.get(action.attempt) if live is not None else None
        if attempt is not None:
            attempt.cancel(final=live is not None and live.answered)

    def _probe(self, action: CheckHealth) -> None:
        self._nodes.probe(action.server, partial(self._probed, action.server, self._clock.now()))

    def _probed(self, server: str, sent_at: int, outcome: Outcome, response: Response | None) -> None:
        report = response.report if response is not None else None
        self.handle(HealthCheckEnded(server, outcome, self._clock.now() - sent_at, report))

    def _tell(self, action: SendGossip) -> None:
        if self._peers is not None:
            self._peers.tell(action.receiver, action.payload)

    def _message(self, sender: int, payload: bytes) -> None:
        self.handle(GossipReceived(sender, payload))

    # -- Timers and the list --------------------------------------------------------------------------

    def _set_timer(self, action: SetTimer) -> None:
        asyncio.get_running_loop().call_later(action.in_us / 1e6, self.handle, TimerFired(action.token))

    def _servers_listed(self, event: EndpointsUpdated) -> None:
        if self._observer is not None and event.kind is not UpdateKind.FAILED:
            self._observer.listed(event.servers)
        self.handle(event)

    def _show_roster(self) -> bytes:
        """The list as it stands: each node's state, address and protocol, whose word that is and how old."""
        now = asyncio.get_running_loop().time()
        nodes = [
            {
                "name": each.name,
                "state": each.state.value,
                "address": f"{each.address[0]}:{each.address[1]}",
                "protocol": each.protocol,
                "source": self.server_list.source.source_of(each.name),
                "age_s": round(now - self.server_list.listing.told_at(each.name, now), 3),
            }
            for each in self._nodes.endpoints.values()
        ]
        sources = [
            {
                "source": each.source,
                "can_know": each.can_know,
                "age_s": None if each.heard_at is None else round(now - each.heard_at, 3),
            }
            for each in self.server_list.standing()
        ]
        told: dict[str, Any] = {
            "counters": self.counters.show(),
            "sources": sources,
            "nodes": sorted(nodes, key=lambda each: str(each["name"])),
        }
        if self._observer is not None:
            told["plan"] = self._observer.show()
        if self._tier_part is not None:
            told["tier"] = self._tier_part.show()
        return json.dumps(told).encode()
