"""One attempt or health check over MessagePack-RPC, on a connection that it shares with others."""

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

_ABANDONED: Final = (Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.CONNECT_FAILED, Outcome.UNSENT)


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
        """`non_idempotent`: it is never retried once it may have been executed."""
        super().__init__(endpoint, deadlines, on_ended, call)
        self.format_request = format_request
        self.non_idempotent = non_idempotent
        self.msgid = -1
        self.written = False  # whether its last byte has gone to the kernel
        self.connection: RpcUpstreamConnection | None = None
        self._is_final = deadlines.is_final  # whether its request is over with it, so that no retry follows

    def release(self, outcome: Outcome) -> None:
        """Leave the connection, where its end was decided here and not by the connection."""
        if self.connection is not None and outcome in _ABANDONED:
            self.connection.abandon(self, may_be_retried=not self._is_final and not self.non_idempotent)

    def cancel(self, final: bool) -> None:
        """Stop waiting; `final`: its request has its answer, so no retry follows."""
        self._is_final = final
        self.end(Outcome.CANCELLED)

    def cancel_unwritten(self) -> None:
        """End it unsent unless its last byte has gone to the kernel."""
        if not self.written:
            self.end(Outcome.UNSENT)

    def time_out(self) -> None:
        """End it at its deadline."""
        self.end(Outcome.TIMED_OUT if self.written else Outcome.CONNECT_FAILED)
