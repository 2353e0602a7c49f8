"""The HTTP front: requests of clients, and the readiness that they ask for."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import struct
from collections.abc import Callable
from functools import partial

import h11

from topazbank.core.body import BODY_BYTES_MAX, BodyBuffer, ResponseStream, SpooledBody, SpoolFull
from topazbank.core.call import BUFFERED_BODY_BYTES_MAX, Call, FinalAnswer, Headers, Verdict
from topazbank.core.client_connection import ClientConnection
from topazbank.core.connection_states import ConnectionState, PartialRequest
from topazbank.core.connection_table import ConnectionTable
from topazbank.core.counters import ClientEvent
from topazbank.core.net import peer_has_closed
from topazbank.core.request_checks import API_PATH, InvalidRequest
from topazbank.http.connection import data_of, message
from topazbank.http.fast_parser import RequestHead, read_request
from topazbank.http.request_reading import ident_in, is_whole, own_form, parse_call

log = logging.getLogger(__name__)

_READY_PATH = b"/health/ready"
_ROSTER_PATH = b"/admin/roster"
# Bytes read and dropped of what comes after a rejection, so that its answer arrives.
_DROPPED_MOST = 128 * BUFFERED_BODY_BYTES_MAX
_REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed"}
_FRAMING = (b"content-length", b"transfer-encoding")


class HttpConnection(ClientConnection):
    """One HTTP connection of a client; it carries one request at a time."""

    def __init__(self, table: ConnectionTable, sock: socket.socket) -> None:
        super().__init__(table, sock)
        self._h11 = h11.Connection(h11.SERVER)
        self._head: h11.Request | RequestHead | None = None
        self._body = BodyBuffer(table.callbacks.spool)
        self._call: Call | None = None
        self._stream: ResponseStream | None = None  # the large answer that is passed on
        self._chunked = False  # and whether in chunks
        self._ends = False  # and whether the connection ends with it
        self._stuck = False  # the last answer is not all written yet
        self._unreadable: str | None = None  # why what came behind the held request never becomes one
        self._dropped: int | None = (
            None  # bytes that came after its end, which are not read; None: it goes on
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self._transport is not None
        self._transport.set_write_buffer_limits(high=0)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if self._call is not None:
            self._counters.count(ClientEvent.CLIENT_DISCONNECTED)
            log.info("%s: its client left, request %s", self.describe(), self._call.call_id)
        self._client_gone()

    def has_unanswered(self) -> bool:
        return self._call is not None

    def eof_received(self) -> bool:
        return False  # a client that closes has gone away

    def data_received(self, data: bytes) -> None:
        if self._dropped is not None:
            self._drop(len(data))
            return
        if self._call is None and self._stream is None and peer_has_closed(self._sock):
            # Its client has left while the request waited here.  Guards a busy sidecar against work for those
            # that gave up: done for all, it would keep the next ones waiting until they give up too.
            self._counters.count(ClientEvent.CLIENT_DISCONNECTED_UNREAD)
            log.info("%s: its client left before request %s was read", self.describe(), ident_in(data))
            self.abort(client_disconnected=True)
            return
        if self._is_fresh():
            whole = read_request(data, BUFFERED_BODY_BYTES_MAX)
            if whole is not None:
                self._head = whole[0]
                self._take(partial(self._whole, whole[1]))
                return
            data = data.lstrip(b"\r\n")  # empty lines ahead of a request are passed over (RFC 9112, 2.2)
        if not data:
            if self.state is ConnectionState.NEW:
                self._goes_on(0)
            return
        self._h11.receive_data(data)
        if self._call is not None or self._stream is not None:
            self._look_ahead(len(data))
        elif not self._stuck:
            self._read(len(data))
        elif len(self._h11.trailing_data[0]) > BUFFERED_BODY_BYTES_MAX and self._transport is not None:
            self._transport.pause_reading()

    def pause_writing(self) -> None:
        self._stuck = True
        if self._stream is not None:
            self._stream.pause(True)
            self._table.set_state(self, ConnectionState.STREAMING_ANSWER)

    def resume_writing(self) -> None:
        self._stuck = False
        if self._stream is not None:
            self._table.set_state(self, ConnectionState.AWAITING_ANSWER)
            self._stream.pause(False)
            return
        if self._dropped is not None:
            self._table.set_state(
                self, ConnectionState.CLOSING
            )  # all is taken: its client has to end its side
        elif self._call is None:
            self._next_request()

    def is_idle(self) -> bool:
        """Whether it may be closed: no request is held, begun or waiting unread."""
        begun = self._head is not None or self._stream is not None or self._h11.trailing_data[0]
        return not begun and super().is_idle()

    def limit_reached(self) -> None:
        """Its state has lasted for as long as it may, or its partial request has taken that long."""
        counters = self._counters
        if self.state is ConnectionState.AWAITING_ANSWER_PARTIAL:
            self._fail_held()
        elif self.state in (ConnectionState.CLOSING, ConnectionState.STREAMING_ANSWER):
            counters.count(ClientEvent.CONNECTION_TIMED_OUT)
            log.info("%s ended: its client takes no answer", self.describe())
            self.abort()
        elif self.is_idle():
            counters.count(ClientEvent.CONNECTION_TIMED_OUT)
            self.close()
        elif self.partial is not None and self.is_quiet():
            self._time_out()

    def _time_out(self) -> None:
        """Its client has stopped in the middle of a request, or sends it too slowly."""
        self._counters.count(ClientEvent.REQUEST_TIMED_OUT)
        self._reject(InvalidRequest(408, "the request took too long to come"))

    def _fail_held(self) -> None:
        """Answer the held request now, as failed, since it may have run.

        Its client has stopped behind it and is owed a word; and what was read is owed an answer.
        """
        if self._call is None:
            return
        self._counters.count(ClientEvent.UNANSWERED_FAILED_FOR_PARTIAL)
        log.info("%s: request %s is failed for what is behind it", self.describe(), self._call.call_id)
        self._client_gone()
        self._answer(500, [], b"", ends=True)

    def _see_behind(self) -> None:
        """A request was taken, and answered already or not: see what came with it.

        Apart from what took it: there the compiler holds the request for unanswered, whatever was done with it.
        """
        if self._call is not None and self._h11.trailing_data[0]:
            self._look_ahead()

    def _look_ahead(self, count: int = 0) -> None:
        """See what waits behind the request that is held; `count` bytes of it came now."""
        behind = self._h11.trailing_data[0].lstrip(b"\r\n")
        now = asyncio.get_running_loop().time()
        if self.partial is None:
            self.partial = PartialRequest(now)
        try:
            here = is_whole(behind)
        except h11.RemoteProtocolError as bad:
            self._unreadable = str(bad)
            self._pause_reading()  # the held request is answered, and the connection ends with that
            here = False
        else:
            self.partial.received(now, count)
        if here or not behind:
            self.partial = None
        elif len(behind) > BUFFERED_BODY_BYTES_MAX and self._unreadable is None:
            self.partial.pause(now)  # it sends ahead; what is held is bounded
        if len(behind) > BUFFERED_BODY_BYTES_MAX:
            self._pause_reading()
        if self._stream is None:
            waits = self.partial is not None and not self.partial.is_paused
            held = ConnectionState.AWAITING_ANSWER_PARTIAL if waits else ConnectionState.AWAITING_ANSWER
            self._table.set_state(self, held)

    def _pause_reading(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    def _is_fresh(self) -> bool:
        """Whether nothing of a request has come and none is held."""
        if self._call is not None or self._stream is not None or self._stuck or self._head is not None:
            return False
        return self._h11.their_state is h11.IDLE and not self._h11.trailing_data[0]

    def _read(self, count: int = 0) -> None:
        """Take what has come, up to the end of one request; `count` bytes of it came now."""
        self._take(self._events)
        if self._head is None and not self._h11.trailing_data[0]:
            self.partial = None
        elif self._call is None and self._stream is None and self._dropped is None:
            self._goes_on(count)

    def _goes_on(self, count: int) -> None:
        """A part of a request is here, of which so many bytes came now."""
        now = asyncio.get_running_loop().time()
        if self.partial is None:
            self.partial = PartialRequest(now)
        if count:
            self.partial.received(now, count)
        if self._head is not None:
            self.partial.head_completed(now)
        if self.partial.is_overdue(now):
            self._time_out()
            return
        reads = ConnectionState.READING_HEAD if self._head is None else ConnectionState.READING_BODY
        self._table.set_state(self, reads, restart=True)

    def _events(self) -> None:
        while self._next_event():
            pass

    def _take(self, read: Callable[[], None]) -> None:
        try:
            read()
        except InvalidRequest as bad:
            self._reject(bad)
        except h11.RemoteProtocolError as broken:
            self._reject(InvalidRequest(400, str(broken)))
        except SpoolFull as full:
            self._reject(InvalidRequest(503, str(full)))  # never sent on; there may be room a moment later
        except Exception:
            log.exception("a request could not be handled")  # a defect: its request fails, no other
            if self._head is None:
                self.abort()  # it was answered already
            else:
                self._reject(InvalidRequest(500, "internal error"))

    def _next_event(self) -> bool:
        event = self._h11.next_event()
        if isinstance(event, h11.Request):
            self._head = event
            self._begin(event)
        elif isinstance(event, h11.Data):
            self._body.append(data_of(event))
            if len(self._body) > BODY_BYTES_MAX:
                raise InvalidRequest(413, "the body is too large")
        elif isinstance(event, h11.EndOfMessage):
            self._whole(self._body.finish())
            return False
        return isinstance(event, h11.Request | h11.Data)

    def _begin(self, head: h11.Request) -> None:
        if head.http_version not in (b"1.0", b"1.1"):
            raise InvalidRequest(505, "HTTP/1.1 is spoken here")
        framing = {name: value for name, value in head.headers if name in _FRAMING}
        if b"transfer-encoding" in framing and (len(framing) > 1 or head.http_version != b"1.1"):
            raise InvalidRequest(
                400, "two ways to tell the body's end"
            )  # one may hide a request in the other
        if int(framing.get(b"content-length", b"0")) > BODY_BYTES_MAX:
            raise InvalidRequest(413, "the body is too large")
        if self._h11.they_are_waiting_for_100_continue and self._transport is not None:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._h11.send(go_on) or b"")

    def _whole(self, body: bytes | SpooledBody) -> None:
        """A request has come whole."""
        head = self._head
        assert head is not None
        self.partial = None
        path = own_form(head.target).partition(b"?")[0]
        try:
            self._serve(head, path, body)
        finally:
            if self._call is None and isinstance(body, SpooledBody):
                body.release()  # turned away; what was taken is released once it is over

    def _serve(self, head: h11.Request | RequestHead, path: bytes, body: bytes | SpooledBody) -> None:
        if path == _READY_PATH:
            self._answer(200 if self._callbacks.is_ready() else 503, [], b"")
        elif path == _ROSTER_PATH and self._callbacks.status_page is not None:
            self._answer(200, [(b"Content-Type", b"application/json")], self._callbacks.status_page())
        elif path != API_PATH and not path.startswith(API_PATH + b"/"):
            raise InvalidRequest(404, "no such path")
        else:
            call = parse_call(head, body, self._request_classes, self._answer_call)
            if self._callbacks.is_in_flight(call.call_id):
                raise InvalidRequest(409, "x-call-id is that of another request, which is still out")
            call.has_disconnected = self.has_disconnected
            self._call = call
            self._table.set_state(self, ConnectionState.AWAITING_ANSWER)
            self._callbacks.on_request(call)
            self._see_behind()

    def _reject(self, bad: InvalidRequest) -> None:
        """Turn the request away and end the connection: nothing more is expected of this client."""
        self._counters.count(ClientEvent.REQUEST_REJECTED)
        log.info("%s: request rejected: %s", self.describe(), bad)
        self.partial = None
        self._client_gone()
        self._answer(bad.status, [(b"Content-Type", b"text/plain")], f"{bad}\n".encode(), ends=True)

    def _answer_call(self, answer: FinalAnswer) -> None:
        if answer.verdict is Verdict.SERVED:
            if answer.stream is not None:
                self._pass_on(answer.content_headers or [], answer.stream)
            else:
                self._answer(200, answer.content_headers or [], answer.body)
        elif answer.verdict is Verdict.REJECTED:
            back = answer.retry_after_us
            self._answer(503, [(b"Retry-After", b"%.3f" % (back / 1e6))] if back else [], b"")
        else:
            self._answer(500, [], b"")

    def _answer(self, status: int, headers: Headers, body: bytes, ends: bool = False) -> None:
        """Write an answer whole, at once; its connection goes on if framing allows."""
        self._call = None
        if self._transport is None or self._transport.is_closing():
            return
        ends = ends or self._must_end()
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        if ends:
            headers.append((b"Connection", b"close"))
        if self._head is not None and self._head.method == b"HEAD":
            body = b""
        first = b"HTTP/1.1 %d %b" % (status, _REASONS.get(status, b""))
        self._head = None
        self._body.discard()
        self._transport.write(message(first, headers, body))
        self._over(ends)

    def _must_end(self) -> bool:
        """Whether the connection ends with this answer."""
        read = isinstance(self._head, RequestHead) or self._h11.their_state is h11.DONE
        return self._table.draining or self._unreadable is not None or not read

    def _over(self, ends: bool, rest: ConnectionState = ConnectionState.CLOSING) -> None:
        """An answer is written: turn to what came behind its request, or end.

        `rest`: the state, and so the limit, of what its client has not taken yet.
        """
        if self._transport is None or self._transport.is_closing():
            return
        if ends:
            self._linger(rest if self._stuck else ConnectionState.CLOSING)
            return
        behind = self._h11.trailing_data[0]
        if behind or self._h11.their_state is not h11.IDLE:
            self._h11 = h11.Connection(h11.SERVER)  # each reads one request; it never hears of answers
            behind = behind.lstrip(b"\r\n")
            if behind:
                self._h11.receive_data(behind)
        self._table.set_state(self, rest if self._stuck else ConnectionState.IDLE)
        if not self._stuck and (behind or not self._transport.is_reading()):
            asyncio.get_running_loop().call_soon(self._next_request)

    # -- Large answers: passed on as they come --------------------------------------------------------

    def _pass_on(self, about: Headers, stream: ResponseStream) -> None:
        """Begin a large answer; the rest comes by `piece` and `ended`."""
        self._call = None
        if self._transport is None or self._transport.is_closing():
            stream.abort()
            return
        # A client of HTTP/1.0 knows no chunks: for it the connection's end is that of the answer.
        old = self._head is not None and self._head.http_version != b"1.1"
        self._ends = self._must_end() or (old and stream.length is None)
        self._chunked = stream.length is None and not old
        headers = list(about)
        if stream.length is not None:
            headers.append((b"Content-Length", b"%d" % stream.length))
        elif self._chunked:
            headers.append((b"Transfer-Encoding", b"chunked"))
        if self._ends:
            headers.append((b"Connection", b"close"))
        self._head = None
        self._stream = stream
        stream.receiver = self
        self._table.set_state(self, ConnectionState.AWAITING_ANSWER)
        self._transport.write(message(b"HTTP/1.1 200 OK", headers) + self._framed(stream.first_data))

    def _framed(self, data: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(data), data) if self._chunked and data else data

    def stream_data(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(self._framed(data))

    def stream_ended(self, whole: bool) -> None:
        """The answer is over; one that was cut short ends its connection, so that its client can tell."""
        stream, self._stream = self._stream, None
        if self._transport is None or self._transport.is_closing():
            return
        if not whole:
            told = self._chunked or (stream is not None and stream.length is not None)
            self.close() if told else self._reset()
            return
        if self._chunked:
            self._transport.write(b"0\r\n\r\n")
        self._over(self._ends or self._unreadable is not None, ConnectionState.STREAMING_ANSWER)

    def _reset(self) -> None:
        """End with a reset: to a client of HTTP/1.0 an end would say that the answer is whole."""
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.abort()

    def _linger(self, state: ConnectionState = ConnectionState.CLOSING) -> None:
        """End our side and drop what still comes: closing on unread bytes would reset the answer away."""
        if self._transport is not None and not self._transport.is_closing():
            self._dropped = 0
            self.partial = None
            self._table.set_state(self, state)
            if self.half_close():
                self._transport.resume_reading()

    def _drop(self, count: int) -> None:
        self._dropped = (self._dropped or 0) + count
        if self._dropped > _DROPPED_MOST and self._transport is not None:
            self._transport.pause_reading()

    def _next_request(self) -> None:
        """Turn to what came behind the answered request."""
        if self._transport is None or self._transport.is_closing() or self._stuck:
            return
        if self._call is not None or self._stream is not None:
            return
        self._table.set_state(self, ConnectionState.IDLE)
        self._transport.resume_reading()
        if self.partial is not None:
            self.partial.resume(asyncio.get_running_loop().time())
        self._read()

    def _client_gone(self) -> None:
        call, self._call = self._call, None
        stream, self._stream = self._stream, None
        self._body.discard()
        if stream is not None:
            stream.abort()
        if call is not None:
            self._callbacks.on_disconnect([call])
