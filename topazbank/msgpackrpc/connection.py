"""One connection to a server, shared by several concurrent attempts.

Invariants: an attempt is written only after the kernel has accepted all of the previous one.  This process therefore
knows whether the last byte of each attempt was written, and can withdraw queued attempts.  Abandoning an attempt that
may be retried elsewhere closes its connection: the protocol has no cancellation, so the request could otherwise be
executed concurrently with its retry.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from typing import TYPE_CHECKING, Final

from topazbank.balancing.events import Outcome
from topazbank.core.endpoints import Endpoint
from topazbank.core.memory_budget import MemoryAccount
from topazbank.core.net import SharedBufferProtocol, has_nothing_unread, peer_has_closed
from topazbank.msgpackrpc.attempt import RpcAttempt
from topazbank.msgpackrpc.decoder import Decoder
from topazbank.msgpackrpc.messages import MSGID_MAX, RemoteProtocolError, RpcResponse
from topazbank.msgpackrpc.response_reading import read_response

if TYPE_CHECKING:
    from topazbank.msgpackrpc.client import RpcUpstreamClient

log = logging.getLogger(__name__)

# Abandoned attempts without a response; a connection that reaches the limit carries no further attempts.
_ABANDONED_MAX: Final = 256


class RpcUpstreamConnection(SharedBufferProtocol):
    """One connection to a server, starting from its connect."""

    def __init__(self, client: RpcUpstreamClient, endpoint: Endpoint, non_idempotent: bool) -> None:
        """`non_idempotent`: whether the connection carries attempts of non-idempotent classes or of the others."""
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
        self._holds_slot = True  # whether it counts towards the connection limit
        # Attempts by progress; the client's sharing limits bound their total.
        self._queued: deque[RpcAttempt] = deque()
        self._writing: RpcAttempt | None = None  # partly written: the kernel has not accepted its last byte
        self._in_flight: dict[int, RpcAttempt] = {}  # by message id
        # Message ids of abandoned attempts that may still get a response; at most _ABANDONED_MAX.
        self._abandoned: dict[int, None] = {}
        self._next_msgid = 0
        self._suspect = False  # whether an attempt was abandoned and no response received since
        self._reading_paused = False  # whether a partial response waits for memory
        self._partial_responses = client.connection_limit.partial_responses
        self._memory = MemoryAccount(self._partial_responses.budget)

    # -- Load -----------------------------------------------------------------------------------------

    @property
    def load(self) -> int:
        """The number of attempts on the connection."""
        return len(self._in_flight) + len(self._queued) + (self._writing is not None)

    def has_capacity(self, attempts_max: int) -> bool:
        """Whether the connection can carry one more attempt, with at most `attempts_max` sharing it."""
        if not self.usable or self._suspect or self.load >= attempts_max:
            return False
        if self.generation != self.endpoint.generation:
            return False
        if self.sock is None or self._transport is None:
            return True  # still connecting
        # An idle connection must have no unread data.  With attempts in flight it may, and only a close matters.
        return not peer_has_closed(self.sock) if self.load else has_nothing_unread(self.sock)

    def is_connecting(self) -> bool:
        """Whether the connection is not established yet."""
        return self._transport is None

    def is_finished(self) -> bool:
        """Whether the connection has no attempts and accepts no more.

        A part of a response that no attempt waits for would be taken for the beginning of the next one.
        """
        return not self.load and (not self.usable or self._suspect or self.has_partial_response())

    def has_partial_response(self) -> bool:
        """Whether a response has been received in part."""
        return self._decoder.pending > 0

    def _attempts(self) -> list[RpcAttempt]:
        writing = [] if self._writing is None else [self._writing]
        return [*self._in_flight.values(), *writing, *self._queued]

    # -- Writing requests -----------------------------------------------------------------------------

    def add(self, attempt: RpcAttempt) -> None:
        """Queue an attempt and write it as soon as possible."""
        attempt.connection = self
        self._cancel_idle_timer()
        self._client.connection_used(self)
        self._queued.append(attempt)
        self._write_next()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start writing (called by asyncio)."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._account()
        # With a high-water mark of 0, resume_writing means that the kernel has accepted all data.
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
            attempt.msgid = self._allocate_msgid()
            transport.write(attempt.format_request(attempt.msgid, remaining_s))
            # A failed write closes the transport and empties its buffer without sending it.
            if not transport.is_closing() and not transport.get_write_buffer_size():
                self._write_completed()
            else:
                self._account()

    def resume_writing(self) -> None:
        """Write the next attempt after the kernel has accepted all written data (called by asyncio)."""
        self._write_completed()
        self._write_next()
        self._account()

    def _write_completed(self) -> None:
        attempt, self._writing = self._writing, None
        if attempt is not None:
            attempt.written = True
            self._in_flight[attempt.msgid] = attempt

    def _allocate_msgid(self) -> int:
        """Return an id unused by attempts in flight or abandoned, whose responses may still arrive."""
        while True:
            msgid = self._next_msgid
            self._next_msgid = (msgid + 1) & MSGID_MAX
            if msgid not in self._in_flight and msgid not in self._abandoned:
                return msgid

    def abandon(self, attempt: RpcAttempt, may_be_retried: bool) -> None:
        """Release an attempt that ended before its response was received.

        A queued attempt is withdrawn.  A partly written attempt must never become complete, so the connection is
        closed.  For a written attempt the connection is closed if the request may be retried; otherwise the late
        response is dropped.
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
        """Process received bytes (called by asyncio)."""
        if not self.load and not self._abandoned:
            self.abort()  # unsolicited data: no request awaits a response
            return
        try:
            for message in self._decoder.feed(data):
                if not isinstance(message, RpcResponse):
                    raise RemoteProtocolError("expected a response")
                self._response_received(message)
                if self._transport is None or self._transport.is_closing():
                    return
        except RemoteProtocolError as error:
            self._fail_malformed(str(error))
            return
        self._account()
        self._control_reading()

    def _account(self) -> None:
        """Account for the memory that the connection takes."""
        unwritten = 0 if self._transport is None else self._transport.get_write_buffer_size()
        self._memory.set(unwritten + self._decoder.held_bytes)

    def _control_reading(self) -> None:
        """Read on, unless there is no memory for more of a partial response."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        waits = False
        if self.has_partial_response():
            waits = not self._partial_responses.may_read(self, self._control_reading)
        else:
            self._partial_responses.ended(self)
        if waits is self._reading_paused:
            return
        self._reading_paused = waits
        if waits:
            transport.pause_reading()
            for attempt in list(self._in_flight.values()):
                attempt.response_delayed()
        else:
            transport.resume_reading()

    def _response_received(self, message: RpcResponse) -> None:
        self._suspect = False
        attempt = self._in_flight.pop(message.msgid, None)
        if attempt is None and self._writing is not None and self._writing.msgid == message.msgid:
            # Answered before its last byte was written, as by a server that rejects a message that is too long.
            outcome, response = read_response(message, self._client.report_columns)
            self._writing.end(outcome, response)
            self.end(Outcome.CONNECTION_LOST)  # the rest of the request is never written
        elif attempt is not None:
            outcome, response = read_response(message, self._client.report_columns)
            self._client.load_decreased(self)
            attempt.end(outcome, response)
        elif message.msgid in self._abandoned:
            del self._abandoned[message.msgid]
            self._client.load_decreased(self)
        else:
            # A duplicate response, or one without a request: further responses on this connection are not trustworthy.
            log.debug("%s: received a response with an unknown message id", self.endpoint.name)
            self.usable = False
            self._client.load_decreased(self)

    def _fail_malformed(self, reason: str) -> None:
        """Close the connection after an invalid response: written attempts may have been executed; the server is up."""
        log.info("%s: received a malformed response: %s", self.endpoint.name, reason)
        self.end(Outcome.ERROR)

    # -- Closing --------------------------------------------------------------------------------------

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempts on the connection (called by asyncio)."""
        self.release_slot()
        self.end(Outcome.CONNECTION_LOST)
        self._decoder.discard()
        self._partial_responses.ended(self)
        self._memory.set(0)

    def release_slot(self) -> None:
        """Release its slot of the connection limit only once: a connect aborted as it completes ends twice."""
        if self._holds_slot:
            self._holds_slot = False
            self._client.connection_limit.release()

    def end(self, written_outcome: Outcome) -> None:
        """Close immediately: written attempts end with this outcome; the others were never executed."""
        attempts = self._attempts()
        self._in_flight, self._writing, self._queued = {}, None, deque()
        self.abort()
        for attempt in attempts:
            attempt.connection = None
        for attempt in attempts:
            attempt.end(written_outcome if attempt.written else Outcome.CONNECT_FAILED)

    def withdraw_queued(self, outcome: Outcome) -> None:
        """End queued attempts and accept no more, since the server accepts no new requests."""
        self.usable = False
        queued, self._queued = list(self._queued), deque()
        for attempt in queued:
            attempt.connection = None
            attempt.end(outcome)
        self._client.load_decreased(self)

    def abort(self) -> None:
        """Close immediately, or cancel the connect."""
        self.usable = False
        self._cancel_idle_timer()
        if self._transport is not None:
            self._transport.abort()
        elif self.connect_task is not None:
            self.connect_task.cancel()
        self._client.connection_ended(self)

    def _cancel_idle_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None
