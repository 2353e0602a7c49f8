"""What passes between protocol servers, driver and upstream clients; none of it knows a protocol.

A protocol server makes a `Call` of a client's bytes and turns its one `FinalAnswer` into bytes.  An upstream client
makes bytes of a call for a server and turns what happened into one `Outcome`, with the server's `Response` if any came.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto, unique
from typing import Final

from topazbank.balancing.events import Outcome
from topazbank.balancing.settings import RequestClass
from topazbank.core.body import ResponseStream, Spool, SpooledBody

Headers = list[tuple[bytes, bytes]]

# Of a body that is held in memory; MessagePack-RPC allows no larger one.
BUFFERED_BODY_BYTES_MAX: Final = 64 * 1024


@unique
class Verdict(Enum):
    """What a final answer says."""

    SERVED = auto()  # a server's own response to this request
    REJECTED = auto()  # it was not executed: a retry is harmless
    FAILED = auto()  # it may have been executed


@dataclass(slots=True)
class FinalAnswer:
    """The one final answer of a call."""

    verdict: Verdict
    body: bytes = b""
    content_headers: Headers | None = None  # of a server's body: content-type, content-encoding
    retry_after_us: int = 0  # with REJECTED: when to retry; 0: no advice
    stream: ResponseStream | None = None  # with SERVED: a large body, of which only the first bytes have come


FAILED_ANSWER = FinalAnswer(Verdict.FAILED)


def _never_disconnected() -> bool:
    return False


@dataclass(slots=True, eq=False)
class Call:
    """A client's request, whatever its protocol; it is answered once."""

    call_id: str  # the client's
    request_class: RequestClass
    target: bytes  # path and query, as in HTTP
    body: bytes
    tenant: str | None  # None where the settings name no tenants
    key: int | None
    timeout_us: int  # how long the client waits, from when it sent the request
    cost_us: int | None  # the client's hint of the work
    is_retry: bool  # as marked by the client
    idempotency_key: str | None
    answer: Callable[[FinalAnswer], None]
    caller: str | None = None  # the tenant's name as sent
    content_headers: Headers | None = None  # of the body: content-type, content-encoding
    headers: Headers | None = None  # the end-to-end headers of an HTTP client, forwarded unchanged
    spooled_body: SpooledBody | None = None  # a body over BUFFERED_BODY_BYTES_MAX, in place of `body`
    accepts_stream: bool = False  # whether its protocol server can answer before the body is complete
    has_disconnected: Callable[[], bool] = _never_disconnected  # its client, by the kernel's state
    deadline: float = math.inf  # when its client stops waiting, seconds on the event loop's clock
    is_over: bool = False  # whether it has its answer, or its client has left
    possibly_executed: int = 0  # attempts written to a server and not proved never to have been executed

    def release(self) -> None:
        """Free its spooled body: no further attempt is made."""
        spooled_body, self.spooled_body = self.spooled_body, None
        if spooled_body is not None:
            spooled_body.release()


@dataclass(slots=True)
class Response:
    """A server's response to an attempt."""

    body: bytes
    content_headers: Headers | None = None
    report: Mapping[str, float] | None = None  # its load report, of the columns that the settings name
    stream: ResponseStream | None = None  # the body, where only its first bytes have come


OutcomeCallback = Callable[[Outcome, Response | None], None]  # called exactly once for an attempt


@dataclass(slots=True)
class RequestCallbacks:
    """What a protocol server calls."""

    on_request: Callable[[Call], None]
    on_disconnect: Callable[[Sequence[Call]], None]  # all unanswered calls of one connection at once
    is_in_flight: Callable[[str], bool]  # whether a request with this id is unanswered, or has a live attempt
    is_ready: Callable[[], bool]
    status_page: Callable[[], bytes] | None = None  # `StatusPage.render`; None: not offered
    spool: Spool = field(default_factory=lambda: Spool(None))  # where large bodies are stored
