"""The lifecycle of requests and their attempts, from arrival to the final answer.

Invariant: every request is answered exactly once, no later than its deadline, unless its client disconnects first.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
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
    ResponseDelayed,
    ResponseStarted,
)
from topazbank.balancing.settings import Idempotency
from topazbank.core.abandoned_calls import AbandonedCalls
from topazbank.core.attempts import Attempt, AttemptDeadlines
from topazbank.core.call import FAILED_ANSWER, Call, FinalAnswer, Response, Verdict
from topazbank.core.clock import Clock
from topazbank.core.components import RequestObserver
from topazbank.core.driver import Driver
from topazbank.core.endpoint_table import EndpointTable
from topazbank.core.memory_budget import MemoryBudget
from topazbank.core.request_rules import DenialReason, RequestRules
from topazbank.core.shed_log import ShedLog
from topazbank.core.timers import Timer, Timers

log = logging.getLogger(__name__)


class StreamStart(NamedTuple):
    """The attempt whose response is streamed to the client, and its time to the first bytes."""

    attempt: int
    elapsed_us: int


@dataclass(slots=True, eq=False)
class LiveRequest:
    """A request that is still unanswered or still has attempts in flight."""

    number: int  # identifies the request in the balancer's events and actions
    call: Call
    deadline_us: int
    answered: bool = False  # answered or cancelled; nothing more is sent to the client
    is_abandoned: bool = False  # whether it ended without a server's answer, as its client left
    attempts_sent: int = 0
    # The attempts in flight by number; None while an attempt is being started.
    attempts: dict[int, Attempt | None] = field(default_factory=dict)
    deadline_timer: Timer | None = None
    stream_start: StreamStart | None = None


class RequestLifecycle:
    """Tracks all live requests of this process."""

    def __init__(
        self,
        driver: Driver,
        clock: Clock,
        endpoints: EndpointTable,
        rules: RequestRules,
        observer: RequestObserver | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._driver = driver
        self._clock = clock
        self._endpoints = endpoints
        self._rules = rules
        self._observer = observer
        self._timers = Timers()
        self._request_numbers = itertools.count(1)
        self.live: dict[int, LiveRequest] = {}  # by request number
        self._unanswered: dict[Call, LiveRequest] = {}
        self._call_ids: set[str] = set()  # the call ids of all live requests
        self._shed_log = ShedLog(driver.snapshot)
        self._abandoned = AbandonedCalls(memory or MemoryBudget())
        driver.on_error = self.fail
        driver.register(SendAttempt, self._send)
        driver.register(Reject, self._reject)
        driver.register(Fail, self._fail)
        driver.register(CancelAttempt, self._cancel)

    @property
    def unanswered_count(self) -> int:
        """The number of requests without an answer."""
        return len(self._unanswered)

    def is_in_flight(self, call_id: str) -> bool:
        """Whether the request with this call id is unanswered or has an attempt in flight."""
        return call_id in self._call_ids

    def was_abandoned(self, call_id: str) -> bool:
        """Whether the client of this request left a short time ago, and a server may have run it for good."""
        return self._abandoned.contains(call_id, asyncio.get_running_loop().time())

    # -- Client events --------------------------------------------------------------------------------

    def on_request(self, call: Call) -> None:
        """Accept a client's request; its answer is delivered by `call.answer`."""
        request = LiveRequest(next(self._request_numbers), call, self._clock.now() + call.timeout_us)
        self.live[request.number] = self._unanswered[call] = request
        self._call_ids.add(call.call_id)
        if self._observer is not None:
            self._observer.request_arrived(call.request_class.name)
        call.deadline = self._clock.to_loop_time(request.deadline_us)
        request.deadline_timer = self._timers.call_at(call.deadline, self.fail, request.number)
        self._driver.handle(
            RequestArrived(
                request.number,
                call.request_class.name,
                call.tenant,
                call.key,
                call.timeout_us,
                call.cost_us,
                call.is_retry,
            )
        )

    def on_disconnect(self, calls: Sequence[Call]) -> None:
        """Cancel the unanswered requests of clients that have disconnected.

        All of them are marked as answered before the balancer receives the first event, because cancelling one request
        can end attempts of others.
        """
        cancelled = [
            request
            for call in calls
            if (request := self._unanswered.pop(call, None)) and not request.answered
        ]
        for request in cancelled:
            request.answered = request.call.is_over = request.is_abandoned = True
        for request in cancelled:
            self._mark_answered(request)
            self._driver.handle(RequestCancelled(request.number))

    # -- Answers --------------------------------------------------------------------------------------

    def fail(self, number: int | None) -> None:
        """Answer a request as failed and cancel its attempts.

        Called at the request's deadline, and when handling one of its events or actions raises an exception. This keeps
        a defect from leaving the request unanswered.
        """
        request = self.live.get(number) if number is not None else None
        if request is None:
            return
        self._answer(request, FAILED_ANSWER)
        for attempt in list(request.attempts.values()):
            if attempt is not None:
                attempt.cancel(final=True)

    def fail_unanswered(self) -> None:
        """Answer all unanswered requests as failed."""
        for request in list(self._unanswered.values()):
            self._answer(request, FAILED_ANSWER)

    def _answer(self, request: LiveRequest, answer: FinalAnswer) -> None:
        if request.answered:
            return
        if self._observer is not None:
            served = answer.verdict is Verdict.SERVED
            self._observer.request_answered(request.call.request_class.name, served)
        self._mark_answered(request)
        self._rules.check_answer(request.call, asyncio.get_running_loop().time())
        request.call.answer(answer)

    def _mark_answered(self, request: LiveRequest) -> None:
        request.answered = request.call.is_over = True
        self._unanswered.pop(request.call, None)
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        for attempt in list(request.attempts.values()):
            if attempt is not None:
                attempt.cancel_unwritten()  # nothing is sent for a finished request
        self._remove_if_finished(request)

    def _remove_if_finished(self, request: LiveRequest) -> None:
        if request.answered and not request.attempts:
            if request.number in self.live:
                self._remember_if_abandoned(request)
            self.live.pop(request.number, None)
            self._call_ids.discard(request.call.call_id)
            request.call.release()

    def _remember_if_abandoned(self, request: LiveRequest) -> None:
        call = request.call
        is_unsafe = call.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        if request.is_abandoned and is_unsafe and call.possibly_executed:
            self._abandoned.add(call.call_id, asyncio.get_running_loop().time())

    def _reject(self, action: Reject) -> None:
        request = self.live.get(action.request)
        if request is not None:
            if not request.attempts_sent:
                self._shed_log.record(request.call.call_id, asyncio.get_running_loop().time())
            self._answer(request, FinalAnswer(Verdict.REJECTED, retry_after_us=action.retry_after_us))

    def _fail(self, action: Fail) -> None:
        request = self.live.get(action.request)
        if request is not None:
            self._answer(request, FAILED_ANSWER)

    # -- Attempts -------------------------------------------------------------------------------------

    def _send(self, action: SendAttempt) -> None:
        request = self.live.get(action.request)
        if request is None:
            self._report_unsent(action, 0)
            return
        number = request.attempts_sent
        request.attempts_sent += 1
        denial = self._rules.check_send(request.call, asyncio.get_running_loop().time())
        if denial is not None:
            if denial is DenialReason.CLIENT_DISCONNECTED:
                self.on_disconnect([request.call])
            self._report_unsent(action, number)
            return
        request.attempts[number] = None
        if self._observer is not None:
            self._observer.attempt_sent(action.server)
        is_final = not 0 < action.give_up_at < request.deadline_us
        give_up_at = self._clock.to_loop_time(request.deadline_us if is_final else action.give_up_at)
        write_by = self._clock.to_loop_time(action.write_by)
        on_ended = partial(self._attempt_ended, request, number, action.server, self._clock.now())
        try:
            deadlines = AttemptDeadlines(give_up_at, is_final, write_by, self._rules)
            attempt = self._endpoints.send(action.server, request.call, deadlines, on_ended)
        except Exception:
            on_ended(Outcome.CONNECTION_LOST, None)  # a defect; the request may have been executed
            raise
        if number in request.attempts:
            request.attempts[number] = attempt
            attempt.on_response_delayed = partial(
                self._driver.handle, ResponseDelayed(request.number, number)
            )
            attempt.on_response_started = partial(
                self._response_started, request, number, action.server, self._clock.now()
            )

    def _report_unsent(self, action: SendAttempt, number: int) -> None:
        self._driver.handle(AttemptEnded(action.request, number, action.server, Outcome.UNSENT, 0, True))

    def _response_started(
        self, request: LiveRequest, number: int, server: str, sent_at_us: int, response: Response
    ) -> None:
        """Answer with a streamed response; the attempt's elapsed time is measured to its first bytes only."""
        if request.answered:  # another attempt answered, or the client disconnected
            if response.stream is not None:
                response.stream.abort()
            return
        elapsed_us = self._clock.now() - sent_at_us
        request.stream_start = StreamStart(number, elapsed_us)
        self._answer(
            request,
            FinalAnswer(Verdict.SERVED, response.body, response.content_headers, stream=response.stream),
        )
        self._driver.handle(ResponseStarted(request.number, number, server, elapsed_us))

    def _attempt_ended(
        self,
        request: LiveRequest,
        number: int,
        server: str,
        sent_at_us: int,
        outcome: Outcome,
        response: Response | None,
    ) -> None:
        if number not in request.attempts:
            return
        del request.attempts[number]
        if outcome is Outcome.DELIVERED and response is not None:
            self._answer(request, FinalAnswer(Verdict.SERVED, response.body, response.content_headers))
        elapsed_us = self._clock.now() - sent_at_us
        if request.stream_start is not None and request.stream_start.attempt == number:
            elapsed_us = request.stream_start.elapsed_us
        report = response.report if response is not None else None
        if self._observer is not None:
            self._observer.attempt_ended(server, outcome is Outcome.DELIVERED, elapsed_us, report)
        self._remove_if_finished(request)
        self._driver.handle(
            AttemptEnded(request.number, number, server, outcome, elapsed_us, request.answered, report)
        )

    def _cancel(self, action: CancelAttempt) -> None:
        request = self.live.get(action.request)
        if request is None:
            return
        attempt = request.attempts.get(action.attempt)
        if attempt is None:
            return
        if attempt.has_partial_response() and not request.answered:
            # The server is slow, but it works: its response has until the client's deadline.
            log.info(
                "request %s: not cancelled at %s: its answer has begun",
                request.call.call_id,
                attempt.endpoint.name,
            )
            return
        attempt.cancel(final=request.answered)
