"""What happens to a balancer: the inputs of `Balancer.handle`.

Times are integer microseconds.  Events are plain slotted dataclasses; treat them as values.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, unique


@unique
class ServerState(Enum):
    """What the endpoint list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


@unique
class UpdateKind(Enum):
    """How an update of the endpoint list is to be read."""

    DELTA = "changes"  # changed entries only
    SNAPSHOT = "complete"  # a server that is missing has been removed
    CACHED = "remembered"  # a snapshot as last held before a restart
    FAILED = "failed"  # a poll failed or the watch broke; nothing changes


@unique
class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    ERROR = "error"  # the server answered with an error
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
    started_at: int | None = None  # None: long ago


@dataclass(slots=True)
class EndpointsUpdated:
    """An update of the endpoint list came, or a poll for it failed."""

    kind: UpdateKind
    servers: Sequence[ServerDescription] = ()
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request; one final answer is owed from here on."""

    request: int
    request_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None = None  # a hint of the work, where the client gave one
    client_retry: bool = False


@dataclass(slots=True)
class ResponseStarted:
    """The streamed response of an attempt has begun; the attempt now belongs to the client."""

    request: int
    attempt: int
    server: str
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended.  `answered`: the client has its final answer, by this outcome or an earlier one."""

    request: int
    attempt: int
    server: str
    outcome: Outcome
    elapsed_us: int
    answered: bool
    report: Mapping[str, float] | None = None


@dataclass(slots=True)
class RequestCancelled:
    """The client went away; nothing is owed any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due."""

    token: str


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check has its result."""

    server: str
    outcome: Outcome
    elapsed_us: int
    report: Mapping[str, float] | None = None


@dataclass(slots=True)
class GossipReceived:
    """A message from another balancer of the fleet."""

    sender: int
    payload: bytes


Event = (
    EndpointsUpdated
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | RequestCancelled
    | TimerFired
    | HealthCheckEnded
    | GossipReceived
)
