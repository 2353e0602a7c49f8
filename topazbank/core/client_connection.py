"""The common part of client connections; a subclass per protocol reads requests and writes responses."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Final

from topazbank.core.arrival_times import ArrivalTimes
from topazbank.core.call import FAILED_ANSWER, Call, FinalAnswer
from topazbank.core.connection_states import IDLE_STATES, ConnectionState, PartialRequest
from topazbank.core.connection_table import CLOSABLE_STATES, ConnectionTable
from topazbank.core.counters import ClientEvent, Violation
from topazbank.core.memory_budget import CONNECTION_BYTES, MemoryAccount, MemoryShare
from topazbank.core.net import (
    READ_BYTES_MAX,
    SharedBufferProtocol,
    acknowledged_bytes,
    has_nothing_unread,
    peer_has_closed,
    receive_buffer_bytes,
)
from topazbank.core.request_checks import InvalidRequest

log = logging.getLogger(__name__)

_SMALL_BODY_BYTES: Final = 4 * 1024
_WAIT_S_MIN: Final = 0.01  # a shorter time is that of handling what was read


class ClientConnection(SharedBufferProtocol):
    """A client connection, registered in the connection table while it is open."""

    state = ConnectionState.NEW
    partial: PartialRequest | None = None  # the request that is not completely received
    exceeds_limit = False  # whether it was accepted beyond the limit on connections, for one complete request

    def __init__(self, table: ConnectionTable, sock: socket.socket) -> None:
        self._table = table
        self._callbacks = table.callbacks
        self._request_classes = table.request_classes
        self._counters = table.counters
        self.number = table.next_number()  # for the log
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self.arrivals = ArrivalTimes()
        self._last_read_at = asyncio.get_running_loop().time()  # bytes of the client, or reading resumed then
        self.memory = MemoryAccount(table.callbacks.memory)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection (called by asyncio)."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # any unread byte calls pause_writing
        self.hold(0)
        self._table.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection (called by asyncio)."""
        self._table.connection_closed(self)
        self._table.unread_answers.remove(self)
        self._table.closed_connections.closed()
        self.memory.set(0)

    # -- Reading --------------------------------------------------------------------------------------

    def record_arrival(self, count: int) -> None:
        """Record that `count` bytes were read from the client."""
        self._last_read_at = asyncio.get_running_loop().time()
        self.arrivals.received(self._last_read_at, count, was_last=count < READ_BYTES_MAX)

    def stop_reading(self) -> None:
        """Stop reading from the client for now."""
        if self._transport is not None:
            self._transport.pause_reading()
        self.arrivals.pause(asyncio.get_running_loop().time(), receive_buffer_bytes(self._sock))

    def start_reading(self) -> None:
        """Read from the client again."""
        transport = self._transport
        if transport is not None and not transport.is_closing():
            if not transport.is_reading():
                self._last_read_at = asyncio.get_running_loop().time()
            transport.resume_reading()
        self.arrivals.resume()

    def last_progress_at(self) -> float:
        """When the client last made progress, as far as this process has read from it."""
        if self._transport is None or not self._transport.is_reading():
            return asyncio.get_running_loop().time()
        return self._last_read_at

    # -- Memory ---------------------------------------------------------------------------------------

    def hold(self, count: int) -> None:
        """Record that the connection's requests and input take `count` bytes now."""
        self.memory.set(CONNECTION_BYTES + count)

    def may_take_call(self, call: Call) -> bool:
        """Whether there is memory for one more request in progress; small ones have a reserve."""
        is_large = len(call.body) > _SMALL_BODY_BYTES
        share = MemoryShare.LARGE_REQUEST if is_large else MemoryShare.REQUEST
        if self._callbacks.memory.has_room(len(call.body), share):
            return True
        self._counters.count(ClientEvent.REQUEST_REFUSED_FOR_MEMORY)
        log.info(
            "%s: request %s refused: memory limit reached, %d of %d bytes held",
            self.describe(),
            call.call_id,
            self._callbacks.memory.held_bytes,
            self._callbacks.memory.limit_bytes,
        )
        return False

    def within_memory(self, answer: FinalAnswer) -> FinalAnswer:
        """Return the answer, or an error if there is no memory to keep the answer until the client reads it."""
        if not answer.body or self._table.unread_answers.reserve(self, len(answer.body)):
            return answer
        self._counters.count(ClientEvent.ANSWER_DISCARDED)
        log.warning(
            "%s: answer of %d bytes replaced by an error: unread answers exceed the memory limit, %d bytes on this "
            "connection",
            self.describe(),
            len(answer.body),
            self.unread_bytes(),
        )
        return FAILED_ANSWER

    def remaining_body_s(self, now: float) -> float:
        """The time that the rest of an incomplete body takes at its client's pace; 0 if unknown."""
        return 0.0

    def shed_partial(self, error: InvalidRequest) -> None:
        """Reject the partial request to make room in memory; nothing more is read from its client."""

    # -- Unread answers -------------------------------------------------------------------------------

    def pause_writing(self) -> None:
        """Follow the progress of a client that does not read as fast as it asks (called by asyncio)."""
        self._table.unread_answers.add(self)

    def resume_writing(self) -> None:
        """Stop following its progress: the kernel has accepted all answers (called by asyncio)."""
        self._table.unread_answers.remove(self)

    def unread_bytes(self) -> int:
        """The size of the answers that wait in this process, in bytes."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def acknowledged_bytes(self) -> int | None:
        """The number of bytes that the client's kernel has acknowledged; None if it is unknown."""
        return acknowledged_bytes(self._sock)

    def has_unread_answers(self) -> bool:
        """Whether answers wait for the client to read; if so, an idle connection is not closed."""
        return self.unread_bytes() > 0

    def is_sending(self) -> bool:
        """Whether an answer is not completely handed over to the kernel."""
        return self.unread_bytes() > 0

    def answers_stalled(self) -> None:
        """End the connection: its client has stopped reading its answers."""
        log.info(
            "%s: connection closed: client does not read its answers: no progress for %.2f s, %d bytes unread, "
            "%s acknowledged",
            self.describe(),
            self._table.unread_answers.waited_s(self),
            self.unread_bytes(),
            self.acknowledged_bytes(),
        )
        self._counters.count(ClientEvent.CONNECTION_TIMED_OUT)
        self.abort(client_disconnected=True)

    # -- Queries --------------------------------------------------------------------------------------

    def has_no_unread_bytes(self) -> bool:
        """Whether the connection is open and has no unread bytes."""
        return has_nothing_unread(self._sock)

    def is_idle(self) -> bool:
        """Whether the connection may be closed: no request is in progress, incomplete or unread."""
        return self.state in CLOSABLE_STATES and self.has_no_unread_bytes()

    def can_be_evicted(self) -> bool:
        """Whether aborting the connection loses no data: no response is unsent and no request unread or in progress.

        Closing a socket with unread bytes resets the connection, which discards responses the client has not read yet.
        """
        if self.unread_bytes():
            return False
        return self.is_idle() if self.state in IDLE_STATES else self.has_no_unread_bytes()

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected, according to the kernel, since reading may be paused.

        Prevents sending requests whose client no longer waits.  If the client has closed the connection, it is aborted
        with all its requests in progress.
        """
        if self._transport is None or self._transport.is_closing():
            return True
        if not peer_has_closed(self._sock):
            return False
        self.abort(client_disconnected=True)
        return True

    def has_unanswered(self) -> bool:
        """Whether a request on this connection is in progress."""
        return False

    def reject_waiting(self) -> None:
        """Reject the requests that were read and wait for others of this connection."""

    def describe(self) -> str:
        """Describe the connection for the log: its number, state, and time since a partial request made progress."""
        progress = ""
        if self.partial is not None:
            now = asyncio.get_running_loop().time()
            progress = f", no progress for {now - self.partial.last_progress_at:.2f} s"
        return f"connection {self.number} ({self.state.name.lower()}{progress})"

    # -- Closing --------------------------------------------------------------------------------------

    def close(self) -> None:
        """Close the connection after all written data is sent."""
        self._check_answered()
        if self._transport is not None:
            self._transport.close()

    def close_idle(self) -> bool:
        """Close an idle connection unless answers wait for its client to read; return whether it was closed.

        One that stays open is ended if its client stops reading.
        """
        if self.has_unread_answers():
            self._table.unread_answers.add(self)
            return False
        self.close()
        return True

    def shed_if_excess(self) -> bool:
        """Close a connection beyond the limit whose request is not complete; return whether it was closed.

        Others, whose requests are complete, wait behind it in the kernel's queue.
        """
        self.exceeds_limit = self.exceeds_limit and self._table.is_over_limit()
        if not self.exceeds_limit or self.has_unanswered() or self.unread_bytes():
            return False
        self._counters.count(ClientEvent.CONNECTION_SHED_INCOMPLETE)
        self.abort()
        return True

    @staticmethod
    def deduct_wait(call: Call, arrived_at: float) -> bool:
        """Deduct the time since a call's last byte arrived; return whether any is left."""
        wait_s = asyncio.get_running_loop().time() - arrived_at
        if wait_s > _WAIT_S_MIN:
            call.timeout_us -= int(wait_s * 1e6)
        return call.timeout_us > 0

    def abort(self, client_disconnected: bool = False) -> None:
        """Close the connection immediately; `client_disconnected`: the client has disconnected or stopped reading."""
        if not client_disconnected:
            self._check_answered()
        if self._transport is not None:
            self._transport.abort()

    def half_close(self) -> bool:
        """Close the sending side and keep reading; return False if the connection is closed or was reset."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        try:
            transport.write_eof()
        except OSError:  # reset by the client, which the event loop has not processed yet
            self.abort(client_disconnected=True)
            return False
        return True

    def _check_answered(self) -> None:
        """Count a violation if this process closes the connection while a request is in progress."""
        if self.has_unanswered():
            self._counters.violation(Violation.CLOSED_UNANSWERED, self.describe())

    def limit_reached(self) -> None:
        """End the connection: its state or its partial request has reached its time limit."""
        raise NotImplementedError


ConnectionFactory = Callable[[ConnectionTable, socket.socket], ClientConnection]
