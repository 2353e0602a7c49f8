"""The MessagePack-RPC front: many calls at once on a connection, answered in any order.

A connection that sends what can't be answered (noise, a duplicate of a live message id, a notification of a call)
is broken: nothing more is read from it, what it has out is answered, and then it is closed.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Iterator
from functools import partial
from typing import ClassVar

from topazbank.core.call import FAILED_ANSWER, Call, FinalAnswer, Verdict
from topazbank.core.client_connection import ClientConnection
from topazbank.core.connection_states import ConnectionState, PartialRequest
from topazbank.core.connection_table import ConnectionTable
from topazbank.core.counters import ClientEvent
from topazbank.core.net import peer_has_closed
from topazbank.core.request_checks import InvalidRequest
from topazbank.msgpackrpc.codec import (
    MSGID_MOST,
    Decoder,
    Junk,
    Message,
    Notification,
    Request,
    encode_response,
)
from topazbank.msgpackrpc.mapping import READY, read_call, write_answer, write_rejection

log = logging.getLogger(__name__)

CALLS_MOST = (
    128  # calls out on one connection; beyond it nothing is taken, so a client can't fill the machine
)
_HIGH_WATER = 64 * 1024  # bytes of answers that wait for a slow reader before its next calls do
WAITING_MOST = 1024 * 1024  # bytes of answers that may wait on one connection; beyond it the connection ends
WAITING_IN_ALL = 8 * 1024 * 1024  # and on all: a machine may hold 32 MB
_STUCK_S = 2.0  # a client that takes no answer for so long has gone
_PACE = 64  # messages of one read that are taken in a turn of the loop, so that other connections have theirs
_DROPPED_MOST = (
    8 * 1024 * 1024
)  # bytes read and dropped behind what broke a connection, so that its answer arrives


class RpcConnection(ClientConnection):
    """One MessagePack-RPC connection of a client."""

    _waiting_in_all: ClassVar[int] = 0  # bytes of answers that wait on connections whose clients read slowly

    def __init__(self, table: ConnectionTable, sock: socket.socket) -> None:
        super().__init__(table, sock)
        self._decoder = Decoder()
        self._calls: dict[int, Call] = {}  # those out, by message id; CALLS_MOST
        self._coming: Iterator[Message] | None = (
            None  # of the last read, those not taken yet; then none is read
        )
        self._turn: asyncio.Handle | None = None  # when they are
        self._dropped = 0  # bytes behind what broke the connection
        self._used = False  # whether it has carried a call
        self._broken = False
        self._told_off = False  # whether its client has had the error that what broke it is owed
        self._waiting = 0  # of _waiting_in_all, this connection's
        self._stuck: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self._transport is not None
        self._transport.set_write_buffer_limits(high=_HIGH_WATER)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._unstick()
        self._broken, self._coming = True, None
        calls, self._calls = list(self._calls.values()), {}
        if calls:
            self._counters.count(ClientEvent.CLIENT_DISCONNECTED)
            self._callbacks.on_disconnect(calls)

    def has_unanswered(self) -> bool:
        return bool(self._calls)

    def eof_received(self) -> bool:
        return False  # a client that closes has gone away

    def is_idle(self) -> bool:
        begun = self._calls or self._coming is not None or self._decoder.pending
        return not begun and super().is_idle()

    def limit_reached(self) -> None:
        if self.state is ConnectionState.CLOSING:
            self._counters.count(ClientEvent.CONNECTION_TIMED_OUT)
            self.abort()
        elif self._broken:
            self._fail_held()
        elif self.partial is not None:
            if self.is_quiet():
                self._time_out()
        elif self.is_idle():
            self._counters.count(ClientEvent.CONNECTION_TIMED_OUT)
            self.close()

    def _time_out(self) -> None:
        """Its client has stopped in the middle of a message, or sends it too slowly."""
        self._counters.count(ClientEvent.REQUEST_TIMED_OUT)
        self._break("half a message", InvalidRequest(408, "the message took too long to come"))
        if not self._told_off:
            self._fail_held()

    def _fail_held(self) -> None:
        """Answer all calls now: their client is owed a word, and no error can name what it has stopped in."""
        calls, self._calls = self._calls, {}
        if calls:
            self._counters.count(ClientEvent.UNANSWERED_FAILED_FOR_PARTIAL)
            log.info("%s: %d calls are failed for what is behind them", self.describe(), len(calls))
            self._callbacks.on_disconnect(list(calls.values()))
        for msgid in calls:
            self._write(write_answer(msgid, FAILED_ANSWER))
        self._settle()

    # -- What comes ------------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        if self._broken:
            self._dropped += len(data)
            if self._dropped > _DROPPED_MOST:
                self._pause_reading()
            return
        if not self._calls and peer_has_closed(self._sock):
            self._counters.count(ClientEvent.CLIENT_DISCONNECTED_UNREAD)
            self.abort(client_disconnected=True)  # while this waited here
            return
        self._coming = self._decoder.feed(data)
        self._go_on(len(data))

    def _go_on(self, count: int = 0) -> None:
        """Take the messages of the last read, as many as one turn and the bound on calls allow.

        `count`: bytes that came now.
        """
        self._turn = None
        if self._coming is None or self._broken or self._stuck is not None:
            return
        taken = 0
        try:
            while len(self._calls) < CALLS_MOST and taken < _PACE:
                message = next(self._coming, None)
                if message is None:
                    self._coming = None
                    break
                self._take(message)
                taken += 1
                if self._broken:
                    return
        except Junk as junk:
            self._coming = None
            self._break(str(junk), InvalidRequest(413 if junk.too_long else 400, str(junk)), junk.msgid)
            return
        self._note_partial(count, begins=taken > 0)
        if self._broken:
            return
        self._note_state()
        if self._coming is None:
            self._resume_reading()
        else:
            self._pause_reading()
            self._go_on_later()

    def _note_partial(self, count: int, begins: bool) -> None:
        """Note how the message that is not whole yet comes along; `begins`: messages before it were taken now."""
        now = asyncio.get_running_loop().time()
        if self._coming is None and not self._decoder.pending:
            self.partial = None
            return
        if self.partial is None or begins:
            self.partial = PartialRequest(now, has_head=False)
        elif count:
            self.partial.received(now, count)
        if self.partial.is_overdue(now):
            self._time_out()

    def _go_on_later(self) -> None:
        if self._coming is not None and self._turn is None and len(self._calls) < CALLS_MOST:
            self._turn = asyncio.get_running_loop().call_soon(self._go_on)

    def _take(self, message: Message) -> None:
        if isinstance(message, Request):
            self._request(message)
        elif isinstance(message, Notification):
            self._notified(message)
        else:
            self._break("a response from a client")

    def _notified(self, message: Notification) -> None:
        """A notification can't be answered, so it is never carried.

        One that names a class of calls ends its connection: dropped in silence, its client would take a lodge
        for sent.  Any other (a keep-alive, a hint) is passed over.
        """
        method = message.method
        if type(method) is not bytes or method.decode("latin-1") in self._request_classes.classes:
            self._break("a call sent as a notification")

    def _request(self, request: Request) -> None:
        msgid = request.msgid
        if msgid in self._calls:
            # Any answer to it would pass for the first one's.
            self._break("a message id that is still out")
            return
        if not 0 <= msgid <= MSGID_MOST:
            self._write(
                write_rejection(msgid, InvalidRequest(400, "msgid: a 32-bit unsigned number is wanted"))
            )
            return
        if request.method == READY.encode():
            ready = self._callbacks.is_ready()
            self._write(
                encode_response(msgid, None, {"ready": True})
                if ready
                else write_rejection(msgid, InvalidRequest(503, "draining"))
            )
            return
        try:
            call = read_call(request, self._request_classes, partial(self._answer, msgid))
            if self._table.rejects_new:
                self._write(
                    write_answer(msgid, FinalAnswer(Verdict.REJECTED))
                )  # never sent on; another sidecar may
                return
            if self._callbacks.is_in_flight(call.call_id):
                raise InvalidRequest(409, "envelope.id is that of another call, which is still out")
        except InvalidRequest as bad:
            log.info("call rejected: %s", bad)
            self._write(write_rejection(msgid, bad))
            return
        self._used = True
        call.has_disconnected = self.has_disconnected
        self._calls[msgid] = call
        try:
            self._callbacks.on_request(call)
        except Exception:
            log.exception("a call could not be handled")  # a defect: its call fails, no other
            if msgid in self._calls:
                self._calls.pop(msgid)
                self._callbacks.on_disconnect([call])
                self._write(write_rejection(msgid, InvalidRequest(500, "internal error")))

    def _break(self, why: str, bad: InvalidRequest | None = None, msgid: int | None = None) -> None:
        """Read no more: what is out is answered, then the connection ends."""
        if self._broken:
            return
        log.info("%s: read no further: %s", self.describe(), why)
        self._counters.count(ClientEvent.REQUEST_REJECTED)
        self._broken = True
        self._coming = None
        if bad is not None and msgid is None and self._decoder.pending:
            msgid = self._decoder.open_msgid()
        if bad is not None and msgid is not None and msgid not in self._calls:
            self._write(write_rejection(msgid, bad))
            self._told_off = True
        self.partial = None if self._told_off else PartialRequest(asyncio.get_running_loop().time(), False)
        self._settle()

    def _pause_reading(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()
        if self.partial is not None:
            self.partial.pause(asyncio.get_running_loop().time())

    # -- What goes -------------------------------------------------------------------------------------

    def _answer(self, msgid: int, answer: FinalAnswer) -> None:
        if self._calls.pop(msgid, None) is None:
            return
        self._write(write_answer(msgid, answer))
        if self._broken:
            self._settle()
            return
        if not self._calls:
            self._note_state()
        self._go_on_later()

    def _write(self, data: bytes) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(data)
        if self._stuck is not None:
            self._count_waiting(transport.get_write_buffer_size())

    def _count_waiting(self, size: int) -> None:
        RpcConnection._waiting_in_all += size - self._waiting
        self._waiting = size
        if size > WAITING_MOST or RpcConnection._waiting_in_all > WAITING_IN_ALL:
            self._client_takes_nothing()

    def _client_takes_nothing(self) -> None:
        log.info("%s ended: its client takes no answers", self.describe())
        self._counters.count(ClientEvent.CONNECTION_TIMED_OUT)
        self.abort(client_disconnected=True)

    def pause_writing(self) -> None:
        """The client reads more slowly than it asks: its next calls wait in the kernel."""
        self._pause_reading()
        self._stuck = asyncio.get_running_loop().call_later(_STUCK_S, self._client_takes_nothing)
        if self._transport is not None:
            self._count_waiting(self._transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        self._unstick()
        if self._broken:
            self._settle()
        elif self._coming is None:
            self._resume_reading()
        else:
            self._go_on_later()

    def _unstick(self) -> None:
        RpcConnection._waiting_in_all -= self._waiting
        self._waiting = 0
        if self._stuck is not None:
            self._stuck.cancel()
            self._stuck = None

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        if self.partial is not None:
            self.partial.resume(asyncio.get_running_loop().time())

    # -- States ----------------------------------------------------------------------------------------

    def _note_state(self) -> None:
        """Note what the connection is about now."""
        partial = self.partial is not None and self._coming is None
        if self._calls or self._coming is not None:
            state = ConnectionState.AWAITING_ANSWER_PARTIAL if partial else ConnectionState.AWAITING_ANSWER
        elif partial:
            state = ConnectionState.READING_HEAD
        elif not self._used:
            state = ConnectionState.NEW
        else:
            state = ConnectionState.IDLE_PERSISTENT
        self._table.set_state(self, state)

    def _settle(self) -> None:
        """Of a connection that is read no more: end it once all its calls are answered."""
        if self._calls:
            held = (
                ConnectionState.AWAITING_ANSWER if self._told_off else ConnectionState.AWAITING_ANSWER_PARTIAL
            )
            self._table.set_state(self, held)
        elif self._transport is not None and not self._transport.is_closing():
            # Our side ends, and what still comes is dropped: closing on unread bytes would reset the answers away.
            self._table.set_state(self, ConnectionState.CLOSING)
            self.half_close()
