"""The driver: passes events to the balancer and dispatches its actions to handlers. It makes no decisions.

Nothing is awaited between a decision and its effect.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from topazbank.balancing.actions import Action, CheckHealth, CloseIdleConnections, LogMessage, SetTimer
from topazbank.balancing.balancer import Balancer
from topazbank.balancing.events import Event, HealthCheckEnded, Outcome, TimerFired
from topazbank.balancing.snapshot import BalancerSnapshot
from topazbank.core.call import Response
from topazbank.core.clock import Clock
from topazbank.core.endpoint_table import EndpointTable
from topazbank.core.trace import Trace

log = logging.getLogger(__name__)


class Driver:
    """Feeds events to the balancer and dispatches the resulting actions.

    It executes timer, health check, idle connection and log actions itself. Handlers for the others are added by
    `register`.
    """

    def __init__(
        self, balancer: Balancer, clock: Clock, endpoints: EndpointTable, trace: Trace | None = None
    ) -> None:
        self._balancer = balancer
        self._clock = clock
        self._endpoints = endpoints
        self._trace = trace
        self._events: deque[Event] = deque()  # not yet handled
        self._handling = False
        self._action_handlers: dict[type[Any], Callable[[Any], None]] = {}
        # Called with the request number, if any, when handling an event or action raises an exception.
        self.on_error: Callable[[int | None], None] = lambda request: None
        self.register(SetTimer, self._set_timer)
        self.register(CheckHealth, self._check_health)
        self.register(CloseIdleConnections, lambda action: endpoints.close_idle(action.server))
        self.register(LogMessage, lambda action: log.info("%s", action.text))

    def register(self, action_type: type[Any], handler: Callable[[Any], None]) -> None:
        """Register the handler for actions of a type."""
        self._action_handlers[action_type] = handler

    def snapshot(self) -> BalancerSnapshot:
        """The balancer's current estimates of the fleet."""
        return self._balancer.snapshot()

    def handle(self, event: Event) -> None:
        """Handle an event, then the events that its actions cause, in order."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle_one(self._events.popleft())
        finally:
            self._handling = False

    def _handle_one(self, event: Event) -> None:
        try:
            actions: Sequence[Action] = self._balancer.handle(self._clock.now(), event)
        except Exception:
            log.exception("balancer failed to handle event %.200r", event)
            self.on_error(getattr(event, "request", None))
            return
        if self._trace is not None:
            self._trace.record(self._clock.now(), event, actions)
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:
                log.exception("failed to execute action %.200r", action)
                self.on_error(getattr(action, "request", None))

    def _set_timer(self, action: SetTimer) -> None:
        asyncio.get_running_loop().call_later(action.in_us / 1e6, self.handle, TimerFired(action.token))

    def _check_health(self, action: CheckHealth) -> None:
        on_ended = partial(self._health_check_ended, action.server, self._clock.now())
        self._endpoints.check_health(action.server, on_ended)

    def _health_check_ended(
        self, server: str, sent_at_us: int, outcome: Outcome, response: Response | None
    ) -> None:
        report = response.report if response is not None else None
        self.handle(HealthCheckEnded(server, outcome, self._clock.now() - sent_at_us, report))
