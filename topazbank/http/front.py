"""The HTTP front: requests of clients, and the readiness that they ask for."""

from __future__ import annotations

import asyncio
import logging
import re
import socket
from collections.abc import Callable

import h11

from topazbank.core.call import (
    API_PATH,
    BODY_MOST,
    Answer,
    BadCall,
    Call,
    Headers,
    Rulebook,
    Verdict,
    target_key,
)
from topazbank.core.listener import ClientConnection, Frontend, Phase
from topazbank.core.net import has_ended
from topazbank.http.connection import ABOUT_BODY, data_of, end_to_end, message
from topazbank.http.whole import RequestHead, read_request
from topazbank.interface import Repeat

log = logging.getLogger(__name__)

_READY_PATH = b"/health/ready"
_ROSTER_PATH = b"/admin/roster"
# Bytes read and dropped of what comes after a rejection, so that its answer arrives.
_DROPPED_MOST = 128 * BODY_MOST
_REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed"}
_SINGLE = frozenset(  # headers that mean one thing: given twice, they may mean another to a server
    (
        b"x-call-id",
        b"x-call-class",
        b"x-caller",
        b"x-budget",
        b"x-again",
        b"x-call-cost",
        b"idempotency-key",
    )
)
_FRAMING = (b"content-length", b"transfer-encoding")
_NUMBER = re.compile(r"[0-9]{1,10}(\.[0-9]{1,9})?", re.ASCII)


def parse_call(
    head: h11.Request | RequestHead, body: bytes, rules: Rulebook, answer: Callable[[Answer], None]
) -> Call:
    """Read a request of a client; raise BadCall where it makes no sense or breaks the settings."""
    given: dict[bytes, str] = {}
    headers = list(head.headers)  # h11 makes each pair anew whenever they are gone through
    for name, value in headers:
        if name in _SINGLE and name in given:
            raise BadCall(400, f"{name.decode()} stands twice")
        given[name] = value.decode("latin-1").strip()
    for name in (b"x-call-id", b"x-call-class", b"x-budget"):
        if not given.get(name):
            raise BadCall(400, f"{name.decode()} is missing")
    budget = _number(given[b"x-budget"], "x-budget")
    cost = given.get(b"x-call-cost")
    kind = rules.kind(given[b"x-call-class"])
    if head.method != (b"GET" if kind.repeat is Repeat.SAFE else b"POST"):
        raise BadCall(405, "not the method of the class")
    caller = given.get(b"x-caller") or None
    if b"host" not in given:
        headers.append((b"host", b"sidecar"))  # HTTP/1.0 allows none, HTTP/1.1 needs one
    call = Call(
        ident=given[b"x-call-id"],
        kind=kind,
        target=head.target,
        body=body,
        tenant=rules.tenant(caller),
        key=target_key(head.target),
        budget_us=int(budget * 1e6),
        cost_us=int(_number(cost, "x-call-cost")) if cost else None,
        again=given.get(b"x-again") == "1",
        idempotency_key=given.get(b"idempotency-key") or None,
        answer=answer,
        caller=caller,
        about=[each for each in headers if each[0] in ABOUT_BODY],
        headers=end_to_end(headers, b"content-length", b"x-budget", b"expect"),
    )
    rules.check(call)
    return call


def _number(text: str, name: str) -> float:
    if not _NUMBER.fullmatch(text):
        raise BadCall(400, f"{name}: a number is needed")
    return float(text)


class HttpConnection(ClientConnection):
    """One HTTP connection of a client; it carries one request at a time."""

    def __init__(self, frontend: Frontend, sock: socket.socket) -> None:
        super().__init__(frontend, sock)
        self._h11 = h11.Connection(h11.SERVER)
        self._head: h11.Request | RequestHead | None = None
        self._body = bytearray()
        self._call: Call | None = None
        self._stuck = False  # the last answer is not all written yet
        self._dropped: int | None = (
            None  # bytes that came after its end, which are not read; None: it goes on
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self._transport is not None
        self._transport.set_write_buffer_limits(high=0)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._client_gone()

    def eof_received(self) -> bool:
        return False  # a client that closes has gone away

    def data_received(self, data: bytes) -> None:
        if self._dropped is not None:
            self._drop(len(data))
            return
        if self._call is None and has_ended(self._sock):
            # Its client has left while the request waited here.  Guards a busy sidecar against work for those
            # that gave up: done for all, it would keep the next ones waiting until they give up too.
            self.abort()
            return
        if self._is_fresh():
            whole = read_request(data, BODY_MOST)
            if whole is not None:
                self._head, self._body = whole[0], bytearray(whole[1])
                self._take(self._whole)
                return
        self._h11.receive_data(data)
        if self._call is not None:
            self._look_ahead()
        elif not self._stuck:
            self._read()
        elif len(self._h11.trailing_data[0]) > BODY_MOST and self._transport is not None:
            self._transport.pause_reading()

    def pause_writing(self) -> None:
        self._stuck = True

    def resume_writing(self) -> None:
        self._stuck = False
        if self._call is None and self._dropped is None:
            self._next_request()

    def is_idle(self) -> bool:
        """Whether it may be closed: no request is held, begun or waiting unread."""
        begun = self._head is not None or self._h11.trailing_data[0]
        return not begun and super().is_idle()

    def time_up(self) -> None:
        """Its phase has lasted for as long as it may."""
        if self.phase in (Phase.BEHIND, Phase.LEAVING):
            self.abort()
        elif self.is_idle():
            self.close()
        elif self.phase is Phase.WAITING and self.is_quiet():
            self._reject(BadCall(408, "the request took too long to come"))

    def _look_ahead(self) -> None:
        """See what came behind the request that is held: what can't be read ends the connection at once."""
        behind = self._h11.trailing_data[0]
        ahead = h11.Connection(h11.SERVER)
        ahead.receive_data(behind)
        try:
            whole = ahead.next_event() is not h11.NEED_DATA
        except h11.RemoteProtocolError as bad:
            log.info("connection ended: %s", bad)
            self.abort()
            return
        self._frontend.move(self, Phase.OPEN if whole else Phase.BEHIND)
        if len(behind) > BODY_MOST and self._transport is not None:
            self._transport.pause_reading()  # it sends ahead; what is held is bounded

    def _is_fresh(self) -> bool:
        """Whether nothing of a request has come and none is held."""
        if self._call is not None or self._stuck or self._head is not None:
            return False
        return self._h11.their_state is h11.IDLE and not self._h11.trailing_data[0]

    def _read(self) -> None:
        """Take what has come, up to the end of one request."""
        self._take(self._events)
        if self.phase is Phase.RESTING and (self._head is not None or self._h11.trailing_data[0]):
            self._frontend.move(self, Phase.WAITING)

    def _events(self) -> None:
        while self._next_event():
            pass

    def _take(self, read: Callable[[], None]) -> None:
        try:
            read()
        except BadCall as bad:
            self._reject(bad)
        except h11.RemoteProtocolError as broken:
            self._reject(BadCall(400, str(broken)))
        except Exception:
            log.exception("a request could not be handled")  # a defect: its request fails, no other
            if self._head is None:
                self.abort()  # it was answered already
            else:
                self._reject(BadCall(500, "internal error"))

    def _next_event(self) -> bool:
        event = self._h11.next_event()
        if isinstance(event, h11.Request):
            self._head = event
            self._begin(event)
        elif isinstance(event, h11.Data):
            self._body += data_of(event)
            if len(self._body) > BODY_MOST:
                raise BadCall(413, "the body is too large")
        elif isinstance(event, h11.EndOfMessage):
            self._whole()
            return False
        return isinstance(event, h11.Request | h11.Data)

    def _begin(self, head: h11.Request) -> None:
        framing = {name: value for name, value in head.headers if name in _FRAMING}
        if b"transfer-encoding" in framing and (len(framing) > 1 or head.http_version != b"1.1"):
            raise BadCall(400, "two ways to tell the body's end")  # one may hide a request in the other
        if int(framing.get(b"content-length", b"0")) > BODY_MOST:
            raise BadCall(413, "the body is too large")
        if self._h11.they_are_waiting_for_100_continue and self._transport is not None:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._h11.send(go_on) or b"")

    def _whole(self) -> None:
        """A request has come whole."""
        head, body = self._head, bytes(self._body)
        assert head is not None
        path = head.target.partition(b"?")[0]
        if path == _READY_PATH:
            self._answer(200 if self._frontend.hooks.ready() else 503, [], b"")
        elif path == _ROSTER_PATH and self._frontend.hooks.roster is not None:
            self._answer(200, [(b"Content-Type", b"application/json")], self._frontend.hooks.roster())
        elif path != API_PATH and not path.startswith(API_PATH + b"/"):
            raise BadCall(404, "no such path")
        else:
            call = parse_call(head, body, self._frontend.rules, self._answer_call)
            if self._frontend.hooks.is_out(call.ident):
                raise BadCall(409, "x-call-id is that of another request, which is still out")
            self._call = call
            self._frontend.move(self, Phase.OPEN)
            self._frontend.hooks.taken(call)

    def _reject(self, bad: BadCall) -> None:
        """Turn the request away and end the connection: nothing more is expected of this client."""
        log.info("request rejected: %s", bad)
        self._client_gone()
        self._answer(bad.status, [(b"Content-Type", b"text/plain")], f"{bad}\n".encode(), ends=True)

    def _answer_call(self, answer: Answer) -> None:
        if answer.verdict is Verdict.SERVED:
            self._answer(200, answer.about or [], answer.body)
        elif answer.verdict is Verdict.REFUSED:
            back = answer.retry_after_us
            self._answer(503, [(b"Retry-After", b"%.3f" % (back / 1e6))] if back else [], b"")
        else:
            self._answer(500, [], b"")

    def _answer(self, status: int, headers: Headers, body: bytes, ends: bool = False) -> None:
        """Write an answer whole, at once; its connection goes on if framing allows."""
        self._call = None
        if self._transport is None or self._transport.is_closing():
            return
        read = isinstance(self._head, RequestHead) or self._h11.their_state is h11.DONE
        ends = ends or self._frontend.draining or not read
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        if ends:
            headers.append((b"Connection", b"close"))
        if self._head is not None and self._head.method == b"HEAD":
            body = b""
        first = b"HTTP/1.1 %d %b" % (status, _REASONS.get(status, b""))
        self._head, self._body = None, bytearray()
        self._transport.write(message(first, headers, body))
        if ends:
            self._linger()
            return
        behind = self._h11.trailing_data[0]
        if behind or self._h11.their_state is not h11.IDLE:
            self._h11 = h11.Connection(h11.SERVER)  # each reads one request; it never hears of answers
            if behind:
                self._h11.receive_data(behind)
        self._frontend.move(self, Phase.LEAVING if self._stuck else Phase.RESTING)
        if not self._stuck and (behind or not self._transport.is_reading()):
            asyncio.get_running_loop().call_soon(self._next_request)

    def _linger(self) -> None:
        """End our side and drop what still comes: closing on unread bytes would reset the answer away."""
        if self._transport is not None and not self._transport.is_closing():
            self._dropped = 0
            self._frontend.move(self, Phase.LEAVING)
            self._transport.write_eof()

    def _drop(self, count: int) -> None:
        self._dropped = (self._dropped or 0) + count
        if self._dropped > _DROPPED_MOST and self._transport is not None:
            self._transport.pause_reading()

    def _next_request(self) -> None:
        """Turn to what came behind the answered request."""
        if self._transport is None or self._transport.is_closing() or self._call is not None or self._stuck:
            return
        self._frontend.move(self, Phase.RESTING)
        self._transport.resume_reading()
        self._read()

    def _client_gone(self) -> None:
        call, self._call = self._call, None
        if call is not None:
            self._frontend.hooks.gone([call])
