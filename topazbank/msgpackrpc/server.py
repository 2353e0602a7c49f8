"""The MessagePack-RPC server for clients: concurrent calls on a connection, answered in any order.

A connection fails when its client sends something that cannot be answered: malformed bytes, the message id of a call in
progress, or a call as a notification.  Nothing more is read from a failed connection.  It is closed once its calls in
progress are answered.  The `answering` module contains the sending half.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Iterator
from functools import partial
from typing import Final

from topazbank.core.call import FAILED_ANSWER, Call, FinalAnswer, Verdict
from topazbank.core.connection_states import ConnectionState, PartialRequest
from topazbank.core.connection_table import ConnectionTable
from topazbank.core.counters import ClientEvent
from topazbank.core.memory_budget import MemoryShare
from topazbank.core.net import peer_has_closed
from topazbank.core.request_checks import InvalidRequest
from topazbank.core.turn_queue import Turn
from topazbank.msgpackrpc.answer_writing import format_answer, format_readiness, format_rejection
from topazbank.msgpackrpc.answering import AnsweringConnection
from topazbank.msgpackrpc.call_window import CallWindow
from topazbank.msgpackrpc.decoder import Decoder
from topazbank.msgpackrpc.messages import (
    MSGID_MAX,
    READY_METHOD,
    MessageTooLong,
    RemoteProtocolError,
    RpcMessage,
    RpcNotification,
    RpcRequest,
)
from topazbank.msgpackrpc.request_reading import read_call
from topazbank.msgpackrpc.waiting_calls import WAITING_MAX, WaitingCall, WaitingCalls, held_bytes

log = logging.getLogger(__name__)

# Calls in progress on one connection; further ones wait, so that one client cannot exhaust the process.
# Not Final, so that tests of the compiled modules can lower it.
CALLS_MAX = 128
_MESSAGES_PER_TURN: Final = 64  # messages handled before other connections get their turn
_WINDOW_CHECK_S: Final = 0.02  # interval between checks of a window that lets no call pass
_DISCARDED_BYTES_MAX: Final = 8 * 1024 * 1024  # discarded after a failure, so that the last answers arrive
_READY_METHOD: Final = READY_METHOD.encode()


class RpcConnection(AnsweringConnection):
    """A client's MessagePack-RPC connection."""

    def __init__(self, table: ConnectionTable, sock: socket.socket) -> None:
        super().__init__(table, sock)
        self._decoder = Decoder()
        self._calls: dict[int, Call] = {}  # in progress, by message id; at most CALLS_MAX
        self._waiting = WaitingCalls()  # read, but not in progress yet
        self._window = CallWindow(asyncio.get_running_loop().time())
        self._calls_bytes = 0  # the memory that the calls in progress take
        self._read_while_blocked = 0  # calls read since the client stopped reading its answers
        self._expiry: asyncio.TimerHandle | None = None  # for the earliest deadline of the waiting calls
        # Messages of the last read that are not handled yet; reading is paused until they are.
        self._unhandled: Iterator[RpcMessage] | None = None
        # Handles the next of them, and hands over waiting calls.
        self._next_turn: asyncio.Handle | Turn | None = None
        self._next_turn_due = 0.0  # on the event loop's clock
        self._has_accepted_call = False  # whether a call was accepted
        self._failed = False  # whether reading has ended
        self._error_sent = False  # whether the error of the failure was sent to the client
        self._discarded_bytes = 0  # bytes received after the failure

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and end its calls (called by asyncio)."""
        super().connection_lost(exc)
        self._failed, self._unhandled = True, None
        calls, self._calls, self._calls_bytes = list(self._calls.values()), {}, 0
        self._waiting.take_all()
        self._waiting_changed()
        self._decoder.discard()  # the connection's objects are freed later, by the garbage collector
        self.memory.set(0)
        if calls:
            self._counters.count(ClientEvent.CLIENT_DISCONNECTED)
            self._callbacks.on_disconnect(calls)

    def eof_received(self) -> bool:
        """Close the connection: a client that closes its sending side counts as disconnected (called by asyncio)."""
        return False

    def has_unanswered(self) -> bool:
        """Whether a call is in progress or waits."""
        return bool(self._calls) or len(self._waiting) > 0

    def is_idle(self) -> bool:
        """Whether the connection may be closed: no call is in progress, incomplete or unread."""
        begun = self.has_unanswered() or self._unhandled is not None or self._decoder.pending
        return not begun and super().is_idle()

    # -- Reading --------------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Process received bytes (called by asyncio)."""
        self.record_arrival(len(data))
        if self._failed:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > _DISCARDED_BYTES_MAX:
                self.stop_reading()
            return
        if not self._calls and peer_has_closed(self._sock):
            # Saves an overloaded process from work for clients that gave up while their calls waited.
            self._counters.count(ClientEvent.CLIENT_DISCONNECTED_UNREAD)
            self.abort(client_disconnected=True)
            return
        self._unhandled = self._decoder.feed(data)
        self._handle_messages(len(data))

    def _handle_messages(self, count: int = 0) -> None:
        """Handle messages of the last read, within the limits on messages per turn and on waiting calls.

        `count`: the number of bytes just received.
        """
        if self._unhandled is None or self._failed:
            return
        try:
            handled = self._handle_turn()
        except RemoteProtocolError as error:
            self._unhandled = None
            status = 413 if isinstance(error, MessageTooLong) else 400
            self._fail(str(error), InvalidRequest(status, str(error)), error.msgid)
            return
        if self._failed:
            return
        self._track_partial(count, new=handled > 0)
        if self._failed:
            return
        self._update_state()
        if self._unhandled is None:
            self.start_reading()
        else:
            self.stop_reading()
        self._schedule_turn()
        self._account()
        self._table.make_memory_room()

    def _handle_turn(self) -> int:
        """Handle messages until a limit is reached, the connection fails or none is left; return their number."""
        handled = 0
        waiting = len(self._waiting)
        try:
            while self._may_handle() and handled < _MESSAGES_PER_TURN and self._unhandled is not None:
                message = next(self._unhandled, None)
                if message is None:
                    self._unhandled = None
                    break
                self._handle(message)
                handled += 1
                if self._failed:
                    break
        finally:
            if len(self._waiting) != waiting:
                self._waiting_changed()
        return handled

    def _may_handle(self) -> bool:
        """Whether further messages may be handled: a call among them may have to wait."""
        if self.is_write_blocked() and self._read_while_blocked >= WAITING_MAX:
            return False  # each of them is answered, in memory, once its time is over
        return not self._waiting.is_full()

    def _schedule_turn(self) -> None:
        """Let the next turn hand over waiting calls and handle further messages, where possible."""
        has_messages = self._unhandled is not None and self._may_handle()
        may_begin = len(self._waiting) > 0 and self._may_begin_call()
        if has_messages or (may_begin and self._is_within_window()):
            self._schedule_turn_in(0.0)
        elif may_begin:
            self._schedule_turn_in(_WINDOW_CHECK_S)

    def _schedule_turn_in(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time() + delay_s
        if self._next_turn is not None:
            if self._next_turn_due <= due:
                return
            self._next_turn.cancel()
        self._next_turn_due = due
        if delay_s:
            self._next_turn = loop.call_at(due, self._take_turn)
        else:
            self._next_turn = self._table.turns.add(self._take_turn)

    def _take_turn(self) -> None:
        self._next_turn = None
        if len(self._waiting):
            now = asyncio.get_running_loop().time()
            self._window.turn_taken(now, now - self._next_turn_due, len(self._calls))
        self._hand_over_waiting()
        self._handle_messages()
        self._schedule_turn()

    def _track_partial(self, count: int, new: bool) -> None:
        """Track the progress of the incomplete message; `new`: messages before it were handled in this turn."""
        now = asyncio.get_running_loop().time()
        if self._unhandled is None and not self._decoder.pending:
            self.partial = None
            return
        if self._unhandled is None and self.shed_if_excess():
            return
        if self.partial is None or new:
            self.partial = PartialRequest(self.last_progress_at(), has_head=False)
        elif count:
            self.partial.received(now, count)
        if self.partial.is_overdue(now):
            self._message_timed_out()

    # -- Messages -------------------------------------------------------------------------------------

    def _handle(self, message: RpcMessage) -> None:
        if isinstance(message, RpcRequest):
            self._handle_request(message)
        elif isinstance(message, RpcNotification):
            self._handle_notification(message)
        else:
            self._fail("unexpected response from a client")

    def _handle_notification(self, message: RpcNotification) -> None:
        """Ignore a notification, such as a keep-alive or a hint; fail the connection if it names a request class.

        Otherwise calls could be lost silently: a notification has no response, so a client would assume that a
        dropped non-idempotent call was executed.
        """
        method = message.method
        if type(method) is not bytes or method.decode("latin-1") in self._request_classes.classes:
            self._fail("call sent as a notification")

    def _handle_request(self, request: RpcRequest) -> None:
        msgid = request.msgid
        if msgid in self._calls or msgid in self._waiting:
            # An error response would be taken for the answer to the call in progress.
            self._fail("message id of a call in progress")
        elif not 0 <= msgid <= MSGID_MAX:
            error = InvalidRequest(400, "msgid: expected a 32-bit unsigned integer")
            self._write(format_rejection(msgid, error))
        elif request.method == _READY_METHOD:
            self._write(format_readiness(msgid, self._callbacks.is_ready()))
        else:
            self._handle_call(request)

    def _handle_call(self, request: RpcRequest) -> None:
        msgid = request.msgid
        try:
            call = read_call(request, self._request_classes, partial(self._answer, msgid))
        except InvalidRequest as error:
            self._reject_invalid(msgid, error)
            return
        arrived_at = self.arrivals.time_of(self._decoder.position)
        if self._table.rejects_new or not self.deduct_wait(call, arrived_at):
            self._reject(msgid)
        elif self._may_hand_over() and not len(self._waiting):
            self._hand_over(msgid, call)
        else:
            self._let_wait(msgid, call)

    def _let_wait(self, msgid: int, call: Call) -> None:
        """Let a call wait until it can be handed over, or reject it if there is no memory for it."""
        if not self._callbacks.memory.has_room(held_bytes(call), MemoryShare.PARTIAL_REQUEST):
            self._reject(msgid)
            return
        deadline = asyncio.get_running_loop().time() + call.timeout_us / 1e6
        self._waiting.add(WaitingCall(msgid, call, deadline))
        self._read_while_blocked += 1
        self._account()

    def _may_begin_call(self) -> bool:
        return len(self._calls) < CALLS_MAX and not self.is_write_blocked()

    def _is_within_window(self) -> bool:
        return len(self._calls) < self._window.size(asyncio.get_running_loop().time())

    def _may_hand_over(self) -> bool:
        return self._may_begin_call() and self._is_within_window()

    def _hand_over_waiting(self) -> None:
        """Hand over waiting calls, within the limits on calls in progress and on messages per turn."""
        handled = 0
        while len(self._waiting) and self._may_hand_over() and handled < _MESSAGES_PER_TURN:
            msgid, call, deadline = self._waiting.take_first()
            handled += 1
            call.timeout_us = int((deadline - asyncio.get_running_loop().time()) * 1e6)
            if call.timeout_us > 0:
                self._hand_over(msgid, call)
            else:
                self._reject(msgid)
        if handled:
            self._waiting_changed()
            self._update_state()

    def _hand_over(self, msgid: int, call: Call) -> None:
        if self._callbacks.is_in_flight(call.call_id):
            self._reject_invalid(
                msgid, InvalidRequest(409, "envelope.id: a call with this id is still in flight")
            )
            return
        if self._callbacks.was_abandoned(call.call_id):
            self._reject_invalid(
                msgid, InvalidRequest(409, "envelope.id: a call with this id may have been executed")
            )
            return
        if not self.may_take_call(call):
            self._reject(msgid)
            return
        self._has_accepted_call = True
        call.has_disconnected = self.has_disconnected
        self._calls[msgid] = call
        self._calls_bytes += held_bytes(call)
        self._account()
        try:
            self._callbacks.on_request(call)
        except Exception:
            log.exception("unexpected error while handling a call")  # a bug: it fails only this call
            if self._take_call(msgid) is not None:
                self._callbacks.on_disconnect([call])
                self._write(format_rejection(msgid, InvalidRequest(500, "internal error")))

    def _waiting_changed(self) -> None:
        """Account for the waiting calls, and set the timer for the earliest of their deadlines."""
        self._account()
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        deadline = self._waiting.next_deadline()
        if deadline is not None:
            self._expiry = asyncio.get_running_loop().call_at(deadline, self._reject_expired)

    def _reject_expired(self) -> None:
        """Reject the waiting calls whose clients have given up: nothing is sent for them."""
        for waiting in self._waiting.take_expired(asyncio.get_running_loop().time()):
            self._reject(waiting.msgid)
        self._waiting_changed()
        if self._failed:
            self._close_if_answered()
            return
        self._update_state()
        self._schedule_turn()

    # -- Answers --------------------------------------------------------------------------------------

    def _answer(self, msgid: int, answer: FinalAnswer) -> None:
        if self._take_call(msgid) is None:
            return
        self._write(format_answer(msgid, self.within_memory(answer)))
        if self._failed:
            self._close_if_answered()
        elif not self._calls:
            self._update_state()
        self._schedule_turn()

    def _take_call(self, msgid: int) -> Call | None:
        """Remove a call in progress; return it, or None if it has ended already."""
        call = self._calls.pop(msgid, None)
        if call is not None:
            self._calls_bytes -= held_bytes(call)
            self._account()
        return call

    def _account(self) -> None:
        """Account for the memory that the calls and the incomplete message of this connection take."""
        self.hold(self._calls_bytes + self._waiting.held_bytes + self._decoder.held_bytes)

    def shed_partial(self, error: InvalidRequest) -> None:
        """Reject the incomplete message to make room in memory."""
        self._fail(str(error), error)

    def _reject(self, msgid: int) -> None:
        """Answer a call that was never forwarded; the client can retry it, perhaps at another sidecar."""
        self._write(format_answer(msgid, FinalAnswer(Verdict.REJECTED)))

    def _reject_invalid(self, msgid: int, error: InvalidRequest) -> None:
        log.info("%s: call rejected: %s", self.describe(), error)
        self._write(format_rejection(msgid, error))

    def _on_answers_read(self) -> None:
        """Resume handing over calls after the client has read its answers."""
        self._read_while_blocked = 0
        if self._failed:
            self._close_if_answered()
        else:
            self._update_state()
        self._schedule_turn()

    # -- Failures and time limits ---------------------------------------------------------------------

    def _fail(self, reason: str, error: InvalidRequest | None = None, msgid: int | None = None) -> None:
        """Stop reading; the connection is closed once its calls are answered.

        `error`: sent for the request `msgid`; without an id, for the incomplete request if its id can be read.
        """
        if self._failed:
            return
        log.info("%s: protocol error, nothing more is read: %s", self.describe(), reason)
        self._counters.count(ClientEvent.REQUEST_REJECTED)
        self._failed = True
        self._unhandled = None
        if error is not None and msgid is None and self._decoder.pending:
            msgid = self._decoder.pending_msgid()
        if (
            error is not None
            and msgid is not None
            and msgid not in self._calls
            and msgid not in self._waiting
        ):
            self._write(format_rejection(msgid, error))
            self._error_sent = True
        self._decoder.discard()
        self._account()
        now = asyncio.get_running_loop().time()
        self.partial = None if self._error_sent else PartialRequest(now, has_head=False)
        self._close_if_answered()

    def limit_reached(self) -> None:
        """Enforce the time limit on the connection's state or on its incomplete message."""
        if self.state is ConnectionState.CLOSING:
            self._counters.count(ClientEvent.CONNECTION_TIMED_OUT)
            self.abort()
        elif self._failed:
            self._fail_in_progress()
        elif self.partial is not None:
            if self.has_no_unread_bytes():
                self._message_timed_out()
        elif self.is_idle() and self.close_idle():
            self._counters.count(ClientEvent.CONNECTION_TIMED_OUT)

    def _message_timed_out(self) -> None:
        """Fail the connection: the client has stalled within a message or sends it too slowly."""
        self._counters.count(ClientEvent.REQUEST_TIMED_OUT)
        self._fail("incomplete message", InvalidRequest(408, "timed out while reading the message"))
        if not self._error_sent:
            self._fail_in_progress()

    def _fail_in_progress(self) -> None:
        """Answer all calls in progress as failed, since they may have been executed, and reject those that wait.

        The client has stalled and must get an error within the time limit.  No error can refer to the incomplete
        message, since its id is unknown.
        """
        calls, self._calls, self._calls_bytes = self._calls, {}, 0
        if calls:
            self._counters.count(ClientEvent.UNANSWERED_FAILED_FOR_PARTIAL)
            log.info(
                "%s: %d calls in progress failed after the protocol error",
                self.describe(),
                len(calls),
            )
            self._callbacks.on_disconnect(list(calls.values()))
        for msgid in calls:
            self._write(format_answer(msgid, FAILED_ANSWER))
        self.reject_waiting()

    def reject_waiting(self) -> None:
        """Reject all calls that wait: nothing more is handed over on this connection."""
        for waiting in self._waiting.take_all():
            self._reject(waiting.msgid)
        self._waiting_changed()
        if self._failed:
            self._close_if_answered()

    # -- States ---------------------------------------------------------------------------------------

    def _update_state(self) -> None:
        """Set the connection's state from its calls and its incomplete message."""
        if self._failed:
            return  # _close_if_answered sets it
        is_partial = self.partial is not None and self._unhandled is None
        if self.has_unanswered() or self._unhandled is not None:
            state = ConnectionState.AWAITING_ANSWER_PARTIAL if is_partial else ConnectionState.AWAITING_ANSWER
        elif is_partial:
            state = ConnectionState.READING_HEAD
        elif self.unread_bytes():
            state = ConnectionState.STREAMING_ANSWER
        elif not self._has_accepted_call:
            state = ConnectionState.NEW
        else:
            state = ConnectionState.IDLE_PERSISTENT
        self._table.set_state(self, state)

    def _close_if_answered(self) -> None:
        """Close a failed connection once all its calls are answered; bytes received later are discarded.

        Closing a socket with unread bytes resets the connection, and the client would lose answers that it has not
        read yet.
        """
        if self.has_unanswered():
            state = (
                ConnectionState.AWAITING_ANSWER
                if self._error_sent
                else ConnectionState.AWAITING_ANSWER_PARTIAL
            )
            self._table.set_state(self, state)
        elif self._transport is not None and not self._transport.is_closing():
            state = ConnectionState.STREAMING_ANSWER if self.unread_bytes() else ConnectionState.CLOSING
            self._table.set_state(self, state)
            self.half_close()
