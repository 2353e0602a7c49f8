"""The protocol-independent types that protocol servers, request lifecycle and upstream clients exchange.

A protocol server parses a client's request into a `Call` and encodes its `FinalAnswer`. An upstream client encodes the
call for a server and reports the result as one `Outcome`, with the server's `Response` if one was received.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto, unique
from typing import Final

from topazbank.balancing.events import Outcome
from topazbank.balancing.settings import RequestClass
from topazbank.core.memory_budget import MemoryBudget
from topazbank.core.response_stream import ResponseStream
from topazbank.core.spool import Spool, SpooledBody

Headers = list[tuple[bytes, bytes]]

# Limit for a body buffered in memory. MessagePack-RPC allows no larger body.
BUFFERED_BODY_BYTES_MAX: Final = 64 * 1024


@unique
class Verdict(Enum):
    """The result that a final answer reports."""

    SERVED = auto()  # a server's own response to this request
    REJECTED = auto()  # the request was not executed, so a retry is safe
    FAILED = auto()  # the request may have been executed


@dataclass(slots=True)
class FinalAnswer:
    """The final answer to a call; each call has exactly one."""

    verdict: Verdict
    body: bytes = b""
    content_headers: Headers | None = None  # content-type and content-encoding of a server's body
    retry_after_us: int = 0  # with REJECTED: delay before a retry; 0 if unspecified
    stream: ResponseStream | None = None  # with SERVED: a large body that is not yet complete


FAILED_ANSWER = FinalAnswer(Verdict.FAILED)


def _never_disconnected() -> bool:
    return False


@dataclass(slots=True, eq=False)
class Call:
    """A client's request, independent of its protocol; it is answered once."""

    call_id: str  # assigned by the client
    request_class: RequestClass
    target: bytes  # path and query, as in HTTP
    body: bytes
    tenant: str | None  # None if no tenants are configured
    key: int | None
    timeout_us: int  # how long the client waits, measured from when it sent the request
    cost_us: int | None  # the client's estimate of the work
    is_retry: bool  # as marked by the client
    idempotency_key: str | None
    answer: Callable[[FinalAnswer], None]
    caller: str | None = None  # the tenant's name as the client sent it
    content_headers: Headers | None = None  # content-type and content-encoding of the body
    headers: Headers | None = None  # the end-to-end headers of an HTTP client, forwarded unchanged
    spooled_body: SpooledBody | None = None  # replaces `body` if it exceeds BUFFERED_BODY_BYTES_MAX
    accepts_stream: bool = False  # whether the protocol server can answer before the body is complete
    has_disconnected: Callable[[], bool] = _never_disconnected  # reads the connection's state in the kernel
    deadline: float = math.inf  # when the client stops waiting, in seconds on the event loop's clock
    is_over: bool = False  # whether it is answered or its client has disconnected
    possibly_executed: int = 0  # written attempts not proved to be unexecuted

    def release(self) -> None:
        """Free the spooled body; no further attempt is made."""
        spooled_body, self.spooled_body = self.spooled_body, None
        if spooled_body is not None:
            spooled_body.release()


@dataclass(slots=True)
class Response:
    """A server's response to an attempt."""

    body: bytes
    content_headers: Headers | None = None
    report: Mapping[str, float] | None = None  # the load report, limited to the configured columns
    stream: ResponseStream | None = None  # the body, if only its first bytes were received


OutcomeCallback = Callable[[Outcome, Response | None], None]  # called exactly once per attempt


@dataclass(slots=True)
class RequestCallbacks:
    """The callbacks of a protocol server."""

    on_request: Callable[[Call], None]
    on_disconnect: Callable[[Sequence[Call]], None]  # receives all unanswered calls of one connection
    is_in_flight: Callable[[str], bool]  # whether a call id is unanswered or has an attempt in flight
    is_ready: Callable[[], bool]
    # Whether the client of a request left a short time ago, and it may have been executed.
    was_abandoned: Callable[[str], bool] = lambda call_id: False
    status_page: Callable[[], bytes] | None = None  # `StatusPage.render`; None if no status page is served
    memory: MemoryBudget = field(default_factory=MemoryBudget)
    spool: Spool = field(default_factory=lambda: Spool(None, MemoryBudget()))  # stores large bodies
