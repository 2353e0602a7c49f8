"""Requests that share an ordering key run one at a time, in order of arrival, where their class asks for that.

After an attempt that may still be running, its key pauses before the next request begins.
"""

from __future__ import annotations

from collections import deque

from topazbank.balancing.agenda import Agenda, DeadlineKind
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.events import Outcome
from topazbank.balancing.requests import KeyQueue, Request

_MAY_RUN_ON = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CANCELLED)


class KeyOrdering:
    """Owns the queues of keys.  Keys that are not in use take no memory."""

    def __init__(self, context: DecisionContext, agenda: Agenda) -> None:
        self._context = context
        self._agenda = agenda
        self.queues: dict[int, KeyQueue] = {}
        self._changed: deque[KeyQueue] = deque()  # queues whose first request may be another now

    def enqueue(self, request: Request, key: int) -> None:
        """Put a request behind the others of its key."""
        request.key_queue = queue = self.queues.setdefault(key, KeyQueue(key))
        queue.requests.append(request)
        self._changed.append(queue)

    def attempt_ended(self, request: Request, outcome: Outcome) -> None:
        """Pause the request's key where the attempt may still be running."""
        if request.key_queue is not None and outcome in _MAY_RUN_ON:
            pause_us = self._context.settings.rules.ordering_pause_us
            request.key_queue.paused_until = self._context.now + pause_us

    def request_over(self, request: Request) -> None:
        """The request is over: the next of its key may have its turn."""
        if request.key_queue is not None:
            self._changed.append(request.key_queue)

    def pause_ended(self, key: int) -> None:
        """The pause of a key is over."""
        self._changed.append(self.queues[key])

    def has_pause_until(self, key: int, due: int) -> bool:
        """Whether this key pauses until this clock time."""
        return key in self.queues and due == self.queues[key].paused_until

    def has_turn(self, request: Request) -> bool:
        """Whether the request may be sent now as far as its key is concerned; its retries always may."""
        queue = request.key_queue
        if queue is None or request.attempts:
            return True
        _drop_finished(queue)
        return queue.requests[0] is request and self._context.now >= queue.paused_until

    def next_in_turn(self) -> Request | None:
        """The next request that has come to the head of its queue and waits to be sent; None: no more."""
        while self._changed:
            queue = self._changed.popleft()
            _drop_finished(queue)
            if self._context.now < queue.paused_until:
                self._agenda.schedule(queue.paused_until, DeadlineKind.KEY_PAUSE, queue.key)
            elif not queue.requests:
                self.queues.pop(queue.key, None)
            else:
                first = queue.requests[0]
                if not (first.attempts or first.answered or first.checked_servers):
                    return first
        return None


def _drop_finished(queue: KeyQueue) -> None:
    while queue.requests and queue.requests[0].is_over():
        queue.requests.popleft()
