"""The HTTP server for clients: answers the requests of a connection in their order, and reads further ones ahead.

Requests that are sent behind one in progress (pipelined, RFC 9112, 9.3.2) are read in bounded number, each with its own
arrival time.  A connection handles a bounded part of its input before others get their turn.  `request_reader` reads
requests, `answering` is the sending half.
"""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from typing import Final

import h11

from topazbank.core.call import Call, FinalAnswer, Headers, Verdict
from topazbank.core.connection_states import ConnectionState, PartialRequest
from topazbank.core.connection_table import ConnectionTable
from topazbank.core.counters import ClientEvent
from topazbank.core.memory_budget import MemoryShare
from topazbank.core.net import peer_has_closed
from topazbank.core.request_checks import API_PATH, InvalidRequest
from topazbank.core.spool import SpoolFull
from topazbank.core.turn_queue import Turn
from topazbank.http.answering import AnsweringConnection
from topazbank.http.message_reader import Step
from topazbank.http.request_reader import ReceivedRequest, RequestReader
from topazbank.http.request_reading import call_id_from_data, origin_form, parse_call
from topazbank.http.requests_ahead import RequestsAhead

log = logging.getLogger(__name__)

_READY_PATH: Final = b"/health/ready"
_STATUS_PATH: Final = b"/admin/roster"
_STEPS_PER_TURN: Final = 32  # steps of the reader before other connections get their turn
_READING_S_MAX: Final = 0.001  # of a turn; a step that takes longer is its last
_AHEAD_MAX: Final = 1024  # complete requests read ahead
# Above this nothing is read behind a request in progress; a close behind unread bytes may stay unnoticed.
_AHEAD_BYTES_MAX: Final = 1024 * 1024
_CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpConnection(AnsweringConnection):
    """One HTTP connection from a client; one of its requests is in progress at a time."""

    def __init__(self, table: ConnectionTable, sock: socket.socket) -> None:
        super().__init__(table, sock)
        self._reader = RequestReader(table.callbacks.spool, self._body_refused)
        self._current: ReceivedRequest | None = None  # the request that is being answered
        self._call: Call | None = None  # the same, while it is in progress
        self._current_begun_at = 0.0
        self._current_arrived_at = 0.0  # its last byte
        self._ahead = RequestsAhead()  # complete requests after it
        self._ahead_timer: asyncio.TimerHandle | None = None  # ends the request in progress for one of them
        self._error: InvalidRequest | None = None  # in the input after these; answered in its turn
        self._rejects_ahead = False  # whether no further request is dispatched
        self._continue_sent = False  # whether the client was told to send the incomplete body
        self._next_turn: Turn | None = None  # goes on with requests and input

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and end its requests (called by asyncio)."""
        super().connection_lost(exc)
        if self._call is not None:
            self._counters.count(ClientEvent.CLIENT_DISCONNECTED)
            log.info("%s: client disconnected, request %s", self.describe(), self._call.call_id)
        self._abandon_request()
        self._drop_input()
        self.memory.set(0)

    def eof_received(self) -> bool:
        """Close: a client that closes its side has disconnected (called by asyncio)."""
        return False

    def has_unanswered(self) -> bool:
        """Whether a complete request is not answered yet."""
        return self._call is not None or len(self._ahead) > 0

    def is_idle(self) -> bool:
        """Whether the connection may be closed: no request is in progress, incomplete or unread."""
        return not self._has_work() and not self._reader.has_partial() and super().is_idle()

    def _has_work(self) -> bool:
        """Whether a request is in progress or waits for its turn, or an error for its answer."""
        return self._is_busy() or len(self._ahead) > 0 or self._error is not None

    def _is_busy(self) -> bool:
        """Whether the next request has to wait: one is in progress, or its answer is not completely written."""
        return self._call is not None or self._stream is not None or self._write_blocked

    # -- Reading --------------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Process received data (called by asyncio)."""
        self.record_arrival(len(data))
        if self._discarded_bytes is not None:
            self._discard(len(data))
            return
        if not self._has_work() and peer_has_closed(self._sock):
            self._drop_unread_request(data)
            return
        self._reader.feed(data)
        if self._next_turn is None:
            self._read(len(data))
        else:
            self._control_reading()

    def _drop_unread_request(self, data: bytes) -> None:
        """Close without reading the request: the client has already disconnected.

        An overloaded process would otherwise work for clients that gave up, which delays later requests until their
        clients give up too.
        """
        self._counters.count(ClientEvent.CLIENT_DISCONNECTED_UNREAD)
        log.info(
            "%s: client disconnected before request %s was read", self.describe(), call_id_from_data(data)
        )
        self.abort(client_disconnected=True)

    def _take_turn(self) -> None:
        self._next_turn = None
        if self._transport is not None and not self._transport.is_closing() and self._discarded_bytes is None:
            self._read()

    def _schedule_turn(self) -> None:
        """Go on with requests and input after other connections."""
        if self._next_turn is None:
            self._next_turn = self._table.turns.add(self._take_turn)

    def _read(self, count: int = 0) -> None:
        """Take a turn: read requests within the limits, then dispatch one; `count` bytes are newly received."""
        try:
            if not self._read_steps() and self._may_read():
                self._schedule_turn()
        except Exception as error:
            self._reading_failed(error)
        self._dispatch_next()
        self._watch_ahead()
        if self._discarded_bytes is None:
            self._track_partial(count)
        if self._discarded_bytes is None:
            self._account()
            self._control_reading()
            self._table.make_memory_room()

    def _read_steps(self) -> bool:
        """Take the reader's steps of one turn; return whether the next one needs more data."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + _READING_S_MAX
        for _ in range(_STEPS_PER_TURN):
            if not self._may_read():
                return False
            result = self._reader.next()
            if result is Step.NEEDS_DATA:
                return True
            if isinstance(result, ReceivedRequest):
                self.partial = None
                self._continue_sent = False
                self._ahead.append(result, self.arrivals.time_of(result.end))
            if loop.time() >= end_at:
                break
        return not self._reader.has_partial()

    def _may_read(self) -> bool:
        """Whether further input may be read: not too much is read ahead of its turn, and no error ends the input."""
        if self._error is not None or self._discarded_bytes is not None:
            return False
        if not self._is_busy() and not len(self._ahead):
            return True
        read_bytes = self._input_bytes() - self._reader.buffered_bytes
        if len(self._ahead) >= _AHEAD_MAX or read_bytes > _AHEAD_BYTES_MAX:
            return False
        return self._callbacks.memory.has_room(0, MemoryShare.READ_AHEAD)

    def _ahead_bytes_max(self) -> int:
        """How much input may wait for its turn: nothing more while memory is scarce."""
        has_room = self._callbacks.memory.has_room(0, MemoryShare.READ_AHEAD)
        return _AHEAD_BYTES_MAX if has_room else 0

    def _input_bytes(self) -> int:
        """The memory that requests take which are not in their turn or incomplete, and unread input."""
        return self._ahead.held_bytes + self._reader.held_bytes()

    def _control_reading(self) -> None:
        """Stop reading from the client while too much of its input waits, and start again afterwards."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._discarded_bytes is not None:
            return
        waits = self._next_turn is not None or not self._may_read()
        is_last = (
            self._table.draining and self._has_work()
        )  # the connection is closed after what has been read
        is_full = waits and self._input_bytes() > self._ahead_bytes_max()
        if self._error is not None or is_last or is_full:
            self.stop_reading()
            if self.partial is not None and self._error is None:
                self.partial.pause(asyncio.get_running_loop().time())
        elif not transport.is_reading():
            self.start_reading()
            if self.partial is not None:
                self.partial.resume(asyncio.get_running_loop().time())

    def _account(self) -> None:
        """Account for the memory that the requests and the input of this connection take."""
        current_bytes = 0 if self._current is None else self._current.held_bytes()
        self.hold(current_bytes + self._input_bytes())

    # -- Errors in the input --------------------------------------------------------------------------

    def _reading_failed(self, error: Exception) -> None:
        """Reject the incomplete request, in its turn."""
        self._reader.discard()
        if isinstance(error, InvalidRequest):
            self._error = error.with_traceback(None)  # which refers to all that was read
        elif isinstance(error, h11.RemoteProtocolError):
            self._error = InvalidRequest(400, str(error))
        elif isinstance(error, SpoolFull):
            self._error = InvalidRequest(503, str(error))  # not forwarded, so the client may retry
        else:
            # A bug in this process fails only this request.
            log.error("a request could not be read", exc_info=error)
            self._error = InvalidRequest(500, "internal error")

    def remaining_body_s(self, now: float) -> float:
        """The time that the rest of an incomplete body takes at its client's pace; 0 if unknown."""
        if self.partial is None or self._reader.head is None:
            return 0.0
        return self.partial.remaining_body_s(now, self._reader.remaining_bytes())

    def reject_waiting(self) -> None:
        """Reject the requests after the one in progress, each in its turn."""
        self._rejects_ahead = True

    def shed_partial(self, error: InvalidRequest) -> None:
        """Reject the incomplete request to make room in memory."""
        self._reading_failed(error)
        self._dispatch_next()

    def _body_refused(self, error: SpoolFull) -> None:
        """Reject the incomplete request, whose body was dropped to make room for others."""
        self._reading_failed(error)
        self._dispatch_next()
        if self._discarded_bytes is None:
            self._track_partial(0)

    # -- The incomplete request -----------------------------------------------------------------------

    def _track_partial(self, count: int) -> None:
        """Track the progress of the incomplete request; `count` bytes are newly received."""
        if self._has_work():
            self._track_partial_ahead(count)
        elif self._reader.has_partial() or self.state is ConnectionState.NEW:
            self._send_continue()
            self._record_progress(count)
        else:
            self.partial = None

    def _track_partial_ahead(self, count: int) -> None:
        """Track the progress of an incomplete or malformed request that is not in its turn yet."""
        now = asyncio.get_running_loop().time()
        if self._error is None and (not self._reader.has_partial() or self._next_turn is not None):
            self.partial = None
        elif self.partial is None:
            self.partial = PartialRequest(self.last_progress_at())
        if self.partial is not None:
            self._add_progress(self.partial, now, count)
        if self._is_busy() and self._stream is None and not self._write_blocked:
            is_waiting = self.partial is not None and not self.partial.is_paused
            state = ConnectionState.AWAITING_ANSWER_PARTIAL if is_waiting else ConnectionState.AWAITING_ANSWER
            self._table.set_state(self, state)

    def _add_progress(self, partial: PartialRequest, now: float, count: int) -> None:
        if count:
            partial.received(now, count)
        if self._reader.head is not None:
            partial.head_completed(now)

    def _record_progress(self, count: int) -> None:
        """Record the progress of an incomplete request in its turn; `count` bytes are newly received."""
        if self.shed_if_excess():
            return
        now = asyncio.get_running_loop().time()
        if self.partial is None:
            self.partial = PartialRequest(self.last_progress_at())
        self._add_progress(self.partial, now, count)
        if self.partial.is_overdue(now):
            self._request_timed_out()
            return
        if self._table.shed_if_long(self):
            return
        in_head = self._reader.head is None
        state = ConnectionState.READING_HEAD if in_head else ConnectionState.READING_BODY
        self._table.set_state(self, state, restart=True)

    def _send_continue(self) -> None:
        """Answer `Expect: 100-continue` (RFC 9110, 10.1.1) once, unless the client has begun to send the body."""
        head = self._reader.head
        if head is None or not head.expects_continue or self._continue_sent or self._transport is None:
            return
        self._continue_sent = True
        if not self._reader.has_body_bytes():
            self._transport.write(_CONTINUE)

    # -- Requests -------------------------------------------------------------------------------------

    def _dispatch_next(self) -> None:
        """Dispatch the next request if it is its turn; after the last one, answer an error in the input."""
        if self._is_busy():
            return
        if len(self._ahead):
            request, self._current_arrived_at = self._ahead.take_first()
            self._dispatch(request)
            self._watch_ahead()
        elif self._error is not None:
            self._reject(self._error)
        elif self.state is ConnectionState.STREAMING_ANSWER:
            self._table.set_state(self, ConnectionState.IDLE)  # all of the last answer is written

    def _dispatch(self, request: ReceivedRequest) -> None:
        self._current = request
        self._current_begun_at = asyncio.get_running_loop().time()
        try:
            self._route(request)
        except InvalidRequest as error:
            self._reject(error)
        except Exception:
            # A bug in this process fails only this request.
            log.exception("a request could not be handled")
            if self._current is None:
                self.abort()  # already answered
            else:
                self._reject(InvalidRequest(500, "internal error"))
        finally:
            if self._call is None:
                request.release()  # rejected; a call releases its body when it ends

    def _route(self, request: ReceivedRequest) -> None:
        head = request.head
        path = origin_form(head.target).partition(b"?")[0]
        if self._rejects_ahead:
            self._answer(503, [], b"")
        elif path == _READY_PATH:
            self._answer(200 if self._callbacks.is_ready() else 503, [], b"")
        elif path == _STATUS_PATH and self._callbacks.status_page is not None:
            self._answer(200, [(b"Content-Type", b"application/json")], self._callbacks.status_page())
        elif path != API_PATH and not path.startswith(API_PATH + b"/"):
            raise InvalidRequest(404, "no such path")
        else:
            self._begin_call(request)

    def _begin_call(self, request: ReceivedRequest) -> None:
        call = parse_call(request.head, request.body, self._request_classes, self._answer_call)
        if self._callbacks.is_in_flight(call.call_id):
            raise InvalidRequest(409, "x-call-id: another request with this id is still in flight")
        if self._callbacks.was_abandoned(call.call_id):
            raise InvalidRequest(409, "x-call-id: a request with this id may have been executed")
        is_late = self._ahead.is_late(self._current_begun_at)
        if is_late or not self.deduct_wait(call, self._current_arrived_at) or not self.may_take_call(call):
            self._answer(503, [], b"")
            return
        call.has_disconnected = self.has_disconnected
        self._call = call
        self._table.set_state(self, ConnectionState.AWAITING_ANSWER)
        self._callbacks.on_request(call)

    def _reject(self, error: InvalidRequest) -> None:
        """Reject the request and close the connection without reading further requests."""
        self._counters.count(ClientEvent.REQUEST_REJECTED)
        log.info("%s: request rejected: %s", self.describe(), error)
        self.partial = None
        self._abandon_request()
        self._answer(
            error.status,
            [(b"Content-Type", b"text/plain")],
            f"{error}\n".encode(),
            close_connection=True,
        )

    def _abandon_request(self) -> None:
        """End the request in progress without an answer from a server."""
        call, self._call = self._call, None
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.abort()
        if call is not None:
            self._callbacks.on_disconnect([call])

    def _drop_input(self) -> None:
        """Drop all input after the request in progress: the connection ends."""
        self._reader.discard()
        self._ahead.release_all()
        self._watch_ahead()
        self.hold(0)
        if self._next_turn is not None:
            self._next_turn.cancel()
            self._next_turn = None

    def _next_request(self) -> None:
        """Go on once the current answer has been written completely."""
        self._schedule_turn()

    # -- Answers --------------------------------------------------------------------------------------

    def _answer_call(self, answer: FinalAnswer) -> None:
        if answer.verdict is Verdict.SERVED:
            if answer.stream is not None:
                self._answer_streamed(answer)
            else:
                self._answer_served(self.within_memory(answer))
        elif answer.verdict is Verdict.REJECTED:
            retry_after_us = answer.retry_after_us
            headers = [(b"Retry-After", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us else []
            self._answer(503, headers, b"")
        else:
            self._answer(500, [], b"")

    def _answer_served(self, answer: FinalAnswer) -> None:
        if answer.verdict is Verdict.SERVED:
            self._answer(200, answer.content_headers or [], answer.body)
        else:
            self._answer(500, [], b"")

    def _answer(self, status: int, headers: Headers, body: bytes, close_connection: bool = False) -> None:
        self._call = None
        if not self._can_send():
            return
        close_connection = close_connection or self._must_close()
        is_head_request = self._current is not None and self._current.head.method == b"HEAD"
        self._current = None
        self._send_answer(status, headers, body, close_connection, is_head_request)

    def _answer_streamed(self, answer: FinalAnswer) -> None:
        stream = answer.stream
        assert stream is not None
        self._call = None
        if not self._can_send():
            stream.abort()
            return
        http_1_1 = self._current is None or self._current.head.http_version == b"1.1"
        close_connection = self._must_close()
        self._current = None
        self._begin_stream(answer.content_headers or [], stream, http_1_1, close_connection)

    def _must_close(self) -> bool:
        """Whether the connection is closed after this answer."""
        if self._current is not None and self._current.head.closes:
            return True
        if len(self._ahead) or self._next_turn is not None:
            return False  # complete requests are answered before, also in a drain
        return self._table.draining or self._error is not None

    def _answer_sent(self, close_connection: bool) -> None:
        """Close the connection, or continue with the data received after the request."""
        if self._transport is None or self._transport.is_closing():
            return
        if close_connection:
            self._drop_input()
            self._linger()
            return
        state = ConnectionState.STREAMING_ANSWER if self._write_blocked else ConnectionState.IDLE
        self._table.set_state(self, state)
        self._account()
        if self._write_blocked:
            return
        if len(self._ahead) or self._error is not None or self._reader.has_partial():
            self._schedule_turn()
        elif not self._transport.is_reading():
            self.start_reading()

    # -- Requests behind the one in progress ----------------------------------------------------------

    def _watch_ahead(self) -> None:
        """Set the timer that ends the request in progress once one behind it is due."""
        if self._ahead_timer is not None:
            self._ahead_timer.cancel()
            self._ahead_timer = None
        if self._call is None or not len(self._ahead):
            return
        end_at = self._ahead.end_first_at(self._current_begun_at)
        if end_at < math.inf:
            self._ahead_timer = asyncio.get_running_loop().call_at(end_at, self._end_for_next)

    def _end_for_next(self) -> None:
        """Answer the request in progress as failed, since it may have been executed: one behind it is due."""
        self._ahead_timer = None
        if self._call is None:
            return
        self._counters.count(ClientEvent.UNANSWERED_FAILED_FOR_NEXT)
        log.info("%s: request %s failed: one behind it is due", self.describe(), self._call.call_id)
        self._abandon_request()
        self._answer(500, [], b"")

    # -- Time limits ----------------------------------------------------------------------------------

    def limit_reached(self) -> None:
        """End the connection or its request: the time limit of the state or of the partial request has passed."""
        if self.state is ConnectionState.AWAITING_ANSWER_PARTIAL:
            self._fail_request_in_progress()
        elif self.state is ConnectionState.CLOSING:
            self._counters.count(ClientEvent.CONNECTION_TIMED_OUT)
            self.abort()
        elif self.is_idle():
            self._counters.count(ClientEvent.CONNECTION_TIMED_OUT)
            self.close()
        elif self.partial is not None and self.has_no_unread_bytes():
            self._request_timed_out()

    def _request_timed_out(self) -> None:
        """Reject a request whose client has stalled or sends too slowly."""
        self._counters.count(ClientEvent.REQUEST_TIMED_OUT)
        self._reject(InvalidRequest(408, "request not received within the time limit"))

    def _fail_request_in_progress(self) -> None:
        """Answer the request in progress as failed, since it may have been executed, and reject those behind it.

        The client has stalled in the middle of a pipelined request and must receive an error within the time limit.
        The requests before it are answered first, so that the client does not take that error for their answer.
        """
        if self._call is None:
            return
        self._counters.count(ClientEvent.UNANSWERED_FAILED_FOR_PARTIAL)
        log.info(
            "%s: request %s failed: a pipelined request is incomplete", self.describe(), self._call.call_id
        )
        if self._error is None:
            self._counters.count(ClientEvent.REQUEST_TIMED_OUT)
            self._reader.discard()
            self._error = InvalidRequest(408, "request not received within the time limit")
        self._rejects_ahead = True
        self._abandon_request()
        self._answer(500, [], b"")
