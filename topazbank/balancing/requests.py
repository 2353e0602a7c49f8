"""A request, its attempts, and the queue of requests that share an ordering key."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from topazbank.balancing.servers import Flow, Server
from topazbank.balancing.settings import RequestClass
from topazbank.estimation.latency_check import LatencyCheck

_COST_BUCKET_MIN = -3
_COST_BUCKET_MAX = 4


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; it is pending until it has an outcome."""

    index: int  # position among the request's attempts, from 0
    server: Server
    zone: str  # zone of the server at the time of sending; a restarted server may have the same name in another zone
    cell: int  # cell of the server at the time of sending
    sent_at: int  # clock time
    stalled_before_us: int  # total stall time of this process until sending
    responses_before: int  # responses received from all servers until sending
    latency_check: LatencyCheck
    is_probation: bool = False  # whether its success may reinstate an ejected server
    pending: bool = True
    in_objective: bool = True  # pending, and its latency objective has not passed
    may_have_run: bool = True  # false once the outcome proves that it did not run
    response_started: bool = False
    delayed_here: bool = False  # whether this process has stopped reading its response
    load_when_sent: float | None = None  # server load as of its last health check, relative to its size
    counted_late: bool = False  # whether it was already counted as a sign of overload


@dataclass(slots=True, eq=False)
class Request:
    """A received request, kept until it is answered and its last attempt has ended."""

    number: int
    request_class: RequestClass
    answer_by: int  # clock time at which the final answer is due
    cost: float  # relative to the mean cost of its class
    flow: Flow
    any_zone: bool  # whether servers of all zones are candidates
    cost_bucket: int = 0  # exponent of two of the cost, limited to a small range
    attempts: list[Attempt] = field(default_factory=list)
    failed_servers: list[Server] = field(default_factory=list)  # failed or rejected the request
    rejections: int = 0
    answered: bool = False
    checked_servers: list[Server] = field(default_factory=list)  # tied candidates being health-checked
    checks_due: int = 0  # clock time until which it waits for these health checks
    priority_rank: float = 0.5  # part of the traffic with a lower priority
    key_queue: KeyQueue | None = None  # set if its class orders requests by key

    def __post_init__(self) -> None:
        """Derive the cost bucket from the cost."""
        self.cost_bucket = max(_COST_BUCKET_MIN, min(math.frexp(self.cost)[1], _COST_BUCKET_MAX))

    def has_pending_attempt(self) -> bool:
        """Whether any attempt is pending."""
        return any(attempt.pending for attempt in self.attempts)

    def is_over(self) -> bool:
        """Whether the request is answered and has no pending attempt."""
        return self.answered and not self.has_pending_attempt()

    def first_that_may_have_run(self) -> Attempt | None:
        """The first attempt that may have run; None if all attempts provably did not run."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests with one ordering key in order of arrival, kept while the key is in use or paused."""

    key: int
    requests: deque[Request] = field(default_factory=deque)
    paused_until: int = 0  # clock time before which no request with this key is sent
