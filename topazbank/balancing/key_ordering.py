"""Runs requests that share an ordering key one at a time, in order of arrival, for classes that require it.

After an attempt that may still be running, its key is paused before the next request is sent.
"""

from __future__ import annotations

from collections import deque

from topazbank.balancing.agenda import Agenda, DeadlineKind
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.events import Outcome
from topazbank.balancing.requests import KeyQueue, Request

# Outcomes after which the attempt may still be running at its server.
_MAY_STILL_RUN = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CANCELLED)


class KeyOrdering:
    """Owns the request queue of each ordering key.  Keys that are not in use take no memory."""

    def __init__(self, context: DecisionContext, agenda: Agenda) -> None:
        self._context = context
        self._agenda = agenda
        self.queues: dict[int, KeyQueue] = {}
        self._changed_queues: deque[KeyQueue] = deque()  # queues whose first request may have changed

    def enqueue(self, request: Request, key: int) -> None:
        """Append a request to the queue of its key."""
        request.key_queue = queue = self.queues.setdefault(key, KeyQueue(key))
        queue.requests.append(request)
        self._changed_queues.append(queue)

    def attempt_ended(self, request: Request, outcome: Outcome) -> None:
        """Pause the request's key if the attempt may still be running."""
        if request.key_queue is not None and outcome in _MAY_STILL_RUN:
            pause_us = self._context.settings.rules.ordering_pause_us
            request.key_queue.paused_until = self._context.now + pause_us

    def request_over(self, request: Request) -> None:
        """Let the next request of the key be sent, as this request is over."""
        if request.key_queue is not None:
            self._changed_queues.append(request.key_queue)

    def pause_ended(self, key: int) -> None:
        """Let the next request of a key be sent, as its pause has ended."""
        self._changed_queues.append(self.queues[key])

    def has_pause_until(self, key: int, due: int) -> bool:
        """Whether the key is paused until the clock time `due`."""
        return key in self.queues and due == self.queues[key].paused_until

    def has_turn(self, request: Request) -> bool:
        """Whether key ordering allows the request to be sent now; its retries are always allowed."""
        queue = request.key_queue
        if queue is None or request.attempts:
            return True
        _remove_finished(queue)
        return queue.requests[0] is request and self._context.now >= queue.paused_until

    def next_in_turn(self) -> Request | None:
        """The next request that reached the head of its queue and waits to be sent; None if there is none."""
        while self._changed_queues:
            queue = self._changed_queues.popleft()
            _remove_finished(queue)
            if self._context.now < queue.paused_until:
                self._agenda.schedule(queue.paused_until, DeadlineKind.KEY_PAUSE, queue.key)
            elif not queue.requests:
                self.queues.pop(queue.key, None)
            else:
                first = queue.requests[0]
                if not (first.attempts or first.answered or first.checked_servers):
                    return first
        return None


def _remove_finished(queue: KeyQueue) -> None:
    while queue.requests and queue.requests[0].is_over():
        queue.requests.popleft()
