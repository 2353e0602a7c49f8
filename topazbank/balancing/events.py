"""Events, the inputs of `Balancer.handle`.

Times are integer microseconds.  Events must not be modified after creation.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, unique


@unique
class ServerState(Enum):
    """State of a server on the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


@unique
class UpdateKind(Enum):
    """Meaning of an update of the endpoint list."""

    DELTA = "changes"  # changed entries only
    SNAPSHOT = "complete"  # all entries; servers missing from it are removed
    CACHED = "remembered"  # the last snapshot from before a restart
    FAILED = "failed"  # a poll or the watch failed; the list is unchanged


@unique
class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    ERROR = "error"  # the server responded with an error
    REJECTED = "full"  # the server shed it
    TIMED_OUT = "expired"
    CONNECT_FAILED = "dial_failed"
    CONNECTION_LOST = "dropped"
    CANCELLED = "cancelled"
    UNSENT = "unsent"


@dataclass(slots=True)
class ServerDescription:
    """One entry of the endpoint list."""

    name: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: ServerState = ServerState.READY
    nominal_capacity: float = 1.0
    started_at: int | None = None  # clock time; None if the server started long ago


@dataclass(slots=True)
class EndpointsUpdated:
    """An update of the endpoint list was received, or a poll failed."""

    kind: UpdateKind
    servers: Sequence[ServerDescription] = ()
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client sent a request, which must get exactly one final answer."""

    request: int
    request_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None = None  # the client's estimate of the cost, if given
    client_retry: bool = False


@dataclass(slots=True)
class ResponseStarted:
    """The first part of a streamed response was received; the attempt is now bound to the client."""

    request: int
    attempt: int
    server: str
    elapsed_us: int


@dataclass(slots=True)
class ResponseDelayed:
    """This process has stopped reading a response: its client reads slowly, or memory is scarce.

    The time until the response ends says nothing about its server.
    """

    request: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended.  `answered`: this outcome or an earlier one gave the client its final answer."""

    request: int
    attempt: int
    server: str
    outcome: Outcome
    elapsed_us: int
    answered: bool
    report: Mapping[str, float] | None = None


@dataclass(slots=True)
class RequestCancelled:
    """The client disconnected; the request needs no answer."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer expired."""

    token: str


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check ended."""

    server: str
    outcome: Outcome
    elapsed_us: int
    report: Mapping[str, float] | None = None


@dataclass(slots=True)
class GossipReceived:
    """A gossip message was received from another balancer of the fleet."""

    sender: int
    payload: bytes


Event = (
    EndpointsUpdated
    | RequestArrived
    | ResponseStarted
    | ResponseDelayed
    | AttemptEnded
    | RequestCancelled
    | TimerFired
    | HealthCheckEnded
    | GossipReceived
)
