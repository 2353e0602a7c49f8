"""Actions, the outputs of `Balancer.handle`, to be executed in order.

Times are integer microseconds.  Actions must not be modified after creation.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class SendAttempt:
    """Send an attempt.  The attempts of a request are numbered from 0 in the order of sending."""

    request: int
    server: str
    give_up_at: int  # clock time at which the attempt times out
    write_by: int  # clock time before which the request must be written completely


@dataclass(slots=True)
class Reject:
    """Final answer: rejected; the client can safely retry."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed; the request may have run."""

    request: int


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Request a `TimerFired` event after `in_us`."""

    in_us: int
    token: str


@dataclass(slots=True)
class CheckHealth:
    """Send a health check to a server."""

    server: str


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to a server."""

    server: str


@dataclass(slots=True)
class SendGossip:
    """Send a gossip message to one balancer of the fleet, or to all if `receiver` is None."""

    receiver: int | None
    payload: bytes


@dataclass(slots=True)
class WatchEndpoints:
    """Poll and watch the endpoint list; stop both if `wanted` is False."""

    wanted: bool = True


@dataclass(slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


Action = (
    SendAttempt
    | Reject
    | Fail
    | CancelAttempt
    | SetTimer
    | CheckHealth
    | CloseIdleConnections
    | SendGossip
    | WatchEndpoints
    | LogMessage
)
