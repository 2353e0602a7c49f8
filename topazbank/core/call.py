"""What passes between fronts, driver and carriers; none of it knows a protocol.

A front makes a `Call` of a client's bytes and turns its one `FinalAnswer` into bytes.  A carrier makes bytes of a call
for a node and turns what happened into one `Outcome`, with the node's `Response` where there was one.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto, unique

from topazbank.balancing.events import Outcome
from topazbank.balancing.settings import Idempotency, RequestClass, Settings
from topazbank.core.body import ResponseStream, Spool, SpooledBody

Headers = list[tuple[bytes, bytes]]

BUFFERED_BODY_BYTES_MAX = (
    64 * 1024
)  # bytes of a body that is held whole in memory; MessagePack-RPC takes no larger one
IDENTIFIER_CHARS_MAX = (
    256  # characters of a call's id, tenant or idempotency key; longer ones fill tables and logs
)
DEADLINE_TOLERANCE_RATIO = 1.1  # a budget may exceed its class's deadline by rounding, no more
API_PATH = b"/api"
_TARGET_MOST = 8 * 1024  # bytes of path and query: what servers take of a request's first line
_TARGET = re.compile(rb"[!-~]+")  # visible ASCII: a space or a control would end the first line early
_VISIBLE = re.compile(r"[!-~]+")


class InvalidRequest(Exception):
    """What can't be taken from a client; the status, HTTP's where there is one, tells why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@unique
class Verdict(Enum):
    """What a final answer says."""

    SERVED = auto()  # a node's own answer to this request
    REJECTED = auto()  # trying again is harmless
    FAILED = auto()  # nothing is promised


@dataclass(slots=True)
class FinalAnswer:
    """The one final answer of a call."""

    verdict: Verdict
    body: bytes = b""
    content_headers: Headers | None = None  # what a node said of its body: content-type, content-encoding
    retry_after_us: int = 0  # with REFUSED: when to come back; 0 where nothing is advised
    stream: ResponseStream | None = None  # with SERVED: a large body, of which only the first bytes are here


FAILED_ANSWER = FinalAnswer(Verdict.FAILED)


def _is_here() -> bool:
    return False


@dataclass(slots=True, eq=False)
class Call:
    """A client's request, whatever it came in; it is answered once."""

    call_id: str
    request_class: RequestClass
    target: bytes  # path and query, as HTTP has them
    body: bytes
    tenant: str | None  # None where the settings name no tenants
    key: int | None
    timeout_us: int  # that the client still waits, from when it sent the request
    cost_us: int | None
    is_retry: bool  # marked by the client as a retry
    idempotency_key: str | None
    answer: Callable[[FinalAnswer], None]
    caller: str | None = None  # the tenant's name as given
    content_headers: Headers | None = None  # of the body: content-type, content-encoding
    headers: Headers | None = (
        None  # from an HTTP front: the request's end-to-end headers, which go on unchanged
    )
    spooled_body: SpooledBody | None = None  # a body over BUFFERED_BODY_BYTES_MAX, in place of `body`
    accepts_stream: bool = False  # whether its front can pass on an answer that has only begun
    has_disconnected: Callable[[], bool] = (
        _is_here  # whether its client has gone, be that end read already or not
    )
    deadline: float = math.inf  # when its client's time is up, on the event loop's clock
    is_over: bool = False  # whether it has its answer, or its client has left
    possibly_executed: int = 0  # attempts that were let go to a server and are not proved never to have run

    def release(self) -> None:
        """Nothing is sent for it any more."""
        large, self.spooled_body = self.spooled_body, None
        if large is not None:
            large.release()


@dataclass(slots=True)
class Response:
    """A node's whole answer to an attempt."""

    body: bytes
    content_headers: Headers | None = None
    report: Mapping[str, float] | None = None  # its load report, of the columns that the settings name
    stream: ResponseStream | None = None  # the body, where it has only begun


OutcomeCallback = Callable[[Outcome, Response | None], None]  # hears an attempt's outcome, exactly once


@dataclass(slots=True)
class RequestCallbacks:
    """What a front asks of the driver."""

    on_request: Callable[[Call], None]
    on_disconnect: Callable[[Sequence[Call]], None]  # the calls of one connection, all at once
    is_in_flight: Callable[
        [str], bool
    ]  # whether a request with this id is unanswered, or an attempt of it out
    is_ready: Callable[[], bool]
    status_page: Callable[[], bytes] | None = None  # the list as it stands, as JSON; None: nobody may ask
    spool: Spool = field(default_factory=lambda: Spool(None))  # where large bodies are kept


class RequestClasses:
    """What the settings say of calls, looked up by name; every front checks against it."""

    def __init__(self, settings: Settings) -> None:
        self.classes = {each.name: each for each in settings.classes}
        self._tenants = frozenset(each.name for each in settings.tenants)

    def request_class(self, name: str) -> RequestClass:
        kind = self.classes.get(name)
        if kind is None:
            raise InvalidRequest(400, "x-call-class is not known")
        return kind

    def tenant(self, caller: str | None) -> str | None:
        """Where the settings name tenants only these may ask; else nothing is made of the name."""
        if not self._tenants or caller is None:
            return None
        if caller not in self._tenants:
            raise InvalidRequest(400, "x-caller is not known")
        return caller

    @staticmethod
    def check(call: Call) -> None:
        """What a class says of its requests: how they come, and how long they may take."""
        if len(call.call_id) > IDENTIFIER_CHARS_MAX:
            raise InvalidRequest(400, "x-call-id is too long")
        if call.request_class.idempotency is Idempotency.IDEMPOTENT and (
            call.body or call.spooled_body is not None
        ):
            raise InvalidRequest(400, "a body belongs to no request that is safe to repeat")
        if call.request_class.idempotency is Idempotency.KEYED and not call.idempotency_key:
            raise InvalidRequest(400, "idempotency-key is missing")  # servers could not drop its repeats
        if call.timeout_us > DEADLINE_TOLERANCE_RATIO * call.request_class.deadline_us:
            raise InvalidRequest(400, "x-budget is longer than the deadline of the class")


def is_visible_ascii(text: str) -> bool:
    """Whether a text may stand in any protocol's envelope: it has no space, no control and an end in sight."""
    return 0 < len(text) <= IDENTIFIER_CHARS_MAX and _VISIBLE.fullmatch(text) is not None


def is_api_target(target: bytes) -> bool:
    """Whether this is a path (and query) of the application's own."""
    path = target.partition(b"?")[0]
    ours = path == API_PATH or path.startswith(API_PATH + b"/")
    return ours and len(target) <= _TARGET_MOST and _TARGET.fullmatch(target) is not None


def key_of_target(target: bytes) -> int | None:
    """What the request is about: the last part of the path as a number, whatever it is made of."""
    last = target.partition(b"?")[0].removeprefix(API_PATH).rpartition(b"/")[2]
    if not last:
        return None
    try:
        return int(last, 16)
    except ValueError:
        return int.from_bytes(last, "big")
