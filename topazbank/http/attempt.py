"""One attempt or health check over HTTP, and the classification of its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from topazbank.balancing.events import Outcome
from topazbank.core.attempts import Attempt, AttemptDeadlines
from topazbank.core.call import Call, OutcomeCallback
from topazbank.core.endpoints import Endpoint
from topazbank.core.timers import Timer
from topazbank.http.connection import UpstreamConnection
from topazbank.http.messages import HttpResponse

RequestFormatter = Callable[[float], bytes]  # called with the remaining seconds when the request is written


@dataclass(slots=True, eq=False)
class Pool:
    """The idle connections to a server, and the attempts whose connect is in progress."""

    # Ordered from the longest idle, each with the timer that closes it.  The connection limit bounds the length.
    idle: list[tuple[UpstreamConnection, Timer]] = field(default_factory=list)
    connecting: set[HttpAttempt] = field(default_factory=set)


class HttpAttempt(Attempt):
    """One attempt or health check over HTTP, from the connect to its single outcome."""

    def __init__(
        self,
        endpoint: Endpoint,
        format_request: RequestFormatter,
        deadlines: AttemptDeadlines,
        on_ended: OutcomeCallback,
        call: Call | None = None,
    ) -> None:
        super().__init__(endpoint, deadlines, on_ended, call)
        self.generation = endpoint.generation
        self.pool: Pool = endpoint.pool
        self.format_request = format_request
        self.is_health_check = False
        self.report: Mapping[str, float] | None = None  # the load report of a streamed response
        self.connection: UpstreamConnection | None = None
        self.connect_task: asyncio.Task[bool] | None = None

    def release(self, outcome: Outcome) -> None:
        """Close the connection of an abandoned attempt: HTTP/1.1 has no other way to cancel a request."""
        self.pool.connecting.discard(self)
        if outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.CONNECT_FAILED, Outcome.UNSENT):
            if self.connection is not None:
                self.connection.abort()
            if self.connect_task is not None:
                self.connect_task.cancel()

    def has_partial_response(self) -> bool:
        """Whether the server's response has been received in part."""
        return self.connection is not None and self.connection.has_partial_response()

    def cancel_unwritten(self) -> None:
        """End the attempt as unsent unless the kernel has accepted the last byte of the request."""
        if self.connection is None or not self.connection.written:
            self.end(Outcome.UNSENT)

    def time_out(self) -> None:
        """End the attempt at its deadline."""
        written = self.connection is not None and self.connection.written
        self.end(Outcome.TIMED_OUT if written else Outcome.CONNECT_FAILED)


def classify_outcome(response: HttpResponse | None, written: bool, malformed: bool) -> Outcome:
    """Classify the end of an exchange; a request counts as not executed only if that is certain.

    `malformed`: the received data was not a valid response.  The server is reachable, unlike after a lost connection.
    """
    if response is None and not written:
        return Outcome.CONNECT_FAILED
    if response is None:
        return Outcome.ERROR if malformed else Outcome.CONNECTION_LOST
    if response.status == 200:
        return Outcome.DELIVERED
    if response.status in (503, 504) and response.header(b"x-rejected") == "1":
        return Outcome.REJECTED
    return Outcome.ERROR
