"""The driver: hands events to the balancer and its actions to those who carry them out.  It decides nothing.

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
from topazbank.core.call import Response
from topazbank.core.clock import Clock
from topazbank.core.endpoint_table import EndpointTable
from topazbank.core.trace import Trace

log = logging.getLogger(__name__)


class Driver:
    """Events in, actions out.

    Timers, health checks and idle connections are its own; other actions are carried out by those who `register`.
    """

    def __init__(
        self, balancer: Balancer, clock: Clock, endpoints: EndpointTable, trace: Trace | None = None
    ) -> None:
        self._balancer = balancer
        self._clock = clock
        self._endpoints = endpoints
        self._trace = trace
        self._events: deque[Event] = deque()  # not handled yet
        self._handling = False
        self._carry_out: dict[type[Any], Callable[[Any], None]] = {}
        self.on_defect: Callable[[int | None], None] = lambda request: (
            None
        )  # an event or action of it has failed
        self.register(SetTimer, self._set_timer)
        self.register(CheckHealth, self._check_health)
        self.register(CloseIdleConnections, lambda action: endpoints.close_idle(action.server))
        self.register(LogMessage, lambda action: log.info("%s", action.text))

    def register(self, action_type: type[Any], carry_out: Callable[[Any], None]) -> None:
        """Have actions of a type carried out by `carry_out`."""
        self._carry_out[action_type] = carry_out

    def handle(self, event: Event) -> None:
        """Handle an event, and then those that its actions cause, in order."""
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
            log.exception("the balancer failed on %.200r", event)
            self.on_defect(getattr(event, "request", None))
            return
        if self._trace is not None:
            self._trace.record(self._clock.now(), event, actions)
        for action in actions:
            try:
                self._carry_out[type(action)](action)
            except Exception:
                log.exception("could not carry out %.200r", action)
                self.on_defect(getattr(action, "request", None))

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
