"""The life of a request, from its arrival to its final answer.

Every attempt is sent by `AttemptSender.send`, and every final answer that does not come from a server by
`_send_final_answer`.  The checks in these two methods therefore hold for all callers.
"""

from __future__ import annotations

from typing import Final

from topazbank.balancing.actions import CancelAttempt, Fail, Reject
from topazbank.balancing.admission import Admission
from topazbank.balancing.agenda import Agenda, DeadlineKind
from topazbank.balancing.attempt_outcomes import AttemptOutcomes
from topazbank.balancing.attempt_sender import AttemptSender
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.events import (
    AttemptEnded,
    Outcome,
    RequestArrived,
    RequestCancelled,
    ResponseDelayed,
    ResponseStarted,
)
from topazbank.balancing.gossip_exchange import GossipExchange
from topazbank.balancing.health_checks import HealthChecks
from topazbank.balancing.key_ordering import KeyOrdering
from topazbank.balancing.load import OwnLoad
from topazbank.balancing.requests import Attempt, Request
from topazbank.balancing.response_times import ResponseTimes
from topazbank.balancing.retry_policy import RetryPolicy
from topazbank.balancing.selection import Selection
from topazbank.balancing.settings import RequestClass

ANSWER_TICKS_EARLY: Final = 2  # ticks before the client's deadline at which the final answer is due
RETRY_AFTER_OBJECTIVE_RATIO: Final = 0.1  # mean Retry-After delay, relative to the latency objective


class RequestLifecycle:
    """Owns all requests that are unanswered or have a pending attempt."""

    def __init__(
        self,
        context: DecisionContext,
        agenda: Agenda,
        load: OwnLoad,
        times: ResponseTimes,
        retries: RetryPolicy,
        ordering: KeyOrdering,
        selection: Selection,
        checks: HealthChecks,
        admission: Admission,
        outcomes: AttemptOutcomes,
        sender: AttemptSender,
        gossip: GossipExchange,
        own_zone_first: bool,
    ) -> None:
        self._context = context
        self._agenda = agenda
        self._load = load
        self._times = times
        self._retries = retries
        self._ordering = ordering
        self._selection = selection
        self._checks = checks
        self._admission = admission
        self._outcomes = outcomes
        self._sender = sender
        self._gossip = gossip
        self._own_zone_first = own_zone_first
        self._limits = context.settings.limits
        self._classes = {request_class.name: request_class for request_class in context.settings.classes}
        self._any_ordered = any(request_class.ordered_by_key for request_class in context.settings.classes)
        self.requests: dict[int, Request] = {}  # by number

    # -- Events -------------------------------------------------------------------------------------------

    def arrived(self, event: RequestArrived) -> None:
        """Shed a client's request, queue it behind earlier requests with its key, or send it."""
        now = self._context.now
        request_class = self._class_of(event)
        self._load.arrivals.add(now, 1.0)
        if not event.client_retry:
            self._gossip.request_arrived()
        self._retries.request_arrived()
        answer_by = now + event.remaining_us - ANSWER_TICKS_EARLY * self._context.settings.tick_us
        cost = self._times.relative_cost(request_class.name, event.cost_us)
        flow = (request_class.name, event.tenant)
        request = Request(event.request, request_class, answer_by, cost, flow, not self._own_zone_first)
        self.requests[event.request] = request
        self._agenda.schedule(answer_by, DeadlineKind.REQUEST, event.request)
        if self._admission.sheds(request, event.tenant, event.remaining_us):
            self._send_final_answer(request)
        elif not self._retries.fleet_allows_tenant(event.tenant):
            self._send_final_answer(request)
        elif request_class.ordered_by_key and event.key is not None:
            self._ordering.enqueue(request, event.key)
        else:
            self._select_and_send(request)

    def cancelled(self, event: RequestCancelled) -> None:
        """Drop an unanswered request whose client has disconnected."""
        request = self.requests.get(event.request)
        if request is not None and not request.answered:
            self._finish(request)

    def response_started(self, event: ResponseStarted) -> None:
        """Record the first part of a streamed response, so that its server no longer counts as silent."""
        request = self.requests.get(event.request)
        if request is not None and event.attempt < len(request.attempts):
            attempt = request.attempts[event.attempt]
            attempt.response_started = True
            attempt.server.last_response_at = self._context.now
            self._load.objective_passed(attempt)

    def response_delayed(self, event: ResponseDelayed) -> None:
        """Exclude an attempt from what is learned about its server from now on."""
        request = self.requests.get(event.request)
        if request is not None and event.attempt < len(request.attempts):
            self._outcomes.response_delayed(request.attempts[event.attempt])

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Record the outcome of an attempt; retry the request, or answer it if no retry is possible."""
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.pending:
            return
        self._outcomes.ended(request, attempt, event)
        if event.answered:
            if not request.answered:
                self._finish(request)
        elif not request.answered:
            self._retry_or_answer(request, attempt, event.outcome)
        self._remove_if_over(request)

    def health_checks_ended(self) -> None:
        """Send each waiting request whose health checks have all ended."""
        for request in self._checks.waiting_requests():
            if all(server.check_sent_at is None for server in request.checked_servers):
                self._send_checked(request)

    # -- Deadlines ----------------------------------------------------------------------------------------

    def deadline_passed(self, kind: DeadlineKind, number: int, attempt: int) -> None:
        """Handle an expired deadline of a request."""
        request = self.requests[number]
        if any(request_attempt.response_started for request_attempt in request.attempts):
            return  # a server is already streaming the response
        if kind is DeadlineKind.REQUEST:
            self._send_final_answer(request)
        elif kind is DeadlineKind.HEALTH_CHECKS:
            self._send_checked(request)
        else:
            self._attempt_overdue(request, request.attempts[attempt])

    def deadline_applies(self, due: int, kind: DeadlineKind, number: int, attempt: int) -> bool:
        """Whether this deadline still requires an action for its request."""
        request = self.requests.get(number)
        if request is None or request.answered:
            return False
        if kind is DeadlineKind.HEALTH_CHECKS:
            return due == request.checks_due and bool(request.checked_servers)
        return kind is DeadlineKind.REQUEST or request.attempts[attempt].pending

    def send_next_in_turn(self) -> None:
        """Send each request that has reached the head of its key's queue."""
        while (request := self._ordering.next_in_turn()) is not None:
            self._select_and_send(request)

    # -- Sending ------------------------------------------------------------------------------------------

    def _class_of(self, event: RequestArrived) -> RequestClass:
        request_class = self._classes.get(event.request_class)
        if request_class is not None:
            return request_class
        # The settings do not define this class: use the most restrictive defaults.
        allowed_us = max(event.remaining_us, 1)
        return RequestClass(event.request_class, allowed_us, allowed_us, ordered_by_key=self._any_ordered)

    def _select_and_send(self, request: Request) -> None:
        """Select a server and send the request to it, or answer the request if no attempt is possible."""
        choice = self._selection.choose(request)
        if choice.to_check:
            self._checks.check_first(request, choice.to_check)
        elif choice.server is None or not self._sender.send(request, choice.server):
            self._answer_if_none_pending(request)

    def _send_checked(self, request: Request) -> None:
        """Send a request to the server that its health checks indicate, or answer the request if there is none."""
        choice = self._checks.choose(request)
        if choice.widen:
            self._select_and_send(request)
        elif request.answered:
            return
        elif choice.server is None or not self._sender.send(request, choice.server):
            self._answer_if_none_pending(request)
        else:
            self._checks.note_load(request.attempts[-1])

    def _attempt_overdue(self, request: Request, attempt: Attempt) -> None:
        """Hedge or cancel an overdue attempt if its server is silent and the request may run again."""
        is_silent = self._outcomes.overdue(request, attempt)
        if (
            not is_silent
            or not self._retries.allows_hedge(request)
            or not self._retries.may_run_again(request)
        ):
            return  # keep waiting for the response
        if self._limits.hedging:
            self._retries.take_hedge()
            self._select_and_send(request)
        elif self._limits.cancellation:
            # The end of the cancelled attempt triggers a retry.
            self._context.actions.append(CancelAttempt(request.number, attempt.index))

    def _retry_or_answer(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Retry a request whose attempt ended without an answer, or answer it if no retry is allowed."""
        request.failed_servers.append(attempt.server)
        if outcome is Outcome.REJECTED:
            request.rejections += 1
            self._select_and_send(request)
        elif self._retries.take_retry(request):
            self._select_and_send(request)
        else:
            self._answer_if_none_pending(request)

    # -- Answering ----------------------------------------------------------------------------------------

    def _answer_if_none_pending(self, request: Request) -> None:
        if not request.has_pending_attempt():
            self._send_final_answer(request)

    def _send_final_answer(self, request: Request) -> None:
        """Answer an unanswered request: rejected if a repeat by the client is harmless, otherwise failed.

        Every final answer that does not come from a server is sent here.
        """
        if request.answered:
            return
        retry_after_us = self._retry_after_us(request)
        if self._retries.is_harmless_to_repeat(request):
            self._context.actions.append(Reject(request.number, retry_after_us))
        else:
            self._context.actions.append(Fail(request.number))
        self._finish(request)

    def _retry_after_us(self, request: Request) -> int:
        """Delay before a rejected client should retry.

        Jitter keeps clients that were rejected together from retrying together.
        """
        objective_us = request.request_class.latency_objective_us
        delay_us = RETRY_AFTER_OBJECTIVE_RATIO * objective_us * (0.5 + self._context.random.random())
        delay_us = min(delay_us, self._limits.max_retry_after_us)
        return int(delay_us) if self._limits.retry_after else 0

    def _finish(self, request: Request) -> None:
        """Mark the request as answered and cancel its pending attempts if the settings allow it."""
        request.answered = True
        for attempt in request.attempts:
            if attempt.pending and not attempt.response_started and self._limits.cancellation:
                self._context.actions.append(CancelAttempt(request.number, attempt.index))
        self._remove_if_over(request)

    def _remove_if_over(self, request: Request) -> None:
        if request.is_over():
            self.requests.pop(request.number, None)
            self._ordering.request_over(request)
