"""One connection to a server, which carries several attempts at a time; the end of each proves what it can.

Promise: an attempt is written once the one before it has gone to the kernel completely, so it is known of each whether
its last byte was written, and what is still queued here can be withdrawn.  An attempt that may be retried elsewhere is
abandoned only together with its connection: the protocol has no cancel, so its request could otherwise run beside the
retry.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from typing import TYPE_CHECKING, Final

from topazbank.balancing.events import Outcome
from topazbank.core.endpoints import Endpoint
from topazbank.core.net import SharedBufferProtocol, has_nothing_unread, peer_has_closed
from topazbank.msgpackrpc.attempt import RpcAttempt
from topazbank.msgpackrpc.decoder import Decoder
from topazbank.msgpackrpc.messages import MSGID_MAX, RemoteProtocolError, RpcResponse
from topazbank.msgpackrpc.response_reading import read_response

if TYPE_CHECKING:
    from topazbank.msgpackrpc.client import RpcUpstreamClient

log = logging.getLogger(__name__)

_ABANDONED_MAX: Final = (
    256  # attempts whose responses may still come; with more, a connection is not used again
)


class RpcUpstreamConnection(SharedBufferProtocol):
    """One connection to a server, from its connect on."""

    def __init__(self, client: RpcUpstreamClient, endpoint: Endpoint, non_idempotent: bool) -> None:
        """`non_idempotent`: whether it carries attempts of non-idempotent classes, or the others."""
        self.endpoint = endpoint
        self.non_idempotent = non_idempotent
        self.generation = endpoint.generation
        self.usable = True  # whether it may carry further attempts
        self.connect_task: asyncio.Task[None] | None = None
        self.sock: socket.socket | None = None
        self.idle_timer: asyncio.TimerHandle | None = None
        self._client = client
        self._transport: asyncio.Transport | None = None
        self._decoder = Decoder()
        self._stall_timer: asyncio.TimerHandle | None = None
        self._holds_slot = True  # of the connection limit
        # Attempts by their progress; together they are bounded by the client's sharing limits.
        self._queued: deque[RpcAttempt] = deque()
        self._writing: RpcAttempt | None = None  # partly written: its last byte has not gone to the kernel
        self._in_flight: dict[int, RpcAttempt] = {}  # by message id
        self._abandoned: dict[int, None] = {}  # message ids whose responses may still come; _ABANDONED_MAX
        self._next_msgid = 0
        self._suspect = False  # whether an attempt was abandoned and no response has come since

    # -- Load -----------------------------------------------------------------------------------------

    @property
    def load(self) -> int:
        """How many attempts it carries."""
        return len(self._in_flight) + len(self._queued) + (self._writing is not None)

    def has_capacity(self, attempts_max: int) -> bool:
        """Whether it may carry one more attempt, where `attempts_max` may share it."""
        if not self.usable or self._suspect or self.load >= attempts_max:
            return False
        if self.generation != self.endpoint.generation:
            return False
        if self.sock is None or self._transport is None:
            return True  # it is connecting
        # Idle, there should be nothing to read; with attempts in flight there may be, and only an end counts.
        return not peer_has_closed(self.sock) if self.load else has_nothing_unread(self.sock)

    def is_connecting(self) -> bool:
        """Whether it is not established yet."""
        return self._transport is None

    def is_finished(self) -> bool:
        """Whether it carries nothing and will carry nothing more."""
        return not self.load and (not self.usable or self._suspect)

    def _attempts(self) -> list[RpcAttempt]:
        writing = [] if self._writing is None else [self._writing]
        return [*self._in_flight.values(), *writing, *self._queued]

    # -- Writing requests -----------------------------------------------------------------------------

    def add(self, attempt: RpcAttempt) -> None:
        """Carry an attempt."""
        attempt.connection = self
        self._cancel_idle_timer()
        self._client.connection_used(self)
        self._queued.append(attempt)
        self._write_next()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to write (called by asyncio)."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # With no high-water mark, resume_writing means that all has gone to the kernel.
        transport.set_write_buffer_limits(high=0)
        if not self.usable:
            self.abort()
            return
        self._write_next()
        self._client.load_decreased(self)

    def _write_next(self) -> None:
        transport = self._transport
        while transport is not None and self._writing is None and self._queued and not transport.is_closing():
            attempt = self._queued.popleft()
            if not attempt.may_write():
                attempt.connection = None
                attempt.end(Outcome.UNSENT)
                continue
            remaining_s = attempt.remaining_s()
            self._writing = attempt
            attempt.msgid = self._new_msgid()
            transport.write(attempt.format_request(attempt.msgid, remaining_s))
            # A failed write closes the transport and empties its buffer, with nothing of it sent.
            if not transport.is_closing() and not transport.get_write_buffer_size():
                self._write_completed()

    def resume_writing(self) -> None:
        """Go on: the kernel has accepted all that was written (called by asyncio)."""
        self._write_completed()
        self._write_next()

    def _write_completed(self) -> None:
        attempt, self._writing = self._writing, None
        if attempt is not None:
            attempt.written = True
            self._in_flight[attempt.msgid] = attempt

    def _new_msgid(self) -> int:
        """A message id that neither an attempt in flight nor an abandoned one has: a late response may bear theirs."""
        while True:
            msgid = self._next_msgid
            self._next_msgid = (msgid + 1) & MSGID_MAX
            if msgid not in self._in_flight and msgid not in self._abandoned:
                return msgid

    def abandon(self, attempt: RpcAttempt, may_be_retried: bool) -> None:
        """Release an attempt that has ended before its response came.

        A queued one is withdrawn.  A partly written one must never become complete, so the connection ends.  With a
        written one the connection ends if the request may be retried; otherwise the late response is dropped.
        """
        if attempt in self._queued:
            self._queued.remove(attempt)
            self._client.load_decreased(self)
        elif attempt is self._writing:
            self._writing = None
            self.end(Outcome.CONNECTION_LOST)
        elif self._in_flight.pop(attempt.msgid, None) is not None:
            self._abandoned[attempt.msgid] = None
            self._suspect = True
            if may_be_retried:
                self.end(Outcome.CANCELLED)
            elif len(self._abandoned) >= _ABANDONED_MAX:
                self.usable = False
            self._client.load_decreased(self)

    # -- Reading responses ----------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Read what has come (called by asyncio)."""
        if not self.load and not self._abandoned:
            self.abort()  # unsolicited: no request can be matched to it
            return
        try:
            for message in self._decoder.feed(data):
                if not isinstance(message, RpcResponse):
                    raise RemoteProtocolError("a server sends responses")
                self._response_received(message)
                if self._transport is None or self._transport.is_closing():
                    return
        except RemoteProtocolError as error:
            self._fail_malformed(str(error))
            return
        self._restart_stall_timer()

    def _response_received(self, message: RpcResponse) -> None:
        self._suspect = False
        attempt = self._in_flight.pop(message.msgid, None)
        if attempt is None and self._writing is not None and self._writing.msgid == message.msgid:
            # Answered before its last byte, as by a server that rejects what is too long.
            outcome, response = read_response(message, self._client.report_columns)
            self._writing.end(outcome, response)
            self.end(Outcome.CONNECTION_LOST)  # the rest of it is never written
        elif attempt is not None:
            outcome, response = read_response(message, self._client.report_columns)
            self._client.load_decreased(self)
            attempt.end(outcome, response)
        elif message.msgid in self._abandoned:
            del self._abandoned[message.msgid]
            self._client.load_decreased(self)
        else:
            # A second response, or one to no request: whatever else this server sends here is doubtful.
            log.debug("%s sent a response with an unknown message id", self.endpoint.name)
            self.usable = False
            self._client.load_decreased(self)

    def _restart_stall_timer(self) -> None:
        """Limit the time between two reads of one response."""
        self._cancel_stall_timer()
        if self._decoder.pending:
            limit_s = self._client.connect_timeout_s
            loop = asyncio.get_running_loop()
            self._stall_timer = loop.call_later(limit_s, self._fail_malformed, "it stalled")

    def _cancel_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _fail_malformed(self, reason: str) -> None:
        """End it: what came is no response.  Written attempts may have been executed, and the server is there."""
        log.debug("%s sent a malformed response: %s", self.endpoint.name, reason)
        self.end(Outcome.ERROR)

    # -- Closing --------------------------------------------------------------------------------------

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempts that it carries (called by asyncio)."""
        self.release_slot()
        self.end(Outcome.CONNECTION_LOST)

    def release_slot(self) -> None:
        """Release its place in the connection limit, once: a connect aborted as it completes ends twice."""
        if self._holds_slot:
            self._holds_slot = False
            self._client.connection_limit.release()

    def end(self, written_outcome: Outcome) -> None:
        """Close at once: written attempts end with this outcome, and the others were never executed."""
        attempts = self._attempts()
        self._in_flight, self._writing, self._queued = {}, None, deque()
        self.abort()
        for attempt in attempts:
            attempt.connection = None
        for attempt in attempts:
            attempt.end(written_outcome if attempt.written else Outcome.CONNECT_FAILED)

    def withdraw_queued(self, outcome: Outcome) -> None:
        """End what is not begun to be written, and carry nothing more: the server accepts nothing new."""
        self.usable = False
        queued, self._queued = list(self._queued), deque()
        for attempt in queued:
            attempt.connection = None
            attempt.end(outcome)
        self._client.load_decreased(self)

    def abort(self) -> None:
        """Close at once, or give up connecting."""
        self.usable = False
        self._cancel_idle_timer()
        self._cancel_stall_timer()
        if self._transport is not None:
            self._transport.abort()
        elif self.connect_task is not None:
            self.connect_task.cancel()
        self._client.connection_ended(self)

    def _cancel_idle_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None
