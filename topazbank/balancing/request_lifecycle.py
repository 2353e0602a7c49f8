"""A request from its arrival to its final answer.

Every attempt leaves through `AttemptSender.send`, and every final answer that is not a server's through `_answer`: what
those two demand holds whatever the code around them decides.
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

ANSWER_TICKS_EARLY: Final = 2  # a final answer leaves this many ticks before the client's time is up
RETRY_AFTER_OBJECTIVE_RATIO: Final = (
    0.1  # a rejected client should come back after about this part of its objective
)


class RequestLifecycle:
    """Owns the requests that are not over."""

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
        self._classes = {each.name: each for each in context.settings.classes}
        self._any_ordered = any(each.ordered_by_key for each in context.settings.classes)
        self.requests: dict[int, Request] = {}  # by number

    # -- Events -------------------------------------------------------------------------------------------

    def arrived(self, event: RequestArrived) -> None:
        """Take a client's request: shed it, queue it behind others of its key, or send it."""
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
            self._answer(request)
        elif not self._retries.fleet_allows_tenant(event.tenant):
            self._answer(request)
        elif request_class.ordered_by_key and event.key is not None:
            self._ordering.enqueue(request, event.key)
        else:
            self._place(request)

    def cancelled(self, event: RequestCancelled) -> None:
        """The client has left: nothing is owed any more."""
        request = self.requests.get(event.request)
        if request is not None and not request.answered:
            self._close(request)

    def response_started(self, event: ResponseStarted) -> None:
        """A streamed response has begun: its server is not silent, however long the rest takes."""
        request = self.requests.get(event.request)
        if request is not None and event.attempt < len(request.attempts):
            attempt = request.attempts[event.attempt]
            attempt.response_started = True
            attempt.server.last_response_at = self._context.now
            self._load.objective_passed(attempt)

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Learn from the end of an attempt; retry the request, or answer it where nothing is left to try."""
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.pending:
            return
        self._outcomes.ended(request, attempt, event)
        if event.answered:
            if not request.answered:
                self._close(request)
        elif not request.answered:
            self._continue(request, attempt, event.outcome)
        self._forget_if_over(request)

    def health_checks_ended(self) -> None:
        """Send the requests that waited for health checks which have all ended."""
        for request in self._checks.waiting_requests():
            if all(each.check_sent_at is None for each in request.checked_servers):
                self._send_checked(request)

    # -- Deadlines ----------------------------------------------------------------------------------------

    def deadline_passed(self, kind: DeadlineKind, number: int, attempt: int) -> None:
        """Act on a deadline of a request."""
        request = self.requests[number]
        if any(each.response_started for each in request.attempts):
            return  # it is being answered
        if kind is DeadlineKind.REQUEST:
            self._answer(request)
        elif kind is DeadlineKind.HEALTH_CHECKS:
            self._send_checked(request)
        else:
            self._overdue(request, request.attempts[attempt])

    def waits_for(self, due: int, kind: DeadlineKind, number: int, attempt: int) -> bool:
        """Whether this deadline still holds for its request."""
        request = self.requests.get(number)
        if request is None or request.answered:
            return False
        if kind is DeadlineKind.HEALTH_CHECKS:
            return due == request.checks_due and bool(request.checked_servers)
        return kind is DeadlineKind.REQUEST or request.attempts[attempt].pending

    def send_next_in_turn(self) -> None:
        """Send each request that has come to the head of its key's queue."""
        while (request := self._ordering.next_in_turn()) is not None:
            self._place(request)

    # -- Sending ------------------------------------------------------------------------------------------

    def _class_of(self, event: RequestArrived) -> RequestClass:
        request_class = self._classes.get(event.request_class)
        if request_class is not None:
            return request_class
        # A class that the settings do not name: the least is assumed of it.
        allowed_us = max(event.remaining_us, 1)
        return RequestClass(event.request_class, allowed_us, allowed_us, ordered_by_key=self._any_ordered)

    def _place(self, request: Request) -> None:
        """Send the request to the best of k, or answer it where nothing is left to try."""
        choice = self._selection.choose(request)
        if choice.to_check:
            self._checks.check_first(request, choice.to_check)
        elif choice.server is None or not self._sender.send(request, choice.server):
            self._answer_if_idle(request)

    def _send_checked(self, request: Request) -> None:
        """Send a request by what its health checks came to."""
        choice = self._checks.choose(request)
        if choice.widen:
            self._place(request)
        elif request.answered:
            return
        elif choice.server is None or not self._sender.send(request, choice.server):
            self._answer_if_idle(request)
        else:
            self._checks.note_load(request.attempts[-1])

    def _overdue(self, request: Request, attempt: Attempt) -> None:
        """An attempt takes too long: hedge or cancel it, where its server is silent and the request may run again."""
        is_silent = self._outcomes.overdue(request, attempt)
        if (
            not is_silent
            or not self._retries.allows_hedge(request)
            or not self._retries.may_run_again(request)
        ):
            return  # waiting is all that is left
        if self._limits.hedging:
            self._retries.take_hedge()
            self._place(request)
        elif self._limits.cancellation:
            self._context.actions.append(
                CancelAttempt(request.number, attempt.index)
            )  # its end leads to a retry

    def _continue(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Go on with a request whose attempt ended without an answer."""
        request.failed_servers.append(attempt.server)
        if outcome is Outcome.REJECTED:
            request.rejections += 1
            self._place(request)
        elif self._retries.take_retry(request):
            self._place(request)
        else:
            self._answer_if_idle(request)

    # -- Answering ----------------------------------------------------------------------------------------

    def _answer_if_idle(self, request: Request) -> None:
        if not request.has_pending_attempt():
            self._answer(request)

    def _answer(self, request: Request) -> None:
        """The one way out for an answer that is not a server's: rejected where that is true, else failed."""
        if request.answered:
            return
        retry_after_us = self._retry_after_us(request)
        if self._retries.is_harmless_to_repeat(request):
            self._context.actions.append(Reject(request.number, retry_after_us))
        else:
            self._context.actions.append(Fail(request.number))
        self._close(request)

    def _retry_after_us(self, request: Request) -> int:
        """When a rejected client should come back, with jitter: else all rejected at once would be back at once."""
        objective_us = request.request_class.latency_objective_us
        wait_us = RETRY_AFTER_OBJECTIVE_RATIO * objective_us * (0.5 + self._context.random.random())
        wait_us = min(wait_us, self._limits.max_retry_after_us)
        return int(wait_us) if self._limits.retry_after else 0

    def _close(self, request: Request) -> None:
        """Nothing is owed any more; attempts that are pending are cancelled where that is allowed."""
        request.answered = True
        for attempt in request.attempts:
            if attempt.pending and not attempt.response_started and self._limits.cancellation:
                self._context.actions.append(CancelAttempt(request.number, attempt.index))
        self._forget_if_over(request)

    def _forget_if_over(self, request: Request) -> None:
        if request.is_over():
            self.requests.pop(request.number, None)
            self._ordering.request_over(request)
