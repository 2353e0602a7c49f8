"""One attempt to have a request served, or one health check, from its start to its one outcome."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from topazbank.balancing.events import Outcome
from topazbank.core.call import Call, OutcomeCallback, Response
from topazbank.core.endpoints import Endpoint
from topazbank.core.request_rules import RequestRules
from topazbank.core.timers import Timer, Timers

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class AttemptDeadlines:
    """The deadlines of an attempt, seconds on the event loop's clock, and the rules for its writing."""

    give_up_at: float
    is_final: bool = True  # whether its request is over at `give_up_at`, so that no retry follows
    write_by: float = math.inf  # it ends unsent where its last byte has not gone to the kernel by then
    rules: RequestRules | None = None  # None: of a health check


class Attempt:
    """An attempt at a server; each protocol has a subclass."""

    def __init__(
        self,
        endpoint: Endpoint,
        deadlines: AttemptDeadlines,
        on_ended: OutcomeCallback,
        call: Call | None = None,
    ) -> None:
        """`on_ended` is called exactly once; `call`: None for a health check."""
        self.endpoint = endpoint
        self.give_up_at = deadlines.give_up_at
        self._write_by = deadlines.write_by
        self._rules = deadlines.rules
        self._written = False  # whether its first byte was allowed to go to the server
        self.call = call
        self.on_ended: OutcomeCallback | None = on_ended
        self.on_response_started: Callable[[Response], None] | None = None  # of a response that is streamed
        self.timers: list[Timer] = []  # cancelled at its end

    def may_write(self) -> bool:
        """Whether its first byte may go to the server now; called once, just before that."""
        if self.call is None or self._rules is None:
            return True
        now = asyncio.get_running_loop().time()
        denied = self._rules.check_write(self.call, self.endpoint, now, self._write_by)
        if denied is not None:
            log.info("request %s is not sent to %s: %s", self.call.call_id, self.endpoint.name, denied.value)
        self._written = denied is None
        return self._written

    def remaining_s(self) -> float:
        """How long its client still waits, for its server, seconds."""
        now = asyncio.get_running_loop().time()
        if self.call is None or self._rules is None:
            return max(self.give_up_at - now, 0.0)
        return self._rules.remaining_s(self.call, self.give_up_at, now)

    def arm_write_deadline(self, timers: Timers) -> None:
        """Set the timer for `write_by`, if that is the earlier deadline."""
        if self._write_by < self.give_up_at:
            self.timers.append(timers.call_at(self._write_by, _cancel_unwritten, self))

    def response_started(self, response: Response) -> None:
        """Pass on a streamed response: its client has it now, and the attempt's deadlines end."""
        for timer in self.timers:
            timer.cancel()
        if self.on_response_started is not None and self.on_ended is not None:
            self.on_response_started(response)

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """End it with its outcome; no effect where it has ended already."""
        on_ended, self.on_ended = self.on_ended, None
        if on_ended is None:
            return
        for timer in self.timers:
            timer.cancel()
        self.release(outcome)
        if self.call is not None and self._rules is not None:
            self._rules.attempt_ended(self.call, outcome, self._written)
        on_ended(outcome, response)

    def release(self, outcome: Outcome) -> None:
        """Give back what it holds, before its outcome is known to others."""

    def cancel(self, final: bool) -> None:
        """Stop waiting; `final`: its request has its answer, so no retry follows."""
        self.end(Outcome.CANCELLED)

    def cancel_unwritten(self) -> None:
        """End it if it is not completely written yet, so that it never will be."""
        raise NotImplementedError


def _cancel_unwritten(attempt: Attempt) -> None:
    attempt.cancel_unwritten()
