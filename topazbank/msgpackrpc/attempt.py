"""One attempt or health check over MessagePack-RPC on a shared connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from topazbank.balancing.events import Outcome
from topazbank.core.attempts import Attempt, AttemptDeadlines
from topazbank.core.call import Call, OutcomeCallback
from topazbank.core.endpoints import Endpoint

if TYPE_CHECKING:
    from topazbank.msgpackrpc.connection import RpcUpstreamConnection

RequestFormatter = Callable[[int, float], bytes]  # called with a message id and the remaining seconds

_ABANDONING_OUTCOMES: Final = (Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.CONNECT_FAILED, Outcome.UNSENT)


class RpcAttempt(Attempt):
    """One attempt or health check."""

    def __init__(
        self,
        endpoint: Endpoint,
        format_request: RequestFormatter,
        deadlines: AttemptDeadlines,
        on_ended: OutcomeCallback,
        non_idempotent: bool = False,
        call: Call | None = None,
    ) -> None:
        """`non_idempotent`: the attempt is not retried once it may have been executed."""
        super().__init__(endpoint, deadlines, on_ended, call)
        self.format_request = format_request
        self.non_idempotent = non_idempotent
        self.msgid = -1
        self.written = False  # whether the kernel has accepted its last byte
        self.connection: RpcUpstreamConnection | None = None
        self._is_final = deadlines.is_final  # whether its request ends with it, so that no retry follows

    def release(self, outcome: Outcome) -> None:
        """Leave the connection if the attempt ended without it, as by a timeout or a cancellation."""
        if self.connection is not None and outcome in _ABANDONING_OUTCOMES:
            self.connection.abandon(self, may_be_retried=not self._is_final and not self.non_idempotent)

    def has_partial_response(self) -> bool:
        """Whether a response on its connection has been received in part: it may be the one to this attempt."""
        return self.connection is not None and self.connection.has_partial_response()

    def cancel(self, final: bool) -> None:
        """Stop waiting for the response; `final`: its request is answered, so no retry follows."""
        self._is_final = final
        self.end(Outcome.CANCELLED)

    def cancel_unwritten(self) -> None:
        """End the attempt as unsent unless the kernel has accepted its last byte."""
        if not self.written:
            self.end(Outcome.UNSENT)

    def time_out(self) -> None:
        """End the attempt at its deadline."""
        self.end(Outcome.TIMED_OUT if self.written else Outcome.CONNECT_FAILED)
