"""The decision logic of one sidecar load balancer: events in, actions out, no I/O.

A server is selected as the best of k random candidates; each rejection of a request doubles the number of candidates.
`Balancer` only dispatches events and deadlines to the components that handle them; `parts.py` creates these components.
Events, actions and settings are defined in the modules of the same names.  docs/design.md explains the rules.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from topazbank.balancing.actions import Action
from topazbank.balancing.agenda import DeadlineKind
from topazbank.balancing.events import (
    AttemptEnded,
    EndpointsUpdated,
    Event,
    GossipReceived,
    HealthCheckEnded,
    RequestArrived,
    RequestCancelled,
    ResponseDelayed,
    ResponseStarted,
    TimerFired,
)
from topazbank.balancing.fleet import FleetQuota, RoutingPlan
from topazbank.balancing.parts import BalancerParts
from topazbank.balancing.servers import Server
from topazbank.balancing.settings import Settings
from topazbank.balancing.snapshot import BalancerSnapshot, ServerSnapshot
from topazbank.estimation.fleet_size import FleetSize

_REQUEST_DEADLINES = (DeadlineKind.REQUEST, DeadlineKind.ATTEMPT_OVERDUE, DeadlineKind.HEALTH_CHECKS)


class Balancer:
    """One balancer instance.  Pass it events in order and execute the returned actions in order."""

    def __init__(self, settings: Settings, seed: int, plan: RoutingPlan | None = None) -> None:
        """`seed` determines every random choice.  `plan` is a planner's routing plan, used where it applies."""
        parts = BalancerParts(settings, seed, plan)
        self._context = parts.context
        self._updates = parts.updates
        self._connections = parts.connections
        self.agenda = parts.agenda
        self.servers = parts.servers
        self.load = parts.load
        self.estimator = parts.estimator
        self.slow_start = parts.slow_start
        self.retries = parts.retries
        self.ejection = parts.ejection
        self.limit = parts.limit
        self.selection = parts.selection
        self.checks = parts.checks
        self.gossip = parts.gossip
        self.ordering = parts.ordering
        self.polling = parts.polling
        self.sender = parts.sender
        self.lifecycle = parts.lifecycle
        self.agenda.is_stale = self._is_stale
        self._started = False
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            AttemptEnded: self.lifecycle.attempt_ended,
            RequestArrived: self.lifecycle.arrived,
            TimerFired: self._timer_fired,
            EndpointsUpdated: self._updates.update,
            RequestCancelled: self.lifecycle.cancelled,
            ResponseStarted: self.lifecycle.response_started,
            ResponseDelayed: self.lifecycle.response_delayed,
            HealthCheckEnded: self._health_check_ended,
            GossipReceived: self.gossip.received,
        }

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle one event at clock time `now` in microseconds; return the resulting actions in order."""
        context = self._context
        context.begin(now)
        self.load.update_mean(self.limit.limit)
        context.stall.observe(now, isinstance(event, TimerFired))
        if not context.stall.catching_up and self.estimator.expire_checks(now):
            self.limit.resize()
        if not self._started:
            self._started = True
            self.polling.start()
        self._handlers[type(event)](event)
        self.lifecycle.send_next_in_turn()
        self.gossip.send_if_due()
        self._schedule_heartbeat()
        self.agenda.arm_timer()
        return context.actions

    # -- State for the surrounding process --------------------------------------------------------------

    @property
    def fleet_size(self) -> FleetSize:
        """The number of sidecars in the cluster; the surrounding process updates it from the membership."""
        return self._context.fleet_size

    @property
    def ejected(self) -> Sequence[Server]:
        """The currently ejected servers."""
        return self.ejection.ejected

    def snapshot(self) -> BalancerSnapshot:
        """The balancer's current estimates of the fleet."""
        estimator = self.estimator
        return BalancerSnapshot(
            concurrency_limit=self.limit.limit,
            in_objective=self.load.in_objective,
            mean_in_objective=self.load.mean,
            slow_share=estimator.slow_share.share,
            overload_share=estimator.overload_share.share,
            median_ratio=estimator.median_ratio,
            late_share=estimator.late_share,
            floor_ratio=estimator.floor_ratio,
            cpu_utilization=estimator.cpu_utilization,
            subset_size=self.load.subset_size(),
            ready=len(self.servers.ready),
            ejected=len(self.ejection.ejected),
        )

    def server(self, name: str) -> ServerSnapshot | None:
        """The balancer's state of a server; None if the server is not on the endpoint list."""
        server = self.servers.by_name.get(name)
        if server is None:
            return None
        return ServerSnapshot(self.slow_start.is_warming(server), server.load(self._context.now))

    def set_fleet_quota(self, quota: FleetQuota | None) -> None:
        """Set the fleet-wide quotas that this balancer observes; None removes them."""
        self.retries.fleet_quota = quota

    # -- Dispatch ---------------------------------------------------------------------------------------

    def _health_check_ended(self, event: HealthCheckEnded) -> None:
        if event.server in self.servers.by_name:
            self.checks.ended(event)
            self.lifecycle.health_checks_ended()

    def _timer_fired(self, _event: TimerFired) -> None:
        self.agenda.timer_fired()
        while (deadline := self.agenda.pop_due()) is not None:
            kind, key, attempt = deadline
            if kind in _REQUEST_DEADLINES:
                self.lifecycle.deadline_passed(kind, key, attempt)
            elif kind is DeadlineKind.KEY_PAUSE:
                self.ordering.pause_ended(key)
            elif kind is DeadlineKind.IDLE_CONNECTIONS:
                self._connections.close(key)
            elif kind is DeadlineKind.POLL:
                self.polling.poll()

    def _is_stale(self, due: int, kind: DeadlineKind, key: int, attempt: int) -> bool:
        """Whether this deadline no longer requires an action."""
        if kind in _REQUEST_DEADLINES:
            return not self.lifecycle.deadline_applies(due, kind, key, attempt)
        if kind is DeadlineKind.KEY_PAUSE:
            return not self.ordering.has_pause_until(key, due)
        if kind is DeadlineKind.IDLE_CONNECTIONS:
            return not self._connections.closes_at(key, due)
        if kind is DeadlineKind.POLL:
            return due != self.polling.due
        return due != self._context.stall.heartbeat_due_at

    def _schedule_heartbeat(self) -> None:
        """Schedule a heartbeat while attempts are pending; a late heartbeat indicates a stall of this process."""
        stall = self._context.stall
        if self.load.pending and not stall.heartbeat_due_at:
            stall.heartbeat_due_at = self._context.now + stall.heartbeat_interval_us
            self.agenda.schedule(stall.heartbeat_due_at, DeadlineKind.HEARTBEAT, 0)
