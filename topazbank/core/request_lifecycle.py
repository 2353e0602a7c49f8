"""Requests from their arrival to their one answer, and their attempts.

Promise: every request is answered exactly once, by its deadline at the latest, unless its client disconnects first.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from topazbank.balancing.actions import CancelAttempt, Fail, Reject, SendAttempt
from topazbank.balancing.events import (
    AttemptEnded,
    Outcome,
    RequestArrived,
    RequestCancelled,
    ResponseStarted,
)
from topazbank.core.attempts import Attempt, AttemptDeadlines
from topazbank.core.call import FAILED_ANSWER, Call, FinalAnswer, Response, Verdict
from topazbank.core.clock import Clock
from topazbank.core.components import RequestObserver
from topazbank.core.driver import Driver
from topazbank.core.endpoint_table import EndpointTable
from topazbank.core.request_rules import DenialReason, RequestRules
from topazbank.core.timers import Timer, Timers


class StreamStart(NamedTuple):
    """The attempt whose response is streamed to the client, and how long its first bytes took."""

    attempt: int
    elapsed_us: int


@dataclass(slots=True, eq=False)
class LiveRequest:
    """A request that is not over: unanswered, or with attempts in flight."""

    number: int  # as the balancer knows it
    call: Call
    deadline_us: int
    answered: bool = False  # or cancelled: nothing more is sent to its client
    attempts_sent: int = 0
    attempts: dict[int, Attempt | None] = field(
        default_factory=dict
    )  # in flight, by number; None: being started
    deadline_timer: Timer | None = None
    stream_start: StreamStart | None = None


class RequestLifecycle:
    """All live requests of this process."""

    def __init__(
        self,
        driver: Driver,
        clock: Clock,
        endpoints: EndpointTable,
        rules: RequestRules,
        observer: RequestObserver | None = None,
    ) -> None:
        self._driver = driver
        self._clock = clock
        self._endpoints = endpoints
        self._rules = rules
        self._observer = observer
        self._timers = Timers()
        self._numbers = itertools.count(1)
        self.live: dict[int, LiveRequest] = {}  # by number
        self._unanswered: dict[Call, LiveRequest] = {}
        self._call_ids: set[str] = set()  # of all live requests
        driver.on_defect = self.fail
        driver.register(SendAttempt, self._send)
        driver.register(Reject, self._reject)
        driver.register(Fail, self._fail)
        driver.register(CancelAttempt, self._cancel)

    @property
    def unanswered_count(self) -> int:
        """How many requests have no answer yet."""
        return len(self._unanswered)

    def is_in_flight(self, call_id: str) -> bool:
        """Whether a request with this id is unanswered, or has an attempt in flight."""
        return call_id in self._call_ids

    # -- From clients ---------------------------------------------------------------------------------

    def on_request(self, call: Call) -> None:
        """A client's request has come; it will be answered by `call.answer`."""
        live = LiveRequest(next(self._numbers), call, self._clock.now() + call.timeout_us)
        self.live[live.number] = self._unanswered[call] = live
        self._call_ids.add(call.call_id)
        if self._observer is not None:
            self._observer.request_arrived(call.request_class.name)
        call.deadline = self._clock.to_loop_time(live.deadline_us)
        live.deadline_timer = self._timers.call_at(call.deadline, self.fail, live.number)
        self._driver.handle(
            RequestArrived(
                live.number,
                call.request_class.name,
                call.tenant,
                call.key,
                call.timeout_us,
                call.cost_us,
                call.is_retry,
            )
        )

    def on_disconnect(self, calls: Sequence[Call]) -> None:
        """Clients have disconnected.

        All their requests are marked before the balancer hears of any: cancelling one can end attempts of others.
        """
        cancelled = [
            live for call in calls if (live := self._unanswered.pop(call, None)) and not live.answered
        ]
        for live in cancelled:
            live.answered = live.call.is_over = True
        for live in cancelled:
            self._mark_answered(live)
            self._driver.handle(RequestCancelled(live.number))

    # -- Answers --------------------------------------------------------------------------------------

    def fail(self, number: int | None) -> None:
        """Answer a request as failed and cancel its attempts.

        Guards against a defect that would leave it unanswered: it is called at its deadline, and where the handling of
        one of its events or actions has raised an error.
        """
        live = self.live.get(number) if number is not None else None
        if live is None:
            return
        self._answer(live, FAILED_ANSWER)
        for attempt in list(live.attempts.values()):
            if attempt is not None:
                attempt.cancel(final=True)

    def fail_unanswered(self) -> None:
        """Answer all requests that have no answer yet as failed."""
        for live in list(self._unanswered.values()):
            self._answer(live, FAILED_ANSWER)

    def _answer(self, live: LiveRequest, answer: FinalAnswer) -> None:
        if live.answered:
            return
        if self._observer is not None:
            served = answer.verdict is Verdict.SERVED
            self._observer.request_answered(live.call.request_class.name, served)
        self._mark_answered(live)
        self._rules.check_answer(live.call, asyncio.get_running_loop().time())
        live.call.answer(answer)

    def _mark_answered(self, live: LiveRequest) -> None:
        live.answered = live.call.is_over = True
        self._unanswered.pop(live.call, None)
        if live.deadline_timer is not None:
            live.deadline_timer.cancel()
        for attempt in list(live.attempts.values()):
            if attempt is not None:
                attempt.cancel_unwritten()  # nothing is sent for a request that is over
        self._forget_if_over(live)

    def _forget_if_over(self, live: LiveRequest) -> None:
        if live.answered and not live.attempts:
            self.live.pop(live.number, None)
            self._call_ids.discard(live.call.call_id)
            live.call.release()

    def _reject(self, action: Reject) -> None:
        live = self.live.get(action.request)
        if live is not None:
            self._answer(live, FinalAnswer(Verdict.REJECTED, retry_after_us=action.retry_after_us))

    def _fail(self, action: Fail) -> None:
        live = self.live.get(action.request)
        if live is not None:
            self._answer(live, FAILED_ANSWER)

    # -- Attempts -------------------------------------------------------------------------------------

    def _send(self, action: SendAttempt) -> None:
        live = self.live.get(action.request)
        if live is None:
            self._not_sent(action, 0)
            return
        number = live.attempts_sent
        live.attempts_sent += 1
        denied = self._rules.check_send(live.call, asyncio.get_running_loop().time())
        if denied is not None:
            if denied is DenialReason.CLIENT_DISCONNECTED:
                self.on_disconnect([live.call])
            self._not_sent(action, number)
            return
        live.attempts[number] = None
        if self._observer is not None:
            self._observer.attempt_sent(action.server)
        is_final = not 0 < action.give_up_at < live.deadline_us
        give_up_at = self._clock.to_loop_time(live.deadline_us if is_final else action.give_up_at)
        write_by = self._clock.to_loop_time(action.write_by)
        on_ended = partial(self._attempt_ended, live, number, action.server, self._clock.now())
        try:
            deadlines = AttemptDeadlines(give_up_at, is_final, write_by, self._rules)
            attempt = self._endpoints.send(action.server, live.call, deadlines, on_ended)
        except Exception:
            on_ended(Outcome.CONNECTION_LOST, None)  # a defect: the request may have been executed
            raise
        if number in live.attempts:
            live.attempts[number] = attempt
            attempt.on_response_started = partial(
                self._response_started, live, number, action.server, self._clock.now()
            )

    def _not_sent(self, action: SendAttempt, number: int) -> None:
        self._driver.handle(AttemptEnded(action.request, number, action.server, Outcome.UNSENT, 0, True))

    def _response_started(
        self, live: LiveRequest, number: int, server: str, sent_at_us: int, response: Response
    ) -> None:
        """A streamed response has begun: its time is that of its first bytes, however long the rest takes."""
        if live.answered:  # by another attempt, or its client has disconnected
            if response.stream is not None:
                response.stream.abort()
            return
        elapsed_us = self._clock.now() - sent_at_us
        live.stream_start = StreamStart(number, elapsed_us)
        self._answer(
            live,
            FinalAnswer(Verdict.SERVED, response.body, response.content_headers, stream=response.stream),
        )
        self._driver.handle(ResponseStarted(live.number, number, server, elapsed_us))

    def _attempt_ended(
        self,
        live: LiveRequest,
        number: int,
        server: str,
        sent_at_us: int,
        outcome: Outcome,
        response: Response | None,
    ) -> None:
        if number not in live.attempts:
            return
        del live.attempts[number]
        if outcome is Outcome.DELIVERED and response is not None:
            self._answer(live, FinalAnswer(Verdict.SERVED, response.body, response.content_headers))
        elapsed_us = self._clock.now() - sent_at_us
        if live.stream_start is not None and live.stream_start.attempt == number:
            elapsed_us = live.stream_start.elapsed_us
        report = response.report if response is not None else None
        if self._observer is not None:
            self._observer.attempt_ended(server, outcome is Outcome.DELIVERED, elapsed_us, report)
        self._forget_if_over(live)
        self._driver.handle(
            AttemptEnded(live.number, number, server, outcome, elapsed_us, live.answered, report)
        )

    def _cancel(self, action: CancelAttempt) -> None:
        live = self.live.get(action.request)
        if live is None:
            return
        attempt = live.attempts.get(action.attempt)
        if attempt is not None:
            attempt.cancel(final=live.answered)
