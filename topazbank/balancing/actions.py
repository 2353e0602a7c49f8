"""What a balancer decides: the outputs of `Balancer.handle`, to be carried out in order.

Times are integer microseconds.  Actions are plain slotted dataclasses; treat them as values.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class SendAttempt:
    """Start an attempt; a request's attempts are numbered from 0 in the order they are sent."""

    request: int
    server: str
    give_up_at: int  # clock time at which the attempt is given up
    write_by: int  # clock time from which the request must not be written any more


@dataclass(slots=True)
class Reject:
    """Final answer: rejected; trying again is harmless."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed; the request may have run."""

    request: int


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a `TimerFired`."""

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
    """Send a message to one balancer of the fleet, or to all (None)."""

    receiver: int | None
    payload: bytes


@dataclass(slots=True)
class WatchEndpoints:
    """Poll the endpoint list and watch it for changes, or end that."""

    wanted: bool = True


@dataclass(slots=True)
class LogMessage:
    """A line for the log."""

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
