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

    index: int  # among the request's attempts, from 0
    server: Server
    zone: str  # the server's, as it was sent: a new process of that name may be elsewhere
    cell: int
    sent_at: int  # clock time
    stalled_before_us: int  # how long this process had stalled by then
    responses_before: int  # how many responses had come by then, from all servers
    timing: LatencyCheck
    is_probation: bool = False  # whether it may bring an ejected server back
    pending: bool = True
    in_objective: bool = True  # pending, and its latency objective has not passed
    may_have_run: bool = True  # until an outcome proves that it did not
    response_started: bool = False
    load_when_sent: float | None = None  # what its server held by a health check, for its size
    counted_late: bool = False  # whether it was counted as a sign of overload


@dataclass(slots=True, eq=False)
class Request:
    """A request that has arrived; it is kept until it is answered and its last attempt has ended."""

    number: int
    request_class: RequestClass
    answer_by: int  # clock time by which the final answer has to leave
    cost: float  # relative to the mean of its class
    flow: Flow
    any_zone: bool  # whether servers of all zones are candidates
    cost_bucket: int = 0  # cost by powers of two
    attempts: list[Attempt] = field(default_factory=list)
    failed_servers: list[Server] = field(default_factory=list)  # those that rejected it included
    rejections: int = 0
    answered: bool = False
    checked_servers: list[Server] = field(default_factory=list)  # tied candidates with health checks for it
    checks_due: int = 0
    priority_rank: float = 0.5  # the part of the traffic that has a lower priority
    key_queue: KeyQueue | None = None  # where requests of its class run in order

    def __post_init__(self) -> None:
        """Derive the cost's bucket."""
        self.cost_bucket = max(_COST_BUCKET_MIN, min(math.frexp(self.cost)[1], _COST_BUCKET_MAX))

    def has_pending_attempt(self) -> bool:
        """Whether an attempt has not ended yet."""
        return any(each.pending for each in self.attempts)

    def is_over(self) -> bool:
        """Whether it is answered and no attempt of it is pending."""
        return self.answered and not self.has_pending_attempt()

    def first_that_may_have_run(self) -> Attempt | None:
        """The first attempt that is not proved never to have run."""
        return next((each for each in self.attempts if each.may_have_run), None)


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of one ordering key, in order of arrival; kept while the key is in use or pauses."""

    key: int
    requests: deque[Request] = field(default_factory=deque)
    paused_until: int = 0  # clock time
