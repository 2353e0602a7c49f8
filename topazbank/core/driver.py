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
from topazbank.core.attempts import Attempt, AttemptDeadlines
from topazbank.core.body import Spool
from topazbank.core.call import (
    FAILED_ANSWER,
    Call,
    FinalAnswer,
    RequestCallbacks,
    Response,
    Verdict,
)
from topazbank.core.client_connection import ConnectionFactory
from topazbank.core.counters import Counters
from topazbank.core.endpoint_source import EndpointList, EndpointSource, ProtocolDefaults
from topazbank.core.endpoint_table import EndpointTable
from topazbank.core.endpoint_watcher import EndpointWatcher
from topazbank.core.gossip_transport import GossipAddresses, GossipTransport
from topazbank.core.listener import Listener
from topazbank.core.net import Address
from topazbank.core.request_checks import RequestClasses
from topazbank.core.request_rules import DenialReason, RequestRules
from topazbank.core.timers import Timer, Timers
from topazbank.core.trace import Trace
from topazbank.core.upstream_client import ConnectionLimit, UpstreamClient
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

    def to_loop_time(self, at_us: int) -> float:
        """A clock time as the event loop counts it."""
        return (at_us - self._offset_us) / 1e6


@dataclass(slots=True, eq=False)
class LiveRequest:
    """A request that is not over: unanswered, or with attempts still out."""

    request: int
    call: Call
    deadline_us: int
    answered: bool = False
    attempts_sent: int = 0  # attempts so far
    attempts: dict[int, Attempt | None] = field(default_factory=dict)  # those that have not ended, by number
    deadline_timer: Timer | None = None
    streamed: tuple[int, int] | None = (
        None  # the attempt whose large answer is passed on, and when its first bytes came
    )


@dataclass(frozen=True, slots=True)
class SidecarConfig:
    """All that a sidecar is told."""

    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    settings: Settings
    cached_endpoints: EndpointList
    gossip: GossipAddresses | None = None  # None: sidecars do not hear one another
    admin_address: Address | None = None  # where operators call; None: nowhere
    fleet_size: FleetSize | None = None  # the size of the tier, as it is seen; None: nobody looks
    handover_folder: str | None = None  # where one process of a sidecar hands over to the next; None: nowhere
    inherited: bool = False  # whether `known` is from the process before, in an upgrade


class RequestObserver(RoutingPlan, Protocol):
    """What watches the sidecar's requests and may guide its decision module; none costs nothing."""

    def start(
        self, ejected: Callable[[], Collection[str]], lives: Callable[[], Generations | None]
    ) -> None: ...

    def stop(self) -> None: ...

    def endpoints_updated(self, servers: Sequence[ServerDescription]) -> None: ...

    def request_arrived(self, kind: str) -> None: ...

    def request_answered(self, kind: str, served: bool) -> None: ...

    def attempt_sent(self, server: str) -> None: ...

    def attempt_ended(
        self, server: str, delivered: bool, elapsed_us: int, report: Mapping[str, float] | None
    ) -> None: ...

    def status(self) -> dict[str, Any]: ...


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

    text_connection: ConnectionFactory
    binary_connection: ConnectionFactory | None
    upstream_clients: Callable[[Settings, ConnectionLimit], Mapping[str, UpstreamClient]]
    endpoint_source: Callable[[SidecarConfig, Callable[[EndpointList | None], None]], EndpointSource]
    has_status_page: bool = False  # whether clients may ask for the list as it stands
    protocol_defaults: ProtocolDefaults = field(default_factory=ProtocolDefaults)
    observer: Callable[[SidecarConfig, Callable[[], int]], RequestObserver] | None = None
    trace: Callable[[Balancer], Trace] | None = None
    cluster_membership: Callable[[SidecarConfig, FleetSize, Mapping[str, Any]], ClusterMembership] | None = (
        None
    )


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
        self._live: dict[int, LiveRequest] = {}
        self._by_call: dict[Call, LiveRequest] = {}
        self._out: set[str] = set()  # the ids that the application gave to what is live
        self._idents = itertools.count(1)
        self._events: deque[Event] = deque()
        self._handling = False
        self.max_connections = half = max((config.max_descriptors - _FDS_KEPT) // 2, 1)
        self._endpoints = EndpointTable(
            ConnectionLimit(half), _PROBE_DIALS * settings.limits.connect_timeout_us / 1e6
        )
        for protocol, carrier in wiring.upstream_clients(settings, self._endpoints.connection_limit).items():
            self._endpoints.add_client(protocol, carrier)
        self._known = config.cached_endpoints
        self._inherited = config.inherited
        pushed = settings.discovery is DiscoveryMode.PUSHED
        self.endpoint_watcher = EndpointWatcher(
            config.cached_endpoints, pushed, self._endpoints, self._servers_listed
        )
        self.endpoint_watcher.set_source(
            partial(wiring.endpoint_source, self._with_others(config)), wiring.protocol_defaults
        )
        told = config.gossip is not None and settings.limits.gossip
        self._gossip = None
        self._membership: ClusterMembership | None = None
        if told and config.gossip is not None:
            member = None
            if wiring.cluster_membership is not None:
                self._membership = wiring.cluster_membership(config, self._balancer.others, tier or {})
                member = self._membership.datagram
                self._balancer.spending = self._membership.spending(self._clock.offset_us)
            self._gossip = GossipTransport(config.gossip, self._message, peers, member)
        roster = self._show_roster if wiring.has_status_page else None
        self.drain = Drain(max(each.deadline_us for each in settings.classes) / 1e6)
        self._looking: asyncio.TimerHandle | None = None  # at what holds, while the sidecar is emptied
        self._over = asyncio.Event()
        self._spool = Spool(config.handover_folder)
        ready = self.drain.is_ready
        hooks = RequestCallbacks(self._taken, self._gone, self._out.__contains__, ready, roster, self._spool)
        rules = RequestClasses(settings)
        self.listener = Listener(
            config.listen,
            half,
            hooks,
            rules,
            wiring.text_connection,
            wiring.binary_connection,
            clients,
            self.counters,
        )
        self._carry: dict[type[Any], Callable[[Any], None]] = {
            SendAttempt: self._send,
            Reject: self._refuse,
            Fail: self._fail,
            CancelAttempt: self._cancel,
            SetTimer: self._set_timer,
            CheckHealth: self._probe,
            CloseIdleConnections: lambda action: self._endpoints.close_idle(action.server),
            WatchEndpoints: lambda action: self.endpoint_watcher.source.watch(action.wanted),
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
            self._trace.record_start(self._clock.now(), classes, self._settings.fleet_size)
        rules = self._settings.rules
        log.info(
            "list at the start: version %d, %d servers; ask within %.1f s, drain grace %.2f s, %d sidecars",
            self._known.version,
            len(self._known.entries),
            rules.poll_within_us / 1e6,
            rules.drain_grace_us / 1e6,
            self._settings.fleet_size,
        )
        self.endpoint_watcher.start(at_once=self._inherited)
        if self._gossip is not None:
            await self._gossip.start()
            if self._membership is not None:
                self._membership.start(self._gossip.send)
        self.listener.start()
        if self._observer is not None:
            part = self._membership
            lives = part.lives if part is not None else lambda: None
            self._observer.start(lambda: [each.name for each in self._balancer.ejected], lives)
        lag = asyncio.get_running_loop().create_task(self._watch_lag())
        began()
        self.drain.serve()
        self.apply_drain()  # an operator may have called already
        await stop.wait()
        await self._end(succeeded())
        lag.cancel()
        if self._observer is not None:
            self._observer.stop()
        self.endpoint_watcher.stop()
        if self._membership is not None:
            self._membership.leave()
            self._membership.stop()
        if self._gossip is not None:
            self._gossip.stop()
        await self._endpoints.close()
        self._spool.close()

    def pause_membership(self) -> None:
        """Another process is this member of the tier from now on."""
        if self._membership is not None and self._gossip is not None:
            self._membership.rest()
            self._gossip.pause()

    def resume_membership(self) -> None:
        """That process has ended, and this one is the member again."""
        if self._membership is not None and self._gossip is not None:
            asyncio.get_running_loop().create_task(self._resume(self._gossip, self._membership))

    @staticmethod
    async def _resume(peers: GossipTransport, part: ClusterMembership) -> None:
        await peers.resume()
        part.resume()

    @property
    def cluster_state(self) -> dict[str, Any]:
        """What the next process is told of the others."""
        return self._membership.handed() if self._membership is not None else {}

    def move_discovery(self, address: Address) -> None:
        """Go on with discovery at another address; also where it is the same, asked for by name."""
        self.endpoint_watcher.move(address)

    def replace_source(self, config: SidecarConfig, wiring: Components) -> None:
        """Turn to another source of the list; the list as it is holds until the new one has told a whole one."""
        log.info("the list comes from other sources now")
        self.endpoint_watcher.set_source(
            partial(wiring.endpoint_source, self._with_others(config)), wiring.protocol_defaults
        )
        self.endpoint_watcher.source_replaced()

    def _with_others(self, config: SidecarConfig) -> SidecarConfig:
        return replace(config, fleet_size=self._balancer.others)

    def apply_drain(self) -> None:
        """Carry out what holds of the sidecar as a whole, and look again while it is emptied."""
        orders = self.drain.look(asyncio.get_running_loop().time(), self.listener.open_connections)
        self.listener.apply(orders)
        if self._looking is not None:
            self._looking.cancel()
            self._looking = None
        if orders.over:
            self._over.set()
        elif orders.closes:
            self._looking = asyncio.get_running_loop().call_later(_DRAIN_STEP_S, self.apply_drain)

    async def _end(self, succeeded: bool) -> None:
        """Answer all that is held, in the time that the platform gives."""
        log.info("draining: %d requests held", len(self._by_call))
        self.drain.end(asyncio.get_running_loop().time(), succeeded)
        self.apply_drain()
        await self._over.wait()
        for live in list(self._by_call.values()):
            self._answer(live, FAILED_ANSWER)
        log.info("drained; counters %s", json.dumps(self.counters.as_mapping()))

    @property
    def listening_sockets(self) -> list[socket.socket]:
        """What a process that takes this one's place needs to listen there: for clients, and for other sidecars."""
        peers = self._gossip.socket if self._gossip is not None else None
        return [self.listener.sock, *([peers] if peers is not None else [])]

    @property
    def endpoints(self) -> EndpointList:
        """The list as it was taken so far."""
        return self.endpoint_watcher.snapshot

    @property
    def open_connections(self) -> tuple[int, int]:
        """Connections with clients and with nodes."""
        return self.listener.open_connections, self._endpoints.connection_limit.open_count

    def set_max_connections(self, clients: int | None, nodes: int | None) -> None:
        """Hold so many connections from now on; None: as many as the limits allow."""
        self.listener.set_max_connections(clients or self.max_connections)
        self._endpoints.connection_limit.max_open = nodes or self.max_connections

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
            self._trace.record(self._clock.now(), event, actions)
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
            self._answer(live, FAILED_ANSWER)
            for attempt in list(live.attempts.values()):
                if attempt is not None:
                    attempt.cancel(final=True)

    # -- Requests -------------------------------------------------------------------------------------

    def _taken(self, call: Call) -> None:
        live = LiveRequest(next(self._idents), call, self._clock.now() + call.timeout_us)
        self._live[live.request] = self._by_call[call] = live
        self._out.add(call.call_id)
        if self._observer is not None:
            self._observer.request_arrived(call.request_class.name)
        at = call.deadline = self._clock.to_loop_time(live.deadline_us)
        live.deadline_timer = self._timers.call_at(at, self._give_up, live.request)
        self.handle(
            RequestArrived(
                live.request,
                call.request_class.name,
                call.tenant,
                call.key,
                call.timeout_us,
                call.cost_us,
                call.is_retry,
            )
        )

    def _gone(self, calls: Sequence[Call]) -> None:
        """Clients have left.  All are noted before any is told of: giving one up can end others' attempts."""
        lives = [live for call in calls if (live := self._by_call.pop(call, None)) and not live.answered]
        for live in lives:
            live.answered = live.call.is_over = True
        for live in lives:
            self._mark_answered(live)
            self.handle(RequestCancelled(live.request))

    def _answer(self, live: LiveRequest, answer: FinalAnswer) -> None:
        if live.answered:
            return
        if self._observer is not None:
            self._observer.request_answered(live.call.request_class.name, answer.verdict is Verdict.SERVED)
        self._mark_answered(live)
        self._request_rules.check_answer(live.call, asyncio.get_running_loop().time())
        live.call.answer(answer)

    def _mark_answered(self, live: LiveRequest) -> None:
        live.answered = live.call.is_over = True
        self._by_call.pop(live.call, None)
        if live.deadline_timer is not None:
            live.deadline_timer.cancel()
        for attempt in list(live.attempts.values()):
            if attempt is not None:
                attempt.cancel_unwritten()  # nothing is sent for a request that is over
        self._forget_if_over(live)

    def _forget_if_over(self, live: LiveRequest) -> None:
        if live.answered and not live.attempts:
            self._live.pop(live.request, None)
            self._out.discard(live.call.call_id)
            live.call.release()

    def _refuse(self, action: Reject) -> None:
        live = self._live.get(action.request)
        if live is not None:
            self._answer(live, FinalAnswer(Verdict.REJECTED, retry_after_us=action.retry_after_us))

    def _fail(self, action: Fail) -> None:
        live = self._live.get(action.request)
        if live is not None:
            self._answer(live, FAILED_ANSWER)

    # -- Attempts -------------------------------------------------------------------------------------

    def _send(self, action: SendAttempt) -> None:
        live = self._live.get(action.request)
        denied: DenialReason | None = DenialReason.REQUEST_OVER
        if live is not None:
            denied = self._request_rules.check_send(live.call, asyncio.get_running_loop().time())
            if denied is DenialReason.CLIENT_DISCONNECTED:
                self._gone([live.call])
        index = live.attempts_sent if live is not None else 0
        if live is None or denied is not None:
            if live is not None:
                live.attempts_sent += 1
            self.handle(AttemptEnded(action.request, index, action.server, Outcome.UNSENT, 0, True))
            return
        live.attempts_sent += 1
        live.attempts[index] = None
        if self._observer is not None:
            self._observer.attempt_sent(action.server)
        last = not 0 < action.give_up_at < live.deadline_us
        until = self._clock.to_loop_time(live.deadline_us if last else action.give_up_at)
        ended = partial(self._attempt_ended, live, index, action.server, self._clock.now())
        try:
            terms = AttemptDeadlines(
                until, last, self._clock.to_loop_time(action.write_by), self._request_rules
            )
            attempt = self._endpoints.send(action.server, live.call, terms, ended)
        except Exception:
            ended(Outcome.CONNECTION_LOST, None)  # a defect; nobody knows how far it went
            raise
        if index in live.attempts:
            live.attempts[index] = attempt
            attempt.on_response_started = partial(
                self._answer_began, live, index, action.server, self._clock.now()
            )

    def _answer_began(
        self, live: LiveRequest, index: int, server: str, sent_at: int, response: Response
    ) -> None:
        """The first bytes of a large answer are here: that is its time, however long the rest takes."""
        if live.answered:  # by another attempt, or its client has left
            if response.stream is not None:
                response.stream.abort()
            return
        elapsed = self._clock.now() - sent_at
        live.streamed = (index, elapsed)
        self._answer(
            live, FinalAnswer(Verdict.SERVED, response.body, response.content_headers, stream=response.stream)
        )
        self.handle(ResponseStarted(live.request, index, server, elapsed))

    def _attempt_ended(
        self,
        live: LiveRequest,
        index: int,
        server: str,
        sent_at: int,
        outcome: Outcome,
        response: Response | None,
    ) -> None:
        if index not in live.attempts:
            return
        del live.attempts[index]
        if outcome is Outcome.DELIVERED and response is not None:
            self._answer(live, FinalAnswer(Verdict.SERVED, response.body, response.content_headers))
        elapsed = self._clock.now() - sent_at
        if live.streamed is not None and live.streamed[0] == index:
            elapsed = live.streamed[1]
        report = response.report if response is not None else None
        if self._observer is not None:
            self._observer.attempt_ended(server, outcome is Outcome.DELIVERED, elapsed, report)
        self._forget_if_over(live)
        self.handle(AttemptEnded(live.request, index, server, outcome, elapsed, live.answered, report))

    def _cancel(self, action: CancelAttempt) -> None:
        live = self._live.get(action.request)
        attempt = live.attempts.get(action.attempt) if live is not None else None
        if attempt is not None:
            attempt.cancel(final=live is not None and live.answered)

    def _probe(self, action: CheckHealth) -> None:
        self._endpoints.check_health(action.server, partial(self._probed, action.server, self._clock.now()))

    def _probed(self, server: str, sent_at: int, outcome: Outcome, response: Response | None) -> None:
        report = response.report if response is not None else None
        self.handle(HealthCheckEnded(server, outcome, self._clock.now() - sent_at, report))

    def _tell(self, action: SendGossip) -> None:
        if self._gossip is not None:
            self._gossip.send_gossip(action.receiver, action.payload)

    def _message(self, sender: int, payload: bytes) -> None:
        self.handle(GossipReceived(sender, payload))

    # -- Timers and the list --------------------------------------------------------------------------

    def _set_timer(self, action: SetTimer) -> None:
        asyncio.get_running_loop().call_later(action.in_us / 1e6, self.handle, TimerFired(action.token))

    def _servers_listed(self, event: EndpointsUpdated) -> None:
        if self._observer is not None and event.kind is not UpdateKind.FAILED:
            self._observer.endpoints_updated(event.servers)
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
                "source": self.endpoint_watcher.source.source_of(each.name),
                "age_s": round(now - self.endpoint_watcher.updates.updated_at(each.name, now), 3),
            }
            for each in self._endpoints.endpoints.values()
        ]
        sources = [
            {
                "source": each.source,
                "can_know": each.is_connected,
                "age_s": None if each.last_contact_at is None else round(now - each.last_contact_at, 3),
            }
            for each in self.endpoint_watcher.source_status()
        ]
        told: dict[str, Any] = {
            "counters": self.counters.as_mapping(),
            "sources": sources,
            "nodes": sorted(nodes, key=lambda each: str(each["name"])),
        }
        if self._observer is not None:
            told["plan"] = self._observer.status()
        if self._membership is not None:
            told["tier"] = self._membership.show()
        return json.dumps(told).encode()
