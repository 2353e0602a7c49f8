"""One attempt at a request, or one health check, from its start to its outcome."""

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
    """The deadlines of an attempt in seconds on the event loop's clock, and the rules checked before writing."""

    give_up_at: float
    is_final: bool = True  # whether the request ends at `give_up_at`, so that no retry follows
    write_by: float = math.inf  # an attempt not fully written to the kernel by then ends as unsent
    rules: RequestRules | None = None  # None for a health check


class Attempt:
    """An attempt sent to a server; each protocol has its own subclass."""

    def __init__(
        self,
        endpoint: Endpoint,
        deadlines: AttemptDeadlines,
        on_ended: OutcomeCallback,
        call: Call | None = None,
    ) -> None:
        """`on_ended` is called exactly once; `call` is None for a health check."""
        self.endpoint = endpoint
        self.give_up_at = deadlines.give_up_at
        self._write_by = deadlines.write_by
        self._rules = deadlines.rules
        self._written = False  # whether the rules allowed the first byte to be written
        self.call = call
        self.on_ended: OutcomeCallback | None = on_ended
        self.on_response_started: Callable[[Response], None] | None = None  # called for a streamed response
        self.on_response_delayed: Callable[[], None] | None = None  # called once
        self.timers: list[Timer] = []  # cancelled when the attempt ends

    def may_write(self) -> bool:
        """Whether the first byte may be written to the server now; called once, just before the write."""
        if self.call is None or self._rules is None:
            return True
        now = asyncio.get_running_loop().time()
        denial = self._rules.check_write(self.call, self.endpoint, now, self._write_by)
        if denial is not None:
            log.info("request %s not sent to %s: %s", self.call.call_id, self.endpoint.name, denial.value)
        self._written = denial is None
        return self._written

    def remaining_s(self) -> float:
        """The timeout to send to the server: how long the client still waits, in seconds."""
        now = asyncio.get_running_loop().time()
        if self.call is None or self._rules is None:
            return max(self.give_up_at - now, 0.0)
        return self._rules.remaining_s(self.call, self.give_up_at, now)

    def arm_write_deadline(self, timers: Timers) -> None:
        """Set a timer for `write_by` if it is earlier than `give_up_at`."""
        if self._write_by < self.give_up_at:
            self.timers.append(timers.call_at(self._write_by, _cancel_unwritten, self))

    def response_started(self, response: Response) -> None:
        """Forward a streamed response to the client and cancel the attempt's deadlines."""
        for timer in self.timers:
            timer.cancel()
        if self.on_response_started is not None and self.on_ended is not None:
            self.on_response_started(response)

    def response_delayed(self) -> None:
        """Report that this process has stopped reading the response for now."""
        on_response_delayed, self.on_response_delayed = self.on_response_delayed, None
        if on_response_delayed is not None and self.on_ended is not None:
            on_response_delayed()

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """End the attempt with an outcome; no effect if it has already ended."""
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
        """Release the resources of the attempt; called before its outcome is reported."""

    def has_partial_response(self) -> bool:
        """Whether the server's response has been received in part."""
        return False

    def cancel(self, final: bool) -> None:
        """Cancel the attempt; `final`: the request is answered, so no retry follows."""
        self.end(Outcome.CANCELLED)

    def cancel_unwritten(self) -> None:
        """End the attempt if it is not completely written, so that the rest is never written."""
        raise NotImplementedError


def _cancel_unwritten(attempt: Attempt) -> None:
    attempt.cancel_unwritten()
